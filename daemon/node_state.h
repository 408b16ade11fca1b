/*
 * State and functions shared by the node*.c files; not for other modules.
 */
#ifndef DAEMON_NODE_STATE_H
#define DAEMON_NODE_STATE_H

#include "core/once.h"
#include "daemon/fleet.h"
#include "daemon/intents.h"
#include "daemon/node.h"
#include "daemon/pending_requests.h"
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
    atomic_uint next_worker; /* round robin; also a seed for entry lists */
    pending_requests_t pending_requests;
    pthread_mutex_t once_lock;
    once_t *once; /* guarded by once_lock */
    intents_t *intents;
    caller_api_t caller;
    operator_api_t *operators;
    struct _u_instance *http;
    bool http_started;
    char key[SETTINGS_KEY_MAX_BYTES];
    size_t key_size;
    char token[SETTINGS_TOKEN_MAX_BYTES];
    size_t token_size;
    atomic_bool end_drain;    /* node_end_drain was called */
    atomic_bool leaving;      /* node_drain was called */
    atomic_uint http_queries; /* in flight, with an HTTP caller waiting */
};

/* node_route.c: messages between workers and daemons */
extern const peer_ops_t node_peer_ops;
worker_route_t node_route(node_t *node);
void node_publish_view(void *context, fleet_view_t *view);
uint64_t node_settled_version(void *context);

/*
 * Sends a message to the member with this incarnation. Returns false if it
 * was not sent and never will be.
 */
bool node_send(node_t *node, uint64_t incarnation, const message_t *message);

/*
 * Sends the reply to a peer's MESSAGE_ASK and releases json. With json NULL
 * the reply is an empty text with status 503.
 */
void node_send_answer(node_t *node, const char *peer, uint64_t incarnation,
                      uint64_t ask_id, unsigned status, json_t *json);

/* node_query.c: queries of HTTP callers */

/*
 * Starts a query on the next worker; copies the body. The waiter gets the
 * answer; if memory is out, it gets a refusal before this call returns.
 */
void node_submit_query(node_t *node, const query_request_t *request,
                       const query_waiter_t *waiter);
json_t *node_query(void *context, const caller_query_t *query,
                   unsigned *status);
json_t *node_cancel(void *context, const char *query, unsigned *status);

/* Runs a query on this daemon and blocks until it has ended. */
void node_run_query(node_t *node, const query_request_t *request,
                    query_answer_t *answer, uint64_t *sequence);

/*
 * Converts a caller's query to a request for the core. The deadline counts
 * from now_us and defaults to that of the service's row. The body is
 * borrowed from the query.
 */
void node_fill_request(node_t *node, const caller_query_t *query,
                       int64_t now_us, query_request_t *request);

/* Returns a hash of the query's service, range and body. */
uint64_t node_fingerprint(const caller_query_t *query);

/*
 * Asks the worker to cancel a query that this daemon coordinates. Returns
 * false if the sequence names no worker of this daemon or memory is out.
 */
bool node_cancel_local(node_t *node, uint64_t sequence);

/* node_once.c: tickets, and queries that may run at most once */
status_t node_start_once(node_t *node, error_t *err);
void node_stop_once(node_t *node);
json_t *node_issue_ticket(void *context, unsigned *status);
json_t *node_query_once(node_t *node, const caller_query_t *query,
                        const query_request_t *request, unsigned *status);

/* Handles an at-most-once query that another daemon forwarded. */
void node_handle_forwarded_query(node_t *node, const char *peer,
                                 uint64_t incarnation, const ask_t *ask);

/* node_status.c: entry lists, explanations, status, metrics, peer requests */
json_t *node_entries(void *context, const char *zone, unsigned *status);
json_t *node_explain(void *context, const char *query, unsigned *status);
json_t *node_fleet_status(void *context, unsigned *status);
json_t *node_local_status(node_t *node);

/* Returns the record of a query that ended on this daemon, or NULL. */
json_t *node_local_explain(node_t *node, uint64_t sequence);
bool node_ready(void *context);
char *node_metrics(void *context);

/* Values of *status if node_request_peer returns NULL. */
enum {
    NODE_REQUEST_NOT_SENT = 0,   /* the request has and will have no effect */
    NODE_REQUEST_NO_ANSWER = 504 /* the request may have had its effect */
};

/*
 * Sends a MESSAGE_ASK to the daemon with this incarnation and waits for the
 * reply. Returns the reply, with its HTTP status in *status. Returns NULL with
 * one of the values above if there is none, or with the reply's status if its
 * text is not valid JSON.
 */
json_t *node_request_peer(node_t *node, uint64_t incarnation, ask_kind_t kind,
                          const char *json, int64_t timeout_us,
                          unsigned *status);

/* node_operator.c: the operators' endpoints */
status_t node_register_operators(node_t *node, error_t *err);

#endif
