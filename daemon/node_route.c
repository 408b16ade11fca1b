#include "daemon/clock.h"
#include "daemon/node_state.h"
#include "edge/event.h"

#include <stdlib.h>
#include <string.h>

enum {
    HTTP_OK = 200,
    HTTP_ACCEPTED = 202,
    HTTP_NOT_FOUND = 404,
    HTTP_UNAVAILABLE = 503,
    SEQUENCE_TEXT_SIZE = 64
};

bool
node_send(node_t *node, uint64_t incarnation, const message_t *message)
{
    error_t ignored = ERROR_INIT;
    return peer_net_send(node->net, NULL, incarnation, message, &ignored) ==
           STATUS_OK;
}

/*
 * Posts each part to the worker that admits parts to its upstream. Returns
 * false if memory was out and no part was posted.
 */
static bool
post_parts(node_t *node, uint64_t coordinator, const part_request_t *requests,
           size_t count)
{
    part_request_t *selected = calloc(count, sizeof(*selected));
    if (selected == NULL) {
        return false;
    }
    for (unsigned worker = 0; worker < node->worker_count; worker++) {
        size_t selected_count = 0;
        for (size_t i = 0; i < count; i++) {
            if (admission_worker_of(requests[i].upstream,
                                    node->worker_count) == worker) {
                selected[selected_count++] = requests[i];
            }
        }
        worker_message_t *message =
            selected_count == 0 ? NULL
                                : worker_message_new_parts(
                                      coordinator, selected, selected_count);
        if (message != NULL) {
            worker_post(node->workers[worker], message);
        }
    }
    free(selected);
    return true;
}

static bool
route_parts(void *context, uint64_t owner, const part_request_t *requests,
            size_t count)
{
    node_t *node = context;
    if (owner == node->incarnation) {
        return post_parts(node, owner, requests, count);
    }
    message_t message = {
        .type = MESSAGE_PARTS,
        .parts = {.requests = requests, .count = count},
    };
    return node_send(node, owner, &message);
}

static void
post_cancel(node_t *node, uint64_t coordinator, const attempt_id_t *ids,
            size_t count)
{
    for (unsigned worker = 0; worker < node->worker_count; worker++) {
        worker_message_t *message =
            worker_message_new_cancel(coordinator, ids, count);
        if (message != NULL) {
            worker_post(node->workers[worker], message);
        }
    }
}

static void
route_cancel(void *context, uint64_t owner, attempt_id_t id)
{
    node_t *node = context;
    if (owner == node->incarnation) {
        post_cancel(node, owner, &id, 1);
        return;
    }
    message_t message = {
        .type = MESSAGE_CANCEL,
        .cancel = {.ids = &id, .count = 1},
    };
    node_send(node, owner, &message);
}

/* Posts replies to the workers that coordinate their queries. */
static void
post_replies(node_t *node, uint64_t owner, const part_reply_t *replies,
             size_t count)
{
    size_t start = 0;
    while (start < count) {
        unsigned worker = coordinator_worker_of(replies[start].id.sequence);
        size_t end = start + 1;
        while (end < count &&
               coordinator_worker_of(replies[end].id.sequence) == worker) {
            end++;
        }
        worker_message_t *message =
            worker < node->worker_count
                ? worker_message_new_replies(owner, replies + start,
                                             end - start)
                : NULL;
        if (message != NULL) {
            worker_post(node->workers[worker], message);
        }
        start = end;
    }
}

static void
route_replies(void *context, uint64_t coordinator, const part_reply_t *replies,
              size_t count)
{
    node_t *node = context;
    if (coordinator == node->incarnation) {
        post_replies(node, coordinator, replies, count);
        return;
    }
    message_t message = {
        .type = MESSAGE_REPLIES,
        .replies = {.replies = replies, .count = count},
    };
    node_send(node, coordinator, &message);
}

static void
route_partition(void *context, const partition_t *partition)
{
    node_t *node = context;
    fleet_announce_partition(node->fleet, partition);
}

static void
post_quarantine(node_t *node, const uint64_t *fingerprints, size_t count)
{
    for (unsigned worker = 0; worker < node->worker_count; worker++) {
        worker_message_t *message =
            worker_message_new(WORKER_MESSAGE_QUARANTINE);
        if (message == NULL) {
            return;
        }
        message->fingerprints = calloc(count, sizeof(*fingerprints));
        if (message->fingerprints == NULL) {
            worker_message_free(message);
            return;
        }
        memcpy(message->fingerprints, fingerprints,
               count * sizeof(*fingerprints));
        message->count = count;
        worker_post(node->workers[worker], message);
    }
}

/* Sends new fingerprints to all workers of this daemon and to all members. */
static void
route_quarantine(void *context, const uint64_t *fingerprints, size_t count)
{
    node_t *node = context;
    post_quarantine(node, fingerprints, count);
    fleet_view_t *view = fleet_current_view(node->fleet);
    for (size_t i = 0; view != NULL && i < view->member_count; i++) {
        message_t message = {
            .type = MESSAGE_HEARTBEAT,
            .heartbeat =
                {
                    .quarantined = fingerprints,
                    .quarantined_count = count,
                },
        };
        if ((int)i != view->self) {
            node_send(node, view->members[i].incarnation, &message);
        }
    }
    fleet_view_put(view);
}

worker_route_t
node_route(node_t *node)
{
    return (worker_route_t){
        .context = node,
        .parts = route_parts,
        .cancel = route_cancel,
        .replies = route_replies,
        .partition = route_partition,
        .quarantine = route_quarantine,
    };
}

void
node_publish_view(void *context, fleet_view_t *view)
{
    node_t *node = context;
    for (unsigned i = 0; i < node->worker_count; i++) {
        worker_message_t *message = worker_message_new(WORKER_MESSAGE_VIEW);
        if (message != NULL) {
            message->view = fleet_view_get(view);
            worker_post(node->workers[i], message);
        }
    }
}

uint64_t
node_settled_version(void *context)
{
    node_t *node = context;
    uint64_t settled = UINT64_MAX;
    for (unsigned i = 0; i < node->worker_count; i++) {
        uint64_t version = worker_settled_version(node->workers[i]);
        settled = version < settled ? version : settled;
    }
    return settled == UINT64_MAX ? 0 : settled;
}

void
node_send_answer(node_t *node, const char *peer, uint64_t incarnation,
                 uint64_t ask_id, unsigned status, json_t *json)
{
    char *text = json == NULL ? NULL : json_dumps(json, JSON_COMPACT);
    message_t message = {
        .type = MESSAGE_ANSWER,
        .answer =
            {
                .id = ask_id,
                .status = text == NULL ? HTTP_UNAVAILABLE : status,
                .json = text == NULL ? "" : text,
                .size = text == NULL ? 0 : strlen(text),
            },
    };
    error_t ignored = ERROR_INIT;
    peer_net_send(node->net, peer, incarnation, &message, &ignored);
    free(text);
    json_decref(json);
}

/* Parses a request's text, which is a query's sequence in hexadecimal. */
static uint64_t
parse_ask_sequence(const ask_t *ask)
{
    char text[SEQUENCE_TEXT_SIZE];
    size_t size = ask->size < sizeof(text) - 1 ? ask->size : sizeof(text) - 1;
    memcpy(text, ask->json, size);
    text[size] = '\0';
    return strtoull(text, NULL, 16);
}

static void
handle_ask(node_t *node, const char *peer, uint64_t incarnation,
           const message_t *message)
{
    const ask_t *ask = &message->ask;
    json_t *json;
    switch (ask->kind) {
    case ASK_QUERY:
    case ASK_OUTCOME:
        node_handle_forwarded_query(node, peer, incarnation, ask);
        break;
    case ASK_STATUS:
        node_send_answer(node, peer, incarnation, ask->id, HTTP_OK,
                         node_local_status(node));
        break;
    case ASK_EXPLAIN:
        json = node_local_explain(node, parse_ask_sequence(ask));
        node_send_answer(node, peer, incarnation, ask->id,
                         json == NULL ? HTTP_NOT_FOUND : HTTP_OK,
                         json == NULL ? json_object() : json);
        break;
    case ASK_CANCEL:
        node_cancel_local(node, parse_ask_sequence(ask));
        node_send_answer(node, peer, incarnation, ask->id, HTTP_ACCEPTED,
                         json_object());
        break;
    default:
        fleet_handle_message(node->fleet, peer, incarnation, message);
        break;
    }
}

static void
on_message(void *context, const char *peer, uint64_t incarnation,
           message_t *message)
{
    node_t *node = context;
    switch (message->type) {
    case MESSAGE_PARTS:
        post_parts(node, incarnation, message->parts.requests,
                   message->parts.count);
        break;
    case MESSAGE_REPLIES:
        post_replies(node, incarnation, message->replies.replies,
                     message->replies.count);
        break;
    case MESSAGE_CANCEL:
        post_cancel(node, incarnation, message->cancel.ids,
                    message->cancel.count);
        break;
    case MESSAGE_ASK:
        handle_ask(node, peer, incarnation, message);
        break;
    case MESSAGE_ANSWER:
        pending_requests_complete(&node->pending_requests, incarnation,
                                  message->answer.id, message->answer.status,
                                  message->answer.json, message->answer.size);
        break;
    case MESSAGE_HEARTBEAT:
        if (message->heartbeat.quarantined_count > 0) {
            post_quarantine(node, message->heartbeat.quarantined,
                            message->heartbeat.quarantined_count);
        }
        fleet_handle_message(node->fleet, peer, incarnation, message);
        break;
    default:
        fleet_handle_message(node->fleet, peer, incarnation, message);
        break;
    }
}

static void
on_up(void *context, const char *peer, uint64_t incarnation)
{
    node_t *node = context;
    fleet_peer_up(node->fleet, peer, incarnation);
    event_log(EVENT_PEER_UP, "peer=%s incarnation=%016llx", peer,
              (unsigned long long)incarnation);
}

static void
on_down(void *context, const char *peer, uint64_t incarnation, bool reachable,
        const error_t *err)
{
    node_t *node = context;
    event_log(EVENT_PEER_DOWN, "peer=%s reachable=%d cause=%s", peer,
              reachable ? 1 : 0, err->message);
    fleet_peer_down(node->fleet, peer, reachable);
    pending_requests_fail_peer(&node->pending_requests, incarnation);
    for (unsigned i = 0; i < node->worker_count; i++) {
        worker_message_t *message =
            worker_message_new(WORKER_MESSAGE_PEER_DOWN);
        if (message != NULL) {
            message->incarnation = incarnation;
            worker_post(node->workers[i], message);
        }
    }
}

static void
on_refused(void *context, const error_t *err)
{
    (void)context;
    error_t copy = *err;
    event_log(EVENT_INPUT_REFUSED, "%s", error_text(&copy));
}

const peer_ops_t node_peer_ops = {
    .on_message = on_message,
    .on_up = on_up,
    .on_down = on_down,
    .on_refused = on_refused,
};
