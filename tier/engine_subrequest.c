/* Subrequests: the part of a request that goes to one service, with its
   sends, retries and hedges. */
#include "edge/event.h"
#include "tier/engine_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Above any goal_us, so that the time in a rank is positive and does not reach
   the bits above it. */
#define RANK_TIME_MAX ((int64_t)1 << 49)
/* Weight of the newest sample in the moving mean of response sizes. */
#define SIZE_WEIGHT 0.05

enum {
    /* How long an abandoned attempt may still finish, so that its connection
       can be reused. Longer than an upstream's pause, and less than the half
       second after which work counts as left running. */
    ABANDON_GRACE_US = 350000,
    /* Delay before a hedge that was due but not possible is tried again. */
    HEDGE_RECHECK_US = 10000,
    /* No hedges at a service for this time after work was queued there. */
    HEDGE_QUEUE_US = 500000,
    /* Percent of the retry budget that this daemon uses. The rest allows for
       windows that start at different times, and for daemons whose views of
       the fleet differ. */
    RETRY_RATIO_PERCENT = 85,
    RETRY_SLACK_PERCENT = 75,
    /* Delay before a retry that the budget or the upstreams don't allow yet is
       tried again. */
    RETRY_DELAY_US = 20000,
    /* Time estimated for a response, in percent of the typical time. */
    ESTIMATE_PERCENT = 150,
    /* Attempts without a connection that a subrequest may make. */
    UNREACHABLE_MAX = 6,
    /* Work that cannot meet its goal is admitted if it waits and runs for no
       more than this many times the estimate of a response: a service that is
       slow, but has capacity, is used. */
    QUEUE_ESTIMATES = 2,
};

/* Kinds of retries and hedges, by the part of the retry budget that they may
   use. */
typedef enum {
    RETRY_LATE,     /* the answer can no longer meet the goal */
    RETRY_HEDGE,    /* a hedge: the first send has not failed */
    RETRY_OPTIONAL, /* the request succeeds without this shard */
    RETRY_REQUIRED, /* the request fails without this shard */
    RETRY_KINDS
} retry_kind_t;

/* Percent of the retry budget that each kind may use. Retries for answers that
   are late already use what the others leave. Retries that save a
   whole request take precedence over those that save one shard of an answer,
   and these over hedges, without which an answer might only be late. */
static const uint32_t retry_budget_percents[RETRY_KINDS] = {
    [RETRY_LATE] = 50,
    [RETRY_HEDGE] = 80,
    [RETRY_OPTIONAL] = 90,
    [RETRY_REQUIRED] = 100,
};

/* Whether the request fails if this subrequest fails. */
static bool
subrequest_is_required(const subrequest_t *subrequest)
{
    const request_t *request = subrequest->request;
    return request->route->kind != ROUTE_SHARDS ||
           gather_expected_shards(&request->gather) <=
               gather_min_shards(&request->gather);
}

int64_t
subrequest_estimate_us(const subrequest_t *subrequest)
{
    const request_t *request = subrequest->request;
    return hedge_expected_us(&request->route_state->profile,
                             request->route->goal_us) *
           ESTIMATE_PERCENT / 100;
}

bool
subrequest_is_unresponsive(const subrequest_t *subrequest, int64_t now_us)
{
    const request_t *request = subrequest->request;
    return pool_is_unresponsive(
        subrequest->pool,
        hedge_expected_us(&request->route_state->profile,
                          request->route->goal_us),
        now_us);
}

/*
 * Whether the answer can do without this queued subrequest. Of a request's
 * queued subrequests, as many are optional as the answer may leave out: those
 * with the longest queues at their services.
 */
static bool
subrequest_is_optional(const subrequest_t *subrequest, int64_t now_us)
{
    const request_t *request = subrequest->request;
    if (request->route->kind != ROUTE_SHARDS) {
        return false;
    }
    const gather_t *gather = &request->gather;
    if (subrequest_is_unresponsive(subrequest, now_us)) {
        return true;
    }
    uint32_t remaining = gather_expected_shards(gather);
    uint32_t min_shards = gather_min_shards(gather);
    uint32_t queued_longer = 0;
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        const subrequest_t *other = &request->subrequests[i];
        if (other->state == SUBREQUEST_QUEUED &&
            !subrequest_is_unresponsive(other, now_us) &&
            (other->pool->queue.count > subrequest->pool->queue.count ||
             (other->pool->queue.count == subrequest->pool->queue.count &&
              other < subrequest))) {
            queued_longer++;
        }
    }
    return min_shards + queued_longer < remaining;
}

/*
 * Order of queued subrequests; the least rank is dequeued first. First those
 * that can still meet their goal, then by priority, then by the level of the
 * tenant, then those that the answer requires, then the latest goal. Under
 * overload, serving the oldest request first would make every answer slightly
 * late; docs/ROUNDS.md compares other orders. Where rate limits bind, no more
 * are queued than the limits allow in time (pool_pick), and the earliest goal
 * goes first.
 */
int64_t
subrequest_rank(const void *item, int64_t now_us)
{
    const subrequest_t *subrequest = item;
    const request_t *request = subrequest->request;
    bool late = now_us + subrequest_estimate_us(subrequest) > request->goal_us;
    int64_t order = subrequest->pool->rate_bound
                        ? request->goal_us
                        : RANK_TIME_MAX - request->goal_us;
    return (int64_t)late << 62 | (int64_t)request_standing(request) << 51 |
           (int64_t)subrequest_is_optional(subrequest, now_us) << 50 | order;
}

static pool_pick_t
subrequest_pick_criteria(const subrequest_t *subrequest, int64_t now_us)
{
    request_t *request = subrequest->request;
    engine_t *engine = request->engine;
    pool_pick_t pick = {
        .cost_context =
            {
                .zone = engine->settings.zone,
                .expected_us = hedge_expected_us(
                    &request->route_state->profile, request->route->goal_us),
                .price_us = zone_price_us(request->route->goal_us,
                                          engine->settings.zone_price_us),
            },
        .closed_zones = engine->registry.closed_zone_names,
        .closed_count = engine->registry.closed_zone_count,
        .avoid_count = subrequest->tried_count,
        .wait_until_us = request->goal_us - subrequest_estimate_us(subrequest),
        .random = engine_random(engine),
    };
    pick.rollout = engine_rollout(engine, subrequest->pool, now_us);
    memcpy(pick.avoid, subrequest->tried, sizeof(pick.avoid));
    if (subrequest->pool->rate_bound) {
        pick.queued_ahead = wait_queue_count_before(
            &subrequest->pool->queue, subrequest, subrequest_rank, now_us);
    }
    return pick;
}

uint32_t
subrequest_capacity(const subrequest_t *subrequest, int64_t now_us)
{
    pool_pick_t pick = subrequest_pick_criteria(subrequest, now_us);
    return pool_capacity(subrequest->pool, &pick, now_us);
}

int64_t
subrequest_rest_end_us(const subrequest_t *subrequest, int64_t now_us)
{
    pool_pick_t pick = subrequest_pick_criteria(subrequest, now_us);
    pick.avoid_count = 0;
    return pool_rest_end_us(subrequest->pool, &pick, now_us);
}

bool
subrequest_is_feasible(const subrequest_t *subrequest, int64_t deadline_us,
                       int64_t now_us)
{
    int64_t estimate_us = subrequest_estimate_us(subrequest);
    int64_t in_time_us = now_us + QUEUE_ESTIMATES * estimate_us;
    if (in_time_us < subrequest->request->goal_us) {
        in_time_us = subrequest->request->goal_us;
    }
    if (in_time_us > deadline_us) {
        in_time_us = deadline_us;
    }
    return subrequest_capacity(subrequest, now_us) > 0 &&
           now_us + subrequest_wait_us(subrequest, now_us) + estimate_us <=
               in_time_us;
}

static void
subrequest_fail(subrequest_t *subrequest)
{
    subrequest->state = SUBREQUEST_FAILED;
    subrequest->hedge_us = 0;
    subrequest->retry_us = 0;
    subrequest->request->gather.failed++;
}

fanout_part_t
subrequest_outlook(const subrequest_t *subrequest, int64_t now_us)
{
    pool_pick_t pick = subrequest_pick_criteria(subrequest, now_us);
    pool_outlook_t outlook = pool_outlook(
        subrequest->pool, &pick, subrequest->pool->queue.count, now_us);
    if (outlook.wait_us > 0) {
        pool_note_full(subrequest->pool, now_us);
    }
    return (fanout_part_t){
        .wait_us =
            pool_is_short(subrequest->pool, now_us) ? outlook.wait_us : 0,
        .service_us = outlook.service_us,
        .is_silent = subrequest_is_unresponsive(subrequest, now_us),
    };
}

void
subrequest_leave_out(subrequest_t *subrequest)
{
    subrequest_fail(subrequest);
}

/* Take one send from the service's retry budget; false: it is used up. */
static bool
subrequest_take_budget(subrequest_t *subrequest, retry_kind_t kind,
                       int64_t now_us)
{
    const engine_t *engine = subrequest->request->engine;
    double percent = engine->settings.retry_ratio * RETRY_RATIO_PERCENT *
                     retry_budget_percents[kind] / 100;
    double slack = engine->settings.retry_slack / (double)engine->fleet_size *
                   RETRY_SLACK_PERCENT / 100 * retry_budget_percents[kind] /
                   100;
    return budget_take_with_floor(&subrequest->pool->retry_budget,
                                  (uint32_t)percent, (uint32_t)slack, now_us);
}

static void
subrequest_detach(subrequest_t *subrequest, const attempt_t *attempt)
{
    for (uint32_t i = 0; i < subrequest->attempt_count; i++) {
        if (subrequest->attempts[i] == attempt) {
            subrequest->attempts[i] =
                subrequest->attempts[--subrequest->attempt_count];
            return;
        }
    }
}

static bool
subrequest_may_hedge(const subrequest_t *subrequest)
{
    const route_t *route = subrequest->request->route;
    return subrequest->state == SUBREQUEST_RUNNING && route->idempotent &&
           subrequest->may_have_run < route->attempts;
}

void
subrequest_schedule_hedge(subrequest_t *subrequest, int64_t now_us)
{
    const request_t *request = subrequest->request;
    const route_t *route = request->route;
    if (!subrequest_may_hedge(subrequest) || subrequest->attempt_count == 0) {
        return;
    }
    int64_t sent_us = subrequest->attempts[0]->sent_us;
    for (uint32_t i = 1; i < subrequest->attempt_count; i++) {
        if (subrequest->attempts[i]->sent_us > sent_us) {
            sent_us = subrequest->attempts[i]->sent_us;
        }
    }
    int64_t delay_us =
        route->kind != ROUTE_SHARDS
            ? hedge_delay_us(&request->route_state->profile, route->goal_us)
        : request->half_answered_us > 0
            ? hedge_straggler_us(request->half_answered_us)
            : hedge_fallback_us(route->goal_us);
    int64_t due_us = sent_us + delay_us;
    subrequest->hedge_us = due_us > now_us ? due_us : now_us;
}

/* Send to the instance and schedule a hedge. False: out of memory, or the send
   failed, which counts against the instance. */
static bool
subrequest_send(subrequest_t *subrequest, instance_t *instance, bool hedge,
                int64_t now_us)
{
    engine_t *engine = subrequest->request->engine;
    if (subrequest->tried_count < PICK_AVOID_MAX) {
        subrequest->tried[subrequest->tried_count++] = instance;
    }
    attempt_t *attempt = attempt_new(subrequest, instance, hedge, now_us);
    if (attempt == NULL) {
        return false;
    }
    instance_sent(instance, now_us);
    if (!engine->ports.send(engine->owner, attempt, now_us)) {
        instance_lost(instance, now_us);
        subrequest_detach(subrequest, attempt);
        attempt_free(engine, attempt);
        return false;
    }
    attempt->call = NULL;
    attempt_note_sent(engine, attempt, now_us);
    pool_note_sent(subrequest->pool, instance, subrequest->sends > 0, now_us);
    attempt_note_zone(engine, attempt, now_us);
    engine->limited_sends += instance->rate_limit.stated ? 1 : 0;
    reach_note_sent(&engine->reach,
                    now_us + pool_silence_bound_us(attempt->expected_us),
                    now_us);
    subrequest->sends++;
    subrequest->may_have_run++;
    if (subrequest->first_sent_us == 0) {
        subrequest->first_sent_us = now_us;
    }
    subrequest->state = SUBREQUEST_RUNNING;
    subrequest->hedge_us = 0;
    subrequest_schedule_hedge(subrequest, now_us);
    return true;
}

/* Retry after RETRY_DELAY_US if the subrequest is required and enough time is
   left, else fail. A query over shards is retried past its goal: other shards
   have worked for it, and a late answer serves the caller better than an
   error. */
static void
subrequest_delay_retry(subrequest_t *subrequest, int64_t now_us)
{
    const request_t *request = subrequest->request;
    int64_t until_us =
        request->deadline_us - subrequest_estimate_us(subrequest);
    if (request->route->kind != ROUTE_SHARDS) {
        /* No upstream works on the request, so give up early: the caller can
           retry at another daemon. */
        until_us =
            request->arrived_us + (request->goal_us - request->arrived_us) / 4;
    }
    if (!subrequest_is_required(subrequest) || now_us >= until_us ||
        subrequest_rest_end_us(subrequest, now_us) > until_us) {
        subrequest_fail(subrequest);
        return;
    }
    subrequest->state = SUBREQUEST_RETRY_DELAYED;
    subrequest->retry_us = now_us + RETRY_DELAY_US;
}

/* A subrequest that waits past its goal shows that capacity is short. */
static void
subrequest_note_shortage(const subrequest_t *subrequest, int64_t now_us)
{
    const request_t *request = subrequest->request;
    if (now_us + wait_queue_estimate_us(&subrequest->pool->queue, now_us) +
            subrequest_estimate_us(subrequest) >
        request->goal_us) {
        fair_share_note_shortage(&request->engine->shares, now_us);
    }
}

/* Send, or queue if all upstreams are full. PICK_NONE: no upstream is usable;
   PICK_FULL without SUBREQUEST_QUEUED: out of memory. */
static pick_result_t
subrequest_dispatch(subrequest_t *subrequest, int64_t now_us)
{
    for (;;) {
        pool_pick_t pick = subrequest_pick_criteria(subrequest, now_us);
        instance_t *instance;
        pick_result_t result =
            engine_pick(subrequest->request->engine, subrequest->pool, &pick,
                        now_us, &instance);
        if (result == PICK_OK) {
            if (subrequest_send(subrequest, instance, false, now_us)) {
                return result;
            }
            continue; /* the failed instance is in tried[] now */
        }
        if (result == PICK_FULL &&
            wait_queue_push(&subrequest->pool->queue, subrequest, now_us)) {
            subrequest->state = SUBREQUEST_QUEUED;
            subrequest_note_shortage(subrequest, now_us);
            subrequest->request->queued += subrequest->was_queued ? 0 : 1;
            subrequest->was_queued = true;
        }
        return result;
    }
}

void
subrequest_start(subrequest_t *subrequest, int64_t now_us)
{
    if (subrequest_dispatch(subrequest, now_us) == PICK_NONE) {
        subrequest_fail(subrequest);
    }
}

/*
 * Retry after a failed attempt, now or after a delay, or fail.
 * reached_upstream: the request was sent to an upstream before, so that this
 * retry counts against the retry budget.
 */
static void
subrequest_retry(subrequest_t *subrequest, bool reached_upstream,
                 int64_t now_us)
{
    request_t *request = subrequest->request;
    subrequest->hedge_us = 0;
    subrequest->retry_us = 0;
    if (subrequest->attempt_count > 0) {
        /* Another attempt is in flight. If the hedge was refused, the next one
           is due at once. */
        subrequest_schedule_hedge(subrequest, now_us);
        return;
    }
    if (now_us >= request->deadline_us ||
        subrequest->sends >= ENGINE_SENDS_MAX ||
        subrequest->unreachable > UNREACHABLE_MAX) {
        subrequest_fail(subrequest);
        return;
    }
    retry_kind_t kind =
        request->route->kind == ROUTE_SHARDS && now_us > request->goal_us
            ? RETRY_LATE
        : subrequest_is_required(subrequest) ? RETRY_REQUIRED
                                             : RETRY_OPTIONAL;
    if (reached_upstream &&
        !subrequest_take_budget(subrequest, kind, now_us)) {
        subrequest_delay_retry(subrequest, now_us);
        return;
    }
    if (subrequest_dispatch(subrequest, now_us) == PICK_NONE) {
        if (reached_upstream) {
            budget_return(&subrequest->pool->retry_budget, now_us);
        }
        /* Every instance was tried: after a delay, allow all of them again. */
        subrequest->tried_count = 0;
        subrequest_delay_retry(subrequest, now_us);
        return;
    }
    request->retries += reached_upstream ? 1 : 0;
}

/* Allow all instances again that no attempt is in flight at. */
static void
subrequest_forget_tried(subrequest_t *subrequest)
{
    subrequest->tried_count = 0;
    for (uint32_t i = 0; i < subrequest->attempt_count; i++) {
        subrequest->tried[subrequest->tried_count++] =
            subrequest->attempts[i]->instance;
    }
}

/* Run a delayed retry that is due. */
static void
subrequest_resume(subrequest_t *subrequest, int64_t now_us)
{
    if (subrequest->state == SUBREQUEST_RETRY_DELAYED &&
        now_us >= subrequest->retry_us) {
        subrequest->state = SUBREQUEST_IDLE;
        subrequest_retry(subrequest, subrequest->sends > 0, now_us);
    }
}

void
subrequest_wake(subrequest_t *subrequest, int64_t now_us)
{
    request_t *request = subrequest->request;
    subrequest_resume(subrequest, now_us);
    if (subrequest->hedge_us == 0 || now_us < subrequest->hedge_us) {
        return;
    }
    subrequest->hedge_us = 0;
    if (subrequest->state != SUBREQUEST_RUNNING ||
        subrequest->attempt_count == ENGINE_ATTEMPTS_MAX ||
        subrequest->sends >= ENGINE_SENDS_MAX) {
        return;
    }
    if (wait_queue_was_used(&subrequest->pool->queue, HEDGE_QUEUE_US,
                            now_us)) {
        /* Queued subrequests take precedence over hedges, and after a queue
           hedges would bring it back: at 0.9 of the capacity they made it. */
        subrequest->hedge_us = now_us + HEDGE_RECHECK_US;
        return;
    }
    pool_pick_t pick = subrequest_pick_criteria(subrequest, now_us);
    pick.healthy_only = true;
    instance_t *instance;
    pick_result_t picked = engine_pick(request->engine, subrequest->pool,
                                       &pick, now_us, &instance);
    if (picked != PICK_OK) {
        if (picked == PICK_NONE) {
            subrequest_forget_tried(subrequest);
        }
        subrequest->hedge_us = now_us + HEDGE_RECHECK_US;
        return;
    }
    if (!subrequest_take_budget(subrequest, RETRY_HEDGE, now_us)) {
        subrequest->hedge_us = now_us + HEDGE_RECHECK_US;
        return;
    }
    if (subrequest_send(subrequest, instance, true, now_us)) {
        request->hedges++;
        event_log(EVENT_REQUEST_SENT_AGAIN,
                  "id=%s service=%s to=%s cause=slow "
                  "after_ms=%.1f",
                  request->id, subrequest->pool->name, instance->entry.id,
                  (double)(now_us - request->arrived_us) / 1000);
    }
    else {
        budget_return(&subrequest->pool->retry_budget, now_us);
    }
}

void
subrequest_stop(subrequest_t *subrequest, bool may_finish, int64_t now_us)
{
    engine_t *engine = subrequest->request->engine;
    if (subrequest->state == SUBREQUEST_QUEUED) {
        wait_queue_remove(&subrequest->pool->queue, subrequest);
    }
    subrequest->hedge_us = 0;
    subrequest->retry_us = 0;
    while (subrequest->attempt_count > 0) {
        attempt_t *attempt = subrequest->attempts[--subrequest->attempt_count];
        attempt->request = NULL;
        if (may_finish) {
            engine->ports.abandon(engine->owner, attempt,
                                  now_us + ABANDON_GRACE_US);
            continue;
        }
        engine->ports.cancel(engine->owner, attempt);
        attempt_add_cost(engine, attempt, now_us);
        attempt_note_result(attempt, REPLY_UNFINISHED, NULL, now_us);
        instance_dropped(attempt->instance, now_us);
        attempt_free(engine, attempt);
    }
}

/* Add a shard's records and signature to the request. When half of the shards
   have answered, reschedule the hedges of the others. */
static void
subrequest_merge(subrequest_t *subrequest, const reply_t *reply,
                 int64_t now_us)
{
    request_t *request = subrequest->request;
    const buffer_t *body = &reply->message->body;
    buffer_t *signatures = &request->signatures;
    size_t length = strlen(reply->signature);
    size_t separator = buffer_size(signatures) > 0 ? 2 : 0;
    uint8_t *end = buffer_reserve(signatures, length + 3);
    if (end == NULL || !records_add(&request->records, buffer_data(body),
                                    buffer_size(body))) {
        subrequest_fail(subrequest);
        return;
    }
    /* The terminating NUL is written, but not committed, so that the next
       signature overwrites it. */
    memcpy(end, ", ", separator);
    memcpy(end + separator, reply->signature, length);
    end[separator + length] = '\0';
    buffer_commit(signatures, separator + length);
    subrequest->state = SUBREQUEST_DONE;
    request_part_arrived(request);
    request->gather.answered++;
    request->last_part = subrequest;
    request->last_part_us = now_us;
    if (request->half_answered_us == 0 &&
        2 * request->gather.answered >= request->gather.shards) {
        request->half_answered_us = now_us - request->arrived_us;
        for (uint32_t i = 0; i < request->subrequest_count; i++) {
            subrequest_schedule_hedge(&request->subrequests[i], now_us);
        }
    }
}

static void
route_state_add_size(route_state_t *route_state, size_t body_bytes)
{
    double mean = route_state->mean_response_bytes;
    route_state->mean_response_bytes =
        mean <= 0 ? (double)body_bytes
                  : mean + ((double)body_bytes - mean) * SIZE_WEIGHT;
}

/*
 * Handle a whole, signed response: merge it, relay it, or treat it as a
 * failure. good: its status is 2xx. True: the request was answered and freed.
 */
static bool
subrequest_handle_response(subrequest_t *subrequest, const reply_t *reply,
                           bool good, int64_t took_us, int64_t now_us)
{
    request_t *request = subrequest->request;
    const route_t *route = request->route;
    if (good) {
        hedge_profile_add(&request->route_state->profile, took_us);
        hedge_profile_add_usual(&request->route_state->profile, took_us,
                                now_us);
        route_state_add_size(request->route_state,
                             buffer_size(&reply->message->body));
        subrequest_stop(subrequest, route->idempotent, now_us);
        if (route->kind == ROUTE_SHARDS) {
            subrequest_merge(subrequest, reply, now_us);
            return false;
        }
    }
    else if (route->idempotent && reply->message->status >= 500 &&
             subrequest->may_have_run < route->attempts) {
        subrequest_retry(subrequest, true, now_us);
        if (subrequest->state != SUBREQUEST_FAILED) {
            return false;
        }
    }
    else if (subrequest->attempt_count > 0 &&
             (reply->message->status >= 500 || route->kind == ROUTE_SHARDS)) {
        return false; /* another attempt may still succeed */
    }
    if (route->kind == ROUTE_SHARDS) {
        if (subrequest->state != SUBREQUEST_FAILED) {
            subrequest_fail(subrequest);
        }
        return false;
    }
    subrequest->state = SUBREQUEST_DONE;
    answer_t answer = {
        .kind = ANSWER_RELAYED,
        .status = reply->message->status,
        .message = reply->message,
    };
    request_answer(request, &answer, now_us);
    return true;
}

void
subrequest_handle_reply(subrequest_t *subrequest, attempt_t *attempt,
                        const reply_t *reply, int64_t now_us)
{
    request_t *request = subrequest->request;
    const route_t *route = request->route;
    bool whole = reply->kind == REPLY_ANSWER;
    request->answered_sends += whole ? 1 : 0;
    request->lost_sends +=
        reply->kind == REPLY_LOST && !attempt->upstream_failing ? 1 : 0;
    bool good = whole && reply->signature != NULL &&
                reply->message->status >= 200 && reply->message->status < 300;
    int64_t took_us = now_us - attempt->sent_us;
    subrequest_detach(subrequest, attempt);
    if (whole && reply->signature != NULL) {
        if (!subrequest_handle_response(subrequest, reply, good, took_us,
                                        now_us)) {
            request_progress(request, now_us);
        }
        return;
    }
    switch (reply->kind) {
    case REPLY_NOT_SENT:
        subrequest->may_have_run--;
        subrequest->sends--;
        subrequest->unreachable++;
        subrequest_retry(subrequest, false, now_us);
        break;
    case REPLY_NOT_RUN:
    case REPLY_MISDIRECTED:
        subrequest->may_have_run--;
        subrequest_retry(subrequest, true, now_us);
        break;
    default:
        if (route->idempotent && subrequest->may_have_run < route->attempts) {
            subrequest_retry(subrequest, true, now_us);
        }
        else if (subrequest->attempt_count == 0) {
            subrequest_fail(subrequest);
        }
        break;
    }
    request_progress(request, now_us);
}

void
engine_reply(engine_t *engine, attempt_t *attempt, const reply_t *reply,
             int64_t now_us)
{
    request_t *request = attempt->request;
    pool_t *pool = attempt->pool;
    attempt->upstream_failing = instance_is_failing(attempt->instance);
    attempt_record_result(engine, attempt, reply, now_us);
    if (reply->kind == REPLY_ANSWER || reply->kind == REPLY_LOST ||
        reply->kind == REPLY_UNFINISHED) {
        attempt_add_cost(engine, attempt, now_us);
    }
    if (reply->kind != REPLY_ANSWER || reply->message->status >= 500) {
        attempt_log(attempt, reply, now_us);
    }
    if (request != NULL) {
        subrequest_handle_reply(&request->subrequests[attempt->subrequest],
                                attempt, reply, now_us);
    }
    attempt_free(engine, attempt);
    pool_dispatch_queued(pool, now_us);
}

void
pool_dispatch_queued(pool_t *pool, int64_t now_us)
{
    uint32_t remaining = pool->queue.count;
    while (remaining-- > 0 && pool->queue.count > 0) {
        subrequest_t *subrequest =
            wait_queue_pop(&pool->queue, subrequest_rank, now_us);
        subrequest->state = SUBREQUEST_IDLE;
        subrequest_start(subrequest, now_us);
        if (subrequest->state == SUBREQUEST_QUEUED) {
            return; /* still full, for the rest of the queue too */
        }
        wait_queue_note_dequeued(&pool->queue, now_us);
        if (subrequest->state == SUBREQUEST_FAILED) {
            request_progress(subrequest->request, now_us);
        }
    }
}
