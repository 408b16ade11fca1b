/*
 * What stands behind the tier: upstreams from the platform's VM list and the
 * partition of each service's key space.
 *
 * A topology_t is built once, never changed afterwards and shared by
 * reference count, like config_t. Upstreams are sorted by service, group and
 * name; an upstream is named in memory by its index, a handle that holds for
 * this topology_t only.
 */
#ifndef CORE_TOPOLOGY_H
#define CORE_TOPOLOGY_H

#include "core/part.h"
#include "core/status.h"

#include <stdatomic.h>

enum {
    ADDRESS_SIZE = 48, /* text of an IP address */
    SHARDS_MAX = 4096, /* shards of one service */
    UPSTREAMS_MAX = 16384
};

typedef struct {
    char name[NAME_SIZE];
    char service[NAME_SIZE];
    char zone[NAME_SIZE];
    char address[ADDRESS_SIZE];
    uint16_t port;
    uint16_t group; /* replicas of the same shards share it */
    bool leaving;
} upstream_info_t;

typedef struct {
    key_range_t range;
    uint16_t group;
} shard_t;

typedef struct {
    char service[NAME_SIZE];
    uint64_t generation;
    shard_t *shards; /* sorted, covering the key space without overlap */
    size_t shard_count;
} partition_t;

typedef struct {
    atomic_uint references;
    upstream_info_t *upstreams;
    size_t upstream_count;
    uint32_t *by_name;       /* upstream indexes sorted by name */
    partition_t *partitions; /* sorted by service */
    size_t partition_count;
} topology_t;

/*
 * Build from copies of upstreams and partitions, in any order. Doubled names,
 * gaps and overlaps are STATUS_INVALID.
 */
status_t topology_new(const upstream_info_t *upstreams, size_t upstream_count,
                      const partition_t *partitions, size_t partition_count,
                      topology_t **topology, error_t *err);

topology_t *topology_get(topology_t *topology);
void topology_put(topology_t *topology); /* frees at no reference; NULL ok */

/* Index of an upstream by name; -1 when there is none. */
int topology_upstream_index(const topology_t *topology, const char *name);

/* Upstreams of one group: first index in *first, returns how many. */
size_t topology_group(const topology_t *topology, const char *service,
                      uint16_t group, size_t *first);

/* Partition of a service; NULL when none is known. */
const partition_t *topology_partition(const topology_t *topology,
                                      const char *service);

/* Parse the platform's VM list; *upstreams is freed by the caller. */
status_t vmlist_parse(const char *text, size_t size,
                      upstream_info_t **upstreams, size_t *count,
                      error_t *err);

/*
 * Parse a published partition of service; partition->shards is freed by the
 * caller.
 */
status_t partition_parse(const char *service, const char *text, size_t size,
                         partition_t *partition, error_t *err);

#endif
