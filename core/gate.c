#include "core/gate_state.h"

#include <stdlib.h>
#include <string.h>

enum { RETRY_MIN_US = 10000 /* least retry-after of a refusal */ };

gate_t *
gate_new(const gate_settings_t *settings)
{
    gate_t *gate = calloc(1, sizeof(*gate));
    if (gate == NULL) {
        return NULL;
    }
    static const heap_t empty = HEAP_INIT;
    static const part_list_t none = {HEAP_NONE, HEAP_NONE};
    gate->settings = *settings;
    gate->expiring = gate->timers = gate->ready_flows = empty;
    gate->free = gate->refused = gate->held = none;
    gate->quarantine =
        quarantine_new(settings->crash_limit, settings->quarantine_us,
                       settings->crash_burst_us);
    if (gate->quarantine == NULL) {
        free(gate);
        return NULL;
    }
    return gate;
}

void
gate_free(gate_t *gate)
{
    if (gate == NULL) {
        return;
    }
    config_put(gate->config);
    topology_put(gate->topology);
    quarantine_free(gate->quarantine);
    free(gate->parts);
    free(gate->part_hash);
    free(gate->targets);
    free(gate->target_hash);
    free(gate->flows);
    free(gate->services);
    free(gate);
}

static gate_decision_t
refuse(const part_request_t *request, part_status_t status,
       int64_t retry_after_us, part_reply_t *refusal)
{
    *refusal = (part_reply_t){.id = request->id,
                              .status = status,
                              .not_run = true,
                              .retry_after_us = retry_after_us};
    return GATE_REFUSE;
}

/* The refusal for this target regardless of its load; PART_OK: none. */
static part_status_t
target_refusal(const gate_t *gate, uint32_t index, const char *upstream,
               int64_t now_us)
{
    const target_t *target = index == HEAP_NONE ? NULL : &gate->targets[index];
    if (target == NULL || !target->owned) {
        bool listed = gate->topology != NULL &&
                      topology_upstream_index(gate->topology, upstream) >= 0;
        return listed ? PART_NOT_OWNER : PART_GONE;
    }
    bool leaving =
        target->unavailable || cold_is_draining(&target->cold, now_us);
    return leaving ? PART_GONE : PART_OK;
}

static int64_t
retry_after_us(int64_t wait_us)
{
    return wait_us > RETRY_MIN_US ? wait_us : RETRY_MIN_US;
}

/*
 * The refusal of a part that cannot be sent or queued; PART_OK: none. A part
 * that has to wait is checked against the 90th percentile of the service time
 * instead of the median, because it takes a place in the queue that another
 * part could use.
 */
static part_status_t
queue_refusal(const gate_t *gate, const target_t *target,
              const part_request_t *request, bool may_start, int64_t wait_us,
              int64_t now_us)
{
    if (gate->flows[target->flow].limit == 0 ||
        gate->services[gate->flows[target->flow].service].limit == 0) {
        return PART_LIMITED;
    }
    int64_t service_us =
        may_start ? target->median_service_us : target->p90_service_us;
    if (now_us + wait_us + service_us > request->deadline_us) {
        return target->cold.ramping ? PART_COLD : PART_EXPIRED;
    }
    return PART_OK;
}

/* Adds a request to the table of parts; HEAP_NONE when it is full. */
static uint32_t
part_create(gate_t *gate, const part_request_t *request, uint32_t target,
            int64_t now_us)
{
    uint32_t part = part_alloc(gate, request->id);
    if (part == HEAP_NONE) {
        return HEAP_NONE;
    }
    gate_part_t *entry = &gate->parts[part];
    entry->target = target;
    entry->class = request->class;
    entry->fingerprint = request->fingerprint;
    entry->order = gate->next_order++;
    entry->deadline_us = request->deadline_us;
    entry->latest_start_us =
        request->deadline_us - gate->targets[target].p90_service_us;
    entry->queued_us = now_us;
    return part;
}

/* Whether no waiting part that could start now precedes this one. */
static bool
part_is_next(const gate_t *gate, uint32_t part)
{
    const target_t *target = &gate->targets[gate->parts[part].target];
    uint32_t first = target->queue.root;
    if (first != HEAP_NONE && order_by_target.before(gate, first, part)) {
        return false;
    }
    if (gate->ready_flows.root == HEAP_NONE) {
        return true;
    }
    const flow_t *flow = &gate->flows[gate->ready_flows.root];
    uint32_t open = gate->targets[flow->targets.root].queue.root;
    return order_by_target.before(gate, part, open);
}

static bool
part_may_start(const gate_t *gate, uint32_t part, int64_t now_us)
{
    const gate_part_t *entry = &gate->parts[part];
    const target_t *target = &gate->targets[entry->target];
    return flow_has_room(gate, &gate->flows[target->flow]) &&
           target_admits(gate, target, entry, now_us) &&
           part_is_next(gate, part);
}

/*
 * An idle target gets the part regardless of its estimate. An estimate that
 * exceeds every deadline would otherwise never be corrected.
 */
static bool
target_may_probe(const target_t *target, int64_t wait_us)
{
    return target->in_progress == 0 && wait_us == 0;
}

static gate_decision_t
submit_refuse(gate_t *gate, uint32_t part, const part_request_t *request,
              part_status_t status, int64_t wait_us, int64_t now_us,
              part_reply_t *refusal)
{
    gate->targets[gate->parts[part].target].refused++;
    part_release_claim(gate, part, now_us);
    part_free(gate, part);
    return refuse(request, status, retry_after_us(wait_us), refusal);
}

/* Queues or holds the part; if too many wait, it may be the one evicted. */
static gate_decision_t
submit_wait(gate_t *gate, uint32_t part, bool held,
            const part_request_t *request, int64_t now_us,
            part_reply_t *refusal)
{
    if (held) {
        part_hold(gate, part);
    }
    else {
        part_enqueue(gate, part, now_us);
    }
    if (gate->waiting_count <= gate->settings.queue_max) {
        return GATE_WAIT;
    }
    uint32_t victim = queue_victim(gate);
    if (victim != part) {
        part_refuse(gate, victim, PART_LIMITED, now_us);
        return GATE_WAIT;
    }
    part_dequeue(gate, part, now_us);
    const target_t *target = &gate->targets[gate->parts[part].target];
    int64_t wait_us = target_wait_us(gate, target, request->class, now_us);
    return submit_refuse(gate, part, request, PART_LIMITED, wait_us, now_us,
                         refusal);
}

static gate_decision_t
submit_part(gate_t *gate, uint32_t part, const part_request_t *request,
            int64_t now_us, part_reply_t *refusal)
{
    target_t *target = &gate->targets[gate->parts[part].target];
    quarantine_action_t action = part_check_quarantine(gate, part, now_us);
    if (action == QUARANTINE_ACTION_REFUSE) {
        int64_t left_us =
            quarantine_left_us(gate->quarantine, request->fingerprint, now_us);
        return submit_refuse(gate, part, request, PART_QUARANTINED, left_us,
                             now_us, refusal);
    }
    int64_t wait_us = target_wait_us(gate, target, request->class, now_us);
    bool may_start = action == QUARANTINE_ACTION_ADMIT &&
                     part_may_start(gate, part, now_us);
    if (may_start && target_may_probe(target, wait_us)) {
        part_count_start(gate, part, now_us);
        return GATE_SEND;
    }
    part_status_t status =
        queue_refusal(gate, target, request, may_start, wait_us, now_us);
    if (status != PART_OK) {
        return submit_refuse(gate, part, request, status, wait_us, now_us,
                             refusal);
    }
    if (may_start) {
        part_count_start(gate, part, now_us);
        return GATE_SEND;
    }
    return submit_wait(gate, part, action == QUARANTINE_ACTION_HOLD, request,
                       now_us, refusal);
}

gate_decision_t
gate_submit(gate_t *gate, const part_request_t *request, int64_t now_us,
            part_reply_t *refusal)
{
    gate->now_us = now_us;
    if (part_find(gate, request->id) != HEAP_NONE) {
        refuse(request, PART_LIMITED, 0, refusal);
        refusal->not_run = false;
        return GATE_REFUSE;
    }
    uint32_t target = target_find(gate, request->upstream);
    part_status_t status =
        target_refusal(gate, target, request->upstream, now_us);
    if (status != PART_OK) {
        return refuse(request, status, 0, refusal);
    }
    if (now_us >= request->deadline_us) {
        return refuse(request, PART_EXPIRED, 0, refusal);
    }
    if (request->hedge &&
        cold_refuses_hedges(&gate->targets[target].cold, now_us)) {
        return refuse(request, PART_COLD, 0, refusal);
    }
    uint32_t part = part_create(gate, request, target, now_us);
    if (part == HEAP_NONE) {
        return refuse(request, PART_LIMITED, RETRY_MIN_US, refusal);
    }
    return submit_part(gate, part, request, now_us, refusal);
}

static cold_reply_kind_t
reply_kind(part_status_t status)
{
    switch (status) {
    case PART_OK:
        return COLD_REPLY_GOOD;
    case PART_SHED:
        return COLD_REPLY_SHED;
    case PART_LOST:
    case PART_BAD_REPLY:
        return COLD_REPLY_LOST;
    default:
        return COLD_REPLY_OTHER;
    }
}

/* Adds the reply to the target's histogram and updates the estimates. */
static void
target_record_service_time(target_t *target, const gate_result_t *result)
{
    bool timed_out =
        result->status == PART_LOST && !result->reset && !result->not_run;
    if ((result->status != PART_OK && !timed_out) || result->service_us <= 0) {
        return;
    }
    hist_add(&target->hist, result->service_us);
    uint64_t count = target->hist.count;
    if (count % ESTIMATE_SAMPLES == 0 || count < ESTIMATE_SAMPLES) {
        target->median_service_us = hist_quantile(&target->hist, 0.5);
        target->p90_service_us = hist_quantile(&target->hist, 0.9);
    }
    if (count >= DECAY_SAMPLES) {
        hist_decay(&target->hist);
    }
}

static void
target_record_reply(target_t *target, const gate_result_t *result,
                    bool restarted, int64_t now_us)
{
    /* A restart first shows as a broken connection. */
    cold_reply_t reply = {.kind = reply_kind(result->status),
                          .cold = result->cold,
                          .restarted = restarted || result->reset,
                          .service_us = result->service_us,
                          .retry_after_us = result->retry_after_us};
    target_record_service_time(target, result);
    cold_record_reply(&target->cold, &target->limits, &reply, now_us);
}

void
gate_finish(gate_t *gate, attempt_id_t id, const gate_result_t *result,
            int64_t now_us)
{
    gate->now_us = now_us;
    uint32_t part = part_find(gate, id);
    if (part == HEAP_NONE || gate->parts[part].state != PART_STATE_SENT) {
        return;
    }
    target_t *target = &gate->targets[gate->parts[part].target];
    uint64_t boot = target->boot;
    bool restarted = boot != 0 && result->boot != 0 && result->boot != boot;
    part_record_result(gate, part, result, now_us);
    target_record_reply(target, result, restarted, now_us);
    part_count_end(gate, part, now_us);
    target_refuse_unservable(gate, gate->parts[part].target, now_us);
    part_release_claim(gate, part, now_us);
    part_free(gate, part);
}

bool
gate_cancel(gate_t *gate, attempt_id_t id)
{
    uint32_t part = part_find(gate, id);
    if (part == HEAP_NONE || gate->parts[part].state == PART_STATE_SENT) {
        return false;
    }
    gate_part_t *entry = &gate->parts[part];
    if (entry->state == PART_STATE_REFUSED) {
        part_list_remove(gate, &gate->refused, part);
    }
    else {
        part_dequeue(gate, part, gate->now_us);
        part_release_claim(gate, part, gate->now_us);
    }
    part_free(gate, part);
    return true;
}

static gate_decision_t
next_refusal(gate_t *gate, int64_t now_us, attempt_id_t *id,
             part_reply_t *refusal)
{
    uint32_t part = gate->refused.first;
    const gate_part_t *entry = &gate->parts[part];
    int64_t wait_us = 0;
    if (entry->target != HEAP_NONE) {
        wait_us = target_wait_us(gate, &gate->targets[entry->target],
                                 entry->class, now_us);
    }
    if (entry->refusal == PART_QUARANTINED) {
        wait_us =
            quarantine_left_us(gate->quarantine, entry->fingerprint, now_us);
    }
    *id = entry->id;
    *refusal = (part_reply_t){.id = entry->id,
                              .status = entry->refusal,
                              .not_run = true,
                              .queue_us = now_us - entry->queued_us};
    if (entry->refusal != PART_GONE && entry->refusal != PART_NOT_OWNER) {
        refusal->retry_after_us = retry_after_us(wait_us);
    }
    part_list_remove(gate, &gate->refused, part);
    part_free(gate, part);
    return GATE_REFUSE;
}

/* Refuses expired parts and updates targets whose backoff or drain ended. */
static void
gate_run_timers(gate_t *gate, int64_t now_us)
{
    uint32_t part = gate->expiring.root;
    while (part != HEAP_NONE && gate->parts[part].latest_start_us <= now_us) {
        part_refuse(gate, part, PART_EXPIRED, now_us);
        part = gate->expiring.root;
    }
    uint32_t target = gate->timers.root;
    while (target != HEAP_NONE && gate->targets[target].timer_us <= now_us) {
        target_update(gate, target, now_us);
        target = gate->timers.root;
    }
}

/*
 * Starts the first part of the first ready flow. Returns false if it refused
 * or held the part, or if the part has just become a suspect or its target no
 * longer admits it; the heaps are then updated and the caller tries again.
 */
static bool
next_send(gate_t *gate, int64_t now_us, attempt_id_t *id)
{
    const flow_t *flow = &gate->flows[gate->ready_flows.root];
    uint32_t index = flow->targets.root;
    uint32_t part = gate->targets[index].queue.root;
    gate_part_t *entry = &gate->parts[part];
    bool was_suspect = entry->suspect;
    quarantine_action_t action = part_check_quarantine(gate, part, now_us);
    if (action == QUARANTINE_ACTION_REFUSE) {
        part_refuse(gate, part, PART_QUARANTINED, now_us);
        return false;
    }
    if (action == QUARANTINE_ACTION_HOLD) {
        part_dequeue(gate, part, now_us);
        part_hold(gate, part);
        return false;
    }
    if (entry->suspect != was_suspect ||
        !target_admits(gate, &gate->targets[index], entry, now_us)) {
        target_update(gate, index, now_us);
        return false;
    }
    part_dequeue(gate, part, now_us);
    part_count_start(gate, part, now_us);
    *id = entry->id;
    return true;
}

gate_decision_t
gate_next(gate_t *gate, int64_t now_us, attempt_id_t *id,
          part_reply_t *refusal)
{
    gate->now_us = now_us;
    gate_run_timers(gate, now_us);
    while (gate->refused.first == HEAP_NONE &&
           gate->ready_flows.root != HEAP_NONE) {
        if (next_send(gate, now_us, id)) {
            return GATE_SEND;
        }
    }
    if (gate->refused.first != HEAP_NONE) {
        return next_refusal(gate, now_us, id, refusal);
    }
    return GATE_IDLE;
}

int64_t
gate_wakeup(const gate_t *gate, int64_t now_us)
{
    if (gate->refused.first != HEAP_NONE ||
        gate->ready_flows.root != HEAP_NONE) {
        return now_us;
    }
    int64_t wakeup_us = INT64_MAX;
    if (gate->expiring.root != HEAP_NONE) {
        wakeup_us = gate->parts[gate->expiring.root].latest_start_us;
    }
    if (gate->timers.root != HEAP_NONE) {
        int64_t timer_us = gate->targets[gate->timers.root].timer_us;
        wakeup_us = timer_us < wakeup_us ? timer_us : wakeup_us;
    }
    return wakeup_us > now_us ? wakeup_us : now_us;
}
