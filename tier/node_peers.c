/* What daemons tell one another, where that is better than the store. */
#include "edge/event.h"
#include "http/loop_clock.h"
#include "platform/names.h"
#include "tier/fleet_state.h"
#include "tier/node_state.h"
#include "tier/registry_copy.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* In a large fleet those who do not read the store ask one who does so
       often, and the store only without a good answer for so long. */
    PEER_ASK_US = 1500000,
    PEER_REST_US = 2500000,
    /* A store that is there answers a starting daemon sooner than this. */
    ASK_PEERS_US = 300000,
    ASK_AGAIN_US = 200000, /* the next of the daemons it may ask */
    PEER_SLACK_US = 500000 /* on top of a pause: the call itself */
};

/* What this daemon knows, for one that has just started. */
void
node_state_request(void *owner, exchange_t *exchange)
{
    node_t *node = owner;
    const route_table_t *table = engine_table(node->engine);
    const store_link_stats_t *store = store_link_stats(node->store);
    int64_t now_us = loop_now_us();
    bool whole = node_target_is(exchange, PEER_STATE_PATH) && table != NULL;
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
    if (state.config != NULL ||
        node_target_is(exchange, PEER_UPSTREAMS_PATH)) {
        text = fleet_state_write(&state, engine_registry(node->engine),
                                 &node->members, now_us, &size);
    }
    node_answer_text(exchange, text != NULL ? 200 : 503, "application/json",
                     text, size);
    free(text);
}

/* The state of another daemon, for one that has none. */
static void
state_told(node_t *node, const fleet_state_t *state, int64_t now_us)
{
    if (state->config == NULL || engine_table(node->engine) != NULL) {
        return; /* the store was faster */
    }
    node_config_read(node, state->config, state->config_size, state->revision,
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
    node_members_changed(node, "-", "told", now_us);
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

void
node_peer_told(void *owner, const char *text, size_t size, int64_t now_us)
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
void
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
