/*
 * What daemons tell each other several times a second, as a message.
 *
 * The lease's part travels as one pair of the heartbeat message, so that the
 * inner protocol need not change when the rules of the roster do.
 */
#ifndef DAEMON_HEARTBEAT_H
#define DAEMON_HEARTBEAT_H

#include "fleet/confsync.h"
#include "fleet/roster.h"
#include "proto/message.h"

enum {
    HEARTBEAT_LEASE_BYTES = 33,
    HEARTBEAT_WORD_BYTES = 24,
    HEARTBEAT_PAIRS = 2
};

/* The arrays that a heartbeat message points to; outlives its sending. */
typedef struct {
    uint8_t lease[HEARTBEAT_LEASE_BYTES];
    uint8_t word[HEARTBEAT_WORD_BYTES];
    heartbeat_pair_t pairs[HEARTBEAT_PAIRS];
} heartbeat_buffer_t;

/* Fill message from both; buffer backs it. */
void heartbeat_message(const roster_heartbeat_t *lease,
                       const confsync_report_t *word, bool store_failing,
                       heartbeat_buffer_t *buffer, message_t *message);

/* The lease's part of a heartbeat; false: it has none that can be read. */
bool heartbeat_lease(const char *peer, uint64_t incarnation,
                     const heartbeat_t *heartbeat, roster_heartbeat_t *lease);

/* What the sender says of its configuration; false: nothing to be read. */
bool heartbeat_word(const heartbeat_t *heartbeat, confsync_report_t *word);

#endif
