/*
 * Messages from other threads to a worker, and the queue that holds them.
 *
 * A worker_message_t owns its arrays; the worker that took it frees it.
 * Pushing blocks only briefly and never fails for lack of room: the limits on
 * queries and parts bound the length of the queue.
 */
#ifndef DAEMON_WORKER_QUEUE_H
#define DAEMON_WORKER_QUEUE_H

#include "core/query.h"
#include "daemon/fleet_view.h"

#include <pthread.h>

/* Callbacks by which a query reports to the caller that waits for it. */
typedef struct {
    void *context;
    /* The query has ended; called exactly once. */
    void (*done)(void *context, uint64_t sequence,
                 const query_answer_t *answer);
    /* The query has started; called before done, if at all. NULL ok. */
    void (*started)(void *context, uint64_t sequence);
} query_waiter_t;

typedef enum {
    WORKER_MESSAGE_QUERY,        /* run a query */
    WORKER_MESSAGE_CANCEL_QUERY, /* cancel the query with this sequence */
    WORKER_MESSAGE_CANCEL_ALL,   /* cancel every query */
    WORKER_MESSAGE_PARTS,        /* admit parts sent by a coordinator */
    WORKER_MESSAGE_REPLIES,      /* replies to parts that this daemon sent */
    WORKER_MESSAGE_CANCEL_PARTS, /* a coordinator cancels parts */
    WORKER_MESSAGE_PEER_DOWN,    /* the connection to a daemon ended */
    WORKER_MESSAGE_VIEW,         /* a new view of the fleet */
    WORKER_MESSAGE_QUARANTINE    /* fingerprints to quarantine */
} worker_message_type_t;

typedef struct worker_message {
    struct worker_message *next;
    worker_message_type_t type;
    uint64_t incarnation; /* of the daemon that sent it, or that is down */
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
    worker_message_t **tail; /* link to append at */
} worker_queue_t;

/* Create an empty message; NULL: out of memory. */
worker_message_t *worker_message_new(worker_message_type_t type);

/* Free a message with its arrays; NULL ok. */
void worker_message_free(worker_message_t *message);

/* Create a message that copies the array and bodies; NULL: out of memory. */
worker_message_t *worker_message_new_parts(uint64_t incarnation,
                                           const part_request_t *requests,
                                           size_t count);
worker_message_t *worker_message_new_replies(uint64_t incarnation,
                                             const part_reply_t *replies,
                                             size_t count);
worker_message_t *worker_message_new_cancel(uint64_t incarnation,
                                            const attempt_id_t *ids,
                                            size_t count);

/* Create an empty queue. */
void worker_queue_init(worker_queue_t *queue);

/* Free the queue and the messages in it. */
void worker_queue_release(worker_queue_t *queue);

/* Append a message, which the queue then owns; from any thread. */
void worker_queue_push(worker_queue_t *queue, worker_message_t *message);

/*
 * Remove all messages and return them in order, linked by `next`. The caller
 * frees each. NULL: the queue is empty.
 */
worker_message_t *worker_queue_take_all(worker_queue_t *queue);

#endif
