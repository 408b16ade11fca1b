#include "t/scenario/sim.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum { PUBLISH_SPREAD_US = 50000 };

static void
set_up_row(const step_t *step, sim_service_t *service)
{
    table_row_t *row = &service->row;
    *row = (table_row_t){
        .class = class_parse(step_text(step, "class", "desk")),
        .weight = 10,
        .deadline_ms = (uint32_t)step_int(step, "deadline_ms", 300),
        .upstream_slots = (uint32_t)step_int(step, "upstream_slots", 4),
        .upstream_connections = 64,
        .held_connections = 4,
        .cold_slots = (uint32_t)step_int(step, "cold_slots", 1),
        .zone_slots = (uint32_t)step_int(step, "zone_slots", 100),
        .service_slots = (uint32_t)step_int(step, "service_slots", 200),
        .tenant_slots = 1000,
        .added_load_percent =
            (uint32_t)step_int(step, "added_load_percent", 5),
    };
    if (row->held_connections > row->upstream_connections) {
        row->held_connections = row->upstream_connections;
    }
    memcpy(row->service, service->name, NAME_SIZE);
}

static void
set_up_upstreams(sim_t *sim, const sim_service_t *service, int64_t groups,
                 int64_t replicas)
{
    for (int64_t i = 0; i < groups * replicas; i++) {
        if (sim->upstream_count == SIM_UPSTREAMS_MAX) {
            sim_fail(sim, "more than %d upstreams", SIM_UPSTREAMS_MAX);
            return;
        }
        sim_upstream_t *upstream = &sim->upstreams[sim->upstream_count++];
        int64_t group = replicas > 0 ? i / replicas : 0;
        int64_t replica = replicas > 0 ? i % replicas : 0;
        *upstream = (sim_upstream_t){
            .slots = service->row.upstream_slots,
            .cold_slots = service->row.cold_slots,
            .boot = 1,
            .version = 10,
            .held_versions = 2,
            .generation = service->generation,
            .latency_us = service->latency_us,
            .straggle_factor = 10,
            .info = {.port = 1, .group = (uint16_t)group},
        };
        char name[NAME_SIZE];
        snprintf(name, NAME_SIZE, "%.15s-g%u-r%u", service->name,
                 (uint8_t)group, (uint8_t)replica);
        memcpy(upstream->info.name, name, NAME_SIZE);
        snprintf(upstream->info.zone, NAME_SIZE, "z%zu",
                 (size_t)(group + replica) %
                         (service->zones + (service->zones == 0)) +
                     1);
        snprintf(upstream->info.address, ADDRESS_SIZE, "127.0.0.1");
        memcpy(upstream->info.service, service->name, NAME_SIZE);
    }
}

/* Split the key space evenly; assign shards to groups in turn. */
static void
split_key_space(partition_t *partition, uint32_t count, size_t groups)
{
    free(partition->shards);
    partition->shards = sim_alloc(count * sizeof(*partition->shards));
    partition->shard_count = count;
    for (uint32_t i = 0; i < count; i++) {
        partition->shards[i] = (shard_t){
            .range = {.lo = KEY_END * i / count,
                      .hi = KEY_END * (i + 1) / count},
            .group = (uint16_t)(i % (groups > 0 ? groups : 1)),
        };
    }
}

static size_t
count_groups(const sim_t *sim, const char *service)
{
    size_t groups = 0;
    for (size_t i = 0; i < sim->upstream_count; i++) {
        const upstream_info_t *info = &sim->upstreams[i].info;
        if (strcmp(info->service, service) == 0 && info->group >= groups) {
            groups = info->group + 1U;
        }
    }
    return groups;
}

static void
set_up_service(sim_t *sim, const step_t *step)
{
    int64_t groups = step_int(step, "groups", 2);
    groups = groups < 1 ? 1 : groups;
    if (sim->service_count == SIM_SERVICES_MAX) {
        sim_fail(sim, "more than %d services", SIM_SERVICES_MAX);
        return;
    }
    size_t index = sim->service_count++;
    sim_service_t *service = &sim->services[index];
    snprintf(service->name, NAME_SIZE, "%.15s",
             step_text(step, "name", "desk"));
    service->zones = (size_t)step_int(step, "zones", 3);
    service->generation = 1;
    service->latency_us = step_int(step, "latency_us", 4000);
    set_up_row(step, service);
    set_up_upstreams(sim, service, groups, step_int(step, "replicas", 3));
    partition_t *partition = &sim->partitions[index];
    memcpy(partition->service, service->name, NAME_SIZE);
    partition->generation = service->generation;
    split_key_space(partition, (uint32_t)step_int(step, "shards", 4),
                    (size_t)groups);
}

/* Publish the present topology; daemons learn it after lag_us or more. */
void
sim_publish_topology(sim_t *sim, int64_t lag_us)
{
    error_t err = ERROR_INIT;
    upstream_info_t *infos =
        sim_alloc((sim->upstream_count + 1) * sizeof(*infos));
    topology_t *topology = NULL;
    for (size_t i = 0; i < sim->upstream_count; i++) {
        infos[i] = sim->upstreams[i].info;
    }
    status_t status = topology_new(infos, sim->upstream_count, sim->partitions,
                                   sim->service_count, &topology, &err);
    free(infos);
    if (status != STATUS_OK) {
        sim_fail(sim, "%s", error_text(&err));
        return;
    }
    topology_put(sim->topology);
    sim->topology = topology;
    sim->publications++;
    for (size_t i = 0; i < sim->node_count; i++) {
        int64_t at_us =
            sim->now_us + lag_us + (int64_t)sim_random(sim, PUBLISH_SPREAD_US);
        if (sim->nodes[i].alive) {
            sim_event_t *event = sim_push(sim, EVENT_TOPOLOGY, at_us, i);
            event->item = topology_get(topology);
            event->index = sim->publications;
        }
    }
}

void
sim_set_up_services(sim_t *sim)
{
    step_t standard = {.kind = STEP_SERVICE};
    for (size_t i = 0; i < sim->script->count; i++) {
        if (sim->script->steps[i].kind == STEP_SERVICE) {
            set_up_service(sim, &sim->script->steps[i]);
        }
    }
    if (sim->service_count == 0) {
        set_up_service(sim, &standard);
    }
    sim_publish_topology(sim, 0);
}

static bool
step_selects_upstream(const step_t *step, const sim_upstream_t *upstream)
{
    const upstream_info_t *info = &upstream->info;
    return (!step_has_field(step, "name") ||
            strcmp(step_text(step, "name", ""), info->name) == 0) &&
           (!step_has_field(step, "service") ||
            strcmp(step_text(step, "service", ""), info->service) == 0) &&
           (!step_has_field(step, "zone") ||
            strcmp(step_text(step, "zone", ""), info->zone) == 0) &&
           (!step_has_field(step, "group") ||
            step_int(step, "group", 0) == info->group);
}

static void
set_upstream(sim_t *sim, const step_t *step, sim_upstream_t *upstream)
{
    upstream->latency_us = step_int(step, "latency_us", upstream->latency_us);
    upstream->straggle_permille =
        step_int(step, "straggle_permille", upstream->straggle_permille);
    upstream->straggle_factor =
        step_int(step, "straggle_factor", upstream->straggle_factor);
    upstream->shed = step_int(step, "shed", upstream->shed) != 0;
    upstream->down = step_int(step, "down", upstream->down) != 0;
    upstream->version =
        (uint64_t)step_int(step, "version", (int64_t)upstream->version);
    upstream->held_versions =
        (uint32_t)step_int(step, "held", upstream->held_versions);
    upstream->generation =
        (uint64_t)step_int(step, "generation", (int64_t)upstream->generation);
    upstream->lose_permille =
        step_int(step, "lose_permille", upstream->lose_permille);
    upstream->truncate_permille =
        step_int(step, "truncate_permille", upstream->truncate_permille);
    upstream->mismatch_permille =
        step_int(step, "mismatch_permille", upstream->mismatch_permille);
    upstream->duplicate_permille =
        step_int(step, "double_permille", upstream->duplicate_permille);
    if (step_int(step, "crash", 0) != 0) {
        sim_upstream_crash(sim, upstream);
    }
    if (step_int(step, "cold", 0) != 0) {
        sim_upstream_set_cold(upstream);
    }
}

static void
apply_upstream(sim_t *sim, const step_t *step)
{
    int64_t left = step_int(step, "count", SIM_UPSTREAMS_MAX);
    size_t set = 0;
    for (size_t i = 0; i < sim->upstream_count && left > 0; i++) {
        if (step_selects_upstream(step, &sim->upstreams[i])) {
            set_upstream(sim, step, &sim->upstreams[i]);
            left--;
            set++;
        }
    }
    sim_log(sim, "%zu upstreams changed", set);
    if (set == 0) {
        sim_fail(sim, "%s:%zu: no upstream matches the step",
                 sim->script->name, step->line);
    }
}

static void
apply_split(sim_t *sim, const step_t *step)
{
    const char *name = step_text(step, "service", sim->services[0].name);
    sim_service_t *service = sim_find_service(sim, name);
    if (service == NULL) {
        sim_fail(sim, "%s:%zu: unknown service", sim->script->name,
                 step->line);
        return;
    }
    partition_t *partition = &sim->partitions[service - sim->services];
    partition->generation = ++service->generation;
    split_key_space(partition, (uint32_t)step_int(step, "shards", 8),
                    count_groups(sim, name));
    for (size_t i = 0; i < sim->upstream_count; i++) {
        if (strcmp(sim->upstreams[i].info.service, name) == 0) {
            sim->upstreams[i].generation = service->generation;
        }
    }
    sim_log(sim, "%s is split into %zu shards, generation %" PRIu64, name,
            partition->shard_count, service->generation);
    sim_publish_topology(sim, step_int(step, "lag_ms", 20) * SIM_MS);
}

/* The platform sets the states leaving and live; operators the others. */
static void
apply_vm(sim_t *sim, const step_t *step)
{
    const char *state = step_text(step, "state", "leaving");
    bool leaving = strcmp(state, "leaving") == 0;
    if (!leaving && strcmp(state, "live") != 0) {
        sim_change_start(sim, step);
        return;
    }
    int64_t lag_us = step_int(step, "lag_ms", 200) * SIM_MS;
    for (size_t i = 0; i < sim->upstream_count; i++) {
        sim_upstream_t *upstream = &sim->upstreams[i];
        if (strcmp(upstream->info.name, step_text(step, "name", "")) == 0) {
            upstream->info.leaving = leaving;
            upstream->leaving_published_us =
                leaving ? sim->now_us + lag_us : 0;
            sim_log(sim, "%s is %s", upstream->info.name, state);
        }
    }
    sim_publish_topology(sim, lag_us);
}

static void
apply_store(sim_t *sim, const step_t *step)
{
    const char *state = step_text(step, "state", "ok");
    kv_fault_t fault = kv_fault_parse(state);
    sim->store_disturbed_us = sim->now_us;
    if (strcmp(state, "set_back") == 0) {
        sim_log(sim, "the store is rolled back to the previous configuration");
        sim_store_roll_back(sim);
        return;
    }
    if (fault == KV_FAULT_COUNT) {
        sim_fail(sim,
                 "%s:%zu: store: found '%s', expected ok, down, slow, "
                 "lost_reply, stale or set_back",
                 sim->script->name, step->line, state);
        return;
    }
    sim->store_fault = fault;
    sim_log(sim, "the state of the store is %s", state);
}

static void
apply_link(sim_t *sim, const step_t *step)
{
    sim->link_delay_us = step_int(step, "delay_us", sim->link_delay_us);
    sim->link_reply_delay_us =
        step_int(step, "late_us", sim->link_reply_delay_us);
    sim->link_duplicate_permille =
        step_int(step, "double_permille", sim->link_duplicate_permille);
    if (step_has_field(step, "cut")) {
        size_t at = (size_t)step_int(step, "daemon", 1) - 1;
        bool cut = step_int(step, "cut", 0) != 0;
        sim_log(sim, "d%zu is %s its peers and the store", at + 1,
                cut ? "isolated from" : "reconnected to");
        sim_node_set_isolated(sim, at % sim->node_count, cut);
    }
}

static void
pause_node(sim_t *sim, sim_node_t *node, const step_t *step)
{
    node->paused_until_us = sim->now_us + step_int(step, "for_ms", 0) * SIM_MS;
    node->disturbed_us = node->paused_until_us;
    sim_push(sim, EVENT_RESUME, node->paused_until_us, node->index);
}

static void
apply_daemon(sim_t *sim, const step_t *step)
{
    size_t at = (size_t)step_int(step, "daemon", 1) - 1;
    sim_node_t *node = &sim->nodes[at % sim->node_count];
    const char *state = step_text(step, "state", "kill");
    sim_log(sim, "%s: %s", node->name, state);
    if (strcmp(state, "start") == 0 && !node->alive) {
        sim_node_start(sim, node->index);
    }
    else if (!node->alive) {
        return;
    }
    else if (strcmp(state, "pause") == 0) {
        pause_node(sim, node, step);
    }
    else if (strcmp(state, "kill") == 0) {
        sim_node_stop(sim, node->index);
    }
    else if (strcmp(state, "leave") == 0) {
        node->leaving = true;
        node->disturbed_us = sim->now_us;
    }
    else if (strcmp(state, "start") != 0) {
        sim_fail(sim,
                 "%s:%zu: daemon: found '%s', expected pause, kill, "
                 "leave or start",
                 sim->script->name, step->line, state);
    }
}

void
sim_apply_step(sim_t *sim, size_t index)
{
    const step_t *step = &sim->script->steps[index];
    switch (step->kind) {
    case STEP_QUERY:
        caller_schedule(sim, index);
        break;
    case STEP_UPSTREAM:
        apply_upstream(sim, step);
        break;
    case STEP_SPLIT:
        apply_split(sim, step);
        break;
    case STEP_ZONE:
    case STEP_ROWS:
        sim_change_start(sim, step);
        break;
    case STEP_VM:
        apply_vm(sim, step);
        break;
    case STEP_STORE:
        apply_store(sim, step);
        break;
    case STEP_LINK:
        apply_link(sim, step);
        break;
    case STEP_DAEMON:
        apply_daemon(sim, step);
        break;
    case STEP_EXPECT:
        check_expectation(sim, step);
        break;
    default:
        break;
    }
}
