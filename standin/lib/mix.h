/*
 * What the load tool asks: a seeded stream of queries over a weighted mix of
 * services. Pure: the same seed gives the same queries.
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
    unsigned weight;
    unsigned once_percent;
    int64_t deadline_ms; /* 0: not given */
} mix_row_t;

typedef struct {
    mix_row_t rows[MIX_SERVICES_MAX];
    size_t row_count;
    unsigned total_weight;
} mix_t;

typedef struct {
    const mix_row_t *row;
    key_range_t range;
    bool once;
    bool by_ticket; /* a once query carries a ticket, else its own id */
    unsigned tenant;
} query_plan_t;

/* Every service of both deployments, with the deadlines of the demo table. */
extern const char mix_default[];

/*
 * Read "SERVICE=WEIGHT[:ONCE_PERCENT[:DEADLINE_MS]],..."; false when it is
 * malformed.
 */
bool mix_parse(const char *text, mix_t *mix);

query_plan_t mix_query(const mix_t *mix, uint64_t seed, uint64_t number);

/* A draw in [0, 1) for query number; each purpose draws its own. */
double mix_draw(uint64_t seed, uint64_t number, uint64_t purpose);

#endif
