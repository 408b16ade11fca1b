/*
 * What the files of the daemon share; nobody else includes it.
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
#include "tier/pace.h"
#include "tier/peer_link.h"
#include "tier/store_link.h"
#include "tier/upstream_link.h"

/* Keys of the fleet's own in the store. */
#define KEY_FLEET "yuccarun/fleet/"
#define KEY_MEMBERS KEY_FLEET "members/"
#define KEY_SUSPECTS KEY_FLEET "suspects/"
#define KEY_REGISTRY "yuccarun/registry/"
#define KEY_REGISTRY_COPY KEY_REGISTRY "upstreams"

enum {
    METRICS_PORT = 9464,   /* as deploy/system.toml says */
    CONNECTIONS_MAX = 2000 /* of callers, about half of the descriptors */
};

struct node {
    struct ev_loop *loop;
    loop_clock_t clock;
    boot_t boot;
    engine_t *engine;
    upstream_links_t *links;
    http_server_t *callers;
    http_server_t *services; /* readiness, directory, metrics */
    store_link_t *store;
    peer_link_t *peers; /* see node_ask_peers */
    char *config_text;  /* in force, as the operator wrote it */
    front_t front;
    members_t members;
    bool members_listing; /* a list of them is being read ... */
    bool members_listed;  /* ... and has somebody new */
    uint32_t fleet;
    pace_t pace;
    bool upstreams_known; /* the registry was read at least once */
    /* Evacuated zones in the list being read. */
    char zones_seen[REGISTRY_ZONES_MAX][INSTANCE_NAME_SIZE];
    uint32_t zones_seen_count;
    ev_timer tick;
    bool asks_peers;           /* for the upstreams, and not the store */
    uint32_t asked;            /* daemons that were asked in vain so far */
    fleet_known_t told;        /* up to which revisions others told what */
    int64_t ask_due_us;        /* the next */
    int64_t upstreams_read_us; /* when the store was last heard of them */
    int64_t started_us;
    int64_t housekeeping_us;
    uint32_t suspects; /* named in the store so far */
    bool copy_is_old; /* the registry has changed since its copy was written */
    int64_t copied_us;
    bool leaving;
    int64_t left_us;
};

/* node_config.c */
extern const store_reader_t node_operator_reader;

/* Put a document in force if it is newer. */
void node_config_read(node_t *node, const char *text, size_t size,
                      uint64_t revision, int64_t now_us);

/* The zones that are closed, as another daemon knows them. */
void node_zones_told(node_t *node, char (*names)[INSTANCE_NAME_SIZE],
                     uint32_t count, int64_t now_us);

/* node_upstreams.c */
extern const store_reader_t node_upstreams_reader;

/* Write the copy of the registry if that is this daemon's to do, and due. */
void node_copy_registry(node_t *node, int64_t now_us);

/* node_members.c */
extern const store_reader_t node_members_reader;

/* This daemon's record; 0: callers do not connect to it. */
size_t node_record(const node_t *node, char *text, size_t size);

/* Put this daemon among the members it knows of, unless it leaves. */
void node_list_itself(node_t *node, int64_t now_us);

/* What depends on who the members are, and on what this one does. */
void node_members_settle(node_t *node, int64_t now_us);

/* The same after a change, which is logged. */
void node_members_changed(node_t *node, const char *name, const char *change,
                          int64_t now_us);

/* The engine's port; owner is the node. */
void node_suspect(void *owner, uint64_t fingerprint);

/* node_peers.c; owners are the node. */
void node_state_request(void *owner, exchange_t *exchange);
void node_peer_told(void *owner, const char *text, size_t size,
                    int64_t now_us);

/* Ask another daemon, where that is better than the store, or all there is. */
void node_ask_peers(node_t *node, int64_t now_us);

/* node_services.c */
extern const http_handler_t node_readiness_service;
extern const http_handler_t node_directory_service;
extern const http_handler_t node_state_service;
extern const http_handler_t node_metrics_service;

void node_answer_text(exchange_t *exchange, uint32_t status, const char *type,
                      const char *text, size_t size);

/* Whether the request is for that path, whatever its query. */
bool node_target_is(const exchange_t *exchange, const char *path);

#endif
