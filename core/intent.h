/*
 * Group commit of intents to one bucket in the platform's store.
 *
 * A daemon that is to run a request named by a caller's id first puts an
 * intent for it into the id's bucket, by compare-and-swap against the value
 * it knows. Ids that come while a write is under way go with the next. Only
 * when the store has confirmed the write, or a later read shows the intent
 * with this incarnation as its writer, may the request be sent upstream.
 *
 * The log does no I/O: the caller performs the action it asks for and reports
 * how that ended.
 *
 *     intent_log_t *log = intent_log_new(&settings, bucket);
 *     switch (intent_submit(log, hash)) ...   // INTENT_WAIT: see below
 *     while (intent_next_action(log, now_us, &action) != INTENT_ACTION_NONE)
 *         perform(&action);                   // then intent_read_done, ...
 *     while (intent_next_result(log, &verdict)) ...  // what became of the ids
 */
#ifndef CORE_INTENT_H
#define CORE_INTENT_H

#include "core/intent_bucket.h"

enum { INTENT_PENDING_MAX = 1024 /* ids waiting in one log */ };

typedef struct {
    uint64_t incarnation;
    int64_t commit_interval_us; /* least time between two writes */
    int64_t generation_us;      /* least length of a generation */
    uint32_t retention;         /* generations an intent is kept */
} intent_settings_t;

typedef enum {
    INTENT_WAIT,       /* intent_next_result will name it */
    INTENT_RUN,        /* the intent is in the store; send the request */
    INTENT_TAKEN,      /* its writer has or had it: it may have run there */
    INTENT_FULL,       /* no room for it; not run */
    INTENT_UNCONFIRMED /* the store did not confirm; not run */
} intent_status_t;

typedef struct {
    uint64_t hash;
    intent_status_t status;
    uint64_t writer; /* with INTENT_TAKEN */
} intent_result_t;

typedef enum {
    INTENT_ACTION_NONE,
    INTENT_ACTION_READ, /* then intent_read_done */
    INTENT_ACTION_WRITE /* then intent_write_done */
} intent_action_kind_t;

typedef struct {
    intent_action_kind_t kind;
    uint32_t bucket;
    uint64_t index;       /* with a write: compare with this; 0: create */
    const uint8_t *value; /* valid until intent_write_done */
    size_t size;
} intent_action_t;

typedef struct intent_log intent_log_t;

/* NULL: no memory. */
intent_log_t *intent_log_new(const intent_settings_t *settings,
                             uint32_t bucket);
void intent_log_free(intent_log_t *log);

/*
 * An id that this incarnation has not run (once_begin_id says so) is to run.
 * Any status but INTENT_WAIT is final. An id that waits already joins that:
 * there is one verdict for both. Whoever no longer wants to run an id when
 * INTENT_RUN comes for it must withdraw it.
 */
intent_result_t intent_submit(intent_log_t *log, uint64_t hash);

/* An id with a confirmed intent proved not to have run; others may try. */
void intent_withdraw(intent_log_t *log, uint64_t hash);

/* What to do now; one action is under way at a time. */
intent_action_kind_t intent_next_action(intent_log_t *log, int64_t now_us,
                                        intent_action_t *action);

/* When intent_next_action may next ask for something by the clock alone. */
int64_t intent_wakeup(const intent_log_t *log, int64_t now_us);

/* A read ended. STATUS_NOT_FOUND: the key does not exist yet. */
void intent_read_done(intent_log_t *log, status_t status, const uint8_t *value,
                      size_t size, uint64_t index, int64_t now_us);

/*
 * A write ended. STATUS_CONFLICT: the compare failed; STATUS_TIMEOUT and
 * STATUS_UNKNOWN: it may have taken effect. index: the key's new index, 0
 * when the store did not tell.
 */
void intent_write_done(intent_log_t *log, status_t status, uint64_t index,
                       int64_t now_us);

/* The next verdict; false when there is none. */
bool intent_next_result(intent_log_t *log, intent_result_t *result);

#endif
