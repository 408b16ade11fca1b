/* Declarations shared by tier_world.c and tier_world_upstreams.c; no other
   file includes this header. */
#ifndef T_LIB_TIER_WORLD_STATE_H
#define T_LIB_TIER_WORLD_STATE_H

#include "t/lib/tier_world.h"

#include <stddef.h>

typedef struct job job_t;

/* An attempt on its way to, or at, an upstream. */
struct job {
    tier_world_t *world;
    attempt_t *attempt; /* NULL: cancelled or ended */
    uint32_t daemon;
    uint32_t upstream;
    int64_t hop_us;
    tier_call_t *call;
    int64_t work_us;
    bool queued;
    bool running;
    job_t *queue_next;
    job_t *all_next;
};

typedef struct {
    int64_t at_us;
    uint32_t daemon;
} arrival_t;

typedef struct {
    tier_world_upstream_t behaviour;
    uint32_t running;
    uint32_t waiting;
    job_t *first;
    job_t *last;
    uint32_t arrivals;
    uint32_t runs;
    /* When each daemon first received a response with a rate limit; 0: never.
     */
    int64_t told_us[TIER_DAEMONS_MAX];
    arrival_t *arrived; /* one row per arrival */
    uint32_t arrived_capacity;
} upstream_state_t;

typedef enum {
    EVENT_CALL,
    EVENT_WAKE,
    EVENT_CANCEL_CALL,
    EVENT_ARRIVE,
    EVENT_DONE,
    EVENT_REPLY,
    EVENT_ABANDON_END,
    EVENT_TICK
} sim_event_kind_t;

typedef struct {
    int64_t at_us;
    uint64_t order;
    sim_event_kind_t kind;
    void *item;
    reply_kind_t reply;
} sim_event_t;

typedef struct {
    tier_world_t *world;
    uint32_t number;
    const char *zone;
    engine_t *engine;
    uint32_t sends;
    uint32_t crossings; /* sends to other zones */
} daemon_t;

struct tier_world {
    tier_settings_t settings;
    daemon_t daemons[TIER_DAEMONS_MAX];
    upstream_state_t upstreams[TIER_UPSTREAMS_MAX];
    uint32_t upstream_count;
    sim_event_t *events; /* binary heap, earliest first */
    size_t event_count;
    size_t event_capacity;
    uint64_t order;
    int64_t now_us;
    uint64_t random;
    tier_call_t **calls;
    size_t call_count;
    job_t *jobs;
    uint32_t suspects;
    tier_answered_fn_t answered;
    void *answered_owner;
};

/* Next pseudo-random bits, drawn from the world's seed. */
uint64_t world_random_bits(tier_world_t *world);

/* Schedule an event; reply is used by EVENT_REPLY only. */
void world_schedule(tier_world_t *world, int64_t at_us, sim_event_kind_t kind,
                    void *item, reply_kind_t reply);

/* What happens to an attempt at its upstream: it arrives, its run ends, the
   daemon cancels it, its response arrives. */
void job_arrive(job_t *job);
void job_done(job_t *job);
void job_cancel(job_t *job);
void job_reply(job_t *job, reply_kind_t kind);

#endif
