/*
 * A transport of a test, with counts of all that its ops saw.
 *
 *     test_peer_t a;
 *     test_peer_start(&a, "a1", 1, 0, right_key);
 *     test_peer_dial(&a, &b, 0);
 *     test_peer_wait(&a, &a.ups, 1);
 *     test_peer_stop(&a);
 */
#ifndef T_LIB_TEST_PEER_H
#define T_LIB_TEST_PEER_H

#include "net/peer.h"

#include <pthread.h>

enum { TEST_PEER_WAIT_MAX_S = 30 }; /* of a test that would hang otherwise */

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
    unsigned on_message_calls; /* calls of on_message */
    unsigned messages;
    unsigned out_of_order;
    unsigned incomplete;   /* ops that name no peer or error */
    uint64_t last_version; /* config_version of the last heartbeat */
    uint64_t last_incarnation;
} test_peer_t;

/* What test_peer_start hands to the transport, with the peer as context. */
extern const peer_ops_t test_peer_ops;

extern const auth_key_t right_key;
extern const auth_key_t wrong_key;

/* Listen on a port, 0 for any free one; never takes itself for paused. */
void test_peer_start(test_peer_t *node, const char *name, uint64_t incarnation,
                     uint16_t port, auth_key_t key);

/* The same with a time that counts as a pause. */
void test_peer_start_pausing(test_peer_t *node, const char *name,
                             uint64_t incarnation, uint16_t port,
                             auth_key_t key, int64_t pause_us);

void test_peer_stop(test_peer_t *node);

/* Wait until the counter has reached at least such a value. */
void test_peer_wait(test_peer_t *node, const unsigned *counter,
                    unsigned value);

/* A counter's value now. */
unsigned test_peer_read(test_peer_t *node, const unsigned *counter);

/* Hold on_message until it is called with false. */
void test_peer_block(test_peer_t *node, bool blocked);

/* Make the other its only peer, at another port unless that is 0. */
void test_peer_dial(test_peer_t *from, const test_peer_t *to, uint16_t port);

/* A heartbeat with such a configuration version. */
status_t test_peer_send(test_peer_t *from, const test_peer_t *to,
                        uint64_t version);

#endif
