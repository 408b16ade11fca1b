/*
 * How often a daemon sends heartbeats, and what silence then means.
 *
 * A heartbeat goes to every other member, so in a large group the period
 * grows with the members and the bytes a second stay within a bound. While
 * leases do not come from the store, members keep each other going by grants,
 * which end soon: then, and while a peer is in that state, the least period
 * holds.
 *
 *     pace_t pace = {0};
 *     pace_heartbeat_receive(&pace, asking || store_failing, now);
 *     int64_t period_us = pace_period_us(&pace, others, healthy, now);
 *     member_settings_t silence = pace_member_settings(others);
 */
#ifndef FLEET_PACE_H
#define FLEET_PACE_H

#include "fleet/member.h"

enum {
    PACE_HEARTBEAT_MIN_US = 500000,
    PACE_HEARTBEAT_BYTES = 121, /* of one, with its frame */
    PACE_BYTES_PER_S = 2700,    /* of all that a daemon sends */
    PACE_FAST_US = 5000000      /* after a peer's word that it needs grants */
};

typedef struct {
    int64_t fast_until_us;
} pace_t;

/* A peer's heartbeat came; in_need: it asks for grants or lacks the store. */
void pace_heartbeat_receive(pace_t *pace, bool degraded, int64_t now_us);

/*
 * Time between two heartbeats to one of that many other members. healthy: the
 * store answers, and the lease has at least half of its time left.
 */
int64_t pace_period_us(const pace_t *pace, size_t others, bool healthy,
                       int64_t now_us);

/* Silence that makes one of that many other members suspect, or dead. */
member_settings_t pace_member_settings(size_t others);

#endif
