/*
 * When to answer a query over shards, and the merging of its records.
 *
 * Some shards answer late because their upstreams pause, are slow or have
 * failed. Until the goal, the query waits for all shards. After it, the query
 * is answered as soon as enough shards have answered. It fails at once when
 * too many shards have failed for that.
 *
 * While all upstreams of a shard are down, each query would wait until its
 * goal for a response that does not come, and any further delay, be it of the
 * network or of another shard, would make it late. So a query does not wait
 * for shards whose services have stopped responding (pool_is_unresponsive).
 *
 *     switch (gather_evaluate(&gather, now_us)) ...
 *     records_add(&records, body, size);
 *     records_top(&records, top);
 */
#ifndef POLICY_GATHER_H
#define POLICY_GATHER_H

#include "net/buffer.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { RECORD_BYTES = 16 };

typedef enum {
    GATHER_WAIT,
    GATHER_ANSWER,    /* answer with the records received so far */
    GATHER_IMPOSSIBLE /* too many shards have failed */
} gather_verdict_t;

typedef struct {
    uint32_t shards;
    uint32_t answered;
    uint32_t failed;
    uint32_t unresponsive; /* pending, at services that don't respond */
    double min_share;      /* of the shards that an answer needs, 0..1 */
    int64_t goal_us;       /* when to stop waiting for all shards */
} gather_t;

/* Number of shards that an answer needs; at least 1. */
uint32_t gather_min_shards(const gather_t *gather);

/* Number of shards whose responses have arrived or can be expected. */
uint32_t gather_expected_shards(const gather_t *gather);

/* Decide whether to answer now, wait or fail. */
gather_verdict_t gather_evaluate(const gather_t *gather, int64_t now_us);

/* Records of the shards' responses, in order of arrival. Zeroed: empty. */
typedef struct {
    buffer_t bytes;
} records_t;

/* Append the records of a response body; an incomplete record at its end is
   ignored. False: out of memory. */
bool records_add(records_t *records, const void *body, size_t size);

/* Sort the records, greatest first. Returns the size in bytes of the first
   top records, or of all if there are fewer. */
size_t records_top(records_t *records, uint32_t top);

#endif
