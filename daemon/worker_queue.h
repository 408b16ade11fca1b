/*
 * What other threads hand to a worker, and the queue it is put in.
 *
 * A worker_message_t owns its arrays and is freed by the worker that took it.
 * Putting never blocks for long and never fails for lack of room: what may
 * wait is bounded by the limits on queries and parts.
 */
#ifndef DAEMON_WORKER_QUEUE_H
#define DAEMON_WORKER_QUEUE_H

#include "core/query.h"
#include "daemon/fleet_view.h"

#include <pthread.h>

/* How a query's end reaches whoever waits for it; called once. */
typedef struct {
    void *context;
    void (*done)(void *context, uint64_t sequence,
                 const query_answer_t *answer);
    /* Told when the query has its number, before done. */
    void (*started)(void *context, uint64_t sequence);
} query_waiter_t;

typedef enum {
    WORKER_MESSAGE_QUERY,        /* run a query */
    WORKER_MESSAGE_CANCEL_QUERY, /* cancel the query of sequence */
    WORKER_MESSAGE_CANCEL_ALL,   /* cancel every query */
    WORKER_MESSAGE_PARTS,        /* admit parts of a coordinator */
    WORKER_MESSAGE_REPLIES,      /* replies to this daemon's parts */
    WORKER_MESSAGE_CANCEL_PARTS, /* a coordinator gives up parts */
    WORKER_MESSAGE_PEER_DOWN,    /* the connection to a daemon ended */
    WORKER_MESSAGE_VIEW,         /* a new view */
    WORKER_MESSAGE_QUARANTINE    /* fingerprints found elsewhere */
} worker_message_type_t;

typedef struct message {
    struct message *next;
    worker_message_type_t type;
    uint64_t incarnation; /* of the daemon it comes from or is about */
    uint64_t sequence;
    query_request_t query; /* its body is owned by the message */
    query_waiter_t waiter;
    part_request_t *requests; /* each body is owned by the message */
    part_reply_t *replies;
    attempt_id_t *attempt_ids;
    uint64_t *fingerprints;
    size_t count;
    fleet_view_t *view;
} worker_message_t;

typedef struct {
    pthread_mutex_t lock;
    worker_message_t *head;
    worker_message_t **tail;
} worker_queue_t;

worker_message_t *
worker_message_new(worker_message_type_t type); /* NULL: no memory */
void worker_message_free(worker_message_t *message);

/* Mail of copies, payloads included; NULL: no memory. */
worker_message_t *worker_message_new_parts(uint64_t incarnation,
                                           const part_request_t *requests,
                                           size_t count);
worker_message_t *worker_message_new_replies(uint64_t incarnation,
                                             const part_reply_t *replies,
                                             size_t count);
worker_message_t *worker_message_new_cancel(uint64_t incarnation,
                                            const attempt_id_t *ids,
                                            size_t count);

void worker_queue_init(worker_queue_t *queue);
void worker_queue_release(worker_queue_t *queue);

/* Put message, which the queue then owns. */
void worker_queue_push(worker_queue_t *queue, worker_message_t *message);

/* Take everything in order, as a list by next; NULL: empty. */
worker_message_t *worker_queue_take_all(worker_queue_t *queue);

#endif
