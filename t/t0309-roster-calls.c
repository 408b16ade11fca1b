/*
 * One roster and its calls to the store: lost replies, stale reads and
 * unusable documents.
 */
#include "fleet/roster.h"
#include "t/lib/suite.h"

#include <stdlib.h>
#include <string.h>

static const roster_settings_t settings = ROSTER_SETTINGS_DEFAULT;
static const roster_member_t self = {
    .name = "a1",
    .incarnation = 7,
    .zone = "south-1",
    .address = "127.0.0.1",
    .peer_port = 7001,
};

#define START_US INT64_C(1000000)
#define LATER_US INT64_C(1400000)

static roster_t *roster;
static roster_request_t request;

static void
setup(void)
{
    roster = roster_new(&settings, &self);
}

static void
teardown(void)
{
    free(request.text);
    request.text = NULL;
    roster_free(roster);
}

/* Find no document at START_US, and start to write the first one. */
static void
start_join(void)
{
    ck_assert_int_eq(roster_next(roster, START_US, &request), ROSTER_READ);
    roster_read_result(roster, STATUS_NOT_FOUND, 0, NULL, 0, START_US);
    ck_assert_int_eq(roster_next(roster, START_US, &request), ROSTER_WRITE);
    ck_assert_uint_eq(request.index, 0);
}

static void
read_back(const char *text, uint64_t index, int64_t now_us)
{
    roster_request_t read;
    ck_assert_int_eq(roster_next(roster, now_us, &read), ROSTER_READ);
    roster_read_result(roster, text == NULL ? STATUS_NOT_FOUND : STATUS_OK,
                       index, text, text == NULL ? 0 : strlen(text), now_us);
}

typedef struct {
    const char *name;
    status_t result; /* of the write that joins */
    bool applied;    /* the write took effect */
    bool member;     /* after the next read */
} write_case_t;

static const write_case_t write_cases[] = {
    {"took effect", STATUS_OK, true, true},
    {"reply lost, took effect", STATUS_UNKNOWN, true, true},
    {"timed out, took effect", STATUS_TIMEOUT, true, true},
    {"reply lost, no effect", STATUS_UNKNOWN, false, false},
    {"refused", STATUS_UNAVAILABLE, false, false},
    {"conflict", STATUS_CONFLICT, false, false},
};

START_TEST(test_write)
{
    const write_case_t *c = &write_cases[_i];
    start_join();
    roster_write_result(roster, c->result, LATER_US);
    ck_assert(roster_may_act(roster, LATER_US) == (c->result == STATUS_OK));
    roster_stats_t stats;
    roster_stats(roster, LATER_US, &stats);
    if (c->result != STATUS_OK) {
        int64_t wake_us = roster_wakeup(roster, LATER_US);
        read_back(c->applied ? request.text : NULL, c->applied ? 5 : 0,
                  wake_us);
    }
    /* The lease starts when the write was sent, even if a read confirms it. */
    int64_t until_us = START_US + settings.lease_us;
    ck_assert_msg(roster_may_act(roster, until_us - 1) == c->member, "%s",
                  c->name);
    ck_assert_msg(!roster_may_act(roster, until_us), "%s", c->name);
}
END_TEST

START_TEST(test_one_call_at_a_time)
{
    start_join();
    roster_request_t other;
    ck_assert_int_eq(roster_next(roster, LATER_US, &other), ROSTER_IDLE);
    ck_assert_int_eq(roster_wakeup(roster, LATER_US), INT64_MAX);
}
END_TEST

static const char *const unusable[] = {
    "not json",
    "{\"version\":1,\"members\":[]}", /* same version, other members */
    "{\"version\":0,\"members\":[]}", /* an older version */
};

START_TEST(test_unusable_read)
{
    start_join();
    roster_write_result(roster, STATUS_OK, LATER_US);
    int64_t due_us = roster_wakeup(roster, LATER_US);
    ck_assert_int_gt(due_us, LATER_US);
    read_back(unusable[_i], 9, due_us);
    ck_assert_uint_eq(roster_version(roster), 1);
    ck_assert_uint_eq(roster_members(roster)->count, 1);
    roster_request_t other;
    ck_assert_int_eq(roster_next(roster, due_us, &other), ROSTER_IDLE);
    roster_stats_t stats;
    roster_stats(roster, due_us, &stats);
    ck_assert_uint_eq(stats.failures, 1);
}
END_TEST

START_TEST(test_stale_read)
{
    start_join();
    roster_write_result(roster, STATUS_UNKNOWN, LATER_US);
    read_back(request.text, 5, roster_wakeup(roster, LATER_US));
    int64_t due_us = START_US + settings.renew_us;
    roster_request_t renewal;
    ck_assert_int_eq(roster_next(roster, due_us, &renewal), ROSTER_WRITE);
    ck_assert_uint_eq(renewal.index, 5);
    roster_write_result(roster, STATUS_CONFLICT, due_us);
    read_back(request.text, 4, due_us);
    free(renewal.text);
    ck_assert_int_eq(roster_next(roster, due_us, &renewal), ROSTER_IDLE);
}
END_TEST

START_TEST(test_leave_stops_at_once)
{
    start_join();
    roster_write_result(roster, STATUS_OK, LATER_US);
    ck_assert(roster_may_act(roster, LATER_US));
    roster_leave(roster);
    ck_assert(!roster_may_act(roster, LATER_US));
    ck_assert(!roster_left(roster));
}
END_TEST

START_TEST(test_one_member_has_no_grants)
{
    start_join();
    roster_write_result(roster, STATUS_OK, LATER_US);
    int member;
    owner_key_t upstream = owner_key("ledger-desk-g0-r0", "south-1");
    ck_assert_int_eq(roster_owner(roster, upstream, LATER_US, &member),
                     ROSTER_ACTIVE);
    int64_t after_us = START_US + settings.lease_us;
    ck_assert_int_eq(roster_owner(roster, upstream, after_us, &member),
                     ROSTER_PAUSED);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("roster calls");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_loop_test(tests, test_write, 0,
                        sizeof(write_cases) / sizeof(write_cases[0]));
    tcase_add_test(tests, test_one_call_at_a_time);
    tcase_add_loop_test(tests, test_unusable_read, 0,
                        sizeof(unusable) / sizeof(unusable[0]));
    tcase_add_test(tests, test_stale_read);
    tcase_add_test(tests, test_leave_stops_at_once);
    tcase_add_test(tests, test_one_member_has_no_grants);
    return suite_run("roster calls", tests);
}
