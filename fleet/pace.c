#include "fleet/pace.h"

enum { SUSPECT_PERIODS = 3, DEAD_PERIODS = 10 };

#define US_PER_S INT64_C(1000000)

static int64_t
pace_normal_period_us(size_t others)
{
    int64_t period_us =
        (int64_t)others * PACE_HEARTBEAT_BYTES * US_PER_S / PACE_BYTES_PER_S;
    return period_us > PACE_HEARTBEAT_MIN_US ? period_us
                                             : PACE_HEARTBEAT_MIN_US;
}

void
pace_heartbeat_receive(pace_t *pace, bool degraded, int64_t now_us)
{
    if (degraded) {
        pace->fast_until_us = now_us + PACE_FAST_US;
    }
}

int64_t
pace_period_us(const pace_t *pace, size_t others, bool healthy, int64_t now_us)
{
    if (!healthy || now_us < pace->fast_until_us) {
        return PACE_HEARTBEAT_MIN_US;
    }
    return pace_normal_period_us(others);
}

member_settings_t
pace_member_settings(size_t others)
{
    int64_t period_us = pace_normal_period_us(others);
    return (member_settings_t){
        .suspect_us = SUSPECT_PERIODS * period_us,
        .dead_us = DEAD_PERIODS * period_us,
    };
}
