/*
 * What the files of the daemon share; nobody else includes it.
 */
#ifndef TIER_NODE_STATE_H
#define TIER_NODE_STATE_H

#include "http/loop_clock.h"
#include "http/server.h"
#include "tier/engine.h"
#include "tier/front.h"
#include "tier/members.h"
#include "tier/node.h"
#include "tier/peer_link.h"
#include "tier/store_link.h"
#include "tier/upstream_link.h"

enum {
    METRICS_PORT = 9464 /* as deploy/system.toml says */
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
    uint32_t fleet;
    bool upstreams_known; /* the registry was read at least once */
    /* Evacuated zones in the list being read. */
    char zones_seen[REGISTRY_ZONES_MAX][INSTANCE_NAME_SIZE];
    uint32_t zones_seen_count;
    ev_timer tick;
    bool asks_peers;           /* for the upstreams, and not the store */
    uint32_t asked;            /* questions to other daemons so far */
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

#endif
