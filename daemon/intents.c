#include "daemon/intents.h"
#include "daemon/clock.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum {
    COMMIT_INTERVAL_US = 200000, /* minimum between two writes to one bucket */
    GENERATION_US = 60000000,
    RETENTION_GENERATIONS = 15, /* intents are kept for 15 minutes */
    WAIT_MAX_US = 200000,
    WAIT_MIN_US = 1000
};

/* A request that waits for the result of its id. */
typedef struct waiter {
    struct waiter *next;
    uint64_t hash;
    int64_t until_us;
    intents_callback_t done;
    void *context;
    intent_result_t result; /* INTENT_WAIT until there is one */
} waiter_t;

struct intents {
    pthread_mutex_t lock;
    pthread_cond_t work;
    pthread_t thread;
    bool started;
    bool stopping;
    store_client_t store;
    uint64_t incarnation;
    intent_log_t *logs[INTENT_BUCKETS];
    waiter_t *waiters;
};

/*
 * Pass a result to the waiters for its id. If the request may run but has no
 * waiter any more, withdraw its intent, so that another daemon may run it.
 * Lock held.
 */
static void
record_result(intents_t *intents, intent_log_t *log,
              const intent_result_t *result)
{
    bool awaited = false;
    for (waiter_t *waiter = intents->waiters; waiter != NULL;
         waiter = waiter->next) {
        if (waiter->hash == result->hash) {
            waiter->result = *result;
            awaited = true;
        }
    }
    if (!awaited && result->status == INTENT_RUN) {
        intent_withdraw(log, result->hash);
    }
}

/* Remove and return the waiters with a result or past until_us. Lock held. */
static waiter_t *
take_settled(intents_t *intents, int64_t now_us)
{
    waiter_t *settled = NULL;
    waiter_t **link = &intents->waiters;
    while (*link != NULL) {
        waiter_t *waiter = *link;
        if (waiter->result.status == INTENT_WAIT &&
            now_us < waiter->until_us && !intents->stopping) {
            link = &waiter->next;
            continue;
        }
        *link = waiter->next;
        waiter->next = settled;
        settled = waiter;
    }
    return settled;
}

static void
notify_waiter(waiter_t *waiter)
{
    if (waiter->result.status == INTENT_WAIT) {
        waiter->result.status = INTENT_UNCONFIRMED;
    }
    waiter->done(waiter->context, &waiter->result);
    free(waiter);
}

/* Call back the settled waiters. The lock is released during the calls. */
static void
notify_settled(intents_t *intents)
{
    waiter_t *settled = take_settled(intents, clock_now_us());
    if (settled == NULL) {
        return;
    }
    pthread_mutex_unlock(&intents->lock);
    while (settled != NULL) {
        waiter_t *next = settled->next;
        notify_waiter(settled);
        settled = next;
    }
    pthread_mutex_lock(&intents->lock);
}

static void
run_read(intents_t *intents, intent_log_t *log, const char *key)
{
    store_value_t value;
    error_t ignored = ERROR_INIT;
    pthread_mutex_unlock(&intents->lock);
    status_t status = store_get(&intents->store, key, &value, &ignored);
    pthread_mutex_lock(&intents->lock);
    intent_read_done(log, status, (const uint8_t *)value.text, value.size,
                     value.modify_index, clock_now_us());
    store_value_release(&value);
}

static void
run_write(intents_t *intents, intent_log_t *log, const char *key,
          const intent_action_t *action)
{
    error_t ignored = ERROR_INIT;
    pthread_mutex_unlock(&intents->lock);
    status_t status =
        store_cas_put(&intents->store, key, (const char *)action->value,
                      action->size, action->index, &ignored);
    pthread_mutex_lock(&intents->lock);
    /* The store does not return the new index of a write. */
    intent_write_done(log, status, 0, clock_now_us());
}

/*
 * Carry out the next action of a log and handle its results. Returns false if
 * there was nothing to do. The lock is held, except during I/O.
 */
static bool
process_log(intents_t *intents, intent_log_t *log)
{
    intent_action_t action;
    intent_result_t result;
    char key[STORE_KEY_MAX_BYTES];
    intent_action_kind_t kind =
        intent_next_action(log, clock_now_us(), &action);
    snprintf(key, sizeof(key), "yuccarun/once/%u", action.bucket);
    if (kind == INTENT_ACTION_READ) {
        run_read(intents, log, key);
    }
    else if (kind == INTENT_ACTION_WRITE) {
        run_write(intents, log, key, &action);
    }
    bool worked = kind != INTENT_ACTION_NONE;
    while (intent_next_result(log, &result)) {
        record_result(intents, log, &result);
        worked = true;
    }
    return worked;
}

static void *
intents_main(void *context)
{
    intents_t *intents = context;
    pthread_mutex_lock(&intents->lock);
    while (!intents->stopping) {
        bool worked = false;
        int64_t now_us = clock_now_us();
        int64_t next_us = now_us + WAIT_MAX_US;
        for (size_t i = 0; i < INTENT_BUCKETS && !intents->stopping; i++) {
            intent_log_t *log = intents->logs[i];
            if (log == NULL) {
                continue;
            }
            worked = process_log(intents, log) || worked;
            int64_t wakeup_us = intent_wakeup(log, now_us);
            next_us = wakeup_us < next_us ? wakeup_us : next_us;
        }
        notify_settled(intents);
        if (!worked && !intents->stopping) {
            int64_t soonest_us = now_us + WAIT_MIN_US;
            struct timespec until =
                clock_timespec(next_us > soonest_us ? next_us : soonest_us);
            pthread_cond_timedwait(&intents->work, &intents->lock, &until);
        }
    }
    notify_settled(intents);
    pthread_mutex_unlock(&intents->lock);
    return NULL;
}

intents_t *
intents_new(const store_client_t *store, uint64_t incarnation, error_t *err)
{
    intents_t *intents = calloc(1, sizeof(*intents));
    if (intents == NULL) {
        error_set(err, STATUS_NO_MEMORY, "start intents", "-",
                  "out of memory");
        return NULL;
    }
    intents->store = *store;
    intents->incarnation = incarnation;
    pthread_mutex_init(&intents->lock, NULL);
    clock_cond_init(&intents->work);
    if (pthread_create(&intents->thread, NULL, intents_main, intents) != 0) {
        error_set(err, STATUS_INTERNAL, "start intents", "-",
                  "cannot create a thread");
        intents_free(intents);
        return NULL;
    }
    intents->started = true;
    return intents;
}

void
intents_free(intents_t *intents)
{
    if (intents == NULL) {
        return;
    }
    if (intents->started) {
        pthread_mutex_lock(&intents->lock);
        intents->stopping = true;
        pthread_cond_broadcast(&intents->work);
        pthread_mutex_unlock(&intents->lock);
        pthread_join(intents->thread, NULL);
    }
    for (size_t i = 0; i < INTENT_BUCKETS; i++) {
        intent_log_free(intents->logs[i]);
    }
    store_release(&intents->store);
    pthread_cond_destroy(&intents->work);
    pthread_mutex_destroy(&intents->lock);
    free(intents);
}

/* Log of the hash's bucket, created if missing; NULL: out of memory. */
static intent_log_t *
get_or_add_log(intents_t *intents, uint64_t hash)
{
    uint32_t bucket = bucket_index(hash);
    if (intents->logs[bucket] == NULL) {
        intent_settings_t settings = {
            .incarnation = intents->incarnation,
            .commit_interval_us = COMMIT_INTERVAL_US,
            .generation_us = GENERATION_US,
            .retention = RETENTION_GENERATIONS,
        };
        intents->logs[bucket] = intent_log_new(&settings, bucket);
    }
    return intents->logs[bucket];
}

static waiter_t *
waiter_new(uint64_t hash, int64_t until_us, intents_callback_t done,
           void *context)
{
    waiter_t *waiter = calloc(1, sizeof(*waiter));
    if (waiter != NULL) {
        waiter->hash = hash;
        waiter->until_us = until_us;
        waiter->done = done;
        waiter->context = context;
        waiter->result.hash = hash;
    }
    return waiter;
}

void
intents_submit(intents_t *intents, uint64_t hash, int64_t until_us,
               intents_callback_t done, void *context)
{
    intent_result_t result = {.hash = hash, .status = INTENT_UNCONFIRMED};
    waiter_t *waiter = waiter_new(hash, until_us, done, context);
    pthread_mutex_lock(&intents->lock);
    intent_log_t *log = waiter == NULL ? NULL : get_or_add_log(intents, hash);
    if (log != NULL && !intents->stopping) {
        result = intent_submit(log, hash);
    }
    bool waits = result.status == INTENT_WAIT;
    if (waits) {
        waiter->result = result;
        waiter->next = intents->waiters;
        intents->waiters = waiter;
        pthread_cond_signal(&intents->work);
    }
    pthread_mutex_unlock(&intents->lock);
    if (!waits) {
        free(waiter);
        done(context, &result);
    }
}

/* State of a thread that waits in intents_commit. */
typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t result_set;
    bool done;
    intent_result_t result;
} commit_wait_t;

static void
on_result(void *context, const intent_result_t *result)
{
    commit_wait_t *commit = context;
    pthread_mutex_lock(&commit->lock);
    commit->result = *result;
    commit->done = true;
    pthread_cond_signal(&commit->result_set);
    pthread_mutex_unlock(&commit->lock);
}

intent_result_t
intents_commit(intents_t *intents, uint64_t hash, int64_t until_us)
{
    commit_wait_t commit = {
        .lock = PTHREAD_MUTEX_INITIALIZER,
        .result_set = PTHREAD_COND_INITIALIZER,
    };
    intents_submit(intents, hash, until_us, on_result, &commit);
    pthread_mutex_lock(&commit.lock);
    while (!commit.done) {
        pthread_cond_wait(&commit.result_set, &commit.lock);
    }
    pthread_mutex_unlock(&commit.lock);
    pthread_cond_destroy(&commit.result_set);
    pthread_mutex_destroy(&commit.lock);
    return commit.result;
}

void
intents_withdraw(intents_t *intents, uint64_t hash)
{
    pthread_mutex_lock(&intents->lock);
    intent_log_t *log = get_or_add_log(intents, hash);
    if (log != NULL) {
        intent_withdraw(log, hash);
        pthread_cond_signal(&intents->work);
    }
    pthread_mutex_unlock(&intents->lock);
}
