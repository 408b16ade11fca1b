#include "core/query.h"
#include "core/plan.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    RESTARTS_MAX = 4,
    RESTART_MIN_LEFT_US = 2000, /* with less left a restart cannot help */
    ROUNDS_MAX = 4,             /* times all replicas are gone through */
    SETTLE_ROUNDS_MAX = 100,    /* same, while ownership is in motion */
    BACKOFF_US = 5000,          /* between rounds; doubles with each */
    BACKOFF_SHIFT_MAX = 4,
    SETTLE_US = 20000, /* for an owner or a partition to be known */
    BUDGET_WAIT_US = 10000,
    BUDGET_WAITS_MAX = 3,
    SUSPECT_LOSSES = 2, /* losses after which the query may be their cause */
    SUSPECT_TRIES = 2,  /* repeats lost one by one before it is given up */
    SUSPECT_WAIT_US = 20000,    /* for the end of the repeat that went ahead */
    HEDGE_FALLBACK_DIVISOR = 4, /* of the time left, while nothing is known */
    ATTEMPTS_START = 16
};

#define NEVER_US INT64_MAX

/* What the query keeps of an attempt beside what explanations show. */
typedef struct {
    uint32_t piece;
    uint32_t epoch; /* restart it belongs to */
    bool cancel_due;
    bool repeat; /* an earlier attempt may have run */
} try_t;

struct query {
    query_request_t request;
    attempt_id_t id;
    class_t class;
    uint64_t version; /* pinned; 0 until known */
    uint64_t generation;
    uint32_t epoch; /* restarts so far */
    piece_t *pieces;
    size_t piece_count;
    size_t cursor;
    attempt_t *attempts;
    try_t *tries;
    size_t attempt_count;
    size_t attempt_capacity;
    size_t cancels_due;
    range_set_t merged;
    uint64_t count;
    uint64_t sum;
    uint32_t hedges;
    uint32_t retries;
    uint32_t dropped;
    uint32_t losses;       /* since a repeat last succeeded */
    uint32_t repeats_lost; /* while under suspicion */
    uint32_t repeats_open;
    bool moved; /* a replica is at a newer generation */
    bool finished;
    reason_t reason;
    int64_t retry_after_us;
};

static bool
query_cut(query_t *query, const query_context_t *context)
{
    const partition_t *partition = topology_partition(
        context->replicas->topology, query->request.service);
    if (partition == NULL) {
        return false;
    }
    piece_t *pieces;
    size_t count = plan_cut(partition, query->request.range, &pieces);
    if (count == 0) {
        free(pieces);
        return false;
    }
    free(query->pieces);
    query->pieces = pieces;
    query->piece_count = count;
    query->cursor = 0;
    query->generation = partition->generation;
    query->version =
        plan_version(context->replicas, query->request.service, pieces, count);
    return true;
}

query_t *
query_new(const query_request_t *request, const query_context_t *context,
          attempt_id_t id, int64_t now_us)
{
    (void)now_us;
    const table_row_t *row = config_row(context->config, request->service);
    query_t *query = calloc(1, sizeof(*query));
    if (query == NULL || row == NULL) {
        free(query);
        return NULL;
    }
    query->request = *request;
    query->id = id;
    query->class = row->class;
    range_set_init(&query->merged);
    if (!query_cut(query, context)) {
        query_free(query);
        return NULL;
    }
    return query;
}

void
query_free(query_t *query)
{
    if (query == NULL) {
        return;
    }
    range_set_release(&query->merged);
    free(query->pieces);
    free(query->attempts);
    free(query->tries);
    free(query);
}

static bool
attempt_may_have_run(const attempt_t *attempt)
{
    return attempt->open || !attempt->not_run;
}

static bool
query_may_have_run(const query_t *query)
{
    for (size_t i = 0; i < query->attempt_count; i++) {
        if (attempt_may_have_run(&query->attempts[i])) {
            return true;
        }
    }
    return false;
}

static void
attempt_close(query_t *query, const query_context_t *context, size_t index)
{
    attempt_t *attempt = &query->attempts[index];
    try_t *try = &query->tries[index];
    attempt->open = false;
    query->repeats_open -= try->repeat ? 1 : 0;
    if (try->epoch == query->epoch) {
        query->pieces[try->piece].open--;
    }
    if (attempt->upstream != PLAN_NO_UPSTREAM) {
        replica_t *replica = &context->replicas->replicas[attempt->upstream];
        replica->in_progress -= replica->in_progress > 0 ? 1 : 0;
    }
}

/* An attempt given up while open stays "may have run" for the outcome. */
static void
attempt_cancel(query_t *query, size_t index)
{
    if (!query->tries[index].cancel_due) {
        query->tries[index].cancel_due = true;
        query->cancels_due++;
    }
}

static void
attempt_forget_cancel(query_t *query, size_t index)
{
    if (query->tries[index].cancel_due) {
        query->tries[index].cancel_due = false;
        query->cancels_due--;
    }
}

static void
piece_cancel_open(query_t *query, const query_context_t *context, size_t piece)
{
    for (size_t i = 0; i < query->attempt_count; i++) {
        if (query->attempts[i].open && query->tries[i].piece == piece &&
            query->tries[i].epoch == query->epoch) {
            attempt_close(query, context, i);
            attempt_cancel(query, i);
        }
    }
}

static void
query_cancel_open(query_t *query, const query_context_t *context)
{
    for (size_t i = 0; i < query->attempt_count; i++) {
        if (query->attempts[i].open) {
            attempt_close(query, context, i);
            attempt_cancel(query, i);
        }
    }
}

static void
query_finish(query_t *query, reason_t reason)
{
    if (query->finished) {
        return;
    }
    query->finished = true;
    if (query->reason == REASON_NONE) {
        query->reason = reason;
    }
}

void
query_cancel(query_t *query, reason_t reason)
{
    query_finish(query, reason);
}

static void
piece_fail(piece_t *piece, reason_t reason)
{
    piece->state = PIECE_FAILED;
    piece->reason = (int)reason;
}

static const query_policy_t *
query_policy(const query_context_t *context)
{
    static const query_policy_t usual = {.hedge = QUERY_HEDGE_BY_HISTOGRAM};
    return context->policy != NULL ? context->policy : &usual;
}

static plan_choice_t
query_choice(const query_t *query, const query_context_t *context, bool hedge)
{
    uint64_t salt = query->attempt_count;
    return (plan_choice_t){
        .config = context->config,
        .replicas = context->replicas,
        .service = query->request.service,
        .doubtful = context->doubtful,
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
                          ? query->piece_count + ATTEMPTS_START
                          : query->attempt_capacity * 2;
    attempt_t *attempts =
        realloc(query->attempts, capacity * sizeof(*attempts));
    if (attempts == NULL) {
        return false;
    }
    query->attempts = attempts;
    try_t *tries = realloc(query->tries, capacity * sizeof(*tries));
    if (tries == NULL) {
        return false;
    }
    query->tries = tries;
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
action_name_upstream(const query_context_t *context, query_action_t *action)
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
    plan_choice_t choice = query_choice(query, context, hedge);
    size_t position = 0;
    uint32_t upstream = plan_replica(&choice, piece, &position, now_us);
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
    query->tries[slot] = (try_t){
        .piece = (uint32_t)index,
        .epoch = query->epoch,
        .repeat = piece->repeats,
    };
    query->repeats_open += piece->repeats ? 1 : 0;
    context->replicas->replicas[upstream].in_progress++;
    piece->tried |= plan_position_bit(position);
    piece->open++;
    piece->state = PIECE_RUNNING;
    piece->hedge_at_us =
        hedge ? NEVER_US : hedge_time(query, context, upstream, now_us);
    piece->attempt = hedge ? piece->attempt : (uint32_t)slot;
    piece->hedged = hedge;
    action_fill(query, slot, action);
    action_name_upstream(context, action);
    return true;
}

/* Every replica was asked: wait and go through them again, or give up. */
static void
piece_next_round(query_t *query, piece_t *piece, int64_t now_us)
{
    bool settling = piece->reason == REASON_NO_UPSTREAM;
    int most = settling ? SETTLE_ROUNDS_MAX : ROUNDS_MAX;
    bool hopeless =
        piece->reason == REASON_OVERLOAD && piece->rounds + 1 >= ROUNDS_MAX;
    piece->rounds++;
    if (hopeless || piece->rounds >= most) {
        piece_fail(piece, piece->reason == REASON_NONE
                              ? REASON_NO_UPSTREAM
                              : (reason_t)piece->reason);
        return;
    }
    int shift =
        piece->rounds < BACKOFF_SHIFT_MAX ? piece->rounds : BACKOFF_SHIFT_MAX;
    int64_t wait = settling ? SETTLE_US : (int64_t)BACKOFF_US << shift;
    piece->tried = 0;
    piece->not_before_us = now_us + wait;
    if (piece->not_before_us >= query->request.deadline_us) {
        piece_fail(piece, piece->reason == REASON_NONE
                              ? REASON_DEADLINE
                              : (reason_t)piece->reason);
    }
}

/* All of count added sends, or none. */
static bool
take_added(const query_context_t *context, uint32_t count, int64_t now_us)
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

/* Sums over the pieces of a restart that would be sent a second time. */
static uint32_t
query_repeats_of_restart(const query_t *query)
{
    uint32_t repeats = 0;
    for (size_t i = 0; i < query->piece_count; i++) {
        const piece_t *piece = &query->pieces[i];
        if (piece->state == PIECE_DONE || piece->open > 0 || piece->repeats) {
            repeats++;
        }
    }
    return repeats;
}

/* Whether another version or generation than the pinned one is to be had. */
static bool
query_has_other_pin(const query_t *query, const query_context_t *context)
{
    const partition_t *partition = topology_partition(
        context->replicas->topology, query->request.service);
    if (partition == NULL) {
        return false;
    }
    uint64_t version = plan_version(context->replicas, query->request.service,
                                    query->pieces, query->piece_count);
    return version != query->version ||
           partition->generation != query->generation;
}

static bool
query_restart(query_t *query, const query_context_t *context, int64_t now_us)
{
    int64_t left = query->request.deadline_us - now_us;
    if (query->epoch >= RESTARTS_MAX || left < RESTART_MIN_LEFT_US ||
        !query_has_other_pin(query, context)) {
        return false;
    }
    if (query->request.once && query_may_have_run(query)) {
        return false;
    }
    uint32_t repeats = query_repeats_of_restart(query);
    if (!take_added(context, repeats, now_us)) {
        return false;
    }
    query_cancel_open(query, context);
    if (!query_cut(query, context)) {
        return false;
    }
    query->epoch++;
    query->retries += repeats;
    range_set_release(&query->merged);
    query->count = 0;
    query->sum = 0;
    query->moved = false;
    return true;
}

static void
piece_no_snapshot(query_t *query, const query_context_t *context, size_t index,
                  int64_t now_us)
{
    if (!query_restart(query, context, now_us)) {
        if (index < query->piece_count) {
            piece_fail(&query->pieces[index], REASON_NO_SNAPSHOT);
        }
    }
}

/*
 * A repeat of work that may have run is added load and needs a token. When
 * several parts were lost the query itself may crash what runs it: then one
 * repeat goes ahead, and the others wait for its end.
 */
static bool
piece_may_repeat(query_t *query, const query_context_t *context,
                 piece_t *piece, int64_t now_us)
{
    if (!piece->repeats) {
        return true;
    }
    if (query->losses >= SUSPECT_LOSSES && query->repeats_open > 0) {
        piece->not_before_us = now_us + SUSPECT_WAIT_US;
        return false;
    }
    if (take_added(context, 1, now_us)) {
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
    plan_choice_t choice = query_choice(query, context, false);
    size_t position;
    if (plan_replica(&choice, piece, &position, now_us) == PLAN_NO_UPSTREAM) {
        if (query->version != 0 &&
            !plan_version_possible(&choice, piece, now_us)) {
            piece_no_snapshot(query, context, index, now_us);
        }
        else if (piece->tried != 0) {
            piece_next_round(query, piece, now_us);
        }
        else {
            piece_fail(piece, REASON_NO_UPSTREAM);
        }
        return false;
    }
    if (!piece_may_repeat(query, context, piece, now_us)) {
        return false;
    }
    if (!piece->counted && query->epoch == 0) {
        budget_first(context->budget, now_us);
    }
    piece->counted = true;
    return piece_send(query, context, index, false, now_us, action);
}

/* The owner that the piece waits for has gone silent: no use in waiting. */
static bool
piece_is_stuck(const query_t *query, const query_context_t *context,
               const piece_t *piece)
{
    uint32_t upstream = query->attempts[piece->attempt].upstream;
    return context->doubtful != NULL && !piece->hedged &&
           !query->request.once && upstream != PLAN_NO_UPSTREAM &&
           context->doubtful[upstream];
}

static bool
piece_hedge(query_t *query, const query_context_t *context, size_t index,
            int64_t now_us, query_action_t *action)
{
    piece_t *piece = &query->pieces[index];
    if (piece->hedge_at_us > now_us &&
        !piece_is_stuck(query, context, piece)) {
        return false;
    }
    piece->hedge_at_us = NEVER_US;
    plan_choice_t choice = query_choice(query, context, true);
    size_t position;
    if (plan_replica(&choice, piece, &position, now_us) == PLAN_NO_UPSTREAM ||
        !take_added(context, 1, now_us)) {
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
        if (query->tries[i].cancel_due) {
            attempt_forget_cancel(query, i);
            action_fill(query, i, action);
            action_name_upstream(context, action);
            return true;
        }
    }
    return false;
}

static bool
query_next_send(query_t *query, const query_context_t *context, int64_t now_us,
                query_action_t *action)
{
    while (query->cursor < query->piece_count) {
        size_t index = query->cursor++;
        piece_state_t state = query->pieces[index].state;
        /* Until a reply has told a version, one piece goes ahead. */
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
    query->cursor = 0;
    return false;
}

/* Replicas are at a newer generation and the topology knows it by now. */
static void
query_check_moved(query_t *query, const query_context_t *context,
                  int64_t now_us)
{
    const partition_t *partition = topology_partition(
        context->replicas->topology, query->request.service);
    if (!query->moved || partition == NULL ||
        partition->generation <= query->generation) {
        return;
    }
    query->moved = false;
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
query_is_settled(const query_t *query, reason_t *reason)
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

/* The first piece failed before a version was known: nothing can follow. */
static bool
query_probe_failed(const query_t *query)
{
    return query->version == 0 && query->pieces[0].state == PIECE_FAILED;
}

query_verdict_t
query_next(query_t *query, const query_context_t *context, int64_t now_us,
           query_action_t *action)
{
    if (!query->finished && now_us >= query->request.deadline_us) {
        query_finish(query, REASON_DEADLINE);
    }
    if (!query->finished) {
        query_check_moved(query, context, now_us);
    }
    if (!query->finished && query_next_send(query, context, now_us, action)) {
        return QUERY_SEND;
    }
    reason_t reason;
    if (!query->finished && query_probe_failed(query)) {
        query_finish(query, (reason_t)query->pieces[0].reason);
    }
    if (!query->finished && query_is_settled(query, &reason)) {
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

static bool
reply_matches(const query_t *query, const attempt_t *attempt,
              const part_reply_t *reply)
{
    return reply->range.lo == attempt->range.lo &&
           reply->range.hi == attempt->range.hi && reply->version != 0 &&
           (query->version == 0 || reply->version == query->version) &&
           reply->generation == query->generation;
}

static void
piece_merge(query_t *query, const query_context_t *context, size_t index,
            const part_reply_t *reply)
{
    piece_t *piece = &query->pieces[index];
    if (query->version == 0) {
        query->version = reply->version;
    }
    if (range_set_overlaps(&query->merged, piece->range) ||
        !range_set_add(&query->merged, piece->range)) {
        query->dropped++;
        return;
    }
    query->count += reply->count;
    query->sum += reply->sum;
    piece->state = PIECE_DONE;
    piece->reason = REASON_NONE;
    piece_cancel_open(query, context, index);
}

/* A repeat was answered: the losses were not the query's doing. */
static void
query_clear_suspicion(query_t *query)
{
    query->losses = 0;
    query->repeats_lost = 0;
    for (size_t i = 0; i < query->piece_count; i++) {
        if (query->pieces[i].state == PIECE_WAITING &&
            query->pieces[i].repeats) {
            query->pieces[i].not_before_us = 0;
        }
    }
}

/* Repeats were lost one after another: nothing more is repeated. */
static void
query_give_up_repeats(query_t *query)
{
    for (size_t i = 0; i < query->piece_count; i++) {
        if (query->pieces[i].state == PIECE_WAITING &&
            query->pieces[i].repeats) {
            piece_fail(&query->pieces[i], REASON_LOST);
        }
    }
}

static void
query_note_loss(query_t *query, bool repeat)
{
    query->losses++;
    if (repeat && query->losses > SUSPECT_LOSSES) {
        query->repeats_lost++;
    }
}

static reason_t
reason_of(part_status_t status)
{
    switch (status) {
    case PART_SHED:
    case PART_LIMITED:
    case PART_COLD:
        return REASON_OVERLOAD;
    case PART_EXPIRED:
        return REASON_DEADLINE;
    case PART_GONE:
    case PART_NOT_OWNER:
        return REASON_NO_UPSTREAM;
    case PART_NO_VERSION:
    case PART_MOVED:
        return REASON_NO_SNAPSHOT;
    case PART_QUARANTINED:
        return REASON_QUARANTINED;
    case PART_CANCELLED:
        return REASON_CANCELLED;
    default:
        return REASON_LOST;
    }
}

/* The attempt ended without a result: what comes next for its piece. */
static void
piece_unanswered(query_t *query, size_t index, const part_reply_t *reply,
                 int64_t now_us)
{
    piece_t *piece = &query->pieces[index];
    piece->reason = (int)reason_of(reply->status);
    if (reply->retry_after_us > query->retry_after_us) {
        query->retry_after_us = reply->retry_after_us;
    }
    if (!reply->not_run) {
        piece->repeats = true;
    }
    if (piece->open > 0) {
        return;
    }
    if (query->request.once && piece->repeats) {
        piece_fail(piece, REASON_LOST);
        return;
    }
    if (reply->status == PART_EXPIRED) {
        piece_fail(piece, REASON_DEADLINE);
        return;
    }
    piece->state = PIECE_WAITING;
    if (reply->status == PART_MOVED && reply->generation > query->generation) {
        query->moved = true;
        piece->reason = REASON_NO_UPSTREAM;
        piece->not_before_us = now_us + SETTLE_US;
    }
}

static void
attempt_settle(query_t *query, size_t index, const part_reply_t *reply,
               int64_t now_us)
{
    attempt_t *attempt = &query->attempts[index];
    attempt->ended_us = now_us;
    attempt->status = reply->status;
    attempt->not_run = reply->not_run;
}

static void
query_learn(const query_t *query, const query_context_t *context,
            const attempt_t *attempt, const part_reply_t *reply,
            int64_t now_us)
{
    (void)query;
    if (attempt->upstream != PLAN_NO_UPSTREAM) {
        replica_table_learn(context->replicas, attempt->upstream, reply,
                            now_us - attempt->sent_us, now_us);
    }
}

void
query_reply(query_t *query, const query_context_t *context,
            const part_reply_t *reply, int64_t now_us)
{
    size_t index = reply->id.attempt;
    bool ours = reply->id.incarnation == query->id.incarnation &&
                reply->id.sequence == query->id.sequence &&
                index < query->attempt_count;
    if (!ours || query->attempts[index].ended_us != 0) {
        query->dropped++;
        return;
    }
    part_reply_t checked = *reply;
    attempt_t *attempt = &query->attempts[index];
    bool current = query->tries[index].epoch == query->epoch;
    if (checked.status == PART_OK && current &&
        !reply_matches(query, attempt, reply)) {
        checked.status = PART_BAD_REPLY;
        checked.not_run = false;
    }
    attempt_settle(query, index, &checked, now_us);
    query_learn(query, context, attempt, &checked, now_us);
    attempt_forget_cancel(query, index);
    if (!attempt->open) {
        return;
    }
    attempt_close(query, context, index);
    uint32_t piece = query->tries[index].piece;
    bool repeat = query->tries[index].repeat;
    if (checked.status == PART_LOST && !checked.not_run) {
        query_note_loss(query, repeat);
    }
    if (query->finished || !current ||
        query->pieces[piece].state == PIECE_DONE) {
        return;
    }
    if (checked.status == PART_OK) {
        piece_merge(query, context, piece, &checked);
        if (repeat) {
            query_clear_suspicion(query);
        }
    }
    else if (checked.status == PART_QUARANTINED) {
        query_finish(query, REASON_QUARANTINED);
    }
    else {
        piece_unanswered(query, piece, &checked, now_us);
    }
    if (query->repeats_lost >= SUSPECT_TRIES) {
        query_give_up_repeats(query);
    }
    query->cursor = 0;
}

void
query_follow(query_t *query, const topology_t *before, const topology_t *after)
{
    for (size_t i = 0; i < query->attempt_count; i++) {
        attempt_t *attempt = &query->attempts[i];
        if (attempt->upstream == PLAN_NO_UPSTREAM) {
            continue;
        }
        const char *name = before->upstreams[attempt->upstream].name;
        int index = topology_upstream(after, name);
        attempt->upstream = index < 0 ? PLAN_NO_UPSTREAM : (uint32_t)index;
    }
    for (size_t i = 0; i < query->piece_count; i++) {
        query->pieces[i].tried = 0;
        if (query->moved && query->pieces[i].state == PIECE_WAITING) {
            query->pieces[i].not_before_us = 0;
        }
    }
}

int64_t
query_wakeup(const query_t *query)
{
    if (query->finished || query->cancels_due > 0) {
        return 0;
    }
    int64_t next = query->request.deadline_us;
    for (size_t i = 0; i < query->piece_count; i++) {
        const piece_t *piece = &query->pieces[i];
        int64_t at = NEVER_US;
        if (piece->state == PIECE_WAITING && (query->version != 0 || i == 0)) {
            at = piece->not_before_us;
        }
        else if (piece->state == PIECE_RUNNING) {
            at = piece->hedge_at_us;
        }
        next = at < next ? at : next;
    }
    return next;
}

static outcome_t
query_outcome(const query_t *query, uint64_t covered)
{
    if (covered == key_range_size(query->request.range)) {
        return OUTCOME_WHOLE;
    }
    bool may_have_run = query_may_have_run(query);
    if (covered == 0) {
        return may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
    }
    if (!query->request.once) {
        return OUTCOME_PARTIAL;
    }
    for (size_t i = 0; i < query->attempt_count; i++) {
        const attempt_t *attempt = &query->attempts[i];
        bool merged = attempt->ended_us != 0 && attempt->status == PART_OK;
        if (!merged && attempt_may_have_run(attempt)) {
            return OUTCOME_UNKNOWN;
        }
    }
    return OUTCOME_PARTIAL;
}

void
query_answer(const query_t *query, query_answer_t *answer)
{
    uint64_t covered = range_set_size(&query->merged);
    *answer = (query_answer_t){
        .outcome = query_outcome(query, covered),
        .version = covered > 0 ? query->version : 0,
        .generation = query->generation,
        .asked = key_range_size(query->request.range),
        .covered = covered,
        .count = query->count,
        .sum = query->sum,
        .pieces = (uint32_t)query->piece_count,
        .attempts = (uint32_t)query->attempt_count,
        .hedges = query->hedges,
        .retries = query->retries,
        .restarts = query->epoch,
        .dropped = query->dropped,
        .suspect = query->repeats_lost >= SUSPECT_TRIES,
        .retry_after_us = query->retry_after_us,
    };
    answer->reason =
        answer->outcome == OUTCOME_WHOLE ? REASON_NONE : query->reason;
    size_t missing = range_set_missing(&query->merged, query->request.range,
                                       answer->missing, QUERY_MISSING_MAX);
    answer->missing_count =
        missing < QUERY_MISSING_MAX ? missing : QUERY_MISSING_MAX;
}

size_t
query_attempts(const query_t *query, const attempt_t **attempts)
{
    *attempts = query->attempts;
    return query->attempt_count;
}
