#include "daemon/clock.h"
#include "daemon/node_state.h"
#include "edge/config_change.h"
#include "edge/event.h"

#include <string.h>

enum { CONFIRM_MS_MAX = 10000, HOLD_STORE_TIMEOUT_US = 3000000 };

static config_t *
current_config(void *context)
{
    node_t *node = context;
    return fleet_current_config(node->fleet);
}

static void
names_add(operator_names_t *names, const char *name)
{
    if (names->count < OPERATOR_NAMES_MAX) {
        memcpy(names->names[names->count++], name, NAME_SIZE);
    }
}

static void
list_confirmations(void *context, uint64_t version,
                   operator_names_t *confirmed, operator_names_t *waiting)
{
    node_t *node = context;
    fleet_member_t members[FLEET_PEERS_MAX];
    size_t count = fleet_members(node->fleet, members, FLEET_PEERS_MAX);
    confirmed->count = 0;
    waiting->count = 0;
    for (size_t i = 0; i < count; i++) {
        bool has = members[i].config_version >= version;
        names_add(has ? confirmed : waiting, members[i].name);
    }
}

static change_t *
run_change(void *context, const change_edit_t *edit, error_t *err)
{
    node_t *node = context;
    store_client_t store;
    change_settings_t rules = CHANGE_SETTINGS_DEFAULT;
    if (edit->kind != CHANGE_ROWS && edit->out) {
        /* The hold is already in force; the store may get the change later. */
        rules.timeout_us = HOLD_STORE_TIMEOUT_US;
    }
    rules.seed = node->incarnation ^ (uint64_t)clock_now_us();
    if (store_http_init(&store, node->settings.store_url,
                        node->settings.store_timeout_ms,
                        fleet_store_counters(node->fleet), err) != STATUS_OK) {
        return NULL;
    }
    config_t *known = fleet_current_config(node->fleet);
    change_t *change = config_change_run(&store, &rules, edit, known, err);
    config_put(known);
    store_release(&store);
    if (change != NULL && change_outcome(change)->status == STATUS_OK) {
        fleet_adopt_config(node->fleet, change_outcome(change)->config);
    }
    return change;
}

static hold_kind_t
hold_kind(const change_edit_t *edit)
{
    return edit->kind == CHANGE_ZONE ? HOLD_ZONE : HOLD_VM;
}

static bool
hold(void *context, const change_edit_t *edit)
{
    node_t *node = context;
    return fleet_set_hold(node->fleet, hold_kind(edit), edit->name, edit->out,
                          edit->by);
}

static bool
is_held(void *context, const change_edit_t *edit)
{
    node_t *node = context;
    return fleet_is_held(node->fleet, hold_kind(edit), edit->name);
}

static bool
is_known(void *context, change_kind_t kind, const char *name)
{
    node_t *node = context;
    bool known = false;
    fleet_view_t *view = fleet_current_view(node->fleet);
    if (view == NULL) {
        return false;
    }
    const topology_t *topology = view->topology;
    for (size_t i = 0; i < topology->upstream_count && !known; i++) {
        const upstream_info_t *upstream = &topology->upstreams[i];
        known = strcmp(kind == CHANGE_ZONE ? upstream->zone : upstream->name,
                       name) == 0;
    }
    for (size_t i = 0; i < view->member_count && !known; i++) {
        const roster_member_t *member = &view->members[i];
        known = strcmp(kind == CHANGE_ZONE ? member->zone : member->name,
                       name) == 0;
    }
    fleet_view_put(view);
    return known;
}

static void
report_result(void *context, operator_result_t result, error_t *err)
{
    (void)context;
    event_t event = result == OPERATOR_DENIED ? EVENT_OPERATOR_DENIED
                    : result == OPERATOR_HELD ? EVENT_HOLDS_CHANGED
                    : result == OPERATOR_ACCEPTED
                        ? EVENT_CONFIG_CHANGED_BY_OPERATOR
                        : EVENT_CONFIG_REFUSED;
    event_log(event, "result=%s %s", operator_result_name(result),
              error_text(err));
}

static const operator_ops_t node_operator_ops = {
    .current = current_config,
    .confirmations = list_confirmations,
    .run_change = run_change,
    .hold = hold,
    .is_held = is_held,
    .is_known = is_known,
    .report = report_result,
};

status_t
node_register_operators(node_t *node, error_t *err)
{
    operator_settings_t settings = {
        .token_size = node->token_size,
        .incarnation = node->incarnation,
        .body_max_bytes = node->settings.limits_body_max_bytes,
        .confirm_ms_max = CONFIRM_MS_MAX,
    };
    memcpy(settings.token, node->token, node->token_size);
    node->operators = operator_api_new(&settings, &node_operator_ops, node);
    if (node->operators == NULL ||
        !operator_api_register(node->operators, node->http)) {
        return error_set(err, STATUS_NO_MEMORY, "register operators", "-",
                         "out of memory");
    }
    return STATUS_OK;
}
