/*
 * A stand-in for the platform's store on the test's event loop: keys with
 * revisions, ranges, watches that stay open, leases, restoration from a
 * backup.
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

/* What becomes of a single call. */
typedef enum {
    TIER_STORE_CALL_OK,
    TIER_STORE_CALL_CUT,     /* the connection is closed */
    TIER_STORE_CALL_LOST,    /* there is no response */
    TIER_STORE_CALL_BUSY,    /* 503 */
    TIER_STORE_CALL_LIMITED, /* 429 */
    TIER_STORE_CALL_GARBLED  /* a response that cannot be read */
} tier_store_call_t;

typedef enum {
    TIER_STORE_NORMAL,
    TIER_STORE_UNAVAILABLE, /* 503 to all calls, and to open watches */
    TIER_STORE_SILENT,      /* takes calls and never answers */
    TIER_STORE_COMPACTED,   /* 410 to each watch: no history */
    TIER_STORE_WATCHES_LOST /* open watches are never answered */
} tier_store_mode_t;

tier_store_t *tier_store_new(struct ev_loop *loop,
                             const struct sockaddr_in *address);
void tier_store_free(tier_store_t *store);

void tier_store_set_mode(tier_store_t *store, tier_store_mode_t mode);

/* What becomes of the next call for the changes of all prefixes. */
void tier_store_fail_next_poll(tier_store_t *store, tier_store_call_t call);

/* Whether that call is still to come. */
bool tier_store_poll_is_to_fail(const tier_store_t *store);

/* Cut the watches that wait. Returns how many there were. */
uint32_t tier_store_cut_watches(tier_store_t *store);

/* Write or remove a key without a lease, as another client of the store. */
void tier_store_put(tier_store_t *store, const char *key, const char *value);
void tier_store_remove(tier_store_t *store, const char *key);

/* Answer lists with at most that many items, in the order of their keys; 0:
   all at once, the default. */
void tier_store_set_page_size(tier_store_t *store, uint32_t items);

/* Make the backup that tier_store_restore goes back to; it replaces an older
   one. */
void tier_store_back_up(tier_store_t *store);

/* Go back to the backup: later writes and leases are lost, and revisions and
   lease ids are given out again. The era rises by one. */
void tier_store_restore(tier_store_t *store);

/* Grant a lease to another client; returns its id. */
uint64_t tier_store_grant_lease(tier_store_t *store, int64_t ttl_ms);

/* The text of the era's header in all responses from now on, instead of the
   store's era; it must stay valid. NULL: the era; "": no header. */
void tier_store_set_era_text(tier_store_t *store, const char *text);

/* The value of a key, valid until it changes; NULL: there is none. */
const char *tier_store_get(const tier_store_t *store, const char *key);

/* The TTL of the lease that a key hangs on, in milliseconds; 0: none. */
int64_t tier_store_lease_ttl_ms(const tier_store_t *store, const char *key);

/* How many calls of any kind the store received. */
uint32_t tier_store_calls(const tier_store_t *store);

/* How often exactly that prefix was listed, and watched for changes. */
uint32_t tier_store_list_calls(tier_store_t *store, const char *prefix);
uint32_t tier_store_watch_calls(tier_store_t *store, const char *prefix);

#endif
