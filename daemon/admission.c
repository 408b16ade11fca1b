#include "daemon/admission.h"
#include "edge/event.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* A part on its way: waiting in the gate or sent upstream. */
typedef struct {
    attempt_id_t id;
    uint64_t origin; /* incarnation of the coordinator */
    part_request_t request;
    char *body;
    int64_t arrived_us;
    int64_t sent_us; /* 0: waiting */
    bool foreign;    /* its upstream is no longer owned here */
    UT_hash_handle hh;
} entry_t;

typedef struct {
    uint64_t origin;
    part_reply_t reply;
} outgoing_t;

enum {
    REPORT_PAUSE_US = 500000,   /* between two looks for cold upstreams */
    HEALTH_POLL_US = 2000000,   /* between two questions to one upstream */
    HEALTH_PAUSE_MIN_US = 10000 /* between two questions to any */
};

struct admission {
    admission_settings_t settings;
    world_t *world;
    uint32_t *owned; /* indexes into the world's topology */
    size_t owned_count;
    gate_upstream_t *seen; /* what the last look saw of the owned */
    size_t seen_count;
    int64_t seen_us;
    size_t health_next;
    int64_t health_due_us;
    gate_t *gate;
    upstream_client_t *client;
    entry_t *entries;
    entry_t **due; /* admitted, to be sent by the end of the step */
    size_t due_count;
    size_t due_capacity;
    outgoing_t *outgoing;
    size_t outgoing_count;
    size_t outgoing_capacity;
    size_t foreign;
    int64_t now_us;
};

unsigned
admission_worker_of(const char *upstream, unsigned worker_count)
{
    return (unsigned)(XXH64(upstream, strlen(upstream), 0) % worker_count);
}

/* Grow an array to hold one more; false: no memory. */
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
reply_add(admission_t *a, uint64_t origin, const part_reply_t *reply)
{
    if (array_reserve((void **)&a->outgoing, a->outgoing_count,
                      &a->outgoing_capacity, sizeof(*a->outgoing))) {
        a->outgoing[a->outgoing_count++] = (outgoing_t){
            .origin = origin,
            .reply = *reply,
        };
    }
}

/* The hash table's macros count as statements of the function. */
/* NOLINTBEGIN(readability-function-size) */
static entry_t *
entry_find(admission_t *a, attempt_id_t id)
{
    /* Padding of the key must be zero, as it is in every stored id. */
    attempt_id_t key;
    memset(&key, 0, sizeof(key));
    key.incarnation = id.incarnation;
    key.sequence = id.sequence;
    key.attempt = id.attempt;
    entry_t *entry = NULL;
    HASH_FIND(hh, a->entries, &key, sizeof(key), entry);
    return entry;
}
/* NOLINTEND(readability-function-size) */

static void
entry_remove(admission_t *a, entry_t *entry)
{
    HASH_DEL(a->entries, entry);
    a->foreign -= entry->foreign ? 1 : 0;
    free(entry->body);
    free(entry);
}

static void
entry_end(admission_t *a, entry_t *entry, const part_reply_t *reply)
{
    part_reply_t timed = *reply;
    int64_t sent_us = entry->sent_us != 0 ? entry->sent_us : a->now_us;
    timed.queue_us = sent_us - entry->arrived_us;
    a->settings.stats->admitted[reply->status]++;
    if (entry->sent_us == 0) {
        a->settings.stats->refused_parts++;
    }
    reply_add(a, entry->origin, &timed);
    entry_remove(a, entry);
}

static void
on_result(void *context, const part_reply_t *reply,
          const gate_result_t *result)
{
    admission_t *a = context;
    entry_t *entry = entry_find(a, reply->id);
    gate_finish(a->gate, reply->id, result, a->now_us);
    if (entry != NULL) {
        entry_end(a, entry, reply);
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
        error_set(err, STATUS_NO_MEMORY, "start admission", "-", "no memory");
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
    entry_t *entry = NULL;
    entry_t *next = NULL;
    HASH_ITER(hh, a->entries, entry, next)
    {
        entry_remove(a, entry);
    }
    gate_free(a->gate);
    world_put(a->world);
    free(a->owned);
    free(a->seen);
    free(a->due);
    free(a->outgoing);
    free(a);
}

static bool
is_owned(const admission_t *a, const world_t *world, size_t index)
{
    const upstream_info_t *upstream = &world->topology->upstreams[index];
    return world->active[index] &&
           admission_worker_of(upstream->name, a->settings.worker_count) ==
               a->settings.worker;
}

static bool
is_owned_name(const admission_t *a, const char *upstream)
{
    int index = a->world == NULL
                    ? -1
                    : topology_upstream_index(a->world->topology, upstream);
    return index >= 0 && is_owned(a, a->world, (size_t)index);
}

static void
mark_foreign(admission_t *a)
{
    entry_t *entry = NULL;
    entry_t *next = NULL;
    HASH_ITER(hh, a->entries, entry, next)
    {
        if (!entry->foreign && !is_owned_name(a, entry->request.upstream)) {
            entry->foreign = true;
            a->foreign++;
        }
    }
}

void
admission_world(admission_t *a, world_t *world, int64_t now_us)
{
    size_t count = world->topology->upstream_count;
    uint32_t *owned = calloc(count > 0 ? count : 1, sizeof(*owned));
    if (owned == NULL) {
        return;
    }
    size_t owned_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (is_owned(a, world, i)) {
            owned[owned_count++] = (uint32_t)i;
        }
    }
    world_t *before = a->world;
    a->world = world_get(world);
    a->now_us = now_us;
    if (world->config != NULL) {
        gate_configure(a->gate, world->config, world->topology, owned,
                       owned_count, now_us);
    }
    free(a->owned);
    a->owned = owned;
    a->owned_count = owned_count;
    mark_foreign(a);
    world_put(before);
}

static void
refuse(admission_t *a, uint64_t origin, attempt_id_t id, part_status_t status)
{
    part_reply_t reply = {.id = id, .status = status, .not_run = true};
    a->settings.stats->admitted[status]++;
    a->settings.stats->refused_parts++;
    reply_add(a, origin, &reply);
}

/* NOLINTBEGIN(readability-function-size) */
static entry_t *
entry_add(admission_t *a, uint64_t origin, const part_request_t *request)
{
    entry_t *entry = calloc(1, sizeof(*entry));
    char *body = malloc(request->body_size + 1);
    if (entry == NULL || body == NULL) {
        free(entry);
        free(body);
        return NULL;
    }
    if (request->body_size > 0) {
        memcpy(body, request->body, request->body_size);
    }
    body[request->body_size] = '\0';
    entry->id.incarnation = request->id.incarnation;
    entry->id.sequence = request->id.sequence;
    entry->id.attempt = request->id.attempt;
    entry->origin = origin;
    entry->request = *request;
    entry->request.body = body;
    entry->body = body;
    entry->arrived_us = a->now_us;
    HASH_ADD(hh, a->entries, id, sizeof(entry->id), entry);
    return entry;
}
/* NOLINTEND(readability-function-size) */

static void
due_add(admission_t *a, entry_t *entry)
{
    if (array_reserve((void **)&a->due, a->due_count, &a->due_capacity,
                      sizeof(*a->due))) {
        a->due[a->due_count++] = entry;
    }
}

static void
admit(admission_t *a, uint64_t origin, const part_request_t *request)
{
    if (!is_owned_name(a, request->upstream)) {
        refuse(a, origin, request->id, PART_NOT_OWNER);
        return;
    }
    if (entry_find(a, request->id) != NULL) {
        return;
    }
    entry_t *entry = entry_add(a, origin, request);
    if (entry == NULL) {
        refuse(a, origin, request->id, PART_LIMITED);
        return;
    }
    part_reply_t refusal;
    gate_decision_t verdict =
        gate_submit(a->gate, &entry->request, a->now_us, &refusal);
    if (verdict == GATE_SEND) {
        due_add(a, entry);
    }
    else if (verdict == GATE_REFUSE) {
        entry_end(a, entry, &refusal);
    }
}

void
admission_parts(admission_t *a, uint64_t incarnation,
                const part_request_t *requests, size_t count, int64_t now_us)
{
    a->now_us = now_us;
    for (size_t i = 0; i < count; i++) {
        admit(a, incarnation, &requests[i]);
    }
}

/* Admitted but not to be sent: its slot is given back, it never ran. */
static void
withdraw(admission_t *a, entry_t *entry, part_status_t status)
{
    gate_result_t result = {.status = status};
    part_reply_t reply = {
        .id = entry->id,
        .status = status,
        .not_run = true,
    };
    gate_finish(a->gate, entry->id, &result, a->now_us);
    entry_end(a, entry, &reply);
}

/* Take back what waits for the end of the step; false: it does not. */
static bool
due_remove(admission_t *a, const entry_t *entry)
{
    for (size_t i = 0; i < a->due_count; i++) {
        if (a->due[i] == entry) {
            a->due_count--;
            memmove(&a->due[i], &a->due[i + 1],
                    (a->due_count - i) * sizeof(*a->due));
            return true;
        }
    }
    return false;
}

static void
cancel_entry(admission_t *a, entry_t *entry)
{
    if (gate_cancel(a->gate, entry->id)) {
        part_reply_t reply = {
            .id = entry->id,
            .status = PART_CANCELLED,
            .not_run = true,
        };
        entry_end(a, entry, &reply);
        return;
    }
    if (due_remove(a, entry)) {
        withdraw(a, entry, PART_CANCELLED);
        return;
    }
    int index =
        topology_upstream_index(a->world->topology, entry->request.upstream);
    if (entry->sent_us != 0 && index >= 0) {
        a->settings.upstream->cancel(
            a->client, &a->world->topology->upstreams[index], entry->id);
    }
}

void
admission_cancel(admission_t *a, const attempt_id_t *ids, size_t count,
                 int64_t now_us)
{
    a->now_us = now_us;
    for (size_t i = 0; i < count; i++) {
        entry_t *entry = entry_find(a, ids[i]);
        if (entry != NULL) {
            cancel_entry(a, entry);
        }
    }
}

void
admission_quarantine(admission_t *a, uint64_t fingerprint, int64_t now_us)
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
admission_new_quarantines(admission_t *a, uint64_t *out, size_t max)
{
    return gate_take_new_quarantines(a->gate, out, max);
}

static bool
same_call(const entry_t *first, const entry_t *entry)
{
    return !first->request.once && !entry->request.once &&
           strcmp(first->request.upstream, entry->request.upstream) == 0;
}

/*
 * Parts that one call may carry. A call is answered when the slowest of its
 * parts is, and all their slots are taken until then; so parts share a call
 * only where there are fewer connections than slots.
 */
static size_t
call_parts_max(const admission_t *a, const part_request_t *request)
{
    const table_row_t *row = config_row(a->world->config, request->service);
    if (row == NULL || row->upstream_connections == 0) {
        return 1;
    }
    size_t parts = (row->upstream_slots + row->upstream_connections - 1) /
                   row->upstream_connections;
    return parts < UPSTREAM_CALL_PARTS_MAX ? parts : UPSTREAM_CALL_PARTS_MAX;
}

/*
 * Send the first due part and those that can travel with it: parts for the
 * same upstream share one call, but what may run once only travels alone.
 */
static void
send_first_due(admission_t *a, int64_t act_until_us)
{
    entry_t *first = a->due[0];
    part_request_t requests[UPSTREAM_CALL_PARTS_MAX];
    size_t most = call_parts_max(a, &first->request);
    size_t count = 0;
    size_t kept = 0;
    for (size_t i = 0; i < a->due_count; i++) {
        entry_t *entry = a->due[i];
        bool fits = i == 0 || (count < most && same_call(first, entry));
        if (!fits) {
            a->due[kept++] = entry;
            continue;
        }
        int64_t last_us = act_until_us + a->settings.drain_us;
        entry->sent_us = a->now_us;
        requests[count] = entry->request;
        if (requests[count].deadline_us > last_us) {
            requests[count].deadline_us = last_us;
        }
        count++;
    }
    a->due_count = kept;
    a->settings.stats->admitted_parts += count;
    int index =
        topology_upstream_index(a->world->topology, requests[0].upstream);
    a->settings.upstream->send(a->client,
                               &a->world->topology->upstreams[index], requests,
                               count, a->now_us);
}

static void
send_due(admission_t *a)
{
    int64_t act_until_us = atomic_load(a->settings.act_until_us);
    while (a->due_count > 0) {
        entry_t *first = a->due[0];
        bool may_act = a->now_us < act_until_us;
        if (may_act && is_owned_name(a, first->request.upstream)) {
            send_first_due(a, act_until_us);
            continue;
        }
        memmove(a->due, a->due + 1, --a->due_count * sizeof(*a->due));
        withdraw(a, first, PART_NOT_OWNER);
    }
}

static void
take_next(admission_t *a)
{
    attempt_id_t id;
    part_reply_t refusal;
    gate_decision_t verdict;
    while ((verdict = gate_next(a->gate, a->now_us, &id, &refusal)) !=
           GATE_IDLE) {
        entry_t *entry = entry_find(a, verdict == GATE_SEND ? id : refusal.id);
        if (entry == NULL) {
            continue;
        }
        if (verdict == GATE_SEND) {
            due_add(a, entry);
        }
        else {
            entry_end(a, entry, &refusal);
        }
    }
}

static void
flush_replies(admission_t *a)
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

/* Ask one upstream after the other; returns when the next is due. */
static int64_t
ask_health(admission_t *a)
{
    if (a->owned_count == 0 || a->settings.upstream->check_health == NULL) {
        return INT64_MAX;
    }
    if (a->now_us >= a->health_due_us) {
        int64_t pause_us = HEALTH_POLL_US / (int64_t)a->owned_count;
        size_t index = a->owned[a->health_next++ % a->owned_count];
        a->health_due_us =
            a->now_us +
            (pause_us > HEALTH_PAUSE_MIN_US ? pause_us : HEALTH_PAUSE_MIN_US);
        a->settings.upstream->check_health(
            a->client, &a->world->topology->upstreams[index]);
    }
    return a->health_due_us;
}

static const gate_upstream_t *
find_seen(const admission_t *a, const char *name)
{
    for (size_t i = 0; i < a->seen_count; i++) {
        if (strcmp(a->seen[i].name, name) == 0) {
            return &a->seen[i];
        }
    }
    return NULL;
}

/*
 * Log which upstreams turned cold or warm. That one newly owned starts cold
 * is no event.
 */
static void
log_cold(admission_t *a)
{
    if (a->now_us - a->seen_us < REPORT_PAUSE_US) {
        return;
    }
    size_t room = a->owned_count > 0 ? a->owned_count : 1;
    gate_upstream_t *now = calloc(room, sizeof(*now));
    if (now == NULL) {
        return;
    }
    size_t count = gate_report(a->gate, now, room);
    count = count < room ? count : room;
    for (size_t i = 0; i < count; i++) {
        const gate_upstream_t *before = find_seen(a, now[i].name);
        if (before != NULL && before->cold != now[i].cold) {
            event_log(now[i].cold ? EVENT_UPSTREAM_COLD : EVENT_UPSTREAM_WARM,
                      "upstream=%s slots=%u in_progress=%u", now[i].name,
                      now[i].slots, now[i].in_progress);
        }
    }
    free(a->seen);
    a->seen = now;
    a->seen_count = count;
    a->seen_us = a->now_us;
}

int64_t
admission_step(admission_t *a, int64_t now_us)
{
    a->now_us = now_us;
    /* Sending may fail at once and make room for the next. */
    do {
        take_next(a);
        send_due(a);
    } while (a->due_count > 0);
    flush_replies(a);
    log_cold(a);
    int64_t health_us = ask_health(a);
    int64_t gate_us = gate_wakeup(a->gate, now_us);
    return health_us < gate_us ? health_us : gate_us;
}

void
admission_run(admission_t *a, int64_t now_us)
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
    return HASH_COUNT(a->entries);
}

uint64_t
admission_settled_version(const admission_t *a)
{
    return a->world == NULL || a->foreign > 0 ? 0 : a->world->roster_version;
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
