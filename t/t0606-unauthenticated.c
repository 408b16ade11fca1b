/*
 * Unauthenticated peers on a daemon's port, a relay that tampers with a
 * connection, and an authenticated peer that sends invalid frames.
 */
#include "t/lib/suite.h"
#include "t/lib/test_peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CASES(table) (sizeof(table) / sizeof((table)[0]))

static int
connect_to(uint16_t port)
{
    struct sockaddr_in to = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
    return fd;
}

/* Reads until the peer closes the connection; returns the size. */
static size_t
read_all(int fd, uint8_t *out, size_t max)
{
    size_t size = 0;
    ssize_t got;
    struct timeval limit = {.tv_sec = TEST_PEER_WAIT_MAX_S};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    while (size < max && (got = read(fd, out + size, max - size)) > 0) {
        size += (size_t)got;
    }
    return size;
}

typedef struct {
    const char *name;
    const char *bytes;
    size_t size;
} unauthenticated_case_t;

#define SENT(bytes) bytes, sizeof(bytes) - 1

static const unauthenticated_case_t unauthenticated_cases[] = {
    {"another protocol", SENT("GET /v1/status HTTP/1.1\r\n\r\n")},
    {"largest length", SENT("\xff\xff\xff\xff")},
    {"no room for a header", SENT("\0\0\0\x01\x03")},
    {"larger than a handshake frame", SENT("\0\0\x02\x0a\x02")},
    {"a heartbeat at once", SENT("\0\0\0\x0b\x06\0\0\0\0\0\0\0\x01\x10\x09")},
    {"a config push at once",
     SENT("\0\0\0\x0b\x08\0\0\0\0\0\0\0\x01\x08\x63")},
    {"a challenge", SENT("\0\0\0\x09\x01\0\0\0\0\0\0\0\x01")},
    {"a hello without proof",
     SENT("\0\0\0\x15\x02\0\0\0\0\0\0\0\x01\x08\x01\x10\x01\x1a\x02"
          "c1\x3a\x02"
          "b1")},
    {"half a hello, until the timeout", SENT("\0\0\0\x19\x02\0\0\0\0\0")},
    {"malformed hello", SENT("\0\0\0\x0b\x02\0\0\0\0\0\0\0\x01\xff\xff")},
};

/*
 * An unauthenticated peer gets only a challenge, which does not identify the
 * daemon, and its frames have no effect.
 */
START_TEST(test_unauthenticated)
{
    const unauthenticated_case_t *c = &unauthenticated_cases[_i];
    test_peer_t b;
    test_peer_start(&b, "not-to-be-told", 0x1122334455667788, 0, right_key);
    int fd = connect_to(peer_net_port(b.net));
    ck_assert_int_eq(send(fd, c->bytes, c->size, MSG_NOSIGNAL),
                     (ssize_t)c->size);
    uint8_t got[4096];
    size_t size = read_all(fd, got, sizeof(got));
    close(fd);
    test_peer_wait(&b, &b.refused, 1);
    frame_t frame;
    if (size > 0) { /* a reset may discard the challenge */
        ck_assert_int_eq(frame_parse(got, size, 0, 512, &frame), FRAME_READY);
        ck_assert_msg(frame.size == size, "%s: more than a challenge",
                      c->name);
        ck_assert_int_eq(frame.type, MESSAGE_CHALLENGE);
        ck_assert_uint_eq(frame.incarnation, 0);
        ck_assert_ptr_null(memmem(got, size, "not-to", 6));
        ck_assert_ptr_null(memmem(got, size, "north", 5));
    }
    ck_assert_uint_eq(test_peer_read(&b, &b.ups), 0);
    ck_assert_uint_eq(test_peer_read(&b, &b.messages), 0);
    ck_assert_uint_eq(peer_net_counters(b.net).denied, 1);
    test_peer_stop(&b);
}
END_TEST

/* Whether the peer has closed the connection; discards its challenge. */
static bool
is_closed(int fd)
{
    uint8_t bytes[512];
    ssize_t got;
    do {
        got = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    } while (got > 0);
    return got == 0 || errno != EAGAIN;
}

/* Many idle unauthenticated connections do not keep a peer out. */
START_TEST(test_many_unauthenticated)
{
    test_peer_t a;
    test_peer_t b;
    test_peer_start(&a, "a1", 1, 0, right_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    int fds[PEER_NET_UNAUTHENTICATED_MAX * 2];
    for (size_t i = 0; i < CASES(fds); i++) {
        fds[i] = connect_to(peer_net_port(b.net));
    }
    test_peer_dial(&a, &b, 0);
    test_peer_wait(&a, &a.ups, 1);
    ck_assert(is_closed(fds[0])); /* the oldest was closed */
    ck_assert_int_eq(test_peer_send(&a, &b, 1), STATUS_OK);
    test_peer_wait(&b, &b.messages, 1);
    for (size_t i = 0; i < CASES(fds); i++) {
        close(fds[i]);
    }
    test_peer_stop(&a);
    test_peer_stop(&b);
}
END_TEST

/* Connected peers do not count as unauthenticated connections. */
START_TEST(test_many_peers)
{
    static test_peer_t peers[PEER_NET_UNAUTHENTICATED_MAX + 1];
    test_peer_t b;
    test_peer_start(&b, "b1", 1000, 0, right_key);
    for (size_t i = 0; i + 1 < CASES(peers); i++) {
        char name[NAME_SIZE];
        snprintf(name, sizeof(name), "a%zu", i);
        test_peer_start(&peers[i], name, i + 1, 0, right_key);
        test_peer_dial(&peers[i], &b, 0);
    }
    test_peer_wait(&b, &b.ups, PEER_NET_UNAUTHENTICATED_MAX);
    int idle_fds[] = {connect_to(peer_net_port(b.net)),
                      connect_to(peer_net_port(b.net))};
    test_peer_t *last = &peers[PEER_NET_UNAUTHENTICATED_MAX];
    test_peer_start(last, "last", 500, 0, right_key);
    test_peer_dial(last, &b, 0);
    test_peer_wait(&b, &b.ups, PEER_NET_UNAUTHENTICATED_MAX + 1);
    ck_assert(!is_closed(idle_fds[0]) && !is_closed(idle_fds[1]));
    ck_assert_uint_eq(peer_net_counters(b.net).denied, 0);
    close(idle_fds[0]);
    close(idle_fds[1]);
    for (size_t i = 0; i < CASES(peers); i++) {
        test_peer_stop(&peers[i]);
    }
    test_peer_stop(&b);
}
END_TEST

/* How a relay between two daemons changes the bytes of one read. */
typedef enum {
    TAMPER_NONE,
    TAMPER_FLIP_BIT,
    TAMPER_DUPLICATE,
    TAMPER_DROP
} tamper_t;

typedef struct {
    int listen_fd;
    int fds[2]; /* 0: the dialer's, 1: the acceptor's */
    uint16_t port;
} relay_t;

static void
relay_open(relay_t *relay)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(at);
    relay->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(relay->listen_fd, (struct sockaddr *)&at, size), 0);
    ck_assert_int_eq(listen(relay->listen_fd, 1), 0);
    getsockname(relay->listen_fd, (struct sockaddr *)&at, &size);
    relay->port = ntohs(at.sin_port);
}

/* Reads once from one side and forwards the bytes, tampered with. */
static void
relay_forward(relay_t *relay, size_t side, tamper_t tamper)
{
    uint8_t bytes[4096];
    ssize_t got = read(relay->fds[side], bytes, sizeof(bytes));
    ck_assert_int_gt(got, 0);
    if (tamper == TAMPER_FLIP_BIT) {
        bytes[got - 1] ^= 1;
    }
    for (int i = 0; i < (tamper == TAMPER_DUPLICATE ? 2 : 1); i++) {
        if (tamper != TAMPER_DROP) {
            send(relay->fds[!side], bytes, (size_t)got, MSG_NOSIGNAL);
        }
    }
}

typedef struct {
    const char *name;
    tamper_t tamper;
    unsigned delivered; /* heartbeats that arrive at the acceptor */
} tamper_case_t;

static const tamper_case_t tamper_cases[] = {
    {"forwarded", TAMPER_NONE, 2},
    {"bit flipped", TAMPER_FLIP_BIT, 0},
    {"duplicated", TAMPER_DUPLICATE, 1},
    {"dropped", TAMPER_DROP, 0},
};

START_TEST(test_tampering_relay)
{
    const tamper_case_t *c = &tamper_cases[_i];
    test_peer_t a;
    test_peer_t b;
    relay_t relay;
    test_peer_start(&a, "a1", 1, 0, right_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    relay_open(&relay);
    test_peer_dial(&a, &b, relay.port);
    relay.fds[0] = accept(relay.listen_fd, NULL, NULL);
    relay.fds[1] = connect_to(peer_net_port(b.net));
    relay_forward(&relay, 1, TAMPER_NONE); /* challenge */
    relay_forward(&relay, 0, TAMPER_NONE); /* hello */
    relay_forward(&relay, 1, TAMPER_NONE); /* hello */
    test_peer_wait(&a, &a.ups, 1);
    ck_assert_int_eq(test_peer_send(&a, &b, 1), STATUS_OK);
    relay_forward(&relay, 0, c->tamper);
    if (c->tamper != TAMPER_DUPLICATE && c->tamper != TAMPER_FLIP_BIT) {
        ck_assert_int_eq(test_peer_send(&a, &b, 2), STATUS_OK);
        relay_forward(&relay, 0, TAMPER_NONE);
    }
    if (c->tamper == TAMPER_NONE) {
        test_peer_wait(&b, &b.messages, 2);
        ck_assert_uint_eq(test_peer_read(&b, &b.downs), 0);
    }
    else {
        test_peer_wait(&b, &b.unreachable, 1);
        ck_assert_uint_eq(peer_net_counters(b.net).denied, 1);
    }
    ck_assert_msg(test_peer_read(&b, &b.messages) == c->delivered, "%s",
                  c->name);
    close(relay.fds[0]);
    close(relay.fds[1]);
    close(relay.listen_fd);
    test_peer_stop(&a);
    test_peer_stop(&b);
}
END_TEST

/* An authenticated peer that can send arbitrary frames. */
typedef struct {
    int fd;
    handshake_t handshake;
    auth_stream_t *sender;
    auth_stream_t *receiver;
} raw_peer_t;

static void
raw_peer_receive(const raw_peer_t *peer, message_t *message)
{
    uint8_t bytes[FRAME_HANDSHAKE_MAX_BYTES];
    size_t size = 0;
    frame_t frame;
    while (frame_parse(bytes, size, 0, sizeof(bytes), &frame) ==
           FRAME_INCOMPLETE) {
        ck_assert_int_eq(read(peer->fd, &bytes[size], 1), 1);
        size++;
    }
    ck_assert_int_eq(message_decode(frame.type, frame.payload,
                                    frame.payload_size, 0, message, NULL),
                     STATUS_OK);
}

static void
raw_peer_send(raw_peer_t *peer, uint8_t type, uint64_t incarnation,
              const uint8_t *payload, size_t size)
{
    uint8_t bytes[FRAME_HANDSHAKE_MAX_BYTES * 2];
    size_t mac_bytes = peer->sender == NULL ? 0 : FRAME_MAC_BYTES;
    size_t total_size = frame_size(size, mac_bytes);
    frame_write_header(bytes, type, incarnation, size, mac_bytes);
    memcpy(bytes + FRAME_HEADER_BYTES, payload, size);
    if (mac_bytes > 0) {
        ck_assert(auth_stream_sign(peer->sender, bytes, total_size - mac_bytes,
                                   bytes + total_size - mac_bytes));
    }
    ck_assert_int_eq(send(peer->fd, bytes, total_size, MSG_NOSIGNAL),
                     (ssize_t)total_size);
}

static void
raw_peer_open(raw_peer_t *peer, const test_peer_t *to)
{
    static const identity_t self = {.name = "a1", .incarnation = 1};
    static const uint8_t nonce[NONCE_BYTES] = {7};
    message_t in;
    message_t out;
    uint8_t *bytes;
    size_t size;
    *peer = (raw_peer_t){.fd = connect_to(peer_net_port(to->net))};
    handshake_dial(&peer->handshake, &self, right_key, nonce, "", 0);
    raw_peer_receive(peer, &in);
    ck_assert_int_eq(handshake_process(&peer->handshake, &in, &out),
                     HANDSHAKE_CONTINUE);
    message_release(&in);
    ck_assert_int_eq(message_encode(&out, 0, &bytes, &size, NULL), STATUS_OK);
    raw_peer_send(peer, MESSAGE_HELLO, 1, bytes, size);
    free(bytes);
    raw_peer_receive(peer, &in);
    ck_assert_int_eq(handshake_process(&peer->handshake, &in, &out),
                     HANDSHAKE_DONE);
    message_release(&in);
    ck_assert(
        handshake_streams(&peer->handshake, &peer->sender, &peer->receiver));
}

static void
raw_peer_close(raw_peer_t *peer)
{
    auth_stream_free(peer->sender);
    auth_stream_free(peer->receiver);
    close(peer->fd);
}

typedef struct {
    const char *name;
    const char *payload;
    size_t size;
    uint64_t incarnation;
    uint8_t type;
    bool stays_open; /* false: the frame closes the connection */
} raw_peer_case_t;

static const raw_peer_case_t raw_peer_cases[] = {
    {"a valid heartbeat", SENT("\x10\x01"), 1, MESSAGE_HEARTBEAT, true},
    {"a type of a later version", SENT("\xff\xff"), 1, 200, true},
    {"another daemon's incarnation", SENT("\x10\x01"), 2, MESSAGE_HEARTBEAT,
     false},
    {"malformed", SENT("\x10"), 1, MESSAGE_HEARTBEAT, false},
    {"a part that breaks a rule", SENT("\x0a\x00"), 1, MESSAGE_PARTS, false},
    {"a second hello",
     SENT("\x1a\x02"
          "a1"),
     1, MESSAGE_HELLO, false},
};

/*
 * An invalid frame of an authenticated peer is counted and closes only its
 * connection.
 */
START_TEST(test_raw_peer)
{
    const raw_peer_case_t *c = &raw_peer_cases[_i];
    test_peer_t b;
    raw_peer_t peer;
    test_peer_start(&b, "b1", 2, 0, right_key);
    raw_peer_open(&peer, &b);
    raw_peer_send(&peer, c->type, c->incarnation, (const uint8_t *)c->payload,
                  c->size);
    if (c->stays_open) {
        raw_peer_send(&peer, MESSAGE_HEARTBEAT, 1, (const uint8_t *)"\x10\x09",
                      2);
        test_peer_wait(&b, &b.messages, c->type == MESSAGE_HEARTBEAT ? 2 : 1);
        ck_assert_uint_eq(b.last_version, 9);
    }
    else {
        test_peer_wait(&b, &b.unreachable, 1);
        ck_assert_uint_eq(test_peer_read(&b, &b.messages), 0);
    }
    peer_counters_t counters = peer_net_counters(b.net);
    ck_assert_msg(counters.malformed == (c->stays_open ? 0 : 1), "%s",
                  c->name);
    ck_assert_uint_eq(counters.denied, 0);
    raw_peer_close(&peer);
    test_peer_stop(&b);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("unauthenticated");
    tcase_set_timeout(tests, 0);
    tcase_add_loop_test(tests, test_unauthenticated, 0,
                        CASES(unauthenticated_cases));
    tcase_add_test(tests, test_many_unauthenticated);
    tcase_add_test(tests, test_many_peers);
    tcase_add_loop_test(tests, test_tampering_relay, 0, CASES(tamper_cases));
    tcase_add_loop_test(tests, test_raw_peer, 0, CASES(raw_peer_cases));
    return suite_run("unauthenticated", tests);
}
