/*
 * The upstreams, from the platform's VM list, and the partition of each
 * service's key space into shards.
 *
 * A topology_t is immutable and shared by reference count, like config_t.
 * Upstreams are sorted by service, group and name. Other code refers to an
 * upstream by its index, which is valid for this topology_t only.
 */
#ifndef CORE_TOPOLOGY_H
#define CORE_TOPOLOGY_H

#include "core/part.h"
#include "core/status.h"

#include <stdatomic.h>

enum {
    ADDRESS_SIZE = 48, /* bytes of an IP address as text, with its NUL */
    SHARDS_MAX = 4096, /* shards of one service */
    UPSTREAMS_MAX = 16384
};

typedef struct {
    char name[NAME_SIZE];
    char service[NAME_SIZE];
    char zone[NAME_SIZE];
    char address[ADDRESS_SIZE];
    uint16_t port;
    uint16_t group; /* shared by the replicas of the same shards */
    bool leaving;   /* listed as leaving: gets no new parts */
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
 * Builds a topology from copies of upstreams and partitions, which may be in
 * any order. On STATUS_OK the caller owns one reference to *topology;
 * otherwise *topology is NULL. Errors: STATUS_INVALID for invalid or duplicate
 * names and for gaps or overlaps between shards, STATUS_TOO_LARGE and
 * STATUS_NO_MEMORY.
 */
status_t topology_new(const upstream_info_t *upstreams, size_t upstream_count,
                      const partition_t *partitions, size_t partition_count,
                      topology_t **topology, error_t *err);

/* Takes a reference; returns topology. */
topology_t *topology_get(topology_t *topology);

/* Drops a reference and frees topology with the last; topology may be NULL. */
void topology_put(topology_t *topology);

/* Returns the index of the upstream of that name, or -1 if there is none. */
int topology_upstream_index(const topology_t *topology, const char *name);

/*
 * Returns the number of upstreams in a service's group and the index of the
 * first in *first. The others follow it.
 */
size_t topology_group(const topology_t *topology, const char *service,
                      uint16_t group, size_t *first);

/*
 * Returns the partition of a service, valid as long as topology, or NULL if
 * the service has none.
 */
const partition_t *topology_partition(const topology_t *topology,
                                      const char *service);

/*
 * Parses the platform's VM list. On STATUS_OK the caller frees *upstreams;
 * otherwise it is NULL. Skips VMs of the role "entry" and ignores unknown
 * keys, which later versions of the list may have. Errors: STATUS_INVALID,
 * STATUS_TOO_LARGE and STATUS_NO_MEMORY.
 */
status_t vmlist_parse(const char *text, size_t size,
                      upstream_info_t **upstreams, size_t *count,
                      error_t *err);

/*
 * Parses the published partition of a service; its shards may be in any order.
 * On STATUS_OK the caller frees partition->shards; otherwise *partition is
 * zeroed. Errors: STATUS_INVALID, STATUS_TOO_LARGE and STATUS_NO_MEMORY.
 */
status_t partition_parse(const char *service, const char *text, size_t size,
                         partition_t *partition, error_t *err);

#endif
