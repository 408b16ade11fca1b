/*
 * A TCP connection on the event loop.
 *
 * A write sends as many bytes as the socket accepts and buffers the rest.
 * After a callback, the connection is not used again in the same loop
 * iteration, so a callback may close and free it.
 *
 *     conn_t conn;
 *     conn_open(&conn, loop, &address, &ops, owner);
 *     conn_write(&conn, bytes, size);
 *     conn_close(&conn);
 */
#ifndef HTTP_CONN_H
#define HTTP_CONN_H

#include "net/buffer.h"

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/uio.h>

typedef struct conn conn_t;

typedef struct {
    /* conn_open has established the connection; may be NULL. */
    void (*connected)(conn_t *conn);
    void (*data)(conn_t *conn, const char *bytes, size_t size);
    /*
     * The connection failed (clean is false), or the peer closed its end
     * (clean is true). The owner calls conn_close.
     */
    void (*disconnected)(conn_t *conn, bool clean);
    /* The socket has accepted all buffered bytes; may be NULL. */
    void (*flushed)(conn_t *conn);
} conn_ops_t;

struct conn {
    struct ev_loop *loop;
    ev_io io;
    int fd; /* -1: closed */
    const conn_ops_t *ops;
    void *owner;
    buffer_t out; /* bytes that the socket has not accepted yet */
    bool connecting;
};

/*
 * Start to connect to address. Returns false if no socket can be created or
 * the connection is refused at once; there is nothing to close then. ops must
 * outlive the connection; owner is for the callbacks' use.
 */
bool conn_open(conn_t *conn, struct ev_loop *loop,
               const struct sockaddr_in *address, const conn_ops_t *ops,
               void *owner);

/* Take over an accepted, non-blocking socket. */
void conn_adopt(conn_t *conn, struct ev_loop *loop, int fd,
                const conn_ops_t *ops, void *owner);

/*
 * Write bytes, which are copied if they have to be buffered. Returns false if
 * the connection is closed or broken or if memory runs out; disconnected may
 * or may not be called later.
 */
bool conn_write(conn_t *conn, const void *bytes, size_t size);
bool conn_writev(conn_t *conn, const struct iovec *pieces, int count);

bool conn_is_open(const conn_t *conn);

/* Whether the socket has accepted everything that was written. */
bool conn_is_flushed(const conn_t *conn);

/*
 * Enable TCP keepalive, which detects that a silent peer is gone: after idle_s
 * seconds of silence, count probes are sent every interval_s seconds.
 */
void conn_enable_keepalive(const conn_t *conn, int idle_s, int interval_s,
                           int count);

/* Close the connection and drop buffered bytes; no effect if it is closed. */
void conn_close(conn_t *conn);

/* Open a listening socket; -1: failure, with errno set. */
int listener_open(const struct sockaddr_in *address);

#endif
