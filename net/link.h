/*
 * What threads share of the transport: the connected peers and the messages
 * that wait for each; private to net/.
 *
 * A link is one incarnation of one peer with at least one authenticated
 * connection. links_t holds them sorted by incarnation. Its lock guards the
 * list and the queues; the two connection pointers are the transport
 * thread's own.
 */
#ifndef NET_LINK_H
#define NET_LINK_H

#include "net/connection.h"
#include "net/peer.h"

#include <pthread.h>

/* An encoded message that waits for a connection. */
typedef struct outgoing {
    struct outgoing *next;
    uint8_t *payload;
    size_t size;
    uint8_t type;
} outgoing_t;

typedef struct peer_link {
    char name[NAME_SIZE];
    uint64_t incarnation;
    char zone[NAME_SIZE];
    uint32_t version;
    struct channel *dialed;   /* transport thread only */
    struct channel *accepted; /* transport thread only */
    outgoing_t *head;
    outgoing_t **tail;
    size_t queued_bytes;
} peer_link_t;

typedef struct {
    pthread_mutex_t lock;
    peer_link_t **list; /* sorted by incarnation */
    size_t count;
    size_t capacity;
    size_t queue_max_bytes;
} links_t;

void links_init(links_t *links, size_t queue_max_bytes);
void links_release(links_t *links);

/* The link of a peer that has just authenticated, new or known; or NULL. */
peer_link_t *links_add(links_t *links, const hello_t *hello, uint32_t version);

/* Remove and free a link and what is queued for it. */
void links_remove(links_t *links, peer_link_t *link);

/* The link of an incarnation; the transport thread only. */
peer_link_t *links_find(links_t *links, const char *name,
                        uint64_t incarnation);

/* Queue a payload, which the link then owns; not STATUS_OK: it does not. */
status_t links_enqueue(links_t *links, const char *name, uint64_t incarnation,
                       uint8_t type, uint8_t *payload, size_t size,
                       error_t *err);

/* Take the first message of the queue; NULL: empty. Free with outgoing_free.
 */
outgoing_t *links_dequeue(links_t *links, peer_link_t *link);
void outgoing_free(outgoing_t *outgoing);

/* Copy the links that have messages queued; returns how many. */
size_t links_with_queued(links_t *links, peer_link_t **out, size_t max);

/* Bytes queued for all peers. */
size_t links_queued_bytes(links_t *links);

size_t links_snapshot(links_t *links, peer_info_t *out, size_t max);

#endif
