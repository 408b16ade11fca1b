/*
 * Admission to the upstreams that this daemon owns.
 *
 * One gate_t serves one thread of the daemon; the caller holds its lock. It
 * does no I/O: the caller submits a part, and the gate decides whether to
 * send, queue or refuse it. The caller sends the part upstream and reports
 * its result with gate_finish; gate_next then returns the parts that may be
 * sent next.
 *
 *     gate_t *gate = gate_new(&settings);
 *     gate_configure(gate, config, topology, owned, owned_count, now);
 *     switch (gate_submit(gate, &request, now, &refusal)) { ... }
 *     gate_finish(gate, request.id, &result, now);
 *     while (gate_next(gate, now, &admitted, &refusal) != GATE_IDLE) ...
 *     gate_free(gate);
 *
 * The gate copies the fields of a request that it needs; the caller keeps
 * ownership of body. The limits in the table apply to the whole fleet. The
 * slots of a zone and of a service are divided among the upstreams in an
 * order that every daemon derives from the topology (core/gate_share.h), so
 * the owners of different upstreams stay within the limits without exchanging
 * messages.
 */
#ifndef CORE_GATE_H
#define CORE_GATE_H

#include "core/table.h"
#include "core/topology.h"

typedef struct gate gate_t;

typedef struct {
    size_t queue_max;        /* most waiting parts over all upstreams */
    int64_t ramp_step_us;    /* least time between two raises of the bound */
    uint32_t ramp_successes; /* good replies needed for a raise */
    uint32_t crash_limit;    /* crashes until a fingerprint is refused */
    int64_t quarantine_us;   /* how long a fingerprint is refused */
    int64_t crash_burst_us;  /* crashes within this time count once */
} gate_settings_t;

typedef enum {
    GATE_IDLE,  /* gate_next only: nothing to do now */
    GATE_SEND,  /* send the part upstream now */
    GATE_WAIT,  /* the part is queued; gate_next will return it */
    GATE_REFUSE /* the refusal is the reply; the gate has freed the part */
} gate_decision_t;

/* The result of a sent part, as observed on the wire. */
typedef struct {
    part_status_t status; /* PART_OK, PART_SHED, PART_LOST, ... */
    int64_t service_us;
    uint64_t boot;          /* upstream's boot id; 0: unknown */
    bool cold;              /* the reply said that the upstream is cold */
    bool reset;             /* PART_LOST: connection broke, not a timeout */
    bool not_run;           /* PART_LOST: no byte of the part was sent */
    int64_t retry_after_us; /* from a shed reply; 0: not given */
} gate_result_t;

/* The state of one upstream, for status, explanations and tests. */
typedef struct {
    char name[NAME_SIZE];
    uint32_t slots; /* bound in force; 0: drain, backoff or unavailable */
    uint32_t in_progress;
    uint32_t waiting;
    bool cold;
    bool shedding;
    uint64_t sent;
    uint64_t refused;
} gate_upstream_t;

/* Returns NULL if out of memory; the caller frees it with gate_free. */
gate_t *gate_new(const gate_settings_t *settings);
void gate_free(gate_t *gate); /* NULL ok */

/*
 * Installs a new configuration, topology and set of owned upstreams (indexes
 * into topology), and takes references to config and topology; either may be
 * NULL, and then no upstream is owned. Parts in progress stay counted; parts
 * that wait for an upstream that is no longer owned, is leaving or is taken
 * out come back refused from gate_next. A newly owned upstream starts cold,
 * because its capacity is unknown.
 * If out of memory, the gate keeps the previous configuration and sends no
 * part until a later call succeeds.
 */
void gate_configure(gate_t *gate, config_t *config, topology_t *topology,
                    const uint32_t *owned, size_t owned_count, int64_t now_us);

/*
 * Decides about one part; returns GATE_SEND, GATE_WAIT or GATE_REFUSE.
 * now_us is monotonic. *refusal is set only with GATE_REFUSE. An id that is
 * already waiting or in progress is refused with not_run false, because the
 * earlier part may run.
 */
gate_decision_t gate_submit(gate_t *gate, const part_request_t *request,
                            int64_t now_us, part_reply_t *refusal);

/* Records the result of a sent part. Unknown ids are ignored. */
void gate_finish(gate_t *gate, attempt_id_t id, const gate_result_t *result,
                 int64_t now_us);

/*
 * Cancels a part that was not sent. Returns true if the gate has freed it, so
 * that it never runs; false if the part is in progress or unknown.
 */
bool gate_cancel(gate_t *gate, attempt_id_t id);

/*
 * Takes the next decision on a waiting part: GATE_SEND with the part's id in
 * *id, or GATE_REFUSE with *id and *refusal. Returns GATE_IDLE when there is
 * no such part. Call it until it returns GATE_IDLE.
 */
gate_decision_t gate_next(gate_t *gate, int64_t now_us, attempt_id_t *id,
                          part_reply_t *refusal);

/*
 * Returns when to call gate_next if no other call is made before: now_us if a
 * decision is due, INT64_MAX if only another call can lead to a decision.
 */
int64_t gate_wakeup(const gate_t *gate, int64_t now_us);

/*
 * Records a reply of the upstream's health endpoint. It can only lower the
 * bound. Upstreams that the gate doesn't know are ignored.
 */
void gate_record_health(gate_t *gate, const char *upstream, bool cold,
                        bool draining, int64_t now_us);

/* Refuses a fingerprint that another gate put in quarantine. */
void gate_add_quarantine(gate_t *gate, uint64_t fingerprint, int64_t now_us);

/* Time until the fingerprint is no longer refused; 0: it is not refused. */
int64_t gate_quarantine_left_us(const gate_t *gate, uint64_t fingerprint,
                                int64_t now_us);

/*
 * Moves to out the fingerprints that this gate itself put in quarantine, at
 * most max of them; returns how many. Call it again for the rest.
 */
size_t gate_take_new_quarantines(gate_t *gate, uint64_t *out, size_t max);

/*
 * Returns in *held how many connections to keep open to the upstream and in
 * *max how many may be open; both 0 for an upstream that is not owned or is
 * unavailable.
 */
void gate_connections(const gate_t *gate, const char *upstream, uint32_t *held,
                      uint32_t *max);

/*
 * Copies the state of at most max owned upstreams to out. Returns how many
 * upstreams are owned, which may be more than max.
 */
size_t gate_report(const gate_t *gate, gate_upstream_t *out, size_t max);

#endif
