#include "core/gate_share.h"

#include <string.h>

uint32_t
share_slots(uint32_t limit, size_t rank, size_t count)
{
    if (count == 0) {
        return 0;
    }
    uint32_t share = limit / (uint32_t)count;
    return rank < limit % count ? share + 1 : share;
}

/* First upstream of the same service; the topology is sorted by service. */
static size_t
service_first_index(const topology_t *topology, size_t index)
{
    const upstream_info_t *upstreams = topology->upstreams;
    while (index > 0 && strcmp(upstreams[index - 1].service,
                               upstreams[index].service) == 0) {
        index--;
    }
    return index;
}

/*
 * Position of an upstream within its group. Only upstreams of the given zone
 * count, or all of them if zone is NULL.
 */
static uint32_t
group_ordinal(const topology_t *topology, size_t index, const char *zone)
{
    const upstream_info_t *self = &topology->upstreams[index];
    uint32_t ordinal = 0;
    while (index > 0) {
        const upstream_info_t *other = &topology->upstreams[--index];
        if (other->group != self->group ||
            strcmp(other->service, self->service) != 0) {
            break;
        }
        if (zone == NULL || strcmp(other->zone, zone) == 0) {
            ordinal++;
        }
    }
    return ordinal;
}

/* Rank of one upstream, computed in one pass over those of its service. */
typedef struct {
    const char *zone;     /* NULL: every zone */
    uint32_t ordinal;     /* group ordinal of the upstream to rank */
    uint16_t group;       /* the current group */
    uint32_t group_count; /* upstreams of the current group so far */
    uint32_t rank;        /* upstreams so far that precede the one to rank */
    uint32_t count;       /* upstreams so far */
} ranking_t;

/* Adds the next upstream; before: it precedes the one to rank. */
static void
ranking_add(ranking_t *ranking, const upstream_info_t *other, bool before)
{
    if (ranking->zone != NULL && strcmp(other->zone, ranking->zone) != 0) {
        return;
    }
    if (ranking->count == 0 || other->group != ranking->group) {
        ranking->group = other->group;
        ranking->group_count = 0;
    }
    uint32_t ordinal = ranking->group_count++;
    ranking->count++;
    if (ordinal < ranking->ordinal ||
        (ordinal == ranking->ordinal && before)) {
        ranking->rank++;
    }
}

share_rank_t
share_rank(const topology_t *topology, size_t index)
{
    const upstream_info_t *self = &topology->upstreams[index];
    ranking_t service = {.ordinal = group_ordinal(topology, index, NULL)};
    ranking_t zone = {.zone = self->zone,
                      .ordinal = group_ordinal(topology, index, self->zone)};
    size_t i = service_first_index(topology, index);
    for (; i < topology->upstream_count; i++) {
        const upstream_info_t *other = &topology->upstreams[i];
        if (strcmp(other->service, self->service) != 0) {
            break;
        }
        ranking_add(&service, other, i < index);
        ranking_add(&zone, other, i < index);
    }
    return (share_rank_t){.service_rank = service.rank,
                          .service_count = service.count,
                          .zone_rank = zone.rank,
                          .zone_count = zone.count};
}
