/*
 * Delays between attempts to connect: exponential, jittered, bounded. Pure.
 */
#ifndef NET_BACKOFF_H
#define NET_BACKOFF_H

#include <stdint.h>

#define BACKOFF_BASE_US INT64_C(50000)
#define BACKOFF_MAX_US INT64_C(5000000)

/* A connection that lasted this long was good: the next delay is the base. */
#define BACKOFF_STABLE_US INT64_C(1000000)

/*
 * Delay before the next attempt after this many failures in a row: half to
 * the whole of the base doubled failures times, at most BACKOFF_MAX_US. The
 * same seed and failures give the same delay.
 */
int64_t backoff_delay_us(uint32_t failures, uint64_t seed);

/* Failures in a row after a connection that lasted lasted_us. */
uint32_t backoff_next_failures(uint32_t failures, int64_t lasted_us);

#endif
