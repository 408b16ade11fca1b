/*
 * The queries that one worker coordinates.
 *
 * Holds a table of running queries. Each reply, timeout and new view advances
 * them; the resulting parts and cancellations go to a sink. A query is named
 * by its sequence, which encodes the worker, the slot in the table and a
 * number that is never reused: a reply to a query that has ended matches no
 * other query.
 *
 *     coordinator_t *coordinator = coordinator_new(&settings);
 *     coordinator_set_view(coordinator, view);
 *     coordinator_submit(coordinator, &request, &waiter, now);
 *     coordinator_handle_reply(coordinator, &reply, now);
 *     next = coordinator_step(coordinator, now);   // after any of these
 *     coordinator_free(coordinator);
 *
 * The caller holds the worker's lock. All I/O goes through the sink.
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
     * Sends parts of one query to one owner. Returns false if they were not
     * sent and never will be.
     */
    bool (*send)(void *context, uint64_t owner, const part_request_t *requests,
                 size_t count);
    void (*cancel)(void *context, uint64_t owner, attempt_id_t id);
    /* Time until the fingerprint is no longer refused; 0: it is not refused.
     */
    int64_t (*quarantine_left_us)(void *context, uint64_t fingerprint,
                                  int64_t now_us);
} part_sink_t;

typedef struct {
    uint64_t incarnation;
    unsigned worker;
    uint32_t queries_max;
    uint64_t seed;
    query_policy_t policy;
    const atomic_llong *trust_until_us; /* until then the config is trusted */
    part_sink_t sink;
    stats_t *stats;
    tenants_t *tenants; /* shared by the daemon's workers; NULL: no limit */
} coordinator_settings_t;

typedef struct coordinator coordinator_t;

/* Returns NULL if memory is out. */
coordinator_t *coordinator_new(const coordinator_settings_t *settings);
void coordinator_free(coordinator_t *coordinator); /* NULL ok */

/* Installs a new view, which running queries use from then on. */
void coordinator_set_view(coordinator_t *coordinator, fleet_view_t *view);

/*
 * Starts a query and takes ownership of its body. The waiter gets the answer
 * when the query ends, or before this call returns if the query is refused.
 */
void coordinator_submit(coordinator_t *coordinator,
                        const query_request_t *request,
                        const query_waiter_t *waiter, int64_t now_us);

/*
 * Cancels a query; its answer comes with the next coordinator_step. Returns
 * false if this coordinator runs no such query.
 */
bool coordinator_cancel(coordinator_t *coordinator, uint64_t sequence,
                        reason_t reason);

void coordinator_cancel_all(coordinator_t *coordinator, reason_t reason);

/* Records that the owner with this incarnation has replied. */
void coordinator_owner_replied(coordinator_t *coordinator, uint64_t owner);

/* Passes a reply to its query; counts it as stray if the query has ended. */
void coordinator_handle_reply(coordinator_t *coordinator,
                              const part_reply_t *reply, int64_t now_us);

/* Ends the open attempts sent to this incarnation as PART_LOST. */
void coordinator_peer_down(coordinator_t *coordinator, uint64_t incarnation,
                           int64_t now_us);

/*
 * Advances the queries that have something to do. Returns the time of the next
 * call; INT64_MAX if no query runs.
 */
int64_t coordinator_step(coordinator_t *coordinator, int64_t now_us);

/* Number of running queries. */
size_t coordinator_running(const coordinator_t *coordinator);

/* Returns the record of a query that has ended, or NULL. */
const explain_record_t *
coordinator_find_record(const coordinator_t *coordinator, uint64_t sequence);

/* Returns the index of the worker that coordinates the query. */
unsigned coordinator_worker_of(uint64_t sequence);

#endif
