#include "t/lib/tier_upstream.h"

#include "http/conn.h"
#include "http/message.h"
#include "platform/names.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    TEXT_SIZE = 8192,
    ID_SIZE = 80,
    ENDLESS_BLOCK = 65536,
    ENDLESS_BLOCKS = 4 /* in one go */
};

typedef struct client client_t;

/* A connection of a daemon. */
struct client {
    conn_t conn;
    http_reader_t reader;
    tier_upstream_server_t *server;
    tier_script_t script; /* for the current request */
    bool answering;
    bool later_due;
    bool endless;
    ev_timer timer;
    char raw[TEXT_SIZE];
    size_t raw_size;
    char id[ID_SIZE];
    char previous[ID_SIZE];
    client_t *next;
};

struct tier_upstream_server {
    struct ev_loop *loop;
    ev_io io;
    int fd;
    struct sockaddr_in address;
    tier_script_t script;
    client_t *clients;
    uint32_t requests;
    uint32_t disconnects;
    uint64_t endless_bytes;
    char last[TEXT_SIZE];
};

static void
client_free(client_t *client)
{
    client_t **place = &client->server->clients;
    while (*place != client) {
        place = &(*place)->next;
    }
    *place = client->next;
    ev_timer_stop(client->server->loop, &client->timer);
    conn_close(&client->conn);
    http_reader_release(&client->reader);
    free(client);
}

static void
client_send(client_t *client, const char *bytes)
{
    char text[TEXT_SIZE];
    size_t size = 0;
    for (; *bytes != '\0' && size + ID_SIZE < sizeof(text); bytes++) {
        const char *id = bytes[0] != '%'   ? NULL
                         : bytes[1] == 'I' ? client->id
                         : bytes[1] == 'P' ? client->previous
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
    (void)conn_write(&client->conn, text, size);
}

static void
client_send_filler(client_t *client)
{
    size_t size = client->script.filler;
    char *text = size > 0 ? malloc(size) : NULL;
    if (text != NULL) {
        memset(text, 'x', size);
        (void)conn_write(&client->conn, text, size);
    }
    free(text);
}

/* Write the endless part until the socket takes no more. */
static void
client_send_endless(client_t *client)
{
    static char block[ENDLESS_BLOCK];
    const char *text = client->script.endless;
    size_t length = strlen(text);
    size_t size = ENDLESS_BLOCK / length * length;
    for (size_t i = 0; i < size; i++) {
        block[i] = text[i % length];
    }
    for (int i = 0; i < ENDLESS_BLOCKS && conn_is_flushed(&client->conn);
         i++) {
        if (!conn_write(&client->conn, block, size)) {
            return; /* client_disconnected follows */
        }
        client->server->endless_bytes += size;
    }
    ev_timer_set(&client->timer, 0.001, 0);
    ev_timer_start(client->server->loop, &client->timer);
}

static void
client_answer(client_t *client)
{
    client->answering = false;
    if (client->script.bytes == NULL && client->script.end == SCRIPT_KEEP) {
        client->answering = true; /* never responds */
        return;
    }
    if (client->script.bytes != NULL) {
        client_send(client, client->script.bytes);
        client_send_filler(client);
    }
    if (client->script.end == SCRIPT_RESET) {
        struct linger hard = {.l_onoff = 1};
        (void)setsockopt(client->conn.fd, SOL_SOCKET, SO_LINGER, &hard,
                         sizeof(hard));
    }
    if (client->script.end != SCRIPT_KEEP) {
        client_free(client);
        return;
    }
    if (client->script.later != NULL) {
        client->later_due = true;
        ev_timer_set(&client->timer, 0.02, 0);
        ev_timer_start(client->server->loop, &client->timer);
    }
    http_reader_next(&client->reader);
    client->raw_size = 0;
    if (client->script.endless != NULL) {
        client->endless = true;
        client_send_endless(client);
    }
}

static void
client_on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    client_t *client = timer->data;
    if (client->later_due) {
        client->later_due = false;
        client_send(client, client->script.later);
    }
    else if (client->answering) {
        client_answer(client);
    }
    else if (client->endless) {
        client_send_endless(client);
    }
}

static void
client_request(client_t *client)
{
    tier_upstream_server_t *server = client->server;
    const char *id =
        http_header_find(&client->reader.message, HEADER_REQUEST_ID);
    server->requests++;
    memcpy(client->previous, client->id, sizeof(client->id));
    snprintf(client->id, sizeof(client->id), "%s", id != NULL ? id : "none");
    snprintf(server->last, sizeof(server->last), "%.*s", (int)client->raw_size,
             client->raw);
    client->script = server->script;
    client->answering = true;
    if (client->script.early != NULL && client->previous[0] != '\0') {
        client_send(client, client->script.early);
    }
    if (client->script.delay_us > 0) {
        ev_timer_set(&client->timer, (double)client->script.delay_us / 1e6, 0);
        ev_timer_start(server->loop, &client->timer);
        return;
    }
    client_answer(client);
}

static void
client_data(conn_t *conn, const char *bytes, size_t size)
{
    client_t *client = conn->owner;
    size_t used = 0;
    if (client->raw_size + size < sizeof(client->raw)) {
        memcpy(client->raw + client->raw_size, bytes, size);
        client->raw_size += size;
    }
    if (http_reader_feed(&client->reader, bytes, size, &used) == HTTP_DONE) {
        client_request(client);
    }
}

static void
client_disconnected(conn_t *conn, bool clean)
{
    client_t *client = conn->owner;
    (void)clean;
    client->server->disconnects += client->answering ? 1 : 0;
    client_free(client);
}

static const conn_ops_t client_ops = {
    .data = client_data,
    .disconnected = client_disconnected,
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
    client_t *client = calloc(1, sizeof(*client));
    client->server = server;
    client->next = server->clients;
    server->clients = client;
    conn_adopt(&client->conn, loop, fd, &client_ops, client);
    http_reader_init(&client->reader, HTTP_REQUESTS, &limits);
    ev_timer_init(&client->timer, client_on_timer, 0, 0);
    client->timer.data = client;
}

tier_upstream_server_t *
tier_upstream_new(struct ev_loop *loop, const struct sockaddr_in *address,
                  const tier_script_t *script)
{
    tier_upstream_server_t *server = calloc(1, sizeof(*server));
    server->address = *address;
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

const struct sockaddr_in *
tier_upstream_address(const tier_upstream_server_t *server)
{
    return &server->address;
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

uint32_t
tier_upstream_endless(const tier_upstream_server_t *server)
{
    uint32_t count = 0;
    for (const client_t *client = server->clients; client != NULL;
         client = client->next) {
        count += client->endless ? 1 : 0;
    }
    return count;
}

uint64_t
tier_upstream_endless_bytes(const tier_upstream_server_t *server)
{
    return server->endless_bytes;
}

const char *
tier_upstream_last(const tier_upstream_server_t *server)
{
    return server->last;
}

void
tier_upstream_free(tier_upstream_server_t *server)
{
    for (client_t *client = server->clients, *next; client != NULL;
         client = next) {
        next = client->next;
        client_free(client);
    }
    ev_io_stop(server->loop, &server->io);
    close(server->fd);
    free(server);
}
