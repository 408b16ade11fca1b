/*
 * Queries over shards while several shards are short of capacity: what is
 * admitted, what is left out, and when a service counts as short.
 */
#include "policy/fanout.h"
#include "policy/pool.h"
#include "t/lib/suite.h"

#include <string.h>

enum { MS = 1000, T0 = 100000000, EXPECTED_US = 20 * MS, PARTS_MAX = 8 };

typedef struct {
    const char *name;
    int wait_ms[PARTS_MAX]; /* of each part; the service takes service_ms */
    int service_ms;
    uint32_t count;
    uint32_t min_parts;
    bool admitted;
    uint32_t left_out;
    uint32_t silent; /* the last parts; their services don't respond */
} plan_case_t;

static const plan_case_t plan_cases[] = {
    {"no queues", {0}, 25, 4, 4, true, 0, 0},
    {"queues within the goal", {70, 70, 0, 0}, 25, 4, 4, true, 0, 0},
    {"one shard that the answer can do without",
     {80, 0, 0, 0},
     25,
     4,
     3,
     true,
     1,
     0},
    {"one shard that it needs", {80, 0, 0, 0}, 25, 4, 4, false, 1, 0},
    {"two of four, one may be missing", {80, 90, 0, 0}, 25, 4, 3, false, 2, 0},
    {"one held up, one silent, one may be missing",
     {80, 0, 0, 0},
     25,
     4,
     3,
     false,
     1,
     1},
    {"one held up, one silent, two may be missing",
     {80, 0, 0, 0},
     25,
     4,
     2,
     true,
     1,
     1},
    /* What is sent shows when the shards respond again. */
    {"too few respond in any case", {80, 0, 0, 0}, 25, 4, 3, true, 1, 2},
    /* Refusing would serve nobody: without the queue it would be as late. */
    {"shards slower than the goal", {80, 80, 80, 80}, 120, 4, 4, true, 0, 0},
};

/* Guards against queries that take capacity and are late all the same, and
   against refusals where the queue is not what makes them late. */
START_TEST(test_plan)
{
    const plan_case_t *c = &plan_cases[_i];
    fanout_part_t parts[PARTS_MAX];
    for (uint32_t i = 0; i < c->count; i++) {
        parts[i] = (fanout_part_t){
            .wait_us = c->wait_ms[i] * MS,
            .service_us = c->service_ms * MS,
            .is_silent = i + c->silent >= c->count,
        };
    }
    fanout_plan_t plan = fanout_plan(parts, c->count, c->min_parts, 100 * MS);
    ck_assert_msg(plan.admitted == c->admitted, "%s", c->name);
    ck_assert_msg(plan.left_out == c->left_out, "%s", c->name);
    for (uint32_t i = 0; i < c->count; i++) {
        ck_assert_msg(
            parts[i].left_out ==
                (c->wait_ms[i] + c->service_ms > 100 && c->left_out > 0),
            "%s, part %u", c->name, i);
    }
}
END_TEST

typedef struct {
    pool_t pool;
    instance_t instances[2];
    pool_pick_t pick;
} fixture_t;

static void
fixture_init(fixture_t *f)
{
    memset(f, 0, sizeof(*f));
    f->pool.limits.fleet_size = 1;
    f->pick.cost_context =
        (cost_context_t){.zone = "a", .expected_us = EXPECTED_US};
    for (int i = 0; i < 2; i++) {
        instance_entry_t entry = {.slots = 1, .zone = "a"};
        instance_init(&f->instances[i], &entry, T0);
        ck_assert(pool_add(&f->pool, &f->instances[i]));
    }
}

static void
fill(fixture_t *f, int instance, int64_t now_us)
{
    while (f->instances[instance].in_flight <
           pool_concurrency_limit(&f->pool, &f->instances[instance], now_us)) {
        instance_sent(&f->instances[instance], now_us);
    }
}

/* Guards against estimates that count upstreams that do not respond, and
   against a wait at a service that has a free upstream. */
START_TEST(test_outlook)
{
    fixture_t f;
    fixture_init(&f);
    pool_outlook_t outlook = pool_outlook(&f.pool, &f.pick, 0, T0);
    ck_assert_int_eq(outlook.wait_us, 0);
    ck_assert_int_eq(outlook.service_us, EXPECTED_US);

    /* Both full: two times the limit of requests in 20 ms each. */
    fill(&f, 0, T0);
    fill(&f, 1, T0);
    double per_us = 2.0 * f.instances[0].in_flight / EXPECTED_US;
    outlook = pool_outlook(&f.pool, &f.pick, 3, T0);
    ck_assert_int_eq(outlook.wait_us, (int64_t)(4 / per_us));

    /* A second later both are silent and full. */
    outlook = pool_outlook(&f.pool, &f.pick, 0, T0 + 1000 * MS);
    ck_assert_int_eq(outlook.wait_us, POOL_NEVER_US);

    /* One of them is silent but has a free slot: it is tried. */
    instance_dropped(&f.instances[1], T0 + 1000 * MS);
    outlook = pool_outlook(&f.pool, &f.pick, 0, T0 + 1000 * MS);
    ck_assert_int_eq(outlook.wait_us, 0);
    pool_release(&f.pool);
}
END_TEST

typedef struct {
    const char *name;
    int full_ms[6]; /* when a request found no free upstream; 0 ends */
    int at_ms;
    bool is_short;
} short_case_t;

static const short_case_t short_cases[] = {
    {"never full", {0}, 500, false},
    {"a pause", {1, 100, 240}, 250, false},
    {"full for 300 ms", {1, 150, 290, 310}, 320, true},
    {"with a break", {1, 150, 400, 450}, 460, false},
    {"over", {1, 150, 290, 310}, 520, false},
};

/* Guards against refusals in an upstream's usual pause of 250 ms. */
START_TEST(test_short)
{
    const short_case_t *c = &short_cases[_i];
    fixture_t f;
    fixture_init(&f);
    for (int i = 0; i < 6 && c->full_ms[i] > 0; i++) {
        pool_note_full(&f.pool, T0 + c->full_ms[i] * MS);
    }
    ck_assert_msg(pool_is_short(&f.pool, T0 + c->at_ms * MS) == c->is_short,
                  "%s", c->name);
    pool_release(&f.pool);
}
END_TEST

int
main(void)
{
    TCase *t = tcase_create("fanout");
    tcase_add_loop_test(t, test_plan, 0,
                        sizeof(plan_cases) / sizeof(plan_cases[0]));
    tcase_add_test(t, test_outlook);
    tcase_add_loop_test(t, test_short, 0,
                        sizeof(short_cases) / sizeof(short_cases[0]));
    return suite_run("fanout", t);
}
