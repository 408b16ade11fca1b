/*
 * The roster under random faults, with many seeds and small groups. At each
 * step an upstream has at most one active owner and work of at most one owner.
 * If one rule of the protocol is broken, the same search must find a
 * violation.
 */
#include "t/lib/roster_sim.h"
#include "t/lib/suite.h"

enum {
    SEEDS = 60,
    BROKEN_SEEDS = 400, /* the search ends at the first violation */
    ROUNDS = 60
};

static roster_settings_t
short_settings(uint64_t seed)
{
    roster_settings_t settings = ROSTER_SETTINGS_DEFAULT;
    if (seed % 2 == 0) {
        settings.grant_max_us = 20 * SECOND_US;
        settings.abandon_us = 30 * SECOND_US;
    }
    return settings;
}

static int64_t
some_seconds(roster_sim_t *sim, uint64_t most)
{
    return (int64_t)roster_sim_draw(sim, most) * SECOND_US;
}

static void
pause_node(roster_sim_t *sim, size_t node)
{
    sim->nodes[node].paused_until_us = sim->now_us + some_seconds(sim, 25);
}

static void
flip_store(roster_sim_t *sim, size_t node)
{
    (void)node;
    sim->store_down = !sim->store_down;
}

static void
flip_store_cut(roster_sim_t *sim, size_t node)
{
    sim->nodes[node].store_cut = !sim->nodes[node].store_cut;
}

static void
flip_link(roster_sim_t *sim, size_t node)
{
    size_t to = roster_sim_draw(sim, sim->count);
    sim->link_cut[node][to] = !sim->link_cut[node][to];
}

static void
cut_peers(roster_sim_t *sim, size_t node)
{
    roster_sim_cut_peers(sim, node, true);
}

static void
mend_all(roster_sim_t *sim, size_t node)
{
    (void)node;
    sim->store_down = false;
    for (size_t i = 0; i < sim->count; i++) {
        sim->nodes[i].store_cut = false;
        roster_sim_cut_peers(sim, i, false);
    }
}

static void
leave_node(roster_sim_t *sim, size_t node)
{
    if (sim->nodes[node].leaving && roster_left(sim->nodes[node].roster)) {
        roster_sim_replace(sim, node);
        return;
    }
    sim->nodes[node].leaving = true;
}

typedef void (*fault_t)(roster_sim_t *sim, size_t node);

static const fault_t faults[] = {
    pause_node, pause_node, flip_store,         flip_store,
    flip_link,  flip_link,  cut_peers,          flip_store_cut,
    leave_node, mend_all,   roster_sim_replace, mend_all,
};

static void
explore(roster_sim_t *sim)
{
    sim->lost_reply_one_in = 6;
    roster_sim_run(sim, 10 * SECOND_US);
    for (int round = 0; round < ROUNDS; round++) {
        size_t count = sizeof(faults) / sizeof(faults[0]);
        fault_t fault = faults[roster_sim_draw(sim, count)];
        fault(sim, roster_sim_draw(sim, sim->count));
        roster_sim_run(sim, 1 + some_seconds(sim, 5));
    }
}

START_TEST(test_invariants_hold)
{
    uint64_t seed = (uint64_t)_i;
    roster_settings_t settings = short_settings(seed);
    roster_sim_t *sim =
        roster_sim_new(&settings, 3 + (size_t)(seed % 3), seed);
    explore(sim);
    ck_assert_msg(sim->double_owners == 0, "seed %d: two owners", _i);
    ck_assert_msg(sim->overlapping_work == 0, "seed %d: work of two owners",
                  _i);
    mend_all(sim, 0);
    sim->lost_reply_one_in = 0;
    for (size_t i = 0; i < sim->count; i++) {
        sim->nodes[i].paused_until_us = 0;
        if (sim->nodes[i].leaving) {
            roster_sim_replace(sim, i);
        }
    }
    roster_sim_run(sim, 120 * SECOND_US);
    ck_assert_msg(sim->double_owners == 0, "seed %d: two owners", _i);
    ck_assert_msg(sim->overlapping_work == 0, "seed %d: work of two owners",
                  _i);
    ck_assert_msg(roster_sim_owned(sim) == SIM_UPSTREAMS,
                  "seed %d: upstreams without owner after recovery", _i);
    roster_sim_free(sim);
}
END_TEST

static bool
search_finds(sim_broken_rule_t broken, const roster_settings_t *other)
{
    bool found = false;
    for (uint64_t seed = 0; seed < BROKEN_SEEDS && !found; seed++) {
        roster_settings_t settings =
            other != NULL ? *other : short_settings(seed);
        roster_sim_t *sim =
            roster_sim_new(&settings, 3 + (size_t)(seed % 3), seed);
        sim->broken = broken;
        explore(sim);
        found = sim->double_owners + sim->overlapping_work > 0;
        roster_sim_free(sim);
    }
    return found;
}

typedef struct {
    const char *name;
    sim_broken_rule_t broken;
    int64_t expire_us; /* 0: short_settings are used */
} broken_case_t;

static const broken_case_t broken_cases[] = {
    {"owner does not wait", BREAK_WAITING, 0},
    {"lease not checked", BREAK_CLOCK, 0},
    {"released with work in flight", BREAK_RELEASE, 0},
    {"removal before the lease ends", BREAK_NOTHING, 3000000},
};

START_TEST(test_broken_rule_is_found)
{
    const broken_case_t *c = &broken_cases[_i];
    roster_settings_t settings = ROSTER_SETTINGS_DEFAULT;
    settings.expire_us = c->expire_us;
    bool found = search_finds(c->broken, c->expire_us == 0 ? NULL : &settings);
    ck_assert_msg(found, "%s: none of %d seeds shows a violation", c->name,
                  BROKEN_SEEDS);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("roster, random faults");
    tcase_set_timeout(tests, 0);
    tcase_add_loop_test(tests, test_invariants_hold, 0, SEEDS);
    tcase_add_loop_test(tests, test_broken_rule_is_found, 0,
                        sizeof(broken_cases) / sizeof(broken_cases[0]));
    return suite_run("roster, random faults", tests);
}
