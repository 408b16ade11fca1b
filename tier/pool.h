/*
 * The upstreams of one service, and which of them takes the next request.
 *
 * Placement answers these loads: an upstream that is slow, silent, refusing,
 * failing or cold among sound ones; a zone that is being emptied; more work
 * than this daemon's share of the upstreams bears, which then waits, the more
 * urgent first and among equals the one whose time ends first.
 *
 *     pool_pick_t pick = {.zone = ..., .expected_us = ...};
 *     pick_result_t result = pool_pick(pool, &pick, now_us, &instance);
 */
#ifndef TIER_POOL_H
#define TIER_POOL_H

#include "core/budget.h"
#include "tier/instance.h"
#include "tier/wait_queue.h"

#include <stdbool.h>
#include <stdint.h>

enum { PICK_AVOID_MAX = 8 };

typedef enum {
    PICK_OK,
    PICK_FULL, /* there are some, and all have their share */
    PICK_NONE  /* there is none to wait for */
} pick_result_t;

/* Bounds that hold for every upstream of the pool, for this daemon. */
typedef struct {
    uint32_t connections; /* to one upstream; 0: no bound */
    uint32_t fleet_size;  /* daemons that share the upstreams */
    double cold_per_s;    /* to a cold upstream, from all daemons; 0: any */
} pool_limits_t;

typedef struct {
    char name[INSTANCE_NAME_SIZE];
    instance_t **instances;
    uint32_t count;
    uint32_t capacity;
    pool_limits_t limits;
    budget_t retry_budget; /* sends beyond each request's first */
    wait_queue_t queue;    /* work for which there is no room */
} pool_t;

typedef struct {
    cost_context_t cost_context;
    const instance_t *avoid[PICK_AVOID_MAX]; /* tried already */
    uint32_t avoid_count;
    bool healthy_only; /* only one that answers well: for a hedge */
    const char *const *closed_zones; /* nothing is sent there */
    uint32_t closed_count;
    uint64_t random; /* breaks ties */
} pool_pick_t;

bool pool_add(pool_t *pool, instance_t *instance);
void pool_remove(pool_t *pool, instance_t *instance);

pick_result_t pool_pick(pool_t *pool, const pool_pick_t *pick, int64_t now_us,
                        instance_t **picked);

/*
 * Requests one upstream takes from this daemon at a time: more than its part
 * of the slots while it answers in its usual time, and down to that part as
 * it slows, so that work waits here, where it is ordered and can be dropped,
 * and not in the upstream's own queue.
 */
uint32_t pool_concurrency_limit(const pool_t *pool, const instance_t *instance,
                                int64_t now_us);

/* Requests that all upstreams together take; 0: there is none to use. */
uint32_t pool_capacity(const pool_t *pool, const pool_pick_t *pick,
                       int64_t now_us);

/* Note a send to an upstream that is cold; see pool_limits_t. */
void pool_note_sent(const pool_t *pool, instance_t *instance, int64_t now_us);

void pool_release(pool_t *pool);

#endif
