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
    HEDGE_AGAIN_US = 10000,
    /* Of the fleet's allowance of repeats, what this daemon uses: the rest
       covers windows that are cut differently and views that differ. */
    REPEAT_PERCENT = 85,
    REPEAT_SLACK_PERCENT = 75,
    /* How soon a repeat that the budget or the upstreams do not allow yet is
       tried again. */
    REPEAT_AGAIN_US = 20000,
    /* Of a typical answer's time, what is allowed for one. */
    TIME_PERCENT = 150,
    MISSES_MAX = 6, /* upstreams that could not be reached, for one shard */
};

/* How much of the budget a send beyond the first may draw on. */
typedef enum {
    REPEAT_HEDGE, /* the first has not failed */
    REPEAT_SPARE, /* the answer can do without it */
    REPEAT_NEEDED,
    REPEAT_KINDS
} repeat_kind_t;

/* What fails a whole request comes before what leaves out a part of its
   answer, and that before what might only be late. */
static const uint32_t repeat_percents[REPEAT_KINDS] = {
    [REPEAT_HEDGE] = 80,
    [REPEAT_SPARE] = 90,
    [REPEAT_NEEDED] = 100,
};

/* Whether the request fails without this leg. */
static bool
leg_is_needed(const leg_t *leg)
{
    const request_t *request = leg->request;
    return request->route->kind != ROUTE_SHARDS ||
           request->gather.shards - request->gather.failed <=
               gather_least(&request->gather);
}

/* Time to allow for one send, so that most are done in it. */
static int64_t
leg_time_us(const leg_t *leg)
{
    const request_t *request = leg->request;
    return hedge_expected_us(&request->memory->profile,
                             request->route->goal_us) *
           TIME_PERCENT / 100;
}

static pool_pick_t
leg_pick(const leg_t *leg)
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
        .closed_zones = engine->registry.closed_zone_names,
        .closed_count = engine->registry.closed_zone_count,
        .avoid_count = leg->tried_count,
        .random = engine_random(engine),
    };
    memcpy(pick.avoid, leg->tried, sizeof(pick.avoid));
    return pick;
}

uint32_t
leg_room(const leg_t *leg, int64_t now_us)
{
    pool_pick_t pick = leg_pick(leg);
    return pool_capacity(leg->pool, &pick, now_us);
}

bool
leg_is_possible(const leg_t *leg, int64_t by_us, int64_t now_us)
{
    return leg_room(leg, now_us) > 0 &&
           now_us + waiting_estimate_us(&leg->pool->waiting, now_us) +
                   leg_time_us(leg) <=
               by_us;
}

static void
leg_fail(leg_t *leg)
{
    leg->state = LEG_FAILED;
    leg->hedge_us = 0;
    leg->again_us = 0;
    leg->request->gather.failed++;
}

/* Whether the budget of the service allows one more send. */
static bool
leg_may_repeat(leg_t *leg, repeat_kind_t kind, int64_t now_us)
{
    const engine_t *engine = leg->request->engine;
    double percent = engine->settings.retry_ratio * REPEAT_PERCENT *
                     repeat_percents[kind] / 100;
    double slack = engine->settings.retry_slack / (double)engine->fleet *
                   REPEAT_SLACK_PERCENT / 100 * repeat_percents[kind] / 100;
    return budget_take_with_floor(&leg->pool->repeats, (uint32_t)percent,
                                  (uint32_t)slack, now_us);
}

static void
leg_detach(leg_t *leg, const attempt_t *attempt)
{
    for (uint32_t i = 0; i < leg->attempt_count; i++) {
        if (leg->attempts[i] == attempt) {
            leg->attempts[i] = leg->attempts[--leg->attempt_count];
            return;
        }
    }
}

static bool
leg_may_hedge(const leg_t *leg)
{
    const route_t *route = leg->request->route;
    return leg->state == LEG_RUNNING && route->repeatable &&
           leg->may_have_run < route->attempts;
}

void
leg_expect(leg_t *leg, int64_t now_us)
{
    const request_t *request = leg->request;
    if (leg_may_hedge(leg)) {
        int64_t due_us =
            leg->sent_us + (request->half_us > 0
                                ? hedge_straggler_us(request->half_us)
                                : hedge_blind_us(request->route->goal_us));
        leg->hedge_us = due_us > now_us ? due_us : now_us;
    }
}

/* Send to that upstream; false: nothing left, and it counts as bad. */
static bool
leg_send(leg_t *leg, instance_t *instance, bool hedge, int64_t now_us)
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
        leg_detach(leg, attempt);
        attempt_free(engine, attempt);
        return false;
    }
    attempt->call = NULL;
    pool_note_sent(leg->pool, instance, now_us);
    leg->sends++;
    leg->may_have_run++;
    leg->state = LEG_RUNNING;
    leg->hedge_us = 0;
    leg->sent_us = now_us;
    const request_t *request = leg->request;
    if (request->route->kind == ROUTE_SHARDS) {
        leg_expect(leg, now_us);
    }
    else if (leg_may_hedge(leg)) {
        leg->hedge_us = now_us + hedge_delay_us(&request->memory->profile,
                                                request->route->goal_us);
    }
    return true;
}

/* Try again soon, if that can still be of use; else fail. */
static void
leg_pause(leg_t *leg, int64_t now_us)
{
    const request_t *request = leg->request;
    int64_t until_us = request->goal_us;
    if (request->route->kind != ROUTE_SHARDS) {
        /* Nobody is at work on it: its caller may fare better elsewhere. */
        until_us =
            request->begun_us + (request->goal_us - request->begun_us) / 4;
    }
    if (!leg_is_needed(leg) || now_us >= until_us) {
        leg_fail(leg);
        return;
    }
    leg->state = LEG_PAUSED;
    leg->again_us = now_us + REPEAT_AGAIN_US;
}

/* Send, wait for room, or learn that there is nobody to send to. */
static pick_result_t
leg_place(leg_t *leg, int64_t now_us)
{
    for (;;) {
        pool_pick_t pick = leg_pick(leg);
        instance_t *instance;
        pick_result_t result = pool_pick(leg->pool, &pick, now_us, &instance);
        if (result == PICK_OK) {
            if (leg_send(leg, instance, false, now_us)) {
                return result;
            }
            continue; /* it is among those tried now */
        }
        if (result == PICK_FULL &&
            waiting_add(&leg->pool->waiting, leg, now_us)) {
            leg->state = LEG_WAITING;
            leg->request->waits += leg->waited ? 0 : 1;
            leg->waited = true;
        }
        return result;
    }
}

void
leg_start(leg_t *leg, int64_t now_us)
{
    if (leg_place(leg, now_us) == PICK_NONE) {
        leg_fail(leg);
    }
}

/*
 * Send once more after a send that came to nothing, now or a little later, or
 * fail. arrived: an upstream has seen it, so that it draws on the budget.
 */
static void
leg_repeat(leg_t *leg, bool arrived, int64_t now_us)
{
    request_t *request = leg->request;
    leg->hedge_us = 0;
    leg->again_us = 0;
    if (leg->attempt_count > 0) {
        return; /* another is on its way */
    }
    if (now_us >= request->deadline_us || leg->sends >= ENGINE_SENDS_MAX ||
        leg->misses > MISSES_MAX) {
        leg_fail(leg);
        return;
    }
    repeat_kind_t kind = leg_is_needed(leg) ? REPEAT_NEEDED : REPEAT_SPARE;
    if (arrived && !leg_may_repeat(leg, kind, now_us)) {
        leg_pause(leg, now_us);
        return;
    }
    if (leg_place(leg, now_us) == PICK_NONE) {
        if (arrived) {
            budget_return(&leg->pool->repeats, now_us);
        }
        /* All were tried: the same ones may do better in a while. */
        leg->tried_count = 0;
        leg_pause(leg, now_us);
        return;
    }
    request->repeats += arrived ? 1 : 0;
}

/* A leg that paused goes on. */
static void
leg_resume(leg_t *leg, int64_t now_us)
{
    if (leg->state == LEG_PAUSED && now_us >= leg->again_us) {
        leg->state = LEG_IDLE;
        leg_repeat(leg, leg->sends > 0, now_us);
    }
}

void
leg_hedge(leg_t *leg, int64_t now_us)
{
    request_t *request = leg->request;
    leg_resume(leg, now_us);
    if (leg->hedge_us == 0 || now_us < leg->hedge_us) {
        return;
    }
    leg->hedge_us = 0;
    if (leg->state != LEG_RUNNING ||
        leg->attempt_count == ENGINE_ATTEMPTS_MAX ||
        leg->sends >= ENGINE_SENDS_MAX) {
        return;
    }
    if (leg->pool->waiting.count > 0) {
        /* Work that waits comes before work that is done twice. */
        leg->hedge_us = now_us + HEDGE_AGAIN_US;
        return;
    }
    pool_pick_t pick = leg_pick(leg);
    pick.sound_only = true;
    instance_t *instance;
    if (pool_pick(leg->pool, &pick, now_us, &instance) != PICK_OK) {
        leg->hedge_us = now_us + HEDGE_AGAIN_US;
        return;
    }
    if (!leg_may_repeat(leg, REPEAT_HEDGE, now_us)) {
        leg->hedge_us = now_us + HEDGE_AGAIN_US;
        return;
    }
    if (leg_send(leg, instance, true, now_us)) {
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
leg_stop(leg_t *leg, bool may_finish, int64_t now_us)
{
    engine_t *engine = leg->request->engine;
    if (leg->state == LEG_WAITING) {
        waiting_remove(&leg->pool->waiting, leg);
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
leg_take_part(leg_t *leg, const reply_t *reply, int64_t now_us)
{
    request_t *request = leg->request;
    const buffer_t *body = &reply->message->body;
    buffer_t *signatures = &request->signatures;
    size_t length = strlen(reply->signature);
    size_t separator = buffer_size(signatures) > 0 ? 2 : 0;
    uint8_t *room = buffer_reserve(signatures, length + 3);
    if (room == NULL || !records_add(&request->records, buffer_data(body),
                                     buffer_size(body))) {
        leg_fail(leg);
        return;
    }
    /* The end of the text so far is overwritten by what follows it. */
    memcpy(room, ", ", separator);
    memcpy(room + separator, reply->signature, length);
    room[separator + length] = '\0';
    buffer_commit(signatures, separator + length);
    leg->state = LEG_DONE;
    request->gather.answered++;
    if (request->half_us == 0 &&
        2 * request->gather.answered >= request->gather.shards) {
        request->half_us = now_us - request->begun_us;
        for (uint32_t i = 0; i < request->leg_count; i++) {
            leg_expect(&request->legs[i], now_us);
        }
    }
}

/*
 * A whole response: a part, an answer to relay, or a failure. True when the
 * request was answered with it, and so is gone.
 */
static bool
leg_answered(leg_t *leg, const reply_t *reply, bool good, int64_t took_us,
             int64_t now_us)
{
    request_t *request = leg->request;
    const route_t *route = request->route;
    if (good) {
        hedge_profile_add(&request->memory->profile, took_us);
        leg_stop(leg, route->repeatable, now_us);
        if (route->kind == ROUTE_SHARDS) {
            leg_take_part(leg, reply, now_us);
            return false;
        }
    }
    else if (route->repeatable && reply->message->status >= 500 &&
             leg->may_have_run < route->attempts) {
        leg_repeat(leg, true, now_us);
        if (leg->state != LEG_FAILED) {
            return false;
        }
    }
    else if (leg->attempt_count > 0 &&
             (reply->message->status >= 500 || route->kind == ROUTE_SHARDS)) {
        return false; /* another may still answer */
    }
    if (route->kind == ROUTE_SHARDS) {
        if (leg->state != LEG_FAILED) {
            leg_fail(leg);
        }
        return false;
    }
    leg->state = LEG_DONE;
    answer_t answer = {
        .kind = ANSWER_RELAYED,
        .status = reply->message->status,
        .message = reply->message,
    };
    request_answer(request, &answer, now_us);
    return true;
}

void
leg_reply(leg_t *leg, attempt_t *attempt, const reply_t *reply, int64_t now_us)
{
    request_t *request = leg->request;
    const route_t *route = request->route;
    bool whole = reply->kind == REPLY_ANSWER;
    request->answered += whole ? 1 : 0;
    request->cut_off += reply->kind == REPLY_LOST ? 1 : 0;
    bool good = whole && reply->signature != NULL &&
                reply->message->status >= 200 && reply->message->status < 300;
    int64_t took_us = now_us - attempt->sent_us;
    leg_detach(leg, attempt);
    if (whole && reply->signature != NULL) {
        if (!leg_answered(leg, reply, good, took_us, now_us)) {
            request_progress(request, now_us);
        }
        return;
    }
    switch (reply->kind) {
    case REPLY_NOT_SENT:
        leg->may_have_run--;
        leg->sends--;
        leg->misses++;
        leg_repeat(leg, false, now_us);
        break;
    case REPLY_NOT_RUN:
    case REPLY_ELSEWHERE:
        leg->may_have_run--;
        leg_repeat(leg, true, now_us);
        break;
    default:
        if (route->repeatable && leg->may_have_run < route->attempts) {
            leg_repeat(leg, true, now_us);
        }
        else if (leg->attempt_count == 0) {
            leg_fail(leg);
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
    attempt_learn(attempt, reply, now_us);
    if (reply->kind != REPLY_ANSWER || reply->message->status >= 500) {
        attempt_log(attempt, reply, now_us);
    }
    if (request != NULL) {
        leg_reply(&request->legs[attempt->leg], attempt, reply, now_us);
    }
    attempt_free(engine, attempt);
    pool_serve(pool, now_us);
}

/*
 * Whether the answer can do without this leg while it waits: of a query's
 * legs that wait, as many as it can spare, those with most work before them.
 */
static bool
leg_is_spare(const leg_t *leg)
{
    const request_t *request = leg->request;
    if (request->route->kind != ROUTE_SHARDS) {
        return false;
    }
    const gather_t *gather = &request->gather;
    uint32_t left = gather->shards - gather->failed;
    uint32_t least = gather_least(gather);
    uint32_t longer = 0;
    for (uint32_t i = 0; i < request->leg_count; i++) {
        const leg_t *other = &request->legs[i];
        if (other->state == LEG_WAITING &&
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
leg_rank(const void *item, int64_t now_us)
{
    const leg_t *leg = item;
    const request_t *request = leg->request;
    bool late = now_us + leg_time_us(leg) > request->goal_us;
    uint32_t priority =
        request->route->priority < 255 ? request->route->priority : 255;
    return (int64_t)late << 62 | (int64_t)priority << 54 |
           (int64_t)leg_is_spare(leg) << 53 |
           (RANK_TIME_MAX - request->goal_us);
}

void
pool_serve(pool_t *pool, int64_t now_us)
{
    uint32_t tries = pool->waiting.count;
    while (tries-- > 0 && pool->waiting.count > 0) {
        leg_t *leg = waiting_take(&pool->waiting, leg_rank, now_us);
        leg->state = LEG_IDLE;
        leg_start(leg, now_us);
        if (leg->state == LEG_WAITING) {
            return; /* no room, for the others neither */
        }
        waiting_went(&pool->waiting, now_us);
        if (leg->state == LEG_FAILED) {
            request_progress(leg->request, now_us);
        }
    }
}
