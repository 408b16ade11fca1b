/*
 * Queries over many shards of which many are short of capacity: which callers
 * are answered in time. Virtual time.
 */
#include "t/lib/suite.h"
#include "t/lib/tier_world.h"

#include <stdio.h>

enum {
    START_US = 1000000,
    SECOND = 1000000,
    DAEMONS = 8,
    SHARDS = 36,
    UPSTREAMS = 3 * SHARDS,
    SLOTS = 2,
    CALLS_PER_S = 120,
    LENGTH_S = 14,
    FAULTS_S = 3, /* from the start, when the faults begin */
    REPAIR_S = 9  /* when they end */
};

/* The callers of one route. */
typedef struct {
    const char *path;
    int64_t goal_us;
    int64_t timeout_us;
    double min_share;
    int64_t work_us;
} class_t;

static const class_t classes[] = {
    {"/slow/1", 300000, 3000000, 0.95, 40000},
    {"/fast/1", 80000, 1200000, 0.85, 12000},
};

enum { CLASSES = sizeof(classes) / sizeof(classes[0]) };

typedef struct {
    const char *name;
    uint32_t dark; /* upstreams that refuse connections */
    uint32_t hang; /* that never respond */
    uint32_t slow;
    double slowdown;
    double demand;        /* during the faults, as a multiple of CALLS_PER_S */
    uint32_t min_in_time; /* of the callers of four seeds */
    uint32_t max_failed;
} shortage_t;

/* One caller's wish, over both of its attempts. */
typedef struct {
    uint32_t class;
    uint32_t attempts;
    int64_t at_us;
    int64_t done_us;
    uint32_t status;
    uint32_t missing;
    const char *reason;
} wish_t;

typedef struct {
    uint32_t calls;
    uint32_t in_time;
    uint32_t late;    /* 200 after the goal */
    uint32_t failed;  /* 502, 504 */
    uint32_t refused; /* 503 at the last attempt */
    double value;     /* mean of the squared share of shards, if in time */
} tally_t;

typedef struct {
    tier_world_t *world;
    const shortage_t *shortage;
} replay_t;

/* The caller repeats a refused call once, after Retry-After. */
static void
call_answered(void *owner, tier_call_t *call)
{
    replay_t *replay = owner;
    wish_t *wish = call->owner;
    const class_t *class = &classes[wish->class];
    wish->done_us = call->done_us;
    wish->status = call->status;
    wish->missing = call->missing;
    wish->reason = call->reason;
    int64_t again_us = call->done_us + call->retry_after_us;
    int64_t left_us = wish->at_us + class->timeout_us - again_us;
    if (call->status != 503 || call->retry_after_us == 0 ||
        wish->attempts > 1 || left_us < class->goal_us / 2) {
        return;
    }
    wish->attempts++;
    tier_call_t *next =
        tier_world_call(replay->world, again_us,
                        (uint32_t)(tier_world_random(replay->world) * DAEMONS),
                        call->path, call->work_us, left_us);
    next->owner = wish;
}

static route_table_t *
make_table(void)
{
    static char services[SHARDS][16];
    route_table_t *table = route_table_new(1);
    for (uint32_t i = 0; i < CLASSES; i++) {
        route_t *route =
            route_table_add(table, i == 0 ? "slow" : "fast", "h.example",
                            i == 0 ? "/slow/" : "/fast/");
        route->kind = ROUTE_SHARDS;
        route->idempotent = true;
        route->goal_us = classes[i].goal_us;
        route->timeout_us = classes[i].timeout_us;
        route->attempts = 2;
        route->priority = 1;
        route->top_k = 20;
        route->min_share = classes[i].min_share;
        for (uint32_t shard = 0; shard < SHARDS; shard++) {
            snprintf(services[shard], sizeof(services[shard]), "s%u", shard);
            route_add_target(route, services[shard], 1);
        }
    }
    route_table_seal(table);
    return table;
}

/* List the upstreams; which of them are faulty is random. */
static void
add_upstreams(replay_t *replay)
{
    static char ids[UPSTREAMS][16];
    static char services[SHARDS][16];
    const shortage_t *shortage = replay->shortage;
    tier_world_t *world = replay->world;
    uint32_t order[UPSTREAMS] = {0};
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        uint32_t at = (uint32_t)(tier_world_random(world) * (i + 1));
        order[i] = order[at];
        order[at] = i;
    }
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        uint32_t number = order[i];
        snprintf(ids[i], sizeof(ids[i]), "u%u", number);
        snprintf(services[number / 3], sizeof(services[0]), "s%u", number / 3);
        tier_world_upstream_t up = {
            .id = ids[i],
            .service = services[number / 3],
            .slots = SLOTS,
            .queue_max = 24,
            .since_us = START_US + FAULTS_S * SECOND,
            .until_us = START_US + REPAIR_S * SECOND,
        };
        uint32_t faulty = shortage->dark + shortage->hang;
        up.unreachable = i < shortage->dark;
        up.silent = i >= shortage->dark && i < faulty;
        if (i >= faulty && i < faulty + shortage->slow) {
            up.slowdown = shortage->slowdown;
        }
        tier_world_upstream(world, &up);
    }
}

static tally_t
run_shortage(const shortage_t *shortage, uint64_t seed)
{
    enum { WISHES_MAX = 8000 };
    static wish_t wishes[WISHES_MAX];
    tier_settings_t settings = {
        .daemons = DAEMONS,
        .engine = {.zone = "a",
                   .retry_ratio = 0.2,
                   .retry_slack = 56,
                   .requests_max = 1500},
        .seed = seed,
    };
    replay_t replay = {tier_world_new(&settings), shortage};
    tier_world_t *world = replay.world;
    tier_world_configure(world, make_table());
    add_upstreams(&replay);
    tier_world_on_answer(world, call_answered, &replay);
    uint32_t count = 0;
    double at_s = 0;
    while (at_s < LENGTH_S) {
        bool faults = at_s >= FAULTS_S && at_s < REPAIR_S;
        double per_s = CALLS_PER_S * (faults ? shortage->demand : 1);
        at_s += 2 * tier_world_random(world) / per_s;
        uint32_t class = (uint32_t)(tier_world_random(world) * CLASSES);
        double work = 0.5 + tier_world_random(world);
        wish_t *wish = &wishes[count++];
        *wish = (wish_t){.class = class,
                         .attempts = 1,
                         .at_us = START_US + (int64_t)(at_s * SECOND)};
        tier_call_t *call = tier_world_call(
            world, wish->at_us, (uint32_t)(tier_world_random(world) * DAEMONS),
            classes[class].path,
            (int64_t)((double)classes[class].work_us * work),
            classes[class].timeout_us);
        call->owner = wish;
    }
    ck_assert_uint_lt(count, WISHES_MAX);
    tier_world_run(world, START_US + (LENGTH_S + 4) * SECOND);
    tally_t tally = {.calls = count};
    for (uint32_t i = 0; i < count; i++) {
        const wish_t *wish = &wishes[i];
        bool in_time = wish->status == 200 && wish->done_us - wish->at_us <=
                                                  classes[wish->class].goal_us;
        double share = 1 - wish->missing / (double)SHARDS;
        tally.in_time += in_time ? 1 : 0;
        tally.late += wish->status == 200 && !in_time ? 1 : 0;
        tally.failed += wish->status == 502 || wish->status == 504 ? 1 : 0;
        tally.refused += wish->status == 503 ? 1 : 0;
        tally.value += in_time ? share * share : 0;
    }
    tally.value /= count;
    tier_world_free(world);
    return tally;
}

static const shortage_t shortages[] = {
    {"all of it", 12, 12, 36, 8, 1.6, 3850, 400},
    {"a third slow, demand 1.6", 0, 0, 36, 8, 1.6, 4150, 150},
    {"12 dark, 12 hang, demand 1.6", 12, 12, 0, 1, 1.6, 4500, 300},
    {"demand 1.6", 0, 0, 0, 1, 1.6, 7600, 0},
    {"all of it, usual demand", 12, 12, 36, 8, 1, 3900, 350},
};

/* A query is refused at once where it can't be expected in time, so that those
   that are admitted are answered in time and whole enough. Without that all
   are admitted, and nearly all are late during the faults. */
START_TEST(test_shortage)
{
    enum { SEEDS = 4 };
    const shortage_t *c = &shortages[_i];
    tally_t sum = {0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        tally_t t = run_shortage(c, seed);
        sum.calls += t.calls;
        sum.in_time += t.in_time;
        sum.late += t.late;
        sum.failed += t.failed;
        sum.refused += t.refused;
        sum.value += t.value / SEEDS;
    }
    printf("%-30s calls %u in time %u late %u failed %u refused %u value "
           "%.3f\n",
           c->name, sum.calls, sum.in_time, sum.late, sum.failed, sum.refused,
           sum.value);
    ck_assert_msg(sum.in_time >= c->min_in_time, "%s: %u in time", c->name,
                  sum.in_time);
    ck_assert_msg(sum.failed <= c->max_failed, "%s: %u failed", c->name,
                  sum.failed);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("short_shards");
    tcase_set_timeout(tests, 240);
    int cases = sizeof(shortages) / sizeof(shortages[0]);
#ifdef __SANITIZE_ADDRESS__
    /* The sanitizer makes a replay six times as long; the plain build runs
       all. */
    cases = 1;
#endif
    tcase_add_loop_test(tests, test_shortage, 0, cases);
    return suite_run("short_shards", tests);
}
