#include "t/soak/proxy.h"

#include "http/conn.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct pair pair_t;

/* One direction: what is read at one end and not yet written at the other. */
typedef struct {
    buffer_t held;
    ev_timer timer; /* the held bytes go on */
    bool source_ended;
} way_t;

enum { ASKED, BACK, WAYS };

struct pair {
    proxy_t *proxy;
    conn_t ends[WAYS]; /* who connected, and the server */
    way_t ways[WAYS];  /* from that end to the other */
    bool silent;
    pair_t *next;
};

struct proxy {
    struct ev_loop *loop;
    struct sockaddr_in passes_to;
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
    for (int i = 0; i < WAYS; i++) {
        ev_timer_stop(pair->proxy->loop, &pair->ways[i].timer);
        buffer_release(&pair->ways[i].held);
        conn_close(&pair->ends[i]);
    }
    free(pair);
}

static void
pair_reset(pair_t *pair)
{
    static const struct linger at_once = {.l_onoff = 1, .l_linger = 0};
    for (int i = 0; i < WAYS; i++) {
        if (conn_is_open(&pair->ends[i])) {
            setsockopt(pair->ends[i].fd, SOL_SOCKET, SO_LINGER, &at_once,
                       sizeof(at_once));
        }
    }
    pair_free(pair);
}

static bool
way_waits(const pair_t *pair, int way)
{
    proxy_mode_t mode = pair->proxy->mode;
    return pair->silent || (mode == PROXY_HOLD_ASKED && way == ASKED) ||
           (mode == PROXY_HOLD_BACK && way == BACK);
}

/* Pass on what is held; false: the pair is gone. */
static bool
way_flush(pair_t *pair, int way)
{
    way_t *from = &pair->ways[way];
    if (way_waits(pair, way)) {
        return true;
    }
    size_t size = buffer_size(&from->held);
    if (size > 0) {
        (void)conn_write(&pair->ends[1 - way], buffer_data(&from->held), size);
        buffer_consume(&from->held, size);
    }
    if (from->source_ended && conn_is_flushed(&pair->ends[1 - way])) {
        pair_free(pair);
        return false;
    }
    return true;
}

static void
way_due(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    pair_t *pair = timer->data;
    ev_timer_stop(loop, timer);
    (void)way_flush(pair, timer == &pair->ways[ASKED].timer ? ASKED : BACK);
}

static void
way_go(pair_t *pair, int way)
{
    proxy_t *proxy = pair->proxy;
    ev_timer *timer = &pair->ways[way].timer;
    if (proxy->mode != PROXY_DELAY) {
        (void)way_flush(pair, way);
    }
    else if (!ev_is_active(timer)) {
        ev_timer_set(timer, (double)proxy->delay_us / 1e6, 0);
        ev_timer_start(proxy->loop, timer);
    }
}

static void
end_data(conn_t *conn, const char *bytes, size_t size)
{
    pair_t *pair = conn->owner;
    int way = conn == &pair->ends[ASKED] ? ASKED : BACK;
    if (pair->silent) {
        return;
    }
    uint8_t *room = buffer_reserve(&pair->ways[way].held, size);
    if (room == NULL) {
        pair_free(pair);
        return;
    }
    memcpy(room, bytes, size);
    buffer_commit(&pair->ways[way].held, size);
    way_go(pair, way);
}

static void
end_ended(conn_t *conn, bool clean)
{
    pair_t *pair = conn->owner;
    int way = conn == &pair->ends[ASKED] ? ASKED : BACK;
    conn_close(conn);
    if (!clean && !pair->silent) {
        pair_reset(pair);
        return;
    }
    pair->ways[way].source_ended = true;
    way_go(pair, way);
}

static void
end_flushed(conn_t *conn)
{
    pair_t *pair = conn->owner;
    int way = conn == &pair->ends[ASKED] ? BACK : ASKED;
    (void)way_flush(pair, way);
}

static const conn_ops_t end_ops = {
    .data = end_data,
    .disconnected = end_ended,
    .flushed = end_flushed,
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
    pair->silent = proxy->mode == PROXY_SILENT;
    pair->ends[BACK].fd = -1;
    for (int i = 0; i < WAYS; i++) {
        ev_timer_init(&pair->ways[i].timer, way_due, 0, 0);
        pair->ways[i].timer.data = pair;
    }
    pair->next = proxy->pairs;
    proxy->pairs = pair;
    conn_adopt(&pair->ends[ASKED], loop, fd, &end_ops, pair);
    if (!conn_open(&pair->ends[BACK], loop, &proxy->passes_to, &end_ops,
                   pair)) {
        pair_reset(pair);
    }
}

proxy_t *
proxy_new(struct ev_loop *loop, const struct sockaddr_in *listens_at,
          const struct sockaddr_in *passes_to)
{
    proxy_t *proxy = calloc(1, sizeof(*proxy));
    int fd = listener_open(listens_at);
    if (proxy == NULL || fd < 0) {
        perror("proxy");
        abort();
    }
    proxy->loop = loop;
    proxy->passes_to = *passes_to;
    proxy->fd = fd;
    ev_io_init(&proxy->io, proxy_accept, fd, EV_READ);
    proxy->io.data = proxy;
    ev_io_start(loop, &proxy->io);
    return proxy;
}

void
proxy_set(proxy_t *proxy, proxy_mode_t mode, int64_t delay_us)
{
    proxy->mode = mode;
    proxy->delay_us = delay_us;
    for (pair_t *pair = proxy->pairs, *next; pair != NULL; pair = next) {
        next = pair->next;
        if (mode == PROXY_RESET) {
            pair_reset(pair);
            continue;
        }
        pair->silent |= mode == PROXY_SILENT;
        if (way_flush(pair, ASKED)) {
            (void)way_flush(pair, BACK);
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
