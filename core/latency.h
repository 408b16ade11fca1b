/*
 * Recent latencies of one upstream: quantiles accurate to about 9 % from 64 us
 * to 16 s, in 148 bytes, so that a daemon can keep a latency_t for each
 * upstream and worker.
 *
 * Old samples lose weight: when a bucket is full, all counts are halved. Use
 * hist.h where every sample has to be counted.
 *
 *     latency_t latency = {0};
 *     latency_add(&latency, took_us);
 *     int64_t p95_us = latency_quantile(&latency, 0.95);
 */
#ifndef CORE_LATENCY_H
#define CORE_LATENCY_H

#include <stdint.h>

enum {
    LATENCY_STEP_BITS = 3, /* 8 buckets per octave, about 9 % wide */
    LATENCY_MIN_BITS = 6,  /* all values below 64 us share a bucket */
    LATENCY_OCTAVES = 18,  /* up to 16 s */
    LATENCY_BUCKETS = (LATENCY_OCTAVES << LATENCY_STEP_BITS) + 1
};

/* A zeroed latency_t has no samples. */
typedef struct {
    uint16_t count; /* samples held, after decay */
    uint8_t buckets[LATENCY_BUCKETS];
} latency_t;

/* Adds one sample; values above 16 s are clamped. */
void latency_add(latency_t *latency, int64_t value_us);

/*
 * Upper edge of the bucket that holds the quantile (0..1) in microseconds;
 * 0 when there are no samples.
 */
int64_t latency_quantile(const latency_t *latency, double quantile);

#endif
