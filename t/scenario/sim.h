/*
 * Simulates the decision logic of one to three daemons in virtual time.
 *
 * A sim_t drives the daemons' own modules (coordinator, admission, change,
 * confsync, hold, once and intent) from one thread. Their environment is
 * simulated: the upstreams (through upstream_ops_t), the store, the links
 * between daemons and the membership. All of it passes through one event queue
 * ordered by virtual time.
 *
 *     sim_t *sim = sim_new(&script);
 *     sim_run(sim);
 *     if (sim->failure_count > 0)
 *         sim_print(sim, stdout);
 *     sim_free(sim);
 *
 * The invariants in check.c hold in every scenario; a violation is reported
 * with sim_fail. All times are in microseconds of virtual time.
 */
#ifndef T_SCENARIO_SIM_H
#define T_SCENARIO_SIM_H

#include "core/intent.h"
#include "core/once.h"
#include "daemon/admission.h"
#include "daemon/coordinator.h"
#include "fleet/change.h"
#include "fleet/confsync.h"
#include "fleet/hold.h"
#include "standin/lib/kv.h"
#include "t/scenario/script.h"

#include <stdio.h>

enum {
    SIM_NODES_MAX = 3,
    SIM_SERVICES_MAX = 4,
    SIM_UPSTREAMS_MAX = 64,
    SIM_CHANGES_MAX = 64,
    SIM_ZONES_MAX = 4,
    SIM_OUT_OF_SERVICE_MAX = 128,
    SIM_TIMELINE_LINES = 80,
    SIM_LINE_SIZE = 160,
    SIM_FAILURES_MAX = 20,
    SIM_BODY_MAX = 32,
    SIM_STORE_VALUE_MAX = 65536
};

#define SIM_MS INT64_C(1000)
#define SIM_START_US INT64_C(10000000) /* virtual time of `at: 0` */
/* Time after which an accepted change must be in force at every daemon. */
#define SIM_CONVERGENCE_US INT64_C(3000000)
/* Time after its deadline by which a request must be answered. */
#define SIM_ANSWER_GRACE_US INT64_C(20000)
#define SIM_LEASE_US INT64_C(1500000) /* length of a lease */
/* Time that a part may run past the lease of the daemon that sent it. */
#define SIM_DRAIN_US INT64_C(1000000)
#define SIM_TICK_US INT64_C(100000) /* heartbeat interval */

typedef struct sim sim_t;
typedef struct run run_t;
typedef struct call call_t;

/* A caller's operation: the first request and its resends. */
typedef struct {
    char name[NAME_SIZE];
    size_t step; /* index of the query step in the script */
    bool once;   /* must not run more than once */
    ticket_t ticket;
    uint64_t hash;              /* of the caller's id; 0: uses a ticket */
    range_set_t started_ranges; /* ranges started at upstreams, all requests */
} operation_t;

/* One request of a caller, which must get exactly one answer. */
struct call {
    sim_t *sim;
    operation_t *operation;
    size_t step;
    size_t entry_node; /* daemon that received it from the caller */
    size_t node;       /* daemon that handles it now */
    uint64_t incarnation;
    query_request_t request;
    char body[SIM_BODY_MAX];
    int64_t sent_us;  /* 0: not sent */
    int64_t ended_us; /* 0: not answered */
    uint64_t sequence;
    unsigned answers_received;
    query_answer_t answer;
    bool once_begun; /* has an entry in the daemon's once_t */
    once_key_t key;
    bool waits_for_intent;
    bool forwarded;            /* to the daemon that issued its ticket */
    bool forward_expired;      /* the entry daemon stopped waiting for it */
    bool answered_without_run; /* not by the coordinator */
    bool lost;                 /* its daemon stopped before answering */
    size_t resends_left;
    range_set_t started_ranges;   /* ranges started at upstreams */
    uint64_t starts;              /* parts started at upstreams */
    uint64_t started_attempts[8]; /* bitmap of attempt numbers */
};

typedef enum {
    EVENT_STEP,
    EVENT_TICK,
    EVENT_PARTS,
    EVENT_REPLY,
    EVENT_CANCEL,
    EVENT_PEER_DOWN,
    EVENT_RESULT,  /* an upstream's reply reaches the daemon's client */
    EVENT_RUN_END, /* a part ends at an upstream */
    EVENT_CALL,    /* a caller's request reaches a daemon */
    EVENT_TOPOLOGY,
    EVENT_STORE,      /* a daemon's call reaches the store */
    EVENT_STORE_DONE, /* the store's answer reaches the daemon */
    EVENT_RESUME,
    EVENT_WAKE
} sim_event_kind_t;

typedef struct {
    int64_t at_us;
    uint64_t order; /* orders events of the same time */
    sim_event_kind_t kind;
    size_t node; /* receiving daemon; SIM_NODES_MAX: none */
    uint64_t incarnation;
    uint64_t from;       /* incarnation of the sending daemon */
    uint64_t link_epoch; /* dropped if the link has a newer one */
    size_t index;        /* of the step, upstream or publication */
    void *item;          /* run_t, call_t, store_call_t or topology_t */
    part_request_t request;
    char body[SIM_BODY_MAX];
    part_reply_t reply;
    gate_result_t result;
    bool duplicated; /* the result is delivered twice */
} sim_event_t;

/* A simulated daemon. */
typedef struct {
    sim_t *sim;
    size_t index;
    char name[NAME_SIZE];
    char zone[NAME_SIZE];
    uint64_t incarnation;
    bool alive;
    bool leaving;
    bool left;
    bool roster_removed;     /* until the daemon learns of its removal */
    int64_t paused_until_us; /* INT64_MAX: until resumed */
    int64_t disturbed_us; /* last pause (its end), isolation, stop or leave */
    bool isolated;        /* cut off from its peers and the store */
    uint64_t link_epoch;  /* incremented when its links break or return */
    coordinator_t *coordinator;
    admission_t *admission;
    struct upstream_client *client;
    stats_t stats;
    atomic_llong act_until_us;
    atomic_llong trust_until_us;
    fleet_view_t *view;
    topology_t *topology;
    uint64_t topology_order; /* number of its publication */
    config_t *config;
    uint64_t highest_version; /* highest that was in force here */
    config_t *effective;      /* config with the holds applied */
    confsync_t sync;
    hold_set_t holds;
    hold_t own_holds[HOLDS_MAX]; /* made here, not in the store yet */
    size_t own_hold_count;
    roster_doc_t roster;
    once_t *once;
    intent_log_t *logs[INTENT_BUCKETS];
    bool log_call_pending[INTENT_BUCKETS];
    bool config_read_pending;
    /* When the newest report of each daemon was sent. */
    int64_t last_report_us[SIM_NODES_MAX];
    int64_t wakeup_us;
} sim_node_t;

/* A simulated upstream. */
typedef struct {
    upstream_info_t info;
    uint32_t slots;
    uint32_t cold_slots;
    uint64_t boot;
    bool cold;
    int64_t cold_reported_us; /* when a daemon learnt it is cold; 0: not yet */
    uint32_t cold_parts_left; /* parts to complete before it is warm */
    uint32_t running;         /* parts in progress */
    uint64_t version;         /* newest version held */
    uint32_t held_versions;   /* number of versions held */
    uint64_t generation;
    int64_t latency_us;
    int64_t straggle_permille;
    int64_t straggle_factor;
    bool shed;
    bool down;
    int64_t lose_permille;
    int64_t truncate_permille;
    int64_t mismatch_permille;
    int64_t duplicate_permille;
    uint64_t starts;
    uint64_t crashes;
    /* When its state leaving is published to the daemons; 0: not leaving. */
    int64_t leaving_published_us;
} sim_upstream_t;

typedef struct {
    char name[NAME_SIZE];
    table_row_t row;
    size_t zones;
    uint32_t shards;
    uint64_t generation;
    int64_t latency_us;
    uint64_t starts;
    uint64_t repeated_starts; /* of a range already started for its request */
} sim_service_t;

/* An operator's change to the configuration. */
typedef struct {
    change_t *change;
    change_edit_t edit;
    size_t node;
    uint64_t incarnation;
    int64_t created_us;
    int64_t done_us;
    bool store_call_pending;
    int64_t wake_us;
    bool done;
    bool hold_placed; /* a hold puts it in force before the store has it */
    status_t status;
    uint64_t version;
} sim_change_t;

/* A zone or VM that operators took out of service at least once. */
typedef struct {
    hold_kind_t kind;
    char name[NAME_SIZE];
    bool is_out;
    int64_t accepted_us;
    uint64_t version; /* of the change; 0: only a hold */
} sim_out_of_service_t;

struct sim {
    const script_t *script;
    uint64_t draws; /* random numbers drawn */
    int64_t now_us;
    int64_t end_us;
    uint64_t order;
    sim_event_t **events; /* binary heap, earliest first */
    size_t event_count;
    size_t event_capacity;
    size_t node_count;
    sim_node_t nodes[SIM_NODES_MAX];
    uint64_t incarnations;
    sim_service_t services[SIM_SERVICES_MAX];
    size_t service_count;
    sim_upstream_t upstreams[SIM_UPSTREAMS_MAX];
    size_t upstream_count;
    partition_t partitions[SIM_SERVICES_MAX];
    topology_t *topology; /* latest published */
    uint64_t publications;
    config_t *first_config;
    roster_doc_t roster;
    run_t *runs;
    call_t **calls;
    size_t call_count;
    operation_t **operations;
    size_t operation_count;
    kv_t *kv;
    kv_fault_t store_fault;
    int64_t store_disturbed_us;
    sim_change_t changes[SIM_CHANGES_MAX];
    size_t change_count;
    sim_out_of_service_t out_of_service[SIM_OUT_OF_SERVICE_MAX];
    size_t out_of_service_count;
    uint64_t highest_version; /* of the accepted changes */
    int64_t link_delay_us;
    /*
     * Arrival time of the latest part or cancellation on each link: later
     * ones must not overtake it.
     */
    int64_t link_last_arrival_us[SIM_NODES_MAX][SIM_NODES_MAX];
    int64_t link_reply_delay_us; /* maximum extra delay of a reply */
    int64_t link_duplicate_permille;
    uint64_t checks;
    size_t failure_count;
    char failures[SIM_FAILURES_MAX][ERROR_TEXT_MAX];
    char timeline[SIM_TIMELINE_LINES][SIM_LINE_SIZE];
    size_t timeline_count;
    size_t lines_left; /* timeline lines still to add after a failure */
};

sim_t *sim_new(const script_t *script);
void sim_run(sim_t *sim);
void sim_print(const sim_t *sim, FILE *out);
void sim_free(sim_t *sim);

/*
 * sim.c: used by all modules. sim_fail records a violated invariant, sim_log a
 * line of the timeline. sim_random returns a number below bound, the same
 * sequence for the same seed. sim_push schedules an event, not before now, and
 * keeps it; the caller fills in further fields. sim_find_service returns NULL
 * for an unknown service. sim_alloc returns zeroed memory, or aborts.
 */
void sim_fail(sim_t *sim, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void sim_log(sim_t *sim, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
uint64_t sim_random(sim_t *sim, uint64_t bound);
bool sim_chance(sim_t *sim, int64_t permille);
sim_event_t *sim_push(sim_t *sim, sim_event_kind_t kind, int64_t at_us,
                      size_t node);
sim_service_t *sim_find_service(sim_t *sim, const char *name);
void *sim_alloc(size_t size);

/* node.c: daemons. sim_node_find returns -1 if no such daemon is alive. */
void sim_node_start(sim_t *sim, size_t index);
void sim_node_stop(sim_t *sim, size_t index);
void sim_node_release(sim_node_t *node);
void sim_node_update_view(sim_t *sim, size_t index);
void sim_node_step(sim_t *sim, size_t index);
void sim_nodes_tick(sim_t *sim);
void sim_node_handle_event(sim_t *sim, sim_event_t *event);
void sim_node_set_isolated(sim_t *sim, size_t index, bool cut);
int sim_node_find(const sim_t *sim, uint64_t incarnation);
bool sim_node_runs(const sim_t *sim, size_t index);

/*
 * upstream.c: upstreams. sim_upstream_bind_client chooses the daemon of the
 * next client that sim_upstream_ops.new creates.
 */
extern const upstream_ops_t sim_upstream_ops;
void sim_upstream_bind_client(sim_t *sim, size_t node);
void sim_upstream_deliver_result(sim_t *sim, const sim_event_t *event);
void sim_upstream_run_end(sim_t *sim, const sim_event_t *event);
void sim_upstream_crash(sim_t *sim, sim_upstream_t *upstream);
void sim_upstream_set_cold(sim_upstream_t *upstream);
void sim_upstreams_release(sim_t *sim);

/* config.c: the store, the configuration and operators. */
void sim_config_init(sim_t *sim);
void sim_config_poll(sim_t *sim, size_t node);
void sim_exchange_heartbeats(sim_t *sim);
void sim_change_start(sim_t *sim, const step_t *step);
void sim_changes_step(sim_t *sim);
void sim_store_roll_back(sim_t *sim);
uint64_t sim_store_version(sim_t *sim);
void sim_store_execute(sim_t *sim, sim_event_t *event);
void sim_store_complete(sim_t *sim, sim_event_t *event);
void sim_intents_step(sim_t *sim, size_t node);
void sim_store_call_free(void *call);

/* caller.c: callers, their requests and answers. */
void caller_schedule(sim_t *sim, size_t step);
void caller_submit(sim_t *sim, const sim_event_t *event);
void caller_tick(sim_t *sim);
void caller_intent_result(sim_t *sim, size_t node,
                          const intent_result_t *result);
void caller_node_stopped(sim_t *sim, size_t node);
void caller_release(sim_t *sim);
call_t *call_find(const sim_t *sim, attempt_id_t id);

/* steps.c: applies the steps of the script. */
void sim_set_up_services(sim_t *sim);
void sim_apply_step(sim_t *sim, size_t step);
void sim_publish_topology(sim_t *sim, int64_t lag_us);

/*
 * check.c: the invariants, and the script's expectations. check_part_start is
 * called for each part sent to an upstream; runs is false if it was refused.
 */
void check_part_start(sim_t *sim, const sim_upstream_t *upstream,
                      const part_request_t *request, size_t node, bool runs);
void check_answer(sim_t *sim, const call_t *call);
void check_run_end(sim_t *sim, const call_t *call);
void check_reply(sim_t *sim, const part_reply_t *reply);
void check_config(sim_t *sim, sim_node_t *node);
void check_expectation(sim_t *sim, const step_t *step);
void check_shutdown(sim_t *sim, size_t node);
void check_end(sim_t *sim);

#endif
