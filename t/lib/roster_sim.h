/*
 * A few roster_t on a virtual clock with a fake store and fake links, for
 * tests of the roster's rules under scripted and random faults.
 *
 *     roster_sim_t *sim = roster_sim_new(&settings, 5, seed);
 *     sim->store_down = true;
 *     roster_sim_run(sim, 10 * SECOND_US);
 *     ck_assert_uint_eq(sim->double_owners, 0);
 *     roster_sim_free(sim);
 *
 * Nodes' clocks have different offsets and one rate. A replaced node's old
 * process lives on, cut off from all, and is still looked at.
 */
#ifndef T_LIB_ROSTER_SIM_H
#define T_LIB_ROSTER_SIM_H

#include "fleet/roster.h"

enum {
    SIM_NODES_MAX = 8,
    SIM_UPSTREAMS = 6,
    SIM_CALLS_MAX = 256,
    SIM_MESSAGES_MAX = 4096,
    SIM_REPLACED_MAX = 64
};

#define SECOND_US INT64_C(1000000)

/* Rules that a test can break, to show that the checks would notice. */
typedef enum {
    BREAK_NOTHING,
    BREAK_WAITING,      /* an owner does not wait for others to let go */
    BREAK_CLOCK,        /* a lease is not looked at again before acting */
    BREAK_RELEASE,      /* work in progress is not waited for */
    BREAK_GRANT,        /* every heartbeat grants, unknown to its sender */
    BREAK_GRANT_VERSION /* a grant is taken for any version */
} sim_broken_rule_t;

typedef struct {
    roster_t *roster; /* NULL: not running */
    roster_member_t self;
    int64_t offset_us;
    int64_t paused_until_us;
    bool store_cut;
    bool leaving;
    uint64_t call_id; /* waiting for this call; 0: none */
    int64_t call_until_us;
    bool call_writes;
    int64_t next_heartbeat_us;
    int64_t busy_until_us[SIM_UPSTREAMS];
} sim_node_t;

typedef struct {
    uint64_t id; /* 0: free */
    size_t node;
    bool write;
    bool arrived;
    bool lands_late; /* lands late, whatever the store does meanwhile */
    bool no_reply;
    uint64_t index;
    char *text;
    status_t status;
    int64_t arrive_us;
    int64_t reply_us;
} sim_call_t;

typedef struct {
    size_t from;
    size_t to;
    roster_heartbeat_t heartbeat;
    char *text; /* a document instead of a heartbeat */
    int64_t arrive_us;
} sim_message_t;

typedef struct {
    roster_settings_t settings;
    sim_broken_rule_t broken;
    uint64_t seed;
    uint64_t draws;
    int64_t now_us;
    owner_key_t upstreams[SIM_UPSTREAMS];
    size_t count;
    sim_node_t nodes[SIM_NODES_MAX];
    sim_node_t replaced[SIM_REPLACED_MAX];
    size_t replaced_count;
    bool link_cut[SIM_NODES_MAX][SIM_NODES_MAX]; /* from, to */
    bool store_down;
    bool documents_lost; /* peers pass no roster documents on */
    char *store_text;
    uint64_t store_index;
    int64_t delay_us;           /* most of a message */
    int64_t store_us;           /* most of a call or its reply */
    int64_t late_us;            /* most of a late write */
    unsigned lost_reply_one_in; /* one reply in so many is lost; 0: none */
    uint64_t next_id;
    sim_call_t calls[SIM_CALLS_MAX];
    size_t message_count;
    sim_message_t messages[SIM_MESSAGES_MAX];
    int64_t killed_work_until_us[SIM_UPSTREAMS];
    /* What was seen. */
    uint64_t checks;
    uint64_t double_owners;          /* two active owners of one upstream */
    uint64_t overlapping_work;       /* work of two owners at one upstream */
    uint64_t unowned[SIM_UPSTREAMS]; /* steps without active owner */
} roster_sim_t;

roster_sim_t *roster_sim_new(const roster_settings_t *settings, size_t nodes,
                             uint64_t seed);
void roster_sim_free(roster_sim_t *sim);

/* Advance in steps of 50 ms, checking the invariants at each. */
void roster_sim_run(roster_sim_t *sim, int64_t span_us);

/* A number below bound from the sim's seed. */
uint64_t roster_sim_draw(roster_sim_t *sim, uint64_t bound);

/* Start a new process on the node; the old one is cut off from all. */
void roster_sim_replace(roster_sim_t *sim, size_t node);
/* End the node's process without a word. */
void roster_sim_kill(roster_sim_t *sim, size_t node);

/* Cut or mend everything between the node and its peers. */
void roster_sim_cut_peers(roster_sim_t *sim, size_t node, bool cut);

/* Upstreams that have an active owner now. */
size_t roster_sim_owned(const roster_sim_t *sim);
/* Upstreams that the node is active for now. */
size_t roster_sim_active(const roster_sim_t *sim, size_t node);

#endif
