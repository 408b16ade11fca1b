/*
 * Quotas of several daemons in virtual time. Each case checks what is admitted
 * in any window against the bound, and how much is refused that one token
 * bucket for all daemons would have admitted.
 *
 * QUOTA_PRINT=1 prints a line for each run, QUOTA_SEEDS=N runs N seeds.
 */
#include "policy/quota.h"
#include "t/lib/suite.h"
#include "t/lib/tier_quota_world.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* --- events of the cases ------------------------------------------------ */

static void
restart_all(quota_world_t *world, int64_t now_us)
{
    if (now_us == EVENT_US) {
        for (uint32_t i = 0; i < world->c->daemons; i++) {
            world->daemons[i].down_us = now_us;
            world->daemons[i].back_us = now_us + 200 * MS + i * 10 * MS;
        }
    }
}

static void
partition(quota_world_t *world, int64_t now_us)
{
    world->is_partitioned =
        now_us >= EVENT_US && now_us < EVENT_US + 15 * SECOND;
}

/* Half of the daemons leave for longer than their share is kept. */
static void
halve(quota_world_t *world, int64_t now_us)
{
    for (uint32_t i = world->c->daemons / 2;
         now_us == EVENT_US && i < world->c->daemons; i++) {
        world->daemons[i].down_us = now_us;
        world->daemons[i].back_us = now_us + 35 * SECOND;
    }
}

/* The standby daemons get half of the calls. */
static void
use_standby(quota_world_t *world, int64_t now_us)
{
    for (uint32_t i = 0; now_us == EVENT_US && i < world->c->daemons; i++) {
        quota_daemon_t *daemon = &world->daemons[i];
        daemon->weight = daemon->stands_by
                             ? 1.0 / world->c->standby
                             : 1.0 / (world->c->daemons - world->c->standby);
    }
}

/* All daemons get the same. */
static void
level_weights(quota_world_t *world, int64_t now_us)
{
    for (uint32_t i = 0; now_us == EVENT_US && i < world->c->daemons; i++) {
        world->daemons[i].weight = 1;
    }
}

#define LIMIT_49                                                              \
    {                                                                         \
        .rate_per_s = 49, .burst = 49                                         \
    }
#define LIMIT_1                                                               \
    {                                                                         \
        .rate_per_s = 1, .burst = 1                                           \
    }

static const quota_case_t cases[] = {
    {"six times the limit for long", .daemons = 8, .tenants = 1,
     .limit = LIMIT_49, .load = 6, .least = 0.95, .seconds = 40,
     .fails = {[MODE_NO_SHARES] = true}},
    {"all daemons hit at once at six times the limit", .daemons = 8,
     .tenants = 1, .limit = LIMIT_49, .load = 6, .calm_s = 25,
     .calm_load = 0.3, .seconds = 40, .fails = {[MODE_NO_SHARES] = true}},
    {"one of 8 daemons in use, then all at once", .daemons = 8, .tenants = 1,
     .limit = LIMIT_49, .load = 6, .calm_s = 25, .calm_load = 0.9, .busy = 1,
     .busy_share = 0.9, .seconds = 40, .event = level_weights,
     .fails = {[MODE_NO_SHARES] = true}},
    {"0.9, nine tenths at 2 of 16 daemons", .daemons = 16, .tenants = 1,
     .limit = LIMIT_49, .load = 0.9, .busy = 2, .busy_share = 0.9,
     .loss_max = 0.005, .seconds = 75, .fails = {[MODE_NO_LENDING] = true}},
    {"0.9, nine tenths at 1 of 8 daemons", .daemons = 8, .tenants = 1,
     .limit = LIMIT_49, .load = 0.9, .busy = 1, .busy_share = 0.9,
     .loss_max = 0.005, .seconds = 75, .fails = {[MODE_NO_LENDING] = true}},
    {"200 tenants, 0.62 of 1/s at 2 of 8", .daemons = 8, .tenants = 200,
     .limit = LIMIT_1, .load = 0.62, .busy = 2, .busy_share = 1,
     .loss_max = 0.005, .seconds = 75, .fails = {[MODE_NO_LENDING] = true}},
    {"200 tenants, 0.62 of 0.5/s at 2 of 8", .daemons = 8, .tenants = 200,
     .limit = {.rate_per_s = 0.5, .burst = 1}, .load = 0.62, .busy = 2,
     .busy_share = 1, .loss_max = 0.005, .seconds = 75,
     .fails = {[MODE_NO_LENDING] = true}},
    {"200 tenants, 0.62 of 1/s at 2 of 8 each", .daemons = 8, .tenants = 200,
     .limit = LIMIT_1, .load = 0.62, .pairs = true, .loss_max = 0.005,
     .seconds = 75, .fails = {[MODE_NO_LENDING] = true}},
    {"200 tenants, 0.62 of 1/s at 2 of 16 each", .daemons = 16, .tenants = 200,
     .limit = LIMIT_1, .load = 0.62, .pairs = true, .loss_max = 0.005,
     .seconds = 75, .fails = {[MODE_NO_LENDING] = true}},
    {"200 tenants, 0.62 of 1/s at 2 of 60 each", .daemons = 60, .tenants = 200,
     .limit = LIMIT_1, .load = 0.62, .pairs = true, .loss_max = 0.005,
     .seconds = 75, .fails = {[MODE_NO_LENDING] = true}},
    {"200 tenants, 0.62 of 1/s at all of 8", .daemons = 8, .tenants = 200,
     .limit = LIMIT_1, .load = 0.62, .loss_max = 0.005, .seconds = 75,
     .fails = {[MODE_NO_LENDING] = true}},
    /* Each daemon sees a tenant seldom, and needs a loan for most calls. */
    {"200 tenants, 0.62 of 1/s at all of 28", .daemons = 28, .tenants = 200,
     .limit = LIMIT_1, .load = 0.62, .loss_max = 0.005, .seconds = 75,
     .fails = {[MODE_NO_LENDING] = true}},
    {"200 tenants, 0.62 of 5/s at all of 28", .daemons = 28, .tenants = 200,
     .limit = {.rate_per_s = 5, .burst = 5}, .load = 0.62, .loss_max = 0.005,
     .seconds = 40, .fails = {[MODE_NO_LENDING] = true}},
    {"the same, with a goal of 50 ms", .daemons = 28, .tenants = 200,
     .limit = {.rate_per_s = 5, .burst = 5}, .load = 0.62, .goal_us = 50 * MS,
     .loss_max = 0.005, .seconds = 40, .fails = {[MODE_NO_LENDING] = true}},
    {"200 tenants, 0.62 of 5/s at all of 60", .daemons = 60, .tenants = 200,
     .limit = {.rate_per_s = 5, .burst = 5}, .load = 0.62, .loss_max = 0.005,
     .seconds = 40, .fails = {[MODE_NO_LENDING] = true}},
    {"50 tenants, 0.62 of 3.2/s at 2 of 8", .daemons = 8, .tenants = 50,
     .limit = {.rate_per_s = 3.2, .burst = 4}, .load = 0.62, .busy = 2,
     .busy_share = 1, .loss_max = 0.005, .seconds = 75,
     .fails = {[MODE_NO_LENDING] = true}},
    {"50 small tenants at six times the limit", .daemons = 8, .tenants = 50,
     .limit = LIMIT_1, .load = 6, .least = 0.95, .seconds = 40,
     .fails = {[MODE_NO_SHARES] = true}},
    {"all restart in a burst", .daemons = 8, .tenants = 1, .limit = LIMIT_49,
     .load = 6, .seconds = 40, .event = restart_all,
     .fails = {[MODE_NO_SHARES] = true}},
    {"all restart half a second into a burst", .daemons = 8, .tenants = 1,
     .limit = LIMIT_49, .load = 6, .calm_s = 24, .calm_load = 0.3,
     .seconds = 40, .event = restart_all, .fails = {[MODE_NO_SHARES] = true}},
    {"28 daemons, small tenants, all restart in a burst", .daemons = 28,
     .tenants = 50, .limit = LIMIT_1, .load = 6, .calm_s = 24,
     .calm_load = 0.3, .seconds = 40, .event = restart_all,
     .fails = {[MODE_NO_SHARES] = true}},
    {"28 daemons, 49/s, all restart in a burst", .daemons = 28, .tenants = 5,
     .limit = LIMIT_49, .load = 6, .calm_s = 24, .calm_load = 0.3,
     .seconds = 40, .event = restart_all, .fails = {[MODE_NO_SHARES] = true}},
    {"16 daemons, small tenants, all restart in a burst", .daemons = 16,
     .tenants = 50, .limit = LIMIT_1, .load = 6, .calm_s = 24,
     .calm_load = 0.3, .seconds = 40, .event = restart_all,
     .fails = {[MODE_NO_SHARES] = true}},
    {"16, 8, then 16 daemons, small tenants, burst", .daemons = 16,
     .tenants = 50, .limit = LIMIT_1, .load = 6, .calm_s = 60,
     .calm_load = 0.3, .seconds = 78, .event = halve,
     .fails = {[MODE_NO_SHARES] = true}},
    {"half cut off from the others, burst", .daemons = 8, .tenants = 1,
     .limit = LIMIT_49, .load = 6, .calm_s = 26, .calm_load = 0.3,
     .least = 0.9, .seconds = 50, .event = partition,
     .fails = {[MODE_NO_SHARES] = true}},
    {"half cut off from the others, usual load", .daemons = 8, .tenants = 1,
     .limit = LIMIT_49, .load = 0.62, .loss_max = 0.005, .seconds = 50,
     .event = partition},
    {"8, 4, then 8 daemons, burst", .daemons = 8, .tenants = 1,
     .limit = LIMIT_49, .load = 6, .least = 0.8, .seconds = 78, .event = halve,
     .fails = {[MODE_NO_SHARES] = true}},
    {"8, 4, then 8 daemons, burst when 4 come back", .daemons = 8,
     .tenants = 1, .limit = LIMIT_49, .load = 6, .calm_s = 60,
     .calm_load = 0.3, .seconds = 78, .event = halve,
     .fails = {[MODE_NO_SHARES] = true}},
    {"8, 4, then 8 daemons, usual load", .daemons = 8, .tenants = 1,
     .limit = LIMIT_49, .load = 0.4, .loss_max = 0.005, .seconds = 78,
     .event = halve},
    {"limit to a tenth, then back, burst", .daemons = 8, .tenants = 1,
     .limit = LIMIT_49, .load = 6, .least = 0.95, .seconds = 60,
     .lowers = true, .fails = {[MODE_NO_SHARES] = true}},
    {"limit to a tenth, then a burst", .daemons = 8, .tenants = 1,
     .limit = LIMIT_49, .load = 6, .calm_s = 28, .calm_load = 0.05,
     .seconds = 60, .lowers = true, .fails = {[MODE_NO_SHARES] = true}},
    {"standby daemons get half of the calls", .daemons = 12, .standby = 4,
     .tenants = 1, .limit = LIMIT_49, .load = 0.62, .loss_max = 0.005,
     .seconds = 50, .event = use_standby,
     .fails = {[MODE_NO_LENDING] = true, [MODE_NO_SHARES] = true}},
    {"standby daemons, burst", .daemons = 12, .standby = 4, .tenants = 1,
     .limit = LIMIT_49, .load = 6, .calm_s = 25, .calm_load = 0.3,
     .seconds = 50, .event = use_standby, .fails = {[MODE_NO_SHARES] = true}},
    {"60 daemons, burst", .daemons = 60, .tenants = 1, .limit = LIMIT_49,
     .load = 6, .calm_s = 25, .calm_load = 0.3, .least = 0.8, .seconds = 40,
     .fails = {[MODE_NO_SHARES] = true}},
    {"60 daemons, usual load", .daemons = 60, .tenants = 1, .limit = LIMIT_49,
     .load = 0.62, .loss_max = 0.005, .seconds = 75,
     .fails = {[MODE_NO_LENDING] = true}},
};

enum { CASES = sizeof(cases) / sizeof(cases[0]) };

static const char *
run_case(const quota_case_t *c, quota_mode_t mode, uint64_t seed)
{
    quota_world_t *world = quota_world_new(c, mode, seed);
    quota_world_run(world);
    const char *fault = quota_world_fault(world);
    if (getenv("QUOTA_PRINT") != NULL) {
        printf("%-42s mode %d seed %d: window %.3f lost %.4f of %llu admitted "
               "%.3f, "
               "%.1f asks/s/daemon%s%s\n",
               c->name, (int)mode, (int)seed, world->worst,
               quota_world_lost(world), (unsigned long long)world->owed,
               (double)world->admitted / (double)world->owed,
               (double)world->asks / (double)c->seconds / c->daemons,
               fault != NULL ? ": " : "", fault != NULL ? fault : "");
        fflush(stdout);
    }
    quota_world_free(world);
    return fault;
}

START_TEST(test_case)
{
    const char *seeds = getenv("QUOTA_SEEDS");
    uint64_t last = seeds != NULL ? strtoull(seeds, NULL, 10) : 3;
    for (uint64_t seed = 1; seed <= last; seed++) {
        const char *fault = run_case(&cases[_i], MODE_WHOLE, seed);
        ck_assert_msg(fault == NULL, "%s, seed %d: %s", cases[_i].name,
                      (int)seed, fault);
    }
}
END_TEST

/* Guards against cases that pass without what they are about. */
START_TEST(test_switched_off)
{
    const quota_case_t *c = &cases[_i];
    for (quota_mode_t mode = MODE_NO_LENDING; mode < MODES; mode++) {
        const char *fault = run_case(c, mode, 1);
        ck_assert_msg((fault != NULL) == c->fails[mode], "%s, mode %d: %s",
                      c->name, (int)mode, fault != NULL ? fault : "passes");
    }
}
END_TEST

/* --- one daemon --------------------------------------------------------- */

static const quota_limit_t limit_49 = LIMIT_49;

/* A daemon among `serving` that has served for so long that it is full. */
static void
single_init(quota_t *quota, uint32_t serving, quota_peer_t *peers)
{
    for (uint32_t i = 0; i + 1 < serving; i++) {
        peers[i] = (quota_peer_t){.id = i + 2};
    }
    quota_fleet_t fleet = {
        .serving = serving,
        .serves = true,
        .self = 1,
        .is_settled = true,
        .peers = peers,
        .peer_count = serving - 1,
    };
    quota_init(quota, &quota_world_bounds, 7, 0);
    quota_set_fleet(quota, &fleet, 0);
}

static uint32_t
take_all(quota_t *quota, int64_t now_us, quota_decision_t *last)
{
    uint32_t admitted = 0;
    for (;;) {
        *last = quota_take(quota, 0, &limit_49, GOAL_US, now_us);
        if (last->verdict != QUOTA_ADMITTED) {
            return admitted;
        }
        admitted++;
    }
}

/* Guards against a Retry-After that is short, or the same for all callers, and
   against tokens of requests that did not run being lost. */
START_TEST(test_refusal)
{
    quota_t quota;
    quota_decision_t last;
    int64_t now_us = 60 * SECOND;
    single_init(&quota, 1, NULL);
    /* burst + T / 2, where T = 0.1 x (49 x 5 + 49) + 20 */
    ck_assert_uint_eq(take_all(&quota, now_us, &last), 73);
    ck_assert_int_eq(last.verdict, QUOTA_REFUSED);
    double sum_us = 0;
    for (int i = 0; i < 100; i++) {
        last = quota_take(&quota, 0, &limit_49, GOAL_US, now_us);
        ck_assert_int_ge(last.retry_after_us, QUOTA_RETRY_MIN_US);
        ck_assert_int_le(last.retry_after_us, 2 * QUOTA_RETRY_MIN_US);
        sum_us += (double)last.retry_after_us;
    }
    ck_assert_double_gt(sum_us / 100, 1.3 * QUOTA_RETRY_MIN_US);
    ck_assert_double_lt(sum_us / 100, 1.7 * QUOTA_RETRY_MIN_US);
    quota_give_back(&quota, 0, &limit_49, now_us);
    ck_assert_uint_eq(take_all(&quota, now_us, &last), 1);
    quota_release(&quota);
}
END_TEST

/* Guards against waits for loans that can't come, and against waits beyond a
   quarter of the goal. */
START_TEST(test_waiting)
{
    quota_t quota;
    quota_peer_t peers[1];
    quota_ask_t ask;
    quota_decision_t last;
    int64_t now_us = 60 * SECOND;
    single_init(&quota, 2, peers);
    take_all(&quota, now_us, &last);
    ck_assert_int_eq(last.verdict, QUOTA_WAITS);
    ck_assert_int_eq(last.until_us, now_us + 30 * MS);
    last = quota_take(&quota, 0, &limit_49, 80 * MS, now_us);
    ck_assert_int_eq(last.until_us, now_us + 20 * MS);
    ck_assert(quota_ask(&quota, &ask, now_us));
    ck_assert_uint_eq(ask.peer, 2);
    ck_assert_uint_eq(ask.count, 1);
    ck_assert(ask.waits[0]);
    /* What a peer grants beyond the request, or a value that is no number,
       adds no tokens. */
    quota_answered(&quota, &ask, (double[QUOTA_WANTS_MAX]){NAN}, now_us);
    last = quota_take_again(&quota, 0, &limit_49, now_us + 20 * MS, now_us);
    ck_assert_int_eq(last.verdict, QUOTA_REFUSED);
    quota_release(&quota);
    single_init(&quota, 2, peers);
    take_all(&quota, now_us, &last);
    ck_assert(quota_ask(&quota, &ask, now_us));
    quota_answered(&quota, &ask, (double[QUOTA_WANTS_MAX]){1e9}, now_us);
    ck_assert_double_le(quota.stats.borrowed, ask.wanted[0]);
    quota_failed(&quota, &ask, SECOND, now_us);
    ck_assert(!quota_ask(&quota, &ask, now_us));
    quota_release(&quota);
}
END_TEST

/* Guards against a peer that is not asked again, and requests that are
   refused, since a request lacked little and got just that. */
START_TEST(test_small_loan)
{
    static const quota_limit_t limit = LIMIT_1;
    quota_t quota;
    quota_peer_t peers[1];
    quota_ask_t ask;
    quota_decision_t last;
    int64_t now_us = 60 * SECOND;
    single_init(&quota, 2, peers);
    do {
        last = quota_take(&quota, 0, &limit, GOAL_US, now_us);
    } while (last.verdict == QUOTA_ADMITTED);
    /* 0.65 tokens are left, and 0.5 a second are refilled. */
    now_us += 400 * MS;
    last = quota_take(&quota, 0, &limit, GOAL_US, now_us);
    ck_assert_int_eq(last.verdict, QUOTA_WAITS);
    ck_assert(quota_ask(&quota, &ask, now_us));
    ck_assert_double_lt(ask.wanted[0], 0.25);
    /* As rounded in the message. */
    double granted[QUOTA_WANTS_MAX] = {ask.wanted[0] * 0.9999};
    quota_answered(&quota, &ask, granted, now_us);
    last = quota_take_again(&quota, 0, &limit, now_us + 1, now_us);
    ck_assert_int_eq(last.verdict, QUOTA_ADMITTED);
    last = quota_take(&quota, 0, &limit, GOAL_US, now_us);
    ck_assert_int_eq(last.verdict, QUOTA_WAITS);
    quota_release(&quota);
}
END_TEST

/* Guards against daemons that disagree on who has the parts of a limit, and
   against limits with more parts than one, or fewer. */
START_TEST(test_owners)
{
    enum { SERVING = 260, TENANTS = 50, PARTS = 2 };
    static quota_t quotas[SERVING];
    quota_peer_t peers[SERVING];
    quota_limit_t limit = LIMIT_1;
    for (uint32_t i = 0; i < SERVING; i++) {
        for (uint32_t j = 0; j + 1 < SERVING; j++) {
            peers[j] = (quota_peer_t){.id = (i + j + 1) % SERVING + 1};
        }
        quota_fleet_t fleet = {
            .serving = SERVING,
            .serves = true,
            .self = i + 1,
            .is_settled = true,
            .peers = peers,
            .peer_count = SERVING - 1,
        };
        quota_init(&quotas[i], &quota_world_bounds, 7, 0);
        quota_set_fleet(&quotas[i], &fleet, 0);
    }
    for (uint32_t t = 0; t < TENANTS; t++) {
        uint32_t owning = 0;
        limit.key = t + 1;
        for (uint32_t i = 0; i < SERVING; i++) {
            double lent =
                quota_lend(&quotas[i], t, &limit, 1, false, 60 * SECOND);
            owning += lent == 1 ? 1 : 0;
            ck_assert(lent == 1 || lent == 0);
        }
        ck_assert_uint_eq(owning, PARTS);
    }
    for (uint32_t i = 0; i < SERVING; i++) {
        quota_release(&quotas[i]);
    }
}
END_TEST

/* Guards against memory beyond 2 MB with 10,000 tenants, and against accounts
   that are kept, or dropped before they are full again. */
START_TEST(test_memory)
{
    enum { TENANTS = 10000 };
    quota_t quota;
    single_init(&quota, 1, NULL);
    const quota_limit_t slow = {.rate_per_s = 0.1, .burst = 40};
    int64_t now_us = 600 * SECOND;
    for (uint32_t t = 0; t < TENANTS; t++) {
        quota_take(&quota, t, t == 5 ? &slow : &limit_49, 0, now_us);
    }
    for (int i = 0; i < 30; i++) {
        quota_take(&quota, 5, &slow, 0, now_us);
    }
    size_t bytes = quota.account_capacity *
                       (sizeof(*quota.accounts) + sizeof(*quota.short_queue)) +
                   quota.slot_count * sizeof(*quota.slots);
    ck_assert_uint_le(bytes, 2 << 20);
    ck_assert_uint_eq(quota.account_count, TENANTS);
    quota_ask_t ask;
    while (quota.short_count > 0) {
        /* The queue empties when demand is forgotten. */
        now_us += SECOND;
        quota_peers_set(&quota.peers, &(quota_peer_t){.id = 9}, 1, now_us);
        if (quota_ask(&quota, &ask, now_us)) {
            quota_failed(&quota, &ask, 0, now_us);
        }
    }
    now_us += QUOTA_IDLE_US;
    for (int i = 0; i < 100; i++) {
        quota_expire(&quota, now_us);
    }
    ck_assert_uint_eq(quota.account_count, 1);
    ck_assert_uint_eq(quota.accounts[0].tenant, 5);
    quota_expire(&quota, now_us + 400 * SECOND);
    ck_assert_uint_eq(quota.account_count, 0);
    quota_release(&quota);
}
END_TEST

/* Guards against quotas where nothing asks for them. */
START_TEST(test_no_quota)
{
    quota_t quota;
    quota_decision_t decision;
    const quota_limit_t none = {.rate_per_s = 0, .burst = 5};
    quota_init(&quota, &(quota_bounds_t){0}, 7, 0);
    for (int i = 0; i < 1000; i++) {
        decision = quota_take(&quota, 0, &limit_49, 0, SECOND);
        ck_assert_int_eq(decision.verdict, QUOTA_ADMITTED);
    }
    quota_set_bounds(&quota, &quota_world_bounds, SECOND);
    for (int i = 0; i < 1000; i++) {
        decision = quota_take(&quota, 0, &none, 0, SECOND);
        ck_assert_int_eq(decision.verdict, QUOTA_ADMITTED);
    }
    ck_assert_uint_eq(quota.account_count, 0);
    quota_release(&quota);
}
END_TEST

int
main(void)
{
    TCase *t = tcase_create("quota");
    tcase_set_timeout(t, 120);
    tcase_add_loop_test(t, test_case, 0, CASES);
    tcase_add_loop_test(t, test_switched_off, 0, CASES);
    tcase_add_test(t, test_refusal);
    tcase_add_test(t, test_waiting);
    tcase_add_test(t, test_small_loan);
    tcase_add_test(t, test_owners);
    tcase_add_test(t, test_memory);
    tcase_add_test(t, test_no_quota);
    return suite_run("quota", t);
}
