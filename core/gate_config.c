#include "core/gate_share.h"
#include "core/gate_state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* The tables of a new configuration while they are built. */
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
    uint32_t *moved; /* new handle of each old target */
} plan_t;

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
plan_release(plan_t *plan)
{
    free(plan->targets);
    free(plan->flows);
    free(plan->services);
    free(plan->hash);
    free(plan->moved);
}

static bool
plan_reserve(plan_t *plan, const gate_t *gate, size_t owned_count)
{
    size_t most = gate->target_count + owned_count + 1;
    plan->hash_size = 16;
    while (plan->hash_size < most) {
        plan->hash_size *= 2;
    }
    plan->targets = calloc(most, sizeof(*plan->targets));
    plan->flows = calloc(most, sizeof(*plan->flows));
    plan->services = calloc(most, sizeof(*plan->services));
    plan->hash = malloc(plan->hash_size * sizeof(*plan->hash));
    plan->moved = malloc(most * sizeof(*plan->moved));
    if (plan->targets == NULL || plan->flows == NULL ||
        plan->services == NULL || plan->hash == NULL || plan->moved == NULL) {
        return false;
    }
    memset(plan->hash, 0xff, plan->hash_size * sizeof(*plan->hash));
    memset(plan->moved, 0xff, most * sizeof(*plan->moved));
    return true;
}

static uint32_t
plan_service(plan_t *plan, const char *name)
{
    for (uint32_t i = plan->service_count; i > 0; i--) {
        if (strcmp(plan->services[i - 1].name, name) == 0) {
            return i - 1;
        }
    }
    service_t *service = &plan->services[plan->service_count];
    const table_row_t *row = config_row(plan->config, name);
    *service =
        (service_t){.first_flow = HEAP_NONE, .weight = 1, .worst = HEAP_INIT};
    memcpy(service->name, name, strlen(name) + 1);
    if (row != NULL && row->weight > 0) {
        service->weight = row->weight;
    }
    return plan->service_count++;
}

static uint32_t
plan_flow(plan_t *plan, const char *service_name, const char *zone)
{
    uint32_t service = plan_service(plan, service_name);
    uint32_t index = plan->services[service].first_flow;
    while (index != HEAP_NONE) {
        if (strcmp(plan->flows[index].zone, zone) == 0) {
            return index;
        }
        index = plan->flows[index].next_in_service;
    }
    index = plan->flow_count++;
    flow_t *flow = &plan->flows[index];
    *flow = (flow_t){.service = service, .targets = HEAP_INIT};
    memcpy(flow->zone, zone, strlen(zone) + 1);
    flow->next_in_service = plan->services[service].first_flow;
    plan->services[service].first_flow = index;
    return index;
}

/* Deal the target's shares of its zone and service to this gate's pools. */
static void
plan_share(plan_t *plan, const table_row_t *row, uint32_t upstream,
           uint32_t flow_index)
{
    flow_t *flow = &plan->flows[flow_index];
    service_t *service = &plan->services[flow->service];
    share_rank_t rank = share_rank(plan->topology, upstream);
    uint32_t zone_slots = table_row_zone_slots(row, flow->zone);
    flow->limit += share_deal(zone_slots, rank.zone_rank, rank.zone_count);
    service->limit +=
        share_deal(row->service_slots, rank.service_rank, rank.service_count);
}

static uint32_t
at_least_one(uint32_t value)
{
    return value > 0 ? value : 1;
}

static void
target_set_row(target_t *target, const gate_settings_t *settings,
               const table_row_t *row)
{
    target->limits =
        (cold_limits_t){.full = row->upstream_slots,
                        .cold = at_least_one(row->cold_slots),
                        .successes = at_least_one(settings->ramp_successes),
                        .step_us = settings->ramp_step_us};
    target->hold_connections = row->held_connections;
    target->most_connections = row->upstream_connections;
    target->guests_yield = row->class != CLASS_BATCH;
}

/* Enter a target with what was known of it; old is NULL for a new one. */
static uint32_t
plan_target(plan_t *plan, const char *name, const target_t *old)
{
    uint32_t index = plan->target_count++;
    target_t *target = &plan->targets[index];
    if (old != NULL) {
        *target = *old;
    }
    else {
        memset(target, 0, sizeof(*target));
        memcpy(target->name, name, strlen(name) + 1);
    }
    target->owned = false;
    target->gone = false;
    target->queue = (heap_t)HEAP_INIT;
    target->waiting_parts = (part_list_t){HEAP_NONE, HEAP_NONE};
    target->runnable = false;
    target->timed = false;
    memset(target->waiting, 0, sizeof(target->waiting));
    uint32_t bucket = name_bucket(name, plan->hash_size);
    target->hash_next = plan->hash[bucket];
    plan->hash[bucket] = index;
    return index;
}

static void
plan_owned(plan_t *plan, const gate_t *gate, uint32_t upstream, int64_t now_us)
{
    const upstream_info_t *info = &plan->topology->upstreams[upstream];
    if (name_find(plan->targets, plan->hash, plan->hash_size, info->name) !=
        HEAP_NONE) {
        return;
    }
    uint32_t old_index = target_find(gate, info->name);
    const target_t *old =
        old_index == HEAP_NONE ? NULL : &gate->targets[old_index];
    uint32_t index = plan_target(plan, info->name, old);
    if (old != NULL) {
        plan->moved[old_index] = index;
    }
    target_t *target = &plan->targets[index];
    const table_row_t *row = config_row(plan->config, info->service);
    target->owned = true;
    target->gone = row == NULL || info->leaving ||
                   config_zone_is_out(plan->config, info->zone) ||
                   config_vm_is_out(plan->config, info->name);
    target->flow = plan_flow(plan, info->service, info->zone);
    if (row == NULL) {
        return;
    }
    target_set_row(target, &gate->settings, row);
    if (old == NULL || !old->owned || (old->gone && !target->gone)) {
        cold_init(&target->cold, &target->limits, now_us);
    }
    if (!target->gone) {
        plan_share(plan, row, upstream, target->flow);
    }
}

/* Targets no longer owned stay while parts are in progress there. */
static void
plan_former(plan_t *plan, const gate_t *gate)
{
    for (uint32_t i = 0; i < gate->target_count; i++) {
        const target_t *old = &gate->targets[i];
        if (plan->moved[i] != HEAP_NONE || old->in_progress == 0) {
            continue;
        }
        const flow_t *flow = &gate->flows[old->flow];
        uint32_t index = plan_target(plan, old->name, old);
        plan->moved[i] = index;
        plan->targets[index].flow =
            plan_flow(plan, gate->services[flow->service].name, flow->zone);
    }
}

static void
plan_count(plan_t *plan)
{
    for (uint32_t i = 0; i < plan->target_count; i++) {
        const target_t *target = &plan->targets[i];
        flow_t *flow = &plan->flows[target->flow];
        flow->in_use += target->in_progress;
        plan->services[flow->service].in_use += target->in_progress;
    }
}

static bool
plan_parts(const plan_t *plan, gate_t *gate)
{
    size_t count = gate->settings.queue_max * 2 + 1;
    for (uint32_t i = 0; i < plan->target_count; i++) {
        const target_t *target = &plan->targets[i];
        count += target->limits.full + target->in_progress;
    }
    return count < HEAP_NONE && parts_reserve(gate, (uint32_t)count);
}

static void
gate_adopt(gate_t *gate, plan_t *plan)
{
    free(gate->targets);
    free(gate->flows);
    free(gate->services);
    free(gate->target_hash);
    free(plan->moved);
    gate->targets = plan->targets;
    gate->target_count = plan->target_count;
    gate->flows = plan->flows;
    gate->flow_count = plan->flow_count;
    gate->services = plan->services;
    gate->service_count = plan->service_count;
    gate->target_hash = plan->hash;
    gate->target_hash_size = plan->hash_size;
    gate->turn = 0;
}

static part_status_t
part_new_refusal(const plan_t *plan, uint32_t target, const char *name)
{
    if (target != HEAP_NONE && plan->targets[target].owned) {
        return plan->targets[target].gone ? PART_GONE : PART_OK;
    }
    bool listed = plan->topology != NULL &&
                  topology_upstream_index(plan->topology, name) >= 0;
    return listed ? PART_NOT_OWNER : PART_GONE;
}

/*
 * Give each part its new target; those whose target takes nothing more are
 * marked with their refusal.
 */
static void
parts_move(gate_t *gate, const plan_t *plan)
{
    for (uint32_t i = 0; i < gate->part_count; i++) {
        gate_part_t *part = &gate->parts[i];
        if (part->state == PART_STATE_FREE || part->target == HEAP_NONE) {
            continue;
        }
        uint32_t moved = plan->moved[part->target];
        if (part->state == PART_STATE_WAITING ||
            part->state == PART_STATE_HELD) {
            part->refusal = part_new_refusal(plan, moved,
                                             gate->targets[part->target].name);
        }
        part->target = moved;
    }
}

/* Put the waiting parts back into the emptied heaps, or refuse them. */
static void
parts_requeue(gate_t *gate, int64_t now_us)
{
    gate->give_up = gate->timers = gate->open = (heap_t)HEAP_INIT;
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
            list_append(gate, &gate->refused, i);
        }
        else if (held) {
            part_hold(gate, i);
        }
        else {
            part_queue(gate, i, now_us);
        }
    }
}

/* Suspects among the refused give up their claim, now that all is in place. */
static void
parts_release(gate_t *gate, int64_t now_us)
{
    for (uint32_t i = 0; i < gate->part_count; i++) {
        if (gate->parts[i].state == PART_STATE_REFUSED) {
            part_release(gate, i, now_us);
        }
    }
}

static bool
plan_build(plan_t *plan, gate_t *gate, const uint32_t *owned,
           size_t owned_count, int64_t now_us)
{
    bool ready = plan->config != NULL && plan->topology != NULL;
    size_t count = ready ? owned_count : 0;
    if (!plan_reserve(plan, gate, count)) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        plan_owned(plan, gate, owned[i], now_us);
    }
    plan_former(plan, gate);
    plan_count(plan);
    return plan_parts(plan, gate);
}

void
gate_configure(gate_t *gate, config_t *config, topology_t *topology,
               const uint32_t *owned, size_t owned_count, int64_t now_us)
{
    plan_t plan = {.config = config, .topology = topology};
    gate->now_us = now_us;
    gate->closed = !plan_build(&plan, gate, owned, owned_count, now_us);
    if (gate->closed) {
        plan_release(&plan);
        return;
    }
    parts_move(gate, &plan);
    gate_adopt(gate, &plan);
    parts_requeue(gate, now_us);
    parts_release(gate, now_us);
    config_t *old_config = gate->config;
    topology_t *old_topology = gate->topology;
    gate->config = config == NULL ? NULL : config_get(config);
    gate->topology = topology == NULL ? NULL : topology_get(topology);
    config_put(old_config);
    topology_put(old_topology);
}
