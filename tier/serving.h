/*
 * Which daemons serve callers, and which read the upstreams from the store.
 *
 * The fleet can have many more daemons than the traffic needs. If callers used
 * all of them, each upstream would have connections from every daemon, each
 * connection would be opened for a few requests only, a daemon's share of an
 * upstream's slots would fall below one, and each daemon would poll the store
 * as often as a busy one. So in a large fleet the directory lists only some of
 * the daemons; the rest are on standby.
 *
 * Callers choose among the listed daemons at random, and a query over many
 * shards takes a weak VM's processor and link longer than its goal. Hence the
 * strongest VMs of the fleet serve, as many as have SERVING_WEIGHT_PERCENT of
 * its weight, and all others of at least half their weight, but at most one
 * daemon in SERVING_DIVISOR, each zone in proportion to its daemons. All
 * daemons compute the same roles from the same list of members. When a serving
 * daemon leaves, the next one of its zone may replace it.
 *
 *     uint32_t serving = serving_assign_roles(&members, roles);
 */
#ifndef TIER_SERVING_H
#define TIER_SERVING_H

#include "tier/members.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    SERVING_ALL_MAX = 16, /* in a fleet up to this size all daemons serve */
    /* In a larger fleet at most one daemon in SERVING_DIVISOR serves, or
       SERVING_ALL_MAX daemons if that is more, and at least SERVING_ZONE_MIN
       in each zone. */
    SERVING_DIVISOR = 5,
    SERVING_ZONE_MIN = 2,
    SERVING_WEIGHT_PERCENT = 25,
    /* Store readers in a large fleet: at least this many in total, at least
       one in each zone, and one per SERVING_DAEMONS_PER_READER in a large
       zone. */
    SERVING_READERS_MIN = 3,
    SERVING_DAEMONS_PER_READER = 32
};

/*
 * Set roles[i] for each member i; returns the number of serving members. In a
 * small fleet, or when out of memory, all members are store readers. In a
 * large fleet each zone has at least one store reader, and the other members
 * get the upstreams from the store readers.
 */
uint32_t serving_assign_roles(const members_t *members, member_role_t *roles);

#endif
