/*
 * What one daemon incarnation knows of requests that may run at most once.
 *
 * A request is named by a ticket of this incarnation or by the hash of an id
 * of the caller's own (see core/intent.h for what else an id needs). The
 * first that begins runs; one that comes again is told that it is running, or
 * gets the outcome of the run. An outcome that proves it did not run frees
 * the name, so that the caller can send it again.
 *
 *     ticket_t ticket = once_issue_ticket(once, now_us);
 *     switch (once_begin_ticket(once, &ticket, content, now_us, &key, &out))
 *     ...
 *     once_end(once, key, &outcome, now_us);
 *
 * The table is bounded: when it is full nothing begins. An entry is kept
 * until its ticket's expiry and a grace have passed; until then an expired
 * ticket without an entry is proven not to have run, later it is not known.
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
    int64_t grace_us;    /* outcomes are kept so much longer */
    uint32_t capacity;
} once_settings_t;

typedef enum {
    ONCE_RUN,              /* begin; once_end must follow */
    ONCE_RUNNING,          /* the same request runs here now */
    ONCE_FINISHED,         /* it ran; the outcome is filled in */
    ONCE_OTHER_DAEMON,     /* the ticket's daemon must be asked */
    ONCE_DEAD_INCARNATION, /* of a dead incarnation: may have run, never will
                            */
    ONCE_EXPIRED,          /* too late; proven not to have run */
    ONCE_NO_RECORD,        /* too late; whether it ran is not known */
    ONCE_FULL,             /* no room in the table; not run */
    ONCE_MISMATCH          /* the name was used for another request */
} once_result_t;

/* What is kept of a finished request, to be told again. */
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
    int64_t took_us;
} once_outcome_t;

/* Names an entry of the table. */
typedef struct {
    bool by_id;
    uint64_t value; /* a ticket's sequence, or the hash of an id */
} once_key_t;

once_t *once_new(const once_settings_t *settings); /* NULL: no memory */
void once_free(once_t *once);

ticket_t once_issue_ticket(once_t *once, int64_t now_us);

/*
 * content: hash of the request's content, to tell a resend from another
 * request. *key is filled with ONCE_RUN, *outcome with ONCE_FINISHED.
 */
once_result_t once_begin_ticket(once_t *once, const ticket_t *ticket,
                                uint64_t content, int64_t now_us,
                                once_key_t *key, once_outcome_t *outcome);

/*
 * The same for a caller's id. ONCE_RUN only says that this incarnation has
 * not run it; its intent must be in the store before anything is sent.
 */
once_result_t once_begin_id(once_t *once, uint64_t hash, uint64_t content,
                            int64_t now_us, once_key_t *key,
                            once_outcome_t *outcome);

/* A request that began ended. OUTCOME_NOT_RUN frees its name. */
void once_end(once_t *once, once_key_t key, const once_outcome_t *outcome,
              int64_t now_us);

/* Hash of a caller's id within its tenant and service. */
uint64_t once_hash_id(const char *service, const char *tenant, const char *id);

#endif
