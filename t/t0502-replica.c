/*
 * Tests which parts a stand-in upstream runs or refuses, how it partitions the
 * keys, and how the ledger counts repeated work.
 */
#include "standin/lib/answer.h"
#include "standin/lib/ledger.h"
#include "standin/lib/replica.h"
#include "t/lib/suite.h"

#define NOW_US INT64_C(1000000)
#define LATER_US (NOW_US + 100000)

static const upstream_plan_t *
first_upstream(void)
{
    static upstream_plan_t plans[256];
    plan_upstreams(plan_deployment("mizukumi"), 0, plans);
    return &plans[0]; /* ledger-desk, group 0 of 10, 4 slots */
}

typedef struct {
    const char *name;
    key_range_t range;
    uint64_t version;
    uint64_t generation;
    int64_t deadline_us;
    uint64_t upstream_generation;
    run_status_t status;
    uint64_t resolved_version;
} check_case_t;

static const check_case_t check_cases[] = {
    {"newest", {0, 100}, 0, 0, LATER_US, 1, RUN_OK, 17},
    {"current", {0, 100}, 17, 1, LATER_US, 1, RUN_OK, 17},
    {"previous", {0, 100}, 16, 1, LATER_US, 1, RUN_OK, 16},
    {"too old", {0, 100}, 15, 1, LATER_US, 1, RUN_NO_VERSION, 15},
    {"too new", {0, 100}, 18, 1, LATER_US, 1, RUN_NO_VERSION, 18},
    {"expired", {0, 100}, 17, 1, NOW_US, 1, RUN_EXPIRED, 17},
    {"old generation", {0, 100}, 17, 1, LATER_US, 2, RUN_MOVED, 17},
    {"new generation", {0, 100}, 17, 2, LATER_US, 1, RUN_MOVED, 17},
    {"another group's keys",
     {0, KEY_END / 5},
     17,
     0,
     LATER_US,
     1,
     RUN_MOVED,
     17},
    {"upper half moved to the next group",
     {0, KEY_END / 10},
     17,
     2,
     LATER_US,
     2,
     RUN_MOVED,
     17},
    {"lower half stayed", {0, KEY_END / 20}, 17, 2, LATER_US, 2, RUN_OK, 17},
};

START_TEST(test_check)
{
    const check_case_t *c = &check_cases[_i];
    replica_t replica;
    replica_init(&replica, first_upstream(), 1, 17, c->upstream_generation);
    run_part_t part = {.range = c->range,
                       .version = c->version,
                       .generation = c->generation,
                       .deadline_us = c->deadline_us};
    size_t runs = replica_check(&replica, &part, 1, NOW_US);
    ck_assert_msg(part.status == c->status, "%s: %s", c->name,
                  run_status_name(part.status));
    ck_assert_uint_eq(runs, c->status == RUN_OK);
    ck_assert_uint_eq(part.version, c->resolved_version);
}
END_TEST

typedef struct {
    const char *name;
    bool cold;
    bool shed;
    uint32_t running;
    size_t slots;
    int64_t reported_us;
    admit_t decision;
} admit_case_t;

static const admit_case_t admit_cases[] = {
    {"a free slot", false, false, 3, 1, 0, ADMIT_RUN},
    {"no free slot", false, false, 4, 1, 0, ADMIT_SHED},
    {"more parts than free slots", false, false, 3, 2, 0, ADMIT_SHED},
    {"set to shed", false, true, 0, 1, 0, ADMIT_SHED},
    {"cold, first part", true, false, 0, 1, NOW_US, ADMIT_RUN},
    {"cold, not reported", true, false, 1, 1, 0, ADMIT_SHED_COLD},
    {"cold, just reported", true, false, 1, 1, LATER_US, ADMIT_SHED_COLD},
    {"cold, reported", true, false, 1, 1, NOW_US, ADMIT_SHED_COLD_REPORTED},
};

START_TEST(test_admit)
{
    const admit_case_t *c = &admit_cases[_i];
    replica_t replica;
    replica_init(&replica, first_upstream(), 1, 17, 1);
    replica.state.cold = c->cold;
    replica.state.shed = c->shed;
    replica.running = c->running;
    replica.cold_reported_us = c->reported_us;
    ck_assert_msg(replica_admit(&replica, c->slots, LATER_US) == c->decision,
                  "%s", c->name);
}
END_TEST

/* Runs parts one by one until the replica is warm; returns their number. */
static unsigned
warm_up(replica_t *replica)
{
    unsigned parts = 0;
    for (; replica->state.cold && parts < 1000; parts++) {
        run_part_t part = {.range = {0, 100}, .deadline_us = LATER_US};
        (void)replica_check(replica, &part, 1, NOW_US);
        ck_assert(replica_admit(replica, 1, NOW_US) == ADMIT_RUN);
        (void)replica_start(replica, &part, 1, NOW_US);
        replica_finish(replica, 1);
    }
    return parts;
}

/* Parts that are cut off with their connections release their slots. */
START_TEST(test_drop)
{
    replica_t replica;
    replica_init(&replica, first_upstream(), 1, 17, 1);
    replica.running = 3;
    replica_drop(&replica, 2);
    ck_assert_uint_eq(replica.running, 1);
    replica_drop(&replica, 2);
    ck_assert_uint_eq(replica.running, 0);
}
END_TEST

START_TEST(test_crash)
{
    replica_t replica;
    replica_init(&replica, first_upstream(), 1, 17, 1);
    uint64_t boot = replica.boot;
    replica.running = 3;
    replica_crash(&replica, NOW_US);
    ck_assert(replica.boot != boot);
    ck_assert_uint_eq(replica.running, 0);
    ck_assert(replica.state.cold);
    ck_assert_uint_eq(warm_up(&replica), replica.cold_parts);
    replica_state_t state = replica.state;
    state.cold = true;
    replica_set(&replica, &state, NOW_US);
    ck_assert_uint_eq(warm_up(&replica), replica.cold_parts);
    ck_assert(replica_body_crashes("poison:1"));
    ck_assert(!replica_body_crashes("query:poison:1"));
}
END_TEST

START_TEST(test_deadline)
{
    replica_t replica;
    replica_init(&replica, first_upstream(), 1, 17, 1);
    replica.state.slow = 1000;
    run_part_t part = {.range = {0, 100}, .deadline_us = LATER_US};
    (void)replica_check(&replica, &part, 1, NOW_US);
    int64_t end_us = replica_start(&replica, &part, 1, NOW_US);
    ck_assert(end_us == LATER_US);
    ck_assert(part.status == RUN_FAILED);
}
END_TEST

/* About one part in a hundred takes ten times as long, with each seed. */
START_TEST(test_stragglers)
{
    replica_t replica;
    replica_init(&replica, first_upstream(), (uint64_t)_i, 17, 1);
    int64_t median_us = replica.plan->service->service_us;
    int slow = 0;
    for (int i = 0; i < 10000; i++) {
        run_part_t part = {.status = RUN_OK, .deadline_us = INT64_MAX};
        slow += replica_start(&replica, &part, 1, 0) > 2 * median_us;
    }
    ck_assert_int_ge(slow, 50);
    ck_assert_int_le(slow, 150);
}
END_TEST

/*
 * The shards of a generation cover each key exactly once, and their answers
 * add up to that of the whole key space.
 */
START_TEST(test_partition)
{
    const deployment_t *deployment =
        plan_deployment(_i / 8 == 0 ? "sonar" : "mizukumi");
    const service_plan_t *service = &deployment->services[_i % 4];
    uint64_t generation = (uint64_t)(_i / 4 % 2) + 1;
    uint64_t next = 0;
    uint64_t sum = 0;
    uint64_t count = 0;
    for (size_t i = 0; i < plan_shard_count(service, generation); i++) {
        shard_t shard = plan_shard(service, generation, i);
        ck_assert(shard.range.lo == next && shard.range.hi > next);
        ck_assert(plan_serves(service, generation, shard.group, shard.range));
        next = shard.range.hi;
        sum += answer_sum(shard.range, 17);
        count += answer_count(shard.range, 17);
    }
    key_range_t whole = {.lo = 0, .hi = KEY_END};
    ck_assert(next == KEY_END);
    ck_assert(sum == answer_sum(whole, 17) && sum != answer_sum(whole, 16));
    ck_assert(count == answer_count(whole, 17));
}
END_TEST

typedef struct {
    const char *name;
    key_range_t ranges[3];
    bool once;
    json_int_t repeated;
    json_int_t doubled;
} ledger_case_t;

static const ledger_case_t ledger_cases[] = {
    {"disjoint ranges", {{0, 10}, {10, 20}, {30, 40}}, true, 0, 0},
    {"the same keys again", {{0, 10}, {0, 10}, {30, 40}}, true, 1, 1},
    {"one key again", {{0, 10}, {9, 20}, {30, 40}}, true, 1, 1},
    {"three starts double one body", {{0, 9}, {0, 9}, {0, 9}}, true, 2, 1},
    {"a hedge is repeated work", {{0, 10}, {0, 10}, {10, 20}}, false, 1, 0},
};

static json_int_t
total(const json_t *counts, const char *name)
{
    return json_integer_value(
        json_object_get(json_object_get(counts, "totals"), name));
}

START_TEST(test_ledger)
{
    const ledger_case_t *c = &ledger_cases[_i];
    ledger_t *ledger = ledger_new();
    ledger_counters_t *counters =
        ledger_counters_get(ledger, "ledger-desk", "south-1");
    for (size_t i = 0; i < 3; i++) {
        ledger_start(ledger, counters, "body", c->once, c->ranges[i], NOW_US);
    }
    ledger_start(ledger, counters, "other", true, c->ranges[0], NOW_US);
    json_t *counts = ledger_json(ledger, NOW_US);
    ck_assert_int_eq(total(counts, "started"), 4);
    ck_assert_int_eq(total(counts, "bodies"), 2);
    ck_assert_msg(total(counts, "repeated") == c->repeated, "%s", c->name);
    ck_assert_msg(total(counts, "doubled") == c->doubled, "%s", c->name);
    ck_assert(ledger_body_started(ledger, "body") &&
              !ledger_body_started(ledger, "bod"));
    json_decref(counts);
    ledger_free(ledger);
}
END_TEST

#define COUNT(cases) (int)(sizeof(cases) / sizeof((cases)[0]))

int
main(void)
{
    TCase *tests = tcase_create("replica");
    tcase_add_loop_test(tests, test_check, 0, COUNT(check_cases));
    tcase_add_loop_test(tests, test_admit, 0, COUNT(admit_cases));
    tcase_add_test(tests, test_drop);
    tcase_add_test(tests, test_crash);
    tcase_add_test(tests, test_deadline);
    tcase_add_loop_test(tests, test_stragglers, 0, 5);
    tcase_add_loop_test(tests, test_partition, 0, 16);
    tcase_add_loop_test(tests, test_ledger, 0, COUNT(ledger_cases));
    return suite_run("replica", tests);
}
