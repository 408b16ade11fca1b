/*
 * Upstreams state in their responses how many requests a second they accept
 * from all daemons together. What arrives at each of them, and what callers
 * get, at several sizes of the fleet and of the limit. Virtual time.
 */
#include "t/lib/suite.h"
#include "t/lib/tier_world.h"

#include <stdio.h>
#include <string.h>

enum {
    START_US = 1000000,
    SECOND = 1000000,
    LENGTH_S = 24,
    LIMITED_FROM_US = START_US + 3 * SECOND,
    LIMITED_UNTIL_US = START_US + 18 * SECOND,
    STABLE_US = 4 * SECOND, /* after the first response with a limit */
    WINDOW_US = 4 * SECOND,
    TOLD_US = 500000, /* a daemon counts from then on after such a response */
    CALLS_MAX = 8000
};

typedef struct {
    const char *name;
    uint32_t daemons;
    uint32_t shards;    /* of /all/; 0: calls go to /one/ */
    uint32_t upstreams; /* of each service */
    uint32_t slots;
    uint32_t limited; /* of the upstreams of service s0 */
    double limit_per_s;
    double then_per_s; /* the limit from the middle on; 0: the same */
    uint32_t calls_per_s;
    int64_t work_us;
    int64_t goal_us;
    /* Least percentage of the calls during the limit answered in time, and of
       what all limits together allow that is used. */
    uint32_t in_time_percent;
    uint32_t used_percent;
} limit_case_t;

static const limit_case_t limit_cases[] = {
    /* Two of three upstreams of a shard take half of what they got. */
    {"half of two upstreams", 8, 10, 3, 4, 2, 42, 0, 180, 20000, 150000, 95,
     0},
    /* Half of the queries are answered without the shard. */
    {"all upstreams of a shard", 8, 10, 3, 4, 3, 27, 0, 180, 20000, 150000, 95,
     80},
    {"the limit falls", 8, 10, 3, 4, 3, 42, 8, 180, 20000, 150000, 95, 0},
    {"the limit rises", 8, 10, 3, 4, 3, 8, 42, 180, 20000, 150000, 95, 0},
    {"a limit of 0", 8, 10, 3, 4, 1, 0, 0, 150, 20000, 150000, 95, 0},
    {"a limit below 1", 8, 10, 3, 4, 2, 0.4, 0, 150, 20000, 150000, 95, 0},
    {"small limits of many upstreams", 8, 0, 35, 2, 21, 1.2, 0, 45, 160000,
     600000, 95, 0},
    {"a small limit in a larger fleet", 32, 10, 3, 4, 3, 9.7, 0, 72, 20000,
     150000, 95, 60},
    {"one upstream that all need", 8, 0, 1, 8, 1, 20, 0, 60, 20000, 600000, 0,
     80},
};

typedef struct {
    uint32_t calls;   /* while limits hold, from STABLE_US on */
    uint32_t in_time; /* of these */
    uint32_t held;    /* of these, refused after a quarter of the goal */
    uint32_t back;    /* calls after the limits, of the last three seconds */
    uint32_t back_in_time;
} tally_t;

static char ids[TIER_UPSTREAMS_MAX][16];
static char services[16][16];

static void
add_upstreams(tier_world_t *world, const limit_case_t *c)
{
    static const char *const zones[] = {"a", "b", "c"};
    uint32_t shards = c->shards > 0 ? c->shards : 1;
    for (uint32_t i = 0; i < shards * c->upstreams; i++) {
        uint32_t shard = i / c->upstreams;
        snprintf(ids[i], sizeof(ids[i]), "i-%u", i);
        snprintf(services[shard], sizeof(services[shard]), "s%u", shard);
        tier_world_upstream_t up = {
            .id = ids[i],
            .service = services[shard],
            .zone = zones[i % 3],
            .slots = c->slots,
            .queue_max = 24,
            .limited = i < c->limited,
            .limit_per_s = c->limit_per_s,
            .since_us = LIMITED_FROM_US,
            .until_us = LIMITED_UNTIL_US,
        };
        tier_world_upstream(world, &up);
    }
}

static void
set_limits(tier_world_t *world, const limit_case_t *c, double per_s)
{
    for (uint32_t i = 0; i < c->limited; i++) {
        tier_world_upstream_at(world, i)->limit_per_s = per_s;
    }
}

static tally_t
tally_calls(const limit_case_t *c, tier_call_t *const *calls, uint32_t count)
{
    tally_t tally = {0};
    for (uint32_t i = 0; i < count; i++) {
        const tier_call_t *call = calls[i];
        ck_assert_msg(call->done, "%s: a call got no answer", c->name);
        int64_t took_us = call->done_us - call->at_us;
        bool in_time = call->status == 200 && took_us <= c->goal_us;
        if (call->at_us >= LIMITED_FROM_US + STABLE_US &&
            call->at_us < LIMITED_UNTIL_US) {
            tally.calls++;
            tally.in_time += in_time ? 1 : 0;
            tally.held +=
                call->status == 503 && took_us > c->goal_us / 4 ? 1 : 0;
        }
        else if (call->at_us >= START_US + (LENGTH_S - 3) * SECOND) {
            tally.back++;
            tally.back_in_time += in_time ? 1 : 0;
        }
    }
    return tally;
}

static void
check_arrivals(tier_world_t *world, const limit_case_t *c)
{
    double window_s = (double)WINDOW_US / SECOND;
    int64_t from_us = LIMITED_FROM_US + STABLE_US;
    double limit_per_s = c->limit_per_s;
    if (c->then_per_s > 0 && c->then_per_s < c->limit_per_s) {
        limit_per_s = c->then_per_s;
        from_us = LIMITED_FROM_US + 2 * STABLE_US + SECOND;
    }
    for (uint32_t i = 0; i < c->limited; i++) {
        uint32_t most = tier_world_told_arrivals(
            world, i, from_us, LIMITED_UNTIL_US, WINDOW_US, TOLD_US);
        double allowed = 1.5 * limit_per_s * window_s + 5;
        printf("%s: i-%u named %.1f a second, %u in %.0f s, %.0f allowed\n",
               c->name, i, limit_per_s, most, window_s, allowed);
        ck_assert_msg(most <= allowed, "%s: %u of %.0f", c->name, most,
                      allowed);
    }
}

START_TEST(test_limit_exceeded)
{
    static tier_call_t *calls[CALLS_MAX];
    const limit_case_t *c = &limit_cases[_i];
    tier_settings_t settings = {
        .daemons = c->daemons,
        .engine = {.retry_ratio = 0.2,
                   .retry_slack = 56,
                   .requests_max = 1500,
                   .zone = "a"},
        .seed = 7,
    };
    tier_world_t *world = tier_world_new(&settings);
    tier_world_configure(
        world,
        tier_world_table(1, c->shards > 0 ? c->shards : 1, c->goal_us, 0.89));
    add_upstreams(world, c);
    uint32_t count = 0;
    for (double at_s = 0; at_s < LENGTH_S && count < CALLS_MAX; count++) {
        at_s += 2 * tier_world_random(world) / c->calls_per_s;
        double work = 0.5 + tier_world_random(world);
        calls[count] = tier_world_call(
            world, START_US + (int64_t)(at_s * SECOND),
            (uint32_t)(tier_world_random(world) * c->daemons),
            c->shards > 0 ? "/all/1" : "/one/1",
            (int64_t)((double)c->work_us * work), 5 * c->goal_us);
    }
    tier_world_run(world, LIMITED_FROM_US + STABLE_US + SECOND);
    if (c->then_per_s > 0) {
        set_limits(world, c, c->then_per_s);
    }
    uint32_t before = 0;
    for (uint32_t i = 0; i < c->limited; i++) {
        before += tier_world_arrivals(world, i);
    }
    tier_world_run(world, LIMITED_UNTIL_US);
    uint32_t used = 0;
    for (uint32_t i = 0; i < c->limited; i++) {
        used += tier_world_arrivals(world, i);
    }
    used -= before;
    tier_world_run(world, START_US + (LENGTH_S + 4) * SECOND);
    tally_t tally = tally_calls(c, calls, count);
    double span_s =
        (double)(LIMITED_UNTIL_US - LIMITED_FROM_US - STABLE_US - SECOND) /
        SECOND;
    double allowed = c->limit_per_s * c->limited * span_s;
    printf("%s: %u calls, in time %u, refused late %u, used %u of %.0f; "
           "afterwards %u of %u in time\n",
           c->name, tally.calls, tally.in_time, tally.held, used, allowed,
           tally.back_in_time, tally.back);
    check_arrivals(world, c);
    ck_assert_msg(tally.in_time * 100 >= tally.calls * c->in_time_percent,
                  "%s: %u of %u in time", c->name, tally.in_time, tally.calls);
    ck_assert_msg(used * 100 >= allowed * c->used_percent,
                  "%s: %u of %.0f used", c->name, used, allowed);
    ck_assert_msg(tally.held * 20 <= tally.calls, "%s: %u of %u refused late",
                  c->name, tally.held, tally.calls);
    ck_assert_msg(tally.back_in_time * 100 >= tally.back * 95,
                  "%s: afterwards %u of %u in time", c->name,
                  tally.back_in_time, tally.back);
    tier_world_free(world);
}
END_TEST

/* Limits that an upstream states, and the one in force. */
typedef struct {
    const char *name;
    struct {
        int64_t at_s;
        double per_s;
    } stated[4];
    uint32_t count;
    double in_force;
} statement_case_t;

static const statement_case_t statement_cases[] = {
    {"the first", {{0, 20}}, 1, 20},
    {"a lower one at once", {{0, 20}, {1, 5}}, 2, 5},
    {"a higher one not yet", {{0, 20}, {1, 40}, {10, 40}}, 3, 20},
    {"a higher one after ten seconds", {{0, 20}, {1, 40}, {11, 40}}, 3, 40},
    {"the least of the higher ones",
     {{0, 20}, {1, 40}, {5, 30}, {11, 50}},
     4,
     30},
    {"a lower one between", {{0, 20}, {1, 40}, {5, 20}, {11, 40}}, 4, 20},
};

START_TEST(test_limit_changes)
{
    const statement_case_t *c = &statement_cases[_i];
    rate_limit_t limit = {0};
    for (uint32_t i = 0; i < c->count; i++) {
        rate_limit_state(&limit, c->stated[i].per_s,
                         START_US + c->stated[i].at_s * SECOND);
    }
    ck_assert_msg(limit.per_s == c->in_force, "%s: %f", c->name, limit.per_s);
}
END_TEST

/* All daemons of a fleet send as much as they may, after a time without any
   request. */
typedef struct {
    uint32_t daemons;
    double limit_per_s;
    int64_t idle_s;
} greedy_case_t;

static const greedy_case_t greedy_cases[] = {
    {8, 0, 60},    {8, 0.3, 60},  {8, 1, 60},    {8, 42, 60},  {32, 0, 300},
    {32, 1, 300},  {32, 9.7, 60}, {32, 9.7, 1},  {60, 0, 300}, {60, 1, 300},
    {60, 9.7, 60}, {60, 27, 60},  {60, 100, 60}, {60, 100, 0},
};

START_TEST(test_greedy_daemons)
{
    enum { DAEMONS = 60, STEP_US = 50000 };
    const greedy_case_t *c = &greedy_cases[_i];
    static rate_limit_t limits[DAEMONS];
    uint64_t daemon_ids[DAEMONS];
    uint32_t sent = 0;
    for (uint32_t i = 0; i < c->daemons; i++) {
        daemon_ids[i] = i + 1;
    }
    for (uint32_t i = 0; i < c->daemons; i++) {
        rate_sharers_t sharers = {
            .self = daemon_ids[i],
            .ids = daemon_ids,
            .count = c->daemons,
            .fleet_size = c->daemons,
        };
        limits[i] = (rate_limit_t){0};
        rate_limit_state(&limits[i], c->limit_per_s, START_US);
        rate_limit_divide(&limits[i], 7, &sharers, START_US);
    }
    for (int64_t at_us = 0; at_us <= WINDOW_US; at_us += STEP_US) {
        int64_t now_us = START_US + c->idle_s * SECOND + at_us;
        for (uint32_t i = 0; i < c->daemons; i++) {
            while (rate_limit_allows(&limits[i], now_us)) {
                rate_limit_take(&limits[i], false, now_us);
                sent++;
            }
        }
    }
    double allowed = 1.5 * c->limit_per_s * WINDOW_US / SECOND + 5;
    printf(
        "%u daemons, %.1f a second, idle for %lld s: %u sent, %.0f allowed\n",
        c->daemons, c->limit_per_s, (long long)c->idle_s, sent, allowed);
    ck_assert_msg(sent <= allowed, "%u daemons, %.1f a second: %u sent",
                  c->daemons, c->limit_per_s, sent);
}
END_TEST

/* A daemon without a share sends a request in its turn, again and again, so
   that it learns when the limit ends. */
START_TEST(test_turns)
{
    enum { DAEMONS = 8 };
    const uint64_t daemon_ids[DAEMONS] = {1, 2, 3, 4, 5, 6, 7, 8};
    for (uint32_t i = 0; i < DAEMONS; i++) {
        rate_limit_t limit = {0};
        rate_sharers_t sharers = {
            .self = daemon_ids[i],
            .ids = daemon_ids,
            .count = DAEMONS,
            .fleet_size = DAEMONS,
        };
        uint32_t sent = 0;
        rate_limit_state(&limit, 0, START_US);
        rate_limit_divide(&limit, 7, &sharers, START_US);
        for (int64_t at_us = START_US; at_us < START_US + 100 * SECOND;
             at_us += SECOND / 10) {
            if (rate_limit_allows(&limit, at_us)) {
                rate_limit_take(&limit, false, at_us);
                sent++;
            }
        }
        ck_assert_msg(sent >= 3 && sent <= 5, "daemon %u: %u", i, sent);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("limit exceeded");
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, test_limit_exceeded, 0,
                        sizeof(limit_cases) / sizeof(limit_cases[0]));
    tcase_add_loop_test(tests, test_limit_changes, 0,
                        sizeof(statement_cases) / sizeof(statement_cases[0]));
    tcase_add_loop_test(tests, test_greedy_daemons, 0,
                        sizeof(greedy_cases) / sizeof(greedy_cases[0]));
    tcase_add_test(tests, test_turns);
    return suite_run("limit exceeded", tests);
}
