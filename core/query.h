/*
 * One query at its coordinator: from the asked range to the answer.
 *
 * A query_t cuts the range into pieces along the partition, pins one index
 * version and one partition generation, sends each piece to a replica of its
 * group, hedges stragglers, retries what proved not to have run, and merges
 * replies by key range. It does no I/O: it is fed with replies, a new
 * topology, cancellation and the time, and asked for the next action until
 * there is none.
 *
 *     query_t *query = query_new(&request, &context, id, now);
 *     while (query_next(query, now, &action) != QUERY_IDLE) ...
 *     query_reply(query, &reply, now);
 *     ... again until QUERY_DONE ...
 *     query_answer(query, &answer);
 *     query_free(query);
 *
 * Attempts are numbered within the query; a reply whose attempt is closed,
 * was never made, or does not match the piece it was sent for is dropped and
 * counted, so that late, crossed and doubled replies change nothing.
 */
#ifndef CORE_QUERY_H
#define CORE_QUERY_H

#include "core/budget.h"
#include "core/outcome.h"
#include "core/replica.h"
#include "core/table.h"

enum {
    QUERY_MISSING_MAX = 64, /* ranges listed as missing in an answer */
    QUERY_ID_MAX = 64,      /* bytes of a caller's id or ticket */
    QUERY_TICKET_MAX = 192
};

typedef struct {
    char service[NAME_SIZE];
    char tenant[NAME_SIZE];
    key_range_t range;
    int64_t deadline_us;  /* absolute, monotonic */
    bool once;            /* may run at most once */
    uint64_t fingerprint; /* of service, range and body */
    const char *body;     /* must outlive the query */
    size_t body_size;
} query_request_t;

typedef enum {
    QUERY_HEDGE_BY_HISTOGRAM, /* at a high quantile of the replica's replies */
    QUERY_HEDGE_FIXED,        /* after hedge_delay_us */
    QUERY_HEDGE_NONE
} query_hedge_t;

/* How a query hedges and picks replicas; zeroed: as the daemon does. */
typedef struct {
    query_hedge_t hedge;
    int64_t hedge_delay_us;
    bool random_replica; /* any that fits, whatever its cost */
} query_policy_t;

/* What a query decides with; all of it outlives the query's call only. */
typedef struct {
    const config_t *config;
    replica_table_t *replicas;
    budget_t *budget;       /* added load of the service */
    uint32_t added_percent; /* what the budget allows, of first sends */
    const bool
        *owner_silent; /* per upstream: its owner is silent; NULL: none */
    uint64_t seed;
    const query_policy_t *policy; /* NULL: as zeroed */
} query_context_t;

typedef enum {
    QUERY_IDLE,   /* nothing to do before query_wakeup or an event */
    QUERY_SEND,   /* send action.request to the owner of its upstream */
    QUERY_CANCEL, /* tell the owner to cancel action.request.id */
    QUERY_DONE    /* the answer is ready */
} query_step_t;

typedef struct {
    part_request_t request;
    uint32_t upstream; /* index into the context's topology */
} query_action_t;

typedef struct {
    outcome_t outcome;
    reason_t reason;
    uint64_t version;
    uint64_t generation;
    uint64_t asked;   /* keys asked for */
    uint64_t covered; /* keys merged */
    uint64_t count;
    uint64_t sum;
    key_range_t missing[QUERY_MISSING_MAX];
    size_t missing_count; /* listed; more may be missing */
    uint32_t pieces;
    uint32_t attempts;
    uint32_t hedges;
    uint32_t retries;
    uint32_t restarts;
    uint32_t dropped; /* replies that matched no open attempt */
    bool suspect;     /* its repeats were lost too: it may be the cause */
    int64_t retry_after_us;
} query_answer_t;

/* What happened to one attempt, for explanations. */
typedef struct {
    uint32_t upstream;
    key_range_t range;
    uint64_t version;
    int64_t sent_us;
    int64_t ended_us;     /* 0 while open */
    part_status_t status; /* when ended */
    bool hedge;
    bool open;
    bool not_run;
} attempt_t;

typedef struct query query_t;

/* NULL: no memory. The service must have a row and a partition. */
query_t *query_new(const query_request_t *request,
                   const query_context_t *context, attempt_id_t id,
                   int64_t now_us);
void query_free(query_t *query);

query_step_t query_next(query_t *query, const query_context_t *context,
                        int64_t now_us, query_action_t *action);
void query_reply(query_t *query, const query_context_t *context,
                 const part_reply_t *reply, int64_t now_us);

/* Give up: what is open is cancelled, the answer is what is merged. */
void query_cancel(query_t *query, reason_t reason);

/*
 * The topology changed: upstream indexes move, and a newer partition
 * generation restarts the query. Called before replica_table_follow, with
 * the old and the new topology.
 */
void query_update_topology(query_t *query, const topology_t *before,
                           const topology_t *after);

/* When query_next may next act by the clock alone. */
int64_t query_wakeup(const query_t *query);

void query_answer(const query_t *query, query_answer_t *answer);

/* Attempts made so far, in order. */
size_t query_attempts(const query_t *query, const attempt_t **attempts);

#endif
