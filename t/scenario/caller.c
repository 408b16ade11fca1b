#include "t/scenario/sim.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    COMMIT_INTERVAL_US = 10000,
    INTENT_GENERATION_US = 60000000,
    INTENT_RETENTION = 15,
    FORWARD_GRACE_US = 500000,
    /* How long callers still use a daemon that is leaving. */
    LEAVING_ENTRY_KEEP_US = 1000000
};

call_t *
call_find(const sim_t *sim, attempt_id_t id)
{
    for (size_t i = sim->call_count; i > 0; i--) {
        call_t *call = sim->calls[i - 1];
        if (call->sequence == id.sequence &&
            call->incarnation == id.incarnation) {
            return call;
        }
    }
    return NULL;
}

static void *
list_add(void *list, size_t count, void *item)
{
    void **grown = realloc(list, (count + 1) * sizeof(*grown));
    if (grown == NULL) {
        abort();
    }
    grown[count] = item;
    return grown;
}

static call_t *
new_call(sim_t *sim, operation_t *operation)
{
    call_t *call = sim_alloc(sizeof(*call));
    call->sim = sim;
    call->operation = operation;
    call->step = operation->step;
    range_set_init(&call->started_ranges);
    sim->calls = list_add(sim->calls, sim->call_count, call);
    sim->call_count++;
    return call;
}

static operation_t *
new_operation(sim_t *sim, size_t step, int64_t number)
{
    const step_t *from = &sim->script->steps[step];
    operation_t *operation = sim_alloc(sizeof(*operation));
    operation->step = step;
    operation->once = step_int(from, "once", 0) != 0;
    range_set_init(&operation->started_ranges);
    snprintf(operation->name, NAME_SIZE, "%.18s-%u",
             step_text(from, "name", "q"), (unsigned)number);
    if (step_has_field(from, "id")) {
        char id[FIELD_TEXT_SIZE + NAME_SIZE];
        snprintf(id, sizeof(id), "%s-%" PRId64, step_text(from, "id", ""),
                 number);
        operation->once = true;
        operation->hash = once_hash_id("-", "-", id);
    }
    sim->operations =
        list_add(sim->operations, sim->operation_count, operation);
    sim->operation_count++;
    return operation;
}

void
caller_schedule(sim_t *sim, size_t step)
{
    const step_t *from = &sim->script->steps[step];
    int64_t count = step_int(from, "count", 1);
    int64_t every_us = step_int(from, "every_us", 5000);
    int64_t resends = step_int(from, "resends", 0);
    int64_t resend_us = step_int(from, "resend_ms", 100) * SIM_MS;
    for (int64_t i = 0; i < count; i++) {
        operation_t *operation = new_operation(sim, step, i);
        for (int64_t n = 0; n <= resends; n++) {
            call_t *call = new_call(sim, operation);
            call->resends_left = (size_t)(resends - n);
            sim_push(sim, EVENT_CALL,
                     sim->now_us + i * every_us + n * resend_us, SIM_NODES_MAX)
                ->item = call;
        }
    }
}

/*
 * Choose the daemon that receives a request: one that is alive, has trusted a
 * configuration and is not leaving, or SIM_NODES_MAX if there is none. Callers
 * keep using their chosen daemon for a short time after it starts to leave.
 */
static size_t
choose_entry_node(sim_t *sim, const call_t *call)
{
    const step_t *from = &sim->script->steps[call->step];
    int64_t wanted = step_int(from, "daemon", 0);
    bool resent = (int64_t)call->resends_left < step_int(from, "resends", 0);
    if (resent && step_has_field(from, "resend_daemon")) {
        wanted = step_int(from, "resend_daemon", 0);
    }
    size_t first = wanted > 0 ? (size_t)wanted - 1
                              : (size_t)sim_random(sim, sim->node_count);
    for (size_t i = 0; i < sim->node_count; i++) {
        size_t at = (first + i) % sim->node_count;
        const sim_node_t *node = &sim->nodes[at];
        bool kept =
            i == 0 && sim->now_us < node->disturbed_us + LEAVING_ENTRY_KEEP_US;
        if (node->alive && atomic_load(&node->trust_until_us) > 0 &&
            (!node->leaving || kept)) {
            return at;
        }
    }
    return SIM_NODES_MAX;
}

static void
record_answer(call_t *call, const query_answer_t *answer)
{
    sim_t *sim = call->sim;
    if (call->forward_expired) {
        return;
    }
    call->answers_received++;
    call->ended_us = sim->now_us;
    call->answer = *answer;
    if (answer->outcome != OUTCOME_WHOLE) {
        sim_log(sim, "%s at %s: %s, %s", call->operation->name,
                sim->nodes[call->node].name, outcome_name(answer->outcome),
                reason_name(answer->reason));
    }
    check_answer(sim, call);
}

static void
answer_without_run(call_t *call, outcome_t outcome, reason_t reason)
{
    query_answer_t answer = {.outcome = outcome, .reason = reason};
    call->answered_without_run = true;
    record_answer(call, &answer);
}

static void
record_outcome(call_t *call, const query_answer_t *answer)
{
    sim_node_t *node = &call->sim->nodes[call->node];
    once_outcome_t outcome = {
        .outcome = answer->outcome,
        .reason = answer->reason,
        .version = answer->version,
        .generation = answer->generation,
        .asked = answer->asked,
        .covered = answer->covered,
        .count = answer->count,
        .sum = answer->sum,
    };
    once_end(node->once, call->key, &outcome, call->sim->now_us);
    bool withdraw = call->key.by_id && answer->outcome == OUTCOME_NOT_RUN;
    uint64_t hash = call->operation->hash;
    if (withdraw && node->logs[bucket_index(hash)] != NULL) {
        intent_withdraw(node->logs[bucket_index(hash)], hash);
    }
}

static void
on_started(void *context, uint64_t sequence)
{
    call_t *call = context;
    call->sequence = sequence;
}

static void
on_done(void *context, uint64_t sequence, const query_answer_t *answer)
{
    call_t *call = context;
    if (sequence != 0 && sequence != call->sequence) {
        sim_fail(call->sim, "%s received the answer of another request",
                 call->operation->name);
    }
    if (call->once_begun) {
        record_outcome(call, answer);
    }
    record_answer(call, answer);
}

static void
submit_query(call_t *call)
{
    sim_node_t *node = &call->sim->nodes[call->node];
    query_waiter_t waiter = {
        .context = call,
        .done = on_done,
        .started = on_started,
    };
    query_request_t request = call->request;
    request.body = strdup(call->body);
    coordinator_submit(node->coordinator, &request, &waiter,
                       call->sim->now_us);
    node->wakeup_us = 0;
}

static void
fill_request(sim_t *sim, call_t *call)
{
    const step_t *from = &sim->script->steps[call->step];
    const char *service = step_text(from, "service", sim->services[0].name);
    const sim_service_t *found = sim_find_service(sim, service);
    int64_t deadline_ms = step_int(from, "deadline_ms",
                                   found == NULL ? 0 : found->row.deadline_ms);
    query_request_t *request = &call->request;
    snprintf(call->body, sizeof(call->body), "%.31s",
             step_text(from, "body", call->operation->name));
    snprintf(request->service, NAME_SIZE, "%.31s", service);
    snprintf(request->tenant, NAME_SIZE, "%.31s",
             step_text(from, "tenant", "default"));
    request->range.lo = (uint64_t)step_int(from, "lo", 0);
    request->range.hi = (uint64_t)step_int(from, "hi", (int64_t)KEY_END);
    request->deadline_us = sim->now_us + deadline_ms * SIM_MS;
    request->once = call->operation->once;
    request->body_size = strlen(call->body);
    request->fingerprint = XXH64(call->body, request->body_size, 0);
    call->sent_us = sim->now_us;
}

/* Answer a request that the once table does not allow to run. */
static void
answer_from_once_table(call_t *call, once_result_t result,
                       const once_outcome_t *outcome)
{
    query_answer_t answer = {
        .outcome = outcome->outcome,
        .reason = outcome->reason,
        .version = outcome->version,
        .generation = outcome->generation,
        .asked = outcome->asked,
        .covered = outcome->covered,
        .count = outcome->count,
        .sum = outcome->sum,
    };
    switch (result) {
    case ONCE_FINISHED:
        call->answered_without_run = true;
        record_answer(call, &answer);
        break;
    case ONCE_RUNNING:
        answer_without_run(call, OUTCOME_UNKNOWN, REASON_RUNNING);
        break;
    case ONCE_EXPIRED:
        answer_without_run(call, OUTCOME_NOT_RUN, REASON_TICKET);
        break;
    case ONCE_FULL:
        answer_without_run(call, OUTCOME_NOT_RUN, REASON_OVERLOAD);
        break;
    default:
        answer_without_run(call, OUTCOME_UNKNOWN, REASON_TICKET);
        break;
    }
}

/* Forward a request to the daemon that issued its ticket. */
static void
forward_to_ticket_daemon(sim_t *sim, call_t *call)
{
    int home = sim_node_find(sim, call->operation->ticket.incarnation);
    if (home < 0 || sim->nodes[home].isolated ||
        sim->nodes[call->node].isolated) {
        answer_without_run(call, OUTCOME_UNKNOWN, REASON_TICKET);
        return;
    }
    call->forwarded = true;
    sim_push(sim, EVENT_CALL, sim->now_us + sim->link_delay_us, (size_t)home)
        ->item = call;
}

static void
submit_by_ticket(sim_t *sim, call_t *call)
{
    sim_node_t *node = &sim->nodes[call->node];
    operation_t *operation = call->operation;
    once_outcome_t outcome = {.outcome = OUTCOME_UNKNOWN};
    if (operation->ticket.incarnation == 0) {
        operation->ticket = once_issue_ticket(node->once, sim->now_us);
    }
    once_result_t result = once_begin_ticket(
        node->once, &operation->ticket, call->request.fingerprint, sim->now_us,
        &call->key, &outcome);
    if (result == ONCE_RUN) {
        call->once_begun = true;
        submit_query(call);
    }
    else if (result == ONCE_OTHER_DAEMON) {
        forward_to_ticket_daemon(sim, call);
    }
    else {
        answer_from_once_table(call, result, &outcome);
    }
}

/* Remove the entry of a request that did not run from the once table. */
static void
release_claim(call_t *call)
{
    query_answer_t answer = {.outcome = OUTCOME_NOT_RUN};
    once_outcome_t outcome = {.outcome = answer.outcome};
    once_end(call->sim->nodes[call->node].once, call->key, &outcome,
             call->sim->now_us);
}

static void
apply_intent_status(call_t *call, intent_status_t status)
{
    call->waits_for_intent = false;
    if (status == INTENT_RUN) {
        call->once_begun = true;
        submit_query(call);
        return;
    }
    release_claim(call);
    if (status == INTENT_FULL) {
        answer_without_run(call, OUTCOME_NOT_RUN, REASON_OVERLOAD);
    }
    else if (status == INTENT_UNCONFIRMED) {
        answer_without_run(call, OUTCOME_NOT_RUN, REASON_STORE);
    }
    else {
        answer_without_run(call, OUTCOME_UNKNOWN, REASON_LOST);
    }
}

static void
submit_by_id(sim_t *sim, call_t *call)
{
    sim_node_t *node = &sim->nodes[call->node];
    uint64_t hash = call->operation->hash;
    once_outcome_t outcome = {.outcome = OUTCOME_UNKNOWN};
    once_result_t result =
        once_begin_id(node->once, hash, call->request.fingerprint, sim->now_us,
                      &call->key, &outcome);
    if (result != ONCE_RUN) {
        answer_from_once_table(call, result, &outcome);
        return;
    }
    intent_log_t **log = &node->logs[bucket_index(hash)];
    if (*log == NULL) {
        intent_settings_t settings = {.incarnation = node->incarnation,
                                      .commit_interval_us = COMMIT_INTERVAL_US,
                                      .generation_us = INTENT_GENERATION_US,
                                      .retention = INTENT_RETENTION};
        *log = intent_log_new(&settings, bucket_index(hash));
    }
    intent_result_t intent = intent_submit(*log, hash);
    if (intent.status != INTENT_WAIT) {
        apply_intent_status(call, intent.status);
        return;
    }
    call->waits_for_intent = true;
    node->wakeup_us = 0;
}

void
caller_intent_result(sim_t *sim, size_t node, const intent_result_t *result)
{
    bool taken = false;
    for (size_t i = 0; i < sim->call_count; i++) {
        call_t *call = sim->calls[i];
        if (call->waits_for_intent && call->node == node &&
            call->operation->hash == result->hash) {
            taken = true;
            apply_intent_status(call, result->status);
        }
    }
    if (!taken && result->status == INTENT_RUN) {
        intent_withdraw(sim->nodes[node].logs[bucket_index(result->hash)],
                        result->hash);
    }
}

/*
 * Answer requests whose intent the store has not confirmed by their deadline,
 * and forwarded requests that the issuing daemon has not answered in time.
 */
void
caller_tick(sim_t *sim)
{
    for (size_t i = 0; i < sim->call_count; i++) {
        call_t *call = sim->calls[i];
        if (call->waits_for_intent && sim_node_runs(sim, call->node) &&
            call->request.deadline_us <= sim->now_us) {
            apply_intent_status(call, INTENT_UNCONFIRMED);
        }
        if (call->forwarded && call->answers_received == 0 && !call->lost &&
            sim_node_runs(sim, call->entry_node) &&
            call->request.deadline_us + FORWARD_GRACE_US <= sim->now_us) {
            answer_without_run(call, OUTCOME_UNKNOWN, REASON_TICKET);
            call->forward_expired = true;
        }
    }
    for (size_t i = 0; i < sim->node_count; i++) {
        if (sim_node_runs(sim, i)) {
            sim_intents_step(sim, i);
        }
    }
}

void
caller_submit(sim_t *sim, const sim_event_t *event)
{
    call_t *call = event->item;
    if (event->node == SIM_NODES_MAX) {
        call->node = choose_entry_node(sim, call);
        if (call->node == SIM_NODES_MAX) {
            call->lost = true;
            return;
        }
        call->entry_node = call->node;
        fill_request(sim, call);
        call->incarnation = sim->nodes[call->node].incarnation;
        sim_push(sim, EVENT_CALL, sim->now_us, call->node)->item = call;
        return;
    }
    if (call->lost) {
        return;
    }
    const sim_node_t *node = &sim->nodes[event->node];
    if (!node->alive || node->incarnation != event->incarnation) {
        call->lost = true;
        return;
    }
    call->node = event->node;
    call->incarnation = node->incarnation;
    if (!call->operation->once) {
        submit_query(call);
    }
    else if (call->operation->hash != 0) {
        submit_by_id(sim, call);
    }
    else {
        submit_by_ticket(sim, call);
    }
}

/* Mark the unanswered requests of a stopped daemon as lost. */
void
caller_node_stopped(sim_t *sim, size_t node)
{
    for (size_t i = 0; i < sim->call_count; i++) {
        call_t *call = sim->calls[i];
        if (call->node == node && call->sent_us != 0 &&
            call->answers_received == 0) {
            call->lost = true;
            call->waits_for_intent = false;
        }
    }
}

void
caller_release(sim_t *sim)
{
    for (size_t i = 0; i < sim->call_count; i++) {
        range_set_release(&sim->calls[i]->started_ranges);
        free(sim->calls[i]);
    }
    for (size_t i = 0; i < sim->operation_count; i++) {
        range_set_release(&sim->operations[i]->started_ranges);
        free(sim->operations[i]);
    }
    free(sim->calls);
    free(sim->operations);
}
