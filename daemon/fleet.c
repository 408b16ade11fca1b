#include "daemon/fleet.h"
#include "daemon/clock.h"
#include "daemon/fleet_state.h"
#include "daemon/heartbeat.h"
#include "edge/event.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum { TICK_US = 20000 };

static roster_member_t
self_member(const fleet_settings_t *settings)
{
    const settings_t *from = settings->settings;
    roster_member_t self = {
        .incarnation = settings->incarnation,
        .http_port = (uint16_t)from->listen_http_port,
        .peer_port = (uint16_t)from->listen_peer_port,
    };
    memcpy(self.name, from->name, NAME_SIZE);
    memcpy(self.zone, from->zone, NAME_SIZE);
    memcpy(self.address, from->listen_address, ADDRESS_SIZE);
    return self;
}

fleet_t *
fleet_new(const fleet_settings_t *settings, error_t *err)
{
    fleet_t *fleet = calloc(1, sizeof(*fleet));
    if (fleet == NULL) {
        error_set(err, STATUS_NO_MEMORY, "start fleet", "-", "out of memory");
        return NULL;
    }
    fleet->settings = *settings;
    pthread_mutex_init(&fleet->lock, NULL);
    clock_cond_init(&fleet->changed);
    roster_settings_t rules = ROSTER_SETTINGS_DEFAULT;
    rules.seed = settings->incarnation;
    roster_member_t self = self_member(settings);
    fleet->roster = roster_new(&rules, &self);
    confsync_settings_t sync = CONFSYNC_SETTINGS_DEFAULT;
    member_settings_t timeouts = pace_member_settings(0);
    confsync_init(&fleet->sync, &sync);
    member_table_init(&fleet->members, &timeouts);
    fleet->store_up = true;
    fleet->vmlist_up = true;
    fleet->dirty = true;
    if (fleet->roster == NULL ||
        topology_new(NULL, 0, NULL, 0, &fleet->topology, err) != STATUS_OK) {
        fleet_free(fleet);
        return NULL;
    }
    return fleet;
}

void
fleet_free(fleet_t *fleet)
{
    if (fleet == NULL) {
        return;
    }
    fleet_view_put(fleet->view);
    topology_put(fleet->topology);
    config_put(fleet->config);
    config_put(fleet->effective);
    roster_free(fleet->roster);
    for (size_t i = 0; i < fleet->partition_count; i++) {
        free(fleet->partitions[i].shards);
    }
    free(fleet->partitions);
    free(fleet->upstreams);
    pthread_cond_destroy(&fleet->changed);
    pthread_mutex_destroy(&fleet->lock);
    free(fleet);
}

const atomic_llong *
fleet_act_until_us(const fleet_t *fleet)
{
    return &fleet->act_until_us;
}

const atomic_llong *
fleet_trust_until_us(const fleet_t *fleet)
{
    return &fleet->trust_until_us;
}

/* Wait for `changed`, at most until until_us. Lock held. */
static void
wait_for_change(fleet_t *fleet, int64_t until_us)
{
    struct timespec until = clock_timespec(until_us);
    pthread_cond_timedwait(&fleet->changed, &fleet->lock, &until);
}

void
fleet_record_cpu_time(fleet_t *fleet, fleet_thread_t thread)
{
    atomic_store(&fleet->cpu_us[thread], clock_thread_cpu_us());
}

void
fleet_sleep(fleet_t *fleet, int64_t wait_us)
{
    int64_t until_us = clock_now_us() + wait_us;
    pthread_mutex_lock(&fleet->lock);
    while (!atomic_load(&fleet->stopping) && clock_now_us() < until_us) {
        wait_for_change(fleet, until_us);
    }
    pthread_mutex_unlock(&fleet->lock);
}

void
fleet_set_store_up(fleet_t *fleet, bool up, error_t *err)
{
    if (up == fleet->store_up) {
        return;
    }
    fleet->store_up = up;
    if (up) {
        event_log(EVENT_STORE_BACK, "peer=%s",
                  fleet->settings.settings->store_url);
    }
    else {
        event_log(EVENT_STORE_DOWN, "%s", error_text(err));
    }
}

/* Rebuild the topology from upstreams and partitions. Lock held. */
static void
rebuild_topology(fleet_t *fleet, const char *cause)
{
    topology_t *topology;
    error_t err = ERROR_INIT;
    if (topology_new(fleet->upstreams, fleet->upstream_count,
                     fleet->partitions, fleet->partition_count, &topology,
                     &err) != STATUS_OK) {
        event_log(EVENT_INPUT_REFUSED, "%s", error_text(&err));
        return;
    }
    topology_put(fleet->topology);
    fleet->topology = topology;
    fleet->dirty = true;
    pthread_cond_broadcast(&fleet->changed);
    event_log(EVENT_TOPOLOGY_CHANGED, "cause=%s upstreams=%zu partitions=%zu",
              cause, topology->upstream_count, topology->partition_count);
}

void
fleet_set_upstreams(fleet_t *fleet, upstream_info_t *upstreams, size_t count)
{
    pthread_mutex_lock(&fleet->lock);
    /* An empty list after a non-empty one is a fault; keep the old list. */
    bool keep_old = (count == 0 && fleet->upstream_count > 0) ||
                    (count == fleet->upstream_count &&
                     (count == 0 || memcmp(upstreams, fleet->upstreams,
                                           count * sizeof(*upstreams)) == 0));
    if (keep_old) {
        free(upstreams);
    }
    else {
        free(fleet->upstreams);
        fleet->upstreams = upstreams;
        fleet->upstream_count = count;
        rebuild_topology(fleet, "vm_list");
    }
    pthread_mutex_unlock(&fleet->lock);
}

/* The service's partition, added if missing; NULL: out of memory. */
static partition_t *
find_or_add_partition(fleet_t *fleet, const char *service)
{
    for (size_t i = 0; i < fleet->partition_count; i++) {
        if (strcmp(fleet->partitions[i].service, service) == 0) {
            return &fleet->partitions[i];
        }
    }
    partition_t *grown = realloc(
        fleet->partitions, (fleet->partition_count + 1) * sizeof(*grown));
    if (grown == NULL) {
        return NULL;
    }
    fleet->partitions = grown;
    partition_t *partition = &grown[fleet->partition_count++];
    *partition = (partition_t){.generation = 0};
    memcpy(partition->service, service, NAME_SIZE);
    return partition;
}

bool
fleet_adopt_partition(fleet_t *fleet, const partition_t *partition)
{
    pthread_mutex_lock(&fleet->lock);
    partition_t *have = find_or_add_partition(fleet, partition->service);
    size_t bytes = partition->shard_count * sizeof(*partition->shards);
    shard_t *shards = NULL;
    if (have != NULL && partition->generation > have->generation) {
        shards = malloc(bytes > 0 ? bytes : 1);
    }
    if (shards != NULL) {
        memcpy(shards, partition->shards, bytes);
        free(have->shards);
        have->shards = shards;
        have->shard_count = partition->shard_count;
        have->generation = partition->generation;
        event_log(EVENT_PARTITION_CHANGED,
                  "service=%s generation=%" PRIu64 " shards=%zu",
                  partition->service, partition->generation,
                  partition->shard_count);
        rebuild_topology(fleet, "partition");
    }
    pthread_mutex_unlock(&fleet->lock);
    return shards != NULL;
}

fleet_view_t *
fleet_current_view(fleet_t *fleet)
{
    pthread_mutex_lock(&fleet->lock);
    fleet_view_t *view =
        fleet->view == NULL ? NULL : fleet_view_get(fleet->view);
    pthread_mutex_unlock(&fleet->lock);
    return view;
}

void
fleet_leave(fleet_t *fleet)
{
    pthread_mutex_lock(&fleet->lock);
    roster_leave(fleet->roster);
    fleet->dirty = true;
    pthread_cond_broadcast(&fleet->changed);
    pthread_mutex_unlock(&fleet->lock);
}

bool
fleet_left(fleet_t *fleet)
{
    pthread_mutex_lock(&fleet->lock);
    bool left = roster_left(fleet->roster);
    pthread_mutex_unlock(&fleet->lock);
    return left;
}

void
fleet_refuse_queries(fleet_t *fleet)
{
    pthread_mutex_lock(&fleet->lock);
    fleet->refusing_queries = true;
    fleet->dirty = true;
    pthread_cond_broadcast(&fleet->changed);
    pthread_mutex_unlock(&fleet->lock);
}

/* Whether another daemon may still act for an upstream of this daemon. */
static bool
has_waiting_upstream(const fleet_view_t *view)
{
    for (size_t i = 0; i < view->topology->upstream_count; i++) {
        if (view->self != FLEET_VIEW_NO_MEMBER &&
            view->owner[i] == view->self && !view->active[i]) {
            return true;
        }
    }
    return false;
}

static bool
has_member(const fleet_view_t *view, const roster_member_t *member)
{
    return fleet_view_member(view, member->incarnation) !=
           FLEET_VIEW_NO_MEMBER;
}

/* Log members that joined or left, and the change of owners. Lock held. */
static void
log_members(fleet_t *fleet, const fleet_view_t *before,
            const fleet_view_t *after)
{
    const roster_doc_t *doc = roster_members(fleet->roster);
    for (size_t i = 0; i < after->member_count; i++) {
        if (!has_member(before, &after->members[i])) {
            event_log(EVENT_MEMBER_JOINED, "member=%s zone=%s",
                      after->members[i].name, after->members[i].zone);
        }
    }
    for (size_t i = 0; i < before->member_count; i++) {
        const roster_member_t *member = &before->members[i];
        if (has_member(after, member)) {
            continue;
        }
        bool removed = strcmp(member->name, doc->removed_name) == 0;
        event_log(removed ? EVENT_MEMBER_REMOVED : EVENT_MEMBER_LEFT,
                  "member=%s zone=%s cause=%s", member->name, member->zone,
                  removed ? "silent" : "own");
    }
    event_log(EVENT_OWNERS_CHANGED, "roster=%" PRIu64 " members=%zu",
              after->roster_version, after->member_count);
}

/*
 * Build a new view and make it the current one. Returns it with a reference
 * for the caller; NULL: out of memory. Lock held.
 */
static fleet_view_t *
rebuild_view(fleet_t *fleet, int64_t now_us)
{
    fleet_view_t *view =
        fleet_view_new(fleet->effective, fleet->topology, fleet->roster,
                       &fleet->members, fleet->settings.incarnation, now_us);
    if (view == NULL) {
        return NULL;
    }
    view->trusted = fleet->trusted;
    view->leaving = fleet->refusing_queries;
    if (fleet->view != NULL &&
        fleet->view->roster_version != view->roster_version) {
        log_members(fleet, fleet->view, view);
    }
    fleet->upstreams_waiting = has_waiting_upstream(view);
    fleet_view_put(fleet->view);
    fleet->view = view;
    fleet->dirty = false;
    return fleet_view_get(view);
}

/*
 * Update the times that the workers read. Logs when the lease is acquired or
 * lost, and when trust in the configuration begins or ends. Lock held.
 */
static void
update_lease(fleet_t *fleet, int64_t now_us)
{
    int64_t trust_us = confsync_trust_until(&fleet->sync);
    int64_t until_us = roster_act_until(fleet->roster, now_us);
    bool held = until_us > now_us;
    atomic_store(&fleet->trust_until_us, trust_us);
    /* Work goes upstream only under a lease and a trusted configuration. */
    atomic_store(&fleet->act_until_us,
                 until_us < trust_us ? until_us : trust_us);
    if (held != fleet->lease_held) {
        fleet->lease_held = held;
        event_log(held ? EVENT_LEASE_HELD : EVENT_LEASE_LOST,
                  "roster=%" PRIu64, roster_version(fleet->roster));
    }
    bool trusted = fleet->config != NULL && trust_us > now_us;
    if (trusted != fleet->trusted) {
        fleet->trusted = trusted;
        fleet->dirty = true;
        event_log(trusted ? EVENT_CONFIG_TRUSTED_AGAIN
                          : EVENT_CONFIG_UNTRUSTED,
                  "version=%" PRIu64, fleet->sync.version);
    }
}

static size_t
other_member_count(const fleet_t *fleet)
{
    size_t count = fleet->members.count;
    return count > 0 ? count - 1 : 0;
}

/* Take over the roster's members and update their states. Lock held. */
static void
update_members(fleet_t *fleet, int64_t now_us)
{
    const char *self = fleet->settings.settings->name;
    member_change_t changes[ROSTER_MEMBERS_MAX];
    if (roster_version(fleet->roster) != fleet->members_version) {
        fleet->members_version = roster_version(fleet->roster);
        const roster_doc_t *doc = roster_members(fleet->roster);
        member_table_sync(&fleet->members, doc, self, now_us);
        confsync_set_members(&fleet->sync, doc, self);
        fleet->members.settings =
            pace_member_settings(other_member_count(fleet));
    }
    size_t count = member_table_tick(&fleet->members, now_us, changes,
                                     ROSTER_MEMBERS_MAX);
    fleet->dirty = fleet->dirty || count > 0;
    for (size_t i = 0; i < count && i < ROSTER_MEMBERS_MAX; i++) {
        event_log(EVENT_MEMBER_STATE, "member=%s from=%s to=%s",
                  changes[i].name, member_state_name(changes[i].from),
                  member_state_name(changes[i].to));
    }
}

static void
set_net_peers(fleet_t *fleet)
{
    peer_address_t peers[FLEET_PEERS_MAX + SETTINGS_PEERS_MAX];
    const settings_t *settings = fleet->settings.settings;
    pthread_mutex_lock(&fleet->lock);
    const roster_doc_t *doc = roster_members(fleet->roster);
    size_t count = 0;
    size_t seeds = 0;
    memset(peers, 0, sizeof(peers));
    for (size_t i = 0; i < doc->count; i++) {
        const roster_member_t *member = &doc->members[i];
        peer_address_t *peer = &peers[count++];
        *peer = (peer_address_t){
            .incarnation = member->incarnation,
            .port = member->peer_port,
        };
        memcpy(peer->name, member->name, NAME_SIZE);
        memcpy(peer->address, member->address, ADDRESS_SIZE);
    }
    pthread_mutex_unlock(&fleet->lock);
    /* Without a roster, connect to the peers of the settings to get one. */
    for (size_t i = 0; count == 0 && i < settings->peer_count; i++) {
        peers[i].port = settings->peers[i].port;
        memcpy(peers[i].address, settings->peers[i].address, ADDRESS_SIZE);
        seeds++;
    }
    error_t err = ERROR_INIT;
    if (peer_net_set_peers(fleet->net, peers, count + seeds, &err) !=
        STATUS_OK) {
        event_log(EVENT_INPUT_REFUSED, "%s", error_text(&err));
    }
}

typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    roster_heartbeat_t lease;
} outgoing_heartbeat_t;

static int64_t
heartbeat_period_us(fleet_t *fleet, int64_t now_us)
{
    const roster_settings_t rules = ROSTER_SETTINGS_DEFAULT;
    int64_t left_us = roster_act_until(fleet->roster, now_us) - now_us;
    bool healthy = fleet->store_up && left_us >= rules.lease_us / 2;
    return pace_period_us(&fleet->pace, other_member_count(fleet), healthy,
                          now_us);
}

/*
 * Make the heartbeats that are due and return their number. The caller holds
 * the lock, and sends them after releasing it.
 */
static size_t
collect_heartbeats(fleet_t *fleet, int64_t now_us,
                   outgoing_heartbeat_t *heartbeats)
{
    bool urgent = roster_urgent(fleet->roster, now_us);
    if (!urgent && now_us < fleet->heartbeats_sent_us +
                                heartbeat_period_us(fleet, now_us)) {
        return 0;
    }
    fleet->heartbeats_sent_us = now_us;
    const roster_doc_t *doc = roster_members(fleet->roster);
    size_t count = 0;
    for (size_t i = 0; i < doc->count; i++) {
        const roster_member_t *member = &doc->members[i];
        if (member->incarnation == fleet->settings.incarnation) {
            continue;
        }
        outgoing_heartbeat_t *heartbeat = &heartbeats[count++];
        memcpy(heartbeat->name, member->name, NAME_SIZE);
        heartbeat->incarnation = member->incarnation;
        roster_heartbeat_make(fleet->roster, i, now_us, &heartbeat->lease);
    }
    return count;
}

static void
send_heartbeat(fleet_t *fleet, const outgoing_heartbeat_t *heartbeat,
               const confsync_report_t *report, bool store_failing)
{
    heartbeat_buffer_t buffer;
    message_t message;
    heartbeat_make_message(&heartbeat->lease, report, store_failing, &buffer,
                           &message);
    error_t ignored = ERROR_INIT;
    peer_net_send(fleet->net, heartbeat->name, heartbeat->incarnation,
                  &message, &ignored);
}

/* Acknowledge a roster version once all work that it forbids has ended. */
static void
acknowledge_settled_version(fleet_t *fleet, int64_t now_us)
{
    uint64_t settled =
        fleet->settings.settled_version(fleet->settings.context);
    pthread_mutex_lock(&fleet->lock);
    if (settled > fleet->released_version) {
        fleet->released_version = settled;
        roster_release(fleet->roster, settled, now_us);
    }
    pthread_mutex_unlock(&fleet->lock);
}

static void
fleet_tick(fleet_t *fleet)
{
    outgoing_heartbeat_t heartbeats[FLEET_PEERS_MAX];
    int64_t now_us = clock_now_us();
    acknowledge_settled_version(fleet, now_us);
    pthread_mutex_lock(&fleet->lock);
    update_members(fleet, now_us);
    update_lease(fleet, now_us);
    uint64_t version = roster_version(fleet->roster);
    bool moved = fleet->view == NULL ||
                 fleet->view->roster_version != version ||
                 fleet->upstreams_waiting;
    fleet_view_t *view =
        fleet->dirty || moved ? rebuild_view(fleet, now_us) : NULL;
    bool peers_changed =
        fleet->net_peers_version != version || !fleet->net_peers_set;
    fleet->net_peers_version = version;
    fleet->net_peers_set = true;
    size_t count = collect_heartbeats(fleet, now_us, heartbeats);
    confsync_report_t report;
    confsync_report_make(&fleet->sync, now_us, &report);
    bool failing = !fleet->store_up;
    pthread_mutex_unlock(&fleet->lock);
    if (peers_changed) {
        set_net_peers(fleet);
    }
    if (view != NULL) {
        fleet->settings.publish(fleet->settings.context, view);
        fleet_view_put(view);
    }
    for (size_t i = 0; i < count; i++) {
        send_heartbeat(fleet, &heartbeats[i], &report, failing);
    }
}

static void *
fleet_main(void *context)
{
    fleet_t *fleet = context;
    while (!atomic_load(&fleet->stopping)) {
        fleet_tick(fleet);
        fleet_record_cpu_time(fleet, FLEET_THREAD_FLEET);
        pthread_mutex_lock(&fleet->lock);
        if (!fleet->dirty) {
            wait_for_change(fleet, clock_now_us() + TICK_US);
        }
        pthread_mutex_unlock(&fleet->lock);
    }
    return NULL;
}

status_t
fleet_start(fleet_t *fleet, peer_net_t *net, error_t *err)
{
    void *(*const mains[FLEET_THREAD_COUNT])(void *) = {
        [FLEET_THREAD_FLEET] = fleet_main,
        [FLEET_THREAD_ROSTER] = fleet_roster_main,
        [FLEET_THREAD_CONFIG] = fleet_config_main,
        [FLEET_THREAD_PLATFORM] = fleet_platform_main,
    };
    fleet->net = net;
    for (size_t i = 0; i < FLEET_THREAD_COUNT; i++) {
        if (pthread_create(&fleet->threads[i], NULL, mains[i], fleet) != 0) {
            fleet_stop(fleet);
            return error_set(err, STATUS_INTERNAL, "start fleet", "-",
                             "cannot create a thread");
        }
        fleet->thread_count++;
    }
    return STATUS_OK;
}

void
fleet_stop(fleet_t *fleet)
{
    atomic_store(&fleet->stopping, true);
    pthread_mutex_lock(&fleet->lock);
    pthread_cond_broadcast(&fleet->changed);
    pthread_mutex_unlock(&fleet->lock);
    for (size_t i = 0; i < fleet->thread_count; i++) {
        pthread_join(fleet->threads[i], NULL);
    }
    fleet->thread_count = 0;
}
