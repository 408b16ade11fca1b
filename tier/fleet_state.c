#include "tier/fleet_state.h"

#include "tier/registry_copy.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static json_t *
members_json(const members_t *members)
{
    json_t *rows = json_array();
    for (uint32_t i = 0; i < members->count; i++) {
        const member_record_t *record = &members->records[i];
        json_array_append_new(
            rows, json_pack("{s:s, s:s, s:s, s:s, s:I}", "name", record->name,
                            "address", record->address, "zone", record->zone,
                            "control", record->control, "weight",
                            (json_int_t)record->weight));
    }
    return rows;
}

static json_t *
closed_json(const registry_t *registry)
{
    json_t *rows = json_array();
    for (uint32_t i = 0; i < registry->closed_count; i++) {
        json_array_append_new(rows, json_string(registry->closed[i]));
    }
    return rows;
}

char *
fleet_state_write(const fleet_state_t *state, const registry_t *registry,
                  const members_t *members, int64_t now_us, size_t *size)
{
    size_t copy_size;
    char *copy = registry_copy_write(registry, now_us, &copy_size);
    json_t *root =
        json_pack("{s:s, s:I, s:I}", "upstreams", copy != NULL ? copy : "[]",
                  "upstreams_revision", (json_int_t)state->upstreams_revision,
                  "age_us", (json_int_t)state->age_us);
    free(copy);
    if (root != NULL && state->config != NULL) {
        json_object_set_new(root, "config", json_string(state->config));
        json_object_set_new(root, "revision",
                            json_integer((json_int_t)state->revision));
        json_object_set_new(root, "members", members_json(members));
        json_object_set_new(root, "closed", closed_json(registry));
    }
    char *text = root != NULL ? json_dumps(root, JSON_COMPACT) : NULL;
    json_decref(root);
    *size = text != NULL ? strlen(text) : 0;
    return text;
}

bool
fleet_state_read(fleet_state_t *state, const char *text, size_t size)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    const json_t *config = json_object_get(root, "config");
    const json_t *upstreams = json_object_get(root, "upstreams");
    if (!json_is_string(upstreams)) {
        json_decref(root);
        return false;
    }
    *state = (fleet_state_t){
        .revision =
            (uint64_t)json_integer_value(json_object_get(root, "revision")),
        .upstreams_revision = (uint64_t)json_integer_value(
            json_object_get(root, "upstreams_revision")),
        .age_us = json_integer_value(json_object_get(root, "age_us")),
        .config = json_string_value(config),
        .config_size = json_string_length(config),
        .upstreams = (char *)json_string_value(upstreams),
        .document = root,
    };
    return true;
}

void
fleet_state_release(fleet_state_t *state)
{
    json_decref(state->document);
    *state = (fleet_state_t){0};
}

void
fleet_state_apply(const fleet_state_t *state, registry_t *registry,
                  members_t *members, int64_t now_us)
{
    const json_t *rows = json_object_get(state->document, "members");
    for (size_t i = 0; i < json_array_size(rows); i++) {
        const json_t *row = json_array_get(rows, i);
        const char *name = json_string_value(json_object_get(row, "name"));
        char *text = json_dumps(row, JSON_COMPACT);
        if (name != NULL && text != NULL && !members_has(members, name)) {
            members_put(members, name, text, strlen(text), now_us);
        }
        free(text);
    }
    rows = json_object_get(state->document, "closed");
    for (size_t i = 0; i < json_array_size(rows); i++) {
        const char *zone = json_string_value(json_array_get(rows, i));
        if (zone != NULL) {
            (void)registry_close_zone(registry, zone, true);
        }
    }
    registry_copy_read(registry, state->upstreams, strlen(state->upstreams),
                       now_us);
}
