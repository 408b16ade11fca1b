/*
 * The gate's tables, for the files of the gate only.
 *
 * A part waits or runs at a target (an upstream this gate owns). Targets of
 * one service in one zone form a flow, which holds this gate's pooled share
 * of the zone's slots; a service holds its share of the service's slots.
 *
 * Waiting parts of a target are in a heap, best first. A target that can
 * take its best part now is in its flow's heap; a flow with room and such a
 * target is in the gate's heap of open flows. Whatever changes a target calls
 * target_update, which puts it where it now belongs.
 */
#ifndef CORE_GATE_STATE_H
#define CORE_GATE_STATE_H

#include "core/cold.h"
#include "core/gate.h"
#include "core/gate_heap.h"
#include "core/hist.h"
#include "core/quarantine.h"

enum {
    NONE = -1,
    ESTIMATE_SAMPLES = 32, /* replies between two looks at the histogram */
    DECAY_SAMPLES = 1024,  /* replies after which the histogram halves */
    VIRTUAL_TIME_SCALE = 1000000 /* turn of one part at weight 1 */
};

typedef enum {
    PART_STATE_FREE,
    PART_STATE_WAITING, /* in its target's queue */
    PART_STATE_HELD,    /* waits until its fingerprint is judged */
    PART_STATE_SENT,
    PART_STATE_REFUSED /* waits for gate_next to say so */
} part_state_t;

typedef struct {
    attempt_id_t id;
    part_state_t state;
    part_status_t refusal; /* with PART_STATE_REFUSED */
    uint32_t target;
    class_t class;

    bool suspect;       /* the one of its fingerprint that may run, alone */
    bool started_alone; /* nothing else was in progress at its start */
    uint64_t sent_at_start; /* the target's count of sent parts at its start */
    uint64_t boot;          /* the target's at its start */
    uint64_t fingerprint;
    uint64_t order; /* of arrival */
    int64_t deadline_us;
    int64_t latest_start_us; /* after it, sending is of no use */
    int64_t queued_us;
    uint32_t hash_next;
    uint32_t list_next; /* of the free, held or refused list */
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
    bool unavailable; /* leaving, or its zone or VM is out, or without a row */
    cold_limits_t limits;
    uint32_t held_connections;
    uint32_t max_connections;
    bool batch_leaves_slot; /* batch leaves one slot to the service's own class
                             */
    uint64_t boot;
    uint32_t in_progress;
    uint32_t waiting[CLASS_COUNT];
    bool runs_suspect; /* a suspect is in progress */
    cold_t cold;
    crash_watch_t crash;
    hist_t hist;
    int64_t median_service_us; /* median service time; 0: not known */
    int64_t p90_service_us;    /* nine of ten take no longer */
    uint64_t sent;
    uint64_t refused;
    heap_t queue;
    part_list_t waiting_parts; /* the same parts in any order */
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
    uint32_t limit; /* slots of the zone dealt to owned targets */
    uint32_t in_use;
    uint32_t waiting[CLASS_COUNT];
    uint64_t virtual_time; /* rises by more the lower the weight */
    heap_t targets;
    bool ready;
    heap_link_t by_ready;
    uint32_t next_in_service;
} flow_t;

typedef struct {
    char name[NAME_SIZE];
    uint32_t limit;
    uint32_t in_use;
    uint32_t weight;
    uint32_t waiting[CLASS_COUNT];
    heap_t eviction; /* waiting parts, the first to yield first */
    uint32_t first_flow;
} service_t;

struct gate {
    gate_settings_t settings;
    config_t *config;
    topology_t *topology;
    bool config_failed; /* no memory for the last configuration */

    gate_part_t *parts;
    uint32_t part_count;
    part_list_t free;
    uint32_t *part_hash;
    uint32_t part_hash_size;
    uint64_t next_order;
    size_t waiting_count;
    heap_t expiring;
    part_list_t refused;
    part_list_t held;

    target_t *targets;
    uint32_t target_count;
    uint32_t *target_hash;
    uint32_t target_hash_size;
    heap_t timers;

    flow_t *flows;
    uint32_t flow_count;
    service_t *services;
    uint32_t service_count;
    heap_t ready_flows;
    uint64_t virtual_time; /* of the flow served last */
    int64_t now_us;        /* of the last call that named it */

    quarantine_t *quarantine;
};

extern const heap_order_t order_by_target;
extern const heap_order_t order_by_eviction;
extern const heap_order_t order_by_latest_start;
extern const heap_order_t order_by_flow;
extern const heap_order_t order_by_timer;
extern const heap_order_t order_by_ready;

/* gate_part.c: the table of parts. */

/* Make room for count parts; handles stay. False: no memory. */
bool parts_reserve(gate_t *gate, uint32_t count);
/* Handle of a part; HEAP_NONE when it is not known. */
uint32_t part_find(const gate_t *gate, attempt_id_t id);
/* A free part entered under id; HEAP_NONE when the table is full. */
uint32_t part_alloc(gate_t *gate, attempt_id_t id);
void part_free(gate_t *gate, uint32_t part);
void part_list_append(gate_t *gate, part_list_t *list, uint32_t part);
void part_list_remove(gate_t *gate, part_list_t *list, uint32_t part);

/* gate_queue.c: waiting parts and who may go. */

/* Queue a part that is entered and filled in. */
void part_enqueue(gate_t *gate, uint32_t part, int64_t now_us);
/* Hold back a part that is entered and filled in. */
void part_hold(gate_t *gate, uint32_t part);
/* Take a waiting or held part out of its heaps and counts. */
void part_dequeue(gate_t *gate, uint32_t part, int64_t now_us);
/* Turn a waiting or held part into a refusal for gate_next. */
void part_refuse(gate_t *gate, uint32_t part, part_status_t status,
                 int64_t now_us);
/* Refuse what waits for a target that drains or is held back too long. */
void target_refuse_unservable(gate_t *gate, uint32_t target, int64_t now_us);
/* The part to give up when too many wait; HEAP_NONE when none does. */
uint32_t queue_victim(const gate_t *gate);
/* Whether the target could take the part now, but for the pools. */
bool target_admits(const gate_t *gate, const target_t *target,
                   const gate_part_t *part, int64_t now_us);
/* Whether the pools of the flow and its service have room. */
bool flow_has_room(const gate_t *gate, const flow_t *flow);
void target_update(gate_t *gate, uint32_t target, int64_t now_us);
/* Put every flow of the service where it now belongs. */
void service_update(gate_t *gate, uint32_t service);
/* Count a part as sent, or as ended, in the target and its pools. */
void part_count_start(gate_t *gate, uint32_t part, int64_t now_us);
void part_count_end(gate_t *gate, uint32_t part, int64_t now_us);
/* Time until a part of this class would start; 0: at once. */
int64_t target_wait_us(const gate_t *gate, const target_t *target,
                       class_t class, int64_t now_us);

/* gate_suspect.c: parts whose fingerprint may crash upstreams. */

/*
 * What to do with a part that is in no queue: send it on to its target, hold
 * it back until its fingerprint is judged, or refuse it.
 */
typedef enum {
    QUARANTINE_ACTION_ADMIT,
    QUARANTINE_ACTION_HOLD,
    QUARANTINE_ACTION_REFUSE
} quarantine_action_t;

quarantine_action_t part_check_quarantine(gate_t *gate, uint32_t part,
                                          int64_t now_us);
/* A part that may be the one run of its fingerprint is leaving. */
void part_release_claim(gate_t *gate, uint32_t part, int64_t now_us);
/* Learn about crashes from how a part ended; before part_count_end. */
void part_record_result(gate_t *gate, uint32_t part,
                        const gate_result_t *result, int64_t now_us);

/* gate_config.c */

/* Handle of an upstream this gate knows; HEAP_NONE when there is none. */
uint32_t target_find(const gate_t *gate, const char *name);

#endif
