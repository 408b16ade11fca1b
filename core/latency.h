/*
 * Recent latencies of one upstream: quantiles to 9 % from 64 us to 16 s, in
 * 148 bytes, so that a daemon can keep one for each upstream and worker.
 *
 * Older samples fade: once a bucket is full, all counts are halved. Use
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
    LATENCY_STEP_BITS = 3, /* 8 buckets an octave: 9 % wide */
    LATENCY_MIN_BITS = 6,  /* below 64 us all is one bucket */
    LATENCY_OCTAVES = 18,  /* to 16 s */
    LATENCY_BUCKETS = (LATENCY_OCTAVES << LATENCY_STEP_BITS) + 1
};

/* Zeroed: no samples. */
typedef struct {
    uint16_t count; /* samples held, after fading */
    uint8_t buckets[LATENCY_BUCKETS];
} latency_t;

/* Add one sample; values over the greatest are clamped. */
void latency_add(latency_t *latency, int64_t value_us);

/*
 * Upper edge of the bucket that holds the quantile (0..1) in microseconds;
 * 0 when there are no samples.
 */
int64_t latency_quantile(const latency_t *latency, double quantile);

#endif
