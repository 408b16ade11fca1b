#include "policy/pool.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    /* The largest concurrency limit is the daemon's part of
       LIMIT_SLOTS_FACTOR times the upstream's slots, plus LIMIT_EXTRA. */
    LIMIT_EXTRA = 2,
    LIMIT_SLOTS_FACTOR = 2,
    CONNECTION_PERCENT = 90, /* part used of an upstream's connection limit */
    /* Requests without a response that it takes to call a service
       unresponsive: single responses are lost in transit. */
    UNRESPONSIVE_SENDS_MIN = 3,
    /* After this time without a request, the last ones show nothing. */
    UNRESPONSIVE_IDLE_US = 1000000,
    /* Longest wait that is computed from a rate limit, which may be any
       positive number; no request waits for that long. */
    RATE_WAIT_MAX_US = 600000000
};

/* The concurrency limit falls linearly from its largest to its smallest value
   between these two; see instance_slowness. With 2.5 and 5 overloaded
   upstreams keep too many requests: t1037 with 24 upstreams gone served 4,382
   calls in time where it is 4,981. */
#define SLOWNESS_AT_MAX_LIMIT 1.5
#define SLOWNESS_AT_MIN_LIMIT 3.0
/* An upstream of a higher cost than this gets no hedge; the second bound is
   for other zones. Hedges are sent when the own zone is short, so that a high
   bound sends the work to busy upstreams twice: with 5, fewer callers were
   answered in time in the replays of t1034. */
#define HEALTHY_COST_MAX 10.0
#define HEALTHY_COST_MAX_AWAY 3.0

bool
pool_add(pool_t *pool, instance_t *instance)
{
    if (pool->count == pool->capacity) {
        uint32_t capacity = pool->capacity == 0 ? 4 : pool->capacity * 2;
        instance_t **grown =
            realloc(pool->instances, capacity * sizeof(*pool->instances));
        if (grown == NULL) {
            return false;
        }
        pool->instances = grown;
        pool_candidate_t *candidates =
            realloc(pool->candidates, capacity * sizeof(*candidates));
        if (candidates == NULL) {
            return false;
        }
        pool->candidates = candidates;
        pool->capacity = capacity;
    }
    instance->pool_index = pool->count;
    pool->instances[pool->count++] = instance;
    return true;
}

void
pool_remove(pool_t *pool, instance_t *instance)
{
    uint32_t slot = instance->pool_index;
    if (slot >= pool->count || pool->instances[slot] != instance) {
        return;
    }
    pool->instances[slot] = pool->instances[--pool->count];
    pool->instances[slot]->pool_index = slot;
}

uint32_t
pool_concurrency_limit(const pool_t *pool, const instance_t *instance,
                       int64_t now_us)
{
    uint32_t fleet_size =
        pool->limits.fleet_size > 0 ? pool->limits.fleet_size : 1;
    uint32_t min_limit = (instance->entry.slots + fleet_size - 1) / fleet_size;
    uint32_t max_limit =
        LIMIT_EXTRA +
        (LIMIT_SLOTS_FACTOR * instance->entry.slots + fleet_size - 1) /
            fleet_size;
    double slowness = instance_slowness(instance, now_us);
    double headroom = (SLOWNESS_AT_MIN_LIMIT - slowness) /
                      (SLOWNESS_AT_MIN_LIMIT - SLOWNESS_AT_MAX_LIMIT);
    headroom = headroom < 0 ? 0 : headroom > 1 ? 1 : headroom;
    uint32_t limit =
        min_limit + (uint32_t)(headroom * (max_limit - min_limit) + 0.5);
    if (pool->limits.connections > 0) {
        uint32_t max_connections =
            pool->limits.connections * CONNECTION_PERCENT / 100 / fleet_size;
        if (max_connections == 0) {
            max_connections = 1;
        }
        if (limit > max_connections) {
            limit = max_connections;
        }
    }
    return limit;
}

/* Whether the rate limit of a cold upstream allows one more request now. */
static bool
cold_rate_allows(const pool_t *pool, const instance_t *instance,
                 int64_t now_us)
{
    return pool->limits.cold_per_s <= 0 || now_us >= instance->cold_until_us ||
           now_us >= instance->cold_next_us;
}

void
pool_note_sent(pool_t *pool, instance_t *instance, bool again, int64_t now_us)
{
    rate_limit_take(&instance->rate_limit, again, now_us);
    if (now_us - pool->sent_us > UNRESPONSIVE_IDLE_US) {
        pool->unanswered = 0;
    }
    if (pool->unanswered++ == 0) {
        pool->unanswered_since_us = now_us;
    }
    pool->sent_us = now_us;
    if (pool->limits.cold_per_s <= 0 || now_us >= instance->cold_until_us) {
        return;
    }
    double daemon_rate =
        pool->limits.cold_per_s /
        (pool->limits.fleet_size > 0 ? pool->limits.fleet_size : 1);
    instance->cold_next_us = now_us + (int64_t)(1e6 / daemon_rate);
}

void
pool_note_full(pool_t *pool, int64_t now_us)
{
    if (now_us - pool->full_us > POOL_SHORT_BREAK_US) {
        pool->full_since_us = now_us;
    }
    pool->full_us = now_us;
}

bool
pool_is_short(const pool_t *pool, int64_t now_us)
{
    return now_us - pool->full_us <= POOL_SHORT_BREAK_US &&
           now_us - pool->full_since_us >= POOL_SHORT_US;
}

void
pool_note_response(pool_t *pool)
{
    pool->unanswered = 0;
}

int64_t
pool_silence_bound_us(int64_t expected_us)
{
    return POOL_UNRESPONSIVE_FACTOR * expected_us > POOL_UNRESPONSIVE_US
               ? POOL_UNRESPONSIVE_FACTOR * expected_us
               : POOL_UNRESPONSIVE_US;
}

bool
pool_is_unresponsive(const pool_t *pool, int64_t expected_us, int64_t now_us)
{
    int64_t bound_us = pool_silence_bound_us(expected_us);
    return pool->unanswered >= UNRESPONSIVE_SENDS_MIN &&
           now_us - pool->sent_us <= UNRESPONSIVE_IDLE_US &&
           now_us - pool->unanswered_since_us >= bound_us;
}

static bool
pick_excludes(const pool_pick_t *pick, const instance_t *instance)
{
    for (uint32_t i = 0; i < pick->avoid_count; i++) {
        if (pick->avoid[i] == instance) {
            return true;
        }
    }
    for (uint32_t i = 0; i < pick->closed_count; i++) {
        if (strcmp(pick->closed_zones[i], instance->entry.zone) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether the rollouts of the service allow the upstream's version. */
static bool
pick_allows_version(const pool_pick_t *pick, const instance_t *instance,
                    int64_t now_us)
{
    const instance_entry_t *entry = &instance->entry;
    return pick->rollout == NULL ||
           rollout_allows(pick->rollout, pick->to_new, entry->version,
                          XXH64(entry->id, strlen(entry->id), 0), now_us);
}

/* Whether the upstream may get the request, now or after a wait. */
static bool
pick_allows(const pool_pick_t *pick, const instance_t *instance,
            int64_t now_us)
{
    return instance_is_usable(instance, now_us) &&
           !pick_excludes(pick, instance) &&
           pick_allows_version(pick, instance, now_us) &&
           rate_limit_is_shared(&instance->rate_limit, now_us) &&
           (now_us >= instance->rest_until_us ||
            instance->rest_until_us <= pick->wait_until_us);
}

/*
 * What the rate limits of the upstreams allow, over those that pick allows. If
 * one of them has no limit, the limits of the others hold nothing up.
 */
typedef struct {
    bool bound;         /* all upstreams have a limit, and there is one */
    double tokens;      /* of this daemon, now */
    double share_per_s; /* of this daemon */
} pool_rate_t;

static pool_rate_t
pool_rate(const pool_t *pool, const pool_pick_t *pick, int64_t now_us)
{
    pool_rate_t rate = {0};
    for (uint32_t i = 0; i < pool->count; i++) {
        const instance_t *instance = pool->instances[i];
        const rate_limit_t *limit = &instance->rate_limit;
        if (!pick_allows(pick, instance, now_us)) {
            continue;
        }
        if (!limit->stated || rate_limit_is_turn(limit, now_us)) {
            return (pool_rate_t){0};
        }
        rate.bound = true;
        rate.tokens += rate_limit_tokens(limit, now_us);
        rate.share_per_s += limit->share_per_s;
    }
    return rate;
}

/* When the limits allow one more request, after those that go first. */
static int64_t
pool_rate_ready_us(const pool_rate_t *rate, const pool_pick_t *pick,
                   int64_t now_us)
{
    double missing = pick->queued_ahead + 1 - rate->tokens;
    if (missing <= 0) {
        return now_us;
    }
    double wait_us = missing / rate->share_per_s * 1e6;
    return now_us +
           (wait_us < RATE_WAIT_MAX_US ? (int64_t)wait_us : RATE_WAIT_MAX_US);
}

/* Whether the limits allow one more request too late for pick. */
static bool
pool_rate_is_late(const pool_rate_t *rate, const pool_pick_t *pick,
                  int64_t now_us)
{
    int64_t ready_us =
        rate->bound ? pool_rate_ready_us(rate, pick, now_us) : now_us;
    return ready_us > now_us &&
           ready_us + POOL_DISPATCH_US > pick->wait_until_us;
}

int64_t
pool_rest_end_us(const pool_t *pool, const pool_pick_t *pick, int64_t now_us)
{
    int64_t end_us = 0;
    for (uint32_t i = 0; i < pool->count; i++) {
        const instance_t *instance = pool->instances[i];
        if (!instance_is_usable(instance, now_us) ||
            pick_excludes(pick, instance) ||
            !pick_allows_version(pick, instance, now_us)) {
            continue;
        }
        if (now_us >= instance->rest_until_us) {
            pool_rate_t rate = pool_rate(pool, pick, now_us);
            return rate.bound && rate.tokens < 1
                       ? pool_rate_ready_us(&rate, pick, now_us)
                       : 0;
        }
        if (end_us == 0 || instance->rest_until_us < end_us) {
            end_us = instance->rest_until_us;
        }
    }
    return end_us;
}

uint32_t
pool_capacity(const pool_t *pool, const pool_pick_t *pick, int64_t now_us)
{
    uint32_t capacity = 0;
    pool_rate_t rate = pool_rate(pool, pick, now_us);
    if (pool_rate_is_late(&rate, pick, now_us)) {
        return 0;
    }
    for (uint32_t i = 0; i < pool->count; i++) {
        const instance_t *instance = pool->instances[i];
        if (pick_allows(pick, instance, now_us)) {
            capacity += pool_concurrency_limit(pool, instance, now_us);
        }
    }
    return capacity;
}

/* Whether an upstream that the pick allows can take a request now. */
typedef enum {
    UPSTREAM_FREE,
    UPSTREAM_FULL, /* this daemon has too many requests in flight there */
    UPSTREAM_HELD  /* rests, has reached a rate limit, or is too costly */
} upstream_state_t;

static upstream_state_t
pool_upstream_state(const pool_t *pool, const pool_pick_t *pick,
                    const instance_t *instance, bool is_own, double cost,
                    int64_t now_us)
{
    double healthy_max = is_own ? HEALTHY_COST_MAX : HEALTHY_COST_MAX_AWAY;
    if (now_us < instance->rest_until_us ||
        !rate_limit_allows(&instance->rate_limit, now_us) ||
        !cold_rate_allows(pool, instance, now_us)) {
        return UPSTREAM_HELD;
    }
    if (instance->in_flight >=
        pool_concurrency_limit(pool, instance, now_us)) {
        return UPSTREAM_FULL;
    }
    return pick->healthy_only &&
                   cost - instance_refusal_cost(instance, now_us) > healthy_max
               ? UPSTREAM_HELD
               : UPSTREAM_FREE;
}

/* What a pick found in the daemon's zone, or elsewhere. */
typedef struct {
    bool listed;  /* an upstream may be used, if not for this pick */
    bool allowed; /* an upstream is allowed, if not now */
    bool full;    /* one is allowed and full */
    uint32_t candidates;
    double bound;     /* on the cost of the best candidate */
    instance_t *free; /* the chosen one; NULL: none */
} pool_side_t;

/* The candidate is stored at *candidate, if the upstream is one. */
static bool
pool_side_add(pool_side_t *side, bool is_own, const pool_t *pool,
              const pool_pick_t *pick, instance_t *instance,
              pool_candidate_t *candidate, int64_t now_us)
{
    side->listed |= instance_is_usable(instance, now_us);
    if (!pick_allows(pick, instance, now_us)) {
        return false;
    }
    side->allowed = true;
    request_cost_t cost = instance_cost(instance, &pick->cost_context, now_us);
    switch (pool_upstream_state(pool, pick, instance, is_own, cost.expected,
                                now_us)) {
    case UPSTREAM_HELD:
        return false;
    case UPSTREAM_FULL:
        side->full = true;
        return false;
    case UPSTREAM_FREE:
        break;
    }
    if (side->candidates++ == 0 || cost.most < side->bound) {
        side->bound = cost.most;
    }
    *candidate = (pool_candidate_t){
        .instance = instance,
        .least = cost.least,
        .is_own = is_own,
    };
    return true;
}

/* Draw one of the side's candidates that may be the best. */
static void
pool_side_choose(pool_side_t *side, bool is_own,
                 const pool_candidate_t *candidates, uint32_t count,
                 uint64_t random)
{
    uint32_t alike = 0;
    for (uint32_t i = 0; i < count; i++) {
        alike += candidates[i].is_own == is_own &&
                         candidates[i].least <= side->bound
                     ? 1
                     : 0;
    }
    uint32_t skipped = alike > 0 ? (uint32_t)((random >> 8) % alike) : 0;
    for (uint32_t i = 0; i < count && side->free == NULL; i++) {
        if (candidates[i].is_own == is_own &&
            candidates[i].least <= side->bound && skipped-- == 0) {
            side->free = candidates[i].instance;
        }
    }
}

/* Why a request leaves a zone that has nothing free for it. */
static leave_reason_t
pool_leave_reason(const pool_side_t *own)
{
    return own->allowed  ? LEAVE_CAPACITY
           : own->listed ? LEAVE_FAILURE
                         : LEAVE_NO_UPSTREAM;
}

/* Whether a request leaves the zone, given that it can be sent elsewhere. */
static leave_reason_t
pool_leaves(pool_t *pool, const pool_pick_t *pick, const pool_side_t *own,
            const pool_side_t *away, int64_t now_us)
{
    const cost_context_t *context = &pick->cost_context;
    if (own->free == NULL) {
        bool waits = own->full && context->price_us >= ZONE_PRICE_NEVER;
        return waits ? LEAVE_NOT : pool_leave_reason(own);
    }
    zone_question_t question = {
        .own = instance_completion(own->free, context, now_us),
        .away = instance_completion(away->free, context, now_us),
        .price_us = context->price_us,
        .typical_us = context->expected_us,
        .random = pick->random,
    };
    return zone_choice_decide(&pool->zone_choice, &question, now_us);
}

pool_outlook_t
pool_outlook(const pool_t *pool, const pool_pick_t *pick, uint32_t ahead,
             int64_t now_us)
{
    pool_outlook_t outlook = {.wait_us = POOL_NEVER_US,
                              .service_us = POOL_NEVER_US};
    int64_t expected_us = pick->cost_context.expected_us;
    double per_us = 0; /* responses, with all slots in use */
    bool is_free = false;
    for (uint32_t i = 0; i < pool->count; i++) {
        const instance_t *instance = pool->instances[i];
        if (!pick_allows(pick, instance, now_us)) {
            continue;
        }
        uint32_t limit = pool_concurrency_limit(pool, instance, now_us);
        bool has_slot = instance->in_flight < limit;
        if (instance_is_silent(instance, expected_us, now_us) ||
            now_us < instance->backoff_until_us) {
            outlook.wait_us = has_slot ? 0 : outlook.wait_us;
            continue;
        }
        double service_us =
            instance_slowness(instance, now_us) * (double)expected_us;
        is_free |= has_slot;
        per_us += limit / service_us;
        if ((int64_t)service_us < outlook.service_us) {
            outlook.service_us = (int64_t)service_us;
        }
    }
    if (per_us > 0) {
        outlook.wait_us =
            is_free && ahead == 0 ? 0 : (int64_t)((ahead + 1) / per_us);
    }
    return outlook;
}

pick_result_t
pool_pick(pool_t *pool, const pool_pick_t *pick, int64_t now_us,
          instance_t **picked)
{
    pool_side_t own = {0};
    pool_side_t away = {0};
    uint32_t count = 0;
    for (uint32_t i = 0; i < pool->count; i++) {
        instance_t *instance = pool->instances[i];
        bool is_own =
            strcmp(instance->entry.zone, pick->cost_context.zone) == 0;
        if (pool_side_add(is_own ? &own : &away, is_own, pool, pick, instance,
                          &pool->candidates[count], now_us)) {
            count++;
        }
    }
    pool_side_choose(&own, true, pool->candidates, count, pick->random);
    pool_side_choose(&away, false, pool->candidates, count, pick->random);
    pool->leave_reason = LEAVE_NOT;
    if (away.free != NULL) {
        pool->leave_reason = pool_leaves(pool, pick, &own, &away, now_us);
    }
    *picked = pool->leave_reason != LEAVE_NOT ? away.free : own.free;
    if (*picked != NULL) {
        return PICK_OK;
    }
    if (away.free != NULL) {
        return PICK_FULL; /* waits for the zone that it never leaves */
    }
    if (!own.allowed && !away.allowed) {
        return PICK_NONE;
    }
    pool_rate_t rate = pool_rate(pool, pick, now_us);
    pool->rate_bound = rate.bound;
    return pool_rate_is_late(&rate, pick, now_us) ? PICK_NONE : PICK_FULL;
}

void
pool_release(pool_t *pool)
{
    free(pool->instances);
    free(pool->candidates);
    rollout_free(pool->rollout);
    wait_queue_release(&pool->queue);
}
