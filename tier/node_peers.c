/* The state that daemons get from each other instead of from the store. */
#include "edge/event.h"
#include "http/loop_clock.h"
#include "platform/names.h"
#include "tier/fleet_state.h"
#include "tier/node_state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Interval while the store is unreachable. Peers report when it is
       reachable again, and expired entries have only two seconds from then to
       be renewed. */
    PEER_POLL_OUTAGE_US = 500000,
    /* A reachable store answers a starting daemon within this time; seeds are
       polled after it. */
    SEED_POLL_DELAY_US = 300000,
    PEER_RETRY_US = 200000, /* before the next peer is polled */
    PEER_PATH_SIZE = 384
};

/* The store revisions, per kind of data, up to which this daemon is current:
   the newer of the one read from the store and the one reported by peers. */
static fleet_revisions_t
node_known_revisions(const node_t *node)
{
    const store_link_t *store = node->store;
    fleet_revisions_t known = node->peer_known;
    const struct {
        uint64_t *known;
        uint64_t read;
    } parts[] = {
        {&known.upstreams, store_link_revision(store, KEY_UPSTREAMS)},
        {&known.members, store_link_revision(store, KEY_FLEET)},
        {&known.zones, store_link_revision(store, KEY_OPERATOR)},
    };
    for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
        if (parts[i].read > *parts[i].known) {
            *parts[i].known = parts[i].read;
        }
    }
    return known;
}

static void
node_digest(const node_t *node, fleet_digest_t *digest)
{
    const route_table_t *table = engine_table(node->engine);
    fleet_digest_compute(digest, table != NULL ? table->revision : 0,
                         engine_registry(node->engine), &node->members);
    digest->rollouts = node_rollout_digest(node);
    digest->revisions = node->peer_known;
    digest->revisions.suspects = node->suspect_log.revision;
}

/*
 * Only a daemon that reads the store itself, and reaches it, sends revisions:
 * state learned from a peer is not passed on as new.
 */
void
node_state_request(void *owner, exchange_t *exchange)
{
    node_t *node = owner;
    const route_table_t *table = engine_table(node->engine);
    bool reads_store =
        store_link_stats(node->store)->reachable && !node->polls_peers;
    int64_t now_us = loop_now_us();
    fleet_state_t state = {
        .revisions =
            reads_store ? node_known_revisions(node) : (fleet_revisions_t){0},
        .age_us = now_us - node->upstreams_read_us,
        .config_revision = table != NULL ? table->revision : 0,
        .config = node->config_text,
        .suspects = reads_store ? &node->suspect_log : NULL,
        .rollouts = reads_store ? node_rollout_state(node) : NULL,
        .rollouts_digest = node_rollout_digest(node),
    };
    size_t size = 0;
    char *text = NULL;
    if (node_target_is(exchange, PEER_STATE_PATH)) {
        fleet_digest_t have;
        fleet_query_parse(&have, http_target(exchange_request(exchange)));
        text = fleet_state_write(&state, &have, engine_registry(node->engine),
                                 &node->members, now_us, &size);
    }
    node_answer_text(exchange, text != NULL ? 200 : 404, "application/json",
                     text, size);
    json_decref(state.rollouts);
    free(text);
}

/* Load the state of a peer into a daemon that has no configuration. */
static void
peer_state_bootstrap(node_t *node, const fleet_state_t *state, int64_t now_us)
{
    char zones[REGISTRY_ZONES_MAX][INSTANCE_NAME_SIZE];
    node_apply_config(node, state->config, state->config_size,
                      state->config_revision, now_us);
    fleet_state_bootstrap(state, engine_registry(node->engine), &node->members,
                          now_us);
    node_apply_closed_zones(
        node, zones, fleet_state_zones(state, zones, REGISTRY_ZONES_MAX),
        now_us);
    /* This daemon serves although it cannot write its record yet. */
    node_add_self(node, now_us);
    node->upstreams_known = engine_table(node->engine) != NULL;
    event_log(EVENT_STATE_FROM_PEER, "upstreams=%u members=%u",
              registry_count(engine_registry(node->engine)),
              node->members.count);
    node_members_changed(node, "-", "told", now_us);
}

static void
peer_suspects_apply(node_t *node, const fleet_state_t *state, int64_t now_us)
{
    for (size_t i = 0; i < fleet_state_suspect_count(state); i++) {
        suspect_report_t report;
        if (fleet_state_suspect(state, i, &report)) {
            node_suspect_reported(node, &report, now_us);
        }
    }
}

/* Take over the parts of a peer's state that are newer. */
static void
peer_state_apply(node_t *node, const fleet_state_t *state, int64_t now_us)
{
    char zones[REGISTRY_ZONES_MAX][INSTANCE_NAME_SIZE];
    registry_t *registry = engine_registry(node->engine);
    fleet_revisions_t before = node->peer_known;
    bool first = !node->upstreams_known;
    uint64_t era = kv_revision_era(state->revisions.upstreams);
    if (store_link_stats(node->store)->era > node->known_era) {
        node->known_era = store_link_stats(node->store)->era;
    }
    if (!first && era > node->known_era) {
        /* The peer has noticed a restoration of the store before this
           daemon. */
        node_begin_restored(node, node->known_era, era, now_us);
    }
    node->known_era = era > node->known_era ? era : node->known_era;
    node->upstreams_known = true;
    node->peer_known = node_known_revisions(node);
    unsigned changed_parts = fleet_state_apply(
        state, &node->peer_known, registry, &node->members, now_us);
    if ((before.upstreams != 0 && node->peer_known.upstreams == 0) ||
        (before.members != 0 && node->peer_known.members == 0)) {
        /* The changes do not lead to the peer's state. Ask for the full state
           at once, but only after the first such failure. */
        node->peer_poll_due_us = now_us;
    }
    if (state->config != NULL) {
        node_apply_config(node, state->config, state->config_size,
                          state->config_revision, now_us);
    }
    if ((changed_parts & FLEET_ZONES) != 0) {
        node_apply_closed_zones(
            node, zones, fleet_state_zones(state, zones, REGISTRY_ZONES_MAX),
            now_us);
    }
    node_rollout_apply_state(node, fleet_state_rollouts(state), now_us);
    peer_suspects_apply(node, state, now_us);
    if (first) {
        node_read_registry_copy(node);
    }
    if (first || (changed_parts & FLEET_MEMBERS) != 0) {
        node_check_own_record(node, now_us);
        node_add_self(node, now_us);
        node_members_changed(node, "-", "told", now_us);
    }
    if ((changed_parts & FLEET_UPSTREAMS) != 0) {
        event_log(EVENT_UPSTREAMS_TOLD,
                  "rev=%" PRIu64 " age_ms=%" PRId64 " upstreams=%u",
                  state->revisions.upstreams, state->age_us / 1000,
                  registry_count(registry));
    }
}

/* Pause polling the store for the data that a peer provides. */
static void
store_pause_polling(node_t *node, int64_t now_us)
{
    int64_t until_us = now_us + node->poll_intervals.store_fallback_us;
    if (!node->polls_peers) {
        return;
    }
    store_link_pause_polling(node->store, KEY_UPSTREAMS, until_us);
    store_link_pause_polling(node->store, KEY_FLEET, until_us);
    store_link_pause_polling(node->store, KEY_OPERATOR, until_us);
    store_link_pause_polling(node->store, KEY_ROLLOUT_STATUS, until_us);
}

/* Returns false if the peer's state is too old or not from the store. */
static bool
peer_state_accept(node_t *node, const fleet_state_t *state, int64_t now_us)
{
    if (state->revisions.upstreams == 0) {
        /* The peer cannot reach the store or does not read it. */
        if (engine_table(node->engine) == NULL && state->config != NULL) {
            peer_state_bootstrap(node, state, now_us);
        }
        return false;
    }
    if (state->age_us > node->poll_intervals.peer_max_age_us) {
        return false;
    }
    peer_state_apply(node, state, now_us);
    if (store_link_stats(node->store)->reachable) {
        store_pause_polling(node, now_us);
    }
    else if (node->polls_peers) {
        store_link_retry_now(node->store, now_us);
    }
    return true;
}

/* Select another peer after a poll without result. It is polled early only
   while the store is reachable: in an outage other peers know no more. */
static void
select_next_peer(node_t *node, int64_t now_us)
{
    node->next_peer++;
    if (store_link_stats(node->store)->reachable &&
        node->peer_poll_due_us > now_us + PEER_RETRY_US) {
        node->peer_poll_due_us = now_us + PEER_RETRY_US;
    }
}

void
node_peer_answered(void *owner, const char *text, size_t size, int64_t now_us)
{
    node_t *node = owner;
    fleet_state_t state;
    if (text == NULL) {
        select_next_peer(node, now_us);
        return;
    }
    if (!fleet_state_parse(&state, text, size)) {
        event_log(EVENT_INPUT_REFUSED, "key=peer_state cause=not_readable");
        select_next_peer(node, now_us);
        return;
    }
    if (!peer_state_accept(node, &state, now_us)) {
        select_next_peer(node, now_us);
    }
    fleet_state_release(&state);
    engine_dispatch_queued(node->engine, now_us);
}

void
node_poll_peers(node_t *node, int64_t now_us)
{
    const boot_t *boot = &node->boot;
    bool reachable = store_link_stats(node->store)->reachable;
    bool has_config = engine_table(node->engine) != NULL;
    struct sockaddr_in address;
    peer_link_tick(node->peers, now_us);
    if (node->shutting_down || now_us < node->peer_poll_due_us ||
        !peer_link_is_idle(node->peers)) {
        return;
    }
    const char *address_text =
        node->polls_peers || (has_config && !reachable)
            ? members_pick_reader(&node->members, boot->zone,
                                  boot->daemon_name, node->next_peer)
            : NULL;
    if (address_text != NULL && boot_parse_address(address_text, &address)) {
        node->peer_poll_due_us =
            now_us + (reachable ? node->poll_intervals.peer_poll_us
                                : PEER_POLL_OUTAGE_US);
    }
    else if (!has_config && boot->seed_count > 0 && !reachable &&
             now_us - node->started_us > SEED_POLL_DELAY_US) {
        node->peer_poll_due_us = now_us + PEER_RETRY_US;
        address = boot->seeds[node->next_peer++ % boot->seed_count];
    }
    else {
        return;
    }
    char path[PEER_PATH_SIZE];
    fleet_digest_t digest;
    node_digest(node, &digest);
    if (fleet_query_write(path, sizeof(path), PEER_STATE_PATH, &digest) > 0) {
        peer_link_request(node->peers, &address, path, now_us);
    }
}
