/*
 * This daemon's view of the running upstreams, by service and by instance id.
 *
 * An entry that disappears right after a store outage may have expired only
 * because its owner could not renew it: it is kept for a grace period, and is
 * removed if it has not been written again by then. At any other time, and
 * after an outage in which no entry can have expired, an entry that disappears
 * is removed at once.
 *
 * A store that is restored from a backup lists old entries, under revisions of
 * a new era (platform/kv.h), until their owners have written them again. An
 * upstream that is known to have drained or to have been restarted since is
 * not taken back to its earlier state, and one that was removed is not used
 * until its entry has proved to be renewed.
 *
 *     registry_put(&registry, &entry, revision, now_us);
 *     registry_store_reachable(&registry, away_us, now_us);
 *     registry_list_begin(&registry); ... registry_put ...;
 *     registry_list_end(&registry, now_us);
 *     registry_expire(&registry, now_us);
 */
#ifndef TIER_REGISTRY_H
#define TIER_REGISTRY_H

#include "core/strmap.h"
#include "policy/instance.h"
#include "policy/pool.h"
#include "policy/route.h"
#include "tier/departure_log.h"
#include "tier/tombstone_log.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    REGISTRY_ZONES_MAX = 32,
    /* Grace period once the store is reachable again, for owners to write
       their entries again: the platform guarantees about two seconds. */
    REGISTRY_GRACE_US = 2000000,
    /* The platform removes an entry that its owner has not renewed for three
       heartbeats. A removed upstream that a restored store lists again is held
       back for this number of heartbeats: if it is still listed then, it
       lives. */
    REGISTRY_REVIVAL_HEARTBEATS = 4,
    /* An entry was renewed up to about a heartbeat before an outage, so that
       it outlives one that is shorter than this percentage of a heartbeat. */
    REGISTRY_OUTAGE_MIN_PERCENT = 150
};

typedef struct {
    strmap_t entries;     /* by instance id */
    strmap_t pools;       /* of pool_t, by service */
    uint32_t fleet_size;  /* for the limits of pools; at least 1 */
    instance_t **retired; /* removed, but still referenced */
    uint32_t retired_count;
    uint32_t retired_capacity;
    /* Evacuated zones: no request is sent there. */
    char closed_zones[REGISTRY_ZONES_MAX][INSTANCE_NAME_SIZE];
    const char *closed_zone_names[REGISTRY_ZONES_MAX]; /* for pool_pick_t */
    uint32_t closed_zone_count;
    bool store_unreachable;
    int64_t store_reachable_us; /* start of the last grace period; 0: none */
    uint32_t list_seq;          /* number of the list being read */
    tombstone_log_t tombstones; /* removals, for daemons that poll this one */
    departure_log_t departures;
    int64_t heartbeat_us; /* interval at which upstreams renew their entries */
} registry_t;

void registry_init(registry_t *registry);
void registry_release(registry_t *registry);

/* The pool of a service, created if needed. It belongs to the registry and
   is valid as long as the registry is. NULL: out of memory. */
pool_t *registry_pool(registry_t *registry, const char *service);

typedef enum {
    REGISTRY_UNCHANGED, /* no relevant field changed, or the write is stale */
    REGISTRY_ADDED,
    REGISTRY_CHANGED,
    REGISTRY_REMOVED,
    REGISTRY_REMOVAL_DEFERRED /* kept for the grace period after an outage */
} registry_change_t;

/* Add or update an upstream by the entry that was written at a revision of
   the store. A write older than the known one is ignored. Returns
   REGISTRY_UNCHANGED also when out of memory. */
registry_change_t registry_put(registry_t *registry,
                               const instance_entry_t *entry,
                               uint64_t revision, int64_t now_us);

/* An entry was removed at a revision of the store, or is no longer valid. A
   removal older than the known write is ignored. */
registry_change_t registry_remove(registry_t *registry, const char *id,
                                  uint64_t revision, int64_t now_us);

/* Begin and end reading a complete list. In between, the caller passes each
   entry to registry_put. registry_list_end removes the entries that are not in
   the list. */
void registry_list_begin(registry_t *registry);
void registry_list_end(registry_t *registry, int64_t now_us);

/* Clear the tombstones after a complete list was read at `revision`: removals
   before it were not observed. */
void registry_reset_tombstones(registry_t *registry, uint64_t revision);

/* As registry_list_end, for a list as of `revision`: entries written later are
   kept although they are not in the list. */
void registry_list_end_at(registry_t *registry, uint64_t revision,
                          int64_t now_us);

/*
 * Add an upstream from a copy of the registry rather than from its own entry.
 * It is kept while the store is unreachable, and after that until the grace
 * period ends, unless its entry is read by then. False: it is known already,
 * or out of memory.
 */
bool registry_add_provisional(registry_t *registry,
                              const instance_entry_t *entry, int64_t now_us);

/*
 * Iterate over the upstreams in the order they were added: set *cursor to NULL
 * before the first call. *revision is set to the revision of the entry.
 * Returns NULL at the end.
 */
const instance_t *registry_next(const registry_t *registry, void **cursor,
                                uint64_t *revision);

/* The store has become unreachable. */
void registry_store_unreachable(registry_t *registry);

/* The store was restored from a backup: entries that it lacks get a grace
   period, as after an outage. */
void registry_store_restored(registry_t *registry, int64_t now_us);

/* The store is reachable again after it was unavailable for away_us at most:
   removals now get a grace period if entries can have expired in that time. */
void registry_store_reachable(registry_t *registry, int64_t away_us,
                              int64_t now_us);

/* Remove entries whose grace period has ended, and free removed instances that
   are no longer referenced. */
void registry_expire(registry_t *registry, int64_t now_us);

/* Close (evacuate) a zone, so that no request is sent there, or open it again.
   False: too many closed zones, or the name is too long. */
bool registry_set_zone_closed(registry_t *registry, const char *zone,
                              bool closed);
bool registry_zone_is_closed(const registry_t *registry, const char *zone);
void registry_open_all_zones(registry_t *registry);

uint32_t registry_count(const registry_t *registry);

/* Number of upstreams that have stated a limit on the rate of requests. */
uint32_t registry_limited_count(const registry_t *registry);

/* Number of services that have stopped responding; see
   pool_is_unresponsive. */
uint32_t registry_unresponsive_count(const registry_t *registry,
                                     int64_t now_us);

/* One of the upstreams that get requests, chosen by the random number; NULL:
   there is none. */
instance_t *registry_random_upstream(const registry_t *registry,
                                     uint64_t random, int64_t now_us);

/* Hash of the ids and revisions of all entries, independent of their order;
   0 if there is none. */
uint64_t registry_digest(const registry_t *registry);

/* Set the limits of the services from a configuration (NULL: unchanged), and
   the number of daemons that share the upstreams. */
void registry_apply_config(registry_t *registry, const route_table_t *table,
                           uint32_t fleet_size);

#endif
