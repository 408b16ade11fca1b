/*
 * The roster under scripted faults: at most one member is active for an
 * upstream, and ownership recovers in time.
 */
#include "t/lib/roster_sim.h"
#include "t/lib/suite.h"

enum { NODES = 5, START_US = 30 * SECOND_US };

static const roster_settings_t defaults = ROSTER_SETTINGS_DEFAULT;

static void
no_change(roster_sim_t *sim)
{
    (void)sim;
}

static void
store_down(roster_sim_t *sim)
{
    sim->store_down = true;
}

static void
store_slow(roster_sim_t *sim)
{
    sim->store_us = 3 * SECOND_US / 10;
}

static void
kill_one(roster_sim_t *sim)
{
    roster_sim_kill(sim, 1);
}

static void
kill_two(roster_sim_t *sim)
{
    roster_sim_kill(sim, 1);
    roster_sim_kill(sim, 2);
}

static void
kill_three(roster_sim_t *sim)
{
    kill_two(sim);
    roster_sim_kill(sim, 3);
}

static void
pause_one(roster_sim_t *sim)
{
    sim->nodes[1].paused_until_us = sim->now_us + 60 * SECOND_US;
}

static void
leave_one(roster_sim_t *sim)
{
    sim->nodes[1].leaving = true;
}

static void
cut_store(roster_sim_t *sim)
{
    sim->nodes[1].store_cut = true;
}

static void
cut_peers(roster_sim_t *sim)
{
    roster_sim_cut_peers(sim, 1, true);
}

static void
cut_both(roster_sim_t *sim)
{
    cut_store(sim);
    cut_peers(sim);
}

static void
cut_peers_in_outage(roster_sim_t *sim)
{
    store_down(sim);
    cut_peers(sim);
}

static void
split_in_outage(roster_sim_t *sim)
{
    store_down(sim);
    for (size_t i = 0; i < NODES; i++) {
        for (size_t j = 0; j < NODES; j++) {
            sim->link_cut[i][j] = (i < 2) != (j < 2);
        }
    }
}

static void
replace_one(roster_sim_t *sim)
{
    roster_sim_replace(sim, 1);
}

static void
replace_all(roster_sim_t *sim)
{
    for (size_t i = 0; i < NODES; i++) {
        roster_sim_replace(sim, i);
    }
}

static void
kill_one_in_outage(roster_sim_t *sim)
{
    store_down(sim);
    kill_one(sim);
}

typedef struct {
    const char *name;
    void (*fault)(roster_sim_t *sim);
    int64_t run_us; /* time from the fault to the checks */
    bool all_owned; /* every upstream has an active owner */
    bool one_acts;  /* node 1 is active for an upstream */
    size_t members; /* in node 0's roster */
    bool no_gap;    /* no upstream was ever without an active owner */
} fault_case_t;

static const fault_case_t fault_cases[] = {
    {"nothing", no_change, 10 * SECOND_US, true, true, 5, true},
    {"store down", store_down, 3600 * SECOND_US, true, true, 5, true},
    {"store slow", store_slow, 600 * SECOND_US, true, true, 5, true},
    {"one killed", kill_one, 13 * SECOND_US, true, false, 4, false},
    {"two of five killed", kill_two, 14 * SECOND_US, true, false, 3, false},
    {"three of five killed", kill_three, 60 * SECOND_US, false, false, 4,
     false},
    {"one paused", pause_one, 13 * SECOND_US, true, false, 4, false},
    {"pause ended", pause_one, 66 * SECOND_US, true, true, 5, false},
    {"one leaves", leave_one, 4 * SECOND_US, true, false, 4, false},
    {"cut from the store", cut_store, 600 * SECOND_US, true, true, 5, true},
    {"cut from peers", cut_peers, 10 * SECOND_US, true, true, 5, true},
    {"cut from both", cut_both, 13 * SECOND_US, true, false, 4, false},
    {"cut from peers in outage", cut_peers_in_outage, 20 * SECOND_US, false,
     false, 5, false},
    {"split in outage", split_in_outage, 20 * SECOND_US, false, false, 5,
     false},
    {"one killed in outage", kill_one_in_outage, 60 * SECOND_US, false, false,
     5, false},
    {"one replaced", replace_one, 16 * SECOND_US, true, true, 5, false},
    {"all replaced", replace_all, 60 * SECOND_US, true, true, 5, false},
};

static roster_sim_t *
started_sim(uint64_t seed)
{
    roster_sim_t *sim = roster_sim_new(&defaults, NODES, seed);
    roster_sim_run(sim, START_US);
    ck_assert_uint_eq(roster_sim_owned(sim), SIM_UPSTREAMS);
    ck_assert_uint_gt(roster_sim_active(sim, 1), 0);
    return sim;
}

static uint64_t
unowned_steps(const roster_sim_t *sim)
{
    uint64_t steps = 0;
    for (size_t u = 0; u < SIM_UPSTREAMS; u++) {
        steps += sim->unowned[u];
    }
    return steps;
}

START_TEST(test_fault)
{
    const fault_case_t *c = &fault_cases[_i];
    roster_sim_t *sim = started_sim(7);
    uint64_t before = unowned_steps(sim);
    c->fault(sim);
    roster_sim_run(sim, c->run_us);
    uint64_t gap = unowned_steps(sim) - before;
    ck_assert_msg(gap == 0 || !c->no_gap, "%s: %u steps without active owner",
                  c->name, (unsigned)gap);
    ck_assert_msg(sim->double_owners == 0, "%s: two active owners", c->name);
    ck_assert_msg(sim->overlapping_work == 0,
                  "%s: overlapping work of two owners", c->name);
    size_t owned = roster_sim_owned(sim);
    ck_assert_msg((owned == SIM_UPSTREAMS) == c->all_owned, "%s: %zu owned",
                  c->name, owned);
    bool acts = roster_sim_active(sim, 1) > 0;
    ck_assert_msg(acts == c->one_acts, "%s: node 1 is active: %d", c->name,
                  acts);
    size_t members = roster_members(sim->nodes[0].roster)->count;
    ck_assert_msg(members == c->members, "%s: %zu members", c->name, members);
    roster_sim_free(sim);
}
END_TEST

/*
 * Guards against two active owners after a grant for an old version. The
 * roster has members 0 and 1. While 1 is cut off from the store, three members
 * join and remove it. Member 0, which adopted the larger roster and can then
 * reach only 1, must not grant it permission to act by the smaller roster.
 */
static uint64_t
run_stale_majority(sim_broken_rule_t broken)
{
    roster_sim_t *sim = roster_sim_new(&defaults, NODES, 3);
    sim->broken = broken;
    sim->documents_lost = true;
    for (size_t i = 2; i < NODES; i++) {
        sim->nodes[i].store_cut = true;
    }
    roster_sim_run(sim, 10 * SECOND_US);
    ck_assert_uint_eq(roster_members(sim->nodes[1].roster)->count, 2);
    for (size_t i = 2; i < NODES; i++) {
        sim->nodes[i].store_cut = false;
        sim->link_cut[1][i] = true;
        sim->link_cut[i][1] = true;
    }
    cut_store(sim);
    roster_sim_run(sim, 4 * SECOND_US);
    ck_assert_uint_eq(roster_members(sim->nodes[0].roster)->count, NODES);
    ck_assert_uint_eq(roster_members(sim->nodes[1].roster)->count, 2);
    sim->nodes[0].store_cut = true;
    for (size_t i = 2; i < NODES; i++) {
        sim->link_cut[0][i] = true;
        sim->link_cut[i][0] = true;
    }
    roster_sim_run(sim, 20 * SECOND_US);
    ck_assert_int_eq(
        roster_doc_find(roster_members(sim->nodes[2].roster), "a1"), -1);
    uint64_t double_owners = sim->double_owners;
    roster_sim_free(sim);
    return double_owners;
}

START_TEST(test_stale_majority)
{
    ck_assert_uint_eq(run_stale_majority(BREAK_NOTHING), 0);
    ck_assert_uint_gt(run_stale_majority(BREAK_GRANT_VERSION), 0);
}
END_TEST

/*
 * Guards against two active owners when a member that acts by grants is
 * removed. Member 1 is cut off from the store and acts by grants of all other
 * members except 4, which receives nothing from it and removes it. The members
 * that issued grants must not acknowledge the removal before these have ended.
 */
static uint64_t
run_removed_on_grants(sim_broken_rule_t broken)
{
    roster_sim_t *sim = started_sim(7);
    sim->documents_lost = true;
    sim->link_cut[1][4] = true;
    sim->link_cut[4][1] = true;
    sim->broken = broken;
    cut_store(sim);
    roster_sim_run(sim, 5 * SECOND_US);
    ck_assert_uint_gt(roster_sim_active(sim, 1), 0);
    roster_sim_run(sim, 15 * SECOND_US);
    ck_assert_uint_eq(roster_members(sim->nodes[0].roster)->count, 4);
    ck_assert_uint_eq(roster_sim_owned(sim), SIM_UPSTREAMS);
    uint64_t double_owners = sim->double_owners;
    roster_sim_free(sim);
    return double_owners;
}

START_TEST(test_removed_on_grants)
{
    ck_assert_uint_eq(run_removed_on_grants(BREAK_NOTHING), 0);
    ck_assert_uint_gt(run_removed_on_grants(BREAK_GRANT), 0);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("roster");
    tcase_add_loop_test(tests, test_fault, 0,
                        sizeof(fault_cases) / sizeof(fault_cases[0]));
    tcase_add_test(tests, test_stale_majority);
    tcase_add_test(tests, test_removed_on_grants);
    return suite_run("roster", tests);
}
