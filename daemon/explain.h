/*
 * Records of a worker's latest queries, for `yuccarun explain`.
 *
 * The records are kept in a ring of fixed size. The worker adds a record when
 * a query ends; other threads read them under the worker's lock.
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
    size_t attempt_count; /* in attempts; answer.attempts counts all */
    explain_attempt_t attempts[EXPLAIN_ATTEMPTS_MAX];
} explain_record_t;

typedef struct {
    explain_record_t *records;
    size_t next;
} explain_ring_t;

bool explain_ring_init(explain_ring_t *ring); /* false: out of memory */
void explain_ring_release(explain_ring_t *ring);

/* Clears the oldest record and returns it for the caller to fill in. */
explain_record_t *explain_ring_next(explain_ring_t *ring);

/* Returns NULL if the ring does not hold, or no longer holds, the record. */
const explain_record_t *explain_ring_find(const explain_ring_t *ring,
                                          uint64_t sequence);

/* Returns the record as a new object, or NULL if memory is out. */
json_t *explain_json(const explain_record_t *record, uint64_t incarnation);

#endif
