#include "daemon/clock.h"
#include "daemon/fleet_state.h"
#include "daemon/heartbeat.h"
#include "edge/event.h"

#include <stdlib.h>
#include <string.h>

/* What is noted of a peer, made when new; the oldest makes room. */
static fleet_peer_t *
note_peer(fleet_t *fleet, const char *name, uint64_t incarnation,
          int64_t now_us)
{
    fleet_peer_t *oldest = &fleet->peers[0];
    for (size_t i = 0; i < fleet->peer_count; i++) {
        fleet_peer_t *peer = &fleet->peers[i];
        if (strcmp(peer->name, name) == 0) {
            if (peer->incarnation != incarnation) {
                peer->incarnation = incarnation;
                peer->config_version = 0;
            }
            peer->heard_us = now_us;
            return peer;
        }
        if (peer->heard_us < oldest->heard_us) {
            oldest = peer;
        }
    }
    fleet_peer_t *peer = fleet->peer_count < FLEET_PEERS_MAX
                             ? &fleet->peers[fleet->peer_count++]
                             : oldest;
    *peer = (fleet_peer_t){.incarnation = incarnation, .heard_us = now_us};
    strncpy(peer->name, name, NAME_SIZE - 1);
    return peer;
}

static void
send_to(fleet_t *fleet, const char *peer, uint64_t incarnation,
        const message_t *message)
{
    error_t ignored = ERROR_INIT;
    peer_net_send(fleet->net, peer, incarnation, message, &ignored);
}

static void
send_config(fleet_t *fleet, const char *peer, uint64_t incarnation)
{
    config_t *config = fleet_current_config(fleet);
    char *text = config == NULL ? NULL : config_format_json(config);
    if (text != NULL) {
        message_t message = {
            .type = MESSAGE_CONFIG_PUSH,
            .config_push =
                {
                    .version = config->version,
                    .json = text,
                    .size = strlen(text),
                },
        };
        send_to(fleet, peer, incarnation, &message);
    }
    free(text);
    config_put(config);
}

static void
request_config(fleet_t *fleet, const char *peer, uint64_t incarnation,
               uint64_t have)
{
    message_t message = {
        .type = MESSAGE_CONFIG_REQUEST,
        .config_request = {.have_version = have},
    };
    send_to(fleet, peer, incarnation, &message);
}

static void
send_roster(fleet_t *fleet, const char *peer, uint64_t incarnation)
{
    pthread_mutex_lock(&fleet->lock);
    char *text = roster_text(fleet->roster);
    pthread_mutex_unlock(&fleet->lock);
    if (text == NULL) {
        return;
    }
    message_t message = {
        .type = MESSAGE_ASK,
        .ask =
            {
                .kind = ASK_ROSTER,
                .json = text,
                .size = strlen(text),
            },
    };
    send_to(fleet, peer, incarnation, &message);
    free(text);
}

static bool
is_member(const roster_doc_t *doc, uint64_t incarnation)
{
    for (size_t i = 0; i < doc->count; i++) {
        if (doc->members[i].incarnation == incarnation) {
            return true;
        }
    }
    return false;
}

static void
take_heartbeat(fleet_t *fleet, const char *peer, uint64_t incarnation,
               const heartbeat_t *heartbeat)
{
    roster_heartbeat_t lease;
    roster_heartbeat_t answer;
    int64_t now_us = clock_now_us();
    if (!heartbeat_lease(peer, incarnation, heartbeat, &lease)) {
        return;
    }
    pthread_mutex_lock(&fleet->lock);
    note_peer(fleet, peer, incarnation, now_us)->config_version =
        heartbeat->config_version;
    roster_heartbeat_receive(fleet->roster, &lease, now_us);
    bool stranger = !is_member(roster_members(fleet->roster), incarnation);
    if (stranger) {
        roster_heartbeat_answer(fleet->roster, &lease, now_us, &answer);
    }
    bool behind = lease.version < roster_version(fleet->roster);
    uint64_t have = fleet->config == NULL ? 0 : fleet->config->version;
    bool failing = !fleet->store_up;
    pthread_mutex_unlock(&fleet->lock);
    if (stranger) {
        heartbeat_buffer_t buffer;
        message_t message;
        heartbeat_message(&answer, have, failing, &buffer, &message);
        send_to(fleet, peer, incarnation, &message);
    }
    if (behind) {
        send_roster(fleet, peer, incarnation);
    }
    if (heartbeat->config_version > have) {
        request_config(fleet, peer, incarnation, have);
    }
}

static void
take_ask(fleet_t *fleet, const ask_t *ask)
{
    if (ask->kind != ASK_ROSTER) {
        return;
    }
    pthread_mutex_lock(&fleet->lock);
    roster_adopt(fleet->roster, ask->json, ask->size, clock_now_us());
    pthread_cond_broadcast(&fleet->changed);
    pthread_mutex_unlock(&fleet->lock);
}

void
fleet_message(fleet_t *fleet, const char *peer, uint64_t incarnation,
              const message_t *message)
{
    switch (message->type) {
    case MESSAGE_HEARTBEAT:
        take_heartbeat(fleet, peer, incarnation, &message->heartbeat);
        break;
    case MESSAGE_CONFIG_REQUEST:
        send_config(fleet, peer, incarnation);
        break;
    case MESSAGE_CONFIG_PUSH:
        fleet_take_config_text(fleet, message->config_push.json,
                               message->config_push.size, peer);
        break;
    case MESSAGE_ASK:
        take_ask(fleet, &message->ask);
        break;
    default:
        break;
    }
}

static const fleet_peer_t *
find_peer(const fleet_t *fleet, uint64_t incarnation)
{
    for (size_t i = 0; i < fleet->peer_count; i++) {
        if (fleet->peers[i].incarnation == incarnation) {
            return &fleet->peers[i];
        }
    }
    return NULL;
}

size_t
fleet_members(fleet_t *fleet, fleet_member_t *out, size_t max)
{
    pthread_mutex_lock(&fleet->lock);
    int64_t now_us = clock_now_us();
    const roster_doc_t *doc = roster_members(fleet->roster);
    for (size_t i = 0; i < doc->count && i < max; i++) {
        const roster_member_t *member = &doc->members[i];
        const fleet_peer_t *peer = find_peer(fleet, member->incarnation);
        out[i] = (fleet_member_t){
            .incarnation = member->incarnation,
            .leaving = member->leaving,
            .self = member->incarnation == fleet->settings.incarnation,
        };
        memcpy(out[i].name, member->name, NAME_SIZE);
        memcpy(out[i].zone, member->zone, NAME_SIZE);
        if (out[i].self) {
            out[i].config_version =
                fleet->config == NULL ? 0 : fleet->config->version;
        }
        else if (peer != NULL) {
            out[i].config_version = peer->config_version;
            out[i].silent_us = now_us - peer->heard_us;
        }
        else {
            out[i].silent_us = now_us;
        }
    }
    size_t count = doc->count;
    pthread_mutex_unlock(&fleet->lock);
    return count;
}

void
fleet_facts(fleet_t *fleet, fleet_facts_t *facts)
{
    pthread_mutex_lock(&fleet->lock);
    int64_t now_us = clock_now_us();
    *facts = (fleet_facts_t){
        .config_version = fleet->config == NULL ? 0 : fleet->config->version,
        .roster_version = roster_version(fleet->roster),
        .may_act = roster_may_act(fleet->roster, now_us),
        .store_up = fleet->store_up,
        .vmlist_up = fleet->vmlist_up,
        .trusted = fleet->world != NULL && fleet->world->trusted,
        .upstreams = fleet->topology->upstream_count,
    };
    roster_stats(fleet->roster, now_us, &facts->roster);
    facts->on_grants = facts->roster.on_grants;
    for (size_t i = 0;
         fleet->world != NULL && i < fleet->world->topology->upstream_count;
         i++) {
        facts->owned += fleet->world->active[i] ? 1 : 0;
    }
    pthread_mutex_unlock(&fleet->lock);
}

store_counters_t *
fleet_store_counters(fleet_t *fleet)
{
    return &fleet->counters;
}
