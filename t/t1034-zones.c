/*
 * Replays of uneven load over zones, in virtual time: how many callers are
 * answered in time, in the worst zone too, and how many requests leave their
 * zone. Four zones, of which one has no upstreams. And what other zones get at
 * most, whatever the reason to leave.
 */
#include "policy/pool.h"
#include "t/lib/suite.h"
#include "t/lib/tier_world.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum {
    START_US = 1000000,
    SECOND = 1000000,
    ZONES = 4,
    UPSTREAM_ZONES = 3, /* the last zone has none */
    SHARDS = 12,
    SLOTS = 6,
    ZONE_HOP_US = 500,
    CALLS_PER_S = 200, /* in all zones */
    CALLER_TIMEOUT_US = 1500000,
    LENGTH_S = 20,
    BIN_US = 500000, /* of the share that leaves */
    BINS = LENGTH_S * SECOND / BIN_US,
    CALLS_MAX = 16000,
    RUNS = 3 /* of each replay, with seeds of their own */
};

static const char *const zone_names[ZONES] = {"a", "b", "c", "d"};

/* The routes, with a part of the callers each. */
static const struct {
    const char *name;
    const char *path;
    int64_t goal_us, work_us;
    double part;
} routes[] = {
    {"short", "/short/", 80000, 10000, 0.5},
    {"middle", "/middle/", 300000, 40000, 0.35},
    {"long", "/long/", 800000, 150000, 0.15},
};
enum { ROUTES = sizeof(routes) / sizeof(routes[0]) };

static const uint32_t fleets[] = {2, 8, 60};
enum { FLEETS = sizeof(fleets) / sizeof(fleets[0]) };
/* A zone's own callers may be served worse by this than those who come. */
#define NEIGHBOUR_LOSS 0.02
/* The same against another rule: less is noise between runs. */
#define RULE_LOSS 0.02

/* A swing follows the demand if that moves by this part of itself: with two
   daemons, more than a zone's share of the calls comes to zone a, and the
   random bursts of the calls alone fill it for half a second. */
#define DEMAND_PART 0.2

/* Most of all sends that may leave a zone with upstreams while no zone is
   short, by the number of daemons: what left with the former constant cost of
   another zone (before c50d0ca). */
static const double former_calm_left[FLEETS] = {0.213, 0.068, 0.040};

typedef struct {
    const char *name;
    /* Demand of a zone as a multiple of its usual one. */
    double (*demand)(uint32_t zone, double at_s);
    /* Set the faults of an upstream; NULL: none. */
    void (*disturb)(tier_world_upstream_t *up, uint32_t zone, uint32_t shard);
    uint32_t swings;  /* begins and ends of what zone a is short for */
    bool calm;        /* no zone is short */
    bool zone_a_only; /* only zone a is short */
    bool needs_away;  /* too few are in time if no request leaves its zone */
} replay_t;

typedef struct {
    uint32_t calls;
    uint32_t in_time; /* whole, within the goal */
    uint32_t late;    /* answered, not in time or not whole */
} zone_tally_t;

typedef struct {
    zone_tally_t zones[ZONES];
    uint32_t sends;
    uint32_t crossings;
    uint32_t local_crossings; /* of daemons in zones with upstreams */
    double left[BINS];        /* share of zone a's sends that left, by time */
    uint32_t swings;          /* see count_swings */
} tally_t;

static double
calm_demand(uint32_t zone, double at_s)
{
    return (void)zone, (void)at_s, 1;
}

static double
step_demand(uint32_t zone, double at_s)
{
    return zone == 0 && at_s >= 7 && at_s < 12 ? 3 : 1;
}

static double
swing_demand(uint32_t zone, double at_s)
{
    static const double phases[ZONES] = {0, 0.3, 0.55, 0.8};
    return 1 + 0.55 * sin(2 * M_PI * (at_s / 15 + phases[zone]));
}

static void
disturb_moments(tier_world_upstream_t *up, uint32_t zone, uint32_t shard)
{
    (void)zone;
    /* A seventh of the time, in moments of 600 ms. */
    up->slow_every_us = 4200000;
    up->slow_us = 600000;
    up->slow_phase_us = (int64_t)zone * 1400000 + (int64_t)shard * 350000;
    up->slow_factor = 2.5;
}

static void
disturb_turns_slow(tier_world_upstream_t *up, uint32_t zone, uint32_t shard)
{
    (void)shard;
    if (zone == 0) {
        up->slow_every_us = 10 * SECOND;
        up->slow_us = 5 * SECOND;
        up->slow_factor = 5;
    }
}

static void
disturb_half_lost(tier_world_upstream_t *up, uint32_t zone, uint32_t shard)
{
    if (zone == 0 && shard % 2 == 0) {
        up->unreachable = true;
        up->slowdown = 1;
        up->since_us = START_US + 7 * SECOND;
    }
}

static const replay_t replays[] = {
    {.name = "calm", .demand = calm_demand, .calm = true},
    {.name = "calm, moments of 600 ms",
     .demand = calm_demand,
     .disturb = disturb_moments,
     .needs_away = true},
    {.name = "step of demand in one zone",
     .demand = step_demand,
     .swings = 2,
     .zone_a_only = true,
     .needs_away = true},
    {.name = "swing of 55 %", .demand = swing_demand, .swings = 2},
    {.name = "a zone slow and well every 5 s",
     .demand = calm_demand,
     .disturb = disturb_turns_slow,
     .swings = 4,
     .zone_a_only = true,
     .needs_away = true},
    {.name = "a zone loses half",
     .demand = calm_demand,
     .disturb = disturb_half_lost,
     .swings = 1,
     .zone_a_only = true},
};
enum { REPLAYS = sizeof(replays) / sizeof(replays[0]) };

static route_table_t *
replay_table(void)
{
    route_table_t *table = route_table_new(1);
    for (size_t i = 0; i < ROUTES; i++) {
        route_t *route = route_table_add(table, routes[i].name, "h.example",
                                         routes[i].path);
        route->kind = ROUTE_SHARDS;
        route->idempotent = true;
        route->goal_us = routes[i].goal_us;
        route->timeout_us = CALLER_TIMEOUT_US;
        route->attempts = 2;
        route->priority = (uint32_t)i;
        route->top_k = 20;
        route->min_share = 0.89;
        for (uint32_t shard = 0; shard < SHARDS; shard++) {
            char name[16];
            snprintf(name, sizeof(name), "s%u", shard);
            route_add_target(route, name, 1);
        }
    }
    route_table_seal(table);
    return table;
}

static void
add_upstreams(tier_world_t *world, const replay_t *replay)
{
    static char ids[SHARDS * UPSTREAM_ZONES][16];
    static char services[SHARDS][16];
    for (uint32_t i = 0; i < SHARDS * UPSTREAM_ZONES; i++) {
        uint32_t shard = i / UPSTREAM_ZONES;
        uint32_t zone = i % UPSTREAM_ZONES;
        snprintf(ids[i], sizeof(ids[i]), "i-%u", i);
        snprintf(services[shard], sizeof(services[shard]), "s%u", shard);
        tier_world_upstream_t up = {
            .id = ids[i],
            .service = services[shard],
            .zone = zone_names[zone],
            .slots = SLOTS,
            .queue_max = 24,
            .slowdown = 0.8 + 0.5 * tier_world_random(world),
        };
        if (replay->disturb != NULL) {
            replay->disturb(&up, zone, shard);
        }
        tier_world_upstream(world, &up);
    }
}

/* A daemon of the zone; of any zone if it has none. */
static uint32_t
choose_daemon(tier_world_t *world, uint32_t zone, uint32_t daemons)
{
    uint32_t number = (uint32_t)(tier_world_random(world) * daemons);
    return daemons < ZONES ? number : number / ZONES * ZONES + zone;
}

static uint32_t
schedule_calls(tier_world_t *world, const replay_t *replay, uint32_t daemons,
               tier_call_t **calls, uint32_t *zones)
{
    enum { DEMAND_MAX = 3 };
    uint32_t count = 0;
    for (double at_s = 0; at_s < LENGTH_S && count < CALLS_MAX;) {
        at_s -= log(1 - tier_world_random(world)) / CALLS_PER_S / DEMAND_MAX;
        uint32_t zone = (uint32_t)(tier_world_random(world) * ZONES);
        double work = 0.5 + tier_world_random(world);
        double kind = tier_world_random(world);
        if (tier_world_random(world) * DEMAND_MAX >=
            replay->demand(zone, at_s)) {
            continue;
        }
        uint32_t i = 0;
        while (i + 1 < ROUTES && kind >= routes[i].part) {
            kind -= routes[i++].part;
        }
        uint32_t daemon = choose_daemon(world, zone, daemons);
        zones[count] = daemon % ZONES;
        calls[count++] = tier_world_call(
            world, START_US + (int64_t)(at_s * SECOND), daemon, routes[i].path,
            (int64_t)((double)routes[i].work_us * work), CALLER_TIMEOUT_US);
    }
    return count;
}

static int64_t
call_goal_us(const tier_call_t *call)
{
    size_t i = 0;
    while (strcmp(routes[i].path, call->path) != 0) {
        i++;
    }
    return routes[i].goal_us;
}

static void
run_bins(tier_world_t *world, uint32_t daemons, tally_t *tally)
{
    uint32_t sends = 0;
    uint32_t crossings = 0;
    for (uint32_t bin = 0; bin < BINS; bin++) {
        tier_world_run(world, START_US + (int64_t)(bin + 1) * BIN_US);
        uint32_t sends_before = sends;
        uint32_t crossings_before = crossings;
        sends = 0;
        crossings = 0;
        for (uint32_t i = 0; i < daemons; i += ZONES) {
            sends += tier_world_sends(world, i);
            crossings += tier_world_crossings(world, i);
        }
        tally->left[bin] = sends == sends_before
                               ? 0
                               : (crossings - crossings_before) /
                                     (double)(sends - sends_before);
    }
    tier_world_run(world, START_US + (LENGTH_S + 3) * (int64_t)SECOND);
    for (uint32_t i = 0; i < daemons; i++) {
        tally->sends += tier_world_sends(world, i);
        tally->crossings += tier_world_crossings(world, i);
        tally->local_crossings +=
            i % ZONES < UPSTREAM_ZONES ? tier_world_crossings(world, i) : 0;
    }
}

/* Whether the demand moved by a part of itself in the direction, 1 or -1. */
static bool
demand_moved(uint32_t from, uint32_t to, int direction)
{
    return direction > 0 ? to >= from * (1 + DEMAND_PART)
                         : to <= from / (1 + DEMAND_PART);
}

/* How often the share of zone a that leaves changes by more than a leg, each
   time against the direction before, where the demand does not move with
   it. */
static uint32_t
count_swings(const double *shares, const uint32_t *demand)
{
    static const double leg = 0.45;
    uint32_t swings = 0, low = 0, high = 0;
    int direction = 0;
    for (uint32_t i = 1; i < BINS; i++) {
        low = shares[i] < shares[low] ? i : low;
        high = shares[i] > shares[high] ? i : high;
        uint32_t from = low;
        if (direction <= 0 && shares[i] > shares[low] + leg) {
            direction = 1;
        }
        else if (direction >= 0 && shares[i] < shares[high] - leg) {
            direction = -1;
            from = high;
        }
        else {
            continue;
        }
        swings += demand_moved(demand[from], demand[i], direction) ? 0 : 1;
        low = high = i;
    }
    return swings;
}

static tally_t
run_replay(const replay_t *replay, uint32_t daemons, int64_t price_us,
           uint64_t seed)
{
    static tier_call_t *calls[CALLS_MAX];
    static uint32_t zones[CALLS_MAX];
    tier_settings_t settings = {
        .daemons = daemons,
        .engine = {.retry_ratio = 0.2,
                   .retry_slack = 56,
                   .requests_max = 1500,
                   .zone_price_us = price_us},
        .seed = seed,
        .zones = zone_names,
        .zone_count = ZONES,
        .zone_hop_us = ZONE_HOP_US,
    };
    tier_world_t *world = tier_world_new(&settings);
    tier_world_configure(world, replay_table());
    add_upstreams(world, replay);
    uint32_t count = schedule_calls(world, replay, daemons, calls, zones);
    tally_t tally = {0};
    run_bins(world, daemons, &tally);
    uint32_t demand[BINS] = {0}; /* of zone a */
    for (uint32_t i = 0; i < count; i++) {
        const tier_call_t *call = calls[i];
        int64_t bin = (call->at_us - START_US) / BIN_US;
        demand[bin < BINS ? bin : BINS - 1] += zones[i] == 0 ? 1 : 0;
        ck_assert_msg(call->done, "%s: a call got no answer", replay->name);
        zone_tally_t *zone = &tally.zones[zones[i]];
        bool in_time = call->status == 200 && call->missing == 0 &&
                       call->done_us - call->at_us <= call_goal_us(call);
        zone->calls++;
        zone->in_time += in_time ? 1 : 0;
        zone->late += !in_time && call->status == 200 ? 1 : 0;
    }
    tier_world_free(world);
    tally.swings = count_swings(tally.left, demand);
    return tally;
}

/* The sum of RUNS runs; the most swings of one of them. */
static tally_t
run_replays(const replay_t *replay, uint32_t daemons, int64_t price_us)
{
    tally_t sum = {0};
    for (uint32_t run = 0; run < RUNS; run++) {
        tally_t tally = run_replay(replay, daemons, price_us, 7 + 11 * run);
        for (uint32_t i = 0; i < ZONES; i++) {
            sum.zones[i].calls += tally.zones[i].calls;
            sum.zones[i].in_time += tally.zones[i].in_time;
            sum.zones[i].late += tally.zones[i].late;
        }
        sum.sends += tally.sends;
        sum.crossings += tally.crossings;
        sum.local_crossings += tally.local_crossings;
        sum.swings = tally.swings > sum.swings ? tally.swings : sum.swings;
    }
    return sum;
}

/* 1 if no daemon is in the zone. */
static double
zone_share(const zone_tally_t *zone)
{
    return zone->calls == 0 ? 1 : zone->in_time / (double)zone->calls;
}

static double
tally_share(const tally_t *tally)
{
    uint32_t calls = 0;
    uint32_t in_time = 0;
    for (uint32_t i = 0; i < ZONES; i++) {
        calls += tally->zones[i].calls;
        in_time += tally->zones[i].in_time;
    }
    return in_time / (double)calls;
}

static double
tally_worst(const tally_t *tally)
{
    double worst = 1;
    for (uint32_t i = 0; i < ZONES; i++) {
        worst = fmin(worst, zone_share(&tally->zones[i]));
    }
    return worst;
}

static double
tally_left(const tally_t *tally)
{
    return tally->local_crossings / (double)tally->sends;
}

static void
print_tally(const replay_t *replay, uint32_t daemons, const char *rule,
            const tally_t *tally)
{
    uint32_t calls = 0;
    uint32_t late = 0;
    for (uint32_t i = 0; i < ZONES; i++) {
        calls += tally->zones[i].calls;
        late += tally->zones[i].late;
    }
    printf("%-32s %2u daemons, %-8s in time %.3f of %u, late %u, worst zone "
           "%.3f, left %.3f (%.3f), swings %u, zones",
           replay->name, daemons, rule, tally_share(tally), calls, late,
           tally_worst(tally), tally->crossings / (double)tally->sends,
           tally_left(tally), tally->swings);
    for (uint32_t i = 0; i < ZONES; i++) {
        printf(" %.3f", zone_share(&tally->zones[i]));
    }
    printf("\n");
}

/* Guards against swings of the share that leaves, and against neighbours whose
   own callers are served worse than those who come to them. */
static void
check_requirements(const replay_t *replay, uint32_t daemons,
                   const tally_t *tally)
{
    ck_assert_msg(tally->swings <= replay->swings, "%s, %u daemons: %u swings",
                  replay->name, daemons, tally->swings);
    for (uint32_t i = 1; i < UPSTREAM_ZONES && replay->zone_a_only; i++) {
        ck_assert_msg(zone_share(&tally->zones[i]) >=
                          zone_share(&tally->zones[0]) - NEIGHBOUR_LOSS,
                      "%s, %u daemons: zone %s", replay->name, daemons,
                      zone_names[i]);
    }
}

/*
 * Guards against a decision that serves worse than the two rules that decide
 * nothing: "off" takes the fastest upstream wherever it is, "nearest" never
 * leaves a zone with upstreams. It sends less between zones than "off", and no
 * more in calm times than the former constant did.
 */
START_TEST(test_replays)
{
    const replay_t *replay = &replays[_i / FLEETS];
    uint32_t daemons = fleets[_i % FLEETS];
    tally_t tally = run_replays(replay, daemons, 0);
    print_tally(replay, daemons, "decision", &tally);
    tally_t off = run_replays(replay, daemons, 1);
    print_tally(replay, daemons, "off", &off);
    tally_t nearest = run_replays(replay, daemons, ZONE_PRICE_NEVER);
    print_tally(replay, daemons, "nearest", &nearest);
    check_requirements(replay, daemons, &tally);
    ck_assert_msg(tally_share(&tally) >= tally_share(&off) - RULE_LOSS,
                  "%s, %u daemons: off", replay->name, daemons);
    ck_assert_msg(tally_share(&tally) >= tally_share(&nearest) - RULE_LOSS,
                  "%s, %u daemons: nearest", replay->name, daemons);
    ck_assert_msg(!replay->needs_away ||
                      tally_share(&tally) > tally_share(&nearest),
                  "%s, %u daemons: no gain", replay->name, daemons);
    ck_assert_msg(tally_worst(&tally) >= tally_worst(&nearest) - RULE_LOSS,
                  "%s, %u daemons: worst zone", replay->name, daemons);
    ck_assert_msg(tally_left(&tally) < tally_left(&off),
                  "%s, %u daemons: sends between zones", replay->name,
                  daemons);
    ck_assert_msg(
        !replay->calm || tally_left(&tally) <= former_calm_left[_i % FLEETS],
        "%s, %u daemons: %.3f", replay->name, daemons, tally_left(&tally));
}
END_TEST

enum { LIMIT_PER_S = 50, LIMIT_S = 2 };
typedef enum { OWN_NONE, OWN_FULL, OWN_FAILS, OWN_STATES } own_state_t;

typedef struct {
    const char *name;
    bool evacuated;
    int64_t rest_us;
    double per_s; /* limit stated by the upstream; 0: none */
    uint32_t least;
    uint32_t most;
} away_case_t;

/* One request a millisecond. A stated limit may be exceeded by what a daemon's
   bucket holds, RATE_BURST_US of it. */
static const away_case_t away_cases[] = {
    {"may be used", .least = LIMIT_S * 1000, .most = LIMIT_S * 1000},
    {"evacuated", .evacuated = true},
    {"rests", .rest_us = (LIMIT_S + 1) * SECOND},
    {"states a limit", .per_s = LIMIT_PER_S,
     .least = LIMIT_PER_S * (LIMIT_S - 1),
     .most = LIMIT_PER_S * LIMIT_S + LIMIT_PER_S / 2},
};
enum { AWAY_CASES = sizeof(away_cases) / sizeof(away_cases[0]) };

static void
init_own(instance_t *own, own_state_t state)
{
    instance_entry_t entry = {.slots = SLOTS, .zone = "a"};
    instance_init(own, &entry, START_US);
    for (int i = 0; i < 100 && state == OWN_FULL; i++) {
        instance_sent(own, START_US);
    }
}

static void
init_away(instance_t *away, const away_case_t *c)
{
    instance_entry_t entry = {.slots = SLOTS, .zone = "b"};
    instance_init(away, &entry, START_US);
    away->rest_until_us = c->rest_us > 0 ? START_US + c->rest_us : 0;
    if (c->per_s > 0) {
        static const uint64_t ids[] = {1};
        rate_sharers_t sharers = {
            .self = 1, .ids = ids, .count = 1, .fleet_size = 1};
        rate_limit_state(&away->rate_limit, c->per_s, START_US);
        rate_limit_divide(&away->rate_limit, 1, &sharers, START_US);
    }
}

/* Guards against requests that leave their zone for an upstream that must not
   have them. */
START_TEST(test_other_zones_limits)
{
    const away_case_t *c = &away_cases[_i / OWN_STATES];
    own_state_t state = (own_state_t)(_i % OWN_STATES);
    static const char *const closed[] = {"b"};
    pool_t pool = {.limits = {.fleet_size = 1}};
    instance_t instances[2];
    init_own(&instances[0], state);
    init_away(&instances[1], c);
    ck_assert(state == OWN_NONE || pool_add(&pool, &instances[0]));
    ck_assert(pool_add(&pool, &instances[1]));
    pool_pick_t pick = {
        .cost_context = {.zone = "a", .expected_us = 10000, .price_us = 80000},
        .closed_zones = closed,
        .closed_count = c->evacuated ? 1 : 0,
        .wait_until_us = START_US + 10 * SECOND,
    };
    uint32_t sent = 0;
    for (int64_t at_us = START_US; at_us < START_US + LIMIT_S * SECOND;
         at_us += 1000) {
        for (int i = 0; i < 5 && state == OWN_FAILS; i++) {
            instance_sent(&instances[0], at_us);
            instance_answered(&instances[0], 10000, 10000, false, at_us);
        }
        instance_t *picked;
        if (pool_pick(&pool, &pick, at_us, &picked) == PICK_OK &&
            picked == &instances[1]) {
            sent++;
            instance_sent(picked, at_us);
            pool_note_sent(&pool, picked, false, at_us);
            instance_answered(picked, 10000, 10000, true, at_us);
        }
    }
    ck_assert_msg(sent >= c->least && sent <= c->most, "%s, own %d: %u",
                  c->name, (int)state, sent);
    pool_release(&pool);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("zones");
    tcase_set_timeout(tests, 240);
    tcase_add_loop_test(tests, test_replays, 0, REPLAYS * FLEETS);
    tcase_add_loop_test(tests, test_other_zones_limits, 0,
                        AWAY_CASES * OWN_STATES);
    return suite_run("zones", tests);
}
