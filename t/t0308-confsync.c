/*
 * Configuration versions in a group of five: which members get a change, which
 * stop admitting work for lack of trust, and which continue during an outage
 * of the store.
 */
#include "fleet/confsync.h"
#include "fleet/hold.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <string.h>

enum { NODES = 5 };

#define MS INT64_C(1000)
#define STEP_US (100 * MS)
#define HEARTBEAT_PERIOD_US (500 * MS)
#define GRANT_US (2500 * MS)
#define GRANT_AFTER_US (3000 * MS)

typedef struct {
    confsync_t sync;
    hold_set_t holds;
    bool store_cut;         /* cut off from the store */
    int64_t last_answer_us; /* when the store last answered */
    int64_t echo_us[NODES]; /* newest sending time from each node */
    int64_t zone_used_us;   /* when it last could admit work for the zone */
    bool non_member;        /* not in the roster */
} node_t;

typedef struct {
    int64_t now_us;
    uint64_t store_version;
    uint64_t out_since; /* version with the zone out; 0: none */
    bool store_stale;   /* the store answers with version 1 */
    bool link_cut[NODES][NODES];
    node_t nodes[NODES];
} group_t;

static const confsync_settings_t settings = CONFSYNC_SETTINGS_DEFAULT;

static void
node_adopt(node_t *node, uint64_t version)
{
    if (confsync_is_newer(&node->sync, version)) {
        hold_set_drop(&node->holds, version);
    }
    confsync_adopt(&node->sync, version, hold_set_digest(&node->holds));
}

static void
group_start(group_t *group, bool last_is_non_member)
{
    *group = (group_t){.now_us = 1000 * MS, .store_version = 1};
    roster_doc_t doc = {.version = 1};
    for (int i = 0; i < NODES - (last_is_non_member ? 1 : 0); i++) {
        roster_member_t member = {.incarnation = 1};
        snprintf(member.name, NAME_SIZE, "a%d", i);
        roster_doc_add(&doc, &member);
    }
    for (int i = 0; i < NODES; i++) {
        char name[NAME_SIZE];
        snprintf(name, sizeof(name), "a%d", i);
        node_t *node = &group->nodes[i];
        confsync_init(&node->sync, &settings);
        confsync_set_members(&node->sync, &doc, name);
        node->non_member = last_is_non_member && i == NODES - 1;
    }
}

static void
node_read(group_t *group, node_t *node)
{
    if (node->store_cut || !confsync_read_due(&node->sync, group->now_us)) {
        return;
    }
    uint64_t version = group->store_stale ? 1 : group->store_version;
    if (confsync_is_newer(&node->sync, version)) {
        node_adopt(node, version);
    }
    if (!confsync_store_answered(&node->sync, version, group->now_us) &&
        !group->store_stale) {
        group->store_version = node->sync.version;
    }
    node->last_answer_us = group->now_us;
}

static bool
node_grants(const group_t *group, const node_t *node)
{
    return !node->non_member &&
           group->now_us - node->last_answer_us > GRANT_AFTER_US;
}

/*
 * Deliver one heartbeat. The receiver fetches a newer version or other holds
 * from the sender, as a daemon does.
 */
static void
group_heartbeat(group_t *group, size_t from, size_t to)
{
    node_t *sender = &group->nodes[from];
    node_t *receiver = &group->nodes[to];
    if (group->link_cut[from][to]) {
        return;
    }
    confsync_report_t report;
    confsync_report_make(&sender->sync, group->now_us, &report);
    bool grants = node_grants(group, sender) && !receiver->non_member;
    int64_t echo_us = sender->echo_us[to];
    char name[NAME_SIZE];
    snprintf(name, sizeof(name), "a%u", (unsigned)from);
    confsync_report_receive(&receiver->sync, name, 1, &report, echo_us,
                            grants ? echo_us + GRANT_US : 0, group->now_us);
    receiver->echo_us[from] = group->now_us;
    if (group->link_cut[to][from]) {
        return;
    }
    if (confsync_newest_peer(&receiver->sync) == (int)from) {
        node_adopt(receiver, sender->sync.version);
    }
    if (receiver->sync.version == sender->sync.version &&
        hold_set_merge(&receiver->holds, &sender->holds)) {
        node_adopt(receiver, receiver->sync.version);
    }
}

static bool
node_zone_is_out(const group_t *group, const node_t *node)
{
    bool table =
        group->out_since != 0 && node->sync.version >= group->out_since;
    return table || hold_set_is_out(&node->holds, HOLD_ZONE, "south-1");
}

static void
group_run(group_t *group, int64_t span_us)
{
    for (int64_t end = group->now_us + span_us; group->now_us < end;) {
        group->now_us += STEP_US;
        for (size_t i = 0; i < NODES; i++) {
            node_read(group, &group->nodes[i]);
            for (size_t j = 0;
                 j < NODES && group->now_us % HEARTBEAT_PERIOD_US == 0; j++) {
                if (i != j) {
                    group_heartbeat(group, i, j);
                }
            }
        }
        for (size_t i = 0; i < NODES; i++) {
            node_t *node = &group->nodes[i];
            if (confsync_may_admit(&node->sync, group->now_us) &&
                !node_zone_is_out(group, node)) {
                node->zone_used_us = group->now_us;
            }
        }
    }
}

/*
 * Cut the nodes in store_mask off from the store, and the links between the
 * nodes in peer_mask and the other nodes.
 */
static void
group_cut(group_t *group, unsigned store_mask, unsigned peer_mask)
{
    for (unsigned i = 0; i < NODES; i++) {
        group->nodes[i].store_cut = (store_mask >> i & 1) != 0;
        for (unsigned j = 0; j < NODES; j++) {
            group->link_cut[i][j] =
                (peer_mask >> i & 1) != (peer_mask >> j & 1);
        }
    }
}

typedef struct {
    const char *name;
    unsigned store_mask;
    unsigned peer_mask;
    bool by_store;         /* the change is stored 1 s later */
    unsigned admitting;    /* mask: may admit work 10 s later */
    unsigned zone_blocked; /* mask: admit none for the zone after 6 s */
    bool confirmed;        /* expected at node 0 after 1 s */
} out_case_t;

/* Node 0 takes the zone out 60 s after the cut. */
static const out_case_t out_cases[] = {
    {"no fault", 0, 0, true, 0x1f, 0x1f, true},
    {"one cut from both", 0x10, 0x10, true, 0x0f, 0x1f, true},
    {"one cut from the store", 0x10, 0, true, 0x1f, 0x1f, true},
    {"one cut from peers", 0, 0x10, true, 0x1f, 0x1f, true},
    {"store down", 0x1f, 0, false, 0x1f, 0x1f, true},
    {"store down, one cut from peers", 0x1f, 0x10, false, 0x0f, 0x1f, true},
    {"two cut off together", 0x18, 0x18, true, 0x07, 0x1f, true},
    {"store down, two cut off together", 0x1f, 0x18, false, 0x07, 0x1f, true},
    /*
     * Three of five keep their trust by grants of each other. Node 0 sees that
     * its hold has not reached a majority.
     */
    {"three cut off together", 0x1c, 0x1c, true, 0x1f, 0x03, false},
};

START_TEST(test_zone_out)
{
    const out_case_t *c = &out_cases[_i];
    group_t group;
    group_start(&group, false);
    group_run(&group, 10000 * MS);
    group_cut(&group, c->store_mask, c->peer_mask);
    group_run(&group, 60000 * MS);
    node_t *first = &group.nodes[0];
    ck_assert_msg(confsync_may_admit(&first->sync, group.now_us), "%s",
                  c->name);
    int64_t out_us = group.now_us;
    hold_set_change(&first->holds, HOLD_ZONE, "south-1", true, "ops", 1);
    node_adopt(first, 1);
    group_run(&group, 1000 * MS);
    ck_assert_msg(confsync_holds_confirmed(&first->sync) == c->confirmed, "%s",
                  c->name);
    if (c->by_store) {
        group.store_version = 2;
        group.out_since = 2;
    }
    group_run(&group, 9000 * MS);
    for (unsigned i = 0; i < NODES; i++) {
        const node_t *node = &group.nodes[i];
        ck_assert_msg(confsync_may_admit(&node->sync, group.now_us) ==
                          ((c->admitting >> i & 1) != 0),
                      "%s: node %u", c->name, i);
        ck_assert_msg((node->zone_used_us - out_us < 6000 * MS) ==
                          ((c->zone_blocked >> i & 1) != 0),
                      "%s: node %u admitted work for the zone", c->name, i);
    }
}
END_TEST

START_TEST(test_store_down_for_an_hour)
{
    group_t group;
    group_start(&group, false);
    group_run(&group, 10000 * MS);
    group_cut(&group, 0x1f, 0);
    for (int second = 0; second < 3600; second++) {
        group_run(&group, 1000 * MS);
        for (size_t i = 0; i < NODES; i++) {
            ck_assert(confsync_may_admit(&group.nodes[i].sync, group.now_us));
        }
    }
}
END_TEST

START_TEST(test_start_while_the_store_is_down)
{
    group_t group;
    group_start(&group, true);
    group_cut(&group, 0x10, 0x10);
    group_run(&group, 10000 * MS);
    const confsync_t *last = &group.nodes[NODES - 1].sync;
    ck_assert_uint_eq(last->version, 0);
    ck_assert(!confsync_may_admit(last, group.now_us));
    group_cut(&group, 0x1f, 0);
    group_run(&group, 10000 * MS);
    ck_assert_uint_eq(last->version, 1);
    ck_assert(confsync_may_admit(last, group.now_us));
}
END_TEST

START_TEST(test_old_value_read_back)
{
    group_t group;
    group_start(&group, false);
    group.store_version = 7;
    group_run(&group, 10000 * MS);
    group.store_stale = true;
    group_run(&group, 20000 * MS);
    for (size_t i = 0; i < NODES; i++) {
        confsync_t *sync = &group.nodes[i].sync;
        ck_assert_uint_eq(sync->version, 7);
        ck_assert_uint_gt(sync->stale_answers, 0);
        ck_assert(!confsync_may_admit(sync, group.now_us));
        ck_assert(!confsync_adopt(sync, 6, 0));
    }
}
END_TEST

START_TEST(test_store_loses_a_change)
{
    group_t group;
    group_start(&group, false);
    group.store_version = 7;
    group_run(&group, 10000 * MS);
    group.store_version = 5;
    group_run(&group, 10000 * MS);
    ck_assert_uint_eq(group.store_version, 7);
    for (size_t i = 0; i < NODES; i++) {
        ck_assert_uint_eq(group.nodes[i].sync.version, 7);
        ck_assert(confsync_may_admit(&group.nodes[i].sync, group.now_us));
    }
}
END_TEST

START_TEST(test_confirmed)
{
    group_t group;
    group_start(&group, false);
    group_run(&group, 5000 * MS);
    group_cut(&group, 0x18, 0x18);
    group.store_version = 2;
    group_run(&group, 3000 * MS);
    bool confirmed[ROSTER_MEMBERS_MAX];
    ck_assert_uint_eq(confsync_confirmed(&group.nodes[0].sync, 2, confirmed),
                      3);
    ck_assert(confirmed[0] && confirmed[2] && !confirmed[3]);
}
END_TEST

START_TEST(test_watchers)
{
    roster_doc_t doc = {.version = 1};
    for (unsigned i = 0; i < 8; i++) {
        roster_member_t member = {.incarnation = 1};
        snprintf(member.name, NAME_SIZE, "a%u", i);
        snprintf(member.zone, NAME_SIZE, "z%u", i % 2);
        roster_doc_add(&doc, &member);
    }
    member_table_t table;
    member_table_init(&table, &(member_settings_t)MEMBER_SETTINGS_DEFAULT);
    member_table_sync(&table, &doc, "a0", 1);
    for (int dead = 0; dead < 2; dead++) {
        size_t watchers[2] = {0};
        char first[2][NAME_SIZE] = {"", ""};
        for (size_t i = 0; i < doc.count; i++) {
            const char *name = doc.members[i].name;
            if (member_state(&table, name) == MEMBER_ALIVE &&
                confsync_is_watcher(&doc, &table, name)) {
                watchers[i % 2]++;
                memcpy(first[i % 2], name, NAME_SIZE);
            }
        }
        ck_assert_uint_eq(watchers[0], CONFSYNC_WATCHERS);
        ck_assert_uint_eq(watchers[1], CONFSYNC_WATCHERS);
        member_connection_failed(&table, first[0], 2);
        member_connection_failed(&table, first[1], 2);
        member_change_t changes[4];
        ck_assert_uint_ge(member_table_tick(&table, 3, changes, 4), dead);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("configuration versions");
    tcase_add_loop_test(tests, test_zone_out, 0,
                        sizeof(out_cases) / sizeof(out_cases[0]));
    tcase_add_test(tests, test_store_down_for_an_hour);
    tcase_add_test(tests, test_start_while_the_store_is_down);
    tcase_add_test(tests, test_old_value_read_back);
    tcase_add_test(tests, test_store_loses_a_change);
    tcase_add_test(tests, test_confirmed);
    tcase_add_test(tests, test_watchers);
    return suite_run("configuration versions", tests);
}
