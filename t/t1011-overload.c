/*
 * Overload and faulty upstreams: how many callers get an answer in time, how
 * complete it is, and how many retries and hedges are sent. Virtual time.
 */
#include "t/lib/suite.h"
#include "t/lib/tier_world.h"

#include <stdio.h>
#include <string.h>

enum {
    START_US = 1000000,
    SECOND = 1000000,
    GOAL_US = 150000,
    CALLER_TIMEOUT_US = 800000,
    SHARDS = 10,
    DAEMONS = 8
};

typedef struct {
    uint32_t calls;
    uint32_t in_time; /* status 200 within the goal */
    uint32_t late;    /* status 200 after the goal */
    uint32_t refused; /* status 503 */
    uint32_t failed;  /* status 502 or above 503 */
    double value;     /* mean over all calls: squared share of the shards in
                         the answer if it is in time, else 0 */
    uint32_t slow;    /* answered, in more than half of the goal */
    uint32_t arrivals;
} tally_t;

typedef struct {
    const char *name;
    uint32_t fleet_size;   /* number that the daemons assume; 0: DAEMONS */
    uint32_t short_shards; /* shards with one upstream instead of three */
    tier_world_upstream_t faulty; /* one upstream of each faulty shard */
    uint32_t faulty_shards;
    uint32_t calls_per_s;
    int64_t work_us;
    tier_world_upstream_t others; /* the other upstreams of faulty shards */
    tier_world_upstream_t last;   /* all upstreams of the last shard */
} load_case_t;

static char ids[SHARDS * 3][16];
static char services[SHARDS][16];

static void
add_upstreams(tier_world_t *world, const load_case_t *c)
{
    static const char *const zones[] = {"a", "b", "c"};
    for (uint32_t i = 0; i < SHARDS * 3; i++) {
        uint32_t shard = i / 3;
        tier_world_upstream_t up = {.slots = 4};
        if (i % 3 > 0 && shard < c->short_shards) {
            continue;
        }
        if (i % 3 == 0 && shard < c->faulty_shards) {
            up = c->faulty;
        }
        else if (shard < c->faulty_shards && c->others.slots > 0) {
            up = c->others;
        }
        else if (shard == SHARDS - 1 && c->last.slots > 0) {
            up = c->last;
        }
        snprintf(ids[i], sizeof(ids[i]), "i-%u", i);
        snprintf(services[shard], sizeof(services[shard]), "s%u", shard);
        up.id = ids[i];
        up.service = services[shard];
        up.zone = zones[i % 3];
        up.queue_max = 24;
        tier_world_upstream(world, &up);
    }
}

static tally_t
run_load(const load_case_t *c, uint64_t seed)
{
    enum { CALLS_MAX = 8000, LENGTH_S = 10 };
    static tier_call_t *calls[CALLS_MAX];
    static const char *const zones[] = {"a", "b", "c", "d"};
    tier_settings_t settings = {
        .daemons = DAEMONS,
        .engine = {.retry_ratio = 0.2,
                   .retry_slack = 56,
                   .requests_max = 1500},
        .seed = seed,
    };
    snprintf(settings.engine.zone, sizeof(settings.engine.zone), "%s",
             zones[seed % 4]);
    tier_world_t *world = tier_world_new(&settings);
    tier_world_configure(world, tier_world_table(1, SHARDS, GOAL_US, 0.89));
    add_upstreams(world, c);
    for (uint32_t i = 0; i < DAEMONS && c->fleet_size > 0; i++) {
        engine_set_fleet_size(tier_world_engine(world, i), c->fleet_size,
                              START_US);
    }
    uint32_t count = 0;
    double at_s = 0;
    while (at_s < LENGTH_S && count < CALLS_MAX) {
        at_s += 2 * tier_world_random(world) / c->calls_per_s;
        double work = 0.5 + tier_world_random(world);
        calls[count++] = tier_world_call(
            world, START_US + (int64_t)(at_s * SECOND),
            (uint32_t)(tier_world_random(world) * DAEMONS), "/all/1",
            (int64_t)((double)c->work_us * work), CALLER_TIMEOUT_US);
    }
    tier_world_run(world, START_US + (LENGTH_S + 2) * SECOND);
    tally_t tally = {.calls = count};
    for (uint32_t i = 0; i < count; i++) {
        const tier_call_t *call = calls[i];
        ck_assert_msg(call->done, "%s: a call got no answer", c->name);
        bool in_time = call->done_us - call->at_us <= GOAL_US;
        double share = 1 - call->missing / (double)SHARDS;
        tally.in_time += call->status == 200 && in_time ? 1 : 0;
        tally.late += call->status == 200 && !in_time ? 1 : 0;
        tally.refused += call->status == 503 ? 1 : 0;
        tally.failed += call->status > 503 || call->status == 502 ? 1 : 0;
        tally.value += call->status == 200 && in_time ? share * share : 0;
        tally.slow +=
            call->status == 200 && call->done_us - call->at_us > GOAL_US / 2
                ? 1
                : 0;
        tally.arrivals += call->arrivals;
    }
    tally.value /= count;
    tier_world_free(world);
    return tally;
}

static void
print_tally(const load_case_t *c, const tally_t *t)
{
    printf("%-58s calls %u in time %u late %u refused %u failed %u value %.3f "
           "sends %.2f\n",
           c->name, t->calls, t->in_time, t->late, t->refused, t->failed,
           t->value, t->arrivals / (double)t->calls / SHARDS);
}

/*
 * One shard has a single upstream, which is loaded to 85, 110 and 150 % of its
 * capacity. If each daemon sends as much as if it were alone, the upstream's
 * queue makes all answers late. If the daemons respect their part of its slots
 * and queue the rest themselves, requests that can meet the goal go first and
 * the others are answered without this shard.
 */
START_TEST(test_one_upstream_left)
{
    static const load_case_t cases[] = {
        {"one upstream left, load 85 %", 0, 1, {0}, 0, 170, 20000, {0}, {0}},
        {"one upstream left, load 110 %", 0, 1, {0}, 0, 220, 20000, {0}, {0}},
        {"one upstream left, load 150 %", 0, 1, {0}, 0, 300, 20000, {0}, {0}},
    };
    static const double min_values[] = {0.95, 0.85, 0.80};
    const load_case_t *c = &cases[_i];
    tally_t shared = run_load(c, 3);
    print_tally(c, &shared);
    ck_assert_msg(shared.value >= min_values[_i], "%s: %.3f", c->name,
                  shared.value);
    load_case_t unshared_load = *c;
    unshared_load.name = "  the same, each daemon assuming a fleet of one";
    unshared_load.fleet_size = 1;
    tally_t unshared = run_load(&unshared_load, 3);
    print_tally(&unshared_load, &unshared);
    ck_assert_msg(shared.value >= unshared.value, "%s: %.3f, %.3f", c->name,
                  shared.value, unshared.value);
}
END_TEST

/* Two shards are overloaded. An answer needs nine of the ten shards, so that
   it can leave out only one of the two. */
START_TEST(test_two_shards_short)
{
    static const load_case_t c = {
        "two shards short, load 110 %", 0, 2, {0}, 0, 220, 20000, {0}, {0}};
    tally_t tally = run_load(&c, 5);
    print_tally(&c, &tally);
    ck_assert_msg(tally.in_time + tally.late >= tally.calls * 85 / 100,
                  "%u of %u", tally.in_time, tally.calls);
    ck_assert_msg(tally.value >= 0.80, "%.3f", tally.value);
}
END_TEST

/* One upstream of each shard is faulty, and the others have spare capacity. */
typedef struct {
    load_case_t load;
    double min_value;
    double max_sends; /* per shard and call; the budget allows 1.2 and slack */
} fault_case_t;

static const fault_case_t fault_cases[] = {
    {{"one upstream of each shard pauses 200 ms every 4.5 s",
      0,
      0,
      {.slots = 4, .pause_every_us = 4500000, .pause_us = 200000},
      SHARDS,
      150,
      20000,
      {0},
      {0}},
     0.97,
     1.25},
    {{"one upstream of each shard ten times slower",
      0,
      0,
      {.slots = 4, .slowdown = 10},
      SHARDS,
      150,
      20000,
      {0},
      {0}},
     0.95,
     1.25},
    {{"one upstream of each shard silent for three seconds",
      0,
      0,
      {.slots = 4,
       .silent = true,
       .since_us = START_US + 3 * SECOND,
       .until_us = START_US + 6 * SECOND},
      SHARDS,
      150,
      20000,
      {0},
      {0}},
     0.95,
     1.25},
    {{"one upstream of each shard refuses half of its requests",
      0,
      0,
      {.slots = 4, .refuse_share = 0.5},
      SHARDS,
      150,
      20000,
      {0},
      {0}},
     0.95,
     1.25},
    {{"one upstream of each shard loses a tenth of its responses",
      0,
      0,
      {.slots = 4, .lose_share = 0.1},
      SHARDS,
      150,
      20000,
      {0},
      {0}},
     0.95,
     1.25},
};

START_TEST(test_faulty_upstreams)
{
    const fault_case_t *c = &fault_cases[_i];
    tally_t tally = run_load(&c->load, 11);
    print_tally(&c->load, &tally);
    ck_assert_msg(tally.value >= c->min_value, "%s: %.3f", c->load.name,
                  tally.value);
    ck_assert_msg(tally.arrivals <= c->max_sends * tally.calls * SHARDS,
                  "%s: %u sends of %u", c->load.name, tally.arrivals,
                  tally.calls * SHARDS);
}
END_TEST

#define SILENT_FOR_4_S                                                        \
    {                                                                         \
        .slots = 4, .silent = true, .since_us = START_US + 3 * SECOND,        \
        .until_us = START_US + 7 * SECOND                                     \
    }

/*
 * All upstreams of a shard are silent for four of ten seconds. Queries that
 * wait for it until their goal are all slow then, and late with any further
 * delay. They answer as soon as the other shards have: beside the first 300 ms
 * of silence hardly any query is slow.
 */
START_TEST(test_silent_shard)
{
    static const load_case_t c = {
        .name = "all upstreams of a shard silent for four seconds",
        .faulty = SILENT_FOR_4_S,
        .faulty_shards = 1,
        .others = SILENT_FOR_4_S,
        .calls_per_s = 150,
        .work_us = 20000,
    };
    tally_t tally = run_load(&c, 13);
    print_tally(&c, &tally);
    ck_assert_msg(tally.slow <= tally.calls * 15 / 100, "%u of %u are slow",
                  tally.slow, tally.calls);
    ck_assert_msg(tally.value >= 0.90, "%.3f", tally.value);
}
END_TEST

/*
 * All upstreams of two shards are silent for four of ten seconds, and an
 * answer may lack only one of them. Callers are refused at once, with a time
 * to come back, instead of waiting until their deadlines; but for the first
 * 300 ms and a query every 200 ms at each daemon, which shows when the shards
 * are back.
 */
START_TEST(test_two_silent_shards)
{
    static const load_case_t c = {
        .name = "all upstreams of two shards silent for four seconds",
        .faulty = SILENT_FOR_4_S,
        .faulty_shards = 2,
        .others = SILENT_FOR_4_S,
        .calls_per_s = 300,
        .work_us = 10000,
    };
    enum { SILENT_CALLS = 300 * 4, PROBES = DAEMONS * 4 * 5 };
    tally_t tally = run_load(&c, 19);
    print_tally(&c, &tally);
    ck_assert_msg(tally.failed <= PROBES + SILENT_CALLS / 5,
                  "%u waited and failed", tally.failed);
    ck_assert_msg(tally.refused >= SILENT_CALLS / 2, "%u refused",
                  tally.refused);
    /* Before and after the silence all are served. */
    ck_assert_msg(tally.in_time >= tally.calls * 55 / 100, "%u in time of %u",
                  tally.in_time, tally.calls);
}
END_TEST

/*
 * One shard is silent and another short, of which the answer may lack only
 * one. A query that would leave out the short one can never be answered: it is
 * refused at once, and does not wait until its deadline.
 */
START_TEST(test_silent_and_short_shard)
{
    static const load_case_t c = {
        .name = "a shard silent for four seconds, another short",
        .last = SILENT_FOR_4_S,
        .short_shards = 1,
        .calls_per_s = 220,
        .work_us = 20000,
    };
    tally_t tally = run_load(&c, 29);
    print_tally(&c, &tally);
    /* A daemon may notice by one query. */
    ck_assert_msg(tally.failed <= DAEMONS, "%u waited and failed",
                  tally.failed);
    ck_assert_msg(tally.in_time >= tally.calls * 85 / 100, "%u in time of %u",
                  tally.in_time, tally.calls);
}
END_TEST

/*
 * Two upstreams of each of three shards refuse 60 % of their requests, and the
 * third one pauses. While it pauses, a hedge to those that refuse has four
 * chances in ten to save the answer, and costs one round trip if it fails.
 */
START_TEST(test_hedges_to_refusing_upstreams)
{
    static const load_case_t c = {
        .name = "two upstreams of three shards refuse, the third pauses",
        .faulty = {.slots = 4, .pause_every_us = 2400000, .pause_us = 250000},
        .faulty_shards = 3,
        .others = {.slots = 4, .refuse_share = 0.6},
        .calls_per_s = 100,
        .work_us = 20000,
    };
    tally_t tally = run_load(&c, 17);
    print_tally(&c, &tally);
    ck_assert_msg(tally.value >= 0.93, "%.3f", tally.value);
}
END_TEST

/*
 * All upstreams of three shards refuse four requests in ten, more than the
 * retry budget makes up for. With 1.2 sends for each request, 72 % of the
 * parts arrive and 81 % of the answers lack at most one of the three. Retries
 * for answers that are late already must not use the budget that these need.
 */
START_TEST(test_refusals_beyond_budget)
{
    static const load_case_t c = {
        .name = "all upstreams of three shards refuse 40 %",
        .faulty = {.slots = 4, .refuse_share = 0.4},
        .faulty_shards = 3,
        .others = {.slots = 4, .refuse_share = 0.4},
        .calls_per_s = 200,
        .work_us = 10000,
    };
    tally_t tally = run_load(&c, 23);
    print_tally(&c, &tally);
    ck_assert_msg(tally.in_time >= tally.calls * 81 / 100, "%u of %u in time",
                  tally.in_time, tally.calls);
    ck_assert_msg(tally.arrivals <= 1.25 * tally.calls * SHARDS, "%u sends",
                  tally.arrivals);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("overload");
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, test_one_upstream_left, 0, 3);
    tcase_add_test(tests, test_two_shards_short);
    tcase_add_test(tests, test_silent_shard);
    tcase_add_test(tests, test_silent_and_short_shard);
    tcase_add_test(tests, test_two_silent_shards);
    tcase_add_test(tests, test_refusals_beyond_budget);
    tcase_add_test(tests, test_hedges_to_refusing_upstreams);
    tcase_add_loop_test(tests, test_faulty_upstreams, 0,
                        sizeof(fault_cases) / sizeof(fault_cases[0]));
    return suite_run("overload", tests);
}
