/*
 * One daemon's requests from arrival to answer.
 *
 * The engine decides: which route, which upstream, when to send again, when
 * to answer and with what. It is given the time and told of every event, and
 * acts through a table of functions, so that it runs in virtual time as well
 * as on sockets.
 *
 *     engine_t *engine = engine_new(&settings, &ports, ports_owner);
 *     engine_configure(engine, table, now_us);
 *     request_t *request = engine_begin(engine, &call, now_us);
 *     ... ports.send(attempt) is called; then
 *     engine_reply(engine, attempt, &reply, now_us);
 *     ... ports.answer(request, &answer) is called, and the request is gone.
 *     engine_wake(engine, request, now_us);   // when ports.wake_at asked
 *     engine_cancel(engine, request, now_us);  // the caller went away
 *
 * No port is called for a request after its answer, and ports never call back
 * into the engine from within a call.
 */
#ifndef TIER_ENGINE_H
#define TIER_ENGINE_H

#include "core/hist.h"
#include "http/message.h"
#include "tier/registry.h"
#include "tier/route.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    ENGINE_ID_SIZE = 80,     /* of a request id, with its end */
    ENGINE_ATTEMPTS_MAX = 4, /* of one shard, at a time */
    ENGINE_SENDS_MAX = 5     /* of one shard, in all */
};

typedef struct engine engine_t;
typedef struct request request_t;
typedef struct attempt attempt_t;

/* What a caller asks. The texts stay the caller's until the answer. */
typedef struct {
    void *owner; /* handed back with each port call */
    const char *id;
    const char *host;
    const char *method;
    const char *target;
    const char *head; /* header lines to pass on, each with its line end */
    size_t head_size;
    const void *body;
    size_t body_size;
    int64_t timeout_us; /* how long the caller waits; 0: not said */
} call_t;

/* How an attempt ended. */
typedef enum {
    REPLY_ANSWER,      /* a whole response, of any status */
    REPLY_NOT_RUN,     /* the upstream says it did not run it */
    REPLY_MISDIRECTED, /* another upstream has the address; it did not run */
    REPLY_NOT_SENT,    /* no connection: nothing of it left */
    REPLY_LOST,       /* sent, and cut or garbled or silent: it may have run */
    REPLY_UNFINISHED, /* abandoned, and cut off when its time was over */
    REPLY_KINDS
} reply_kind_t;

typedef struct {
    reply_kind_t kind;
    const http_message_t *message; /* of an answer; valid during the call */
    const char *signature;         /* of an answer; NULL: it bears none */
    int64_t retry_after_us;        /* of one that did not run; 0: not said */
    const char *detail;            /* for the log; NULL: none */
} reply_t;

typedef enum {
    ANSWER_RELAYED, /* an upstream's response, unchanged */
    ANSWER_MERGED,  /* the records of several parts */
    ANSWER_LOCAL    /* this daemon's word */
} answer_kind_t;

typedef struct {
    answer_kind_t kind;
    uint32_t status;
    const http_message_t *message; /* relayed */
    const char *signatures;        /* merged: of the parts, by commas */
    uint32_t missing_shards;       /* merged: shards that are not in */
    const void *body;              /* merged */
    size_t body_size;
    int64_t retry_after_us; /* own: when to come back; 0: not said */
    const char *reason;     /* own: one word for it */
} answer_t;

typedef struct {
    /* Send the attempt; false: it cannot be, nothing of it left. */
    bool (*send)(void *owner, attempt_t *attempt, int64_t now_us);
    /* Its answer is not needed: take it until then, cut it off after. */
    void (*abandon)(void *owner, attempt_t *attempt, int64_t until_us);
    /* Cut it off now; the attempt is gone after the call. */
    void (*cancel)(void *owner, attempt_t *attempt);
    void (*answer)(void *owner, void *call_owner, const answer_t *answer);
    /* Call engine_wake then, once; a later call replaces an earlier one. */
    void (*wake_at)(void *owner, void *call_owner, int64_t at_us);
    /* The request of that fingerprint may crash upstreams: tell the others. */
    void (*suspect)(void *owner, uint64_t fingerprint);
} engine_ports_t;

typedef struct {
    char zone[INSTANCE_NAME_SIZE];
    double retry_ratio;    /* sends beyond the first, of requests */
    uint32_t retry_slack;  /* and in any case, of the whole fleet */
    uint32_t requests_max; /* at a time */
    uint64_t seed;         /* of choices among equals */
} engine_settings_t;

/* One send to one upstream. */
struct attempt {
    request_t *request; /* NULL: its answer is not needed any more */
    uint32_t subrequest;
    pool_t *pool;
    instance_t *instance;
    int64_t sent_us;
    int64_t expected_us;
    int64_t deadline_us; /* when the caller's or the route's time is over */
    bool hedge;
    bool idempotent;
    void *link; /* the sender's */
    /* What to send, valid during ports.send only. */
    const call_t *call;
    char id[ENGINE_ID_SIZE];
    attempt_t *next; /* in the engine's list */
    attempt_t *prev;
};

/* NULL: no memory. */
engine_t *engine_new(const engine_settings_t *settings,
                     const engine_ports_t *ports, void *owner);
void engine_free(engine_t *engine);

registry_t *engine_registry(engine_t *engine);
const route_table_t *engine_table(const engine_t *engine);

/* Put a newer configuration in force; the engine holds it from then on. */
void engine_configure(engine_t *engine, route_table_t *table, int64_t now_us);

/* How many daemons share the upstreams and the budgets. */
void engine_set_fleet_size(engine_t *engine, uint32_t fleet_size,
                           int64_t now_us);

/* NULL: it was answered already, from within the call. */
request_t *engine_begin(engine_t *engine, const call_t *call, int64_t now_us);

void engine_reply(engine_t *engine, attempt_t *attempt, const reply_t *reply,
                  int64_t now_us);
void engine_wake(engine_t *engine, request_t *request, int64_t now_us);

/* The caller went away: work for it stops and nothing is answered. */
void engine_cancel(engine_t *engine, request_t *request, int64_t now_us);

/* What tells a request from others: host, method, target and body. */
uint64_t call_fingerprint(const call_t *call);

/* Another daemon suspects the request of that fingerprint. */
void engine_suspect(engine_t *engine, uint64_t fingerprint, int64_t now_us);

/* Latencies of a route's answers. */
typedef void (*engine_route_fn_t)(void *owner, const char *route,
                                  const hist_t *latency);
void engine_each_route(const engine_t *engine, engine_route_fn_t each,
                       void *owner);

/* The daemon ends: every request gets its final answer now. */
void engine_fail_all(engine_t *engine, int64_t now_us);

/* Room may have appeared: new upstreams, or bounds that were raised. */
void engine_dispatch_queued(engine_t *engine, int64_t now_us);

uint32_t engine_request_count(const engine_t *engine);

#endif
