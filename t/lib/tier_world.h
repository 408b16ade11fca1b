/*
 * Daemons' engines, upstreams and callers in virtual time.
 *
 * Upstreams have slots and a queue, run requests in the order they came, and
 * can be slow, paused, silent, refuse, or lose answers. Every event is
 * handed to the engines through their ports and calls only.
 *
 *     tier_world_t *world = tier_world_new(&settings);
 *     tier_world_configure(world, table);
 *     uint32_t up = tier_world_upstream(world, &(tier_upstream_t){...});
 *     tier_call_t *call = tier_world_call(world, at_us, daemon, path, work);
 *     tier_world_run(world, until_us);
 *     ... call->status ...
 *     tier_world_free(world);
 */
#ifndef T_LIB_TIER_WORLD_H
#define T_LIB_TIER_WORLD_H

#include "tier/engine.h"
#include "tier/route.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    TIER_DAEMONS_MAX = 8,
    TIER_UPSTREAMS_MAX = 64,
    TIER_HOP_US = 500 /* one way between a daemon and an upstream */
};

typedef struct {
    uint32_t daemons;
    engine_settings_t engine;
    uint64_t seed;
} tier_settings_t;

typedef struct {
    const char *id;
    const char *service;
    const char *zone;
    uint32_t slots;
    uint32_t queue_max;   /* waits at the upstream; more is refused */
    double slowdown;      /* work takes as many times as long; 0: 1 */
    bool silent;          /* takes requests and says nothing */
    bool unreachable;     /* no connection */
    double refuse_share;  /* of requests, refused without running */
    double lose_share;    /* of requests, run and their answer lost */
    uint32_t fail_status; /* its own answer to all, with a signature; 0: 200 */
    bool misdirected;     /* another upstream has the address */
    int64_t pause_every_us;
    int64_t pause_us; /* at the end of each pause_every_us */
    int64_t since_us; /* behaves as told only from then on */
    int64_t until_us; /* and until then; 0: for ever */
} tier_upstream_t;

/* What became of a call. */
typedef struct {
    char id[ENGINE_ID_SIZE];
    const char *path;
    uint32_t daemon;
    int64_t at_us;
    int64_t work_us;
    int64_t timeout_us;
    const char *method;
    request_t *request;
    int64_t wake_us; /* 0: none */
    bool done;
    bool cancelled;
    int64_t done_us;
    uint32_t status;
    answer_kind_t kind;
    uint32_t missing;
    int64_t retry_after_us;
    const char *reason;
    uint32_t arrivals; /* at upstreams */
    uint32_t runs;     /* begun by upstreams */
    uint32_t distinct; /* upstreams that began it, of one shard at most */
    int64_t last_arrival_us;
} tier_call_t;

typedef struct tier_world tier_world_t;

tier_world_t *tier_world_new(const tier_settings_t *settings);
void tier_world_free(tier_world_t *world);

/* Put a table in force at every daemon. */
void tier_world_configure(tier_world_t *world, route_table_t *table);

/* Add an upstream and list it at every daemon; its number. */
uint32_t tier_world_upstream(tier_world_t *world, const tier_upstream_t *up);

/* Change how it behaves. */
tier_upstream_t *tier_world_upstream_at(tier_world_t *world, uint32_t number);

/* The upstream reports its drain, or is listed no more, everywhere. */
void tier_world_drain(tier_world_t *world, uint32_t number);

engine_t *tier_world_engine(tier_world_t *world, uint32_t daemon);
int64_t tier_world_now_us(const tier_world_t *world);

/* A call that will be made then; the world keeps it. */
tier_call_t *tier_world_call(tier_world_t *world, int64_t at_us,
                             uint32_t daemon, const char *path,
                             int64_t work_us, int64_t timeout_us);

/* The caller leaves then, unless it has been answered. */
void tier_world_cancel(tier_world_t *world, tier_call_t *call, int64_t at_us);

void tier_world_run(tier_world_t *world, int64_t until_us);

/* Requests an upstream has seen, and has begun. */
uint32_t tier_world_arrivals(const tier_world_t *world, uint32_t number);
uint32_t tier_world_runs(const tier_world_t *world, uint32_t number);

/* As the engine takes the call. */
uint64_t tier_world_fingerprint(const tier_call_t *call);

/* A number from 0 to 1, of the world's seed. */
double tier_world_random(tier_world_t *world);

/* A table with one route over `shards` services s0, s1, ... at /all/, one to
   the service s0 at /one/, and one of s0 that must not repeat at /once/. */
route_table_t *tier_world_table(uint64_t version, uint32_t shards,
                                int64_t goal_us, double least_share);

#endif
