#include "daemon/answer_json.h"
#include "daemon/clock.h"
#include "daemon/node_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    HTTP_ACCEPTED = 202,
    HTTP_NOT_FOUND = 404,
    US_PER_MS = 1000,
    RETRY_AFTER_US = 100000,
    CANCEL_TIMEOUT_US = 500000
};

/* The state of a caller's thread that waits for its query. */
typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t ended;
    bool done;
    uint64_t sequence;
    query_answer_t answer;
} query_wait_t;

static void
on_query_done(void *context, uint64_t sequence, const query_answer_t *answer)
{
    query_wait_t *wait = context;
    pthread_mutex_lock(&wait->lock);
    wait->done = true;
    wait->sequence = sequence;
    wait->answer = *answer;
    pthread_cond_signal(&wait->ended);
    pthread_mutex_unlock(&wait->lock);
}

void
node_submit_query(node_t *node, const query_request_t *request,
                  const query_waiter_t *waiter)
{
    worker_message_t *message = worker_message_new(WORKER_MESSAGE_QUERY);
    char *body = malloc(request->body_size + 1);
    if (message == NULL || body == NULL) {
        query_answer_t answer;
        free(message);
        free(body);
        answer_refuse(&answer, REASON_OVERLOAD, RETRY_AFTER_US);
        waiter->done(waiter->context, 0, &answer);
        return;
    }
    if (request->body_size > 0) {
        memcpy(body, request->body, request->body_size);
    }
    message->query = *request;
    message->query.body = body;
    message->waiter = *waiter;
    unsigned worker =
        atomic_fetch_add(&node->next_worker, 1) % node->worker_count;
    worker_post(node->workers[worker], message);
}

uint64_t
node_fingerprint(const caller_query_t *query)
{
    uint64_t seed = XXH64(query->service, strlen(query->service),
                          query->range.lo ^ (query->range.hi << 1));
    return XXH64(query->body, query->body_size, seed);
}

/*
 * Returns the deadline of the service's row, for a query that sets none; 1 ms
 * if the service has no row.
 */
static uint32_t
default_deadline_ms(node_t *node, const char *service)
{
    uint32_t deadline_ms = 1;
    fleet_view_t *view = fleet_current_view(node->fleet);
    if (view != NULL && view->config != NULL) {
        const table_row_t *row = config_row(view->config, service);
        deadline_ms = row == NULL ? 1 : row->deadline_ms;
    }
    fleet_view_put(view);
    return deadline_ms;
}

void
node_fill_request(node_t *node, const caller_query_t *query, int64_t now_us,
                  query_request_t *request)
{
    uint32_t deadline_ms = query->deadline_ms != 0
                               ? query->deadline_ms
                               : default_deadline_ms(node, query->service);
    *request = (query_request_t){
        .range = query->range,
        .deadline_us = now_us + (int64_t)deadline_ms * US_PER_MS,
        .once = query->once,
        .fingerprint = node_fingerprint(query),
        .body = query->body,
        .body_size = query->body_size,
    };
    memcpy(request->service, query->service, NAME_SIZE);
    memcpy(request->tenant, query->tenant, NAME_SIZE);
}

void
node_run_query(node_t *node, const query_request_t *request,
               query_answer_t *answer, uint64_t *sequence)
{
    query_wait_t wait = {
        .lock = PTHREAD_MUTEX_INITIALIZER,
        .ended = PTHREAD_COND_INITIALIZER,
    };
    query_waiter_t waiter = {.context = &wait, .done = on_query_done};
    node_submit_query(node, request, &waiter);
    pthread_mutex_lock(&wait.lock);
    while (!wait.done) {
        pthread_cond_wait(&wait.ended, &wait.lock);
    }
    pthread_mutex_unlock(&wait.lock);
    *answer = wait.answer;
    *sequence = wait.sequence;
    pthread_cond_destroy(&wait.ended);
    pthread_mutex_destroy(&wait.lock);
}

/* Runs a query that may run more than once. */
static json_t *
run_repeatable_query(node_t *node, const query_request_t *request,
                     int64_t started_us, unsigned *status)
{
    query_answer_t answer;
    uint64_t sequence = 0;
    node_run_query(node, request, &answer, &sequence);
    *status = answer_http_status(&answer);
    json_t *json = answer_json(&answer, node->incarnation, sequence,
                               clock_now_us() - started_us);
    json_object_set_new(json, "daemon", json_string(node->settings.name));
    return json;
}

json_t *
node_query(void *context, const caller_query_t *query, unsigned *status)
{
    node_t *node = context;
    int64_t started_us = clock_now_us();
    query_request_t request;
    atomic_fetch_add(&node->http_queries, 1);
    node_fill_request(node, query, started_us, &request);
    json_t *json =
        query->once ? node_query_once(node, query, &request, status)
                    : run_repeatable_query(node, &request, started_us, status);
    atomic_fetch_sub(&node->http_queries, 1);
    return json;
}

bool
node_cancel_local(node_t *node, uint64_t sequence)
{
    unsigned worker = coordinator_worker_of(sequence);
    worker_message_t *message =
        worker < node->worker_count
            ? worker_message_new(WORKER_MESSAGE_CANCEL_QUERY)
            : NULL;
    if (message == NULL) {
        return false;
    }
    message->sequence = sequence;
    worker_post(node->workers[worker], message);
    return true;
}

json_t *
node_cancel(void *context, const char *query, unsigned *status)
{
    node_t *node = context;
    uint64_t incarnation;
    uint64_t sequence;
    *status = HTTP_NOT_FOUND;
    if (query == NULL || !query_name_parse(query, &incarnation, &sequence)) {
        return json_pack("{s:s}", "error",
                         "the name of the query is not valid");
    }
    if (incarnation == node->incarnation) {
        bool posted = node_cancel_local(node, sequence);
        *status = posted ? HTTP_ACCEPTED : HTTP_NOT_FOUND;
        return json_object();
    }
    char text[QUERY_NAME_SIZE];
    snprintf(text, sizeof(text), "%" PRIx64, sequence);
    json_t *json = node_request_peer(node, incarnation, ASK_CANCEL, text,
                                     CANCEL_TIMEOUT_US, status);
    return json != NULL ? json : json_pack("{s:s}", "error", "unreachable");
}
