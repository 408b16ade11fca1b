/* Relays callers' requests to other daemons, and takes theirs. */
#include "core/text.h"
#include "http/loop_clock.h"
#include "platform/names.h"
#include "tier/node_state.h"
#include "tier/rollout_message.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum {
    /* How long a peer that refused a relayed request, or could not be reached,
       gets no other one. */
    PEER_AVOID_US = 1000000
};

/* While no upstream is reached, and then until the configuration by which
   peers have answered is in force here too: a caller must not fall back behind
   it. */
static bool
relay_is_wanted(void *owner)
{
    const node_t *node = owner;
    const route_table_t *table = engine_table(node->engine);
    return reach_is_cut_off(engine_reach(node->engine)) ||
           (table != NULL && table->version < node->relay_version);
}

static bool
relay_pick(void *owner, struct sockaddr_in *address, char *name)
{
    node_t *node = owner;
    node->relays++;
    const member_record_t *peer = members_pick_relay(
        &node->members, node->boot.zone, node->boot.daemon_name,
        XXH64(&node->relays, sizeof(node->relays), (uint64_t)loop_now_us()),
        loop_now_us());
    if (peer == NULL || !boot_parse_address(peer->control, address)) {
        return false;
    }
    return text_copy(name, MEMBER_NAME_SIZE, peer->name);
}

static void
relay_avoid(void *owner, const char *name, int64_t now_us)
{
    node_t *node = owner;
    members_avoid(&node->members, name, now_us + PEER_AVOID_US);
}

static uint64_t
relay_min_version(void *owner)
{
    const node_t *node = owner;
    const route_table_t *table = engine_table(node->engine);
    return table != NULL && table->version > node->relay_version
               ? table->version
               : node->relay_version;
}

static void
relay_note_version(void *owner, uint64_t version)
{
    node_t *node = owner;
    if (version > node->relay_version) {
        node->relay_version = version;
    }
}

const front_relay_ops_t node_relay_ops = {
    .is_wanted = relay_is_wanted,
    .pick = relay_pick,
    .avoid = relay_avoid,
    .min_version = relay_min_version,
    .note_version = relay_note_version,
};

static void
peer_request(void *owner, exchange_t *exchange)
{
    node_t *node = owner;
    if (http_header_find(exchange_request(exchange), HEADER_RELAY_VERSION) !=
        NULL) {
        front_handler.request(&node->peer_front, exchange);
        return;
    }
    if (node_target_is(exchange, QUOTA_PATH)) {
        node_quota_request(node, exchange);
        return;
    }
    if (node_target_is(exchange, ROLLOUT_PATH)) {
        node_rollout_request(node, exchange);
        return;
    }
    node_state_request(node, exchange);
}

static void
peer_disconnected(void *owner, exchange_t *exchange)
{
    node_t *node = owner;
    front_handler.disconnected(&node->peer_front, exchange);
}

static void
peer_wake(void *owner, exchange_t *exchange)
{
    node_t *node = owner;
    front_handler.wake(&node->peer_front, exchange);
}

const http_handler_t node_peer_handler = {
    .request = peer_request,
    .disconnected = peer_disconnected,
    .wake = peer_wake,
};
