#include "tier/front.h"

#include "edge/event.h"
#include "http/loop_clock.h"
#include "platform/names.h"
#include "tier/front_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
    /* Retry-After while draining; callers are to retry at another daemon. */
    DRAIN_RETRY_AFTER_US = 20000,
    ANSWER_HEAD_SIZE = 16384
};

bool
front_head_add(buffer_t *head, const char *name, const char *value)
{
    size_t name_size = strlen(name);
    size_t value_size = strlen(value);
    uint8_t *end = buffer_reserve(head, name_size + value_size + 5);
    if (end == NULL) {
        return false;
    }
    /* snprintf's terminating NUL is not committed. */
    snprintf((char *)end, name_size + value_size + 5, "%s: %s\r\n", name,
             value);
    buffer_commit(head, name_size + value_size + 4);
    return true;
}

/* Append header lines; false: out of memory. */
static bool
head_append(buffer_t *head, const char *lines)
{
    size_t size = strlen(lines);
    uint8_t *end = buffer_reserve(head, size + 1);
    if (end == NULL) {
        return false;
    }
    /* The terminating NUL is not committed. */
    memcpy(end, lines, size + 1);
    buffer_commit(head, size);
    return true;
}

bool
front_head_copy(buffer_t *head, const http_message_t *message,
                const char *const *without)
{
    for (uint32_t i = 0; i < message->header_count; i++) {
        const char *name = http_header_name(message, i);
        bool skip = http_header_is_hop_by_hop(message, name);
        for (const char *const *set = without; !skip && *set != NULL; set++) {
            skip = strcasecmp(name, *set) == 0;
        }
        if (!skip &&
            !front_head_add(head, name, http_header_value(message, i))) {
            return false;
        }
    }
    return true;
}

static void
pending_free(exchange_t *exchange)
{
    pending_t *pending = exchange_data(exchange);
    if (pending != NULL) {
        exchange_set_data(exchange, NULL);
        if (pending->relay != NULL) {
            relay_links_cancel(pending->relay);
        }
        buffer_release(&pending->head);
        free(pending);
    }
}

static void
front_send(front_t *front, exchange_t *exchange, const http_response_t *answer)
{
    front->answers[answer->status / 100 < 6 ? answer->status / 100 : 0]++;
    pending_free(exchange);
    exchange_respond(exchange, answer);
}

void
front_refuse(front_t *front, exchange_t *exchange, uint32_t status,
             const char *reason, int64_t retry_after_us)
{
    char head[128];
    int size = 0;
    if (retry_after_us > 0) {
        size = snprintf(head, sizeof(head), HEADER_RETRY_AFTER ": %.3f\r\n",
                        (double)retry_after_us / 1e6);
    }
    event_log(EVENT_REQUEST_REFUSED, "status=%u reason=%s", status, reason);
    http_response_t answer = {
        .status = status,
        .headers = head,
        .headers_size = (size_t)size,
    };
    front_send(front, exchange, &answer);
}

/* The value of a header that must occur once; NULL: it is missing or occurs
   several times. */
static const char *
header_single_value(const http_message_t *message, const char *name)
{
    const char *found = NULL;
    for (uint32_t i = 0; i < message->header_count; i++) {
        if (strcasecmp(http_header_name(message, i), name) == 0) {
            if (found != NULL) {
                return NULL;
            }
            found = http_header_value(message, i);
        }
    }
    return found;
}

static bool
id_is_valid(const char *id)
{
    size_t length = id != NULL ? strlen(id) : 0;
    return length > 0 && length < ENGINE_ID_SIZE;
}

/* Pass an admitted request on: to a peer if this daemon can't serve it now,
   else to the engine. */
static void
front_pass_on(exchange_t *exchange, pending_t *pending, int64_t now_us)
{
    front_t *front = pending->front;
    /* A key that this daemon can't check yet is not sent to a peer. */
    bool may_relay = engine_table(front->engine) != NULL ||
                     pending->call.credential.key == NULL;
    if (front->relay_ops == NULL || !may_relay ||
        !front->relay_ops->is_wanted(front->relay_owner) ||
        !front_relay(exchange, pending, now_us)) {
        front_begin(exchange, pending, now_us);
    }
}

/* Pass the request on if it has a token or needs none. */
static void
front_try_token(exchange_t *exchange, pending_t *pending, int64_t now_us)
{
    if (front_take_token(exchange, pending, now_us)) {
        front_pass_on(exchange, pending, now_us);
    }
}

static void
front_request(void *owner, exchange_t *exchange)
{
    front_t *front = owner;
    int64_t now_us = exchange_arrived_us(exchange);
    const http_message_t *message = exchange_request(exchange);
    const char *host = header_single_value(message, "Host");
    const char *id = header_single_value(message, HEADER_REQUEST_ID);
    const char *deadline = http_header_find(message, HEADER_DEADLINE_MS);
    if (host == NULL || !id_is_valid(id) || http_target(message)[0] != '/' ||
        strcmp(message->method, "CONNECT") == 0) {
        front_refuse(front, exchange, 400, "no_host_or_id", 0);
        return;
    }
    if (front->takes_relayed && !front_take_relayed(exchange, front)) {
        return;
    }
    if (front->draining) {
        front_refuse(front, exchange, 503, "leaving", DRAIN_RETRY_AFTER_US);
        return;
    }
    pending_t *pending = calloc(1, sizeof(*pending));
    if (pending == NULL) {
        front_refuse(front, exchange, 503, "no_memory", DRAIN_RETRY_AFTER_US);
        return;
    }
    snprintf(pending->id, sizeof(pending->id), "%s", id);
    pending->is_head = strcmp(message->method, "HEAD") == 0;
    exchange_set_data(exchange, pending);
    double deadline_ms = deadline != NULL ? strtod(deadline, NULL) : 0;
    pending->front = front;
    pending->call = (call_t){
        .owner = exchange,
        .id = pending->id,
        .host = host,
        .method = message->method,
        .target = http_target(message),
        .body = buffer_data(&message->body),
        .body_size = buffer_size(&message->body),
        .timeout_us = deadline_ms > 0 && deadline_ms < 1e9
                          ? (int64_t)(deadline_ms * 1000)
                          : 0,
    };
    if (!front_identify(exchange, pending)) {
        return;
    }
    pending->deadline_us =
        now_us + engine_timeout_us(front->engine, &pending->call, now_us);
    front_try_token(exchange, pending, now_us);
}

void
front_begin(exchange_t *exchange, pending_t *pending, int64_t now_us)
{
    request_t *request =
        engine_begin(pending->front->engine, &pending->call, now_us);
    /* If the engine has refused the request, pending may be freed. */
    if (request != NULL) {
        pending = exchange_data(exchange);
        pending->request = request;
    }
}

static void
front_disconnected(void *owner, exchange_t *exchange)
{
    front_t *front = owner;
    pending_t *pending = exchange_data(exchange);
    if (pending != NULL && pending->request != NULL) {
        engine_cancel(front->engine, pending->request, loop_now_us());
    }
    pending_free(exchange);
}

static void
front_wake(void *owner, exchange_t *exchange)
{
    front_t *front = owner;
    pending_t *pending = exchange_data(exchange);
    if (pending != NULL && pending->quota_until_us > 0) {
        int64_t left_us = pending->deadline_us - loop_now_us();
        pending->call.timeout_us = left_us > 1 ? left_us : 1;
        /* A configuration that came meanwhile may lack the key. */
        if (front_identify(exchange, pending)) {
            front_try_token(exchange, pending, loop_now_us());
        }
        return;
    }
    if (pending != NULL && pending->request != NULL) {
        engine_wake(front->engine, pending->request, loop_now_us());
    }
}

const http_handler_t front_handler = {
    .request = front_request,
    .disconnected = front_disconnected,
    .wake = front_wake,
};

void
front_wake_at(void *call_owner, int64_t at_us)
{
    exchange_wake_at(call_owner, at_us);
}

void
front_answer_message(exchange_t *exchange, const http_message_t *message)
{
    static const char *const relay_headers[] = {
        HEADER_RELAY_IN_FORCE,
        HEADER_RELAY_REFUSED,
        NULL,
    };
    const pending_t *pending = exchange_data(exchange);
    front_t *front = pending->front;
    buffer_t head = {0};
    char relay[RELAY_HEADERS_SIZE];
    front_relay_headers(front, NULL, relay, sizeof(relay));
    if (!front_head_copy(&head, message, relay_headers) ||
        !head_append(&head, relay)) {
        buffer_release(&head);
        front_refuse(front, exchange, 502, "no_memory", 0);
        return;
    }
    http_response_t out = {
        .status = message->status,
        .headers = (const char *)buffer_data(&head),
        .headers_size = buffer_size(&head),
        .body = buffer_data(&message->body),
        .body_size = buffer_size(&message->body),
        .no_body = pending->is_head || message->status == 204 ||
                   message->status == 304,
    };
    front_send(front, exchange, &out);
    buffer_release(&head);
}

static void
answer_relayed(exchange_t *exchange, const answer_t *answer)
{
    front_answer_message(exchange, answer->message);
}

static void
answer_merged(exchange_t *exchange, const answer_t *answer)
{
    const pending_t *pending = exchange_data(exchange);
    front_t *front = pending->front;
    char head[ANSWER_HEAD_SIZE];
    char relay[RELAY_HEADERS_SIZE];
    front_relay_headers(front, NULL, relay, sizeof(relay));
    int size = snprintf(
        head, sizeof(head),
        HEADER_REQUEST_ID ": %s\r\n" HEADER_PART_SIGNATURES
                          ": %s\r\n" HEADER_PARTS_MISSING ": %u\r\n%s",
        pending->id, answer->signatures, answer->missing_shards, relay);
    if (size < 0 || (size_t)size >= sizeof(head)) {
        front_refuse(front, exchange, 502, "signatures_too_long", 0);
        return;
    }
    http_response_t out = {
        .status = answer->status,
        .headers = head,
        .headers_size = (size_t)size,
        .body = answer->body,
        .body_size = answer->body_size,
        .no_body = pending->is_head,
    };
    front_send(front, exchange, &out);
}

void
front_answer_error(exchange_t *exchange, const answer_t *answer)
{
    pending_t *pending = exchange_data(exchange);
    front_t *front = pending->front;
    char head[256 + RELAY_HEADERS_SIZE];
    char relay[RELAY_HEADERS_SIZE];
    /* A peer that has relayed the request may ask another one if this daemon
       has just lost the upstreams. */
    bool lost = front->takes_relayed && answer->is_repeatable &&
                reach_is_cut_off(engine_reach(front->engine));
    front_relay_headers(front, lost ? "upstreams_unreachable" : NULL, relay,
                        sizeof(relay));
    int size = snprintf(head, sizeof(head), HEADER_REQUEST_ID ": %s\r\n%s",
                        pending->id, relay);
    if (answer->status < 500 || answer->status == 503) {
        /* With each of these statuses, a local answer says that the request
           has not run. */
        front_return_token(pending);
    }
    if (answer->retry_after_us > 0) {
        size += snprintf(head + size, sizeof(head) - (size_t)size,
                         HEADER_RETRY_AFTER ": %.3f\r\n",
                         (double)answer->retry_after_us / 1e6);
    }
    http_response_t out = {
        .status = answer->status,
        .headers = head,
        .headers_size = (size_t)size,
    };
    front_send(front, exchange, &out);
}

/* Relay a request that failed here because no upstream is reached, else answer
   the caller with the error. */
static void
answer_local(exchange_t *exchange, const answer_t *answer)
{
    pending_t *pending = exchange_data(exchange);
    front_t *front = pending->front;
    answer_t failure = *answer;
    if (pending->may_have_run && answer->status == 503) {
        /* A peer may have run it before; 503 would say that it has not. */
        failure.status = 502;
        failure.retry_after_us = 0;
    }
    pending->may_have_run |= answer->may_have_run;
    if (answer->status >= 500 && answer->is_repeatable &&
        front->relay_ops != NULL &&
        front->relay_ops->is_wanted(front->relay_owner)) {
        pending->has_failed = true;
        pending->failure = failure;
        if (!front_identify(exchange, pending) ||
            front_relay(exchange, pending, loop_now_us())) {
            return;
        }
    }
    front_answer_error(exchange, &failure);
}

void
front_answer(void *call_owner, const answer_t *answer)
{
    static void (*const answers[])(exchange_t *, const answer_t *) = {
        [ANSWER_RELAYED] = answer_relayed,
        [ANSWER_MERGED] = answer_merged,
        [ANSWER_LOCAL] = answer_local,
    };
    pending_t *pending = exchange_data(call_owner);
    pending->request = NULL;
    answers[answer->kind](call_owner, answer);
}
