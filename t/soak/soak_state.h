/* Internal state of the fault soak, shared by the files of t/soak only. */
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
    DAEMONS_MAX = 20, /* enough that some are standby */
    /* s0 to s2 are the shards, s3 gets the non-idempotent requests, and
       idempotent requests move between s0 and s4. */
    SERVICES = 5,
    SHARDS = 3, /* also the index of s3 */
    ALTERNATE_SERVICE = 4,
    UPSTREAMS_PER_SERVICE = 2,
    UPSTREAMS = SERVICES * UPSTREAMS_PER_SERVICE,
    CALLERS_MAX = 600,
    PART_BYTES = 32, /* two records */
    RECORD_BYTES = 16,
    /* Bounds of the platform. */
    STABLE_US = 4000000,    /* time without a fault before they apply */
    DRAIN_US = 3000000,     /* from a reported drain to the last request */
    CONVERGE_US = 3000000,  /* from a new configuration to its use */
    EVACUATE_US = 5000000,  /* from an evacuation to the last request */
    REST_US = 1500000,      /* Retry-After of a resting upstream */
    REST_SLACK_US = 500000, /* from its response to the rest */
    REST_ARRIVALS_MAX = 2,  /* within the rest, from one daemon */
    LIMIT_PER_S = 6,        /* that a limited upstream names */
    LIMIT_TOLD_US = 500000, /* from its response until the daemon counts */
    LIMIT_WINDOW_US = 4000000,
    LIMIT_ARRIVALS_MAX = 6 * LIMIT_PER_S + 5, /* within the window: 1.5 times
                                                 the limit, and 5 */
    LOSS_SLACK_US = 200000, /* maximum age of a request lost unread by exit */
    ANSWER_SLACK_US = 500000, /* from the deadline to the response */
    DEADLINE_US = 1200000,    /* of each request */
    GRACE_S = 3               /* seconds from SIGTERM to SIGKILL */
};

typedef struct soak soak_t;

/* What an upstream has told one daemon. */
typedef struct {
    int64_t leaving_us;     /* first response as a leaving one; 0: none */
    int64_t rest_us;        /* last 503 with Retry-After; 0: none */
    uint32_t rest_arrivals; /* requests since then */
    int64_t limit_us;       /* first response with a limit; 0: none */
} upstream_notice_t;

typedef struct {
    soak_t *soak;
    uint32_t number;
    uint32_t service;
    char id[16];
    const char *zone;
    struct sockaddr_in server_address;
    struct sockaddr_in proxy_address; /* registered in the store */
    http_server_t *server;
    proxy_t *proxy;
    int64_t last_fault_us;     /* last time its proxy disrupted connections */
    int64_t draining_since_us; /* 0: not draining */
    int64_t started_ms;        /* identifies its incarnation */
    bool leaving;              /* says so in its responses */
    bool resting;              /* answers 503 with Retry-After */
    int64_t limited_since_us;  /* names a limit since then; 0: it does not */
    /* Arrivals that count against the limit; the slot is the number modulo
       the size. */
    int64_t limit_arrivals[LIMIT_ARRIVALS_MAX + 1];
    uint32_t limit_arrival_count;
    upstream_notice_t notices[DAEMONS_MAX];
    int64_t processing_us; /* from a request to its response */
} upstream_t;

typedef struct {
    char name[24];
    daemon_settings_t settings;
    process_t process;
    proxy_t *store_proxy;
    /* Last time of a start or fault of its process, and of a fault of the
       store or of its connection to the store. */
    int64_t last_fault_us;
    int64_t last_store_fault_us;
    int64_t sigterm_us; /* when SIGTERM was sent; 0: not sent */
    bool stopped;       /* by SIGSTOP */
    bool exit_expected; /* else an exit is a violation */
} daemon_t;

/* One connection of a caller, idle or with one pending request. */
typedef struct {
    soak_t *soak;
    conn_t conn;
    http_reader_t reader;
    uint32_t daemon;
    uint32_t request; /* number in the request log; 0: idle */
    bool open;
} caller_t;

struct soak {
    struct ev_loop *loop;
    uint64_t random_state;
    int64_t start_us;
    int64_t send_span_us; /* requests are sent up to then, from the start */
    request_log_t *request_log;
    tier_store_t *store;
    upstream_t upstreams[UPSTREAMS];
    daemon_t daemons[DAEMONS_MAX];
    uint32_t daemon_count;
    caller_t callers[CALLERS_MAX];
    uint32_t version;      /* of the configuration */
    int64_t config_put_us; /* when that version was written to the store */
    uint32_t idempotent_service;
    int64_t remove_key_at_us;    /* when a key is taken away */
    int64_t key_removed_us;      /* when it was; 0: not yet */
    int64_t evacuated_since_us;  /* zone a; 0: not evacuated */
    int64_t last_store_fault_us; /* 0: none yet */
    int64_t backed_up_us;        /* time of the store's last backup */
    int64_t restored_us;         /* when the store went back to it; 0: never */
    uint32_t rewritten;          /* entries written again since then */
};

/* A pseudo-random number from 0 to below - 1, determined by the seed. */
uint32_t soak_random(soak_t *soak, uint32_t below);

/* soak_upstreams.c */
void upstream_start(upstream_t *upstream);
/* Write the upstream's entry, with its drain state, to the store. */
void upstream_register(const upstream_t *upstream);
/* Write the PART_BYTES of a service's response to a request. */
void upstream_fill_part(uint32_t service, uint32_t request, uint8_t *part);

/* soak_callers.c */
/* Send one random request to a random daemon. */
void callers_send(soak_t *soak, int64_t now_us);
/*
 * Give up requests without a response ANSWER_SLACK_US after their deadline.
 * That is a violation unless the daemon had a fault later than ANSWER_SLACK_US
 * before the request.
 */
void callers_expire(soak_t *soak, int64_t now_us);

/* soak_faults.c */
/*
 * Choose and print the faults. Returns when the last one ends, in microseconds
 * from the start.
 */
int64_t faults_plan(soak_t *soak);
/* Begin and end the faults that are due, and restart exited daemons. */
void faults_tick(soak_t *soak, int64_t now_us);

/* soak_keys.c */
/* Write the member tenants of the configuration, with a comma before it. */
void keys_format_tenants(const soak_t *soak, char *text, size_t size);
/* Write the header lines with the key of a request. */
void keys_format_headers(uint32_t request, char *text, size_t size);
/* Whether the request's key is unknown, or removed during the run. */
bool keys_may_refuse(uint32_t request);
/* Take the key away when it is due. */
void keys_tick(soak_t *soak, int64_t now_us);
/* Check what an upstream received; undisturbed: the daemon had no fault. */
void keys_check_arrival(soak_t *soak, const char *id,
                        const http_message_t *message, bool undisturbed);
/* Check the status that a caller received. */
void keys_check_result(soak_t *soak, uint32_t request, uint32_t status);

/* soak.c: write the next version of the configuration to the store, or the
   current one again. */
void soak_put_config(soak_t *soak, int64_t now_us);
void soak_rewrite_config(soak_t *soak);

#endif
