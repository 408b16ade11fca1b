/*
 * Tallies the outcomes of queries, for each service and in total.
 *
 *     tally_t tally;
 *     tally_init(&tally);
 *     tally_add(&tally, &(tally_entry_t){.service = "ledger-desk", ...});
 *     json_t *result = tally_json(&tally);
 *     tally_release(&tally);
 */
#ifndef STANDIN_LIB_TALLY_H
#define STANDIN_LIB_TALLY_H

#include "core/part.h"
#include "standin/lib/verdict.h"

#include <jansson.h>

enum { TALLY_SERVICES_MAX = 16, TALLY_SECONDS_MAX = 3600 };

/* The outcome of one query. */
typedef struct {
    const char *service;
    verdict_t verdict;   /* outcome OUTCOME_COUNT: no valid reply arrived */
    uint64_t asked_keys; /* keys in the query's range */
    int64_t latency_us;  /* from when the query was due to be sent */
    int64_t deadline_us; /* allowed latency */
    int64_t offset_us;   /* from the start of the run to when it was due */
} tally_entry_t;

typedef struct {
    char service[NAME_SIZE];
    uint64_t queries;
    uint64_t outcomes[OUTCOME_COUNT + 1]; /* last element: lost queries */
    uint64_t wrong;                       /* replies that failed the check */
    uint64_t late;                        /* answered after the deadline */
    uint64_t parts;
    uint64_t attempts;
    uint64_t hedges;
    double coverage;       /* sum over the queries */
    int64_t *latencies_us; /* of answered queries */
    size_t latency_count;
    size_t latency_capacity;
} tally_row_t;

typedef struct {
    tally_row_t all;
    tally_row_t rows[TALLY_SERVICES_MAX];
    size_t row_count;
    json_t *reasons; /* count of queries that were not whole, by reason */
    uint64_t not_whole[TALLY_SECONDS_MAX]; /* by second of the run */
    size_t seconds;                        /* used elements of not_whole */
} tally_t;

void tally_init(tally_t *tally);
void tally_release(tally_t *tally);

/*
 * Adds a query. Services after the first TALLY_SERVICES_MAX count in the total
 * only, and not_whole leaves out the seconds from TALLY_SECONDS_MAX on.
 */
void tally_add(tally_t *tally, const tally_entry_t *entry);

/*
 * Returns the totals with "reasons", "services" and "not_whole_by_second"; the
 * caller releases the object. "coverage" is the mean over all queries, where a
 * query without an answer counts as 0. The latencies are those of answered
 * queries.
 */
json_t *tally_json(tally_t *tally);

#endif
