/*
 * The state of the transport that its thread shares with its callers: the
 * connected peers and the queue of messages to each. Private to net/.
 *
 * A link is one incarnation of one peer with at least one authenticated
 * connection. links_t holds the links sorted by incarnation. Its lock guards
 * the list and the queues; only the transport's thread uses the pointers to
 * channels, and only that thread adds and removes links.
 */
#ifndef NET_LINK_H
#define NET_LINK_H

#include "net/connection.h"
#include "net/peer.h"

#include <pthread.h>

/* An encoded message in the queue of a link. */
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
    uint32_t version;         /* agreed protocol version */
    struct channel *dialed;   /* connection that this daemon dialed, or NULL */
    struct channel *accepted; /* connection that the peer dialed, or NULL */
    outgoing_t *head;         /* of the queue */
    outgoing_t **tail;        /* where to put the next message */
    size_t queued_bytes;      /* size of the queue's frames */
} peer_link_t;

typedef struct {
    pthread_mutex_t lock;
    peer_link_t **list; /* sorted by incarnation */
    size_t count;
    size_t capacity;
    size_t queue_max_bytes; /* bound of queued_bytes of each link */
} links_t;

void links_init(links_t *links, size_t queue_max_bytes);
void links_release(links_t *links);

/*
 * Returns the link of a peer that has just authenticated, and adds the link if
 * there is none. Returns NULL if out of memory or if there are
 * PEER_NET_PEERS_MAX links already.
 */
peer_link_t *links_add(links_t *links, const hello_t *hello, uint32_t version);

/* Removes and frees a link and its queued messages. */
void links_remove(links_t *links, peer_link_t *link);

/*
 * Returns the link of an incarnation, or NULL; a NULL name matches any name.
 * For the transport's thread only, since only that thread may use the link
 * without the lock.
 */
peer_link_t *links_find(links_t *links, const char *name,
                        uint64_t incarnation);

/*
 * Appends a message to the queue of a peer; a NULL name matches any name. On
 * STATUS_OK the link owns payload, otherwise the caller still does:
 * STATUS_UNAVAILABLE means that the peer is not connected, STATUS_TOO_LARGE
 * that its queue is full.
 */
status_t links_enqueue(links_t *links, const char *name, uint64_t incarnation,
                       uint8_t type, uint8_t *payload, size_t size,
                       error_t *err);

/*
 * Removes the first message from the queue; NULL if the queue is empty. The
 * caller frees the message with outgoing_free.
 */
outgoing_t *links_dequeue(links_t *links, peer_link_t *link);
void outgoing_free(outgoing_t *outgoing);

/* Writes up to max links with queued messages to out; returns how many. */
size_t links_with_queued(links_t *links, peer_link_t **out, size_t max);

/* Returns the bytes queued for all peers. */
size_t links_queued_bytes(links_t *links);

/* Copies the state of up to max links to out; returns the number of links. */
size_t links_snapshot(links_t *links, peer_info_t *out, size_t max);

#endif
