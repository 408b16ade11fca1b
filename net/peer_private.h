/*
 * The inner structure of the transport; private to net/.
 *
 * peer.c has the public functions, channel.c handles the events of one
 * connection, and loop.c is the thread that does all socket work.
 */
#ifndef NET_PEER_PRIVATE_H
#define NET_PEER_PRIVATE_H

#include "net/dialer.h"
#include "net/link.h"

/* A connection as a member of the transport's list, with its link. */
typedef struct channel {
    struct channel *next;
    struct channel *previous;
    connection_t *connection;
    peer_link_t *link; /* NULL before authentication */
    bool dialed;
    bool closed;         /* freed by channels_free_closed */
    bool watch_write;    /* epoll reports that the socket is writable */
    peer_address_t peer; /* the entry dialed, if dialed */
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

    pthread_mutex_t lock;   /* guards the members down to counters */
    pthread_cond_t drained; /* drain_round has changed */
    bool stop;
    bool wake_pending;         /* wake_fd is written and not yet read */
    peer_address_t *new_peers; /* set of peers not yet applied, or NULL */
    size_t new_peer_count;
    unsigned drain_waiters; /* callers waiting in peer_net_drain */
    uint64_t drain_round;   /* checks that found nothing unsent */
    peer_counters_t counters;

    /* Used by the transport's thread only. */
    dialer_t dialer;
    channel_t *channels;    /* all open channels, newest first */
    channel_t *closed;      /* closed channels, not yet freed */
    size_t unauthenticated; /* accepted channels in their handshake */
    bool accept_paused;     /* out of file descriptors or memory */
    int64_t last_run_us;    /* when the thread last ran */
    bool was_paused;        /* unread data in the sockets is stale */
    peer_link_t *queued_links[PEER_NET_PEERS_MAX]; /* used by flush_queued */
};

/* Returns CLOCK_MONOTONIC in microseconds. */
int64_t peer_clock_us(void);

/*
 * Records that the thread runs at now_us. The process was paused if the thread
 * had not run for longer than the settings' pause_us. Returns false from then
 * until close_after_pause has closed all channels, whose unread messages are
 * stale.
 */
bool peer_record_run(peer_net_t *net, int64_t now_us);

/*
 * Adds a channel for a connection, which the channel then owns, and watches
 * the socket. dialed is the peer that was dialed, or NULL for an accepted
 * connection. On failure frees the connection and returns NULL.
 */
channel_t *channel_open(peer_net_t *net, connection_t *connection,
                        const peer_address_t *dialed);

/*
 * Closes the channel for the reason in err and calls on_down or on_refused.
 * Does nothing if the channel is closed already. The memory remains until
 * channels_free_closed.
 */
void channel_close(peer_net_t *net, channel_t *channel, const error_t *err);

/* Handles epoll events of the channel's socket. */
void channel_handle_epoll(peer_net_t *net, channel_t *channel,
                          uint32_t events);

/* Writes queued messages to the socket; closes the channel on an error. */
void channel_flush(peer_net_t *net, channel_t *channel);

/* Frees the channels closed since the last call. */
void channels_free_closed(peer_net_t *net);

/* The transport's thread; its argument is the peer_net_t. */
void *peer_loop(void *net);

/* Wakes the thread up to handle a change; the caller holds net->lock. */
void peer_wake_locked(peer_net_t *net);

#endif
