#include "standin/lib/upstream.h"

#include "standin/lib/service.h"
#include "standin/lib/wire.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define HANG_US INT64_C(60000000)       /* until a hung request is closed */
#define DRAIN_GRACE_US INT64_C(5000000) /* until starts are violations */
#define HEALTH_LAG_US INT64_C(2000000)  /* until the snapshot is replaced */

void
upstream_schedule(upstream_t *upstream)
{
    if (!upstream->is_pending) {
        upstream->is_pending = true;
        upstream->next_pending = upstream->worker->pending;
        upstream->worker->pending = upstream;
    }
}

void
upstream_count(const upstream_t *upstream, event_t event, uint64_t count)
{
    if (count > 0) {
        ledger_add(upstream->ledger, upstream->counters, event, count);
    }
}

static void
connections_close(const upstream_t *upstream)
{
    for (const connection_t *c = upstream->connections; c != NULL;
         c = c->next) {
        (void)shutdown(c->fd, SHUT_RDWR);
    }
}

void
upstream_drop(upstream_t *upstream)
{
    for (request_t *r = upstream->worker->waiting; r != NULL; r = r->next) {
        if (r->upstream != upstream || r->step == STEP_CLOSE) {
            continue;
        }
        if (r->step == STEP_RUNNING) {
            ledger_end(upstream->ledger, upstream->counters, r->slots);
            replica_drop(&upstream->replica, r->slots);
        }
        r->step = STEP_CLOSE;
        r->due_us = 0;
    }
    connections_close(upstream);
}

void
upstream_crash(upstream_t *upstream, int64_t now_us)
{
    upstream_count(upstream, EVENT_CRASH, 1);
    upstream_drop(upstream);
    replica_crash(&upstream->replica, now_us);
}

void
request_reply(request_t *request, unsigned status, json_t *reply)
{
    request->step = STEP_DONE;
    request->status = status;
    request->reply = reply;
}

static void
request_shed(request_t *request, admit_t decision)
{
    static const event_t events[ADMIT_COUNT] = {
        [ADMIT_SHED] = EVENT_SLOT_VIOLATION,
        [ADMIT_SHED_COLD] = EVENT_COLD_EXCESS,
        [ADMIT_SHED_COLD_REPORTED] = EVENT_COLD_VIOLATION,
    };
    upstream_t *upstream = request->upstream;
    upstream_count(upstream, EVENT_SHED, 1);
    if (!upstream->replica.state.shed) {
        upstream_count(upstream, events[decision], 1);
    }
    request_reply(request, 503, wire_format_shed(&upstream->replica));
}

/*
 * Records the parts that start in the ledger. Returns whether one of them
 * crashes the upstream.
 */
static bool
request_record_start(request_t *request, int64_t now_us)
{
    upstream_t *upstream = request->upstream;
    const replica_t *replica = &upstream->replica;
    bool crashes = false;
    for (size_t i = 0; i < request->part_count; i++) {
        const run_part_t *part = &request->parts[i];
        if (part->status != RUN_OK) {
            continue;
        }
        ledger_start(upstream->ledger, upstream->counters, part->body,
                     part->once, part->range, now_us);
        crashes = crashes || replica_body_crashes(part->body);
    }
    if (replica->state.drain && now_us > replica->drain_us + DRAIN_GRACE_US) {
        upstream_count(upstream, EVENT_DRAIN_VIOLATION, request->slots);
    }
    return crashes;
}

static void
request_format_reply(request_t *request, int64_t now_us)
{
    upstream_t *upstream = request->upstream;
    replica_t *replica = &upstream->replica;
    uint64_t ended[RUN_STATUS_COUNT] = {0};
    for (size_t i = 0; i < request->part_count; i++) {
        ended[request->parts[i].status]++;
    }
    upstream_count(upstream, EVENT_OK, ended[RUN_OK]);
    upstream_count(upstream, EVENT_NO_VERSION, ended[RUN_NO_VERSION]);
    upstream_count(upstream, EVENT_MOVED, ended[RUN_MOVED]);
    upstream_count(upstream, EVENT_EXPIRED, ended[RUN_EXPIRED]);
    upstream_count(upstream, EVENT_FAILED, ended[RUN_FAILED]);
    if (replica->state.cold && replica->cold_reported_us == 0) {
        replica->cold_reported_us = now_us;
    }
    request_reply(
        request, 200,
        wire_format_reply(replica, request->parts, request->part_count));
}

/* Runs or refuses the request, once its connection is set up. */
static void
request_begin(request_t *request, int64_t now_us)
{
    upstream_t *upstream = request->upstream;
    replica_t *replica = &upstream->replica;
    request->slots =
        replica_check(replica, request->parts, request->part_count, now_us);
    if (request->slots == 0) {
        request_format_reply(request, now_us);
        return;
    }
    admit_t decision = replica_admit(replica, request->slots, now_us);
    if (decision != ADMIT_RUN) {
        request_shed(request, decision);
        return;
    }
    if (request_record_start(request, now_us)) {
        ledger_end(upstream->ledger, upstream->counters, request->slots);
        upstream_crash(upstream, now_us);
        request->step = STEP_CLOSE;
        return;
    }
    request->step = STEP_RUNNING;
    request->due_us =
        replica_start(replica, request->parts, request->part_count, now_us);
    if (replica->state.hang) {
        request->due_us = now_us + HANG_US;
    }
}

static void
request_finish(request_t *request, int64_t now_us)
{
    upstream_t *upstream = request->upstream;
    const replica_state_t *state = &upstream->replica.state;
    ledger_end(upstream->ledger, upstream->counters, request->slots);
    replica_finish(&upstream->replica, request->slots);
    request_format_reply(request, now_us);
    if (state->close_after_run || state->hang) {
        request->step = STEP_CLOSE;
    }
}

static bool
request_parse(request_t *request, int64_t now_us)
{
    request->body = json_loadb(request->text, request->size, 0, NULL);
    request->parts = calloc(REPLICA_PARTS_MAX, sizeof(*request->parts));
    return request->parts != NULL &&
           wire_parse_parts(request->body,
                            request->upstream->replica.plan->name, now_us,
                            request->parts, &request->part_count);
}

void
request_serve_parts(request_t *request, const char *id)
{
    (void)id;
    int64_t now_us = service_now_us();
    if (!request_parse(request, now_us)) {
        request_reply(request, 400, json_pack("{s:s}", "error", "malformed"));
        return;
    }
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        request->mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    const connection_t *connection = info->socket_context;
    request->step = STEP_CONNECTING;
    request->due_us = connection->ready_us;
    if (request->due_us <= now_us) {
        request_begin(request, now_us);
    }
}

/*
 * Cancels the part with this id in a waiting request; false: the request has
 * no such part. A running request ends at once if all its parts have ended.
 */
static bool
request_cancel(request_t *request, const char *id)
{
    bool found = false;
    size_t left = 0;
    for (size_t i = 0; i < request->part_count; i++) {
        run_part_t *part = &request->parts[i];
        if (strcmp(part->id, id) == 0) {
            found = true;
            part->deadline_us = 0;
            part->status = part->status == RUN_OK ? RUN_FAILED : part->status;
        }
        left += part->status == RUN_OK;
    }
    if (found && request->step == STEP_RUNNING && left == 0) {
        request->due_us = 0;
    }
    return found;
}

void
request_serve_cancel(request_t *request, const char *id)
{
    const upstream_t *upstream = request->upstream;
    bool found = false;
    for (request_t *r = upstream->worker->waiting; r != NULL && !found;
         r = r->next) {
        found = r->upstream == upstream && request_cancel(r, id);
    }
    upstream_count(upstream, EVENT_CANCELLED, found);
    request_reply(request, found ? 202 : 404, json_object());
}

void
request_serve_health(request_t *request, const char *id)
{
    (void)id;
    upstream_t *upstream = request->upstream;
    int64_t now_us = service_now_us();
    json_t *now = wire_format_health(&upstream->replica);
    if (upstream->health == NULL) {
        upstream->health = json_incref(now);
        upstream->health_us = now_us;
    }
    request_reply(request, 200, json_incref(upstream->health));
    if (now_us > upstream->health_us + HEALTH_LAG_US) {
        json_decref(upstream->health);
        upstream->health = json_incref(now);
        upstream->health_us = now_us;
    }
    json_decref(now);
}

void
request_advance(request_t *request, int64_t now_us)
{
    if (request->due_us > now_us) {
        return;
    }
    if (request->step == STEP_CONNECTING) {
        request_begin(request, now_us);
    }
    else if (request->step == STEP_RUNNING) {
        request_finish(request, now_us);
    }
}
