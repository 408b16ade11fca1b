/*
 * A stand-in of the platform's store on the caller's event loop: keys with
 * revisions, ranges, watches that wait, leases.
 *
 *     tier_store_t *store = tier_store_new(loop, &address);
 *     tier_store_put(store, "op/config", text);
 *     tier_store_set_mode(store, TIER_STORE_UNAVAILABLE);
 *     tier_store_free(store);
 */
#ifndef T_LIB_TIER_STORE_H
#define T_LIB_TIER_STORE_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct tier_store tier_store_t;

typedef enum {
    TIER_STORE_NORMAL,
    TIER_STORE_UNAVAILABLE, /* 503 to everything, waiting watches too */
    TIER_STORE_SILENT,      /* takes calls and says nothing */
    TIER_STORE_COMPACTED,   /* 410 to watches, once each */
    TIER_STORE_LOSING_WATCH_ANSWERS /* answers of calls that wait for changes
                                       are lost */
} tier_store_mode_t;

tier_store_t *tier_store_new(struct ev_loop *loop,
                             const struct sockaddr_in *address);
void tier_store_free(tier_store_t *store);

void tier_store_set_mode(tier_store_t *store, tier_store_mode_t mode);

/* Write or remove a key as the operator or an upstream does. */
void tier_store_put(tier_store_t *store, const char *key, const char *value);
void tier_store_remove(tier_store_t *store, const char *key);

/* The value of a key; NULL: there is none. */
const char *tier_store_get(const tier_store_t *store, const char *key);

uint32_t tier_store_calls(const tier_store_t *store);

/* How often exactly that prefix was read: whole, and for its changes. */
uint32_t tier_store_list_calls(tier_store_t *store, const char *prefix);
uint32_t tier_store_watch_calls(tier_store_t *store, const char *prefix);

#endif
