/*
 * Latency histogram with logarithmic buckets, for 1 us to 100 s with about two
 * significant digits. It has a fixed size and allocates no memory.
 *
 *     hist_t hist;
 *     hist_init(&hist);
 *     hist_add(&hist, service_us);
 *     int64_t p99_us = hist_quantile(&hist, 0.99);
 *     hist_decay(&hist); // periodically, to lower the weight of old samples
 */
#ifndef CORE_HIST_H
#define CORE_HIST_H

#include <stddef.h>
#include <stdint.h>

enum {
    HIST_STEP_BITS = 5, /* 32 buckets per octave, at most 3 % wide */
    HIST_OCTAVES = 22,  /* above the buckets of width 1, up to 134 s */
    HIST_BUCKETS = (HIST_OCTAVES + 1) << HIST_STEP_BITS,
    HIST_MAX_US = 100000000
};

typedef struct {
    uint64_t count;  /* samples held, after decay */
    uint64_t sum_us; /* sum of the samples held, after decay */
    uint32_t buckets[HIST_BUCKETS];
} hist_t;

void hist_init(hist_t *hist);

/* Adds one sample; values outside 1 us .. HIST_MAX_US are clamped. */
void hist_add(hist_t *hist, int64_t value_us);

/*
 * Upper edge of the bucket that holds the quantile (0..1) in microseconds;
 * 0 when there are no samples.
 */
int64_t hist_quantile(const hist_t *hist, double quantile);

/* Mean in microseconds; 0 when there are no samples. */
int64_t hist_mean(const hist_t *hist);

/* Number of samples up to the upper edge of the bucket of value_us. */
uint64_t hist_count_below(const hist_t *hist, int64_t value_us);

/* Adds the samples of from to hist. */
void hist_merge(hist_t *hist, const hist_t *from);

/* Halves every bucket, rounding down. */
void hist_decay(hist_t *hist);

#endif
