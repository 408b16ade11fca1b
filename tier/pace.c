#include "tier/pace.h"

enum {
    /* Where the settings name no bound: the longer of those that are known. */
    PACE_BOUND_US = 5000000,
    /* Percent of the bound. In a large fleet reading, its slack and asking
       together leave a fifth for the calls themselves. */
    PACE_READ_PERCENT = 40,
    PACE_SLACK_PERCENT = 10,
    PACE_ASK_PERCENT = 30,
    PACE_ALONE_PERCENT = 40,
    /* Where everybody reads there is one step only. */
    PACE_ONE_STEP_PERCENT = 50,
    /* Sooner is better for what an upstream says of itself: as often as it
       can be told apart from the one before. */
    PACE_READ_MOST_US = 1500000,
    /* Several changes of members in a row, of a restart, are one call. */
    PACE_MEMBERS_US = 1000000
};

static int64_t
least_said(int64_t one_us, int64_t other_us)
{
    if (one_us <= 0 || other_us <= 0) {
        return one_us > 0 ? one_us : other_us > 0 ? other_us : PACE_BOUND_US;
    }
    return one_us < other_us ? one_us : other_us;
}

void
pace_set(pace_t *pace, int64_t drain_us, int64_t converge_us, bool large)
{
    int64_t bound_us = least_said(drain_us, converge_us);
    int64_t read_us = bound_us * PACE_READ_PERCENT / 100;
    if (!large) {
        read_us = bound_us * PACE_ONE_STEP_PERCENT / 100;
        read_us = read_us < PACE_READ_MOST_US ? read_us : PACE_READ_MOST_US;
    }
    *pace = (pace_t){
        .read_us = read_us,
        .members_us = large ? read_us : PACE_MEMBERS_US,
        .ask_us = bound_us * PACE_ASK_PERCENT / 100,
        .fresh_us = read_us + bound_us * PACE_SLACK_PERCENT / 100,
        .alone_us = bound_us * PACE_ALONE_PERCENT / 100,
    };
}
