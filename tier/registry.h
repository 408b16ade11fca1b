/*
 * The upstreams that are believed to run, by service and by instance id.
 *
 * Entries that vanish around an outage of the store may have lapsed only
 * because they could not be renewed: they are kept until the owner had its
 * time to come back, and are gone after it. At any other time an entry that
 * vanishes is gone at once.
 *
 *     registry_put(&registry, &entry, revision, now_us);
 *     registry_store_recovered(&registry, now_us);
 *     registry_list_begin(&registry); ... registry_put ...;
 *     registry_list_end(&registry, now_us);
 *     registry_expire(&registry, now_us);
 */
#ifndef TIER_REGISTRY_H
#define TIER_REGISTRY_H

#include "core/strmap.h"
#include "tier/instance.h"
#include "tier/pool.h"
#include "tier/route.h"
#include "tier/tombstone_log.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    REGISTRY_ZONES_MAX = 32,
    /* How long after the store's return an owner has to renew its entry: the
       platform promises about two seconds. */
    REGISTRY_GRACE_US = 2000000
};

typedef struct {
    strmap_t entries;     /* by instance id */
    strmap_t pools;       /* of pool_t, by service */
    instance_t **retired; /* gone, and still pointed to */
    uint32_t retired_count;
    uint32_t retired_capacity;
    char closed_zones[REGISTRY_ZONES_MAX]
                     [INSTANCE_NAME_SIZE]; /* evacuated zones */
    const char *closed_zone_names[REGISTRY_ZONES_MAX];
    uint32_t closed_zone_count;
    bool store_down;
    int64_t store_recovered_us; /* 0: no outage seen */
    uint32_t list_seq;          /* number of the list being read */
    tombstone_log_t tombstones; /* for those who ask this daemon */
} registry_t;

void registry_init(registry_t *registry);
void registry_release(registry_t *registry);

/* The pool of a service, made when there is none; NULL: no memory. */
pool_t *registry_pool(registry_t *registry, const char *service);

typedef enum {
    REGISTRY_UNCHANGED, /* nothing that decides has changed, or it was older */
    REGISTRY_ADDED,
    REGISTRY_CHANGED,
    REGISTRY_REMOVED,
    REGISTRY_REMOVAL_DEFERRED /* it vanished around an outage, and has time to
                                 return */
} registry_change_t;

/* An entry as it was written at a revision of the store. */
registry_change_t registry_put(registry_t *registry,
                               const instance_entry_t *entry,
                               uint64_t revision, int64_t now_us);

/* An entry was removed, or names no upstream any more. */
registry_change_t registry_remove(registry_t *registry, const char *id,
                                  uint64_t revision, int64_t now_us);

/* A complete list is read: what it does not name between the two is gone. */
void registry_list_begin(registry_t *registry);
void registry_list_end(registry_t *registry, int64_t now_us);

/* A whole list was read at that revision: what went before is not known. */
void registry_reset_tombstones(registry_t *registry, uint64_t revision);

/* As registry_list_end, for a list that is good up to that revision only. */
void registry_list_end_at(registry_t *registry, uint64_t revision,
                          int64_t now_us);

/*
 * An upstream that was there before this daemon started: believed while the
 * store is away, and then until it had its time to come back. False: it is
 * known, or there is no memory.
 */
bool registry_add_provisional(registry_t *registry,
                              const instance_entry_t *entry, int64_t now_us);

/*
 * The upstreams one after the other, *at NULL for the first, each with the
 * revision of its entry; NULL: no more.
 */
const instance_t *registry_next(const registry_t *registry, void **cursor,
                                uint64_t *revision);

void registry_store_down(registry_t *registry);
void registry_store_recovered(registry_t *registry, int64_t now_us);

/* Drop what has not come back in time, and what nothing points to. */
void registry_expire(registry_t *registry, int64_t now_us);

/* A zone that is to get nothing, or is open again; false: too many. */
bool registry_set_zone_closed(registry_t *registry, const char *zone,
                              bool closed);
bool registry_zone_is_closed(const registry_t *registry, const char *zone);
void registry_open_all_zones(registry_t *registry);

uint32_t registry_count(const registry_t *registry);

/* Alike for two registries with the same entries; 0: there is none. */
uint64_t registry_digest(const registry_t *registry);

/* Take over what a configuration says of services; fleet: daemons sharing. */
void registry_apply_config(registry_t *registry, const route_table_t *table,
                           uint32_t fleet);

#endif
