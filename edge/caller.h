/*
 * HTTP API for callers: queries, tickets, entry addresses, explanations,
 * health, readiness, metrics and status.
 *
 * Adds endpoints to a ulfius instance. Each endpoint calls one function of
 * caller_ops_t, in the thread of the caller's connection. Requests are
 * validated first, so that the daemon only gets values within their limits.
 */
#ifndef EDGE_CALLER_H
#define EDGE_CALLER_H

#include "core/query.h"

#include <jansson.h>

struct _u_instance;

/* A valid query. body need not end with a NUL; it is valid during the call. */
typedef struct {
    char service[NAME_SIZE];
    char tenant[NAME_SIZE];
    key_range_t range;
    uint32_t deadline_ms; /* 0: the deadline of the service's row */
    bool once;            /* run at most once; needs a ticket or an id */
    char ticket[QUERY_TICKET_MAX]; /* empty: none */
    char id[QUERY_ID_MAX + 1];     /* empty: none */
    const char *body;
    size_t body_size;
} caller_query_t;

/*
 * Functions that the daemon provides. A json_t that they return is the
 * response body, which the API releases; for NULL it sends an empty response
 * with status 503. *status is the HTTP status, preset to 200.
 */
typedef struct {
    void *context;
    /* Blocks until the query has ended. */
    json_t *(*query)(void *context, const caller_query_t *query,
                     unsigned *status);
    /* query: the id in the path. */
    json_t *(*cancel)(void *context, const char *query, unsigned *status);
    json_t *(*ticket)(void *context, unsigned *status);
    /* zone: the caller's zone in the URL; "": none. */
    json_t *(*entries)(void *context, const char *zone, unsigned *status);
    json_t *(*explain)(void *context, const char *query, unsigned *status);
    json_t *(*status)(void *context, unsigned *status);
    bool (*ready)(void *context);
    /*
     * Returns the metrics in the Prometheus text format, which the API frees;
     * NULL: out of memory.
     */
    char *(*metrics)(void *context);
} caller_ops_t;

typedef struct {
    caller_ops_t ops;
    size_t body_max_bytes;       /* limit on a request's body */
    size_t query_body_max_bytes; /* limit on a query's payload */
} caller_api_t;

/*
 * Adds the endpoints to the instance; api must outlive it. Returns
 * STATUS_INTERNAL if ulfius does not accept an endpoint.
 */
status_t caller_api_register(caller_api_t *api, struct _u_instance *instance,
                             error_t *err);

/*
 * Parses and validates the JSON body of POST /v1/query. query->body points
 * into root, which the caller still owns. Returns STATUS_INVALID with a
 * message that names the invalid member.
 */
status_t caller_query_parse(json_t *root, size_t query_body_max_bytes,
                            caller_query_t *query, error_t *err);

#endif
