/*
 * Tenants that compete for the capacity of a service: how many callers of each
 * are served in time while some do more than usual. Virtual time.
 */
#include "t/lib/suite.h"
#include "t/lib/tier_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    START_US = 1000000,
    SECOND = 1000000,
    GOAL_US = 150000,
    CALLER_TIMEOUT_US = 800000,
    DAEMONS = 8,
    TENANTS = 16,  /* that send all the time */
    APART = 4,     /* of them: the last use a service of their own */
    SURGE_S = 12,  /* from the start, when the surge begins */
    LENGTH_S = 24, /* until the end of the surge */
    SURGE_FACTOR = 6,
    WORK_US = 40000,
    SLOTS = 4,
    UPSTREAMS = 3,
    CAPACITY_PER_S = UPSTREAMS * SLOTS * (SECOND / WORK_US)
};

/* One caller's wish, over all of its attempts. */
typedef struct {
    struct replay *replay;
    uint32_t tenant;
    int64_t at_us;
    bool served; /* 200 within the caller's time */
} wish_t;

typedef struct {
    const char *name;
    uint32_t surging;   /* tenants, from the first */
    bool unequal;       /* usual loads differ by a factor of eight */
    bool anonymous;     /* the requests have no tenants */
    bool impatient;     /* callers repeat at once, until their time is up */
    uint32_t strangers; /* tenants with one request each during the surge */
    const char *path;
    double min_served;  /* least share served of a tenant in its usual load */
    bool fails_without; /* with all tenants at level 0, this is not reached */
} surge_case_t;

typedef struct replay {
    const surge_case_t *c;
    tier_world_t *world;
    uint64_t checksum;
} replay_t;

typedef struct {
    double worst;   /* least share served among tenants in their usual load */
    double mean;    /* of those shares */
    double apart;   /* least share among tenants that don't compete */
    double surging; /* mean share among tenants that surge */
    double strangers;  /* share of the strangers that are served */
    uint64_t checksum; /* of all answers */
} outcome_t;

/* Usual load of the tenants that compete, as a part of the capacity. */
#define LOAD 0.75
#define MIN_OF_MEAN 0.8

static char tenant_names[TENANTS + 1][8];

static void
call_again(void *owner, tier_call_t *call)
{
    replay_t *replay = owner;
    wish_t *wish = call->owner;
    int64_t wait_us = replay->c->impatient ? 2000 : call->retry_after_us;
    int64_t again_us = call->done_us + wait_us;
    int64_t left_us = wish->at_us + CALLER_TIMEOUT_US - again_us;
    replay->checksum =
        (replay->checksum ^ (uint64_t)call->done_us ^ call->status) *
        1099511628211U;
    wish->served |= call->status == 200;
    if (call->status != 503 || left_us < GOAL_US / 2) {
        return;
    }
    tier_call_t *next =
        tier_world_call(replay->world, again_us, (call->daemon + 1) % DAEMONS,
                        call->path, call->work_us, left_us);
    next->tenant = call->tenant;
    next->tenant_id = call->tenant_id;
    next->owner = wish;
}

static route_table_t *
make_table(void)
{
    route_table_t *table = route_table_new(1);
    static const char *const paths[] = {"/a/", "/b/", "/all/"};
    for (uint32_t i = 0; i < 3; i++) {
        route_t *route =
            route_table_add(table, paths[i] + 1, "h.example", paths[i]);
        route->kind = i == 2 ? ROUTE_SHARDS : ROUTE_ONE;
        route->idempotent = true;
        route->goal_us = GOAL_US;
        route->timeout_us = 6 * GOAL_US;
        route->attempts = 2;
        route->priority = 2;
        route->top_k = 20;
        route->min_share = 1;
        route_add_target(route, i == 1 ? "s1" : "s0", 1);
        if (i == 2) {
            route_add_target(route, "s2", 1);
        }
    }
    route_table_seal(table);
    return table;
}

static void
add_upstreams(tier_world_t *world)
{
    static const char *const services[] = {"s0", "s1", "s2"};
    static char ids[3 * UPSTREAMS][8];
    for (uint32_t i = 0; i < 3 * UPSTREAMS; i++) {
        snprintf(ids[i], sizeof(ids[i]), "u%u", i);
        tier_world_upstream(world, &(tier_world_upstream_t){
                                       .id = ids[i],
                                       .service = services[i / UPSTREAMS],
                                       .slots = SLOTS,
                                       .queue_max = 24,
                                   });
    }
}

static double
tenant_weight(const surge_case_t *c, uint32_t tenant)
{
    return c->unequal ? 1 + (double)(tenant * 5 % 8) : 1;
}

/* Add the callers of one tenant, who come to two daemons; one caller if it is
   a stranger. */
static uint32_t
add_callers(replay_t *replay, wish_t *wishes, uint32_t tenant, double per_s,
            double from_s, double until_s)
{
    tier_world_t *world = replay->world;
    uint32_t count = 0;
    double at_s = from_s;
    for (;;) {
        at_s += 2 * tier_world_random(world) / per_s;
        if (at_s >= until_s || (tenant >= TENANTS && count == 1)) {
            return count;
        }
        wish_t *wish = &wishes[count++];
        uint32_t daemon = (tenant + (count % 2) * 3) % DAEMONS;
        double work = 0.5 + tier_world_random(world);
        *wish = (wish_t){replay, tenant, START_US + (int64_t)(at_s * SECOND),
                         false};
        tier_call_t *call = tier_world_call(
            world, wish->at_us, daemon,
            tenant >= TENANTS - APART && tenant < TENANTS ? "/b/1"
                                                          : replay->c->path,
            (int64_t)(WORK_US * work), CALLER_TIMEOUT_US);
        call->tenant = replay->c->anonymous
                           ? NULL
                           : tenant_names[tenant < TENANTS ? tenant : TENANTS];
        call->tenant_id = tenant;
        call->owner = wish;
    }
}

static outcome_t
evaluate(const surge_case_t *c, const wish_t *wishes, uint32_t count)
{
    double served[TENANTS + 1] = {0};
    double sent[TENANTS + 1] = {0};
    for (uint32_t i = 0; i < count; i++) {
        uint32_t tenant =
            wishes[i].tenant < TENANTS ? wishes[i].tenant : TENANTS;
        if (wishes[i].at_us >= START_US + (int64_t)SURGE_S * SECOND) {
            sent[tenant]++;
            served[tenant] += wishes[i].served ? 1 : 0;
        }
    }
    outcome_t outcome = {.worst = 1, .apart = 1, .strangers = 1};
    for (uint32_t i = 0; i < TENANTS; i++) {
        double share = served[i] / sent[i];
        if (i < c->surging) {
            outcome.surging += share / c->surging;
        }
        else if (i >= TENANTS - APART) {
            outcome.apart = share < outcome.apart ? share : outcome.apart;
        }
        else {
            outcome.mean += share / (TENANTS - APART - c->surging);
            outcome.worst = share < outcome.worst ? share : outcome.worst;
        }
    }
    if (sent[TENANTS] > 0) {
        outcome.strangers = served[TENANTS] / sent[TENANTS];
    }
    return outcome;
}

static outcome_t
run_surge(const surge_case_t *c, bool ignore_levels, uint64_t seed)
{
    enum { WISHES_MAX = 60000 };
    tier_settings_t settings = {
        .daemons = DAEMONS,
        .engine = {.zone = "a",
                   .retry_ratio = 0.2,
                   .retry_slack = 56,
                   .requests_max = 1500,
                   .ignore_levels = ignore_levels},
        .seed = seed,
    };
    wish_t *wishes = calloc(WISHES_MAX, sizeof(*wishes));
    replay_t replay = {.c = c, .world = tier_world_new(&settings)};
    tier_world_configure(replay.world, make_table());
    add_upstreams(replay.world);
    tier_world_on_answer(replay.world, call_again, &replay);
    double weights = 0;
    for (uint32_t i = 0; i < TENANTS - APART; i++) {
        weights += tenant_weight(c, i);
    }
    uint32_t count = 0;
    for (uint32_t i = 0; i < TENANTS; i++) {
        snprintf(tenant_names[i], sizeof(tenant_names[i]), "t%u", i);
        double per_s = LOAD * CAPACITY_PER_S * tenant_weight(c, i) / weights;
        double factor = i < c->surging ? SURGE_FACTOR : 1;
        count += add_callers(&replay, wishes + count, i, per_s, 0, SURGE_S);
        count += add_callers(&replay, wishes + count, i, per_s * factor,
                             SURGE_S, LENGTH_S);
    }
    for (uint32_t i = 0; i < c->strangers; i++) {
        double at_s =
            SURGE_S + tier_world_random(replay.world) * (LENGTH_S - SURGE_S);
        count += add_callers(&replay, wishes + count, TENANTS + i, 1e6, at_s,
                             LENGTH_S);
    }
    ck_assert_uint_lt(count, WISHES_MAX);
    tier_world_run(replay.world, START_US + (LENGTH_S + 2) * SECOND);
    outcome_t outcome = evaluate(c, wishes, count);
    outcome.checksum = replay.checksum;
    tier_world_free(replay.world);
    free(wishes);
    printf("%-50s %s worst %.3f mean %.3f apart %.3f surging %.3f strangers "
           "%.3f\n",
           c->name, ignore_levels ? "off" : "on ", outcome.worst, outcome.mean,
           outcome.apart, outcome.surging, outcome.strangers);
    return outcome;
}

static const surge_case_t surge_cases[] = {
    {.name = "one of twelve at six times",
     .surging = 1,
     .path = "/a/1",
     .min_served = 0.95,
     .fails_without = true},
    {.name = "five of twelve at six times",
     .surging = 5,
     .path = "/a/1",
     .min_served = 0.5,
     .fails_without = true},
    {.name = "five at six times, impatient",
     .surging = 5,
     .impatient = true,
     .path = "/a/1",
     .min_served = 0.48,
     .fails_without = true},
    {.name = "one at six times, unequal usual loads",
     .surging = 1,
     .unequal = true,
     .path = "/a/1",
     .min_served = 0.95},
    {.name = "five at six times, unequal, impatient",
     .surging = 5,
     .unequal = true,
     .impatient = true,
     .path = "/a/1",
     .min_served = 0.5,
     .fails_without = true},
    /* Three and a half times the capacity. */
    {.name = "10,000 strangers with one request each",
     .strangers = 10000,
     .path = "/a/1",
     .min_served = 0.1},
    {.name = "five at six times, two shards",
     .surging = 5,
     .path = "/all/1",
     .min_served = 0.5,
     .fails_without = true},
    {.name = "five at six times, two shards, impatient",
     .surging = 5,
     .impatient = true,
     .path = "/all/1",
     .min_served = 0.42,
     .fails_without = true},
};

static bool
is_fair(const surge_case_t *c, const outcome_t *outcome)
{
    return outcome->worst >= MIN_OF_MEAN * outcome->mean &&
           outcome->worst >= c->min_served;
}

/* No tenant in its usual load is served less than others, or much less than
   without the surge; tenants of another service lose nothing. */
START_TEST(test_surge)
{
    const surge_case_t *c = &surge_cases[_i];
    outcome_t without = run_surge(c, true, 3);
    outcome_t with = run_surge(c, false, 3);
    ck_assert_msg(is_fair(c, &with), "%s: worst %.3f mean %.3f", c->name,
                  with.worst, with.mean);
    ck_assert_msg(with.apart >= 0.99, "%s: apart %.3f", c->name, with.apart);
    ck_assert_msg(!c->fails_without || !is_fair(c, &without),
                  "%s: the case does not tell levels from none", c->name);
}
END_TEST

/* Requests without a tenant are answered at the same times, with or without
   levels. */
START_TEST(test_no_tenants)
{
    static const surge_case_t c = {
        .name = "five of twelve at six times, no tenants",
        .surging = 5,
        .anonymous = true,
        .path = "/a/1",
    };
    outcome_t without = run_surge(&c, true, 3);
    outcome_t with = run_surge(&c, false, 3);
    ck_assert_uint_eq(with.checksum, without.checksum);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("fair_load");
    tcase_set_timeout(tests, 120);
    tcase_add_test(tests, test_no_tenants);
    int cases = sizeof(surge_cases) / sizeof(surge_cases[0]);
#ifdef __SANITIZE_ADDRESS__
    /* The sanitizer makes a replay six times as long; the plain build runs
       all. */
    cases = 2;
#endif
    tcase_add_loop_test(tests, test_surge, 0, cases);
    return suite_run("fair_load", tests);
}
