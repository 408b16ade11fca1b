/*
 * Questions put to other daemons and the threads that wait for the answers.
 *
 *     uint64_t id = pending_requests_begin(&asks, incarnation);
 *     ... send MESSAGE_ASK with id ...
 *     if (pending_requests_wait(&asks, id, timeout_us, &reply)) ...
 * free(reply.json);
 *
 * Every id begun is waited for exactly once. Answers to ids no longer waited
 * for are dropped.
 */
#ifndef DAEMON_PENDING_REQUESTS_H
#define DAEMON_PENDING_REQUESTS_H

#include "core/status.h"

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    unsigned status; /* an HTTP status */
    char *json;      /* NUL added; freed by the waiter */
    size_t size;
} pending_reply_t;

typedef struct pending_request pending_request_t;

typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t answered;
    uint64_t last_id;
    pending_request_t *first;
} pending_requests_t;

void pending_requests_init(pending_requests_t *requests);
void pending_requests_release(pending_requests_t *requests);

/* Number of a new question to the daemon of that incarnation; 0: no memory */
uint64_t pending_requests_begin(pending_requests_t *requests,
                                uint64_t incarnation);

/* Wait for the answer; false: none in time, or the daemon is gone. */
bool pending_requests_wait(pending_requests_t *requests, uint64_t id,
                           int64_t timeout_us, pending_reply_t *reply);

/* An answer arrived from the daemon of that incarnation. */
void pending_requests_complete(pending_requests_t *requests,
                               uint64_t incarnation, uint64_t id,
                               unsigned status, const char *json, size_t size);

/* The daemon of that incarnation will answer nothing any more. */
void pending_requests_fail_peer(pending_requests_t *requests,
                                uint64_t incarnation);

#endif
