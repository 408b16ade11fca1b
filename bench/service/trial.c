#include "bench/service/sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
    NO_LIMIT = 100000,
    ADDED_LOAD_PERCENT = 5,
    /* Period over which the daemons receive a configuration in turn. */
    CONFIG_SPREAD_US = 100000
};

typedef struct {
    const char *service;
    class_t class;
    uint32_t weight;
    uint32_t deadline_ms;
    uint32_t held_connections;
} row_plan_t;

static const row_plan_t row_plans[] = {
    {"scenario-desk", CLASS_DESK, 10, 400, 6},
    {"legacy-bridge", CLASS_ONLINE, 5, 600, 4},
    {"recon-night", CLASS_BATCH, 2, 2000, 3},
    {"report-mill", CLASS_BATCH, 1, 2000, 3},
    {"ledger-desk", CLASS_DESK, 10, 300, 4},
    {"refund-line", CLASS_ONLINE, 5, 600, 4},
    {"kiosk-till", CLASS_DESK, 10, 300, 2},
    {"crew-dispatch", CLASS_ONLINE, 4, 500, 2},
};

static const row_plan_t *
row_plan(const char *service)
{
    const row_plan_t *plan = row_plans;
    while (strcmp(plan->service, service) != 0) {
        plan++;
    }
    return plan;
}

class_t
trial_class(const char *service)
{
    return row_plan(service)->class;
}

static uint32_t
upstream_slots_for(const variant_t *variant, const service_plan_t *service)
{
    if (variant->unlimited) {
        return NO_LIMIT;
    }
    if (!variant->even_split) {
        return service->slots;
    }
    /* A share of zero slots would admit no part. */
    uint32_t share = service->slots / SIM_DAEMONS;
    return share > 0 ? share : 1;
}

static void
row_fill(const variant_t *variant, const service_plan_t *service,
         table_row_t *row)
{
    const row_plan_t *plan = row_plan(service->name);
    uint32_t slots = upstream_slots_for(variant, service);
    *row = (table_row_t){
        .class = plan->class,
        .weight = plan->weight,
        .deadline_ms = plan->deadline_ms,
        .upstream_slots = slots,
        .upstream_connections = service->connections,
        .held_connections = plan->held_connections,
        .cold_slots = variant->unlimited ? NO_LIMIT : 1,
        .zone_slots = NO_LIMIT,
        .service_slots = NO_LIMIT,
        .tenant_slots = NO_LIMIT,
        .added_load_percent = ADDED_LOAD_PERCENT,
    };
    snprintf(row->service, NAME_SIZE, "%s", service->name);
}

static config_t *
make_config(const trial_settings_t *settings, bool zone_out)
{
    config_t *config = config_new();
    config->version = zone_out ? 2 : 1;
    config->rows = sim_alloc(PLAN_SERVICES, sizeof(*config->rows));
    for (size_t i = 0; i < PLAN_SERVICES; i++) {
        table_row_t row;
        row_fill(settings->variant, &settings->deployment->services[i], &row);
        size_t at = config->row_count++;
        while (at > 0 &&
               strcmp(config->rows[at - 1].service, row.service) > 0) {
            config->rows[at] = config->rows[at - 1];
            at--;
        }
        config->rows[at] = row;
    }
    error_t err = ERROR_INIT;
    if (zone_out) {
        config_set_zone_out(config, settings->deployment->zones[0], true,
                            &err);
    }
    return config;
}

static void
make_topology(sim_t *sim)
{
    const deployment_t *deployment = sim->settings->deployment;
    size_t count = plan_upstream_count(deployment);
    sim->plans = sim_alloc(count, sizeof(*sim->plans));
    sim->upstreams = sim_alloc(count, sizeof(*sim->upstreams));
    sim->upstream_count = count;
    plan_upstreams(deployment, 0, sim->plans);
    upstream_info_t *infos = sim_alloc(count, sizeof(*infos));
    for (size_t i = 0; i < count; i++) {
        infos[i].group = sim->plans[i].group;
        snprintf(infos[i].name, NAME_SIZE, "%s", sim->plans[i].name);
        snprintf(infos[i].service, NAME_SIZE, "%s",
                 sim->plans[i].service->name);
        snprintf(infos[i].zone, NAME_SIZE, "%s", sim->plans[i].zone);
    }
    partition_t partitions[PLAN_SERVICES];
    for (size_t i = 0; i < PLAN_SERVICES; i++) {
        const service_plan_t *service = &deployment->services[i];
        partition_t *partition = &partitions[i];
        *partition = (partition_t){.generation = SIM_GENERATION};
        snprintf(partition->service, NAME_SIZE, "%s", service->name);
        partition->shard_count = plan_shard_count(service, SIM_GENERATION);
        partition->shards = sim_alloc(partition->shard_count, sizeof(shard_t));
        for (size_t s = 0; s < partition->shard_count; s++) {
            partition->shards[s] = plan_shard(service, SIM_GENERATION, s);
        }
    }
    error_t err = ERROR_INIT;
    if (topology_new(infos, count, partitions, PLAN_SERVICES, &sim->topology,
                     &err) != STATUS_OK) {
        fprintf(stderr, "topology: %s\n", error_text(&err));
        exit(1);
    }
    for (size_t i = 0; i < PLAN_SERVICES; i++) {
        free(partitions[i].shards);
    }
    free(infos);
}

static void
schedule_config(sim_t *sim, int64_t at_us, const config_t *config)
{
    for (uint32_t i = 0; i < SIM_DAEMONS; i++) {
        int64_t after_us = (int64_t)i * CONFIG_SPREAD_US / SIM_DAEMONS;
        config_t *copy = config_copy(config);
        sim_push(sim, EVENT_CONFIG, at_us + after_us, i)->item = copy;
    }
}

static void
schedule_zone_outage(sim_t *sim)
{
    const trial_settings_t *settings = sim->settings;
    if (settings->zone_out_us == 0) {
        return;
    }
    int64_t from_us = SIM_START_US + settings->warmup_us;
    config_t *out = make_config(settings, true);
    schedule_config(sim, from_us + settings->zone_out_us, out);
    config_put(out);
    config_t *back = make_config(settings, false);
    back->version = 3;
    schedule_config(sim, from_us + settings->zone_back_us, back);
    config_put(back);
}

static void
update_zone_out(sim_t *sim)
{
    const trial_settings_t *settings = sim->settings;
    int64_t from_us = SIM_START_US + settings->warmup_us;
    sim->zone_out_us = from_us + settings->zone_out_us;
    sim->zone_out = settings->zone_out_us != 0 &&
                    sim->now_us > sim->zone_out_us &&
                    sim->now_us < from_us + settings->zone_back_us;
}

static void
run_events(sim_t *sim)
{
    event_t event;
    while (sim_pop(sim, &event)) {
        sim->now_us = event.at_us;
        sim->result->events++;
        update_zone_out(sim);
        switch (event.kind) {
        case EVENT_ARRIVAL:
            callers_handle_arrival(sim, event.index);
            break;
        case EVENT_CALL:
        case EVENT_ABORT:
        case EVENT_PART_END:
        case EVENT_FAULT:
            upstreams_handle_event(sim, &event);
            break;
        default:
            daemon_handle_event(sim, &event);
            break;
        }
    }
}

static double
thread_cpu_s(void)
{
    struct timespec now;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

trial_result_t *
trial_run(const trial_settings_t *settings)
{
    double start_s = thread_cpu_s();
    sim_t *sim = sim_alloc(1, sizeof(*sim));
    sim->settings = settings;
    sim->result = sim_alloc(1, sizeof(*sim->result));
    sim->result->bucket_count =
        (size_t)(settings->measure_us / TRIAL_BUCKET_US);
    sim->result->buckets =
        sim_alloc(sim->result->bucket_count, sizeof(trial_bucket_t));
    sim->now_us = SIM_START_US;
    sim->end_us = SIM_START_US + settings->warmup_us + settings->measure_us;
    make_topology(sim);
    upstreams_start(sim);
    config_t *config = make_config(settings, false);
    for (uint32_t i = 0; i < SIM_DAEMONS; i++) {
        sim->daemons[i].config = config;
    }
    daemons_start(sim, config);
    callers_start(sim);
    schedule_zone_outage(sim);
    run_events(sim);
    daemons_stop(sim);
    upstreams_stop(sim);
    callers_stop(sim);
    config_put(config);
    topology_put(sim->topology);
    free(sim->plans);
    free(sim->upstreams);
    free(sim->events);
    trial_result_t *result = sim->result;
    free(sim);
    result->cpu_s = thread_cpu_s() - start_s;
    return result;
}

void
trial_free(trial_result_t *result)
{
    if (result != NULL) {
        free(result->buckets);
        free(result);
    }
}
