/*
 * Group commit of intents to one bucket in the platform's store.
 *
 * Before a daemon runs a request identified by a caller's id, it adds an
 * intent for the id to the id's bucket, by compare-and-swap against the last
 * value it has seen. Ids submitted while a write is in flight go into the next
 * write. The request may be sent upstream only when the store has confirmed
 * the write, or a later read shows the intent with this incarnation as its
 * writer.
 *
 * The log does no I/O: the caller performs the actions that
 * intent_next_action returns and reports their results.
 *
 *     intent_log_t *log = intent_log_new(&settings, bucket);
 *     result = intent_submit(log, hash);    // INTENT_WAIT: not known yet
 *     while (intent_next_action(log, now_us, &action) != INTENT_ACTION_NONE)
 *         perform(&action);                 // then intent_read_done, ...
 *     while (intent_next_result(log, &result)) ...
 */
#ifndef CORE_INTENT_H
#define CORE_INTENT_H

#include "core/intent_bucket.h"

enum { INTENT_PENDING_MAX = 1024 /* ids waiting in one log */ };

typedef struct {
    uint64_t incarnation;
    int64_t commit_interval_us; /* least time between two writes */
    int64_t generation_us;      /* least length of a generation */
    uint32_t retention;         /* generations for which an intent is kept */
} intent_settings_t;

typedef enum {
    INTENT_WAIT,       /* intent_next_result will return the result */
    INTENT_RUN,        /* the intent is in the store; send the request */
    INTENT_TAKEN,      /* the writer has the intent; the id may have run */
    INTENT_FULL,       /* no room in the log or the bucket; not run */
    INTENT_UNCONFIRMED /* the store did not confirm the intent; not run */
} intent_status_t;

/* Result of a submitted id. */
typedef struct {
    uint64_t hash;
    intent_status_t status;
    uint64_t writer; /* incarnation that has the intent, with INTENT_TAKEN */
} intent_result_t;

typedef enum {
    INTENT_ACTION_NONE,
    INTENT_ACTION_READ, /* then intent_read_done */
    INTENT_ACTION_WRITE /* then intent_write_done */
} intent_action_kind_t;

/*
 * An action on the bucket's key in the store. index, value and size are set
 * for a write only.
 */
typedef struct {
    intent_action_kind_t kind;
    uint32_t bucket;
    uint64_t index;       /* to compare the key's index with; 0: create */
    const uint8_t *value; /* valid until intent_write_done */
    size_t size;
} intent_action_t;

typedef struct intent_log intent_log_t;

/* NULL if out of memory. Free with intent_log_free. */
intent_log_t *intent_log_new(const intent_settings_t *settings,
                             uint32_t bucket);
void intent_log_free(intent_log_t *log); /* NULL ok */

/*
 * Request an intent for an id that this incarnation has not run according to
 * once_begin_id. Any status but INTENT_WAIT is final. If the id is already
 * waiting, both submissions get one result. A caller that no longer wants to
 * run the id when INTENT_RUN arrives must withdraw it.
 */
intent_result_t intent_submit(intent_log_t *log, uint64_t hash);

/*
 * Let the next write remove the intent of an id that is proven not to have
 * run, so that another daemon may run it.
 */
void intent_withdraw(intent_log_t *log, uint64_t hash);

/*
 * Return the kind of the action to perform now, and the action in *action.
 * INTENT_ACTION_NONE while another action is in flight.
 */
intent_action_kind_t intent_next_action(intent_log_t *log, int64_t now_us,
                                        intent_action_t *action);

/*
 * Monotonic time at which intent_next_action is due even without an event;
 * INT64_MAX: only after an event.
 */
int64_t intent_wakeup(const intent_log_t *log, int64_t now_us);

/* Report the end of a read. STATUS_NOT_FOUND: the key does not exist yet. */
void intent_read_done(intent_log_t *log, status_t status, const uint8_t *value,
                      size_t size, uint64_t index, int64_t now_us);

/*
 * Report the end of a write. STATUS_CONFLICT: the comparison failed;
 * STATUS_TIMEOUT, STATUS_UNKNOWN: the write may have taken effect. index is
 * the key's new index, 0 if the store did not return it.
 */
void intent_write_done(intent_log_t *log, status_t status, uint64_t index,
                       int64_t now_us);

/* Take the next result; false when there is none. */
bool intent_next_result(intent_log_t *log, intent_result_t *result);

#endif
