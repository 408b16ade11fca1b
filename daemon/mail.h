/*
 * What other threads hand to a worker, and the box it is put in.
 *
 * A mail_t owns its arrays and is freed by the worker that took it. Putting
 * never blocks for long and never fails for lack of room: what may wait is
 * bounded by the limits on queries and parts.
 */
#ifndef DAEMON_MAIL_H
#define DAEMON_MAIL_H

#include "core/query.h"
#include "daemon/world.h"

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
    MAIL_QUERY,        /* run a query */
    MAIL_CANCEL_QUERY, /* cancel the query of sequence */
    MAIL_CANCEL_ALL,   /* cancel every query */
    MAIL_PARTS,        /* admit parts of a coordinator */
    MAIL_REPLIES,      /* replies to this daemon's parts */
    MAIL_CANCEL_PARTS, /* a coordinator gives up parts */
    MAIL_PEER_DOWN,    /* the connection to a daemon ended */
    MAIL_WORLD,        /* a new view */
    MAIL_QUARANTINE    /* fingerprints found elsewhere */
} mail_type_t;

typedef struct mail {
    struct mail *next;
    mail_type_t type;
    uint64_t incarnation; /* of the daemon it comes from or is about */
    uint64_t sequence;
    query_request_t query; /* its body is owned by the mail */
    query_waiter_t waiter;
    part_request_t *requests; /* each body is owned by the mail */
    part_reply_t *replies;
    attempt_id_t *ids;
    uint64_t *fingerprints;
    size_t count;
    world_t *world;
} mail_t;

typedef struct {
    pthread_mutex_t lock;
    mail_t *first;
    mail_t **last;
} mailbox_t;

mail_t *mail_new(mail_type_t type); /* NULL: no memory */
void mail_free(mail_t *mail);

/* Mail of copies, payloads included; NULL: no memory. */
mail_t *mail_new_parts(uint64_t incarnation, const part_request_t *requests,
                       size_t count);
mail_t *mail_new_replies(uint64_t incarnation, const part_reply_t *replies,
                         size_t count);
mail_t *mail_new_cancel(uint64_t incarnation, const attempt_id_t *ids,
                        size_t count);

void mailbox_init(mailbox_t *box);
void mailbox_release(mailbox_t *box);

/* Put mail, which the box then owns. */
void mailbox_put(mailbox_t *box, mail_t *mail);

/* Take everything in order, as a list by next; NULL: empty. */
mail_t *mailbox_take(mailbox_t *box);

#endif
