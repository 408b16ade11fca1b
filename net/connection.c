#include "net/connection.h"

#include <arpa/inet.h>
#include <errno.h>
#include <gnutls/crypto.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    CONNECTION_READ_BYTES = 64 << 10,
    CONNECTION_UNACKED_MAX_MS = 5000, /* TCP_USER_TIMEOUT */
    CONNECTION_KEEPALIVE_IDLE_S = 2,
    CONNECTION_KEEPALIVE_INTERVAL_S = 1,
    CONNECTION_KEEPALIVE_PROBES = 3
};

static void
socket_option(int fd, int level, int option, int value)
{
    (void)setsockopt(fd, level, option, &value, sizeof(value));
}

/*
 * Sets the socket options that detect a dead host within seconds and send
 * small messages at once.
 */
static void
socket_prepare(int fd)
{
    socket_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    socket_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    socket_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, CONNECTION_KEEPALIVE_IDLE_S);
    socket_option(fd, IPPROTO_TCP, TCP_KEEPINTVL,
                  CONNECTION_KEEPALIVE_INTERVAL_S);
    socket_option(fd, IPPROTO_TCP, TCP_KEEPCNT, CONNECTION_KEEPALIVE_PROBES);
    socket_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                  CONNECTION_UNACKED_MAX_MS);
}

static connection_t *
connection_new(int fd, int64_t now_us)
{
    connection_t *connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        close(fd);
        return NULL;
    }
    connection->fd = fd;
    connection->started_us = now_us;
    socket_prepare(fd);
    return connection;
}

void
connection_free(connection_t *connection)
{
    if (connection == NULL) {
        return;
    }
    close(connection->fd);
    auth_stream_free(connection->sender);
    auth_stream_free(connection->receiver);
    buffer_release(&connection->in);
    buffer_release(&connection->out);
    free(connection);
}

static status_t
connection_error(const connection_t *connection, status_t status,
                 const char *step, const char *message, error_t *err)
{
    return error_set(err, status, step, connection->address, "%s", message);
}

/* Encodes a handshake message into the out buffer. */
static status_t
connection_send_message(connection_t *connection, const message_t *message,
                        error_t *err)
{
    uint8_t *bytes;
    size_t size;
    status_t status = message_encode(message, 0, &bytes, &size, err);
    if (status != STATUS_OK) {
        return status;
    }
    status =
        connection_send(connection, (uint8_t)message->type, bytes, size, err);
    free(bytes);
    return status;
}

/* Sets the address of an accepted connection to the peer's address:port. */
static void
connection_set_peer_address(connection_t *connection)
{
    struct sockaddr_in6 peer = {0};
    socklen_t size = sizeof(peer);
    char text[INET6_ADDRSTRLEN] = "?";
    uint16_t port = 0;
    if (getpeername(connection->fd, (struct sockaddr *)&peer, &size) == 0) {
        const struct sockaddr_in *in4 = (const struct sockaddr_in *)&peer;
        bool is4 = peer.sin6_family == AF_INET;
        const void *address =
            is4 ? (const void *)&in4->sin_addr : (const void *)&peer.sin6_addr;
        inet_ntop(peer.sin6_family, address, text, sizeof(text));
        port = ntohs(is4 ? in4->sin_port : peer.sin6_port);
    }
    snprintf(connection->address, sizeof(connection->address), "%s:%u", text,
             port);
}

connection_t *
connection_accept(int fd, const identity_t *self, auth_key_t key,
                  int64_t now_us)
{
    connection_t *connection = connection_new(fd, now_us);
    if (connection == NULL) {
        return NULL;
    }
    connection_set_peer_address(connection);
    uint8_t nonce[NONCE_BYTES];
    message_t challenge;
    if (gnutls_rnd(GNUTLS_RND_NONCE, nonce, sizeof(nonce)) != 0) {
        connection_free(connection);
        return NULL;
    }
    handshake_accept(&connection->handshake, self, key, nonce, &challenge);
    if (connection_send_message(connection, &challenge, NULL) != STATUS_OK) {
        connection_free(connection);
        return NULL;
    }
    return connection;
}

static bool
address_parse(const char *address, uint16_t port, struct sockaddr_in6 *out,
              socklen_t *size)
{
    struct sockaddr_in in4 = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
    };
    if (inet_pton(AF_INET, address, &in4.sin_addr) == 1) {
        memcpy(out, &in4, sizeof(in4));
        *size = sizeof(in4);
        return true;
    }
    *out = (struct sockaddr_in6){
        .sin6_family = AF_INET6,
        .sin6_port = htons(port),
    };
    *size = sizeof(*out);
    return inet_pton(AF_INET6, address, &out->sin6_addr) == 1;
}

connection_t *
connection_dial(const char *address, uint16_t port, const identity_t *self,
                auth_key_t key, const char *name, uint64_t incarnation,
                int64_t now_us, error_t *err)
{
    struct sockaddr_in6 to;
    socklen_t size;
    if (!address_parse(address, port, &to, &size)) {
        error_set(err, STATUS_INVALID, "peer connect", address,
                  "the address must be an IP address");
        return NULL;
    }
    uint8_t nonce[NONCE_BYTES];
    int fd =
        socket(to.sin6_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || gnutls_rnd(GNUTLS_RND_NONCE, nonce, sizeof(nonce)) != 0) {
        error_set(err, STATUS_UNAVAILABLE, "peer connect", address, "%s",
                  strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    connection_t *connection = connection_new(fd, now_us);
    if (connection == NULL) {
        error_set(err, STATUS_NO_MEMORY, "peer connect", address,
                  "out of memory");
        return NULL;
    }
    snprintf(connection->address, sizeof(connection->address), "%s:%u",
             address, port);
    connection->connecting = true;
    connection->want_write = true;
    handshake_dial(&connection->handshake, self, key, nonce, name,
                   incarnation);
    if (connect(fd, (struct sockaddr *)&to, size) != 0 &&
        errno != EINPROGRESS) {
        connection_error(connection, STATUS_UNAVAILABLE, "peer connect",
                         strerror(errno), err);
        connection_free(connection);
        return NULL;
    }
    return connection;
}

status_t
connection_finish_connect(connection_t *connection, error_t *err)
{
    int failure = 0;
    socklen_t size = sizeof(failure);
    (void)getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &failure, &size);
    if (failure != 0) {
        return connection_error(connection, STATUS_UNAVAILABLE, "peer connect",
                                strerror(failure), err);
    }
    connection->connecting = false;
    connection->want_write = false;
    return STATUS_OK;
}

status_t
connection_receive(connection_t *connection, error_t *err)
{
    uint8_t *space = buffer_reserve(&connection->in, CONNECTION_READ_BYTES);
    if (space == NULL) {
        return connection_error(connection, STATUS_NO_MEMORY, "peer receive",
                                "out of memory", err);
    }
    ssize_t received = read(connection->fd, space, CONNECTION_READ_BYTES);
    if (received > 0) {
        buffer_commit(&connection->in, (size_t)received);
        return STATUS_OK;
    }
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
        return STATUS_OK;
    }
    return connection_error(connection, STATUS_UNAVAILABLE, "peer receive",
                            received == 0 ? "the peer closed the connection"
                                          : strerror(errno),
                            err);
}

/* Advances the handshake by one message and sends the reply, if any. */
static status_t
connection_authenticate(connection_t *connection, const message_t *in,
                        connection_event_t *event, error_t *err)
{
    message_t out;
    handshake_result_t result =
        handshake_process(&connection->handshake, in, &out);
    if (result != HANDSHAKE_CONTINUE && result != HANDSHAKE_DONE) {
        return connection_error(connection, STATUS_DENIED, "peer handshake",
                                handshake_result_name(result), err);
    }
    if (out.type != MESSAGE_NONE) {
        status_t status = connection_send_message(connection, &out, err);
        if (status != STATUS_OK) {
            return status;
        }
    }
    if (result == HANDSHAKE_CONTINUE) {
        event->kind = CONNECTION_NO_MESSAGE;
        return STATUS_OK;
    }
    if (!handshake_streams(&connection->handshake, &connection->sender,
                           &connection->receiver)) {
        return connection_error(connection, STATUS_NO_MEMORY, "peer handshake",
                                "out of memory", err);
    }
    connection->authenticated = true;
    event->kind = CONNECTION_AUTHENTICATED;
    return STATUS_OK;
}

/* Processes a frame of the handshake; no other types are allowed. */
static status_t
connection_process_handshake(connection_t *connection, const frame_t *frame,
                             connection_event_t *event, error_t *err)
{
    if (frame->type != MESSAGE_CHALLENGE && frame->type != MESSAGE_HELLO) {
        return connection_error(
            connection, STATUS_DENIED, "peer handshake",
            "the frame's type is not allowed before authentication", err);
    }
    message_t in;
    if (message_decode(frame->type, frame->payload, frame->payload_size, 0,
                       &in, NULL) != STATUS_OK) {
        return connection_error(connection, STATUS_DENIED, "peer handshake",
                                "malformed handshake message", err);
    }
    status_t status = connection_authenticate(connection, &in, event, err);
    message_release(&in);
    return status;
}

static status_t
connection_process_frame(connection_t *connection, const frame_t *frame,
                         int64_t now_us, connection_event_t *event,
                         error_t *err)
{
    const uint8_t *start = buffer_data(&connection->in);
    if (!auth_stream_verify(connection->receiver, start,
                            frame->size - FRAME_MAC_BYTES, frame->mac)) {
        return connection_error(connection, STATUS_DENIED, "peer receive",
                                "the frame's MAC is wrong", err);
    }
    uint64_t incarnation = handshake_peer(&connection->handshake)->incarnation;
    if (frame->incarnation != incarnation) {
        return connection_error(connection, STATUS_INVALID, "peer receive",
                                "the frame's incarnation is not the peer's",
                                err);
    }
    if (frame->type == MESSAGE_CHALLENGE || frame->type == MESSAGE_HELLO) {
        return connection_error(connection, STATUS_INVALID, "peer receive",
                                "handshake message after authentication", err);
    }
    status_t status =
        message_decode(frame->type, frame->payload, frame->payload_size,
                       now_us, &event->message, err);
    if (status == STATUS_NOT_FOUND) {
        event->kind = CONNECTION_NO_MESSAGE;
        return STATUS_OK;
    }
    if (status != STATUS_OK && err != NULL) {
        snprintf(err->peer, sizeof(err->peer), "%s", connection->address);
    }
    event->kind = CONNECTION_MESSAGE;
    return status;
}

status_t
connection_next_event(connection_t *connection, int64_t now_us,
                      connection_event_t *event, error_t *err)
{
    *event = (connection_event_t){.kind = CONNECTION_IDLE};
    bool authenticated = connection->authenticated;
    frame_t frame;
    frame_result_t result = frame_parse(
        buffer_data(&connection->in), buffer_size(&connection->in),
        authenticated ? FRAME_MAC_BYTES : 0,
        authenticated ? FRAME_PAYLOAD_MAX_BYTES : FRAME_HANDSHAKE_MAX_BYTES,
        &frame);
    if (result == FRAME_INCOMPLETE) {
        return STATUS_OK;
    }
    if (result != FRAME_READY) {
        return connection_error(
            connection, authenticated ? STATUS_INVALID : STATUS_DENIED,
            "peer receive", frame_result_name(result), err);
    }
    event->type = frame.type;
    event->frame_size = frame.size;
    status_t status =
        authenticated
            ? connection_process_frame(connection, &frame, now_us, event, err)
            : connection_process_handshake(connection, &frame, event, err);
    buffer_consume(&connection->in, frame.size);
    return status;
}

status_t
connection_send(connection_t *connection, uint8_t type, const uint8_t *payload,
                size_t size, error_t *err)
{
    size_t mac_bytes = connection->authenticated ? FRAME_MAC_BYTES : 0;
    size_t total_size = frame_size(size, mac_bytes);
    uint8_t *out = buffer_reserve(&connection->out, total_size);
    if (out == NULL) {
        return connection_error(connection, STATUS_NO_MEMORY, "peer send",
                                "out of memory", err);
    }
    /*
     * A challenge carries no incarnation: the acceptor identifies itself only
     * after the dialer's proof.
     */
    uint64_t incarnation =
        type == MESSAGE_CHALLENGE ? 0 : connection->handshake.self.incarnation;
    frame_write_header(out, type, incarnation, size, mac_bytes);
    memcpy(out + FRAME_HEADER_BYTES, payload, size);
    if (mac_bytes > 0 &&
        !auth_stream_sign(connection->sender, out, total_size - mac_bytes,
                          out + total_size - mac_bytes)) {
        return connection_error(connection, STATUS_INTERNAL, "peer send",
                                "the MAC of the frame cannot be computed",
                                err);
    }
    buffer_commit(&connection->out, total_size);
    return STATUS_OK;
}

status_t
connection_flush(connection_t *connection, error_t *err)
{
    connection->want_write = connection->connecting;
    while (!connection->connecting && buffer_size(&connection->out) > 0) {
        ssize_t sent =
            send(connection->fd, buffer_data(&connection->out),
                 buffer_size(&connection->out), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent >= 0) {
            buffer_consume(&connection->out, (size_t)sent);
        }
        else if (errno == EAGAIN) {
            connection->want_write = true;
            return STATUS_OK;
        }
        else if (errno != EINTR) {
            return connection_error(connection, STATUS_UNAVAILABLE,
                                    "peer send", strerror(errno), err);
        }
    }
    return STATUS_OK;
}

size_t
connection_unsent_bytes(const connection_t *connection)
{
    int kernel = 0;
    if (ioctl(connection->fd, SIOCOUTQ, &kernel) != 0) {
        kernel = 0;
    }
    return buffer_size(&connection->out) + (size_t)kernel;
}
