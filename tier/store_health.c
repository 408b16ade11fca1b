#include "tier/store_health.h"

bool
store_health_failed(store_health_t *health, const store_failure_t *failure,
                    int64_t now_us)
{
    if (failure->rate_limited) {
        health->alive_us = now_us;
    }
    if (!health->reachable) {
        return false;
    }
    if (!health->doubtful) {
        health->doubtful = true;
        health->doubtful_since_us = now_us;
        return false;
    }
    if (failure->sent_us < health->doubtful_since_us) {
        /* It failed for the same cause as the first one. */
        return false;
    }
    health->reachable = false;
    return true;
}

bool
store_health_answered(store_health_t *health, int64_t *away_us, int64_t now_us)
{
    bool returned = !health->reachable;
    if (returned) {
        *away_us = health->alive_us > 0 ? now_us - health->alive_us
                                        : STORE_AWAY_UNKNOWN_US;
    }
    health->reachable = true;
    health->doubtful = false;
    health->alive_us = now_us;
    return returned;
}
