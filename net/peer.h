/*
 * Transport between daemons: keeps authenticated TCP connections to a set of
 * peers, and sends and receives messages over them.
 *
 *     peer_net_t *net = peer_net_new(&settings, &ops, ctx, &err);
 *     peer_net_set_peers(net, peers, count, &err);
 *     peer_net_send(net, "b2", incarnation, &message, &err);
 *     peer_net_free(net);
 *
 * The transport has one thread, which does all socket work and calls the ops
 * without holding a lock. An op may call peer_net_send and peer_net_set_peers,
 * must not block, and must not call peer_net_free. The functions declared here
 * may be called from any thread.
 *
 * A connection carries messages in both directions, whichever side dialed. A
 * message can be sent to any connected peer, also to a peer that dialed this
 * daemon and is not in the set. A peer is identified by name and incarnation:
 * a message for one incarnation never reaches another.
 *
 * After a pause of the whole process, unread messages in the sockets may be as
 * old as the pause, but their deadlines, which the wire carries as time left,
 * would count from the time of reading. So all connections are closed without
 * reading them, with on_down, and peers are dialed again.
 *
 * A message that peer_net_send accepted is either written to the peer's
 * socket, or on_down is called after it was accepted. After on_down any
 * message sent to this peer or by it may be lost. So callers must record a
 * request as in flight before sending it, and resolve all requests in flight
 * to the peer on on_down.
 */
#ifndef NET_PEER_H
#define NET_PEER_H

#include "core/topology.h"
#include "proto/handshake.h"

typedef struct peer_net peer_net_t;

enum {
    PEER_NET_QUEUE_MAX_BYTES = 8 << 20, /* default of queue_max_bytes */
    PEER_NET_PEERS_MAX = 4096, /* peers in the set, and connected peers */
    PEER_NET_UNAUTHENTICATED_MAX = 64 /* accepted, in their handshake */
};

/* A connection whose handshake takes longer is closed. */
#define PEER_NET_HANDSHAKE_MAX_US INT64_C(2000000)

/* Default of linger_us. */
#define PEER_NET_LINGER_US INT64_C(500000)

/*
 * Default of pause_us. The process was paused if the transport's thread has
 * not run for longer than pause_us.
 */
#define PEER_NET_PAUSE_US INT64_C(2000000)

typedef struct {
    identity_t self;
    char address[ADDRESS_SIZE]; /* to listen on */
    uint16_t port;              /* 0: any free port */
    auth_key_t key;             /* copied; at least AUTH_KEY_MIN_BYTES */
    size_t queue_max_bytes;     /* bound of one peer's queue; 0: default */
    uint64_t seed;              /* of the backoff's jitter */
    int64_t pause_us;  /* a longer gap is a pause; 0: PEER_NET_PAUSE_US */
    int64_t linger_us; /* longest wait of peer_net_free; 0: default */
} peer_net_settings_t;

/*
 * A peer to stay connected to. An entry with an empty name and incarnation 0
 * matches any daemon that answers at the address; it is used when a daemon
 * starts without a roster.
 */
typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation; /* 0: any */
    char address[ADDRESS_SIZE];
    uint16_t port;
} peer_address_t;

typedef struct {
    /*
     * A message arrived. The transport releases it after the call, unless the
     * op copied *message and set message->memory to NULL, which makes the op's
     * copy the owner.
     */
    void (*on_message)(void *ctx, const char *peer, uint64_t incarnation,
                       message_t *message);

    /* The peer is connected; messages can be sent to it from now on. */
    void (*on_up)(void *ctx, const char *peer, uint64_t incarnation);

    /*
     * A connection to the peer ended. reachable: another connection is still
     * up, and messages can still be sent to the peer.
     */
    void (*on_down)(void *ctx, const char *peer, uint64_t incarnation,
                    bool reachable, const error_t *err);

    /* An unauthenticated connection was closed, or a dial failed. */
    void (*on_refused)(void *ctx, const error_t *err);
} peer_ops_t;

typedef struct {
    uint64_t messages;
    uint64_t bytes; /* on the wire, framing included */
} peer_traffic_t;

typedef struct {
    /* By type; MESSAGE_NONE counts unknown types. */
    peer_traffic_t sent[MESSAGE_TYPE_COUNT];
    peer_traffic_t received[MESSAGE_TYPE_COUNT];
    uint64_t dials;
    uint64_t dials_failed;
    uint64_t ups;           /* calls of on_up */
    uint64_t downs;         /* calls of on_down */
    uint64_t denied;        /* closes for a failed handshake or wrong MAC */
    uint64_t malformed;     /* closes for a malformed frame or message */
    uint64_t refused_sends; /* not connected or queue full */
    int64_t cpu_us;         /* of the transport's thread */
} peer_counters_t;

/* A connected peer, for the status. */
typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    char zone[NAME_SIZE];
    uint32_t version; /* agreed protocol version */
    size_t queued_bytes;
} peer_info_t;

/*
 * Listens on the address and starts the thread. Returns NULL with *err set on
 * failure. Copies settings, the key included, and ops.
 */
peer_net_t *peer_net_new(const peer_net_settings_t *settings,
                         const peer_ops_t *ops, void *ctx, error_t *err);

/*
 * Waits at most linger_us until the peers' hosts have acknowledged all
 * accepted messages, then closes every connection and frees the transport. Ops
 * may be called until peer_net_free returns, but on_down is not called for
 * these closes. net may be NULL.
 */
void peer_net_free(peer_net_t *net);

/* Returns the port that the transport listens on. */
uint16_t peer_net_port(const peer_net_t *net);

/*
 * Replaces the set of peers to stay connected to. Ignores entries with this
 * daemon's own name or address, and unnamed entries with the same address as a
 * named entry. Closes connections that this daemon dialed to peers no longer
 * in the set. Copies peers. STATUS_TOO_LARGE means that count is over
 * PEER_NET_PEERS_MAX.
 */
status_t peer_net_set_peers(peer_net_t *net, const peer_address_t *peers,
                            size_t count, error_t *err);

/*
 * Encodes a message and queues it for a peer. If peer is NULL, any peer of
 * that incarnation matches. Deadlines in the message are in CLOCK_MONOTONIC.
 * On any status other than STATUS_OK the message is never sent:
 * STATUS_UNAVAILABLE means that the peer is not connected, STATUS_TOO_LARGE
 * that the queue is full or the message too large, STATUS_INVALID that the
 * message breaks a rule. The caller keeps message.
 */
status_t peer_net_send(peer_net_t *net, const char *peer, uint64_t incarnation,
                       const message_t *message, error_t *err);

/*
 * Waits until the peers' hosts have acknowledged all accepted messages.
 * Returns false if that takes longer than timeout_us.
 */
bool peer_net_drain(peer_net_t *net, int64_t timeout_us);

/* Copies up to max connected peers to out; returns how many are connected. */
size_t peer_net_peers(peer_net_t *net, peer_info_t *out, size_t max);

/* Returns the counts since the start. */
peer_counters_t peer_net_counters(peer_net_t *net);

#endif
