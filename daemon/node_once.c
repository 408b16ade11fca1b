#include "daemon/answer_json.h"
#include "daemon/clock.h"
#include "daemon/node_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    HTTP_BAD_REQUEST = 400,
    RETRY_AFTER_US = 100000,
    RUNNING_RETRY_AFTER_US = 500000,
    ASK_GRACE_US = 500000, /* past the deadline, for the answer's way back */
    ONCE_CAPACITY = 65536,
    US_PER_MS = 1000
};

#define TICKET_LIFE_US INT64_C(600000000)
#define OUTCOME_GRACE_US INT64_C(600000000)

/* A request that began here, until its outcome is noted. */
typedef struct {
    once_key_t key;
    uint64_t hash; /* of a caller's id, when key.by_id */
    int64_t started_us;
} begun_t;

status_t
node_start_once(node_t *node, error_t *err)
{
    once_settings_t settings = {
        .incarnation = node->incarnation,
        .life_us = TICKET_LIFE_US,
        .grace_us = OUTCOME_GRACE_US,
        .capacity = ONCE_CAPACITY,
    };
    store_client_t store;
    memcpy(settings.daemon, node->settings.name, NAME_SIZE);
    pthread_mutex_init(&node->once_lock, NULL);
    node->once = once_new(&settings);
    if (node->once == NULL) {
        return error_set(err, STATUS_NO_MEMORY, "start tickets", "-", "-");
    }
    status_t status = store_http_init(&store, node->settings.store_url,
                                      node->settings.store_timeout_ms,
                                      fleet_store_counters(node->fleet), err);
    if (status != STATUS_OK) {
        return status;
    }
    node->intents = intents_new(&store, node->incarnation, err);
    return node->intents == NULL ? err->status : STATUS_OK;
}

void
node_stop_once(node_t *node)
{
    intents_free(node->intents);
    if (node->once != NULL) {
        once_free(node->once);
        pthread_mutex_destroy(&node->once_lock);
    }
}

static ticket_key_t
ticket_key(const node_t *node)
{
    return (ticket_key_t){
        .bytes = (const uint8_t *)node->key,
        .size = node->key_size,
    };
}

json_t *
node_ticket(void *context, unsigned *status)
{
    node_t *node = context;
    char text[TICKET_TEXT_MAX];
    error_t err = ERROR_INIT;
    ticket_key_t key = ticket_key(node);
    pthread_mutex_lock(&node->once_lock);
    ticket_t ticket = once_issue(node->once, clock_now_us());
    pthread_mutex_unlock(&node->once_lock);
    if (ticket_format(&ticket, &key, text, &err) != STATUS_OK) {
        *status = 500;
        return json_pack("{s:s}", "error", error_text(&err));
    }
    *status = 200;
    return json_pack("{s:s, s:I}", "ticket", text, "expires_ms",
                     (json_int_t)(TICKET_LIFE_US / US_PER_MS));
}

/* An answer that was settled without running anything now. */
static void
settle(query_answer_t *answer, outcome_t outcome, reason_t reason,
       int64_t retry_after_us)
{
    *answer = (query_answer_t){
        .outcome = outcome,
        .reason = reason,
        .retry_after_us = retry_after_us,
    };
}

static void
settle_finished(query_answer_t *answer, const once_outcome_t *outcome)
{
    *answer = (query_answer_t){
        .outcome = outcome->outcome,
        .reason = outcome->reason,
        .version = outcome->version,
        .generation = outcome->generation,
        .asked = outcome->asked,
        .covered = outcome->covered,
        .count = outcome->count,
        .sum = outcome->sum,
    };
}

/* What a verdict other than to run tells the caller. */
static void
settle_verdict(query_answer_t *answer, once_verdict_t verdict,
               const once_outcome_t *outcome)
{
    switch (verdict) {
    case ONCE_FINISHED:
        settle_finished(answer, outcome);
        break;
    case ONCE_RUNNING:
        settle(answer, OUTCOME_UNKNOWN, REASON_RUNNING,
               RUNNING_RETRY_AFTER_US);
        break;
    case ONCE_EXPIRED:
        settle(answer, OUTCOME_NOT_RUN, REASON_TICKET, 0);
        break;
    case ONCE_FULL:
        settle(answer, OUTCOME_NOT_RUN, REASON_OVERLOAD, RETRY_AFTER_US);
        break;
    case ONCE_MISMATCH:
        settle(answer, OUTCOME_NOT_RUN, REASON_BAD_REQUEST, 0);
        break;
    default:
        settle(answer, OUTCOME_UNKNOWN, REASON_TICKET, 0);
        break;
    }
}

static void
note_outcome(node_t *node, const begun_t *begun, const query_answer_t *answer,
             uint64_t sequence)
{
    int64_t now_us = clock_now_us();
    once_outcome_t outcome = {
        .outcome = answer->outcome,
        .reason = answer->reason,
        .query = sequence,
        .version = answer->version,
        .generation = answer->generation,
        .asked = answer->asked,
        .covered = answer->covered,
        .count = answer->count,
        .sum = answer->sum,
        .took_us = now_us - begun->started_us,
    };
    pthread_mutex_lock(&node->once_lock);
    once_end(node->once, begun->key, &outcome, now_us);
    pthread_mutex_unlock(&node->once_lock);
    if (begun->key.by_id && answer->outcome == OUTCOME_NOT_RUN) {
        intents_withdraw(node->intents, begun->hash);
    }
}

static json_t *
once_json(node_t *node, const query_answer_t *answer, uint64_t sequence,
          int64_t started_us)
{
    json_t *json = answer_json(answer, node->incarnation, sequence,
                               clock_now_us() - started_us);
    json_object_set_new(json, "daemon", json_string(node->settings.name));
    return json;
}

/* The request again, for the daemon that must run it or knows of it. */
static char *
forward_text(const caller_query_t *query)
{
    json_t *json = json_pack(
        "{s:s, s:s, s:I, s:I, s:i, s:b, s:s%}", "service", query->service,
        "tenant", query->tenant, "lo", (json_int_t)query->range.lo, "hi",
        (json_int_t)query->range.hi, "deadline_ms", (int)query->deadline_ms,
        "once", 1, "body", query->body, query->body_size);
    if (json != NULL && query->ticket[0] != '\0') {
        json_object_set_new(json, "ticket", json_string(query->ticket));
    }
    if (json != NULL && query->id[0] != '\0') {
        json_object_set_new(json, "id", json_string(query->id));
    }
    char *text = json == NULL ? NULL : json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

/*
 * Ask the daemon that the request belongs to. NULL: it did not answer, and
 * whether the request ran there, now or before, is not known.
 */
static json_t *
forward(node_t *node, uint64_t incarnation, ask_kind_t kind,
        const caller_query_t *query, int64_t deadline_us, unsigned *status)
{
    char *text = forward_text(query);
    if (text == NULL) {
        *status = NODE_ASK_NOT_SENT;
        return NULL;
    }
    int64_t left_us = deadline_us - clock_now_us();
    json_t *json = node_ask(node, incarnation, kind, text,
                            left_us + ASK_GRACE_US, status);
    free(text);
    return json;
}

static once_verdict_t
begin_ticket(node_t *node, const caller_query_t *query, begun_t *begun,
             uint64_t *home, once_outcome_t *outcome)
{
    ticket_t ticket;
    error_t err = ERROR_INIT;
    ticket_key_t key = ticket_key(node);
    if (ticket_parse(query->ticket, &key, &ticket, &err) != STATUS_OK) {
        return ONCE_MISMATCH;
    }
    *home = ticket.incarnation;
    pthread_mutex_lock(&node->once_lock);
    once_verdict_t verdict =
        once_begin_ticket(node->once, &ticket, node_fingerprint(query),
                          begun->started_us, &begun->key, outcome);
    pthread_mutex_unlock(&node->once_lock);
    return verdict;
}

static once_verdict_t
begin_id(node_t *node, const caller_query_t *query, begun_t *begun,
         once_outcome_t *outcome)
{
    begun->hash = once_hash_id(query->service, query->tenant, query->id);
    pthread_mutex_lock(&node->once_lock);
    once_verdict_t verdict =
        once_begin_id(node->once, begun->hash, node_fingerprint(query),
                      begun->started_us, &begun->key, outcome);
    pthread_mutex_unlock(&node->once_lock);
    return verdict;
}

/* An id's intent was not given to this daemon: nothing runs here. */
static void
settle_intent(query_answer_t *answer, intent_status_t status)
{
    switch (status) {
    case INTENT_FULL:
        settle(answer, OUTCOME_NOT_RUN, REASON_OVERLOAD, RETRY_AFTER_US);
        break;
    case INTENT_STORE:
        settle(answer, OUTCOME_NOT_RUN, REASON_STORE, RETRY_AFTER_US);
        break;
    default:
        settle(answer, OUTCOME_UNKNOWN, REASON_LOST, 0);
        break;
    }
}

/* Free the name in this daemon's table: it did not run here. */
static void
unbegin(node_t *node, const begun_t *begun)
{
    once_outcome_t outcome = {.outcome = OUTCOME_NOT_RUN};
    pthread_mutex_lock(&node->once_lock);
    once_end(node->once, begun->key, &outcome, clock_now_us());
    pthread_mutex_unlock(&node->once_lock);
}

/* Run what has begun and note how it ended. */
static json_t *
run_begun(node_t *node, const query_request_t *request, const begun_t *begun,
          unsigned *status)
{
    query_answer_t answer;
    uint64_t sequence;
    node_run(node, request, &answer, &sequence);
    note_outcome(node, begun, &answer, sequence);
    *status = answer_http_status(&answer);
    return once_json(node, &answer, sequence, begun->started_us);
}

static json_t *
settled_json(node_t *node, const query_answer_t *answer, const begun_t *begun,
             unsigned *status)
{
    *status = answer_http_status(answer);
    return once_json(node, answer, 0, begun->started_us);
}

static json_t *
run_with_intent(node_t *node, const caller_query_t *query,
                const query_request_t *request, const begun_t *begun,
                unsigned *status)
{
    intent_verdict_t verdict =
        intents_commit(node->intents, begun->hash, request->deadline_us);
    if (verdict.status == INTENT_RUN) {
        return run_begun(node, request, begun, status);
    }
    unbegin(node, begun);
    json_t *json = NULL;
    if (verdict.status == INTENT_ALREADY) {
        json = forward(node, verdict.writer, ASK_OUTCOME, query,
                       request->deadline_us, status);
    }
    if (json != NULL) {
        return json;
    }
    query_answer_t answer;
    settle_intent(&answer, verdict.status);
    return settled_json(node, &answer, begun, status);
}

/*
 * The daemon that commits the intents of an id's bucket, so that a bucket has
 * one writer as long as members agree. The store decides when they do not.
 */
static uint64_t
home_of(node_t *node, uint64_t hash)
{
    char name[NAME_SIZE];
    owner_key_t keys[ROSTER_MEMBERS_MAX];
    uint64_t incarnations[ROSTER_MEMBERS_MAX] = {0};
    size_t count = 0;
    fleet_view_t *world = fleet_current_view(node->fleet);
    for (size_t i = 0; world != NULL && i < world->member_count; i++) {
        const roster_member_t *member = &world->members[i];
        if (!member->leaving) {
            keys[count] = owner_key(member->name, member->zone);
            incarnations[count++] = member->incarnation;
        }
    }
    fleet_view_put(world);
    snprintf(name, sizeof(name), "once-%u", bucket_of(hash));
    int home = owner_pick(keys, count, owner_key(name, ""));
    return home < 0 ? node->incarnation : incarnations[home];
}

/* The home's answer names another daemon that holds the intent: ask it. */
static json_t *
follow_writer(node_t *node, json_t *json, const caller_query_t *query,
              int64_t deadline_us, unsigned *status)
{
    const char *writer = json_string_value(json_object_get(json, "writer"));
    if (writer == NULL) {
        return json;
    }
    unsigned told = *status;
    json_t *outcome = forward(node, strtoull(writer, NULL, 16), ASK_OUTCOME,
                              query, deadline_us, &told);
    if (outcome == NULL) {
        json_object_del(json, "writer");
        return json;
    }
    json_decref(json);
    *status = told;
    return outcome;
}

/* The id is new here: its home runs it, or this daemon when that is not up. */
static json_t *
run_id(node_t *node, const caller_query_t *query,
       const query_request_t *request, const begun_t *begun, unsigned *status)
{
    uint64_t home = home_of(node, begun->hash);
    if (home == node->incarnation) {
        return run_with_intent(node, query, request, begun, status);
    }
    json_t *json =
        forward(node, home, ASK_QUERY, query, request->deadline_us, status);
    if (json == NULL && *status == NODE_ASK_NOT_SENT) {
        return run_with_intent(node, query, request, begun, status);
    }
    unbegin(node, begun);
    if (json != NULL) {
        return follow_writer(node, json, query, request->deadline_us, status);
    }
    query_answer_t answer;
    settle(&answer, OUTCOME_UNKNOWN, REASON_LOST, RETRY_AFTER_US);
    return settled_json(node, &answer, begun, status);
}

json_t *
node_query_once(node_t *node, const caller_query_t *query,
                const query_request_t *request, unsigned *status)
{
    begun_t begun = {.started_us = clock_now_us()};
    once_outcome_t outcome;
    uint64_t home = 0;
    bool by_ticket = query->ticket[0] != '\0';
    once_verdict_t verdict =
        by_ticket ? begin_ticket(node, query, &begun, &home, &outcome)
                  : begin_id(node, query, &begun, &outcome);
    if (verdict == ONCE_RUN) {
        return by_ticket ? run_begun(node, request, &begun, status)
                         : run_id(node, query, request, &begun, status);
    }
    json_t *json = NULL;
    if (verdict == ONCE_ELSEWHERE) {
        json = forward(node, home, ASK_QUERY, query, request->deadline_us,
                       status);
    }
    if (json != NULL) {
        return json;
    }
    query_answer_t answer;
    settle_verdict(&answer, verdict, &outcome);
    return settled_json(node, &answer, &begun, status);
}

/* A request that another daemon passed on, until it is answered. */
typedef struct {
    node_t *node;
    char peer[NAME_SIZE];
    uint64_t incarnation;
    uint64_t ask;
    begun_t begun;
    query_request_t request;
    char body[PART_BODY_MAX];
} passed_t;

static void
answer_passed(passed_t *passed, const query_answer_t *answer,
              uint64_t sequence)
{
    node_answer(
        passed->node, passed->peer, passed->incarnation, passed->ask,
        answer_http_status(answer),
        once_json(passed->node, answer, sequence, passed->begun.started_us));
}

static void
on_passed_done(void *context, uint64_t sequence, const query_answer_t *answer)
{
    passed_t *passed = context;
    note_outcome(passed->node, &passed->begun, answer, sequence);
    answer_passed(passed, answer, sequence);
    free(passed);
}

static void
run_passed(passed_t *passed)
{
    query_waiter_t waiter = {.context = passed, .done = on_passed_done};
    node_submit(passed->node, &passed->request, &waiter);
}

/* Another daemon holds the intent: the asker is told which. */
static void
answer_passed_elsewhere(passed_t *passed, uint64_t writer)
{
    char text[24];
    query_answer_t answer;
    settle(&answer, OUTCOME_UNKNOWN, REASON_LOST, 0);
    json_t *json =
        once_json(passed->node, &answer, 0, passed->begun.started_us);
    snprintf(text, sizeof(text), "%" PRIx64, writer);
    json_object_set_new(json, "writer", json_string(text));
    node_answer(passed->node, passed->peer, passed->incarnation, passed->ask,
                answer_http_status(&answer), json);
}

static void
on_passed_intent(void *context, const intent_verdict_t *verdict)
{
    passed_t *passed = context;
    if (verdict->status == INTENT_RUN) {
        run_passed(passed);
        return;
    }
    unbegin(passed->node, &passed->begun);
    if (verdict->status == INTENT_ALREADY) {
        answer_passed_elsewhere(passed, verdict->writer);
    }
    else {
        query_answer_t answer;
        settle_intent(&answer, verdict->status);
        answer_passed(passed, &answer, 0);
    }
    free(passed);
}

/* The verdict is to run: passed is then owned by what runs. */
static void
start_passed(passed_t *passed, const caller_query_t *query, bool by_ticket)
{
    node_fill_request(passed->node, query, passed->begun.started_us,
                      &passed->request);
    memcpy(passed->body, query->body, query->body_size);
    passed->request.body = passed->body;
    if (by_ticket) {
        run_passed(passed);
        return;
    }
    intents_submit(passed->node->intents, passed->begun.hash,
                   passed->request.deadline_us, on_passed_intent, passed);
}

static void
take_passed(passed_t *passed, const caller_query_t *query, bool may_run)
{
    node_t *node = passed->node;
    once_outcome_t outcome;
    uint64_t home = 0;
    bool by_ticket = query->ticket[0] != '\0';
    once_verdict_t verdict =
        by_ticket ? begin_ticket(node, query, &passed->begun, &home, &outcome)
                  : begin_id(node, query, &passed->begun, &outcome);
    if (verdict == ONCE_RUN && may_run) {
        start_passed(passed, query, by_ticket);
        return;
    }
    if (verdict == ONCE_RUN) {
        unbegin(node, &passed->begun);
        verdict = ONCE_FORGOTTEN;
    }
    query_answer_t answer;
    settle_verdict(&answer, verdict, &outcome);
    answer_passed(passed, &answer, 0);
    free(passed);
}

void
node_take_passed_query(node_t *node, const char *peer, uint64_t incarnation,
                       const ask_t *ask)
{
    error_t err = ERROR_INIT;
    caller_query_t query;
    passed_t *passed = calloc(1, sizeof(*passed));
    if (passed == NULL) {
        return;
    }
    passed->node = node;
    passed->incarnation = incarnation;
    passed->ask = ask->id;
    passed->begun.started_us = clock_now_us();
    snprintf(passed->peer, sizeof(passed->peer), "%s", peer);
    json_t *root =
        json_loadb(ask->json, ask->size, JSON_REJECT_DUPLICATES, NULL);
    status_t status = caller_query_parse(root, PART_BODY_MAX, &query, &err);
    if (status == STATUS_OK && query.once) {
        take_passed(passed, &query, ask->kind == ASK_QUERY);
    }
    else {
        node_answer(node, peer, incarnation, ask->id, HTTP_BAD_REQUEST,
                    json_pack("{s:s}", "error", err.message));
        free(passed);
    }
    json_decref(root);
}
