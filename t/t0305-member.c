/*
 * Failure detection: missing heartbeats, failed connections, one-way loss and
 * pauses of the local process.
 */
#include "fleet/member.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <string.h>

#define MS INT64_C(1000)

static const member_settings_t settings = MEMBER_SETTINGS_DEFAULT;

typedef struct {
    const char *name;
    int64_t heard_ms; /* last heartbeat; the test ends at 20 s */
    int64_t echo_ms;  /* sending time of our heartbeat that it echoes */
    uint64_t incarnation;
    bool connection_fails; /* after the last heartbeat */
    member_state_t state;  /* expected at 20 s */
} state_case_t;

/*
 * Heartbeats come every 500 ms. A member is suspect after 1.5 s without one
 * and dead after 5 s.
 */
static const state_case_t state_cases[] = {
    {"heartbeats both ways", 19900, 19500, 1, false, MEMBER_ALIVE},
    {"two heartbeats lost", 18600, 18500, 1, false, MEMBER_ALIVE},
    {"no heartbeat for 1.6 s", 18400, 18300, 1, false, MEMBER_SUSPECT},
    {"no heartbeat for 5.1 s", 14900, 14800, 1, false, MEMBER_DEAD},
    {"connection refused", 19900, 19500, 1, true, MEMBER_SUSPECT},
    {"does not receive ours", 19900, 14000, 1, false, MEMBER_DEAF},
    {"replaced on its address", 19900, 19500, 2, false, MEMBER_DEAD},
    {"echo from the future", 19900, 99000, 1, false, MEMBER_DEAF},
};

static void
table_fill(member_table_t *table, int64_t now_us)
{
    roster_doc_t doc = {.version = 1};
    for (int i = 0; i < 3; i++) {
        roster_member_t member = {.incarnation = 1};
        snprintf(member.name, NAME_SIZE, "a%d", i);
        roster_doc_add(&doc, &member);
    }
    member_table_sync(table, &doc, "a0", now_us);
}

/* Tick every 100 ms, too often for the gaps to count as pauses. */
static size_t
tick_through(member_table_t *table, int64_t from_us, int64_t to_us,
             member_change_t *changes)
{
    size_t count = 0;
    for (int64_t now = from_us; now <= to_us; now += 100 * MS) {
        count += member_table_tick(table, now, &changes[count], 4 - count);
    }
    return count;
}

START_TEST(test_state)
{
    const state_case_t *c = &state_cases[_i];
    member_table_t table;
    member_table_init(&table, &settings);
    table_fill(&table, 1000 * MS);
    member_change_t changes[4];
    tick_through(&table, 1000 * MS, c->heard_ms * MS - 1, changes);
    member_heartbeat_receive(&table, "a1", c->incarnation, c->echo_ms * MS,
                             c->heard_ms * MS);
    if (c->connection_fails) {
        member_connection_failed(&table, "a1", c->heard_ms * MS + 1);
    }
    tick_through(&table, c->heard_ms * MS, 20000 * MS, changes);
    ck_assert_msg(member_state(&table, "a1") == c->state, "%s: %s", c->name,
                  member_state_name(member_state(&table, "a1")));
    ck_assert_int_eq(member_state(&table, "a0"), MEMBER_ALIVE);
}
END_TEST

START_TEST(test_changes_and_digest)
{
    member_table_t table;
    member_table_init(&table, &settings);
    table_fill(&table, 1000 * MS);
    member_change_t changes[4];
    size_t count = tick_through(&table, 1000 * MS, 6100 * MS, changes);
    ck_assert_uint_eq(count, 4);
    ck_assert_int_eq(changes[3].from, MEMBER_SUSPECT);
    ck_assert_int_eq(changes[3].to, MEMBER_DEAD);
    member_digest_t before;
    member_digest(&table, &before);
    ck_assert_uint_eq(before.counts[MEMBER_DEAD], 2);
    member_heartbeat_receive(&table, "a2", 1, 6100 * MS, 6150 * MS);
    ck_assert_uint_eq(member_table_tick(&table, 6200 * MS, changes, 4), 1);
    member_digest_t after;
    member_digest(&table, &after);
    ck_assert_uint_eq(after.counts[MEMBER_ALIVE], 2);
    ck_assert_uint_ne(before.hash, after.hash);
}
END_TEST

START_TEST(test_local_pause_does_not_count)
{
    member_table_t table;
    member_table_init(&table, &settings);
    table_fill(&table, 1000 * MS);
    member_change_t changes[4];
    ck_assert_uint_eq(member_table_tick(&table, 1000 * MS, changes, 4), 0);
    ck_assert_uint_eq(member_table_tick(&table, 61000 * MS, changes, 4), 0);
    ck_assert_uint_eq(tick_through(&table, 61000 * MS, 67000 * MS, changes),
                      4);
}
END_TEST

START_TEST(test_new_incarnation_is_alive)
{
    member_table_t table;
    member_table_init(&table, &settings);
    table_fill(&table, 1000 * MS);
    member_heartbeat_receive(&table, "a1", 2, 0, 1100 * MS);
    member_change_t changes[4];
    member_table_tick(&table, 1200 * MS, changes, 4);
    ck_assert_int_eq(member_state(&table, "a1"), MEMBER_DEAD);
    roster_doc_t doc = {.version = 2};
    roster_member_t member = {.name = "a1", .incarnation = 2};
    roster_doc_add(&doc, &member);
    member_table_sync(&table, &doc, "a0", 1300 * MS);
    member_table_tick(&table, 1300 * MS, changes, 4);
    ck_assert_int_eq(member_state(&table, "a1"), MEMBER_ALIVE);
    ck_assert_int_eq(member_state(&table, "a2"), MEMBER_DEAD);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("member");
    tcase_add_loop_test(tests, test_state, 0,
                        sizeof(state_cases) / sizeof(state_cases[0]));
    tcase_add_test(tests, test_changes_and_digest);
    tcase_add_test(tests, test_local_pause_does_not_count);
    tcase_add_test(tests, test_new_incarnation_is_alive);
    return suite_run("member", tests);
}
