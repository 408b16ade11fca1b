#include "core/topology.h"

#include "core/name.h"
#include "core/partition.h"

#include <stdlib.h>
#include <string.h>

static const char build_step[] = "build topology";

static int
upstream_compare(const void *left, const void *right)
{
    const upstream_info_t *a = left;
    const upstream_info_t *b = right;
    int order = strcmp(a->service, b->service);
    if (order == 0) {
        order = (a->group > b->group) - (a->group < b->group);
    }
    return order != 0 ? order : strcmp(a->name, b->name);
}

static int
name_compare(const void *left, const void *right, void *upstreams)
{
    const upstream_info_t *all = upstreams;
    return strcmp(all[*(const uint32_t *)left].name,
                  all[*(const uint32_t *)right].name);
}

static int
partition_compare(const void *a, const void *b)
{
    return strcmp(((const partition_t *)a)->service,
                  ((const partition_t *)b)->service);
}

static status_t
no_memory(error_t *err)
{
    return error_set(err, STATUS_NO_MEMORY, build_step, "topology",
                     "out of memory");
}

/* Builds by_name; returns STATUS_INVALID for a duplicate name. */
static status_t
topology_index_names(topology_t *topology, error_t *err)
{
    size_t count = topology->upstream_count;
    topology->by_name = calloc(count, sizeof(*topology->by_name));
    if (topology->by_name == NULL) {
        return no_memory(err);
    }
    for (size_t i = 0; i < count; i++) {
        topology->by_name[i] = (uint32_t)i;
    }
    qsort_r(topology->by_name, count, sizeof(*topology->by_name), name_compare,
            topology->upstreams);
    for (size_t i = 1; i < count; i++) {
        const char *name = topology->upstreams[topology->by_name[i]].name;
        const char *previous =
            topology->upstreams[topology->by_name[i - 1]].name;
        if (strcmp(name, previous) == 0) {
            return error_set(err, STATUS_INVALID, build_step, name,
                             "two upstreams have this name, names must be "
                             "unique");
        }
    }
    return STATUS_OK;
}

static status_t
topology_add_upstreams(topology_t *topology, const upstream_info_t *upstreams,
                       size_t count, error_t *err)
{
    if (count > UPSTREAMS_MAX) {
        return error_set(err, STATUS_TOO_LARGE, build_step, "upstreams",
                         "found %zu, the maximum is %d", count, UPSTREAMS_MAX);
    }
    if (count == 0) {
        return STATUS_OK;
    }
    topology->upstreams = calloc(count, sizeof(*topology->upstreams));
    if (topology->upstreams == NULL) {
        return no_memory(err);
    }
    memcpy(topology->upstreams, upstreams, count * sizeof(*upstreams));
    topology->upstream_count = count;
    for (size_t i = 0; i < count; i++) {
        if (!name_valid(upstreams[i].name) ||
            !name_valid(upstreams[i].service) ||
            !name_valid(upstreams[i].zone)) {
            return error_set(err, STATUS_INVALID, build_step, "upstreams",
                             "upstream %zu: name, service and zone must "
                             "each be " NAME_ALLOWED,
                             i + 1);
        }
    }
    qsort(topology->upstreams, count, sizeof(*topology->upstreams),
          upstream_compare);
    return topology_index_names(topology, err);
}

static status_t
topology_add_partition(topology_t *topology, const partition_t *from,
                       error_t *err)
{
    status_t status = partition_check(from, err);
    if (status != STATUS_OK) {
        return status;
    }
    partition_t *to = &topology->partitions[topology->partition_count];
    shard_t *shards = calloc(from->shard_count, sizeof(*shards));
    if (shards == NULL) {
        return no_memory(err);
    }
    memcpy(shards, from->shards, from->shard_count * sizeof(*shards));
    *to = *from;
    to->shards = shards;
    topology->partition_count++;
    return STATUS_OK;
}

static status_t
topology_add_partitions(topology_t *topology, const partition_t *partitions,
                        size_t count, error_t *err)
{
    if (count > PARTITIONS_MAX) {
        return error_set(err, STATUS_TOO_LARGE, build_step, "partitions",
                         "found %zu, the maximum is %d", count,
                         PARTITIONS_MAX);
    }
    if (count == 0) {
        return STATUS_OK;
    }
    topology->partitions = calloc(count, sizeof(*topology->partitions));
    if (topology->partitions == NULL) {
        return no_memory(err);
    }
    for (size_t i = 0; i < count; i++) {
        status_t status =
            topology_add_partition(topology, &partitions[i], err);
        if (status != STATUS_OK) {
            return status;
        }
    }
    qsort(topology->partitions, count, sizeof(*topology->partitions),
          partition_compare);
    for (size_t i = 1; i < count; i++) {
        const char *service = topology->partitions[i].service;
        if (strcmp(service, topology->partitions[i - 1].service) == 0) {
            return error_set(err, STATUS_INVALID, build_step, service,
                             "the service has two partitions, expected "
                             "one");
        }
    }
    return STATUS_OK;
}

status_t
topology_new(const upstream_info_t *upstreams, size_t upstream_count,
             const partition_t *partitions, size_t partition_count,
             topology_t **topology, error_t *err)
{
    *topology = NULL;
    topology_t *built = calloc(1, sizeof(*built));
    if (built == NULL) {
        return no_memory(err);
    }
    atomic_init(&built->references, 1);
    status_t status =
        topology_add_upstreams(built, upstreams, upstream_count, err);
    if (status == STATUS_OK) {
        status =
            topology_add_partitions(built, partitions, partition_count, err);
    }
    if (status != STATUS_OK) {
        topology_put(built);
        return status;
    }
    *topology = built;
    return STATUS_OK;
}

topology_t *
topology_get(topology_t *topology)
{
    atomic_fetch_add_explicit(&topology->references, 1, memory_order_relaxed);
    return topology;
}

void
topology_put(topology_t *topology)
{
    if (topology == NULL ||
        atomic_fetch_sub_explicit(&topology->references, 1,
                                  memory_order_acq_rel) > 1) {
        return;
    }
    for (size_t i = 0; i < topology->partition_count; i++) {
        free(topology->partitions[i].shards);
    }
    free(topology->partitions);
    free(topology->by_name);
    free(topology->upstreams);
    free(topology);
}

int
topology_upstream_index(const topology_t *topology, const char *name)
{
    size_t low = 0;
    size_t high = topology->upstream_count;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        uint32_t index = topology->by_name[middle];
        int order = strcmp(name, topology->upstreams[index].name);
        if (order == 0) {
            return (int)index;
        }
        if (order < 0) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return -1;
}

/*
 * Returns the index of the first upstream that does not sort before the group.
 */
static size_t
group_start(const topology_t *topology, const char *service, uint32_t group)
{
    size_t low = 0;
    size_t high = topology->upstream_count;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        const upstream_info_t *upstream = &topology->upstreams[middle];
        int order = strcmp(upstream->service, service);
        if (order < 0 || (order == 0 && upstream->group < group)) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

size_t
topology_group(const topology_t *topology, const char *service, uint16_t group,
               size_t *first)
{
    *first = group_start(topology, service, group);
    return group_start(topology, service, (uint32_t)group + 1) - *first;
}

const partition_t *
topology_partition(const topology_t *topology, const char *service)
{
    size_t low = 0;
    size_t high = topology->partition_count;
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        const partition_t *partition = &topology->partitions[middle];
        int order = strcmp(service, partition->service);
        if (order == 0) {
            return partition;
        }
        if (order < 0) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return NULL;
}
