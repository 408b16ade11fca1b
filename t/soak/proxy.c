#include "t/soak/proxy.h"

#include "http/conn.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct pair pair_t;

/* Bytes read from one endpoint and not yet written to the other. */
typedef struct {
    buffer_t held;
    ev_timer timer; /* for PROXY_DELAY: forwards the held bytes */
    bool source_ended;
} direction_t;

enum { CLIENT, SERVER, SIDES };

struct pair {
    proxy_t *proxy;
    conn_t endpoints[SIDES];       /* the client and the server */
    direction_t directions[SIDES]; /* from that endpoint to the other */
    bool blackholed; /* forwards nothing any more, whatever the mode */
    pair_t *next;
};

struct proxy {
    struct ev_loop *loop;
    struct sockaddr_in target_address;
    ev_io io;
    int fd;
    proxy_mode_t mode;
    int64_t delay_us;
    pair_t *pairs;
};

static void
pair_free(pair_t *pair)
{
    pair_t **place = &pair->proxy->pairs;
    while (*place != pair) {
        place = &(*place)->next;
    }
    *place = pair->next;
    for (int i = 0; i < SIDES; i++) {
        ev_timer_stop(pair->proxy->loop, &pair->directions[i].timer);
        buffer_release(&pair->directions[i].held);
        conn_close(&pair->endpoints[i]);
    }
    free(pair);
}

static void
pair_reset(pair_t *pair)
{
    static const struct linger reset_on_close = {.l_onoff = 1, .l_linger = 0};
    for (int i = 0; i < SIDES; i++) {
        if (conn_is_open(&pair->endpoints[i])) {
            setsockopt(pair->endpoints[i].fd, SOL_SOCKET, SO_LINGER,
                       &reset_on_close, sizeof(reset_on_close));
        }
    }
    pair_free(pair);
}

static bool
direction_is_held(const pair_t *pair, int side)
{
    proxy_mode_t mode = pair->proxy->mode;
    return pair->blackholed ||
           (mode == PROXY_HOLD_FROM_CLIENT && side == CLIENT) ||
           (mode == PROXY_HOLD_FROM_SERVER && side == SERVER);
}

/*
 * Forward the held bytes of one side unless the mode holds them back. If the
 * source has closed and all its bytes are written, frees the pair and returns
 * false.
 */
static bool
direction_flush(pair_t *pair, int side)
{
    direction_t *direction = &pair->directions[side];
    if (direction_is_held(pair, side)) {
        return true;
    }
    size_t size = buffer_size(&direction->held);
    if (size > 0) {
        (void)conn_write(&pair->endpoints[1 - side],
                         buffer_data(&direction->held), size);
        buffer_consume(&direction->held, size);
    }
    if (direction->source_ended &&
        conn_is_flushed(&pair->endpoints[1 - side])) {
        pair_free(pair);
        return false;
    }
    return true;
}

static void
direction_delay_expired(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    pair_t *pair = timer->data;
    ev_timer_stop(loop, timer);
    (void)direction_flush(
        pair, timer == &pair->directions[CLIENT].timer ? CLIENT : SERVER);
}

static void
direction_forward(pair_t *pair, int side)
{
    proxy_t *proxy = pair->proxy;
    ev_timer *timer = &pair->directions[side].timer;
    if (proxy->mode != PROXY_DELAY) {
        (void)direction_flush(pair, side);
    }
    else if (!ev_is_active(timer)) {
        ev_timer_set(timer, (double)proxy->delay_us / 1e6, 0);
        ev_timer_start(proxy->loop, timer);
    }
}

static void
endpoint_data(conn_t *conn, const char *bytes, size_t size)
{
    pair_t *pair = conn->owner;
    int side = conn == &pair->endpoints[CLIENT] ? CLIENT : SERVER;
    if (pair->blackholed) {
        return;
    }
    uint8_t *room = buffer_reserve(&pair->directions[side].held, size);
    if (room == NULL) {
        pair_free(pair);
        return;
    }
    memcpy(room, bytes, size);
    buffer_commit(&pair->directions[side].held, size);
    direction_forward(pair, side);
}

static void
endpoint_disconnected(conn_t *conn, bool clean)
{
    pair_t *pair = conn->owner;
    int side = conn == &pair->endpoints[CLIENT] ? CLIENT : SERVER;
    conn_close(conn);
    if (!clean && !pair->blackholed) {
        pair_reset(pair);
        return;
    }
    pair->directions[side].source_ended = true;
    direction_forward(pair, side);
}

static void
endpoint_flushed(conn_t *conn)
{
    pair_t *pair = conn->owner;
    int side = conn == &pair->endpoints[CLIENT] ? SERVER : CLIENT;
    (void)direction_flush(pair, side);
}

static const conn_ops_t endpoint_ops = {
    .data = endpoint_data,
    .disconnected = endpoint_disconnected,
    .flushed = endpoint_flushed,
};

static void
proxy_accept(struct ev_loop *loop, ev_io *io, int events)
{
    (void)events;
    proxy_t *proxy = io->data;
    int fd = accept4(proxy->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    pair_t *pair = calloc(1, sizeof(*pair));
    if (pair == NULL || proxy->mode == PROXY_RESET) {
        close(fd);
        free(pair);
        return;
    }
    pair->proxy = proxy;
    pair->blackholed = proxy->mode == PROXY_BLACKHOLE;
    pair->endpoints[SERVER].fd = -1;
    for (int i = 0; i < SIDES; i++) {
        ev_timer_init(&pair->directions[i].timer, direction_delay_expired, 0,
                      0);
        pair->directions[i].timer.data = pair;
    }
    pair->next = proxy->pairs;
    proxy->pairs = pair;
    conn_adopt(&pair->endpoints[CLIENT], loop, fd, &endpoint_ops, pair);
    if (!conn_open(&pair->endpoints[SERVER], loop, &proxy->target_address,
                   &endpoint_ops, pair)) {
        pair_reset(pair);
    }
}

proxy_t *
proxy_new(struct ev_loop *loop, const struct sockaddr_in *listen_address,
          const struct sockaddr_in *target_address)
{
    proxy_t *proxy = calloc(1, sizeof(*proxy));
    int fd = listener_open(listen_address);
    if (proxy == NULL || fd < 0) {
        perror("proxy");
        abort();
    }
    proxy->loop = loop;
    proxy->target_address = *target_address;
    proxy->fd = fd;
    ev_io_init(&proxy->io, proxy_accept, fd, EV_READ);
    proxy->io.data = proxy;
    ev_io_start(loop, &proxy->io);
    return proxy;
}

void
proxy_set_mode(proxy_t *proxy, proxy_mode_t mode, int64_t delay_us)
{
    proxy->mode = mode;
    proxy->delay_us = delay_us;
    for (pair_t *pair = proxy->pairs, *next; pair != NULL; pair = next) {
        next = pair->next;
        if (mode == PROXY_RESET) {
            pair_reset(pair);
            continue;
        }
        pair->blackholed |= mode == PROXY_BLACKHOLE;
        if (direction_flush(pair, CLIENT)) {
            (void)direction_flush(pair, SERVER);
        }
    }
}

void
proxy_free(proxy_t *proxy)
{
    for (pair_t *pair = proxy->pairs, *next; pair != NULL; pair = next) {
        next = pair->next;
        pair_free(pair);
    }
    ev_io_stop(proxy->loop, &proxy->io);
    close(proxy->fd);
    free(proxy);
}
