#include "t/lib/tier_upstream.h"

#include "http/conn.h"
#include "http/message.h"
#include "platform/names.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { TEXT_SIZE = 8192, ID_SIZE = 80 };

typedef struct peer peer_t;

struct peer {
    conn_t conn;
    http_reader_t reader;
    tier_upstream_server_t *server;
    tier_script_t script; /* for the current request */
    bool answering;
    bool later_due;
    ev_timer timer;
    char raw[TEXT_SIZE];
    size_t raw_size;
    char id[ID_SIZE];
    char previous[ID_SIZE];
    peer_t *next;
};

struct tier_upstream_server {
    struct ev_loop *loop;
    ev_io io;
    int fd;
    tier_script_t script;
    peer_t *peers;
    uint32_t requests;
    uint32_t disconnects;
    char last[TEXT_SIZE];
};

static void
peer_free(peer_t *peer)
{
    peer_t **place = &peer->server->peers;
    while (*place != peer) {
        place = &(*place)->next;
    }
    *place = peer->next;
    ev_timer_stop(peer->server->loop, &peer->timer);
    conn_close(&peer->conn);
    http_reader_release(&peer->reader);
    free(peer);
}

static void
peer_send(peer_t *peer, const char *bytes)
{
    char text[TEXT_SIZE];
    size_t size = 0;
    for (; *bytes != '\0' && size + ID_SIZE < sizeof(text); bytes++) {
        const char *id = bytes[0] != '%'   ? NULL
                         : bytes[1] == 'I' ? peer->id
                         : bytes[1] == 'P' ? peer->previous
                                           : NULL;
        if (id != NULL) {
            size +=
                (size_t)snprintf(text + size, sizeof(text) - size, "%s", id);
            bytes++;
        }
        else {
            text[size++] = *bytes;
        }
    }
    (void)conn_write(&peer->conn, text, size);
}

static void
peer_answer(peer_t *peer)
{
    peer->answering = false;
    if (peer->script.bytes == NULL && peer->script.end == SCRIPT_KEEP) {
        peer->answering = true; /* never responds */
        return;
    }
    if (peer->script.bytes != NULL) {
        peer_send(peer, peer->script.bytes);
    }
    if (peer->script.end == SCRIPT_RESET) {
        struct linger hard = {.l_onoff = 1};
        (void)setsockopt(peer->conn.fd, SOL_SOCKET, SO_LINGER, &hard,
                         sizeof(hard));
    }
    if (peer->script.end != SCRIPT_KEEP) {
        peer_free(peer);
        return;
    }
    if (peer->script.later != NULL) {
        peer->later_due = true;
        ev_timer_set(&peer->timer, 0.02, 0);
        ev_timer_start(peer->server->loop, &peer->timer);
    }
    http_reader_next(&peer->reader);
    peer->raw_size = 0;
}

static void
peer_on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    peer_t *peer = timer->data;
    if (peer->later_due) {
        peer->later_due = false;
        peer_send(peer, peer->script.later);
    }
    else if (peer->answering) {
        peer_answer(peer);
    }
}

static void
peer_request(peer_t *peer)
{
    tier_upstream_server_t *server = peer->server;
    const char *id =
        http_header_find(&peer->reader.message, HEADER_REQUEST_ID);
    server->requests++;
    memcpy(peer->previous, peer->id, sizeof(peer->id));
    snprintf(peer->id, sizeof(peer->id), "%s", id != NULL ? id : "none");
    snprintf(server->last, sizeof(server->last), "%.*s", (int)peer->raw_size,
             peer->raw);
    peer->script = server->script;
    peer->answering = true;
    if (peer->script.delay_us > 0) {
        ev_timer_set(&peer->timer, (double)peer->script.delay_us / 1e6, 0);
        ev_timer_start(server->loop, &peer->timer);
        return;
    }
    peer_answer(peer);
}

static void
peer_data(conn_t *conn, const char *bytes, size_t size)
{
    peer_t *peer = conn->owner;
    size_t used = 0;
    if (peer->raw_size + size < sizeof(peer->raw)) {
        memcpy(peer->raw + peer->raw_size, bytes, size);
        peer->raw_size += size;
    }
    if (http_reader_feed(&peer->reader, bytes, size, &used) == HTTP_DONE) {
        peer_request(peer);
    }
}

static void
peer_ended(conn_t *conn, bool clean)
{
    peer_t *peer = conn->owner;
    (void)clean;
    peer->server->disconnects += peer->answering ? 1 : 0;
    peer_free(peer);
}

static const conn_ops_t peer_ops = {
    .data = peer_data,
    .disconnected = peer_ended,
};

static void
server_accept(struct ev_loop *loop, ev_io *io, int events)
{
    (void)events;
    static const http_limits_t limits = {0};
    tier_upstream_server_t *server = io->data;
    int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    peer_t *peer = calloc(1, sizeof(*peer));
    peer->server = server;
    peer->next = server->peers;
    server->peers = peer;
    conn_adopt(&peer->conn, loop, fd, &peer_ops, peer);
    http_reader_init(&peer->reader, HTTP_REQUESTS, &limits);
    ev_timer_init(&peer->timer, peer_on_timer, 0, 0);
    peer->timer.data = peer;
}

tier_upstream_server_t *
tier_upstream_new(struct ev_loop *loop, const struct sockaddr_in *address,
                  const tier_script_t *script)
{
    tier_upstream_server_t *server = calloc(1, sizeof(*server));
    server->loop = loop;
    server->script = *script;
    server->fd = listener_open(address);
    if (server->fd < 0) {
        abort();
    }
    ev_io_init(&server->io, server_accept, server->fd, EV_READ);
    server->io.data = server;
    ev_io_start(loop, &server->io);
    return server;
}

void
tier_upstream_set(tier_upstream_server_t *server, const tier_script_t *script)
{
    server->script = *script;
}

uint32_t
tier_upstream_requests(const tier_upstream_server_t *server)
{
    return server->requests;
}

uint32_t
tier_upstream_disconnects(const tier_upstream_server_t *server)
{
    return server->disconnects;
}

const char *
tier_upstream_last(const tier_upstream_server_t *server)
{
    return server->last;
}

void
tier_upstream_free(tier_upstream_server_t *server)
{
    for (peer_t *peer = server->peers, *next; peer != NULL; peer = next) {
        next = peer->next;
        peer_free(peer);
    }
    ev_io_stop(server->loop, &server->io);
    close(server->fd);
    free(server);
}
