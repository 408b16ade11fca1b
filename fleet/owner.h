/*
 * Ownership of upstreams by rendezvous hashing, with preference for members in
 * the upstream's zone.
 *
 * Each upstream orders the members: first those in its zone, then the others,
 * each part by a hash of the upstream's and the member's names. The order of
 * two members does not depend on other members.
 * The owner is the first eligible member. A join therefore moves only the
 * upstreams that the new member owns after it, and a leave only those that the
 * leaving member owned. Daemons with the same member list compute the same
 * owner.
 *
 *     owner_key_t upstream = owner_key("ledger-desk-g0-r1", "south-1");
 *     int owner = owner_pick(keys, count, upstream);
 *
 * A group of members is chosen in the same way, by a key made of the group's
 * name and the zone that all its members share, or an empty zone.
 */
#ifndef FLEET_OWNER_H
#define FLEET_OWNER_H

#include <stddef.h>
#include <stdint.h>

/* Hashes of a name and a zone, to be computed once. */
typedef struct {
    uint64_t name;
    uint64_t zone;
} owner_key_t;

/* Key of a member or upstream with this name and zone. */
owner_key_t owner_key(const char *name, const char *zone);

/*
 * Rank of a member in the upstream's order, highest first. Members of equal
 * rank, which takes a hash collision, are ordered by index.
 */
uint64_t owner_rank(owner_key_t upstream, owner_key_t member);

/* Index of the owner in `members`; -1 if count is 0. */
int owner_pick(const owner_key_t *members, size_t count, owner_key_t upstream);

#endif
