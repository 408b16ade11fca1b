/*
 * State and functions shared by the source files of the daemon (node*.c and
 * metrics_text.c). Private to them.
 */
#ifndef TIER_NODE_STATE_H
#define TIER_NODE_STATE_H

#include "http/loop_clock.h"
#include "http/server.h"
#include "tier/engine.h"
#include "tier/fleet_state.h"
#include "tier/front.h"
#include "tier/members.h"
#include "tier/node.h"
#include "tier/node_rollout.h"
#include "tier/peer_link.h"
#include "tier/poll_intervals.h"
#include "tier/store_link.h"
#include "tier/suspect_log.h"
#include "tier/upstream_link.h"

/* Keys in the store that the daemons of the fleet write. */
#define KEY_FLEET "yuccarun/fleet/"
#define KEY_MEMBERS KEY_FLEET "members/"
#define KEY_SUSPECTS KEY_FLEET "suspects/"
#define KEY_REGISTRY "yuccarun/registry/"
#define KEY_REGISTRY_COPY KEY_REGISTRY "upstreams"

enum {
    /* A daemon that crashes stays listed for the TTL of its lease. A weak VM
       is not in the directory while there are enough strong ones, so nobody
       waits for it, and its renewals would be most of the calls to the
       store. */
    MEMBER_LEASE_US = 4000000,
    MEMBER_LEASE_WEAK_US = 12000000,
    METRICS_PORT = 9464,           /* the same as in deploy/system.toml */
    CALLER_CONNECTIONS_MAX = 2000, /* uses about half of the descriptors */
    /* Limits on a request while no configuration names others. */
    CALLER_HEADER_BYTES_MAX = 64 << 10,
    CALLER_BODY_BYTES_MAX = 16 << 20,
    /* The requests of all callers together, and all that peers relay, may take
       these parts of the VM's memory. Buffers take up to twice their
       contents. */
    CALLERS_HELD_DIVISOR = 5,
    PEERS_HELD_DIVISOR = 10,
    MEMORY_DEFAULT_BYTES = 160 << 20, /* if the settings do not name it */
    /* At the control address, from other daemons: polls of the state, and
       requests that they relay, each on a connection of its own. */
    PEER_CONNECTIONS_MAX = 500,
    PEER_IDLE_TIMEOUT_US = 30000000,
    QUOTA_BODY_BYTES = 8192,       /* of a message about quotas */
    ROLLOUT_REPORT_BYTES = 262144, /* of all services with an order */
    RELAY_HEADERS_BYTES = 1024,    /* added to a relayed request's headers */
    SUSPECTS_MAX = 16 /* fingerprints that each daemon keeps in the store */
};

/* A request that this daemon suspects of crashing upstreams. */
typedef struct {
    uint64_t fingerprint;
    int64_t reported_us;
} suspect_t;

/* Path on a daemon's control address for loans between daemons. */
#define QUOTA_PATH "/fleet/quota"

/* Quotas of tenants at this daemon; see node_quota.c. */
typedef struct node_quota node_quota_t;

struct node {
    struct ev_loop *loop;
    loop_clock_t clock;
    boot_t boot;
    engine_t *engine;
    upstream_links_t *links;
    http_server_t *caller_server;
    http_server_t *aux_server;  /* readiness, directory, metrics */
    http_server_t *peer_server; /* control: state and relayed requests */
    store_link_t *store;
    peer_link_t *peers; /* see node_poll_peers */
    char *config_text;  /* configuration in force, as the operator wrote it */
    front_t front;
    front_t peer_front; /* of requests that peers relay */
    relay_links_t *relay_links;
    node_quota_t *quota;
    node_rollouts_t *rollouts; /* NULL: rollouts are off */
    uint64_t relay_version; /* newest configuration that a peer answered by */
    members_t members;
    bool members_list_reading; /* between the first and the last page */
    bool members_list_changed; /* the list being read changed a member */
    int64_t record_ttl_us;     /* of this daemon's lease; 0: none yet */
    bool members_listed;       /* from the store, at least once */
    bool first_lists_released; /* the pause of the first lists was ended */
    uint32_t fleet_size;       /* daemons that share the upstreams */
    poll_intervals_t poll_intervals;
    bool upstreams_known; /* read from the store or a peer at least once */
    /* Closed (evacuated) zones that the store lists. */
    char listed_zones[REGISTRY_ZONES_MAX][INSTANCE_NAME_SIZE];
    uint32_t listed_zone_count;
    /* Until then, closed zones that are not listed stay closed; 0: no hold. */
    int64_t zones_held_until_us;
    ev_timer tick;
    bool polls_peers;   /* instead of the store, for the upstreams */
    uint32_t next_peer; /* selects the peer; grows when a poll fails */
    fleet_revisions_t peer_known; /* store revisions learned from peers */
    uint64_t known_era;           /* of the store, as seen here or by peers */
    int64_t peer_poll_due_us;
    int64_t upstreams_read_us; /* the store's last response about them */
    int64_t started_us;
    int64_t housekeeping_us;
    /* The last suspects written to the store; the slot is the number of the
       report modulo SUSPECTS_MAX. */
    suspect_t suspects[SUSPECTS_MAX];
    suspect_log_t suspect_log;  /* of all daemons */
    uint32_t suspects_reported; /* how many were written to the store */
    bool registry_copy_stale;   /* the registry changed since the last copy */
    int64_t registry_copied_us; /* when the last copy was written */
    int64_t cut_us;  /* when this daemon was cut off; 0: it is not */
    uint64_t probes; /* connects that checked it, so far */
    uint64_t relays; /* peers chosen for relayed requests, so far */
    bool shutting_down;
    int64_t shutdown_us; /* when the shutdown began */
};

/* node.c */

/* The store was restored from a backup: until the operator, the upstreams and
   the daemons have written again what it lost, keep what was last known. */
void node_begin_restored(node_t *node, uint64_t from_era, uint64_t era,
                         int64_t now_us);

/* node_config.c */

/* Bytes that a part of the VM's memory has. */
size_t node_memory_part(const node_t *node, uint32_t divisor);

extern const prefix_reader_t node_operator_reader;

/*
 * Put the configuration in a document in force if its version is newer. A
 * document that cannot be read is logged and ignored.
 */
void node_apply_config(node_t *node, const char *text, size_t size,
                       uint64_t revision, int64_t now_us);

/* Close exactly the zones that a peer reports as closed. */
void node_apply_closed_zones(node_t *node, char (*names)[INSTANCE_NAME_SIZE],
                             uint32_t count, int64_t now_us);

/* Open the closed zones that the store does not list, if their hold after a
   restoration of the store has ended. */
void node_release_zones(node_t *node, int64_t now_us);

/* node_upstreams.c */
extern const prefix_reader_t node_upstreams_reader;

/* List the registry's copy, once, after a start. */
void node_read_registry_copy(node_t *node);

/* Write the registry's copy if that is due and this daemon is to do it. */
void node_copy_registry(node_t *node, int64_t now_us);

/* node_members.c */
extern const prefix_reader_t node_fleet_reader;

/*
 * Write this daemon's member record to text and return its length. Returns 0
 * if callers cannot connect to this daemon or if the record does not fit.
 */
size_t node_format_record(const node_t *node, char *text, size_t size);

/* Write this daemon's record to the store and keep it there, under a lease of
   that TTL. */
void node_register(node_t *node, int64_t ttl_us);

/* Write the record again if a peer's list, just applied, lacks it. */
void node_check_own_record(node_t *node, int64_t now_us);

/* Add this daemon to its own list of members, unless it shuts down. */
void node_add_self(node_t *node, int64_t now_us);

/*
 * Recompute what depends on the members and on this daemon's role: its share
 * of the upstreams, how often it reads the store and whether it polls peers.
 */
void node_apply_membership(node_t *node, int64_t now_us);

/* Call node_apply_membership after a change and log the change. */
void node_members_changed(node_t *node, const char *name, const char *change,
                          int64_t now_us);

/*
 * The engine's suspect port: report a request suspected to crash upstreams to
 * the other daemons. owner is the node.
 */
void node_report_suspect(void *owner, uint64_t fingerprint);

/* A daemon's suspicion was read from the store or a peer. */
void node_suspect_reported(node_t *node, const suspect_report_t *report,
                           int64_t now_us);

/* Write the recent suspects again after the store was restored. */
void node_rewrite_suspects(node_t *node, int64_t now_us);

/* node_peers.c; owners are the node. */

/* Answer a peer's poll with this daemon's state. */
void node_state_request(void *owner, exchange_t *exchange);

/* Handle a peer's response to a poll; NULL: the poll failed. */
void node_peer_answered(void *owner, const char *text, size_t size,
                        int64_t now_us);

/*
 * Poll a peer if a poll is due: instead of the store in a large fleet, and
 * while the store is unreachable.
 */
void node_poll_peers(node_t *node, int64_t now_us);

/* node_relay.c; owner is the node. */
extern const front_relay_ops_t node_relay_ops;

/* The handler at the control address: state and relayed requests. */
extern const http_handler_t node_peer_handler;

/* node_quota.c */

/* False: out of memory. */
bool node_quota_init(node_t *node, int64_t now_us);
void node_quota_release(node_t *node);

/* The settings have changed. */
void node_quota_reload(node_t *node, int64_t now_us);

/* The members or their roles may have changed. */
void node_quota_apply_members(node_t *node, uint32_t serving, int64_t now_us);

/* Send the message that is due, every 50 ms. */
void node_quota_tick(node_t *node, int64_t now_us);

/* Drop idle accounts, a few times a second. */
void node_quota_expire(node_t *node, int64_t now_us);

/* Answer a peer that wants to borrow. */
void node_quota_request(node_t *node, exchange_t *exchange);

const quota_stats_t *node_quota_stats(const node_t *node);

/* Admission at the callers' address; owner is the node. */
extern const front_quota_ops_t node_quota_ops;

/* node_services.c */
extern const http_handler_t node_readiness_handler;
extern const http_handler_t node_directory_handler;
extern const http_handler_t node_metrics_handler;

/* Answer a request with a body of that content type. */
void node_answer_text(exchange_t *exchange, uint32_t status, const char *type,
                      const char *text, size_t size);

/* Whether the request is for that path, with any query. */
bool node_target_is(const exchange_t *exchange, const char *path);

#endif
