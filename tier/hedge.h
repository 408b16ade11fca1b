/*
 * When a shard's request is sent to a second upstream though the first has
 * not failed.
 *
 * The load it answers: upstreams that pause for a quarter of a second every
 * few seconds, a few that are several times slower than the others, answers
 * that never come. A request to one service goes out again once it takes
 * longer than most do, early enough that the second answer can still be in
 * time. A query over shards is its own measure: some are several times as
 * much work as others, at every shard, so a shard is late when half of the
 * others have long answered. How many are sent again is bounded by the budget
 * of the service (core/budget.h).
 *
 *     int64_t after_us = hedge_delay_us(&profile, goal_us);
 *     int64_t after_us = hedge_straggler_us(half_us);
 */
#ifndef TIER_HEDGE_H
#define TIER_HEDGE_H

#include "core/latency.h"

#include <stdint.h>

/* What is known of a route's times at the upstreams. Zeroed: nothing. */
typedef struct {
    latency_t latency; /* of the answers that were used */
    double mean_us;    /* moving mean of them; 0: none yet */
} hedge_profile_t;

void hedge_profile_add(hedge_profile_t *profile, int64_t took_us);

/* Typical time of one answer; a part of the goal while nothing is known. */
int64_t hedge_expected_us(const hedge_profile_t *profile, int64_t goal_us);

/* For a shard of which half of the others answered within half_us. */
int64_t hedge_straggler_us(int64_t half_answered_us);

/* For a shard while fewer have answered: the near upstreams of all of them
   may be gone at once. */
int64_t hedge_fallback_us(int64_t goal_us);

int64_t hedge_delay_us(const hedge_profile_t *profile, int64_t goal_us);

#endif
