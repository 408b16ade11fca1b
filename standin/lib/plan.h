/*
 * What the stand-in upstreams are: the deployments, their services and the
 * partition of each service's key space.
 *
 * A grouped service has groups of replicas; each group serves the shards
 * that name it. A pool has one group, any replica of which serves any range;
 * its key space has as many shards as replicas. An odd generation has these
 * base shards; in an even one each is split in two and a grouped service's
 * upper halves belong to the next group.
 */
#ifndef STANDIN_LIB_PLAN_H
#define STANDIN_LIB_PLAN_H

#include "core/part.h"
#include "core/topology.h"

enum { PLAN_ZONES_MAX = 4, PLAN_SERVICES = 4 };

typedef struct {
    const char *name;
    uint16_t groups;
    uint16_t replicas; /* of each group */
    uint32_t slots;
    uint32_t connections;
    int64_t connect_us;
    int64_t service_us; /* median of one part */
} service_plan_t;

typedef struct {
    const char *name;
    const char *zones[PLAN_ZONES_MAX];
    bool four_zones;      /* otherwise three */
    uint16_t port_offset; /* of its first upstream */
    service_plan_t services[PLAN_SERVICES];
} deployment_t;

/* One upstream: where it stands and what it bears. */
typedef struct {
    char name[NAME_SIZE];
    const char *zone;
    const service_plan_t *service;
    uint16_t group;
    uint16_t port;
} upstream_plan_t;

/* Deployment of a name; NULL when there is none. */
const deployment_t *plan_deployment(const char *name);

/* Number of upstreams of a deployment. */
size_t plan_upstream_count(const deployment_t *deployment);

/* Fill out, which has room for plan_upstream_count. */
void plan_upstreams(const deployment_t *deployment, uint16_t base_port,
                    upstream_plan_t *out);

size_t plan_shard_count(const service_plan_t *service, uint64_t generation);

/* Shard at an index, in rising order of keys. */
shard_t plan_shard(const service_plan_t *service, uint64_t generation,
                   size_t index);

/* Whether a group serves every key of range in a generation. */
bool plan_serves(const service_plan_t *service, uint64_t generation,
                 uint16_t group, key_range_t range);

#endif
