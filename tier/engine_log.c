/* Log lines about requests. */
#include "edge/event.h"
#include "tier/engine_state.h"

#include <stdio.h>

enum {
    SUBREQUEST_TEXT_SIZE = 96 /* bytes for one shard in a log line, at most */
};

/* Write the shards without a response: service, instance or state, and
   milliseconds since the send. */
static void
format_unfinished(const request_t *request, char *text, size_t size,
                  int64_t now_us)
{
    size_t length = 0;
    text[0] = '\0';
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        const subrequest_t *subrequest = &request->subrequests[i];
        if (subrequest->state == SUBREQUEST_DONE ||
            size - length < SUBREQUEST_TEXT_SIZE) {
            continue;
        }
        const attempt_t *attempt =
            subrequest->attempt_count > 0 ? subrequest->attempts[0] : NULL;
        length += (size_t)snprintf(
            text + length, size - length, "%s%s:%s:%.0f",
            length > 0 ? "," : "", subrequest->pool->name,
            attempt != NULL ? attempt->instance->entry.id
            : subrequest->state == SUBREQUEST_QUEUED        ? "waiting"
            : subrequest->state == SUBREQUEST_RETRY_DELAYED ? "paused"
                                                            : "failed",
            attempt != NULL ? (double)(now_us - attempt->sent_us) / 1000 : 0);
    }
}

void
request_log(const request_t *request, const char *event, uint32_t status,
            const char *reason, int64_t now_us)
{
    uint32_t done = 0;
    uint32_t sends = 0;
    char open[SUBREQUESTS_TEXT_SIZE];
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        done += request->subrequests[i].state == SUBREQUEST_DONE ? 1 : 0;
        sends += request->subrequests[i].sends;
    }
    format_unfinished(request, open, sizeof(open), now_us);
    char last[SUBREQUEST_TEXT_SIZE] = "-";
    if (request->last_part != NULL) {
        snprintf(last, sizeof(last), "%s:%u:%.0f",
                 request->last_part->pool->name, request->last_part->sends,
                 (double)(request->last_part_us - request->arrived_us) / 1000);
    }
    event_log(
        EVENT_REQUEST_ANSWERED,
        "id=%s target=%.48s route=%s tenant=%s v=%llu %s status=%u reason=%s "
        "ms=%.1f goal_ms=%.0f parts=%u/%u sends=%u hedges=%u repeats=%u "
        "waits=%u ran=%d last=%s open=%s",
        request->id, request->call.target, request->route->name,
        request->call.tenant != NULL ? request->call.tenant : "-",
        (unsigned long long)request->table->version, event, status, reason,
        (double)(now_us - request->arrived_us) / 1000,
        (double)request->route->goal_us / 1000, done,
        request->subrequest_count, sends, request->hedges, request->retries,
        request->queued, request_may_have_run(request), last,
        open[0] != '\0' ? open : "-");
}

void
request_describe_infeasible(const request_t *request, char *text, size_t size,
                            int64_t now_us)
{
    size_t length = 0;
    text[0] = '\0';
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        const subrequest_t *subrequest = &request->subrequests[i];
        if (size - length >= SUBREQUEST_TEXT_SIZE &&
            !subrequest_is_feasible(subrequest, request->deadline_us,
                                    now_us)) {
            length += (size_t)snprintf(
                text + length, size - length,
                "%s%s:listed=%u:room=%u:waiting=%u", length > 0 ? "," : "",
                subrequest->pool->name, subrequest->pool->count,
                subrequest_capacity(subrequest, now_us),
                subrequest->pool->queue.count);
        }
    }
}
