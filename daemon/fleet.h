/*
 * This daemon's part in the fleet: its lease in the roster, heartbeats with
 * the other daemons, the configuration and the topology in force.
 *
 * Joins the pure rules of fleet/ with the platform and the peers. Whatever
 * changes is published as a new fleet_view_t to the workers. Threads of its
 * own talk to the platform, one for each thing that may block; all state is
 * under one lock.
 *
 *     fleet_t *fleet = fleet_new(&settings, &err);
 *     fleet_start(fleet, net, &err);
 *     ... messages of peers: fleet_handle_message(fleet, ...) ...
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
    /* A new view; the callee takes its own references. */
    void (*publish)(void *context, fleet_view_t *view);
    /* Newest roster version that nothing in progress contradicts. */
    uint64_t (*settled_version)(void *context);
} fleet_settings_t;

typedef struct fleet fleet_t;

fleet_t *fleet_new(const fleet_settings_t *settings, error_t *err);
void fleet_free(fleet_t *fleet); /* NULL ok */

status_t fleet_start(fleet_t *fleet, peer_net_t *net, error_t *err);
void fleet_stop(fleet_t *fleet);

/*
 * Until when lease and configuration permit sending work upstream, and until
 * when the configuration may be gone by; read by workers.
 */
const atomic_llong *fleet_act_until_us(const fleet_t *fleet);
const atomic_llong *fleet_trust_until_us(const fleet_t *fleet);

/* A heartbeat, configuration, roster or partition from a peer. */
void fleet_handle_message(fleet_t *fleet, const char *peer,
                          uint64_t incarnation, const message_t *message);

/* A partition that an upstream told of; peers are told what is new. */
void fleet_announce_partition(fleet_t *fleet, const partition_t *partition);

/* Take a configuration that the store has accepted; false: it is not newer. */
bool fleet_adopt_config(fleet_t *fleet, config_t *config);

/*
 * Keep a zone or VM out, or let it in again, on all daemons that can be
 * reached, before and without the store. False: there is no room, no
 * configuration, or nothing held that could be let in.
 */
bool fleet_set_hold(fleet_t *fleet, hold_kind_t kind, const char *name,
                    bool out, const char *by);

/* Whether a hold keeps the zone or VM out now. */
bool fleet_is_held(fleet_t *fleet, hold_kind_t kind, const char *name);

/* A peer can be sent to: what this daemon lacks is asked of it. */
void fleet_peer_up(fleet_t *fleet, const char *peer, uint64_t incarnation);

/* The connection to a peer ended. */
void fleet_peer_down(fleet_t *fleet, const char *peer, bool reachable);

/* The configuration in force, to be put back; NULL: none. */
config_t *fleet_current_config(fleet_t *fleet);

/* The newest view, to be put back; NULL: none yet. */
fleet_view_t *fleet_current_view(fleet_t *fleet);

/* Give up what is owned and be named as an entry no more. */
void fleet_leave(fleet_t *fleet);
/* After fleet_leave: whether the roster no longer names this daemon. */
bool fleet_left(fleet_t *fleet);
/* Refuse new queries from now on. */
void fleet_refuse_queries(fleet_t *fleet);

/* Threads of a fleet_t, one for each mechanism. */
typedef enum {
    FLEET_THREAD_FLEET,    /* membership, heartbeats, views */
    FLEET_THREAD_ROSTER,   /* the lease */
    FLEET_THREAD_CONFIG,   /* the configuration */
    FLEET_THREAD_PLATFORM, /* VM list and partitions */
    FLEET_THREAD_COUNT
} fleet_thread_t;

/* What is known of one member, for status and confirmations. */
typedef struct {
    char name[NAME_SIZE];
    char zone[NAME_SIZE];
    uint64_t incarnation;
    uint64_t config_version; /* last told; 0: never heard */
    int64_t silent_us;       /* since its last heartbeat */
    member_state_t state;
    bool leaving;
    bool self;
} fleet_member_t;

/* Members of the roster; returns how many there are. */
size_t fleet_members(fleet_t *fleet, fleet_member_t *out, size_t max);

/* Whether each member of a view can be reached, as far as known here. */
void fleet_member_states(fleet_t *fleet, const fleet_view_t *view,
                         member_state_t states[ROSTER_MEMBERS_MAX]);

/* Facts for status and metrics. */
typedef struct {
    uint64_t config_version;
    uint64_t roster_version;
    bool may_act;
    bool on_grants;
    bool store_up;
    bool vmlist_up;
    bool trusted;
    size_t upstreams;
    size_t owned;
    roster_stats_t roster;
    int64_t cpu_us[FLEET_THREAD_COUNT];
} fleet_status_t;

void fleet_get_status(fleet_t *fleet, fleet_status_t *status);

/* Counters of the calls to the store; shared by its clients. */
store_counters_t *fleet_store_counters(fleet_t *fleet);

#endif
