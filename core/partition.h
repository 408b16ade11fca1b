/*
 * Checks the partition of one service's key space into shards.
 */
#ifndef CORE_PARTITION_H
#define CORE_PARTITION_H

#include "core/topology.h"

enum {
    PARTITIONS_MAX = 256 /* services with a partition */
};

/*
 * Returns STATUS_INVALID unless the service's name is valid and the shards, in
 * the order of the array, cover the key space without a gap, an overlap or an
 * empty shard.
 */
status_t partition_check(const partition_t *partition, error_t *err);

#endif
