/* Attempts: each is one send to one upstream, and its result updates the
   upstream's statistics. */
#include "edge/event.h"
#include "tier/engine_state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    /* Time reserved for passing the upstream's response on to the caller. */
    RELAY_MARGIN_US = 3000,
    /* Least time between two log lines about the zone of one service. */
    ZONE_LOG_US = 1000000
};

attempt_t *
attempt_new(subrequest_t *subrequest, instance_t *instance, bool hedge,
            int64_t now_us)
{
    request_t *request = subrequest->request;
    engine_t *engine = request->engine;
    attempt_t *attempt = calloc(1, sizeof(*attempt));
    if (attempt == NULL) {
        return NULL;
    }
    attempt->request = request;
    attempt->subrequest = (uint32_t)(subrequest - request->subrequests);
    attempt->pool = subrequest->pool;
    attempt->instance = instance;
    attempt->sent_us = now_us;
    attempt->first_sent_us = subrequest->first_sent_us;
    attempt->expected_us = hedge_reference_us(&request->route_state->profile,
                                              request->route->goal_us);
    attempt->deadline_us = request->deadline_us - RELAY_MARGIN_US;
    attempt->tenant = call_tenant(&request->call);
    attempt->hedge = hedge;
    attempt->idempotent = request->route->idempotent;
    attempt->call = &request->call;
    memcpy(attempt->id, request->id, sizeof(attempt->id));
    attempt->next = engine->attempts;
    if (attempt->next != NULL) {
        attempt->next->prev = attempt;
    }
    engine->attempts = attempt;
    instance->ref_count++;
    subrequest->attempts[subrequest->attempt_count++] = attempt;
    return attempt;
}

void
attempt_free(engine_t *engine, attempt_t *attempt)
{
    if (attempt->prev != NULL) {
        attempt->prev->next = attempt->next;
    }
    else {
        engine->attempts = attempt->next;
    }
    if (attempt->next != NULL) {
        attempt->next->prev = attempt->prev;
    }
    attempt->instance->ref_count--;
    free(attempt);
}

void
engine_divide_limit(const engine_t *engine, instance_t *instance,
                    int64_t now_us)
{
    const char *id = instance->entry.id;
    rate_limit_divide(&instance->rate_limit, XXH64(id, strlen(id), 0),
                      &engine->sharers, now_us);
}

void
attempt_note_zone(engine_t *engine, attempt_t *attempt, int64_t now_us)
{
    pool_t *pool = attempt->pool;
    zone_choice_t *choice = &pool->zone_choice;
    attempt->leave_reason = pool->leave_reason;
    engine->zone_traffic.sends[attempt->leave_reason]++;
    zone_choice_note_sent(choice, attempt->leave_reason != LEAVE_NOT, now_us);
    int change = zone_choice_change(choice);
    if (change == 0 || (pool->zone_logged_us > 0 &&
                        now_us - pool->zone_logged_us < ZONE_LOG_US)) {
        return;
    }
    zone_choice_report(choice);
    pool->zone_logged_us = now_us;
    event_log(change > 0 ? EVENT_ZONE_MOSTLY_LEFT : EVENT_ZONE_MOSTLY_USED,
              "id=%s service=%s zone=%s share=%.2f reason=%s instance=%s",
              attempt->id, pool->name, engine->settings.zone,
              choice->sent_share, leave_reason_name(attempt->leave_reason),
              attempt->instance->entry.id);
}

/* Record what the response says about the rate that the upstream accepts. */
static void
attempt_record_rate(engine_t *engine, const attempt_t *attempt,
                    const reply_t *reply, int64_t now_us)
{
    instance_t *instance = attempt->instance;
    rate_limit_t *limit = &instance->rate_limit;
    if (reply->rate == RATE_LIMITED) {
        bool due = rate_limit_state(limit, reply->rate_per_s, now_us);
        engine_divide_limit(engine, instance, now_us);
        if (due) {
            event_log(EVENT_UPSTREAM_LIMITED,
                      "id=%s service=%s instance=%s per_s=%.2f share=%.2f",
                      attempt->id, attempt->pool->name, instance->entry.id,
                      limit->per_s, limit->share_per_s);
        }
    }
    else if (reply->rate == RATE_UNLIMITED && limit->stated) {
        event_log(EVENT_UPSTREAM_UNLIMITED,
                  "id=%s service=%s instance=%s for_ms=%" PRId64
                  " sent=%" PRIu64 " again=%" PRIu64,
                  attempt->id, attempt->pool->name, instance->entry.id,
                  (now_us - limit->stated_us) / 1000, limit->sent,
                  limit->sent_again);
        rate_limit_clear(limit);
    }
}

void
attempt_record_result(engine_t *engine, const attempt_t *attempt,
                      const reply_t *reply, int64_t now_us)
{
    instance_t *instance = attempt->instance;
    int64_t took_us = now_us - attempt->sent_us;
    if (reply->leaving && !instance->leaving) {
        instance->leaving = true;
        event_log(EVENT_UPSTREAM_LEAVING, "id=%s service=%s instance=%s",
                  attempt->id, attempt->pool->name, instance->entry.id);
    }
    if (reply->rest_us > 0) {
        instance_rest(instance, reply->rest_us, now_us);
        event_log(EVENT_UPSTREAM_RESTING,
                  "id=%s service=%s instance=%s rest_ms=%" PRId64, attempt->id,
                  attempt->pool->name, instance->entry.id,
                  reply->rest_us / 1000);
    }
    attempt_record_rate(engine, attempt, reply, now_us);
    attempt_note_result(attempt, reply->kind, reply->message, now_us);
    if (reply->kind == REPLY_ANSWER || reply->kind == REPLY_NOT_RUN ||
        reply->kind == REPLY_MISDIRECTED) {
        pool_note_response(attempt->pool);
        reach_note_response(&engine->reach, now_us);
    }
    switch (reply->kind) {
    case REPLY_ANSWER:
        engine->zone_traffic.bytes[attempt->leave_reason] +=
            buffer_size(&reply->message->body);
        instance_answered(instance, took_us, attempt->expected_us,
                          reply->message->status < 500, now_us);
        break;
    case REPLY_NOT_RUN:
        instance_refused(instance, now_us);
        break;
    case REPLY_MISDIRECTED:
        instance_refused(instance, now_us);
        instance->misaddressed = true;
        instance->misaddressed_us = now_us;
        break;
    case REPLY_UNFINISHED:
        instance_unfinished(instance, took_us, attempt->expected_us, now_us);
        break;
    default:
        instance_lost(instance, now_us);
        break;
    }
}

void
attempt_log(const attempt_t *attempt, const reply_t *reply, int64_t now_us)
{
    static const char *const kinds[REPLY_KINDS] = {
        [REPLY_ANSWER] = "failed",
        [REPLY_NOT_RUN] = "not_run",
        [REPLY_MISDIRECTED] = "elsewhere",
        [REPLY_NOT_SENT] = "not_sent",
        [REPLY_LOST] = "lost",
        [REPLY_UNFINISHED] = "unfinished",
    };
    event_log(EVENT_ATTEMPT_FAILED,
              "id=%s service=%s instance=%s outcome=%s status=%u detail=%s "
              "ms=%.1f badness=%.2f in_flight=%u",
              attempt->id, attempt->pool->name, attempt->instance->entry.id,
              kinds[reply->kind],
              reply->message != NULL ? reply->message->status : 0,
              reply->detail != NULL ? reply->detail : "-",
              (double)(now_us - attempt->sent_us) / 1000,
              attempt->instance->failure_rate, attempt->instance->in_flight);
}
