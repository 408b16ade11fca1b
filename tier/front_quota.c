/* The token that each request of a tenant takes; see policy/quota.h. */
#include "edge/event.h"
#include "http/loop_clock.h"
#include "tier/front_state.h"

#include <inttypes.h>

enum {
    /* A request that waits for a loan looks for it at this interval. */
    LOAN_POLL_US = 2000
};

static void
quota_refuse(exchange_t *exchange, pending_t *pending, int64_t retry_after_us)
{
    answer_t answer = {
        .kind = ANSWER_LOCAL,
        .status = 429,
        .reason = "over_quota",
        .retry_after_us = retry_after_us,
    };
    event_log(EVENT_REQUEST_REFUSED,
              "id=%s tenant=%.64s host=%.64s target=%.48s status=429 "
              "reason=%s retry_after_ms=%" PRId64,
              pending->id, pending->call.tenant, pending->call.host,
              pending->call.target, answer.reason, retry_after_us / 1000);
    front_answer_error(exchange, &answer);
}

bool
front_take_token(exchange_t *exchange, pending_t *pending, int64_t now_us)
{
    front_t *front = pending->front;
    if (front->quota_ops == NULL || pending->call.tenant == NULL) {
        pending->quota_until_us = 0;
        return true;
    }
    quota_decision_t decision = front->quota_ops->take(
        front->quota_owner, &pending->call, pending->quota_until_us, now_us);
    switch (decision.verdict) {
    case QUOTA_ADMITTED:
        pending->quota_until_us = 0;
        pending->has_token = true;
        return true;
    case QUOTA_WAITS:
        pending->quota_until_us = decision.until_us;
        exchange_wake_at(exchange, now_us + LOAN_POLL_US);
        return false;
    default:
        quota_refuse(exchange, pending, decision.retry_after_us);
        return false;
    }
}

void
front_return_token(pending_t *pending)
{
    front_t *front = pending->front;
    if (pending->has_token) {
        pending->has_token = false;
        front->quota_ops->give_back(front->quota_owner, &pending->call,
                                    loop_now_us());
    }
}
