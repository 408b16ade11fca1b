#include "daemon/admission.h"
#include "edge/event.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* A part that waits in the gate or the send queue, or was sent upstream. */
typedef struct {
    attempt_id_t id;
    uint64_t origin; /* incarnation of the coordinator */
    part_request_t request;
    char *body;
    int64_t arrived_us;
    int64_t sent_us; /* 0: waiting */
    bool not_owned;  /* this worker no longer owns its upstream */
    UT_hash_handle hh;
} pending_part_t;

typedef struct {
    uint64_t origin;
    part_reply_t reply;
} outgoing_reply_t;

enum {
    COLD_CHECK_INTERVAL_US = 500000,    /* between checks for cold upstreams */
    HEALTH_CHECK_INTERVAL_US = 2000000, /* between checks of one upstream */
    HEALTH_CHECK_GAP_MIN_US = 10000     /* between any two checks */
};

struct admission {
    admission_settings_t settings;
    fleet_view_t *view;
    uint32_t *owned; /* indexes into the view's topology */
    size_t owned_count;
    gate_upstream_t *last_report; /* owned upstreams at the last cold check */
    size_t last_report_count;
    int64_t last_report_us;
    size_t next_health_index;
    int64_t next_health_us;
    gate_t *gate;
    upstream_client_t *client;
    pending_part_t *pending_parts;
    pending_part_t **send_queue; /* admitted, sent by the end of the step */
    size_t send_queue_count;
    size_t send_queue_capacity;
    outgoing_reply_t *outgoing;
    size_t outgoing_count;
    size_t outgoing_capacity;
    size_t not_owned_count; /* pending parts with not_owned set */
    int64_t now_us;
};

unsigned
admission_worker_of(const char *upstream, unsigned worker_count)
{
    return (unsigned)(XXH64(upstream, strlen(upstream), 0) % worker_count);
}

/* Grows an array to hold one more item. Returns false if memory is out. */
static bool
array_reserve(void **array, size_t count, size_t *capacity, size_t size)
{
    if (count < *capacity) {
        return true;
    }
    size_t grown_capacity = *capacity == 0 ? 64 : *capacity * 2;
    void *grown = realloc(*array, grown_capacity * size);
    if (grown == NULL) {
        return false;
    }
    *array = grown;
    *capacity = grown_capacity;
    return true;
}

static void
reply_queue_add(admission_t *a, uint64_t origin, const part_reply_t *reply)
{
    if (array_reserve((void **)&a->outgoing, a->outgoing_count,
                      &a->outgoing_capacity, sizeof(*a->outgoing))) {
        a->outgoing[a->outgoing_count++] = (outgoing_reply_t){
            .origin = origin,
            .reply = *reply,
        };
    }
}

/* clang-tidy counts the statements of uthash's macros as the function's. */
/* NOLINTBEGIN(readability-function-size) */
static pending_part_t *
part_find(admission_t *a, attempt_id_t id)
{
    /*
     * uthash compares whole structs, so the padding of the key must be zero,
     * as it is in all stored ids.
     */
    attempt_id_t key;
    memset(&key, 0, sizeof(key));
    key.incarnation = id.incarnation;
    key.sequence = id.sequence;
    key.attempt = id.attempt;
    pending_part_t *part = NULL;
    HASH_FIND(hh, a->pending_parts, &key, sizeof(key), part);
    return part;
}
/* NOLINTEND(readability-function-size) */

static void
part_remove(admission_t *a, pending_part_t *part)
{
    HASH_DEL(a->pending_parts, part);
    a->not_owned_count -= part->not_owned ? 1 : 0;
    free(part->body);
    free(part);
}

static void
part_end(admission_t *a, pending_part_t *part, const part_reply_t *reply)
{
    part_reply_t timed_reply = *reply;
    int64_t sent_us = part->sent_us != 0 ? part->sent_us : a->now_us;
    timed_reply.queue_us = sent_us - part->arrived_us;
    a->settings.stats->owner_part_statuses[reply->status]++;
    if (part->sent_us == 0) {
        a->settings.stats->refused_parts++;
    }
    reply_queue_add(a, part->origin, &timed_reply);
    part_remove(a, part);
}

static void
on_result(void *context, const part_reply_t *reply,
          const gate_result_t *result)
{
    admission_t *a = context;
    pending_part_t *part = part_find(a, reply->id);
    gate_finish(a->gate, reply->id, result, a->now_us);
    if (part != NULL) {
        part_end(a, part, reply);
    }
}

static void
on_partition(void *context, const partition_t *partition)
{
    admission_t *a = context;
    a->settings.partition(a->settings.context, partition);
}

static void
on_health(void *context, const char *upstream, bool cold, bool draining)
{
    admission_t *a = context;
    gate_record_health(a->gate, upstream, cold, draining, a->now_us);
}

admission_t *
admission_new(const admission_settings_t *settings, error_t *err)
{
    admission_t *a = calloc(1, sizeof(*a));
    if (a == NULL) {
        error_set(err, STATUS_NO_MEMORY, "start admission", "-",
                  "out of memory");
        return NULL;
    }
    a->settings = *settings;
    upstream_callbacks_t callbacks = {
        .context = a,
        .result = on_result,
        .partition = on_partition,
        .health = on_health,
    };
    a->gate = gate_new(&settings->gate);
    a->client = settings->upstream->new (&callbacks, err);
    if (a->gate == NULL || a->client == NULL) {
        admission_free(a);
        return NULL;
    }
    return a;
}

void
admission_free(admission_t *a)
{
    if (a == NULL) {
        return;
    }
    if (a->client != NULL) {
        a->settings.upstream->free(a->client);
    }
    pending_part_t *part = NULL;
    pending_part_t *next = NULL;
    HASH_ITER(hh, a->pending_parts, part, next)
    {
        part_remove(a, part);
    }
    gate_free(a->gate);
    fleet_view_put(a->view);
    free(a->owned);
    free(a->last_report);
    free(a->send_queue);
    free(a->outgoing);
    free(a);
}

static bool
is_owned(const admission_t *a, const fleet_view_t *view, size_t index)
{
    const upstream_info_t *upstream = &view->topology->upstreams[index];
    return view->active[index] &&
           admission_worker_of(upstream->name, a->settings.worker_count) ==
               a->settings.worker;
}

static bool
owns_upstream(const admission_t *a, const char *upstream)
{
    int index = a->view == NULL
                    ? -1
                    : topology_upstream_index(a->view->topology, upstream);
    return index >= 0 && is_owned(a, a->view, (size_t)index);
}

/* Marks pending parts whose upstreams this worker no longer owns. */
static void
mark_not_owned(admission_t *a)
{
    pending_part_t *part = NULL;
    pending_part_t *next = NULL;
    HASH_ITER(hh, a->pending_parts, part, next)
    {
        if (!part->not_owned && !owns_upstream(a, part->request.upstream)) {
            part->not_owned = true;
            a->not_owned_count++;
        }
    }
}

void
admission_set_view(admission_t *a, fleet_view_t *view, int64_t now_us)
{
    size_t count = view->topology->upstream_count;
    uint32_t *owned = calloc(count > 0 ? count : 1, sizeof(*owned));
    if (owned == NULL) {
        return;
    }
    size_t owned_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (is_owned(a, view, i)) {
            owned[owned_count++] = (uint32_t)i;
        }
    }
    fleet_view_t *before = a->view;
    a->view = fleet_view_get(view);
    a->now_us = now_us;
    if (view->config != NULL) {
        gate_configure(a->gate, view->config, view->topology, owned,
                       owned_count, now_us);
    }
    free(a->owned);
    a->owned = owned;
    a->owned_count = owned_count;
    mark_not_owned(a);
    fleet_view_put(before);
}

static void
refuse_part(admission_t *a, uint64_t origin, attempt_id_t id,
            part_status_t status)
{
    part_reply_t reply = {.id = id, .status = status, .not_run = true};
    a->settings.stats->owner_part_statuses[status]++;
    a->settings.stats->refused_parts++;
    reply_queue_add(a, origin, &reply);
}

/* NOLINTBEGIN(readability-function-size) */
static pending_part_t *
part_add(admission_t *a, uint64_t origin, const part_request_t *request)
{
    pending_part_t *part = calloc(1, sizeof(*part));
    char *body = malloc(request->body_size + 1);
    if (part == NULL || body == NULL) {
        free(part);
        free(body);
        return NULL;
    }
    if (request->body_size > 0) {
        memcpy(body, request->body, request->body_size);
    }
    body[request->body_size] = '\0';
    part->id.incarnation = request->id.incarnation;
    part->id.sequence = request->id.sequence;
    part->id.attempt = request->id.attempt;
    part->origin = origin;
    part->request = *request;
    part->request.body = body;
    part->body = body;
    part->arrived_us = a->now_us;
    HASH_ADD(hh, a->pending_parts, id, sizeof(part->id), part);
    return part;
}
/* NOLINTEND(readability-function-size) */

static void
send_queue_add(admission_t *a, pending_part_t *part)
{
    if (array_reserve((void **)&a->send_queue, a->send_queue_count,
                      &a->send_queue_capacity, sizeof(*a->send_queue))) {
        a->send_queue[a->send_queue_count++] = part;
    }
}

static void
admit_part(admission_t *a, uint64_t origin, const part_request_t *request)
{
    if (!owns_upstream(a, request->upstream)) {
        refuse_part(a, origin, request->id, PART_NOT_OWNER);
        return;
    }
    if (part_find(a, request->id) != NULL) {
        return;
    }
    pending_part_t *part = part_add(a, origin, request);
    if (part == NULL) {
        refuse_part(a, origin, request->id, PART_LIMITED);
        return;
    }
    part_reply_t refusal;
    gate_decision_t decision =
        gate_submit(a->gate, &part->request, a->now_us, &refusal);
    if (decision == GATE_SEND) {
        send_queue_add(a, part);
    }
    else if (decision == GATE_REFUSE) {
        part_end(a, part, &refusal);
    }
}

void
admission_submit(admission_t *a, uint64_t incarnation,
                 const part_request_t *requests, size_t count, int64_t now_us)
{
    a->now_us = now_us;
    for (size_t i = 0; i < count; i++) {
        admit_part(a, incarnation, &requests[i]);
    }
}

/* Ends an admitted part that was not sent, and frees its slot in the gate. */
static void
withdraw_part(admission_t *a, pending_part_t *part, part_status_t status)
{
    gate_result_t result = {.status = status};
    part_reply_t reply = {
        .id = part->id,
        .status = status,
        .not_run = true,
    };
    gate_finish(a->gate, part->id, &result, a->now_us);
    part_end(a, part, &reply);
}

/* Removes a part from the send queue; false: it is not queued. */
static bool
send_queue_remove(admission_t *a, const pending_part_t *part)
{
    for (size_t i = 0; i < a->send_queue_count; i++) {
        if (a->send_queue[i] == part) {
            a->send_queue_count--;
            memmove(&a->send_queue[i], &a->send_queue[i + 1],
                    (a->send_queue_count - i) * sizeof(*a->send_queue));
            return true;
        }
    }
    return false;
}

static void
cancel_part(admission_t *a, pending_part_t *part)
{
    if (gate_cancel(a->gate, part->id)) {
        part_reply_t reply = {
            .id = part->id,
            .status = PART_CANCELLED,
            .not_run = true,
        };
        part_end(a, part, &reply);
        return;
    }
    if (send_queue_remove(a, part)) {
        withdraw_part(a, part, PART_CANCELLED);
        return;
    }
    int index =
        topology_upstream_index(a->view->topology, part->request.upstream);
    if (part->sent_us != 0 && index >= 0) {
        a->settings.upstream->cancel(
            a->client, &a->view->topology->upstreams[index], part->id);
    }
}

void
admission_cancel(admission_t *a, const attempt_id_t *ids, size_t count,
                 int64_t now_us)
{
    a->now_us = now_us;
    for (size_t i = 0; i < count; i++) {
        pending_part_t *part = part_find(a, ids[i]);
        if (part != NULL) {
            cancel_part(a, part);
        }
    }
}

void
admission_add_quarantine(admission_t *a, uint64_t fingerprint, int64_t now_us)
{
    gate_add_quarantine(a->gate, fingerprint, now_us);
}

int64_t
admission_quarantine_left_us(const admission_t *a, uint64_t fingerprint,
                             int64_t now_us)
{
    return gate_quarantine_left_us(a->gate, fingerprint, now_us);
}

size_t
admission_take_new_quarantines(admission_t *a, uint64_t *out, size_t max)
{
    return gate_take_new_quarantines(a->gate, out, max);
}

static bool
can_share_call(const pending_part_t *first, const pending_part_t *part)
{
    return !first->request.once && !part->request.once &&
           strcmp(first->request.upstream, part->request.upstream) == 0;
}

/*
 * Returns how many parts one call may carry. A call is answered when its
 * slowest part has ended, and all its parts hold their slots until then. So
 * parts share a call only if the upstream has fewer connections than slots.
 */
static size_t
call_parts_max(const admission_t *a, const part_request_t *request)
{
    const table_row_t *row = config_row(a->view->config, request->service);
    if (row == NULL || row->upstream_connections == 0) {
        return 1;
    }
    size_t parts = (row->upstream_slots + row->upstream_connections - 1) /
                   row->upstream_connections;
    return parts < UPSTREAM_CALL_PARTS_MAX ? parts : UPSTREAM_CALL_PARTS_MAX;
}

/*
 * Sends the first queued part, in one call with later parts for the same
 * upstream. An at-most-once part never shares a call.
 */
static void
send_next_call(admission_t *a, int64_t act_until_us)
{
    pending_part_t *first = a->send_queue[0];
    part_request_t requests[UPSTREAM_CALL_PARTS_MAX];
    size_t max_parts = call_parts_max(a, &first->request);
    size_t count = 0;
    size_t kept = 0;
    for (size_t i = 0; i < a->send_queue_count; i++) {
        pending_part_t *part = a->send_queue[i];
        bool fits =
            i == 0 || (count < max_parts && can_share_call(first, part));
        if (!fits) {
            a->send_queue[kept++] = part;
            continue;
        }
        int64_t last_us = act_until_us + a->settings.drain_us;
        part->sent_us = a->now_us;
        requests[count] = part->request;
        if (requests[count].deadline_us > last_us) {
            requests[count].deadline_us = last_us;
        }
        count++;
    }
    a->send_queue_count = kept;
    a->settings.stats->admitted_parts += count;
    int index =
        topology_upstream_index(a->view->topology, requests[0].upstream);
    a->settings.upstream->send(a->client, &a->view->topology->upstreams[index],
                               requests, count, a->now_us);
}

static void
send_queue_flush(admission_t *a)
{
    int64_t act_until_us = atomic_load(a->settings.act_until_us);
    while (a->send_queue_count > 0) {
        pending_part_t *first = a->send_queue[0];
        bool may_act = a->now_us < act_until_us;
        if (may_act && owns_upstream(a, first->request.upstream)) {
            send_next_call(a, act_until_us);
            continue;
        }
        memmove(a->send_queue, a->send_queue + 1,
                --a->send_queue_count * sizeof(*a->send_queue));
        withdraw_part(a, first, PART_NOT_OWNER);
    }
}

/* Applies the gate's decisions on waiting parts. */
static void
take_gate_decisions(admission_t *a)
{
    attempt_id_t id;
    part_reply_t refusal;
    gate_decision_t decision;
    while ((decision = gate_next(a->gate, a->now_us, &id, &refusal)) !=
           GATE_IDLE) {
        pending_part_t *part =
            part_find(a, decision == GATE_SEND ? id : refusal.id);
        if (part == NULL) {
            continue;
        }
        if (decision == GATE_SEND) {
            send_queue_add(a, part);
        }
        else {
            part_end(a, part, &refusal);
        }
    }
}

static void
reply_queue_flush(admission_t *a)
{
    part_reply_t batch[64];
    while (a->outgoing_count > 0) {
        uint64_t origin = a->outgoing[0].origin;
        size_t count = 0;
        size_t kept = 0;
        for (size_t i = 0; i < a->outgoing_count; i++) {
            bool fits = a->outgoing[i].origin == origin &&
                        count < sizeof(batch) / sizeof(batch[0]);
            if (fits) {
                batch[count++] = a->outgoing[i].reply;
            }
            else {
                a->outgoing[kept++] = a->outgoing[i];
            }
        }
        a->outgoing_count = kept;
        a->settings.reply(a->settings.context, origin, batch, count);
    }
}

/*
 * If a health check is due, sends it to the next of the owned upstreams in
 * turn. Returns the time of the next check.
 */
static int64_t
check_health(admission_t *a)
{
    if (a->owned_count == 0 || a->settings.upstream->check_health == NULL) {
        return INT64_MAX;
    }
    if (a->now_us >= a->next_health_us) {
        int64_t pause_us = HEALTH_CHECK_INTERVAL_US / (int64_t)a->owned_count;
        size_t index = a->owned[a->next_health_index++ % a->owned_count];
        a->next_health_us = a->now_us + (pause_us > HEALTH_CHECK_GAP_MIN_US
                                             ? pause_us
                                             : HEALTH_CHECK_GAP_MIN_US);
        a->settings.upstream->check_health(
            a->client, &a->view->topology->upstreams[index]);
    }
    return a->next_health_us;
}

static const gate_upstream_t *
find_last_report(const admission_t *a, const char *name)
{
    for (size_t i = 0; i < a->last_report_count; i++) {
        if (strcmp(a->last_report[i].name, name) == 0) {
            return &a->last_report[i];
        }
    }
    return NULL;
}

/*
 * Logs which upstreams became cold or warm since the last check. A newly owned
 * upstream starts cold, which is not logged.
 */
static void
log_cold_changes(admission_t *a)
{
    if (a->now_us - a->last_report_us < COLD_CHECK_INTERVAL_US) {
        return;
    }
    size_t capacity = a->owned_count > 0 ? a->owned_count : 1;
    gate_upstream_t *report = calloc(capacity, sizeof(*report));
    if (report == NULL) {
        return;
    }
    size_t count = gate_report(a->gate, report, capacity);
    count = count < capacity ? count : capacity;
    for (size_t i = 0; i < count; i++) {
        const gate_upstream_t *before = find_last_report(a, report[i].name);
        if (before != NULL && before->cold != report[i].cold) {
            event_log(report[i].cold ? EVENT_UPSTREAM_COLD
                                     : EVENT_UPSTREAM_WARM,
                      "upstream=%s slots=%u in_progress=%u", report[i].name,
                      report[i].slots, report[i].in_progress);
        }
    }
    free(a->last_report);
    a->last_report = report;
    a->last_report_count = count;
    a->last_report_us = a->now_us;
}

int64_t
admission_step(admission_t *a, int64_t now_us)
{
    a->now_us = now_us;
    /* A send that fails at once frees a slot for a waiting part. */
    do {
        take_gate_decisions(a);
        send_queue_flush(a);
    } while (a->send_queue_count > 0);
    reply_queue_flush(a);
    log_cold_changes(a);
    int64_t health_us = check_health(a);
    int64_t gate_us = gate_wakeup(a->gate, now_us);
    return health_us < gate_us ? health_us : gate_us;
}

void
admission_receive(admission_t *a, int64_t now_us)
{
    a->now_us = now_us;
    a->settings.upstream->run(a->client);
}

void
admission_wait(admission_t *a, int timeout_ms)
{
    a->settings.upstream->wait(a->client, timeout_ms);
}

void
admission_wake(admission_t *a)
{
    a->settings.upstream->wake(a->client);
}

size_t
admission_pending(const admission_t *a)
{
    return HASH_COUNT(a->pending_parts);
}

uint64_t
admission_settled_version(const admission_t *a)
{
    return a->view == NULL || a->not_owned_count > 0 ? 0
                                                     : a->view->roster_version;
}

size_t
admission_report(const admission_t *a, gate_upstream_t *out, size_t max)
{
    return gate_report(a->gate, out, max);
}

upstream_totals_t
admission_totals(const admission_t *a)
{
    return a->settings.upstream->totals(a->client);
}
