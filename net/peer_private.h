/*
 * Inside the transport; private to net/.
 *
 * peer.c has the public functions, channel.c what happens to one connection,
 * loop.c the thread.
 */
#ifndef NET_PEER_PRIVATE_H
#define NET_PEER_PRIVATE_H

#include "net/dialer.h"
#include "net/link.h"

/* A connection and its place in the transport. */
typedef struct channel {
    struct channel *next;
    struct channel *previous;
    connection_t *connection;
    peer_link_t *link; /* NULL before authentication */
    bool dialed;
    bool closed;         /* freed after the current events */
    bool watch_write;    /* epoll is told to */
    peer_address_t peer; /* that it dialed */
} channel_t;

struct peer_net {
    peer_net_settings_t settings;
    uint8_t key[AUTH_KEY_MAX_BYTES];
    peer_ops_t ops;
    void *ctx;
    links_t links;

    int listen_fd;
    int wake_fd;
    int epoll_fd;
    uint16_t port;
    pthread_t thread;

    pthread_mutex_t lock; /* guards what follows, to the next comment */
    pthread_cond_t drained;
    bool stop;
    bool wake_pending;
    peer_address_t *new_peers; /* from peer_net_set_peers, not yet taken */
    size_t new_peer_count;
    unsigned drain_waiters; /* callers waiting in peer_net_drain */
    uint64_t drain_round;
    peer_counters_t counters;

    /* The thread's own. */
    dialer_t dialer;
    channel_t *channels;    /* all open ones, newest first */
    channel_t *closed;      /* to be freed */
    size_t unauthenticated; /* channels in their handshake, accepted only */
    bool accept_paused;
    int64_t last_run_us; /* when the thread last ran */
    bool was_paused;     /* what lies in the sockets is stale */
    peer_link_t *queued_links[PEER_NET_PEERS_MAX];
};

/* Monotonic time. */
int64_t peer_clock_us(void);

/*
 * The thread runs at this time: notes whether it had stopped for longer than
 * the settings' pause_us. False: it had, and the channels are to be closed.
 */
bool peer_record_run(peer_net_t *net, int64_t now_us);

/*
 * Start to watch a new channel's socket; dialed is NULL for an accepted one.
 * NULL: failed, and the connection is freed.
 */
channel_t *channel_open(peer_net_t *net, connection_t *connection,
                        const peer_address_t *dialed);

/* Close for such a reason and tell the ops. */
void channel_close(peer_net_t *net, channel_t *channel, const error_t *err);

/* The socket has events. */
void channel_handle_epoll(peer_net_t *net, channel_t *channel,
                          uint32_t events);

/* Move queued messages to the socket. */
void channel_flush(peer_net_t *net, channel_t *channel);

/* Free the channels closed since the last call. */
void channels_free_closed(peer_net_t *net);

/* The thread. */
void *peer_loop(void *net);

/* Make the thread look at what changed; net->lock is held. */
void peer_wake_locked(peer_net_t *net);

#endif
