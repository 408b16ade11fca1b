/*
 * Hedge delays: when a subrequest is sent to a second upstream although the
 * first has not failed.
 *
 * Hedges help against upstreams that pause for a quarter of a second every few
 * seconds, that are several times slower than the others, or that never
 * respond. A request to one service is hedged once it takes longer than most
 * requests do, early enough that the second response can still meet the goal.
 * A query over shards is compared with its own shards instead: some queries
 * are several times as much work as others at every shard, so a shard is late
 * if it takes much longer than half of the shards did. The number of hedges is
 * limited by the service's retry budget (core/budget.h).
 *
 *     int64_t after_us = hedge_delay_us(&profile, goal_us);
 *     int64_t after_us = hedge_straggler_us(half_answered_us);
 */
#ifndef POLICY_HEDGE_H
#define POLICY_HEDGE_H

#include "core/latency.h"

#include <stdint.h>

/* Response times of a route's upstreams. Zeroed: no samples. */
typedef struct {
    latency_t latency; /* of successful responses */
    double typical_us; /* moving median of these times; 0: no samples */
} hedge_profile_t;

/* Add the time in microseconds that a successful response took. */
void hedge_profile_add(hedge_profile_t *profile, int64_t took_us);

/* Typical time of one response in microseconds; a fraction of the goal while
   there are no samples. goal_us is a duration, as below. */
int64_t hedge_expected_us(const hedge_profile_t *profile, int64_t goal_us);

/* Delay for a shard's subrequest once half of the shards have answered, which
   took half_answered_us. */
int64_t hedge_straggler_us(int64_t half_answered_us);

/* Delay for a shard's subrequest before half of the shards have answered,
   which may never happen: the nearest upstreams of all shards can fail at
   once. */
int64_t hedge_fallback_us(int64_t goal_us);

/* Delay for a request to one service. */
int64_t hedge_delay_us(const hedge_profile_t *profile, int64_t goal_us);

#endif
