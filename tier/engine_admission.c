/* Admission: from a caller's request to its first sends, or its refusal. */
#include "edge/event.h"
#include "tier/engine_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    /* A merged answer is sent this long before the goal, to allow for the
       network time of the caller's request and of the answer. */
    GOAL_MARGIN_US = 10000,
    /* The final answer is sent this long before the request's timeout. */
    DEADLINE_MARGIN_US = 10000,
    /* Between two queries that are sent although too few shards respond. */
    UNRESPONSIVE_PROBE_US = 200000,
    /* Recent requests are those of this window and the one before it; see
       route_state_spent_us. */
    TIMEOUT_WINDOW_US = 10000000,
    SPENT_GOAL_PERCENT = 50,
    /* Timeout of a request when neither the caller nor the route sets one. */
    DEFAULT_TIMEOUT_US = 10000000,
    /* Least Retry-After of 503 answers that this daemon generates; see
       request_retry_after_us. */
    REFUSAL_RETRY_AFTER_US = 150000,
    /* Retry-After of a request that another daemon can serve. */
    LEAVING_RETRY_AFTER_US = 20000,
    /* Bytes of a response besides its body, on the link. */
    RESPONSE_HEADER_BYTES = 300
};

static route_state_t *
engine_route_state(engine_t *engine, const route_t *route)
{
    route_state_t *route_state =
        strmap_find(&engine->route_states, route->name);
    if (route_state != NULL) {
        return route_state;
    }
    route_state = calloc(1, sizeof(*route_state));
    if (route_state != NULL &&
        !strmap_add(&engine->route_states, route->name, route_state)) {
        free(route_state);
        route_state = NULL;
    }
    return route_state;
}

/*
 * Choose the target of a split by smooth weighted round-robin: each target
 * gains its weight in credit per request, and the target with the most credit
 * is chosen and loses the sum of the weights. Even short runs of requests are
 * thus split by weight.
 */
static uint32_t
split_choose(route_state_t *route_state, const route_t *route,
             uint64_t version)
{
    if (route_state->split_target_count != route->target_count ||
        route_state->table_version != version) {
        double *credit =
            realloc(route_state->split_credit,
                    route->target_count * sizeof(*route_state->split_credit));
        if (credit == NULL) {
            return 0;
        }
        route_state->split_credit = credit;
        memset(credit, 0, route->target_count * sizeof(*credit));
        route_state->split_target_count = route->target_count;
        route_state->table_version = version;
    }
    double total = 0;
    uint32_t best = 0;
    for (uint32_t i = 0; i < route->target_count; i++) {
        total += route->targets[i].weight;
        route_state->split_credit[i] += route->targets[i].weight;
        if (route_state->split_credit[i] > route_state->split_credit[best]) {
            best = i;
        }
    }
    route_state->split_credit[best] -= total;
    return best;
}

static bool
request_add_subrequests(request_t *request)
{
    const route_t *route = request->route;
    engine_t *engine = request->engine;
    uint32_t first = 0;
    uint32_t count = 1;
    if (route->kind == ROUTE_SHARDS) {
        count = route->target_count;
    }
    else if (route->kind == ROUTE_SPLIT) {
        first =
            split_choose(request->route_state, route, request->table->version);
    }
    request->subrequests = calloc(count, sizeof(*request->subrequests));
    if (request->subrequests == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        subrequest_t *subrequest =
            &request->subrequests[request->subrequest_count++];
        subrequest->request = request;
        subrequest->pool = registry_pool(&engine->registry,
                                         route->targets[first + i].service);
        if (subrequest->pool == NULL) {
            return false;
        }
    }
    return true;
}

static void
engine_refuse(engine_t *engine, const call_t *call, uint32_t status,
              const char *reason, const char *cause, int64_t retry_after_us)
{
    answer_t answer = {
        .kind = ANSWER_LOCAL,
        .status = status,
        .reason = reason,
        .retry_after_us = retry_after_us,
        .is_repeatable = true,
    };
    event_log(EVENT_REQUEST_REFUSED,
              "id=%s host=%s target=%.48s status=%u reason=%s cause=%s v=%llu "
              "requests=%u",
              call->id, call->host, call->target, status, reason, cause,
              engine->table != NULL
                  ? (unsigned long long)engine->table->version
                  : 0ULL,
              engine->request_count);
    if (status == 503) {
        fair_share_note_refused(&engine->shares, call_tenant(call));
    }
    engine->ports.answer(engine->owner, call->owner, &answer);
}

static int64_t
call_timeout_us(const call_t *call, const route_t *route)
{
    int64_t timeout_us = route->timeout_us;
    if (call->timeout_us > 0 &&
        (timeout_us <= 0 || call->timeout_us < timeout_us)) {
        timeout_us = call->timeout_us;
    }
    return timeout_us > 0 ? timeout_us : DEFAULT_TIMEOUT_US;
}

uint64_t
call_fingerprint(const call_t *call)
{
    uint64_t fingerprint = XXH64(call->host, strlen(call->host), 0);
    fingerprint = XXH64(call->method, strlen(call->method), fingerprint);
    fingerprint = XXH64(call->target, strlen(call->target), fingerprint);
    return XXH64(call->body, call->body_size, fingerprint);
}

/*
 * Time that the caller had spent on the request before it sent this attempt,
 * for a new connection or on an attempt that failed. The goal counts from the
 * first attempt, and callers send how much of their time is left. The most
 * that recent requests of the route had left is taken for what all callers
 * allow.
 */
static int64_t
route_state_spent_us(route_state_t *route_state, const call_t *call,
                     int64_t now_us)
{
    if (call->timeout_us <= 0) {
        return 0;
    }
    if (now_us - route_state->timeout_window_us > TIMEOUT_WINDOW_US) {
        route_state->longest_timeout_us[1] =
            route_state->longest_timeout_us[0];
        route_state->longest_timeout_us[0] = 0;
        route_state->timeout_window_us = now_us;
    }
    if (call->timeout_us > route_state->longest_timeout_us[0]) {
        route_state->longest_timeout_us[0] = call->timeout_us;
    }
    int64_t longest_us =
        route_state->longest_timeout_us[0] > route_state->longest_timeout_us[1]
            ? route_state->longest_timeout_us[0]
            : route_state->longest_timeout_us[1];
    return longest_us - call->timeout_us;
}

/* The tenant's priority, if it has one, else the route's. */
static uint32_t
call_priority(const route_table_t *table, const route_t *route,
              const call_t *call)
{
    uint32_t index =
        call->tenant != NULL
            ? tenant_table_find_name(&table->tenants, call->tenant)
            : TENANT_NONE;
    const tenant_t *tenant =
        index != TENANT_NONE ? table->tenants.tenants[index] : NULL;
    return tenant != NULL && tenant->has_priority ? tenant->priority
                                                  : route->priority;
}

static request_t *
request_new(engine_t *engine, const call_t *call, const route_t *route,
            int64_t now_us)
{
    request_t *request = calloc(1, sizeof(*request));
    if (request == NULL) {
        return NULL;
    }
    int64_t timeout_us = call_timeout_us(call, route);
    int64_t margin_us = timeout_us / 10 < DEADLINE_MARGIN_US
                            ? timeout_us / 10
                            : DEADLINE_MARGIN_US;
    int64_t goal_us = route->goal_us > 0 ? route->goal_us : timeout_us / 2;
    request->engine = engine;
    request->call = *call;
    snprintf(request->id, sizeof(request->id), "%s", call->id);
    request->table = route_table_retain(engine->table);
    request->route = route;
    request->priority = call_priority(engine->table, route, call);
    request->arrived_us = now_us;
    request->deadline_us = now_us + timeout_us - margin_us;
    if (engine->stop_us > 0 && request->deadline_us > engine->stop_us) {
        request->deadline_us = engine->stop_us;
        request->ends_with_daemon = true;
    }
    request->fingerprint = call_fingerprint(call);
    request->route_state = engine_route_state(engine, route);
    if (request->route_state == NULL || !request_add_subrequests(request)) {
        request_free(request);
        return NULL;
    }
    int64_t spent_us =
        route_state_spent_us(request->route_state, call, now_us);
    /* A longer time was spent after a refusal, and the goal begins anew, or
       this caller allows less than the others. */
    if (spent_us > goal_us * SPENT_GOAL_PERCENT / 100) {
        spent_us = 0;
    }
    request->goal_us =
        now_us + goal_us - spent_us -
        (goal_us / 4 < GOAL_MARGIN_US ? goal_us / 4 : GOAL_MARGIN_US);
    request->gather = (gather_t){
        .shards = request->subrequest_count,
        .min_share = route->min_share,
        .goal_us = request->goal_us,
    };
    request->part_bytes = RESPONSE_HEADER_BYTES +
                          (uint32_t)request->route_state->mean_response_bytes;
    request->expected_parts = request->subrequest_count;
    engine->inbound_bytes +=
        (uint64_t)request->expected_parts * request->part_bytes;
    request->next = engine->requests;
    if (request->next != NULL) {
        request->next->prev = request;
    }
    engine->requests = request;
    engine->request_count++;
    return request;
}

/* Time that this VM's link needs for the responses to all open requests. */
int64_t
engine_link_wait_us(const engine_t *engine)
{
    return engine->settings.link_bytes_per_s > 0
               ? (int64_t)((double)engine->inbound_bytes /
                           engine->settings.link_bytes_per_s * 1e6)
               : 0;
}

static int
time_compare(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;
    return a < b ? -1 : a > b ? 1 : 0;
}

/* When so few services are left whose upstreams all rest that the answer can
   do without them; 0: already, or out of memory. */
static int64_t
request_rest_end_us(const request_t *request, int64_t now_us)
{
    uint32_t optional =
        request->route->kind == ROUTE_SHARDS
            ? request->gather.shards - gather_min_shards(&request->gather)
            : 0;
    uint32_t resting = 0;
    int64_t end_us = 0;
    int64_t *ends_us =
        malloc((request->subrequest_count + 1) * sizeof(*ends_us));
    for (uint32_t i = 0; ends_us != NULL && i < request->subrequest_count;
         i++) {
        ends_us[resting] =
            subrequest_rest_end_us(&request->subrequests[i], now_us);
        resting += ends_us[resting] > 0 ? 1 : 0;
    }
    if (resting > optional) {
        qsort(ends_us, resting, sizeof(*ends_us), time_compare);
        end_us = ends_us[resting - optional - 1];
    }
    free(ends_us);
    return end_us;
}

/*
 * Retry-After of a refusal: when the link has room and enough services accept
 * requests again, but at least REFUSAL_RETRY_AFTER_US. The random part spreads
 * the callers that return.
 */
int64_t
request_retry_after_us(const request_t *request, int64_t now_us)
{
    int64_t retry_after_us = REFUSAL_RETRY_AFTER_US;
    int64_t link_wait_us = engine_link_wait_us(request->engine);
    int64_t rest_us = request_rest_end_us(request, now_us) - now_us;
    if (link_wait_us > retry_after_us) {
        retry_after_us = link_wait_us;
    }
    if (rest_us > retry_after_us) {
        retry_after_us = rest_us;
    }
    return retry_after_us +
           (int64_t)(engine_random(request->engine) % REFUSAL_RETRY_AFTER_US);
}

/*
 * Whether enough subrequests can finish by the deadline. If not, the request
 * is refused before anything is sent, so that overloaded upstreams don't work
 * on responses that come too late.
 */
static bool
request_is_feasible(const request_t *request, int64_t now_us)
{
    uint32_t possible = 0;
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        possible += subrequest_is_feasible(&request->subrequests[i],
                                           request->deadline_us, now_us)
                        ? 1
                        : 0;
    }
    return request->route->kind == ROUTE_SHARDS
               ? possible >= gather_min_shards(&request->gather)
               : possible > 0;
}

/*
 * Whether a query over shards is refused because too many of them have stopped
 * responding: it would wait until its deadline, and the shards that respond
 * would work for nothing. One query every UNRESPONSIVE_PROBE_US is sent all
 * the same, since only requests show that the shards respond again.
 */
static bool
request_is_hopeless(const request_t *request, int64_t now_us)
{
    const gather_t *gather = &request->gather;
    route_state_t *route_state = request->route_state;
    if (request->route->kind != ROUTE_SHARDS ||
        gather_expected_shards(gather) >= gather_min_shards(gather)) {
        return false;
    }
    if (now_us - route_state->probe_us >= UNRESPONSIVE_PROBE_US) {
        route_state->probe_us = now_us;
        return false;
    }
    return true;
}

/*
 * Decide whether a query over shards is admitted, and leave out the parts that
 * would come too late; see policy/fanout.h. False: it is refused.
 */
static bool
request_plan_parts(request_t *request, int64_t now_us)
{
    if (request->route->kind != ROUTE_SHARDS) {
        return true;
    }
    fanout_part_t *parts = calloc(request->subrequest_count, sizeof(*parts));
    if (parts == NULL) {
        return true;
    }
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        parts[i] = subrequest_outlook(&request->subrequests[i], now_us);
    }
    fanout_plan_t plan = fanout_plan(parts, request->subrequest_count,
                                     gather_min_shards(&request->gather),
                                     request->goal_us - now_us);
    for (uint32_t i = 0; plan.admitted && i < request->subrequest_count; i++) {
        if (parts[i].left_out) {
            subrequest_leave_out(&request->subrequests[i]);
        }
    }
    free(parts);
    return plan.admitted;
}

/*
 * Retry-After of a query that several queues would make late. Such a shortage
 * lasts for seconds, and most callers return once: they are spread over the
 * later half of the time for which they honour it, a third of what is left.
 */
static int64_t
request_shortage_retry_us(const request_t *request, int64_t now_us)
{
    int64_t longest_us = (request->deadline_us - now_us) / 3;
    if (longest_us < 2 * REFUSAL_RETRY_AFTER_US) {
        return request_retry_after_us(request, now_us);
    }
    return longest_us / 2 + (int64_t)(engine_random(request->engine) %
                                      (uint64_t)(longest_us / 2));
}

/* Whether the link can carry the responses in time, after the displacement of
   requests of higher levels if need be. */
static bool
request_fits_link(const request_t *request, int64_t now_us)
{
    engine_t *engine = request->engine;
    while (now_us + engine_link_wait_us(engine) > request->deadline_us) {
        if (!engine_displace(engine, &request->call, request->priority,
                             now_us)) {
            return false;
        }
    }
    return true;
}

/* Why a request is refused at its arrival. */
typedef struct {
    const char *reason;
    char cause[SUBREQUESTS_TEXT_SIZE];
    int64_t retry_after_us;
} refusal_t;

/* Whether the request cannot be served in time; *refusal then says why. */
static bool
request_is_refused(request_t *request, refusal_t *refusal, int64_t now_us)
{
    const engine_t *engine = request->engine;
    if (request->ends_with_daemon && !request_is_feasible(request, now_us)) {
        refusal->reason = "leaving";
        snprintf(refusal->cause, sizeof(refusal->cause), "left_ms=%" PRId64,
                 (request->deadline_us - now_us) / 1000);
        refusal->retry_after_us = LEAVING_RETRY_AFTER_US;
        return true;
    }
    if (!request_fits_link(request, now_us)) {
        refusal->reason = "link_full";
        snprintf(refusal->cause, sizeof(refusal->cause), "inbound_kb=%llu",
                 (unsigned long long)engine->inbound_bytes / 1024);
        refusal->retry_after_us = request_retry_after_us(request, now_us);
        return true;
    }
    if (!request_is_feasible(request, now_us)) {
        refusal->reason = "no_room_in_time";
        request_describe_infeasible(request, refusal->cause,
                                    sizeof(refusal->cause), now_us);
        refusal->retry_after_us = request_retry_after_us(request, now_us);
        return true;
    }
    request_count_unresponsive(request, now_us);
    if (request_is_hopeless(request, now_us)) {
        refusal->reason = "shards_silent";
        snprintf(refusal->cause, sizeof(refusal->cause), "unresponsive=%u/%u",
                 request->gather.unresponsive, request->gather.shards);
        refusal->retry_after_us = request_retry_after_us(request, now_us);
        return true;
    }
    if (!request_plan_parts(request, now_us)) {
        refusal->reason = "late_by_queues";
        request_describe_infeasible(request, refusal->cause,
                                    sizeof(refusal->cause), now_us);
        refusal->retry_after_us = request_shortage_retry_us(request, now_us);
        return true;
    }
    return false;
}

request_t *
engine_begin(engine_t *engine, const call_t *call, int64_t now_us)
{
    if (engine->table == NULL) {
        engine_refuse(engine, call, 503, "no_configuration", "-",
                      REFUSAL_RETRY_AFTER_US);
        return NULL;
    }
    const route_t *route =
        route_table_match(engine->table, call->host, call->target);
    if (route == NULL) {
        engine_refuse(engine, call, 404, "no_route", "-", 0);
        return NULL;
    }
    engine_note_tenant(engine, call, now_us);
    if (quarantine_status(engine->quarantine, call_fingerprint(call),
                          now_us) == QUARANTINE_REFUSED) {
        engine_refuse(engine, call, 503, "crashes_upstreams", "-", 0);
        return NULL;
    }
    if (engine->request_count >= engine->settings.requests_max &&
        !engine_displace(engine, call,
                         call_priority(engine->table, route, call), now_us)) {
        engine_refuse(engine, call, 503, "too_many_requests", "-",
                      REFUSAL_RETRY_AFTER_US);
        return NULL;
    }
    request_t *request = request_new(engine, call, route, now_us);
    if (request == NULL) {
        engine_refuse(engine, call, 503, "no_memory", "-",
                      REFUSAL_RETRY_AFTER_US);
        return NULL;
    }
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        budget_count_first(&request->subrequests[i].pool->retry_budget,
                           now_us);
    }
    refusal_t refusal;
    if (request_is_refused(request, &refusal, now_us)) {
        engine_refuse(engine, call, 503, refusal.reason, refusal.cause,
                      refusal.retry_after_us);
        request_remove(request);
        return NULL;
    }
    for (uint32_t i = 0; i < request->subrequest_count; i++) {
        if (request->subrequests[i].state == SUBREQUEST_IDLE) {
            subrequest_start(&request->subrequests[i], now_us);
        }
    }
    request_displace_queued(request, now_us);
    /* If the outcome is known already, answer from the first wake-up, not
       from within engine_begin. */
    bool settled = request->subrequests[0].state == SUBREQUEST_FAILED ||
                   (route->kind == ROUTE_SHARDS &&
                    gather_evaluate(&request->gather, now_us) != GATHER_WAIT);
    if (settled) {
        request->wake_us = now_us;
        engine->ports.wake_at(engine->owner, call->owner, now_us);
    }
    else {
        request_schedule_wake(request, now_us);
    }
    return request;
}

int64_t
engine_timeout_us(const engine_t *engine, const call_t *call, int64_t now_us)
{
    const route_t *route =
        engine->table != NULL
            ? route_table_match(engine->table, call->host, call->target)
            : NULL;
    int64_t timeout_us = route != NULL          ? call_timeout_us(call, route)
                         : call->timeout_us > 0 ? call->timeout_us
                                                : DEFAULT_TIMEOUT_US;
    return engine->stop_us > 0 && now_us + timeout_us > engine->stop_us
               ? engine->stop_us - now_us
               : timeout_us;
}

void
engine_stop_at(engine_t *engine, int64_t at_us)
{
    engine->stop_us = at_us;
}

bool
engine_is_idempotent(const engine_t *engine, const call_t *call)
{
    const route_t *route =
        engine->table != NULL
            ? route_table_match(engine->table, call->host, call->target)
            : NULL;
    return route != NULL && route->idempotent;
}
