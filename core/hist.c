#include "core/hist.h"

#include <string.h>

enum { STEPS = 1 << HIST_STEP_BITS };

/*
 * Values below STEPS have a bucket each. Above, each octave (a factor of two)
 * has STEPS buckets.
 */
static size_t
hist_bucket(int64_t value_us)
{
    uint64_t value = (uint64_t)value_us;
    if (value < STEPS) {
        return value;
    }
    int shift = 63 - __builtin_clzll(value) - HIST_STEP_BITS;
    size_t step = (value >> shift) - STEPS;
    return ((size_t)(shift + 1) << HIST_STEP_BITS) + step;
}

static int64_t
hist_bucket_top(size_t bucket)
{
    if (bucket < STEPS) {
        return (int64_t)bucket;
    }
    int shift = (int)(bucket >> HIST_STEP_BITS) - 1;
    int64_t step = (int64_t)(bucket & (STEPS - 1));
    return ((step + STEPS + 1) << shift) - 1;
}

static int64_t
hist_clamp(int64_t value_us)
{
    if (value_us < 1) {
        return 1;
    }
    return value_us > HIST_MAX_US ? HIST_MAX_US : value_us;
}

void
hist_init(hist_t *hist)
{
    memset(hist, 0, sizeof(*hist));
}

void
hist_add(hist_t *hist, int64_t value_us)
{
    int64_t value = hist_clamp(value_us);
    uint32_t *bucket = &hist->buckets[hist_bucket(value)];
    if (*bucket == UINT32_MAX) {
        hist_decay(hist);
    }
    (*bucket)++;
    hist->count++;
    hist->sum_us += (uint64_t)value;
}

int64_t
hist_quantile(const hist_t *hist, double quantile)
{
    if (hist->count == 0) {
        return 0;
    }
    uint64_t rank = (uint64_t)(quantile * (double)hist->count);
    if (rank >= hist->count) {
        rank = hist->count - 1;
    }
    uint64_t seen = 0;
    for (size_t i = 0; i < HIST_BUCKETS; i++) {
        seen += hist->buckets[i];
        if (seen > rank) {
            return hist_bucket_top(i);
        }
    }
    return HIST_MAX_US;
}

int64_t
hist_mean(const hist_t *hist)
{
    return hist->count == 0 ? 0 : (int64_t)(hist->sum_us / hist->count);
}

uint64_t
hist_count_below(const hist_t *hist, int64_t value_us)
{
    size_t last = hist_bucket(hist_clamp(value_us));
    uint64_t seen = 0;
    for (size_t i = 0; i <= last; i++) {
        seen += hist->buckets[i];
    }
    return seen;
}

void
hist_merge(hist_t *hist, const hist_t *from)
{
    for (size_t i = 0; i < HIST_BUCKETS; i++) {
        uint64_t sum = (uint64_t)hist->buckets[i] + from->buckets[i];
        uint32_t kept = sum > UINT32_MAX ? UINT32_MAX : (uint32_t)sum;
        hist->count += kept - hist->buckets[i];
        hist->buckets[i] = kept;
    }
    hist->sum_us += from->sum_us;
}

void
hist_decay(hist_t *hist)
{
    uint64_t before = hist->count;
    uint64_t count = 0;
    for (size_t i = 0; i < HIST_BUCKETS; i++) {
        hist->buckets[i] /= 2;
        count += hist->buckets[i];
    }
    hist->count = count;
    hist->sum_us = before == 0 ? 0 : hist->sum_us / before * count;
}
