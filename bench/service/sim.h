/*
 * Inside of a trial, shared by its parts: the queue of events, the daemons,
 * the upstreams and the callers.
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
    SIM_SAME_ZONE_DELAY_US = 100, /* one way within a zone */
    SIM_STARTED_BITS = 64
};

#define SIM_START_US INT64_C(1000000)

typedef struct sim sim_t;
typedef struct call call_t;
typedef struct caller caller_t;

typedef enum {
    EVENT_ARRIVAL,  /* the next query of a service is due */
    EVENT_SUBMIT,   /* a query reaches a daemon */
    EVENT_PARTS,    /* parts reach an owner */
    EVENT_REPLIES,  /* replies reach a coordinator */
    EVENT_CANCEL,   /* a cancellation reaches an owner */
    EVENT_CALL,     /* a call reaches an upstream */
    EVENT_ABORT,    /* a cancellation reaches an upstream */
    EVENT_PART_END, /* a part ends at an upstream */
    EVENT_RESULT,   /* a call's answer reaches its owner */
    EVENT_WAKE,     /* a daemon's own timer */
    EVENT_CONFIG,   /* a configuration reaches a daemon */
    EVENT_FAULT     /* the next fault of an upstream is due */
} event_kind_t;

typedef struct {
    int64_t at_us;
    uint64_t order;
    event_kind_t kind;
    uint32_t index; /* daemon, service or upstream */
    uint32_t count;
    uint32_t epoch; /* of the upstream, for EVENT_PART_END */
    uint64_t origin;
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
    int64_t wake_us; /* of the earliest wake in the queue */
} sim_daemon_t;

/* A part at an upstream. */
typedef struct {
    call_t *call;
    uint32_t part; /* within its call */
} part_ref_t;

typedef struct {
    const upstream_plan_t *plan;
    uint32_t index;
    part_ref_t *queue; /* a ring */
    uint32_t queue_first;
    uint32_t queue_count;
    uint32_t queue_capacity;
    part_ref_t *running;
    uint32_t running_count;
    uint32_t epoch; /* rises when it is lost */
    uint64_t boot;
    bool down;
    bool cold;
    uint32_t cold_parts; /* to end before it is warm */
} sim_upstream_t;

/* A query at its caller. */
struct caller {
    sim_t *sim;
    uint32_t service;
    uint32_t daemon;
    query_request_t request;
    int64_t sent_us;
    int64_t ideal_us;
    uint64_t query_number;
    uint64_t started; /* pieces that upstreams started, a bit each */
    uint32_t answers;
    bool measured;
    caller_t *next; /* of the same bucket */
};

struct sim {
    const trial_settings_t *settings;
    trial_result_t *result;
    int64_t now_us;
    int64_t end_us;
    uint64_t order;
    event_t *events; /* a heap */
    size_t event_count;
    size_t event_capacity;
    topology_t *topology;
    sim_daemon_t daemons[SIM_DAEMONS];
    upstream_plan_t *plans;
    sim_upstream_t *upstreams; /* by index of the topology */
    size_t upstream_count;
    uint64_t draw_count;
    uint64_t query_count; /* queries sent so far */
    mix_t mixes[PLAN_SERVICES];
    caller_t **callers; /* by number, NULL when forgotten */
    size_t caller_capacity;
    bool zone_out;
    int64_t zone_out_us;
};

/* sim.c: the queue of events and draws. */
void *sim_alloc(size_t count, size_t size);
event_t *sim_push(sim_t *sim, event_kind_t kind, int64_t at_us,
                  uint32_t index);
bool sim_pop(sim_t *sim, event_t *event);
double sim_draw(sim_t *sim);
double sim_hash(uint64_t seed, uint64_t a, uint64_t b, uint64_t c);
int64_t sim_link_delay_us(const sim_t *sim, const char *from, const char *to);
int64_t sim_client_delay_us(const sim_t *sim);

/* daemons.c */
void daemons_start(sim_t *sim, config_t *config);
void daemons_stop(sim_t *sim);
void daemon_apply_config(sim_t *sim, uint32_t index, config_t *config);
void daemon_handle_event(sim_t *sim, event_t *event);

/* upstreams.c */
extern const upstream_ops_t sim_upstream_ops;
void upstreams_start(sim_t *sim);
void upstreams_stop(sim_t *sim);
void upstreams_handle_event(sim_t *sim, event_t *event);
void upstreams_handle_result(sim_t *sim, event_t *event);
void upstreams_bind_daemon(sim_daemon_t *daemon);
int64_t upstream_service_time_us(const sim_t *sim, uint32_t upstream,
                                 uint64_t query_number, uint64_t lo);
/* Time a service takes a part on average. */
double upstream_mean_service_us(const trial_settings_t *settings,
                                const service_plan_t *service);

/* callers.c */
void callers_start(sim_t *sim);
void callers_stop(sim_t *sim);
void callers_handle_arrival(sim_t *sim, uint32_t service);
void callers_submit(sim_t *sim, caller_t *caller);
/* An upstream starts a part of the query. */
void callers_record_start(sim_t *sim, uint64_t query_number,
                          const key_range_t *range);

#endif
