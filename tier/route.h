/*
 * One version of the operator's routes, never changed once it is built.
 *
 * Requests keep the version they came in under until they are answered, so
 * it is counted by its holders.
 *
 *     route_table_t *table = route_table_new(version);
 *     route_t *route = route_table_add(table, host, prefix);
 *     ... fill it in; route_add_target(route, "ledger", 1) ...
 *     route_table_seal(table);
 *     const route_t *r = route_table_match(table, "a.example", "/x/1");
 *     route_table_release(table);
 */
#ifndef TIER_ROUTE_H
#define TIER_ROUTE_H

#include "core/strmap.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
    ROUTE_ONE,   /* to an upstream of one service */
    ROUTE_SPLIT, /* to one of several services by weight */
    ROUTE_SHARDS /* to every service named; the parts are merged */
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
    bool idempotent;    /* may run more than once for one attempt */
    int64_t timeout_us; /* longest time a caller is kept waiting */
    int64_t goal_us;    /* within which an answer is of full use */
    uint32_t attempts;  /* upstreams one attempt may be sent to, per shard */
    uint32_t priority;  /* 0 is the most urgent */
    uint32_t top_k;     /* records of a merged answer */
    double min_share;   /* of shards a merged answer needs, 0..1 */
    route_target_t *targets;
    uint32_t target_count;
} route_t;

/* What the operator says of a service. */
typedef struct {
    char *name;
    uint32_t max_connections; /* an upstream takes, from all daemons; 0: any */
    int64_t warmup_us;        /* how long an upstream is cold after a start */
    double cold_per_s;        /* requests a second it bears then; 0: any */
} route_service_t;

typedef struct {
    uint64_t version;
    uint64_t revision; /* of the store, at which it was written */
    route_t *routes;   /* once sealed, longest prefix first */
    uint32_t route_count;
    route_service_t *services;
    uint32_t service_count;
    size_t header_bytes; /* longest head of a request; 0: no limit */
    size_t body_bytes;
    int64_t header_timeout_us; /* for a request's head to arrive */
    int64_t idle_timeout_us;   /* for a connection without a request */
    uint32_t ref_count;
    strmap_t hosts; /* routes by host, once sealed */
} route_table_t;

/* NULL: no memory. The caller is its first holder. */
route_table_t *route_table_new(uint64_t version);
route_table_t *route_table_retain(route_table_t *table);
void route_table_release(route_table_t *table);

/* A new route to fill in, valid until the next one is added; NULL: memory. */
route_t *route_table_add(route_table_t *table, const char *name,
                         const char *host, const char *prefix);
bool route_add_target(route_t *route, const char *service, double weight);

/* Take back the route added last. */
void route_table_drop_last(route_table_t *table);

/* A new service to fill in; NULL: no memory. */
route_service_t *route_table_add_service(route_table_t *table,
                                         const char *name);

/* Make it ready for matching; false: no memory. */
bool route_table_seal(route_table_t *table);

/* The route of the longest prefix on that host; NULL: none. */
const route_t *route_table_match(const route_table_t *table, const char *host,
                                 const char *path);

const route_service_t *route_table_service(const route_table_t *table,
                                           const char *name);

#endif
