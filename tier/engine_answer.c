/* The course of an admitted request until its answer. */
#include "edge/event.h"
#include "tier/engine_state.h"

#include <stdlib.h>

void
request_free(request_t *request)
{
    free(request->subrequests);
    buffer_release(&request->records.bytes);
    buffer_release(&request->signatures);
    route_table_release(request->table);
    free(request);
}

void
request_remove(request_t *request)
{
    engine_t *engine = request->engine;
    if (request->prev != NULL) {
        request->prev->next = request->next;
    }
    else {
        engine->requests = request->next;
    }
    if (request->next != NULL) {
        request->next->prev = request->prev;
    }
    engine->request_count--;
    engine->inbound_bytes -=
        (uint64_t)request->expected_parts * request->part_bytes;
    request_free(request);
}

/* Count a suspected crash when a request ends without any response and its
   lost sends number at least half of its subrequests. If any send got a
   response, report that success for the fingerprint instead. */
static void
request_check_crash(const request_t *request, int64_t now_us)
{
    engine_t *engine = request->engine;
    if (request->answered_sends > 0) {
        quarantine_record_success(engine->quarantine, request->fingerprint,
                                  now_us);
        return;
    }
    if (request->lost_sends == 0 ||
        request->lost_sends < request->subrequest_count / 2) {
        return;
    }
    event_log(EVENT_REQUEST_SUSPECTED, "id=%s fingerprint=%016llx cut_off=%u",
              request->id, (unsigned long long)request->fingerprint,
              request->lost_sends);
    engine_suspect(engine, request->fingerprint, now_us);
    if (engine->ports.suspect != NULL) {
        engine->ports.suspect(engine->owner, request->fingerprint);
    }
}

bool
request_may_have_run(const request_t *request)
{
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        if (request->subrequests[i].may_have_run > 0) {
            return true;
        }
    }
    return false;
}

void
request_answer(request_t *request, const answer_t *answer, int64_t now_us)
{
    engine_t *engine = request->engine;
    static const char *const kinds[] = {
        [ANSWER_RELAYED] = "relayed",
        [ANSWER_MERGED] = "merged",
        [ANSWER_LOCAL] = "own",
    };
    request_log(request, kinds[answer->kind], answer->status,
                answer->reason != NULL ? answer->reason : "-", now_us);
    if (answer->status >= 200 && answer->status < 300) {
        hist_add(&request->route_state->latency, now_us - request->arrived_us);
    }
    request_check_crash(request, now_us);
    engine->ports.answer(engine->owner, request->call.owner, answer);
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        subrequest_stop(&request->subrequests[i], request->route->idempotent,
                        now_us);
    }
    request_remove(request);
}

void
engine_cancel(engine_t *engine, request_t *request, int64_t now_us)
{
    (void)engine;
    request_log(request, "left", 0, "caller_gone", now_us);
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        subrequest_stop(&request->subrequests[i], false, now_us);
    }
    request_remove(request);
}

void
request_part_arrived(request_t *request)
{
    if (request->expected_parts > 0) {
        request->expected_parts--;
        request->engine->inbound_bytes -= request->part_bytes;
    }
}

/* Answer with an error. 503 promises that no upstream ran any part of the
   request; 502 and 504 (late) make no such promise. */
static void
request_fail(request_t *request, const char *reason, bool late, int64_t now_us)
{
    answer_t answer = {
        .kind = ANSWER_LOCAL,
        .reason = reason,
        .may_have_run = request_may_have_run(request),
    };
    answer.is_repeatable = !answer.may_have_run || request->route->idempotent;
    if (answer.may_have_run) {
        answer.status = late ? 504 : 502;
    }
    else {
        answer.status = 503;
        answer.retry_after_us = request_retry_after_us(request, now_us);
    }
    request_answer(request, &answer, now_us);
}

static void
request_merge(request_t *request, int64_t now_us)
{
    size_t size = records_top(&request->records, request->route->top_k);
    answer_t answer = {
        .kind = ANSWER_MERGED,
        .status = 200,
        .signatures = (const char *)buffer_data(&request->signatures),
        .missing_shards = request->gather.shards - request->gather.answered,
        .body = buffer_data(&request->records.bytes),
        .body_size = size,
    };
    request_answer(request, &answer, now_us);
}

/* Time of the next event of the request that needs a wake-up. */
static int64_t
request_next_wake_us(const request_t *request, int64_t now_us)
{
    int64_t next_us = request->deadline_us;
    if (request->route->kind == ROUTE_SHARDS && now_us < request->goal_us &&
        request->goal_us < next_us) {
        next_us = request->goal_us;
    }
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        const subrequest_t *subrequest = &request->subrequests[i];
        if (subrequest->hedge_us > 0 && subrequest->hedge_us < next_us) {
            next_us = subrequest->hedge_us;
        }
        if (subrequest->retry_us > 0 && subrequest->retry_us < next_us) {
            next_us = subrequest->retry_us;
        }
    }
    return next_us > now_us ? next_us : now_us;
}

void
request_schedule_wake(request_t *request, int64_t now_us)
{
    int64_t next_us = request_next_wake_us(request, now_us);
    if (request->wake_us != 0 && request->wake_us <= next_us) {
        return;
    }
    request->wake_us = next_us;
    request->engine->ports.wake_at(request->engine->owner, request->call.owner,
                                   next_us);
}

/* Count the pending shards whose services don't respond. */
void
request_count_unresponsive(request_t *request, int64_t now_us)
{
    request->gather.unresponsive = 0;
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        const subrequest_t *subrequest = &request->subrequests[i];
        if (subrequest->state != SUBREQUEST_DONE &&
            subrequest->state != SUBREQUEST_FAILED &&
            subrequest_is_unresponsive(subrequest, now_us)) {
            request->gather.unresponsive++;
        }
    }
}

void
request_progress(request_t *request, int64_t now_us)
{
    if (request->route->kind != ROUTE_SHARDS) {
        if (request->subrequests[0].state == SUBREQUEST_FAILED) {
            request_fail(request, "no_upstream_left", false, now_us);
            return;
        }
    }
    else {
        request_count_unresponsive(request, now_us);
        switch (gather_evaluate(&request->gather, now_us)) {
        case GATHER_ANSWER:
            request_merge(request, now_us);
            return;
        case GATHER_IMPOSSIBLE:
            request_fail(request, "too_few_shards", false, now_us);
            return;
        default:
            break;
        }
    }
    if (now_us >= request->deadline_us) {
        request_fail(request, "deadline", true, now_us);
        return;
    }
    request_schedule_wake(request, now_us);
}

void
engine_give_up_unreached(engine_t *engine, int64_t now_us)
{
    for (request_t *request = engine->requests, *next; request != NULL;
         request = next) {
        next = request->next;
        bool repeatable =
            request->route->idempotent || !request_may_have_run(request);
        bool enough =
            request->route->kind == ROUTE_SHARDS &&
            request->gather.answered >= gather_min_shards(&request->gather);
        if (repeatable && !enough) {
            request_fail(request, "upstreams_unreachable", false, now_us);
        }
    }
}

/* Whether any part of the request is or was at an upstream. */
static bool
request_was_sent(const request_t *request)
{
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        if (request->subrequests[i].sends > 0 ||
            request->subrequests[i].attempt_count > 0) {
            return true;
        }
    }
    return false;
}

void
engine_recheck_tenants(engine_t *engine, int64_t now_us)
{
    const route_table_t *table = engine->table;
    static const answer_t refusal = {
        .kind = ANSWER_LOCAL,
        .status = 401,
        .reason = "key_removed",
    };
    for (request_t *request = engine->requests, *next; request != NULL;
         request = next) {
        next = request->next;
        const call_t *call = &request->call;
        if (request->table == table || request_was_sent(request)) {
            continue;
        }
        const route_t *route =
            route_table_match(table, call->host, call->target);
        if (!tenant_recheck(table, route, &call->credential, call->tenant)) {
            event_log(EVENT_REQUEST_REFUSED,
                      "id=%s target=%.48s status=401 reason=key_removed "
                      "tenant=%s v=%llu",
                      request->id, call->target, call->tenant,
                      (unsigned long long)table->version);
            request_answer(request, &refusal, now_us);
        }
        else if (table->needs_keys && !request->table->needs_keys &&
                 call->credential.key != NULL) {
            /* Its head has the key, which upstreams must not get any more. */
            request_fail(request, "configuration_changed", false, now_us);
        }
    }
}

void
engine_fail_all(engine_t *engine, int64_t now_us)
{
    while (engine->requests != NULL) {
        request_fail(engine->requests, "leaving", true, now_us);
    }
}

void
engine_wake(engine_t *engine, request_t *request, int64_t now_us)
{
    (void)engine;
    request->wake_us = 0;
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        subrequest_wake(&request->subrequests[i], now_us);
    }
    request_progress(request, now_us);
}
