/*
 * Admission of parts to the upstreams that one worker owns.
 *
 * The gate decides which parts to send, the upstream client sends them, and
 * this module keeps the origin of each part. Each submitted part is answered
 * exactly once through settings.reply; a resend of an attempt that is pending
 * is ignored.
 *
 * The caller holds the worker's lock, except in admission_wait and
 * admission_wake.
 */
#ifndef DAEMON_ADMISSION_H
#define DAEMON_ADMISSION_H

#include "core/gate.h"
#include "daemon/fleet_view.h"
#include "daemon/stats.h"
#include "edge/upstream.h"

typedef struct {
    unsigned worker;
    unsigned worker_count;
    gate_settings_t gate;
    const upstream_ops_t *upstream;
    const atomic_llong *act_until_us; /* until then parts may be sent */
    int64_t drain_us; /* time that a part may run past act_until_us */
    stats_t *stats;
    void *context;
    /* Sends replies to the coordinator with this incarnation. */
    void (*reply)(void *context, uint64_t incarnation,
                  const part_reply_t *replies, size_t count);
    /*
     * An upstream reported a newer partition. The partition is valid only
     * during the call.
     */
    void (*partition)(void *context, const partition_t *partition);
} admission_settings_t;

typedef struct admission admission_t;

/* Returns NULL and sets *err if memory is out or the client cannot start. */
admission_t *admission_new(const admission_settings_t *settings, error_t *err);
void admission_free(admission_t *admission); /* NULL ok */

/* Returns the index of the worker that admits parts to the upstream. */
unsigned admission_worker_of(const char *upstream, unsigned worker_count);

/*
 * Installs a new view and takes a reference to it. If memory is out, the
 * previous view stays in use.
 */
void admission_set_view(admission_t *admission, fleet_view_t *view,
                        int64_t now_us);

/*
 * Submits parts from the coordinator with this incarnation. Copies the
 * requests and their bodies.
 */
void admission_submit(admission_t *admission, uint64_t incarnation,
                      const part_request_t *requests, size_t count,
                      int64_t now_us);

/*
 * Cancels parts. If a part was already sent, asks the upstream to stop it; the
 * part then ends with the upstream's result.
 */
void admission_cancel(admission_t *admission, const attempt_id_t *ids,
                      size_t count, int64_t now_us);

/* Puts a fingerprint in quarantine that another worker reported. */
void admission_add_quarantine(admission_t *admission, uint64_t fingerprint,
                              int64_t now_us);

/* Time until the fingerprint is no longer refused; 0: it is not refused. */
int64_t admission_quarantine_left_us(const admission_t *admission,
                                     uint64_t fingerprint, int64_t now_us);

/*
 * Moves fingerprints that this worker put in quarantine to out, at most max of
 * them; returns how many. The caller passes them to the other owners.
 */
size_t admission_take_new_quarantines(admission_t *admission, uint64_t *out,
                                      size_t max);

/*
 * Sends all admitted parts and replies, and a health check if one is due.
 * Returns the time of the next call; INT64_MAX if nothing is due until another
 * function is called.
 */
int64_t admission_step(admission_t *admission, int64_t now_us);

/*
 * Processes input from upstreams. The resulting replies are sent by the next
 * admission_step.
 */
void admission_receive(admission_t *admission, int64_t now_us);

/* Waits for input from upstreams or admission_wake. Call without the lock. */
void admission_wait(admission_t *admission, int timeout_ms);

/* Ends admission_wait early. May be called from any thread. */
void admission_wake(admission_t *admission);

/* Number of parts that wait or are in progress. */
size_t admission_pending(const admission_t *admission);

/*
 * Returns the roster version of the view if no part is pending for an
 * upstream that this daemon no longer owns, else 0.
 */
uint64_t admission_settled_version(const admission_t *admission);

/*
 * Copies the state of at most max owned upstreams to out. Returns how many
 * upstreams are owned, which may be more than max.
 */
size_t admission_report(const admission_t *admission, gate_upstream_t *out,
                        size_t max);
upstream_totals_t admission_totals(const admission_t *admission);

#endif
