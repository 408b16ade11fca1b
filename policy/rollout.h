/*
 * The rollout of a version of one service: which upstreams a daemon may send
 * to, how much the new version gets, and when the rollout is completed or
 * reverted.
 *
 * Every daemon keeps an account of what it may send to the new version, stops
 * on its own evidence, and reports its counts. One daemon, the decider, sums
 * the reports and sets the status. A daemon that gets no status sends nothing
 * to the new version.
 *
 *     rollout_set_upstreams(rollout, upstreams, count, now_us);
 *     rollout_set_order(rollout, &order, fresh, now_us);
 *     rollout_set_status(rollout, &status, now_us);
 *     bool to_new = rollout_may_send(rollout, now_us);
 *     ... rollout_allows(rollout, to_new, version, id_hash, now_us) ...
 *     rollout_note_sent(rollout, side, now_us);
 *     rollout_note_answer(rollout, &answer, now_us);
 *     rollout_watch_own(rollout, now_us);       // every 50 ms
 * The decider:
 *     rollout_note_report(rollout, reporter, &report, now_us);
 *     if (rollout_decide(rollout, &status, &finding, now_us)) ... write ...
 *
 * Times are microseconds of the daemon's monotonic clock.
 */
#ifndef POLICY_ROLLOUT_H
#define POLICY_ROLLOUT_H

#include "policy/rollout_record.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    ROLLOUT_VERSION_SIZE = 64,
    ROLLOUT_CANDIDATES_MAX = 64, /* upstreams that take turns */
    /* Without word of the status for this time, nothing is sent to the new
       version: it may have been reverted. */
    ROLLOUT_SILENCE_US = 2000000,
    /* Interval of the reports, which end with a slice. */
    ROLLOUT_REPORT_US = ROLLOUT_SLICE_US
};

typedef struct {
    double canary_share;   /* of all requests, that a bad version may get */
    uint32_t canary_slack; /* requests on top of that */
    int64_t seen_delay_us; /* age that an order may have when it is seen */
} rollout_settings_t;

typedef struct {
    uint64_t id; /* identity: the store's revision of the order */
    char target[ROLLOUT_VERSION_SIZE];
    int64_t over_us; /* time budget */
} rollout_order_t;

typedef enum {
    ROLLOUT_ABSENT, /* no status was ever written */
    ROLLOUT_ACTIVE,
    ROLLOUT_COMPLETE,
    ROLLOUT_REVERTED,
    ROLLOUT_STATES
} rollout_state_t;

typedef struct {
    rollout_state_t state;
    uint64_t order; /* id of the order it answers */
    char target[ROLLOUT_VERSION_SIZE];
    double share; /* of the requests that the new version gets, 0..1 */
} rollout_status_t;

/* One upstream of the service. */
typedef struct {
    const char *version;
    uint64_t id_hash;
    int64_t started_ms; /* Unix time; 0: unknown */
} rollout_upstream_t;

/* A daemon that reports its counts. */
typedef struct {
    uint64_t name_hash;
    uint64_t run; /* differs each time it starts */
} rollout_reporter_t;

typedef struct rollout rollout_t;

/* seed: of this daemon and service. NULL: out of memory. */
rollout_t *rollout_new(const rollout_settings_t *settings, uint64_t seed,
                       int64_t now_us);
void rollout_free(rollout_t *rollout);

/* Set the service's upstreams. The usual version is found by the status, else
   it is the one that runs longest. */
void rollout_set_upstreams(rollout_t *rollout,
                           const rollout_upstream_t *upstreams, uint32_t count,
                           int64_t now_us);

/*
 * Set the order in force; NULL: there is none, or it was withdrawn. fresh: it
 * was written while this daemon followed the orders. Otherwise the daemon may
 * have spent its part of the slack before it restarted, and gets none.
 * Returns whether the order is another than before.
 */
bool rollout_set_order(rollout_t *rollout, const rollout_order_t *order,
                       bool fresh, int64_t now_us);

/* Correct the time of the order by the decider's clock, or by the status. */
void rollout_set_elapsed(rollout_t *rollout, int64_t elapsed_us,
                         int64_t now_us);

/* The status was read, now. It is ignored if the known one, of the same order,
   is final. Returns whether it differs from the known one. */
bool rollout_set_status(rollout_t *rollout, const rollout_status_t *status,
                        int64_t now_us);

/* The status is known to be as it was, now. */
void rollout_note_heard(rollout_t *rollout, int64_t now_us);

/* Daemons that send to the service, for this daemon's part of the slack. */
void rollout_set_senders(rollout_t *rollout, uint32_t senders);

/* Whether the account allows one more send to the new version. */
bool rollout_may_send(rollout_t *rollout, int64_t now_us);

/* Whether an upstream may get the request. to_new: the request goes to the new
   version, of which only the upstreams whose turn it is are allowed. */
bool rollout_allows(const rollout_t *rollout, bool to_new, const char *version,
                    uint64_t id_hash, int64_t now_us);

/* Count a send, first ones, retries and hedges alike. */
void rollout_note_sent(rollout_t *rollout, bool to_new);

void rollout_note_answer(rollout_t *rollout, const rollout_answer_t *answer,
                         int64_t now_us);

/* Stop sending to the new version if this daemon's own answers show that it is
   bad. Returns true once, when it stops. */
bool rollout_watch_own(rollout_t *rollout, rollout_finding_t *finding,
                       int64_t now_us);

/* The counts to report; valid until the next call with this rollout. */
const rollout_report_t *rollout_own_report(const rollout_t *rollout);

/* Whether a report is due, once for each slice in which an order is open. */
bool rollout_report_is_due(rollout_t *rollout, int64_t now_us);

/* The decider counts another daemon's report, or its own. False: out of
   memory. */
bool rollout_note_report(rollout_t *rollout,
                         const rollout_reporter_t *reporter,
                         const rollout_report_t *report, int64_t now_us);

/* Decide as the decider; call it only while this daemon is the decider.
   Returns true if *status is to be written; finding is the reason of a
   verdict. The decision holds once the status was written and
   rollout_set_status called. */
bool rollout_decide(rollout_t *rollout, rollout_status_t *status,
                    rollout_finding_t *finding, int64_t now_us);

/* This daemon is not the decider, or not any more. */
void rollout_end_deciding(rollout_t *rollout);

const rollout_status_t *rollout_status(const rollout_t *rollout);
const rollout_order_t *rollout_order(const rollout_t *rollout); /* or NULL */
bool rollout_is_active(const rollout_t *rollout);
/* Whether there is an order without a final status. */
bool rollout_is_open(const rollout_t *rollout);
bool rollout_has_stopped(const rollout_t *rollout);  /* on its own evidence */
const char *rollout_usual(const rollout_t *rollout); /* NULL: not known */
int64_t rollout_elapsed_us(const rollout_t *rollout, int64_t now_us);
uint64_t rollout_sent(const rollout_t *rollout, rollout_side_t side);

/* "absent", "active", "complete" or "reverted". */
const char *rollout_state_name(rollout_state_t state);

#endif
