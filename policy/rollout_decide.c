/* The decider: sums the daemons' reports, raises the share, gives the
   verdict. */
#include "policy/rollout_state.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* A new decider has all daemons' counts after two of their reports. */
    DECIDER_START_US = 1200000,
    /* The share is raised this long after the end of a slice, when the reports
       about it have arrived, and so at most once for each report. */
    STEP_PHASE_US = 100000,
    STEP_US = ROLLOUT_REPORT_US,
    STEP_LEAST_US = STEP_US - STEP_PHASE_US,
    REPORTERS_FIRST = 16
};

/* Part of the canary share that is used before the ramp: daemons restart and
   their views of the fleet differ. */
#define SHARE_USED 0.8
/* The greatest probability of a difference by accident that is taken for a
   verdict, by the part of over_us that has passed. There is one judgement in
   each slice; at the end a false verdict costs as much as a missed one. */
static const struct {
    double from;
    double alpha;
} alphas[] = {{0, ROLLOUT_ALPHA}, {0.4, 1e-4}, {0.75, 3e-3}};

/* A record less probable than this, with all slices, delays the next step of
   the ramp. At the end of the delay, the one without the worst slice decides.
 */
#define ALPHA_HOLD 1e-3
#define ALPHA_END 1e-3
/* A record less probable than this delays a step also beyond its time. */
#define ALPHA_HOLD_PAST 1e-6
/* During the ramp, failures less probable than this are a verdict although
   they are of one slice: a second one would cost as many requests as the bound
   on exposure leaves. */
#define ALPHA_RAMP 1e-7
/* Parts of over_us: the ramp begins, complete is written, and whatever delays
   a step ends. */
#define RAMP_FROM 0.85
#define COMPLETE_FROM 0.95
#define HOLD_UNTIL 0.97
/* Of over_us: how long a version that has just got upstreams is watched before
   the ramp. */
#define WATCH_LEAST 0.25

/* The ramp. At the first share one new upstream of three gets the load of an
   old one. */
static const double ramp[] = {0.3, 0.6, 1.0};
enum { RAMP_STEPS = sizeof(ramp) / sizeof(ramp[0]) };

void
rollout_release_sum(rollout_t *rollout)
{
    for (uint32_t i = 0; i < rollout->reporter_count; i++) {
        free(rollout->reporters[i]);
    }
    free(rollout->reporters);
    free(rollout->sum);
    rollout->reporters = NULL;
    rollout->reporter_count = rollout->reporter_capacity = 0;
    rollout->sum = NULL;
}

static double
alpha_at(const rollout_t *rollout, int64_t now_us)
{
    double progress = (double)rollout_elapsed_us(rollout, now_us) /
                      (double)rollout->order.over_us;
    double alpha = alphas[0].alpha;
    for (size_t i = 0; i < sizeof(alphas) / sizeof(alphas[0]); i++) {
        alpha = progress >= alphas[i].from ? alphas[i].alpha : alpha;
    }
    return alpha;
}

static reporter_state_t *
reporter_find(rollout_t *rollout, const rollout_reporter_t *reporter)
{
    for (uint32_t i = 0; i < rollout->reporter_count; i++) {
        if (rollout->reporters[i]->reporter.name_hash == reporter->name_hash) {
            return rollout->reporters[i];
        }
    }
    if (rollout->reporter_count == rollout->reporter_capacity) {
        uint32_t capacity = rollout->reporter_capacity == 0
                                ? REPORTERS_FIRST
                                : 2 * rollout->reporter_capacity;
        reporter_state_t **grown =
            realloc(rollout->reporters, capacity * sizeof(*grown));
        if (grown == NULL) {
            return NULL;
        }
        rollout->reporters = grown;
        rollout->reporter_capacity = capacity;
    }
    reporter_state_t *state = calloc(1, sizeof(*state));
    if (state != NULL) {
        state->reporter = *reporter;
        rollout->reporters[rollout->reporter_count++] = state;
    }
    return state;
}

bool
rollout_note_report(rollout_t *rollout, const rollout_reporter_t *reporter,
                    const rollout_report_t *report, int64_t now_us)
{
    if (!rollout_is_open(rollout)) {
        return true;
    }
    if (rollout->sum == NULL) {
        rollout->sum = calloc(1, sizeof(*rollout->sum));
    }
    reporter_state_t *state = reporter_find(rollout, reporter);
    if (rollout->sum == NULL || state == NULL) {
        return false;
    }
    if (state->reporter.run != reporter->run) {
        *state = (reporter_state_t){.reporter = *reporter};
    }
    state->stopped = report->stopped;
    rollout->sum_judged = false;
    /* A report is sent at the end of the slice that it is about. */
    rollout_record_add_report(rollout->sum, report, &state->base,
                              rollout_slice_time_us(rollout, now_us) -
                                  ROLLOUT_REPORT_US / 2);
    return true;
}

static bool
step_is_due(const rollout_t *rollout, int64_t now_us)
{
    return now_us - rollout->step_us >= STEP_LEAST_US &&
           rollout_slice_time_us(rollout, now_us) % ROLLOUT_REPORT_US >=
               STEP_PHASE_US;
}

/* Steps of the ramp: three if there is time, else the first and the last. */
static bool
ramp_has_step(const rollout_t *rollout, uint32_t step)
{
    return step != 1 ||
           (COMPLETE_FROM - RAMP_FROM) * (double)rollout->order.over_us >=
               4.0 * STEP_US;
}

/*
 * When a step is due, since the order. The first one comes early enough for
 * three reports: a version that is bad only at the load of an old upstream
 * shows it then. The last one comes just before complete, since a bad version
 * gets all requests from then on.
 */
static double
ramp_begin_us(const rollout_t *rollout, uint32_t step)
{
    double over_us = (double)rollout->order.over_us;
    double last_us = COMPLETE_FROM * over_us - STEP_US;
    double first_us = last_us - 3.0 * STEP_US;
    if (first_us > RAMP_FROM * over_us) {
        first_us = RAMP_FROM * over_us;
    }
    return first_us + (last_us - first_us) * step / (RAMP_STEPS - 1);
}

/* Time from the present share to complete, if nothing delays it. */
static double
ramp_left_us(const rollout_t *rollout)
{
    uint32_t steps = 1;
    for (uint32_t i = 0; i < RAMP_STEPS; i++) {
        steps += ramp_has_step(rollout, i) && ramp[i] > rollout->status.share;
    }
    return steps * 1.0 * STEP_US;
}

/* The share that is due, one step above the present one at most. */
static double
ramp_share(const rollout_t *rollout, int64_t now_us)
{
    double over_us = (double)rollout->order.over_us;
    double elapsed_us = (double)rollout_elapsed_us(rollout, now_us);
    double share = rollout->status.share;
    if (rollout->candidate_count == 0 || !step_is_due(rollout, now_us) ||
        now_us - rollout->deciding_us < DECIDER_START_US ||
        (double)(now_us - rollout->candidates_since_us) <
            WATCH_LEAST * over_us) {
        return share;
    }
    for (uint32_t i = 0; i < RAMP_STEPS; i++) {
        if (ramp[i] > share && ramp_has_step(rollout, i)) {
            return elapsed_us >= ramp_begin_us(rollout, i) ? ramp[i] : share;
        }
    }
    return share;
}

/* Judge the sum after reports, once for all that come together. */
static void
sum_judge(rollout_t *rollout, int64_t now_us)
{
    static const rollout_finding_t nothing = {.chance = 1};
    if (rollout->sum == NULL) {
        rollout->found = rollout->whole = nothing;
        return;
    }
    if (rollout->sum_judged ||
        now_us - rollout->sum_judged_us < STEP_PHASE_US) {
        return;
    }
    int64_t at_us =
        rollout_slice_time_us(rollout, now_us) - ROLLOUT_REPORT_US / 2;
    rollout->sum_judged = true;
    rollout->sum_judged_us = now_us;
    rollout->found = rollout_record_judge(rollout->sum, 1, true, at_us);
    rollout->whole = rollout_record_judge(rollout->sum, 1, false, at_us);
}

static bool
any_has_stopped(const rollout_t *rollout)
{
    for (uint32_t i = 0; i < rollout->reporter_count; i++) {
        if (rollout->reporters[i]->stopped) {
            return true;
        }
    }
    return false;
}

/*
 * The finding that the verdict rests on; its reason is NONE if there is none.
 * The sum of a new decider has all that went before in one slice: then the
 * word of a daemon that has stopped stands for its slices.
 */
static rollout_finding_t
sum_verdict(const rollout_t *rollout, bool at_end, int64_t now_us)
{
    double alpha = alpha_at(rollout, now_us);
    if (rollout->found.chance <= alpha ||
        (at_end && rollout->found.chance <= ALPHA_END)) {
        return rollout->found;
    }
    if (any_has_stopped(rollout) && rollout->whole.chance <= alphas[0].alpha) {
        return rollout->whole;
    }
    if (rollout->status.share >= ramp[0] &&
        rollout->whole.reason == ROLLOUT_REASON_FAILURES &&
        rollout->whole.chance <= ALPHA_RAMP) {
        return rollout->whole;
    }
    return (rollout_finding_t){.chance = 1};
}

/* The status that follows from a bad finding, or from the time. */
static bool
decide_active(rollout_t *rollout, rollout_status_t *status,
              rollout_finding_t *finding, int64_t now_us)
{
    double over_us = (double)rollout->order.over_us;
    double elapsed_us = (double)rollout_elapsed_us(rollout, now_us);
    bool is_late = elapsed_us >= alphas[2].from * over_us;
    bool may_wait = elapsed_us < HOLD_UNTIL * over_us - ramp_left_us(rollout);
    sum_judge(rollout, now_us);
    *finding = sum_verdict(rollout, is_late && !may_wait, now_us);
    if (finding->reason != ROLLOUT_REASON_NONE) {
        status->state = ROLLOUT_REVERTED;
        status->share = 0;
        return true;
    }
    /* Not the first step, after which a bad version shows itself. */
    if (rollout->whole.chance < (may_wait ? ALPHA_HOLD : ALPHA_HOLD_PAST) &&
        rollout->status.share >= ramp[0]) {
        return false;
    }
    bool moved = rollout->status.share >= 1 && step_is_due(rollout, now_us) &&
                 now_us - rollout->deciding_us >= DECIDER_START_US;
    if (rollout_is_usual(rollout, rollout->order.target) ||
        (moved && elapsed_us >= COMPLETE_FROM * over_us)) {
        status->state = ROLLOUT_COMPLETE;
        status->share = 1;
        return true;
    }
    status->share = ramp_share(rollout, now_us);
    return status->share > rollout->status.share;
}

bool
rollout_decide(rollout_t *rollout, rollout_status_t *status,
               rollout_finding_t *finding, int64_t now_us)
{
    *finding = (rollout_finding_t){.chance = 1};
    *status = rollout->status;
    if (rollout->deciding_us == 0) {
        rollout->deciding_us = now_us;
    }
    if (!rollout->has_order) {
        status->state = ROLLOUT_REVERTED;
        status->share = 0;
        return rollout->status.state == ROLLOUT_ACTIVE;
    }
    if (!rollout_status_is_current(rollout)) {
        *status = (rollout_status_t){
            .state = ROLLOUT_ACTIVE,
            .order = rollout->order.id,
            .share = SHARE_USED * rollout->settings.canary_share,
        };
        memcpy(status->target, rollout->order.target, sizeof(status->target));
        return true;
    }
    return rollout->status.state == ROLLOUT_ACTIVE &&
           decide_active(rollout, status, finding, now_us);
}

void
rollout_end_deciding(rollout_t *rollout)
{
    rollout->deciding_us = 0;
    rollout_release_sum(rollout);
}
