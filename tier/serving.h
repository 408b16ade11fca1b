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
 * daemon in SERVING_DIVISOR, each zone in proportion to its daemons. A zone
 * without such VMs has none that serves, and its daemons poll the store
 * readers of other zones. All daemons compute the same roles from the same
 * list of members. When a serving daemon leaves, the next one of its zone may
 * replace it.
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
       SERVING_ALL_MAX daemons if that is more. */
    SERVING_DIVISOR = 5,
    SERVING_WEIGHT_PERCENT = 25,
    /* If strong VMs are in fewer zones than SERVING_STRONG_ZONES_MIN, the loss
       of a zone could take all of them: then at least SERVING_ZONE_MIN daemons
       serve in each zone. */
    SERVING_STRONG_ZONES_MIN = 2,
    SERVING_ZONE_MIN = 2,
    /* Store readers in a large fleet: at least this many in total, one in each
       zone that serves, and one per SERVING_DAEMONS_PER_READER in a large
       zone, as far as that many serve there. */
    SERVING_READERS_MIN = 3,
    SERVING_DAEMONS_PER_READER = 32
};

/* The least weight of a VM that serves while there are enough of that weight;
   0 when out of memory. */
uint32_t serving_weight_min(const members_t *members);

/*
 * Set roles[i] for each member i; returns the number of serving members. In a
 * small fleet, or when out of memory, all members are store readers. In a
 * large fleet there are a few store readers, and the other members get the
 * upstreams from them.
 */
uint32_t serving_assign_roles(const members_t *members, member_role_t *roles);

#endif
