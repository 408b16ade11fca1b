/* Heartbeat period by the size of the group and the state of leases. */
#include "fleet/pace.h"
#include "t/lib/suite.h"

#define NOW_US INT64_C(100000000)

typedef struct {
    const char *name;
    size_t others;
    bool healthy;
    int64_t degraded_age_us; /* since a degraded peer's heartbeat; -1: none */
    int64_t period_us;
} pace_case_t;

static const pace_case_t cases[] = {
    {"alone", 0, true, -1, 500000},
    {"eight members", 7, true, -1, 500000},
    {"largest with the minimum period", 11, true, -1, 500000},
    {"smallest with a longer period", 12, true, -1, 537777},
    {"full group", 31, true, -1, 1389259},
    {"full group, own lease late", 31, false, -1, 500000},
    {"full group, a degraded peer", 31, true, 1, 500000},
    {"degraded peer until recently", 31, true, PACE_FAST_US - 1, 500000},
    {"degraded peer long ago", 31, true, PACE_FAST_US, 1389259},
};

START_TEST(test_period)
{
    const pace_case_t *c = &cases[_i];
    pace_t pace = {0};
    if (c->degraded_age_us >= 0) {
        pace_heartbeat_receive(&pace, true, NOW_US - c->degraded_age_us);
        pace_heartbeat_receive(&pace, false, NOW_US);
    }
    int64_t period_us = pace_period_us(&pace, c->others, c->healthy, NOW_US);
    ck_assert_msg(period_us == c->period_us, "%s: %lld us", c->name,
                  (long long)period_us);
}
END_TEST

/* One lost heartbeat does not make a member suspect. */
START_TEST(test_timeouts_span_a_lost_heartbeat)
{
    for (size_t others = 0; others < ROSTER_MEMBERS_MAX; others++) {
        pace_t pace = {0};
        int64_t period_us = pace_period_us(&pace, others, true, NOW_US);
        member_settings_t timeouts = pace_member_settings(others);
        ck_assert_int_gt(timeouts.suspect_us, 2 * period_us);
        ck_assert_int_gt(timeouts.dead_us, 2 * timeouts.suspect_us);
        ck_assert_int_le((int64_t)others * PACE_HEARTBEAT_BYTES * 1000000,
                         (PACE_BYTES_PER_S + 1) * period_us);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("pace");
    tcase_add_loop_test(tests, test_period, 0,
                        sizeof(cases) / sizeof(cases[0]));
    tcase_add_test(tests, test_timeouts_span_a_lost_heartbeat);
    return suite_run("pace", tests);
}
