#include "tier/members.h"

#include "core/text.h"
#include "tier/serving.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    /* Grace period once the store is reachable again. A daemon that serves
       renews its lease every 2 s at the latest, so its record is written again
       by then. */
    MEMBERS_GRACE_US = 2000000,
    /* The shortest lease of a record is 4 s, and it is renewed at least twice
       in that time. */
    MEMBERS_OUTAGE_MIN_US = 2000000,
    ADDRESSES_MAX = 64 /* in a response of the directory */
};

void
members_init(members_t *members, int64_t now_us)
{
    *members = (members_t){
        .started_us = now_us,
        .window_start_us = now_us,
        .store_unreachable = true, /* until the store's first response */
    };
}

void
members_release(members_t *members)
{
    free(members->records);
    *members = (members_t){0};
}

size_t
member_record_write(char *text, size_t size, const char *address,
                    const char *control, const char *zone, uint32_t weight)
{
    int length = snprintf(text, size,
                          "{\"address\":\"%s\",\"control\":\"%s\","
                          "\"zone\":\"%s\",\"weight\":%u}",
                          address, control, zone, weight);
    return length > 0 && (size_t)length < size ? (size_t)length : 0;
}

static member_record_t *
members_find(const members_t *members, const char *name)
{
    for (uint32_t i = 0; i < members->count; i++) {
        if (strcmp(members->records[i].name, name) == 0) {
            return &members->records[i];
        }
    }
    return NULL;
}

bool
members_has(const members_t *members, const char *name)
{
    const member_record_t *record = members_find(members, name);
    return record != NULL && record->expires_us == 0;
}

uint64_t
members_digest(const members_t *members)
{
    uint64_t digest = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        const member_record_t *record = &members->records[i];
        uint64_t row =
            XXH64(record->name, strlen(record->name), record->weight);
        row = XXH64(record->address, strlen(record->address), row);
        row = XXH64(record->control, strlen(record->control), row);
        digest ^= XXH64(record->zone, strlen(record->zone), row);
    }
    return digest;
}

bool
members_is_first(const members_t *members, const char *name)
{
    for (uint32_t i = 0; i < members->count; i++) {
        if (strcmp(members->records[i].name, name) < 0) {
            return false;
        }
    }
    return members_has(members, name);
}

static member_record_t *
members_add(members_t *members, const char *name)
{
    if (members->count == members->capacity) {
        uint32_t capacity =
            members->capacity == 0 ? 16 : members->capacity * 2;
        if (capacity > MEMBERS_MAX) {
            return NULL;
        }
        member_record_t *grown =
            realloc(members->records, capacity * sizeof(*members->records));
        if (grown == NULL) {
            return NULL;
        }
        members->records = grown;
        members->capacity = capacity;
    }
    member_record_t *record = &members->records[members->count++];
    *record = (member_record_t){0};
    (void)text_copy(record->name, sizeof(record->name), name);
    return record;
}

/* Parse the JSON text of a record; false: address or zone is missing or too
   long. */
static bool
record_parse(member_record_t *record, const char *value, size_t size)
{
    json_t *root = json_loadb(value, size, 0, NULL);
    const char *address = json_string_value(json_object_get(root, "address"));
    const char *zone = json_string_value(json_object_get(root, "zone"));
    bool valid =
        address != NULL && zone != NULL &&
        text_copy(record->address, sizeof(record->address), address) &&
        text_copy(record->zone, sizeof(record->zone), zone);
    const char *control = json_string_value(json_object_get(root, "control"));
    if (control == NULL ||
        !text_copy(record->control, sizeof(record->control), control)) {
        record->control[0] = '\0';
    }
    json_int_t weight = json_integer_value(json_object_get(root, "weight"));
    record->weight = weight > 0 && weight < UINT32_MAX ? (uint32_t)weight : 0;
    json_decref(root);
    return valid;
}

static void
members_update_peak(members_t *members, int64_t now_us)
{
    if (now_us - members->window_start_us > MEMBERS_PEAK_WINDOW_US) {
        members->peak[1] = members->peak[0];
        members->peak[0] = 0;
        members->window_start_us = now_us;
    }
    if (members->count > members->peak[0]) {
        members->peak[0] = members->count;
    }
}

bool
members_put(members_t *members, const char *name, const char *value,
            size_t size, uint64_t revision, int64_t now_us)
{
    member_record_t parsed = {0};
    if (strlen(name) >= MEMBER_NAME_SIZE ||
        !record_parse(&parsed, value, size)) {
        return false;
    }
    member_record_t *record = members_find(members, name);
    bool changed = record == NULL || record->expires_us != 0 ||
                   strcmp(record->address, parsed.address) != 0;
    if (record == NULL) {
        record = members_add(members, name);
        if (record == NULL) {
            return false;
        }
    }
    memcpy(record->address, parsed.address, sizeof(record->address));
    memcpy(record->zone, parsed.zone, sizeof(record->zone));
    memcpy(record->control, parsed.control, sizeof(record->control));
    record->weight = parsed.weight;
    record->list_seq = members->list_seq;
    record->expires_us = 0;
    record->removed_revision = 0;
    record->revision = revision > 0 ? revision : record->revision;
    members_update_peak(members, now_us);
    return changed;
}

static void
members_drop(members_t *members, member_record_t *record)
{
    *record = members->records[--members->count];
}

/* Drop a record, or start its grace period if the store has just become
   reachable again. Returns true if the record was dropped. */
static bool
members_remove_or_defer(members_t *members, member_record_t *record,
                        int64_t now_us)
{
    int64_t due_us = members->store_reachable_us + MEMBERS_GRACE_US;
    if (members->store_reachable_us > 0 && now_us < due_us) {
        if (record->expires_us == 0) {
            record->expires_us = due_us;
        }
        return false;
    }
    members_drop(members, record);
    return true;
}

bool
members_remove(members_t *members, const char *name, uint64_t revision,
               int64_t now_us)
{
    member_record_t *record = members_find(members, name);
    if (record == NULL) {
        return false;
    }
    if (!members_remove_or_defer(members, record, now_us)) {
        record->removed_revision = revision;
        return false;
    }
    tombstone_log_add(&members->tombstones, name, revision);
    return true;
}

void
members_reset_tombstones(members_t *members, uint64_t revision)
{
    tombstone_log_reset(&members->tombstones, revision);
}

void
members_list_begin(members_t *members)
{
    members->list_seq++;
}

bool
members_list_end(members_t *members, int64_t now_us)
{
    bool changed = false;
    for (uint32_t i = members->count; i-- > 0;) {
        if (members->records[i].list_seq != members->list_seq) {
            changed |=
                members_remove_or_defer(members, &members->records[i], now_us);
        }
    }
    return changed;
}

void
members_store_unreachable(members_t *members)
{
    members->store_unreachable = true;
}

void
members_store_reachable(members_t *members, int64_t away_us, int64_t now_us)
{
    if (!members->store_unreachable) {
        return;
    }
    members->store_unreachable = false;
    if (away_us >= MEMBERS_OUTAGE_MIN_US) {
        /* A daemon that lists only itself has no other member that could
           have expired in the outage. */
        members->store_reachable_us = members->count > 1 ? now_us : 0;
    }
}

void
members_store_restored(members_t *members, int64_t now_us)
{
    members->store_unreachable = false;
    members->store_reachable_us = now_us;
}

bool
members_expire(members_t *members, int64_t now_us)
{
    bool changed = false;
    for (uint32_t i = members->count; i-- > 0;) {
        member_record_t *record = &members->records[i];
        if (record->expires_us != 0 && now_us >= record->expires_us) {
            if (record->removed_revision > 0) {
                tombstone_log_add(&members->tombstones, record->name,
                                  record->removed_revision);
            }
            members_drop(members, record);
            changed = true;
        }
    }
    return changed;
}

uint32_t
members_fleet_size(members_t *members, int64_t now_us)
{
    members_update_peak(members, now_us);
    uint32_t fleet = members->peak[0] > members->peak[1] ? members->peak[0]
                                                         : members->peak[1];
    if (now_us - members->started_us < MEMBERS_STARTUP_US &&
        fleet < MEMBERS_STARTUP_FLEET) {
        fleet = MEMBERS_STARTUP_FLEET;
    }
    return fleet > 0 ? fleet : 1;
}

uint32_t
members_assign_roles(members_t *members)
{
    member_role_t *roles = calloc(members->count + 1, sizeof(*roles));
    uint32_t serving = members->count;
    if (roles != NULL) {
        serving = serving_assign_roles(members, roles);
    }
    for (uint32_t i = 0; i < members->count; i++) {
        members->records[i].role =
            roles != NULL ? roles[i] : MEMBER_STORE_READER;
    }
    free(roles);
    return serving;
}

/*
 * Find the nth store reader of a zone, other than self, that has a control
 * address; zone may be NULL for any zone. Returns NULL if there are fewer.
 * Sets *count to their number, unless count is NULL.
 */
static const member_record_t *
members_find_reader(const members_t *members, const char *zone,
                    const char *self, uint32_t nth, uint32_t *count)
{
    const member_record_t *found = NULL;
    uint32_t matches = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        const member_record_t *record = &members->records[i];
        if (record->role != MEMBER_STORE_READER || record->expires_us != 0 ||
            record->control[0] == '\0' || strcmp(record->name, self) == 0 ||
            (zone != NULL && strcmp(record->zone, zone) != 0)) {
            continue;
        }
        if (matches++ == nth) {
            found = record;
        }
    }
    if (count != NULL) {
        *count = matches;
    }
    return found;
}

const char *
members_pick_reader(const members_t *members, const char *zone,
                    const char *self, uint32_t failures)
{
    uint32_t count = 0;
    uint32_t hash = (uint32_t)XXH64(self, strlen(self), 0);
    if (failures == 0) {
        members_find_reader(members, zone, self, UINT32_MAX, &count);
    }
    if (count == 0) {
        zone = NULL;
        members_find_reader(members, zone, self, UINT32_MAX, &count);
    }
    if (count == 0) {
        return NULL;
    }
    uint32_t nth = (hash % count + failures) % count;
    return members_find_reader(members, zone, self, nth, NULL)->control;
}

/* Members that may be asked to take a relayed request. */
typedef struct {
    const char *self; /* not this one */
    const char *zone; /* NULL: of any zone */
    bool standby;     /* also those on standby */
} relay_filter_t;

/* The nth member that the filter accepts; NULL: there are fewer. Sets *count
   to the number of those before it. */
static const member_record_t *
members_find_relay(const members_t *members, const relay_filter_t *filter,
                   uint64_t nth, int64_t now_us, uint64_t *count)
{
    *count = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        const member_record_t *record = &members->records[i];
        if ((record->role == MEMBER_STANDBY && !filter->standby) ||
            record->expires_us != 0 || record->control[0] == '\0' ||
            now_us < record->avoid_until_us ||
            strcmp(record->name, filter->self) == 0 ||
            (filter->zone != NULL &&
             strcmp(record->zone, filter->zone) != 0)) {
            continue;
        }
        if (*count == nth) {
            return record;
        }
        (*count)++;
    }
    return NULL;
}

const member_record_t *
members_pick_relay(const members_t *members, const char *zone,
                   const char *self, uint64_t random, int64_t now_us)
{
    const relay_filter_t filters[] = {
        {.self = self, .zone = zone},
        {.self = self},
        {.self = self, .standby = true},
    };
    for (size_t i = 0; i < sizeof(filters) / sizeof(filters[0]); i++) {
        uint64_t count;
        members_find_relay(members, &filters[i], UINT64_MAX, now_us, &count);
        if (count > 0) {
            return members_find_relay(members, &filters[i], random % count,
                                      now_us, &count);
        }
    }
    return NULL;
}

void
members_avoid(members_t *members, const char *name, int64_t until_us)
{
    member_record_t *record = members_find(members, name);
    if (record != NULL) {
        record->avoid_until_us = until_us;
    }
}

uint64_t
member_id(const char *name)
{
    return XXH64(name, strlen(name), 0);
}

uint32_t
members_serving_ids(const members_t *members, uint64_t *ids)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        if (members->records[i].role != MEMBER_STANDBY) {
            ids[count++] = member_id(members->records[i].name);
        }
    }
    return count;
}

member_role_t
members_role(const members_t *members, const char *name)
{
    const member_record_t *record = members_find(members, name);
    return record != NULL ? record->role : MEMBER_STANDBY;
}

/* Whether the directory names the member to callers. */
static bool
record_is_named(const member_record_t *record, const char *exclude)
{
    return record->role != MEMBER_STANDBY &&
           (exclude == NULL || strcmp(record->name, exclude) != 0);
}

static uint32_t
members_count_named(const members_t *members, const char *zone,
                    const char *exclude)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        const member_record_t *record = &members->records[i];
        count +=
            record_is_named(record, exclude) && strcmp(record->zone, zone) == 0
                ? 1
                : 0;
    }
    return count;
}

size_t
members_addresses(const members_t *members, const char *zone,
                  const char *exclude, char *text, size_t size)
{
    size_t length = 0;
    uint32_t written = 0;
    if (size < 3) {
        return 0;
    }
    if (zone != NULL &&
        members_count_named(members, zone, exclude) < MEMBERS_LOCAL_MIN) {
        zone = NULL;
    }
    text[length++] = '[';
    for (uint32_t i = 0; i < members->count && written < ADDRESSES_MAX; i++) {
        const member_record_t *record = &members->records[i];
        if (!record_is_named(record, exclude) ||
            (zone != NULL && strcmp(record->zone, zone) != 0)) {
            continue;
        }
        int added = snprintf(text + length, size - length, "%s\"%s\"",
                             written > 0 ? "," : "", record->address);
        if (added < 0 || (size_t)added + 2 > size - length) {
            break;
        }
        length += (size_t)added;
        written++;
    }
    text[length++] = ']';
    text[length] = '\0';
    return written > 0 ? length : 0;
}
