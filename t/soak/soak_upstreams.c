/* Upstreams that serve requests and check that each was routed correctly. */
#include "daemon/clock.h"
#include "platform/names.h"
#include "t/lib/tier_address.h"
#include "t/soak/soak_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    ARRIVAL_SLACK_US = 100000 /* added to each bound, for a busy machine */
};

void
upstream_fill_part(uint32_t service, uint32_t request, uint8_t *part)
{
    for (uint32_t i = 0; i < PART_BYTES / sizeof(uint64_t); i++) {
        const uint32_t words[] = {service, request, i};
        uint64_t value = XXH64(words, sizeof(words), 0);
        memcpy(part + i * sizeof(value), &value, sizeof(value));
    }
}

/*
 * Whether a daemon has been without faults for long enough that the bounds
 * apply to it.
 */
static bool
is_undisturbed(const daemon_t *daemon, int64_t now_us)
{
    return now_us - daemon->last_fault_us > STABLE_US &&
           now_us - daemon->last_store_fault_us > STABLE_US;
}

/* Check that the daemon heeds what the upstream has told it. */
static void
check_notice(upstream_t *upstream, const char *id,
             const request_log_entry_t *entry, int64_t now_us)
{
    soak_t *soak = upstream->soak;
    const daemon_t *daemon = &soak->daemons[entry->daemon];
    upstream_notice_t *notice = &upstream->notices[entry->daemon];
    if (daemon->last_fault_us > notice->leaving_us) {
        notice->leaving_us = 0; /* it may have been restarted since */
    }
    if (daemon->last_fault_us > notice->rest_us) {
        notice->rest_us = 0;
    }
    if (daemon->last_fault_us > notice->limit_us) {
        notice->limit_us = 0;
    }
    if (notice->leaving_us != 0 &&
        entry->sent_us - notice->leaving_us > DRAIN_US) {
        request_log_add_violation(
            soak->request_log, "DRAIN",
            "%s at %s, %lld ms after it told %s that it leaves", id,
            upstream->id, (long long)(now_us - notice->leaving_us) / 1000,
            daemon->name);
    }
    int64_t since_us = now_us - notice->rest_us;
    if (notice->rest_us != 0 && since_us > REST_SLACK_US &&
        since_us < REST_US && ++notice->rest_arrivals > REST_ARRIVALS_MAX) {
        request_log_add_violation(
            soak->request_log, "BUDGET",
            "%s at resting %s, %lld ms after its Retry-After to %s", id,
            upstream->id, (long long)since_us / 1000, daemon->name);
    }
}

/* Check that the daemons that know the upstream's limit keep it together. */
static void
check_limit(upstream_t *upstream, const char *id,
            const request_log_entry_t *entry, int64_t now_us)
{
    soak_t *soak = upstream->soak;
    const upstream_notice_t *notice = &upstream->notices[entry->daemon];
    const uint32_t size = LIMIT_ARRIVALS_MAX + 1;
    if (upstream->limited_since_us == 0 || notice->limit_us == 0 ||
        now_us - notice->limit_us < LIMIT_TOLD_US ||
        now_us - upstream->limited_since_us < STABLE_US ||
        !is_undisturbed(&soak->daemons[entry->daemon], now_us)) {
        return;
    }
    uint32_t number = upstream->limit_arrival_count++;
    upstream->limit_arrivals[number % size] = now_us;
    int64_t span_us =
        number < LIMIT_ARRIVALS_MAX
            ? LIMIT_WINDOW_US
            : now_us - upstream->limit_arrivals[(number + 1) % size];
    if (span_us < LIMIT_WINDOW_US) {
        request_log_add_violation(
            soak->request_log, "LIMIT",
            "%s at %s: %u requests in %lld ms, where %d in %d ms are allowed",
            id, upstream->id, size, (long long)span_us / 1000,
            LIMIT_ARRIVALS_MAX, LIMIT_WINDOW_US / 1000);
    }
}

static void
check_upstream_choice(upstream_t *upstream, const char *id,
                      const request_log_entry_t *entry, int64_t now_us)
{
    soak_t *soak = upstream->soak;
    const daemon_t *daemon = &soak->daemons[entry->daemon];
    if (!is_undisturbed(daemon, now_us) ||
        now_us - upstream->last_fault_us < STABLE_US) {
        return;
    }
    if (upstream->draining_since_us != 0 &&
        now_us - upstream->draining_since_us > DRAIN_US + ARRIVAL_SLACK_US) {
        request_log_add_violation(
            soak->request_log, "DRAIN",
            "%s at %s, %lld ms after the drain bound, from %s", id,
            upstream->id,
            (long long)(now_us - upstream->draining_since_us - DRAIN_US) /
                1000,
            daemon->name);
    }
    if (soak->evacuated_since_us != 0 && strcmp(upstream->zone, "a") == 0 &&
        now_us - soak->evacuated_since_us > EVACUATE_US + ARRIVAL_SLACK_US) {
        request_log_add_violation(soak->request_log, "EVAC",
                                  "%s at %s in an evacuated zone, from %s", id,
                                  upstream->id, daemon->name);
    }
    if (entry->kind == KIND_IDEMPOTENT &&
        upstream->service != soak->idempotent_service &&
        entry->sent_us - soak->config_put_us > CONVERGE_US) {
        request_log_add_violation(
            soak->request_log, "CONFIG",
            "%s at service %u, %lld ms after the configuration moved "
            "its route, from %s",
            id, upstream->service,
            (long long)(entry->sent_us - soak->config_put_us) / 1000,
            daemon->name);
    }
}

/* Whether method, target and body are those that the caller sent. */
static bool
is_unchanged(const http_message_t *message, const char *id,
             const request_log_entry_t *entry)
{
    static const char *const paths[] = {"/one/", "/once/", "/all/"};
    char path[64];
    char body[64] = "";
    bool posts = entry->kind == KIND_NON_IDEMPOTENT;
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

/* Whether some configuration routes requests of that kind to the service. */
static bool
is_on_route(request_kind_t kind, uint32_t service)
{
    switch (kind) {
    case KIND_IDEMPOTENT:
        return service == 0 || service == ALTERNATE_SERVICE;
    case KIND_NON_IDEMPOTENT:
        return service == SHARDS;
    default:
        return service < SHARDS;
    }
}

/* Refuse a request and ask the daemon for no more during REST_US. */
static void
respond_resting(upstream_t *upstream, exchange_t *exchange, uint32_t daemon,
                int64_t now_us)
{
    static const char headers[] =
        HEADER_NOT_RUN ": 1\r\n" HEADER_RETRY_AFTER ": 1.5\r\n";
    upstream_notice_t *notice = &upstream->notices[daemon];
    if (notice->rest_us == 0 || now_us - notice->rest_us > REST_US) {
        notice->rest_us = now_us;
        notice->rest_arrivals = 0;
    }
    exchange_respond(exchange,
                     &(http_response_t){.status = 503,
                                        .headers = headers,
                                        .headers_size = sizeof(headers) - 1});
}

static void
upstream_request(void *owner, exchange_t *exchange)
{
    upstream_t *upstream = owner;
    soak_t *soak = upstream->soak;
    const http_message_t *message = exchange_request(exchange);
    const char *id = http_header_find(message, HEADER_REQUEST_ID);
    const char *expected = http_header_find(message, HEADER_EXPECT_INSTANCE);
    int64_t now_us = clock_now_us();
    request_arrival_t arrival = {
        .service = upstream->service,
        .upstream = upstream->number,
        .arrived_us = now_us,
        .rejected = upstream->resting ||
                    (expected != NULL && strcmp(expected, upstream->id) != 0),
    };
    const request_log_entry_t *entry = request_log_add_arrival(
        soak->request_log, id != NULL ? id : "none", &arrival);
    if (entry == NULL || (arrival.rejected && !upstream->resting)) {
        exchange_respond(exchange, &(http_response_t){.status = 421});
        return;
    }
    keys_check_arrival(soak, id, message,
                       is_undisturbed(&soak->daemons[entry->daemon], now_us));
    if (!is_unchanged(message, id, entry)) {
        request_log_add_violation(soak->request_log, "UNASKED",
                                  "%s was changed and arrived as %s %s", id,
                                  message->method, http_target(message));
    }
    if (!is_on_route(entry->kind, upstream->service)) {
        request_log_add_violation(
            soak->request_log, "ROUTE",
            "%s at service %u, which is not on its route", id,
            upstream->service);
    }
    check_upstream_choice(upstream, id, entry, now_us);
    if (now_us - upstream->last_fault_us > STABLE_US) {
        check_notice(upstream, id, entry, now_us);
        check_limit(upstream, id, entry, now_us);
    }
    if (upstream->resting) {
        respond_resting(upstream, exchange, entry->daemon, now_us);
        return;
    }
    exchange_wake_at(exchange, now_us + upstream->processing_us);
}

static void
upstream_wake(void *owner, exchange_t *exchange)
{
    upstream_t *upstream = owner;
    const char *id =
        http_header_find(exchange_request(exchange), HEADER_REQUEST_ID);
    uint32_t number = (uint32_t)atoi(id + 2);
    uint32_t daemon =
        request_log_entry(upstream->soak->request_log, number)->daemon;
    upstream_notice_t *notice = &upstream->notices[daemon];
    if (upstream->leaving && notice->leaving_us == 0) {
        notice->leaving_us = clock_now_us();
    }
    if (upstream->limited_since_us != 0 && notice->limit_us == 0) {
        notice->limit_us = clock_now_us();
    }
    uint8_t part[PART_BYTES];
    char head[256];
    char limit[64] = "";
    if (upstream->limited_since_us != 0) {
        snprintf(limit, sizeof(limit), HEADER_RATE_LIMIT ": %d\r\n",
                 LIMIT_PER_S);
    }
    upstream_fill_part(upstream->service, number, part);
    int size = snprintf(
        head, sizeof(head),
        HEADER_REQUEST_ID ": %s\r\n" HEADER_SIGNATURE
                          ": %u.%s\r\n" HEADER_INSTANCE ": %s\r\n%s%s",
        id, upstream->service, id, upstream->id,
        upstream->leaving ? HEADER_LEAVING ": 1\r\n" : "", limit);
    exchange_respond(exchange, &(http_response_t){.status = 200,
                                                  .headers = head,
                                                  .headers_size = (size_t)size,
                                                  .body = part,
                                                  .body_size = sizeof(part)});
}

static void
upstream_disconnected(void *owner, exchange_t *exchange)
{
    (void)owner;
    (void)exchange;
}

void
upstream_start(upstream_t *upstream)
{
    static const http_server_settings_t settings = {.connections_max = 300};
    static const http_handler_t handler = {
        .request = upstream_request,
        .disconnected = upstream_disconnected,
        .wake = upstream_wake,
    };
    upstream->server = http_server_new(upstream->soak->loop, &settings);
    if (!http_server_listen(upstream->server, &upstream->server_address,
                            &handler, upstream)) {
        perror("upstream");
        abort();
    }
    upstream->proxy = proxy_new(upstream->soak->loop, &upstream->proxy_address,
                                &upstream->server_address);
}

void
upstream_register(const upstream_t *upstream)
{
    char key[64];
    char text[256];
    char address[64];
    snprintf(key, sizeof(key), KEY_UPSTREAMS "%s", upstream->id);
    snprintf(text, sizeof(text),
             "{\"service\":\"s%u\",\"addr\":\"%s\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":16,\"state\":\"%s\","
             "\"born\":%lld,\"cold_left_ms\":0,\"seq\":1}",
             upstream->service,
             address_text(&upstream->proxy_address, address, sizeof(address)),
             upstream->zone,
             upstream->draining_since_us != 0 ? "draining" : "ready",
             (long long)upstream->started_ms);
    tier_store_put(upstream->soak->store, key, text);
}
