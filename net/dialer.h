/*
 * Which peers to connect to, and when. Pure: no sockets, no clock.
 *
 * A peer is busy while it is being dialed or is connected, whoever dialed. An
 * entry without a name takes the name of the daemon that answered for as long
 * as that is connected.
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
    peer_address_t peer; /* as it was set */
    char name[NAME_SIZE];
    uint64_t incarnation; /* as it answered; 0: not connected */
    uint64_t seed;
    int64_t next_dial_us;
    uint32_t failures; /* in a row */
    bool busy;
} dial_entry_t;

typedef struct {
    uint64_t seed;
    dial_entry_t *entries;
    size_t count;
} dialer_t;

void dialer_init(dialer_t *dialer, uint64_t seed);
void dialer_release(dialer_t *dialer);

/* Replace the set; peers that stay keep their back-off. False: no memory. */
bool dialer_set_peers(dialer_t *dialer, const peer_address_t *peers,
                      size_t count, int64_t now_us);

/* A peer to dial now, marked busy; NULL: none. Valid until dialer_set_peers.
 */
const peer_address_t *dialer_next(dialer_t *dialer, int64_t now_us);

/*
 * A dial of peer, which dialer_next returned, came to nothing. Ignored when
 * the peer has connected meanwhile.
 */
void dialer_failed(dialer_t *dialer, const peer_address_t *peer,
                   int64_t now_us);

/* The peer is connected; dialed is NULL when it dialed itself. */
void dialer_connected(dialer_t *dialer, const char *name, uint64_t incarnation,
                      const peer_address_t *dialed);

/* No connection to the peer is left; the last one lasted so long. */
void dialer_disconnected(dialer_t *dialer, const char *name,
                         uint64_t incarnation, int64_t lasted_us,
                         int64_t now_us);

/* Whether a connected peer is in the set. */
bool dialer_has_daemon(const dialer_t *dialer, const char *name,
                       uint64_t incarnation);

/* Whether a peer being dialed is in the set. */
bool dialer_has_peer(const dialer_t *dialer, const peer_address_t *peer);

/* When dialer_next may next return a peer; INT64_MAX: not by time alone. */
int64_t dialer_next_due_us(const dialer_t *dialer);

#endif
