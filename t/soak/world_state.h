/* What the files of the soak's world share; nobody else includes it. */
#ifndef T_SOAK_WORLD_STATE_H
#define T_SOAK_WORLD_STATE_H

#include "http/conn.h"
#include "http/message.h"
#include "http/server.h"
#include "t/lib/tier_store.h"
#include "t/soak/fleet.h"
#include "t/soak/ledger.h"
#include "t/soak/proxy.h"
#include "t/soak/world.h"

enum {
    DAEMONS_SMALL = 4,
    DAEMONS_MAX = 20, /* some of them stand by */
    SERVICES = 5,     /* s0 to s2 are shards, s3 runs once, s4 is moved to */
    SHARDS = 3,
    MOVED_TO = 4,
    UPSTREAMS_EACH = 2,
    UPSTREAMS = SERVICES * UPSTREAMS_EACH,
    CALLERS_MAX = 600,
    PART_BYTES = 32, /* two records */
    RECORD = 16,
    /* The platform's bounds, microseconds. */
    STABLE_US = 4000000,
    DRAIN_US = 3000000,
    CONVERGE_US = 3000000,
    EVACUATE_US = 5000000,
    LOSS_SLACK_US = 200000,
    HELD_US = 500000,
    DEADLINE_US = 1200000,
    GRACE_S = 3
};

typedef struct world world_t;

typedef struct {
    world_t *world;
    uint32_t number;
    uint32_t service;
    char id[16];
    const char *zone;
    struct sockaddr_in address; /* its own; callers of it use the proxy's */
    struct sockaddr_in listed;
    http_server_t *server;
    proxy_t *proxy;
    int64_t harmed_us;   /* last moment of harm to its links */
    int64_t draining_us; /* it said so then; 0: it does not leave */
    int64_t work_us;
} upstream_t;

typedef struct {
    char name[24];
    daemon_settings_t settings;
    process_t process;
    proxy_t *store_proxy;
    /* Last moments of a fault at its process, and at its way to the store or
       at the store. */
    int64_t harmed_us;
    int64_t store_harmed_us;
    int64_t term_us; /* 0: it was not asked to end */
    bool stopped;
    bool restarts; /* when it has ended */
} daemon_t;

/* One connection of a caller, with a request on it or idle. */
typedef struct {
    world_t *world;
    conn_t conn;
    http_reader_t reader;
    uint32_t daemon;
    uint32_t request; /* number in the ledger; 0: idle */
    bool open;
} caller_t;

struct world {
    struct ev_loop *loop;
    uint64_t random;
    int64_t start_us;
    int64_t run_us; /* for so long requests are sent */
    ledger_t *ledger;
    tier_store_t *store;
    upstream_t upstreams[UPSTREAMS];
    daemon_t daemons[DAEMONS_MAX];
    uint32_t daemon_count;
    caller_t callers[CALLERS_MAX];
    uint32_t version;
    int64_t version_us; /* when it was confirmed */
    uint32_t one_goes_to;
    int64_t evacuated_us; /* zone a, 0: open */
    int64_t store_harmed_us;
};

/* A number below a bound. */
uint32_t world_random(world_t *world, uint32_t below);

/* world_upstreams.c */
void upstream_start(upstream_t *upstream);
void upstream_list(const upstream_t *upstream);
/* The bytes of a shard's part of an answer. */
void upstream_part(uint32_t service, uint32_t request, uint8_t *part);

/* world_callers.c */
void callers_send(world_t *world, int64_t now_us);
void callers_check(world_t *world, int64_t now_us);

/* world_faults.c; when the last fault has ended, from the start. */
int64_t faults_plan(world_t *world);
void faults_tick(world_t *world, int64_t now_us);
void world_put_config(world_t *world, int64_t now_us);

#endif
