/*
 * Towards upstreams: a table of function pointers, and the HTTP adapter.
 *
 * An upstream_client_t belongs to one thread. Parts are sent in calls of one
 * or more parts bound for one upstream; each part gets exactly one result, by
 * the callback, from within send or run of the same thread.
 *
 *     upstream_client_t *client = upstream_http_ops.new(&callbacks, &err);
 *     upstream_http_ops.send(client, &target, requests, count, now);
 *     upstream_http_ops.wait(client, timeout_ms);
 *     upstream_http_ops.run(client);
 *     upstream_http_ops.free(client);
 *
 * wake may be called from any thread and ends a wait early.
 */
#ifndef EDGE_UPSTREAM_H
#define EDGE_UPSTREAM_H

#include "core/gate.h"
#include "core/topology.h"

enum { UPSTREAM_CALL_PARTS_MAX = 16 };

typedef struct {
    void *context;
    /* The end of one part, as a reply for its coordinator and a result. */
    void (*result)(void *context, const part_reply_t *reply,
                   const gate_result_t *result);
    /* A reply of the upstream told a newer partition; shards are lent. */
    void (*partition)(void *context, const partition_t *partition);
    /* What the health endpoint says, which lags and may mislead. */
    void (*health)(void *context, const char *upstream, bool cold,
                   bool draining);
} upstream_callbacks_t;

typedef struct upstream_client upstream_client_t;

/* Totals since the start, of one client. */
typedef struct {
    uint64_t calls;
    uint64_t parts;
    uint64_t connects; /* new connections */
    uint64_t bytes_sent;
    uint64_t bytes_received;
    uint64_t bad_replies;
} upstream_totals_t;

typedef struct {
    upstream_client_t *(*new)(const upstream_callbacks_t *callbacks,
                              error_t *err);
    void (*free)(upstream_client_t *client);
    /* requests and their bodies are copied; all have one upstream. */
    void (*send)(upstream_client_t *client, const upstream_info_t *target,
                 const part_request_t *requests, size_t count, int64_t now_us);
    /* Ask the upstream to stop working on a part; its result still comes. */
    void (*cancel)(upstream_client_t *client, const upstream_info_t *target,
                   attempt_id_t id);
    /*
     * Ask the health endpoint; an answer comes by the callback, if any. NULL
     * where upstreams have none.
     */
    void (*check_health)(upstream_client_t *client,
                         const upstream_info_t *target);
    /* Wait up to timeout_ms for input or wake; nothing is delivered. */
    void (*wait)(upstream_client_t *client, int timeout_ms);
    /* Take what has arrived and deliver what has ended; never waits. */
    void (*run)(upstream_client_t *client);
    void (*wake)(upstream_client_t *client);
    upstream_totals_t (*totals)(const upstream_client_t *client);
} upstream_ops_t;

/* HTTP as in docs/PROTOCOL.md, by libcurl with connections kept open. */
extern const upstream_ops_t upstream_http_ops;

#endif
