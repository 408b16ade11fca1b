/*
 * Simulation of several daemons' engines, upstreams and callers in virtual
 * time.
 *
 * Upstreams have slots and a queue, run requests in order of arrival, and can
 * be slow, pause, be silent, refuse requests or lose responses. The engines
 * are driven only through their public functions and ports.
 *
 *     tier_world_t *world = tier_world_new(&settings);
 *     tier_world_configure(world, table);
 *     uint32_t up = tier_world_upstream(world, &(tier_world_upstream_t){...});
 *     tier_call_t *call = tier_world_call(world, at_us, daemon, path, work);
 *     tier_world_run(world, until_us);
 *     ... call->status ...
 *     tier_world_free(world);
 */
#ifndef T_LIB_TIER_WORLD_H
#define T_LIB_TIER_WORLD_H

#include "policy/route.h"
#include "tier/engine.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    TIER_DAEMONS_MAX = 64,
    TIER_UPSTREAMS_MAX = 128,
    TIER_HOP_US = 500 /* one way between a daemon and an upstream */
};

typedef struct {
    uint32_t daemons;
    engine_settings_t engine;
    uint64_t seed;
    /* Zones of the daemons in turn; NULL: all are in engine.zone. */
    const char *const *zones;
    uint32_t zone_count;
    int64_t zone_hop_us; /* one way between zones, on top of TIER_HOP_US */
} tier_settings_t;

typedef struct {
    const char *id;
    const char *service;
    const char *zone;
    uint32_t slots;
    uint32_t queue_max;  /* length of its queue; excess requests are refused */
    double slowdown;     /* factor by which work takes longer; 0 means 1 */
    bool silent;         /* accepts requests and never responds */
    bool unreachable;    /* refuses connections */
    double refuse_share; /* share of requests refused without running */
    double lose_share;   /* share of requests whose response is lost */
    uint32_t fail_status; /* status of all its signed responses; 0 means 200 */
    bool misdirected;     /* another upstream has the address */
    bool limited;         /* its responses state a rate limit: */
    double limit_per_s;   /* requests a second from all daemons */
    int64_t pause_every_us;
    int64_t pause_us; /* pause at the end of each pause_every_us; 0: none */
    /* Work that starts in the last slow_us of each slow_every_us, moved by
       slow_phase_us, takes slow_factor times as long; 0: none. */
    int64_t slow_every_us;
    int64_t slow_us;
    int64_t slow_phase_us;
    double slow_factor;
    int64_t since_us; /* when the faults begin; pauses and slow_us ignore it */
    int64_t until_us; /* when the faults end; 0: never */
} tier_world_upstream_t;

/* A call and its result. */
typedef struct {
    char id[ENGINE_ID_SIZE];
    const char *path;
    uint32_t daemon;
    int64_t at_us;
    int64_t work_us;
    int64_t timeout_us;
    const char *method;
    const char *tenant; /* NULL: none */
    tenant_id_t tenant_id;
    void *owner; /* the test's own */
    request_t *request;
    int64_t wake_us; /* pending wake-up; 0: none */
    bool done;
    bool cancelled;
    int64_t done_us;
    uint32_t status;
    answer_kind_t kind;
    uint32_t missing;
    int64_t retry_after_us;
    const char *reason;
    uint32_t arrivals; /* sends that arrived at upstreams */
    uint32_t runs;     /* sends that upstreams began to run */
    uint32_t distinct; /* unused */
    int64_t last_arrival_us;
} tier_call_t;

typedef struct tier_world tier_world_t;

tier_world_t *tier_world_new(const tier_settings_t *settings);
void tier_world_free(tier_world_t *world);

/* Put a table in force at every daemon. */
void tier_world_configure(tier_world_t *world, route_table_t *table);

/* Add an upstream and list it at every daemon; returns its number. */
uint32_t tier_world_upstream(tier_world_t *world,
                             const tier_world_upstream_t *up);

/* An upstream's behaviour, for the test to change. */
tier_world_upstream_t *tier_world_upstream_at(tier_world_t *world,
                                              uint32_t number);

/* List the upstream as draining at every daemon. */
void tier_world_drain(tier_world_t *world, uint32_t number);

engine_t *tier_world_engine(tier_world_t *world, uint32_t daemon);
int64_t tier_world_now_us(const tier_world_t *world);

/* Schedule a call at at_us; the world owns it. path is not copied. */
tier_call_t *tier_world_call(tier_world_t *world, int64_t at_us,
                             uint32_t daemon, const char *path,
                             int64_t work_us, int64_t timeout_us);

/* Call `answered` at each answer. It may schedule calls; NULL: none. */
typedef void (*tier_answered_fn_t)(void *owner, tier_call_t *call);
void tier_world_on_answer(tier_world_t *world, tier_answered_fn_t answered,
                          void *owner);

/* Schedule the caller's disconnect at at_us, unless the call is answered by
   then. */
void tier_world_cancel(tier_world_t *world, tier_call_t *call, int64_t at_us);

void tier_world_run(tier_world_t *world, int64_t until_us);

/* Number of requests that the daemons suspected of crashing upstreams. */
uint32_t tier_world_suspects(const tier_world_t *world);

/* Requests that a daemon sent to upstreams, and to those of other zones than
   its own. */
uint32_t tier_world_sends(const tier_world_t *world, uint32_t daemon);
uint32_t tier_world_crossings(const tier_world_t *world, uint32_t daemon);

/* Requests that arrived at an upstream, and requests that it began to run. */
uint32_t tier_world_arrivals(const tier_world_t *world, uint32_t number);
uint32_t tier_world_runs(const tier_world_t *world, uint32_t number);

/*
 * The most requests that arrived at an upstream within any span of window_us
 * between from_us and until_us, from daemons that had received a response with
 * a rate limit at least told_us before.
 */
uint32_t tier_world_told_arrivals(const tier_world_t *world, uint32_t number,
                                  int64_t from_us, int64_t until_us,
                                  int64_t window_us, int64_t told_us);

/* The fingerprint that the engine computes for the call. */
uint64_t tier_world_fingerprint(const tier_call_t *call);

/* Next pseudo-random number from 0 to 1, drawn from the world's seed. */
double tier_world_random(tier_world_t *world);

/* A sealed table with three routes: /all/ over the services s0, s1, ... of
   `shards` shards, /one/ to s0, and /once/ to s0, which is not idempotent.
   goal_us is a duration. */
route_table_t *tier_world_table(uint64_t version, uint32_t shards,
                                int64_t goal_us, double min_share);

#endif
