#include "core/replica.h"

#include <stdlib.h>
#include <string.h>

enum {
    HELD_FRESH_MS = 100,    /* reported versions may be outdated after this */
    AVOID_US = 200000,      /* after a refused or lost part, by default */
    DECAY_SAMPLES = 4096,   /* replies until a service's counts are halved */
    HEDGE_SAMPLES_MIN = 20, /* replies until quantiles are used */
    REFRESH_EACH_MAX = 64,  /* up to here each reply updates the quantiles */
    REFRESH_EVERY = 8,      /* replies between updates after that */
    HEDGE_DELAY_MIN_US = 1000,
    UNKNOWN_MEDIAN_US = 3000,   /* median assumed with too few replies */
    AVOID_PENALTY_US = 10000000 /* above the cost of any replica not avoided */
};

/* A hedge is sent when this share of the replies would have arrived. */
static const double hedge_quantile = 0.95;

void
replica_table_init(replica_table_t *table)
{
    *table = (replica_table_t){0};
}

void
replica_table_release(replica_table_t *table)
{
    free(table->replicas);
    free(table->services);
    topology_put(table->topology);
    replica_table_init(table);
}

bool
replica_table_set_topology(replica_table_t *table, topology_t *topology)
{
    size_t count = topology->upstream_count;
    replica_t *replicas = calloc(count > 0 ? count : 1, sizeof(*replicas));
    if (table->services == NULL) {
        table->services =
            calloc(REPLICA_SERVICES_MAX, sizeof(*table->services));
    }
    if (replicas == NULL || table->services == NULL) {
        free(replicas);
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        int old = table->topology == NULL
                      ? -1
                      : topology_upstream_index(table->topology,
                                                topology->upstreams[i].name);
        if (old >= 0) {
            replicas[i] = table->replicas[old];
        }
    }
    free(table->replicas);
    topology_put(table->topology);
    table->topology = topology_get(topology);
    table->replicas = replicas;
    return true;
}

static bool
status_avoids_replica(part_status_t status)
{
    return status == PART_SHED || status == PART_COLD || status == PART_LOST ||
           status == PART_BAD_REPLY || status == PART_LIMITED;
}

/* Returns NULL for a service without a recorded reply. */
static replica_service_t *
find_service(const replica_table_t *table, const char *service)
{
    for (size_t i = 0; i < table->service_count; i++) {
        if (strcmp(table->services[i].service, service) == 0) {
            return &table->services[i];
        }
    }
    return NULL;
}

static void
service_record_latency(replica_table_t *table, const char *name,
                       int64_t latency_us)
{
    replica_service_t *service = find_service(table, name);
    if (service == NULL && table->service_count < REPLICA_SERVICES_MAX) {
        service = &table->services[table->service_count++];
        memcpy(service->service, name, NAME_SIZE);
        hist_init(&service->latency);
    }
    if (service == NULL) {
        return;
    }
    hist_add(&service->latency, latency_us);
    if (service->latency.count >= DECAY_SAMPLES) {
        hist_decay(&service->latency);
    }
}

/* Caches the quantiles, because every choice between replicas reads them. */
static void
replica_add_latency(replica_t *replica, int64_t latency_us)
{
    latency_t *latency = &replica->latency;
    latency_add(latency, latency_us);
    if (latency->count < HEDGE_SAMPLES_MIN ||
        (latency->count > REFRESH_EACH_MAX &&
         latency->count % REFRESH_EVERY > 0)) {
        return;
    }
    replica->median_us = (uint32_t)latency_quantile(latency, 0.5);
    replica->tail_us = (uint32_t)latency_quantile(latency, hedge_quantile);
}

static uint32_t
milliseconds(int64_t time_us)
{
    return (uint32_t)(time_us / 1000);
}

void
replica_table_record_reply(replica_table_t *table, uint32_t upstream,
                           const part_reply_t *reply, int64_t latency_us,
                           int64_t now_us)
{
    replica_t *replica = &table->replicas[upstream];
    if (reply->status == PART_OK) {
        replica_add_latency(replica, latency_us);
        service_record_latency(
            table, table->topology->upstreams[upstream].service, latency_us);
    }
    if (reply->status == PART_OK || reply->status == PART_NO_VERSION) {
        memcpy(replica->held, reply->held, sizeof(replica->held));
        replica->held_at_ms = milliseconds(now_us);
    }
    if (status_avoids_replica(reply->status)) {
        int64_t wait =
            reply->retry_after_us > 0 ? reply->retry_after_us : AVOID_US;
        replica->avoid_until_us = now_us + wait;
    }
}

bool
replica_may_hold_version(const replica_t *replica, uint64_t version)
{
    if (replica->held[0] == 0 || version == 0) {
        return true;
    }
    for (size_t i = 0; i < PART_HELD_MAX; i++) {
        if (replica->held[i] == version) {
            return true;
        }
    }
    return false;
}

bool
replica_may_hold_version_now(const replica_t *replica, uint64_t version,
                             int64_t now_us)
{
    bool newer = version > replica->held[0];
    uint32_t age_ms = milliseconds(now_us) - replica->held_at_ms;
    return replica_may_hold_version(replica, version) ||
           (newer && age_ms >= HELD_FRESH_MS);
}

int64_t
replica_hedge_delay_us(const replica_table_t *table, uint32_t upstream,
                       int64_t fallback_us)
{
    const char *name = table->topology->upstreams[upstream].service;
    const replica_service_t *service = find_service(table, name);
    int64_t delay = table->replicas[upstream].tail_us;
    if (delay == 0 && service != NULL &&
        service->latency.count >= HEDGE_SAMPLES_MIN) {
        delay = hist_quantile(&service->latency, hedge_quantile);
    }
    if (delay == 0) {
        return fallback_us;
    }
    return delay > HEDGE_DELAY_MIN_US ? delay : HEDGE_DELAY_MIN_US;
}

uint64_t
replica_cost(const replica_t *replica, uint64_t seed, int64_t now_us)
{
    uint64_t median =
        replica->median_us == 0 ? UNKNOWN_MEDIAN_US : replica->median_us;
    uint64_t cost = median * (1 + replica->in_progress);
    if (replica->avoid_until_us > now_us) {
        cost += AVOID_PENALTY_US;
    }
    /* Add up to a quarter, to spread requests over equal replicas. */
    return cost + (cost / 4) * (seed % 1024) / 1024;
}
