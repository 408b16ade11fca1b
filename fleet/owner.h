/*
 * Which member owns an upstream: rendezvous hashing that prefers members of
 * the upstream's zone.
 *
 * For one upstream every pair of members has a fixed order, whoever else is
 * there: members of the upstream's zone come before all others, and within
 * each part a hash of both names decides. The owner is the first eligible
 * member in that order. A join or a leave therefore moves only upstreams that
 * the member concerned owns after or before it, and every daemon that looks at
 * the same list computes the same owner.
 *
 *     owner_key_t upstream = owner_key("ledger-desk-g0-r1", "south-1");
 *     int owner = owner_pick(keys, count, upstream);
 *
 * Groups of members are chosen the same way, a group being a key of its own
 * name; its zone is that of all its members, or empty.
 */
#ifndef FLEET_OWNER_H
#define FLEET_OWNER_H

#include <stddef.h>
#include <stdint.h>

/* Hashes of a name and its zone, computed once and kept. */
typedef struct {
    uint64_t name;
    uint64_t zone;
} owner_key_t;

owner_key_t owner_key(const char *name, const char *zone);

/*
 * Place of a member in the upstream's order: the highest rank comes first. Two
 * members with one rank (they would need equal hashes) are ordered by their
 * index, which is that of their sorted names.
 */
uint64_t owner_rank(owner_key_t upstream, owner_key_t member);

/* Index of the owner among the members; -1 when there is none. */
int owner_pick(const owner_key_t *members, size_t count, owner_key_t upstream);

#endif
