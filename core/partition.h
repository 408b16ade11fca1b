/*
 * The check of one service's partition of the key space.
 */
#ifndef CORE_PARTITION_H
#define CORE_PARTITION_H

#include "core/topology.h"

enum {
    PARTITIONS_MAX = 256 /* services with a partition */
};

/*
 * STATUS_INVALID unless the shards, in order, cover the key space without
 * gap, overlap or empty shard, and the service's name is valid.
 */
status_t partition_check(const partition_t *partition, error_t *err);

#endif
