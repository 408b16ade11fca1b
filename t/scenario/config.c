#include "t/scenario/sim.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum {
    STORE_LATENCY_US = 1000,
    STORE_TIMEOUT_US = 500000,
    STORE_LOST_REPLY_US = 100000,
    STORE_DELAY_MAX_US = 1000000,
    GRANT_US = 2500000,
    HOLD_CHANGE_TIMEOUT_US = 2000000,
    STORE_KEY_SIZE = 64,
    COMMIT_INTERVAL_US = 10000,
    INTENT_GENERATION_US = 60000000,
    INTENT_RETENTION = 15
};

#define KEY_CONFIG "yuccarun/config"

typedef enum {
    STORE_READ_CONFIG,
    STORE_WRITE_CONFIG,
    STORE_CHANGE_READ,
    STORE_CHANGE_WRITE,
    STORE_INTENT_READ,
    STORE_INTENT_WRITE
} store_kind_t;

typedef struct {
    store_kind_t kind;
    size_t node;
    uint64_t incarnation;
    size_t index; /* of the change or the intent bucket */
    char key[STORE_KEY_SIZE];
    char *text;
    size_t size;
    uint64_t cas;
    int64_t sent_us;
    bool timed_out; /* reaches the store after its caller's timeout */
    bool delayed;   /* the delay of a slow store was applied */
    status_t status;
    uint64_t found_index;
} store_call_t;

void
sim_store_call_free(void *item)
{
    store_call_t *call = item;
    if (call != NULL) {
        free(call->text);
        free(call);
    }
}

static bool
is_write(const store_call_t *call)
{
    return call->kind == STORE_WRITE_CONFIG ||
           call->kind == STORE_CHANGE_WRITE ||
           call->kind == STORE_INTENT_WRITE;
}

static void
store_submit(sim_t *sim, size_t node, const store_call_t *from,
             const void *text, size_t size)
{
    store_call_t *call = sim_alloc(sizeof(*call));
    *call = *from;
    call->node = node;
    call->incarnation = sim->nodes[node].incarnation;
    call->sent_us = sim->now_us;
    call->text = sim_alloc(size + 1);
    call->size = size;
    if (size > 0) {
        memcpy(call->text, text, size);
    }
    if (sim->nodes[node].isolated) {
        call->status = STATUS_UNAVAILABLE;
        sim_push(sim, EVENT_STORE_DONE, sim->now_us + STORE_LATENCY_US, node)
            ->item = call;
        return;
    }
    sim_push(sim, EVENT_STORE, sim->now_us + STORE_LATENCY_US, SIM_NODES_MAX)
        ->item = call;
}

static void
store_answer(sim_t *sim, store_call_t *call, status_t status, int64_t wait_us)
{
    call->status = status;
    sim_event_t *event =
        sim_push(sim, EVENT_STORE_DONE, sim->now_us + wait_us, call->node);
    event->incarnation = call->incarnation;
    event->item = call;
}

static void
store_perform(sim_t *sim, store_call_t *call)
{
    bool stale = sim->store_fault == KV_FAULT_STALE;
    if (is_write(call)) {
        kv_write_t write = {.cas = true, .cas_index = call->cas};
        bool done = kv_put(sim->kv, call->key, call->text, call->size, &write);
        call->status = done ? STATUS_OK : STATUS_CONFLICT;
        return;
    }
    kv_entry_t entry;
    if (!kv_read(sim->kv, call->key, stale, &entry)) {
        call->status = STATUS_NOT_FOUND;
        return;
    }
    free(call->text);
    call->text = sim_alloc(entry.size + 1);
    memcpy(call->text, entry.value, entry.size);
    call->size = entry.size;
    call->found_index = entry.index;
    call->status = STATUS_OK;
}

/* Schedule the timeout at the caller; the call itself is still pending. */
static void
store_time_out(sim_t *sim, const store_call_t *call)
{
    store_call_t *copy = sim_alloc(sizeof(*copy));
    *copy = *call;
    copy->text = NULL;
    copy->size = 0;
    store_answer(sim, copy, STATUS_TIMEOUT, STORE_TIMEOUT_US);
}

/*
 * Delay a call at a slow store. If the delay reaches the caller's timeout, the
 * caller gets STATUS_TIMEOUT and the call still takes effect later.
 */
static void
store_delay(sim_t *sim, store_call_t *call)
{
    int64_t wait_us = (int64_t)sim_random(sim, STORE_DELAY_MAX_US);
    call->delayed = true;
    call->timed_out = wait_us >= STORE_TIMEOUT_US;
    if (call->timed_out) {
        store_time_out(sim, call);
    }
    sim_push(sim, EVENT_STORE, sim->now_us + wait_us, SIM_NODES_MAX)->item =
        call;
}

void
sim_store_execute(sim_t *sim, sim_event_t *event)
{
    store_call_t *call = event->item;
    if (call->timed_out) {
        store_perform(sim, call);
        return;
    }
    event->item = NULL;
    switch (sim->store_fault) {
    case KV_FAULT_DOWN:
        store_answer(sim, call, STATUS_UNAVAILABLE, STORE_LATENCY_US);
        return;
    case KV_FAULT_SLOW:
        if (!call->delayed) {
            store_delay(sim, call);
            return;
        }
        break;
    default:
        break;
    }
    store_perform(sim, call);
    bool lost = sim->store_fault == KV_FAULT_LOST_REPLY && is_write(call);
    store_answer(sim, call, lost ? STATUS_UNKNOWN : call->status,
                 lost ? STORE_LOST_REPLY_US : STORE_LATENCY_US);
}

/* Make the store lose the newest change of the configuration. */
void
sim_store_roll_back(sim_t *sim)
{
    kv_entry_t entry;
    kv_write_t write = {.cas = false};
    if (kv_read(sim->kv, KEY_CONFIG, true, &entry)) {
        char *text = sim_alloc(entry.size + 1);
        memcpy(text, entry.value, entry.size);
        kv_put(sim->kv, KEY_CONFIG, text, entry.size, &write);
        free(text);
    }
}

uint64_t
sim_store_version(sim_t *sim)
{
    kv_entry_t entry;
    config_t *config = NULL;
    error_t err = ERROR_INIT;
    if (!kv_read(sim->kv, KEY_CONFIG, false, &entry) ||
        config_parse_json(entry.value, entry.size, &config, &err) !=
            STATUS_OK) {
        return 0;
    }
    uint64_t version = config->version;
    config_put(config);
    return version;
}

/*
 * Rebuild the effective configuration, which routes requests: the adopted
 * configuration with the holds applied.
 */
static void
apply_holds(sim_t *sim, sim_node_t *node)
{
    error_t err = ERROR_INIT;
    config_t *copy = config_copy(node->config);
    for (size_t i = 0; i < node->holds.count; i++) {
        const hold_t *hold = &node->holds.holds[i];
        if (hold->out && hold->kind == HOLD_ZONE) {
            config_set_zone_out(copy, hold->name, true, &err);
        }
        else if (hold->out) {
            config_set_vm_out(copy, hold->name, true, &err);
        }
    }
    config_put(node->effective);
    node->effective = copy;
    confsync_adopt(&node->sync, node->config->version,
                   hold_set_digest(&node->holds));
    check_config(sim, node);
    sim_node_update_view(sim, node->index);
}

/*
 * Drop the holds that a newer configuration ends. Holds that this daemon made
 * and whose change the configuration lacks are placed again.
 */
static void
renew_own_holds(sim_node_t *node, const config_t *config)
{
    size_t kept = 0;
    hold_set_drop(&node->holds, config->version);
    for (size_t i = 0; i < node->own_hold_count; i++) {
        hold_t own = node->own_holds[i];
        bool is_out = own.kind == HOLD_ZONE
                          ? config_zone_is_out(config, own.name)
                          : config_vm_is_out(config, own.name);
        if (!is_out && hold_set_change(&node->holds, own.kind, own.name, true,
                                       "ops", config->version) == STATUS_OK) {
            node->own_holds[kept++] = own;
        }
    }
    node->own_hold_count = kept;
}

/* Forget this daemon's own holds that an operator has ended. */
static void
drop_ended_holds(sim_node_t *node)
{
    size_t kept = 0;
    for (size_t i = 0; i < node->own_hold_count; i++) {
        hold_t own = node->own_holds[i];
        if (hold_set_is_out(&node->holds, own.kind, own.name)) {
            node->own_holds[kept++] = own;
        }
    }
    node->own_hold_count = kept;
}

static void
adopt_config(sim_t *sim, sim_node_t *node, config_t *config)
{
    if (!confsync_is_newer(&node->sync, config->version)) {
        return;
    }
    renew_own_holds(node, config);
    confsync_adopt(&node->sync, config->version,
                   hold_set_digest(&node->holds));
    config_t *before = node->config;
    node->config = config_get(config);
    config_put(before);
    sim_log(sim, "%s adopts configuration version %" PRIu64, node->name,
            config->version);
    apply_holds(sim, node);
}

void
sim_config_init(sim_t *sim)
{
    error_t err = ERROR_INIT;
    config_t *config = config_new();
    config->rows = sim_alloc(SIM_SERVICES_MAX * sizeof(*config->rows));
    for (size_t i = 0; i < sim->service_count; i++) {
        size_t at = config->row_count++;
        while (at > 0 && strcmp(config->rows[at - 1].service,
                                sim->services[i].name) > 0) {
            config->rows[at] = config->rows[at - 1];
            at--;
        }
        config->rows[at] = sim->services[i].row;
    }
    config_advance(config, CHANGE_ROWS, "first", "ops");
    char *text = config_format_json(config);
    kv_write_t write = {.cas = true};
    kv_put(sim->kv, KEY_CONFIG, text, strlen(text), &write);
    config_put(config);
    if (config_parse_json(text, strlen(text), &sim->first_config, &err) !=
        STATUS_OK) {
        sim_fail(sim, "the script's configuration table is invalid: %s",
                 error_text(&err));
    }
    free(text);
    sim->highest_version = 1;
}

static void
start_change(sim_t *sim, size_t node, const change_edit_t *edit)
{
    if (sim->change_count == SIM_CHANGES_MAX) {
        sim_fail(sim, "the script makes too many changes");
        return;
    }
    error_t err = ERROR_INIT;
    sim_change_t *change = &sim->changes[sim->change_count++];
    *change = (sim_change_t){.edit = *edit,
                             .node = node,
                             .incarnation = sim->nodes[node].incarnation,
                             .created_us = sim->now_us};
    snprintf(change->edit.id, CHANGE_ID_SIZE, "change-%zu", sim->change_count);
    change_settings_t settings = CHANGE_SETTINGS_DEFAULT;
    settings.seed = sim_random(sim, INT32_MAX);
    if (edit->kind != CHANGE_ROWS && edit->out) {
        settings.timeout_us = HOLD_CHANGE_TIMEOUT_US;
    }
    change->change = change_new(&settings, &change->edit,
                                sim->nodes[node].config, sim->now_us, &err);
    if (change->change == NULL) {
        change->done = true;
        change->status = STATUS_INVALID;
    }
}

static sim_out_of_service_t *
find_or_add_out_of_service(sim_t *sim, hold_kind_t kind, const char *name)
{
    for (size_t i = 0; i < sim->out_of_service_count; i++) {
        if (sim->out_of_service[i].kind == kind &&
            strcmp(sim->out_of_service[i].name, name) == 0) {
            return &sim->out_of_service[i];
        }
    }
    if (sim->out_of_service_count == SIM_OUT_OF_SERVICE_MAX) {
        abort();
    }
    sim_out_of_service_t *out =
        &sim->out_of_service[sim->out_of_service_count++];
    *out = (sim_out_of_service_t){.kind = kind};
    snprintf(out->name, NAME_SIZE, "%s", name);
    return out;
}

/*
 * Record whether the zone or VM must be out of service. A change of an older
 * configuration version is ignored.
 */
static void
record_out_of_service(sim_t *sim, hold_kind_t kind, const char *name,
                      bool is_out, uint64_t version)
{
    sim_out_of_service_t *out = find_or_add_out_of_service(sim, kind, name);
    if (version != 0 && version < out->version) {
        return;
    }
    out->version = version != 0 ? version : out->version;
    if (is_out && !out->is_out) {
        out->accepted_us = sim->now_us;
    }
    out->is_out = is_out;
}

/*
 * Change the hold at once, before the change is in the store, as the daemon
 * does. Returns true if the hold changed, or if the zone or VM was to be taken
 * out of service and already is.
 */
static bool
place_hold(sim_t *sim, sim_node_t *node, hold_kind_t kind, const char *name,
           bool out)
{
    if (node->config == NULL ||
        hold_set_is_out(&node->holds, kind, name) == out) {
        return node->config != NULL && out;
    }
    if (hold_set_change(&node->holds, kind, name, out, "ops",
                        node->sync.version) != STATUS_OK) {
        return false;
    }
    if (out && node->own_hold_count < HOLDS_MAX) {
        hold_t *own = &node->own_holds[node->own_hold_count++];
        *own = (hold_t){.kind = kind};
        memcpy(own->name, name, strlen(name) + 1);
    }
    drop_ended_holds(node);
    apply_holds(sim, node);
    return true;
}

static config_t *
make_step_rows(sim_t *sim, const sim_node_t *node, const step_t *step)
{
    config_t *rows = config_copy(node->config);
    const char *service = step_text(step, "service", sim->services[0].name);
    uint32_t value = (uint32_t)step_int(step, "value", 1);
    for (size_t i = 0; i < rows->row_count; i++) {
        if (strcmp(rows->rows[i].service, service) != 0) {
            continue;
        }
        if (strcmp(step_text(step, "column", ""), "deadline_ms") == 0) {
            rows->rows[i].deadline_ms = value;
        }
        else {
            rows->rows[i].weight = value;
        }
    }
    return rows;
}

void
sim_change_start(sim_t *sim, const step_t *step)
{
    size_t at = (size_t)step_int(step, "daemon", 1) - 1;
    sim_node_t *node = &sim->nodes[at % sim->node_count];
    if (!sim_node_runs(sim, node->index) || node->config == NULL) {
        sim_log(sim,
                "an operator's change fails: %s does not run or has no "
                "configuration",
                node->name);
        return;
    }
    change_edit_t edit = {.by = "ops", .kind = CHANGE_ROWS};
    const char *name = step_text(step, "name", "");
    if (step->kind == STEP_ROWS) {
        edit.rows = make_step_rows(sim, node, step);
        edit.based_on =
            (uint64_t)step_int(step, "based_on", (int64_t)node->sync.version);
        sim_log(sim, "an operator changes rows at %s", node->name);
        start_change(sim, node->index, &edit);
        return;
    }
    hold_kind_t kind = step->kind == STEP_ZONE ? HOLD_ZONE : HOLD_VM;
    edit.kind = kind == HOLD_ZONE ? CHANGE_ZONE : CHANGE_VM;
    edit.out = strcmp(step_text(step, "state", "out"), "out") == 0;
    snprintf(edit.name, NAME_SIZE, "%s", name);
    sim_log(sim, "an operator takes %s %s %s at %s",
            step_kind_name(step->kind), name, edit.out ? "out" : "in",
            node->name);
    bool held = place_hold(sim, node, kind, name, edit.out);
    start_change(sim, node->index, &edit);
    sim->changes[sim->change_count - 1].hold_placed = held;
    if (!edit.out) {
        record_out_of_service(sim, kind, name, false, 0);
    }
}

static void
finish_change(sim_t *sim, sim_change_t *change)
{
    const change_outcome_t *outcome = change_outcome(change->change);
    const change_edit_t *edit = &change->edit;
    sim_node_t *node = &sim->nodes[change->node];
    change->done = true;
    change->done_us = sim->now_us;
    change->status = outcome->status;
    change->version = outcome->version;
    sim_log(sim, "%s at %s ends: %s, version %" PRIu64, edit->id, node->name,
            status_name(outcome->status), outcome->version);
    hold_kind_t kind = edit->kind == CHANGE_ZONE ? HOLD_ZONE : HOLD_VM;
    if (outcome->status == STATUS_OK) {
        if (outcome->version > sim->highest_version) {
            sim->highest_version = outcome->version;
        }
        adopt_config(sim, node, outcome->config);
        if (edit->kind != CHANGE_ROWS) {
            record_out_of_service(sim, kind, edit->name, edit->out,
                                  outcome->version);
        }
        return;
    }
    if (edit->kind != CHANGE_ROWS && edit->out && change->hold_placed &&
        !node->isolated && hold_set_is_out(&node->holds, kind, edit->name)) {
        record_out_of_service(sim, kind, edit->name, true, 0);
    }
}

static void
step_change(sim_t *sim, size_t index)
{
    sim_change_t *change = &sim->changes[index];
    if (change->done || change->store_call_pending ||
        !sim_node_runs(sim, change->node)) {
        return;
    }
    if (sim->nodes[change->node].incarnation != change->incarnation) {
        change->done = true;
        change->status = STATUS_UNKNOWN;
        return;
    }
    change_request_t request;
    store_call_t call = {.index = index, .key = KEY_CONFIG};
    switch (change_next(change->change, sim->now_us, &request)) {
    case CHANGE_READ:
        call.kind = STORE_CHANGE_READ;
        change->store_call_pending = true;
        store_submit(sim, change->node, &call, NULL, 0);
        break;
    case CHANGE_WRITE:
        call.kind = STORE_CHANGE_WRITE;
        call.cas = request.index;
        change->store_call_pending = true;
        store_submit(sim, change->node, &call, request.text, request.size);
        break;
    case CHANGE_WAIT:
        if (change_wakeup(change->change) != change->wake_us) {
            change->wake_us = change_wakeup(change->change);
            sim_push(sim, EVENT_WAKE, change->wake_us, SIM_NODES_MAX);
        }
        break;
    case CHANGE_DONE:
        finish_change(sim, change);
        break;
    }
}

void
sim_changes_step(sim_t *sim)
{
    for (size_t i = 0; i < sim->change_count; i++) {
        step_change(sim, i);
    }
}

/*
 * Start the change that stores the first hold made while the store was
 * unreachable, unless a change of this daemon is pending.
 */
static void
store_own_holds(sim_t *sim, sim_node_t *node)
{
    if (node->own_hold_count == 0) {
        return;
    }
    for (size_t i = 0; i < sim->change_count; i++) {
        if (!sim->changes[i].done && sim->changes[i].node == node->index) {
            return;
        }
    }
    const hold_t *own = &node->own_holds[0];
    change_edit_t edit = {
        .kind = own->kind == HOLD_ZONE ? CHANGE_ZONE : CHANGE_VM,
        .out = true,
        .by = "ops",
    };
    memcpy(edit.name, own->name, NAME_SIZE);
    start_change(sim, node->index, &edit);
}

static void
handle_config_read(sim_t *sim, sim_node_t *node, const store_call_t *call)
{
    config_t *config = NULL;
    error_t err = ERROR_INIT;
    if (call->status == STATUS_OK &&
        config_parse_json(call->text, call->size, &config, &err) !=
            STATUS_OK) {
        sim_fail(sim, "the store's configuration is invalid: %s",
                 error_text(&err));
        return;
    }
    if (config != NULL) {
        adopt_config(sim, node, config);
    }
    uint64_t version = config == NULL ? 0 : config->version;
    config_put(config);
    if (!confsync_store_answered(&node->sync, version, call->sent_us)) {
        char *text = config_format_json(node->config);
        store_call_t write = {.kind = STORE_WRITE_CONFIG,
                              .key = KEY_CONFIG,
                              .cas = call->found_index};
        store_submit(sim, node->index, &write, text, strlen(text));
        free(text);
    }
    if (node->config != NULL) {
        store_own_holds(sim, node);
    }
}

static void
handle_intent_done(sim_t *sim, sim_node_t *node, const store_call_t *call)
{
    intent_log_t *log = node->logs[call->index];
    node->log_call_pending[call->index] = false;
    if (call->kind == STORE_INTENT_WRITE) {
        intent_write_done(log, call->status, 0, sim->now_us);
    }
    else {
        intent_read_done(log, call->status, (const uint8_t *)call->text,
                         call->size, call->found_index, sim->now_us);
    }
    sim_intents_step(sim, node->index);
}

void
sim_store_complete(sim_t *sim, sim_event_t *event)
{
    const store_call_t *call = event->item;
    sim_node_t *node = &sim->nodes[call->node];
    if (!node->alive || node->incarnation != call->incarnation) {
        return;
    }
    sim_change_t *change = &sim->changes[call->index];
    switch (call->kind) {
    case STORE_READ_CONFIG:
        node->config_read_pending = false;
        if (call->status == STATUS_OK || call->status == STATUS_NOT_FOUND) {
            handle_config_read(sim, node, call);
        }
        break;
    case STORE_CHANGE_READ:
        change->store_call_pending = false;
        change_read_result(change->change, call->status, call->found_index,
                           call->text, call->size, sim->now_us);
        break;
    case STORE_CHANGE_WRITE:
        change->store_call_pending = false;
        change_write_result(change->change, call->status, sim->now_us);
        break;
    case STORE_INTENT_READ:
    case STORE_INTENT_WRITE:
        handle_intent_done(sim, node, call);
        break;
    default:
        break;
    }
}

void
sim_config_poll(sim_t *sim, size_t index)
{
    sim_node_t *node = &sim->nodes[index];
    /* The store's reply to this read starts the change for an own hold. */
    bool polls_store = index < CONFSYNC_WATCHERS || node->own_hold_count > 0;
    if (!node->config_read_pending &&
        (confsync_read_due(&node->sync, sim->now_us) || polls_store)) {
        store_call_t call = {.kind = STORE_READ_CONFIG, .key = KEY_CONFIG};
        node->config_read_pending = true;
        store_submit(sim, index, &call, NULL, 0);
    }
}

static void
heartbeat(sim_t *sim, const sim_node_t *from, sim_node_t *to)
{
    confsync_report_t report;
    int64_t last_report_us = from->last_report_us[to->index];
    bool member = roster_doc_find(&from->roster, to->name) >= 0;
    int64_t grant_us =
        member && last_report_us > 0 ? last_report_us + GRANT_US : 0;
    confsync_report_make(&from->sync, sim->now_us, &report);
    if (report.version > to->sync.version) {
        adopt_config(sim, to, from->config);
    }
    if (to->config != NULL && report.holds_digest != to->sync.holds_digest &&
        hold_set_merge(&to->holds, &from->holds)) {
        hold_set_drop(&to->holds, to->config->version);
        drop_ended_holds(to);
        apply_holds(sim, to);
    }
    confsync_report_receive(&to->sync, from->name, from->incarnation, &report,
                            last_report_us, grant_us, sim->now_us);
    to->last_report_us[from->index] = sim->now_us;
}

/* Deliver each daemon's heartbeat report to each daemon it can reach. */
void
sim_exchange_heartbeats(sim_t *sim)
{
    for (size_t i = 0; i < sim->node_count * sim->node_count; i++) {
        sim_node_t *from = &sim->nodes[i / sim->node_count];
        sim_node_t *to = &sim->nodes[i % sim->node_count];
        if (from != to && sim_node_runs(sim, from->index) &&
            sim_node_runs(sim, to->index) && !from->isolated &&
            !to->isolated) {
            heartbeat(sim, from, to);
        }
    }
}

/* Perform the actions of the daemon's intent logs, and hand out results. */
void
sim_intents_step(sim_t *sim, size_t index)
{
    sim_node_t *node = &sim->nodes[index];
    for (size_t i = 0; i < INTENT_BUCKETS; i++) {
        intent_action_t action;
        intent_result_t result;
        if (node->logs[i] == NULL) {
            continue;
        }
        while (intent_next_result(node->logs[i], &result)) {
            caller_intent_result(sim, index, &result);
        }
        if (node->log_call_pending[i]) {
            continue;
        }
        intent_action_kind_t kind =
            intent_next_action(node->logs[i], sim->now_us, &action);
        if (kind == INTENT_ACTION_NONE) {
            continue;
        }
        store_call_t call = {.kind = STORE_INTENT_READ, .index = i};
        snprintf(call.key, sizeof(call.key), "yuccarun/once/%zu", i);
        node->log_call_pending[i] = true;
        if (kind == INTENT_ACTION_WRITE) {
            call.kind = STORE_INTENT_WRITE;
            call.cas = action.index;
            store_submit(sim, index, &call, action.value, action.size);
        }
        else {
            store_submit(sim, index, &call, NULL, 0);
        }
    }
}
