/*
 * State shared by daemon/fleet*.c; private to them. fleet.lock protects every
 * member except atomics and those set before the threads start.
 */
#ifndef DAEMON_FLEET_STATE_H
#define DAEMON_FLEET_STATE_H

#include "daemon/fleet.h"
#include "fleet/confsync.h"
#include "fleet/hold.h"
#include "fleet/pace.h"

#include <pthread.h>

/* State of a peer as reported by its heartbeats. */
typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    uint64_t config_version;
    int64_t heard_us; /* when its last heartbeat came */
} fleet_peer_t;

/* A hold made by an operator on this daemon that is not yet in the store. */
typedef struct {
    hold_kind_t kind;
    char name[NAME_SIZE];
    char by[NAME_SIZE];
} pending_hold_t;

struct fleet {
    fleet_settings_t settings;
    peer_net_t *net;
    store_counters_t counters;
    atomic_llong act_until_us;
    atomic_llong trust_until_us;
    atomic_bool stopping;
    pthread_mutex_t lock;
    pthread_cond_t changed; /* the state changed, or the fleet is stopping */

    roster_t *roster;
    member_table_t members;
    uint64_t members_version; /* roster version of members and sync */
    confsync_t sync;
    hold_set_t holds;
    pending_hold_t pending_holds[HOLDS_MAX];
    size_t pending_hold_count;
    config_t *config;    /* in force, as accepted by the store */
    config_t *effective; /* config with the holds applied */
    bool trusted;        /* config is trusted, see confsync.h */
    upstream_info_t *upstreams;
    size_t upstream_count;
    partition_t *partitions;
    size_t partition_count;
    topology_t *topology;
    fleet_view_t *view;
    bool dirty;             /* the view must be rebuilt */
    bool upstreams_waiting; /* another daemon may still act for an upstream
                               owned by this one */
    bool refusing_queries;
    bool lease_held; /* at the last tick */
    bool store_up;
    bool vmlist_up;
    uint64_t net_peers_version; /* roster version of the net's peers */
    bool net_peers_set;
    uint64_t released_version; /* last version given to roster_release */
    pace_t pace;
    int64_t heartbeats_sent_us; /* last time; 0: send them at once */
    fleet_peer_t peers[FLEET_PEERS_MAX];
    size_t peer_count;

    atomic_llong cpu_us[FLEET_THREAD_COUNT]; /* as last recorded */
    pthread_t threads[FLEET_THREAD_COUNT];
    size_t thread_count;
};

/* Record the processor time of the calling thread, which is `thread`. */
void fleet_record_cpu_time(fleet_t *fleet, fleet_thread_t thread);

/* Main functions of the threads, see fleet_thread_t; context: the fleet_t. */
void *fleet_roster_main(void *context);
void *fleet_config_main(void *context);
void *fleet_platform_main(void *context);

/* Sleep for wait_us, or until the fleet stops. */
void fleet_sleep(fleet_t *fleet, int64_t wait_us);

/*
 * Record whether the store is up, and log a change; err says why it is down.
 * The caller holds the lock.
 */
void fleet_set_store_up(fleet_t *fleet, bool up, error_t *err);

/* Parse a configuration sent by a peer, and put it in force if it is newer. */
void fleet_adopt_config_json(fleet_t *fleet, const char *text, size_t size,
                             const char *peer);

/* Merge a peer's holds into those of this daemon. */
void fleet_merge_holds(fleet_t *fleet, const char *text, size_t size);

/* Send the holds of this daemon to all other members. */
void fleet_send_holds(fleet_t *fleet);

/*
 * Create a client of the store; the caller releases it with store_release.
 * Returns false, and logs why, if that fails.
 */
bool fleet_open_store(fleet_t *fleet, store_client_t *store);

/* Record whether the store answered a call that ended with this status. */
void fleet_record_store_call(fleet_t *fleet, status_t status, error_t *err);

/* Whether the status of a call means that the store answered it. */
bool fleet_is_store_answer(status_t status);

/*
 * Adopt a copy of a partition. Returns false if it is not newer than the known
 * one, or out of memory.
 */
bool fleet_adopt_partition(fleet_t *fleet, const partition_t *partition);

/* Replace the list of upstreams; the fleet frees the array. */
void fleet_set_upstreams(fleet_t *fleet, upstream_info_t *upstreams,
                         size_t count);

#endif
