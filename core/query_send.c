#include "core/query_state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    RESTARTS_MAX = 4,
    RESTART_MIN_LEFT_US = 2000, /* with less time left a restart is useless */
    /* Rounds of a piece; each tries every eligible replica once. */
    ROUNDS_MAX = 4,
    FLEET_VIEW_ROUNDS_MAX = 100, /* while owners change */
    BACKOFF_US = 5000,           /* base; doubles with each round */
    BACKOFF_SHIFT_MAX = 4,
    BUDGET_WAIT_US = 10000, /* until the budget is asked again */
    BUDGET_WAITS_MAX = 3,
    SUSPECT_WAIT_US = 20000, /* until the retry in flight is checked again */
    /* Hedge delay without a known latency: the time left divided by this. */
    HEDGE_FALLBACK_DIVISOR = 4,
    SPARE_ATTEMPTS = 16 /* array entries beyond the first of each piece */
};

static const query_policy_t *
query_policy(const query_context_t *context)
{
    static const query_policy_t default_policy = {
        .hedge = QUERY_HEDGE_BY_HISTOGRAM};
    return context->policy != NULL ? context->policy : &default_policy;
}

static plan_criteria_t
query_criteria(const query_t *query, const query_context_t *context,
               bool hedge)
{
    uint64_t salt = query->attempt_count;
    return (plan_criteria_t){
        .config = context->config,
        .replicas = context->replicas,
        .service = query->request.service,
        .owner_silent = context->owner_silent,
        .version = query->version,
        .seed = XXH64(&salt, sizeof(salt), context->seed ^ query->id.sequence),
        .hedge = hedge,
        .random = query_policy(context)->random_replica,
    };
}

static bool
query_reserve_attempt(query_t *query)
{
    if (query->attempt_count < query->attempt_capacity) {
        return true;
    }
    size_t capacity = query->attempt_capacity == 0
                          ? query->piece_count + SPARE_ATTEMPTS
                          : query->attempt_capacity * 2;
    attempt_t *attempts =
        realloc(query->attempts, capacity * sizeof(*attempts));
    if (attempts == NULL) {
        return false;
    }
    query->attempts = attempts;
    attempt_state_t *states =
        realloc(query->attempt_states, capacity * sizeof(*states));
    if (states == NULL) {
        return false;
    }
    query->attempt_states = states;
    query->attempt_capacity = capacity;
    return true;
}

static void
action_fill(const query_t *query, size_t index, query_action_t *action)
{
    const attempt_t *attempt = &query->attempts[index];
    attempt_id_t id = query->id;
    id.attempt = (uint32_t)index;
    *action = (query_action_t){
        .upstream = attempt->upstream,
        .request =
            {
                .id = id,
                .class = query->class,
                .once = query->request.once,
                .hedge = attempt->hedge,
                .query = query->id.sequence,
                .fingerprint = query->request.fingerprint,
                .version = attempt->version,
                .generation = query->generation,
                .range = attempt->range,
                .deadline_us = query->request.deadline_us,
                .body = query->request.body,
                .body_size = query->request.body_size,
            },
    };
    memcpy(action->request.service, query->request.service, NAME_SIZE);
    memcpy(action->request.tenant, query->request.tenant, NAME_SIZE);
}

static void
action_set_upstream(const query_context_t *context, query_action_t *action)
{
    if (action->upstream != PLAN_NO_UPSTREAM) {
        const topology_t *topology = context->replicas->topology;
        memcpy(action->request.upstream,
               topology->upstreams[action->upstream].name, NAME_SIZE);
    }
}

static int64_t
hedge_time(const query_t *query, const query_context_t *context,
           uint32_t upstream, int64_t now_us)
{
    const query_policy_t *policy = query_policy(context);
    if (query->request.once || policy->hedge == QUERY_HEDGE_NONE) {
        return NEVER_US;
    }
    if (policy->hedge == QUERY_HEDGE_FIXED) {
        return now_us + policy->hedge_delay_us;
    }
    int64_t left = query->request.deadline_us - now_us;
    return now_us + replica_hedge_delay_us(context->replicas, upstream,
                                           left / HEDGE_FALLBACK_DIVISOR);
}

static bool
piece_send(query_t *query, const query_context_t *context, size_t index,
           bool hedge, int64_t now_us, query_action_t *action)
{
    piece_t *piece = &query->pieces[index];
    plan_criteria_t criteria = query_criteria(query, context, hedge);
    size_t position = 0;
    uint32_t upstream =
        plan_select_replica(&criteria, piece, &position, now_us);
    if (upstream == PLAN_NO_UPSTREAM || !query_reserve_attempt(query)) {
        return false;
    }
    size_t slot = query->attempt_count++;
    query->attempts[slot] = (attempt_t){
        .upstream = upstream,
        .range = piece->range,
        .version = query->version,
        .sent_us = now_us,
        .hedge = hedge,
        .open = true,
    };
    query->attempt_states[slot] = (attempt_state_t){
        .piece = (uint32_t)index,
        .epoch = query->epoch,
        .retry = piece->may_have_run,
    };
    query->retries_open += piece->may_have_run ? 1 : 0;
    context->replicas->replicas[upstream].in_progress++;
    piece->tried |= plan_position_bit(position);
    piece->open++;
    piece->state = PIECE_RUNNING;
    piece->hedge_at_us =
        hedge ? NEVER_US : hedge_time(query, context, upstream, now_us);
    piece->primary_attempt = hedge ? piece->primary_attempt : (uint32_t)slot;
    piece->hedged = hedge;
    action_fill(query, slot, action);
    action_set_upstream(context, action);
    return true;
}

/* Every eligible replica was tried: back off for another round or fail. */
static void
piece_next_round(query_t *query, piece_t *piece, int64_t now_us)
{
    bool awaiting_view = piece->reason == REASON_NO_UPSTREAM;
    int rounds_max = awaiting_view ? FLEET_VIEW_ROUNDS_MAX : ROUNDS_MAX;
    bool overloaded =
        piece->reason == REASON_OVERLOAD && piece->rounds + 1 >= ROUNDS_MAX;
    piece->rounds++;
    if (overloaded || piece->rounds >= rounds_max) {
        piece_fail(piece, piece->reason == REASON_NONE
                              ? REASON_NO_UPSTREAM
                              : (reason_t)piece->reason);
        return;
    }
    int shift =
        piece->rounds < BACKOFF_SHIFT_MAX ? piece->rounds : BACKOFF_SHIFT_MAX;
    int64_t wait =
        awaiting_view ? FLEET_VIEW_WAIT_US : (int64_t)BACKOFF_US << shift;
    piece->tried = 0;
    piece->not_before_us = now_us + wait;
    if (piece->not_before_us >= query->request.deadline_us) {
        piece_fail(piece, piece->reason == REASON_NONE
                              ? REASON_DEADLINE
                              : (reason_t)piece->reason);
    }
}

/* Takes count added sends from the budget, or none if they do not all fit. */
static bool
take_budget(const query_context_t *context, uint32_t count, int64_t now_us)
{
    for (uint32_t i = 0; i < count; i++) {
        if (!budget_take(context->budget, context->added_percent, now_us)) {
            while (i-- > 0) {
                budget_return(context->budget, now_us);
            }
            return false;
        }
    }
    return true;
}

/* Counts the pieces that a restart would retry. */
static uint32_t
query_restart_retries(const query_t *query)
{
    uint32_t retries = 0;
    for (size_t i = 0; i < query->piece_count; i++) {
        const piece_t *piece = &query->pieces[i];
        if (piece->state == PIECE_DONE || piece->open > 0 ||
            piece->may_have_run) {
            retries++;
        }
    }
    return retries;
}

/* Whether a split now would pin another version or generation. */
static bool
query_pin_changed(const query_t *query, const query_context_t *context)
{
    const partition_t *partition = topology_partition(
        context->replicas->topology, query->request.service);
    if (partition == NULL) {
        return false;
    }
    uint64_t version =
        plan_select_version(context->replicas, query->request.service,
                            query->pieces, query->piece_count);
    return version != query->version ||
           partition->generation != query->generation;
}

/*
 * Drops what has been merged and starts over with a newly pinned version and
 * generation. A query that may run at most once restarts only if no attempt
 * may have run.
 */
static bool
query_restart(query_t *query, const query_context_t *context, int64_t now_us)
{
    int64_t left = query->request.deadline_us - now_us;
    if (query->epoch >= RESTARTS_MAX || left < RESTART_MIN_LEFT_US ||
        !query_pin_changed(query, context)) {
        return false;
    }
    if (query->request.once && query_may_have_run(query)) {
        return false;
    }
    uint32_t retries = query_restart_retries(query);
    if (!take_budget(context, retries, now_us)) {
        return false;
    }
    query_cancel_open(query, context);
    if (!query_split(query, context)) {
        return false;
    }
    query->epoch++;
    query->retries += retries;
    range_set_release(&query->merged);
    query->count = 0;
    query->sum = 0;
    query->newer_generation_seen = false;
    return true;
}

static void
piece_restart_or_fail(query_t *query, const query_context_t *context,
                      size_t index, int64_t now_us)
{
    if (!query_restart(query, context, now_us)) {
        if (index < query->piece_count) {
            piece_fail(&query->pieces[index], REASON_NO_SNAPSHOT);
        }
    }
}

/*
 * A retry of work that may have run is added load and is taken from the
 * budget. After several lost attempts the query itself may be crashing its
 * upstreams; from then on only one retry at a time is in flight.
 */
static bool
piece_may_retry(query_t *query, const query_context_t *context, piece_t *piece,
                int64_t now_us)
{
    if (!piece->may_have_run) {
        return true;
    }
    if (query->losses >= SUSPECT_LOSSES && query->retries_open > 0) {
        piece->not_before_us = now_us + SUSPECT_WAIT_US;
        return false;
    }
    if (take_budget(context, 1, now_us)) {
        query->retries++;
        return true;
    }
    piece->budget_waits++;
    piece->not_before_us = now_us + BUDGET_WAIT_US;
    if (piece->budget_waits >= BUDGET_WAITS_MAX) {
        piece_fail(piece, REASON_LOST);
    }
    return false;
}

static bool
piece_start(query_t *query, const query_context_t *context, size_t index,
            int64_t now_us, query_action_t *action)
{
    piece_t *piece = &query->pieces[index];
    if (piece->not_before_us > now_us) {
        return false;
    }
    plan_criteria_t criteria = query_criteria(query, context, false);
    size_t position;
    if (plan_select_replica(&criteria, piece, &position, now_us) ==
        PLAN_NO_UPSTREAM) {
        if (query->version != 0 &&
            !plan_version_available(&criteria, piece, now_us)) {
            piece_restart_or_fail(query, context, index, now_us);
        }
        else if (piece->tried != 0) {
            piece_next_round(query, piece, now_us);
        }
        else {
            piece_fail(piece, REASON_NO_UPSTREAM);
        }
        return false;
    }
    if (!piece_may_retry(query, context, piece, now_us)) {
        return false;
    }
    if (!piece->counted && query->epoch == 0) {
        budget_count_first(context->budget, now_us);
    }
    piece->counted = true;
    return piece_send(query, context, index, false, now_us, action);
}

/* Whether the piece waits for a silent owner; a hedge is then due at once. */
static bool
piece_owner_is_silent(const query_t *query, const query_context_t *context,
                      const piece_t *piece)
{
    uint32_t upstream = query->attempts[piece->primary_attempt].upstream;
    return context->owner_silent != NULL && !piece->hedged &&
           !query->request.once && upstream != PLAN_NO_UPSTREAM &&
           context->owner_silent[upstream];
}

static bool
piece_hedge(query_t *query, const query_context_t *context, size_t index,
            int64_t now_us, query_action_t *action)
{
    piece_t *piece = &query->pieces[index];
    if (piece->hedge_at_us > now_us &&
        !piece_owner_is_silent(query, context, piece)) {
        return false;
    }
    piece->hedge_at_us = NEVER_US;
    plan_criteria_t criteria = query_criteria(query, context, true);
    size_t position;
    if (plan_select_replica(&criteria, piece, &position, now_us) ==
            PLAN_NO_UPSTREAM ||
        !take_budget(context, 1, now_us)) {
        return false;
    }
    if (!piece_send(query, context, index, true, now_us, action)) {
        return false;
    }
    query->hedges++;
    return true;
}

static bool
query_next_cancel(query_t *query, const query_context_t *context,
                  query_action_t *action)
{
    if (query->cancels_due == 0) {
        return false;
    }
    for (size_t i = 0; i < query->attempt_count; i++) {
        if (query->attempt_states[i].cancel_due) {
            query_clear_cancel(query, i);
            action_fill(query, i, action);
            action_set_upstream(context, action);
            return true;
        }
    }
    return false;
}

static bool
query_next_send(query_t *query, const query_context_t *context, int64_t now_us,
                query_action_t *action)
{
    while (query->next_piece < query->piece_count) {
        size_t index = query->next_piece++;
        piece_state_t state = query->pieces[index].state;
        /* Until a reply shows the version to pin, send only one piece. */
        bool probing = query->version == 0 && index > 0;
        if (state == PIECE_WAITING && !probing &&
            piece_start(query, context, index, now_us, action)) {
            return true;
        }
        if (state == PIECE_RUNNING &&
            piece_hedge(query, context, index, now_us, action)) {
            return true;
        }
    }
    query->next_piece = 0;
    return false;
}

/* Restarts when the topology has the newer generation a replica reported. */
static void
query_check_generation(query_t *query, const query_context_t *context,
                       int64_t now_us)
{
    const partition_t *partition = topology_partition(
        context->replicas->topology, query->request.service);
    if (!query->newer_generation_seen || partition == NULL ||
        partition->generation <= query->generation) {
        return;
    }
    query->newer_generation_seen = false;
    if (query_restart(query, context, now_us)) {
        return;
    }
    for (size_t i = 0; i < query->piece_count; i++) {
        if (query->pieces[i].state == PIECE_WAITING) {
            piece_fail(&query->pieces[i], REASON_NO_SNAPSHOT);
        }
    }
}

static bool
query_is_complete(const query_t *query, reason_t *reason)
{
    *reason = REASON_NONE;
    for (size_t i = 0; i < query->piece_count; i++) {
        const piece_t *piece = &query->pieces[i];
        if (piece->state == PIECE_FAILED) {
            *reason = (reason_t)piece->reason;
        }
        else if (piece->state != PIECE_DONE) {
            return false;
        }
    }
    return true;
}

/* The first piece failed before a version was pinned: no other can be sent. */
static bool
query_probe_failed(const query_t *query)
{
    return query->version == 0 && query->pieces[0].state == PIECE_FAILED;
}

query_step_t
query_next(query_t *query, const query_context_t *context, int64_t now_us,
           query_action_t *action)
{
    if (!query->finished && now_us >= query->request.deadline_us) {
        query_finish(query, REASON_DEADLINE);
    }
    if (!query->finished) {
        query_check_generation(query, context, now_us);
    }
    if (!query->finished && query_next_send(query, context, now_us, action)) {
        return QUERY_SEND;
    }
    reason_t reason;
    if (!query->finished && query_probe_failed(query)) {
        query_finish(query, (reason_t)query->pieces[0].reason);
    }
    if (!query->finished && query_is_complete(query, &reason)) {
        query_finish(query, reason);
    }
    if (query->finished) {
        query_cancel_open(query, context);
    }
    if (query_next_cancel(query, context, action)) {
        return QUERY_CANCEL;
    }
    return query->finished ? QUERY_DONE : QUERY_IDLE;
}
