#include "daemon/intents.h"
#include "daemon/clock.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum {
    COMMIT_GAP_US = 10000, /* ids of so long share one write */
    GENERATION_US = 60000000,
    HORIZON_GENERATIONS = 15, /* an id is known for a quarter of an hour */
    IDLE_WAIT_US = 200000,
    SHORT_WAIT_US = 1000,
    US_PER_S = 1000000,
    NS_PER_US = 1000
};

/* A thread that waits for the verdict on one id. */
typedef struct waiter {
    struct waiter *next;
    intent_verdict_t verdict; /* INTENT_WAIT until settled */
} waiter_t;

struct intents {
    pthread_mutex_t lock;
    pthread_cond_t work;    /* for the thread */
    pthread_cond_t settled; /* for waiters */
    pthread_t thread;
    bool started;
    bool stopping;
    store_client_t store;
    uint64_t incarnation;
    intent_log_t *logs[INTENT_BUCKETS];
    waiter_t *waiters;
};

static struct timespec
timespec_of(int64_t at_us)
{
    return (struct timespec){
        .tv_sec = at_us / US_PER_S,
        .tv_nsec = (at_us % US_PER_S) * NS_PER_US,
    };
}

/* Lock held. */
static void
settle(intents_t *intents, const intent_verdict_t *verdict)
{
    for (waiter_t *waiter = intents->waiters; waiter != NULL;
         waiter = waiter->next) {
        if (waiter->verdict.hash == verdict->hash) {
            waiter->verdict = *verdict;
        }
    }
    pthread_cond_broadcast(&intents->settled);
}

static void
perform_read(intents_t *intents, intent_log_t *log, const char *key)
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
perform_write(intents_t *intents, intent_log_t *log, const char *key,
              const intent_action_t *action)
{
    error_t ignored = ERROR_INIT;
    pthread_mutex_unlock(&intents->lock);
    status_t status =
        store_cas_put(&intents->store, key, (const char *)action->value,
                      action->size, action->index, &ignored);
    pthread_mutex_lock(&intents->lock);
    /* The service does not tell the new index with a write. */
    intent_write_done(log, status, 0, clock_now_us());
}

/* Do what one log asks for; false: nothing now. Lock held, but for the I/O. */
static bool
work_on(intents_t *intents, intent_log_t *log)
{
    intent_action_t action;
    intent_verdict_t verdict;
    char key[STORE_KEY_MAX_BYTES];
    intent_do_t what = intent_action(log, clock_now_us(), &action);
    snprintf(key, sizeof(key), "yuccarun/once/%u", action.bucket);
    if (what == INTENT_DO_READ) {
        perform_read(intents, log, key);
    }
    else if (what == INTENT_DO_WRITE) {
        perform_write(intents, log, key, &action);
    }
    bool worked = what != INTENT_DO_NOTHING;
    while (intent_take(log, &verdict)) {
        settle(intents, &verdict);
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
        int64_t next_us = now_us + IDLE_WAIT_US;
        for (size_t i = 0; i < INTENT_BUCKETS && !intents->stopping; i++) {
            intent_log_t *log = intents->logs[i];
            if (log == NULL) {
                continue;
            }
            worked = work_on(intents, log) || worked;
            int64_t wakeup_us = intent_wakeup(log, now_us);
            next_us = wakeup_us < next_us ? wakeup_us : next_us;
        }
        if (!worked) {
            int64_t soonest_us = now_us + SHORT_WAIT_US;
            struct timespec until =
                timespec_of(next_us > soonest_us ? next_us : soonest_us);
            pthread_cond_timedwait(&intents->work, &intents->lock, &until);
        }
    }
    pthread_mutex_unlock(&intents->lock);
    return NULL;
}

static void
init_condition(pthread_cond_t *condition)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

intents_t *
intents_new(const store_client_t *store, uint64_t incarnation, error_t *err)
{
    intents_t *intents = calloc(1, sizeof(*intents));
    if (intents == NULL) {
        error_set(err, STATUS_NO_MEMORY, "start intents", "-", "no memory");
        return NULL;
    }
    intents->store = *store;
    intents->incarnation = incarnation;
    pthread_mutex_init(&intents->lock, NULL);
    init_condition(&intents->work);
    init_condition(&intents->settled);
    if (pthread_create(&intents->thread, NULL, intents_main, intents) != 0) {
        error_set(err, STATUS_INTERNAL, "start intents", "-", "no thread");
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
    pthread_cond_destroy(&intents->settled);
    pthread_mutex_destroy(&intents->lock);
    free(intents);
}

/* The log of an id's bucket, made when first needed; NULL: no memory. */
static intent_log_t *
log_of(intents_t *intents, uint64_t hash)
{
    uint32_t bucket = bucket_of(hash);
    if (intents->logs[bucket] == NULL) {
        intent_settings_t settings = {
            .incarnation = intents->incarnation,
            .commit_gap_us = COMMIT_GAP_US,
            .generation_us = GENERATION_US,
            .horizon = HORIZON_GENERATIONS,
        };
        intents->logs[bucket] = intent_log_new(&settings, bucket);
    }
    return intents->logs[bucket];
}

static void
wait_for(intents_t *intents, waiter_t *waiter, int64_t until_us)
{
    struct timespec until = timespec_of(until_us);
    waiter->next = intents->waiters;
    intents->waiters = waiter;
    pthread_cond_signal(&intents->work);
    while (waiter->verdict.status == INTENT_WAIT &&
           clock_now_us() < until_us) {
        pthread_cond_timedwait(&intents->settled, &intents->lock, &until);
    }
    waiter_t **link = &intents->waiters;
    while (*link != waiter) {
        link = &(*link)->next;
    }
    *link = waiter->next;
    if (waiter->verdict.status == INTENT_WAIT) {
        waiter->verdict.status = INTENT_STORE;
    }
}

intent_verdict_t
intents_commit(intents_t *intents, uint64_t hash, int64_t until_us)
{
    waiter_t waiter = {
        .verdict = {.hash = hash, .status = INTENT_STORE},
    };
    pthread_mutex_lock(&intents->lock);
    intent_log_t *log = log_of(intents, hash);
    if (log != NULL) {
        waiter.verdict = intent_submit(log, hash);
    }
    if (waiter.verdict.status == INTENT_WAIT) {
        wait_for(intents, &waiter, until_us);
    }
    pthread_mutex_unlock(&intents->lock);
    return waiter.verdict;
}

void
intents_withdraw(intents_t *intents, uint64_t hash)
{
    pthread_mutex_lock(&intents->lock);
    intent_log_t *log = log_of(intents, hash);
    if (log != NULL) {
        intent_withdraw(log, hash);
        pthread_cond_signal(&intents->work);
    }
    pthread_mutex_unlock(&intents->lock);
}
