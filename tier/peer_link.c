#include "tier/peer_link.h"

#include "http/conn.h"
#include "http/loop_clock.h"
#include "http/message.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    ASK_US = 500000, /* for one answer: peers are milliseconds away */
    STATE_BYTES_MAX = 4 << 20, /* a configuration and some thousand entries */
    QUESTION_SIZE = 512
};

struct peer_link {
    struct ev_loop *loop;
    peer_told_fn_t told;
    void *owner;
    conn_t conn;
    struct sockaddr_in address; /* of the connection */
    http_reader_t reader;
    int64_t until_us; /* the answer at hand is due; 0: none is awaited */
};

peer_link_t *
peer_link_new(struct ev_loop *loop, peer_told_fn_t told, void *owner)
{
    static const http_limits_t limits = {
        .max_header_bytes = 8192,
        .max_body_bytes = STATE_BYTES_MAX,
    };
    peer_link_t *peers = calloc(1, sizeof(*peers));
    if (peers == NULL) {
        return NULL;
    }
    peers->loop = loop;
    peers->told = told;
    peers->owner = owner;
    peers->conn.fd = -1;
    http_reader_init(&peers->reader, HTTP_RESPONSES, &limits);
    return peers;
}

/* The question at hand has no good answer. */
static void
ask_failed(peer_link_t *peers, int64_t now_us)
{
    bool awaited = peers->until_us != 0;
    conn_close(&peers->conn);
    peers->until_us = 0;
    if (awaited) {
        peers->told(peers->owner, NULL, 0, now_us);
    }
}

static void
peer_data(conn_t *conn, const char *bytes, size_t size)
{
    peer_link_t *peers = conn->owner;
    int64_t now_us = loop_now_us();
    size_t used = 0;
    if (peers->until_us == 0) {
        conn_close(conn); /* nothing was asked */
        return;
    }
    http_state_t state = http_reader_feed(&peers->reader, bytes, size, &used);
    if (state == HTTP_INCOMPLETE) {
        return;
    }
    const http_message_t *message = &peers->reader.message;
    if (state != HTTP_DONE || used < size || message->status != 200) {
        ask_failed(peers, now_us);
        return;
    }
    peers->until_us = 0;
    if (!message->keep_alive) {
        conn_close(conn);
    }
    peers->told(peers->owner, (const char *)buffer_data(&message->body),
                buffer_size(&message->body), now_us);
}

static void
peer_ended(conn_t *conn, bool clean)
{
    (void)clean;
    ask_failed(conn->owner, loop_now_us());
}

static const conn_ops_t peer_ops = {
    .data = peer_data,
    .disconnected = peer_ended,
};

bool
peer_link_is_free(const peer_link_t *peers)
{
    return peers->until_us == 0;
}

void
peer_link_ask(peer_link_t *peers, const struct sockaddr_in *address,
              const char *path, int64_t now_us)
{
    char question[QUESTION_SIZE];
    int size = snprintf(question, sizeof(question),
                        "GET %s HTTP/1.1\r\nHost: peer\r\n\r\n", path);
    bool same = conn_is_open(&peers->conn) &&
                peers->address.sin_addr.s_addr == address->sin_addr.s_addr &&
                peers->address.sin_port == address->sin_port;
    http_reader_next(&peers->reader);
    peers->until_us = now_us + ASK_US;
    if (!same) {
        conn_close(&peers->conn);
        peers->address = *address;
        same = conn_open(&peers->conn, peers->loop, address, &peer_ops, peers);
    }
    if (size <= 0 || (size_t)size >= sizeof(question) || !same ||
        !conn_write(&peers->conn, question, (size_t)size)) {
        ask_failed(peers, now_us);
    }
}

void
peer_link_tick(peer_link_t *peers, int64_t now_us)
{
    if (peers->until_us != 0 && now_us >= peers->until_us) {
        ask_failed(peers, now_us);
    }
}

void
peer_link_free(peer_link_t *peers)
{
    if (peers != NULL) {
        conn_close(&peers->conn);
        http_reader_release(&peers->reader);
        free(peers);
    }
}
