/*
 * When a query over shards is answered, and with what.
 *
 * The load it answers: some shards answer late because their upstreams pause,
 * are slow or are gone. An answer that is whole is waited for until its goal;
 * from then on what is in hand is worth more than what may come, as soon as
 * enough of the shards are in. When too many have failed for that, waiting
 * longer helps nobody.
 *
 *     switch (gather_evaluate(&gather, now_us)) ...
 *     records_add(&records, body, size);
 *     records_top(&records, top);
 */
#ifndef TIER_GATHER_H
#define TIER_GATHER_H

#include "net/buffer.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { RECORD_BYTES = 16 };

typedef enum {
    GATHER_WAIT,
    GATHER_ANSWER, /* with the parts in hand */
    GATHER_IMPOSSIBLE
} gather_verdict_t;

typedef struct {
    uint32_t shards;
    uint32_t answered;
    uint32_t failed;
    double min_share; /* of the shards an answer needs */
    int64_t goal_us;  /* when to answer with what is in hand */
} gather_t;

/* Shards that have to be in. */
uint32_t gather_min_shards(const gather_t *gather);

gather_verdict_t gather_evaluate(const gather_t *gather, int64_t now_us);

/* Records of the parts, as they come. Zeroed: empty. */
typedef struct {
    buffer_t bytes;
} records_t;

/* A part's body; what is shorter than a record is none. False: no memory. */
bool records_add(records_t *records, const void *body, size_t size);

/* Put the greatest first, as many as asked for; how many bytes they take. */
size_t records_top(records_t *records, uint32_t top);

#endif
