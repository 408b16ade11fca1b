/*
 * Questions put to other daemons and the threads that wait for the answers.
 *
 *     uint64_t id = asks_begin(&asks, incarnation);
 *     ... send MESSAGE_ASK with id ...
 *     if (asks_wait(&asks, id, timeout_us, &reply)) ... free(reply.json);
 *
 * Every id begun is waited for exactly once. Answers to ids no longer waited
 * for are dropped.
 */
#ifndef DAEMON_ASKS_H
#define DAEMON_ASKS_H

#include "core/status.h"

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    unsigned status; /* an HTTP status */
    char *json;      /* NUL added; freed by the waiter */
    size_t size;
} ask_reply_t;

typedef struct ask_entry ask_entry_t;

typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t answered;
    uint64_t last_id;
    ask_entry_t *entries;
} asks_t;

void asks_init(asks_t *asks);
void asks_release(asks_t *asks);

/* Number of a new question to the daemon of that incarnation; 0: no memory */
uint64_t asks_begin(asks_t *asks, uint64_t incarnation);

/* Wait for the answer; false: none in time, or the daemon is gone. */
bool asks_wait(asks_t *asks, uint64_t id, int64_t timeout_us,
               ask_reply_t *reply);

/* An answer arrived from the daemon of that incarnation. */
void asks_answer(asks_t *asks, uint64_t incarnation, uint64_t id,
                 unsigned status, const char *json, size_t size);

/* The daemon of that incarnation will answer nothing any more. */
void asks_peer_down(asks_t *asks, uint64_t incarnation);

#endif
