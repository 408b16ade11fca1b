/*
 * Which daemons carry callers' traffic.
 *
 * The load it answers: many more daemons than the traffic needs. If callers
 * spread over all, each upstream is connected to by all, every connection is
 * opened anew for a few requests, shares of what an upstream bears fall under
 * one, and each daemon asks the store as often as if it were busy. So the
 * directory names a part of a large fleet, the stronger VMs first and each
 * availability zone by its part of the daemons; the others stand by, ready.
 * Everybody works it out alike from the members listed, and when one goes the
 * next of its zone takes its place.
 *
 *     uint32_t serving = serving_assign_roles(&members, roles);
 */
#ifndef TIER_SERVING_H
#define TIER_SERVING_H

#include "tier/members.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    SERVING_ALL_MAX = 16,    /* daemons up to which all of them serve */
    SERVING_DIVISOR = 5,     /* of a larger fleet one in so many, and ... */
    SERVING_ZONE_MIN = 2,    /* ... so many of each zone at least */
    SERVING_READERS_MIN = 3, /* so many ask the store, one of each zone, ... */
    SERVING_DAEMONS_PER_READER =
        32 /* ... and one for so many of a zone's daemons */
};

/*
 * Set the role of each member; how many serve. In a large fleet one of each
 * zone, more of a large one, asks the store for the upstreams, and the others
 * ask those.
 */
uint32_t serving_assign_roles(const members_t *members, member_role_t *roles);

#endif
