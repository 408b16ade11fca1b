#include "tier/fleet_state.h"

#include "core/text.h"
#include "tier/registry_copy.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static const char members_name[] = "members";
static const char upstreams_name[] = "upstreams";
static const char zones_name[] = "zones";

void
fleet_digest(fleet_digest_t *digest, uint64_t config_revision,
             const registry_t *registry, const members_t *members)
{
    *digest = (fleet_digest_t){
        .config = config_revision,
        .upstreams = registry_digest(registry),
        .members = members_digest(members),
    };
    for (uint32_t i = 0; i < registry->closed_count; i++) {
        const char *zone = registry->closed[i];
        digest->zones ^= XXH64(zone, strlen(zone), 0);
    }
}

size_t
fleet_query_write(char *text, size_t size, const char *path,
                  const fleet_digest_t *digest)
{
    int length = snprintf(
        text, size,
        "%s?config=%" PRIx64 "&%s=%" PRIx64 "&%s=%" PRIx64 "&%s=%" PRIx64,
        path, digest->config, upstreams_name, digest->upstreams, members_name,
        digest->members, zones_name, digest->zones);
    return length > 0 && (size_t)length < size ? (size_t)length : 0;
}

/* A hexadecimal field of a query; 0: it has none. */
static uint64_t
query_field(const char *target, const char *name)
{
    const char *at = strchr(target, '?');
    size_t length = strlen(name);
    for (; at != NULL; at = strchr(at, '&')) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            return strtoull(at + length + 1, NULL, 16);
        }
    }
    return 0;
}

void
fleet_query_read(fleet_digest_t *digest, const char *target)
{
    *digest = (fleet_digest_t){
        .config = query_field(target, "config"),
        .upstreams = query_field(target, upstreams_name),
        .members = query_field(target, members_name),
        .zones = query_field(target, zones_name),
    };
}

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
zones_json(const registry_t *registry)
{
    json_t *rows = json_array();
    for (uint32_t i = 0; i < registry->closed_count; i++) {
        json_array_append_new(rows, json_string(registry->closed[i]));
    }
    return rows;
}

char *
fleet_state_write(const fleet_state_t *state, const fleet_digest_t *have,
                  const registry_t *registry, const members_t *members,
                  int64_t now_us, size_t *size)
{
    fleet_digest_t own;
    fleet_digest(&own, state->config_revision, registry, members);
    json_t *root = json_pack(
        "{s:I, s:I, s:I, s:I, s:I}", "config_revision",
        (json_int_t)state->config_revision, "upstreams_revision",
        (json_int_t)state->known.upstreams, "members_revision",
        (json_int_t)state->known.members, "zones_revision",
        (json_int_t)state->known.zones, "age_us", (json_int_t)state->age_us);
    if (state->config != NULL && own.config != have->config) {
        json_object_set_new(root, "config", json_string(state->config));
    }
    if (own.upstreams != have->upstreams) {
        json_object_set_new(root, upstreams_name,
                            registry_copy_rows(registry, now_us));
    }
    if (own.members != have->members) {
        json_object_set_new(root, members_name, members_json(members));
    }
    if (own.zones != have->zones) {
        json_object_set_new(root, zones_name, zones_json(registry));
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    *size = text != NULL ? strlen(text) : 0;
    return text;
}

static uint64_t
revision_field(const json_t *root, const char *name)
{
    json_int_t value = json_integer_value(json_object_get(root, name));
    return value > 0 ? (uint64_t)value : 0;
}

bool
fleet_state_read(fleet_state_t *state, const char *text, size_t size)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    const json_t *age = json_object_get(root, "age_us");
    if (!json_is_integer(age)) {
        json_decref(root);
        return false;
    }
    const json_t *config = json_object_get(root, "config");
    *state = (fleet_state_t){
        .known =
            {
                .upstreams = revision_field(root, "upstreams_revision"),
                .members = revision_field(root, "members_revision"),
                .zones = revision_field(root, "zones_revision"),
            },
        .age_us = json_integer_value(age),
        .config_revision = revision_field(root, "config_revision"),
        .config = json_string_value(config),
        .config_size = json_string_length(config),
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

/* Whether a part is newer than what is known, which is then as new. */
static bool
part_is_newer(uint64_t told, uint64_t *known)
{
    bool newer = told > *known;
    if (newer) {
        *known = told;
    }
    return newer;
}

static void
members_take(const json_t *rows, members_t *members, int64_t now_us)
{
    for (size_t i = 0; i < json_array_size(rows); i++) {
        const json_t *row = json_array_get(rows, i);
        const char *name = json_string_value(json_object_get(row, "name"));
        char *text = json_dumps(row, JSON_COMPACT);
        if (name != NULL && text != NULL) {
            members_put(members, name, text, strlen(text), now_us);
        }
        free(text);
    }
}

unsigned
fleet_state_follow(const fleet_state_t *state, fleet_known_t *known,
                   registry_t *registry, members_t *members, int64_t now_us)
{
    unsigned taken = 0;
    const json_t *rows = json_object_get(state->document, upstreams_name);
    if (part_is_newer(state->known.upstreams, &known->upstreams) &&
        registry_copy_follow(registry, rows, state->known.upstreams, now_us)) {
        taken |= FLEET_UPSTREAMS;
    }
    rows = json_object_get(state->document, members_name);
    if (part_is_newer(state->known.members, &known->members) &&
        json_is_array(rows)) {
        members_list_begin(members);
        members_take(rows, members, now_us);
        members_list_end(members, now_us);
        taken |= FLEET_MEMBERS;
    }
    rows = json_object_get(state->document, zones_name);
    if (part_is_newer(state->known.zones, &known->zones) &&
        json_is_array(rows)) {
        taken |= FLEET_ZONES;
    }
    return taken;
}

void
fleet_state_begin(const fleet_state_t *state, registry_t *registry,
                  members_t *members, int64_t now_us)
{
    members_take(json_object_get(state->document, members_name), members,
                 now_us);
    registry_copy_suggest(
        registry, json_object_get(state->document, upstreams_name), now_us);
}

uint32_t
fleet_state_zones(const fleet_state_t *state,
                  char (*names)[INSTANCE_NAME_SIZE], uint32_t max)
{
    const json_t *rows = json_object_get(state->document, zones_name);
    uint32_t count = 0;
    for (size_t i = 0; i < json_array_size(rows) && count < max; i++) {
        const char *zone = json_string_value(json_array_get(rows, i));
        if (zone != NULL && text_copy(names[count], sizeof(*names), zone)) {
            count++;
        }
    }
    return count;
}
