/*
 * How often a daemon polls the store and its peers for changes.
 *
 * Each call to the store has a cost, but a change made by an upstream or the
 * operator must be in force in all daemons within a bound. In a large fleet a
 * change takes two steps, from the store to a store reader and from there to
 * the daemons that poll it; both together have to stay within the bound.
 *
 *     poll_intervals_t intervals;
 *     poll_intervals_set(&intervals, drain_us, converge_us, large_fleet);
 */
#ifndef TIER_POLL_INTERVALS_H
#define TIER_POLL_INTERVALS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    int64_t store_poll_us;     /* between polls of the store for upstreams */
    int64_t members_poll_us;   /* between polls of the store for members */
    int64_t peer_poll_us;      /* between polls of a store reader */
    int64_t peer_max_age_us;   /* older state of a peer is not used */
    int64_t store_fallback_us; /* without usable state from a peer for this
                                  long, poll the store */
} poll_intervals_t;

/* Derive the intervals from the bounds in the settings: the time in which a
   drain and a new configuration must be in force, in microseconds; 0: not
   set. large_fleet: only some members read the store. */
void poll_intervals_set(poll_intervals_t *intervals, int64_t drain_us,
                        int64_t converge_us, bool large_fleet);

#endif
