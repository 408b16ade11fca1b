/*
 * How one daemon handles requests when upstreams are faulty: retries, hedges,
 * partial answers, and the status that callers get. Virtual time.
 */
#include "t/lib/suite.h"
#include "t/lib/tier_world.h"

#include <stdio.h>
#include <string.h>

enum {
    START_US = 1000000,
    SECOND = 1000000,
    GOAL_US = 200000,
    WORK_US = 20000,
    CALLER_TIMEOUT_US = 1000000
};

static const tier_settings_t one_daemon = {
    .daemons = 1,
    .engine = {.zone = "a",
               .retry_ratio = 0.2,
               .retry_slack = 50,
               .requests_max = 1000},
    .seed = 7,
};

/* A request to a service with a faulty upstream in the daemon's zone and,
   unless alone, a healthy one in another zone. */
typedef struct {
    const char *name;
    const char *path;
    tier_world_upstream_t near; /* the faulty upstream, tried first */
    bool alone;                 /* there is no other upstream */
    uint32_t status;
    uint32_t max_runs; /* times that upstreams may begin to run it */
    int64_t within_us; /* longest time until the answer */
    bool retry_after;  /* the answer has a Retry-After */
} fault_case_t;

static const fault_case_t fault_cases[] = {
    {"healthy", "/one/1", {.slots = 4}, false, 200, 1, 30000, false},
    {"refuses: retried at another upstream",
     "/one/1",
     {.slots = 4, .refuse_share = 1},
     false,
     200,
     1,
     40000,
     false},
    {"refuses, not idempotent: retried at another upstream",
     "/once/1",
     {.slots = 4, .refuse_share = 1},
     false,
     200,
     1,
     40000,
     false},
    {"loses the response: run again",
     "/one/1",
     {.slots = 4, .lose_share = 1},
     false,
     200,
     2,
     60000,
     false},
    {"loses the response, not idempotent: not run again",
     "/once/1",
     {.slots = 4, .lose_share = 1},
     false,
     502,
     1,
     40000,
     false},
    {"no connection: sent to another upstream",
     "/once/1",
     {.slots = 4, .unreachable = true},
     false,
     200,
     1,
     40000,
     false},
    {"another upstream has the address: sent to another upstream",
     "/once/1",
     {.slots = 4, .misdirected = true},
     false,
     200,
     1,
     40000,
     false},
    {"silent: hedged",
     "/one/1",
     {.slots = 4, .silent = true},
     false,
     200,
     1,
     150000,
     false},
    {"silent, not idempotent: not hedged",
     "/once/1",
     {.slots = 4, .silent = true},
     false,
     504,
     0,
     CALLER_TIMEOUT_US,
     false},
    {"responds 500: retried at another upstream",
     "/one/1",
     {.slots = 4, .fail_status = 500},
     false,
     200,
     2,
     60000,
     false},
    {"responds 500, not idempotent: relayed",
     "/once/1",
     {.slots = 4, .fail_status = 500},
     false,
     500,
     1,
     40000,
     false},
    {"refuses, no other upstream",
     "/once/1",
     {.slots = 4, .refuse_share = 1},
     true,
     503,
     0,
     GOAL_US / 2,
     true},
    {"no connection, no other upstream",
     "/one/1",
     {.slots = 4, .unreachable = true},
     true,
     503,
     0,
     GOAL_US / 2,
     true},
    {"loses all responses, no other upstream",
     "/one/1",
     {.slots = 4, .lose_share = 1},
     true,
     502,
     2,
     GOAL_US,
     false},
    {"its response misses the goal and is relayed",
     "/one/1",
     {.slots = 4, .slowdown = 20},
     true,
     200,
     1,
     500000,
     false},
};

START_TEST(test_fault)
{
    const fault_case_t *c = &fault_cases[_i];
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, 1, GOAL_US, 1));
    tier_world_upstream_t first = c->near;
    first.id = "i-1";
    first.service = "s0";
    first.zone = "a";
    first.queue_max = 20;
    tier_world_upstream(world, &first);
    if (!c->alone) {
        tier_world_upstream(world, &(tier_world_upstream_t){.id = "i-2",
                                                            .service = "s0",
                                                            .zone = "b",
                                                            .slots = 4,
                                                            .queue_max = 20});
    }
    tier_call_t *call = tier_world_call(world, START_US + 1000, 0, c->path,
                                        WORK_US, CALLER_TIMEOUT_US);
    tier_world_run(world, START_US + 2 * CALLER_TIMEOUT_US);
    ck_assert_msg(call->done, "%s: no answer", c->name);
    ck_assert_msg(call->status == c->status, "%s: %u", c->name, call->status);
    ck_assert_msg(call->runs <= c->max_runs, "%s: %u runs", c->name,
                  call->runs);
    ck_assert_msg(call->done_us - call->at_us <= c->within_us, "%s: %ld us",
                  c->name, (long)(call->done_us - call->at_us));
    ck_assert_msg((call->retry_after_us > 0) == c->retry_after, "%s", c->name);
    /* 503 promises that the request has not run. */
    ck_assert_msg(call->status != 503 || call->runs == 0, "%s: %u runs",
                  c->name, call->runs);
    tier_world_free(world);
}
END_TEST

enum { SHARDS = 10 };

/* A query over ten shards of three upstreams each, some of them faulty. */
typedef struct {
    const char *name;
    tier_world_upstream_t fault;
    uint32_t faulty_shards;
    uint32_t faulty_upstreams; /* of each faulty shard */
    uint32_t status;
    uint32_t missing;
    int64_t within_us;
} shard_case_t;

static const shard_case_t shard_cases[] = {
    {"all healthy", {.slots = 4}, 0, 0, 200, 0, 40000},
    {"one upstream of each shard silent: hedged",
     {.slots = 4, .silent = true},
     10,
     1,
     200,
     0,
     150000},
    {"one shard silent: partial answer at the goal",
     {.slots = 4, .silent = true},
     1,
     3,
     200,
     1,
     GOAL_US},
    {"one shard refuses: partial answer by the goal",
     {.slots = 4, .refuse_share = 1},
     1,
     3,
     200,
     1,
     GOAL_US},
    {"one shard unreachable: partial answer by the goal",
     {.slots = 4, .unreachable = true},
     1,
     3,
     200,
     1,
     GOAL_US},
    {"two shards silent: fails at the deadline",
     {.slots = 4, .silent = true},
     2,
     3,
     504,
     0,
     CALLER_TIMEOUT_US},
    {"two shards lose all responses: fails by the goal",
     {.slots = 4, .lose_share = 1},
     2,
     3,
     502,
     0,
     GOAL_US},
    {"one upstream loses half its responses",
     {.slots = 4, .lose_share = 0.5},
     1,
     1,
     200,
     0,
     100000},
};

static void
add_shards(tier_world_t *world, const shard_case_t *c)
{
    static const char *const zones[] = {"a", "b", "c"};
    static char ids[SHARDS * 3][16];
    static char services[SHARDS][16];
    for (uint32_t i = 0; i < SHARDS * 3; i++) {
        uint32_t shard = i / 3;
        bool faulty = shard < c->faulty_shards && i % 3 < c->faulty_upstreams;
        tier_world_upstream_t up = {.slots = 4};
        if (faulty) {
            up = c->fault;
        }
        snprintf(ids[i], sizeof(ids[i]), "i-%u", i);
        snprintf(services[shard], sizeof(services[shard]), "s%u", shard);
        up.id = ids[i];
        up.service = services[shard];
        up.zone = zones[i % 3];
        up.queue_max = 20;
        tier_world_upstream(world, &up);
    }
}

START_TEST(test_shards)
{
    const shard_case_t *c = &shard_cases[_i];
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, SHARDS, GOAL_US, 0.89));
    add_shards(world, c);
    tier_call_t *call = tier_world_call(world, START_US + 1000, 0, "/all/1",
                                        WORK_US, CALLER_TIMEOUT_US);
    tier_world_run(world, START_US + 2 * CALLER_TIMEOUT_US);
    ck_assert_msg(call->done, "%s: no answer", c->name);
    ck_assert_msg(call->status == c->status, "%s: %u %s", c->name,
                  call->status, call->reason);
    ck_assert_msg(call->missing == c->missing, "%s: %u missing", c->name,
                  call->missing);
    ck_assert_msg(call->done_us - call->at_us <= c->within_us, "%s: %ld us",
                  c->name, (long)(call->done_us - call->at_us));
    /* At most two upstreams run each shard's part: the route's attempts. */
    ck_assert_msg(call->runs <= 2 * SHARDS, "%s: %u runs", c->name,
                  call->runs);
    tier_world_free(world);
}
END_TEST

/* A request without enough upstreams is refused before anything is sent. */
START_TEST(test_infeasible_request_is_refused)
{
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, SHARDS, GOAL_US, 0.89));
    tier_world_upstream(world, &(tier_world_upstream_t){
                                   .id = "i-1", .service = "s0", .slots = 4});
    tier_call_t *call = tier_world_call(world, START_US + 1000, 0, "/all/1",
                                        WORK_US, CALLER_TIMEOUT_US);
    tier_world_run(world, START_US + CALLER_TIMEOUT_US);
    ck_assert(call->done);
    ck_assert_uint_eq(call->status, 503);
    ck_assert_int_eq(call->done_us, call->at_us);
    ck_assert_int_gt(call->retry_after_us, 0);
    ck_assert_uint_eq(call->arrivals, 0);
    tier_world_free(world);
}
END_TEST

/* When the caller disconnects, nothing more is sent and running attempts are
   cancelled. */
START_TEST(test_caller_disconnects)
{
    static const char *const paths[] = {"/one/1", "/once/1", "/all/1"};
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, 1, GOAL_US, 1));
    uint32_t up = tier_world_upstream(
        world, &(tier_world_upstream_t){
                   .id = "i-1", .service = "s0", .slots = 1, .queue_max = 9});
    tier_call_t *call = tier_world_call(world, START_US + 1000, 0, paths[_i],
                                        400000, CALLER_TIMEOUT_US);
    tier_world_cancel(world, call, START_US + 50000);
    tier_call_t *next = tier_world_call(world, START_US + 60000, 0, "/one/2",
                                        WORK_US, CALLER_TIMEOUT_US);
    tier_world_run(world, START_US + 2 * CALLER_TIMEOUT_US);
    ck_assert(call->cancelled);
    ck_assert(!call->done);
    /* The upstream's only slot was free long before the first call's work
       would have ended. */
    ck_assert_uint_eq(next->status, 200);
    ck_assert_int_lt(next->done_us, START_US + 200000);
    ck_assert_uint_eq(tier_world_arrivals(world, up), 2);
    tier_world_free(world);
}
END_TEST

/* Draining upstreams and closed zones get no new requests. */
START_TEST(test_drain_and_evacuation)
{
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, 1, GOAL_US, 1));
    uint32_t near = tier_world_upstream(
        world, &(tier_world_upstream_t){
                   .id = "i-1", .service = "s0", .zone = "a", .slots = 4});
    uint32_t far = tier_world_upstream(
        world, &(tier_world_upstream_t){
                   .id = "i-2", .service = "s0", .zone = "b", .slots = 4});
    if (_i == 0) {
        tier_world_drain(world, near);
    }
    else {
        registry_set_zone_closed(engine_registry(tier_world_engine(world, 0)),
                                 "a", true);
    }
    for (int64_t i = 0; i < 50; i++) {
        tier_world_call(world, START_US + i * 10000, 0, "/one/1", WORK_US,
                        CALLER_TIMEOUT_US);
    }
    tier_world_run(world, START_US + 2 * CALLER_TIMEOUT_US);
    ck_assert_uint_eq(tier_world_arrivals(world, near), 0);
    ck_assert_uint_ge(tier_world_arrivals(world, far), 50);
    tier_world_free(world);
}
END_TEST

/* Each target of a split gets requests in proportion to its weight. */
START_TEST(test_split)
{
    static const double weights[] = {0.7, 0.2, 0.1};
    static const char *const services[] = {"s0", "s1", "s2"};
    static const char *const ids[] = {"i-0", "i-1", "i-2"};
    tier_world_t *world = tier_world_new(&one_daemon);
    route_table_t *table = route_table_new(1);
    route_t *route = route_table_add(table, "r", "h.example", "/split/");
    route->kind = ROUTE_SPLIT;
    route->idempotent = true;
    route->goal_us = GOAL_US;
    route->attempts = 2;
    for (int i = 0; i < 3; i++) {
        route_add_target(route, services[i], weights[i]);
        tier_world_upstream(world,
                            &(tier_world_upstream_t){.id = ids[i],
                                                     .service = services[i],
                                                     .slots = 50,
                                                     .queue_max = 50});
    }
    route_table_seal(table);
    tier_world_configure(world, table);
    for (int64_t i = 0; i < 200; i++) {
        tier_world_call(world, START_US + i * 5000, 0, "/split/1", 1000,
                        CALLER_TIMEOUT_US);
    }
    tier_world_run(world, START_US + 2 * CALLER_TIMEOUT_US);
    for (uint32_t i = 0; i < 3; i++) {
        double share = tier_world_arrivals(world, i) / 200.0;
        ck_assert_msg(share > weights[i] - 0.02 && share < weights[i] + 0.02,
                      "target %u: %.3f", i, share);
    }
    tier_world_free(world);
}
END_TEST

/*
 * A crash-inducing request, whose every send loses the upstream's connection,
 * is refused once that has happened twice, at this daemon or at others. Other
 * requests are not refused.
 */
/* The upstreams of some shards rest: the request is answered without them, or
   refused at once with the time at which enough shards take requests again. */
typedef struct {
    const char *name;
    int64_t rest_us[4]; /* of each shard's upstream */
    uint32_t status;
    int64_t retry_after_us; /* the least; 0: not refused */
} rest_case_t;

static const rest_case_t rest_cases[] = {
    {"none rests", {0, 0, 0, 0}, 200, 0},
    {"one may be missing", {0, 0, 9 * SECOND, 0}, 200, 0},
    {"two may be missing", {0, 5 * SECOND, 9 * SECOND, 0}, 200, 0},
    {"three rest: the first that returns",
     {SECOND, 5 * SECOND, 9 * SECOND, 0},
     503,
     SECOND},
    {"all rest: the second that returns",
     {SECOND, 5 * SECOND, 9 * SECOND, 3 * SECOND},
     503,
     3 * SECOND},
    {"a rest that ends in time",
     {SECOND / 20, 5 * SECOND, 9 * SECOND, 0},
     200,
     0},
};

START_TEST(test_resting_shards)
{
    const rest_case_t *c = &rest_cases[_i];
    static const char *const services[] = {"s0", "s1", "s2", "s3"};
    tier_world_t *world = tier_world_new(&one_daemon);
    registry_t *registry = engine_registry(tier_world_engine(world, 0));
    tier_world_configure(world, tier_world_table(1, 4, GOAL_US, 0.5));
    for (int i = 0; i < 4; i++) {
        tier_world_upstream(world,
                            &(tier_world_upstream_t){.id = services[i],
                                                     .service = services[i],
                                                     .zone = "a",
                                                     .slots = 4,
                                                     .queue_max = 20});
        if (c->rest_us[i] > 0) {
            instance_rest(registry_pool(registry, services[i])->instances[0],
                          c->rest_us[i], START_US);
        }
    }
    tier_call_t *call = tier_world_call(world, START_US, 0, "/all/", WORK_US,
                                        CALLER_TIMEOUT_US);
    /* Queued work is dispatched as by a daemon's tick. */
    for (int64_t at = START_US; at < START_US + CALLER_TIMEOUT_US;
         at += 10000) {
        tier_world_run(world, at);
        engine_dispatch_queued(tier_world_engine(world, 0), at);
    }
    ck_assert_msg(call->status == c->status, "%s: %u", c->name, call->status);
    if (c->retry_after_us > 0) {
        ck_assert_int_eq(call->done_us, START_US);
        ck_assert_uint_eq(call->arrivals, 0);
        ck_assert_msg(call->retry_after_us >= c->retry_after_us &&
                          call->retry_after_us <
                              c->retry_after_us + SECOND / 2,
                      "%s: %lld", c->name, (long long)call->retry_after_us);
    }
    tier_world_free(world);
}
END_TEST

/*
 * A burst at a VM with a narrow link: what the link can't carry by the
 * callers' deadline is refused at once, unrun, and the rest is served.
 */
START_TEST(test_narrow_link)
{
    enum { CALLS = 60 };
    static const tier_settings_t narrow = {
        .daemons = 1,
        .engine = {.zone = "a",
                   .retry_ratio = 0.2,
                   .retry_slack = 50,
                   .requests_max = 1000,
                   .link_bytes_per_s = 10000},
        .seed = 7,
    };
    tier_world_t *world = tier_world_new(&narrow);
    tier_call_t *calls[CALLS];
    uint32_t served = 0;
    uint32_t refused = 0;
    tier_world_configure(world, tier_world_table(1, 1, GOAL_US, 1));
    tier_world_upstream(world, &(tier_world_upstream_t){.id = "i-1",
                                                        .service = "s0",
                                                        .zone = "a",
                                                        .slots = 100,
                                                        .queue_max = 100});
    for (int i = 0; i < CALLS; i++) {
        calls[i] = tier_world_call(world, START_US, 0, "/one/", WORK_US,
                                   CALLER_TIMEOUT_US);
    }
    tier_world_run(world, START_US + 2 * CALLER_TIMEOUT_US);
    for (int i = 0; i < CALLS; i++) {
        served += calls[i]->status == 200;
        if (calls[i]->status == 503) {
            refused++;
            ck_assert_int_eq(calls[i]->done_us, START_US);
            ck_assert_uint_eq(calls[i]->arrivals, 0);
            ck_assert_str_eq(calls[i]->reason, "link_full");
            ck_assert_int_gt(calls[i]->retry_after_us, 0);
        }
    }
    ck_assert_uint_gt(refused, 0);
    ck_assert_uint_gt(served, CALLS / 3);
    ck_assert_uint_eq(served + refused, CALLS);
    tier_world_free(world);
}
END_TEST

/*
 * An upstream that loses whatever it gets is not crashed by its requests: only
 * the first losses are reported as suspicions.
 */
START_TEST(test_failing_upstream_is_no_suspicion)
{
    enum { CALLS = 40, SUSPECTS_MAX_EXPECTED = 3 };
    static char paths[CALLS][24];
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, 1, GOAL_US, 1));
    tier_world_upstream(world, &(tier_world_upstream_t){.id = "i-1",
                                                        .service = "s0",
                                                        .zone = "a",
                                                        .slots = 4,
                                                        .queue_max = 20,
                                                        .lose_share = 1});
    for (int i = 0; i < CALLS; i++) {
        snprintf(paths[i], sizeof(paths[i]), "/once/%d", i);
        tier_world_call(world, START_US + i * 3 * SECOND, 0, paths[i], WORK_US,
                        CALLER_TIMEOUT_US);
    }
    tier_world_run(world, START_US + 3 * CALLS * SECOND);
    ck_assert_uint_gt(tier_world_suspects(world), 0);
    ck_assert_uint_le(tier_world_suspects(world), SUSPECTS_MAX_EXPECTED);
    tier_world_free(world);
}
END_TEST

START_TEST(test_crashing_request)
{
    bool at_other_daemon = _i == 1;
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, SHARDS, GOAL_US, 0.5));
    add_shards(world, &(shard_case_t){.fault = {.slots = 4, .lose_share = 1},
                                      .faulty_shards = SHARDS,
                                      .faulty_upstreams = 3});
    tier_call_t *first = tier_world_call(world, START_US, 0, "/all/bad",
                                         WORK_US, CALLER_TIMEOUT_US);
    tier_world_run(world, START_US + SECOND);
    ck_assert_uint_eq(first->status, 502);
    if (at_other_daemon) {
        engine_suspect(tier_world_engine(world, 0),
                       tier_world_fingerprint(first), START_US + SECOND);
    }
    tier_call_t *second =
        tier_world_call(world, START_US + 2 * SECOND, 0, "/all/bad", WORK_US,
                        CALLER_TIMEOUT_US);
    tier_call_t *third =
        tier_world_call(world, START_US + 4 * SECOND, 0, "/all/bad", WORK_US,
                        CALLER_TIMEOUT_US);
    tier_call_t *other =
        tier_world_call(world, START_US + 4 * SECOND, 0, "/all/good", WORK_US,
                        CALLER_TIMEOUT_US);
    tier_world_run(world, START_US + 6 * SECOND);
    ck_assert_uint_eq(second->status, at_other_daemon ? 503 : 502);
    ck_assert_uint_eq(second->arrivals > 0, !at_other_daemon);
    ck_assert_uint_eq(third->status, 503);
    ck_assert_str_eq(third->reason, "crashes_upstreams");
    ck_assert_uint_eq(third->arrivals, 0);
    ck_assert_uint_gt(other->arrivals, 0);
    tier_world_free(world);
}
END_TEST

/* When upstreams lose every response, retries stay within the budget. */
START_TEST(test_retries_stay_within_budget)
{
    enum { CALLS = 200, SLACK = 5, UPSTREAMS = 4 };
    static char paths[CALLS][24];
    tier_settings_t settings = one_daemon;
    settings.engine.retry_slack = SLACK;
    tier_world_t *world = tier_world_new(&settings);
    tier_call_t *calls[CALLS];
    tier_world_configure(world, tier_world_table(1, 1, GOAL_US, 1));
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        static const char *const ids[UPSTREAMS] = {"i-1", "i-2", "i-3", "i-4"};
        tier_world_upstream(world, &(tier_world_upstream_t){.id = ids[i],
                                                            .service = "s0",
                                                            .zone = "a",
                                                            .slots = 8,
                                                            .queue_max = 20,
                                                            .lose_share = 1});
    }
    for (uint32_t i = 0; i < CALLS; i++) {
        snprintf(paths[i], sizeof(paths[i]), "/one/%u", i);
        calls[i] = tier_world_call(world, START_US + i * SECOND / 25, 0,
                                   paths[i], WORK_US, CALLER_TIMEOUT_US);
    }
    /* Eight seconds of calls fit in one ten-second window of the budget. */
    tier_world_run(world, START_US + 10 * SECOND);
    uint32_t retries = 0;
    for (uint32_t i = 0; i < CALLS; i++) {
        retries += calls[i]->arrivals > 1 ? calls[i]->arrivals - 1 : 0;
    }
    ck_assert_uint_gt(retries, 0);
    ck_assert_msg(retries <= CALLS * settings.engine.retry_ratio + SLACK,
                  "%u retries", retries);
    tier_world_free(world);
}
END_TEST

/* A request is not suspected of crashing upstreams if one shard responds. */
START_TEST(test_partial_success_clears_suspicion)
{
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, SHARDS, GOAL_US, 0.5));
    add_shards(world, &(shard_case_t){.fault = {.slots = 4, .lose_share = 1},
                                      .faulty_shards = SHARDS - 1,
                                      .faulty_upstreams = 3});
    for (int64_t i = 0; i < 4; i++) {
        tier_call_t *call =
            tier_world_call(world, START_US + i * SECOND, 0, "/all/x", WORK_US,
                            CALLER_TIMEOUT_US);
        tier_world_run(world, START_US + (i + 1) * SECOND - 1);
        ck_assert_uint_eq(call->status, 502);
        ck_assert_uint_gt(call->arrivals, 0);
    }
    tier_world_free(world);
}
END_TEST

/* A failed hedge does not fail the subrequest while the first attempt is in
   flight. */
START_TEST(test_failed_hedge_beside_slow_send)
{
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, 1, GOAL_US, 1));
    tier_world_upstream(world, &(tier_world_upstream_t){.id = "i-1",
                                                        .service = "s0",
                                                        .zone = "a",
                                                        .slots = 4,
                                                        .slowdown = 6});
    tier_world_upstream(world, &(tier_world_upstream_t){.id = "i-2",
                                                        .service = "s0",
                                                        .zone = "b",
                                                        .slots = 4,
                                                        .fail_status = 404});
    tier_call_t *call = tier_world_call(world, START_US, 0, "/all/1", WORK_US,
                                        CALLER_TIMEOUT_US);
    tier_world_run(world, START_US + CALLER_TIMEOUT_US);
    ck_assert_uint_eq(call->arrivals, 2);
    ck_assert_msg(call->status == 200, "%u", call->status);
    ck_assert_uint_eq(call->missing, 0);
    tier_world_free(world);
}
END_TEST

/* A request keeps the configuration that it arrived under. */
START_TEST(test_request_keeps_its_configuration)
{
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, 2, GOAL_US, 0.5));
    static const char *const services[] = {"s0", "s1", "s2"};
    static const char *const ids[] = {"i-0", "i-1", "i-2"};
    for (int i = 0; i < 3; i++) {
        tier_world_upstream(
            world, &(tier_world_upstream_t){
                       .id = ids[i], .service = services[i], .slots = 4});
    }
    tier_call_t *call = tier_world_call(world, START_US + 1000, 0, "/all/1",
                                        WORK_US, CALLER_TIMEOUT_US);
    tier_world_run(world, START_US + 5000);
    tier_world_configure(world, tier_world_table(2, 3, GOAL_US, 0.5));
    tier_world_run(world, START_US + CALLER_TIMEOUT_US);
    ck_assert_uint_eq(call->status, 200);
    ck_assert_uint_eq(call->missing, 0);
    ck_assert_uint_eq(tier_world_arrivals(world, 2), 0);
    tier_world_free(world);
}
END_TEST

START_TEST(test_no_configuration)
{
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_call_t *call = tier_world_call(world, START_US + 1000, 0, "/one/1",
                                        WORK_US, CALLER_TIMEOUT_US);
    tier_world_run(world, START_US + CALLER_TIMEOUT_US);
    ck_assert_uint_eq(call->status, 503);
    ck_assert_int_gt(call->retry_after_us, 0);
    tier_world_free(world);
}
END_TEST

START_TEST(test_no_route)
{
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, 1, GOAL_US, 1));
    tier_call_t *call = tier_world_call(world, START_US + 1000, 0, "/none/1",
                                        WORK_US, CALLER_TIMEOUT_US);
    tier_world_run(world, START_US + CALLER_TIMEOUT_US);
    ck_assert_uint_eq(call->status, 404);
    tier_world_free(world);
}
END_TEST

/*
 * The nearest upstream is silent, and the two others refuse requests for the
 * first 60 ms. A refused hedge does not end the hedging: the next upstream is
 * tried at once, and those that refused again after it.
 */
START_TEST(test_refused_hedges)
{
    static const char *const ids[] = {"i-1", "i-2", "i-3"};
    static const char *const zones[] = {"a", "b", "c"};
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, 1, GOAL_US, 1));
    for (uint32_t i = 0; i < 3; i++) {
        tier_world_upstream_t up = {.id = ids[i],
                                    .service = "s0",
                                    .zone = zones[i],
                                    .slots = 4,
                                    .queue_max = 20};
        if (i == 0) {
            up.silent = true;
        }
        else {
            up.refuse_share = 1;
            up.until_us = START_US + 60000;
        }
        tier_world_upstream(world, &up);
    }
    tier_call_t *call = tier_world_call(world, START_US + 1000, 0, "/one/1",
                                        WORK_US, CALLER_TIMEOUT_US);
    tier_world_run(world, START_US + 2 * CALLER_TIMEOUT_US);
    ck_assert(call->done);
    ck_assert_uint_eq(call->status, 200);
    ck_assert_msg(call->done_us - call->at_us <= GOAL_US, "%lld",
                  (long long)(call->done_us - call->at_us));
    tier_world_free(world);
}
END_TEST

/*
 * In a crowd a required shard refuses a query while the retry budget is used
 * up. Other queries replenish the budget only after the query's goal. A late
 * answer serves the caller better than an error, for which the other shards
 * have worked too: the shard is asked again until the deadline.
 */
START_TEST(test_required_shard_after_goal)
{
    static const char *const services[] = {"s0", "s1"};
    enum { OTHERS = 100 };
    tier_settings_t settings = one_daemon;
    settings.engine.retry_slack = 0;
    tier_world_t *world = tier_world_new(&settings);
    tier_world_configure(world, tier_world_table(1, 2, GOAL_US, 1));
    for (uint32_t i = 0; i < 2; i++) {
        tier_world_upstream(world, &(tier_world_upstream_t){
                                       .id = services[i],
                                       .service = services[i],
                                       .zone = "a",
                                       .slots = 50,
                                       .queue_max = 50,
                                       .refuse_share = i,
                                       .until_us = START_US + 100000,
                                   });
    }
    tier_call_t *call = tier_world_call(world, START_US + 1000, 0, "/all/1",
                                        WORK_US, CALLER_TIMEOUT_US);
    for (int64_t i = 0; i < OTHERS; i++) {
        tier_world_call(world, START_US + GOAL_US + i * 4000, 0, "/all/2",
                        WORK_US / 4, CALLER_TIMEOUT_US);
    }
    tier_world_run(world, START_US + 3 * CALLER_TIMEOUT_US);
    ck_assert(call->done);
    ck_assert_uint_eq(call->status, 200);
    ck_assert_uint_eq(call->missing, 0);
    tier_world_free(world);
}
END_TEST

typedef struct {
    const char *name;
    int64_t timeout_us; /* that the second caller sends */
    int64_t after_us;   /* bounds of the time of its answer */
    int64_t before_us;
} spent_case_t;

static const spent_case_t spent_cases[] = {
    {"all of its time is left", CALLER_TIMEOUT_US, GOAL_US * 9 / 10, GOAL_US},
    {"it has spent 60 ms", CALLER_TIMEOUT_US - 60000, GOAL_US / 2,
     GOAL_US - 60000},
    {"it allows half the time", CALLER_TIMEOUT_US / 2, GOAL_US * 9 / 10,
     GOAL_US},
    {"it allows more time", CALLER_TIMEOUT_US * 2, GOAL_US * 9 / 10, GOAL_US},
};

/*
 * A caller's goal counts from its first attempt, and it sends what is left of
 * its time: one that has lost 60 ms on a connection that failed is answered 60
 * ms earlier, without the shard that is still silent. A caller that merely
 * allows less time than others is not.
 */
START_TEST(test_time_spent_by_caller)
{
    const spent_case_t *c = &spent_cases[_i];
    enum { SHARDS_TWO = 2 };
    tier_world_t *world = tier_world_new(&one_daemon);
    tier_world_configure(world, tier_world_table(1, SHARDS_TWO, GOAL_US, 0.5));
    tier_world_upstream(world, &(tier_world_upstream_t){.id = "i-0",
                                                        .service = "s0",
                                                        .zone = "a",
                                                        .slots = 4,
                                                        .queue_max = 20});
    tier_world_upstream(world, &(tier_world_upstream_t){.id = "i-1",
                                                        .service = "s1",
                                                        .zone = "a",
                                                        .slots = 4,
                                                        .queue_max = 20,
                                                        .silent = true});
    tier_world_call(world, START_US + 1000, 0, "/all/1", WORK_US,
                    CALLER_TIMEOUT_US);
    tier_call_t *call = tier_world_call(world, START_US + 2000, 0, "/all/2",
                                        WORK_US, c->timeout_us);
    tier_world_run(world, START_US + 3 * CALLER_TIMEOUT_US);
    int64_t took_us = call->done_us - call->at_us;
    ck_assert_uint_eq(call->status, 200);
    ck_assert_uint_eq(call->missing, 1);
    ck_assert_msg(took_us > c->after_us && took_us <= c->before_us,
                  "%s: %lld us", c->name, (long long)took_us);
    tier_world_free(world);
}
END_TEST

/* A service whose first upstream is listed after the size of the fleet is
   known gets the daemon's part of the upstream, and not all of it. */
START_TEST(test_fleet_size_of_new_service)
{
    tier_settings_t settings = one_daemon;
    settings.daemons = 8;
    tier_world_t *world = tier_world_new(&settings);
    registry_t *registry = engine_registry(tier_world_engine(world, 0));
    ck_assert_uint_eq(registry_pool(registry, "s0")->limits.fleet_size, 8);
    tier_world_free(world);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("engine");
    tcase_add_loop_test(tests, test_fault, 0,
                        sizeof(fault_cases) / sizeof(fault_cases[0]));
    tcase_add_loop_test(tests, test_shards, 0,
                        sizeof(shard_cases) / sizeof(shard_cases[0]));
    tcase_add_test(tests, test_infeasible_request_is_refused);
    tcase_add_loop_test(tests, test_caller_disconnects, 0, 3);
    tcase_add_loop_test(tests, test_drain_and_evacuation, 0, 2);
    tcase_add_test(tests, test_split);
    tcase_add_loop_test(tests, test_crashing_request, 0, 2);
    tcase_add_test(tests, test_failing_upstream_is_no_suspicion);
    tcase_add_loop_test(tests, test_resting_shards, 0,
                        sizeof(rest_cases) / sizeof(rest_cases[0]));
    tcase_add_test(tests, test_narrow_link);
    tcase_add_test(tests, test_retries_stay_within_budget);
    tcase_add_test(tests, test_partial_success_clears_suspicion);
    tcase_add_test(tests, test_failed_hedge_beside_slow_send);
    tcase_add_test(tests, test_request_keeps_its_configuration);
    tcase_add_test(tests, test_no_configuration);
    tcase_add_test(tests, test_no_route);
    tcase_add_test(tests, test_refused_hedges);
    tcase_add_test(tests, test_required_shard_after_goal);
    tcase_add_loop_test(tests, test_time_spent_by_caller, 0,
                        sizeof(spent_cases) / sizeof(spent_cases[0]));
    tcase_add_test(tests, test_fleet_size_of_new_service);
    return suite_run("engine", tests);
}
