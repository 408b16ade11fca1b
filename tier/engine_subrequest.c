/* One shard's share of a request: sends, repeats, hedges and their ends. */
#include "edge/event.h"
#include "tier/engine_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Above every time in microseconds that a rank holds. */
#define RANK_TIME_MAX ((int64_t)1 << 52)

enum {
    /* How long an answer that is not needed may still come, so that its
       connection is kept: longer than a pause of an upstream, and less than
       the half second after which work counts as left running. */
    LINGER_US = 350000,
    /* How soon a hedge that found no room is tried again. */
    HEDGE_RECHECK_US = 10000,
    /* Of the fleet's allowance of repeats, what this daemon uses: the rest
       covers windows that are cut differently and views that differ. */
    RETRY_RATIO_PERCENT = 85,
    RETRY_SLACK_PERCENT = 75,
    /* How soon a repeat that the budget or the upstreams do not allow yet is
       tried again. */
    RETRY_DELAY_US = 20000,
    /* Of a typical answer's time, what is allowed for one. */
    ESTIMATE_PERCENT = 150,
    UNREACHABLE_MAX =
        6, /* upstreams that could not be reached, for one shard */
};

/* How much of the budget a send beyond the first may draw on. */
typedef enum {
    RETRY_HEDGE,    /* the first has not failed */
    RETRY_OPTIONAL, /* the answer can do without it */
    RETRY_REQUIRED,
    RETRY_KINDS
} retry_kind_t;

/* What fails a whole request comes before what leaves out a part of its
   answer, and that before what might only be late. */
static const uint32_t retry_budget_percents[RETRY_KINDS] = {
    [RETRY_HEDGE] = 80,
    [RETRY_OPTIONAL] = 90,
    [RETRY_REQUIRED] = 100,
};

/* Whether the request fails without this leg. */
static bool
subrequest_is_required(const subrequest_t *leg)
{
    const request_t *request = leg->request;
    return request->route->kind != ROUTE_SHARDS ||
           request->gather.shards - request->gather.failed <=
               gather_min_shards(&request->gather);
}

/* Time to allow for one send, so that most are done in it. */
static int64_t
subrequest_estimate_us(const subrequest_t *leg)
{
    const request_t *request = leg->request;
    return hedge_expected_us(&request->memory->profile,
                             request->route->goal_us) *
           ESTIMATE_PERCENT / 100;
}

static pool_pick_t
subrequest_pick_criteria(const subrequest_t *leg)
{
    request_t *request = leg->request;
    engine_t *engine = request->engine;
    pool_pick_t pick = {
        .view =
            {
                .zone = engine->settings.zone,
                .expected_us = hedge_expected_us(&request->memory->profile,
                                                 request->route->goal_us),
            },
        .closed_zones = engine->registry.closed_names,
        .closed_count = engine->registry.closed_count,
        .avoid_count = leg->tried_count,
        .random = engine_random(engine),
    };
    memcpy(pick.avoid, leg->tried, sizeof(pick.avoid));
    return pick;
}

uint32_t
subrequest_capacity(const subrequest_t *leg, int64_t now_us)
{
    pool_pick_t pick = subrequest_pick_criteria(leg);
    return pool_capacity(leg->pool, &pick, now_us);
}

bool
subrequest_is_feasible(const subrequest_t *leg, int64_t by_us, int64_t now_us)
{
    return subrequest_capacity(leg, now_us) > 0 &&
           now_us + wait_queue_estimate_us(&leg->pool->waiting, now_us) +
                   subrequest_estimate_us(leg) <=
               by_us;
}

static void
subrequest_fail(subrequest_t *leg)
{
    leg->state = SUBREQUEST_FAILED;
    leg->hedge_us = 0;
    leg->again_us = 0;
    leg->request->gather.failed++;
}

/* Whether the budget of the service allows one more send. */
static bool
subrequest_take_budget(subrequest_t *leg, retry_kind_t kind, int64_t now_us)
{
    const engine_t *engine = leg->request->engine;
    double percent = engine->settings.retry_ratio * RETRY_RATIO_PERCENT *
                     retry_budget_percents[kind] / 100;
    double slack = engine->settings.retry_slack / (double)engine->fleet *
                   RETRY_SLACK_PERCENT / 100 * retry_budget_percents[kind] /
                   100;
    return budget_take_above(&leg->pool->repeats, (uint32_t)percent,
                             (uint32_t)slack, now_us);
}

static void
subrequest_detach(subrequest_t *leg, const attempt_t *attempt)
{
    for (uint32_t i = 0; i < leg->attempt_count; i++) {
        if (leg->attempts[i] == attempt) {
            leg->attempts[i] = leg->attempts[--leg->attempt_count];
            return;
        }
    }
}

static bool
subrequest_may_hedge(const subrequest_t *leg)
{
    const route_t *route = leg->request->route;
    return leg->state == SUBREQUEST_RUNNING && route->repeatable &&
           leg->may_have_run < route->attempts;
}

void
subrequest_schedule_hedge(subrequest_t *leg, int64_t now_us)
{
    const request_t *request = leg->request;
    if (subrequest_may_hedge(leg)) {
        int64_t due_us =
            leg->sent_us + (request->half_us > 0
                                ? hedge_straggler_us(request->half_us)
                                : hedge_fallback_us(request->route->goal_us));
        leg->hedge_us = due_us > now_us ? due_us : now_us;
    }
}

/* Send to that upstream; false: nothing left, and it counts as bad. */
static bool
subrequest_send(subrequest_t *leg, instance_t *instance, bool hedge,
                int64_t now_us)
{
    engine_t *engine = leg->request->engine;
    if (leg->tried_count < PICK_AVOID_MAX) {
        leg->tried[leg->tried_count++] = instance;
    }
    attempt_t *attempt = attempt_new(leg, instance, hedge, now_us);
    if (attempt == NULL) {
        return false;
    }
    instance_sent(instance, now_us);
    if (!engine->ports.send(engine->owner, attempt, now_us)) {
        instance_lost(instance, now_us);
        subrequest_detach(leg, attempt);
        attempt_free(engine, attempt);
        return false;
    }
    attempt->call = NULL;
    pool_note_sent(leg->pool, instance, now_us);
    leg->sends++;
    leg->may_have_run++;
    leg->state = SUBREQUEST_RUNNING;
    leg->hedge_us = 0;
    leg->sent_us = now_us;
    const request_t *request = leg->request;
    if (request->route->kind == ROUTE_SHARDS) {
        subrequest_schedule_hedge(leg, now_us);
    }
    else if (subrequest_may_hedge(leg)) {
        leg->hedge_us = now_us + hedge_delay_us(&request->memory->profile,
                                                request->route->goal_us);
    }
    return true;
}

/* Try again soon, if that can still be of use; else fail. */
static void
subrequest_delay_retry(subrequest_t *leg, int64_t now_us)
{
    const request_t *request = leg->request;
    int64_t until_us = request->goal_us;
    if (request->route->kind != ROUTE_SHARDS) {
        /* Nobody is at work on it: its caller may fare better elsewhere. */
        until_us =
            request->begun_us + (request->goal_us - request->begun_us) / 4;
    }
    if (!subrequest_is_required(leg) || now_us >= until_us) {
        subrequest_fail(leg);
        return;
    }
    leg->state = SUBREQUEST_RETRY_DELAYED;
    leg->again_us = now_us + RETRY_DELAY_US;
}

/* Send, wait for room, or learn that there is nobody to send to. */
static pick_result_t
subrequest_dispatch(subrequest_t *leg, int64_t now_us)
{
    for (;;) {
        pool_pick_t pick = subrequest_pick_criteria(leg);
        instance_t *instance;
        pick_result_t result = pool_pick(leg->pool, &pick, now_us, &instance);
        if (result == PICK_OK) {
            if (subrequest_send(leg, instance, false, now_us)) {
                return result;
            }
            continue; /* it is among those tried now */
        }
        if (result == PICK_FULL &&
            wait_queue_push(&leg->pool->waiting, leg, now_us)) {
            leg->state = SUBREQUEST_QUEUED;
            leg->request->waits += leg->waited ? 0 : 1;
            leg->waited = true;
        }
        return result;
    }
}

void
subrequest_start(subrequest_t *leg, int64_t now_us)
{
    if (subrequest_dispatch(leg, now_us) == PICK_NONE) {
        subrequest_fail(leg);
    }
}

/*
 * Send once more after a send that came to nothing, now or a little later, or
 * fail. arrived: an upstream has seen it, so that it draws on the budget.
 */
static void
subrequest_retry(subrequest_t *leg, bool arrived, int64_t now_us)
{
    request_t *request = leg->request;
    leg->hedge_us = 0;
    leg->again_us = 0;
    if (leg->attempt_count > 0) {
        return; /* another is on its way */
    }
    if (now_us >= request->deadline_us || leg->sends >= ENGINE_SENDS_MAX ||
        leg->misses > UNREACHABLE_MAX) {
        subrequest_fail(leg);
        return;
    }
    retry_kind_t kind =
        subrequest_is_required(leg) ? RETRY_REQUIRED : RETRY_OPTIONAL;
    if (arrived && !subrequest_take_budget(leg, kind, now_us)) {
        subrequest_delay_retry(leg, now_us);
        return;
    }
    if (subrequest_dispatch(leg, now_us) == PICK_NONE) {
        if (arrived) {
            budget_return(&leg->pool->repeats, now_us);
        }
        /* All were tried: the same ones may do better in a while. */
        leg->tried_count = 0;
        subrequest_delay_retry(leg, now_us);
        return;
    }
    request->repeats += arrived ? 1 : 0;
}

/* A leg that paused goes on. */
static void
subrequest_resume(subrequest_t *leg, int64_t now_us)
{
    if (leg->state == SUBREQUEST_RETRY_DELAYED && now_us >= leg->again_us) {
        leg->state = SUBREQUEST_IDLE;
        subrequest_retry(leg, leg->sends > 0, now_us);
    }
}

void
subrequest_wake(subrequest_t *leg, int64_t now_us)
{
    request_t *request = leg->request;
    subrequest_resume(leg, now_us);
    if (leg->hedge_us == 0 || now_us < leg->hedge_us) {
        return;
    }
    leg->hedge_us = 0;
    if (leg->state != SUBREQUEST_RUNNING ||
        leg->attempt_count == ENGINE_ATTEMPTS_MAX ||
        leg->sends >= ENGINE_SENDS_MAX) {
        return;
    }
    if (leg->pool->waiting.count > 0) {
        /* Work that waits comes before work that is done twice. */
        leg->hedge_us = now_us + HEDGE_RECHECK_US;
        return;
    }
    pool_pick_t pick = subrequest_pick_criteria(leg);
    pick.sound_only = true;
    instance_t *instance;
    if (pool_pick(leg->pool, &pick, now_us, &instance) != PICK_OK) {
        leg->hedge_us = now_us + HEDGE_RECHECK_US;
        return;
    }
    if (!subrequest_take_budget(leg, RETRY_HEDGE, now_us)) {
        leg->hedge_us = now_us + HEDGE_RECHECK_US;
        return;
    }
    if (subrequest_send(leg, instance, true, now_us)) {
        request->hedges++;
        event_log(EVENT_SENT_AGAIN,
                  "id=%s service=%s to=%s cause=slow "
                  "after_ms=%.1f",
                  request->id, leg->pool->name, instance->entry.id,
                  (double)(now_us - request->begun_us) / 1000);
    }
    else {
        budget_return(&leg->pool->repeats, now_us);
    }
}

void
subrequest_stop(subrequest_t *leg, bool may_finish, int64_t now_us)
{
    engine_t *engine = leg->request->engine;
    if (leg->state == SUBREQUEST_QUEUED) {
        wait_queue_remove(&leg->pool->waiting, leg);
    }
    leg->hedge_us = 0;
    leg->again_us = 0;
    while (leg->attempt_count > 0) {
        attempt_t *attempt = leg->attempts[--leg->attempt_count];
        attempt->request = NULL;
        if (may_finish) {
            engine->ports.abandon(engine->owner, attempt, now_us + LINGER_US);
            continue;
        }
        engine->ports.cancel(engine->owner, attempt);
        instance_dropped(attempt->instance, now_us);
        attempt_free(engine, attempt);
    }
}

/* A part of a merged answer is in. */
static void
subrequest_merge(subrequest_t *leg, const reply_t *reply, int64_t now_us)
{
    request_t *request = leg->request;
    const buffer_t *body = &reply->message->body;
    buffer_t *signatures = &request->signatures;
    size_t length = strlen(reply->signature);
    size_t separator = buffer_size(signatures) > 0 ? 2 : 0;
    uint8_t *room = buffer_reserve(signatures, length + 3);
    if (room == NULL || !records_add(&request->records, buffer_data(body),
                                     buffer_size(body))) {
        subrequest_fail(leg);
        return;
    }
    /* The end of the text so far is overwritten by what follows it. */
    memcpy(room, ", ", separator);
    memcpy(room + separator, reply->signature, length);
    room[separator + length] = '\0';
    buffer_commit(signatures, separator + length);
    leg->state = SUBREQUEST_DONE;
    request->gather.answered++;
    if (request->half_us == 0 &&
        2 * request->gather.answered >= request->gather.shards) {
        request->half_us = now_us - request->begun_us;
        for (uint32_t i = 0; i < request->leg_count; i++) {
            subrequest_schedule_hedge(&request->legs[i], now_us);
        }
    }
}

/*
 * A whole response: a part, an answer to relay, or a failure. True when the
 * request was answered with it, and so is gone.
 */
static bool
subrequest_handle_response(subrequest_t *leg, const reply_t *reply, bool good,
                           int64_t took_us, int64_t now_us)
{
    request_t *request = leg->request;
    const route_t *route = request->route;
    if (good) {
        hedge_profile_add(&request->memory->profile, took_us);
        subrequest_stop(leg, route->repeatable, now_us);
        if (route->kind == ROUTE_SHARDS) {
            subrequest_merge(leg, reply, now_us);
            return false;
        }
    }
    else if (route->repeatable && reply->message->status >= 500 &&
             leg->may_have_run < route->attempts) {
        subrequest_retry(leg, true, now_us);
        if (leg->state != SUBREQUEST_FAILED) {
            return false;
        }
    }
    else if (leg->attempt_count > 0 &&
             (reply->message->status >= 500 || route->kind == ROUTE_SHARDS)) {
        return false; /* another may still answer */
    }
    if (route->kind == ROUTE_SHARDS) {
        if (leg->state != SUBREQUEST_FAILED) {
            subrequest_fail(leg);
        }
        return false;
    }
    leg->state = SUBREQUEST_DONE;
    answer_t answer = {
        .kind = ANSWER_RELAYED,
        .status = reply->message->status,
        .message = reply->message,
    };
    request_answer(request, &answer, now_us);
    return true;
}

void
subrequest_handle_reply(subrequest_t *leg, attempt_t *attempt,
                        const reply_t *reply, int64_t now_us)
{
    request_t *request = leg->request;
    const route_t *route = request->route;
    bool whole = reply->kind == REPLY_ANSWER;
    request->answered += whole ? 1 : 0;
    request->cut_off += reply->kind == REPLY_LOST ? 1 : 0;
    bool good = whole && reply->signature != NULL &&
                reply->message->status >= 200 && reply->message->status < 300;
    int64_t took_us = now_us - attempt->sent_us;
    subrequest_detach(leg, attempt);
    if (whole && reply->signature != NULL) {
        if (!subrequest_handle_response(leg, reply, good, took_us, now_us)) {
            request_progress(request, now_us);
        }
        return;
    }
    switch (reply->kind) {
    case REPLY_NOT_SENT:
        leg->may_have_run--;
        leg->sends--;
        leg->misses++;
        subrequest_retry(leg, false, now_us);
        break;
    case REPLY_NOT_RUN:
    case REPLY_MISDIRECTED:
        leg->may_have_run--;
        subrequest_retry(leg, true, now_us);
        break;
    default:
        if (route->repeatable && leg->may_have_run < route->attempts) {
            subrequest_retry(leg, true, now_us);
        }
        else if (leg->attempt_count == 0) {
            subrequest_fail(leg);
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
    attempt_record_result(attempt, reply, now_us);
    if (reply->kind != REPLY_ANSWER || reply->message->status >= 500) {
        attempt_log(attempt, reply, now_us);
    }
    if (request != NULL) {
        subrequest_handle_reply(&request->legs[attempt->leg], attempt, reply,
                                now_us);
    }
    attempt_free(engine, attempt);
    pool_dispatch_queued(pool, now_us);
}

/*
 * Whether the answer can do without this leg while it waits: of a query's
 * legs that wait, as many as it can spare, those with most work before them.
 */
static bool
subrequest_is_optional(const subrequest_t *leg)
{
    const request_t *request = leg->request;
    if (request->route->kind != ROUTE_SHARDS) {
        return false;
    }
    const gather_t *gather = &request->gather;
    uint32_t left = gather->shards - gather->failed;
    uint32_t least = gather_min_shards(gather);
    uint32_t longer = 0;
    for (uint32_t i = 0; i < request->leg_count; i++) {
        const subrequest_t *other = &request->legs[i];
        if (other->state == SUBREQUEST_QUEUED &&
            (other->pool->waiting.count > leg->pool->waiting.count ||
             (other->pool->waiting.count == leg->pool->waiting.count &&
              other < leg))) {
            longer++;
        }
    }
    return least + longer < left;
}

/*
 * Which of the work that waits goes first: what can still be in time, of that
 * the more urgent class, of that what the answer cannot do without, and then
 * what came last. When there is more than can be done, serving what came first
 * makes everybody just late; docs/ROUNDS.md has trials of other orders.
 */
static int64_t
subrequest_rank(const void *item, int64_t now_us)
{
    const subrequest_t *leg = item;
    const request_t *request = leg->request;
    bool late = now_us + subrequest_estimate_us(leg) > request->goal_us;
    uint32_t priority =
        request->route->priority < 255 ? request->route->priority : 255;
    return (int64_t)late << 62 | (int64_t)priority << 54 |
           (int64_t)subrequest_is_optional(leg) << 53 |
           (RANK_TIME_MAX - request->goal_us);
}

void
pool_dispatch_queued(pool_t *pool, int64_t now_us)
{
    uint32_t tries = pool->waiting.count;
    while (tries-- > 0 && pool->waiting.count > 0) {
        subrequest_t *leg =
            wait_queue_pop(&pool->waiting, subrequest_rank, now_us);
        leg->state = SUBREQUEST_IDLE;
        subrequest_start(leg, now_us);
        if (leg->state == SUBREQUEST_QUEUED) {
            return; /* no room, for the others neither */
        }
        wait_queue_note_dequeued(&pool->waiting, now_us);
        if (leg->state == SUBREQUEST_FAILED) {
            request_progress(leg->request, now_us);
        }
    }
}
