#include "tier/peer_link.h"

#include "http/conn.h"
#include "http/loop_clock.h"
#include "http/message.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    PEER_RESPONSE_TIMEOUT_US = 500000, /* peers are milliseconds away */
    /* Packets to a VM without power are lost, and it may be the next one that
       is up. A busy peer accepts connections all the same. */
    PEER_CONNECT_TIMEOUT_US = 150000,
    /* Room for a configuration and some thousand entries. */
    PEER_STATE_BYTES_MAX = 4 << 20,
    PEER_REQUEST_SIZE = 512
};

struct peer_link {
    struct ev_loop *loop;
    peer_response_fn_t on_response;
    void *owner;
    conn_t conn;
    struct sockaddr_in address; /* the peer that conn is open to */
    http_reader_t reader;
    int64_t deadline_us; /* of the pending request; 0: none is pending */
    int64_t connect_deadline_us; /* until then a connection is to be open */
};

peer_link_t *
peer_link_new(struct ev_loop *loop, peer_response_fn_t on_response,
              void *owner)
{
    static const http_limits_t limits = {
        .max_header_bytes = 8192,
        .max_body_bytes = PEER_STATE_BYTES_MAX,
    };
    peer_link_t *link = calloc(1, sizeof(*link));
    if (link == NULL) {
        return NULL;
    }
    link->loop = loop;
    link->on_response = on_response;
    link->owner = owner;
    link->conn.fd = -1;
    http_reader_init(&link->reader, HTTP_RESPONSES, &limits);
    return link;
}

/* Close the connection and report the pending request, if any, as failed. */
static void
request_failed(peer_link_t *link, int64_t now_us)
{
    bool pending = link->deadline_us != 0;
    conn_close(&link->conn);
    link->deadline_us = 0;
    http_reader_next(&link->reader);
    if (pending) {
        link->on_response(link->owner, NULL, 0, now_us);
    }
}

static void
peer_conn_data(conn_t *conn, const char *bytes, size_t size)
{
    peer_link_t *link = conn->owner;
    int64_t now_us = loop_now_us();
    size_t used = 0;
    if (link->deadline_us == 0) {
        conn_close(conn); /* no request is pending */
        return;
    }
    http_state_t state = http_reader_feed(&link->reader, bytes, size, &used);
    if (state == HTTP_INCOMPLETE) {
        return;
    }
    const http_message_t *message = &link->reader.message;
    if (state != HTTP_DONE || used < size || message->status != 200) {
        request_failed(link, now_us);
        return;
    }
    link->deadline_us = 0;
    if (!message->keep_alive) {
        conn_close(conn);
    }
    link->on_response(link->owner, (const char *)buffer_data(&message->body),
                      buffer_size(&message->body), now_us);
    http_reader_next(&link->reader);
}

static void
peer_conn_disconnected(conn_t *conn, bool clean)
{
    (void)clean;
    request_failed(conn->owner, loop_now_us());
}

static const conn_ops_t peer_ops = {
    .data = peer_conn_data,
    .disconnected = peer_conn_disconnected,
};

bool
peer_link_is_idle(const peer_link_t *link)
{
    return link->deadline_us == 0;
}

void
peer_link_request(peer_link_t *link, const struct sockaddr_in *address,
                  const char *path, int64_t now_us)
{
    char request[PEER_REQUEST_SIZE];
    int size = snprintf(request, sizeof(request),
                        "GET %s HTTP/1.1\r\nHost: peer\r\n\r\n", path);
    bool connected =
        conn_is_open(&link->conn) &&
        link->address.sin_addr.s_addr == address->sin_addr.s_addr &&
        link->address.sin_port == address->sin_port;
    http_reader_next(&link->reader);
    link->deadline_us = now_us + PEER_RESPONSE_TIMEOUT_US;
    link->connect_deadline_us = now_us + PEER_CONNECT_TIMEOUT_US;
    if (!connected) {
        conn_close(&link->conn);
        link->address = *address;
        connected =
            conn_open(&link->conn, link->loop, address, &peer_ops, link);
    }
    if (size <= 0 || (size_t)size >= sizeof(request) || !connected ||
        !conn_write(&link->conn, request, (size_t)size)) {
        request_failed(link, now_us);
    }
}

void
peer_link_tick(peer_link_t *link, int64_t now_us)
{
    if (link->deadline_us == 0) {
        return;
    }
    if (now_us >= link->deadline_us ||
        (link->conn.connecting && now_us >= link->connect_deadline_us)) {
        request_failed(link, now_us);
    }
}

void
peer_link_free(peer_link_t *link)
{
    if (link != NULL) {
        conn_close(&link->conn);
        http_reader_release(&link->reader);
        free(link);
    }
}
