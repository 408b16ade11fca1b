#include "core/gate_share.h"
#include "core/gate_state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* The gate's tables for a new configuration, while they are built. */
typedef struct {
    config_t *config;
    topology_t *topology;
    target_t *targets;
    uint32_t target_count;
    flow_t *flows;
    uint32_t flow_count;
    service_t *services;
    uint32_t service_count;
    uint32_t *hash;
    uint32_t hash_size;
    uint32_t *new_index; /* by old handle of a target; HEAP_NONE: dropped */
} gate_tables_t;

static uint32_t
name_bucket(const char *name, uint32_t hash_size)
{
    return (uint32_t)XXH64(name, strlen(name), 0) & (hash_size - 1);
}

static uint32_t
name_find(const target_t *targets, const uint32_t *hash, uint32_t hash_size,
          const char *name)
{
    if (hash_size == 0) {
        return HEAP_NONE;
    }
    uint32_t target = hash[name_bucket(name, hash_size)];
    while (target != HEAP_NONE && strcmp(targets[target].name, name) != 0) {
        target = targets[target].hash_next;
    }
    return target;
}

uint32_t
target_find(const gate_t *gate, const char *name)
{
    return name_find(gate->targets, gate->target_hash, gate->target_hash_size,
                     name);
}

static void
tables_free(gate_tables_t *tables)
{
    free(tables->targets);
    free(tables->flows);
    free(tables->services);
    free(tables->hash);
    free(tables->new_index);
}

static bool
tables_alloc(gate_tables_t *tables, const gate_t *gate, size_t owned_count)
{
    size_t most = gate->target_count + owned_count + 1;
    tables->hash_size = 16;
    while (tables->hash_size < most) {
        tables->hash_size *= 2;
    }
    tables->targets = calloc(most, sizeof(*tables->targets));
    tables->flows = calloc(most, sizeof(*tables->flows));
    tables->services = calloc(most, sizeof(*tables->services));
    tables->hash = malloc(tables->hash_size * sizeof(*tables->hash));
    tables->new_index = malloc(most * sizeof(*tables->new_index));
    if (tables->targets == NULL || tables->flows == NULL ||
        tables->services == NULL || tables->hash == NULL ||
        tables->new_index == NULL) {
        return false;
    }
    memset(tables->hash, 0xff, tables->hash_size * sizeof(*tables->hash));
    memset(tables->new_index, 0xff, most * sizeof(*tables->new_index));
    return true;
}

static uint32_t
tables_find_or_add_service(gate_tables_t *tables, const char *name)
{
    for (uint32_t i = tables->service_count; i > 0; i--) {
        if (strcmp(tables->services[i - 1].name, name) == 0) {
            return i - 1;
        }
    }
    service_t *service = &tables->services[tables->service_count];
    const table_row_t *row = config_row(tables->config, name);
    *service = (service_t){
        .first_flow = HEAP_NONE, .weight = 1, .eviction = HEAP_INIT};
    memcpy(service->name, name, strlen(name) + 1);
    if (row != NULL && row->weight > 0) {
        service->weight = row->weight;
    }
    return tables->service_count++;
}

static uint32_t
tables_find_or_add_flow(gate_tables_t *tables, const char *service_name,
                        const char *zone)
{
    uint32_t service = tables_find_or_add_service(tables, service_name);
    uint32_t index = tables->services[service].first_flow;
    while (index != HEAP_NONE) {
        if (strcmp(tables->flows[index].zone, zone) == 0) {
            return index;
        }
        index = tables->flows[index].next_in_service;
    }
    index = tables->flow_count++;
    flow_t *flow = &tables->flows[index];
    *flow = (flow_t){.service = service, .targets = HEAP_INIT};
    memcpy(flow->zone, zone, strlen(zone) + 1);
    flow->next_in_service = tables->services[service].first_flow;
    tables->services[service].first_flow = index;
    return index;
}

/* Adds the target's shares of its zone's and service's slots to the pools. */
static void
tables_add_shares(gate_tables_t *tables, const table_row_t *row,
                  uint32_t upstream, uint32_t flow_index)
{
    flow_t *flow = &tables->flows[flow_index];
    service_t *service = &tables->services[flow->service];
    share_rank_t rank = share_rank(tables->topology, upstream);
    uint32_t zone_slots = table_row_zone_slots(row, flow->zone);
    flow->limit += share_slots(zone_slots, rank.zone_rank, rank.zone_count);
    service->limit +=
        share_slots(row->service_slots, rank.service_rank, rank.service_count);
}

static uint32_t
at_least_one(uint32_t value)
{
    return value > 0 ? value : 1;
}

static void
target_apply_row(target_t *target, const gate_settings_t *settings,
                 const table_row_t *row)
{
    target->limits =
        (cold_limits_t){.full = row->upstream_slots,
                        .cold = at_least_one(row->cold_slots),
                        .successes = at_least_one(settings->ramp_successes),
                        .step_us = settings->ramp_step_us};
    target->held_connections = row->held_connections;
    target->max_connections = row->upstream_connections;
    target->batch_leaves_slot = row->class != CLASS_BATCH;
}

/* Adds a target with the state of old, which is NULL for a new target. */
static uint32_t
tables_add_target(gate_tables_t *tables, const char *name, const target_t *old)
{
    uint32_t index = tables->target_count++;
    target_t *target = &tables->targets[index];
    if (old != NULL) {
        *target = *old;
    }
    else {
        memset(target, 0, sizeof(*target));
        memcpy(target->name, name, strlen(name) + 1);
    }
    target->owned = false;
    target->unavailable = false;
    target->queue = (heap_t)HEAP_INIT;
    target->waiting_parts = (part_list_t){HEAP_NONE, HEAP_NONE};
    target->runnable = false;
    target->has_timer = false;
    memset(target->waiting, 0, sizeof(target->waiting));
    uint32_t bucket = name_bucket(name, tables->hash_size);
    target->hash_next = tables->hash[bucket];
    tables->hash[bucket] = index;
    return index;
}

static void
tables_add_owned(gate_tables_t *tables, const gate_t *gate, uint32_t upstream,
                 int64_t now_us)
{
    const upstream_info_t *info = &tables->topology->upstreams[upstream];
    if (name_find(tables->targets, tables->hash, tables->hash_size,
                  info->name) != HEAP_NONE) {
        return;
    }
    uint32_t old_index = target_find(gate, info->name);
    const target_t *old =
        old_index == HEAP_NONE ? NULL : &gate->targets[old_index];
    uint32_t index = tables_add_target(tables, info->name, old);
    if (old != NULL) {
        tables->new_index[old_index] = index;
    }
    target_t *target = &tables->targets[index];
    const table_row_t *row = config_row(tables->config, info->service);
    target->owned = true;
    target->unavailable = row == NULL || info->leaving ||
                          config_zone_is_out(tables->config, info->zone) ||
                          config_vm_is_out(tables->config, info->name);
    target->flow = tables_find_or_add_flow(tables, info->service, info->zone);
    if (row == NULL) {
        return;
    }
    target_apply_row(target, &gate->settings, row);
    if (old == NULL || !old->owned ||
        (old->unavailable && !target->unavailable)) {
        cold_init(&target->cold, &target->limits, now_us);
    }
    if (!target->unavailable) {
        tables_add_shares(tables, row, upstream, target->flow);
    }
}

/* Keeps targets that are no longer owned while parts run on them. */
static void
tables_keep_in_progress(gate_tables_t *tables, const gate_t *gate)
{
    for (uint32_t i = 0; i < gate->target_count; i++) {
        const target_t *old = &gate->targets[i];
        if (tables->new_index[i] != HEAP_NONE || old->in_progress == 0) {
            continue;
        }
        const flow_t *flow = &gate->flows[old->flow];
        uint32_t index = tables_add_target(tables, old->name, old);
        tables->new_index[i] = index;
        tables->targets[index].flow = tables_find_or_add_flow(
            tables, gate->services[flow->service].name, flow->zone);
    }
}

static void
tables_count_in_progress(gate_tables_t *tables)
{
    for (uint32_t i = 0; i < tables->target_count; i++) {
        const target_t *target = &tables->targets[i];
        flow_t *flow = &tables->flows[target->flow];
        flow->in_use += target->in_progress;
        tables->services[flow->service].in_use += target->in_progress;
    }
}

static bool
tables_reserve_parts(const gate_tables_t *tables, gate_t *gate)
{
    size_t count = gate->settings.queue_max * 2 + 1;
    for (uint32_t i = 0; i < tables->target_count; i++) {
        const target_t *target = &tables->targets[i];
        count += target->limits.full + target->in_progress;
    }
    return count < HEAP_NONE && parts_reserve(gate, (uint32_t)count);
}

static void
gate_install_tables(gate_t *gate, gate_tables_t *tables)
{
    free(gate->targets);
    free(gate->flows);
    free(gate->services);
    free(gate->target_hash);
    free(tables->new_index);
    gate->targets = tables->targets;
    gate->target_count = tables->target_count;
    gate->flows = tables->flows;
    gate->flow_count = tables->flow_count;
    gate->services = tables->services;
    gate->service_count = tables->service_count;
    gate->target_hash = tables->hash;
    gate->target_hash_size = tables->hash_size;
    gate->virtual_time = 0;
}

static part_status_t
part_new_refusal(const gate_tables_t *tables, uint32_t target,
                 const char *name)
{
    if (target != HEAP_NONE && tables->targets[target].owned) {
        return tables->targets[target].unavailable ? PART_GONE : PART_OK;
    }
    bool listed = tables->topology != NULL &&
                  topology_upstream_index(tables->topology, name) >= 0;
    return listed ? PART_NOT_OWNER : PART_GONE;
}

/*
 * Sets the new target handle of each part, and the refusal of each waiting or
 * held part whose target takes no more parts.
 */
static void
parts_remap(gate_t *gate, const gate_tables_t *tables)
{
    for (uint32_t i = 0; i < gate->part_count; i++) {
        gate_part_t *part = &gate->parts[i];
        if (part->state == PART_STATE_FREE || part->target == HEAP_NONE) {
            continue;
        }
        uint32_t moved = tables->new_index[part->target];
        if (part->state == PART_STATE_WAITING ||
            part->state == PART_STATE_HELD) {
            part->refusal = part_new_refusal(tables, moved,
                                             gate->targets[part->target].name);
        }
        part->target = moved;
    }
}

/* Empties the heaps, then queues, holds or refuses each waiting part. */
static void
parts_requeue(gate_t *gate, int64_t now_us)
{
    gate->expiring = gate->timers = gate->ready_flows = (heap_t)HEAP_INIT;
    gate->held = (part_list_t){HEAP_NONE, HEAP_NONE};
    gate->waiting_count = 0;
    for (uint32_t i = 0; i < gate->part_count; i++) {
        gate_part_t *part = &gate->parts[i];
        bool held = part->state == PART_STATE_HELD;
        if (!held && part->state != PART_STATE_WAITING) {
            continue;
        }
        if (part->refusal != PART_OK) {
            part->state = PART_STATE_REFUSED;
            part_list_append(gate, &gate->refused, i);
        }
        else if (held) {
            part_hold(gate, i);
        }
        else {
            part_enqueue(gate, i, now_us);
        }
    }
}

/*
 * Releases the claims of refused parts. Each release checks held parts again,
 * so it has to wait until all parts are queued.
 */
static void
parts_release_claims(gate_t *gate, int64_t now_us)
{
    for (uint32_t i = 0; i < gate->part_count; i++) {
        if (gate->parts[i].state == PART_STATE_REFUSED) {
            part_release_claim(gate, i, now_us);
        }
    }
}

static bool
tables_build(gate_tables_t *tables, gate_t *gate, const uint32_t *owned,
             size_t owned_count, int64_t now_us)
{
    bool ready = tables->config != NULL && tables->topology != NULL;
    size_t count = ready ? owned_count : 0;
    if (!tables_alloc(tables, gate, count)) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        tables_add_owned(tables, gate, owned[i], now_us);
    }
    tables_keep_in_progress(tables, gate);
    tables_count_in_progress(tables);
    return tables_reserve_parts(tables, gate);
}

void
gate_configure(gate_t *gate, config_t *config, topology_t *topology,
               const uint32_t *owned, size_t owned_count, int64_t now_us)
{
    gate_tables_t tables = {.config = config, .topology = topology};
    gate->now_us = now_us;
    gate->config_failed =
        !tables_build(&tables, gate, owned, owned_count, now_us);
    if (gate->config_failed) {
        tables_free(&tables);
        return;
    }
    parts_remap(gate, &tables);
    gate_install_tables(gate, &tables);
    parts_requeue(gate, now_us);
    parts_release_claims(gate, now_us);
    config_t *old_config = gate->config;
    topology_t *old_topology = gate->topology;
    gate->config = config == NULL ? NULL : config_get(config);
    gate->topology = topology == NULL ? NULL : topology_get(topology);
    config_put(old_config);
    topology_put(old_topology);
}
