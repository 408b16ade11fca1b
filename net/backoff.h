/*
 * Exponential backoff with jitter between attempts to connect. These are pure
 * functions.
 */
#ifndef NET_BACKOFF_H
#define NET_BACKOFF_H

#include <stdint.h>

/* Upper bound of the first delay, and upper bound of any delay. */
#define BACKOFF_BASE_US INT64_C(50000)
#define BACKOFF_MAX_US INT64_C(5000000)

/* A connection that lasts at least this long resets the backoff. */
#define BACKOFF_STABLE_US INT64_C(1000000)

/*
 * Returns the delay in microseconds before the next attempt after this many
 * consecutive failures. With max = min(BACKOFF_BASE_US * 2^failures,
 * BACKOFF_MAX_US) the delay is between max / 2 and max. The same seed and
 * failures give the same delay.
 */
int64_t backoff_delay_us(uint32_t failures, uint64_t seed);

/*
 * Returns the number of consecutive failures after an attempt whose connection
 * lasted lasted_us: 0 if that is at least BACKOFF_STABLE_US, otherwise
 * failures + 1.
 */
uint32_t backoff_next_failures(uint32_t failures, int64_t lasted_us);

#endif
