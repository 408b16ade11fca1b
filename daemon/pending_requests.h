/*
 * Requests to other daemons (MESSAGE_ASK) that wait for their replies.
 *
 *     uint64_t id = pending_requests_begin(&requests, incarnation);
 *     ... send MESSAGE_ASK with id ...
 *     if (pending_requests_wait(&requests, id, timeout_us, &reply)) {
 *         ... use reply ...
 *         free(reply.json);
 *     }
 *
 * Call pending_requests_wait exactly once for each id; it frees the request.
 * A reply that arrives later is dropped. All functions between
 * pending_requests_init and pending_requests_release may be called from any
 * thread.
 */
#ifndef DAEMON_PENDING_REQUESTS_H
#define DAEMON_PENDING_REQUESTS_H

#include "core/status.h"

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    unsigned status; /* HTTP status */
    char *json;      /* NUL-terminated; the waiting caller frees it */
    size_t size;     /* without the NUL */
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

/*
 * Registers a request to the daemon with this incarnation. Returns its id, or
 * 0 if memory is out.
 */
uint64_t pending_requests_begin(pending_requests_t *requests,
                                uint64_t incarnation);

/*
 * Waits up to timeout_us for the reply and frees the request. Returns false
 * if no reply came in time, the connection to the daemon ended, or id is 0.
 */
bool pending_requests_wait(pending_requests_t *requests, uint64_t id,
                           int64_t timeout_us, pending_reply_t *reply);

/*
 * Completes a request with a copy of the reply. The reply is dropped unless
 * it comes from the incarnation that the request was registered for.
 */
void pending_requests_complete(pending_requests_t *requests,
                               uint64_t incarnation, uint64_t id,
                               unsigned status, const char *json, size_t size);

/* Ends all requests to this incarnation that have no reply yet. */
void pending_requests_fail_peer(pending_requests_t *requests,
                                uint64_t incarnation);

#endif
