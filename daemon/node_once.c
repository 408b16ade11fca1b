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
    FORWARD_GRACE_US = 500000, /* past the deadline, for the reply */
    ONCE_CAPACITY = 65536,
    US_PER_MS = 1000
};

#define TICKET_LIFE_US INT64_C(600000000)
#define OUTCOME_GRACE_US INT64_C(600000000)

/* A request's entry in the once table, until its outcome is recorded. */
typedef struct {
    once_key_t key;
    uint64_t hash; /* of the caller's id, if key.by_id */
    int64_t started_us;
} claim_t;

status_t
node_start_once(node_t *node, error_t *err)
{
    once_settings_t settings = {
        .incarnation = node->incarnation,
        .lifetime_us = TICKET_LIFE_US,
        .grace_us = OUTCOME_GRACE_US,
        .capacity = ONCE_CAPACITY,
    };
    store_client_t store;
    memcpy(settings.daemon, node->settings.name, NAME_SIZE);
    pthread_mutex_init(&node->once_lock, NULL);
    node->once = once_new(&settings);
    if (node->once == NULL) {
        return error_set(err, STATUS_NO_MEMORY, "start tickets", "-",
                         "out of memory");
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
node_issue_ticket(void *context, unsigned *status)
{
    node_t *node = context;
    char text[TICKET_TEXT_MAX];
    error_t err = ERROR_INIT;
    ticket_key_t key = ticket_key(node);
    pthread_mutex_lock(&node->once_lock);
    ticket_t ticket = once_issue_ticket(node->once, clock_now_us());
    pthread_mutex_unlock(&node->once_lock);
    if (ticket_format(&ticket, &key, text, &err) != STATUS_OK) {
        *status = 500;
        return json_pack("{s:s}", "error", error_text(&err));
    }
    *status = 200;
    return json_pack("{s:s, s:I}", "ticket", text, "expires_ms",
                     (json_int_t)(TICKET_LIFE_US / US_PER_MS));
}

/* Fills the answer of a request for which no query was run. */
static void
fill_answer(query_answer_t *answer, outcome_t outcome, reason_t reason,
            int64_t retry_after_us)
{
    *answer = (query_answer_t){
        .outcome = outcome,
        .reason = reason,
        .retry_after_us = retry_after_us,
    };
}

/* Fills the answer with the outcome of the earlier run. */
static void
fill_finished_answer(query_answer_t *answer, const once_outcome_t *outcome)
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

/* Fills the answer for a result other than ONCE_RUN. */
static void
fill_answer_from_result(query_answer_t *answer, once_result_t result,
                        const once_outcome_t *outcome)
{
    switch (result) {
    case ONCE_FINISHED:
        fill_finished_answer(answer, outcome);
        break;
    case ONCE_RUNNING:
        fill_answer(answer, OUTCOME_UNKNOWN, REASON_RUNNING,
                    RUNNING_RETRY_AFTER_US);
        break;
    case ONCE_EXPIRED:
        fill_answer(answer, OUTCOME_NOT_RUN, REASON_TICKET, 0);
        break;
    case ONCE_FULL:
        fill_answer(answer, OUTCOME_NOT_RUN, REASON_OVERLOAD, RETRY_AFTER_US);
        break;
    case ONCE_MISMATCH:
        fill_answer(answer, OUTCOME_NOT_RUN, REASON_BAD_REQUEST, 0);
        break;
    default:
        fill_answer(answer, OUTCOME_UNKNOWN, REASON_TICKET, 0);
        break;
    }
}

/*
 * Records how a claimed request ended. A request that did not run can be sent
 * again; if it has an id, its intent is withdrawn, so that any daemon may run
 * it.
 */
static void
record_outcome(node_t *node, const claim_t *claim,
               const query_answer_t *answer, uint64_t sequence)
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
        .took_us = now_us - claim->started_us,
    };
    pthread_mutex_lock(&node->once_lock);
    once_end(node->once, claim->key, &outcome, now_us);
    pthread_mutex_unlock(&node->once_lock);
    if (claim->key.by_id && answer->outcome == OUTCOME_NOT_RUN) {
        intents_withdraw(node->intents, claim->hash);
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

/*
 * Returns the request as JSON text for another daemon, to be freed; NULL if
 * memory is out.
 */
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
 * Forwards the request to another daemon and waits for its reply. Returns NULL
 * if there is none: with NODE_REQUEST_NOT_SENT the request was not forwarded,
 * otherwise it may have run there.
 */
static json_t *
forward_query(node_t *node, uint64_t incarnation, ask_kind_t kind,
              const caller_query_t *query, int64_t deadline_us,
              unsigned *status)
{
    char *text = forward_text(query);
    if (text == NULL) {
        *status = NODE_REQUEST_NOT_SENT;
        return NULL;
    }
    int64_t left_us = deadline_us - clock_now_us();
    json_t *json = node_request_peer(node, incarnation, kind, text,
                                     left_us + FORWARD_GRACE_US, status);
    free(text);
    return json;
}

/*
 * Claims a request by its ticket. Sets *home to the incarnation that issued
 * the ticket.
 */
static once_result_t
claim_by_ticket(node_t *node, const caller_query_t *query, claim_t *claim,
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
    once_result_t result =
        once_begin_ticket(node->once, &ticket, node_fingerprint(query),
                          claim->started_us, &claim->key, outcome);
    pthread_mutex_unlock(&node->once_lock);
    return result;
}

/* Claims a request by its id. It still needs an intent before it runs. */
static once_result_t
claim_by_id(node_t *node, const caller_query_t *query, claim_t *claim,
            once_outcome_t *outcome)
{
    claim->hash = once_hash_id(query->service, query->tenant, query->id);
    pthread_mutex_lock(&node->once_lock);
    once_result_t result =
        once_begin_id(node->once, claim->hash, node_fingerprint(query),
                      claim->started_us, &claim->key, outcome);
    pthread_mutex_unlock(&node->once_lock);
    return result;
}

/* Fills the answer of a request that got no intent, so does not run here. */
static void
fill_intent_answer(query_answer_t *answer, intent_status_t status)
{
    switch (status) {
    case INTENT_FULL:
        fill_answer(answer, OUTCOME_NOT_RUN, REASON_OVERLOAD, RETRY_AFTER_US);
        break;
    case INTENT_UNCONFIRMED:
        fill_answer(answer, OUTCOME_NOT_RUN, REASON_STORE, RETRY_AFTER_US);
        break;
    default:
        fill_answer(answer, OUTCOME_UNKNOWN, REASON_LOST, 0);
        break;
    }
}

/* Removes the claim of a request that did not run on this daemon. */
static void
release_claim(node_t *node, const claim_t *claim)
{
    once_outcome_t outcome = {.outcome = OUTCOME_NOT_RUN};
    pthread_mutex_lock(&node->once_lock);
    once_end(node->once, claim->key, &outcome, clock_now_us());
    pthread_mutex_unlock(&node->once_lock);
}

/* Runs a claimed request and records its outcome. */
static json_t *
run_claimed_query(node_t *node, const query_request_t *request,
                  const claim_t *claim, unsigned *status)
{
    query_answer_t answer;
    uint64_t sequence;
    node_run_query(node, request, &answer, &sequence);
    record_outcome(node, claim, &answer, sequence);
    *status = answer_http_status(&answer);
    return once_json(node, &answer, sequence, claim->started_us);
}

/* Returns the JSON of an answer that no query of this daemon produced. */
static json_t *
json_without_query(node_t *node, const query_answer_t *answer,
                   const claim_t *claim, unsigned *status)
{
    *status = answer_http_status(answer);
    return once_json(node, answer, 0, claim->started_us);
}

/*
 * Runs a request with an id, once its intent is in the store. If the intent of
 * another daemon is there, returns that daemon's outcome of the request.
 */
static json_t *
run_with_intent(node_t *node, const caller_query_t *query,
                const query_request_t *request, const claim_t *claim,
                unsigned *status)
{
    intent_result_t result =
        intents_commit(node->intents, claim->hash, request->deadline_us);
    if (result.status == INTENT_RUN) {
        return run_claimed_query(node, request, claim, status);
    }
    release_claim(node, claim);
    json_t *json = NULL;
    if (result.status == INTENT_TAKEN) {
        json = forward_query(node, result.writer, ASK_OUTCOME, query,
                             request->deadline_us, status);
    }
    if (json != NULL) {
        return json;
    }
    query_answer_t answer;
    fill_intent_answer(&answer, result.status);
    return json_without_query(node, &answer, claim, status);
}

/*
 * Returns the home of an id: the daemon that commits the intents of the id's
 * bucket. A bucket has one writer as long as the members have the same view;
 * otherwise the store's compare-and-swap decides.
 */
static uint64_t
home_daemon(node_t *node, uint64_t hash)
{
    char name[NAME_SIZE];
    owner_key_t keys[ROSTER_MEMBERS_MAX];
    uint64_t incarnations[ROSTER_MEMBERS_MAX] = {0};
    size_t count = 0;
    fleet_view_t *view = fleet_current_view(node->fleet);
    for (size_t i = 0; view != NULL && i < view->member_count; i++) {
        const roster_member_t *member = &view->members[i];
        if (!member->leaving) {
            keys[count] = owner_key(member->name, member->zone);
            incarnations[count++] = member->incarnation;
        }
    }
    fleet_view_put(view);
    snprintf(name, sizeof(name), "once-%u", bucket_index(hash));
    int home = owner_pick(keys, count, owner_key(name, ""));
    return home < 0 ? node->incarnation : incarnations[home];
}

/*
 * If the home's reply names another daemon as the writer of the intent,
 * returns that daemon's reply if there is one. Otherwise returns the home's
 * reply.
 */
static json_t *
forward_to_writer(node_t *node, json_t *json, const caller_query_t *query,
                  int64_t deadline_us, unsigned *status)
{
    const char *writer = json_string_value(json_object_get(json, "writer"));
    if (writer == NULL) {
        return json;
    }
    unsigned writer_status = *status;
    json_t *outcome =
        forward_query(node, strtoull(writer, NULL, 16), ASK_OUTCOME, query,
                      deadline_us, &writer_status);
    if (outcome == NULL) {
        json_object_del(json, "writer");
        return json;
    }
    json_decref(json);
    *status = writer_status;
    return outcome;
}

/*
 * Runs a request with an id on the id's home daemon, or on this daemon if the
 * request cannot be sent to the home.
 */
static json_t *
run_by_id(node_t *node, const caller_query_t *query,
          const query_request_t *request, const claim_t *claim,
          unsigned *status)
{
    uint64_t home = home_daemon(node, claim->hash);
    if (home == node->incarnation) {
        return run_with_intent(node, query, request, claim, status);
    }
    json_t *json = forward_query(node, home, ASK_QUERY, query,
                                 request->deadline_us, status);
    if (json == NULL && *status == NODE_REQUEST_NOT_SENT) {
        return run_with_intent(node, query, request, claim, status);
    }
    release_claim(node, claim);
    if (json != NULL) {
        return forward_to_writer(node, json, query, request->deadline_us,
                                 status);
    }
    query_answer_t answer;
    fill_answer(&answer, OUTCOME_UNKNOWN, REASON_LOST, RETRY_AFTER_US);
    return json_without_query(node, &answer, claim, status);
}

json_t *
node_query_once(node_t *node, const caller_query_t *query,
                const query_request_t *request, unsigned *status)
{
    claim_t claim = {.started_us = clock_now_us()};
    once_outcome_t outcome;
    uint64_t home = 0;
    bool by_ticket = query->ticket[0] != '\0';
    once_result_t result =
        by_ticket ? claim_by_ticket(node, query, &claim, &home, &outcome)
                  : claim_by_id(node, query, &claim, &outcome);
    if (result == ONCE_RUN) {
        return by_ticket ? run_claimed_query(node, request, &claim, status)
                         : run_by_id(node, query, request, &claim, status);
    }
    json_t *json = NULL;
    if (result == ONCE_OTHER_DAEMON) {
        json = forward_query(node, home, ASK_QUERY, query,
                             request->deadline_us, status);
    }
    if (json != NULL) {
        return json;
    }
    query_answer_t answer;
    fill_answer_from_result(&answer, result, &outcome);
    return json_without_query(node, &answer, &claim, status);
}

/* A request that another daemon forwarded, until the reply is sent. */
typedef struct {
    node_t *node;
    char peer[NAME_SIZE];
    uint64_t incarnation;
    uint64_t ask_id;
    claim_t claim;
    query_request_t request;
    char body[PART_BODY_MAX];
} forwarded_query_t;

static void
answer_forwarded(forwarded_query_t *forwarded, const query_answer_t *answer,
                 uint64_t sequence)
{
    node_send_answer(forwarded->node, forwarded->peer, forwarded->incarnation,
                     forwarded->ask_id, answer_http_status(answer),
                     once_json(forwarded->node, answer, sequence,
                               forwarded->claim.started_us));
}

static void
on_forwarded_done(void *context, uint64_t sequence,
                  const query_answer_t *answer)
{
    forwarded_query_t *forwarded = context;
    record_outcome(forwarded->node, &forwarded->claim, answer, sequence);
    answer_forwarded(forwarded, answer, sequence);
    free(forwarded);
}

static void
run_forwarded(forwarded_query_t *forwarded)
{
    query_waiter_t waiter = {.context = forwarded, .done = on_forwarded_done};
    node_submit_query(forwarded->node, &forwarded->request, &waiter);
}

/* Replies that another daemon wrote the intent, and names that daemon. */
static void
answer_forwarded_writer(forwarded_query_t *forwarded, uint64_t writer)
{
    char text[24];
    query_answer_t answer;
    fill_answer(&answer, OUTCOME_UNKNOWN, REASON_LOST, 0);
    json_t *json =
        once_json(forwarded->node, &answer, 0, forwarded->claim.started_us);
    snprintf(text, sizeof(text), "%" PRIx64, writer);
    json_object_set_new(json, "writer", json_string(text));
    node_send_answer(forwarded->node, forwarded->peer, forwarded->incarnation,
                     forwarded->ask_id, answer_http_status(&answer), json);
}

static void
on_forwarded_intent(void *context, const intent_result_t *result)
{
    forwarded_query_t *forwarded = context;
    if (result->status == INTENT_RUN) {
        run_forwarded(forwarded);
        return;
    }
    release_claim(forwarded->node, &forwarded->claim);
    if (result->status == INTENT_TAKEN) {
        answer_forwarded_writer(forwarded, result->writer);
    }
    else {
        query_answer_t answer;
        fill_intent_answer(&answer, result->status);
        answer_forwarded(forwarded, &answer, 0);
    }
    free(forwarded);
}

/*
 * Starts a claimed request. The request is freed by the callback that sends
 * the reply.
 */
static void
start_forwarded(forwarded_query_t *forwarded, const caller_query_t *query,
                bool by_ticket)
{
    node_fill_request(forwarded->node, query, forwarded->claim.started_us,
                      &forwarded->request);
    memcpy(forwarded->body, query->body, query->body_size);
    forwarded->request.body = forwarded->body;
    if (by_ticket) {
        run_forwarded(forwarded);
        return;
    }
    intents_submit(forwarded->node->intents, forwarded->claim.hash,
                   forwarded->request.deadline_us, on_forwarded_intent,
                   forwarded);
}

/*
 * Runs a forwarded request if it is new and may_run is set. Otherwise replies
 * with what this daemon knows of it.
 */
static void
handle_forwarded(forwarded_query_t *forwarded, const caller_query_t *query,
                 bool may_run)
{
    node_t *node = forwarded->node;
    once_outcome_t outcome;
    uint64_t home = 0;
    bool by_ticket = query->ticket[0] != '\0';
    once_result_t result =
        by_ticket
            ? claim_by_ticket(node, query, &forwarded->claim, &home, &outcome)
            : claim_by_id(node, query, &forwarded->claim, &outcome);
    if (result == ONCE_RUN && may_run) {
        start_forwarded(forwarded, query, by_ticket);
        return;
    }
    if (result == ONCE_RUN) {
        release_claim(node, &forwarded->claim);
        result = ONCE_NO_RECORD;
    }
    query_answer_t answer;
    fill_answer_from_result(&answer, result, &outcome);
    answer_forwarded(forwarded, &answer, 0);
    free(forwarded);
}

void
node_handle_forwarded_query(node_t *node, const char *peer,
                            uint64_t incarnation, const ask_t *ask)
{
    error_t err = ERROR_INIT;
    caller_query_t query;
    forwarded_query_t *forwarded = calloc(1, sizeof(*forwarded));
    if (forwarded == NULL) {
        return;
    }
    forwarded->node = node;
    forwarded->incarnation = incarnation;
    forwarded->ask_id = ask->id;
    forwarded->claim.started_us = clock_now_us();
    snprintf(forwarded->peer, sizeof(forwarded->peer), "%s", peer);
    json_t *root =
        json_loadb(ask->json, ask->size, JSON_REJECT_DUPLICATES, NULL);
    status_t status = caller_query_parse(root, PART_BODY_MAX, &query, &err);
    if (status == STATUS_OK && query.once) {
        handle_forwarded(forwarded, &query, ask->kind == ASK_QUERY);
    }
    else {
        node_send_answer(node, peer, incarnation, ask->id, HTTP_BAD_REQUEST,
                         json_pack("{s:s}", "error", err.message));
        free(forwarded);
    }
    json_decref(root);
}
