#include "daemon/clock.h"
#include "daemon/fleet_state.h"
#include "edge/config_change.h"
#include "edge/event.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { PAUSE_US = 200000, US_PER_MS = 1000 };

/* The configuration with the holds applied, by which work is routed. */
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

/* Configuration or holds have changed. Lock held. */
static void
follow_config(fleet_t *fleet)
{
    config_put(fleet->effective);
    fleet->effective = apply_holds(fleet->config, &fleet->holds);
    fleet->dirty = true;
    fleet->beat_us = 0;
    pthread_cond_broadcast(&fleet->changed);
}

static bool
config_has_out(const config_t *config, const fleet_hold_t *own)
{
    return own->kind == HOLD_ZONE ? config_zone_is_out(config, own->name)
                                  : config_vm_is_out(config, own->name);
}

/*
 * A newer configuration ends the holds made on older ones. Those that this
 * daemon must still store, and that it does not contain, are made anew.
 */
static void
renew_own_holds(fleet_t *fleet, const config_t *config)
{
    size_t kept = 0;
    hold_set_drop(&fleet->holds, config->version);
    for (size_t i = 0; i < fleet->own_hold_count; i++) {
        const fleet_hold_t own = fleet->own_holds[i];
        if (config_has_out(config, &own) ||
            hold_set_change(&fleet->holds, own.kind, own.name, true, own.by,
                            config->version) != STATUS_OK) {
            continue;
        }
        fleet->own_holds[kept++] = own;
    }
    fleet->own_hold_count = kept;
}

/* Forget own holds that an operator has ended. */
static void
drop_ended_holds(fleet_t *fleet)
{
    size_t kept = 0;
    for (size_t i = 0; i < fleet->own_hold_count; i++) {
        const fleet_hold_t own = fleet->own_holds[i];
        if (hold_set_is_out(&fleet->holds, own.kind, own.name)) {
            fleet->own_holds[kept++] = own;
        }
    }
    fleet->own_hold_count = kept;
}

/* Put a newer configuration in force. Lock held. */
static bool
take_config(fleet_t *fleet, config_t *config, event_t event,
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
    renew_own_holds(fleet, config);
    confsync_adopt(&fleet->sync, config->version,
                   hold_set_digest(&fleet->holds));
    config_put(fleet->config);
    fleet->config = config_get(config);
    follow_config(fleet);
    event_log(event, "version=%" PRIu64 " change=%s by=%s from=%s",
              config->version, config->change_id, config->by, source);
    return true;
}

bool
fleet_config(fleet_t *fleet, config_t *config)
{
    pthread_mutex_lock(&fleet->lock);
    bool taken = take_config(fleet, config, EVENT_CONFIG_IN_FORCE, "operator");
    pthread_mutex_unlock(&fleet->lock);
    return taken;
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
fleet_take_config_text(fleet_t *fleet, const char *text, size_t size,
                       const char *peer)
{
    config_t *config = parse_config(text, size, peer);
    if (config == NULL) {
        return;
    }
    pthread_mutex_lock(&fleet->lock);
    take_config(fleet, config, EVENT_CONFIG_FROM_PEER, peer);
    pthread_mutex_unlock(&fleet->lock);
    config_put(config);
}

/* The set of holds has changed. Lock held. */
static void
follow_holds(fleet_t *fleet, const char *cause)
{
    confsync_adopt(&fleet->sync, fleet->sync.version,
                   hold_set_digest(&fleet->holds));
    follow_config(fleet);
    event_log(EVENT_HOLDS_CHANGED, "cause=%s holds=%zu version=%" PRIu64,
              cause, fleet->holds.count, fleet->sync.version);
}

static void
remember_own_hold(fleet_t *fleet, hold_kind_t kind, const char *name,
                  const char *by)
{
    if (fleet->own_hold_count == HOLDS_MAX) {
        return;
    }
    fleet_hold_t *own = &fleet->own_holds[fleet->own_hold_count++];
    *own = (fleet_hold_t){.kind = kind};
    snprintf(own->name, sizeof(own->name), "%s", name);
    snprintf(own->by, sizeof(own->by), "%s", by);
}

bool
fleet_hold(fleet_t *fleet, hold_kind_t kind, const char *name, bool out,
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
        remember_own_hold(fleet, kind, name, by);
    }
    if (changes) {
        drop_ended_holds(fleet);
        follow_holds(fleet, by);
    }
    pthread_mutex_unlock(&fleet->lock);
    if (changes) {
        fleet_tell_holds(fleet);
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
fleet_take_holds(fleet_t *fleet, const char *text, size_t size)
{
    hold_set_t other = {.count = 0};
    error_t err = ERROR_INIT;
    if (hold_set_parse(text, size, &other, &err) != STATUS_OK) {
        event_log(EVENT_INPUT_REFUSED, "%s", error_text(&err));
        return;
    }
    pthread_mutex_lock(&fleet->lock);
    bool changed =
        fleet->config != NULL && hold_set_merge(&fleet->holds, &other);
    if (changed) {
        hold_set_drop(&fleet->holds, fleet->sync.version);
        drop_ended_holds(fleet);
        follow_holds(fleet, "peer");
    }
    pthread_mutex_unlock(&fleet->lock);
}

/* The store holds less than what is in force: it has lost a change. */
static void
write_back(fleet_t *fleet, const store_client_t *store, uint64_t index)
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

/* Take the store's answer to a call that was sent at sent_us. */
static void
take_answer(fleet_t *fleet, const store_client_t *store, status_t status,
            const store_value_t *value, int64_t sent_us)
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
        take_config(fleet, config, EVENT_CONFIG_IN_FORCE, "store");
    }
    bool newest = confsync_store_answered(
        &fleet->sync, config == NULL ? 0 : config->version, sent_us);
    pthread_mutex_unlock(&fleet->lock);
    config_put(config);
    if (!newest) {
        write_back(fleet, store, value->modify_index);
    }
}

/* A hold that must still be stored; false: there is none. */
static bool
next_own_hold(fleet_t *fleet, fleet_hold_t *own)
{
    pthread_mutex_lock(&fleet->lock);
    bool found = fleet->own_hold_count > 0;
    if (found) {
        *own = fleet->own_holds[0];
    }
    pthread_mutex_unlock(&fleet->lock);
    return found;
}

/* Holds made while the store was out become changes when it is back. */
static void
store_own_hold(fleet_t *fleet, const store_client_t *store)
{
    fleet_hold_t own;
    error_t err = ERROR_INIT;
    if (!next_own_hold(fleet, &own)) {
        return;
    }
    change_settings_t rules = CHANGE_SETTINGS_DEFAULT;
    change_edit_t edit = {
        .kind = own.kind == HOLD_ZONE ? CHANGE_ZONE : CHANGE_VM,
        .out = true,
    };
    snprintf(edit.id, sizeof(edit.id), "%016" PRIx64 "-hold-%" PRIx64,
             fleet->settings.incarnation, (uint64_t)clock_now_us());
    memcpy(edit.name, own.name, NAME_SIZE);
    memcpy(edit.by, own.by, NAME_SIZE);
    config_t *known = fleet_current_config(fleet);
    change_t *change = config_change_run(store, &rules, &edit, known, &err);
    config_put(known);
    if (change != NULL && change_outcome(change)->status == STATUS_OK) {
        fleet_config(fleet, change_outcome(change)->config);
    }
    change_free(change);
}

/* Whether to ask the store now, and for how long it may wait. */
static bool
wants_store(fleet_t *fleet, bool *watcher)
{
    pthread_mutex_lock(&fleet->lock);
    *watcher =
        confsync_is_watcher(roster_members(fleet->roster), &fleet->members,
                            fleet->settings.settings->name);
    /* Whoever holds something out must get it stored, watcher or not. */
    bool wants = fleet->own_hold_count > 0 ||
                 confsync_read_due(&fleet->sync, clock_now_us());
    pthread_mutex_unlock(&fleet->lock);
    return wants || *watcher;
}

/* One call to the store; returns the index for the next watch. */
static uint64_t
ask_store(fleet_t *fleet, const store_client_t *store, uint64_t index,
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
        take_answer(fleet, store, status, &value, sent_us);
        store_own_hold(fleet, store);
    }
    uint64_t next = answered ? value.watch_index : 0;
    store_value_release(&value);
    if (!waits || next == 0) {
        fleet_sleep(fleet, PAUSE_US);
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
        if (wants_store(fleet, &watcher)) {
            index = ask_store(fleet, &store, index, watcher);
        }
        else {
            fleet_sleep(fleet, PAUSE_US);
        }
        fleet_note_cpu(fleet, FLEET_THREAD_CONFIG);
    }
    store_release(&store);
    return NULL;
}
