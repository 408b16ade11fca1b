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
    /* Interval for calls to the store, polls of peers, abandoned attempts and
       queued requests. */
    TICK_INTERVAL_US = POOL_DISPATCH_US,
    /* Interval for closing idle connections and dropping expired entries. */
    HOUSEKEEPING_INTERVAL_US = 250000,
    /* Configurations and members change rarely, so a watch stays open until a
       change or this timeout, but at most for WATCH_HISTORY_PERCENT of the
       time for which the store keeps its history. */
    WATCH_WAIT_MAX_US = 25000000,
    WATCH_HISTORY_PERCENT = 90,
    /* One call reads all versions written within this interval, which is a
       sixth of the time within which a version must be in force. */
    OPERATOR_POLL_INTERVAL_US = 500000,
    /* Delay of the first watch. By then a daemon that starts together with
       all others has read their records and a peer's response, and knows
       whether it will poll that peer instead of the store; in a small fleet
       the first poll for all prefixes has made the watch needless. */
    FIRST_WATCH_DELAY_US = 3000000,
    /* At the fleet's first start all daemons start within 300 ms. They list
       the members after this delay, and so know the size of the fleet. */
    BOOTSTRAP_LIST_DELAY_US = 500000,
    /* How long a starting daemon that knows the members waits for a peer's
       state before it lists the other prefixes itself. */
    FIRST_LIST_DELAY_US = 1000000,
    /* After a restoration of the store, closed zones that it does not list
       stay closed for this long, in which the operator writes them again. */
    ZONES_HOLD_US = 5000000,
    /* New requests are still accepted for this long after SIGTERM. */
    SHUTDOWN_SERVE_MAX_US = 3000000,
    /* Unfinished requests are given up this long before SIGKILL. */
    SHUTDOWN_MARGIN_US = 900000,
    SHUTDOWN_FLUSH_US = 200000, /* to send the last answers */
    REQUESTS_MAX = 1500,        /* in flight, some kilobytes each */
    /* Limits for readiness, directory, control and metrics, whose requests
       are short. */
    AUX_CONNECTIONS_MAX = 500,
    AUX_HEADER_BYTES = 16384,
    AUX_BODY_BYTES = 1024,
    AUX_HEADER_TIMEOUT_US = 3000000,
    AUX_IDLE_TIMEOUT_US = 30000000
};

/* --- the store -------------------------------------------------------- */

static void
store_became_unreachable(void *owner, const char *why, int64_t now_us)
{
    node_t *node = owner;
    (void)now_us;
    registry_store_unreachable(engine_registry(node->engine));
    members_store_unreachable(&node->members);
    event_log(EVENT_STORE_DOWN, "cause=%s upstreams=%u members=%u", why,
              registry_count(engine_registry(node->engine)),
              node->members.count);
}

static void
store_became_reachable(void *owner, int64_t away_us, int64_t now_us)
{
    node_t *node = owner;
    registry_store_reachable(engine_registry(node->engine), away_us, now_us);
    members_store_reachable(&node->members, away_us, now_us);
    event_log(EVENT_STORE_BACK, "upstreams=%u members=%u away_ms=%" PRId64,
              registry_count(engine_registry(node->engine)),
              node->members.count,
              away_us == STORE_AWAY_UNKNOWN_US ? -1 : away_us / 1000);
}

void
node_begin_restored(node_t *node, uint64_t from_era, uint64_t era,
                    int64_t now_us)
{
    const route_table_t *table = engine_table(node->engine);
    registry_store_restored(engine_registry(node->engine), now_us);
    members_store_restored(&node->members, now_us);
    node->zones_held_until_us = now_us + ZONES_HOLD_US;
    node->registry_copy_stale = true;
    event_log(EVENT_STORE_RESTORED,
              "era=%" PRIu64 " from=%" PRIu64 " v=%" PRIu64
              " upstreams=%u members=%u closed_zones=%u",
              era, from_era, table != NULL ? table->version : 0,
              registry_count(engine_registry(node->engine)),
              node->members.count,
              engine_registry(node->engine)->closed_zone_count);
}

static void
store_was_restored(void *owner, uint64_t from_era, uint64_t era,
                   int64_t now_us)
{
    node_t *node = owner;
    node_begin_restored(node, from_era, era, now_us);
    node_rewrite_suspects(node, now_us);
}

static void
store_wrote(void *owner, const char *key, bool done, uint64_t revision,
            int64_t now_us)
{
    node_rollout_wrote(owner, key, done, revision, now_us);
}

/* --- ports of the engine ---------------------------------------------- */

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
    (void)owner;
    front_answer(call_owner, answer);
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
    .suspect = node_report_suspect,
};

static void
attempt_replied(void *owner, attempt_t *attempt, const reply_t *reply,
                int64_t now_us)
{
    node_t *node = owner;
    engine_reply(node->engine, attempt, reply, now_us);
}

static void
connect_ended(void *owner, const instance_t *instance, bool probe,
              bool connected, int64_t now_us)
{
    node_t *node = owner;
    reach_t *reach = engine_reach(node->engine);
    if (probe) {
        reach_note_probe(reach, connected, now_us);
    }
    else {
        const char *id = instance->entry.id;
        reach_note_connect(reach, XXH64(id, strlen(id), 0), connected, now_us);
    }
}

static const upstream_links_ops_t node_links_ops = {
    .replied = attempt_replied,
    .connect_ended = connect_ended,
};

static void
node_apply_reach(node_t *node, int64_t now_us)
{
    static const char *const causes[] = {
        [REACH_CAUSE_NONE] = "-",
        [REACH_CAUSE_SILENCE] = "silence",
        [REACH_CAUSE_CONNECTS] = "connects",
    };
    const reach_t *reach = engine_reach(node->engine);
    bool cut = reach->state == REACH_CUT;
    if (cut && node->cut_us == 0) {
        node->cut_us = reach->since_us;
        event_log(EVENT_UPSTREAMS_UNREACHABLE, "cause=%s unanswered=%u",
                  causes[reach->cause], reach->unanswered);
        engine_give_up_unreached(node->engine, now_us);
    }
    else if (!cut && node->cut_us > 0) {
        event_log(EVENT_UPSTREAMS_REACHABLE, "after_ms=%" PRId64,
                  (now_us - node->cut_us) / 1000);
        node->cut_us = 0;
    }
}

/* Connect to upstreams to learn whether this daemon reaches them. */
static void
node_probe_upstreams(node_t *node, int64_t now_us)
{
    reach_t *reach = engine_reach(node->engine);
    for (uint32_t n = reach_probes_due(reach, now_us); n > 0; n--) {
        node->probes++;
        instance_t *instance = registry_random_upstream(
            engine_registry(node->engine),
            XXH64(&node->probes, sizeof(node->probes), (uint64_t)now_us),
            now_us);
        if (instance != NULL) {
            upstream_links_probe(node->links, instance, now_us);
        }
        else {
            reach_note_probe(reach, false, now_us);
        }
    }
    node_apply_reach(node, now_us);
}

/* --- time -------------------------------------------------------------- */

static void
node_stop_loop(node_t *node, int64_t now_us)
{
    event_log(EVENT_STOPPED, "cut=%u after_ms=%" PRId64,
              engine_request_count(node->engine),
              (now_us - node->shutdown_us) / 1000);
    ev_break(node->loop, EVBREAK_ALL);
}

/* Take the step of the graceful shutdown that is due. */
static void
node_shutdown_step(node_t *node, int64_t now_us)
{
    int64_t since_us = now_us - node->shutdown_us;
    int64_t serve_us = node->boot.grace_us / 2 < SHUTDOWN_SERVE_MAX_US
                           ? node->boot.grace_us / 2
                           : SHUTDOWN_SERVE_MAX_US;
    if (since_us < serve_us) {
        return;
    }
    if (!node->front.draining) {
        node->front.draining = true;
        node->peer_front.draining = true;
        http_server_close_idle(node->caller_server);
        http_server_close_idle(node->peer_server);
    }
    if (since_us >= node->boot.grace_us - SHUTDOWN_MARGIN_US) {
        /* Requests that are not done in time get an error answer, which is
           sent within SHUTDOWN_FLUSH_US. */
        engine_fail_all(node->engine, now_us);
        relay_links_fail_all(node->relay_links, now_us);
    }
    bool done = engine_request_count(node->engine) == 0 &&
                http_server_stats(node->caller_server)->open == 0 &&
                !http_server_is_busy(node->peer_server) &&
                store_link_is_deregistered(node->store);
    if (done || since_us >= node->boot.grace_us - SHUTDOWN_MARGIN_US +
                                SHUTDOWN_FLUSH_US) {
        node_stop_loop(node, now_us);
    }
}

static void
node_housekeeping(node_t *node, int64_t now_us)
{
    registry_t *registry = engine_registry(node->engine);
    registry_expire(registry, now_us);
    node_quota_expire(node, now_us);
    node_release_zones(node, now_us);
    node_copy_registry(node, now_us);
    node_rollout_housekeeping(node, now_us);
    http_server_sweep(node->caller_server, now_us);
    http_server_sweep(node->aux_server, now_us);
    http_server_sweep(node->peer_server, now_us);
    bool dropped = members_expire(&node->members, now_us);
    if (dropped) {
        node_members_changed(node, "-", "expired", now_us);
    }
    else {
        node_apply_membership(node, now_us);
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
    node_poll_peers(node, now_us);
    upstream_links_sweep(node->links, now_us);
    node_probe_upstreams(node, now_us);
    node_rollout_tick(node, now_us);
    relay_links_sweep(node->relay_links, now_us);
    node_quota_tick(node, now_us);
    engine_dispatch_queued(node->engine, now_us);
    if (now_us - node->housekeeping_us >= HOUSEKEEPING_INTERVAL_US) {
        node->housekeeping_us = now_us;
        node_housekeeping(node, now_us);
    }
    if (node->shutting_down) {
        node_shutdown_step(node, now_us);
    }
}

/* --- start and shutdown ------------------------------------------------- */

static bool
node_follow_prefixes(node_t *node)
{
    int64_t wait_us =
        node->boot.store_history_us * WATCH_HISTORY_PERCENT / 100;
    if (wait_us == 0 || wait_us > WATCH_WAIT_MAX_US) {
        wait_us = WATCH_WAIT_MAX_US;
    }
    const follow_settings_t operator_settings = {
        .prefix = KEY_OPERATOR,
        .pause_us = OPERATOR_POLL_INTERVAL_US,
        .first_pause_us = FIRST_WATCH_DELAY_US,
        .long_poll_us = wait_us,
        .covered = true, /* node_apply_membership sets it by the fleet */
    };
    const follow_settings_t upstreams_settings = {
        .prefix = KEY_UPSTREAMS,
        .pause_us = node->poll_intervals.store_poll_us,
        /* These polls also read the other prefixes, whose watches may never
           be answered. */
        .all_prefixes = true,
    };
    const follow_settings_t members_settings = {
        .prefix = KEY_FLEET,
        .pause_us = node->poll_intervals.members_poll_us,
        .first_pause_us = FIRST_WATCH_DELAY_US,
        .long_poll_us = wait_us,
        .covered = true,
    };
    /* Only the first prefix is still polled while the store is unreachable. */
    bool following = store_link_follow(node->store, &upstreams_settings,
                                       &node_upstreams_reader, node) &&
                     store_link_follow(node->store, &operator_settings,
                                       &node_operator_reader, node) &&
                     store_link_follow(node->store, &members_settings,
                                       &node_fleet_reader, node);
    const follow_settings_t rollout_settings = {
        .prefix = KEY_ROLLOUT_STATUS,
        .pause_us = OPERATOR_POLL_INTERVAL_US,
        .first_pause_us = FIRST_WATCH_DELAY_US,
        .long_poll_us = wait_us,
        .covered = true,
    };
    following = following && (node->rollouts == NULL ||
                              store_link_follow(node->store, &rollout_settings,
                                                &node_rollout_reader, node));
    /* Of a large fleet's members, only the store readers list the others. */
    int64_t members_us = node->started_us +
                         (node->boot.bootstrap ? BOOTSTRAP_LIST_DELAY_US : 0);
    int64_t until_us = members_us + FIRST_LIST_DELAY_US;
    store_link_pause_polling(node->store, KEY_FLEET, members_us);
    store_link_pause_polling(node->store, KEY_UPSTREAMS, until_us);
    store_link_pause_polling(node->store, KEY_OPERATOR, until_us);
    store_link_pause_polling(node->store, KEY_ROLLOUT_STATUS, until_us);
    return following;
}

static bool
node_listen(node_t *node, char *error, size_t error_size)
{
    const boot_t *boot = &node->boot;
    struct sockaddr_in metrics = boot->callers_address;
    metrics.sin_port = htons(METRICS_PORT);
    const struct {
        const char *name;
        bool wanted;
        bool required; /* the daemon does not start without it */
        http_server_t *server;
        const struct sockaddr_in *address;
        const http_handler_t *handler;
        void *owner;
    } listeners[] = {
        {"callers", boot->has_callers, true, node->caller_server,
         &boot->callers_address, &front_handler, &node->front},
        {"readiness", boot->has_readiness, true, node->aux_server,
         &boot->readiness_address, &node_readiness_handler, node},
        {"directory", boot->has_directory, true, node->aux_server,
         &boot->directory_address, &node_directory_handler, node},
        {"control", boot->has_control, true, node->peer_server,
         &boot->control_address, &node_peer_handler, node},
        {"metrics", boot->has_callers && boot->serves_metrics, false,
         node->aux_server, &metrics, &node_metrics_handler, node},
    };
    for (size_t i = 0; i < sizeof(listeners) / sizeof(listeners[0]); i++) {
        if (!listeners[i].wanted ||
            http_server_listen(listeners[i].server, listeners[i].address,
                               listeners[i].handler, listeners[i].owner)) {
            continue;
        }
        snprintf(error, error_size, "cannot listen for %s: %s",
                 listeners[i].name, strerror(errno));
        if (listeners[i].required) {
            return false;
        }
        event_log(EVENT_LISTEN_FAILED, "%s", error);
    }
    return true;
}

static bool
node_build(node_t *node)
{
    static const http_server_settings_t aux_settings = {
        .connections_max = AUX_CONNECTIONS_MAX,
        .limits = {.max_header_bytes = AUX_HEADER_BYTES,
                   .max_body_bytes = AUX_BODY_BYTES},
        .header_timeout_us = AUX_HEADER_TIMEOUT_US,
        .idle_timeout_us = AUX_IDLE_TIMEOUT_US,
    };
    const http_server_settings_t caller_settings = {
        .connections_max = CALLER_CONNECTIONS_MAX,
        .limits = {.max_header_bytes = CALLER_HEADER_BYTES_MAX,
                   .max_body_bytes = CALLER_BODY_BYTES_MAX},
        .max_held_bytes = node_memory_part(node, CALLERS_HELD_DIVISOR),
    };
    static const store_ops_t store_ops = {
        .unreachable = store_became_unreachable,
        .reachable = store_became_reachable,
        .restored = store_was_restored,
        .wrote = store_wrote,
    };
    const boot_t *boot = &node->boot;
    engine_settings_t settings = {
        .seed = XXH64(boot->daemon_name, strlen(boot->daemon_name),
                      (uint64_t)loop_now_us()),
        .retry_ratio = boot->retry_ratio,
        .retry_slack = boot->retry_slack,
        .requests_max = REQUESTS_MAX,
        .link_bytes_per_s = boot->link_mbps * 1e6 / 8,
        .rollout =
            {
                .canary_share = boot->rollback_us > 0 ? boot->canary_share : 0,
                .canary_slack = boot->canary_slack,
                .seen_delay_us = node->poll_intervals.store_poll_us,
            },
    };
    snprintf(settings.zone, sizeof(settings.zone), "%s", boot->zone);
    node->engine = engine_new(&settings, &node_ports, node);
    node->rollouts = node_rollouts_new(node);
    node->links = upstream_links_new(node->loop, &node_links_ops, node);
    node->caller_server = http_server_new(node->loop, &caller_settings);
    node->aux_server = http_server_new(node->loop, &aux_settings);
    node->peer_server = http_server_new(node->loop, &aux_settings);
    node->relay_links = relay_links_new(node->loop);
    node->store =
        store_link_new(node->loop, &boot->store_address, &store_ops, node);
    node->peers = peer_link_new(node->loop, node_peer_answered, node);
    return node->peers != NULL && node->engine != NULL &&
           node->links != NULL && node->caller_server != NULL &&
           node->aux_server != NULL && node->peer_server != NULL &&
           node->relay_links != NULL && node->store != NULL &&
           node_follow_prefixes(node);
}

void
node_set_zone_price(node_t *node, int64_t price_us)
{
    engine_set_zone_price(node->engine, price_us);
}

node_t *
node_start(struct ev_loop *loop, const boot_t *boot, char *error,
           size_t error_size)
{
    node_t *node = calloc(1, sizeof(*node));
    if (node == NULL) {
        snprintf(error, error_size, "out of memory");
        return NULL;
    }
    loop_clock_start(&node->clock, loop);
    int64_t now_us = loop_now_us();
    node->loop = loop;
    node->boot = *boot;
    node->started_us = now_us;
    members_init(&node->members, now_us);
    poll_intervals_set(&node->poll_intervals, boot->drain_us,
                       boot->converge_us, false);
    ev_timer_init(&node->tick, node_tick, 0, TICK_INTERVAL_US / 1e6);
    node->tick.data = node;
    if (!node_build(node) || !node_quota_init(node, now_us)) {
        snprintf(error, error_size, "out of memory");
        node_free(node);
        return NULL;
    }
    node->front = (front_t){
        .engine = node->engine,
        .relay_ops = &node_relay_ops,
        .relay_owner = node,
        .relay_links = node->relay_links,
        .quota_ops = &node_quota_ops,
        .quota_owner = node,
    };
    node->peer_front = (front_t){
        .engine = node->engine,
        .takes_relayed = true,
    };
    engine_registry(node->engine)->heartbeat_us = boot->heartbeat_us;
    if (!node_listen(node, error, error_size)) {
        node_free(node);
        return NULL;
    }
    if (boot->bootstrap) {
        /* The others can't be known before all have written their records. */
        node_register(node, MEMBER_LEASE_WEAK_US);
    }
    node_add_self(node, now_us);
    node->fleet_size = members_fleet_size(&node->members, now_us);
    engine_set_fleet_size(node->engine, node->fleet_size, now_us);
    ev_timer_start(loop, &node->tick);
    event_log(EVENT_STARTED, "zone=%s address=%s store=%u", boot->zone,
              boot->callers_address_text, ntohs(boot->store_address.sin_port));
    return node;
}

void
node_reload(node_t *node, const boot_t *boot)
{
    int64_t now_us = loop_now_us();
    bool store_moved = memcmp(&boot->store_address, &node->boot.store_address,
                              sizeof(boot->store_address)) != 0;
    event_log(EVENT_SETTINGS_CHANGED, "changed=1 store_moved=%d", store_moved);
    node->boot.grace_us = boot->grace_us;
    node->boot.drain_us = boot->drain_us;
    node->boot.converge_us = boot->converge_us;
    node->boot.directory_ttl_us = boot->directory_ttl_us;
    node->boot.quota_window_us = boot->quota_window_us;
    node->boot.quota_excess = boot->quota_excess;
    node->boot.quota_slack = boot->quota_slack;
    node_quota_reload(node, now_us);
    if (store_moved) {
        node->boot.store_address = boot->store_address;
        store_link_set_address(node->store, &boot->store_address, now_us);
    }
}

void
node_shutdown(node_t *node)
{
    if (node->shutting_down) {
        return;
    }
    node->shutting_down = true;
    node->shutdown_us = loop_now_us();
    event_log(EVENT_STOPPING, "requests=%u connections=%u",
              engine_request_count(node->engine),
              http_server_stats(node->caller_server)->open);
    http_server_close_after_responses(node->caller_server);
    http_server_close_after_responses(node->peer_server);
    engine_stop_at(node->engine, node->shutdown_us + node->boot.grace_us -
                                     SHUTDOWN_MARGIN_US);
    store_link_deregister(node->store, node->shutdown_us);
}

void
node_free(node_t *node)
{
    if (node == NULL) {
        return;
    }
    ev_timer_stop(node->loop, &node->tick);
    loop_clock_stop(&node->clock);
    http_server_free(node->caller_server);
    http_server_free(node->aux_server);
    http_server_free(node->peer_server);
    relay_links_free(node->relay_links);
    node_quota_release(node);
    store_link_free(node->store);
    peer_link_free(node->peers);
    free(node->config_text);
    node_rollouts_free(node->rollouts);
    upstream_links_free(node->links);
    engine_free(node->engine);
    members_release(&node->members);
    free(node);
}
