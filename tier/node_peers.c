/* What daemons tell one another, where that is better than the store. */
#include "edge/event.h"
#include "http/loop_clock.h"
#include "platform/names.h"
#include "tier/fleet_state.h"
#include "tier/node_state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* While the store is away the others tell of its return: what lapsed has
       two seconds from then. */
    PEER_ASK_LOST_US = 500000,
    /* A store that is there answers a starting daemon sooner than this. */
    ASK_PEERS_US = 300000,
    ASK_AGAIN_US = 200000, /* the next of the daemons it may ask */
    PEER_PATH_SIZE = 384
};

/* Up to which revisions of the store this daemon knows what. */
static fleet_known_t
node_known(const node_t *node)
{
    const store_link_t *store = node->store;
    fleet_known_t known = node->told;
    const struct {
        uint64_t *told;
        uint64_t read;
    } parts[] = {
        {&known.upstreams, store_link_revision(store, KEY_UPSTREAMS)},
        {&known.members, store_link_revision(store, KEY_FLEET)},
        {&known.zones, store_link_revision(store, KEY_OPERATOR)},
    };
    for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
        if (parts[i].read > *parts[i].told) {
            *parts[i].told = parts[i].read;
        }
    }
    return known;
}

static void
node_digest(const node_t *node, fleet_digest_t *digest)
{
    const route_table_t *table = engine_table(node->engine);
    fleet_digest(digest, table != NULL ? table->revision : 0,
                 engine_registry(node->engine), &node->members);
    digest->known = node->told;
}

/*
 * What this daemon knows. Only one that reads the store itself, and reaches
 * it, says up to which revision: what was told is not told on as new.
 */
void
node_state_request(void *owner, exchange_t *exchange)
{
    node_t *node = owner;
    const route_table_t *table = engine_table(node->engine);
    bool reads = store_link_stats(node->store)->reachable && !node->asks_peers;
    int64_t now_us = loop_now_us();
    fleet_state_t state = {
        .known = reads ? node_known(node) : (fleet_known_t){0},
        .age_us = now_us - node->upstreams_read_us,
        .config_revision = table != NULL ? table->revision : 0,
        .config = node->config_text,
    };
    size_t size = 0;
    char *text = NULL;
    if (node_target_is(exchange, PEER_STATE_PATH)) {
        fleet_digest_t have;
        fleet_query_read(&have, http_target(exchange_request(exchange)));
        text = fleet_state_write(&state, &have, engine_registry(node->engine),
                                 &node->members, now_us, &size);
    }
    node_answer_text(exchange, text != NULL ? 200 : 404, "application/json",
                     text, size);
    free(text);
}

/* The state of another daemon, for one that has none. */
static void
state_begin(node_t *node, const fleet_state_t *state, int64_t now_us)
{
    char zones[REGISTRY_ZONES_MAX][INSTANCE_NAME_SIZE];
    node_config_read(node, state->config, state->config_size,
                     state->config_revision, now_us);
    fleet_state_begin(state, engine_registry(node->engine), &node->members,
                      now_us);
    node_zones_told(node, zones,
                    fleet_state_zones(state, zones, REGISTRY_ZONES_MAX),
                    now_us);
    /* It cannot be written into the store yet, and yet it serves. */
    node_list_itself(node, now_us);
    node->upstreams_known = engine_table(node->engine) != NULL;
    event_log(EVENT_STATE_FROM_PEER, "upstreams=%u members=%u",
              registry_count(engine_registry(node->engine)),
              node->members.count);
    node_members_changed(node, "-", "told", now_us);
}

/* What another daemon knows better than this one. */
static void
state_follow(node_t *node, const fleet_state_t *state, int64_t now_us)
{
    char zones[REGISTRY_ZONES_MAX][INSTANCE_NAME_SIZE];
    registry_t *registry = engine_registry(node->engine);
    fleet_known_t before = node->told;
    bool began = !node->upstreams_known;
    node->upstreams_known = true;
    node->told = node_known(node);
    unsigned taken = fleet_state_follow(state, &node->told, registry,
                                        &node->members, now_us);
    if ((before.upstreams != 0 && node->told.upstreams == 0) ||
        (before.members != 0 && node->told.members == 0)) {
        node->ask_due_us = now_us; /* for the whole, once */
    }
    if (state->config != NULL) {
        node_config_read(node, state->config, state->config_size,
                         state->config_revision, now_us);
    }
    if ((taken & FLEET_ZONES) != 0) {
        node_zones_told(node, zones,
                        fleet_state_zones(state, zones, REGISTRY_ZONES_MAX),
                        now_us);
    }
    if (began || (taken & FLEET_MEMBERS) != 0) {
        node_list_itself(node, now_us);
        node_members_changed(node, "-", "told", now_us);
    }
    if ((taken & FLEET_UPSTREAMS) != 0) {
        event_log(EVENT_UPSTREAMS_TOLD,
                  "rev=%" PRIu64 " age_ms=%" PRId64 " upstreams=%u",
                  state->known.upstreams, state->age_us / 1000,
                  registry_count(registry));
    }
}

/* This daemon asks another, and need not ask the store. */
static void
store_rests(node_t *node, int64_t now_us)
{
    int64_t until_us = now_us + node->pace.alone_us;
    if (!node->asks_peers) {
        return;
    }
    store_link_rest(node->store, KEY_UPSTREAMS, until_us);
    if (members_role(&node->members, node->boot.daemon_name) ==
        MEMBER_STANDS_BY) {
        store_link_rest(node->store, KEY_FLEET, until_us);
        store_link_rest(node->store, KEY_OPERATOR, until_us);
    }
}

/* False: it says nothing that this daemon can go by. */
static bool
peer_told(node_t *node, const fleet_state_t *state, int64_t now_us)
{
    if (state->known.upstreams == 0) {
        /* The store is away for that one too. */
        if (engine_table(node->engine) == NULL && state->config != NULL) {
            state_begin(node, state, now_us);
        }
        return false;
    }
    if (state->age_us > node->pace.fresh_us) {
        return false;
    }
    state_follow(node, state, now_us);
    if (store_link_stats(node->store)->reachable) {
        store_rests(node, now_us);
    }
    else if (node->asks_peers) {
        store_link_try(node->store, now_us);
    }
    return true;
}

/* The one that was asked is of no help. In an outage the others have no more
   to say than that one, and are not hurried. */
static void
ask_another(node_t *node, int64_t now_us)
{
    node->asked++;
    if (store_link_stats(node->store)->reachable &&
        node->ask_due_us > now_us + ASK_AGAIN_US) {
        node->ask_due_us = now_us + ASK_AGAIN_US;
    }
}

void
node_peer_told(void *owner, const char *text, size_t size, int64_t now_us)
{
    node_t *node = owner;
    fleet_state_t state;
    if (text == NULL) {
        ask_another(node, now_us);
        return;
    }
    if (!fleet_state_read(&state, text, size)) {
        event_log(EVENT_INPUT_REFUSED, "key=peer_state cause=not_readable");
        ask_another(node, now_us);
        return;
    }
    if (!peer_told(node, &state, now_us)) {
        ask_another(node, now_us);
    }
    fleet_state_release(&state);
    engine_serve_waiting(node->engine, now_us);
}

/* Ask another daemon, where that is better than the store, or all there is. */
void
node_ask_peers(node_t *node, int64_t now_us)
{
    const boot_t *boot = &node->boot;
    bool reachable = store_link_stats(node->store)->reachable;
    bool knows = engine_table(node->engine) != NULL;
    struct sockaddr_in address;
    peer_link_tick(node->peers, now_us);
    if (node->leaving || now_us < node->ask_due_us ||
        !peer_link_is_free(node->peers)) {
        return;
    }
    const char *control = node->asks_peers || (knows && !reachable)
                              ? members_to_ask(&node->members, boot->zone,
                                               boot->daemon_name, node->asked)
                              : NULL;
    if (control != NULL && boot_parse_address(control, &address)) {
        node->ask_due_us =
            now_us + (reachable ? node->pace.ask_us : PEER_ASK_LOST_US);
    }
    else if (!knows && boot->seed_count > 0 && !reachable &&
             now_us - node->started_us > ASK_PEERS_US) {
        node->ask_due_us = now_us + ASK_AGAIN_US;
        address = boot->seeds[node->asked++ % boot->seed_count];
    }
    else {
        return;
    }
    char path[PEER_PATH_SIZE];
    fleet_digest_t digest;
    node_digest(node, &digest);
    if (fleet_query_write(path, sizeof(path), PEER_STATE_PATH, &digest) > 0) {
        peer_link_ask(node->peers, &address, path, now_us);
    }
}
