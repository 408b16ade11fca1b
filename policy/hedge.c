#include "policy/hedge.h"

/* A request is hedged after this quantile of the response times. That adds at
   most a tenth to the requests; the retry budget allows a fifth. */
#define HEDGE_QUANTILE 0.90
/* A shard is late after this multiple of the time that half of the shards
   took: upstreams of one service differ in speed by a third either way. */
#define STRAGGLER_FACTOR 1.6
/*
 * Each sample moves the median by this part of itself, up or down. A median,
 * as a mean would follow the few shards that are slow: their responses come in
 * bunches, and all other upstreams would then count as fast.
 */
#define MEDIAN_STEP 0.02

enum {
    HEDGE_SAMPLES_MIN = 20, /* with fewer, the quantile is not used */
    /* Hedge delays as fractions of the goal: the goal divided by these. */
    HEDGE_INITIAL_GOAL_DIVISOR = 4,  /* too few samples */
    HEDGE_LATEST_GOAL_DIVISOR = 2,   /* upper limit */
    HEDGE_FALLBACK_GOAL_DIVISOR = 3, /* before half of the shards answered */
    /* Below this, timer inaccuracy outweighs the upstreams' differences. */
    HEDGE_DELAY_FLOOR_US = 5000
};

void
hedge_profile_add(hedge_profile_t *profile, int64_t took_us)
{
    latency_add(&profile->latency, took_us);
    if (profile->typical_us <= 0) {
        profile->typical_us = (double)took_us;
    }
    else if ((double)took_us > profile->typical_us) {
        profile->typical_us *= 1 + MEDIAN_STEP;
    }
    else {
        profile->typical_us *= 1 - MEDIAN_STEP;
    }
}

int64_t
hedge_expected_us(const hedge_profile_t *profile, int64_t goal_us)
{
    return profile->typical_us > 0 ? (int64_t)profile->typical_us
                                   : goal_us / HEDGE_INITIAL_GOAL_DIVISOR;
}

int64_t
hedge_straggler_us(int64_t half_answered_us)
{
    return (int64_t)((double)half_answered_us * STRAGGLER_FACTOR) +
           HEDGE_DELAY_FLOOR_US;
}

int64_t
hedge_fallback_us(int64_t goal_us)
{
    return goal_us / HEDGE_FALLBACK_GOAL_DIVISOR;
}

int64_t
hedge_delay_us(const hedge_profile_t *profile, int64_t goal_us)
{
    int64_t delay_us =
        profile->latency.count < HEDGE_SAMPLES_MIN
            ? goal_us / HEDGE_INITIAL_GOAL_DIVISOR
            : latency_quantile(&profile->latency, HEDGE_QUANTILE);
    if (delay_us > goal_us / HEDGE_LATEST_GOAL_DIVISOR) {
        delay_us = goal_us / HEDGE_LATEST_GOAL_DIVISOR;
    }
    return delay_us < HEDGE_DELAY_FLOOR_US ? HEDGE_DELAY_FLOOR_US : delay_us;
}
