/*
 * The upstreams of one service, and the choice among them for each request.
 *
 * The choice takes into account upstreams that are slow, silent, refusing,
 * resting, failing or cold, zones that are being evacuated, and the number of
 * requests this daemon may have in flight at each upstream. Work beyond that
 * waits in the pool's queue, which engine_subrequest.c orders.
 *
 *     pool_pick_t pick = {.cost_context = {.zone = ..., .expected_us = ...}};
 *     pick_result_t result = pool_pick(pool, &pick, now_us, &instance);
 */
#ifndef POLICY_POOL_H
#define POLICY_POOL_H

#include "core/budget.h"
#include "policy/instance.h"
#include "policy/rollout.h"
#include "policy/wait_queue.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    PICK_AVOID_MAX = 8,
    /* Interval at which queued requests are dispatched, besides at each
       response; see node.c and pool_dispatch_queued. */
    POOL_DISPATCH_US = 50000,
    /* Longer than an upstream's pause (250 ms in the users' deployments): even
       a service with a single upstream is waited for during its pauses. */
    POOL_UNRESPONSIVE_US = 300000,
    /* A service is short of capacity after this time, if no request has found
       a free upstream for POOL_SHORT_BREAK_US meanwhile. */
    POOL_SHORT_US = 300000,
    POOL_SHORT_BREAK_US = 200000,
    /* The same in multiples of the typical response time, for long work. */
    POOL_UNRESPONSIVE_FACTOR = 4
};

typedef enum {
    PICK_OK,
    PICK_FULL, /* usable upstreams exist, but none can take a request now */
    PICK_NONE  /* no usable upstream exists, or all rest for too long, or their
                  rate limits allow no request in time */
} pick_result_t;

/* Limits that apply to each upstream of the pool. */
typedef struct {
    uint32_t connections; /* from the whole fleet; 0: no limit */
    uint32_t fleet_size;  /* daemons that share the upstreams */
    double cold_per_s;    /* requests per second from the whole fleet while
                             an upstream is cold; 0: no limit */
} pool_limits_t;

/* An upstream that can take a request now; private. */
typedef struct {
    instance_t *instance;
    double least; /* of its cost */
    bool is_own;  /* it is in the daemon's zone */
} pool_candidate_t;

typedef struct {
    char name[INSTANCE_NAME_SIZE];
    instance_t **instances;
    pool_candidate_t *candidates; /* of one pool_pick; as many as instances */
    uint32_t count;
    uint32_t capacity;
    pool_limits_t limits;
    budget_t retry_budget;       /* for retries and hedges */
    uint32_t unanswered;         /* requests sent since the last response */
    int64_t unanswered_since_us; /* the first of them was sent */
    int64_t sent_us;             /* the last request was sent */
    wait_queue_t queue;          /* subrequests that wait for capacity */
    zone_choice_t zone_choice;
    leave_reason_t leave_reason; /* of the last choice by pool_pick */
    int64_t zone_logged_us;      /* last log line about zone_choice */
    int64_t full_us;             /* a request last found no free upstream */
    int64_t full_since_us;       /* the first one that did, without a break */
    rollout_t *rollout; /* of the service's versions; NULL: none is known */
    bool rate_bound;    /* the last request that found no capacity found a rate
                        limit at each upstream that it could use */
} pool_t;

typedef struct {
    cost_context_t cost_context;
    const instance_t *avoid[PICK_AVOID_MAX]; /* tried already */
    uint32_t avoid_count;
    bool healthy_only; /* only a low-cost upstream, for a hedge */
    const char *const *closed_zones; /* zones that get no requests */
    uint32_t closed_count;
    const rollout_t *rollout; /* decides by the upstreams' versions; NULL: all
                                 versions are allowed */
    bool to_new;              /* see rollout_allows */
    int64_t wait_until_us; /* the request waits for resting upstreams, or for
                              their rate limits, only until then */
    uint32_t queued_ahead; /* queued subrequests that go first; used if the
                              pool is rate_bound */
    uint64_t random;       /* chooses among upstreams of like cost */
} pool_pick_t;

/* Add an instance, which stays the caller's; false: out of memory. */
bool pool_add(pool_t *pool, instance_t *instance);

/* Remove an instance, if the pool has it. */
void pool_remove(pool_t *pool, instance_t *instance);

/*
 * Choose an upstream for one more request, in the daemon's zone or elsewhere
 * by zone_choice_decide. On either side it is drawn from those whose cost may
 * be the least, by the responses seen so far: the load is low, upstreams are
 * alike, and the one that happened to be fast first must not get all requests
 * (t1043). *picked is NULL unless the result is PICK_OK. PICK_FULL may mean
 * that waiting for the own zone costs less than leaving it.
 */
pick_result_t pool_pick(pool_t *pool, const pool_pick_t *pick, int64_t now_us,
                        instance_t **picked);

/*
 * Requests that this daemon may have in flight at one upstream. While the
 * upstream responds in its usual time, this is more than the daemon's part of
 * the upstream's slots. It falls to that part as the upstream slows down, so
 * that work waits in the pool's queue, where it is ordered and can be dropped,
 * and not in the upstream's own queue.
 */
uint32_t pool_concurrency_limit(const pool_t *pool, const instance_t *instance,
                                int64_t now_us);

/* Sum of the concurrency limits of the usable upstreams that pick does not
   exclude; 0: there are none. */
uint32_t pool_capacity(const pool_t *pool, const pool_pick_t *pick,
                       int64_t now_us);

/* When the first of the upstreams that pick does not exclude ends its rest, or
   their rate limits allow one more request. Returns 0 if one of them accepts
   requests now, or if there are none. */
int64_t pool_rest_end_us(const pool_t *pool, const pool_pick_t *pick,
                         int64_t now_us);

/* What is expected of one more request. */
typedef struct {
    int64_t wait_us;    /* until an upstream can take it; 0: now */
    int64_t service_us; /* from then on until the response */
} pool_outlook_t;

/* Stands for never; two of them can be added. */
#define POOL_NEVER_US ((int64_t)1 << 50)

/*
 * Estimate when one more request would be answered, after `ahead` that wait
 * already. Upstreams that are silent or to which no connection opens don't
 * count; if there are no others, the wait is 0 while one of them can take a
 * request, so that its return is noticed.
 */
pool_outlook_t pool_outlook(const pool_t *pool, const pool_pick_t *pick,
                            uint32_t ahead, int64_t now_us);

/* A request has found no free upstream. */
void pool_note_full(pool_t *pool, int64_t now_us);

/* Whether requests have found no free upstream for POOL_SHORT_US: the
   upstreams are not just pausing. */
bool pool_is_short(const pool_t *pool, int64_t now_us);

/* Account for a send, to limit the rate of an upstream that is cold (see
   pool_limits_t) or has stated a limit, and for pool_is_unresponsive. again:
   it is a retry or a hedge. */
void pool_note_sent(pool_t *pool, instance_t *instance, bool again,
                    int64_t now_us);

/* One of the upstreams has responded, if only with a refusal. */
void pool_note_response(pool_t *pool);

/* How long a service may be silent, given its typical response time, before it
   counts as unresponsive. */
int64_t pool_silence_bound_us(int64_t expected_us);

/*
 * Whether the service has stopped responding: several requests were sent, the
 * first of them POOL_UNRESPONSIVE_US ago, or POOL_UNRESPONSIVE_FACTOR times
 * the typical response time if that is longer, and no upstream has responded
 * since. Requests are still sent, so that its return is noticed, but a query
 * over shards does not wait for their responses.
 */
bool pool_is_unresponsive(const pool_t *pool, int64_t expected_us,
                          int64_t now_us);

/* Free the pool's memory, but not the instances. */
void pool_release(pool_t *pool);

#endif
