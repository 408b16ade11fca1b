/*
 * Handles one daemon's requests from arrival to answer.
 *
 * The engine chooses the route and the upstreams, decides when to retry or
 * hedge, and when to answer and with what. It reads no clock and does no I/O:
 * the caller passes the time and every event, and the engine acts through a
 * table of functions (engine_ports_t). Tests can thus run it in virtual time.
 *
 * All times are microseconds of one monotonic clock (now_us, deadline_us) or
 * durations in microseconds (timeout_us, retry_after_us).
 *
 *     engine_t *engine = engine_new(&settings, &ports, ports_owner);
 *     engine_configure(engine, table, now_us);
 *     request_t *request = engine_begin(engine, &call, now_us);
 *     ... ports.send(attempt) is called; then
 *     engine_reply(engine, attempt, &reply, now_us);
 *     ... ports.answer(request, &answer) is called, and the request is freed.
 *     engine_wake(engine, request, now_us);    // at the time of ports.wake_at
 *     engine_cancel(engine, request, now_us);  // the caller disconnected
 *
 * ports.answer and ports.wake_at are not called for a request that has been
 * answered. Ports must not call back into the engine.
 */
#ifndef TIER_ENGINE_H
#define TIER_ENGINE_H

#include "core/hist.h"
#include "http/message.h"
#include "policy/fair_share.h"
#include "policy/reach.h"
#include "policy/route.h"
#include "policy/tenant.h"
#include "tier/registry.h"
#include "tier/tenant_check.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    ENGINE_ID_SIZE = 80,     /* bytes of a request id, with the final NUL */
    ENGINE_ATTEMPTS_MAX = 4, /* in flight at a time, for one shard */
    ENGINE_SENDS_MAX = 5     /* in total, for one shard of a request */
};

typedef struct engine engine_t;
typedef struct request request_t;
typedef struct attempt attempt_t;

/* A caller's request. The engine doesn't copy what the pointers refer to,
   except the id: it must stay valid until the request is answered or
   cancelled. The tenant has been found by tenant_check; its name and handle
   are those of engine_tenant_names. */
typedef struct {
    void *owner; /* passed to the ports as call_owner */
    const char *id;
    const char *host;
    const char *method;
    const char *target;
    const char *head; /* header lines to forward, each ended by CRLF */
    size_t head_size;
    const void *body;
    size_t body_size;
    int64_t timeout_us; /* how long the caller waits; 0: unknown */
    credential_t credential;
    const char *tenant;    /* name; NULL: none */
    tenant_id_t tenant_id; /* valid if tenant is not NULL */
} call_t;

/* How an attempt ended. */
typedef enum {
    REPLY_ANSWER,      /* a whole response, of any status */
    REPLY_NOT_RUN,     /* the upstream reports that the request did not run */
    REPLY_MISDIRECTED, /* another upstream has the address; not run */
    REPLY_NOT_SENT,    /* no connection: the request was not sent */
    REPLY_LOST,        /* connection cut or response invalid: may have run */
    REPLY_UNFINISHED,  /* abandoned, then cancelled after its grace time */
    REPLY_KINDS
} reply_kind_t;

/* What a response says about the rate of requests that the upstream accepts
   from all daemons together. */
typedef enum {
    RATE_UNKNOWN, /* nothing: there is no valid response */
    RATE_UNLIMITED,
    RATE_LIMITED
} rate_statement_t;

typedef struct {
    reply_kind_t kind;
    const http_message_t *message; /* REPLY_ANSWER; valid during the call */
    const char *signature;         /* of the response; NULL: it has none */
    int64_t rest_us; /* the upstream wants no requests for this; 0: none */
    bool leaving;    /* the upstream is shutting down */
    rate_statement_t rate;
    double rate_per_s;  /* RATE_LIMITED: the limit in requests a second */
    const char *detail; /* cause for the log; NULL: none */
} reply_t;

typedef enum {
    ANSWER_RELAYED, /* an upstream's response, unchanged */
    ANSWER_MERGED,  /* the merged records of several shards */
    ANSWER_LOCAL    /* an error that this daemon generated */
} answer_kind_t;

typedef struct {
    answer_kind_t kind;
    uint32_t status;
    const http_message_t *message; /* relayed */
    const char *signatures;        /* merged: of the shards, comma-separated */
    uint32_t missing_shards;       /* merged: shards not in the body */
    const void *body;              /* merged */
    size_t body_size;
    int64_t retry_after_us; /* local: Retry-After to send; 0: none */
    const char *reason;     /* local: reason code, one word */
    bool may_have_run;      /* local: an upstream may have run it */
    bool is_repeatable;     /* local: it has not run, or is idempotent */
} answer_t;

typedef struct {
    /* Send the attempt; false: it failed, and no upstream can have run the
       request. */
    bool (*send)(void *owner, attempt_t *attempt, int64_t now_us);
    /* The reply is not needed any more: wait for it until until_us, so that
       the connection can be reused, then cancel the attempt. engine_reply is
       called in either case. */
    void (*abandon)(void *owner, attempt_t *attempt, int64_t until_us);
    /* Cancel the attempt now; the engine frees it after the call. */
    void (*cancel)(void *owner, attempt_t *attempt);
    /* Answer the caller; answer is valid during the call. */
    void (*answer)(void *owner, void *call_owner, const answer_t *answer);
    /* Call engine_wake once at at_us; replaces any pending wake-up. */
    void (*wake_at)(void *owner, void *call_owner, int64_t at_us);
    /* Tell the other daemons that the request with this fingerprint may crash
       upstreams. May be NULL. */
    void (*suspect)(void *owner, uint64_t fingerprint);
} engine_ports_t;

typedef struct {
    char zone[INSTANCE_NAME_SIZE];
    double retry_ratio;      /* retries and hedges allowed per request */
    uint32_t retry_slack;    /* allowed on top of that, for the whole fleet */
    uint32_t requests_max;   /* open at a time */
    double link_bytes_per_s; /* of this VM; 0: unknown, no limit */
    int64_t zone_price_us;   /* of leaving the zone; 0: by the route */
    rollout_settings_t rollout; /* canary_share 0: versions are not looked
                                   at */
    uint64_t seed;              /* for random choices among equal upstreams */
    bool ignore_levels;         /* of tenants: for tests, to compare */
} engine_settings_t;

/* One send to one upstream. */
struct attempt {
    request_t *request;  /* NULL: abandoned */
    uint32_t subrequest; /* index in request->subrequests */
    pool_t *pool;
    instance_t *instance;
    int64_t sent_us;
    int64_t expected_us; /* typical time of the route's responses */
    /* When the subrequest was first sent to an upstream; 0: not before. */
    int64_t first_sent_us;
    int64_t deadline_us; /* latest time at which a response is of use */
    tenant_id_t tenant;  /* whose usage it counts to; TENANT_NONE: none */
    bool hedge;
    leave_reason_t leave_reason; /* why it left the zone */
    bool idempotent;
    uint64_t rollout_order;     /* it counts for this order; 0: for none */
    rollout_answer_t versioned; /* the answer to count, as far as known */
    bool cold;                  /* the upstream was cold */
    /* The upstream was failing requests before this attempt ended, so that its
       loss does not point to the request. */
    bool upstream_failing;
    void *link; /* for the sender's own use */
    /* The request to send; valid during ports.send only. */
    const call_t *call;
    char id[ENGINE_ID_SIZE];
    attempt_t *next; /* in the engine's list */
    attempt_t *prev;
};

/* Create an engine; settings and ports are copied. NULL: out of memory. */
engine_t *engine_new(const engine_settings_t *settings,
                     const engine_ports_t *ports, void *owner);

/* Free the engine. Open requests are cancelled without an answer. */
void engine_free(engine_t *engine);

/* The engine's own registry, valid as long as the engine. */
registry_t *engine_registry(engine_t *engine);

/* The rollout of a service, created if needed. NULL: rollouts are off, or out
   of memory. */
rollout_t *engine_rollout(engine_t *engine, pool_t *pool, int64_t now_us);

/* Look at the versions of the service's upstreams. */
void engine_refresh_rollout(engine_t *engine, pool_t *pool, int64_t now_us);

/* Whether this daemon reaches the upstreams; the owner runs its probes. */
reach_t *engine_reach(engine_t *engine);

/* The configuration in force, without a reference; NULL: none yet. */
const route_table_t *engine_table(const engine_t *engine);

/* The handles of all tenants that a configuration in force has named. */
tenant_names_t *engine_tenant_names(engine_t *engine);

/* Put a configuration in force; the engine takes its own reference. Open
   requests of which nothing has been sent are answered with 401 if it lacks
   their key or tenant. */
void engine_configure(engine_t *engine, route_table_t *table, int64_t now_us);

/* The configuration in force was read again at a revision of the store. */
void engine_confirm_table(engine_t *engine, uint64_t revision);

/* Set the number of daemons that share the upstreams and retry budgets. */
void engine_set_fleet_size(engine_t *engine, uint32_t fleet_size,
                           int64_t now_us);

/* Set the price of leaving the zone; see zone_price_us. */
void engine_set_zone_price(engine_t *engine, int64_t price_us);

/* Set the daemons that divide the rate limits of upstreams, among them this
   one with the id `self`. The ids are copied. */
void engine_set_sharers(engine_t *engine, uint64_t self, const uint64_t *ids,
                        uint32_t count, int64_t now_us);

/* Start a request; ports.answer or engine_cancel ends it. NULL: the request
   was refused, and ports.answer has been called within the call. */
request_t *engine_begin(engine_t *engine, const call_t *call, int64_t now_us);

/* Report how an attempt ended; the engine frees the attempt. */
void engine_reply(engine_t *engine, attempt_t *attempt, const reply_t *reply,
                  int64_t now_us);

/* Run what is due for the request; see ports.wake_at. */
void engine_wake(engine_t *engine, request_t *request, int64_t now_us);

/* The caller disconnected: cancel all attempts and free the request without an
   answer. */
void engine_cancel(engine_t *engine, request_t *request, int64_t now_us);

/* Hash of host, method, target and body, which identifies equal requests. */
uint64_t call_fingerprint(const call_t *call);

/* Count a suspected crash, reported by another daemon, that the request with
   this fingerprint caused. */
void engine_suspect(engine_t *engine, uint64_t fingerprint, int64_t now_us);

/* Receives the latency histogram of a route's successful answers. */
typedef void (*engine_route_fn_t)(void *owner, const char *route,
                                  const hist_t *latency);
void engine_each_route(const engine_t *engine, engine_route_fn_t each,
                       void *owner);

/* The request's timeout: the caller's, the route's, or the time until the
   daemon stops (engine_stop_at), whichever is shortest. */
int64_t engine_timeout_us(const engine_t *engine, const call_t *call,
                          int64_t now_us);

/* Whether the request may run more than once; false if no route is known. */
bool engine_is_idempotent(const engine_t *engine, const call_t *call);

/* Fail the open requests that may be repeated and have too few parts for an
   answer: no upstream is reached, and another daemon can serve them. */
void engine_give_up_unreached(engine_t *engine, int64_t now_us);

/* The daemon stops at that time: a new request that is not expected to be
   answered by then is refused, so that another daemon can serve it. */
void engine_stop_at(engine_t *engine, int64_t at_us);

/* Fail every open request with its final answer, as the daemon stops. */
void engine_fail_all(engine_t *engine, int64_t now_us);

/* Start queued work where new upstreams or raised limits gave capacity. */
void engine_dispatch_queued(engine_t *engine, int64_t now_us);

/* Number of open requests. */
uint32_t engine_request_count(const engine_t *engine);

/* Usage, levels and counts of tenants. */
const fair_share_t *engine_shares(const engine_t *engine);

/* Requests sent to upstreams that stated a limit on the rate of requests. */
uint64_t engine_limited_sends(const engine_t *engine);

/* Requests sent to upstreams, and the bytes of the bodies of their responses,
   by the reason for which they left the zone; LEAVE_NOT: within the zone. */
typedef struct {
    uint64_t sends[LEAVE_REASONS];
    uint64_t bytes[LEAVE_REASONS];
} zone_traffic_t;
const zone_traffic_t *engine_zone_traffic(const engine_t *engine);

#endif
