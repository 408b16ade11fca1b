/*
 * Encoding of the heartbeat that daemons exchange: the lease (roster.h) and
 * the configuration report (confsync.h).
 *
 * Each is one key-value pair of the heartbeat message, so that the protocol
 * between daemons need not change when the rules of the roster do.
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

/* The arrays that a heartbeat message points to; must outlive its sending. */
typedef struct {
    uint8_t lease[HEARTBEAT_LEASE_BYTES];
    uint8_t report[HEARTBEAT_REPORT_BYTES];
    heartbeat_pair_t pairs[HEARTBEAT_PAIRS];
} heartbeat_buffer_t;

/* Make a heartbeat message, which points into buffer. */
void heartbeat_make_message(const roster_heartbeat_t *lease,
                            const confsync_report_t *report,
                            bool store_failing, heartbeat_buffer_t *buffer,
                            message_t *message);

/*
 * Decode the lease of a heartbeat that came from this peer. Returns false if
 * the message has no lease of the expected size.
 */
bool heartbeat_parse_lease(const char *peer, uint64_t incarnation,
                           const heartbeat_t *heartbeat,
                           roster_heartbeat_t *lease);

/*
 * Decode the configuration report of a heartbeat. Returns false if the message
 * has no report of the expected size.
 */
bool heartbeat_parse_report(const heartbeat_t *heartbeat,
                            confsync_report_t *report);

#endif
