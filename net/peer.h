/*
 * Transport between daemons: authenticated TCP connections to each known
 * peer, messages in and out.
 *
 *     peer_net_t *net = peer_net_new(&settings, &ops, ctx, &err);
 *     peer_net_set_peers(net, peers, count);
 *     peer_net_send(net, "b2", incarnation, &message, &err);
 *     peer_net_free(net);
 *
 * One thread of its own does all socket work and calls the ops, without any
 * lock held: an op may call peer_net_send and peer_net_set_peers, must not
 * block, and must not call peer_net_free. All functions here may be called
 * from any thread.
 *
 * A connection carries messages both ways, whoever dialed; a peer may be
 * sent to as long as one is up, also a peer that dialed and is not in the
 * set. A peer is named by name and incarnation: a message for one incarnation
 * never reaches another.
 *
 * After a pause of the whole daemon what waits in the sockets is as old as the
 * pause, while its deadlines would count from now: all connections are closed
 * unread, with on_down, and made anew.
 *
 * A message that peer_net_send accepted is either handed to the peer's
 * socket, or on_down is called after it was accepted. on_down means: what was
 * sent to this peer, or was coming from it, may be lost. So note what is in
 * flight before sending it, and settle all of it on on_down.
 */
#ifndef NET_PEER_H
#define NET_PEER_H

#include "core/topology.h"
#include "proto/handshake.h"

typedef struct peer_net peer_net_t;

enum {
    PEER_NET_QUEUE_MAX_BYTES = 8 << 20, /* default of queue_max_bytes */
    PEER_NET_PEERS_MAX = 4096,          /* in the set, and connected */
    PEER_NET_UNAUTHENTICATED_MAX = 64   /* connections in their handshake */
};

#define PEER_NET_HANDSHAKE_MAX_US INT64_C(2000000)

/* Default of linger_us. */
#define PEER_NET_LINGER_US INT64_C(500000)

/* Default of pause_us. */
#define PEER_NET_PAUSE_US INT64_C(2000000)

typedef struct {
    identity_t self;
    char address[ADDRESS_SIZE]; /* to listen on */
    uint16_t port;              /* 0: any free one */
    auth_key_t key;             /* copied; at least AUTH_KEY_MIN_BYTES */
    size_t queue_max_bytes;     /* waiting for one peer; 0: the default */
    uint64_t seed;              /* of the back-off's jitter */
    int64_t pause_us;  /* not run for so long: paused; 0: PEER_NET_PAUSE_US */
    int64_t linger_us; /* wait of peer_net_free; 0: PEER_NET_LINGER_US */
} peer_net_settings_t;

/*
 * A peer to stay connected to. With an empty name and incarnation 0 it is
 * whichever daemon answers there, for a start without a roster.
 */
typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation; /* 0: any */
    char address[ADDRESS_SIZE];
    uint16_t port;
} peer_address_t;

typedef struct {
    /*
     * A message arrived. It is released after the call, unless the callee
     * copied *message and set message->memory to NULL.
     */
    void (*on_message)(void *ctx, const char *peer, uint64_t incarnation,
                       message_t *message);

    /* The peer can be sent to from now on. */
    void (*on_up)(void *ctx, const char *peer, uint64_t incarnation);

    /*
     * A connection to the peer ended. reachable: another one is still up,
     * and the peer can be sent to.
     */
    void (*on_down)(void *ctx, const char *peer, uint64_t incarnation,
                    bool reachable, const error_t *err);

    /* A stranger or a broken message was refused, or a dial failed. */
    void (*on_refused)(void *ctx, const error_t *err);
} peer_ops_t;

typedef struct {
    uint64_t messages;
    uint64_t bytes; /* on the wire, framing included */
} peer_traffic_t;

typedef struct {
    peer_traffic_t sent[MESSAGE_TYPE_COUNT]; /* MESSAGE_NONE: unknown types */
    peer_traffic_t received[MESSAGE_TYPE_COUNT];
    uint64_t dials;
    uint64_t dials_failed;
    uint64_t ups;
    uint64_t downs;
    uint64_t denied;        /* refused in the handshake or by a wrong MAC */
    uint64_t malformed;     /* malformed after authentication */
    uint64_t refused_sends; /* not connected or queue full */
    int64_t cpu_us;         /* of the transport's thread */
} peer_counters_t;

/* A connected peer, for status. */
typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    char zone[NAME_SIZE];
    uint32_t version; /* agreed for the connection */
    size_t queued_bytes;
} peer_info_t;

/* Listen and start; NULL with *err set when that fails. */
peer_net_t *peer_net_new(const peer_net_settings_t *settings,
                         const peer_ops_t *ops, void *ctx, error_t *err);

/*
 * Wait at most linger_us until what was accepted for sending has
 * reached the peers' hosts, close every connection and free. Ops may be
 * called until it returns, but on_down is not called for these closes. NULL
 * ok.
 */
void peer_net_free(peer_net_t *net);

/* The port it listens on. */
uint16_t peer_net_port(const peer_net_t *net);

/*
 * Replace the set of peers to stay connected to; this daemon's own name
 * and address are skipped, and so is an unnamed entry whose address a named
 * one has. Connections dialed to peers no longer in the set are closed.
 */
status_t peer_net_set_peers(peer_net_t *net, const peer_address_t *peers,
                            size_t count, error_t *err);

/*
 * Queue a message for a peer; with NULL as its name, for whichever has that
 * incarnation. Deadlines in it are of CLOCK_MONOTONIC. Anything but
 * STATUS_OK means that it was not and will not be sent: STATUS_UNAVAILABLE
 * not connected, STATUS_TOO_LARGE the queue or the message is too large,
 * STATUS_INVALID the message breaks a rule.
 */
status_t peer_net_send(peer_net_t *net, const char *peer, uint64_t incarnation,
                       const message_t *message, error_t *err);

/* Wait until all accepted messages reached the peers' hosts; false: not in
 * time. */
bool peer_net_drain(peer_net_t *net, int64_t timeout_us);

/* Copy the connected peers; returns how many there are. */
size_t peer_net_peers(peer_net_t *net, peer_info_t *out, size_t max);

/* Counts since the start. */
peer_counters_t peer_net_counters(peer_net_t *net);

#endif
