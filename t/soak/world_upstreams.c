/* Upstreams that run requests, and check whether they should have come. */
#include "daemon/clock.h"
#include "platform/names.h"
#include "t/lib/tier_address.h"
#include "t/soak/world_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { ARRIVED_SLACK_US = 100000 /* of a busy machine, on top of a bound */ };

void
upstream_part(uint32_t service, uint32_t request, uint8_t *part)
{
    for (uint32_t i = 0; i < PART_BYTES / sizeof(uint64_t); i++) {
        const uint32_t words[] = {service, request, i};
        uint64_t value = XXH64(words, sizeof(words), 0);
        memcpy(part + i * sizeof(value), &value, sizeof(value));
    }
}

/* Whether a daemon was undisturbed for so long that bounds hold for it. */
static bool
is_calm(const daemon_t *daemon, int64_t now_us)
{
    return now_us - daemon->harmed_us > STABLE_US &&
           now_us - daemon->store_harmed_us > STABLE_US;
}

static void
check_place(upstream_t *upstream, const char *id, const ledger_entry_t *entry,
            int64_t now_us)
{
    world_t *world = upstream->world;
    const daemon_t *daemon = &world->daemons[entry->daemon];
    if (!is_calm(daemon, now_us) || now_us - upstream->harmed_us < STABLE_US) {
        return;
    }
    if (upstream->draining_us != 0 &&
        now_us - upstream->draining_us > DRAIN_US + ARRIVED_SLACK_US) {
        ledger_break(world->ledger, "DRAIN", "%s at %s, %lld ms late, from %s",
                     id, upstream->id,
                     (long long)(now_us - upstream->draining_us - DRAIN_US) /
                         1000,
                     daemon->name);
    }
    if (world->evacuated_us != 0 && strcmp(upstream->zone, "a") == 0 &&
        now_us - world->evacuated_us > EVACUATE_US + ARRIVED_SLACK_US) {
        ledger_break(world->ledger, "EVAC", "%s at %s from %s", id,
                     upstream->id, daemon->name);
    }
    if (entry->kind == KIND_ONE && upstream->service != world->one_goes_to &&
        entry->sent_us - world->version_us > CONVERGE_US) {
        ledger_break(world->ledger, "CONFIG",
                     "%s at service %u, %lld ms after the change, from %s", id,
                     upstream->service,
                     (long long)(entry->sent_us - world->version_us) / 1000,
                     daemon->name);
    }
}

/* The request as its caller sent it. */
static bool
is_as_sent(const http_message_t *message, const char *id,
           const ledger_entry_t *entry)
{
    static const char *const paths[] = {"/one/", "/once/", "/all/"};
    char path[64];
    char body[64] = "";
    bool posts = entry->kind == KIND_ONCE;
    snprintf(path, sizeof(path), "%s%s", paths[entry->kind], id);
    if (posts) {
        snprintf(body, sizeof(body), "body of %s", id);
    }
    return strcmp(http_target(message), path) == 0 &&
           strcmp(message->method, posts ? "POST" : "GET") == 0 &&
           buffer_size(&message->body) == strlen(body) &&
           (body[0] == '\0' ||
            memcmp(buffer_data(&message->body), body, strlen(body)) == 0);
}

/* Whether some configuration of the run lets that service have it. */
static bool
is_on_route(ledger_kind_t kind, uint32_t service)
{
    switch (kind) {
    case KIND_ONE:
        return service == 0 || service == MOVED_TO;
    case KIND_ONCE:
        return service == SHARDS;
    default:
        return service < SHARDS;
    }
}

static void
upstream_request(void *owner, exchange_t *exchange)
{
    upstream_t *upstream = owner;
    world_t *world = upstream->world;
    const http_message_t *message = exchange_request(exchange);
    const char *id = http_header_find(message, HEADER_REQUEST_ID);
    const char *expected = http_header_find(message, HEADER_EXPECT_INSTANCE);
    int64_t now_us = clock_now_us();
    ledger_run_t run = {
        .service = upstream->service,
        .upstream = upstream->number,
        .at_us = now_us,
        .rejected = expected != NULL && strcmp(expected, upstream->id) != 0,
    };
    const ledger_entry_t *entry =
        ledger_ran(world->ledger, id != NULL ? id : "none", &run);
    if (entry == NULL || run.rejected) {
        exchange_respond(exchange, &(http_response_t){.status = 421});
        return;
    }
    if (!is_as_sent(message, id, entry)) {
        ledger_break(world->ledger, "UNASKED", "%s is %s %s", id,
                     message->method, http_target(message));
    }
    if (!is_on_route(entry->kind, upstream->service)) {
        ledger_break(world->ledger, "ROUTE", "%s at service %u", id,
                     upstream->service);
    }
    check_place(upstream, id, entry, now_us);
    exchange_wake_at(exchange, now_us + upstream->work_us);
}

static void
upstream_wake(void *owner, exchange_t *exchange)
{
    const upstream_t *upstream = owner;
    const char *id =
        http_header_find(exchange_request(exchange), HEADER_REQUEST_ID);
    uint8_t part[PART_BYTES];
    char head[256];
    upstream_part(upstream->service, (uint32_t)atoi(id + 2), part);
    int size =
        snprintf(head, sizeof(head),
                 HEADER_REQUEST_ID ": %s\r\n" HEADER_SIGNATURE
                                   ": %u.%s\r\n" HEADER_INSTANCE ": %s\r\n",
                 id, upstream->service, id, upstream->id);
    exchange_respond(exchange, &(http_response_t){.status = 200,
                                                  .headers = head,
                                                  .headers_size = (size_t)size,
                                                  .body = part,
                                                  .body_size = sizeof(part)});
}

static void
upstream_gone(void *owner, exchange_t *exchange)
{
    (void)owner;
    (void)exchange;
}

void
upstream_start(upstream_t *upstream)
{
    static const http_server_settings_t settings = {.connections_max = 300};
    static const http_handler_t service = {
        .request = upstream_request,
        .disconnected = upstream_gone,
        .wake = upstream_wake,
    };
    upstream->server = http_server_new(upstream->world->loop, &settings);
    if (!http_server_listen(upstream->server, &upstream->address, &service,
                            upstream)) {
        perror("upstream");
        abort();
    }
    upstream->proxy = proxy_new(upstream->world->loop, &upstream->listed,
                                &upstream->address);
}

void
upstream_list(const upstream_t *upstream)
{
    char key[64];
    char text[256];
    char address[64];
    snprintf(key, sizeof(key), KEY_UPSTREAMS "%s", upstream->id);
    snprintf(text, sizeof(text),
             "{\"service\":\"s%u\",\"addr\":\"%s\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":16,\"state\":\"%s\","
             "\"cold_left_ms\":0,\"seq\":1}",
             upstream->service,
             address_text(&upstream->listed, address, sizeof(address)),
             upstream->zone,
             upstream->draining_us != 0 ? "draining" : "ready");
    tier_store_put(upstream->world->store, key, text);
}
