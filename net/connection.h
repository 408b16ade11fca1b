/*
 * One connection between two daemons: a non-blocking socket, the handshake,
 * and frames in and out. Used by the transport's thread only.
 *
 *     connection_t *c = connection_accept(fd, &self, key, now_us);
 *     connection_receive(c, &received);         socket -> buffer
 *     while (connection_next_event(c, now_us, &event, &err) == STATUS_OK &&
 * ...) connection_send(c, type, payload, size);  buffer, sealed
 *     connection_flush(c);                      buffer -> socket
 *     connection_free(c);
 */
#ifndef NET_CONNECTION_H
#define NET_CONNECTION_H

#include "net/buffer.h"
#include "proto/handshake.h"

#include <stdbool.h>

enum {
    /* Sealed bytes that wait for the socket before queues stay queues. */
    CONNECTION_OUT_MAX_BYTES = 256 << 10,
    CONNECTION_ADDRESS_SIZE = 64
};

typedef struct {
    int fd;
    bool connecting;    /* connect() has not ended */
    bool authenticated; /* the handshake is done */
    bool want_write;    /* the socket was full */
    handshake_t handshake;
    auth_stream_t *sender;
    auth_stream_t *receiver;
    buffer_t in;
    buffer_t out;
    int64_t started_us;
    char address[CONNECTION_ADDRESS_SIZE]; /* "10.0.0.4:7001" */
} connection_t;

typedef enum {
    CONNECTION_IDLE,          /* no whole frame has arrived */
    CONNECTION_AUTHENTICATED, /* the handshake has just ended */
    CONNECTION_MESSAGE,       /* event->message is set */
    CONNECTION_SKIPPED        /* a type of a later version was ignored */
} connection_event_kind_t;

typedef struct {
    connection_event_kind_t kind;
    uint8_t type;      /* of the frame */
    size_t frame_size; /* on the wire */
    message_t message; /* the receiver releases it */
} connection_event_t;

/* A connection on an accepted socket; it owns fd, also on failure (NULL). */
connection_t *connection_accept(int fd, const identity_t *self, auth_key_t key,
                                int64_t now_us);

/*
 * Begin to connect to address:port and to the daemon named; NULL with *err
 * set when the socket cannot be made or the address is wrong.
 */
connection_t *connection_dial(const char *address, uint16_t port,
                              const identity_t *self, auth_key_t key,
                              const char *name, uint64_t incarnation,
                              int64_t now_us, error_t *err);

/* Close the socket and free it; NULL ok. */
void connection_free(connection_t *connection);

/* After the socket became writable: whether the connect succeeded. */
status_t connection_finish_connect(connection_t *connection, error_t *err);

/* Read what has arrived; anything but STATUS_OK means close. */
status_t connection_receive(connection_t *connection, error_t *err);

/*
 * The next thing that has arrived whole. Anything but STATUS_OK means close:
 * STATUS_DENIED a stranger, STATUS_INVALID a broken frame or message.
 */
status_t connection_next_event(connection_t *connection, int64_t now_us,
                               connection_event_t *event, error_t *err);

/* Seal one message into the out buffer. */
status_t connection_send(connection_t *connection, uint8_t type,
                         const uint8_t *payload, size_t size, error_t *err);

/* Write as much as the socket takes; anything but STATUS_OK means close. */
status_t connection_flush(connection_t *connection, error_t *err);

/* Bytes not yet taken by the peer's kernel, buffers included. */
size_t connection_unsent_bytes(const connection_t *connection);

#endif
