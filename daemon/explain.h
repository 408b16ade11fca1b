/*
 * What a worker remembers of its latest queries, for `yuccarun explain`.
 *
 * A fixed ring of records; the worker writes them as queries end, others read
 * them under the worker's lock.
 */
#ifndef DAEMON_EXPLAIN_H
#define DAEMON_EXPLAIN_H

#include "core/query.h"

#include <jansson.h>

enum { EXPLAIN_RECORDS_MAX = 1024, EXPLAIN_ATTEMPTS_MAX = 24 };

typedef struct {
    char upstream[NAME_SIZE];
    char owner[NAME_SIZE];
    attempt_t attempt;
} explain_attempt_t;

typedef struct {
    uint64_t sequence; /* 0: empty */
    char service[NAME_SIZE];
    char tenant[NAME_SIZE];
    bool once;
    uint64_t config_version;
    uint64_t roster_version;
    int64_t started_us;
    int64_t ended_us;
    query_answer_t answer;
    size_t attempt_count; /* recorded; the answer counts them all */
    explain_attempt_t attempts[EXPLAIN_ATTEMPTS_MAX];
} explain_record_t;

typedef struct {
    explain_record_t *records;
    size_t next;
} explain_ring_t;

bool explain_ring_init(explain_ring_t *ring); /* false: no memory */
void explain_ring_release(explain_ring_t *ring);

/* The oldest record, cleared, to be filled in. */
explain_record_t *explain_ring_next(explain_ring_t *ring);

/* NULL: no longer or never here. */
const explain_record_t *explain_ring_find(const explain_ring_t *ring,
                                          uint64_t sequence);

/* The record as an object; NULL: no memory. */
json_t *explain_json(const explain_record_t *record, uint64_t incarnation);

#endif
