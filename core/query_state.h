/*
 * Internal state of a query, private to core/query*.c. query.c creates,
 * finishes and reports on a query, query_send.c decides what to send,
 * query_reply.c processes replies.
 */
#ifndef CORE_QUERY_STATE_H
#define CORE_QUERY_STATE_H

#include "core/plan.h"
#include "core/query.h"

enum {
    /* Time to wait for a fleet view with the new owner or partition. */
    FLEET_VIEW_WAIT_US = 20000,
    /* Lost attempts after which the query may be crashing its upstreams. */
    SUSPECT_LOSSES = 2,
    /* Lost retries after which a suspect query is given up. */
    SUSPECT_RETRIES_MAX = 2
};

#define NEVER_US INT64_MAX

/* The internal state of an attempt; attempt_t is its public part. */
typedef struct {
    uint32_t piece;
    uint32_t epoch;  /* value of query->epoch when it was sent */
    bool cancel_due; /* query_next has yet to return QUERY_CANCEL for it */
    bool retry;      /* an earlier attempt may have run */
} attempt_state_t;

struct query {
    query_request_t request;
    attempt_id_t id;
    class_t class;
    uint64_t version;    /* pinned index version; 0 until known */
    uint64_t generation; /* pinned partition generation */
    uint32_t epoch;      /* restarts so far */
    piece_t *pieces;
    size_t piece_count;
    size_t next_piece; /* where query_next goes on */
    attempt_t *attempts;
    attempt_state_t *attempt_states; /* parallel to attempts */
    size_t attempt_count;
    size_t attempt_capacity;
    size_t cancels_due;
    range_set_t merged;
    uint64_t count;
    uint64_t sum;
    uint32_t hedges;
    uint32_t retries;
    uint32_t dropped;
    uint32_t losses;       /* attempts lost since a retry last succeeded */
    uint32_t retries_lost; /* retries lost while the query was suspect */
    uint32_t retries_open;
    bool newer_generation_seen; /* in a replica's reply */
    bool finished;
    reason_t reason;
    int64_t retry_after_us;
};

/*
 * Split the range along the current partition and pin the index version and
 * the partition generation. False, with the query unchanged, when the service
 * has no partition, the partition covers none of the range, or memory ran out.
 */
bool query_split(query_t *query, const query_context_t *context);

/* Whether any attempt so far may have run; an open one may. */
bool query_may_have_run(const query_t *query);

/* Stop waiting for the attempt: it no longer counts as open or in progress. */
void query_close_attempt(query_t *query, const query_context_t *context,
                         size_t index);

/* Drop the attempt's cancellation if it is still due. */
void query_clear_cancel(query_t *query, size_t index);

/*
 * Close the open attempts of one piece, or of all pieces, and mark their
 * cancellations as due.
 */
void query_cancel_piece(query_t *query, const query_context_t *context,
                        size_t piece);
void query_cancel_open(query_t *query, const query_context_t *context);

/* Finish the query; the first reason given is kept. */
void query_finish(query_t *query, reason_t reason);

/* Mark the piece as failed for this reason. */
void piece_fail(piece_t *piece, reason_t reason);

#endif
