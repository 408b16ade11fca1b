/*
 * One worker thread of the daemon with its own state and lock.
 *
 * A worker coordinates the queries it is given and admits parts to the
 * upstreams that hash to it. Everything reaches it as message; what it decides
 * leaves through the route, a table of functions of the daemon.
 *
 *     worker_t *worker = worker_new(&settings, &err);
 *     worker_post(worker, message);
 *     worker_lock(worker); ... read its statistics ... worker_unlock(worker);
 *     worker_free(worker);   // stops the thread
 */
#ifndef DAEMON_WORKER_H
#define DAEMON_WORKER_H

#include "daemon/admission.h"
#include "daemon/coordinator.h"

typedef struct {
    void *context;
    /*
     * Parts for the owner of that incarnation. False: not handed on, and
     * never will be.
     */
    bool (*parts)(void *context, uint64_t owner,
                  const part_request_t *requests, size_t count);
    void (*cancel)(void *context, uint64_t owner, attempt_id_t id);
    /* Replies for the coordinator of that incarnation. */
    void (*replies)(void *context, uint64_t coordinator,
                    const part_reply_t *replies, size_t count);
    void (*partition)(void *context, const partition_t *partition);
    /* Fingerprints newly found to crash upstreams. */
    void (*quarantine)(void *context, const uint64_t *fingerprints,
                       size_t count);
} worker_route_t;

typedef struct {
    unsigned index;
    unsigned count;
    uint64_t incarnation;
    uint32_t queries_max;
    gate_settings_t gate;
    const upstream_ops_t *upstream;
    const atomic_llong *act_until_us;
    const atomic_llong *trust_until_us;
    int64_t drain_us;
    uint64_t seed;
    tenants_t *tenants;
    worker_route_t route;
} worker_settings_t;

typedef struct worker worker_t;

/* What status shows of a worker. */
typedef struct {
    size_t queries;
    size_t parts;
    upstream_totals_t totals;
} worker_load_t;

worker_t *worker_new(const worker_settings_t *settings, error_t *err);
void worker_free(worker_t *worker); /* NULL ok */

/* Hand over message, which the worker then owns; from any thread. */
void worker_post(worker_t *worker, worker_message_t *message);

/* Newest roster version that nothing in progress contradicts. */
uint64_t worker_settled_version(worker_t *worker);

worker_load_t worker_load(worker_t *worker);

/* Add the worker's statistics to stats. */
void worker_add_stats(worker_t *worker, stats_t *stats);

/* Upstreams that the worker admits for; returns how many there are. */
size_t worker_list_upstreams(worker_t *worker, gate_upstream_t *out,
                             size_t max);

/* The record of a query that ended here, to be released; NULL: none. */
json_t *worker_explain(worker_t *worker, uint64_t sequence);

#endif
