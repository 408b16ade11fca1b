#include "daemon/coordinator.h"
#include "daemon/answer_json.h"
#include "daemon/owner_watch.h"
#include "daemon/part_batch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Layout of a sequence, from the low bits: worker, slot, number. */
enum { WORKER_BITS = 8, SLOT_BITS = 16, RETRY_AFTER_US = 100000 };

#define NO_OWNER UINT64_C(0)

/* A running query. */
typedef struct {
    uint64_t sequence; /* 0: free */
    query_t *query;
    query_request_t request;
    query_waiter_t waiter;
    int64_t started_us;
    int64_t wakeup_us;
    uint64_t *owners; /* incarnation of the owner, by attempt */
    size_t owner_capacity;
} slot_t;

/* The budget of one service for hedges and retries. */
typedef struct {
    char service[NAME_SIZE];
    budget_t budget;
} service_budget_t;

struct coordinator {
    coordinator_settings_t settings;
    fleet_view_t *view;
    replica_table_t replicas;
    service_budget_t *budgets;
    size_t budget_count;
    slot_t *slots;
    uint32_t running;
    uint32_t slot_hint;
    uint64_t last_number;
    explain_ring_t explain;
    owner_watch_t owner_watch;
    bool *owner_silent; /* per upstream; see update_silent_owners */
    part_batch_t batch; /* parts of the query that is being advanced */
};

unsigned
coordinator_worker_of(uint64_t sequence)
{
    return (unsigned)(sequence & ((1U << WORKER_BITS) - 1));
}

static uint32_t
slot_of(uint64_t sequence)
{
    return (uint32_t)(sequence >> WORKER_BITS) & ((1U << SLOT_BITS) - 1);
}

coordinator_t *
coordinator_new(const coordinator_settings_t *settings)
{
    coordinator_t *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    c->settings = *settings;
    if (c->settings.queries_max > 1U << SLOT_BITS) {
        c->settings.queries_max = 1U << SLOT_BITS;
    }
    c->slots = calloc(c->settings.queries_max, sizeof(*c->slots));
    replica_table_init(&c->replicas);
    if (c->slots == NULL || !explain_ring_init(&c->explain)) {
        coordinator_free(c);
        return NULL;
    }
    return c;
}

static void
slot_release(coordinator_t *c, slot_t *slot)
{
    query_free(slot->query);
    free((char *)slot->request.body);
    free(slot->owners);
    *slot = (slot_t){.sequence = 0};
    c->running--;
}

void
coordinator_free(coordinator_t *c)
{
    if (c == NULL) {
        return;
    }
    for (uint32_t i = 0; c->slots != NULL && i < c->settings.queries_max;
         i++) {
        if (c->slots[i].sequence != 0) {
            slot_release(c, &c->slots[i]);
        }
    }
    replica_table_release(&c->replicas);
    explain_ring_release(&c->explain);
    fleet_view_put(c->view);
    free(c->budgets);
    free(c->slots);
    part_batch_release(&c->batch);
    free(c->owner_silent);
    free(c);
}

static slot_t *
slot_find(coordinator_t *c, uint64_t sequence)
{
    uint32_t index = slot_of(sequence);
    if (sequence == 0 || index >= c->settings.queries_max ||
        c->slots[index].sequence != sequence) {
        return NULL;
    }
    return &c->slots[index];
}

static slot_t *
slot_take(coordinator_t *c)
{
    for (uint32_t i = 0; i < c->settings.queries_max; i++) {
        uint32_t index = (c->slot_hint + i) % c->settings.queries_max;
        if (c->slots[index].sequence == 0) {
            c->slot_hint = index + 1;
            c->running++;
            c->last_number++;
            c->slots[index].sequence =
                (c->last_number << (WORKER_BITS + SLOT_BITS)) |
                ((uint64_t)index << WORKER_BITS) | c->settings.worker;
            return &c->slots[index];
        }
    }
    return NULL;
}

static budget_t *
budget_of(coordinator_t *c, const table_row_t *row)
{
    for (size_t i = 0; i < c->budget_count; i++) {
        service_budget_t *entry = &c->budgets[i];
        if (strcmp(entry->service, row->service) == 0) {
            return &entry->budget;
        }
    }
    service_budget_t *grown =
        realloc(c->budgets, (c->budget_count + 1) * sizeof(*grown));
    if (grown == NULL) {
        return NULL;
    }
    c->budgets = grown;
    service_budget_t *entry = &c->budgets[c->budget_count++];
    memcpy(entry->service, row->service, NAME_SIZE);
    budget_init(&entry->budget);
    return &entry->budget;
}

/*
 * Fills the context of the service's queries and returns their budget. Returns
 * NULL if the service no longer has a row or memory is out.
 */
static budget_t *
context_fill(coordinator_t *c, const char *service, query_context_t *context)
{
    const table_row_t *row =
        c->view->config == NULL ? NULL : config_row(c->view->config, service);
    budget_t *budget = row == NULL ? NULL : budget_of(c, row);
    *context = (query_context_t){
        .config = c->view->config,
        .replicas = &c->replicas,
        .budget = budget,
        .added_percent = row == NULL ? 0 : row->added_load_percent,
        .owner_silent = c->owner_silent,
        .seed = c->settings.seed,
        .policy = &c->settings.policy,
    };
    return budget;
}

/* Returns true if the table of queries has a free slot for the class. */
static bool
has_class_capacity(const coordinator_t *c, class_t class)
{
    static const uint32_t percent[CLASS_COUNT] = {
        [CLASS_DESK] = 100,
        [CLASS_ONLINE] = 80,
        [CLASS_BATCH] = 50,
    };
    uint64_t max_running =
        (uint64_t)c->settings.queries_max * percent[class] / 100;
    return c->running < max_running;
}

/* Returns why the query is refused, or REASON_NONE. */
static reason_t
refusal_reason(const coordinator_t *c, const query_request_t *request,
               int64_t now_us)
{
    const fleet_view_t *view = c->view;
    if (view != NULL && view->leaving) {
        return REASON_LEAVING;
    }
    if (view == NULL || view->config == NULL ||
        atomic_load(c->settings.trust_until_us) <= now_us) {
        return REASON_NO_CONFIG;
    }
    const table_row_t *row = config_row(view->config, request->service);
    if (row == NULL) {
        return REASON_BAD_REQUEST;
    }
    if (topology_partition(view->topology, request->service) == NULL) {
        return REASON_NO_UPSTREAM;
    }
    if (request->deadline_us <= now_us) {
        return REASON_DEADLINE;
    }
    if (c->settings.sink.quarantine_left_us(
            c->settings.sink.context, request->fingerprint, now_us) > 0) {
        return REASON_QUARANTINED;
    }
    return has_class_capacity(c, row->class) ? REASON_NONE : REASON_OVERLOAD;
}

/* Counts the query for its tenant. Returns false at the tenant's limit. */
static bool
admit_for_tenant(coordinator_t *c, const query_request_t *request)
{
    if (c->settings.tenants == NULL) {
        return true;
    }
    const table_row_t *row = config_row(c->view->config, request->service);
    return tenants_admit(c->settings.tenants, request->service,
                         request->tenant,
                         tenants_share(row, c->view->member_count));
}

static void
finish_for_tenant(coordinator_t *c, const query_request_t *request)
{
    if (c->settings.tenants != NULL) {
        tenants_finish(c->settings.tenants, request->service, request->tenant);
    }
}

static void
count_answer(stats_entry_t *entry, const query_answer_t *answer,
             int64_t took_us)
{
    entry->outcomes[answer->outcome]++;
    entry->reasons[answer->reason]++;
    entry->asked_keys += answer->asked;
    entry->covered_keys += answer->covered;
    entry->parts += answer->attempts - answer->hedges - answer->retries;
    entry->hedges += answer->hedges;
    entry->retries += answer->retries;
    entry->restarts += answer->restarts;
    entry->dropped_replies += answer->dropped;
    if (answer->outcome == OUTCOME_WHOLE ||
        answer->outcome == OUTCOME_PARTIAL) {
        hist_add(&entry->latency, took_us);
    }
}

static void
finish_query(coordinator_t *c, const query_request_t *request,
             const query_waiter_t *waiter, uint64_t sequence,
             const query_answer_t *answer, int64_t took_us)
{
    count_answer(stats_service(c->settings.stats, request->service), answer,
                 took_us);
    count_answer(stats_tenant(c->settings.stats, request->tenant), answer,
                 took_us);
    waiter->done(waiter->context, sequence, answer);
}

static void
refuse_query(coordinator_t *c, const query_request_t *request,
             const query_waiter_t *waiter, reason_t reason, int64_t now_us)
{
    query_answer_t answer;
    int64_t quarantine_us = c->settings.sink.quarantine_left_us(
        c->settings.sink.context, request->fingerprint, now_us);
    answer_refuse(&answer, reason,
                  reason == REASON_QUARANTINED ? quarantine_us
                                               : RETRY_AFTER_US);
    answer.asked = key_range_size(request->range);
    finish_query(c, request, waiter, 0, &answer, 0);
    free((char *)request->body);
}

void
coordinator_submit(coordinator_t *c, const query_request_t *request,
                   const query_waiter_t *waiter, int64_t now_us)
{
    reason_t reason = refusal_reason(c, request, now_us);
    bool admitted = reason == REASON_NONE && admit_for_tenant(c, request);
    slot_t *slot = admitted ? slot_take(c) : NULL;
    if (slot == NULL) {
        if (admitted) {
            finish_for_tenant(c, request);
        }
        refuse_query(c, request, waiter,
                     reason == REASON_NONE ? REASON_OVERLOAD : reason, now_us);
        return;
    }
    attempt_id_t id = {
        .incarnation = c->settings.incarnation,
        .sequence = slot->sequence,
    };
    query_context_t context;
    if (context_fill(c, request->service, &context) != NULL) {
        slot->query = query_new(request, &context, id, now_us);
    }
    if (slot->query == NULL) {
        slot_release(c, slot);
        finish_for_tenant(c, request);
        refuse_query(c, request, waiter, REASON_OVERLOAD, now_us);
        return;
    }
    slot->request = *request;
    slot->waiter = *waiter;
    slot->started_us = now_us;
    slot->wakeup_us = now_us;
    if (waiter->started != NULL) {
        waiter->started(waiter->context, slot->sequence);
    }
}

bool
coordinator_cancel(coordinator_t *c, uint64_t sequence, reason_t reason)
{
    slot_t *slot = slot_find(c, sequence);
    if (slot == NULL) {
        return false;
    }
    query_cancel(slot->query, reason);
    slot->wakeup_us = 0;
    return true;
}

void
coordinator_cancel_all(coordinator_t *c, reason_t reason)
{
    for (uint32_t i = 0; i < c->settings.queries_max; i++) {
        coordinator_cancel(c, c->slots[i].sequence, reason);
    }
}

static void
slot_handle_reply(coordinator_t *c, slot_t *slot, const part_reply_t *reply,
                  int64_t now_us)
{
    query_context_t context;
    if (context_fill(c, slot->request.service, &context) == NULL) {
        return;
    }
    c->settings.stats->coordinator_part_statuses[reply->status]++;
    query_reply(slot->query, &context, reply, now_us);
    slot->wakeup_us = 0;
}

void
coordinator_handle_reply(coordinator_t *c, const part_reply_t *reply,
                         int64_t now_us)
{
    slot_t *slot = reply->id.incarnation == c->settings.incarnation
                       ? slot_find(c, reply->id.sequence)
                       : NULL;
    if (slot == NULL) {
        c->settings.stats->stray_replies++;
        return;
    }
    if (reply->id.attempt < slot->owner_capacity) {
        coordinator_owner_replied(c, slot->owners[reply->id.attempt]);
    }
    slot_handle_reply(c, slot, reply, now_us);
}

static void
slot_peer_down(coordinator_t *c, slot_t *slot, uint64_t incarnation,
               int64_t now_us)
{
    const attempt_t *attempts;
    size_t count = query_attempts(slot->query, &attempts);
    for (size_t i = 0; i < count && i < slot->owner_capacity; i++) {
        if (!attempts[i].open || slot->owners[i] != incarnation) {
            continue;
        }
        part_reply_t lost = {
            .id = {.incarnation = c->settings.incarnation,
                   .sequence = slot->sequence,
                   .attempt = (uint32_t)i},
            .status = PART_LOST,
        };
        slot_handle_reply(c, slot, &lost, now_us);
    }
}

void
coordinator_peer_down(coordinator_t *c, uint64_t incarnation, int64_t now_us)
{
    for (uint32_t i = 0; i < c->settings.queries_max; i++) {
        if (c->slots[i].sequence != 0) {
            slot_peer_down(c, &c->slots[i], incarnation, now_us);
        }
    }
}

/*
 * Updates which upstreams have an owner that is silent in the view or by
 * owner_watch, so that their replicas are tried last. Makes the next step
 * advance all queries.
 */
static void
update_silent_owners(coordinator_t *c)
{
    size_t count = c->view->topology->upstream_count;
    bool *owner_silent = calloc(count > 0 ? count : 1, sizeof(*owner_silent));
    for (size_t i = 0; owner_silent != NULL && i < count; i++) {
        int owner = c->view->owner[i];
        bool silent_in_view =
            c->view->owner_silent != NULL && c->view->owner_silent[i];
        owner_silent[i] =
            silent_in_view || owner_watch_is_silent(&c->owner_watch, owner);
    }
    free(c->owner_silent);
    c->owner_silent = owner_silent;
    for (uint32_t i = 0; i < c->settings.queries_max; i++) {
        c->slots[i].wakeup_us = 0;
    }
}

void
coordinator_owner_replied(coordinator_t *c, uint64_t owner)
{
    owner_watch_record_reply(&c->owner_watch, owner);
}

void
coordinator_set_view(coordinator_t *c, fleet_view_t *view)
{
    fleet_view_t *before = c->view;
    c->view = fleet_view_get(view);
    if (c->replicas.topology != view->topology) {
        for (uint32_t i = 0; before != NULL && i < c->settings.queries_max;
             i++) {
            if (c->slots[i].sequence != 0) {
                query_set_topology(c->slots[i].query, before->topology,
                                   view->topology);
            }
        }
        replica_table_set_topology(&c->replicas, view->topology);
    }
    owner_watch_set_members(&c->owner_watch, view->members,
                            view->member_count);
    update_silent_owners(c);
    fleet_view_put(before);
}

static bool
reserve_owners(slot_t *slot, size_t index)
{
    if (index < slot->owner_capacity) {
        return true;
    }
    size_t capacity = index * 2 + 16;
    uint64_t *grown = realloc(slot->owners, capacity * sizeof(*slot->owners));
    if (grown == NULL) {
        return false;
    }
    memset(grown + slot->owner_capacity, 0,
           (capacity - slot->owner_capacity) * sizeof(*grown));
    slot->owners = grown;
    slot->owner_capacity = capacity;
    return true;
}

static uint64_t
owner_of(const coordinator_t *c, uint32_t upstream)
{
    int member = c->view->owner[upstream];
    return member == FLEET_VIEW_NO_MEMBER
               ? NO_OWNER
               : c->view->members[member].incarnation;
}

/* Gives the query a reply to a part that was not sent to any owner. */
static void
reply_not_sent(coordinator_t *c, slot_t *slot, attempt_id_t id, int64_t now_us)
{
    part_reply_t reply = {
        .id = id,
        .status = PART_NOT_OWNER,
        .not_run = true,
    };
    slot_handle_reply(c, slot, &reply, now_us);
}

static void
batch_add(coordinator_t *c, slot_t *slot, const query_action_t *action,
          int64_t now_us)
{
    uint64_t owner = owner_of(c, action->upstream);
    uint32_t attempt = action->request.id.attempt;
    if (owner == NO_OWNER || !reserve_owners(slot, attempt) ||
        !part_batch_add(&c->batch, owner, &action->request)) {
        reply_not_sent(c, slot, action->request.id, now_us);
        return;
    }
    slot->owners[attempt] = owner;
}

static void
batch_send(coordinator_t *c, slot_t *slot, size_t start, size_t end,
           int64_t now_us)
{
    uint64_t owner = c->batch.owners[start];
    if (c->settings.sink.send(c->settings.sink.context, owner,
                              &c->batch.requests[start], end - start)) {
        owner_watch_record_send(&c->owner_watch, owner, now_us);
        return;
    }
    for (size_t i = start; i < end; i++) {
        reply_not_sent(c, slot, c->batch.requests[i].id, now_us);
    }
}

/* Sends the batch, with one message to each owner. */
static void
batch_flush(coordinator_t *c, slot_t *slot, int64_t now_us)
{
    size_t start = 0;
    while (start < c->batch.count) {
        size_t end = part_batch_group(&c->batch, start);
        batch_send(c, slot, start, end, now_us);
        start = end;
    }
    c->batch.count = 0;
}

static void
send_cancel(coordinator_t *c, const slot_t *slot, attempt_id_t id)
{
    if (id.attempt < slot->owner_capacity &&
        slot->owners[id.attempt] != NO_OWNER) {
        c->settings.sink.cancel(c->settings.sink.context,
                                slot->owners[id.attempt], id);
    }
}

static void
explain_attempts(const coordinator_t *c, const slot_t *slot,
                 explain_record_t *record)
{
    const attempt_t *attempts;
    size_t count = query_attempts(slot->query, &attempts);
    const topology_t *topology = c->view->topology;
    for (size_t i = 0; i < count && i < EXPLAIN_ATTEMPTS_MAX; i++) {
        explain_attempt_t *entry = &record->attempts[record->attempt_count++];
        entry->attempt = attempts[i];
        if (attempts[i].upstream < topology->upstream_count) {
            memcpy(entry->upstream,
                   topology->upstreams[attempts[i].upstream].name, NAME_SIZE);
        }
        int member = i < slot->owner_capacity
                         ? fleet_view_member(c->view, slot->owners[i])
                         : FLEET_VIEW_NO_MEMBER;
        if (member != FLEET_VIEW_NO_MEMBER) {
            memcpy(entry->owner, c->view->members[member].name, NAME_SIZE);
        }
    }
}

static void
slot_finish(coordinator_t *c, slot_t *slot, int64_t now_us)
{
    query_answer_t answer;
    query_answer(slot->query, &answer);
    if (answer.outcome == OUTCOME_NOT_RUN && answer.retry_after_us == 0) {
        answer.retry_after_us = RETRY_AFTER_US;
    }
    explain_record_t *record = explain_ring_next(&c->explain);
    record->sequence = slot->sequence;
    memcpy(record->service, slot->request.service, NAME_SIZE);
    memcpy(record->tenant, slot->request.tenant, NAME_SIZE);
    record->once = slot->request.once;
    record->config_version =
        c->view->config == NULL ? 0 : c->view->config->version;
    record->roster_version = c->view->roster_version;
    record->started_us = slot->started_us;
    record->ended_us = now_us;
    record->answer = answer;
    explain_attempts(c, slot, record);
    finish_for_tenant(c, &slot->request);
    finish_query(c, &slot->request, &slot->waiter, slot->sequence, &answer,
                 now_us - slot->started_us);
    slot_release(c, slot);
}

/* Advances a query until it has nothing to do now; true if it has ended. */
static bool
slot_step(coordinator_t *c, slot_t *slot, int64_t now_us)
{
    query_context_t context;
    if (context_fill(c, slot->request.service, &context) == NULL) {
        query_cancel(slot->query, REASON_NO_CONFIG);
        context.budget = NULL;
    }
    for (;;) {
        query_action_t action;
        query_step_t step = query_next(slot->query, &context, now_us, &action);
        if (step == QUERY_SEND) {
            batch_add(c, slot, &action, now_us);
        }
        else if (step == QUERY_CANCEL) {
            send_cancel(c, slot, action.request.id);
        }
        else if (step == QUERY_DONE) {
            batch_flush(c, slot, now_us);
            slot_finish(c, slot, now_us);
            return true;
        }
        else if (c->batch.count > 0) {
            /* Parts that could not be sent give the query more to do. */
            batch_flush(c, slot, now_us);
        }
        else {
            slot->wakeup_us = query_wakeup(slot->query);
            return false;
        }
    }
}

int64_t
coordinator_step(coordinator_t *c, int64_t now_us)
{
    int64_t next_us = INT64_MAX;
    uint32_t left = c->running;
    if (owner_watch_tick(&c->owner_watch, c->settings.incarnation, now_us)) {
        update_silent_owners(c);
    }
    for (uint32_t i = 0; left > 0 && i < c->settings.queries_max; i++) {
        slot_t *slot = &c->slots[i];
        if (slot->sequence == 0) {
            continue;
        }
        left--;
        if (slot->wakeup_us <= now_us && slot_step(c, slot, now_us)) {
            continue;
        }
        next_us = slot->wakeup_us < next_us ? slot->wakeup_us : next_us;
    }
    return next_us;
}

size_t
coordinator_running(const coordinator_t *c)
{
    return c->running;
}

const explain_record_t *
coordinator_find_record(const coordinator_t *c, uint64_t sequence)
{
    return explain_ring_find(&c->explain, sequence);
}
