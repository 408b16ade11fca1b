/*
 * Adds up the outcomes of queries, for each service and in all.
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

/* The end of one query. */
typedef struct {
    const char *service;
    verdict_t verdict;   /* OUTCOME_COUNT: no reply came at all */
    uint64_t asked_keys; /* keys */
    int64_t latency_us;  /* from when it was due to be sent */
    int64_t deadline_us;
    int64_t offset_us; /* when it was due, from the start of the run */
} tally_entry_t;

typedef struct {
    char service[NAME_SIZE];
    uint64_t queries;
    uint64_t outcomes[OUTCOME_COUNT + 1];
    uint64_t wrong;
    uint64_t late; /* answered after the deadline */
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
    json_t *reasons; /* of what was not whole: name to count */
    uint64_t not_whole[TALLY_SECONDS_MAX]; /* by second of the run */
    size_t seconds;
} tally_t;

void tally_init(tally_t *tally);
void tally_release(tally_t *tally);
void tally_add(tally_t *tally, const tally_entry_t *entry);

/*
 * Totals, "reasons", "services" and "not_whole_by_second". "coverage" is the
 * mean over every query, one without an answer counting 0; latencies are of
 * answered queries.
 */
json_t *tally_json(tally_t *tally);

#endif
