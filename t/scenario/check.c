#include "core/hist.h"
#include "standin/lib/answer.h"
#include "t/scenario/sim.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum {
    ATTEMPT_BITS = 64,
    ATTEMPTS_MAX = 512,
    GENERATION_FACTOR = 1000,
    INTENT_ANSWER_GRACE_US = 150000,
    FORWARD_ANSWER_GRACE_US = 650000,
    CANCEL_GRACE_US = 10000, /* time for a cancellation to reach an upstream */
    PERCENT = 100,
    PERMILLE = 1000
};

/* Parts in progress at a service's upstreams; zone NULL: in all zones. */
static uint32_t
count_running_parts(const sim_t *sim, const char *service, const char *zone)
{
    uint32_t count = 0;
    for (size_t i = 0; i < sim->upstream_count; i++) {
        const sim_upstream_t *upstream = &sim->upstreams[i];
        if (strcmp(upstream->info.service, service) == 0 &&
            (zone == NULL || strcmp(upstream->info.zone, zone) == 0)) {
            count += upstream->running;
        }
    }
    return count;
}

static void
check_limits(sim_t *sim, const sim_upstream_t *upstream)
{
    const upstream_info_t *info = &upstream->info;
    const table_row_t *row = &sim_find_service(sim, info->service)->row;
    if (upstream->cold && upstream->cold_reported_us != 0 &&
        upstream->cold_reported_us < sim->now_us &&
        upstream->running >= upstream->cold_slots) {
        sim_fail(sim, "cold upstream %s gets concurrent part %u, limit %u",
                 info->name, upstream->running + 1, upstream->cold_slots);
    }
    if (upstream->running >= upstream->slots) {
        sim_fail(sim, "upstream %s gets concurrent part %u, limit %u",
                 info->name, upstream->running + 1, upstream->slots);
    }
    if (count_running_parts(sim, info->service, info->zone) >=
        row->zone_slots) {
        sim_fail(sim,
                 "upstream %s gets a part beyond its zone's concurrency limit",
                 info->name);
    }
    if (count_running_parts(sim, info->service, NULL) >= row->service_slots) {
        sim_fail(
            sim,
            "upstream %s gets a part beyond its service's concurrency limit",
            info->name);
    }
}

static void
check_out_of_service(sim_t *sim, const sim_upstream_t *upstream,
                     const sim_node_t *node)
{
    const upstream_info_t *info = &upstream->info;
    if (upstream->leaving_published_us != 0 &&
        sim->now_us > upstream->leaving_published_us + SIM_CONVERGENCE_US) {
        sim_fail(sim, "upstream %s is leaving and gets a new part from %s",
                 info->name, node->name);
    }
    for (size_t i = 0; i < sim->out_of_service_count; i++) {
        const sim_out_of_service_t *out = &sim->out_of_service[i];
        const char *name = out->kind == HOLD_ZONE ? info->zone : info->name;
        if (out->is_out && strcmp(out->name, name) == 0 &&
            sim->now_us > out->accepted_us + SIM_CONVERGENCE_US) {
            sim_fail(
                sim,
                "upstream %s (%s is out of service) gets a new part from %s",
                info->name, name, node->name);
        }
    }
}

static void
check_lease(sim_t *sim, const part_request_t *request, const sim_node_t *node)
{
    int64_t until_us = atomic_load(&node->act_until_us);
    if (until_us <= sim->now_us) {
        sim_fail(sim, "%s sends a part to %s after its lease expired",
                 node->name, request->upstream);
    }
    if (request->deadline_us > until_us + SIM_DRAIN_US) {
        sim_fail(
            sim,
            "%s sends a part with a deadline past its lease and drain time",
            node->name);
    }
}

static void
record_start(sim_t *sim, call_t *call, const part_request_t *request)
{
    sim_service_t *service = sim_find_service(sim, request->service);
    operation_t *operation = call->operation;
    uint32_t attempt = request->id.attempt % ATTEMPTS_MAX;
    if (operation->once &&
        range_set_overlaps(&operation->started_ranges, request->range)) {
        sim_fail(sim, "at-most-once operation %s runs again on %s",
                 operation->name, request->upstream);
    }
    if (call->answers_received > 0 &&
        call->answer.outcome == OUTCOME_NOT_RUN) {
        sim_fail(sim, "%s was answered not_run but runs on %s",
                 operation->name, request->upstream);
    }
    service->starts++;
    if (range_set_overlaps(&call->started_ranges, request->range)) {
        service->repeated_starts++;
    }
    range_set_add(&operation->started_ranges, request->range);
    range_set_add(&call->started_ranges, request->range);
    call->starts++;
    call->started_attempts[attempt / ATTEMPT_BITS] |=
        UINT64_C(1) << (attempt % ATTEMPT_BITS);
}

void
check_part_start(sim_t *sim, const sim_upstream_t *upstream,
                 const part_request_t *request, size_t node, bool runs)
{
    sim->checks++;
    check_limits(sim, upstream);
    check_out_of_service(sim, upstream, &sim->nodes[node]);
    check_lease(sim, request, &sim->nodes[node]);
    call_t *call = call_find(sim, request->id);
    if (call == NULL) {
        sim_fail(sim, "upstream %s gets a part that belongs to no request",
                 upstream->info.name);
        return;
    }
    if (request->version != 0 && call->body[0] != '\0' && request->hedge &&
        call->operation->once) {
        sim_fail(sim, "at-most-once operation %s is hedged",
                 call->operation->name);
    }
    if (runs) {
        record_start(sim, call, request);
    }
}

/*
 * A part must not run much longer than its request: the daemon has to cancel
 * it. At-most-once operations and requests sent before the last disturbance of
 * any daemon are exempt.
 */
void
check_run_end(sim_t *sim, const call_t *call)
{
    if (call == NULL || call->answers_received == 0 || call->operation->once ||
        sim->now_us <= call->ended_us + CANCEL_GRACE_US) {
        return;
    }
    for (size_t i = 0; i < sim->node_count; i++) {
        if (sim->nodes[i].disturbed_us >= call->sent_us) {
            return;
        }
    }
    sim_fail(sim,
             "%s: a part still runs at an upstream %.1f ms after the answer",
             call->operation->name,
             (double)(sim->now_us - call->ended_us) / (double)SIM_MS);
}

void
check_reply(sim_t *sim, const part_reply_t *reply)
{
    const call_t *call = call_find(sim, reply->id);
    uint32_t attempt = reply->id.attempt % ATTEMPTS_MAX;
    sim->checks++;
    if (call == NULL || !reply->not_run) {
        return;
    }
    uint64_t bits = call->started_attempts[attempt / ATTEMPT_BITS];
    if ((bits >> (attempt % ATTEMPT_BITS) & 1) != 0) {
        sim_fail(sim, "%s: a part that ran is reported as not run (%s)",
                 call->operation->name, part_status_name(reply->status));
    }
}

/*
 * The answer's count and sum must be those of the snapshot of the answer's
 * version and generation, over the ranges that the answer covers.
 */
static void
check_snapshot(sim_t *sim, const call_t *call)
{
    const query_answer_t *answer = &call->answer;
    key_range_t asked = call->request.range;
    uint64_t version =
        answer->version + answer->generation * GENERATION_FACTOR;
    uint64_t count = answer_count(asked, answer->version);
    uint64_t sum = answer_sum(asked, version);
    uint64_t covered = key_range_size(asked);
    for (size_t i = 0; i < answer->missing_count; i++) {
        count -= answer_count(answer->missing[i], answer->version);
        sum -= answer_sum(answer->missing[i], version);
        covered -= key_range_size(answer->missing[i]);
    }
    if (covered != answer->covered) {
        sim_fail(sim,
                 "%s: reports %" PRIu64 " covered keys, expected %" PRIu64,
                 call->operation->name, answer->covered, covered);
    }
    if (answer->covered > 0 &&
        (count != answer->count || sum != answer->sum)) {
        sim_fail(
            sim,
            "%s: count or sum is not that of the snapshot of version %" PRIu64
            " and generation %" PRIu64,
            call->operation->name, answer->version, answer->generation);
    }
}

static void
check_outcome(sim_t *sim, const call_t *call)
{
    const query_answer_t *answer = &call->answer;
    const char *name = call->operation->name;
    if (answer->outcome == OUTCOME_NOT_RUN && call->starts > 0) {
        sim_fail(sim, "%s: answered not_run after %" PRIu64 " parts started",
                 name, call->starts);
    }
    if (answer->outcome == OUTCOME_WHOLE &&
        answer->covered != key_range_size(call->request.range)) {
        sim_fail(sim, "%s: answered whole without covering all keys", name);
    }
    if (answer->outcome == OUTCOME_PARTIAL &&
        (answer->covered == 0 || answer->covered >= answer->asked)) {
        sim_fail(sim,
                 "%s: answered partial with %" PRIu64
                 " covered keys, which is none or all",
                 name, answer->covered);
    }
    if (answer->reason == REASON_LEAVING ||
        answer->reason == REASON_CANCELLED) {
        sim_fail(sim, "%s: aborted by a shutdown", name);
    }
}

static void
check_answer_time(sim_t *sim, const call_t *call)
{
    int64_t grace_us = call->operation->hash != 0 ? INTENT_ANSWER_GRACE_US
                                                  : SIM_ANSWER_GRACE_US;
    grace_us = call->forwarded ? FORWARD_ANSWER_GRACE_US : grace_us;
    bool disturbed =
        sim->nodes[call->node].disturbed_us >= call->sent_us ||
        sim->nodes[call->entry_node].disturbed_us >= call->sent_us;
    if (!disturbed && sim->now_us > call->request.deadline_us + grace_us) {
        sim_fail(sim, "%s: answered %.1f ms after its deadline",
                 call->operation->name,
                 (double)(sim->now_us - call->request.deadline_us) /
                     (double)SIM_MS);
    }
}

void
check_answer(sim_t *sim, const call_t *call)
{
    sim->checks++;
    if (call->answers_received > 1) {
        sim_fail(sim, "%s is answered more than once", call->operation->name);
    }
    check_outcome(sim, call);
    check_answer_time(sim, call);
    if (call->answer.covered > 0 && (!call->answered_without_run ||
                                     call->answer.outcome == OUTCOME_WHOLE)) {
        check_snapshot(sim, call);
    }
}

/*
 * The configuration version in force at a daemon never decreases and equals
 * the version that the daemon reports.
 */
void
check_config(sim_t *sim, sim_node_t *node)
{
    uint64_t version = node->config->version;
    sim->checks++;
    if (version < node->highest_version) {
        sim_fail(sim,
                 "%s: configuration version %" PRIu64
                 " is in force after version %" PRIu64,
                 node->name, version, node->highest_version);
    }
    if (version != node->sync.version) {
        sim_fail(sim,
                 "%s: the configuration in force is not the reported version",
                 node->name);
    }
    node->highest_version = version;
}

void
check_shutdown(sim_t *sim, size_t node)
{
    for (size_t i = 0; i < sim->call_count; i++) {
        const call_t *call = sim->calls[i];
        if (call->sent_us != 0 && call->node == node &&
            call->answers_received == 0 && !call->lost) {
            sim_fail(sim, "%s: its daemon exits before answering it",
                     call->operation->name);
        }
    }
}

static bool
step_selects_call(const call_t *call, const step_t *step)
{
    const step_t *from = &call->sim->script->steps[call->step];
    if (step_has_field(step, "query") &&
        strcmp(step_text(step, "query", ""), step_text(from, "name", "q")) !=
            0) {
        return false;
    }
    return !step_has_field(step, "service") ||
           strcmp(step_text(step, "service", ""), call->request.service) == 0;
}

static int64_t
count_outcomes(const sim_t *sim, const step_t *step, int outcome)
{
    int64_t count = 0;
    for (size_t i = 0; i < sim->call_count; i++) {
        const call_t *call = sim->calls[i];
        if (!step_selects_call(call, step) || call->answers_received == 0) {
            continue;
        }
        bool reason = !step_has_field(step, "reason") ||
                      strcmp(step_text(step, "reason", ""),
                             reason_name(call->answer.reason)) == 0;
        if (reason && (outcome == OUTCOME_COUNT ||
                       (int)call->answer.outcome == outcome)) {
            count++;
        }
    }
    return count;
}

static int64_t
quantile_ms(const sim_t *sim, const step_t *step, double quantile)
{
    hist_t hist = {.count = 0};
    for (size_t i = 0; i < sim->call_count; i++) {
        const call_t *call = sim->calls[i];
        if (step_selects_call(call, step) && call->answers_received > 0) {
            hist_add(&hist, call->ended_us - call->sent_us);
        }
    }
    return hist.count == 0 ? 0 : hist_quantile(&hist, quantile) / SIM_MS;
}

static int64_t
count_upstreams(const sim_t *sim, const step_t *step, bool crashes)
{
    int64_t count = 0;
    for (size_t i = 0; i < sim->upstream_count; i++) {
        const sim_upstream_t *upstream = &sim->upstreams[i];
        bool selected =
            !step_has_field(step, "zone") ||
            strcmp(step_text(step, "zone", ""), upstream->info.zone) == 0;
        if (selected) {
            count += (int64_t)(crashes ? upstream->crashes : upstream->starts);
        }
    }
    return count;
}

static int64_t
count_changes(const sim_t *sim, status_t status)
{
    int64_t count = 0;
    for (size_t i = 0; i < sim->change_count; i++) {
        count += sim->changes[i].done && sim->changes[i].status == status;
    }
    return count;
}

static int64_t
sum_answers(const sim_t *sim, const step_t *step, const char *name)
{
    int64_t count = 0;
    for (size_t i = 0; i < sim->call_count; i++) {
        const query_answer_t *answer = &sim->calls[i]->answer;
        if (!step_selects_call(sim->calls[i], step)) {
            continue;
        }
        if (strcmp(name, "hedges") == 0) {
            count += answer->hedges;
        }
        else if (strcmp(name, "retries") == 0) {
            count += answer->retries;
        }
        else if (strcmp(name, "restarts") == 0) {
            count += answer->restarts;
        }
        else {
            count += answer->dropped;
        }
    }
    return count;
}

static int64_t
count_lost_calls(const sim_t *sim)
{
    int64_t count = 0;
    for (size_t i = 0; i < sim->call_count; i++) {
        count += sim->calls[i]->lost && sim->calls[i]->answers_received == 0;
    }
    return count;
}

/* Compute the count that an expectation names; false if it is unknown. */
static bool
measure_count(const sim_t *sim, const step_t *step, int64_t *value)
{
    const char *name = step_text(step, "count", "");
    for (int i = 0; i < OUTCOME_COUNT; i++) {
        if (strcmp(name, outcome_name((outcome_t)i)) == 0) {
            *value = count_outcomes(sim, step, i);
            return true;
        }
    }
    static const char *const sums[] = {"hedges", "retries", "restarts",
                                       "dropped"};
    for (size_t i = 0; i < sizeof(sums) / sizeof(sums[0]); i++) {
        if (strcmp(name, sums[i]) == 0) {
            *value = sum_answers(sim, step, name);
            return true;
        }
    }
    if (strcmp(name, "answered") == 0) {
        *value = count_outcomes(sim, step, OUTCOME_COUNT);
    }
    else if (strcmp(name, "lost") == 0) {
        *value = count_lost_calls(sim);
    }
    else if (strcmp(name, "p50_ms") == 0) {
        *value = quantile_ms(sim, step, 0.5);
    }
    else if (strcmp(name, "p99_ms") == 0) {
        *value = quantile_ms(sim, step, 0.99);
    }
    else if (strcmp(name, "starts") == 0) {
        *value = count_upstreams(sim, step, false);
    }
    else if (strcmp(name, "crashes") == 0) {
        *value = count_upstreams(sim, step, true);
    }
    else if (strcmp(name, "changes_ok") == 0) {
        *value = count_changes(sim, STATUS_OK);
    }
    else if (strcmp(name, "changes_conflict") == 0) {
        *value = count_changes(sim, STATUS_CONFLICT);
    }
    else if (strcmp(name, "version") == 0) {
        size_t at = (size_t)step_int(step, "daemon", 1) - 1;
        *value = (int64_t)sim->nodes[at % sim->node_count].sync.version;
    }
    else {
        return false;
    }
    return true;
}

void
check_expectation(sim_t *sim, const step_t *step)
{
    int64_t value = 0;
    sim->checks++;
    if (!measure_count(sim, step, &value)) {
        sim_fail(sim, "%s:%zu: unknown count '%s'", sim->script->name,
                 step->line, step_text(step, "count", ""));
        return;
    }
    if (value < step_int(step, "min", INT64_MIN) ||
        value > step_int(step, "max", INT64_MAX)) {
        sim_fail(sim, "%s:%zu: %s %s is %" PRId64 ", expected %s to %s",
                 sim->script->name, step->line,
                 step_text(step, "query", "all"), step_text(step, "count", ""),
                 value, step_text(step, "min", "any"),
                 step_text(step, "max", "any"));
    }
}

static void
check_all_answered(sim_t *sim)
{
    for (size_t i = 0; i < sim->call_count; i++) {
        const call_t *call = sim->calls[i];
        const sim_node_t *node = &sim->nodes[call->node];
        bool due =
            call->sent_us != 0 &&
            call->request.deadline_us + INTENT_ANSWER_GRACE_US < sim->now_us;
        if (due && call->answers_received == 0 && !call->lost &&
            node->disturbed_us + SIM_CONVERGENCE_US < sim->now_us) {
            sim_fail(sim, "%s was not answered", call->operation->name);
        }
    }
}

static void
check_added_load(sim_t *sim)
{
    int64_t run_us = sim->now_us - SIM_START_US;
    int64_t windows = run_us / (BUDGET_STEPS * BUDGET_STEP_US) + 2;
    for (size_t i = 0; i < sim->service_count; i++) {
        const sim_service_t *service = &sim->services[i];
        uint64_t first = service->starts - service->repeated_starts;
        uint64_t limit = first * service->row.added_load_percent / PERCENT +
                         BUDGET_FLOOR * (uint64_t)windows * sim->node_count;
        if (service->repeated_starts > limit) {
            sim_fail(sim,
                     "%s: added load of %" PRIu64
                     " repeated starts on %" PRIu64
                     " first starts exceeds the budget",
                     service->name, service->repeated_starts, first);
        }
    }
}

/* Whether a document whose history covers an accepted change lacks it. */
static bool
change_is_lost(const config_t *config, const sim_change_t *change)
{
    return config->version >= change->version &&
           config_history_covers(config, change->version) &&
           config_find_change(config, change->edit.id) == NULL;
}

/*
 * A change accepted SIM_CONVERGENCE_US ago must be in force at every daemon
 * that runs, is connected and was not disturbed recently.
 */
static void
check_changes_in_force(sim_t *sim)
{
    for (size_t i = 0; i < sim->node_count; i++) {
        const sim_node_t *node = &sim->nodes[i];
        if (!sim_node_runs(sim, i) || node->isolated || node->config == NULL ||
            node->disturbed_us + 2 * SIM_CONVERGENCE_US > sim->now_us) {
            continue;
        }
        for (size_t j = 0; j < sim->change_count; j++) {
            const sim_change_t *change = &sim->changes[j];
            if (change->done && change->status == STATUS_OK &&
                change_is_lost(node->config, change)) {
                sim_fail(sim,
                         "%s: %s was accepted but is not in the configuration "
                         "in force",
                         node->name, change->edit.id);
            }
            if (change->done && change->status == STATUS_OK &&
                change->done_us + SIM_CONVERGENCE_US < sim->now_us &&
                node->config->version < change->version) {
                sim_fail(sim,
                         "%s: configuration version %" PRIu64
                         " was accepted, but %" PRIu64 " is in force",
                         node->name, change->version, node->config->version);
            }
        }
        for (size_t j = 0; j < sim->out_of_service_count; j++) {
            const sim_out_of_service_t *out = &sim->out_of_service[j];
            bool is_out = out->kind == HOLD_ZONE
                              ? config_zone_is_out(node->effective, out->name)
                              : config_vm_is_out(node->effective, out->name);
            if (out->is_out && !is_out &&
                out->accepted_us + SIM_CONVERGENCE_US < sim->now_us) {
                sim_fail(sim,
                         "%s: %s was taken out of service but is in service",
                         node->name, out->name);
            }
        }
    }
}

/* The store has every accepted change, even if the store was rolled back. */
static void
check_stored(sim_t *sim)
{
    uint64_t version = sim_store_version(sim);
    if (sim->store_fault == KV_FAULT_OK &&
        sim->store_disturbed_us + SIM_CONVERGENCE_US < sim->now_us &&
        version < sim->highest_version) {
        sim_fail(sim,
                 "the store has configuration version %" PRIu64
                 ", but version %" PRIu64 " was accepted",
                 version, sim->highest_version);
    }
}

void
check_end(sim_t *sim)
{
    check_stored(sim);
    check_all_answered(sim);
    check_added_load(sim);
    check_changes_in_force(sim);
    for (size_t i = 0; i < sim->script->count; i++) {
        const step_t *step = &sim->script->steps[i];
        if (step->kind == STEP_EXPECT && step->at_us < 0) {
            check_expectation(sim, step);
        }
    }
}
