/*
 * The layout of the stand-in upstreams: the deployments, their services and
 * the partition of each service's key space.
 *
 * A grouped service has several groups of replicas and one base shard for each
 * group. A pool has a single group, any replica of which serves any range, and
 * as many base shards as replicas. An odd partition generation consists of the
 * base shards. In an even generation each base shard is split in two, and the
 * upper halves of a grouped service belong to the next group.
 */
#ifndef STANDIN_LIB_PLAN_H
#define STANDIN_LIB_PLAN_H

#include "core/part.h"
#include "core/topology.h"

enum { PLAN_ZONES_MAX = 4, PLAN_SERVICES = 4 };

typedef struct {
    const char *name;
    uint16_t groups;
    uint16_t replicas;    /* of each group */
    uint32_t slots;       /* parts at a time, of each upstream */
    uint32_t connections; /* at a time, of each upstream */
    int64_t connect_us;   /* duration of connection setup */
    int64_t service_us;   /* median service time of a part */
} service_plan_t;

typedef struct {
    const char *name;
    const char *zones[PLAN_ZONES_MAX];
    bool four_zones;      /* false: three zones */
    uint16_t port_offset; /* of its first upstream, from the base port */
    service_plan_t services[PLAN_SERVICES];
} deployment_t;

/* One upstream: its name, location, service and port. */
typedef struct {
    char name[NAME_SIZE];
    const char *zone;
    const service_plan_t *service;
    uint16_t group;
    uint16_t port;
} upstream_plan_t;

/* Returns the deployment with this name, or NULL. */
const deployment_t *plan_deployment(const char *name);

/* Number of upstreams of a deployment. */
size_t plan_upstream_count(const deployment_t *deployment);

/*
 * Writes the deployment's upstreams to out, which has room for
 * plan_upstream_count elements. Ports are consecutive, the first is base_port
 * plus the deployment's port_offset.
 */
void plan_upstreams(const deployment_t *deployment, uint16_t base_port,
                    upstream_plan_t *out);

/* Number of shards of a service in a partition generation. */
size_t plan_shard_count(const service_plan_t *service, uint64_t generation);

/* Shard at an index, in ascending order of keys. */
shard_t plan_shard(const service_plan_t *service, uint64_t generation,
                   size_t index);

/* Whether the group serves every key of range in the generation. */
bool plan_serves(const service_plan_t *service, uint64_t generation,
                 uint16_t group, key_range_t range);

#endif
