/*
 * State and functions shared by rollout.c and rollout_decide.c. Private to
 * them.
 */
#ifndef POLICY_ROLLOUT_STATE_H
#define POLICY_ROLLOUT_STATE_H

#include "policy/rollout.h"

/* The greatest probability of a difference by accident that stops a version at
   any time: there is one judgement in each slice. */
#define ROLLOUT_ALPHA 1e-5

typedef struct {
    rollout_reporter_t reporter;
    rollout_report_t base;
    bool stopped;
} reporter_state_t;

struct rollout {
    rollout_settings_t settings;
    uint64_t seed;
    int64_t created_us;
    char usual[ROLLOUT_VERSION_SIZE];
    bool has_usual;
    uint64_t candidates[ROLLOUT_CANDIDATES_MAX]; /* sorted hashes */
    uint32_t candidate_count;
    int64_t candidates_since_us; /* 0: there are none */
    bool has_order;
    bool has_slack; /* the order was fresh */
    rollout_order_t order;
    int64_t ordered_us;
    rollout_status_t status;
    int64_t heard_us; /* 0: the status was never heard */
    uint32_t senders;
    uint64_t sent[ROLLOUT_SIDES]; /* since the order */
    double credit; /* sum of the shares at which requests were sent */
    bool stopped;
    int64_t judged_us;
    int64_t reported_slice;
    rollout_report_t *report; /* own; NULL unless an order is active */
    rollout_record_t *own;
    rollout_record_t *sum; /* the decider's; NULL in other daemons */
    reporter_state_t **reporters;
    uint32_t reporter_count;
    uint32_t reporter_capacity;
    bool sum_judged; /* the findings are of the sum as it is */
    int64_t sum_judged_us;
    rollout_finding_t found; /* in the sum, without its worst slices */
    rollout_finding_t whole; /* with all of them */
    int64_t deciding_us;     /* since when; 0: not */
    int64_t step_us;         /* when the share was last raised */
};

/* Whether the known status answers the order in force. */
bool rollout_status_is_current(const rollout_t *rollout);

bool rollout_is_usual(const rollout_t *rollout, const char *version);

/* Time by which slices are numbered: daemons' slices begin together. The
   numbers are positive. */
int64_t rollout_slice_time_us(const rollout_t *rollout, int64_t now_us);

/* Forget the decider's counts. */
void rollout_release_sum(rollout_t *rollout);

#endif
