#include "core/plan.h"

#include <stdlib.h>
#include <xxhash.h>

/*
 * Added to the cost of a replica if its owner is silent, and also if it did
 * not report the version. Above any cost that replica_cost returns, so that
 * such replicas are the last resort.
 */
#define LAST_RESORT_COST (UINT64_C(1) << 60)

enum {
    VERSION_CANDIDATES_MAX = 16, /* versions compared to find the one to pin */
    TRIED_BITS = 64              /* of piece->tried */
};

size_t
plan_split(const partition_t *partition, key_range_t range, piece_t **pieces)
{
    *pieces = calloc(partition->shard_count + 1, sizeof(**pieces));
    if (*pieces == NULL) {
        return 0;
    }
    size_t count = 0;
    for (size_t i = 0; i < partition->shard_count; i++) {
        const shard_t *shard = &partition->shards[i];
        key_range_t part = key_range_intersect(shard->range, range);
        if (key_range_size(part) == 0) {
            continue;
        }
        (*pieces)[count++] = (piece_t){
            .range = part,
            .group = shard->group,
            .hedge_at_us = INT64_MAX,
        };
    }
    return count;
}

typedef struct {
    uint64_t versions[VERSION_CANDIDATES_MAX];
    size_t count;
} version_list_t;

static void
version_list_add(version_list_t *list, uint64_t version)
{
    if (version == 0) {
        return;
    }
    for (size_t i = 0; i < list->count; i++) {
        if (list->versions[i] == version) {
            return;
        }
    }
    if (list->count < VERSION_CANDIDATES_MAX) {
        list->versions[list->count++] = version;
    }
}

static void
collect_versions(const replica_table_t *replicas, const char *service,
                 uint16_t group, version_list_t *list)
{
    size_t first;
    size_t size = topology_group(replicas->topology, service, group, &first);
    for (size_t i = first; i < first + size; i++) {
        for (size_t v = 0; v < PART_HELD_MAX; v++) {
            version_list_add(list, replicas->replicas[i].held[v]);
        }
    }
}

static bool
group_may_hold(const replica_table_t *replicas, const char *service,
               uint16_t group, uint64_t version)
{
    size_t first;
    size_t size = topology_group(replicas->topology, service, group, &first);
    for (size_t i = first; i < first + size; i++) {
        if (replica_may_hold_version(&replicas->replicas[i], version)) {
            return true;
        }
    }
    return false;
}

/* Adjacent pieces of one group share the result of one lookup. */
static size_t
count_answerable_pieces(const replica_table_t *replicas, const char *service,
                        const piece_t *pieces, size_t piece_count,
                        uint64_t version)
{
    size_t possible = 0;
    bool may_hold = false;
    for (size_t i = 0; i < piece_count; i++) {
        if (i == 0 || pieces[i].group != pieces[i - 1].group) {
            may_hold =
                group_may_hold(replicas, service, pieces[i].group, version);
        }
        possible += may_hold ? 1 : 0;
    }
    return possible;
}

uint64_t
plan_select_version(const replica_table_t *replicas, const char *service,
                    const piece_t *pieces, size_t piece_count)
{
    version_list_t list = {.count = 0};
    for (size_t i = 0; i < piece_count; i++) {
        if (i == 0 || pieces[i].group != pieces[i - 1].group) {
            collect_versions(replicas, service, pieces[i].group, &list);
        }
    }
    uint64_t best = 0;
    size_t best_possible = 0;
    for (size_t i = 0; i < list.count; i++) {
        size_t possible = count_answerable_pieces(
            replicas, service, pieces, piece_count, list.versions[i]);
        if (possible > best_possible ||
            (possible == best_possible && list.versions[i] > best)) {
            best = list.versions[i];
            best_possible = possible;
        }
    }
    return best;
}

bool
plan_upstream_usable(const config_t *config, const upstream_info_t *upstream)
{
    return !upstream->leaving && !config_zone_is_out(config, upstream->zone) &&
           !config_vm_is_out(config, upstream->name);
}

/*
 * In a group of more than 64 replicas, positions share bits; some replicas
 * then count as tried before they were.
 */
uint64_t
plan_position_bit(size_t position)
{
    return UINT64_C(1) << (position % TRIED_BITS);
}

static bool
replica_is_eligible(const plan_criteria_t *criteria, size_t index,
                    int64_t now_us)
{
    const replica_t *replica = &criteria->replicas->replicas[index];
    const upstream_info_t *upstream =
        &criteria->replicas->topology->upstreams[index];
    if (!plan_upstream_usable(criteria->config, upstream)) {
        return false;
    }
    if (criteria->hedge && replica->avoid_until_us > now_us) {
        return false;
    }
    return replica_may_hold_version_now(replica, criteria->version, now_us);
}

/* Cost of a replica, LAST_RESORT_COST included; lower is better. */
static uint64_t
selection_cost(const plan_criteria_t *criteria, size_t index, uint64_t spread,
               int64_t now_us)
{
    const replica_t *replica = &criteria->replicas->replicas[index];
    uint64_t cost =
        criteria->random ? spread >> 8 : replica_cost(replica, spread, now_us);
    if (!replica_may_hold_version(replica, criteria->version)) {
        cost += LAST_RESORT_COST;
    }
    if (criteria->owner_silent != NULL && criteria->owner_silent[index]) {
        cost += LAST_RESORT_COST;
    }
    return cost;
}

uint32_t
plan_select_replica(const plan_criteria_t *criteria, const piece_t *piece,
                    size_t *position, int64_t now_us)
{
    size_t first;
    size_t size = topology_group(criteria->replicas->topology,
                                 criteria->service, piece->group, &first);
    uint32_t best = PLAN_NO_UPSTREAM;
    uint64_t best_cost = UINT64_MAX;
    for (size_t i = 0; i < size; i++) {
        if ((piece->tried & plan_position_bit(i)) != 0 ||
            !replica_is_eligible(criteria, first + i, now_us)) {
            continue;
        }
        uint64_t spread = XXH64(&i, sizeof(i), criteria->seed);
        uint64_t cost = selection_cost(criteria, first + i, spread, now_us);
        if (cost < best_cost) {
            best_cost = cost;
            best = (uint32_t)(first + i);
            *position = i;
        }
    }
    return best;
}

bool
plan_version_available(const plan_criteria_t *criteria, const piece_t *piece,
                       int64_t now_us)
{
    size_t first;
    size_t size = topology_group(criteria->replicas->topology,
                                 criteria->service, piece->group, &first);
    for (size_t i = first; i < first + size; i++) {
        if (replica_is_eligible(criteria, i, now_us)) {
            return true;
        }
    }
    return false;
}
