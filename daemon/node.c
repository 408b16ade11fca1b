#include "daemon/node.h"
#include "daemon/clock.h"
#include "daemon/node_state.h"
#include "edge/event.h"
#include "edge/secret.h"

#include <arpa/inet.h>
#include <gnutls/crypto.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

enum {
    US_PER_MS = 1000,
    POLL_NS = 10000000,
    CANCEL_WAIT_US = 2000000,
    INCARNATION_RANDOM_BITS = 10,
    RAMP_STEP_US = 50000,
    RAMP_SUCCESSES = 8,
    CRASH_LIMIT = 2,
    CRASH_BURST_US = 200000,
    HTTP_IDLE_S = 60
};

#define QUARANTINE_US INT64_C(600000000)

/* Time that a part may run past the lease; drain_us of fleet/roster.h. */
#define DRAIN_US INT64_C(1000000)

/*
 * Returns an incarnation that increases with the wall clock. Its low bits are
 * random, so that two starts at the same time get different incarnations.
 */
static uint64_t
new_incarnation(void)
{
    uint16_t noise = 0;
    gnutls_rnd(GNUTLS_RND_NONCE, &noise, sizeof(noise));
    noise &= (1U << INCARNATION_RANDOM_BITS) - 1;
    return ((uint64_t)clock_wall_us() << INCARNATION_RANDOM_BITS) | noise;
}

static status_t
start_workers(node_t *node, error_t *err)
{
    node->worker_count = node->settings.shards;
    node->workers = calloc(node->worker_count, sizeof(*node->workers));
    node->tenants = tenants_new();
    if (node->workers == NULL || node->tenants == NULL) {
        return error_set(err, STATUS_NO_MEMORY, "start workers", "-",
                         "out of memory");
    }
    for (unsigned i = 0; i < node->worker_count; i++) {
        worker_settings_t settings = {
            .index = i,
            .count = node->worker_count,
            .incarnation = node->incarnation,
            .queries_max =
                node->settings.limits_queries_max / node->worker_count + 1,
            .gate =
                {
                    .queue_max =
                        node->settings.limits_queue_max / node->worker_count +
                        1,
                    .ramp_step_us = RAMP_STEP_US,
                    .ramp_successes = RAMP_SUCCESSES,
                    .crash_limit = CRASH_LIMIT,
                    .quarantine_us = QUARANTINE_US,
                    .crash_burst_us = CRASH_BURST_US,
                },
            .upstream = &upstream_http_ops,
            .act_until_us = fleet_act_until_us(node->fleet),
            .trust_until_us = fleet_trust_until_us(node->fleet),
            .drain_us = DRAIN_US,
            .seed = node->incarnation + i,
            .tenants = node->tenants,
            .route = node_route(node),
        };
        node->workers[i] = worker_new(&settings, err);
        if (node->workers[i] == NULL) {
            node->worker_count = i;
            return err->status;
        }
    }
    return STATUS_OK;
}

static status_t
start_net(node_t *node, error_t *err)
{
    peer_net_settings_t settings = {
        .self = {.incarnation = node->incarnation},
        .port = (uint16_t)node->settings.listen_peer_port,
        .key = {.bytes = (const uint8_t *)node->key, .size = node->key_size},
        .seed = node->incarnation,
    };
    memcpy(settings.self.name, node->settings.name, NAME_SIZE);
    memcpy(settings.self.zone, node->settings.zone, NAME_SIZE);
    memcpy(settings.address, node->settings.listen_address, ADDRESS_SIZE);
    node->net = peer_net_new(&settings, &node_peer_ops, node, err);
    return node->net == NULL ? err->status : STATUS_OK;
}

static status_t
start_fleet(node_t *node, error_t *err)
{
    fleet_settings_t settings = {
        .settings = &node->settings,
        .incarnation = node->incarnation,
        .context = node,
        .publish = node_publish_view,
        .settled_version = node_settled_version,
    };
    node->fleet = fleet_new(&settings, err);
    return node->fleet == NULL ? err->status : STATUS_OK;
}

static bool
start_framework(struct _u_instance *http)
{
    /*
     * ulfius_start_framework uses select(), which fails with more than 1024
     * open files.
     */
    unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                     MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    struct MHD_OptionItem options[] = {
        {.option = MHD_OPTION_NOTIFY_COMPLETED,
         .value = (intptr_t)mhd_request_completed},
        {.option = MHD_OPTION_URI_LOG_CALLBACK,
         .value = (intptr_t)ulfius_uri_logger},
        {.option = MHD_OPTION_SOCK_ADDR, .ptr_value = http->bind_address},
        {.option = MHD_OPTION_CONNECTION_TIMEOUT, .value = HTTP_IDLE_S},
        {.option = MHD_OPTION_END},
    };
    return ulfius_start_framework_with_mhd_options(http, flags, options) ==
           U_OK;
}

static status_t
start_http(node_t *node, error_t *err)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)node->settings.listen_http_port),
    };
    node->http = calloc(1, sizeof(*node->http));
    if (node->http == NULL ||
        inet_pton(AF_INET, node->settings.listen_address, &address.sin_addr) !=
            1 ||
        ulfius_init_instance(node->http, node->settings.listen_http_port,
                             &address, NULL) != U_OK) {
        return error_set(err, STATUS_INTERNAL, "start http",
                         node->settings.listen_address,
                         "cannot set up the HTTP server on this IPv4 "
                         "address");
    }
    node->http->max_post_body_size = node->settings.limits_body_max_bytes;
    node->http->timeout = HTTP_IDLE_S;
    node->http->allowed_post_processor = U_POST_PROCESS_NONE;
    node->caller = (caller_api_t){
        .ops =
            {
                .context = node,
                .query = node_query,
                .cancel = node_cancel,
                .ticket = node_issue_ticket,
                .entries = node_entries,
                .explain = node_explain,
                .status = node_fleet_status,
                .ready = node_ready,
                .metrics = node_metrics,
            },
        .body_max_bytes = node->settings.limits_body_max_bytes,
        .query_body_max_bytes = node->settings.limits_query_body_max_bytes,
    };
    status_t status = caller_api_register(&node->caller, node->http, err);
    if (status == STATUS_OK) {
        status = node_register_operators(node, err);
    }
    if (status != STATUS_OK) {
        return status;
    }
    if (!start_framework(node->http)) {
        return error_set(err, STATUS_UNAVAILABLE, "listen for http",
                         node->settings.listen_address,
                         "cannot listen on port %u",
                         node->settings.listen_http_port);
    }
    node->http_started = true;
    return STATUS_OK;
}

static status_t
read_secrets(node_t *node, error_t *err)
{
    status_t status =
        secret_read(node->settings.key_file, SETTINGS_KEY_MIN_BYTES,
                    SETTINGS_KEY_MAX_BYTES, node->key, &node->key_size, err);
    if (status != STATUS_OK) {
        return status;
    }
    return secret_read(node->settings.token_file, SETTINGS_TOKEN_MIN_BYTES,
                       SETTINGS_TOKEN_MAX_BYTES, node->token,
                       &node->token_size, err);
}

node_t *
node_start(const settings_t *settings, error_t *err)
{
    node_t *node = calloc(1, sizeof(*node));
    if (node == NULL) {
        error_set(err, STATUS_NO_MEMORY, "start daemon", "-", "out of memory");
        return NULL;
    }
    node->settings = *settings;
    node->incarnation = new_incarnation();
    pending_requests_init(&node->pending_requests);
    if (read_secrets(node, err) != STATUS_OK ||
        start_fleet(node, err) != STATUS_OK ||
        start_workers(node, err) != STATUS_OK ||
        node_start_once(node, err) != STATUS_OK ||
        start_net(node, err) != STATUS_OK ||
        fleet_start(node->fleet, node->net, err) != STATUS_OK ||
        start_http(node, err) != STATUS_OK) {
        event_log(EVENT_LISTEN_FAILED, "%s", error_text(err));
        node_stop(node);
        return NULL;
    }
    event_log(EVENT_STARTED, "http_port=%u peer_port=%u zone=%s",
              settings->listen_http_port, settings->listen_peer_port,
              settings->zone);
    return node;
}

/* Counts the HTTP callers that wait, and the workers' queries and parts. */
static size_t
count_pending(node_t *node)
{
    size_t count = atomic_load(&node->http_queries);
    for (unsigned i = 0; i < node->worker_count; i++) {
        worker_load_t load = worker_load(node->workers[i]);
        count += load.queries + load.parts;
    }
    return count;
}

/* Waits until until_us, until *flag is set, or until done returns true. */
static void
wait_until(node_t *node, int64_t until_us, const atomic_bool *flag,
           bool (*done)(node_t *node))
{
    while (clock_now_us() < until_us && (flag == NULL || !atomic_load(flag)) &&
           (done == NULL || !done(node))) {
        struct timespec pause = {.tv_nsec = POLL_NS};
        nanosleep(&pause, NULL);
    }
}

static bool
is_drained(node_t *node)
{
    return count_pending(node) == 0 && fleet_left(node->fleet);
}

static bool
no_queries_waiting(node_t *node)
{
    return atomic_load(&node->http_queries) == 0;
}

/* Cancels all queries and waits until their callers have their answers. */
static void
cancel_all_queries(node_t *node)
{
    for (unsigned i = 0; i < node->worker_count; i++) {
        worker_message_t *message =
            worker_message_new(WORKER_MESSAGE_CANCEL_ALL);
        if (message != NULL) {
            worker_post(node->workers[i], message);
        }
    }
    wait_until(node, clock_now_us() + CANCEL_WAIT_US, NULL,
               no_queries_waiting);
}

bool
node_drain(node_t *node)
{
    int64_t now_us = clock_now_us();
    int64_t keep_us = (int64_t)node->settings.drain_keep_ms * US_PER_MS;
    int64_t max_us = (int64_t)node->settings.drain_most_ms * US_PER_MS;
    event_log(EVENT_STOPPING, "keep_ms=%u most_ms=%u",
              node->settings.drain_keep_ms, node->settings.drain_most_ms);
    atomic_store(&node->leaving, true);
    fleet_leave(node->fleet);
    wait_until(node, now_us + keep_us, &node->end_drain, NULL);
    fleet_refuse_queries(node->fleet);
    wait_until(node, now_us + max_us, &node->end_drain, is_drained);
    size_t cancelled = count_pending(node);
    if (cancelled > 0) {
        cancel_all_queries(node);
    }
    event_log(EVENT_STOPPED, "cut=%zu", cancelled);
    return cancelled == 0;
}

void
node_end_drain(node_t *node)
{
    atomic_store(&node->end_drain, true);
}

static void
stop_http(node_t *node)
{
    if (node->http == NULL) {
        return;
    }
    if (node->http_started) {
        ulfius_stop_framework(node->http);
    }
    ulfius_clean_instance(node->http);
    free(node->http);
    operator_api_free(node->operators);
}

void
node_stop(node_t *node)
{
    stop_http(node);
    if (node->fleet != NULL) {
        fleet_stop(node->fleet);
    }
    peer_net_free(node->net);
    for (unsigned i = 0; i < node->worker_count; i++) {
        worker_free(node->workers[i]);
    }
    free(node->workers);
    tenants_free(node->tenants);
    node_stop_once(node);
    fleet_free(node->fleet);
    pending_requests_release(&node->pending_requests);
    free(node);
}
