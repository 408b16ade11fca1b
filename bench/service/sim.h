/*
 * Internals of a trial's simulator, shared by its source files: the event
 * queue (sim.c), the daemons (daemons.c), the upstreams (upstreams.c) and the
 * callers (callers.c).
 */
#ifndef BENCH_SERVICE_SIM_H
#define BENCH_SERVICE_SIM_H

#include "bench/service/trial.h"
#include "daemon/admission.h"
#include "daemon/coordinator.h"
#include "standin/lib/mix.h"

enum {
    SIM_DAEMONS = 8,
    SIM_VERSION = 7,
    SIM_GENERATION = 1,
    SIM_SAME_ZONE_DELAY_US = 100, /* one way, between VMs of a zone */
    SIM_STARTED_BITS = 64
};

#define SIM_START_US INT64_C(1000000)

typedef struct sim sim_t;
typedef struct call call_t;
typedef struct caller caller_t;

typedef enum {
    EVENT_ARRIVAL,  /* the next query of a service is due */
    EVENT_SUBMIT,   /* a query reaches a daemon */
    EVENT_PARTS,    /* a batch of parts reaches their owner */
    EVENT_REPLIES,  /* replies to parts reach a coordinator */
    EVENT_CANCEL,   /* a cancellation reaches an owner */
    EVENT_CALL,     /* a call reaches an upstream */
    EVENT_ABORT,    /* a cancellation reaches an upstream */
    EVENT_PART_END, /* an upstream finishes a part */
    EVENT_RESULT,   /* a call's result reaches the owner that sent it */
    EVENT_WAKE,     /* a daemon's timer expires */
    EVENT_CONFIG,   /* a daemon receives a configuration */
    EVENT_FAULT     /* a fault or the restart of an upstream is due */
} event_kind_t;

typedef struct {
    int64_t at_us;
    uint64_t order;
    event_kind_t kind;
    uint32_t index;  /* of the daemon, service or upstream */
    uint32_t count;  /* of parts or replies; or a part's index, or FAULT_* */
    uint32_t epoch;  /* unused */
    uint64_t origin; /* incarnation of the daemon that sent the message */
    attempt_id_t id;
    void *item;
} event_t;

typedef struct {
    sim_t *sim;
    uint32_t index;
    uint64_t incarnation;
    const char *zone;
    coordinator_t *coordinator;
    admission_t *admission;
    upstream_client_t *client;
    stats_t *stats;
    atomic_llong until_us;
    config_t *config;
    int64_t wake_us; /* time of the earliest queued EVENT_WAKE */
} sim_daemon_t;

/* A part that an upstream has queued or runs. */
typedef struct {
    call_t *call;
    uint32_t part; /* index in call->parts */
} part_ref_t;

typedef struct {
    const upstream_plan_t *plan;
    uint32_t index;
    part_ref_t *queue; /* ring buffer */
    uint32_t queue_first;
    uint32_t queue_count;
    uint32_t queue_capacity;
    part_ref_t *running;
    uint32_t running_count;
    uint32_t epoch; /* unused */
    uint64_t boot;  /* rises when the upstream crashes */
    bool down;
    bool cold;
    uint32_t cold_parts; /* parts to finish until it is warm */
} sim_upstream_t;

/* A query and what its caller records about it. */
struct caller {
    sim_t *sim;
    uint32_t service;
    uint32_t daemon;
    query_request_t request;
    int64_t sent_us;
    int64_t ideal_us;
    uint64_t query_number;
    uint64_t started; /* bit set of the shards whose part was started */
    uint32_t answers; /* received */
    bool measured;    /* sent in the measured period */
    caller_t *next;   /* unused */
};

struct sim {
    const trial_settings_t *settings;
    trial_result_t *result;
    int64_t now_us;
    int64_t end_us;
    uint64_t order;  /* of the next event, to break ties in time */
    event_t *events; /* binary heap, earliest event first */
    size_t event_count;
    size_t event_capacity;
    topology_t *topology;
    sim_daemon_t daemons[SIM_DAEMONS];
    upstream_plan_t *plans;
    sim_upstream_t *upstreams; /* in the order of the topology */
    size_t upstream_count;
    uint64_t draw_count;  /* random numbers drawn so far */
    uint64_t query_count; /* sent so far */
    mix_t mixes[PLAN_SERVICES];
    caller_t **callers; /* by query number */
    size_t caller_capacity;
    bool zone_out;       /* a zone is out of service now */
    int64_t zone_out_us; /* time at which it is taken out of service */
};

/* sim.c: the event queue and random numbers. */

/* Returns zeroed memory that the caller frees; exits when out of memory. */
void *sim_alloc(size_t count, size_t size);
/*
 * Queues an event at at_us, or now if that is past. The caller fills in the
 * returned event before the next call, which may move it.
 */
event_t *sim_push(sim_t *sim, event_kind_t kind, int64_t at_us,
                  uint32_t index);
/* Dequeues the earliest event; false if the queue is empty. */
bool sim_pop(sim_t *sim, event_t *event);
/* Next random number of the trial, uniform in [0, 1). */
double sim_draw(sim_t *sim);
/* Number in [0, 1) that depends on the arguments alone. */
double sim_hash(uint64_t seed, uint64_t a, uint64_t b, uint64_t c);
/* One-way delay between two zones. */
int64_t sim_link_delay_us(const sim_t *sim, const char *from, const char *to);
/* One-way delay between a caller and a daemon. */
int64_t sim_client_delay_us(const sim_t *sim);

/* daemons.c: the daemons under test and the messages between them. */
void daemons_start(sim_t *sim, config_t *config);
void daemons_stop(sim_t *sim);
void daemon_apply_config(sim_t *sim, uint32_t index, config_t *config);
void daemon_handle_event(sim_t *sim, event_t *event);

/* upstreams.c: the simulated upstreams and the daemons' client for them. */
extern const upstream_ops_t sim_upstream_ops;
void upstreams_start(sim_t *sim);
void upstreams_stop(sim_t *sim);
void upstreams_handle_event(sim_t *sim, event_t *event);
void upstreams_handle_result(sim_t *sim, event_t *event);
/* Sets the daemon for which sim_upstream_ops.new makes clients from now on. */
void upstreams_bind_daemon(sim_daemon_t *daemon);
/* Service time of the query's part whose range begins at lo. */
int64_t upstream_service_time_us(const sim_t *sim, uint32_t upstream,
                                 uint64_t query_number, uint64_t lo);
/* Mean service time of a part. */
double upstream_mean_service_us(const trial_settings_t *settings,
                                const service_plan_t *service);

/* callers.c: the open-loop load and the measurement of its answers. */
void callers_start(sim_t *sim);
void callers_stop(sim_t *sim);
void callers_handle_arrival(sim_t *sim, uint32_t service);
void callers_submit(sim_t *sim, caller_t *caller);
/* Records that an upstream starts the query's part that covers range. */
void callers_record_start(sim_t *sim, uint64_t query_number,
                          const key_range_t *range);

#endif
