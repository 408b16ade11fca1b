/*
 * HTTP towards callers: queries, tickets, entry addresses, explanations,
 * health, readiness, metrics and status.
 *
 * Endpoints are added to a ulfius instance; each calls one function of the
 * daemon's table, in the thread of the caller's connection. Requests are
 * checked here, so that the daemon sees only what is within bounds.
 */
#ifndef EDGE_CALLER_H
#define EDGE_CALLER_H

#include "core/query.h"

#include <jansson.h>

struct _u_instance;

/* A checked request; body is not NUL-terminated and lent for the call. */
typedef struct {
    char service[NAME_SIZE];
    char tenant[NAME_SIZE];
    key_range_t range;
    uint32_t deadline_ms; /* 0: the row's */
    bool once;
    char ticket[QUERY_TICKET_MAX]; /* empty: none */
    char id[QUERY_ID_MAX + 1];     /* empty: none */
    const char *body;
    size_t body_size;
} caller_query_t;

/* What the daemon does for callers. Each returns a body to be released. */
typedef struct {
    void *context;
    /* Waits for the answer; *status is the HTTP status. */
    json_t *(*query)(void *context, const caller_query_t *query,
                     unsigned *status);
    json_t *(*cancel)(void *context, const char *query, unsigned *status);
    json_t *(*ticket)(void *context, unsigned *status);
    json_t *(*entries)(void *context, const char *zone, unsigned *status);
    json_t *(*explain)(void *context, const char *query, unsigned *status);
    json_t *(*status)(void *context, unsigned *status);
    bool (*ready)(void *context);
    /* Metrics in the plain text format, to be freed; NULL: no memory. */
    char *(*metrics)(void *context);
} caller_ops_t;

typedef struct {
    caller_ops_t ops;
    size_t body_max_bytes;       /* of a request */
    size_t query_body_max_bytes; /* of a query's payload */
} caller_api_t;

/* Register the endpoints; edge must outlive the instance. */
status_t caller_api_register(caller_api_t *api, struct _u_instance *instance,
                             error_t *err);

/*
 * Check the JSON of POST /v1/query; root stays the caller's and lends the
 * payload. The message of a refusal names the member.
 */
status_t caller_query_parse(json_t *root, size_t query_body_max_bytes,
                            caller_query_t *query, error_t *err);

#endif
