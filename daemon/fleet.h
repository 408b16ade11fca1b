/*
 * This daemon's membership in the fleet: its lease in the roster, heartbeats
 * to the other daemons, the configuration and the topology in force.
 *
 * The rules are in fleet/, which does no I/O; a fleet_t applies them, talks to
 * the platform and to the peers, and publishes each change to the workers as a
 * new fleet_view_t. Calls to the platform may block, so they are made by
 * separate threads (fleet_thread_t). One lock protects all state.
 *
 *     fleet_t *fleet = fleet_new(&settings, &err);
 *     fleet_start(fleet, net, &err);
 *     ... fleet_handle_message(fleet, ...) for each message of a peer ...
 *     fleet_leave(fleet);
 *     fleet_stop(fleet);
 *     fleet_free(fleet);
 */
#ifndef DAEMON_FLEET_H
#define DAEMON_FLEET_H

#include "daemon/fleet_view.h"
#include "edge/settings.h"
#include "edge/store.h"
#include "fleet/hold.h"
#include "fleet/member.h"
#include "net/peer.h"

enum { FLEET_PEERS_MAX = ROSTER_MEMBERS_MAX };

typedef struct {
    const settings_t *settings;
    uint64_t incarnation;
    void *context;
    /* Publish a new view; the callee takes its own reference. */
    void (*publish)(void *context, fleet_view_t *view);
    /*
     * Newest roster version that all workers follow, if no part is in flight
     * for an upstream that this daemon does not own in that version; else 0.
     */
    uint64_t (*settled_version)(void *context);
} fleet_settings_t;

typedef struct fleet fleet_t;

/* Create a fleet without threads. Returns NULL and sets *err on failure. */
fleet_t *fleet_new(const fleet_settings_t *settings, error_t *err);

/* Free a fleet whose threads are not running; NULL ok. */
void fleet_free(fleet_t *fleet);

/*
 * Start the threads; net must outlive them. On STATUS_INTERNAL a thread could
 * not be created, and those started before it have ended.
 */
status_t fleet_start(fleet_t *fleet, peer_net_t *net, error_t *err);

/* End the threads and wait for them. */
void fleet_stop(fleet_t *fleet);

/*
 * Monotonic times in microseconds that the workers read: until when lease and
 * configuration permit sending work to upstreams, and until when the
 * configuration is trusted. Valid as long as the fleet.
 */
const atomic_llong *fleet_act_until_us(const fleet_t *fleet);
const atomic_llong *fleet_trust_until_us(const fleet_t *fleet);

/*
 * Handle a message from a peer: a heartbeat, a configuration or a request for
 * one, or an ask about holds, roster or partitions. Ignores other messages.
 */
void fleet_handle_message(fleet_t *fleet, const char *peer,
                          uint64_t incarnation, const message_t *message);

/*
 * Adopt a partition that an upstream or the store reported, and send it to the
 * other members if it is newer than the known one. Copies the partition.
 */
void fleet_announce_partition(fleet_t *fleet, const partition_t *partition);

/*
 * Put a configuration in force that the store has accepted. Takes its own
 * reference. Returns false if it is not newer than the one in force.
 */
bool fleet_adopt_config(fleet_t *fleet, config_t *config);

/*
 * Hold a zone or VM out of service, or end such a hold, on all reachable
 * daemons. Works without the store; the hold is written to it later. `by` is
 * the operator. Returns true if the zone or VM is then in the requested state,
 * also if it was before; false if no configuration is in force, the set of
 * holds is full or a name is invalid.
 */
bool fleet_set_hold(fleet_t *fleet, hold_kind_t kind, const char *name,
                    bool out, const char *by);

/* Whether a hold keeps the zone or VM out of service. */
bool fleet_is_held(fleet_t *fleet, hold_kind_t kind, const char *name);

/*
 * Record that a peer has connected. If this daemon has no configuration or no
 * roster, requests both and the partitions from the peer.
 */
void fleet_peer_up(fleet_t *fleet, const char *peer, uint64_t incarnation);

/*
 * Record that a connection to a peer ended. reachable: another connection to
 * it is still up.
 */
void fleet_peer_down(fleet_t *fleet, const char *peer, bool reachable);

/*
 * The configuration in force; the caller releases it with config_put. NULL:
 * none.
 */
config_t *fleet_current_config(fleet_t *fleet);

/*
 * The newest view; the caller releases it with fleet_view_put. NULL: none yet.
 */
fleet_view_t *fleet_current_view(fleet_t *fleet);

/*
 * Give up all owned upstreams and leave the roster, so that callers are no
 * longer directed to this daemon.
 */
void fleet_leave(fleet_t *fleet);

/* After fleet_leave: whether the roster no longer names this daemon. */
bool fleet_left(fleet_t *fleet);

/* From now on publish views that make the workers refuse new queries. */
void fleet_refuse_queries(fleet_t *fleet);

/* The threads of a fleet_t. */
typedef enum {
    FLEET_THREAD_FLEET,    /* membership, heartbeats, views */
    FLEET_THREAD_ROSTER,   /* roster and lease in the store */
    FLEET_THREAD_CONFIG,   /* configuration in the store */
    FLEET_THREAD_PLATFORM, /* VM list, and partitions in the store */
    FLEET_THREAD_COUNT
} fleet_thread_t;

/* State of one member, for status and for confirmation of changes. */
typedef struct {
    char name[NAME_SIZE];
    char zone[NAME_SIZE];
    uint64_t incarnation;
    uint64_t config_version; /* last reported; 0: no heartbeat received */
    int64_t silent_us;       /* time since its last heartbeat */
    member_state_t state;
    bool leaving;
    bool self;
} fleet_member_t;

/*
 * Copy up to `max` members of the roster to `out`. Returns the number of
 * members, which may be more than max.
 */
size_t fleet_members(fleet_t *fleet, fleet_member_t *out, size_t max);

/* Set states[i] to the failure detector's state of member i of the view. */
void fleet_member_states(fleet_t *fleet, const fleet_view_t *view,
                         member_state_t states[ROSTER_MEMBERS_MAX]);

/* State of the fleet as this daemon sees it, for status and metrics. */
typedef struct {
    uint64_t config_version;
    uint64_t roster_version;
    bool may_act;   /* a lease or grants permit sending work */
    bool on_grants; /* the lease has ended; grants permit acting */
    bool store_up;  /* the store answered the roster's last call */
    bool vmlist_up; /* the last read of the VM list succeeded */
    bool trusted;   /* the configuration is trusted */
    size_t upstreams;
    size_t owned; /* upstreams that this daemon may admit work for */
    roster_stats_t roster;
    int64_t cpu_us[FLEET_THREAD_COUNT]; /* processor time of each thread */
} fleet_status_t;

/* Fill in *status with the state as of now. */
void fleet_get_status(fleet_t *fleet, fleet_status_t *status);

/* Counters of calls to the store, for all clients in this daemon to share. */
store_counters_t *fleet_store_counters(fleet_t *fleet);

#endif
