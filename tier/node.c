#include "tier/node.h"

#include "edge/event.h"
#include "platform/names.h"
#include "tier/node_state.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    /* Turns in which waiting work, abandoned answers and calls to the store
       are looked after. */
    TICK_US = 50000,
    /* How often idle connections and lapsed entries are. */
    HOUSEKEEPING_US = 250000,
    /* Configurations and members change seldom: a call waits for them, less
       long than the store keeps its history (in percent of that). */
    WATCH_US = 25000000,
    WATCH_HISTORY_PERCENT = 90,
    /* Versions in quick succession are one call; a sixth of the time in which
       one must be in force. */
    OPERATOR_PAUSE_US = 500000,
    /* By then a daemon that starts with all others knows whether it will ask
       one of those instead: their records have been read, and an answer. */
    OPERATOR_FIRST_US = 3000000,
    /* A daemon that dies is listed for so long; three renewals within. */
    MEMBER_LEASE_US = 3000000,
    /* After SIGTERM: requests are served this long as before, ... */
    LEAVE_SERVE_US = 3000000,
    /* ... and what is not done by then is given up, before SIGKILL. */
    LEAVE_MARGIN_US = 900000,
    LEAVE_FLUSH_US = 200000, /* for the last answers to leave */
    REQUESTS_MAX = 1500,     /* at a time: some kilobytes each */
    /* Readiness, directory, metrics and other daemons: short questions. */
    SERVICE_CONNECTIONS_MAX = 500,
    SERVICE_HEADER_BYTES = 16384,
    SERVICE_BODY_BYTES = 1024,
    SERVICE_HEADER_US = 3000000,
    SERVICE_IDLE_US = 30000000
};

/* --- the store -------------------------------------------------------- */

static void
store_lost(void *owner, const char *why, int64_t now_us)
{
    node_t *node = owner;
    (void)now_us;
    registry_store_lost(engine_registry(node->engine));
    members_store_lost(&node->members);
    event_log(EVENT_STORE_DOWN, "cause=%s upstreams=%u members=%u", why,
              registry_count(engine_registry(node->engine)),
              node->members.count);
}

static void
store_back(void *owner, int64_t now_us)
{
    node_t *node = owner;
    registry_store_back(engine_registry(node->engine), now_us);
    members_store_back(&node->members, now_us);
    event_log(EVENT_STORE_BACK, "upstreams=%u members=%u",
              registry_count(engine_registry(node->engine)),
              node->members.count);
}

/* --- the engine's ports ---------------------------------------------- */

static bool
port_send(void *owner, attempt_t *attempt, int64_t now_us)
{
    node_t *node = owner;
    return upstream_links_send(node->links, attempt, now_us);
}

static void
port_abandon(void *owner, attempt_t *attempt, int64_t until_us)
{
    (void)owner;
    upstream_links_abandon(attempt, until_us);
}

static void
port_cancel(void *owner, attempt_t *attempt)
{
    (void)owner;
    upstream_links_cancel(attempt);
}

static void
port_answer(void *owner, void *call_owner, const answer_t *answer)
{
    node_t *node = owner;
    front_answer(&node->front, call_owner, answer);
}

static void
port_wake_at(void *owner, void *call_owner, int64_t at_us)
{
    (void)owner;
    front_wake_at(call_owner, at_us);
}

static const engine_ports_t node_ports = {
    .send = port_send,
    .abandon = port_abandon,
    .cancel = port_cancel,
    .answer = port_answer,
    .wake_at = port_wake_at,
    .suspect = node_suspect,
};

static void
attempt_replied(void *owner, attempt_t *attempt, const reply_t *reply,
                int64_t now_us)
{
    node_t *node = owner;
    engine_reply(node->engine, attempt, reply, now_us);
}

/* --- time -------------------------------------------------------------- */

static void
node_end(node_t *node, int64_t now_us)
{
    event_log(EVENT_STOPPED, "cut=%u after_ms=%" PRId64,
              engine_requests(node->engine), (now_us - node->left_us) / 1000);
    ev_break(node->loop, EVBREAK_ALL);
}

/* The steps of an orderly end. */
static void
node_leaving(node_t *node, int64_t now_us)
{
    int64_t since_us = now_us - node->left_us;
    int64_t serve_us = node->boot.grace_us / 2 < LEAVE_SERVE_US
                           ? node->boot.grace_us / 2
                           : LEAVE_SERVE_US;
    if (since_us < serve_us) {
        return;
    }
    if (!node->front.leaving) {
        node->front.leaving = true;
        http_server_close_idle(node->callers);
    }
    if (since_us >= node->boot.grace_us - LEAVE_MARGIN_US) {
        /* What is not done in time is told so; the answers have until the
           next turn to leave. */
        engine_give_up(node->engine, now_us);
    }
    bool done = engine_requests(node->engine) == 0 &&
                http_server_stats(node->callers)->open == 0 &&
                store_link_has_left(node->store);
    if (done ||
        since_us >= node->boot.grace_us - LEAVE_MARGIN_US + LEAVE_FLUSH_US) {
        node_end(node, now_us);
    }
}

static void
node_housekeeping(node_t *node, int64_t now_us)
{
    registry_t *registry = engine_registry(node->engine);
    registry_expire(registry, now_us);
    node_copy_registry(node, now_us);
    http_server_sweep(node->callers, now_us);
    http_server_sweep(node->services, now_us);
    bool dropped = members_expire(&node->members, now_us);
    if (dropped) {
        node_members_changed(node, "-", "expired", now_us);
    }
    else {
        node_members_settle(node, now_us);
    }
}

static void
node_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    node_t *node = timer->data;
    int64_t now_us = loop_now_us();
    store_link_tick(node->store, now_us);
    node_ask_peers(node, now_us);
    upstream_links_sweep(node->links, now_us);
    engine_serve_waiting(node->engine, now_us);
    if (now_us - node->housekeeping_us >= HOUSEKEEPING_US) {
        node->housekeeping_us = now_us;
        node_housekeeping(node, now_us);
    }
    if (node->leaving) {
        node_leaving(node, now_us);
    }
}

/* --- start and end ------------------------------------------------------ */

static bool
node_follow(node_t *node)
{
    int64_t wait_us =
        node->boot.store_history_us * WATCH_HISTORY_PERCENT / 100;
    if (wait_us == 0 || wait_us > WATCH_US) {
        wait_us = WATCH_US;
    }
    const follow_settings_t operator_settings = {
        .prefix = KEY_OPERATOR,
        .pause_us = OPERATOR_PAUSE_US,
        .first_us = OPERATOR_FIRST_US,
        .wait_us = wait_us,
    };
    const follow_settings_t upstreams_settings = {
        .prefix = KEY_UPSTREAMS,
        .pause_us = node->pace.read_us,
        .all = true, /* a call that waits for changes may never be answered */
    };
    const follow_settings_t members_settings = {
        .prefix = KEY_FLEET,
        .pause_us = node->pace.members_us,
        .wait_us = wait_us,
    };
    /* The first is the one that asks on while the store is away. */
    return store_link_follow(node->store, &upstreams_settings,
                             &node_upstreams_reader, node) &&
           store_link_follow(node->store, &operator_settings,
                             &node_operator_reader, node) &&
           store_link_follow(node->store, &members_settings,
                             &node_members_reader, node);
}

static void
node_register(node_t *node)
{
    char key[LEASE_KEY_SIZE];
    char record[MEMBER_RECORD_SIZE];
    const boot_t *boot = &node->boot;
    snprintf(key, sizeof(key), KEY_MEMBERS "%s", boot->daemon_name);
    if (node_record(node, record, sizeof(record)) > 0) {
        store_link_hold(node->store, key, record,
                        MEMBER_LEASE_US > boot->min_lease_us
                            ? MEMBER_LEASE_US
                            : boot->min_lease_us);
    }
}

static bool
node_listen(node_t *node, char *why, size_t why_size)
{
    const boot_t *boot = &node->boot;
    struct sockaddr_in metrics = boot->callers_address;
    metrics.sin_port = htons(METRICS_PORT);
    const struct {
        const char *name;
        bool wanted;
        bool needed; /* without it the daemon is of no use */
        http_server_t *server;
        const struct sockaddr_in *address;
        const http_handler_t *service;
        void *owner;
    } listeners[] = {
        {"callers", boot->has_callers, true, node->callers,
         &boot->callers_address, &front_service, &node->front},
        {"readiness", boot->has_readiness, true, node->services,
         &boot->readiness_address, &node_readiness_service, node},
        {"directory", boot->has_directory, true, node->services,
         &boot->directory_address, &node_directory_service, node},
        {"control", boot->has_control, true, node->services,
         &boot->control_address, &node_state_service, node},
        {"metrics", boot->has_callers && boot->serves_metrics, false,
         node->services, &metrics, &node_metrics_service, node},
    };
    for (size_t i = 0; i < sizeof(listeners) / sizeof(listeners[0]); i++) {
        if (!listeners[i].wanted ||
            http_server_listen(listeners[i].server, listeners[i].address,
                               listeners[i].service, listeners[i].owner)) {
            continue;
        }
        snprintf(why, why_size, "listen %s: %s", listeners[i].name,
                 strerror(errno));
        if (listeners[i].needed) {
            return false;
        }
        event_log(EVENT_LISTEN_FAILED, "%s", why);
    }
    return true;
}

static bool
node_build(node_t *node)
{
    static const http_server_settings_t services = {
        .connections_max = SERVICE_CONNECTIONS_MAX,
        .limits = {.max_header_bytes = SERVICE_HEADER_BYTES,
                   .max_body_bytes = SERVICE_BODY_BYTES},
        .header_timeout_us = SERVICE_HEADER_US,
        .idle_timeout_us = SERVICE_IDLE_US,
    };
    static const http_server_settings_t callers = {
        .connections_max = CONNECTIONS_MAX,
    };
    static const store_ops_t store_ops = {
        .lost = store_lost,
        .back = store_back,
    };
    const boot_t *boot = &node->boot;
    engine_settings_t settings = {
        .seed = XXH64(boot->daemon_name, strlen(boot->daemon_name),
                      (uint64_t)loop_now_us()),
        .retry_ratio = boot->retry_ratio,
        .retry_slack = boot->retry_slack,
        .requests_max = REQUESTS_MAX,
    };
    snprintf(settings.zone, sizeof(settings.zone), "%s", boot->zone);
    node->engine = engine_new(&settings, &node_ports, node);
    node->links = upstream_links_new(node->loop, node, attempt_replied);
    node->callers = http_server_new(node->loop, &callers);
    node->services = http_server_new(node->loop, &services);
    node->store =
        store_link_new(node->loop, &boot->store_address, &store_ops, node);
    node->peers = peer_link_new(node->loop, node_peer_told, node);
    return node->peers != NULL && node->engine != NULL &&
           node->links != NULL && node->callers != NULL &&
           node->services != NULL && node->store != NULL && node_follow(node);
}

node_t *
node_start(struct ev_loop *loop, const boot_t *boot, char *why,
           size_t why_size)
{
    node_t *node = calloc(1, sizeof(*node));
    if (node == NULL) {
        snprintf(why, why_size, "no memory");
        return NULL;
    }
    loop_clock_start(&node->clock, loop);
    int64_t now_us = loop_now_us();
    node->loop = loop;
    node->boot = *boot;
    node->started_us = now_us;
    members_init(&node->members, now_us);
    pace_set(&node->pace, boot->drain_us, boot->converge_us, false);
    ev_timer_init(&node->tick, node_tick, 0, TICK_US / 1e6);
    node->tick.data = node;
    if (!node_build(node)) {
        snprintf(why, why_size, "no memory");
        node_free(node);
        return NULL;
    }
    node->front.engine = node->engine;
    if (!node_listen(node, why, why_size)) {
        node_free(node);
        return NULL;
    }
    node_register(node);
    node_list_itself(node, now_us);
    node->fleet = members_fleet(&node->members, now_us);
    engine_set_fleet(node->engine, node->fleet, now_us);
    ev_timer_start(loop, &node->tick);
    event_log(EVENT_STARTED, "zone=%s address=%s store=%u", boot->zone,
              boot->callers_address_text, ntohs(boot->store_address.sin_port));
    return node;
}

void
node_reload(node_t *node, const boot_t *boot)
{
    int64_t now_us = loop_now_us();
    bool moved = memcmp(&boot->store_address, &node->boot.store_address,
                        sizeof(boot->store_address)) != 0;
    event_log(EVENT_SETTINGS, "changed=1 store_moved=%d", moved);
    node->boot.grace_us = boot->grace_us;
    node->boot.drain_us = boot->drain_us;
    node->boot.converge_us = boot->converge_us;
    node->boot.directory_ttl_us = boot->directory_ttl_us;
    if (moved) {
        node->boot.store_address = boot->store_address;
        store_link_set_address(node->store, &boot->store_address, now_us);
    }
}

void
node_leave(node_t *node)
{
    if (node->leaving) {
        return;
    }
    node->leaving = true;
    node->left_us = loop_now_us();
    event_log(EVENT_STOPPING, "requests=%u connections=%u",
              engine_requests(node->engine),
              http_server_stats(node->callers)->open);
    http_server_close_after_responses(node->callers);
    store_link_leave(node->store, node->left_us);
}

void
node_free(node_t *node)
{
    if (node == NULL) {
        return;
    }
    ev_timer_stop(node->loop, &node->tick);
    loop_clock_stop(&node->clock);
    http_server_free(node->callers);
    http_server_free(node->services);
    store_link_free(node->store);
    peer_link_free(node->peers);
    free(node->config_text);
    upstream_links_free(node->links);
    engine_free(node->engine);
    members_release(&node->members);
    free(node);
}
