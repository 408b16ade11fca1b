/* Handles the events of one connection, sends its messages and closes it. */
#include "net/peer_private.h"

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

/* Tells epoll whether to report that the socket is writable. */
static void
channel_watch(peer_net_t *net, channel_t *channel)
{
    bool write = channel->connection->want_write;
    if (channel->closed || write == channel->watch_write) {
        return;
    }
    struct epoll_event event = {
        .events = write ? EPOLLIN | EPOLLOUT : EPOLLIN,
        .data.ptr = channel,
    };
    (void)epoll_ctl(net->epoll_fd, EPOLL_CTL_MOD, channel->connection->fd,
                    &event);
    channel->watch_write = write;
}

channel_t *
channel_open(peer_net_t *net, connection_t *connection,
             const peer_address_t *dialed)
{
    channel_t *channel = calloc(1, sizeof(*channel));
    if (channel == NULL) {
        connection_free(connection);
        return NULL;
    }
    channel->connection = connection;
    if (dialed != NULL) {
        channel->dialed = true;
        channel->peer = *dialed;
    }
    channel->watch_write = connection->want_write;
    struct epoll_event event = {
        .events = connection->want_write ? EPOLLIN | EPOLLOUT : EPOLLIN,
        .data.ptr = channel,
    };
    if (epoll_ctl(net->epoll_fd, EPOLL_CTL_ADD, connection->fd, &event) != 0) {
        connection_free(connection);
        free(channel);
        return NULL;
    }
    channel->next = net->channels;
    if (net->channels != NULL) {
        net->channels->previous = channel;
    }
    net->channels = channel;
    net->unauthenticated += channel->dialed ? 0 : 1;
    return channel;
}

static void
channel_remove(peer_net_t *net, channel_t *channel)
{
    if (channel->previous != NULL) {
        channel->previous->next = channel->next;
    }
    else {
        net->channels = channel->next;
    }
    if (channel->next != NULL) {
        channel->next->previous = channel->previous;
    }
    channel->next = net->closed;
    net->closed = channel;
    (void)epoll_ctl(net->epoll_fd, EPOLL_CTL_DEL, channel->connection->fd,
                    NULL);
}

void
channels_free_closed(peer_net_t *net)
{
    while (net->closed != NULL) {
        channel_t *next = net->closed->next;
        connection_free(net->closed->connection);
        free(net->closed);
        net->closed = next;
    }
}

static void
channel_count_close(peer_net_t *net, const channel_t *channel,
                    const error_t *err)
{
    pthread_mutex_lock(&net->lock);
    peer_counters_t *counters = &net->counters;
    counters->downs += channel->link != NULL;
    counters->dials_failed += channel->link == NULL && channel->dialed;
    counters->denied += err->status == STATUS_DENIED;
    counters->malformed += err->status == STATUS_INVALID;
    pthread_mutex_unlock(&net->lock);
}

/*
 * Detaches a closed channel from its link and removes the link if no other
 * connection is left. Returns whether the peer is still connected.
 */
static bool
link_detach(peer_net_t *net, channel_t *channel)
{
    peer_link_t *link = channel->link;
    if (link->dialed == channel) {
        link->dialed = NULL;
    }
    if (link->accepted == channel) {
        link->accepted = NULL;
    }
    if (link->dialed != NULL || link->accepted != NULL) {
        return true;
    }
    links_remove(&net->links, link);
    return false;
}

static void
channel_close_authenticated(peer_net_t *net, channel_t *channel,
                            const error_t *err)
{
    int64_t now_us = peer_clock_us();
    hello_t hello = *handshake_peer(&channel->connection->handshake);
    bool reachable = link_detach(net, channel);
    if (!reachable) {
        dialer_disconnected(&net->dialer, hello.name, hello.incarnation,
                            now_us - channel->connection->started_us, now_us);
    }
    net->ops.on_down(net->ctx, hello.name, hello.incarnation, reachable, err);
}

static void
channel_close_unauthenticated(peer_net_t *net, channel_t *channel,
                              const error_t *err)
{
    if (channel->dialed) {
        dialer_failed(&net->dialer, &channel->peer, peer_clock_us());
    }
    else {
        net->unauthenticated--;
    }
    net->ops.on_refused(net->ctx, err);
}

void
channel_close(peer_net_t *net, channel_t *channel, const error_t *err)
{
    if (channel->closed) {
        return;
    }
    channel->closed = true;
    channel_count_close(net, channel, err);
    channel_remove(net, channel);
    if (channel->link != NULL) {
        channel_close_authenticated(net, channel, err);
    }
    else {
        channel_close_unauthenticated(net, channel, err);
    }
}

/*
 * Closes the earlier connection of the same direction, if any: a peer that
 * dials again has given up that connection.
 */
static void
channel_close_replaced(peer_net_t *net, channel_t *old)
{
    if (old == NULL) {
        return;
    }
    error_t err = ERROR_INIT;
    error_set(&err, STATUS_UNAVAILABLE, "peer connect",
              old->connection->address, "replaced by a newer connection");
    channel_close(net, old, &err);
}

/* Adds an authenticated channel to the link of its peer. */
static status_t
channel_authenticated(peer_net_t *net, channel_t *channel, error_t *err)
{
    const handshake_t *handshake = &channel->connection->handshake;
    const hello_t *hello = handshake_peer(handshake);
    peer_link_t *link =
        links_add(&net->links, hello, handshake->agreed_version);
    if (link == NULL) {
        return error_set(err, STATUS_NO_MEMORY, "peer connect",
                         channel->connection->address,
                         "out of memory or too many connected peers");
    }
    net->unauthenticated -= channel->dialed ? 0 : 1;
    channel->link = link;
    bool first = link->dialed == NULL && link->accepted == NULL;
    channel_t **slot = channel->dialed ? &link->dialed : &link->accepted;
    channel_t *old = *slot;
    *slot = channel;
    dialer_connected(&net->dialer, hello->name, hello->incarnation,
                     channel->dialed ? &channel->peer : NULL);
    if (first) {
        pthread_mutex_lock(&net->lock);
        net->counters.ups++;
        pthread_mutex_unlock(&net->lock);
        net->ops.on_up(net->ctx, hello->name, hello->incarnation);
    }
    channel_close_replaced(net, old);
    return STATUS_OK;
}

static void
channel_count_traffic(peer_net_t *net, peer_traffic_t *traffic, uint8_t type,
                      size_t bytes)
{
    pthread_mutex_lock(&net->lock);
    peer_traffic_t *counter = &traffic[type < MESSAGE_TYPE_COUNT ? type : 0];
    counter->messages++;
    counter->bytes += bytes;
    pthread_mutex_unlock(&net->lock);
}

static status_t
channel_handle_event(peer_net_t *net, channel_t *channel,
                     connection_event_t *event, error_t *err)
{
    channel_count_traffic(net, net->counters.received, event->type,
                          event->frame_size);
    if (event->kind == CONNECTION_AUTHENTICATED) {
        return channel_authenticated(net, channel, err);
    }
    if (event->kind == CONNECTION_MESSAGE) {
        const hello_t *hello = handshake_peer(&channel->connection->handshake);
        net->ops.on_message(net->ctx, hello->name, hello->incarnation,
                            &event->message);
        message_release(&event->message);
    }
    return STATUS_OK;
}

/* Handles all complete frames that have arrived. */
static status_t
channel_process_received(peer_net_t *net, channel_t *channel, error_t *err)
{
    connection_event_t event;
    do {
        int64_t now_us = peer_clock_us();
        if (!peer_record_run(net, now_us)) {
            return error_set(err, STATUS_TIMEOUT, "peer receive",
                             channel->connection->address,
                             "this daemon was paused");
        }
        status_t status =
            connection_next_event(channel->connection, now_us, &event, err);
        if (status == STATUS_OK && event.kind != CONNECTION_IDLE) {
            status = channel_handle_event(net, channel, &event, err);
        }
        if (status != STATUS_OK) {
            return status;
        }
    } while (event.kind != CONNECTION_IDLE);
    return STATUS_OK;
}

static status_t
channel_send(peer_net_t *net, channel_t *channel, const outgoing_t *outgoing,
             error_t *err)
{
    channel_count_traffic(net, net->counters.sent, outgoing->type,
                          frame_size(outgoing->size, FRAME_MAC_BYTES));
    return connection_send(channel->connection, outgoing->type,
                           outgoing->payload, outgoing->size, err);
}

/* Writes queued messages until the queue is empty or the socket is full. */
static status_t
channel_write_queued(peer_net_t *net, channel_t *channel, error_t *err)
{
    connection_t *connection = channel->connection;
    bool more = true;
    while (more) {
        while (channel->link != NULL &&
               buffer_size(&connection->out) < CONNECTION_OUT_MAX_BYTES) {
            outgoing_t *outgoing = links_dequeue(&net->links, channel->link);
            if (outgoing == NULL) {
                break;
            }
            status_t status = channel_send(net, channel, outgoing, err);
            outgoing_free(outgoing);
            if (status != STATUS_OK) {
                return status;
            }
        }
        more = buffer_size(&connection->out) >= CONNECTION_OUT_MAX_BYTES;
        status_t status = connection_flush(connection, err);
        if (status != STATUS_OK) {
            return status;
        }
        more = more && !connection->want_write;
    }
    return STATUS_OK;
}

void
channel_flush(peer_net_t *net, channel_t *channel)
{
    error_t err = ERROR_INIT;
    if (channel_write_queued(net, channel, &err) != STATUS_OK) {
        channel_close(net, channel, &err);
    }
    else {
        channel_watch(net, channel);
    }
}

void
channel_handle_epoll(peer_net_t *net, channel_t *channel, uint32_t events)
{
    connection_t *connection = channel->connection;
    error_t err = ERROR_INIT;
    status_t status = STATUS_OK;
    if (channel->closed) {
        return;
    }
    if (connection->connecting) {
        status = connection_finish_connect(connection, &err);
    }
    if (status == STATUS_OK && (events & ~(uint32_t)EPOLLOUT) != 0) {
        status = connection_receive(connection, &err);
        status_t processed = channel_process_received(net, channel, &err);
        status = processed != STATUS_OK ? processed : status;
    }
    if (status != STATUS_OK) {
        channel_close(net, channel, &err);
        return;
    }
    channel_flush(net, channel);
}
