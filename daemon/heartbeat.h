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
    HEARTBEAT_REPORT_BYTES = 24,
    HEARTBEAT_PAIRS = 2
};

/* The arrays that a heartbeat message points to; outlives its sending. */
typedef struct {
    uint8_t lease[HEARTBEAT_LEASE_BYTES];
    uint8_t report[HEARTBEAT_REPORT_BYTES];
    pair_t pairs[HEARTBEAT_PAIRS];
} heartbeat_buffer_t;

/* Fill message from both; buffer backs it. */
void heartbeat_make_message(const roster_heartbeat_t *lease,
                            const confsync_report_t *report,
                            bool store_failing, heartbeat_buffer_t *buffer,
                            message_t *message);

/* The lease's part of a heartbeat; false: it has none that can be read. */
bool heartbeat_parse_lease(const char *peer, uint64_t incarnation,
                           const heartbeat_t *heartbeat,
                           roster_heartbeat_t *lease);

/* What the sender says of its configuration; false: nothing to be read. */
bool heartbeat_parse_report(const heartbeat_t *heartbeat,
                            confsync_report_t *report);

#endif
