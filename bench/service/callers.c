#include "bench/service/sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { SIZE_SAMPLES = 4000, PERCENT = 100, ONCE_PERCENT = 50 };

/* Mean number of shards and keys of a query. */
typedef struct {
    double shards;
    double keys;
} size_mean_t;

/* Index of the service's shard that covers key lo. */
static size_t
shard_index(const service_plan_t *service, uint64_t lo)
{
    size_t count = plan_shard_count(service, SIM_GENERATION);
    size_t index = (size_t)(lo * count / KEY_END);
    while (index + 1 < count &&
           plan_shard(service, SIM_GENERATION, index).range.hi <= lo) {
        index++;
    }
    return index;
}

static size_mean_t
mean_query_size(const sim_t *sim, uint32_t service)
{
    const service_plan_t *plan = &sim->settings->deployment->services[service];
    size_mean_t sum = {0, 0};
    for (uint64_t i = 0; i < SIZE_SAMPLES; i++) {
        query_plan_t query =
            mix_query(&sim->mixes[service], sim->settings->seed, i);
        size_t first = shard_index(plan, query.range.lo);
        size_t last = shard_index(plan, query.range.hi - 1);
        sum.shards += (double)(last - first + 1);
        sum.keys += (double)key_range_size(query.range);
    }
    return (size_mean_t){sum.shards / SIZE_SAMPLES, sum.keys / SIZE_SAMPLES};
}

static double
capacity_qps(const sim_t *sim, uint32_t service)
{
    const service_plan_t *plan = &sim->settings->deployment->services[service];
    double slots = (double)plan->groups * plan->replicas * plan->slots;
    double part_us = upstream_mean_service_us(sim->settings, plan);
    return slots * 1e6 / part_us / mean_query_size(sim, service).shards;
}

static bool
has_once_queries(const char *service)
{
    return strcmp(service, "refund-line") == 0 ||
           strcmp(service, "recon-night") == 0;
}

void
callers_start(sim_t *sim)
{
    for (uint32_t i = 0; i < PLAN_SERVICES; i++) {
        const char *name = sim->settings->deployment->services[i].name;
        char text[NAME_SIZE * 2];
        snprintf(text, sizeof(text), "%s=1:%d", name,
                 has_once_queries(name) ? ONCE_PERCENT : 0);
        mix_parse(text, &sim->mixes[i]);
        sim->result->services[i].capacity_qps = capacity_qps(sim, i);
        if (sim->settings->load[i] > 0) {
            sim_push(sim, EVENT_ARRIVAL, SIM_START_US, i);
        }
    }
}

void
callers_stop(sim_t *sim)
{
    for (uint64_t i = 0; i < sim->query_count; i++) {
        free(sim->callers[i]);
    }
    free(sim->callers);
}

/*
 * Latency of the query if every part were sent at once to its fastest replica
 * and started without a queue.
 */
static int64_t
ideal_us(const sim_t *sim, const caller_t *caller)
{
    const service_plan_t *plan =
        &sim->settings->deployment->services[caller->service];
    const char *zone = sim->daemons[caller->daemon].zone;
    key_range_t range = caller->request.range;
    int64_t slowest_us = 0;
    size_t last = shard_index(plan, range.hi - 1);
    for (size_t i = shard_index(plan, range.lo); i <= last; i++) {
        shard_t shard = plan_shard(plan, SIM_GENERATION, i);
        key_range_t part_range = key_range_intersect(shard.range, range);
        size_t first;
        size_t count =
            topology_group(sim->topology, plan->name, shard.group, &first);
        int64_t fastest_us = INT64_MAX;
        for (size_t u = first; u < first + count; u++) {
            int64_t us =
                upstream_service_time_us(sim, (uint32_t)u,
                                         caller->query_number, part_range.lo) +
                2 * sim_link_delay_us(sim, zone, sim->upstreams[u].plan->zone);
            fastest_us = us < fastest_us ? us : fastest_us;
        }
        slowest_us = fastest_us > slowest_us ? fastest_us : slowest_us;
    }
    return slowest_us + 2 * sim_client_delay_us(sim);
}

static void
callers_append(sim_t *sim, caller_t *caller)
{
    if (sim->query_count == sim->caller_capacity) {
        sim->caller_capacity = sim->caller_capacity * 2 + 1024;
        caller_t **grown =
            realloc(sim->callers, sim->caller_capacity * sizeof(*grown));
        if (grown == NULL) {
            exit(1);
        }
        sim->callers = grown;
    }
    sim->callers[sim->query_count++] = caller;
}

static bool
in_measured_period(const sim_t *sim)
{
    int64_t from_us = SIM_START_US + sim->settings->warmup_us;
    return sim->now_us >= from_us &&
           sim->now_us < from_us + sim->settings->measure_us;
}

static void
send_query(sim_t *sim, uint32_t service)
{
    const mix_t *mix = &sim->mixes[service];
    uint64_t query_number = sim->query_count;
    query_plan_t plan =
        mix_query(mix, sim->settings->seed + service, query_number);
    caller_t *caller = sim_alloc(1, sizeof(*caller));
    *caller = (caller_t){
        .sim = sim,
        .service = service,
        .daemon = (uint32_t)(sim_draw(sim) * SIM_DAEMONS),
        .sent_us = sim->now_us,
        .query_number = query_number,
        .measured = in_measured_period(sim),
    };
    const table_row_t *row =
        config_row(sim->daemons[0].config, plan.row->service);
    caller->request = (query_request_t){
        .range = plan.range,
        .deadline_us = sim->now_us + (int64_t)row->deadline_ms * 1000,
        .once = plan.once,
        .fingerprint = query_number,
    };
    memcpy(caller->request.service, plan.row->service, NAME_SIZE);
    snprintf(caller->request.tenant, NAME_SIZE, "tenant-%u", plan.tenant);
    callers_append(sim, caller);
    sim_push(sim, EVENT_SUBMIT, sim->now_us + sim_client_delay_us(sim),
             caller->daemon)
        ->item = caller;
}

void
callers_handle_arrival(sim_t *sim, uint32_t service)
{
    if (sim->now_us >= sim->end_us) {
        return;
    }
    send_query(sim, service);
    double qps = sim->result->services[service].capacity_qps *
                 sim->settings->load[service];
    double gap_us = -log(1 - sim_draw(sim)) * 1e6 / qps;
    sim_push(sim, EVENT_ARRIVAL, sim->now_us + 1 + (int64_t)gap_us, service);
}

static bool
answer_is_correct(const caller_t *caller, const query_answer_t *answer)
{
    key_range_t range = caller->request.range;
    if (answer->count != answer->covered ||
        answer->asked != key_range_size(range)) {
        return false;
    }
    return answer->outcome != OUTCOME_WHOLE ||
           (answer->covered == answer->asked &&
            answer->sum == range.hi * range.hi - range.lo * range.lo);
}

static void
timeline_add(sim_t *sim, const caller_t *caller, const query_answer_t *answer,
             int64_t took_us)
{
    int64_t from_us = SIM_START_US + sim->settings->warmup_us;
    size_t index = (size_t)((caller->sent_us - from_us) / TRIAL_BUCKET_US);
    if (index >= sim->result->bucket_count ||
        trial_class(caller->request.service) == CLASS_BATCH) {
        return;
    }
    trial_bucket_t *bucket = &sim->result->buckets[index];
    bucket->asked_keys += answer->asked;
    bucket->covered_keys += answer->covered;
    if (answer->covered > 0) {
        hist_add(&bucket->latency, took_us);
    }
}

static bool
is_refusal(const query_answer_t *answer)
{
    return answer->outcome == OUTCOME_NOT_RUN &&
           answer->reason != REASON_CANCELLED;
}

static void
record_answer(sim_t *sim, const caller_t *caller, const query_answer_t *answer)
{
    trial_service_t *service = &sim->result->services[caller->service];
    int64_t took_us = sim->now_us + sim_client_delay_us(sim) - caller->sent_us;
    bool whole = answer->outcome == OUTCOME_WHOLE;
    service->sent++;
    service->outcomes[answer->outcome]++;
    service->refused += is_refusal(answer) ? 1 : 0;
    service->asked_keys += answer->asked;
    service->covered_keys += answer->covered;
    service->first_attempts +=
        answer->attempts - answer->hedges - answer->retries;
    service->hedges += answer->hedges;
    service->retries += answer->retries;
    hist_add(&service->ideal, caller->ideal_us);
    if (answer->covered > 0) {
        hist_add(&service->latency, took_us);
    }
    if (whole) {
        hist_add(&service->complete, took_us);
        service->goodput_keys += answer->covered;
    }
    if (!whole && !is_refusal(answer)) {
        sim->result->incomplete++;
    }
    timeline_add(sim, caller, answer, took_us);
}

static void
on_done(void *context, uint64_t sequence, const query_answer_t *answer)
{
    caller_t *caller = context;
    sim_t *sim = caller->sim;
    (void)sequence;
    if (caller->answers++ > 0) {
        sim->result->duplicates++;
        return;
    }
    if (!answer_is_correct(caller, answer)) {
        sim->result->wrong_answers++;
    }
    if (caller->measured) {
        record_answer(sim, caller, answer);
    }
}

void
callers_submit(sim_t *sim, caller_t *caller)
{
    query_waiter_t waiter = {.context = caller, .done = on_done};
    caller->ideal_us = ideal_us(sim, caller);
    query_request_t request = caller->request;
    request.body = sim_alloc(1, 1);
    coordinator_submit(sim->daemons[caller->daemon].coordinator, &request,
                       &waiter, sim->now_us);
}

void
callers_record_start(sim_t *sim, uint64_t query_number,
                     const key_range_t *range)
{
    caller_t *caller = sim->callers[query_number];
    const service_plan_t *plan =
        &sim->settings->deployment->services[caller->service];
    uint64_t bit = UINT64_C(1)
                   << (shard_index(plan, range->lo) % SIM_STARTED_BITS);
    if (caller->request.once && (caller->started & bit) != 0) {
        sim->result->duplicates++;
    }
    caller->started |= bit;
}
