/*
 * What the files of the fleet share; not for others. All under state.lock but
 * what is set before the threads start.
 */
#ifndef DAEMON_FLEET_STATE_H
#define DAEMON_FLEET_STATE_H

#include "daemon/fleet.h"
#include "fleet/confsync.h"
#include "fleet/hold.h"
#include "fleet/pace.h"

#include <pthread.h>

/* What heartbeats of one peer have told. */
typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    uint64_t config_version;
    int64_t heard_us;
} fleet_peer_t;

/* A hold that this daemon was told of by an operator and must store. */
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
    pthread_cond_t changed; /* something waits to be published or sent */

    roster_t *roster;
    member_table_t members;
    uint64_t members_version; /* roster that members and sync follow */
    confsync_t sync;
    hold_set_t holds;
    pending_hold_t pending_holds[HOLDS_MAX];
    size_t pending_hold_count;
    config_t *config;    /* as accepted by the store */
    config_t *effective; /* with the holds applied */
    bool trusted;
    upstream_info_t *upstreams;
    size_t upstream_count;
    partition_t *partitions;
    size_t partition_count;
    topology_t *topology;
    fleet_view_t *view;
    bool dirty;             /* the world must be built anew */
    bool upstreams_waiting; /* an upstream waits to be let go by another */
    bool refusing_queries;
    bool lease_held; /* the lease permitted acting when last looked */
    bool store_up;
    bool vmlist_up;
    uint64_t net_peers_version; /* roster that the net was told */
    bool net_peers_set;
    uint64_t released_version;
    pace_t pace;
    int64_t heartbeats_sent_us; /* of the last heartbeats; 0: due at once */
    fleet_peer_t peers[FLEET_PEERS_MAX];
    size_t peer_count;

    atomic_llong cpu_us[FLEET_THREAD_COUNT]; /* by thread, as it last noted */
    pthread_t threads[FLEET_THREAD_COUNT];
    size_t thread_count;
};

/* Note the calling thread's processor time. */
void fleet_record_cpu_time(fleet_t *fleet, fleet_thread_t thread);

/* Threads: the lease, the configuration, the VM list and partitions. */
void *fleet_roster_main(void *context);
void *fleet_config_main(void *context);
void *fleet_platform_main(void *context);

/* Sleep at most wait_us, less when the fleet stops. */
void fleet_sleep(fleet_t *fleet, int64_t wait_us);

/* Note whether the store answered; logs the change. Lock held. */
void fleet_set_store_up(fleet_t *fleet, bool up, error_t *err);

/* Take a configuration that a peer sent. */
void fleet_adopt_config_json(fleet_t *fleet, const char *text, size_t size,
                             const char *peer);

/* Take what a peer holds out of service. */
void fleet_merge_holds(fleet_t *fleet, const char *text, size_t size);

/* Send all members what is held out here. */
void fleet_send_holds(fleet_t *fleet);

bool fleet_open_store(fleet_t *fleet, store_client_t *store);
void fleet_record_store_call(fleet_t *fleet, status_t status, error_t *err);
bool fleet_is_store_answer(status_t status);

/* Take a partition; false: it is not newer than what is known. */
bool fleet_adopt_partition(fleet_t *fleet, const partition_t *partition);

/* Replace the list of upstreams, which the fleet then owns. */
void fleet_set_upstreams(fleet_t *fleet, upstream_info_t *upstreams,
                         size_t count);

#endif
