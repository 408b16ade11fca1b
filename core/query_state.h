/*
 * What the files of the query share; not for others. query.c begins, ends and
 * describes a query, query_send.c decides what is sent, query_reply.c takes
 * what comes back.
 */
#ifndef CORE_QUERY_STATE_H
#define CORE_QUERY_STATE_H

#include "core/plan.h"
#include "core/query.h"

enum {
    FLEET_VIEW_WAIT_US = 20000, /* for an owner or a partition to be known */
    SUSPECT_LOSSES = 2, /* losses after which the query may be their cause */
    SUSPECT_RETRIES_MAX = 2 /* repeats lost one by one before it is given up */
};

#define NEVER_US INT64_MAX

/* What the query keeps of an attempt beside what explanations show. */
typedef struct {
    uint32_t piece;
    uint32_t epoch; /* restart it belongs to */
    bool cancel_due;
    bool retry; /* an earlier attempt may have run */
} attempt_state_t;

struct query {
    query_request_t request;
    attempt_id_t id;
    class_t class;
    uint64_t version; /* pinned; 0 until known */
    uint64_t generation;
    uint32_t epoch; /* restarts so far */
    piece_t *pieces;
    size_t piece_count;
    size_t next_piece;
    attempt_t *attempts;
    attempt_state_t *attempt_states;
    size_t attempt_count;
    size_t attempt_capacity;
    size_t cancels_due;
    range_set_t merged;
    uint64_t count;
    uint64_t sum;
    uint32_t hedges;
    uint32_t retries;
    uint32_t dropped;
    uint32_t losses;       /* since a repeat last succeeded */
    uint32_t retries_lost; /* while under suspicion */
    uint32_t retries_open;
    bool newer_generation_seen; /* a replica is at a newer generation */
    bool finished;
    reason_t reason;
    int64_t retry_after_us;
};

/*
 * Cut the range along the partition now known and pin version and generation
 * anew; false: nothing is known of the service, or no memory.
 */
bool query_split(query_t *query, const query_context_t *context);

bool query_may_have_run(const query_t *query);

/* The attempt is waited for no more. */
void query_close_attempt(query_t *query, const query_context_t *context,
                         size_t index);

/* No cancellation of the attempt is due any more. */
void query_clear_cancel(query_t *query, size_t index);

/* Give up what is open, of one piece or of all: cancellations become due. */
void query_cancel_piece(query_t *query, const query_context_t *context,
                        size_t piece);
void query_cancel_open(query_t *query, const query_context_t *context);

/* The first reason given stays. */
void query_finish(query_t *query, reason_t reason);

void piece_fail(piece_t *piece, reason_t reason);

#endif
