/*
 * When a shard's request is sent to a second upstream though the first has
 * not failed.
 *
 * The load it answers: upstreams that pause for a quarter of a second every
 * few seconds, a few that are several times slower than the others, answers
 * that never come. A request goes out again once it takes longer than most
 * do, early enough that the second answer can still be in time; how many do
 * is bounded by the budget of the service (core/budget.h).
 *
 *     int64_t after_us = hedge_delay_us(&profile, goal_us);
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

int64_t hedge_delay_us(const hedge_profile_t *profile, int64_t goal_us);

#endif
