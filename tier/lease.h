/*
 * This daemon's record in the store, and the lease that it is bound to.
 *
 * The lease is renewed several times per TTL. When it has expired, a new lease
 * is granted and the record is written again; when only the record is missing,
 * it is written again. A write whose response is lost is retried, which is
 * idempotent: no other daemon writes the key.
 *
 *     lease_t lease;
 *     lease_init(&lease, key, ttl_us);
 *     if (lease_next_call(&lease, record, size, &call, now_us)) {
 *         ... send the call ...
 *     }
 *     lease_response(&lease, status, &response, now_us);
 */
#ifndef TIER_LEASE_H
#define TIER_LEASE_H

#include "platform/kv.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    LEASE_KEY_SIZE = 128,
    LEASE_RENEWALS = 3 /* per TTL, by default */
};

typedef enum {
    LEASE_GRANT,
    LEASE_WRITE, /* the record */
    LEASE_RENEW,
    LEASE_REVOKE
} lease_step_t;

typedef struct {
    char key[LEASE_KEY_SIZE];
    int64_t ttl_us;
    uint32_t renewals; /* per TTL */
    uint64_t lease_id; /* 0: none */
    lease_step_t next;
    lease_step_t pending; /* of the call in flight, while busy */
    bool busy;            /* a call is in flight */
    bool ended;           /* revoked; no call is made any more */
    int64_t retry_us;     /* after the next failed call */
    int64_t due_us;       /* earliest time of the next call */
} lease_t;

/* The lease is renewed LEASE_RENEWALS times per TTL until
   lease_set_renewals. */
void lease_init(lease_t *lease, const char *key, int64_t ttl_us);

/* Set how often the lease is renewed per TTL, at least twice. */
void lease_set_renewals(lease_t *lease, uint32_t renewals);

/* Build the next call, if one is due and none is in flight. Returns true if
   `call` was built: it then counts as in flight until lease_response or
   lease_failed, and the caller releases it. */
bool lease_next_call(lease_t *lease, const char *record, size_t size,
                     kv_call_t *call, int64_t now_us);

/* The store responded with this HTTP status; `response` is read only if it is
   200. */
void lease_response(lease_t *lease, uint32_t status,
                    const kv_response_t *response, int64_t now_us);

/* The call failed, or its response could not be parsed: retry it later, each
   time after twice the delay. */
void lease_failed(lease_t *lease, int64_t now_us);

/* The store no longer has the lease, or its id may belong to another client:
   be granted a new one at once and write the record again, unless the lease is
   being revoked. A call in flight must be aborted first. */
void lease_restart(lease_t *lease, int64_t now_us);

/* The record is missing in the store: write it again. Ignored while a call is
   in flight. */
void lease_record_missing(lease_t *lease, int64_t now_us);

/* Revoke the lease with the next call; the record is not written again. */
void lease_revoke(lease_t *lease, int64_t now_us);

#endif
