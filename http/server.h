/*
 * An HTTP/1.1 server on the event loop: listeners, connections, requests.
 *
 * Requests of a connection are handed on one after the other, each whole. A
 * caller that closes while its request is worked on is reported at once.
 *
 *     http_server_t *server = http_server_new(loop, &settings);
 *     http_server_listen(server, &address, &service, owner);
 *     ... service.request(owner, exchange) is called ...
 *     exchange_respond(exchange, &answer);
 *     http_server_sweep(server, now_us);   // a few times a second
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "http/message.h"

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct http_server http_server_t;

/* One connection, and the request on it. */
typedef struct exchange exchange_t;

typedef struct {
    /* A request is in; it is answered now or later, once. */
    void (*request)(void *owner, exchange_t *exchange);
    /* The caller went away before its answer. The exchange is gone after. */
    void (*disconnected)(void *owner, exchange_t *exchange);
    /* The time asked for with exchange_wake_at has come. */
    void (*wake)(void *owner, exchange_t *exchange);
} http_handler_t;

typedef struct {
    uint32_t status;
    const char
        *headers; /* header lines, each with its line end; may be NULL */
    size_t headers_size;
    const void *body;
    size_t body_size;
    bool no_body; /* of an answer to HEAD, or 204, 304: no length is added */
    bool close;   /* the connection ends with this answer */
} http_response_t;

/* Bounds on what callers send; 0: none. */
typedef struct {
    http_limits_t limits;
    int64_t header_timeout_us; /* for a head, and between bytes of a body */
    int64_t idle_timeout_us;   /* for the next request to begin */
    uint32_t connections_max;
} http_server_settings_t;

typedef struct {
    uint32_t open;
    uint64_t accepted;
    uint64_t refused;  /* over connections_max */
    uint64_t rejected; /* requests that are no HTTP, or over the limits */
} http_server_stats_t;

/* NULL: no memory. */
http_server_t *http_server_new(struct ev_loop *loop,
                               const http_server_settings_t *settings);
void http_server_free(http_server_t *server);

/* Bounds for what arrives from now on. */
void http_server_configure(http_server_t *server,
                           const http_server_settings_t *settings);

/* False: errno says why. */
bool http_server_listen(http_server_t *server,
                        const struct sockaddr_in *address,
                        const http_handler_t *service, void *owner);

/* Accept nothing more; connections stay. */
void http_server_stop_listening(http_server_t *server);

/* From now on each answer is the last of its connection. */
void http_server_close_after_responses(http_server_t *server);

/* Close connections on which no request is being read or worked on. */
void http_server_close_idle(http_server_t *server);

/* End what has been idle or incomplete for too long. */
void http_server_sweep(http_server_t *server, int64_t now_us);

const http_server_stats_t *http_server_stats(const http_server_t *server);

const http_message_t *exchange_request(const exchange_t *exchange);

/* When the request was complete, monotonic microseconds. */
int64_t exchange_arrived_us(const exchange_t *exchange);

/* The service's own data on the exchange, for the time of one request. */
void exchange_set_data(exchange_t *exchange, void *data);
void *exchange_data(const exchange_t *exchange);

void exchange_wake_at(exchange_t *exchange, int64_t at_us);

void exchange_respond(exchange_t *exchange, const http_response_t *answer);

#endif
