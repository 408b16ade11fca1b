/*
 * This daemon's record in the store, and the lease that ends it.
 *
 * The lease is renewed three times within its life. When it has ended, or
 * the record is gone though it has not, both are made anew. A write whose
 * answer is lost is written again: it names this daemon only.
 *
 *     lease_t lease;
 *     lease_init(&lease, key, ttl_us);
 *     if (lease_next(&lease, record, size, &call, now_us)) { ... send ... }
 *     lease_answered(&lease, status, &answer, now_us);
 */
#ifndef TIER_LEASE_H
#define TIER_LEASE_H

#include "platform/kv.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { LEASE_KEY_SIZE = 128 };

typedef enum { LEASE_GRANT, LEASE_WRITE, LEASE_KEEP, LEASE_ENDING } lease_do_t;

typedef struct {
    char key[LEASE_KEY_SIZE];
    int64_t ttl_us;
    uint64_t lease; /* 0: none */
    lease_do_t next;
    lease_do_t doing; /* while busy */
    bool busy;
    bool ended; /* given up for good */
    int64_t due_us;
} lease_t;

void lease_init(lease_t *lease, const char *key, int64_t ttl_us);

/* Build the next call if it is due; it then is on its way. */
bool lease_next(lease_t *lease, const char *record, size_t size,
                kv_call_t *call, int64_t now_us);

/* The store answered, with that HTTP status. */
void lease_answered(lease_t *lease, uint32_t status,
                    const kv_response_t *answer, int64_t now_us);

/* No answer, or none that is understood. */
void lease_failed(lease_t *lease, int64_t now_us);

/* The record is not in the store: write it again. */
void lease_missing(lease_t *lease, int64_t now_us);

/* End the lease with the next call; nothing is written after it. */
void lease_leave(lease_t *lease, int64_t now_us);

#endif
