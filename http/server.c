#include "http/server.h"

#include "http/conn.h"
#include "http/loop_clock.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    LISTENERS_MAX = 8,
    ACCEPTS_PER_EVENT = 32, /* a burst must not delay open connections */
    /* How long a connection is read after its last response. Closing a socket
       with unread input sends a reset, and the client may then lose the
       response. */
    LINGER_US = 1000000,
    PIPELINED_MAX_BYTES = 256 << 10 /* per connection */
};

typedef struct {
    ev_io io;
    int fd;
    http_server_t *server;
    const http_handler_t *handler;
    void *owner;
} listener_t;

typedef enum {
    EXCHANGE_READING,
    EXCHANGE_HANDLING,
    EXCHANGE_CLOSING /* last response sent; input is discarded until closed */
} exchange_state_t;

struct exchange {
    conn_t conn;
    http_reader_t reader;
    http_server_t *server;
    const http_handler_t *handler;
    void *owner;
    exchange_state_t state;
    bool continue_sent;        /* 100 Continue, for the current request */
    bool close_after_response; /* the next response is the last one */
    int64_t wait_start_us;     /* when the current timeout started */
    size_t unsent;      /* bytes of responses not yet sent at the last sweep */
    int64_t arrived_us; /* when the current request was complete */
    size_t held;        /* bytes of requests, in the reader and pipelined */
    buffer_t pipelined; /* received while the current request is handled */
    ev_timer timer;
    void *data;
    exchange_t *next;
    exchange_t *prev;
};

struct http_server {
    struct ev_loop *loop;
    http_server_settings_t settings;
    listener_t listeners[LISTENERS_MAX];
    uint32_t listener_count;
    exchange_t *exchanges;
    size_t held; /* sum over all exchanges */
    bool close_after_responses;
    http_server_stats_t stats;
};

http_server_t *
http_server_new(struct ev_loop *loop, const http_server_settings_t *settings)
{
    http_server_t *server = calloc(1, sizeof(*server));
    if (server != NULL) {
        server->loop = loop;
        server->settings = *settings;
    }
    return server;
}

void
http_server_configure(http_server_t *server,
                      const http_server_settings_t *settings)
{
    server->settings = *settings;
}

const http_server_stats_t *
http_server_stats(const http_server_t *server)
{
    return &server->stats;
}

/* Update the count of the bytes that the exchange holds. */
static void
exchange_note_held(exchange_t *exchange)
{
    size_t held = http_message_size(&exchange->reader.message) +
                  buffer_size(&exchange->pipelined);
    exchange->server->held += held - exchange->held;
    exchange->held = held;
}

static void
exchange_free(exchange_t *exchange)
{
    http_server_t *server = exchange->server;
    server->held -= exchange->held;
    if (exchange->prev != NULL) {
        exchange->prev->next = exchange->next;
    }
    else {
        server->exchanges = exchange->next;
    }
    if (exchange->next != NULL) {
        exchange->next->prev = exchange->prev;
    }
    server->stats.open--;
    ev_timer_stop(server->loop, &exchange->timer);
    conn_close(&exchange->conn);
    http_reader_release(&exchange->reader);
    buffer_release(&exchange->pipelined);
    free(exchange);
}

/* Send an error status as the last response; the handler is not called. */
static void
exchange_reject(exchange_t *exchange, uint32_t status)
{
    static const char retry_after[] = "Retry-After: 1\r\n";
    http_response_t response = {.status = status, .close = true};
    if (status == 503) {
        response.headers = retry_after;
        response.headers_size = sizeof(retry_after) - 1;
    }
    exchange->server->stats.rejected++;
    exchange->state = EXCHANGE_HANDLING;
    exchange_respond(exchange, &response);
    http_reader_release(&exchange->reader);
    buffer_release(&exchange->pipelined);
    exchange_note_held(exchange);
}

/* Reject the request with the most bytes of those that the handler has not got
   yet, if requests hold more than the server may keep. */
static void
server_bound_held(http_server_t *server)
{
    exchange_t *largest = NULL;
    if (server->settings.max_held_bytes == 0 ||
        server->held <= server->settings.max_held_bytes) {
        return;
    }
    for (exchange_t *exchange = server->exchanges; exchange != NULL;
         exchange = exchange->next) {
        if (exchange->state == EXCHANGE_READING &&
            (largest == NULL || exchange->held > largest->held)) {
            largest = exchange;
        }
    }
    if (largest != NULL) {
        server->stats.shed++;
        exchange_reject(largest, 503);
    }
}

static const char *
reason_phrase(uint32_t status)
{
    const char *text = http_status_str((enum http_status)status);
    return strcmp(text, "<unknown>") == 0 ? "Status" : text;
}

/* Pass a complete request to the handler. */
static void
exchange_dispatch(exchange_t *exchange)
{
    exchange->state = EXCHANGE_HANDLING;
    exchange->arrived_us = loop_now_us();
    exchange->data = NULL;
    if (!exchange->reader.message.keep_alive ||
        exchange->server->close_after_responses) {
        exchange->close_after_response = true;
    }
    exchange->handler->request(exchange->owner, exchange);
}

/* Send 100 Continue if the client waits for it before sending the body. */
static void
exchange_send_continue(exchange_t *exchange)
{
    static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
    if (exchange->reader.headers_done && !exchange->continue_sent &&
        exchange->reader.message.expects_continue) {
        exchange->continue_sent = true;
        (void)conn_write(&exchange->conn, text, sizeof(text) - 1);
    }
}

/* Buffer bytes of later requests; false: too many, or out of memory. */
static bool
exchange_queue_pipelined(exchange_t *exchange, const char *bytes, size_t size)
{
    if (size == 0) {
        return true;
    }
    size_t max_held = exchange->server->settings.max_held_bytes;
    if (buffer_size(&exchange->pipelined) + size > PIPELINED_MAX_BYTES ||
        (max_held > 0 && exchange->server->held + size > max_held)) {
        return false;
    }
    uint8_t *room = buffer_reserve(&exchange->pipelined, size);
    if (room == NULL) {
        return false;
    }
    memcpy(room, bytes, size);
    buffer_commit(&exchange->pipelined, size);
    exchange_note_held(exchange);
    return true;
}

/* Read one request; bytes that follow it are buffered until the response. */
static void
exchange_feed(exchange_t *exchange, const char *bytes, size_t size)
{
    static const uint32_t statuses[] = {
        [HTTP_MALFORMED] = 400,
        [HTTP_HEADERS_TOO_LARGE] = 431,
        [HTTP_BODY_TOO_LARGE] = 413,
    };
    if (!exchange->reader.started || exchange->reader.headers_done) {
        /* The timeout covers the headers as a whole, but restarts with each
           piece of a body. */
        exchange->wait_start_us = loop_now_us();
    }
    size_t used = 0;
    http_state_t state =
        http_reader_feed(&exchange->reader, bytes, size, &used);
    exchange_note_held(exchange);
    if (state == HTTP_INCOMPLETE) {
        exchange_send_continue(exchange);
        server_bound_held(exchange->server);
        return;
    }
    if (state != HTTP_DONE) {
        exchange_reject(exchange, statuses[state]);
        return;
    }
    if (!exchange_queue_pipelined(exchange, bytes + used, size - used)) {
        exchange_reject(exchange, 400);
        return;
    }
    server_bound_held(exchange->server);
    if (exchange->state == EXCHANGE_READING) {
        exchange_dispatch(exchange);
    }
}

static void
exchange_received(conn_t *conn, const char *bytes, size_t size)
{
    exchange_t *exchange = conn->owner;
    switch (exchange->state) {
    case EXCHANGE_READING:
        exchange_feed(exchange, bytes, size);
        break;
    case EXCHANGE_HANDLING:
        if (!exchange_queue_pipelined(exchange, bytes, size)) {
            exchange->handler->disconnected(exchange->owner, exchange);
            exchange_free(exchange);
        }
        break;
    default:
        break; /* discarded */
    }
}

static void
exchange_disconnected(conn_t *conn, bool clean)
{
    exchange_t *exchange = conn->owner;
    (void)clean;
    if (exchange->state == EXCHANGE_HANDLING) {
        exchange->handler->disconnected(exchange->owner, exchange);
    }
    exchange_free(exchange);
}

static void
exchange_flushed(conn_t *conn)
{
    exchange_t *exchange = conn->owner;
    if (exchange->state == EXCHANGE_CLOSING) {
        (void)shutdown(conn->fd, SHUT_WR);
    }
}

static const conn_ops_t exchange_ops = {
    .data = exchange_received,
    .disconnected = exchange_disconnected,
    .flushed = exchange_flushed,
};

/* Call the handler's wake, or read the pipelined request. */
static void
exchange_timer_event(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    exchange_t *exchange = timer->data;
    if (exchange->state == EXCHANGE_HANDLING &&
        exchange->handler->wake != NULL) {
        exchange->handler->wake(exchange->owner, exchange);
    }
    else if (exchange->state == EXCHANGE_READING &&
             buffer_size(&exchange->pipelined) > 0) {
        buffer_t pending = exchange->pipelined;
        exchange->pipelined = (buffer_t){0};
        exchange_feed(exchange, (const char *)buffer_data(&pending),
                      buffer_size(&pending));
        buffer_release(&pending);
    }
}

static void
exchange_new(listener_t *listener, int fd)
{
    http_server_t *server = listener->server;
    exchange_t *exchange = calloc(1, sizeof(*exchange));
    if (exchange == NULL) {
        close(fd);
        return;
    }
    conn_adopt(&exchange->conn, server->loop, fd, &exchange_ops, exchange);
    http_reader_init(&exchange->reader, HTTP_REQUESTS,
                     &server->settings.limits);
    exchange->server = server;
    exchange->handler = listener->handler;
    exchange->owner = listener->owner;
    exchange->wait_start_us = loop_now_us();
    ev_timer_init(&exchange->timer, exchange_timer_event, 0, 0);
    exchange->timer.data = exchange;
    exchange->next = server->exchanges;
    if (exchange->next != NULL) {
        exchange->next->prev = exchange;
    }
    server->exchanges = exchange;
    server->stats.open++;
    server->stats.accepted++;
}

static void
listener_event(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    listener_t *listener = io->data;
    http_server_t *server = listener->server;
    for (int i = 0; i < ACCEPTS_PER_EVENT; i++) {
        int fd =
            accept4(listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        if (server->stats.open >= server->settings.connections_max) {
            server->stats.refused++;
            close(fd);
            continue;
        }
        exchange_new(listener, fd);
    }
}

bool
http_server_listen(http_server_t *server, const struct sockaddr_in *address,
                   const http_handler_t *handler, void *owner)
{
    if (server->listener_count == LISTENERS_MAX) {
        errno = ENOSPC;
        return false;
    }
    int fd = listener_open(address);
    if (fd < 0) {
        return false;
    }
    listener_t *listener = &server->listeners[server->listener_count++];
    *listener = (listener_t){
        .fd = fd,
        .server = server,
        .handler = handler,
        .owner = owner,
    };
    ev_io_init(&listener->io, listener_event, fd, EV_READ);
    listener->io.data = listener;
    ev_io_start(server->loop, &listener->io);
    return true;
}

void
http_server_stop_listening(http_server_t *server)
{
    for (uint32_t i = 0; i < server->listener_count; i++) {
        ev_io_stop(server->loop, &server->listeners[i].io);
        close(server->listeners[i].fd);
    }
    server->listener_count = 0;
}

void
http_server_close_after_responses(http_server_t *server)
{
    server->close_after_responses = true;
}

bool
http_server_is_busy(const http_server_t *server)
{
    for (const exchange_t *exchange = server->exchanges; exchange != NULL;
         exchange = exchange->next) {
        if (exchange->state == EXCHANGE_HANDLING ||
            !conn_is_flushed(&exchange->conn)) {
            return true;
        }
    }
    return false;
}

void
http_server_close_idle(http_server_t *server)
{
    for (exchange_t *exchange = server->exchanges, *next; exchange != NULL;
         exchange = next) {
        next = exchange->next;
        if (exchange->state != EXCHANGE_READING || exchange->reader.started ||
            buffer_size(&exchange->pipelined) > 0) {
            continue;
        }
        if (conn_is_flushed(&exchange->conn)) {
            exchange_free(exchange);
        }
        else {
            exchange->state = EXCHANGE_CLOSING;
        }
    }
}

/* A client that reads its response, however slowly, is not idle. */
static void
exchange_note_progress(exchange_t *exchange, int64_t now_us)
{
    size_t unsent = buffer_size(&exchange->conn.out);
    if (unsent != exchange->unsent) {
        exchange->unsent = unsent;
        exchange->wait_start_us = now_us;
    }
}

static void
exchange_sweep(exchange_t *exchange, int64_t now_us)
{
    const http_server_settings_t *settings = &exchange->server->settings;
    exchange_note_progress(exchange, now_us);
    int64_t age_us = now_us - exchange->wait_start_us;
    bool is_idle =
        settings->idle_timeout_us > 0 && age_us > settings->idle_timeout_us;
    switch (exchange->state) {
    case EXCHANGE_CLOSING:
        if (conn_is_flushed(&exchange->conn) ? age_us > LINGER_US : is_idle) {
            exchange_free(exchange);
        }
        break;
    case EXCHANGE_READING:
        if (exchange->reader.started) {
            if (settings->header_timeout_us > 0 &&
                age_us > settings->header_timeout_us) {
                exchange_reject(exchange, 408);
            }
        }
        else if (is_idle) {
            exchange_free(exchange);
        }
        break;
    default:
        break;
    }
}

void
http_server_sweep(http_server_t *server, int64_t now_us)
{
    for (exchange_t *exchange = server->exchanges, *next; exchange != NULL;
         exchange = next) {
        next = exchange->next;
        exchange_sweep(exchange, now_us);
    }
}

const http_message_t *
exchange_request(const exchange_t *exchange)
{
    return &exchange->reader.message;
}

int64_t
exchange_arrived_us(const exchange_t *exchange)
{
    return exchange->arrived_us;
}

void
exchange_set_data(exchange_t *exchange, void *data)
{
    exchange->data = data;
}

void *
exchange_data(const exchange_t *exchange)
{
    return exchange->data;
}

void
exchange_wake_at(exchange_t *exchange, int64_t at_us)
{
    int64_t wait_us = at_us - loop_now_us();
    ev_timer_stop(exchange->server->loop, &exchange->timer);
    ev_timer_set(&exchange->timer, wait_us > 0 ? (double)wait_us / 1e6 : 0, 0);
    /* libev counts the delay from the start of the loop's iteration, so the
       timer may fire early; the handler then calls this function again. */
    ev_timer_start(exchange->server->loop, &exchange->timer);
}

void
exchange_respond(exchange_t *exchange, const http_response_t *response)
{
    http_server_t *server = exchange->server;
    bool closes = exchange->close_after_response || response->close ||
                  server->close_after_responses;
    char start[128];
    char length[96];
    int start_size =
        snprintf(start, sizeof(start), "HTTP/1.1 %u %s\r\n", response->status,
                 reason_phrase(response->status));
    int length_size = 0;
    if (!response->no_body) {
        length_size = snprintf(length, sizeof(length),
                               "Content-Length: %zu\r\n", response->body_size);
    }
    length_size +=
        snprintf(length + length_size, sizeof(length) - (size_t)length_size,
                 "%s\r\n", closes ? "Connection: close\r\n" : "");
    struct iovec pieces[] = {
        {start, (size_t)start_size},
        {(void *)response->headers, response->headers_size},
        {length, (size_t)length_size},
        {(void *)response->body, response->no_body ? 0 : response->body_size},
    };
    ev_timer_stop(server->loop, &exchange->timer);
    bool written = conn_writev(&exchange->conn, pieces,
                               sizeof(pieces) / sizeof(pieces[0]));
    exchange->wait_start_us = loop_now_us();
    exchange->data = NULL;
    if (closes || !written) {
        exchange->state = EXCHANGE_CLOSING;
        if (conn_is_flushed(&exchange->conn)) {
            (void)shutdown(exchange->conn.fd, SHUT_WR);
        }
        return;
    }
    exchange->state = EXCHANGE_READING;
    exchange->continue_sent = false;
    exchange->reader.limits = server->settings.limits;
    http_reader_next(&exchange->reader);
    exchange_note_held(exchange);
    if (buffer_size(&exchange->pipelined) > 0) {
        /* Read the pipelined request in a loop iteration of its own. */
        ev_timer_set(&exchange->timer, 0, 0);
        ev_timer_start(server->loop, &exchange->timer);
    }
}

void
http_server_free(http_server_t *server)
{
    if (server == NULL) {
        return;
    }
    http_server_stop_listening(server);
    for (exchange_t *exchange = server->exchanges, *next; exchange != NULL;
         exchange = next) {
        if (exchange->state == EXCHANGE_HANDLING) {
            exchange->handler->disconnected(exchange->owner, exchange);
        }
        next = exchange->next;
        exchange_free(exchange);
    }
    free(server);
}
