/*
 * An HTTP/1.1 server on the event loop.
 *
 * The requests of a connection are passed to the handler one after the other,
 * each when it is complete. If a client disconnects while its request is being
 * handled, the handler is told at once.
 *
 *     http_server_t *server = http_server_new(loop, &settings);
 *     http_server_listen(server, &address, &handler, owner);
 *     ... handler.request(owner, exchange) is called ...
 *     exchange_respond(exchange, &response);
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

/* A client's connection and its current request. */
typedef struct exchange exchange_t;

typedef struct {
    /*
     * A request is complete. The handler calls exchange_respond once, from
     * this callback or later.
     */
    void (*request)(void *owner, exchange_t *exchange);
    /*
     * Before the response was sent, the client disconnected, the bytes that it
     * pipelined could not be buffered, or the server is being freed. The
     * exchange must not be used after this callback.
     */
    void (*disconnected)(void *owner, exchange_t *exchange);
    /* The time given to exchange_wake_at has come; may be NULL. */
    void (*wake)(void *owner, exchange_t *exchange);
} http_handler_t;

typedef struct {
    uint32_t status;
    const char *headers; /* lines that each end with CRLF; may be NULL */
    size_t headers_size;
    const void *body;
    size_t body_size;
    bool no_body; /* for HEAD, 204 and 304: send neither body nor length */
    bool close;   /* close the connection after this response */
} http_response_t;

/* Limits on clients; 0: no limit, but connections_max 0 refuses them all. */
typedef struct {
    http_limits_t limits;
    /* Bytes of the requests on all connections together, until each is
       answered. Beyond it, the request with the most bytes of those that the
       handler has not got yet is answered 503. */
    size_t max_held_bytes;
    int64_t header_timeout_us; /* for all headers, then between body pieces */
    int64_t idle_timeout_us;   /* until the next request begins, or without
                                  progress in sending a response */
    uint32_t connections_max;  /* open at a time; further ones are refused */
} http_server_settings_t;

typedef struct {
    uint32_t open; /* connections */
    uint64_t accepted;
    uint64_t refused;  /* connections over connections_max */
    uint64_t rejected; /* requests malformed, too large or timed out */
    uint64_t shed;     /* requests rejected for max_held_bytes */
} http_server_stats_t;

/* Returns NULL if memory runs out. */
http_server_t *http_server_new(struct ev_loop *loop,
                               const http_server_settings_t *settings);

/*
 * Close all listeners and connections and free the server. Handlers are told
 * of each request without a response by disconnected, so what they refer to
 * must still be there. NULL is allowed.
 */
void http_server_free(http_server_t *server);

/*
 * Replace the settings. The size limits apply to new connections, and to open
 * ones after their next response; the other settings apply at once.
 */
void http_server_configure(http_server_t *server,
                           const http_server_settings_t *settings);

/*
 * Listen on address; handler must outlive the server, and owner is passed to
 * its callbacks. Returns false with errno set on failure.
 */
bool http_server_listen(http_server_t *server,
                        const struct sockaddr_in *address,
                        const http_handler_t *handler, void *owner);

/* Accept no more connections; open connections stay open. */
void http_server_stop_listening(http_server_t *server);

/* From now on, close each connection after its next response. */
void http_server_close_after_responses(http_server_t *server);

/* Whether a request is being handled, or a response is not sent whole. */
bool http_server_is_busy(const http_server_t *server);

/* Close connections on which no request is being read or handled, each when
   its last response is sent. */
void http_server_close_idle(http_server_t *server);

/* Close the connections that have exceeded a timeout; now_us is monotonic. */
void http_server_sweep(http_server_t *server, int64_t now_us);

/* The statistics, updated in place and valid until http_server_free. */
const http_server_stats_t *http_server_stats(const http_server_t *server);

/* The current request, valid until exchange_respond. */
const http_message_t *exchange_request(const exchange_t *exchange);

/* When the request was complete, monotonic microseconds. */
int64_t exchange_arrived_us(const exchange_t *exchange);

/* A pointer for the handler's use: NULL when a request starts; not freed. */
void exchange_set_data(exchange_t *exchange, void *data);
void *exchange_data(const exchange_t *exchange);

/*
 * Have the handler's wake called at the monotonic time at_us, or slightly
 * earlier, unless the response is sent before. A later call replaces the time.
 */
void exchange_wake_at(exchange_t *exchange, int64_t at_us);

/* Send the response; bytes that cannot be sent at once are copied. */
void exchange_respond(exchange_t *exchange, const http_response_t *response);

#endif
