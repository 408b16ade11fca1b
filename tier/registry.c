#include "tier/registry.h"

#include "core/text.h"
#include "platform/kv.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

typedef struct {
    instance_t *instance;
    uint64_t revision;         /* store revision of the last write */
    uint64_t removed_revision; /* of a deferred removal; 0: none */
    uint32_t list_seq;         /* last list that named the entry */
    int64_t expires_us; /* end of the grace period; 0: the entry is listed */
} registry_entry_t;

void
registry_init(registry_t *registry)
{
    memset(registry, 0, sizeof(*registry));
    registry->fleet_size = 1;
    registry->store_unreachable = true; /* until the store's first response */
}

pool_t *
registry_pool(registry_t *registry, const char *service)
{
    pool_t *pool = strmap_find(&registry->pools, service);
    if (pool != NULL) {
        return pool;
    }
    pool = calloc(1, sizeof(*pool));
    if (pool == NULL || !text_copy(pool->name, sizeof(pool->name), service) ||
        !strmap_add(&registry->pools, service, pool)) {
        free(pool);
        return NULL;
    }
    pool->limits.fleet_size = registry->fleet_size;
    budget_init(&pool->retry_budget);
    return pool;
}

/* Take an instance out of its pool; registry_expire frees it once nothing
   refers to it. */
static void
registry_retire(registry_t *registry, instance_t *instance)
{
    instance->listed = false;
    pool_t *pool = registry_pool(registry, instance->entry.service);
    if (pool != NULL) {
        pool_remove(pool, instance);
    }
    if (registry->retired_count == registry->retired_capacity) {
        uint32_t capacity = registry->retired_capacity == 0
                                ? 16
                                : registry->retired_capacity * 2;
        instance_t **grown =
            realloc(registry->retired, capacity * sizeof(*grown));
        if (grown == NULL) {
            return; /* out of memory: leak it, it may be referenced */
        }
        registry->retired = grown;
        registry->retired_capacity = capacity;
    }
    registry->retired[registry->retired_count++] = instance;
}

static void
registry_drop(registry_t *registry, registry_entry_t *entry)
{
    departure_t departure = {
        .started_ms = entry->instance->entry.started_ms,
        .revision = entry->removed_revision > entry->revision
                        ? entry->removed_revision
                        : entry->revision,
        .leaving = entry->instance->leaving,
    };
    (void)text_copy(departure.id, sizeof(departure.id),
                    entry->instance->entry.id);
    departure_log_add(&registry->departures, &departure);
    strmap_remove(&registry->entries, entry->instance->entry.id);
    registry_retire(registry, entry->instance);
    free(entry);
}

static registry_entry_t *
registry_add(registry_t *registry, const instance_entry_t *entry,
             int64_t now_us)
{
    pool_t *pool = registry_pool(registry, entry->service);
    registry_entry_t *added = calloc(1, sizeof(*added));
    instance_t *instance = malloc(sizeof(*instance));
    if (pool == NULL || added == NULL || instance == NULL) {
        free(added);
        free(instance);
        return NULL;
    }
    instance_init(instance, entry, now_us);
    added->instance = instance;
    if (!strmap_add(&registry->entries, entry->id, added)) {
        free(added);
        free(instance);
        return NULL;
    }
    if (!pool_add(pool, instance)) {
        strmap_remove(&registry->entries, entry->id);
        free(added);
        free(instance);
        return NULL;
    }
    return added;
}

/* Whether a write of an entry changes nothing that affects placement. */
static bool
entry_is_equivalent(const instance_entry_t *older,
                    const instance_entry_t *newer)
{
    return older->draining == newer->draining &&
           older->started_ms == newer->started_ms &&
           older->slots == newer->slots &&
           strcmp(older->version, newer->version) == 0 &&
           memcmp(&older->address, &newer->address, sizeof(older->address)) ==
               0;
}

/* Apply what is known of an upstream that was removed and is listed again. */
static void
registry_apply_departure(const registry_t *registry, instance_t *instance,
                         uint64_t revision, int64_t now_us)
{
    const departure_t *departure =
        departure_log_find(&registry->departures, instance->entry.id);
    if (departure == NULL ||
        instance->entry.started_ms > departure->started_ms) {
        return;
    }
    instance->leaving = departure->leaving;
    if (kv_revision_era(revision) > kv_revision_era(departure->revision)) {
        instance->held_until_us =
            now_us + REGISTRY_REVIVAL_HEARTBEATS * registry->heartbeat_us;
    }
}

/* Adjust an entry that is seen for the first time in a new era of the store,
   which may have been written before the one already known. */
static instance_entry_t
entry_merge_eras(const instance_entry_t *known, const instance_entry_t *entry)
{
    instance_entry_t merged = *entry;
    if (entry->started_ms < known->started_ms) {
        merged = *known;
    }
    else if (entry->started_ms == known->started_ms && known->draining) {
        merged.draining = true;
    }
    return merged;
}

registry_change_t
registry_put(registry_t *registry, const instance_entry_t *entry,
             uint64_t revision, int64_t now_us)
{
    instance_entry_t merged;
    registry_entry_t *found = strmap_find(&registry->entries, entry->id);
    if (found != NULL && revision < found->revision) {
        found->list_seq = registry->list_seq;
        return REGISTRY_UNCHANGED;
    }
    if (found != NULL && revision > 0 && revision == found->revision) {
        /* Known already, and possibly merged with an entry of an earlier
           era. */
        found->list_seq = registry->list_seq;
        found->expires_us = 0;
        found->removed_revision = 0;
        return REGISTRY_UNCHANGED;
    }
    if (found != NULL &&
        strcmp(found->instance->entry.service, entry->service) != 0) {
        registry_drop(registry, found);
        found = NULL;
    }
    registry_change_t change = REGISTRY_UNCHANGED;
    if (found == NULL) {
        const departure_t *departure =
            departure_log_find(&registry->departures, entry->id);
        if (departure != NULL && revision < departure->revision) {
            /* A peer that has kept it for its own grace period. */
            return REGISTRY_UNCHANGED;
        }
        found = registry_add(registry, entry, now_us);
        if (found == NULL) {
            return REGISTRY_UNCHANGED;
        }
        registry_apply_departure(registry, found->instance, revision, now_us);
        change = REGISTRY_ADDED;
    }
    else {
        if (kv_revision_era(revision) > kv_revision_era(found->revision)) {
            merged = entry_merge_eras(&found->instance->entry, entry);
            entry = &merged;
        }
        if (!entry_is_equivalent(&found->instance->entry, entry)) {
            change = REGISTRY_CHANGED;
        }
        instance_update(found->instance, entry, now_us);
    }
    found->revision = revision;
    found->list_seq = registry->list_seq;
    found->expires_us = 0;
    found->removed_revision = 0;
    return change;
}

/* When an entry that disappears now is to be removed: now, or at the end of
   the grace period after a store outage. */
static int64_t
registry_removal_due_us(const registry_t *registry, int64_t now_us)
{
    int64_t due = registry->store_reachable_us + REGISTRY_GRACE_US;
    return registry->store_reachable_us > 0 && now_us < due ? due : now_us;
}

/* Remove an entry, or start its grace period if the store has just become
   reachable again. */
static registry_change_t
registry_remove_or_defer(registry_t *registry, registry_entry_t *entry,
                         int64_t now_us)
{
    int64_t due_us = registry_removal_due_us(registry, now_us);
    if (due_us <= now_us) {
        registry_drop(registry, entry);
        return REGISTRY_REMOVED;
    }
    if (entry->expires_us == 0) {
        entry->expires_us = due_us;
    }
    return REGISTRY_REMOVAL_DEFERRED;
}

registry_change_t
registry_remove(registry_t *registry, const char *id, uint64_t revision,
                int64_t now_us)
{
    registry_entry_t *found = strmap_find(&registry->entries, id);
    if (found == NULL || revision < found->revision) {
        return REGISTRY_UNCHANGED;
    }
    found->removed_revision = revision;
    registry_change_t change =
        registry_remove_or_defer(registry, found, now_us);
    if (change == REGISTRY_REMOVED) {
        tombstone_log_add(&registry->tombstones, id, revision);
    }
    return change;
}

void
registry_reset_tombstones(registry_t *registry, uint64_t revision)
{
    tombstone_log_reset(&registry->tombstones, revision);
}

void
registry_list_begin(registry_t *registry)
{
    registry->list_seq++;
}

void
registry_list_end_at(registry_t *registry, uint64_t revision, int64_t now_us)
{
    for (strmap_entry_t *at = strmap_first(&registry->entries), *next;
         at != NULL; at = next) {
        registry_entry_t *entry = strmap_value(at);
        next = strmap_next(at);
        if (entry->list_seq != registry->list_seq &&
            entry->revision <= revision) {
            registry_remove_or_defer(registry, entry, now_us);
        }
    }
}

void
registry_list_end(registry_t *registry, int64_t now_us)
{
    registry_list_end_at(registry, UINT64_MAX, now_us);
}

bool
registry_add_provisional(registry_t *registry, const instance_entry_t *entry,
                         int64_t now_us)
{
    const departure_t *departure =
        departure_log_find(&registry->departures, entry->id);
    if (strmap_find(&registry->entries, entry->id) != NULL ||
        (departure != NULL && entry->started_ms <= departure->started_ms)) {
        return false;
    }
    registry_entry_t *added = registry_add(registry, entry, now_us);
    if (added == NULL) {
        return false;
    }
    added->list_seq = registry->list_seq;
    if (!registry->store_unreachable) {
        added->expires_us = now_us + REGISTRY_GRACE_US;
    }
    return true;
}

const instance_t *
registry_next(const registry_t *registry, void **cursor, uint64_t *revision)
{
    const strmap_entry_t *next = *cursor == NULL
                                     ? strmap_first(&registry->entries)
                                     : strmap_next(*cursor);
    *cursor = (void *)next;
    if (next == NULL) {
        return NULL;
    }
    const registry_entry_t *entry = strmap_value(next);
    *revision = entry->revision;
    return entry->instance;
}

void
registry_store_unreachable(registry_t *registry)
{
    registry->store_unreachable = true;
}

void
registry_store_reachable(registry_t *registry, int64_t away_us, int64_t now_us)
{
    if (!registry->store_unreachable) {
        return;
    }
    registry->store_unreachable = false;
    if (away_us < registry->heartbeat_us * REGISTRY_OUTAGE_MIN_PERCENT / 100) {
        return;
    }
    /* After a start there may be no entry that could have expired. */
    registry->store_reachable_us = registry_count(registry) > 0 ? now_us : 0;
}

void
registry_store_restored(registry_t *registry, int64_t now_us)
{
    registry->store_unreachable = false;
    registry->store_reachable_us = now_us;
}

void
registry_expire(registry_t *registry, int64_t now_us)
{
    for (strmap_entry_t *at = strmap_first(&registry->entries), *next;
         at != NULL; at = next) {
        registry_entry_t *entry = strmap_value(at);
        next = strmap_next(at);
        if (entry->expires_us != 0 && now_us >= entry->expires_us) {
            if (entry->removed_revision > 0) {
                tombstone_log_add(&registry->tombstones,
                                  entry->instance->entry.id,
                                  entry->removed_revision);
            }
            registry_drop(registry, entry);
        }
    }
    uint32_t kept = 0;
    for (uint32_t i = 0; i < registry->retired_count; i++) {
        instance_t *instance = registry->retired[i];
        if (instance->ref_count > 0 || instance->links != NULL) {
            registry->retired[kept++] = instance;
        }
        else {
            free(instance);
        }
    }
    registry->retired_count = kept;
}

bool
registry_zone_is_closed(const registry_t *registry, const char *zone)
{
    for (uint32_t i = 0; i < registry->closed_zone_count; i++) {
        if (strcmp(registry->closed_zones[i], zone) == 0) {
            return true;
        }
    }
    return false;
}

bool
registry_set_zone_closed(registry_t *registry, const char *zone, bool closed)
{
    uint32_t index = 0;
    while (index < registry->closed_zone_count &&
           strcmp(registry->closed_zones[index], zone) != 0) {
        index++;
    }
    if (!closed) {
        if (index < registry->closed_zone_count) {
            uint32_t last = --registry->closed_zone_count;
            if (index != last) {
                (void)text_copy(registry->closed_zones[index],
                                INSTANCE_NAME_SIZE,
                                registry->closed_zones[last]);
            }
        }
        return true;
    }
    if (index < registry->closed_zone_count) {
        return true;
    }
    if (index == REGISTRY_ZONES_MAX ||
        !text_copy(registry->closed_zones[index], INSTANCE_NAME_SIZE, zone)) {
        return false;
    }
    registry->closed_zone_names[index] = registry->closed_zones[index];
    registry->closed_zone_count++;
    return true;
}

void
registry_open_all_zones(registry_t *registry)
{
    registry->closed_zone_count = 0;
}

uint32_t
registry_count(const registry_t *registry)
{
    return (uint32_t)strmap_count(&registry->entries);
}

uint32_t
registry_limited_count(const registry_t *registry)
{
    uint32_t count = 0;
    for (strmap_entry_t *at = strmap_first(&registry->entries); at != NULL;
         at = strmap_next(at)) {
        const registry_entry_t *entry = strmap_value(at);
        count += entry->instance->rate_limit.stated ? 1 : 0;
    }
    return count;
}

uint32_t
registry_unresponsive_count(const registry_t *registry, int64_t now_us)
{
    uint32_t count = 0;
    for (strmap_entry_t *at = strmap_first(&registry->pools); at != NULL;
         at = strmap_next(at)) {
        count += pool_is_unresponsive(strmap_value(at), 0, now_us) ? 1 : 0;
    }
    return count;
}

instance_t *
registry_random_upstream(const registry_t *registry, uint64_t random,
                         int64_t now_us)
{
    instance_t *chosen = NULL;
    uint64_t usable = 0;
    /* The second round counts up to the one that the first round's number of
       upstreams selects. */
    for (int round = 0; round < 2; round++) {
        uint64_t wanted = usable > 0 ? random % usable : 0;
        usable = 0;
        for (strmap_entry_t *at = strmap_first(&registry->entries); at != NULL;
             at = strmap_next(at)) {
            const registry_entry_t *entry = strmap_value(at);
            if (!instance_is_usable(entry->instance, now_us)) {
                continue;
            }
            if (round == 1 && usable == wanted) {
                chosen = entry->instance;
            }
            usable++;
        }
    }
    return chosen;
}

uint64_t
registry_digest(const registry_t *registry)
{
    uint64_t digest = 0;
    for (strmap_entry_t *at = strmap_first(&registry->entries); at != NULL;
         at = strmap_next(at)) {
        const registry_entry_t *entry = strmap_value(at);
        const char *id = entry->instance->entry.id;
        digest ^= XXH64(id, strlen(id), entry->revision);
    }
    return digest;
}

void
registry_apply_config(registry_t *registry, const route_table_t *table,
                      uint32_t fleet_size)
{
    registry->fleet_size = fleet_size;
    for (uint32_t i = 0; table != NULL && i < table->service_count; i++) {
        const route_service_t *service = &table->services[i];
        pool_t *pool = registry_pool(registry, service->name);
        if (pool != NULL) {
            pool->limits.connections = service->max_connections;
            pool->limits.cold_per_s = service->cold_per_s;
        }
    }
    for (strmap_entry_t *at = strmap_first(&registry->pools); at != NULL;
         at = strmap_next(at)) {
        pool_t *pool = strmap_value(at);
        pool->limits.fleet_size = fleet_size;
    }
}

static void
entry_free(void *value)
{
    registry_entry_t *entry = value;
    free(entry->instance);
    free(entry);
}

static void
pool_free(void *value)
{
    pool_release(value);
    free(value);
}

void
registry_release(registry_t *registry)
{
    strmap_release(&registry->entries, entry_free);
    for (uint32_t i = 0; i < registry->retired_count; i++) {
        free(registry->retired[i]);
    }
    free(registry->retired);
    strmap_release(&registry->pools, pool_free);
}
