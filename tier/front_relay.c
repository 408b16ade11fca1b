/* Requests that are relayed to other daemons, and those that they relay. */
#include "edge/event.h"
#include "http/loop_clock.h"
#include "platform/names.h"
#include "tier/front_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Peers that one request is relayed to, one after the other. With more
       than half of the daemons cut off, most requests still find one. */
    RELAYS_MAX = 6,
    /* A request is not relayed with less time than this left. */
    RELAY_TIME_MIN_US = 10000
};

void
front_relay_headers(const front_t *front, const char *reason, char *text,
                    size_t size)
{
    const route_table_t *table = engine_table(front->engine);
    text[0] = '\0';
    if (!front->takes_relayed) {
        return;
    }
    int length =
        snprintf(text, size, HEADER_RELAY_IN_FORCE ": %" PRIu64 "\r\n",
                 table != NULL ? table->version : 0);
    if (reason != NULL) {
        snprintf(text + length, size - (size_t)length,
                 HEADER_RELAY_REFUSED ": %s\r\n", reason);
    }
}

/* Why a relayed request is refused; NULL: it is taken. version: the least one
   of the configuration, as text; may be NULL. */
static const char *
relay_refusal(const front_t *front, const char *version)
{
    const route_table_t *table = engine_table(front->engine);
    if (front->draining) {
        return "leaving";
    }
    if (table == NULL) {
        return "no_configuration";
    }
    if (reach_is_cut_off(engine_reach(front->engine))) {
        return "upstreams_unreachable";
    }
    return version != NULL && strtoull(version, NULL, 10) > table->version
               ? "older_configuration"
               : NULL;
}

bool
front_take_relayed(exchange_t *exchange, front_t *front)
{
    const http_message_t *message = exchange_request(exchange);
    const char *reason =
        relay_refusal(front, http_header_find(message, HEADER_RELAY_VERSION));
    if (reason == NULL) {
        return true;
    }
    char headers[RELAY_HEADERS_SIZE];
    front_relay_headers(front, reason, headers, sizeof(headers));
    http_response_t refusal = {
        .status = 503,
        .headers = headers,
        .headers_size = strlen(headers),
    };
    exchange_respond(exchange, &refusal);
    return false;
}

static void
relay_log(const pending_t *pending, const char *outcome, uint32_t status,
          const char *reason)
{
    event_log(EVENT_REQUEST_RELAYED,
              "id=%s target=%.48s to=%s outcome=%s status=%u reason=%s "
              "relays=%u",
              pending->id, pending->call.target, pending->peer, outcome,
              status, reason, pending->relays);
}

/* No peer can take the request: answer it with what the engine has said, or
   pass it to the engine. */
static void
relay_fall_back(exchange_t *exchange, pending_t *pending, int64_t now_us)
{
    pending->relays_ended = true;
    if (!pending->has_failed) {
        pending->call.timeout_us = pending->deadline_us - now_us;
        front_begin(exchange, pending, now_us);
        return;
    }
    answer_t failure = pending->failure;
    if (pending->may_have_run && failure.status == 503) {
        failure.status = 502;
        failure.retry_after_us = 0;
    }
    front_answer_error(exchange, &failure);
}

static void
relay_fail(exchange_t *exchange, uint32_t status, const char *reason)
{
    answer_t answer = {
        .kind = ANSWER_LOCAL,
        .status = status,
        .reason = reason,
        .may_have_run = true,
    };
    front_answer_error(exchange, &answer);
}

/* Whether the status says that the request has not run. */
static bool
status_is_refusal(uint32_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Ask another peer, if the request may still run. */
static void
relay_again(exchange_t *exchange, pending_t *pending, int64_t now_us)
{
    if (front_identify(exchange, pending) &&
        !front_relay(exchange, pending, now_us)) {
        relay_fall_back(exchange, pending, now_us);
    }
}

static void
relay_answered(exchange_t *exchange, pending_t *pending,
               const http_message_t *message, int64_t now_us)
{
    front_t *front = pending->front;
    const char *refused = http_header_find(message, HEADER_RELAY_REFUSED);
    const char *version = http_header_find(message, HEADER_RELAY_IN_FORCE);
    if (refused != NULL) {
        relay_log(pending, "refused", message->status, refused);
        /* The peer may have lost the upstreams after it had sent the request
           to one. */
        pending->may_have_run |= !status_is_refusal(message->status);
        front->relay_ops->avoid(front->relay_owner, pending->peer, now_us);
        relay_again(exchange, pending, now_us);
        return;
    }
    relay_log(pending, "answered", message->status, "-");
    front->relayed++;
    if (version != NULL) {
        front->relay_ops->note_version(front->relay_owner,
                                       strtoull(version, NULL, 10));
    }
    if (pending->may_have_run && status_is_refusal(message->status)) {
        relay_fail(exchange, 502, "peer_refused");
        return;
    }
    front_answer_message(exchange, message);
}

static void
relay_done(void *owner, relay_result_t result, const http_message_t *message,
           int64_t now_us)
{
    exchange_t *exchange = owner;
    pending_t *pending = exchange_data(exchange);
    front_t *front = pending->front;
    bool idempotent = engine_is_idempotent(front->engine, &pending->call);
    pending->relay = NULL;
    switch (result) {
    case RELAY_ANSWERED:
        relay_answered(exchange, pending, message, now_us);
        return;
    case RELAY_TIMED_OUT:
        relay_log(pending, "timed_out", 504, "-");
        relay_fail(exchange, 504, "deadline");
        return;
    case RELAY_LOST:
        relay_log(pending, "lost", 0, "-");
        pending->may_have_run = true;
        front->relay_ops->avoid(front->relay_owner, pending->peer, now_us);
        if (!idempotent) {
            relay_fail(exchange, 502, "relay_lost");
            return;
        }
        break;
    case RELAY_NOT_SENT:
        relay_log(pending, "not_sent", 0, "-");
        front->relay_ops->avoid(front->relay_owner, pending->peer, now_us);
        break;
    }
    relay_again(exchange, pending, now_us);
}

bool
front_relay(exchange_t *exchange, pending_t *pending, int64_t now_us)
{
    front_t *front = pending->front;
    relay_request_t request = {
        .method = pending->call.method,
        .target = pending->call.target,
        .head = pending->call.head,
        .head_size = pending->call.head_size,
        .body = pending->call.body,
        .body_size = pending->call.body_size,
        .min_version = front->relay_ops->min_version(front->relay_owner),
        .tenant = pending->call.tenant,
        .deadline_us = pending->deadline_us,
        .idempotent = engine_is_idempotent(front->engine, &pending->call),
    };
    while (!pending->relays_ended && pending->relays < RELAYS_MAX &&
           now_us + RELAY_TIME_MIN_US < pending->deadline_us &&
           front->relay_ops->pick(front->relay_owner, &request.address,
                                  pending->peer)) {
        pending->relays++;
        pending->relay = relay_links_send(front->relay_links, &request,
                                          relay_done, exchange, now_us);
        if (pending->relay != NULL) {
            return true;
        }
        relay_log(pending, "not_sent", 0, "no_connection");
        front->relay_ops->avoid(front->relay_owner, pending->peer, now_us);
    }
    pending->relays_ended = true;
    return false;
}
