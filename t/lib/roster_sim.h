/*
 * Simulation of a group of roster_t on a virtual clock, with a fake store and
 * fake links, for tests under scripted and random faults.
 *
 *     roster_sim_t *sim = roster_sim_new(&settings, 5, seed);
 *     sim->store_down = true;
 *     roster_sim_run(sim, 10 * SECOND_US);
 *     ck_assert_uint_eq(sim->double_owners, 0);
 *     roster_sim_free(sim);
 *
 * The nodes' clocks differ in their offsets but run at the same rate. When a
 * node is replaced, its old process keeps its roster and clock without any
 * connection, and the invariants are checked on it too.
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

/* Rules that a test can break, to show that the checks detect it. */
typedef enum {
    BREAK_NOTHING,
    BREAK_WAITING,      /* an owner does not wait for the previous owner */
    BREAK_CLOCK,        /* the lease is not checked before acting */
    BREAK_RELEASE,      /* versions are released with work in flight */
    BREAK_GRANT,        /* every heartbeat counts as a grant, none is issued */
    BREAK_GRANT_VERSION /* a grant is accepted for any version */
} sim_broken_rule_t;

typedef struct {
    roster_t *roster; /* NULL: not running */
    roster_member_t self;
    int64_t offset_us; /* of its clock */
    int64_t paused_until_us;
    bool store_cut;
    bool leaving;
    uint64_t call_id;      /* call to the store in progress; 0: none */
    int64_t call_until_us; /* timeout of that call */
    bool call_writes;      /* that call is a write */
    int64_t next_heartbeat_us;
    int64_t busy_until_us[SIM_UPSTREAMS]; /* end of its work for each */
} sim_node_t;

typedef struct {
    uint64_t id; /* 0: unused slot */
    size_t node;
    bool write;
    bool arrived;      /* at the store */
    bool applied_late; /* arrives late, and waits for the end of an outage */
    bool no_reply;     /* the reply is lost */
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
    char *text; /* a roster document; NULL: a heartbeat */
    int64_t arrive_us;
} sim_message_t;

typedef struct {
    roster_settings_t settings;
    sim_broken_rule_t broken;
    uint64_t seed;
    uint64_t draws; /* random numbers drawn so far */
    int64_t now_us;
    owner_key_t upstreams[SIM_UPSTREAMS];
    size_t count;
    sim_node_t nodes[SIM_NODES_MAX];
    sim_node_t replaced[SIM_REPLACED_MAX]; /* old processes */
    size_t replaced_count;
    bool link_cut[SIM_NODES_MAX][SIM_NODES_MAX]; /* from, to */
    bool store_down;
    bool documents_lost; /* documents between peers are lost */
    char *store_text;
    uint64_t store_index;
    int64_t delay_us;           /* longest delay of a message */
    int64_t store_us;           /* longest delay of a call or of its reply */
    int64_t late_us;            /* longest delay of a late write */
    unsigned lost_reply_one_in; /* 1 in this many is lost; 0: none */
    uint64_t next_id;
    sim_call_t calls[SIM_CALLS_MAX];
    size_t message_count;
    sim_message_t messages[SIM_MESSAGES_MAX];
    /* End of the work that killed processes left at each upstream. */
    int64_t killed_work_until_us[SIM_UPSTREAMS];
    /* Results, counted once per step and upstream. */
    uint64_t checks;
    uint64_t double_owners;          /* more than one active owner */
    uint64_t overlapping_work;       /* work of more than one owner */
    uint64_t unowned[SIM_UPSTREAMS]; /* no active owner */
} roster_sim_t;

/* Start a group of `nodes` nodes; to be freed with roster_sim_free. */
roster_sim_t *roster_sim_new(const roster_settings_t *settings, size_t nodes,
                             uint64_t seed);
void roster_sim_free(roster_sim_t *sim);

/* Advance in steps of 50 ms and check the invariants after each step. */
void roster_sim_run(roster_sim_t *sim, int64_t span_us);

/* Pseudo-random number below `bound`, from the simulation's seed. */
uint64_t roster_sim_draw(roster_sim_t *sim, uint64_t bound);

/* Start a new process on the node; the old one loses all connections. */
void roster_sim_replace(roster_sim_t *sim, size_t node);

/* Kill the node's process, without notice to the other nodes. */
void roster_sim_kill(roster_sim_t *sim, size_t node);

/* Cut or restore all links between the node and its peers. */
void roster_sim_cut_peers(roster_sim_t *sim, size_t node, bool cut);

/* Number of upstreams with an active owner. */
size_t roster_sim_owned(const roster_sim_t *sim);

/* Number of upstreams that the node is active for. */
size_t roster_sim_active(const roster_sim_t *sim, size_t node);

#endif
