/*
 * How often a daemon looks for what is new.
 *
 * The load it answers: every question to the store has a price, and what an
 * upstream or the operator says must be in force everywhere within a bound.
 * In a large fleet it takes two steps to get there, from the store to a daemon
 * that reads and from that one to those who ask it; both together have to fit.
 *
 *     pace_t pace;
 *     poll_intervals_set(&pace, drain_us, converge_us, large);
 */
#ifndef TIER_POLL_INTERVALS_H
#define TIER_POLL_INTERVALS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    int64_t store_poll_us;   /* between two readings of changes in the store */
    int64_t members_poll_us; /* between two of changes of members */
    int64_t peer_poll_us;    /* between two questions to a daemon that reads */
    int64_t peer_max_age_us; /* a reading older than this is not gone by */
    int64_t
        store_fallback_us; /* without a good answer for so long: the store */
} poll_intervals_t;

/* The bounds of the settings, microseconds; 0: not said. */
void poll_intervals_set(poll_intervals_t *intervals, int64_t drain_us,
                        int64_t converge_us, bool large_fleet);

#endif
