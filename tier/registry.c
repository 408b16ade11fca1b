#include "tier/registry.h"

#include "core/text.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

typedef struct {
    instance_t *instance;
    uint64_t revision; /* of the store, when it was written */
    uint64_t removed;  /* the revision of its removal, while it is kept */
    uint32_t listing;  /* the last list that named it */
    int64_t gone_us; /* when it is gone unless it comes back; 0: it is there */
} registry_entry_t;

void
registry_init(registry_t *registry)
{
    memset(registry, 0, sizeof(*registry));
    registry->store_lost = true; /* until it is first heard */
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
    pool->limits.fleet_size = 1;
    budget_init(&pool->retry_budget);
    return pool;
}

/* Keep an instance that is gone until nothing points to it. */
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
            return; /* it is left where its holders find it */
        }
        registry->retired = grown;
        registry->retired_capacity = capacity;
    }
    registry->retired[registry->retired_count++] = instance;
}

static void
registry_drop(registry_t *registry, registry_entry_t *entry)
{
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

static bool
entry_decides_same(const instance_entry_t *old, const instance_entry_t *new)
{
    return old->draining == new->draining &&
           old->started_ms == new->started_ms &&
           old->slots ==
               new->slots &&memcmp(&old->address, &new->address,
                                   sizeof(old->address)) == 0;
}

registry_change_t
registry_put(registry_t *registry, const instance_entry_t *entry,
             uint64_t revision, int64_t now_us)
{
    registry_entry_t *found = strmap_find(&registry->entries, entry->id);
    if (found != NULL && revision < found->revision) {
        found->listing = registry->listing;
        return REGISTRY_SAME;
    }
    if (found != NULL &&
        strcmp(found->instance->entry.service, entry->service) != 0) {
        registry_drop(registry, found);
        found = NULL;
    }
    registry_change_t change = REGISTRY_SAME;
    if (found == NULL) {
        found = registry_add(registry, entry, now_us);
        if (found == NULL) {
            return REGISTRY_SAME;
        }
        change = REGISTRY_ADDED;
    }
    else {
        if (!entry_decides_same(&found->instance->entry, entry)) {
            change = REGISTRY_CHANGED;
        }
        instance_update(found->instance, entry, now_us);
    }
    found->revision = revision;
    found->listing = registry->listing;
    found->gone_us = 0;
    found->removed = 0;
    return change;
}

/* The time at which an entry that vanishes now is gone. */
static int64_t
registry_gone_us(const registry_t *registry, int64_t now_us)
{
    int64_t due = registry->store_back_us + REGISTRY_RETURN_US;
    return registry->store_back_us > 0 && now_us < due ? due : now_us;
}

static registry_change_t
registry_vanish(registry_t *registry, registry_entry_t *entry, int64_t now_us)
{
    int64_t gone_us = registry_gone_us(registry, now_us);
    if (gone_us <= now_us) {
        registry_drop(registry, entry);
        return REGISTRY_GONE;
    }
    if (entry->gone_us == 0) {
        entry->gone_us = gone_us;
    }
    return REGISTRY_KEPT;
}

registry_change_t
registry_remove(registry_t *registry, const char *id, uint64_t revision,
                int64_t now_us)
{
    registry_entry_t *found = strmap_find(&registry->entries, id);
    if (found == NULL || revision < found->revision) {
        return REGISTRY_SAME;
    }
    registry_change_t change = registry_vanish(registry, found, now_us);
    if (change == REGISTRY_GONE) {
        gone_log_add(&registry->gone, id, revision);
    }
    else {
        found->removed = revision;
    }
    return change;
}

void
registry_list_read(registry_t *registry, uint64_t revision)
{
    gone_log_begin(&registry->gone, revision);
}

void
registry_list_begin(registry_t *registry)
{
    registry->listing++;
}

void
registry_list_end_at(registry_t *registry, uint64_t revision, int64_t now_us)
{
    for (strmap_entry_t *at = strmap_first(&registry->entries), *next;
         at != NULL; at = next) {
        registry_entry_t *entry = strmap_value(at);
        next = strmap_next(at);
        if (entry->listing != registry->listing &&
            entry->revision <= revision) {
            registry_vanish(registry, entry, now_us);
        }
    }
}

void
registry_list_end(registry_t *registry, int64_t now_us)
{
    registry_list_end_at(registry, UINT64_MAX, now_us);
}

bool
registry_suggest(registry_t *registry, const instance_entry_t *entry,
                 int64_t now_us)
{
    if (strmap_find(&registry->entries, entry->id) != NULL) {
        return false;
    }
    registry_entry_t *added = registry_add(registry, entry, now_us);
    if (added == NULL) {
        return false;
    }
    added->listing = registry->listing;
    if (!registry->store_lost) {
        added->gone_us = now_us + REGISTRY_RETURN_US;
    }
    return true;
}

const instance_t *
registry_each(const registry_t *registry, void **at, uint64_t *revision)
{
    const strmap_entry_t *next =
        *at == NULL ? strmap_first(&registry->entries) : strmap_next(*at);
    *at = (void *)next;
    if (next == NULL) {
        return NULL;
    }
    const registry_entry_t *entry = strmap_value(next);
    *revision = entry->revision;
    return entry->instance;
}

void
registry_store_lost(registry_t *registry)
{
    registry->store_lost = true;
}

void
registry_store_back(registry_t *registry, int64_t now_us)
{
    if (registry->store_lost) {
        registry->store_lost = false;
        /* At a start there may be nothing that could have lapsed. */
        registry->store_back_us = registry_count(registry) > 0 ? now_us : 0;
    }
}

void
registry_expire(registry_t *registry, int64_t now_us)
{
    for (strmap_entry_t *at = strmap_first(&registry->entries), *next;
         at != NULL; at = next) {
        registry_entry_t *entry = strmap_value(at);
        next = strmap_next(at);
        if (entry->gone_us != 0 && now_us >= entry->gone_us) {
            if (entry->removed > 0) {
                gone_log_add(&registry->gone, entry->instance->entry.id,
                             entry->removed);
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
    for (uint32_t i = 0; i < registry->closed_count; i++) {
        if (strcmp(registry->closed[i], zone) == 0) {
            return true;
        }
    }
    return false;
}

bool
registry_close_zone(registry_t *registry, const char *zone, bool closed)
{
    uint32_t place = 0;
    while (place < registry->closed_count &&
           strcmp(registry->closed[place], zone) != 0) {
        place++;
    }
    if (!closed) {
        if (place < registry->closed_count) {
            uint32_t last = --registry->closed_count;
            if (place != last) {
                (void)text_copy(registry->closed[place], INSTANCE_NAME_SIZE,
                                registry->closed[last]);
            }
        }
        return true;
    }
    if (place < registry->closed_count) {
        return true;
    }
    if (place == REGISTRY_ZONES_MAX ||
        !text_copy(registry->closed[place], INSTANCE_NAME_SIZE, zone)) {
        return false;
    }
    registry->closed_names[place] = registry->closed[place];
    registry->closed_count++;
    return true;
}

void
registry_open_zones(registry_t *registry)
{
    registry->closed_count = 0;
}

uint32_t
registry_count(const registry_t *registry)
{
    return (uint32_t)strmap_count(&registry->entries);
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
registry_apply(registry_t *registry, const route_table_t *table,
               uint32_t fleet)
{
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
        pool->limits.fleet_size = fleet;
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
