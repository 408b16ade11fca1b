/*
 * Placement: the choice of an upstream, its concurrency limit, the order of
 * queued work, hedge delays and when a query over shards is answered.
 */
#include "policy/gather.h"
#include "policy/hedge.h"
#include "policy/pool.h"
#include "policy/wait_queue.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <string.h>

enum { T0 = 100000000, MS = 1000, SECOND = 1000000, EXPECTED_US = 20000 };

typedef struct {
    pool_t pool;
    instance_t instances[3];
} fixture_t;

/* Three upstreams with four slots each, in the zones a, b and c; the daemon is
   in zone a. */
static void
fixture_init(fixture_t *f)
{
    static const char *const zones[] = {"a", "b", "c"};
    memset(f, 0, sizeof(*f));
    f->pool.limits.fleet_size = 4;
    for (int i = 0; i < 3; i++) {
        instance_entry_t entry = {.slots = 4};
        snprintf(entry.id, sizeof(entry.id), "i-%d", i);
        snprintf(entry.zone, sizeof(entry.zone), "%s", zones[i]);
        instance_init(&f->instances[i], &entry, T0);
        ck_assert(pool_add(&f->pool, &f->instances[i]));
    }
}

static int
pick_from(fixture_t *f, const pool_pick_t *extra, int64_t now_us,
          pick_result_t *result)
{
    pool_pick_t pick = *extra;
    pick.cost_context.zone = "a";
    pick.cost_context.expected_us = EXPECTED_US;
    instance_t *instance = NULL;
    *result = pool_pick(&f->pool, &pick, now_us, &instance);
    return instance == NULL ? -1 : (int)(instance - f->instances);
}

static void
make_slow(instance_t *instance)
{
    for (int i = 0; i < 10; i++) {
        instance_sent(instance, T0);
        instance_answered(instance, 8 * EXPECTED_US, EXPECTED_US, true, T0);
    }
}

static void
make_refusing(instance_t *instance)
{
    for (int i = 0; i < 5; i++) {
        instance_sent(instance, T0);
        instance_refused(instance, T0);
    }
}

static void
make_losing(instance_t *instance)
{
    for (int i = 0; i < 5; i++) {
        instance_sent(instance, T0);
        instance_lost(instance, T0);
    }
}

static void
make_failing(instance_t *instance)
{
    for (int i = 0; i < 5; i++) {
        instance_sent(instance, T0);
        instance_answered(instance, 1000, EXPECTED_US, false, T0);
    }
}

static void
make_silent(instance_t *instance)
{
    instance_sent(instance, T0 - SECOND);
}

static void
make_draining(instance_t *instance)
{
    instance->entry.draining = true;
}

static void
make_misaddressed(instance_t *instance)
{
    instance->misaddressed = true;
    instance->misaddressed_us = T0;
}

static void
make_leaving(instance_t *instance)
{
    instance->leaving = true;
}

static void
make_resting(instance_t *instance)
{
    instance_rest(instance, 2 * SECOND, T0);
    instance_rest(instance, SECOND, T0); /* the longest rest counts */
}

static void
make_unreachable(instance_t *instance)
{
    instance->backoff_until_us = T0 + SECOND;
}

static void
make_busy(instance_t *instance)
{
    while (instance->in_flight < 4) {
        instance_sent(instance, T0);
    }
}

static void
leave_healthy(instance_t *instance)
{
    (void)instance;
}

/* Requests go to another zone while the upstream in the daemon's zone is
   degraded, and return once it has recovered. */
typedef struct {
    const char *name;
    void (*degrade)(instance_t *instance);
    bool avoided;        /* the request goes to another zone */
    int64_t recovery_us; /* used again after this time; 0: not tested */
} avoid_case_t;

static const avoid_case_t avoid_cases[] = {
    {"healthy", leave_healthy, false, 0},
    {"slow", make_slow, true, 20 * SECOND},
    {"refusing", make_refusing, true, 20 * SECOND},
    {"losing responses", make_losing, true, 20 * SECOND},
    {"failing", make_failing, true, 20 * SECOND},
    {"silent", make_silent, true, 0},
    {"draining", make_draining, true, 0},
    {"misaddressed", make_misaddressed, true, 6 * SECOND},
    {"leaving", make_leaving, true, 0},
    {"resting", make_resting, true, 2 * SECOND},
    {"unreachable", make_unreachable, true, 2 * SECOND},
    {"full", make_busy, true, 0},
};

START_TEST(test_avoid)
{
    const avoid_case_t *c = &avoid_cases[_i];
    fixture_t f;
    pick_result_t result;
    fixture_init(&f);
    c->degrade(&f.instances[0]);
    int picked = pick_from(&f, &(pool_pick_t){0}, T0, &result);
    ck_assert_int_eq(result, PICK_OK);
    ck_assert_msg((picked != 0) == c->avoided, "%s: %d", c->name, picked);
    if (c->recovery_us > 0) {
        picked =
            pick_from(&f, &(pool_pick_t){0}, T0 + c->recovery_us, &result);
        ck_assert_msg(picked == 0, "%s: still avoided after recovery",
                      c->name);
    }
    pool_release(&f.pool);
}
END_TEST

START_TEST(test_results)
{
    static const char *const closed[] = {"a", "b", "c"};
    fixture_t f;
    pick_result_t result;
    fixture_init(&f);
    /* Closed zones and upstreams that were tried already get no requests. */
    pool_pick_t pick = {.closed_zones = closed, .closed_count = 2};
    ck_assert_int_eq(pick_from(&f, &pick, T0, &result), 2);
    pick.closed_count = 3;
    ck_assert_int_eq(pick_from(&f, &pick, T0, &result), -1);
    ck_assert_int_eq(result, PICK_NONE);
    pick = (pool_pick_t){.avoid = {&f.instances[0], &f.instances[2]},
                         .avoid_count = 2};
    ck_assert_int_eq(pick_from(&f, &pick, T0, &result), 1);
    for (int i = 0; i < 3; i++) {
        make_busy(&f.instances[i]);
    }
    ck_assert_int_eq(pick_from(&f, &(pool_pick_t){0}, T0, &result), -1);
    ck_assert_int_eq(result, PICK_FULL);
    /* A hedge goes only to a healthy upstream. */
    fixture_t g;
    fixture_init(&g);
    for (int i = 0; i < 3; i++) {
        make_losing(&g.instances[i]);
    }
    pick = (pool_pick_t){.healthy_only = true};
    ck_assert_int_eq(pick_from(&g, &pick, T0, &result), -1);
    ck_assert_int_eq(result, PICK_FULL);
    pool_release(&f.pool);
    pool_release(&g.pool);
}
END_TEST

/* A request waits for upstreams that all rest only if the first rest ends in
   time for it. */
START_TEST(test_all_rest)
{
    fixture_t f;
    pick_result_t result;
    fixture_init(&f);
    for (int i = 0; i < 3; i++) {
        ck_assert_int_eq(pool_rest_end_us(&f.pool, &(pool_pick_t){0}, T0), 0);
        instance_rest(&f.instances[i], (3 - i) * SECOND, T0);
    }
    ck_assert_int_eq(pool_rest_end_us(&f.pool, &(pool_pick_t){0}, T0),
                     T0 + SECOND);
    pool_pick_t pick = {.wait_until_us = T0 + SECOND};
    ck_assert_int_eq(pick_from(&f, &pick, T0, &result), -1);
    ck_assert_int_eq(result, PICK_FULL);
    ck_assert_uint_gt(pool_capacity(&f.pool, &pick, T0), 0);
    pick.wait_until_us = T0 + SECOND - 1;
    ck_assert_int_eq(pick_from(&f, &pick, T0, &result), -1);
    ck_assert_int_eq(result, PICK_NONE);
    ck_assert_uint_eq(pool_capacity(&f.pool, &pick, T0), 0);
    ck_assert_int_eq(pick_from(&f, &pick, T0 + SECOND, &result), 2);
    pool_release(&f.pool);
}
END_TEST

typedef struct {
    const char *name;
    void (*make)(instance_t *);
    pick_result_t result;
} hedge_case_t;

static const hedge_case_t hedge_cases[] = {
    {"refusing", make_refusing, PICK_OK},
    {"losing requests", make_losing, PICK_FULL},
};

/* A hedge may go to an upstream that refuses most requests, since a refusal
   costs one round trip, but not to one that loses them. */
START_TEST(test_hedge_target)
{
    const hedge_case_t *c = &hedge_cases[_i];
    fixture_t f;
    fixture_init(&f);
    pick_result_t result;
    pool_pick_t pick = {.avoid = {&f.instances[0], &f.instances[2]},
                        .avoid_count = 2,
                        .healthy_only = true};
    c->make(&f.instances[1]);
    pick_from(&f, &pick, T0, &result);
    ck_assert_msg(result == c->result, "%s: %d", c->name, (int)result);
    pool_release(&f.pool);
}
END_TEST

typedef struct {
    const char *name;
    uint32_t sends;
    int64_t apart_us;    /* between two sends */
    uint32_t response;   /* number of sends before a response; 0: none */
    int64_t after_us;    /* of the question, after the last send */
    int64_t expected_us; /* typical response time */
    bool unresponsive;
} responsive_case_t;

static const responsive_case_t responsive_cases[] = {
    {"nothing was sent", 0, 0, 0, 0, EXPECTED_US, false},
    {"one response is missing", 1, 0, 0, SECOND, EXPECTED_US, false},
    {"the responses are not due", 9, MS, 0, 100 * MS, EXPECTED_US, false},
    {"no response for 400 ms", 5, 100 * MS, 0, 0, EXPECTED_US, true},
    {"no response for 400 ms to long work", 5, 100 * MS, 0, 0, 200 * MS,
     false},
    {"a response among them", 5, 100 * MS, 4, 100 * MS, EXPECTED_US, false},
    {"sends far apart", 5, 2 * SECOND, 0, 0, EXPECTED_US, false},
    {"no send for long", 5, 100 * MS, 0, 2 * SECOND, EXPECTED_US, false},
};

/* A service counts as unresponsive after several sends without a response for
   longer than an upstream pauses, until the next response. */
START_TEST(test_unresponsive_service)
{
    const responsive_case_t *c = &responsive_cases[_i];
    fixture_t f;
    fixture_init(&f);
    int64_t at = T0;
    for (uint32_t i = 0; i < c->sends; i++) {
        at += i > 0 ? c->apart_us : 0;
        if (c->response > 0 && i == c->response) {
            pool_note_response(&f.pool);
        }
        pool_note_sent(&f.pool, &f.instances[i % 3], false, at);
    }
    at += c->after_us;
    ck_assert_msg(pool_is_unresponsive(&f.pool, c->expected_us, at) ==
                      c->unresponsive,
                  "%s", c->name);
    pool_note_response(&f.pool);
    ck_assert(!pool_is_unresponsive(&f.pool, c->expected_us, at));
    pool_release(&f.pool);
}
END_TEST

typedef struct {
    uint32_t slots;
    uint32_t fleet;
    uint32_t connections;
    bool slow;
    uint32_t limit;
} limit_case_t;

static const limit_case_t limit_cases[] = {
    {4, 8, 36, false, 3}, /* the daemon's part of twice the slots, plus 2 */
    {4, 8, 36, true, 1},  /* slow: its part of the slots, rounded up */
    {6, 6, 45, false, 4},  {6, 6, 45, true, 1},  {4, 1, 36, false, 10},
    {4, 1, 36, true, 4},   {4, 8, 10, false, 1}, /* limited by connections */
    {4, 89, 36, false, 1},                       /* at least one */
};

START_TEST(test_concurrency_limit)
{
    const limit_case_t *c = &limit_cases[_i];
    fixture_t f;
    fixture_init(&f);
    f.pool.limits.fleet_size = c->fleet;
    f.pool.limits.connections = c->connections;
    f.instances[0].entry.slots = c->slots;
    if (c->slow) {
        make_slow(&f.instances[0]);
    }
    ck_assert_uint_eq(pool_concurrency_limit(&f.pool, &f.instances[0], T0),
                      c->limit);
    pool_release(&f.pool);
}
END_TEST

/* All daemons together keep to the rate limit of a cold upstream in every
   second. */
START_TEST(test_cold_rate)
{
    enum { FLEET = 8, COLD_PER_S = 12 };
    static int64_t sent[FLEET * 200];
    size_t count = 0;
    for (int d = 0; d < FLEET; d++) {
        fixture_t f;
        fixture_init(&f);
        f.pool.limits.fleet_size = FLEET;
        f.pool.limits.cold_per_s = COLD_PER_S;
        f.instances[0].cold_until_us = T0 + 5 * SECOND;
        pool_pick_t pick = {.avoid = {&f.instances[1], &f.instances[2]},
                            .avoid_count = 2};
        for (int64_t at = T0; at < T0 + 5 * SECOND; at += 5 * MS) {
            pick_result_t result;
            if (pick_from(&f, &pick, at, &result) == 0) {
                pool_note_sent(&f.pool, &f.instances[0], false, at);
                sent[count++] = at;
            }
        }
        pool_release(&f.pool);
    }
    for (size_t i = 0; i < count; i++) {
        uint32_t within = 0;
        for (size_t j = 0; j < count; j++) {
            within += sent[j] >= sent[i] && sent[j] < sent[i] + SECOND ? 1 : 0;
        }
        /* The platform tolerates 50 % more, plus five requests. */
        ck_assert_uint_le(within, COLD_PER_S * 3 / 2 + 5);
    }
    ck_assert_uint_ge(count, 5 * COLD_PER_S / 2);
}
END_TEST

typedef struct {
    const char *name;
    gather_t gather;
    int64_t now_us;
    gather_verdict_t verdict;
} gather_case_t;

static const gather_case_t gather_cases[] = {
    {"all answered", {10, 10, 0, 0, 0.89, T0}, T0 - 1, GATHER_ANSWER},
    {"one pending before the goal",
     {10, 9, 0, 0, 0.89, T0},
     T0 - 1,
     GATHER_WAIT},
    {"enough answered at the goal",
     {10, 9, 0, 0, 0.89, T0},
     T0,
     GATHER_ANSWER},
    {"too few answered at the goal", {10, 8, 0, 0, 0.89, T0}, T0, GATHER_WAIT},
    {"one failed, all others answered",
     {10, 9, 1, 0, 0.89, T0},
     T0 - 1,
     GATHER_ANSWER},
    {"the only one pending is unresponsive",
     {10, 9, 0, 1, 0.89, T0},
     T0 - 1,
     GATHER_ANSWER},
    {"one of two pending is unresponsive",
     {10, 8, 0, 1, 0.75, T0},
     T0 - 1,
     GATHER_WAIT},
    {"too few answered without the unresponsive",
     {10, 8, 0, 2, 0.89, T0},
     T0 - 1,
     GATHER_WAIT},
    {"too many failed", {10, 5, 2, 0, 0.89, T0}, T0 - 1, GATHER_IMPOSSIBLE},
    {"min_share met exactly", {4, 3, 1, 0, 0.75, T0}, T0 - 1, GATHER_ANSWER},
    {"min_share 0 still needs one shard",
     {3, 0, 3, 0, 0, T0},
     T0,
     GATHER_IMPOSSIBLE},
};

START_TEST(test_gather)
{
    const gather_case_t *c = &gather_cases[_i];
    ck_assert_msg(gather_evaluate(&c->gather, c->now_us) == c->verdict, "%s",
                  c->name);
}
END_TEST

/* A shard that failed since it was counted as unresponsive counts once. */
START_TEST(test_expected_shards)
{
    gather_t gather = {.shards = 2, .failed = 2, .unresponsive = 1};
    ck_assert_uint_eq(gather_expected_shards(&gather), 0);
    gather.failed = 0;
    ck_assert_uint_eq(gather_expected_shards(&gather), 1);
}
END_TEST

START_TEST(test_records)
{
    records_t records = {0};
    uint8_t bytes[3 * RECORD_BYTES + 5];
    memset(bytes, 1, sizeof(bytes));
    bytes[0] = 9;
    bytes[RECORD_BYTES] = 200; /* compared as bytes, not as signed numbers */
    ck_assert(records_add(&records, bytes, sizeof(bytes)));
    ck_assert(records_add(&records, bytes, RECORD_BYTES - 1));
    ck_assert(records_add(&records, bytes, RECORD_BYTES));
    ck_assert_uint_eq(records_top(&records, 10), 4 * RECORD_BYTES);
    ck_assert_uint_eq(records_top(&records, 3), 3 * RECORD_BYTES);
    const uint8_t *top = buffer_data(&records.bytes);
    ck_assert_uint_eq(top[0], 200);
    ck_assert_uint_eq(top[RECORD_BYTES], 9);
    ck_assert_uint_eq(top[2 * RECORD_BYTES], 9); /* duplicates are kept */
    buffer_release(&records.bytes);
}
END_TEST

START_TEST(test_hedge_delay)
{
    hedge_profile_t profile = {0};
    ck_assert_int_eq(hedge_delay_us(&profile, 200 * MS), 50 * MS);
    ck_assert_int_eq(hedge_expected_us(&profile, 200 * MS), 50 * MS);
    for (int i = 0; i < 100; i++) {
        hedge_profile_add(&profile, i < 93 ? 20 * MS : 250 * MS);
    }
    /* Longer than most samples, shorter than the slow 7 %. */
    ck_assert_int_ge(hedge_delay_us(&profile, 200 * MS), 20 * MS);
    ck_assert_int_le(hedge_delay_us(&profile, 200 * MS), 25 * MS);
    for (int i = 0; i < 100; i++) {
        hedge_profile_add(&profile, 250 * MS);
    }
    /* Capped at half the goal, so that the hedge can still meet it. */
    ck_assert_int_eq(hedge_delay_us(&profile, 200 * MS), 100 * MS);
    ck_assert_int_gt(hedge_straggler_us(30 * MS), 45 * MS);
    ck_assert_int_lt(hedge_fallback_us(80 * MS), 40 * MS);
}
END_TEST

static int64_t
rank_of(const void *item, int64_t now_us)
{
    return *(const int64_t *)item + now_us;
}

START_TEST(test_waiting)
{
    static int64_t items[] = {5, 3, 9, 3, 1};
    wait_queue_t queue = {0};
    for (size_t i = 0; i < 5; i++) {
        ck_assert(wait_queue_push(&queue, &items[i], T0));
    }
    ck_assert_ptr_eq(wait_queue_pop(&queue, rank_of, 0), &items[4]);
    ck_assert_ptr_eq(wait_queue_pop(&queue, rank_of, 0), &items[1]);
    ck_assert(wait_queue_remove(&queue, &items[2]));
    ck_assert(!wait_queue_remove(&queue, &items[2]));
    ck_assert_ptr_eq(wait_queue_pop(&queue, rank_of, 0), &items[3]);
    ck_assert_ptr_eq(wait_queue_pop(&queue, rank_of, 0), &items[0]);
    ck_assert_ptr_null(wait_queue_pop(&queue, rank_of, 0));
    wait_queue_release(&queue);
}
END_TEST

/* When all upstreams become three times as slow at once, the time that
   responses are compared with stays near the usual one, or no upstream would
   seem slow. It follows a change that lasts. */
START_TEST(test_reference_time)
{
    hedge_profile_t profile = {0};
    int64_t now_us = 0;
    for (int i = 0; i < 6000; i++, now_us += 10 * MS) {
        int64_t took_us = i < 3000 ? 20 * MS : 60 * MS;
        hedge_profile_add(&profile, took_us);
        hedge_profile_add_usual(&profile, took_us, now_us);
        if (i == 2999) {
            ck_assert_int_eq(hedge_reference_us(&profile, 200 * MS), 20 * MS);
        }
        if (i == 3500) {
            ck_assert_int_gt(hedge_expected_us(&profile, 200 * MS), 55 * MS);
            ck_assert_int_le(hedge_reference_us(&profile, 200 * MS), 32 * MS);
            /* Three times the reference is within a goal of 75 ms. */
            ck_assert_int_le(hedge_reference_us(&profile, 75 * MS), 25 * MS);
        }
    }
    for (int i = 0; i < 9000; i++, now_us += 10 * MS) {
        hedge_profile_add(&profile, 60 * MS);
        hedge_profile_add_usual(&profile, 60 * MS, now_us);
    }
    ck_assert_int_ge(hedge_reference_us(&profile, 400 * MS), 59 * MS);
}
END_TEST

/* Guards against a negative response time of an upstream that answers faster
   than its connection opened: its service then seemed to have no capacity. */
START_TEST(test_response_faster_than_connect)
{
    fixture_t f;
    fixture_init(&f);
    instance_t *instance = &f.instances[0];
    instance_connected(instance, 2 * MS);
    for (int i = 0; i < 50; i++) {
        instance_sent(instance, T0);
        instance_answered(instance, 1 * MS, EXPECTED_US, true, T0);
    }
    ck_assert(instance_slowness(instance, T0) > 0);
    ck_assert(instance_slowness(instance, T0) < 1);
    pool_release(&f.pool);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("placement");
    tcase_add_loop_test(tests, test_avoid, 0,
                        sizeof(avoid_cases) / sizeof(avoid_cases[0]));
    tcase_add_test(tests, test_results);
    tcase_add_test(tests, test_all_rest);
    tcase_add_loop_test(tests, test_hedge_target, 0,
                        sizeof(hedge_cases) / sizeof(hedge_cases[0]));
    tcase_add_loop_test(tests, test_unresponsive_service, 0,
                        sizeof(responsive_cases) /
                            sizeof(responsive_cases[0]));
    tcase_add_loop_test(tests, test_concurrency_limit, 0,
                        sizeof(limit_cases) / sizeof(limit_cases[0]));
    tcase_add_test(tests, test_cold_rate);
    tcase_add_loop_test(tests, test_gather, 0,
                        sizeof(gather_cases) / sizeof(gather_cases[0]));
    tcase_add_test(tests, test_expected_shards);
    tcase_add_test(tests, test_records);
    tcase_add_test(tests, test_hedge_delay);
    tcase_add_test(tests, test_waiting);
    tcase_add_test(tests, test_reference_time);
    tcase_add_test(tests, test_response_faster_than_connect);
    return suite_run("placement", tests);
}
