#include "core/query_state.h"

#include <stdlib.h>
#include <string.h>

bool
query_split(query_t *query, const query_context_t *context)
{
    const partition_t *partition = topology_partition(
        context->replicas->topology, query->request.service);
    if (partition == NULL) {
        return false;
    }
    piece_t *pieces;
    size_t count = plan_split(partition, query->request.range, &pieces);
    if (count == 0) {
        free(pieces);
        return false;
    }
    free(query->pieces);
    query->pieces = pieces;
    query->piece_count = count;
    query->next_piece = 0;
    query->generation = partition->generation;
    query->version = plan_select_version(
        context->replicas, query->request.service, pieces, count);
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
    if (!query_split(query, context)) {
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
    free(query->attempt_states);
    free(query);
}

static bool
attempt_may_have_run(const attempt_t *attempt)
{
    return attempt->open || !attempt->not_run;
}

bool
query_may_have_run(const query_t *query)
{
    for (size_t i = 0; i < query->attempt_count; i++) {
        if (attempt_may_have_run(&query->attempts[i])) {
            return true;
        }
    }
    return false;
}

void
query_close_attempt(query_t *query, const query_context_t *context,
                    size_t index)
{
    attempt_t *attempt = &query->attempts[index];
    attempt_state_t *state = &query->attempt_states[index];
    attempt->open = false;
    query->retries_open -= state->retry ? 1 : 0;
    if (state->epoch == query->epoch) {
        query->pieces[state->piece].open--;
    }
    if (attempt->upstream != PLAN_NO_UPSTREAM) {
        replica_t *replica = &context->replicas->replicas[attempt->upstream];
        replica->in_progress -= replica->in_progress > 0 ? 1 : 0;
    }
}

/*
 * Marks a cancellation as due. For the outcome the attempt still counts as
 * one that may have run, unless a later reply proves that it did not.
 */
static void
attempt_cancel(query_t *query, size_t index)
{
    if (!query->attempt_states[index].cancel_due) {
        query->attempt_states[index].cancel_due = true;
        query->cancels_due++;
    }
}

void
query_clear_cancel(query_t *query, size_t index)
{
    if (query->attempt_states[index].cancel_due) {
        query->attempt_states[index].cancel_due = false;
        query->cancels_due--;
    }
}

void
query_cancel_piece(query_t *query, const query_context_t *context,
                   size_t piece)
{
    for (size_t i = 0; i < query->attempt_count; i++) {
        if (query->attempts[i].open &&
            query->attempt_states[i].piece == piece &&
            query->attempt_states[i].epoch == query->epoch) {
            query_close_attempt(query, context, i);
            attempt_cancel(query, i);
        }
    }
}

void
query_cancel_open(query_t *query, const query_context_t *context)
{
    for (size_t i = 0; i < query->attempt_count; i++) {
        if (query->attempts[i].open) {
            query_close_attempt(query, context, i);
            attempt_cancel(query, i);
        }
    }
}

void
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

void
piece_fail(piece_t *piece, reason_t reason)
{
    piece->state = PIECE_FAILED;
    piece->reason = (int)reason;
}

void
query_set_topology(query_t *query, const topology_t *before,
                   const topology_t *after)
{
    for (size_t i = 0; i < query->attempt_count; i++) {
        attempt_t *attempt = &query->attempts[i];
        if (attempt->upstream == PLAN_NO_UPSTREAM) {
            continue;
        }
        const char *name = before->upstreams[attempt->upstream].name;
        int index = topology_upstream_index(after, name);
        attempt->upstream = index < 0 ? PLAN_NO_UPSTREAM : (uint32_t)index;
    }
    for (size_t i = 0; i < query->piece_count; i++) {
        query->pieces[i].tried = 0;
        if (query->newer_generation_seen &&
            query->pieces[i].state == PIECE_WAITING) {
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
        .suspect = query->retries_lost >= SUSPECT_RETRIES_MAX,
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
