/*
 * A transport for tests that counts the calls of its ops.
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

/* Timeout after which a wait fails instead of hanging the test. */
enum { TEST_PEER_WAIT_MAX_S = 30 };

/* One transport and the counts of its ops. */
typedef struct {
    peer_net_t *net;
    char name[NAME_SIZE];
    uint64_t incarnation;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool blocked; /* on_message waits while this is set */
    unsigned ups;
    unsigned downs;
    unsigned unreachable; /* on_down with reachable false */
    unsigned refused;
    unsigned on_message_calls; /* counted before on_message blocks */
    unsigned messages;         /* counted when on_message ends */
    unsigned out_of_order;     /* heartbeats, by config_version */
    unsigned incomplete;   /* ops called without a peer or an error message */
    uint64_t last_version; /* config_version of the last heartbeat */
    uint64_t last_incarnation;
} test_peer_t;

/* The ops of each transport; the context is the test_peer_t. */
extern const peer_ops_t test_peer_ops;

extern const auth_key_t right_key;
extern const auth_key_t wrong_key;

/*
 * Starts a transport that listens on port, or on any free port if port is 0.
 * It never detects a pause.
 */
void test_peer_start(test_peer_t *node, const char *name, uint64_t incarnation,
                     uint16_t port, auth_key_t key);

/* Like test_peer_start, but detects a pause of more than pause_us. */
void test_peer_start_with_pause_limit(test_peer_t *node, const char *name,
                                      uint64_t incarnation, uint16_t port,
                                      auth_key_t key, int64_t pause_us);

/* Frees the transport and fails the test if node->incomplete is not 0. */
void test_peer_stop(test_peer_t *node);

/*
 * Waits until the counter is at least value. Fails the test after
 * TEST_PEER_WAIT_MAX_S.
 */
void test_peer_wait(test_peer_t *node, const unsigned *counter,
                    unsigned value);

/* Returns the current value of a counter. */
unsigned test_peer_read(test_peer_t *node, const unsigned *counter);

/* Blocks on_message if blocked is true, otherwise unblocks it. */
void test_peer_block(test_peer_t *node, bool blocked);

/*
 * Sets the second transport as the only peer of the first. port is the
 * port to dial, or 0 for the port that the second transport listens on.
 */
void test_peer_dial(test_peer_t *from, const test_peer_t *to, uint16_t port);

/* Sends a heartbeat with this configuration version. */
status_t test_peer_send(test_peer_t *from, const test_peer_t *to,
                        uint64_t version);

#endif
