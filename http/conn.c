#include "http/conn.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    READ_BUFFER_BYTES = 65536,
    LISTEN_BACKLOG = 512 /* connections that wait to be accepted */
};

/* A process has one event loop, so all connections share a buffer. */
static char read_buffer[READ_BUFFER_BYTES];

/* Watch the socket for these events only. */
static void
conn_set_events(conn_t *conn, int events)
{
    if ((conn->io.events & (EV_READ | EV_WRITE)) == events) {
        return;
    }
    ev_io_stop(conn->loop, &conn->io);
    ev_io_set(&conn->io, conn->fd, events);
    ev_io_start(conn->loop, &conn->io);
}

/* Write buffered bytes; false: the connection is broken. */
static bool
conn_flush(conn_t *conn)
{
    while (buffer_size(&conn->out) > 0) {
        ssize_t size = send(conn->fd, buffer_data(&conn->out),
                            buffer_size(&conn->out), MSG_NOSIGNAL);
        if (size < 0) {
            conn_set_events(conn, EV_READ | EV_WRITE);
            return errno == EAGAIN || errno == EINTR;
        }
        buffer_consume(&conn->out, (size_t)size);
    }
    conn_set_events(conn, EV_READ);
    return true;
}

static void
conn_connected(conn_t *conn)
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
        conn->ops->disconnected(conn, false);
        return;
    }
    conn->connecting = false;
    if (!conn_flush(conn)) {
        conn->ops->disconnected(conn, false);
        return;
    }
    if (conn->ops->connected != NULL) {
        conn->ops->connected(conn);
    }
}

static void
conn_read(conn_t *conn)
{
    ssize_t size = recv(conn->fd, read_buffer, sizeof(read_buffer), 0);
    if (size > 0) {
        conn->ops->data(conn, read_buffer, (size_t)size);
    }
    else if (size == 0) {
        conn->ops->disconnected(conn, true);
    }
    else if (errno != EAGAIN && errno != EINTR) {
        conn->ops->disconnected(conn, false);
    }
}

static void
conn_event(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    conn_t *conn = io->data;
    if (conn->connecting) {
        conn_connected(conn);
        return;
    }
    if ((events & EV_WRITE) != 0) {
        if (!conn_flush(conn)) {
            conn->ops->disconnected(conn, false);
            return;
        }
        if (buffer_size(&conn->out) == 0 && conn->ops->flushed != NULL) {
            conn->ops->flushed(conn);
            return;
        }
    }
    if ((events & EV_READ) != 0) {
        conn_read(conn);
    }
}

static void
conn_start(conn_t *conn, int events)
{
    int on = 1;
    /* Messages are written whole, so delaying a segment to fill it (Nagle's
       algorithm) would only add latency. */
    (void)setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ev_io_init(&conn->io, conn_event, conn->fd, events);
    conn->io.data = conn;
    ev_io_start(conn->loop, &conn->io);
}

bool
conn_open(conn_t *conn, struct ev_loop *loop,
          const struct sockaddr_in *address, const conn_ops_t *ops,
          void *owner)
{
    *conn = (conn_t){.loop = loop, .ops = ops, .owner = owner};
    conn->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (conn->fd < 0) {
        return false;
    }
    if (connect(conn->fd, (const struct sockaddr *)address,
                sizeof(*address)) != 0 &&
        errno != EINPROGRESS) {
        close(conn->fd);
        conn->fd = -1;
        return false;
    }
    conn->connecting = true;
    conn_start(conn, EV_WRITE);
    return true;
}

void
conn_adopt(conn_t *conn, struct ev_loop *loop, int fd, const conn_ops_t *ops,
           void *owner)
{
    *conn = (conn_t){.loop = loop, .fd = fd, .ops = ops, .owner = owner};
    conn_start(conn, EV_READ);
}

/* Buffer bytes that the socket did not accept; false: out of memory. */
static bool
conn_queue(conn_t *conn, const void *bytes, size_t size)
{
    uint8_t *room = buffer_reserve(&conn->out, size);
    if (room == NULL) {
        return false;
    }
    memcpy(room, bytes, size);
    buffer_commit(&conn->out, size);
    return true;
}

bool
conn_writev(conn_t *conn, const struct iovec *pieces, int count)
{
    if (conn->fd < 0) {
        return false;
    }
    size_t sent = 0;
    if (buffer_size(&conn->out) == 0 && !conn->connecting) {
        struct msghdr message = {
            .msg_iov = (struct iovec *)pieces,
            .msg_iovlen = (size_t)count,
        };
        ssize_t size = sendmsg(conn->fd, &message, MSG_NOSIGNAL);
        if (size < 0 && errno != EAGAIN && errno != EINTR) {
            return false;
        }
        sent = size > 0 ? (size_t)size : 0;
    }
    for (int i = 0; i < count; i++) {
        size_t skip = sent < pieces[i].iov_len ? sent : pieces[i].iov_len;
        sent -= skip;
        if (skip < pieces[i].iov_len &&
            !conn_queue(conn, (const char *)pieces[i].iov_base + skip,
                        pieces[i].iov_len - skip)) {
            return false;
        }
    }
    if (buffer_size(&conn->out) > 0 && !conn->connecting) {
        conn_set_events(conn, EV_READ | EV_WRITE);
    }
    return true;
}

bool
conn_write(conn_t *conn, const void *bytes, size_t size)
{
    struct iovec piece = {.iov_base = (void *)bytes, .iov_len = size};
    return conn_writev(conn, &piece, 1);
}

bool
conn_is_open(const conn_t *conn)
{
    return conn->fd >= 0;
}

bool
conn_is_flushed(const conn_t *conn)
{
    return buffer_size(&conn->out) == 0;
}

void
conn_enable_keepalive(const conn_t *conn, int idle_s, int interval_s,
                      int count)
{
    int on = 1;
    (void)setsockopt(conn->fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    (void)setsockopt(conn->fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s,
                     sizeof(idle_s));
    (void)setsockopt(conn->fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
                     sizeof(interval_s));
    (void)setsockopt(conn->fd, IPPROTO_TCP, TCP_KEEPCNT, &count,
                     sizeof(count));
}

void
conn_close(conn_t *conn)
{
    if (conn->fd < 0) {
        return;
    }
    ev_io_stop(conn->loop, &conn->io);
    close(conn->fd);
    conn->fd = -1;
    buffer_release(&conn->out);
}

int
listener_open(const struct sockaddr_in *address)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    int on = 1;
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        int error = errno;
        close(fd);
        errno = error;
        return -1;
    }
    return fd;
}
