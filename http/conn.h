/*
 * One TCP connection on the event loop.
 *
 * Bytes are written at once where the socket takes them and kept otherwise.
 * Each callback is the last thing done with the connection in its turn, so
 * that it may close and free it.
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
    void (*connected)(conn_t *conn); /* a connection asked for is there */
    void (*data)(conn_t *conn, const char *bytes, size_t size);
    /* The peer closed, cleanly or not; the caller closes this end. */
    void (*disconnected)(conn_t *conn, bool clean);
    void (*flushed)(conn_t *conn); /* all that was kept has been written */
} conn_ops_t;

struct conn {
    struct ev_loop *loop;
    ev_io io;
    int fd; /* -1: closed */
    const conn_ops_t *ops;
    void *owner;
    buffer_t out; /* not yet taken by the socket */
    bool connecting;
};

/* False: no descriptor, or refused at once; nothing to close then. */
bool conn_open(conn_t *conn, struct ev_loop *loop,
               const struct sockaddr_in *address, const conn_ops_t *ops,
               void *owner);

/* Take over an accepted socket. */
void conn_adopt(conn_t *conn, struct ev_loop *loop, int fd,
                const conn_ops_t *ops, void *owner);

/* False: the connection is broken; ended is called later, or never. */
bool conn_write(conn_t *conn, const void *bytes, size_t size);
bool conn_writev(conn_t *conn, const struct iovec *pieces, int count);

bool conn_is_open(const conn_t *conn);

/* Whether everything written has been taken by the socket. */
bool conn_is_flushed(const conn_t *conn);

/* Probe a peer that says nothing, so that one that is gone is noticed. */
void conn_enable_keepalive(const conn_t *conn, int idle_s, int interval_s,
                           int count);

void conn_close(conn_t *conn);

/* A listening socket for address; -1: errno says why. */
int listener_open(const struct sockaddr_in *address);

#endif
