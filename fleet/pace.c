#include "fleet/pace.h"

enum { SUSPECT_PERIODS = 3, DEAD_PERIODS = 10 };

#define US_PER_S INT64_C(1000000)

static int64_t
steady_us(size_t others)
{
    int64_t period_us =
        (int64_t)others * PACE_HEARTBEAT_BYTES * US_PER_S / PACE_BYTES_PER_S;
    return period_us > PACE_HEARTBEAT_MIN_US ? period_us
                                             : PACE_HEARTBEAT_MIN_US;
}

void
pace_heard(pace_t *pace, bool in_need, int64_t now_us)
{
    if (in_need) {
        pace->hurry_until_us = now_us + PACE_HURRY_US;
    }
}

int64_t
pace_heartbeat_us(const pace_t *pace, size_t others, bool healthy,
                  int64_t now_us)
{
    if (!healthy || now_us < pace->hurry_until_us) {
        return PACE_HEARTBEAT_MIN_US;
    }
    return steady_us(others);
}

member_settings_t
pace_silence(size_t others)
{
    int64_t period_us = steady_us(others);
    return (member_settings_t){
        .suspect_us = SUSPECT_PERIODS * period_us,
        .dead_us = DEAD_PERIODS * period_us,
    };
}
