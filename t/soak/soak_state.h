/* What the files of the soak's world share; nobody else includes it. */
#ifndef T_SOAK_SOAK_STATE_H
#define T_SOAK_SOAK_STATE_H

#include "http/conn.h"
#include "http/message.h"
#include "http/server.h"
#include "t/lib/tier_store.h"
#include "t/soak/process.h"
#include "t/soak/proxy.h"
#include "t/soak/request_log.h"
#include "t/soak/soak.h"

enum {
    DAEMONS_SMALL = 4,
    DAEMONS_MAX = 20, /* some of them stand by */
    SERVICES = 5,     /* s0 to s2 are shards, s3 runs once, s4 is moved to */
    SHARDS = 3,
    ALTERNATE_SERVICE = 4,
    UPSTREAMS_PER_SERVICE = 2,
    UPSTREAMS = SERVICES * UPSTREAMS_PER_SERVICE,
    CALLERS_MAX = 600,
    PART_BYTES = 32, /* two records */
    RECORD_BYTES = 16,
    /* The platform's bounds, microseconds. */
    STABLE_US = 4000000,
    DRAIN_US = 3000000,
    CONVERGE_US = 3000000,
    EVACUATE_US = 5000000,
    LOSS_SLACK_US = 200000,
    ANSWER_SLACK_US = 500000,
    DEADLINE_US = 1200000,
    GRACE_S = 3
};

typedef struct soak soak_t;

typedef struct {
    soak_t *soak;
    uint32_t number;
    uint32_t service;
    char id[16];
    const char *zone;
    struct sockaddr_in
        server_address; /* its own; callers of it use the proxy's */
    struct sockaddr_in proxy_address;
    http_server_t *server;
    proxy_t *proxy;
    int64_t last_fault_us;     /* last moment of harm to its links */
    int64_t draining_since_us; /* it said so then; 0: it does not leave */
    int64_t processing_us;
} upstream_t;

typedef struct {
    char name[24];
    daemon_settings_t settings;
    process_t process;
    proxy_t *store_proxy;
    /* Last moments of a fault at its process, and at its way to the store or
       at the store. */
    int64_t last_fault_us;
    int64_t last_store_fault_us;
    int64_t sigterm_us; /* 0: it was not asked to end */
    bool stopped;
    bool exit_expected; /* when it has ended */
} daemon_t;

/* One connection of a caller, with a request on it or idle. */
typedef struct {
    soak_t *soak;
    conn_t conn;
    http_reader_t reader;
    uint32_t daemon;
    uint32_t request; /* number in the ledger; 0: idle */
    bool open;
} caller_t;

struct soak {
    struct ev_loop *loop;
    uint64_t random_state;
    int64_t start_us;
    int64_t send_span_us; /* for so long requests are sent */
    request_log_t *request_log;
    tier_store_t *store;
    upstream_t upstreams[UPSTREAMS];
    daemon_t daemons[DAEMONS_MAX];
    uint32_t daemon_count;
    caller_t callers[CALLERS_MAX];
    uint32_t version;
    int64_t config_put_us; /* when it was confirmed */
    uint32_t idempotent_service;
    int64_t evacuated_since_us; /* zone a, 0: open */
    int64_t last_store_fault_us;
};

/* A number below a bound. */
uint32_t soak_random(soak_t *soak, uint32_t below);

/* soak_upstreams.c */
void upstream_start(upstream_t *upstream);
void upstream_register(const upstream_t *upstream);
/* The bytes of a shard's part of an answer. */
void upstream_fill_part(uint32_t service, uint32_t request, uint8_t *part);

/* soak_callers.c */
void callers_send(soak_t *soak, int64_t now_us);
void callers_expire(soak_t *soak, int64_t now_us);

/* soak_faults.c; when the last fault has ended, from the start. */
int64_t faults_plan(soak_t *soak);
void faults_tick(soak_t *soak, int64_t now_us);
void soak_put_config(soak_t *soak, int64_t now_us);

#endif
