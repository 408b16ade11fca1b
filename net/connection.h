/*
 * One connection between two daemons: a non-blocking socket, the handshake,
 * and the buffers of received and unsent frames. Only the transport's thread
 * uses a connection.
 *
 *     connection_t *c = connection_accept(fd, &self, key, now_us);
 *     connection_receive(c, &err);                     socket -> in buffer
 *     connection_next_event(c, now_us, &event, &err);  in buffer -> event
 *     connection_send(c, type, payload, size, &err);   frame -> out buffer
 *     connection_flush(c, &err);                       out buffer -> socket
 *     connection_free(c);
 */
#ifndef NET_CONNECTION_H
#define NET_CONNECTION_H

#include "net/buffer.h"
#include "proto/handshake.h"

#include <stdbool.h>

enum {
    /*
     * No further message is moved from the peer's queue to the out buffer
     * while the buffer has at least this many bytes.
     */
    CONNECTION_OUT_MAX_BYTES = 256 << 10,
    CONNECTION_ADDRESS_SIZE = 64
};

typedef struct {
    int fd;
    bool connecting;    /* connect() is in progress */
    bool authenticated; /* the handshake is done */
    bool want_write;    /* wait until the socket is writable */
    handshake_t handshake;
    auth_stream_t *sender;
    auth_stream_t *receiver;
    buffer_t in;
    buffer_t out;
    int64_t started_us;                    /* CLOCK_MONOTONIC */
    char address[CONNECTION_ADDRESS_SIZE]; /* "10.0.0.4:7001" */
} connection_t;

typedef enum {
    CONNECTION_IDLE,          /* no complete frame is left in the buffer */
    CONNECTION_AUTHENTICATED, /* the handshake has just succeeded */
    CONNECTION_MESSAGE,       /* event->message is set */
    CONNECTION_NO_MESSAGE     /* handshake frame, or unknown type ignored */
} connection_event_kind_t;

typedef struct {
    connection_event_kind_t kind;
    uint8_t type;      /* of the frame */
    size_t frame_size; /* on the wire */
    message_t message; /* the caller releases it */
} connection_event_t;

/*
 * Returns a connection on an accepted socket, with the challenge in its out
 * buffer, or NULL on failure. Takes ownership of fd, also on failure.
 */
connection_t *connection_accept(int fd, const identity_t *self, auth_key_t key,
                                int64_t now_us);

/*
 * Starts to connect to address:port, where the daemon of this name and
 * incarnation must answer; see handshake_dial. Returns NULL with *err set if
 * address is not an IP address, the socket cannot be created or connected, or
 * out of memory.
 */
connection_t *connection_dial(const char *address, uint16_t port,
                              const identity_t *self, auth_key_t key,
                              const char *name, uint64_t incarnation,
                              int64_t now_us, error_t *err);

/* Closes the socket and frees the connection, which may be NULL. */
void connection_free(connection_t *connection);

/*
 * Completes connect() once the socket has events. Returns STATUS_UNAVAILABLE
 * if connect() failed.
 */
status_t connection_finish_connect(connection_t *connection, error_t *err);

/*
 * Reads available bytes into the in buffer. On any other status than
 * STATUS_OK the caller must close the connection.
 */
status_t connection_receive(connection_t *connection, error_t *err);

/*
 * Processes the next complete frame in the in buffer and sets *event. On any
 * status other than STATUS_OK the caller must close the connection:
 * STATUS_DENIED means a failed handshake or a wrong MAC, STATUS_INVALID a
 * malformed frame or message of an authenticated peer.
 */
status_t connection_next_event(connection_t *connection, int64_t now_us,
                               connection_event_t *event, error_t *err);

/*
 * Appends a frame with this payload to the out buffer, with a MAC once the
 * connection is authenticated. The caller keeps payload.
 */
status_t connection_send(connection_t *connection, uint8_t type,
                         const uint8_t *payload, size_t size, error_t *err);

/*
 * Writes the out buffer to the socket. Sets want_write if bytes are left
 * because the socket is full. On any status other than STATUS_OK the caller
 * must close the connection.
 */
status_t connection_flush(connection_t *connection, error_t *err);

/*
 * Returns the number of bytes in the out buffer plus the bytes that were
 * written to the socket and that the peer's host has not yet acknowledged.
 */
size_t connection_unsent_bytes(const connection_t *connection);

#endif
