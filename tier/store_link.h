/*
 * This daemon's calls to the store: one connection for each thing it does.
 *
 *     store_link_t *store = store_link_new(loop, &address, &ops, owner);
 *     store_link_follow(store, &settings, &reader, owner);
 *     store_link_register(store, key, record, ttl_us);
 *     store_link_tick(store, now_us);   // often
 */
#ifndef TIER_STORE_LINK_H
#define TIER_STORE_LINK_H

#include "platform/kv.h"
#include "tier/follow.h"
#include "tier/lease.h"

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct store_link store_link_t;

/* What is read under a prefix, in the order of the store's revisions. */
typedef struct {
    void (*list_begin)(void *owner, int64_t now_us);
    void (*item)(void *owner, const kv_item_t *item, int64_t now_us);
    void (*list_end)(void *owner, int64_t now_us);
    void (*answered)(void *owner,
                     int64_t now_us); /* after each; may be NULL */
} store_reader_t;

typedef struct {
    void (*unreachable)(void *owner, const char *why, int64_t now_us);
    void (*reachable)(void *owner, int64_t now_us);
} store_ops_t;

typedef struct {
    uint64_t calls;
    uint64_t failures;
    bool reachable;
    int64_t last_answer_us; /* last good answer */
} store_link_stats_t;

/* NULL: no memory. */
store_link_t *store_link_new(struct ev_loop *loop,
                             const struct sockaddr_in *address,
                             const store_ops_t *ops, void *owner);
void store_link_free(store_link_t *store);

/* The store has moved. */
void store_link_set_address(store_link_t *store,
                            const struct sockaddr_in *address, int64_t now_us);

/* False: too many. */
bool store_link_follow(store_link_t *store, const follow_settings_t *settings,
                       const store_reader_t *reader, void *owner);

/* Keep a record in the store as long as this daemon lives. */
void store_link_register(store_link_t *store, const char *key,
                         const char *record, int64_t ttl_us);

/* How long to wait between two calls for the changes of a prefix. */
void store_link_set_poll_interval(store_link_t *store, const char *prefix,
                                  int64_t pause_us);

/* How long to wait after a call that failed. */
void store_link_set_retry_delay(store_link_t *store, int64_t retry_us);

/* Up to which revision a prefix is known; 0: it was not read yet. */
uint64_t store_link_revision(const store_link_t *store, const char *prefix);

/* Ask for no changes of a prefix before then. */
void store_link_pause_polling(store_link_t *store, const char *prefix,
                              int64_t until_us);

/* Somebody else reaches the store: if this daemon does not, ask at once. */
void store_link_retry_now(store_link_t *store, int64_t now_us);

/*
 * Write a key once; leased: it goes with this daemon's record. What is still
 * to be written under the same key is replaced. False: too much waits.
 */
bool store_link_put(store_link_t *store, const char *key, const char *value,
                    bool leased);

/* The record held is missing in the store. */
void store_link_restore_record(store_link_t *store, int64_t now_us);

/* Take the record back. */
void store_link_deregister(store_link_t *store, int64_t now_us);

/* Whether nothing is left to take back. */
bool store_link_is_deregistered(const store_link_t *store);

/* Make the calls that are due, give up those that take too long. */
void store_link_tick(store_link_t *store, int64_t now_us);

const store_link_stats_t *store_link_stats(const store_link_t *store);

#endif
