#include "core/latency.h"

#include <stddef.h>

enum { STEPS = 1 << LATENCY_STEP_BITS };

static size_t
latency_bucket(int64_t value_us)
{
    if (value_us < INT64_C(1) << LATENCY_MIN_BITS) {
        return 0;
    }
    uint64_t value = (uint64_t)value_us;
    int octave = 63 - __builtin_clzll(value);
    if (octave >= LATENCY_MIN_BITS + LATENCY_OCTAVES) {
        return LATENCY_BUCKETS - 1;
    }
    size_t step = (value >> (octave - LATENCY_STEP_BITS)) - STEPS;
    return 1 + ((size_t)(octave - LATENCY_MIN_BITS) << LATENCY_STEP_BITS) +
           step;
}

static int64_t
latency_bucket_top(size_t bucket)
{
    if (bucket == 0) {
        return (INT64_C(1) << LATENCY_MIN_BITS) - 1;
    }
    int octave = LATENCY_MIN_BITS + (int)((bucket - 1) >> LATENCY_STEP_BITS);
    int64_t step = (int64_t)((bucket - 1) & (STEPS - 1));
    return ((step + STEPS + 1) << (octave - LATENCY_STEP_BITS)) - 1;
}

/* Halves all counts and carries each rounding loss to the next bucket. */
static void
latency_decay(latency_t *latency)
{
    unsigned carry = 0;
    latency->count = 0;
    for (size_t i = 0; i < LATENCY_BUCKETS; i++) {
        unsigned sum = latency->buckets[i] + carry;
        latency->buckets[i] = (uint8_t)(sum / 2);
        latency->count = (uint16_t)(latency->count + sum / 2);
        carry = sum % 2;
    }
}

void
latency_add(latency_t *latency, int64_t value_us)
{
    uint8_t *bucket = &latency->buckets[latency_bucket(value_us)];
    if (*bucket == UINT8_MAX) {
        latency_decay(latency);
    }
    (*bucket)++;
    latency->count++;
}

int64_t
latency_quantile(const latency_t *latency, double quantile)
{
    if (latency->count == 0) {
        return 0;
    }
    unsigned rank = (unsigned)(quantile * latency->count);
    if (rank >= latency->count) {
        rank = latency->count - 1U;
    }
    unsigned seen = 0;
    size_t bucket = 0;
    while (seen + latency->buckets[bucket] <= rank) {
        seen += latency->buckets[bucket++];
    }
    return latency_bucket_top(bucket);
}
