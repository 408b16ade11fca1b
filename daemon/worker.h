/*
 * A worker thread of the daemon, with its own state and lock.
 *
 * A worker coordinates the queries that it is given, and admits parts to the
 * upstreams whose names hash to it. It receives messages through its queue and
 * sends through worker_route_t, a table of functions of the daemon. All
 * functions but worker_new and worker_free may be called from any thread.
 *
 *     worker_t *worker = worker_new(&settings, &err);
 *     worker_post(worker, message);
 *     worker_add_stats(worker, &stats);
 *     worker_free(worker);   // stops the thread
 */
#ifndef DAEMON_WORKER_H
#define DAEMON_WORKER_H

#include "daemon/admission.h"
#include "daemon/coordinator.h"

/*
 * Functions by which a worker sends, called from its thread with its lock
 * held. Arrays are valid during the call only.
 */
typedef struct {
    void *context;
    /*
     * Send parts to the owner with this incarnation. False: they were not sent
     * and never will be.
     */
    bool (*parts)(void *context, uint64_t owner,
                  const part_request_t *requests, size_t count);
    /* Cancel a part at its owner. */
    void (*cancel)(void *context, uint64_t owner, attempt_id_t id);
    /* Send replies to the coordinator with this incarnation. */
    void (*replies)(void *context, uint64_t coordinator,
                    const part_reply_t *replies, size_t count);
    /* Announce a partition that an upstream reported. */
    void (*partition)(void *context, const partition_t *partition);
    /* Report fingerprints of requests newly found to crash upstreams. */
    void (*quarantine)(void *context, const uint64_t *fingerprints,
                       size_t count);
} worker_route_t;

typedef struct {
    unsigned index; /* of this worker */
    unsigned count; /* of the daemon's workers */
    uint64_t incarnation;
    uint32_t queries_max;
    gate_settings_t gate;
    const upstream_ops_t *upstream;
    const atomic_llong *act_until_us;
    const atomic_llong *trust_until_us;
    int64_t drain_us; /* time that a part may run past the lease */
    uint64_t seed;
    tenants_t *tenants;
    worker_route_t route;
} worker_settings_t;

typedef struct worker worker_t;

/* Load of a worker, for status and metrics. */
typedef struct {
    size_t queries; /* running */
    size_t parts;   /* waiting or in flight */
    upstream_totals_t totals;
} worker_load_t;

/* Create a worker and start its thread. NULL: failed, *err set. */
worker_t *worker_new(const worker_settings_t *settings, error_t *err);

/* Stop the thread, wait for it and free; NULL ok. */
void worker_free(worker_t *worker);

/* Queue a message, which the worker then owns. */
void worker_post(worker_t *worker, worker_message_t *message);

/*
 * Roster version of the worker's view, if no part is pending here for an
 * upstream that the worker no longer owns; else 0.
 */
uint64_t worker_settled_version(worker_t *worker);

worker_load_t worker_load(worker_t *worker);

/* Add the worker's statistics to *stats. */
void worker_add_stats(worker_t *worker, stats_t *stats);

/*
 * Copy up to `max` of the upstreams that the worker owns to `out`. Returns the
 * number that it owns, which may be more than max.
 */
size_t worker_list_upstreams(worker_t *worker, gate_upstream_t *out,
                             size_t max);

/*
 * The record of a query that ended here, as JSON; the caller releases it.
 * NULL: none.
 */
json_t *worker_explain(worker_t *worker, uint64_t sequence);

#endif
