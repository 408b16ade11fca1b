/*
 * The queries of the load generator: a seeded stream of queries over a
 * weighted mix of services. The same seed gives the same queries.
 *
 *     mix_t mix;
 *     if (!mix_parse("ledger-desk=5,refund-line=2:50", &mix)) ...
 *     query_plan_t query = mix_query(&mix, seed, number);
 */
#ifndef STANDIN_LIB_MIX_H
#define STANDIN_LIB_MIX_H

#include "core/part.h"

enum { MIX_SERVICES_MAX = 16 };

typedef struct {
    char service[NAME_SIZE];
    unsigned weight;       /* share of the queries, relative to the others */
    unsigned once_percent; /* share of queries that must not run twice */
    int64_t deadline_ms;   /* 0: not given */
} mix_row_t;

typedef struct {
    mix_row_t rows[MIX_SERVICES_MAX];
    size_t row_count;
    unsigned total_weight;
} mix_t;

typedef struct {
    const mix_row_t *row; /* points into the mix */
    key_range_t range;
    bool once;       /* must not run twice */
    bool by_ticket;  /* if once: carries a ticket rather than its own id */
    unsigned tenant; /* number of the tenant */
} query_plan_t;

/*
 * Mix of all services of both deployments, with the deadlines of the demo's
 * service table.
 */
extern const char mix_default[];

/*
 * Parses "SERVICE=WEIGHT[:ONCE_PERCENT[:DEADLINE_MS]],..."; false: the text is
 * malformed.
 */
bool mix_parse(const char *text, mix_t *mix);

/* Returns the query with this number; the mix must outlive it. */
query_plan_t mix_query(const mix_t *mix, uint64_t seed, uint64_t number);

/*
 * Returns a pseudo-random number in [0, 1) that depends on the seed, the
 * query's number and the purpose of the draw.
 */
double mix_draw(uint64_t seed, uint64_t number, uint64_t purpose);

#endif
