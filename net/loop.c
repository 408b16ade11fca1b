/* The transport's thread: handles socket events, dials and timeouts. */
#include "net/peer_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
    LOOP_EVENTS_MAX = 128,
    LOOP_ACCEPTS_MAX = 16, /* connections accepted in one round */
    /* Longest wait during handshakes or while accept is paused. */
    LOOP_HANDSHAKE_CHECK_MS = 100,
    LOOP_WAIT_MAX_MS = 500, /* longest wait otherwise */
    /* The thread runs at least this often per pause_us to detect a pause. */
    LOOP_WAITS_PER_PAUSE = 4,
    LOOP_DRAIN_CHECK_MS = 2 /* longest wait during peer_net_drain */
};

int64_t
peer_clock_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

void
peer_wake_locked(peer_net_t *net)
{
    if (!net->wake_pending) {
        net->wake_pending = true;
        (void)eventfd_write(net->wake_fd, 1);
    }
}

bool
peer_record_run(peer_net_t *net, int64_t now_us)
{
    if (now_us - net->last_run_us > net->settings.pause_us) {
        net->was_paused = true;
    }
    net->last_run_us = now_us;
    return !net->was_paused;
}

static void
close_with_reason(peer_net_t *net, channel_t *channel, status_t status,
                  const char *message)
{
    error_t err = ERROR_INIT;
    error_set(&err, status, "peer connect", channel->connection->address, "%s",
              message);
    channel_close(net, channel, &err);
}

static bool
in_handshake(const channel_t *channel)
{
    return channel->link == NULL;
}

/*
 * Closes the oldest accepted connection that is in its handshake, so that idle
 * unauthenticated peers don't keep out others. The list has the newest first.
 */
static void
evict_oldest_unauthenticated(peer_net_t *net)
{
    channel_t *oldest = NULL;
    for (channel_t *c = net->channels; c != NULL; c = c->next) {
        if (in_handshake(c) && !c->dialed) {
            oldest = c;
        }
    }
    if (oldest != NULL) {
        close_with_reason(net, oldest, STATUS_DENIED,
                          "too many connections in the handshake");
    }
}

static void
watch_listener(peer_net_t *net, bool watch)
{
    struct epoll_event event = {
        .events = watch ? EPOLLIN : 0,
        .data.ptr = &net->listen_fd,
    };
    (void)epoll_ctl(net->epoll_fd, EPOLL_CTL_MOD, net->listen_fd, &event);
    net->accept_paused = !watch;
}

/*
 * Accepts one connection; returns false if none is pending or on an error. If
 * out of file descriptors or memory, stops watching the listener for the rest
 * of this round.
 */
static bool
accept_one(peer_net_t *net)
{
    int fd = accept4(net->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOMEM) {
            watch_listener(net, false);
        }
        return false;
    }
    if (net->unauthenticated >= PEER_NET_UNAUTHENTICATED_MAX) {
        evict_oldest_unauthenticated(net);
    }
    connection_t *connection = connection_accept(
        fd, &net->settings.self, net->settings.key, peer_clock_us());
    if (connection == NULL) {
        return true;
    }
    channel_t *channel = channel_open(net, connection, NULL);
    if (channel != NULL) {
        channel_flush(net, channel);
    }
    return true;
}

static void
accept_pending(peer_net_t *net)
{
    for (int i = 0; i < LOOP_ACCEPTS_MAX; i++) {
        if (!accept_one(net)) {
            return;
        }
    }
}

static void
dial_failed(peer_net_t *net, const peer_address_t *peer, const error_t *err)
{
    pthread_mutex_lock(&net->lock);
    net->counters.dials_failed++;
    pthread_mutex_unlock(&net->lock);
    dialer_failed(&net->dialer, peer, peer_clock_us());
    net->ops.on_refused(net->ctx, err);
}

static void
dial_one(peer_net_t *net, const peer_address_t *peer, int64_t now_us)
{
    pthread_mutex_lock(&net->lock);
    net->counters.dials++;
    pthread_mutex_unlock(&net->lock);
    error_t err = ERROR_INIT;
    connection_t *connection = connection_dial(
        peer->address, peer->port, &net->settings.self, net->settings.key,
        peer->name, peer->incarnation, now_us, &err);
    if (connection == NULL) {
        dial_failed(net, peer, &err);
        return;
    }
    if (channel_open(net, connection, peer) == NULL) {
        error_set(&err, STATUS_NO_MEMORY, "peer connect", peer->address,
                  "out of memory");
        dial_failed(net, peer, &err);
    }
}

static void
dial_due(peer_net_t *net, int64_t now_us)
{
    const peer_address_t *peer;
    while ((peer = dialer_next(&net->dialer, now_us)) != NULL) {
        dial_one(net, peer, now_us);
    }
}

/* Whether the peer of a dialed channel is still in the set. */
static bool
channel_wanted(const peer_net_t *net, const channel_t *channel)
{
    if (channel->link == NULL) {
        return dialer_has_peer(&net->dialer, &channel->peer);
    }
    return dialer_has_daemon(&net->dialer, channel->link->name,
                             channel->link->incarnation);
}

static void
close_unwanted(peer_net_t *net)
{
    channel_t *next;
    for (channel_t *c = net->channels; c != NULL; c = next) {
        next = c->next;
        if (c->dialed && !channel_wanted(net, c)) {
            close_with_reason(net, c, STATUS_UNAVAILABLE,
                              "the peer was removed from the set");
        }
    }
}

/* Marks the entries of a new set whose peers are connected already. */
static void
mark_connected(peer_net_t *net)
{
    for (const channel_t *c = net->channels; c != NULL; c = c->next) {
        if (c->link != NULL) {
            dialer_connected(&net->dialer, c->link->name, c->link->incarnation,
                             c->dialed ? &c->peer : NULL);
        }
    }
}

static void
apply_new_peers(peer_net_t *net, int64_t now_us)
{
    pthread_mutex_lock(&net->lock);
    peer_address_t *peers = net->new_peers;
    size_t count = net->new_peer_count;
    net->new_peers = NULL;
    pthread_mutex_unlock(&net->lock);
    if (peers == NULL) {
        return;
    }
    if (dialer_set_peers(&net->dialer, peers, count, now_us)) {
        mark_connected(net);
        close_unwanted(net);
    }
    free(peers);
}

/* Closes overdue handshakes; returns whether any others are in progress. */
static bool
expire_handshakes(peer_net_t *net, int64_t now_us)
{
    bool left = false;
    channel_t *next;
    for (channel_t *c = net->channels; c != NULL; c = next) {
        next = c->next;
        if (!in_handshake(c)) {
            continue;
        }
        if (now_us - c->connection->started_us > PEER_NET_HANDSHAKE_MAX_US) {
            close_with_reason(net, c,
                              c->dialed ? STATUS_TIMEOUT : STATUS_DENIED,
                              "the handshake timed out");
        }
        else {
            left = true;
        }
    }
    return left;
}

static void
flush_queued(peer_net_t *net)
{
    size_t count =
        links_with_queued(&net->links, net->queued_links, PEER_NET_PEERS_MAX);
    for (size_t i = 0; i < count; i++) {
        peer_link_t *link = net->queued_links[i];
        channel_t *channel =
            link->dialed != NULL ? link->dialed : link->accepted;
        if (!channel->connection->want_write) {
            channel_flush(net, channel);
        }
    }
}

/*
 * Increments drain_round if no bytes are queued or unacknowledged. Returns
 * whether any thread waits in peer_net_drain.
 */
static bool
check_drain(peer_net_t *net)
{
    pthread_mutex_lock(&net->lock);
    bool wanted = net->drain_waiters > 0;
    pthread_mutex_unlock(&net->lock);
    if (!wanted) {
        return false;
    }
    size_t unsent = links_queued_bytes(&net->links);
    for (const channel_t *c = net->channels; c != NULL; c = c->next) {
        unsent += c->link == NULL ? 0 : connection_unsent_bytes(c->connection);
    }
    if (unsent == 0) {
        pthread_mutex_lock(&net->lock);
        net->drain_round++;
        pthread_cond_broadcast(&net->drained);
        pthread_mutex_unlock(&net->lock);
    }
    return true;
}

static int
loop_timeout_ms(const peer_net_t *net, bool handshakes, bool draining,
                int64_t now_us)
{
    if (draining) {
        return LOOP_DRAIN_CHECK_MS;
    }
    bool check = handshakes || net->accept_paused;
    int64_t max_ms = check ? LOOP_HANDSHAKE_CHECK_MS : LOOP_WAIT_MAX_MS;
    int64_t pause_ms = net->settings.pause_us / 1000 / LOOP_WAITS_PER_PAUSE;
    max_ms = pause_ms < max_ms ? pause_ms : max_ms;
    int64_t next_us = dialer_next_due_us(&net->dialer);
    if (next_us <= now_us) {
        return 0;
    }
    /* Round up, since waking early would spin until the dial is due. */
    int64_t left_ms = (next_us - now_us) / 1000;
    return (int)(left_ms < max_ms ? left_ms + 1 : max_ms);
}

/*
 * Closes all connections after a pause without reading them, since messages
 * that arrived during the pause may be as old as the pause.
 */
static void
close_after_pause(peer_net_t *net)
{
    if (!net->was_paused) {
        return;
    }
    channel_t *next;
    for (channel_t *c = net->channels; c != NULL; c = next) {
        next = c->next;
        close_with_reason(net, c, STATUS_TIMEOUT, "this daemon was paused");
    }
    net->was_paused = false;
    net->last_run_us = peer_clock_us();
}

/* Returns false when the thread must stop. */
static bool
handle_wakeup(peer_net_t *net)
{
    eventfd_t value;
    (void)eventfd_read(net->wake_fd, &value);
    pthread_mutex_lock(&net->lock);
    net->wake_pending = false;
    bool stop = net->stop;
    pthread_mutex_unlock(&net->lock);
    return !stop;
}

/* Waits for events and handles them; returns false to stop the thread. */
static bool
handle_events(peer_net_t *net, int timeout_ms)
{
    struct epoll_event events[LOOP_EVENTS_MAX];
    int count = epoll_wait(net->epoll_fd, events, LOOP_EVENTS_MAX, timeout_ms);
    bool running = true;
    (void)peer_record_run(net, peer_clock_us());
    close_after_pause(net);
    for (int i = 0; i < count; i++) {
        if (events[i].data.ptr == &net->wake_fd) {
            running = handle_wakeup(net);
        }
        else if (events[i].data.ptr == &net->listen_fd) {
            accept_pending(net);
        }
        else {
            channel_handle_epoll(net, events[i].data.ptr, events[i].events);
        }
    }
    if (net->accept_paused) {
        watch_listener(net, true);
    }
    close_after_pause(net);
    channels_free_closed(net);
    return running;
}

void *
peer_loop(void *arg)
{
    peer_net_t *net = arg;
    bool running = true;
    net->last_run_us = peer_clock_us();
    while (running) {
        int64_t now_us = peer_clock_us();
        apply_new_peers(net, now_us);
        dial_due(net, now_us);
        bool handshakes = expire_handshakes(net, now_us);
        flush_queued(net);
        bool draining = check_drain(net);
        channels_free_closed(net);
        int timeout_ms =
            loop_timeout_ms(net, handshakes, draining, peer_clock_us());
        running = handle_events(net, timeout_ms);
    }
    return NULL;
}
