/*
 * Division of the slots of a zone or service among its upstreams.
 *
 * Every upstream in the topology gets an integer share; the shares add up to
 * the limit. The remainder of the division goes in single slots to the
 * upstreams of lowest rank. The ranks follow from the topology alone: the
 * first replicas of all groups precede the second ones, and upstreams of equal
 * ordinal are in order of their groups. Daemons with the same topology
 * therefore agree without exchanging messages, whichever of them owns an
 * upstream, and a limit of one slot per group gives each group a slot.
 */
#ifndef CORE_GATE_SHARE_H
#define CORE_GATE_SHARE_H

#include "core/topology.h"

/* The slots of the upstream with this rank, from 0, among count upstreams. */
uint32_t share_slots(uint32_t limit, size_t rank, size_t count);

/* The ranks of an upstream, and the number of upstreams they are among. */
typedef struct {
    uint32_t service_rank; /* among the upstreams of its service */
    uint32_t service_count;
    uint32_t zone_rank; /* among the service's upstreams in its zone */
    uint32_t zone_count;
} share_rank_t;

/* Ranks the upstream at this index of the topology. */
share_rank_t share_rank(const topology_t *topology, size_t index);

#endif
