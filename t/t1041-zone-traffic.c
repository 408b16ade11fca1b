/*
 * What operators see of requests between zones: counters by reason, and one
 * event line when most requests of a service leave the zone and one when they
 * return. Virtual time.
 */
#include "edge/event.h"
#include "t/lib/suite.h"
#include "t/lib/tier_world.h"

enum {
    START_US = 1000000,
    SECOND = 1000000,
    GOAL_US = 200000,
    LENGTH_S = 12,
    CALLS_PER_S = 50,
    CALLS = LENGTH_S * CALLS_PER_S
};

static const char *const zone_names[] = {"a"};

typedef struct {
    const char *name;
    tier_world_upstream_t near; /* in the daemon's zone; no slots: none */
    leave_reason_t reason; /* of most that leave; LEAVE_NOT: only hedges do */
    uint64_t left_lines;   /* 630 */
    uint64_t used_lines;   /* 631 */
} traffic_case_t;

static const traffic_case_t traffic_cases[] = {
    {"the zone serves all", {.slots = 32}, LEAVE_NOT, 0, 0},
    {"no upstream in the zone", {.slots = 0}, LEAVE_NO_UPSTREAM, 1, 0},
    {"the zone's upstream is refused connections for 3 s",
     {.slots = 8,
      .unreachable = true,
      .since_us = START_US + 3 * SECOND,
      .until_us = START_US + 6 * SECOND},
     LEAVE_FAILURE,
     1,
     1},
    {"the zone's upstream has one slot for four",
     {.slots = 1},
     LEAVE_CAPACITY,
     1,
     0},
};

static void
add_upstreams(tier_world_t *world, const traffic_case_t *c)
{
    tier_world_upstream_t near = c->near;
    near.id = "i-0";
    near.service = "s0";
    near.zone = "a";
    near.queue_max = 24;
    if (near.slots > 0) {
        tier_world_upstream(world, &near);
    }
    tier_world_upstream_t away = {
        .id = "i-1",
        .service = "s0",
        .zone = "b",
        .slots = 32,
        .queue_max = 24,
    };
    tier_world_upstream(world, &away);
}

/* Guards against a reason that names the wrong cause, against sends that no
   reason counts, and against a line for each request. */
START_TEST(test_traffic)
{
    const traffic_case_t *c = &traffic_cases[_i];
    tier_settings_t settings = {
        .daemons = 1,
        .engine = {.zone = "a",
                   .retry_ratio = 0.2,
                   .retry_slack = 50,
                   .requests_max = 1000},
        .seed = 7,
        .zones = zone_names,
        .zone_count = 1,
    };
    uint64_t left = event_count(EVENT_ZONE_MOSTLY_LEFT);
    uint64_t used = event_count(EVENT_ZONE_MOSTLY_USED);
    tier_world_t *world = tier_world_new(&settings);
    tier_world_configure(world, tier_world_table(1, 1, GOAL_US, 1));
    add_upstreams(world, c);
    for (int i = 0; i < CALLS; i++) {
        tier_world_call(world, START_US + i * (SECOND / CALLS_PER_S), 0,
                        "/one/1", 80000, SECOND);
    }
    tier_world_run(world, START_US + (LENGTH_S + 2) * SECOND);
    const zone_traffic_t *traffic =
        engine_zone_traffic(tier_world_engine(world, 0));
    uint64_t sends = 0;
    uint64_t left_sends = 0;
    for (int i = 0; i < LEAVE_REASONS; i++) {
        sends += traffic->sends[i];
        left_sends += i == LEAVE_NOT ? 0 : traffic->sends[i];
        ck_assert_msg((traffic->sends[i] > 0) == (traffic->bytes[i] > 0),
                      "%s: bytes of %s", c->name,
                      leave_reason_name((leave_reason_t)i));
    }
    ck_assert_uint_eq(sends, tier_world_sends(world, 0));
    ck_assert_uint_eq(left_sends, tier_world_crossings(world, 0));
    ck_assert_msg(
        c->reason == LEAVE_NOT ? left_sends == sends - CALLS
                               : traffic->sends[c->reason] > left_sends / 2,
        "%s: capacity %u, speed %u, failure %u of %u", c->name,
        (unsigned)traffic->sends[LEAVE_CAPACITY],
        (unsigned)traffic->sends[LEAVE_SPEED],
        (unsigned)traffic->sends[LEAVE_FAILURE], (unsigned)left_sends);
    ck_assert_msg(event_count(EVENT_ZONE_MOSTLY_LEFT) - left == c->left_lines,
                  "%s: lines", c->name);
    ck_assert_msg(event_count(EVENT_ZONE_MOSTLY_USED) - used == c->used_lines,
                  "%s: lines back", c->name);
    tier_world_free(world);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("zone-traffic");
    tcase_add_loop_test(tests, test_traffic, 0,
                        sizeof(traffic_cases) / sizeof(traffic_cases[0]));
    return suite_run("zone-traffic", tests);
}
