/*
 * The gate's tables, private to the gate's own files.
 *
 * A part waits or runs at a target, which is an upstream that this gate owns.
 * The targets of one service in one zone form a flow. A flow and a service
 * each have a pool of slots: the sum of the shares of the zone's or service's
 * slots that fall to their targets.
 *
 * The waiting parts of a target are in a heap ordered by class and deadline.
 * A target that can start its first part now is runnable and in its flow's
 * heap; a flow that has a free slot and a runnable target is ready and in the
 * gate's heap of ready flows. Every change of a target must be followed by
 * target_update, which updates these heaps.
 *
 * Ready flows are served by class, then by weighted fair queueing: starting a
 * part advances the flow's virtual time by 1 / weight, and the flow with the
 * lowest virtual time is next.
 */
#ifndef CORE_GATE_STATE_H
#define CORE_GATE_STATE_H

#include "core/cold.h"
#include "core/gate.h"
#include "core/gate_heap.h"
#include "core/hist.h"
#include "core/quarantine.h"

enum {
    ESTIMATE_SAMPLES = 32,       /* replies between updates of the estimates */
    DECAY_SAMPLES = 1024,        /* replies until the histogram is halved */
    VIRTUAL_TIME_SCALE = 1000000 /* virtual time of a part at weight 1 */
};

typedef enum {
    PART_STATE_FREE,
    PART_STATE_WAITING, /* in its target's queue */
    PART_STATE_HELD,    /* another part has the claim on its fingerprint */
    PART_STATE_SENT,
    PART_STATE_REFUSED /* gate_next will return its refusal */
} part_state_t;

typedef struct {
    attempt_id_t id;
    part_state_t state;
    part_status_t refusal; /* with PART_STATE_REFUSED */
    uint32_t target;
    class_t class;

    bool suspect;       /* has the claim on its fingerprint, must run alone */
    bool started_alone; /* no other part was in progress at its start */
    uint64_t sent_at_start; /* the target's sent count at the part's start */
    uint64_t boot;          /* the target's boot id at the part's start */
    uint64_t fingerprint;
    uint64_t order; /* sequence number of arrival */
    int64_t deadline_us;
    int64_t latest_start_us; /* deadline less p90; a later start misses it */
    int64_t queued_us;
    uint32_t hash_next;
    uint32_t list_next; /* in the free, waiting, held or refused list */
    uint32_t list_prev;
    heap_link_t by_target;
    heap_link_t by_eviction;
    heap_link_t by_latest_start;
} gate_part_t;

typedef struct {
    uint32_t first;
    uint32_t last;
} part_list_t;

typedef struct {
    char name[NAME_SIZE];
    uint32_t flow;
    bool owned;
    bool unavailable; /* leaving, zone or VM out, or service without row */
    cold_limits_t limits;
    uint32_t held_connections;
    uint32_t max_connections;
    /* Batch parts leave one slot free for the service's own class. */
    bool batch_leaves_slot;
    uint64_t boot; /* last boot id seen; 0: none */
    uint32_t in_progress;
    uint32_t waiting[CLASS_COUNT];
    bool runs_suspect; /* the part in progress is a suspect */
    cold_t cold;
    crash_watch_t crash;
    hist_t hist;
    int64_t median_service_us; /* 0: unknown */
    int64_t p90_service_us;    /* 90th percentile; 0: unknown */
    uint64_t sent;
    uint64_t refused;
    heap_t queue;
    part_list_t waiting_parts; /* the parts of queue, in no order */
    bool runnable;             /* in its flow's heap */
    bool has_timer;            /* in the gate's heap of timers */
    int64_t timer_us;
    heap_link_t by_flow;
    heap_link_t by_timer;
    uint32_t hash_next;
} target_t;

typedef struct {
    uint32_t service;
    char zone[NAME_SIZE];
    uint32_t limit; /* the owned targets' share of the zone's slots */
    uint32_t in_use;
    uint32_t waiting[CLASS_COUNT];
    uint64_t virtual_time;
    heap_t targets; /* runnable targets */
    bool ready;     /* in the gate's heap of ready flows */
    heap_link_t by_ready;
    uint32_t next_in_service;
} flow_t;

typedef struct {
    char name[NAME_SIZE];
    uint32_t limit; /* the owned targets' share of the service's slots */
    uint32_t in_use;
    uint32_t weight;
    uint32_t waiting[CLASS_COUNT];
    heap_t eviction; /* waiting and held parts, the first to evict first */
    uint32_t first_flow;
} service_t;

struct gate {
    gate_settings_t settings;
    config_t *config;
    topology_t *topology;
    bool config_failed; /* gate_configure ran out of memory: send no part */

    gate_part_t *parts;
    uint32_t part_count;
    part_list_t free;
    uint32_t *part_hash;
    uint32_t part_hash_size;
    uint64_t next_order;
    size_t waiting_count;
    heap_t expiring; /* waiting and held parts by latest start */
    part_list_t refused;
    part_list_t held;

    target_t *targets;
    uint32_t target_count;
    uint32_t *target_hash;
    uint32_t target_hash_size;
    heap_t timers; /* targets in backoff or drain with waiting parts */

    flow_t *flows;
    uint32_t flow_count;
    service_t *services;
    uint32_t service_count;
    heap_t ready_flows;
    uint64_t virtual_time; /* virtual start of the last part sent */
    int64_t now_us;        /* of the last call that passed it */

    quarantine_t *quarantine;
};

extern const heap_order_t order_by_target;
extern const heap_order_t order_by_eviction;
extern const heap_order_t order_by_latest_start;
extern const heap_order_t order_by_flow;
extern const heap_order_t order_by_timer;
extern const heap_order_t order_by_ready;

/* gate_part.c: the table of parts. */

/* Makes room for count parts; handles stay valid. False if out of memory. */
bool parts_reserve(gate_t *gate, uint32_t count);
/* Returns the handle of a part, HEAP_NONE for an unknown id. */
uint32_t part_find(const gate_t *gate, attempt_id_t id);
/* Adds a part with this id to the table; HEAP_NONE when it is full. */
uint32_t part_alloc(gate_t *gate, attempt_id_t id);
void part_free(gate_t *gate, uint32_t part);
void part_list_append(gate_t *gate, part_list_t *list, uint32_t part);
void part_list_remove(gate_t *gate, part_list_t *list, uint32_t part);

/* gate_queue.c: the queues of waiting parts and their order. */

/* Queues a part whose fields are set. */
void part_enqueue(gate_t *gate, uint32_t part, int64_t now_us);
/* Holds a part, whose fields are set, until its fingerprint's claim ends. */
void part_hold(gate_t *gate, uint32_t part);
/* Removes a waiting or held part from its heaps, lists and counts. */
void part_dequeue(gate_t *gate, uint32_t part, int64_t now_us);
/* Moves a waiting or held part to the refusals that gate_next returns. */
void part_refuse(gate_t *gate, uint32_t part, part_status_t status,
                 int64_t now_us);
/*
 * If the target is draining or in backoff, refuses its waiting and held parts:
 * all while it is draining, else those whose latest start falls within the
 * backoff.
 */
void target_refuse_unservable(gate_t *gate, uint32_t target, int64_t now_us);
/* The part to evict when too many wait; HEAP_NONE when no part waits. */
uint32_t queue_victim(const gate_t *gate);
/* Whether the target can start the part now, not considering the pools. */
bool target_admits(const gate_t *gate, const target_t *target,
                   const gate_part_t *part, int64_t now_us);
/* Whether the pools of the flow and its service have a free slot. */
bool flow_has_room(const gate_t *gate, const flow_t *flow);
/* Updates the heaps that depend on the target; needed after its changes. */
void target_update(gate_t *gate, uint32_t target, int64_t now_us);
/* Updates the place of all flows of the service among the ready flows. */
void service_update(gate_t *gate, uint32_t service);
/* Count a part as started or ended in its target, flow and service. */
void part_count_start(gate_t *gate, uint32_t part, int64_t now_us);
void part_count_end(gate_t *gate, uint32_t part, int64_t now_us);
/* Estimated time until a new part of this class starts; 0: at once. */
int64_t target_wait_us(const gate_t *gate, const target_t *target,
                       class_t class, int64_t now_us);

/* gate_suspect.c: parts whose fingerprint may crash upstreams. */

typedef enum {
    QUARANTINE_ACTION_ADMIT, /* the part may start at its target */
    QUARANTINE_ACTION_HOLD,  /* another part of its fingerprint runs first */
    QUARANTINE_ACTION_REFUSE
} quarantine_action_t;

/* Checks a part's fingerprint and claims it if it is an unclaimed suspect. */
quarantine_action_t part_check_quarantine(gate_t *gate, uint32_t part,
                                          int64_t now_us);
/*
 * Releases the part's claim, if it has one, and checks the held parts of its
 * fingerprint again. To be called whenever a part leaves the gate.
 */
void part_release_claim(gate_t *gate, uint32_t part, int64_t now_us);
/* Records whether a sent part crashed its target; before part_count_end. */
void part_record_result(gate_t *gate, uint32_t part,
                        const gate_result_t *result, int64_t now_us);

/* gate_config.c */

/* Returns the handle of a target, HEAP_NONE for an unknown name. */
uint32_t target_find(const gate_t *gate, const char *name);

#endif
