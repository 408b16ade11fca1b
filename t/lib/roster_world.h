/*
 * A few roster_t on a virtual clock with a fake store and fake links, for
 * tests of the roster's rules under scripted and random faults.
 *
 *     roster_world_t *world = roster_world_new(&settings, 5, seed);
 *     world->store_down = true;
 *     roster_world_run(world, 10 * SECOND_US);
 *     ck_assert_uint_eq(world->doubles, 0);
 *     roster_world_free(world);
 *
 * Nodes' clocks have different offsets and one rate. A replaced node's old
 * process lives on, cut off from all, and is still looked at.
 */
#ifndef T_LIB_ROSTER_WORLD_H
#define T_LIB_ROSTER_WORLD_H

#include "fleet/roster.h"

enum {
    WORLD_NODES_MAX = 8,
    WORLD_UPSTREAMS = 6,
    WORLD_CALLS_MAX = 256,
    WORLD_MESSAGES_MAX = 4096,
    WORLD_CUT_OFF_MAX = 64
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
} world_break_t;

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
    int64_t beat_us;
    int64_t busy_until_us[WORLD_UPSTREAMS];
} world_node_t;

typedef struct {
    uint64_t id; /* 0: free */
    size_t node;
    bool write;
    bool landed;
    bool stubborn; /* lands late, whatever the store does meanwhile */
    bool no_reply;
    uint64_t index;
    char *text;
    status_t status;
    int64_t arrive_us;
    int64_t reply_us;
} world_call_t;

typedef struct {
    size_t from;
    size_t to;
    roster_heartbeat_t heartbeat;
    char *text; /* a document instead of a heartbeat */
    int64_t arrive_us;
} world_message_t;

typedef struct {
    roster_settings_t settings;
    world_break_t broken;
    uint64_t seed;
    uint64_t draws;
    int64_t now_us;
    owner_key_t upstreams[WORLD_UPSTREAMS];
    size_t count;
    world_node_t nodes[WORLD_NODES_MAX];
    world_node_t cut_off[WORLD_CUT_OFF_MAX];
    size_t cut_off_count;
    bool link_cut[WORLD_NODES_MAX][WORLD_NODES_MAX]; /* from, to */
    bool store_down;
    bool documents_lost; /* peers pass no roster documents on */
    char *store_text;
    uint64_t store_index;
    int64_t delay_us;   /* most of a message */
    int64_t store_us;   /* most of a call or its reply */
    int64_t late_us;    /* most of a late write */
    unsigned lose_each; /* one reply in so many is lost; 0: none */
    uint64_t next_id;
    world_call_t calls[WORLD_CALLS_MAX];
    size_t message_count;
    world_message_t messages[WORLD_MESSAGES_MAX];
    int64_t orphan_until_us[WORLD_UPSTREAMS];
    /* What was seen. */
    uint64_t checks;
    uint64_t doubles;                  /* two active owners of one upstream */
    uint64_t overlaps;                 /* work of two owners at one upstream */
    uint64_t unowned[WORLD_UPSTREAMS]; /* steps without active owner */
} roster_world_t;

roster_world_t *roster_world_new(const roster_settings_t *settings,
                                 size_t nodes, uint64_t seed);
void roster_world_free(roster_world_t *world);

/* Advance in steps of 50 ms, checking the invariants at each. */
void roster_world_run(roster_world_t *world, int64_t span_us);

/* A number below bound from the world's seed. */
uint64_t roster_world_draw(roster_world_t *world, uint64_t bound);

/* Start a new process on the node; the old one is cut off from all. */
void roster_world_replace(roster_world_t *world, size_t node);
/* End the node's process without a word. */
void roster_world_kill(roster_world_t *world, size_t node);

/* Cut or mend everything between the node and its peers. */
void roster_world_cut_peers(roster_world_t *world, size_t node, bool cut);

/* Upstreams that have an active owner now. */
size_t roster_world_owned(const roster_world_t *world);
/* Upstreams that the node is active for now. */
size_t roster_world_active(const roster_world_t *world, size_t node);

#endif
