#include "standin/lib/plan.h"

#include <stdio.h>
#include <string.h>

static const deployment_t deployments[] = {
    {.name = "sonar",
     .zones = {"bengal-1", "bengal-2", "bengal-3"},
     .port_offset = 0,
     .services = {{.name = "scenario-desk",
                   .groups = 10,
                   .replicas = 3,
                   .slots = 6,
                   .connections = 45,
                   .connect_us = 6000,
                   .service_us = 3000},
                  {.name = "legacy-bridge",
                   .groups = 15,
                   .replicas = 3,
                   .slots = 6,
                   .connections = 45,
                   .connect_us = 6000,
                   .service_us = 4000},
                  {.name = "recon-night",
                   .groups = 1,
                   .replicas = 35,
                   .slots = 3,
                   .connections = 100,
                   .connect_us = 1000,
                   .service_us = 2000},
                  {.name = "report-mill",
                   .groups = 1,
                   .replicas = 17,
                   .slots = 3,
                   .connections = 100,
                   .connect_us = 1000,
                   .service_us = 4000}}},
    {.name = "mizukumi",
     .zones = {"south-1", "south-2", "south-3", "south-4"},
     .four_zones = true,
     .port_offset = 200,
     .services = {{.name = "ledger-desk",
                   .groups = 10,
                   .replicas = 3,
                   .slots = 4,
                   .connections = 35,
                   .connect_us = 6000,
                   .service_us = 3000},
                  {.name = "refund-line",
                   .groups = 15,
                   .replicas = 3,
                   .slots = 4,
                   .connections = 35,
                   .connect_us = 6000,
                   .service_us = 3000},
                  {.name = "kiosk-till",
                   .groups = 1,
                   .replicas = 35,
                   .slots = 2,
                   .connections = 35,
                   .connect_us = 1000,
                   .service_us = 2000},
                  {.name = "crew-dispatch",
                   .groups = 1,
                   .replicas = 17,
                   .slots = 2,
                   .connections = 35,
                   .connect_us = 1000,
                   .service_us = 2000}}},
};

const deployment_t *
plan_deployment(const char *name)
{
    for (size_t i = 0; i < sizeof(deployments) / sizeof(*deployments); i++) {
        if (strcmp(deployments[i].name, name) == 0) {
            return &deployments[i];
        }
    }
    return NULL;
}

size_t
plan_upstream_count(const deployment_t *deployment)
{
    size_t count = 0;
    for (size_t i = 0; i < PLAN_SERVICES; i++) {
        const service_plan_t *service = &deployment->services[i];
        count += (size_t)service->groups * service->replicas;
    }
    return count;
}

static void
plan_service(const deployment_t *deployment, const service_plan_t *service,
             uint16_t first_port, upstream_plan_t *out)
{
    size_t zones =
        deployment->four_zones ? PLAN_ZONES_MAX : PLAN_ZONES_MAX - 1;
    size_t count = (size_t)service->groups * service->replicas;
    for (size_t i = 0; i < count; i++) {
        size_t group = i / service->replicas;
        size_t replica = i % service->replicas;
        out[i] = (upstream_plan_t){
            .zone = deployment->zones[(group + replica) % zones],
            .service = service,
            .group = (uint16_t)group,
            .port = (uint16_t)(first_port + i)};
        (void)snprintf(out[i].name, sizeof(out[i].name), "%s-g%zu-r%zu",
                       service->name, group, replica);
    }
}

void
plan_upstreams(const deployment_t *deployment, uint16_t base_port,
               upstream_plan_t *out)
{
    size_t filled = 0;
    for (size_t i = 0; i < PLAN_SERVICES; i++) {
        const service_plan_t *service = &deployment->services[i];
        uint16_t port =
            (uint16_t)(base_port + deployment->port_offset + filled);
        plan_service(deployment, service, port, out + filled);
        filled += (size_t)service->groups * service->replicas;
    }
}

static bool
is_pool(const service_plan_t *service)
{
    return service->groups == 1;
}

static size_t
shards_per_base(uint64_t generation)
{
    return generation % 2 == 1 ? 1 : 2;
}

size_t
plan_shard_count(const service_plan_t *service, uint64_t generation)
{
    size_t base = is_pool(service) ? service->replicas : service->groups;
    return base * shards_per_base(generation);
}

shard_t
plan_shard(const service_plan_t *service, uint64_t generation, size_t index)
{
    size_t count = plan_shard_count(service, generation);
    size_t split = shards_per_base(generation);
    size_t group = is_pool(service)
                       ? 0
                       : (index / split + index % split) % service->groups;
    return (shard_t){.range = {.lo = KEY_END * index / count,
                               .hi = KEY_END * (index + 1) / count},
                     .group = (uint16_t)group};
}

bool
plan_serves(const service_plan_t *service, uint64_t generation, uint16_t group,
            key_range_t range)
{
    uint64_t served = 0;
    size_t count = plan_shard_count(service, generation);
    for (size_t i = 0; i < count; i++) {
        shard_t shard = plan_shard(service, generation, i);
        if (shard.group == group) {
            served += key_range_size(key_range_intersect(shard.range, range));
        }
    }
    return served == key_range_size(range);
}
