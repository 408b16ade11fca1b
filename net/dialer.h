/*
 * Decides which peers to connect to, and when. It uses no sockets and no
 * clock.
 *
 * An entry is busy while its peer is being dialed or is connected, whichever
 * side dialed. While its peer is connected, an entry records the name and the
 * incarnation of the daemon that answered; an unnamed entry matches a daemon
 * only then.
 *
 *     dialer_t dialer;
 *     dialer_init(&dialer, seed);
 *     dialer_set_peers(&dialer, peers, count, now_us);
 *     while ((peer = dialer_next(&dialer, now_us)) != NULL) dial it
 *     dialer_connected(&dialer, name, incarnation, peer);
 *     dialer_disconnected(&dialer, name, incarnation, lasted_us, now_us);
 *     dialer_release(&dialer);
 */
#ifndef NET_DIALER_H
#define NET_DIALER_H

#include "net/peer.h"

typedef struct {
    peer_address_t peer;  /* as passed to dialer_set_peers */
    char name[NAME_SIZE]; /* of the connected daemon; empty: none */
    uint64_t incarnation; /* of the connected daemon; 0: none */
    uint64_t seed;        /* of the backoff's jitter */
    int64_t next_dial_us;
    uint32_t failures; /* consecutive */
    bool busy;
} dial_entry_t;

typedef struct {
    uint64_t seed;
    dial_entry_t *entries;
    size_t count;
} dialer_t;

void dialer_init(dialer_t *dialer, uint64_t seed);
void dialer_release(dialer_t *dialer);

/*
 * Replaces the set of peers; peers that stay in the set keep their backoff.
 * Copies peers. Returns false if out of memory.
 */
bool dialer_set_peers(dialer_t *dialer, const peer_address_t *peers,
                      size_t count, int64_t now_us);

/*
 * Returns a peer whose dial is due and marks it busy, or returns NULL. The
 * pointer is valid until dialer_set_peers.
 */
const peer_address_t *dialer_next(dialer_t *dialer, int64_t now_us);

/*
 * Records that the dial of a peer that dialer_next returned has failed, and
 * schedules the next dial. Does nothing if the peer has connected meanwhile.
 */
void dialer_failed(dialer_t *dialer, const peer_address_t *peer,
                   int64_t now_us);

/*
 * Records that a peer is connected. dialed is the entry that was dialed, or
 * NULL if the peer dialed this daemon.
 */
void dialer_connected(dialer_t *dialer, const char *name, uint64_t incarnation,
                      const peer_address_t *dialed);

/*
 * Records that the last connection to a peer ended after lasted_us, and
 * schedules the next dial.
 */
void dialer_disconnected(dialer_t *dialer, const char *name,
                         uint64_t incarnation, int64_t lasted_us,
                         int64_t now_us);

/* Whether the daemon of a connection is in the set. */
bool dialer_has_daemon(const dialer_t *dialer, const char *name,
                       uint64_t incarnation);

/* Whether the set has an entry that is equal to peer. */
bool dialer_has_peer(const dialer_t *dialer, const peer_address_t *peer);

/*
 * Returns the time at which the next dial is due; INT64_MAX if all peers are
 * busy.
 */
int64_t dialer_next_due_us(const dialer_t *dialer);

#endif
