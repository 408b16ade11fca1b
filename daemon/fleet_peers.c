#include "core/name.h"
#include "daemon/clock.h"
#include "daemon/fleet_state.h"
#include "daemon/heartbeat.h"
#include "edge/event.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The record of a peer, added if missing. If the array is full, the new record
 * replaces that of the peer which has been silent for longest.
 */
static fleet_peer_t *
find_or_add_peer(fleet_t *fleet, const char *name, uint64_t incarnation,
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
    snprintf(peer->name, sizeof(peer->name), "%s", name);
    return peer;
}

static void
send_message(fleet_t *fleet, const char *peer, uint64_t incarnation,
             const message_t *message)
{
    error_t ignored = ERROR_INIT;
    peer_net_send(fleet->net, peer, incarnation, message, &ignored);
}

/*
 * Send a MESSAGE_ASK without an id. The peer adopts the text, or sends the
 * data that the kind requests; it sends no MESSAGE_ANSWER.
 */
static void
send_ask(fleet_t *fleet, const char *peer, uint64_t incarnation,
         ask_kind_t kind, const char *text)
{
    message_t message = {
        .type = MESSAGE_ASK,
        .ask = {.kind = kind, .json = text, .size = strlen(text)},
    };
    send_message(fleet, peer, incarnation, &message);
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
        send_message(fleet, peer, incarnation, &message);
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
    send_message(fleet, peer, incarnation, &message);
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
    send_ask(fleet, peer, incarnation, ASK_ROSTER, text);
    free(text);
}

static bool
roster_has_member(const roster_doc_t *doc, uint64_t incarnation)
{
    for (size_t i = 0; i < doc->count; i++) {
        if (doc->members[i].incarnation == incarnation) {
            return true;
        }
    }
    return false;
}

static void
send_holds(fleet_t *fleet, const char *peer, uint64_t incarnation)
{
    pthread_mutex_lock(&fleet->lock);
    char *text = hold_set_format(&fleet->holds);
    pthread_mutex_unlock(&fleet->lock);
    if (text == NULL) {
        return;
    }
    send_ask(fleet, peer, incarnation, ASK_HOLDS, text);
    free(text);
}

void
fleet_send_holds(fleet_t *fleet)
{
    fleet_member_t members[FLEET_PEERS_MAX];
    size_t count = fleet_members(fleet, members, FLEET_PEERS_MAX);
    for (size_t i = 0; i < count && i < FLEET_PEERS_MAX; i++) {
        if (!members[i].self) {
            send_holds(fleet, members[i].name, members[i].incarnation);
        }
    }
}

/*
 * Actions that a received heartbeat requires: decided with the lock held,
 * carried out without it.
 */
typedef struct {
    /* The sender is no member, and needs a heartbeat in return to act. */
    bool send_answer;
    bool send_roster;    /* the sender has an older roster */
    bool send_holds;     /* the sender has other holds */
    bool request_config; /* the sender has a newer configuration */
    uint64_t have_version;
    bool store_failing;
    roster_heartbeat_t lease;
    confsync_report_t report;
} heartbeat_response_t;

/* Record a heartbeat and decide how to respond. Lock held. */
static void
record_heartbeat(fleet_t *fleet, const roster_heartbeat_t *lease,
                 const confsync_report_t *report,
                 heartbeat_response_t *response)
{
    int64_t now_us = clock_now_us();
    find_or_add_peer(fleet, lease->name, lease->incarnation, now_us)
        ->config_version = report->version;
    roster_heartbeat_receive(fleet->roster, lease, now_us);
    pace_heartbeat_receive(&fleet->pace, lease->requests_grant, now_us);
    member_heartbeat_receive(&fleet->members, lease->name, lease->incarnation,
                             lease->echo_us, now_us);
    confsync_report_receive(
        &fleet->sync, lease->name, lease->incarnation, report, lease->echo_us,
        roster_grant_until(fleet->roster, lease->name), now_us);
    *response = (heartbeat_response_t){
        .send_answer = !roster_has_member(roster_members(fleet->roster),
                                          lease->incarnation),
        .send_roster = lease->version < roster_version(fleet->roster),
        .send_holds = report->version == fleet->sync.version &&
                      report->holds_digest != fleet->sync.holds_digest,
        .request_config = confsync_is_newer(&fleet->sync, report->version),
        .have_version = fleet->sync.version,
        .store_failing = !fleet->store_up,
    };
    confsync_report_make(&fleet->sync, now_us, &response->report);
    if (response->send_answer) {
        roster_heartbeat_answer(fleet->roster, lease, now_us,
                                &response->lease);
    }
}

static void
handle_heartbeat(fleet_t *fleet, const char *peer, uint64_t incarnation,
                 const heartbeat_t *heartbeat)
{
    roster_heartbeat_t lease;
    confsync_report_t report;
    heartbeat_response_t response;
    if (!heartbeat_parse_lease(peer, incarnation, heartbeat, &lease) ||
        !heartbeat_parse_report(heartbeat, &report)) {
        return;
    }
    pthread_mutex_lock(&fleet->lock);
    record_heartbeat(fleet, &lease, &report, &response);
    pthread_mutex_unlock(&fleet->lock);
    if (response.send_answer) {
        heartbeat_buffer_t buffer;
        message_t message;
        heartbeat_make_message(&response.lease, &response.report,
                               response.store_failing, &buffer, &message);
        send_message(fleet, peer, incarnation, &message);
    }
    if (response.send_roster) {
        send_roster(fleet, peer, incarnation);
    }
    if (response.send_holds) {
        send_holds(fleet, peer, incarnation);
    }
    if (response.request_config) {
        request_config(fleet, peer, incarnation, response.have_version);
    }
}

static void
adopt_roster(fleet_t *fleet, const ask_t *ask)
{
    pthread_mutex_lock(&fleet->lock);
    roster_adopt(fleet->roster, ask->json, ask->size, clock_now_us());
    pthread_cond_broadcast(&fleet->changed);
    pthread_mutex_unlock(&fleet->lock);
}

/* The partition as JSON; the caller frees it. NULL: out of memory. */
static char *
format_partition(const partition_t *partition)
{
    json_t *shards = json_array();
    for (size_t i = 0; i < partition->shard_count; i++) {
        const shard_t *shard = &partition->shards[i];
        json_array_append_new(shards,
                              json_pack("{s:I, s:I, s:i}", "lo",
                                        (json_int_t)shard->range.lo, "hi",
                                        (json_int_t)shard->range.hi, "group",
                                        (int)shard->group));
    }
    json_t *root = json_pack(
        "{s:s, s:{s:I, s:o}}", "service", partition->service, "partition",
        "generation", (json_int_t)partition->generation, "shards", shards);
    char *text = root == NULL ? NULL : json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static void
send_partition(fleet_t *fleet, const char *peer, uint64_t incarnation,
               const partition_t *partition)
{
    char *text = format_partition(partition);
    if (text != NULL) {
        send_ask(fleet, peer, incarnation, ASK_PARTITION, text);
    }
    free(text);
}

static void
send_partitions(fleet_t *fleet, const char *peer, uint64_t incarnation)
{
    pthread_mutex_lock(&fleet->lock);
    topology_t *topology = topology_get(fleet->topology);
    pthread_mutex_unlock(&fleet->lock);
    for (size_t i = 0; i < topology->partition_count; i++) {
        send_partition(fleet, peer, incarnation, &topology->partitions[i]);
    }
    topology_put(topology);
}

static void
handle_partition(fleet_t *fleet, const ask_t *ask)
{
    partition_t partition = {.shard_count = 0};
    error_t err = ERROR_INIT;
    json_t *root =
        json_loadb(ask->json, ask->size, JSON_REJECT_DUPLICATES, NULL);
    const char *service = json_string_value(json_object_get(root, "service"));
    char *text = json_dumps(json_object_get(root, "partition"), JSON_COMPACT);
    if (service == NULL || !name_valid(service) || text == NULL) {
        event_log(EVENT_INPUT_REFUSED,
                  "a peer's partition message is not valid JSON, or lacks "
                  "a valid service name or a partition");
    }
    else if (partition_parse(service, text, strlen(text), &partition, &err) ==
             STATUS_OK) {
        fleet_adopt_partition(fleet, &partition);
        free(partition.shards);
    }
    else {
        event_log(EVENT_INPUT_REFUSED, "%s", error_text(&err));
    }
    free(text);
    json_decref(root);
}

void
fleet_announce_partition(fleet_t *fleet, const partition_t *partition)
{
    if (!fleet_adopt_partition(fleet, partition)) {
        return;
    }
    fleet_member_t members[FLEET_PEERS_MAX];
    size_t count = fleet_members(fleet, members, FLEET_PEERS_MAX);
    for (size_t i = 0; i < count; i++) {
        if (!members[i].self) {
            send_partition(fleet, members[i].name, members[i].incarnation,
                           partition);
        }
    }
}

static void
handle_ask(fleet_t *fleet, const char *peer, uint64_t incarnation,
           const ask_t *ask)
{
    switch (ask->kind) {
    case ASK_HOLDS:
        fleet_merge_holds(fleet, ask->json, ask->size);
        break;
    case ASK_ROSTER:
        adopt_roster(fleet, ask);
        break;
    case ASK_PARTITIONS:
        send_partitions(fleet, peer, incarnation);
        break;
    case ASK_PARTITION:
        handle_partition(fleet, ask);
        break;
    default:
        break;
    }
}

/*
 * A daemon that starts while the store is down has no roster and no
 * configuration. A heartbeat with roster version 0 makes the peer send its
 * roster.
 */
void
fleet_peer_up(fleet_t *fleet, const char *peer, uint64_t incarnation)
{
    roster_heartbeat_t lease = {.sent_us = clock_now_us()};
    heartbeat_buffer_t buffer;
    message_t message;
    confsync_report_t report;
    pthread_mutex_lock(&fleet->lock);
    bool lacks = fleet->config == NULL || roster_version(fleet->roster) == 0;
    confsync_report_make(&fleet->sync, lease.sent_us, &report);
    pthread_mutex_unlock(&fleet->lock);
    if (!lacks) {
        return;
    }
    heartbeat_make_message(&lease, &report, false, &buffer, &message);
    send_message(fleet, peer, incarnation, &message);
    request_config(fleet, peer, incarnation, 0);
    send_ask(fleet, peer, incarnation, ASK_PARTITIONS, "{}");
}

void
fleet_peer_down(fleet_t *fleet, const char *peer, bool reachable)
{
    if (reachable) {
        return;
    }
    pthread_mutex_lock(&fleet->lock);
    member_connection_failed(&fleet->members, peer, clock_now_us());
    pthread_mutex_unlock(&fleet->lock);
}

void
fleet_handle_message(fleet_t *fleet, const char *peer, uint64_t incarnation,
                     const message_t *message)
{
    switch (message->type) {
    case MESSAGE_HEARTBEAT:
        handle_heartbeat(fleet, peer, incarnation, &message->heartbeat);
        break;
    case MESSAGE_CONFIG_REQUEST:
        send_config(fleet, peer, incarnation);
        break;
    case MESSAGE_CONFIG_PUSH:
        fleet_adopt_config_json(fleet, message->config_push.json,
                                message->config_push.size, peer);
        break;
    case MESSAGE_ASK:
        handle_ask(fleet, peer, incarnation, &message->ask);
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
        out[i].state = member_state(&fleet->members, member->name);
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
fleet_member_states(fleet_t *fleet, const fleet_view_t *view,
                    member_state_t states[ROSTER_MEMBERS_MAX])
{
    pthread_mutex_lock(&fleet->lock);
    for (size_t i = 0; i < view->member_count; i++) {
        states[i] = member_state(&fleet->members, view->members[i].name);
    }
    pthread_mutex_unlock(&fleet->lock);
}

void
fleet_get_status(fleet_t *fleet, fleet_status_t *status)
{
    pthread_mutex_lock(&fleet->lock);
    int64_t now_us = clock_now_us();
    *status = (fleet_status_t){
        .config_version = fleet->config == NULL ? 0 : fleet->config->version,
        .roster_version = roster_version(fleet->roster),
        .may_act = roster_may_act(fleet->roster, now_us),
        .store_up = fleet->store_up,
        .vmlist_up = fleet->vmlist_up,
        .trusted = fleet->view != NULL && fleet->view->trusted,
        .upstreams = fleet->topology->upstream_count,
    };
    roster_stats(fleet->roster, now_us, &status->roster);
    status->on_grants = status->roster.on_grants;
    for (size_t i = 0; i < FLEET_THREAD_COUNT; i++) {
        status->cpu_us[i] = atomic_load(&fleet->cpu_us[i]);
    }
    for (size_t i = 0;
         fleet->view != NULL && i < fleet->view->topology->upstream_count;
         i++) {
        status->owned += fleet->view->active[i] ? 1 : 0;
    }
    pthread_mutex_unlock(&fleet->lock);
}

store_counters_t *
fleet_store_counters(fleet_t *fleet)
{
    return &fleet->counters;
}
