#include "tier/peer_link.h"

#include "http/conn.h"
#include "http/loop_clock.h"
#include "http/message.h"

#include <stdlib.h>
#include <string.h>

enum {
    ASK_US = 500000,          /* for one answer: peers are milliseconds away */
    ASK_PAUSE_US = 200000,    /* before the next is asked */
    STATE_BYTES_MAX = 4 << 20 /* a configuration and some thousand entries */
};

struct peer_link {
    struct ev_loop *loop;
    struct sockaddr_in addresses[PEER_SEEDS_MAX];
    uint32_t count;
    uint32_t next; /* to be asked */
    peer_told_fn told;
    void *owner;
    conn_t conn;
    http_reader_t reader;
    int64_t until_us; /* the answer at hand is due; 0: none is awaited */
    int64_t due_us;   /* the next question */
};

peer_link_t *
peer_link_new(struct ev_loop *loop, const struct sockaddr_in *addresses,
              uint32_t count, peer_told_fn told, void *owner)
{
    static const http_limits_t limits = {
        .header_bytes = 8192,
        .body_bytes = STATE_BYTES_MAX,
    };
    peer_link_t *peers = calloc(1, sizeof(*peers));
    if (peers == NULL) {
        return NULL;
    }
    peers->loop = loop;
    peers->count = count < PEER_SEEDS_MAX ? count : PEER_SEEDS_MAX;
    memcpy(peers->addresses, addresses,
           peers->count * sizeof(peers->addresses[0]));
    peers->told = told;
    peers->owner = owner;
    peers->conn.fd = -1;
    http_reader_init(&peers->reader, HTTP_RESPONSES, &limits);
    return peers;
}

static void
ask_end(peer_link_t *peers, int64_t now_us)
{
    conn_close(&peers->conn);
    peers->until_us = 0;
    peers->due_us = now_us + ASK_PAUSE_US;
    peers->next = (peers->next + 1) % peers->count;
}

static void
peer_data(conn_t *conn, const char *bytes, size_t size)
{
    peer_link_t *peers = conn->owner;
    int64_t now_us = loop_now_us();
    size_t used = 0;
    http_state_t state = http_reader_feed(&peers->reader, bytes, size, &used);
    if (state == HTTP_MORE) {
        return;
    }
    const http_message_t *message = &peers->reader.message;
    ask_end(peers, now_us);
    if (state == HTTP_DONE && message->status == 200) {
        peers->told(peers->owner, (const char *)buffer_data(&message->body),
                    buffer_size(&message->body), now_us);
    }
}

static void
peer_ended(conn_t *conn, bool clean)
{
    (void)clean;
    ask_end(conn->owner, loop_now_us());
}

static const conn_ops_t peer_ops = {
    .data = peer_data,
    .ended = peer_ended,
};

void
peer_link_tick(peer_link_t *peers, int64_t now_us)
{
    static const char question[] =
        "GET " PEER_STATE_PATH " HTTP/1.1\r\nHost: peer\r\n\r\n";
    if (peers->count == 0) {
        return;
    }
    if (peers->until_us != 0) {
        if (now_us >= peers->until_us) {
            ask_end(peers, now_us);
        }
        return;
    }
    if (now_us < peers->due_us) {
        return;
    }
    http_reader_next(&peers->reader);
    peers->until_us = now_us + ASK_US;
    if (!conn_open(&peers->conn, peers->loop, &peers->addresses[peers->next],
                   &peer_ops, peers) ||
        !conn_write(&peers->conn, question, sizeof(question) - 1)) {
        ask_end(peers, now_us);
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
