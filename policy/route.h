/*
 * One version of the operator's routes, immutable once it is sealed.
 *
 * A request keeps the version it arrived under until it is answered, so the
 * table is reference-counted.
 *
 *     route_table_t *table = route_table_new(version);
 *     route_t *route = route_table_add(table, host, prefix);
 *     ... set the fields; route_add_target(route, "ledger", 1) ...
 *     route_table_seal(table);
 *     const route_t *r = route_table_match(table, "a.example", "/x/1");
 *     route_table_release(table);
 */
#ifndef POLICY_ROUTE_H
#define POLICY_ROUTE_H

#include "core/strmap.h"
#include "policy/tenant.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
    ROUTE_ONE,   /* to one service */
    ROUTE_SPLIT, /* to one of several services, chosen by weight */
    ROUTE_SHARDS /* to all services listed; the responses are merged */
} route_kind_t;

typedef struct {
    char *service;
    double weight;
} route_target_t;

typedef struct {
    char *name;
    char *host;
    char *prefix;
    route_kind_t kind;
    bool idempotent;    /* may run more than once per request */
    bool is_public;     /* requests need no key */
    int64_t timeout_us; /* a request's longest time; 0: no limit set */
    int64_t goal_us;    /* latency goal; 0: none set */
    uint32_t attempts;  /* upstreams that may run a request, per shard */
    uint32_t priority;  /* 0 is the most urgent */
    uint32_t top_k;     /* most records in a merged answer */
    double min_share;   /* of the shards that a merged answer needs, 0..1 */
    route_target_t *targets;
    uint32_t target_count;
} route_t;

/* The operator's settings of a service; limits are for each of its upstreams
   and for all daemons together. */
typedef struct {
    char *name;
    uint32_t max_connections; /* to one upstream; 0: no limit */
    int64_t warmup_us;        /* how long an upstream is cold after a start */
    double cold_per_s;        /* requests per second while cold; 0: no limit */
} route_service_t;

typedef struct {
    uint64_t version;
    uint64_t revision; /* store revision of the document */
    route_t *routes;   /* once sealed, longest prefix first */
    uint32_t route_count;
    route_service_t *services;
    uint32_t service_count;
    bool needs_keys; /* on routes that are not public */
    tenant_table_t tenants;
    size_t max_header_bytes; /* of a request; 0: no limit */
    size_t max_body_bytes;
    int64_t header_timeout_us; /* for a request's header to arrive */
    int64_t idle_timeout_us;   /* for a connection without a request */
    uint32_t ref_count;
    strmap_t hosts; /* of host_routes_t, by host; filled when sealed */
} route_table_t;

/* Create a table with one reference, the caller's; NULL: out of memory. */
route_table_t *route_table_new(uint64_t version);

/* Take a reference; returns the table. */
route_table_t *route_table_retain(route_table_t *table);

/* Drop a reference; the last one frees the table. NULL is allowed. */
void route_table_release(route_table_t *table);

/* Add a route for the caller to fill in. The pointer is valid until the next
   route is added; the texts are copied. NULL: out of memory. */
route_t *route_table_add(route_table_t *table, const char *name,
                         const char *host, const char *prefix);

/* Add a service to a route; its name is copied. False: out of memory. */
bool route_add_target(route_t *route, const char *service, double weight);

/* Remove the route that was added last. */
void route_table_drop_last(route_table_t *table);

/* Add a service for the caller to fill in. The pointer is valid until the next
   service is added. NULL: out of memory. */
route_service_t *route_table_add_service(route_table_t *table,
                                         const char *name);

/* Sort and index the routes for matching; false: out of memory. Call once,
   after all routes were added. */
bool route_table_seal(route_table_t *table);

/* The route with the longest matching prefix on the host, which may be a Host
   header with a port. NULL: none. */
const route_t *route_table_match(const route_table_t *table, const char *host,
                                 const char *path);

/* The settings of a service; NULL: there are none. */
const route_service_t *route_table_service(const route_table_t *table,
                                           const char *name);

#endif
