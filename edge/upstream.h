/*
 * Client of the upstreams: a table of functions, and its HTTP implementation.
 *
 * An upstream_client_t must only be used by one thread, except for wake. A
 * call sends one or more parts to one upstream. Each part gets exactly one
 * result, which send or run passes to the result callback.
 *
 *     upstream_client_t *client = upstream_http_ops.new(&callbacks, &err);
 *     upstream_http_ops.send(client, &target, requests, count, now);
 *     upstream_http_ops.wait(client, timeout_ms);
 *     upstream_http_ops.run(client);
 *     upstream_http_ops.free(client);
 *
 * Any thread may call wake, which makes wait return.
 */
#ifndef EDGE_UPSTREAM_H
#define EDGE_UPSTREAM_H

#include "core/gate.h"
#include "core/topology.h"

enum { UPSTREAM_CALL_PARTS_MAX = 16 };

typedef struct {
    void *context;
    /* Called once per part; reply is for its coordinator, result for the
       gate. */
    void (*result)(void *context, const part_reply_t *reply,
                   const gate_result_t *result);
    /*
     * Called if a reply contains a newer partition. The shards are valid
     * during the call.
     */
    void (*partition)(void *context, const partition_t *partition);
    /*
     * Called with the reply of a health endpoint, which lags behind and may be
     * wrong.
     */
    void (*health)(void *context, const char *upstream, bool cold,
                   bool draining);
} upstream_callbacks_t;

typedef struct upstream_client upstream_client_t;

/* Totals of one client since its creation. */
typedef struct {
    uint64_t calls;
    uint64_t parts;
    uint64_t connects;       /* new connections */
    uint64_t bytes_sent;     /* request bodies */
    uint64_t bytes_received; /* response bodies */
    uint64_t bad_replies;    /* responses invalid as a whole */
} upstream_totals_t;

typedef struct {
    upstream_client_t *(*new)(const upstream_callbacks_t *callbacks,
                              error_t *err);
    void (*free)(upstream_client_t *client);
    /*
     * Sends 1 to UPSTREAM_CALL_PARTS_MAX parts, all for the same upstream, in
     * one call. Copies the requests and their bodies.
     */
    void (*send)(upstream_client_t *client, const upstream_info_t *target,
                 const part_request_t *requests, size_t count, int64_t now_us);
    /* Asks the upstream to stop a part, which still gets its result. */
    void (*cancel)(upstream_client_t *client, const upstream_info_t *target,
                   attempt_id_t id);
    /*
     * Requests the health endpoint; a valid reply is passed to the health
     * callback. NULL if upstreams have no health endpoint.
     */
    void (*check_health)(upstream_client_t *client,
                         const upstream_info_t *target);
    /* Waits up to timeout_ms for input or wake; calls no callback. */
    void (*wait)(upstream_client_t *client, int timeout_ms);
    /* Does pending I/O and calls the callbacks of ended calls; never waits. */
    void (*run)(upstream_client_t *client);
    void (*wake)(upstream_client_t *client);
    upstream_totals_t (*totals)(const upstream_client_t *client);
} upstream_ops_t;

/* HTTP as in docs/PROTOCOL.md, with libcurl and kept-alive connections. */
extern const upstream_ops_t upstream_http_ops;

#endif
