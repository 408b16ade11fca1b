/*
 * Admission to the upstreams that this daemon owns.
 *
 * One gate_t serves one thread of the daemon; the caller holds its lock. It
 * does no I/O: a part is submitted, and the gate says send, wait or refuse;
 * the caller sends, and tells the gate how it ended; whatever may go next is
 * then taken with gate_next.
 *
 *     gate_t *gate = gate_new(&settings);
 *     gate_configure(gate, config, topology, owned, owned_count, now);
 *     switch (gate_submit(gate, &request, now, &refusal)) { ... }
 *     gate_finish(gate, request.id, &result, now);
 *     while (gate_next(gate, now, &admitted, &refusal) != GATE_IDLE) ...
 *     gate_free(gate);
 *
 * The gate copies what it needs of a request; body stays the caller's.
 * Limits are the table's for the whole fleet. A zone's and a service's slots
 * are dealt to upstreams one by one in an order that all daemons agree on
 * (upstreams sorted by name), so that owners of different upstreams need no
 * message to stay within them.
 */
#ifndef CORE_GATE_H
#define CORE_GATE_H

#include "core/table.h"
#include "core/topology.h"

typedef struct gate gate_t;

typedef struct {
    size_t queue_max;        /* parts waiting in all */
    int64_t ramp_step_us;    /* least time between two cold-bound raises */
    uint32_t ramp_successes; /* good replies needed for a raise */
    uint32_t crash_limit;    /* crashes before a fingerprint is refused */
    int64_t quarantine_us;   /* how long it is refused */
    int64_t crash_burst_us;  /* crashes so close together count once */
} gate_settings_t;

typedef enum {
    GATE_IDLE,  /* gate_next only: nothing to do now */
    GATE_SEND,  /* send it upstream now */
    GATE_WAIT,  /* queued; gate_next will return it */
    GATE_REFUSE /* answered by the refusal; the gate forgot it */
} gate_decision_t;

/* How a sent part ended, as seen on the wire. */
typedef struct {
    part_status_t status; /* PART_OK, PART_SHED, PART_LOST, ... */
    int64_t service_us;
    uint64_t boot;          /* upstream's boot id, 0: not seen */
    bool cold;              /* the reply said the upstream is cold */
    bool reset;             /* PART_LOST: connection broke, no timeout */
    bool not_run;           /* PART_LOST: nothing of it was ever sent */
    int64_t retry_after_us; /* from a shed reply, 0: no advice */
} gate_result_t;

/* What is known of one upstream, for status, explanations and tests. */
typedef struct {
    char name[NAME_SIZE];
    uint32_t slots; /* bound in force now (cold or full) */
    uint32_t in_progress;
    uint32_t waiting;
    bool cold;
    bool shedding;
    uint64_t sent;
    uint64_t refused;
} gate_upstream_t;

gate_t *gate_new(const gate_settings_t *settings); /* NULL: no memory */
void gate_free(gate_t *gate);

/*
 * Take a new configuration, topology and set of owned upstreams (indexes into
 * topology). Parts in progress stay counted; parts waiting for an upstream no
 * longer owned, leaving or out come back refused from gate_next.
 * An upstream newly owned starts cold: what it bears is not known.
 */
void gate_configure(gate_t *gate, config_t *config, topology_t *topology,
                    const uint32_t *owned, size_t owned_count, int64_t now_us);

/*
 * now_us: monotonic. *refusal is filled with GATE_REFUSE only. An id that is
 * waiting or in progress already is refused with not_run false.
 */
gate_decision_t gate_submit(gate_t *gate, const part_request_t *request,
                            int64_t now_us, part_reply_t *refusal);

/* A sent part ended. Unknown ids are ignored. */
void gate_finish(gate_t *gate, attempt_id_t id, const gate_result_t *result,
                 int64_t now_us);

/*
 * Cancel a part: true when it was waiting and is forgotten (it never ran);
 * false when it is in progress or unknown.
 */
bool gate_cancel(gate_t *gate, attempt_id_t id);

/*
 * The next waiting part to send (GATE_SEND, its id in *id) or to give up
 * (GATE_REFUSE); GATE_IDLE when there is none.
 */
gate_decision_t gate_next(gate_t *gate, int64_t now_us, attempt_id_t *id,
                          part_reply_t *refusal);

/* When gate_next may next have something by the clock alone. */
int64_t gate_wakeup(const gate_t *gate, int64_t now_us);

/* The health endpoint's word: advice that can only lower the bound. */
void gate_record_health(gate_t *gate, const char *upstream, bool cold,
                        bool draining, int64_t now_us);

/* A fingerprint other owners found to crash upstreams, or a crash seen. */
void gate_add_quarantine(gate_t *gate, uint64_t fingerprint, int64_t now_us);

/* How long the fingerprint is still refused, in microseconds; 0: it is not. */
int64_t gate_quarantine_left_us(const gate_t *gate, uint64_t fingerprint,
                                int64_t now_us);

/* Fingerprints this gate put in quarantine since the last call; the count. */
size_t gate_take_new_quarantines(gate_t *gate, uint64_t *out, size_t max);

/* Connections to hold to the upstream now, and the most allowed. */
void gate_connections(const gate_t *gate, const char *upstream, uint32_t *hold,
                      uint32_t *most);

/* Copy what is known of owned upstreams; returns how many there are. */
size_t gate_report(const gate_t *gate, gate_upstream_t *out, size_t max);

#endif
