/*
 * The queries that one worker coordinates.
 *
 * Holds a table of running queries, steps them as replies, time and new views
 * come, and hands what they decide to a sink. A query is named by its
 * sequence, which holds the worker, a slot of the table and a number that
 * never comes twice: a reply to a query that has ended finds nothing.
 *
 * The caller holds the worker's lock. No I/O but through the sink.
 */
#ifndef DAEMON_COORDINATOR_H
#define DAEMON_COORDINATOR_H

#include "core/query.h"
#include "daemon/explain.h"
#include "daemon/stats.h"
#include "daemon/tenants.h"
#include "daemon/worker_queue.h"

typedef struct {
    void *context;
    /*
     * Parts of one query for one owner. False: they were not handed on and
     * never will be.
     */
    bool (*send)(void *context, uint64_t owner, const part_request_t *requests,
                 size_t count);
    void (*cancel)(void *context, uint64_t owner, attempt_id_t id);
    /* How long a fingerprint is still refused; 0: it is not. */
    int64_t (*quarantine_left_us)(void *context, uint64_t fingerprint,
                                  int64_t now_us);
} part_sink_t;

typedef struct {
    uint64_t incarnation;
    unsigned worker;
    uint32_t queries_max;
    uint64_t seed;
    query_policy_t policy;
    const atomic_llong *trust_until_us; /* of the configuration */
    part_sink_t sink;
    stats_t *stats;
    tenants_t *tenants; /* shared by the daemon's workers; NULL: no bound */
} coordinator_settings_t;

typedef struct coordinator coordinator_t;

/* NULL: no memory. */
coordinator_t *coordinator_new(const coordinator_settings_t *settings);
void coordinator_free(coordinator_t *coordinator);

/* Take a new view; running queries go on with it. */
void coordinator_world(coordinator_t *coordinator, fleet_view_t *world);

/*
 * Start a query; the body becomes the coordinator's. The waiter is told its
 * end, at once when it is refused.
 */
void coordinator_submit(coordinator_t *coordinator,
                        const query_request_t *request,
                        const query_waiter_t *waiter, int64_t now_us);

/* False: no such query runs here. */
bool coordinator_cancel(coordinator_t *coordinator, uint64_t sequence,
                        reason_t reason);

void coordinator_cancel_all(coordinator_t *coordinator, reason_t reason);

/* Some reply came from the owner of that incarnation: it is not silent. */
void coordinator_heard(coordinator_t *coordinator, uint64_t owner);

void coordinator_reply(coordinator_t *coordinator, const part_reply_t *reply,
                       int64_t now_us);

/* The daemon of that incarnation can't answer any more. */
void coordinator_peer_down(coordinator_t *coordinator, uint64_t incarnation,
                           int64_t now_us);

/* Act on all that is due; returns when to be called again by the clock. */
int64_t coordinator_step(coordinator_t *coordinator, int64_t now_us);

size_t coordinator_running(const coordinator_t *coordinator);

/* Record of a query that ended here; NULL when there is none. */
const explain_record_t *coordinator_explain(const coordinator_t *coordinator,
                                            uint64_t sequence);

/* Worker of a sequence. */
unsigned coordinator_worker_of(uint64_t sequence);

#endif
