/* Two or more transports in one process, strangers and a splicer. */
#include "net/backoff.h"
#include "net/peer.h"
#include "t/lib/suite.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CASES(table) (sizeof(table) / sizeof((table)[0]))
#define KEY(text)                                                             \
    {                                                                         \
        .bytes = (const uint8_t *)(text), .size = sizeof(text) - 1            \
    }

enum { WAIT_MAX_S = 30 }; /* of a test that would hang otherwise */

/* One transport and all that its ops saw. */
typedef struct {
    peer_net_t *net;
    char name[NAME_SIZE];
    uint64_t incarnation;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool blocked; /* on_message waits while it is set */
    unsigned ups;
    unsigned downs;
    unsigned unreachable;
    unsigned refused;
    unsigned entered; /* calls of on_message */
    unsigned messages;
    unsigned out_of_order;
    unsigned unnamed; /* ops that name no peer or error */
    uint64_t last;    /* config_version of the last heartbeat */
    uint64_t last_peer;
} node_t;

static void
on_message(void *ctx, const char *peer, uint64_t incarnation,
           message_t *message)
{
    node_t *node = ctx;
    pthread_mutex_lock(&node->lock);
    node->unnamed += peer[0] == '\0';
    node->entered++;
    pthread_cond_broadcast(&node->changed);
    while (node->blocked) {
        pthread_cond_wait(&node->changed, &node->lock);
    }
    node->messages++;
    node->last_peer = incarnation;
    if (message->type == MESSAGE_HEARTBEAT) {
        uint64_t version = message->heartbeat.config_version;
        node->out_of_order += version != node->last + 1;
        node->last = version;
    }
    pthread_cond_broadcast(&node->changed);
    pthread_mutex_unlock(&node->lock);
}

static void
node_count(node_t *node, unsigned *counter)
{
    pthread_mutex_lock(&node->lock);
    (*counter)++;
    pthread_cond_broadcast(&node->changed);
    pthread_mutex_unlock(&node->lock);
}

static void
on_up(void *ctx, const char *peer, uint64_t incarnation)
{
    node_t *node = ctx;
    (void)peer;
    (void)incarnation;
    node_count(node, &node->ups);
}

static void
on_down(void *ctx, const char *peer, uint64_t incarnation, bool reachable,
        const error_t *err)
{
    node_t *node = ctx;
    (void)peer;
    (void)incarnation;
    if (err->message[0] == '\0' || err->peer[0] == '\0') {
        node_count(node, &node->unnamed);
    }
    node_count(node, &node->downs);
    if (!reachable) {
        node_count(node, &node->unreachable);
    }
}

static void
on_refused(void *ctx, const error_t *err)
{
    node_t *node = ctx;
    if (err->message[0] == '\0' || err->peer[0] == '\0') {
        node_count(node, &node->unnamed);
    }
    node_count(node, &node->refused);
}

static const peer_ops_t ops = {
    .on_message = on_message,
    .on_up = on_up,
    .on_down = on_down,
    .on_refused = on_refused,
};

static void
node_start_pausing(node_t *node, const char *name, uint64_t incarnation,
                   uint16_t port, auth_key_t key, int64_t pause_us)
{
    *node = (node_t){.incarnation = incarnation};
    strncpy(node->name, name, NAME_SIZE - 1);
    pthread_mutex_init(&node->lock, NULL);
    pthread_cond_init(&node->changed, NULL);
    peer_net_settings_t settings = {
        .self = {.zone = "north-1", .incarnation = incarnation},
        .address = "127.0.0.1",
        .port = port,
        .key = key,
        .queue_max_bytes = 64 << 10,
        .seed = incarnation,
        .pause_us = pause_us,
        .linger_us = WAIT_MAX_S * INT64_C(1000000),
    };
    memcpy(settings.self.name, node->name, NAME_SIZE);
    error_t err = ERROR_INIT;
    node->net = peer_net_new(&settings, &ops, node, &err);
    ck_assert_msg(node->net != NULL, "%s", error_text(&err));
}

/* A node that a slow machine does not make take itself for paused. */
static void
node_start(node_t *node, const char *name, uint64_t incarnation, uint16_t port,
           auth_key_t key)
{
    node_start_pausing(node, name, incarnation, port, key, INT64_MAX);
}

static void
node_stop(node_t *node)
{
    peer_net_free(node->net);
    ck_assert_uint_eq(node->unnamed, 0);
    pthread_cond_destroy(&node->changed);
    pthread_mutex_destroy(&node->lock);
}

/* Wait until the counter has reached at least such a value. */
static void
node_wait(node_t *node, const unsigned *counter, unsigned value)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += WAIT_MAX_S;
    int failed = 0;
    pthread_mutex_lock(&node->lock);
    while (*counter < value && failed == 0) {
        failed = pthread_cond_timedwait(&node->changed, &node->lock, &until);
    }
    unsigned seen = *counter;
    pthread_mutex_unlock(&node->lock);
    ck_assert_msg(seen >= value, "%s: waited for %u, saw %u", node->name,
                  value, seen);
}

static unsigned
node_read(node_t *node, const unsigned *counter)
{
    pthread_mutex_lock(&node->lock);
    unsigned value = *counter;
    pthread_mutex_unlock(&node->lock);
    return value;
}

static void
node_block(node_t *node, bool blocked)
{
    pthread_mutex_lock(&node->lock);
    node->blocked = blocked;
    pthread_cond_broadcast(&node->changed);
    pthread_mutex_unlock(&node->lock);
}

static void
node_dial(node_t *from, const node_t *to, uint16_t port)
{
    peer_address_t peer = {
        .incarnation = to->incarnation,
        .address = "127.0.0.1",
        .port = port != 0 ? port : peer_net_port(to->net),
    };
    memcpy(peer.name, to->name, NAME_SIZE);
    ck_assert_int_eq(peer_net_set_peers(from->net, &peer, 1, NULL), STATUS_OK);
}

static status_t
node_send(node_t *from, const node_t *to, uint64_t version)
{
    message_t m = {.type = MESSAGE_HEARTBEAT,
                   .heartbeat = {.config_version = version}};
    return peer_net_send(from->net, to->name, to->incarnation, &m, NULL);
}

static const auth_key_t right_key = KEY("0123456789abcdef");
static const auth_key_t wrong_key = KEY("0123456789abcdeX");

/* One dials; both may send over that connection, in order. */
START_TEST(test_both_ways)
{
    node_t a;
    node_t b;
    node_start(&a, "a1", 1, 0, right_key);
    node_start(&b, "b1", 2, 0, right_key);
    ck_assert_int_eq(node_send(&a, &b, 1), STATUS_UNAVAILABLE);
    node_dial(&a, &b, 0);
    node_wait(&a, &a.ups, 1);
    node_wait(&b, &b.ups, 1);
    for (uint64_t i = 1; i <= 500; i++) {
        ck_assert_int_eq(node_send(&a, &b, i), STATUS_OK);
        ck_assert_int_eq(node_send(&b, &a, i), STATUS_OK);
    }
    node_wait(&a, &a.messages, 500);
    node_wait(&b, &b.messages, 500);
    ck_assert(peer_net_drain(a.net, WAIT_MAX_S * INT64_C(1000000)));
    ck_assert_uint_eq(node_read(&a, &a.out_of_order), 0);
    ck_assert_uint_eq(node_read(&b, &b.out_of_order), 0);
    ck_assert_uint_eq(b.last_peer, 1);
    peer_counters_t counters = peer_net_counters(a.net);
    ck_assert_uint_eq(counters.sent[MESSAGE_HEARTBEAT].messages, 500);
    ck_assert_uint_eq(counters.received[MESSAGE_HEARTBEAT].messages, 500);
    ck_assert_uint_eq(counters.refused_sends, 1);
    ck_assert_uint_eq(counters.dials, 1);
    peer_info_t info[2];
    ck_assert_uint_eq(peer_net_peers(a.net, info, 2), 1);
    ck_assert_str_eq(info[0].name, "b1");
    ck_assert_str_eq(info[0].zone, "north-1");
    node_stop(&a);
    node_stop(&b);
}
END_TEST

/* Each dials the other; a message has one way and arrives once. */
START_TEST(test_simultaneous)
{
    node_t a;
    node_t b;
    node_start(&a, "a1", 1, 0, right_key);
    node_start(&b, "b1", 2, 0, right_key);
    node_dial(&a, &b, 0);
    node_dial(&b, &a, 0);
    node_wait(&a, &a.ups, 1);
    node_wait(&b, &b.ups, 1);
    for (uint64_t i = 1; i <= 100; i++) {
        ck_assert_int_eq(node_send(&a, &b, i), STATUS_OK);
    }
    node_wait(&b, &b.messages, 100);
    ck_assert(peer_net_drain(a.net, WAIT_MAX_S * INT64_C(1000000)));
    ck_assert_uint_eq(node_read(&b, &b.messages), 100);
    ck_assert_uint_eq(node_read(&a, &a.unreachable), 0);
    node_stop(&a);
    node_stop(&b);
}
END_TEST

/* A peer dies and its VM is replaced on the same address. */
START_TEST(test_replaced)
{
    node_t a;
    node_t b;
    node_start(&a, "a1", 1, 0, right_key);
    node_start(&b, "b1", 2, 0, right_key);
    uint16_t port = peer_net_port(b.net);
    node_dial(&a, &b, 0);
    node_wait(&a, &a.ups, 1);
    node_stop(&b);
    node_wait(&a, &a.unreachable, 1);
    ck_assert_int_eq(node_send(&a, &b, 1), STATUS_UNAVAILABLE);

    node_t old = b;
    node_start(&b, "b1", 3, port, right_key);
    node_wait(&a, &a.refused, 1); /* still dials incarnation 2 */
    ck_assert_uint_eq(node_read(&a, &a.ups), 1);
    node_dial(&a, &b, 0);
    node_wait(&a, &a.ups, 2);
    ck_assert_int_eq(node_send(&a, &old, 1), STATUS_UNAVAILABLE);
    ck_assert_int_eq(node_send(&a, &b, 1), STATUS_OK);
    node_wait(&b, &b.messages, 1);
    node_stop(&a);
    node_stop(&b);
}
END_TEST

/* Out of the set, the connection closes and both hear of it. */
START_TEST(test_removed)
{
    node_t a;
    node_t b;
    node_start(&a, "a1", 1, 0, right_key);
    node_start(&b, "b1", 2, 0, right_key);
    node_dial(&a, &b, 0);
    node_wait(&a, &a.ups, 1);
    node_wait(&b, &b.ups, 1);
    ck_assert_int_eq(peer_net_set_peers(a.net, NULL, 0, NULL), STATUS_OK);
    node_wait(&a, &a.unreachable, 1);
    node_wait(&b, &b.unreachable, 1);
    ck_assert_int_eq(node_send(&b, &a, 1), STATUS_UNAVAILABLE);
    node_stop(&a);
    node_stop(&b);
}
END_TEST

/* By address alone first, then named by a roster: one connection stays. */
START_TEST(test_unnamed)
{
    node_t a;
    node_t b;
    node_start(&a, "a1", 1, 0, right_key);
    node_start(&b, "b1", 2, 0, right_key);
    peer_address_t seeds[] = {
        {.address = "127.0.0.1", .port = peer_net_port(b.net)},
        {.address = "127.0.0.1", .port = peer_net_port(a.net)},
    };
    ck_assert_int_eq(peer_net_set_peers(a.net, seeds, 2, NULL), STATUS_OK);
    node_wait(&a, &a.ups, 1);
    ck_assert_int_eq(node_send(&a, &b, 1), STATUS_OK);
    node_wait(&b, &b.messages, 1);
    node_dial(&a, &b, 0);
    ck_assert_int_eq(node_send(&a, &b, 2), STATUS_OK);
    node_wait(&b, &b.messages, 2);
    /* Longer than any first dial is put off. */
    struct timespec first_dial = {.tv_nsec = 2 * BACKOFF_BASE_US * 1000};
    nanosleep(&first_dial, NULL);
    ck_assert_uint_eq(peer_net_counters(a.net).dials, 1);
    ck_assert_uint_eq(node_read(&a, &a.downs), 0);
    node_stop(&a);
    node_stop(&b);
}
END_TEST

/* A peer that dials again takes the place of its own earlier connection. */
START_TEST(test_dials_again)
{
    node_t first;
    node_t again;
    node_t b;
    node_start(&first, "a1", 1, 0, right_key);
    node_start(&again, "a1", 1, 0, right_key);
    node_start(&b, "b1", 2, 0, right_key);
    node_dial(&first, &b, 0);
    node_wait(&b, &b.ups, 1);
    node_dial(&again, &b, 0);
    node_wait(&again, &again.ups, 1);
    node_wait(&first, &first.unreachable, 1);
    node_wait(&b, &b.downs, 1);
    ck_assert_uint_eq(node_read(&b, &b.unreachable), 0);
    ck_assert_uint_eq(node_read(&b, &b.ups), 1);
    ck_assert_int_eq(node_send(&b, &again, 1), STATUS_OK);
    node_stop(&first);
    node_stop(&again);
    node_stop(&b);
}
END_TEST

START_TEST(test_wrong_key)
{
    node_t a;
    node_t b;
    node_start(&a, "a1", 1, 0, wrong_key);
    node_start(&b, "b1", 2, 0, right_key);
    node_dial(&a, &b, 0);
    node_wait(&a, &a.refused, 3);
    node_wait(&b, &b.refused, 3);
    ck_assert_uint_ge(peer_net_counters(b.net).strangers, 3);
    ck_assert_uint_eq(node_read(&a, &a.ups) + node_read(&b, &b.ups), 0);
    auth_key_t short_key = {.bytes = right_key.bytes, .size = 15};
    error_t err = ERROR_INIT;
    peer_net_settings_t settings = {.address = "127.0.0.1", .key = short_key};
    ck_assert_ptr_null(peer_net_new(&settings, &ops, &a, &err));
    ck_assert_int_eq(err.status, STATUS_INVALID);
    node_stop(&a);
    node_stop(&b);
}
END_TEST

/* Send until nothing is taken any more; how many were taken. */
static unsigned
fill(node_t *from, const message_t *message)
{
    enum { REFUSALS = 200, MESSAGES_MAX = 100000 };
    const struct timespec pause = {.tv_nsec = 1000000};
    unsigned accepted = 0;
    unsigned refusals = 0;
    while (refusals < REFUSALS && accepted < MESSAGES_MAX) {
        status_t status = peer_net_send(from->net, "b1", 2, message, NULL);
        if (status == STATUS_OK) {
            accepted++;
            refusals = 0;
        }
        else {
            ck_assert_int_eq(status, STATUS_TOO_LARGE);
            refusals++;
            nanosleep(&pause, NULL);
        }
    }
    ck_assert_uint_lt(accepted, MESSAGES_MAX);
    return accepted;
}

/* A slow receiver fills the queue; what was accepted arrives all the same. */
START_TEST(test_queue_bound)
{
    node_t a;
    node_t b;
    node_start(&a, "a1", 1, 0, right_key);
    node_start(&b, "b1", 2, 0, right_key);
    node_dial(&a, &b, 0);
    node_wait(&a, &a.ups, 1);
    node_block(&b, true);
    static char json[32 << 10];
    memset(json, ' ', sizeof(json));
    message_t m = {.type = MESSAGE_ASK,
                   .ask = {.json = json, .size = sizeof(json)}};
    unsigned accepted = fill(&a, &m);
    peer_info_t info;
    ck_assert_uint_eq(peer_net_peers(a.net, &info, 1), 1);
    ck_assert_uint_gt(info.queued_bytes, 0);
    ck_assert(!peer_net_drain(a.net, 1000));
    node_block(&b, false);
    node_wait(&b, &b.messages, accepted);
    ck_assert_uint_eq(node_read(&b, &b.downs), 0);
    node_stop(&a);
    node_stop(&b);
}
END_TEST

/* What waits when the transport is freed arrives, more than sockets hold. */
START_TEST(test_free_lingers)
{
    node_t a;
    node_t b;
    node_start(&a, "a1", 1, 0, right_key);
    node_start(&b, "b1", 2, 0, right_key);
    node_dial(&a, &b, 0);
    node_wait(&a, &a.ups, 1);
    node_block(&b, true);
    static char json[32 << 10];
    memset(json, ' ', sizeof(json));
    message_t m = {.type = MESSAGE_ASK,
                   .ask = {.json = json, .size = sizeof(json)}};
    unsigned accepted = fill(&a, &m);
    node_block(&b, false);
    node_stop(&a);
    node_wait(&b, &b.unreachable, 1);
    ck_assert_uint_eq(node_read(&b, &b.messages), accepted);
    node_stop(&b);
}
END_TEST

/* By incarnation alone, for a peer whose name is not at hand. */
START_TEST(test_send_by_incarnation)
{
    node_t a;
    node_t b;
    node_start(&a, "a1", 1, 0, right_key);
    node_start(&b, "b1", 2, 0, right_key);
    node_dial(&a, &b, 0);
    node_wait(&a, &a.ups, 1);
    message_t m = {.type = MESSAGE_HEARTBEAT};
    ck_assert_int_eq(peer_net_send(a.net, NULL, 3, &m, NULL),
                     STATUS_UNAVAILABLE);
    ck_assert_int_eq(peer_net_send(a.net, NULL, 2, &m, NULL), STATUS_OK);
    node_wait(&b, &b.messages, 1);
    node_stop(&a);
    node_stop(&b);
}
END_TEST

/*
 * A daemon paused while a message came in drops what came after and connects
 * anew. The wait is longer than the pause; a slow machine only adds to it.
 */
START_TEST(test_paused)
{
    const int64_t pause_us = 200000;
    node_t a;
    node_t b;
    node_start(&a, "a1", 1, 0, right_key);
    node_start_pausing(&b, "b1", 2, 0, right_key, pause_us);
    node_dial(&a, &b, 0);
    node_wait(&a, &a.ups, 1);
    node_block(&b, true);
    for (uint64_t i = 1; i <= 3; i++) {
        (void)node_send(&a, &b, i);
    }
    node_wait(&b, &b.entered, 1);
    struct timespec pause = {.tv_nsec = 3 * pause_us * 1000};
    nanosleep(&pause, NULL);
    node_block(&b, false); /* the first one was in its hands */
    node_wait(&a, &a.unreachable, 1);
    node_wait(&b, &b.unreachable, 1);
    node_wait(&a, &a.ups, 2);
    ck_assert_uint_eq(node_read(&b, &b.messages), 1);
    /* Lost again only if the machine pauses it again. */
    for (int i = 0; i < 100 && node_read(&b, &b.messages) == 1; i++) {
        (void)node_send(&a, &b, 2);
        nanosleep(&pause, NULL);
    }
    ck_assert_uint_gt(node_read(&b, &b.messages), 1);
    node_stop(&a);
    node_stop(&b);
}
END_TEST

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

/* All that arrives until the other side closes; its size. */
static size_t
read_all(int fd, uint8_t *out, size_t max)
{
    size_t size = 0;
    ssize_t got;
    struct timeval limit = {.tv_sec = WAIT_MAX_S};
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
} stranger_case_t;

#define SENT(bytes) bytes, sizeof(bytes) - 1

static const stranger_case_t stranger_cases[] = {
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
    {"half a hello, until time is up", SENT("\0\0\0\x19\x02\0\0\0\0\0")},
    {"malformed hello", SENT("\0\0\0\x0b\x02\0\0\0\0\0\0\0\x01\xff\xff")},
};

/* A stranger gets a challenge that names nobody, and changes nothing. */
START_TEST(test_stranger)
{
    const stranger_case_t *c = &stranger_cases[_i];
    node_t b;
    node_start(&b, "b1", 0x1122334455667788, 0, right_key);
    int fd = connect_to(peer_net_port(b.net));
    ck_assert_int_eq(send(fd, c->bytes, c->size, MSG_NOSIGNAL),
                     (ssize_t)c->size);
    uint8_t got[4096];
    size_t size = read_all(fd, got, sizeof(got));
    close(fd);
    node_wait(&b, &b.refused, 1);
    frame_t frame;
    if (size > 0) { /* a reset may discard the challenge */
        ck_assert_int_eq(frame_parse(got, size, 0, 512, &frame), FRAME_READY);
        ck_assert_msg(frame.size == size, "%s: more than a challenge",
                      c->name);
        ck_assert_int_eq(frame.type, MESSAGE_CHALLENGE);
        ck_assert_uint_eq(frame.incarnation, 0);
        ck_assert_ptr_null(memmem(got, size, "b1", 2));
        ck_assert_ptr_null(memmem(got, size, "north", 5));
    }
    ck_assert_uint_eq(node_read(&b, &b.ups), 0);
    ck_assert_uint_eq(node_read(&b, &b.messages), 0);
    ck_assert_uint_eq(peer_net_counters(b.net).strangers, 1);
    node_stop(&b);
}
END_TEST

/* Whether the other side has closed, its challenge aside. */
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

/* Idle strangers in any number do not keep a peer out. */
START_TEST(test_many_strangers)
{
    node_t a;
    node_t b;
    node_start(&a, "a1", 1, 0, right_key);
    node_start(&b, "b1", 2, 0, right_key);
    int fds[PEER_NET_STRANGERS_MAX * 2];
    for (size_t i = 0; i < CASES(fds); i++) {
        fds[i] = connect_to(peer_net_port(b.net));
    }
    node_dial(&a, &b, 0);
    node_wait(&a, &a.ups, 1);
    ck_assert(is_closed(fds[0])); /* the oldest gave way */
    ck_assert_int_eq(node_send(&a, &b, 1), STATUS_OK);
    node_wait(&b, &b.messages, 1);
    for (size_t i = 0; i < CASES(fds); i++) {
        close(fds[i]);
    }
    node_stop(&a);
    node_stop(&b);
}
END_TEST

/* Peers that are connected do not count as strangers. */
START_TEST(test_many_peers)
{
    static node_t peers[PEER_NET_STRANGERS_MAX + 1];
    node_t b;
    node_start(&b, "b1", 1000, 0, right_key);
    for (size_t i = 0; i + 1 < CASES(peers); i++) {
        char name[NAME_SIZE];
        snprintf(name, sizeof(name), "a%zu", i);
        node_start(&peers[i], name, i + 1, 0, right_key);
        node_dial(&peers[i], &b, 0);
    }
    node_wait(&b, &b.ups, PEER_NET_STRANGERS_MAX);
    int strangers[] = {connect_to(peer_net_port(b.net)),
                       connect_to(peer_net_port(b.net))};
    node_t *last = &peers[PEER_NET_STRANGERS_MAX];
    node_start(last, "last", 500, 0, right_key);
    node_dial(last, &b, 0);
    node_wait(&b, &b.ups, PEER_NET_STRANGERS_MAX + 1);
    ck_assert(!is_closed(strangers[0]) && !is_closed(strangers[1]));
    ck_assert_uint_eq(peer_net_counters(b.net).strangers, 0);
    close(strangers[0]);
    close(strangers[1]);
    for (size_t i = 0; i < CASES(peers); i++) {
        node_stop(&peers[i]);
    }
    node_stop(&b);
}
END_TEST

/* What a splicer between two daemons does with one chunk of bytes. */
typedef enum { SPLICE_PASS, SPLICE_FLIP, SPLICE_REPEAT, SPLICE_DROP } splice_t;

typedef struct {
    int listen_fd;
    int fds[2]; /* 0: the dialer's, 1: the acceptor's */
    uint16_t port;
} splicer_t;

static void
splicer_open(splicer_t *splicer)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(at);
    splicer->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(splicer->listen_fd, (struct sockaddr *)&at, size),
                     0);
    ck_assert_int_eq(listen(splicer->listen_fd, 1), 0);
    getsockname(splicer->listen_fd, (struct sockaddr *)&at, &size);
    splicer->port = ntohs(at.sin_port);
}

/* Pass one chunk on from side to the other, changed in such a way. */
static void
splicer_pass(splicer_t *splicer, size_t side, splice_t how)
{
    uint8_t bytes[4096];
    ssize_t got = read(splicer->fds[side], bytes, sizeof(bytes));
    ck_assert_int_gt(got, 0);
    if (how == SPLICE_FLIP) {
        bytes[got - 1] ^= 1;
    }
    for (int i = 0; i < (how == SPLICE_REPEAT ? 2 : 1); i++) {
        if (how != SPLICE_DROP) {
            send(splicer->fds[!side], bytes, (size_t)got, MSG_NOSIGNAL);
        }
    }
}

typedef struct {
    const char *name;
    splice_t how;
    unsigned delivered; /* of the first heartbeat, then a good one */
} splice_case_t;

static const splice_case_t splice_cases[] = {
    {"passed on", SPLICE_PASS, 2},
    {"changed", SPLICE_FLIP, 0},
    {"repeated", SPLICE_REPEAT, 1},
    {"left out", SPLICE_DROP, 0},
};

START_TEST(test_splicer)
{
    const splice_case_t *c = &splice_cases[_i];
    node_t a;
    node_t b;
    splicer_t splicer;
    node_start(&a, "a1", 1, 0, right_key);
    node_start(&b, "b1", 2, 0, right_key);
    splicer_open(&splicer);
    node_dial(&a, &b, splicer.port);
    splicer.fds[0] = accept(splicer.listen_fd, NULL, NULL);
    splicer.fds[1] = connect_to(peer_net_port(b.net));
    splicer_pass(&splicer, 1, SPLICE_PASS); /* challenge */
    splicer_pass(&splicer, 0, SPLICE_PASS); /* hello */
    splicer_pass(&splicer, 1, SPLICE_PASS); /* hello */
    node_wait(&a, &a.ups, 1);
    ck_assert_int_eq(node_send(&a, &b, 1), STATUS_OK);
    splicer_pass(&splicer, 0, c->how);
    if (c->how != SPLICE_REPEAT && c->how != SPLICE_FLIP) {
        ck_assert_int_eq(node_send(&a, &b, 2), STATUS_OK);
        splicer_pass(&splicer, 0, SPLICE_PASS);
    }
    if (c->how == SPLICE_PASS) {
        node_wait(&b, &b.messages, 2);
        ck_assert_uint_eq(node_read(&b, &b.downs), 0);
    }
    else {
        node_wait(&b, &b.unreachable, 1);
        ck_assert_uint_eq(peer_net_counters(b.net).strangers, 1);
    }
    ck_assert_msg(node_read(&b, &b.messages) == c->delivered, "%s", c->name);
    close(splicer.fds[0]);
    close(splicer.fds[1]);
    close(splicer.listen_fd);
    node_stop(&a);
    node_stop(&b);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("peer");
    tcase_set_timeout(tests, 0);
    tcase_add_test(tests, test_both_ways);
    tcase_add_test(tests, test_simultaneous);
    tcase_add_test(tests, test_replaced);
    tcase_add_test(tests, test_removed);
    tcase_add_test(tests, test_unnamed);
    tcase_add_test(tests, test_dials_again);
    tcase_add_test(tests, test_wrong_key);
    tcase_add_test(tests, test_queue_bound);
    tcase_add_test(tests, test_free_lingers);
    tcase_add_test(tests, test_send_by_incarnation);
    tcase_add_test(tests, test_paused);
    tcase_add_loop_test(tests, test_stranger, 0, CASES(stranger_cases));
    tcase_add_test(tests, test_many_strangers);
    tcase_add_test(tests, test_many_peers);
    tcase_add_loop_test(tests, test_splicer, 0, CASES(splice_cases));
    return suite_run("peer", tests);
}
