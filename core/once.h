/*
 * Table of requests that may run at most once, of one daemon incarnation.
 *
 * A request is identified by a ticket of this incarnation or by the hash of an
 * id chosen by the caller (an id also needs an intent, see core/intent.h). The
 * first request with an identifier runs. A resend is told that the request is
 * running, or gets the recorded outcome. An outcome that proves that the
 * request did not run removes its entry, so that the caller can send it again.
 *
 *     ticket_t ticket = once_issue_ticket(once, now_us);
 *     switch (once_begin_ticket(once, &ticket, content, now_us, &key, &out))
 *     ...
 *     once_end(once, key, &outcome, now_us);
 *
 * The table has a fixed capacity; while it is full, no request can begin. A
 * finished entry is kept until its ticket has expired and a grace period has
 * passed. During the grace period an expired ticket without an entry is proven
 * not to have run; after it, whether the ticket ran is unknown.
 */
#ifndef CORE_ONCE_H
#define CORE_ONCE_H

#include "core/once_ticket.h"
#include "core/outcome.h"

typedef struct once once_t;

typedef struct {
    char daemon[NAME_SIZE];
    uint64_t incarnation;
    int64_t lifetime_us; /* from a ticket's issue to its expiry */
    int64_t grace_us;    /* for which outcomes are kept after the expiry */
    uint32_t capacity;   /* entries */
} once_settings_t;

typedef enum {
    ONCE_RUN,          /* the request must run now; then call once_end */
    ONCE_RUNNING,      /* the same request is running here */
    ONCE_FINISHED,     /* the request ended here; *outcome is filled in */
    ONCE_OTHER_DAEMON, /* another daemon issued the ticket: ask that daemon */
    /* Issued by a dead incarnation; may have run, but can no longer run. */
    ONCE_DEAD_INCARNATION,
    ONCE_EXPIRED,   /* the ticket expired; proven not to have run */
    ONCE_NO_RECORD, /* the ticket expired; whether it ran is not known */
    ONCE_FULL,      /* the table is full; not run */
    ONCE_MISMATCH   /* the identifier was used for another request */
} once_result_t;

/* Outcome of a finished request, recorded to answer resends. */
typedef struct {
    outcome_t outcome;
    reason_t reason;
    uint64_t query; /* sequence of the query that ran */
    uint64_t version;
    uint64_t generation;
    uint64_t asked;
    uint64_t covered;
    uint64_t count;
    uint64_t sum;
    int64_t took_us; /* duration of the run */
} once_outcome_t;

/* Identifies an entry of the table. */
typedef struct {
    bool by_id;
    uint64_t value; /* a ticket's sequence, or the hash of an id */
} once_key_t;

once_t *once_new(const once_settings_t *settings); /* NULL if out of memory */
void once_free(once_t *once);                      /* NULL ok */

/* A new ticket of this incarnation; it takes no entry until it is used. */
ticket_t once_issue_ticket(once_t *once, int64_t now_us);

/*
 * Begin the request that the ticket identifies. content is a hash of the
 * request's content, which distinguishes a resend from another request. *key
 * is set only with ONCE_RUN, *outcome only with ONCE_FINISHED.
 */
once_result_t once_begin_ticket(once_t *once, const ticket_t *ticket,
                                uint64_t content, int64_t now_us,
                                once_key_t *key, once_outcome_t *outcome);

/*
 * Likewise for the hash of a caller's id. ONCE_RUN only says that this
 * incarnation has not run the request; its intent must be in the store before
 * anything is sent.
 */
once_result_t once_begin_id(once_t *once, uint64_t hash, uint64_t content,
                            int64_t now_us, once_key_t *key,
                            once_outcome_t *outcome);

/*
 * Record the outcome of a request that began with ONCE_RUN. OUTCOME_NOT_RUN
 * removes its entry, so that it can begin again.
 */
void once_end(once_t *once, once_key_t key, const once_outcome_t *outcome,
              int64_t now_us);

/* Hash of a caller's id within its tenant and service. */
uint64_t once_hash_id(const char *service, const char *tenant, const char *id);

#endif
