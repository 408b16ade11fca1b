/*
 * What the files of the node share; not for others.
 */
#ifndef DAEMON_NODE_STATE_H
#define DAEMON_NODE_STATE_H

#include "core/once.h"
#include "daemon/asks.h"
#include "daemon/fleet.h"
#include "daemon/intents.h"
#include "daemon/node.h"
#include "daemon/worker.h"
#include "edge/caller.h"
#include "edge/operator.h"

struct _u_instance;

struct node {
    settings_t settings;
    uint64_t incarnation;
    fleet_t *fleet;
    peer_net_t *net;
    worker_t **workers;
    tenants_t *tenants;
    unsigned worker_count;
    atomic_uint next_worker;
    asks_t asks;
    pthread_mutex_t once_lock;
    once_t *once;
    intents_t *intents;
    caller_api_t caller;
    operator_api_t *operators;
    struct _u_instance *http;
    bool http_started;
    char key[SETTINGS_KEY_MAX_BYTES];
    size_t key_size;
    char token[SETTINGS_TOKEN_MAX_BYTES];
    size_t token_size;
    atomic_bool hurried;
    atomic_bool leaving;
    atomic_uint callers; /* queries that HTTP callers wait for */
};

/* node_route.c */
extern const peer_ops_t node_peer_ops;
route_t node_route(node_t *node);
void node_publish(void *context, world_t *world);
uint64_t node_settled_version(void *context);

/* Send to a member by incarnation; false: not sent and never will be. */
bool node_send(node_t *node, uint64_t incarnation, const message_t *message);

/* Answer a question of a peer; json is released. */
void node_answer(node_t *node, const char *peer, uint64_t incarnation,
                 uint64_t ask, unsigned status, json_t *json);

/* node_query.c */

/* Start a query on some worker; the waiter is told its end. */
void node_submit(node_t *node, const query_request_t *request,
                 const query_waiter_t *waiter);
json_t *node_query(void *context, const caller_query_t *query,
                   unsigned *status);
json_t *node_cancel(void *context, const char *query, unsigned *status);

/* Run a query here and wait for its end. */
void node_run(node_t *node, const query_request_t *request,
              query_answer_t *answer, uint64_t *sequence);

/* What the query asks of the core, its deadline counted from now. */
void node_fill_request(node_t *node, const caller_query_t *query,
                       int64_t now_us, query_request_t *request);

/* Hash of a query's content. */
uint64_t node_fingerprint(const caller_query_t *query);

/* Cancel a query that runs here; false: its name is of another daemon. */
bool node_cancel_here(node_t *node, uint64_t sequence);

/* node_once.c */
status_t node_start_once(node_t *node, error_t *err);
void node_stop_once(node_t *node);
json_t *node_ticket(void *context, unsigned *status);
json_t *node_query_once(node_t *node, const caller_query_t *query,
                        const query_request_t *request, unsigned *status);
/* A request that may run once, passed on by another daemon. */
void node_take_passed_query(node_t *node, const char *peer,
                            uint64_t incarnation, const ask_t *ask);

/* node_status.c */
json_t *node_entries(void *context, const char *zone, unsigned *status);
json_t *node_explain(void *context, const char *query, unsigned *status);
json_t *node_fleet_status(void *context, unsigned *status);
json_t *node_own_status(node_t *node);
json_t *node_own_explain(node_t *node, uint64_t sequence);
bool node_ready(void *context);
char *node_metrics(void *context);

/* node_operator.c */
status_t node_serve_operators(node_t *node, error_t *err);

/* What *status is when node_ask returns NULL. */
enum {
    NODE_ASK_NOT_SENT = 0,   /* and never will be */
    NODE_ASK_NO_ANSWER = 504 /* it may have had its effect */
};

/* Ask the daemon of that incarnation and wait; NULL: no answer. */
json_t *node_ask(node_t *node, uint64_t incarnation, ask_kind_t kind,
                 const char *json, int64_t timeout_us, unsigned *status);

#endif
