/*
 * Replays of low load on a service with many upstreams: how evenly requests
 * are spread, and whether an upstream without responses, or one that was slow,
 * gets its part. What fails otherwise: the upstream that happened to be fast
 * first is chosen for ever.
 *
 * EQUAL_PRINT=1 prints a line for each run.
 */
#include "t/lib/suite.h"
#include "t/lib/tier_world.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum {
    SECOND = 1000000,
    START_US = 1000000,
    UPSTREAMS = 40,
    FRESH = 3, /* that start later, beside the others */
    SLOTS = 2,
    WORK_US = 20000,
    GOAL_US = 200000,
    LENGTH_S = 60,
    CALLS_MAX = 40000
};

/* An upstream that is well again, or new, gets this part of the mean. */
#define PART_MIN 0.5
/* Work of one request varies by this factor, as e to the power of it. */
#define WORK_SPREAD 0.4

typedef struct {
    const char *name;
    uint32_t daemons;
    uint32_t calls_per_s;
    bool unequal;     /* speeds of 0.8 to 1.3 */
    bool turns_slow;  /* the first upstream, from 10 to 25 s */
    bool fresh;       /* FRESH upstreams start at 20 s */
    double busiest;   /* most requests of one upstream, of the mean; 0: any */
    int part_from_s;  /* from then on PART_MIN holds, */
    int part_until_s; /* until then */
} equal_case_t;

static const equal_case_t cases[] = {
    {.name = "equal", .daemons = 2, .calls_per_s = 400, .busiest = 1.3},
    {.name = "equal", .daemons = 8, .calls_per_s = 400, .busiest = 1.3},
    {.name = "equal", .daemons = 60, .calls_per_s = 400, .busiest = 1.3},
    {.name = "equal, few calls", .daemons = 2, .calls_per_s = 100},
    {.name = "equal, few calls",
     .daemons = 8,
     .calls_per_s = 100,
     .busiest = 1.3},
    {.name = "speeds", .daemons = 2, .calls_per_s = 400, .unequal = true},
    {.name = "speeds", .daemons = 8, .calls_per_s = 400, .unequal = true},
    {.name = "speeds", .daemons = 60, .calls_per_s = 400, .unequal = true},
    {.name = "turns slow",
     .daemons = 2,
     .calls_per_s = 400,
     .turns_slow = true,
     .part_from_s = 35,
     .part_until_s = 60},
    {.name = "turns slow",
     .daemons = 8,
     .calls_per_s = 400,
     .turns_slow = true,
     .part_from_s = 35,
     .part_until_s = 60},
    {.name = "turns slow",
     .daemons = 60,
     .calls_per_s = 400,
     .turns_slow = true,
     .part_from_s = 35,
     .part_until_s = 60},
    {.name = "new ones",
     .daemons = 2,
     .calls_per_s = 400,
     .fresh = true,
     .part_from_s = 25,
     .part_until_s = 60},
    {.name = "new ones",
     .daemons = 8,
     .calls_per_s = 400,
     .fresh = true,
     .part_from_s = 25,
     .part_until_s = 60},
    {.name = "new ones",
     .daemons = 60,
     .calls_per_s = 400,
     .fresh = true,
     .part_from_s = 25,
     .part_until_s = 60},
};

static void
add_upstream(tier_world_t *world, const equal_case_t *c, uint32_t number)
{
    static char ids[UPSTREAMS + FRESH][16];
    snprintf(ids[number], sizeof(ids[number]), "i-%u", number);
    tier_world_upstream_t up = {
        .id = ids[number],
        .service = "s0",
        .zone = "a",
        .slots = SLOTS,
        .queue_max = 8,
        .slowdown = c->unequal ? 0.8 + 0.5 * number / (UPSTREAMS - 1) : 1,
    };
    if (c->turns_slow && number == 0) {
        up.slowdown = 5;
        up.since_us = START_US + 10 * SECOND;
        up.until_us = START_US + 25 * SECOND;
    }
    tier_world_upstream(world, &up);
}

static uint32_t
schedule_calls(tier_world_t *world, const equal_case_t *c, tier_call_t **calls)
{
    uint32_t count = 0;
    for (double at_s = 0; count < CALLS_MAX;) {
        at_s -= log(1 - tier_world_random(world)) / c->calls_per_s;
        if (at_s >= LENGTH_S) {
            break;
        }
        double normal = 0;
        for (int i = 0; i < 12; i++) {
            normal += tier_world_random(world) - 0.5;
        }
        calls[count++] = tier_world_call(
            world, START_US + (int64_t)(at_s * SECOND),
            (uint32_t)(tier_world_random(world) * c->daemons), "/one/",
            (int64_t)(WORK_US * exp(WORK_SPREAD * normal)), 2 * SECOND);
    }
    return count;
}

static int
compare_times(const void *left, const void *right)
{
    const int64_t *a = left;
    const int64_t *b = right;
    return *a < *b ? -1 : *a > *b;
}

static int64_t
calls_p99_us(tier_call_t **calls, uint32_t count)
{
    static int64_t times[CALLS_MAX];
    for (uint32_t i = 0; i < count; i++) {
        ck_assert(calls[i]->done && calls[i]->status == 200);
        times[i] = calls[i]->done_us - calls[i]->at_us;
    }
    qsort(times, count, sizeof(*times), compare_times);
    return times[(uint64_t)count * 99 / 100];
}

typedef struct {
    double busiest; /* of the mean */
    double part;    /* least of the mean; of the upstreams that changed */
    int64_t p99_us;
} result_t;

static result_t
run_case(const equal_case_t *c, uint64_t seed)
{
    static tier_call_t *calls[CALLS_MAX];
    tier_settings_t settings = {
        .daemons = c->daemons,
        .engine = {.zone = "a",
                   .retry_ratio = 0.2,
                   .retry_slack = 56,
                   .requests_max = 1500},
        .seed = seed,
    };
    tier_world_t *world = tier_world_new(&settings);
    tier_world_configure(world, tier_world_table(1, 1, GOAL_US, 1));
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        add_upstream(world, c, i);
    }
    uint32_t count = schedule_calls(world, c, calls);
    uint32_t upstreams = UPSTREAMS;
    uint32_t before[UPSTREAMS + FRESH] = {0};
    result_t result = {.part = 1};
    for (int s = 1; s <= LENGTH_S + 3; s++) {
        tier_world_run(world, START_US + s * (int64_t)SECOND);
        for (; c->fresh && s == 20 && upstreams < UPSTREAMS + FRESH;
             upstreams++) {
            add_upstream(world, c, upstreams);
        }
        for (uint32_t i = 0; s == c->part_from_s && i < upstreams; i++) {
            before[i] = tier_world_arrivals(world, i);
        }
    }
    uint32_t total = 0;
    uint32_t most = 0;
    uint32_t least = UINT32_MAX;
    for (uint32_t i = 0; i < upstreams; i++) {
        uint32_t arrivals = tier_world_arrivals(world, i) - before[i];
        total += arrivals;
        most = arrivals > most ? arrivals : most;
        bool changed = c->fresh ? i >= UPSTREAMS : i == 0;
        least = changed && arrivals < least ? arrivals : least;
    }
    result.busiest = most * (double)upstreams / total;
    result.part = least * (double)upstreams / total;
    result.p99_us = calls_p99_us(calls, count);
    tier_world_free(world);
    if (getenv("EQUAL_PRINT") != NULL) {
        printf("%-18s %2u daemons %3u/s seed %d: busiest %.2f part %.2f "
               "p99 %.1f ms\n",
               c->name, c->daemons, c->calls_per_s, (int)seed, result.busiest,
               result.part, (double)result.p99_us / 1000);
    }
    return result;
}

START_TEST(test_case)
{
    const equal_case_t *c = &cases[_i];
    for (uint64_t seed = 1; seed <= 2; seed++) {
        result_t result = run_case(c, seed);
        ck_assert_msg(c->busiest == 0 || result.busiest <= c->busiest,
                      "%s: busiest %.2f of the mean", c->name, result.busiest);
        ck_assert_msg(c->part_from_s == 0 || result.part >= PART_MIN,
                      "%s: part %.2f of the mean", c->name, result.part);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("equal");
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, test_case, 0, sizeof(cases) / sizeof(cases[0]));
    return suite_run("t1043-equal-upstreams", tests);
}
