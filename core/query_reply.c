#include "core/query_state.h"

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
    query_cancel_piece(query, context, index);
}

/* A retry was answered: the query did not cause the earlier losses. */
static void
query_clear_suspicion(query_t *query)
{
    query->losses = 0;
    query->retries_lost = 0;
    for (size_t i = 0; i < query->piece_count; i++) {
        if (query->pieces[i].state == PIECE_WAITING &&
            query->pieces[i].may_have_run) {
            query->pieces[i].not_before_us = 0;
        }
    }
}

/* Several retries were lost one after another: no piece is retried again. */
static void
query_fail_retries(query_t *query)
{
    for (size_t i = 0; i < query->piece_count; i++) {
        if (query->pieces[i].state == PIECE_WAITING &&
            query->pieces[i].may_have_run) {
            piece_fail(&query->pieces[i], REASON_LOST);
        }
    }
}

static void
query_count_loss(query_t *query, bool retry)
{
    query->losses++;
    if (retry && query->losses > SUSPECT_LOSSES) {
        query->retries_lost++;
    }
}

static reason_t
reason_from_status(part_status_t status)
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

/* An attempt ended without a result: fail its piece or let it be resent. */
static void
piece_handle_failure(query_t *query, size_t index, const part_reply_t *reply,
                     int64_t now_us)
{
    piece_t *piece = &query->pieces[index];
    piece->reason = (int)reason_from_status(reply->status);
    if (reply->retry_after_us > query->retry_after_us) {
        query->retry_after_us = reply->retry_after_us;
    }
    if (!reply->not_run) {
        piece->may_have_run = true;
    }
    if (piece->open > 0) {
        return;
    }
    if (query->request.once && piece->may_have_run) {
        piece_fail(piece, REASON_LOST);
        return;
    }
    if (reply->status == PART_EXPIRED) {
        piece_fail(piece, REASON_DEADLINE);
        return;
    }
    piece->state = PIECE_WAITING;
    if (reply->status == PART_MOVED && reply->generation > query->generation) {
        query->newer_generation_seen = true;
        piece->reason = REASON_NO_UPSTREAM;
        piece->not_before_us = now_us + FLEET_VIEW_WAIT_US;
    }
}

static void
attempt_record_reply(query_t *query, size_t index, const part_reply_t *reply,
                     int64_t now_us)
{
    attempt_t *attempt = &query->attempts[index];
    attempt->ended_us = now_us;
    attempt->status = reply->status;
    attempt->not_run = reply->not_run;
}

static void
query_update_replica(const query_t *query, const query_context_t *context,
                     const attempt_t *attempt, const part_reply_t *reply,
                     int64_t now_us)
{
    (void)query;
    if (attempt->upstream != PLAN_NO_UPSTREAM) {
        replica_table_record_reply(context->replicas, attempt->upstream, reply,
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
    bool current = query->attempt_states[index].epoch == query->epoch;
    if (checked.status == PART_OK && current &&
        !reply_matches(query, attempt, reply)) {
        checked.status = PART_BAD_REPLY;
        checked.not_run = false;
    }
    attempt_record_reply(query, index, &checked, now_us);
    query_update_replica(query, context, attempt, &checked, now_us);
    query_clear_cancel(query, index);
    if (!attempt->open) {
        return;
    }
    query_close_attempt(query, context, index);
    uint32_t piece = query->attempt_states[index].piece;
    bool retry = query->attempt_states[index].retry;
    if (checked.status == PART_LOST && !checked.not_run) {
        query_count_loss(query, retry);
    }
    if (query->finished || !current ||
        query->pieces[piece].state == PIECE_DONE) {
        return;
    }
    if (checked.status == PART_OK) {
        piece_merge(query, context, piece, &checked);
        if (retry) {
            query_clear_suspicion(query);
        }
    }
    else if (checked.status == PART_QUARANTINED) {
        query_finish(query, REASON_QUARANTINED);
    }
    else {
        piece_handle_failure(query, piece, &checked, now_us);
    }
    if (query->retries_lost >= SUSPECT_RETRIES_MAX) {
        query_fail_retries(query);
    }
    query->next_piece = 0;
}
