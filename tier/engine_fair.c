/* Tenants in the engine: usage, the order it leads to, and displacement. */
#include "edge/event.h"
#include "tier/engine_state.h"

enum {
    LEVEL_BITS = 3,    /* for FAIR_LEVEL_MAX */
    PRIORITY_MAX = 255 /* greater ones count as this */
};

tenant_id_t
call_tenant(const call_t *call)
{
    return call->tenant != NULL ? call->tenant_id : TENANT_NONE;
}

/* The level that the tenant's requests are ordered by. */
static uint32_t
call_level(const engine_t *engine, const call_t *call)
{
    return engine->settings.ignore_levels
               ? 0
               : fair_share_level(&engine->shares, call_tenant(call));
}

uint32_t
request_standing(const request_t *request)
{
    uint32_t priority =
        request->priority < PRIORITY_MAX ? request->priority : PRIORITY_MAX;
    return priority << LEVEL_BITS |
           call_level(request->engine, &request->call);
}

static int64_t
subrequest_standing(const void *item, int64_t now_us)
{
    const subrequest_t *subrequest = item;
    (void)now_us;
    return request_standing(subrequest->request);
}

int64_t
subrequest_wait_us(const subrequest_t *subrequest, int64_t now_us)
{
    const wait_queue_t *queue = &subrequest->pool->queue;
    const request_t *request = subrequest->request;
    if (call_tenant(&request->call) == TENANT_NONE ||
        request->engine->settings.ignore_levels) {
        return wait_queue_estimate_us(queue, now_us);
    }
    return wait_queue_estimate_behind_us(queue, request_standing(request),
                                         subrequest_standing, now_us);
}

void
engine_note_tenant(engine_t *engine, const call_t *call, int64_t now_us)
{
    tenant_id_t tenant = call_tenant(call);
    fair_share_note_request(&engine->shares, tenant, now_us);
    if (!fair_share_report_due(&engine->shares, tenant, now_us)) {
        return;
    }
    event_log(EVENT_TENANT_ABOVE_PART,
              "tenant=%s level=%u usage_ms=%.0f part_ms=%.0f active=%u",
              call->tenant, fair_share_level(&engine->shares, tenant),
              fair_share_usage_ms(&engine->shares, tenant, now_us),
              fair_share_part_ms(&engine->shares, tenant, now_us),
              engine->shares.active_count);
}

void
attempt_add_cost(engine_t *engine, const attempt_t *attempt, int64_t now_us)
{
    fair_share_add_cost(&engine->shares, attempt->tenant,
                        now_us - attempt->sent_us, now_us);
}

bool
engine_displace(engine_t *engine, const call_t *call, uint32_t priority,
                int64_t now_us)
{
    request_t *victim = NULL;
    uint32_t highest = call_level(engine, call);
    for (request_t *request = engine->requests;
         request != NULL && call_tenant(call) != TENANT_NONE;
         request = request->next) {
        uint32_t level = call_level(engine, &request->call);
        if (level > highest && request->priority >= priority &&
            !request_may_have_run(request)) {
            victim = request;
            highest = level;
        }
    }
    if (victim == NULL) {
        return false;
    }
    fair_share_note_shortage(&engine->shares, now_us);
    request_fail(victim, "displaced", false, now_us);
    return true;
}

/* The queued request of the highest level above that of `than` that has not
   run and has no precedence over it; NULL: there is none. */
static const subrequest_t *
pool_last_in_line(const pool_t *pool, const request_t *than)
{
    uint32_t level = call_level(than->engine, &than->call);
    const subrequest_t *last = NULL;
    for (uint32_t i = 0; i < pool->queue.count; i++) {
        const subrequest_t *queued = pool->queue.items[i];
        const request_t *request = queued->request;
        uint32_t queued_level = call_level(request->engine, &request->call);
        if (queued_level > level && request->priority >= than->priority &&
            !request_may_have_run(request)) {
            last = queued;
            level = queued_level;
        }
    }
    return last;
}

void
request_displace_queued(request_t *request, int64_t now_us)
{
    engine_t *engine = request->engine;
    if (call_tenant(&request->call) == TENANT_NONE ||
        engine->settings.ignore_levels) {
        return;
    }
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        const subrequest_t *own = &request->subrequests[i];
        if (own->state != SUBREQUEST_QUEUED) {
            continue;
        }
        const subrequest_t *last = pool_last_in_line(own->pool, request);
        if (last != NULL && now_us + subrequest_wait_us(last, now_us) +
                                    subrequest_estimate_us(last) >
                                last->request->deadline_us) {
            request_fail(last->request, "displaced", false, now_us);
        }
    }
}
