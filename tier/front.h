/*
 * The callers' HTTP service: passes requests to the engine, and the engine's
 * answers to the callers. While this daemon reaches no upstream, it relays
 * requests to other daemons instead; requests that peers relay come by a front
 * of their own.
 *
 * Hop-by-hop headers, and headers that this daemon sets itself, are not
 * forwarded; all others are, unchanged.
 */
#ifndef TIER_FRONT_H
#define TIER_FRONT_H

#include "http/server.h"
#include "policy/quota.h"
#include "tier/engine.h"
#include "tier/relay_link.h"

#include <stdbool.h>

/* How requests are relayed to other daemons; owner is relay_owner. */
typedef struct {
    /* Whether this daemon cannot serve requests now, but a peer may. */
    bool (*is_wanted)(void *owner);
    /* Choose a peer and copy its name, of at most MEMBER_NAME_SIZE bytes;
       false: there is none. */
    bool (*pick)(void *owner, struct sockaddr_in *address, char *name);
    /* The peer cannot take requests now. */
    void (*avoid)(void *owner, const char *name, int64_t now_us);
    /* The least version of the configuration that a peer must have. */
    uint64_t (*min_version)(void *owner);
    /* A peer has answered by that version. */
    void (*note_version)(void *owner, uint64_t version);
} front_relay_ops_t;

/* How requests of tenants take a token; owner is quota_owner. */
typedef struct {
    /* Take a token for the call. until_us: 0, or when the wait ends that an
       earlier call has begun. */
    quota_decision_t (*take)(void *owner, const call_t *call, int64_t until_us,
                             int64_t now_us);
    /* The call has not run and never will. */
    void (*give_back)(void *owner, const call_t *call, int64_t now_us);
} front_quota_ops_t;

typedef struct {
    engine_t *engine;
    bool draining;       /* the daemon stops: refuse new requests */
    uint64_t answers[6]; /* by the status' first digit; [0]: 600 and above */
    const front_relay_ops_t *relay_ops;
    void *relay_owner;
    relay_links_t *relay_links;
    const front_quota_ops_t *quota_ops; /* NULL: no tokens are taken here */
    void *quota_owner;
    bool takes_relayed; /* its requests come from peers; not relayed again */
    uint64_t relayed;   /* requests that a peer has answered */
} front_t;

/* The handler of a listener for requests; its owner is a front_t. */
extern const http_handler_t front_handler;

/* The engine's ports answer and wake_at; call_owner is an exchange_t. */
void front_answer(void *call_owner, const answer_t *answer);
void front_wake_at(void *call_owner, int64_t at_us);

#endif
