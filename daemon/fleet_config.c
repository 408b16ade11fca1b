#include "daemon/clock.h"
#include "daemon/fleet_state.h"
#include "edge/config_change.h"
#include "edge/event.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    POLL_PAUSE_US = 200000, /* between checks whether a call is due */
    US_PER_MS = 1000
};

/* A configuration with the holds applied, which workers route by. */
static config_t *
apply_holds(config_t *config, const hold_set_t *holds)
{
    config_t *copy = NULL;
    error_t ignored = ERROR_INIT;
    for (size_t i = 0; i < holds->count; i++) {
        const hold_t *hold = &holds->holds[i];
        if (!hold->out) {
            continue;
        }
        copy = copy != NULL ? copy : config_copy(config);
        if (copy == NULL) {
            break;
        }
        if (hold->kind == HOLD_ZONE) {
            config_set_zone_out(copy, hold->name, true, &ignored);
        }
        else {
            config_set_vm_out(copy, hold->name, true, &ignored);
        }
    }
    return copy != NULL ? copy : config_get(config);
}

/*
 * Apply a change of the configuration or the holds. Sends heartbeats at once
 * to report it. Lock held.
 */
static void
refresh_effective_config(fleet_t *fleet)
{
    config_put(fleet->effective);
    fleet->effective = apply_holds(fleet->config, &fleet->holds);
    fleet->dirty = true;
    fleet->heartbeats_sent_us = 0;
    pthread_cond_broadcast(&fleet->changed);
}

/* Whether the configuration itself keeps the zone or VM out of service. */
static bool
config_has_hold(const config_t *config, const pending_hold_t *hold)
{
    return hold->kind == HOLD_ZONE ? config_zone_is_out(config, hold->name)
                                   : config_vm_is_out(config, hold->name);
}

/*
 * Drop the holds that a newer configuration ends. Pending holds that it does
 * not contain are made again, based on its version. Lock held.
 */
static void
renew_pending_holds(fleet_t *fleet, const config_t *config)
{
    size_t kept = 0;
    hold_set_drop(&fleet->holds, config->version);
    for (size_t i = 0; i < fleet->pending_hold_count; i++) {
        const pending_hold_t hold = fleet->pending_holds[i];
        if (config_has_hold(config, &hold) ||
            hold_set_change(&fleet->holds, hold.kind, hold.name, true, hold.by,
                            config->version) != STATUS_OK) {
            continue;
        }
        fleet->pending_holds[kept++] = hold;
    }
    fleet->pending_hold_count = kept;
}

/* Drop pending holds that an operator has ended. Lock held. */
static void
drop_ended_pending_holds(fleet_t *fleet)
{
    size_t kept = 0;
    for (size_t i = 0; i < fleet->pending_hold_count; i++) {
        const pending_hold_t hold = fleet->pending_holds[i];
        if (hold_set_is_out(&fleet->holds, hold.kind, hold.name)) {
            fleet->pending_holds[kept++] = hold;
        }
    }
    fleet->pending_hold_count = kept;
}

/* Put a configuration in force if it is newer. Lock held. */
static bool
adopt_config(fleet_t *fleet, config_t *config, event_t event,
             const char *source)
{
    if (!confsync_is_newer(&fleet->sync, config->version)) {
        if (config->version < fleet->sync.version) {
            event_log(EVENT_CONFIG_OLDER_IGNORED,
                      "version=%" PRIu64 " have=%" PRIu64 " from=%s",
                      config->version, fleet->sync.version, source);
        }
        return false;
    }
    renew_pending_holds(fleet, config);
    confsync_adopt(&fleet->sync, config->version,
                   hold_set_digest(&fleet->holds));
    config_put(fleet->config);
    fleet->config = config_get(config);
    refresh_effective_config(fleet);
    event_log(event, "version=%" PRIu64 " change=%s by=%s from=%s",
              config->version, config->change_id, config->by, source);
    return true;
}

bool
fleet_adopt_config(fleet_t *fleet, config_t *config)
{
    pthread_mutex_lock(&fleet->lock);
    bool adopted =
        adopt_config(fleet, config, EVENT_CONFIG_IN_FORCE, "operator");
    pthread_mutex_unlock(&fleet->lock);
    return adopted;
}

config_t *
fleet_current_config(fleet_t *fleet)
{
    pthread_mutex_lock(&fleet->lock);
    config_t *config =
        fleet->config == NULL ? NULL : config_get(fleet->config);
    pthread_mutex_unlock(&fleet->lock);
    return config;
}

/* Parse a configuration; NULL, and logged, if it is refused. */
static config_t *
parse_config(const char *text, size_t size, const char *source)
{
    config_t *config;
    error_t err = ERROR_INIT;
    if (config_parse_json(text, size, &config, &err) == STATUS_OK) {
        return config;
    }
    event_log(EVENT_CONFIG_REFUSED, "from=%s %s", source, error_text(&err));
    return NULL;
}

void
fleet_adopt_config_json(fleet_t *fleet, const char *text, size_t size,
                        const char *peer)
{
    config_t *config = parse_config(text, size, peer);
    if (config == NULL) {
        return;
    }
    pthread_mutex_lock(&fleet->lock);
    adopt_config(fleet, config, EVENT_CONFIG_FROM_PEER, peer);
    pthread_mutex_unlock(&fleet->lock);
    config_put(config);
}

/* Apply and log a change of the set of holds. Lock held. */
static void
handle_changed_holds(fleet_t *fleet, const char *cause)
{
    confsync_adopt(&fleet->sync, fleet->sync.version,
                   hold_set_digest(&fleet->holds));
    refresh_effective_config(fleet);
    event_log(EVENT_HOLDS_CHANGED, "cause=%s holds=%zu version=%" PRIu64,
              cause, fleet->holds.count, fleet->sync.version);
}

static void
add_pending_hold(fleet_t *fleet, hold_kind_t kind, const char *name,
                 const char *by)
{
    if (fleet->pending_hold_count == HOLDS_MAX) {
        return;
    }
    pending_hold_t *hold = &fleet->pending_holds[fleet->pending_hold_count++];
    *hold = (pending_hold_t){.kind = kind};
    snprintf(hold->name, sizeof(hold->name), "%s", name);
    snprintf(hold->by, sizeof(hold->by), "%s", by);
}

bool
fleet_set_hold(fleet_t *fleet, hold_kind_t kind, const char *name, bool out,
               const char *by)
{
    pthread_mutex_lock(&fleet->lock);
    bool held = hold_set_is_out(&fleet->holds, kind, name);
    bool changes = fleet->config != NULL && held != out;
    if (changes) {
        changes = hold_set_change(&fleet->holds, kind, name, out, by,
                                  fleet->sync.version) == STATUS_OK;
    }
    if (changes && out) {
        add_pending_hold(fleet, kind, name, by);
    }
    if (changes) {
        drop_ended_pending_holds(fleet);
        handle_changed_holds(fleet, by);
    }
    pthread_mutex_unlock(&fleet->lock);
    if (changes) {
        fleet_send_holds(fleet);
    }
    return changes || held == out;
}

bool
fleet_is_held(fleet_t *fleet, hold_kind_t kind, const char *name)
{
    pthread_mutex_lock(&fleet->lock);
    bool held = hold_set_is_out(&fleet->holds, kind, name);
    pthread_mutex_unlock(&fleet->lock);
    return held;
}

void
fleet_merge_holds(fleet_t *fleet, const char *text, size_t size)
{
    hold_set_t received = {.count = 0};
    error_t err = ERROR_INIT;
    if (hold_set_parse(text, size, &received, &err) != STATUS_OK) {
        event_log(EVENT_INPUT_REFUSED, "%s", error_text(&err));
        return;
    }
    pthread_mutex_lock(&fleet->lock);
    bool changed =
        fleet->config != NULL && hold_set_merge(&fleet->holds, &received);
    if (changed) {
        hold_set_drop(&fleet->holds, fleet->sync.version);
        drop_ended_pending_holds(fleet);
        handle_changed_holds(fleet, "peer");
    }
    pthread_mutex_unlock(&fleet->lock);
}

/*
 * Write the configuration in force to the store, which answered with an older
 * version and so may have lost a change. If the answer was stale, the
 * compare-and-swap fails.
 */
static void
write_back_config(fleet_t *fleet, const store_client_t *store, uint64_t index)
{
    config_t *config = fleet_current_config(fleet);
    char *text = config == NULL ? NULL : config_format_json(config);
    error_t err = ERROR_INIT;
    if (text != NULL &&
        store_cas_put(store, STORE_KEY_CONFIG, text, strlen(text), index,
                      &err) == STATUS_OK) {
        event_log(EVENT_CONFIG_WRITTEN_BACK, "version=%" PRIu64,
                  config->version);
    }
    free(text);
    config_put(config);
}

/* Handle the store's answer to a call that was sent at sent_us. */
static void
handle_store_answer(fleet_t *fleet, const store_client_t *store,
                    status_t status, const store_value_t *value,
                    int64_t sent_us)
{
    config_t *config = NULL;
    if (status == STATUS_OK) {
        config = parse_config(value->text, value->size, "store");
        if (config == NULL) {
            return;
        }
    }
    pthread_mutex_lock(&fleet->lock);
    if (config != NULL) {
        adopt_config(fleet, config, EVENT_CONFIG_IN_FORCE, "store");
    }
    bool up_to_date = confsync_store_answered(
        &fleet->sync, config == NULL ? 0 : config->version, sent_us);
    pthread_mutex_unlock(&fleet->lock);
    config_put(config);
    if (!up_to_date) {
        write_back_config(fleet, store, value->modify_index);
    }
}

/* Copy the first pending hold; false: there is none. */
static bool
first_pending_hold(fleet_t *fleet, pending_hold_t *hold)
{
    pthread_mutex_lock(&fleet->lock);
    bool found = fleet->pending_hold_count > 0;
    if (found) {
        *hold = fleet->pending_holds[0];
    }
    pthread_mutex_unlock(&fleet->lock);
    return found;
}

/* Write the first pending hold to the store, as a configuration change. */
static void
store_pending_hold(fleet_t *fleet, const store_client_t *store)
{
    pending_hold_t hold;
    error_t err = ERROR_INIT;
    if (!first_pending_hold(fleet, &hold)) {
        return;
    }
    change_settings_t rules = CHANGE_SETTINGS_DEFAULT;
    change_edit_t edit = {
        .kind = hold.kind == HOLD_ZONE ? CHANGE_ZONE : CHANGE_VM,
        .out = true,
    };
    snprintf(edit.id, sizeof(edit.id), "%016" PRIx64 "-hold-%" PRIx64,
             fleet->settings.incarnation, (uint64_t)clock_now_us());
    memcpy(edit.name, hold.name, NAME_SIZE);
    memcpy(edit.by, hold.by, NAME_SIZE);
    config_t *known = fleet_current_config(fleet);
    change_t *change = config_change_run(store, &rules, &edit, known, &err);
    config_put(known);
    if (change != NULL && change_outcome(change)->status == STATUS_OK) {
        fleet_adopt_config(fleet, change_outcome(change)->config);
    }
    change_free(change);
}

/* Whether to call the store now; sets *watcher if the call may be a watch. */
static bool
store_call_due(fleet_t *fleet, bool *watcher)
{
    pthread_mutex_lock(&fleet->lock);
    *watcher =
        confsync_is_watcher(roster_members(fleet->roster), &fleet->members,
                            fleet->settings.settings->name);
    /* Pending holds must be stored, even if this daemon is no watcher. */
    bool due = fleet->pending_hold_count > 0 ||
               confsync_read_due(&fleet->sync, clock_now_us());
    pthread_mutex_unlock(&fleet->lock);
    return due || *watcher;
}

/*
 * Make one call to the store, a watch if possible. Returns the index for the
 * next watch; 0: read without waiting.
 */
static uint64_t
poll_config(fleet_t *fleet, const store_client_t *store, uint64_t index,
            bool watcher)
{
    confsync_settings_t rules = CONFSYNC_SETTINGS_DEFAULT;
    store_value_t value;
    error_t err = ERROR_INIT;
    bool waits = watcher && index != 0;
    int64_t sent_us = clock_now_us();
    uint32_t wait_ms = (uint32_t)(rules.watch_us / US_PER_MS);
    status_t status = waits ? store_watch(store, STORE_KEY_CONFIG, index,
                                          wait_ms, &value, &err)
                            : store_get(store, STORE_KEY_CONFIG, &value, &err);
    bool answered = status == STATUS_OK || status == STATUS_NOT_FOUND;
    if (answered) {
        handle_store_answer(fleet, store, status, &value, sent_us);
        store_pending_hold(fleet, store);
    }
    uint64_t next = answered ? value.watch_index : 0;
    store_value_release(&value);
    if (!waits || next == 0) {
        fleet_sleep(fleet, POLL_PAUSE_US);
    }
    return next;
}

void *
fleet_config_main(void *context)
{
    fleet_t *fleet = context;
    store_client_t store;
    uint64_t index = 0;
    bool watcher;
    if (!fleet_open_store(fleet, &store)) {
        return NULL;
    }
    while (!atomic_load(&fleet->stopping)) {
        if (store_call_due(fleet, &watcher)) {
            index = poll_config(fleet, &store, index, watcher);
        }
        else {
            fleet_sleep(fleet, POLL_PAUSE_US);
        }
        fleet_record_cpu_time(fleet, FLEET_THREAD_CONFIG);
    }
    store_release(&store);
    return NULL;
}
