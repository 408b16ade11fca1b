#include "t/lib/test_peer.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define KEY(text)                                                             \
    {                                                                         \
        .bytes = (const uint8_t *)(text), .size = sizeof(text) - 1            \
    }

static void
on_message(void *ctx, const char *peer, uint64_t incarnation,
           message_t *message)
{
    test_peer_t *node = ctx;
    pthread_mutex_lock(&node->lock);
    node->incomplete += peer[0] == '\0';
    node->on_message_calls++;
    pthread_cond_broadcast(&node->changed);
    while (node->blocked) {
        pthread_cond_wait(&node->changed, &node->lock);
    }
    node->messages++;
    node->last_incarnation = incarnation;
    if (message->type == MESSAGE_HEARTBEAT) {
        uint64_t version = message->heartbeat.config_version;
        node->out_of_order += version != node->last_version + 1;
        node->last_version = version;
    }
    pthread_cond_broadcast(&node->changed);
    pthread_mutex_unlock(&node->lock);
}

static void
test_peer_count(test_peer_t *node, unsigned *counter)
{
    pthread_mutex_lock(&node->lock);
    (*counter)++;
    pthread_cond_broadcast(&node->changed);
    pthread_mutex_unlock(&node->lock);
}

static void
on_up(void *ctx, const char *peer, uint64_t incarnation)
{
    test_peer_t *node = ctx;
    (void)peer;
    (void)incarnation;
    test_peer_count(node, &node->ups);
}

static void
on_down(void *ctx, const char *peer, uint64_t incarnation, bool reachable,
        const error_t *err)
{
    test_peer_t *node = ctx;
    (void)peer;
    (void)incarnation;
    if (err->message[0] == '\0' || err->peer[0] == '\0') {
        test_peer_count(node, &node->incomplete);
    }
    test_peer_count(node, &node->downs);
    if (!reachable) {
        test_peer_count(node, &node->unreachable);
    }
}

static void
on_refused(void *ctx, const error_t *err)
{
    test_peer_t *node = ctx;
    if (err->message[0] == '\0' || err->peer[0] == '\0') {
        test_peer_count(node, &node->incomplete);
    }
    test_peer_count(node, &node->refused);
}

const peer_ops_t test_peer_ops = {
    .on_message = on_message,
    .on_up = on_up,
    .on_down = on_down,
    .on_refused = on_refused,
};

void
test_peer_start_with_pause_limit(test_peer_t *node, const char *name,
                                 uint64_t incarnation, uint16_t port,
                                 auth_key_t key, int64_t pause_us)
{
    *node = (test_peer_t){.incarnation = incarnation};
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
        .linger_us = TEST_PEER_WAIT_MAX_S * INT64_C(1000000),
    };
    memcpy(settings.self.name, node->name, NAME_SIZE);
    error_t err = ERROR_INIT;
    node->net = peer_net_new(&settings, &test_peer_ops, node, &err);
    ck_assert_msg(node->net != NULL, "%s", error_text(&err));
}

void
test_peer_start(test_peer_t *node, const char *name, uint64_t incarnation,
                uint16_t port, auth_key_t key)
{
    test_peer_start_with_pause_limit(node, name, incarnation, port, key,
                                     INT64_MAX);
}

void
test_peer_stop(test_peer_t *node)
{
    peer_net_free(node->net);
    ck_assert_uint_eq(node->incomplete, 0);
    pthread_cond_destroy(&node->changed);
    pthread_mutex_destroy(&node->lock);
}

void
test_peer_wait(test_peer_t *node, const unsigned *counter, unsigned value)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += TEST_PEER_WAIT_MAX_S;
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

unsigned
test_peer_read(test_peer_t *node, const unsigned *counter)
{
    pthread_mutex_lock(&node->lock);
    unsigned value = *counter;
    pthread_mutex_unlock(&node->lock);
    return value;
}

void
test_peer_block(test_peer_t *node, bool blocked)
{
    pthread_mutex_lock(&node->lock);
    node->blocked = blocked;
    pthread_cond_broadcast(&node->changed);
    pthread_mutex_unlock(&node->lock);
}

void
test_peer_dial(test_peer_t *from, const test_peer_t *to, uint16_t port)
{
    peer_address_t peer = {
        .incarnation = to->incarnation,
        .address = "127.0.0.1",
        .port = port != 0 ? port : peer_net_port(to->net),
    };
    memcpy(peer.name, to->name, NAME_SIZE);
    ck_assert_int_eq(peer_net_set_peers(from->net, &peer, 1, NULL), STATUS_OK);
}

status_t
test_peer_send(test_peer_t *from, const test_peer_t *to, uint64_t version)
{
    message_t m = {.type = MESSAGE_HEARTBEAT,
                   .heartbeat = {.config_version = version}};
    return peer_net_send(from->net, to->name, to->incarnation, &m, NULL);
}

const auth_key_t right_key = KEY("0123456789abcdef");
const auth_key_t wrong_key = KEY("0123456789abcdeX");
