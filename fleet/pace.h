/*
 * Heartbeat period of a daemon, and the failure detector's timeouts that
 * follow from it.
 *
 * A daemon sends heartbeats to every other member. In a large group the period
 * grows with the number of members, which bounds the bytes sent per second.
 * While leases cannot be renewed in the store, members act by short grants of
 * their peers. The minimum period applies to a daemon in that state, and for
 * PACE_FAST_US after a heartbeat from a peer in that state.
 *
 *     pace_t pace = {0};
 *     pace_heartbeat_receive(&pace, degraded, now);
 *     int64_t period_us = pace_period_us(&pace, others, healthy, now);
 *     member_settings_t timeouts = pace_member_settings(others);
 */
#ifndef FLEET_PACE_H
#define FLEET_PACE_H

#include "fleet/member.h"

enum {
    PACE_HEARTBEAT_MIN_US = 500000,
    PACE_HEARTBEAT_BYTES = 121, /* one heartbeat with its frame */
    PACE_BYTES_PER_S = 2700, /* bound on the heartbeats that a daemon sends */
    PACE_FAST_US = 5000000   /* how long a degraded peer's heartbeat counts */
};

typedef struct {
    int64_t fast_until_us; /* end of the minimum period due to peers */
} pace_t;

/*
 * Record a heartbeat. degraded: the peer requests grants, or the store fails
 * for it.
 */
void pace_heartbeat_receive(pace_t *pace, bool degraded, int64_t now_us);

/*
 * Time between two heartbeats to a member, in a group with `others` other
 * members. healthy: the store answers, and at least half of the lease is left.
 */
int64_t pace_period_us(const pace_t *pace, size_t others, bool healthy,
                       int64_t now_us);

/* Timeouts of the failure detector, in a group with `others` other members. */
member_settings_t pace_member_settings(size_t others);

#endif
