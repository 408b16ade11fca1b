/*
 * This daemon's calls to the store: one connection for each followed prefix,
 * one for the lease of its record and one for writes.
 *
 * The store reports its era in each response; it rises when the store is
 * restored from a backup. Responses of an older era than the latest one are
 * dropped, and their calls repeated.
 *
 *     store_link_t *store = store_link_new(loop, &address, &ops, owner);
 *     store_link_follow(store, &settings, &reader, owner);
 *     store_link_register(store, key, record, ttl_us);
 *     store_link_tick(store, now_us);   // every 50 ms
 */
#ifndef TIER_STORE_LINK_H
#define TIER_STORE_LINK_H

#include "platform/kv.h"
#include "tier/follow.h"
#include "tier/lease.h"
#include "tier/store_health.h"

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct store_link store_link_t;

/*
 * Receives the items read under a prefix: whole lists between list_begin and
 * list_end, then changes in the order of the store's revisions. answered may
 * be NULL; it is called after the items of each successful response.
 */
typedef struct {
    void (*list_begin)(void *owner, int64_t now_us);
    void (*item)(void *owner, const kv_item_t *item, int64_t now_us);
    void (*list_end)(void *owner, int64_t now_us);
    void (*answered)(void *owner, int64_t now_us);
} prefix_reader_t;

/* Called when an outage of the store begins and ends; see store_health.h. */
typedef struct {
    void (*unreachable)(void *owner, const char *why, int64_t now_us);
    /* away_us: how long the store may have been unavailable, in microseconds;
       STORE_AWAY_UNKNOWN_US at the first answer. */
    void (*reachable)(void *owner, int64_t away_us, int64_t now_us);
    /* The store was restored from a backup: what was written to it since the
       backup is lost, keys and leases of this daemon included. All prefixes
       are listed again after the call, and the record is written again; other
       writes are up to the owner. */
    void (*restored)(void *owner, uint64_t from_era, uint64_t era,
                     int64_t now_us);
    /* A conditional write has ended: it was done at that revision, or it was
       not done, or that is unknown. May be NULL. */
    void (*wrote)(void *owner, const char *key, bool done, uint64_t revision,
                  int64_t now_us);
} store_ops_t;

typedef enum {
    STORE_CALL_LIST,
    STORE_CALL_WATCH,
    STORE_CALL_LEASE, /* grants, renewals and revocations */
    STORE_CALL_WRITE,
    STORE_CALL_KINDS
} store_call_kind_t;

typedef struct {
    uint64_t calls[STORE_CALL_KINDS];
    uint64_t failures;
    uint64_t era;   /* of the store's latest response; 0: it reports none */
    bool reachable; /* no outage; see store_health.h */
    int64_t last_answer_us; /* time of the last valid response to a read */
} store_link_stats_t;

/* ops is copied. Returns NULL when out of memory. */
store_link_t *store_link_new(struct ev_loop *loop,
                             const struct sockaddr_in *address,
                             const store_ops_t *ops, void *owner);
void store_link_free(store_link_t *store);

/* Use another address: calls in flight fail and are retried there. */
void store_link_set_address(store_link_t *store,
                            const struct sockaddr_in *address, int64_t now_us);

/*
 * Read a prefix and then follow its changes. reader must outlive the link;
 * owner is passed to its functions. Returns false if there are too many
 * prefixes.
 */
bool store_link_follow(store_link_t *store, const follow_settings_t *settings,
                       const prefix_reader_t *reader, void *owner);

/*
 * Keep a record in the store under a lease of ttl_us, which is renewed until
 * store_link_deregister. key and record are copied. Called again, the record
 * moves to a new lease.
 */
void store_link_register(store_link_t *store, const char *key,
                         const char *record, int64_t ttl_us);

/* Set how often the lease of the record is renewed per TTL. */
void store_link_set_renewals(store_link_t *store, uint32_t renewals);

/* Set the interval between two calls for the changes of a prefix. */
void store_link_set_poll_interval(store_link_t *store, const char *prefix,
                                  int64_t interval_us);

/* Whether the calls for the changes of all prefixes replace those for the
   changes of this prefix; see follow_settings_t. */
void store_link_set_covered(store_link_t *store, const char *prefix,
                            bool covered);

/* Set the delay after a failed read, for all prefixes; 0: the default. */
void store_link_set_retry_delay(store_link_t *store, int64_t retry_us);

/* The store revision up to which a prefix was read; 0: not read yet. */
uint64_t store_link_revision(const store_link_t *store, const char *prefix);

/* Make no calls for a prefix before until_us; 0: go on now. */
void store_link_pause_polling(store_link_t *store, const char *prefix,
                              int64_t until_us);

/* Retry now if the store is unreachable; a peer has reached it. */
void store_link_retry_now(store_link_t *store, int64_t now_us);

/*
 * Queue a write of a key; key and value are copied. It is retried until the
 * store takes it. leased: the key is attached to the lease of this daemon's
 * record and vanishes with it. A queued write of the same key is replaced
 * unless it is in flight. Returns false if the queue is full or when out
 * of memory.
 */
bool store_link_put(store_link_t *store, const char *key, const char *value,
                    bool leased);

/*
 * Queue a write that is done only if the key was last written at `revision`;
 * 0: if there is no such key. It is tried once; store_ops_t.wrote is called at
 * its end. Returns as store_link_put.
 */
bool store_link_put_if(store_link_t *store, const char *key, const char *value,
                       uint64_t revision);

/* Write the registered record again: it is missing in the store. */
void store_link_restore_record(store_link_t *store, int64_t now_us);

/* End the lease of the record, which removes the record. */
void store_link_deregister(store_link_t *store, int64_t now_us);

/* Whether the lease has ended or no record was registered. */
bool store_link_is_deregistered(const store_link_t *store);

/* Make the calls that are due and fail those past their deadline. */
void store_link_tick(store_link_t *store, int64_t now_us);

/* The counters, valid until store_link_free. */
const store_link_stats_t *store_link_stats(const store_link_t *store);

#endif
