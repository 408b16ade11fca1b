#include "tier/poll_intervals.h"

enum {
    /* Used when the settings have no bound: the longer of the known bounds. */
    POLL_BOUND_DEFAULT_US = 5000000,
    /* Percent of the bound. In a large fleet the store poll, its slack and the
       peer poll together leave a fifth for the calls themselves. */
    POLL_STORE_PERCENT = 40,
    POLL_SLACK_PERCENT = 10,
    POLL_PEER_PERCENT = 30,
    POLL_FALLBACK_PERCENT = 40,
    /* All daemons read the store: a change takes one step only. */
    POLL_SMALL_FLEET_PERCENT = 50,
    /* Upper limit in a small fleet. Changes of an upstream's state should be
       known early: poll as often as successive states can be told apart. */
    POLL_STORE_MAX_US = 1500000,
    /* Long enough to fetch the several member changes of a restart with one
       call. */
    POLL_MEMBERS_US = 1000000
};

/* The smaller of the bounds that are set; the default if none is. */
static int64_t
bound_min(int64_t drain_us, int64_t converge_us)
{
    if (drain_us <= 0 || converge_us <= 0) {
        return drain_us > 0      ? drain_us
               : converge_us > 0 ? converge_us
                                 : POLL_BOUND_DEFAULT_US;
    }
    return drain_us < converge_us ? drain_us : converge_us;
}

void
poll_intervals_set(poll_intervals_t *intervals, int64_t drain_us,
                   int64_t converge_us, bool large_fleet)
{
    int64_t bound_us = bound_min(drain_us, converge_us);
    int64_t read_us = bound_us * POLL_STORE_PERCENT / 100;
    if (!large_fleet) {
        read_us = bound_us * POLL_SMALL_FLEET_PERCENT / 100;
        read_us = read_us < POLL_STORE_MAX_US ? read_us : POLL_STORE_MAX_US;
    }
    *intervals = (poll_intervals_t){
        .store_poll_us = read_us,
        .members_poll_us = large_fleet ? read_us : POLL_MEMBERS_US,
        .peer_poll_us = bound_us * POLL_PEER_PERCENT / 100,
        .peer_max_age_us = read_us + bound_us * POLL_SLACK_PERCENT / 100,
        .store_fallback_us = bound_us * POLL_FALLBACK_PERCENT / 100,
    };
}
