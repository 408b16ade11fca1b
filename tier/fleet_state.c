#include "tier/fleet_state.h"

#include "core/text.h"
#include "tier/registry_copy.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { DIGEST_SIZE = 20 };

static const char members_name[] = "members";
static const char upstreams_name[] = "upstreams";
static const char zones_name[] = "zones";
/* Query fields: revisions; the requester needs only the changes since then. */
static const char upstreams_since[] = "upstreams_since";
static const char members_since[] = "members_since";
static const char suspects_since[] = "suspects_since";
static const char suspects_name[] = "suspects";
static const char rollouts_name[] = "rollouts";

void
fleet_digest_compute(fleet_digest_t *digest, uint64_t config_revision,
                     const registry_t *registry, const members_t *members)
{
    *digest = (fleet_digest_t){
        .config = config_revision,
        .upstreams = registry_digest(registry),
        .members = members_digest(members),
    };
    for (uint32_t i = 0; i < registry->closed_zone_count; i++) {
        const char *zone = registry->closed_zones[i];
        digest->zones ^= XXH64(zone, strlen(zone), 0);
    }
}

size_t
fleet_query_write(char *text, size_t size, const char *path,
                  const fleet_digest_t *digest)
{
    int length = snprintf(
        text, size,
        "%s?config=%" PRIx64 "&%s=%" PRIx64 "&%s=%" PRIx64 "&%s=%" PRIx64
        "&%s=%" PRIx64 "&%s=%" PRIx64 "&%s=%" PRIx64,
        path, digest->config, upstreams_name, digest->upstreams, members_name,
        digest->members, zones_name, digest->zones, upstreams_since,
        digest->revisions.upstreams, members_since, digest->revisions.members,
        suspects_since, digest->revisions.suspects);
    if (length > 0 && (size_t)length < size && digest->rollouts != 0) {
        length += snprintf(text + length, size - (size_t)length,
                           "&%s=%" PRIx64, rollouts_name, digest->rollouts);
    }
    return length > 0 && (size_t)length < size ? (size_t)length : 0;
}

/* A hexadecimal field of a query; 0 if it is missing. */
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
fleet_query_parse(fleet_digest_t *digest, const char *target)
{
    *digest = (fleet_digest_t){
        .config = query_field(target, "config"),
        .upstreams = query_field(target, upstreams_name),
        .members = query_field(target, members_name),
        .zones = query_field(target, zones_name),
        .rollouts = query_field(target, rollouts_name),
        .revisions =
            {
                .upstreams = query_field(target, upstreams_since),
                .members = query_field(target, members_since),
                .suspects = query_field(target, suspects_since),
            },
    };
}

/* The records written after the store revision `since`; 0: all of them. */
static json_t *
members_json(const members_t *members, uint64_t since)
{
    json_t *rows = json_array();
    for (uint32_t i = 0; i < members->count; i++) {
        const member_record_t *record = &members->records[i];
        if (since > 0 && record->revision <= since) {
            continue;
        }
        json_array_append_new(
            rows, json_pack("{s:s, s:s, s:s, s:s, s:I, s:I}", "name",
                            record->name, "address", record->address, "zone",
                            record->zone, "control", record->control, "weight",
                            (json_int_t)record->weight, "revision",
                            (json_int_t)record->revision));
    }
    return rows;
}

static json_t *
tombstones_json(const tombstone_log_t *log, uint64_t since)
{
    json_t *rows = json_array();
    const tombstone_t *tombstone;
    for (uint32_t cursor = 0;
         (tombstone = tombstone_log_next(log, since, &cursor)) != NULL;) {
        json_array_append_new(rows,
                              json_pack("[s, I]", tombstone->name,
                                        (json_int_t)tombstone->revision));
    }
    return rows;
}

static json_t *
zones_json(const registry_t *registry)
{
    json_t *rows = json_array();
    for (uint32_t i = 0; i < registry->closed_zone_count; i++) {
        json_array_append_new(rows, json_string(registry->closed_zones[i]));
    }
    return rows;
}

/* The reports after the revision `since`. */
static json_t *
suspects_json(const suspect_log_t *log, uint64_t since)
{
    json_t *rows = json_array();
    const suspect_report_t *report;
    for (uint32_t cursor = 0;
         (report = suspect_log_next(log, since, &cursor)) != NULL;) {
        char fingerprint[DIGEST_SIZE];
        snprintf(fingerprint, sizeof(fingerprint), "%" PRIx64,
                 report->fingerprint);
        json_array_append_new(rows,
                              json_pack("[s, s, I]", report->key, fingerprint,
                                        (json_int_t)report->revision));
    }
    return rows;
}

const void *
fleet_state_rollouts(const fleet_state_t *state)
{
    return json_object_get(state->document, rollouts_name);
}

size_t
fleet_state_suspect_count(const fleet_state_t *state)
{
    return json_array_size(json_object_get(state->document, suspects_name));
}

bool
fleet_state_suspect(const fleet_state_t *state, size_t index,
                    suspect_report_t *report)
{
    const json_t *row =
        json_array_get(json_object_get(state->document, suspects_name), index);
    const char *key = json_string_value(json_array_get(row, 0));
    const char *fingerprint = json_string_value(json_array_get(row, 1));
    json_int_t revision = json_integer_value(json_array_get(row, 2));
    if (key == NULL || fingerprint == NULL || revision <= 0 ||
        !text_copy(report->key, sizeof(report->key), key)) {
        return false;
    }
    report->fingerprint = strtoull(fingerprint, NULL, 16);
    report->revision = (uint64_t)revision;
    return true;
}

/* The revision since which changes are enough for a requester that knows a
   part up to `theirs`; 0: it needs the complete part. */
static uint64_t
part_since(const tombstone_log_t *log, uint64_t theirs, uint64_t own)
{
    return tombstone_log_covers(log, theirs) && theirs < own ? theirs : 0;
}

/* Add a part: all rows if `since` is 0, else the rows changed since then and
   the tombstones of removed ones. Takes ownership of both arrays. */
static void
part_add(json_t *root, const char *name, json_t *rows, json_t *tombstones,
         uint64_t since, uint64_t digest)
{
    char text[DIGEST_SIZE];
    snprintf(text, sizeof(text), "%" PRIx64, digest);
    json_object_set_new(root, name,
                        json_pack("{s:o, s:o, s:I, s:s}", "rows", rows, "gone",
                                  tombstones, "since", (json_int_t)since,
                                  "digest", text));
}

char *
fleet_state_write(const fleet_state_t *state, const fleet_digest_t *have,
                  const registry_t *registry, const members_t *members,
                  int64_t now_us, size_t *size)
{
    fleet_digest_t own;
    fleet_digest_compute(&own, state->config_revision, registry, members);
    json_t *root =
        json_pack("{s:I, s:I, s:I, s:I, s:I}", "config_revision",
                  (json_int_t)state->config_revision, "upstreams_revision",
                  (json_int_t)state->revisions.upstreams, "members_revision",
                  (json_int_t)state->revisions.members, "zones_revision",
                  (json_int_t)state->revisions.zones, "age_us",
                  (json_int_t)state->age_us);
    if (state->config != NULL && own.config != have->config) {
        json_object_set_new(root, "config", json_string(state->config));
    }
    if (own.upstreams != have->upstreams) {
        uint64_t since =
            part_since(&registry->tombstones, have->revisions.upstreams,
                       state->revisions.upstreams);
        part_add(root, upstreams_name,
                 registry_copy_rows(registry, since, now_us),
                 tombstones_json(&registry->tombstones, since), since,
                 own.upstreams);
    }
    if (own.members != have->members) {
        uint64_t since =
            part_since(&members->tombstones, have->revisions.members,
                       state->revisions.members);
        part_add(root, members_name, members_json(members, since),
                 tombstones_json(&members->tombstones, since), since,
                 own.members);
    }
    if (own.zones != have->zones) {
        json_object_set_new(root, zones_name, zones_json(registry));
    }
    if (state->suspects != NULL &&
        state->suspects->revision > have->revisions.suspects) {
        json_object_set_new(
            root, suspects_name,
            suspects_json(state->suspects, have->revisions.suspects));
    }
    if (state->rollouts != NULL && state->rollouts_digest != have->rollouts) {
        json_object_set(root, rollouts_name, state->rollouts);
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
fleet_state_parse(fleet_state_t *state, const char *text, size_t size)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    const json_t *age = json_object_get(root, "age_us");
    if (!json_is_integer(age)) {
        json_decref(root);
        return false;
    }
    const json_t *config = json_object_get(root, "config");
    *state = (fleet_state_t){
        .revisions =
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

/* If the offered revision is newer than *known, set *known to it and return
   true. */
static bool
part_advance_revision(uint64_t offered, uint64_t *known)
{
    bool newer = offered > *known;
    if (newer) {
        *known = offered;
    }
    return newer;
}

static const json_t *
part_rows(const fleet_state_t *state, const char *name)
{
    return json_object_get(json_object_get(state->document, name), "rows");
}

static uint64_t
part_digest(const json_t *part)
{
    const char *text = json_string_value(json_object_get(part, "digest"));
    return text != NULL ? strtoull(text, NULL, 16) : 0;
}

static void
members_put_rows(const json_t *rows, members_t *members, int64_t now_us)
{
    for (size_t i = 0; i < json_array_size(rows); i++) {
        const json_t *row = json_array_get(rows, i);
        const char *name = json_string_value(json_object_get(row, "name"));
        char *text = json_dumps(row, JSON_COMPACT);
        if (name != NULL && text != NULL) {
            members_put(members, name, text, strlen(text),
                        revision_field(row, "revision"), now_us);
        }
        free(text);
    }
}

/* The name and revision of a tombstone; NULL: there is no valid one. */
static const char *
tombstone_parse(const json_t *tombstones, size_t index, uint64_t *revision)
{
    const json_t *row = json_array_get(tombstones, index);
    json_int_t value = json_integer_value(json_array_get(row, 1));
    *revision = value > 0 ? (uint64_t)value : 0;
    return json_string_value(json_array_get(row, 0));
}

/* Apply a part; false: the result differs from the peer's digest, or the rows
   are invalid. */
static bool
upstreams_apply(const json_t *part, uint64_t revision, registry_t *registry,
                int64_t now_us)
{
    const json_t *rows = json_object_get(part, "rows");
    const json_t *tombstones = json_object_get(part, "gone");
    if (revision_field(part, "since") == 0) {
        return registry_copy_apply_list(registry, rows, revision, now_us);
    }
    for (size_t i = 0; i < json_array_size(tombstones); i++) {
        uint64_t removed_revision;
        const char *id = tombstone_parse(tombstones, i, &removed_revision);
        if (id != NULL) {
            (void)registry_remove(registry, id, removed_revision, now_us);
        }
    }
    registry_copy_put_rows(registry, rows, now_us);
    return registry_digest(registry) == part_digest(part);
}

static bool
members_apply(const json_t *part, uint64_t revision, members_t *members,
              int64_t now_us)
{
    const json_t *rows = json_object_get(part, "rows");
    const json_t *tombstones = json_object_get(part, "gone");
    if (!json_is_array(rows)) {
        return false;
    }
    if (revision_field(part, "since") == 0) {
        members_list_begin(members);
        members_put_rows(rows, members, now_us);
        members_list_end(members, now_us);
        members_reset_tombstones(members, revision);
        return true;
    }
    for (size_t i = 0; i < json_array_size(tombstones); i++) {
        uint64_t removed_revision;
        const char *name = tombstone_parse(tombstones, i, &removed_revision);
        if (name != NULL) {
            (void)members_remove(members, name, removed_revision, now_us);
        }
    }
    members_put_rows(rows, members, now_us);
    return members_digest(members) == part_digest(part);
}

/* Whether a part is complete, or has all changes after `known`. */
static bool
part_is_applicable(const json_t *part, uint64_t known)
{
    return json_is_object(part) && revision_field(part, "since") <= known;
}

unsigned
fleet_state_apply(const fleet_state_t *state, fleet_revisions_t *known,
                  registry_t *registry, members_t *members, int64_t now_us)
{
    unsigned updated = 0;
    const json_t *part = json_object_get(state->document, upstreams_name);
    bool applicable = part_is_applicable(part, known->upstreams);
    if (state->revisions.upstreams == known->upstreams &&
        json_is_object(part) &&
        part_digest(part) != registry_digest(registry)) {
        /* The peer has removed entries since, at the end of their grace
           period, which the store's revisions do not show. */
        known->upstreams = 0;
        return updated;
    }
    if (part_advance_revision(state->revisions.upstreams, &known->upstreams) &&
        applicable) {
        updated |= FLEET_UPSTREAMS;
        if (!upstreams_apply(part, state->revisions.upstreams, registry,
                             now_us)) {
            known->upstreams = 0;
        }
    }
    part = json_object_get(state->document, members_name);
    applicable = part_is_applicable(part, known->members);
    if (part_advance_revision(state->revisions.members, &known->members) &&
        applicable) {
        updated |= FLEET_MEMBERS;
        if (!members_apply(part, state->revisions.members, members, now_us)) {
            known->members = 0;
        }
    }
    if (part_advance_revision(state->revisions.zones, &known->zones) &&
        json_is_array(json_object_get(state->document, zones_name))) {
        updated |= FLEET_ZONES;
    }
    return updated;
}

void
fleet_state_bootstrap(const fleet_state_t *state, registry_t *registry,
                      members_t *members, int64_t now_us)
{
    members_put_rows(part_rows(state, members_name), members, now_us);
    registry_copy_add_provisional(registry, part_rows(state, upstreams_name),
                                  now_us);
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
