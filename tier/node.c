#include "tier/node.h"

#include "core/text.h"
#include "edge/event.h"
#include "http/loop_clock.h"
#include "http/server.h"
#include "platform/documents.h"
#include "platform/names.h"
#include "tier/engine.h"
#include "tier/fleet_state.h"
#include "tier/front.h"
#include "tier/members.h"
#include "tier/metrics_text.h"
#include "tier/node_state.h"
#include "tier/registry_copy.h"
#include "tier/store_link.h"
#include "tier/upstream_link.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Keys of the fleet's own in the store. */
#define KEY_FLEET "yuccarun/fleet/"
#define KEY_MEMBERS KEY_FLEET "members/"
#define KEY_SUSPECTS KEY_FLEET "suspects/"
#define KEY_REGISTRY "yuccarun/registry/"
#define KEY_REGISTRY_COPY KEY_REGISTRY "upstreams"

enum {
    /* Turns in which waiting work, abandoned answers and calls to the store
       are looked after. */
    TICK_US = 50000,
    /* How often idle connections and lapsed entries are. */
    HOUSEKEEPING_US = 250000,
    /* Upstreams renew their entries all the time, so changes are asked for
       in batches: a drain is then known a second before the three seconds in
       which it must be, and each call has a price. */
    UPSTREAMS_PAUSE_US = 1500000,
    /* Configurations and members change seldom: a call waits for them. */
    OPERATOR_WAIT_US = 25000000,
    /* Versions in quick succession are one call; a sixth of the time in which
       one must be in force. */
    OPERATOR_PAUSE_US = 500000,
    MEMBERS_WAIT_US = 25000000,
    /* Several changes in a row, of a restart of the fleet, are one call. */
    MEMBERS_PAUSE_US = 1000000,
    /* A daemon that dies is listed for so long; three renewals within. */
    MEMBER_LEASE_US = 3000000,
    /* Daemons beyond those that serve now, that shares allow for. */
    SERVING_SPARE = 2,
    /* A daemon that stands by takes one in so many of a full share. */
    STANDBY_PARTS = 4,
    /* In a large fleet few ask the store, and so often; ... */
    LARGE_PAUSE_US = 2000000,
    /* ... the others ask them so often, and the store only when they had no
       good answer for so long. */
    PEER_ASK_US = 1500000,
    PEER_REST_US = 2500000,
    LINK_AMPLE_MBPS = 100, /* Mbit/s; more makes no VM stronger */
    /* How long a caller may keep a directory answer: soon after a daemon
       leaves nobody knows its address any more. */
    DIRECTORY_TTL_US = 2000000,
    /* After SIGTERM: requests are served this long as before, ... */
    LEAVE_SERVE_US = 3000000,
    /* ... and what is not done by then is given up, before SIGKILL. */
    LEAVE_MARGIN_US = 900000,
    LEAVE_FLUSH_US = 200000, /* for the last answers to leave */
    REQUESTS_MAX = 1500,     /* at a time: some kilobytes each */
    CONNECTIONS_MAX = 2000,  /* of callers, about half of the descriptors */
    DIRECTORY_SIZE = 4096,
    SUSPECTS_MAX = 16, /* fingerprints that a daemon names in the store */
    /* A store that is there answers a starting daemon sooner than this. */
    ASK_PEERS_US = 300000,
    ASK_AGAIN_US = 200000,  /* the next of the daemons it may ask */
    PEER_SLACK_US = 500000, /* on top of a pause: the call itself */
    /* How often the copy of the registry is written, at most. */
    COPY_PAUSE_US = 5000000
};

/* --- what the store says --------------------------------------------- */

static void
config_fault(void *owner, const char *place, const char *why)
{
    (void)owner;
    event_log(EVENT_CONFIG_REFUSED, "place=%s cause=%s", place, why);
}

static void
node_limits(node_t *node)
{
    const route_table_t *table = engine_table(node->engine);
    http_server_settings_t settings = {
        .connections_max = CONNECTIONS_MAX,
        .limits =
            {
                .header_bytes = table != NULL ? table->header_bytes : 0,
                .body_bytes = table != NULL ? table->body_bytes : 0,
            },
        .header_timeout_us = table != NULL ? table->header_timeout_us : 0,
        .idle_timeout_us = table != NULL ? table->idle_timeout_us : 0,
    };
    http_server_set(node->callers, &settings);
}

/* Put a document in force if it is newer. */
static void
config_read(node_t *node, const char *text, size_t size, uint64_t revision,
            int64_t now_us)
{
    const document_faults_t faults = {.fault = config_fault, .owner = node};
    const route_table_t *old = engine_table(node->engine);
    route_table_t *table = document_routes(text, size, &faults);
    if (table == NULL) {
        event_log(EVENT_CONFIG_REFUSED, "rev=%" PRIu64 " cause=not_readable",
                  revision);
        return;
    }
    if (old != NULL && table->version <= old->version) {
        if (table->version < old->version) {
            event_log(EVENT_CONFIG_OLDER,
                      "v=%" PRIu64 " rev=%" PRIu64 " in_force=%" PRIu64,
                      table->version, revision, old->version);
        }
        route_table_release(table);
        return;
    }
    table->revision = revision;
    engine_configure(node->engine, table, now_us);
    node_limits(node);
    free(node->config_text);
    node->config_text = strndup(text, size);
    event_log(EVENT_CONFIG_IN_FORCE,
              "v=%" PRIu64 " rev=%" PRIu64 " routes=%u services=%u",
              table->version, revision, table->route_count,
              table->service_count);
    route_table_release(table);
}

static void
zone_read(node_t *node, const char *zone, bool closed)
{
    registry_t *registry = engine_registry(node->engine);
    if (registry_zone_is_closed(registry, zone) == closed) {
        return;
    }
    bool done = registry_close_zone(registry, zone, closed);
    event_log(EVENT_ZONE_CLOSED, "zone=%s closed=%d done=%d", zone, closed,
              done);
}

static void
operator_list_begin(void *owner, int64_t now_us)
{
    node_t *node = owner;
    (void)now_us;
    node->zones_seen_count = 0;
}

static void
operator_item(void *owner, const kv_item_t *item, int64_t now_us)
{
    node_t *node = owner;
    static const char evacuate[] = KEY_EVACUATE;
    size_t length = sizeof(evacuate) - 1;
    if (strcmp(item->key, KEY_CONFIG) == 0) {
        if (!item->removed) {
            config_read(node, item->value, item->size, item->revision, now_us);
        }
    }
    else if (strncmp(item->key, evacuate, length) == 0) {
        const char *zone = item->key + length;
        zone_read(node, zone, !item->removed);
        if (!item->removed && node->zones_seen_count < REGISTRY_ZONES_MAX &&
            text_copy(node->zones_seen[node->zones_seen_count],
                      INSTANCE_NAME_SIZE, zone)) {
            node->zones_seen_count++;
        }
    }
}

/* Zones that were closed and are not in the list are open again. */
static void
operator_list_end(void *owner, int64_t now_us)
{
    node_t *node = owner;
    registry_t *registry = engine_registry(node->engine);
    for (uint32_t i = registry->closed_count; i-- > 0;) {
        char zone[INSTANCE_NAME_SIZE];
        bool seen = false;
        memcpy(zone, registry->closed[i], sizeof(zone));
        for (uint32_t j = 0; j < node->zones_seen_count; j++) {
            seen |= strcmp(node->zones_seen[j], zone) == 0;
        }
        if (!seen) {
            zone_read(node, zone, false);
        }
    }
    engine_serve_waiting(node->engine, now_us);
}

static const store_reader_t operator_reader = {
    .list_begin = operator_list_begin,
    .item = operator_item,
    .list_end = operator_list_end,
};

static void
upstreams_list_begin(void *owner, int64_t now_us)
{
    node_t *node = owner;
    (void)now_us;
    registry_list_begin(engine_registry(node->engine));
}

static void
upstream_log(const char *id, const instance_entry_t *entry,
             registry_change_t change, uint64_t revision)
{
    static const char *const changes[] = {
        [REGISTRY_SAME] = "same",       [REGISTRY_ADDED] = "added",
        [REGISTRY_CHANGED] = "changed", [REGISTRY_GONE] = "gone",
        [REGISTRY_KEPT] = "kept",
    };
    if (change == REGISTRY_SAME) {
        return;
    }
    event_log(
        EVENT_INSTANCE,
        "instance=%s change=%s rev=%" PRIu64
        " service=%s zone=%s draining=%d cold_ms=%" PRId64,
        id, changes[change], revision, entry != NULL ? entry->service : "-",
        entry != NULL ? entry->zone : "-", entry != NULL && entry->draining,
        entry != NULL ? entry->cold_left_us / 1000 : 0);
}

static void
upstreams_item(void *owner, const kv_item_t *item, int64_t now_us)
{
    static const char prefix[] = KEY_UPSTREAMS;
    node_t *node = owner;
    registry_t *registry = engine_registry(node->engine);
    if (strncmp(item->key, prefix, sizeof(prefix) - 1) != 0) {
        return;
    }
    const char *id = item->key + sizeof(prefix) - 1;
    instance_entry_t entry;
    const char *why = "removed";
    if (!item->removed &&
        document_instance(&entry, id, item->value, item->size, &why)) {
        registry_change_t change =
            registry_put(registry, &entry, item->revision, now_us);
        node->copy_is_old |= change != REGISTRY_SAME;
        upstream_log(id, &entry, change, item->revision);
        return;
    }
    if (!item->removed) {
        event_log(EVENT_INPUT_REFUSED, "key=%s rev=%" PRIu64 " cause=%s",
                  item->key, item->revision, why);
    }
    upstream_log(id, NULL,
                 registry_remove(registry, id, item->revision, now_us),
                 item->revision);
}

static const store_reader_t copy_reader;

static void
upstreams_heard(void *owner, int64_t now_us)
{
    node_t *node = owner;
    node->upstreams_read_us = now_us;
}

static void
upstreams_list_end(void *owner, int64_t now_us)
{
    node_t *node = owner;
    registry_list_end(engine_registry(node->engine), now_us);
    if (!node->upstreams_known) {
        static const follow_settings_t copy_settings = {
            .prefix = KEY_REGISTRY,
            .once = true,
        };
        node->upstreams_known = true;
        (void)store_link_follow(node->store, &copy_settings, &copy_reader,
                                node);
        event_log(EVENT_TOPOLOGY, "upstreams=%u",
                  registry_count(engine_registry(node->engine)));
    }
    engine_serve_waiting(node->engine, now_us);
}

static const store_reader_t upstreams_reader = {
    .list_begin = upstreams_list_begin,
    .item = upstreams_item,
    .list_end = upstreams_list_end,
    .heard = upstreams_heard,
};

/* How much the VM can carry: its processor, less where its link is narrow. */
static uint32_t
boot_weight(const boot_t *boot)
{
    double link = boot->link_mbps < LINK_AMPLE_MBPS
                      ? boot->link_mbps / LINK_AMPLE_MBPS
                      : 1;
    return (uint32_t)(boot->cpu_share * boot->cores * link * 1000);
}

/* This daemon's record; 0: callers do not connect to it. */
static size_t
node_record(const node_t *node, char *text, size_t size)
{
    const boot_t *boot = &node->boot;
    return boot->has_callers
               ? member_record_write(text, size, boot->callers_text,
                                     boot->control_text, boot->zone,
                                     boot_weight(boot))
               : 0;
}

/* What depends on who the members are, and on whether this one serves. */
static void
members_settle(node_t *node, int64_t now_us)
{
    uint32_t serving = members_choose(&node->members);
    member_role_t role = members_role(&node->members, node->boot.daemon);
    uint32_t fleet = members_fleet(&node->members, now_us);
    bool large = serving < node->members.count;
    if (large) {
        /* Who stands by sends next to nothing. */
        fleet = role != MEMBER_STANDS_BY ? serving + SERVING_SPARE
                                         : fleet * STANDBY_PARTS;
    }
    node->asks_peers = large && role != MEMBER_READS;
    /* In a large fleet a drain takes two steps to be known everywhere. */
    int64_t pause_us = UPSTREAMS_PAUSE_US;
    if (large && node->boot.drain_us > 2 * LARGE_PAUSE_US) {
        pause_us = LARGE_PAUSE_US;
    }
    store_link_pace(node->store, KEY_UPSTREAMS, pause_us);
    store_link_pace(node->store, KEY_FLEET,
                    large ? LARGE_PAUSE_US : MEMBERS_PAUSE_US);
    if (fleet != node->fleet) {
        node->fleet = fleet;
        engine_set_fleet(node->engine, fleet, now_us);
    }
}

static void
members_changed(node_t *node, const char *name, const char *change,
                int64_t now_us)
{
    members_settle(node, now_us);
    event_log(EVENT_MEMBERS,
              "daemon_name=%s change=%s members=%u serves=%d "
              "shares=%u",
              name, change, node->members.count,
              (int)members_role(&node->members, node->boot.daemon),
              node->fleet);
}

static void
members_list_began(void *owner, int64_t now_us)
{
    node_t *node = owner;
    (void)now_us;
    members_list_begin(&node->members);
}

/* What another daemon suspects: DAEMON/SLOT, and the fingerprint as value. */
static void
suspect_item(node_t *node, const kv_item_t *item, int64_t now_us)
{
    const char *daemon = item->key + sizeof(KEY_SUSPECTS) - 1;
    size_t length = strlen(node->boot.daemon);
    bool own = strncmp(daemon, node->boot.daemon, length) == 0 &&
               daemon[length] == '/';
    if (!item->removed && !own) {
        engine_suspect(node->engine, strtoull(item->value, NULL, 16), now_us);
    }
}

static void
port_suspect(void *owner, uint64_t fingerprint)
{
    node_t *node = owner;
    char key[LEASE_KEY_SIZE];
    char value[32];
    snprintf(key, sizeof(key), KEY_SUSPECTS "%s/%u", node->boot.daemon,
             node->suspects++ % SUSPECTS_MAX);
    snprintf(value, sizeof(value), "%016" PRIx64, fingerprint);
    if (!store_link_put(node->store, key, value, true)) {
        event_log(EVENT_INPUT_REFUSED, "key=%s cause=too_many_writes", key);
    }
}

static void
member_item(node_t *node, const kv_item_t *item, int64_t now_us)
{
    const char *name = item->key + sizeof(KEY_MEMBERS) - 1;
    bool own = strcmp(name, node->boot.daemon) == 0;
    if (item->removed) {
        if (members_remove(&node->members, name, now_us)) {
            members_changed(node, name, "gone", now_us);
        }
        if (own && !node->leaving) {
            store_link_missing(node->store, now_us);
        }
        return;
    }
    if (members_put(&node->members, name, item->value, item->size, now_us)) {
        members_changed(node, name, "listed", now_us);
    }
}

static void
members_item(void *owner, const kv_item_t *item, int64_t now_us)
{
    if (strncmp(item->key, KEY_MEMBERS, sizeof(KEY_MEMBERS) - 1) == 0) {
        member_item(owner, item, now_us);
    }
    else if (strncmp(item->key, KEY_SUSPECTS, sizeof(KEY_SUSPECTS) - 1) == 0) {
        suspect_item(owner, item, now_us);
    }
}

static void
members_list_ended(void *owner, int64_t now_us)
{
    node_t *node = owner;
    if (members_list_end(&node->members, now_us)) {
        members_changed(node, "-", "list", now_us);
    }
    if (!node->leaving && !members_has(&node->members, node->boot.daemon)) {
        store_link_missing(node->store, now_us);
    }
}

static const store_reader_t members_reader = {
    .list_begin = members_list_began,
    .item = members_item,
    .list_end = members_list_ended,
};

static void
copy_list_event(void *owner, int64_t now_us)
{
    (void)owner;
    (void)now_us;
}

static void
copy_item(void *owner, const kv_item_t *item, int64_t now_us)
{
    node_t *node = owner;
    if (item->removed || strcmp(item->key, KEY_REGISTRY_COPY) != 0) {
        return;
    }
    uint32_t added = registry_copy_read(engine_registry(node->engine),
                                        item->value, item->size, now_us);
    event_log(EVENT_REGISTRY_COPY, "rev=%" PRIu64 " believed=%u listed=%u",
              item->revision, added,
              registry_count(engine_registry(node->engine)) - added);
    engine_serve_waiting(node->engine, now_us);
}

static const store_reader_t copy_reader = {
    .list_begin = copy_list_event,
    .item = copy_item,
    .list_end = copy_list_event,
};

/* One daemon of the fleet writes the copy: the first by name. */
static void
node_copy_registry(node_t *node, int64_t now_us)
{
    if (!node->copy_is_old || node->leaving || !node->upstreams_known ||
        now_us - node->copied_us < COPY_PAUSE_US ||
        !store_link_stats(node->store)->reachable ||
        !members_is_first(&node->members, node->boot.daemon)) {
        return;
    }
    size_t size;
    char *text =
        registry_copy_write(engine_registry(node->engine), now_us, &size);
    if (text != NULL &&
        store_link_put(node->store, KEY_REGISTRY_COPY, text, false)) {
        node->copy_is_old = false;
        node->copied_us = now_us;
    }
    free(text);
}

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
    .suspect = port_suspect,
};

static void
attempt_replied(void *owner, attempt_t *attempt, const reply_t *reply,
                int64_t now_us)
{
    node_t *node = owner;
    engine_reply(node->engine, attempt, reply, now_us);
}

/* --- readiness, directory, metrics ------------------------------------ */

static void
answer_text(exchange_t *exchange, uint32_t status, const char *type,
            const char *text, size_t size)
{
    char head[96];
    int head_size = snprintf(head, sizeof(head), "Content-Type: %s\r\n", type);
    http_answer_t answer = {
        .status = status,
        .head = head,
        .head_size = (size_t)head_size,
        .body = text,
        .body_size = size,
    };
    exchange_answer(exchange, &answer);
}

static bool
node_is_ready(const node_t *node)
{
    return !node->leaving && engine_table(node->engine) != NULL &&
           node->upstreams_known;
}

static bool
target_is(const exchange_t *exchange, const char *path)
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
    if (!target_is(exchange, CALL_READY)) {
        answer_text(exchange, 404, "text/plain", "", 0);
        return;
    }
    answer_text(exchange, node_is_ready(node) ? 200 : 503, "text/plain", "",
                0);
}

static void
directory_request(void *owner, exchange_t *exchange)
{
    node_t *node = owner;
    char text[DIRECTORY_SIZE];
    char addresses[DIRECTORY_SIZE - 64];
    if (!target_is(exchange, CALL_DIRECTORY)) {
        answer_text(exchange, 404, "text/plain", "", 0);
        return;
    }
    size_t size = members_addresses(&node->members,
                                    node->leaving ? node->boot.daemon : NULL,
                                    addresses, sizeof(addresses));
    if (size == 0) {
        answer_text(exchange, 503, "text/plain", "", 0);
        return;
    }
    int64_t ttl_us = node->boot.directory_ttl_us < DIRECTORY_TTL_US
                         ? node->boot.directory_ttl_us
                         : DIRECTORY_TTL_US;
    int length = snprintf(text, sizeof(text), "{\"addrs\":%s,\"ttl_s\":%g}",
                          addresses, (double)ttl_us / 1e6);
    answer_text(exchange, 200, "application/json", text, (size_t)length);
}

/* What this daemon knows, for one that has just started. */
static void
state_request(void *owner, exchange_t *exchange)
{
    node_t *node = owner;
    const route_table_t *table = engine_table(node->engine);
    const store_link_stats_t *store = store_link_stats(node->store);
    int64_t now_us = loop_now_us();
    bool whole = target_is(exchange, PEER_STATE_PATH) && table != NULL;
    fleet_state_t state = {
        .config = whole ? node->config_text : NULL,
        .revision = whole ? table->revision : 0,
        .upstreams_revision =
            store->reachable && !node->asks_peers
                ? store_link_revision(node->store, KEY_UPSTREAMS)
                : 0,
        .age_us = now_us - node->upstreams_read_us,
    };
    size_t size = 0;
    char *text = NULL;
    if (state.config != NULL || target_is(exchange, PEER_UPSTREAMS_PATH)) {
        text = fleet_state_write(&state, engine_registry(node->engine),
                                 &node->members, now_us, &size);
    }
    answer_text(exchange, text != NULL ? 200 : 503, "application/json", text,
                size);
    free(text);
}

/* The state of another daemon, for one that has none. */
static void
state_told(node_t *node, const fleet_state_t *state, int64_t now_us)
{
    if (state->config == NULL || engine_table(node->engine) != NULL) {
        return; /* the store was faster */
    }
    config_read(node, state->config, state->config_size, state->revision,
                now_us);
    fleet_state_apply(state, engine_registry(node->engine), &node->members,
                      now_us);
    char record[256];
    size_t size = node_record(node, record, sizeof(record));
    if (size > 0) {
        /* It cannot be written into the store yet, and yet it serves. */
        members_put(&node->members, node->boot.daemon, record, size, now_us);
    }
    node->upstreams_known = engine_table(node->engine) != NULL;
    event_log(EVENT_STATE_FROM_PEER, "upstreams=%u members=%u",
              registry_count(engine_registry(node->engine)),
              node->members.count);
    members_changed(node, "-", "told", now_us);
}

/* The upstreams as one that serves knows them, for one that does not read. */
static void
upstreams_told(node_t *node, const fleet_state_t *state, int64_t now_us)
{
    if (!node->asks_peers || !node->upstreams_known ||
        state->upstreams_revision == 0 ||
        state->age_us > LARGE_PAUSE_US + PEER_SLACK_US) {
        return;
    }
    bool taken = registry_copy_follow(
        engine_registry(node->engine), state->upstreams,
        strlen(state->upstreams), state->upstreams_revision, now_us);
    /* While the store is away this call is the one that finds it back. */
    if (taken && store_link_stats(node->store)->reachable) {
        store_link_rest(node->store, KEY_UPSTREAMS, now_us + PEER_REST_US);
    }
}

static void
peer_told(void *owner, const char *text, size_t size, int64_t now_us)
{
    node_t *node = owner;
    fleet_state_t state;
    if (!fleet_state_read(&state, text, size)) {
        event_log(EVENT_INPUT_REFUSED, "key=peer_state cause=not_readable");
        return;
    }
    state_told(node, &state, now_us);
    upstreams_told(node, &state, now_us);
    fleet_state_release(&state);
    engine_serve_waiting(node->engine, now_us);
}

/* Ask another daemon, where that is better than the store, or all there is. */
static void
node_ask_peers(node_t *node, int64_t now_us)
{
    const boot_t *boot = &node->boot;
    struct sockaddr_in address;
    peer_link_tick(node->peers, now_us);
    if (node->leaving || now_us < node->ask_due_us ||
        !peer_link_is_free(node->peers)) {
        return;
    }
    if (engine_table(node->engine) == NULL) {
        if (boot->seed_count > 0 &&
            !store_link_stats(node->store)->reachable &&
            now_us - node->started_us > ASK_PEERS_US) {
            node->ask_due_us = now_us + ASK_AGAIN_US;
            peer_link_ask(node->peers,
                          &boot->seeds[node->asked++ % boot->seed_count],
                          PEER_STATE_PATH, now_us);
        }
        return;
    }
    const char *control = node->asks_peers
                              ? members_to_ask(&node->members, boot->zone,
                                               boot->daemon, node->asked++)
                              : NULL;
    if (control != NULL && boot_address(control, &address)) {
        node->ask_due_us = now_us + PEER_ASK_US;
        peer_link_ask(node->peers, &address, PEER_UPSTREAMS_PATH, now_us);
    }
}

static void
metrics_request(void *owner, exchange_t *exchange)
{
    node_t *node = owner;
    size_t size = 0;
    char *text = metrics_text(node, &size);
    answer_text(exchange, text != NULL ? 200 : 503,
                "text/plain; version=0.0.4", text, size);
    free(text);
}

static void
plain_gone(void *owner, exchange_t *exchange)
{
    (void)owner;
    (void)exchange;
}

static const http_service_t readiness_service = {
    .request = readiness_request,
    .gone = plain_gone,
};
static const http_service_t directory_service = {
    .request = directory_request,
    .gone = plain_gone,
};
static const http_service_t state_service = {
    .request = state_request,
    .gone = plain_gone,
};
static const http_service_t metrics_service = {
    .request = metrics_request,
    .gone = plain_gone,
};

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
        members_changed(node, "-", "expired", now_us);
    }
    else {
        members_settle(node, now_us);
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
    static const follow_settings_t operator_settings = {
        .prefix = KEY_OPERATOR,
        .pause_us = OPERATOR_PAUSE_US,
        .wait_us = OPERATOR_WAIT_US,
    };
    static const follow_settings_t upstreams_settings = {
        .prefix = KEY_UPSTREAMS,
        .pause_us = UPSTREAMS_PAUSE_US,
    };
    static const follow_settings_t members_settings = {
        .prefix = KEY_FLEET,
        .pause_us = MEMBERS_PAUSE_US,
        .wait_us = MEMBERS_WAIT_US,
    };
    /* The first is the one that asks on while the store is away. */
    return store_link_follow(node->store, &upstreams_settings,
                             &upstreams_reader, node) &&
           store_link_follow(node->store, &operator_settings, &operator_reader,
                             node) &&
           store_link_follow(node->store, &members_settings, &members_reader,
                             node);
}

static void
node_register(node_t *node)
{
    char key[LEASE_KEY_SIZE];
    char record[256];
    const boot_t *boot = &node->boot;
    snprintf(key, sizeof(key), KEY_MEMBERS "%s", boot->daemon);
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
    struct sockaddr_in metrics = boot->callers;
    metrics.sin_port = htons(METRICS_PORT);
    const struct {
        const char *name;
        bool wanted;
        http_server_t *server;
        const struct sockaddr_in *address;
        const http_service_t *service;
        void *owner;
    } listeners[] = {
        {"callers", boot->has_callers, node->callers, &boot->callers,
         &front_service, &node->front},
        {"readiness", boot->has_readiness, node->services, &boot->readiness,
         &readiness_service, node},
        {"directory", boot->has_directory, node->services, &boot->directory,
         &directory_service, node},
        {"control", boot->has_control, node->services, &boot->control,
         &state_service, node},
        {"metrics", boot->has_callers && boot->has_metrics, node->services,
         &metrics, &metrics_service, node},
    };
    for (size_t i = 0; i < sizeof(listeners) / sizeof(listeners[0]); i++) {
        if (listeners[i].wanted &&
            !http_server_listen(listeners[i].server, listeners[i].address,
                                listeners[i].service, listeners[i].owner)) {
            snprintf(why, why_size, "listen %s: %s", listeners[i].name,
                     strerror(errno));
            return false;
        }
    }
    return true;
}

static bool
node_build(node_t *node)
{
    static const http_server_settings_t services = {
        .connections_max = 500,
        .limits = {.header_bytes = 16384, .body_bytes = 1024},
        .header_timeout_us = 3000000,
        .idle_timeout_us = 30000000,
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
        .retry_ratio = boot->retry_ratio,
        .retry_slack = boot->retry_slack,
        .requests_max = REQUESTS_MAX,
    };
    snprintf(settings.zone, sizeof(settings.zone), "%s", boot->zone);
    node->engine = engine_new(&settings, &node_ports, node);
    node->links = upstream_links_new(node->loop, node, attempt_replied);
    node->callers = http_server_new(node->loop, &callers);
    node->services = http_server_new(node->loop, &services);
    node->store = store_link_new(node->loop, &boot->store, &store_ops, node);
    node->peers = peer_link_new(node->loop, peer_told, node);
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
    node->fleet = members_fleet(&node->members, now_us);
    engine_set_fleet(node->engine, node->fleet, now_us);
    ev_timer_start(loop, &node->tick);
    event_log(EVENT_STARTED, "zone=%s address=%s store=%u", boot->zone,
              boot->callers_text, ntohs(boot->store.sin_port));
    return node;
}

void
node_reload(node_t *node, const boot_t *boot)
{
    int64_t now_us = loop_now_us();
    bool moved =
        memcmp(&boot->store, &node->boot.store, sizeof(boot->store)) != 0;
    event_log(EVENT_SETTINGS, "store_moved=%d", moved);
    node->boot.grace_us = boot->grace_us;
    node->boot.directory_ttl_us = boot->directory_ttl_us;
    if (moved) {
        node->boot.store = boot->store;
        store_link_set_address(node->store, &boot->store, now_us);
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
    http_server_close_after_answers(node->callers);
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
