/* Readiness, directory, control and metrics endpoints. */
#include "platform/documents.h"
#include "platform/names.h"
#include "tier/metrics_text.h"
#include "tier/node_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Longest TTL of a directory answer, so that callers soon forget the
       address of a daemon that has left. */
    DIRECTORY_TTL_US = 2000000,
    DIRECTORY_SIZE = 4096
};

void
node_answer_text(exchange_t *exchange, uint32_t status, const char *type,
                 const char *text, size_t size)
{
    char head[96];
    int head_size = snprintf(head, sizeof(head), "Content-Type: %s\r\n", type);
    http_response_t answer = {
        .status = status,
        .headers = head,
        .headers_size = (size_t)head_size,
        .body = text,
        .body_size = size,
    };
    exchange_respond(exchange, &answer);
}

static bool
node_is_ready(const node_t *node)
{
    return !node->shutting_down && engine_table(node->engine) != NULL &&
           node->upstreams_known;
}

bool
node_target_is(const exchange_t *exchange, const char *path)
{
    const char *target = http_target(exchange_request(exchange));
    size_t length = strlen(path);
    return strncmp(target, path, length) == 0 &&
           (target[length] == '\0' || target[length] == '?');
}

static void
readiness_request(void *owner, exchange_t *exchange)
{
    const node_t *node = owner;
    if (!node_target_is(exchange, PATH_READY)) {
        node_answer_text(exchange, 404, "text/plain", "", 0);
        return;
    }
    node_answer_text(exchange, node_is_ready(node) ? 200 : 503, "text/plain",
                     "", 0);
}

static void
directory_request(void *owner, exchange_t *exchange)
{
    node_t *node = owner;
    char text[DIRECTORY_SIZE];
    char addresses[DIRECTORY_SIZE - 64];
    if (!node_target_is(exchange, PATH_DIRECTORY)) {
        node_answer_text(exchange, 404, "text/plain", "", 0);
        return;
    }
    /* Callers ask the nearest directory first: one of another zone found no
       directory in its own, and is told of all daemons. */
    char zone[MEMBER_NAME_SIZE];
    bool is_local =
        document_parse_directory_query(http_target(exchange_request(exchange)),
                                       zone, sizeof(zone)) &&
        strcmp(zone, node->boot.zone) == 0;
    size_t size =
        members_addresses(&node->members, is_local ? zone : NULL,
                          node->shutting_down ? node->boot.daemon_name : NULL,
                          addresses, sizeof(addresses));
    if (size == 0) {
        node_answer_text(exchange, 503, "text/plain", "", 0);
        return;
    }
    int64_t ttl_us = node->boot.directory_ttl_us < DIRECTORY_TTL_US
                         ? node->boot.directory_ttl_us
                         : DIRECTORY_TTL_US;
    size = document_format_directory(text, sizeof(text), addresses, ttl_us);
    node_answer_text(exchange, 200, "application/json", text, size);
}

static void
metrics_request(void *owner, exchange_t *exchange)
{
    node_t *node = owner;
    size_t size = 0;
    char *text = metrics_text(node, &size);
    node_answer_text(exchange, text != NULL ? 200 : 503,
                     "text/plain; version=0.0.4", text, size);
    free(text);
}

static void
ignore_disconnected(void *owner, exchange_t *exchange)
{
    (void)owner;
    (void)exchange;
}

const http_handler_t node_readiness_handler = {
    .request = readiness_request,
    .disconnected = ignore_disconnected,
};
const http_handler_t node_directory_handler = {
    .request = directory_request,
    .disconnected = ignore_disconnected,
};
const http_handler_t node_metrics_handler = {
    .request = metrics_request,
    .disconnected = ignore_disconnected,
};
