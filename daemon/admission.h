/*
 * The owner's side of one worker: parts admitted to the upstreams it owns.
 *
 * Joins the gate, which decides, with the upstream client, which sends, and
 * remembers whom each part is to be answered. Every part handed in is
 * answered exactly once through the reply sink.
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
    const atomic_llong *act_until_us; /* the daemon's lease */
    int64_t drain_us;                 /* a part may run past the lease */
    stats_t *stats;
    void *context;
    /* Replies to the parts of the daemon of that incarnation. */
    void (*reply)(void *context, uint64_t incarnation,
                  const part_reply_t *replies, size_t count);
    /* An upstream told a newer partition; shards are lent. */
    void (*partition)(void *context, const partition_t *partition);
} admission_settings_t;

typedef struct admission admission_t;

admission_t *admission_new(const admission_settings_t *settings, error_t *err);
void admission_free(admission_t *admission);

/* Worker that admits for an upstream. */
unsigned admission_worker_of(const char *upstream, unsigned worker_count);

void admission_world(admission_t *admission, fleet_view_t *world,
                     int64_t now_us);

/* Parts of the coordinator of that incarnation; copied with their bodies. */
void admission_parts(admission_t *admission, uint64_t incarnation,
                     const part_request_t *requests, size_t count,
                     int64_t now_us);

void admission_cancel(admission_t *admission, const attempt_id_t *ids,
                      size_t count, int64_t now_us);

void admission_quarantine(admission_t *admission, uint64_t fingerprint,
                          int64_t now_us);

/* How long the fingerprint is still refused, in microseconds; 0: it is not. */
int64_t admission_quarantine_left_us(const admission_t *admission,
                                     uint64_t fingerprint, int64_t now_us);

/* Fingerprints newly found here, to be told to other owners. */
size_t admission_new_quarantines(admission_t *admission, uint64_t *out,
                                 size_t max);

/* Send and answer all that is due; when to be called again by the clock. */
int64_t admission_step(admission_t *admission, int64_t now_us);

/* Take what upstreams have sent; replies go out with the next step. */
void admission_run(admission_t *admission, int64_t now_us);

/* Wait for input from upstreams; the lock is not held. */
void admission_wait(admission_t *admission, int timeout_ms);

/* End a wait early, from any thread. */
void admission_wake(admission_t *admission);

/* Parts waiting or in progress. */
size_t admission_pending(const admission_t *admission);

/*
 * Newest roster version that this worker has nothing in progress against:
 * parts for upstreams lost by it have ended.
 */
uint64_t admission_settled_version(const admission_t *admission);

size_t admission_report(const admission_t *admission, gate_upstream_t *out,
                        size_t max);
upstream_totals_t admission_totals(const admission_t *admission);

#endif
