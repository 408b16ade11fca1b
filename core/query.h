/*
 * State machine of one query at its coordinator.
 *
 * A query_t splits the requested range into pieces, one per shard of the
 * partition, pins one index version and one partition generation, sends each
 * piece to a replica of its group, hedges slow attempts, retries failed ones
 * and merges the replies by key range. It does no I/O: the caller passes in
 * replies, topology changes, cancellation and the time, and performs the
 * actions that query_next returns.
 *
 *     query_t *query = query_new(&request, &context, id, now);
 *     while (query_next(query, &context, now, &action) != QUERY_IDLE) ...
 *     query_reply(query, &context, &reply, now);
 *     ... again until QUERY_DONE ...
 *     query_answer(query, &answer);
 *     query_free(query);
 *
 * An attempt is one send of a piece to one replica, as one part of
 * core/part.h; attempts are numbered within the query. A retry is an attempt
 * at work that an earlier attempt may have run: it counts as added load, and a
 * query that may run at most once makes none.
 *
 * A reply to an attempt that was never made or has already ended is dropped
 * and counted. A reply that does not match its attempt's range, version and
 * generation is treated as PART_BAD_REPLY. Late, misrouted and duplicate
 * replies are therefore never merged.
 */
#ifndef CORE_QUERY_H
#define CORE_QUERY_H

#include "core/budget.h"
#include "core/outcome.h"
#include "core/replica.h"
#include "core/table.h"

enum {
    QUERY_MISSING_MAX = 64, /* ranges listed as missing in an answer */
    QUERY_ID_MAX = 64,      /* bytes of a caller's id, without its NUL */
    QUERY_TICKET_MAX = 192  /* bytes of a caller's ticket, its NUL included */
};

typedef struct {
    char service[NAME_SIZE];
    char tenant[NAME_SIZE];
    key_range_t range;
    int64_t deadline_us;  /* absolute, monotonic clock */
    bool once;            /* may run at most once: no hedges, no retries */
    uint64_t fingerprint; /* hash of service, range and body */
    const char *body;     /* must outlive the query */
    size_t body_size;
} query_request_t;

typedef enum {
    QUERY_HEDGE_BY_HISTOGRAM, /* at a high quantile of reply latency */
    QUERY_HEDGE_FIXED,        /* after hedge_delay_us */
    QUERY_HEDGE_NONE
} query_hedge_t;

/* How a query hedges and selects replicas; all zero: the default policy. */
typedef struct {
    query_hedge_t hedge;
    int64_t hedge_delay_us; /* with QUERY_HEDGE_FIXED */
    bool random_replica;    /* any eligible replica, whatever its cost */
} query_policy_t;

/*
 * Inputs of a query's decisions. A context and all it points to must stay
 * valid only during the call it is passed to.
 */
typedef struct {
    const config_t *config;
    replica_table_t *replicas;
    budget_t *budget;             /* of the service's hedges and retries */
    uint32_t added_percent;       /* hedges and retries per 100 first sends */
    const bool *owner_silent;     /* per upstream; NULL: no owner is silent */
    uint64_t seed;                /* spreads load over similar replicas */
    const query_policy_t *policy; /* NULL: the default policy */
} query_context_t;

typedef enum {
    QUERY_IDLE,   /* nothing to do until query_wakeup or the next event */
    QUERY_SEND,   /* send action.request to the owner of its upstream */
    QUERY_CANCEL, /* ask the owner to cancel attempt action.request.id */
    QUERY_DONE    /* query_answer returns the final answer */
} query_step_t;

typedef struct {
    part_request_t request;
    uint32_t upstream; /* index in the replicas' topology */
} query_action_t;

typedef struct {
    outcome_t outcome;
    reason_t reason;
    uint64_t version; /* index version of the result; 0: nothing merged */
    uint64_t generation;
    uint64_t asked;   /* keys requested */
    uint64_t covered; /* keys merged */
    uint64_t count;
    uint64_t sum;
    key_range_t missing[QUERY_MISSING_MAX];
    size_t missing_count; /* ranges listed; further ranges may be missing */
    uint32_t pieces;
    uint32_t attempts;
    uint32_t hedges;
    uint32_t retries;
    uint32_t restarts;
    uint32_t dropped; /* replies that no attempt waited for */
    bool suspect;     /* its retries were lost too: it may crash upstreams */
    int64_t retry_after_us;
} query_answer_t;

/* History of one attempt, for explain records. */
typedef struct {
    uint32_t upstream;
    key_range_t range;
    uint64_t version;
    int64_t sent_us;
    int64_t ended_us;     /* 0: no reply yet */
    part_status_t status; /* valid when ended_us is not 0 */
    bool hedge;
    bool open;    /* neither answered nor given up */
    bool not_run; /* proven that no upstream started it */
} attempt_t;

typedef struct query query_t;

/*
 * The request is copied, but not its body. NULL when the service has no row
 * in the table, has no partition that covers the range, or memory ran out.
 * Free with query_free.
 */
query_t *query_new(const query_request_t *request,
                   const query_context_t *context, attempt_id_t id,
                   int64_t now_us);
void query_free(query_t *query); /* NULL ok */

/*
 * The next action to perform, in *action with QUERY_SEND and QUERY_CANCEL.
 * The body in *action belongs to the caller of query_new.
 */
query_step_t query_next(query_t *query, const query_context_t *context,
                        int64_t now_us, query_action_t *action);

/* Process one reply; it may come from any attempt and at any time. */
void query_reply(query_t *query, const query_context_t *context,
                 const part_reply_t *reply, int64_t now_us);

/*
 * Finish the query early: query_next then cancels the open attempts, and the
 * answer holds what has been merged. The first reason given is kept.
 */
void query_cancel(query_t *query, reason_t reason);

/*
 * Map the upstream indexes of all attempts from the old topology to the new
 * one. If a replica has reported a newer partition generation that the new
 * topology has, the next query_next restarts the query. Call it before
 * replica_table_set_topology.
 */
void query_set_topology(query_t *query, const topology_t *before,
                        const topology_t *after);

/* Monotonic time at which query_next is due even without an event. */
int64_t query_wakeup(const query_t *query);

/* The answer as far as known; final once query_next returned QUERY_DONE. */
void query_answer(const query_t *query, query_answer_t *answer);

/*
 * Attempts made so far, in order; returns their number. The array belongs to
 * the query and is valid until the next query_next.
 */
size_t query_attempts(const query_t *query, const attempt_t **attempts);

#endif
