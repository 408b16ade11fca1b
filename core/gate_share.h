/*
 * How the slots of a zone or service are dealt to its upstreams.
 *
 * Every upstream the topology lists gets an integer share; the shares add up
 * to the limit. What does not divide evenly goes one slot each to the
 * upstreams first in an order that follows from the topology alone: first
 * replicas of every group before second ones, then by group. So daemons with
 * the same topology agree without a message, whoever owns what, and a limit
 * of one slot for each group leaves no group without.
 */
#ifndef CORE_GATE_SHARE_H
#define CORE_GATE_SHARE_H

#include "core/topology.h"

/* Share of the upstream with rank among count; ranks start at 0. */
uint32_t share_slots(uint32_t limit, size_t rank, size_t count);

/* The ranks of one upstream and how many it shares with. */
typedef struct {
    uint32_t service_rank;
    uint32_t service_count;
    uint32_t zone_rank; /* among the service's upstreams in its zone */
    uint32_t zone_count;
} share_rank_t;

/* Ranks of upstream index among those of its service. */
share_rank_t share_rank(const topology_t *topology, size_t index);

#endif
