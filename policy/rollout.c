#include "policy/rollout_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* How long the oldest version counts as the usual one only for now: the
       first list of the upstreams may come in pages. */
    USUAL_SETTLE_US = 3000000
};

/* Part of the slack that is used: daemons restart and their views of the fleet
   differ. */
#define SLACK_USED 0.5
/* Of the requests, at most this part goes to the new version before the ramp,
   so that there are answers of the old one to compare with. */
#define SHARE_MAX_AT_START 0.5
const char *
rollout_state_name(rollout_state_t state)
{
    static const char *const names[ROLLOUT_STATES] = {
        [ROLLOUT_ABSENT] = "absent",
        [ROLLOUT_ACTIVE] = "active",
        [ROLLOUT_COMPLETE] = "complete",
        [ROLLOUT_REVERTED] = "reverted",
    };
    return state < ROLLOUT_STATES ? names[state] : "-";
}

rollout_t *
rollout_new(const rollout_settings_t *settings, uint64_t seed, int64_t now_us)
{
    rollout_t *rollout = calloc(1, sizeof(*rollout));
    if (rollout != NULL) {
        rollout->settings = *settings;
        rollout->seed = seed;
        rollout->created_us = now_us;
        rollout->senders = 1;
    }
    return rollout;
}

/* Forget the counts of an order. */
static void
counts_release(rollout_t *rollout)
{
    rollout_release_sum(rollout);
    free(rollout->own);
    free(rollout->report);
    rollout->own = NULL;
    rollout->report = NULL;
}

void
rollout_free(rollout_t *rollout)
{
    if (rollout != NULL) {
        counts_release(rollout);
        free(rollout);
    }
}

/* Whether the known status answers the order in force. */
bool
rollout_status_is_current(const rollout_t *rollout)
{
    return rollout->has_order && rollout->status.state != ROLLOUT_ABSENT &&
           rollout->status.order == rollout->order.id &&
           strcmp(rollout->status.target, rollout->order.target) == 0;
}

static bool
state_is_final(rollout_state_t state)
{
    return state == ROLLOUT_COMPLETE || state == ROLLOUT_REVERTED;
}

/* Whether an order moves traffic: it is the order in force, and no status says
   that it has ended. */
static bool
order_is_open(const rollout_t *rollout)
{
    return rollout->has_order && !(rollout_status_is_current(rollout) &&
                                   state_is_final(rollout->status.state));
}

bool
rollout_is_usual(const rollout_t *rollout, const char *version)
{
    return rollout->has_usual && strcmp(rollout->usual, version) == 0;
}

/* Whether a version is the target of an order that is open, or of one that was
   reverted or not ended: it does not become the usual one by itself. */
static bool
version_is_held(const rollout_t *rollout, const char *version)
{
    return (order_is_open(rollout) &&
            strcmp(rollout->order.target, version) == 0) ||
           (rollout->status.state != ROLLOUT_ABSENT &&
            rollout->status.state != ROLLOUT_COMPLETE &&
            strcmp(rollout->status.target, version) == 0);
}

static void
usual_set(rollout_t *rollout, const char *version)
{
    size_t length = strnlen(version, ROLLOUT_VERSION_SIZE - 1);
    memmove(rollout->usual, version, length);
    rollout->usual[length] = '\0';
    rollout->has_usual = true;
}

static bool
version_is_listed(const rollout_upstream_t *upstreams, uint32_t count,
                  const char *version)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(upstreams[i].version, version) == 0) {
            return true;
        }
    }
    return false;
}

static void
usual_find(rollout_t *rollout, const rollout_upstream_t *upstreams,
           uint32_t count, int64_t now_us)
{
    const rollout_status_t *status = &rollout->status;
    bool complete = status->state == ROLLOUT_COMPLETE &&
                    version_is_listed(upstreams, count, status->target);
    if (complete) {
        usual_set(rollout, status->target);
        return;
    }
    if (rollout->has_usual && now_us - rollout->created_us > USUAL_SETTLE_US &&
        version_is_listed(upstreams, count, rollout->usual)) {
        return;
    }
    const rollout_upstream_t *oldest = NULL;
    const rollout_upstream_t *target = NULL;
    for (uint32_t i = 0; i < count; i++) {
        const rollout_upstream_t *upstream = &upstreams[i];
        if (version_is_held(rollout, upstream->version)) {
            target = upstream;
        }
        else if (oldest == NULL || upstream->started_ms < oldest->started_ms) {
            oldest = upstream;
        }
    }
    if (oldest != NULL) {
        usual_set(rollout, oldest->version);
    }
    else if (target != NULL && order_is_open(rollout) &&
             strcmp(target->version, rollout->order.target) == 0) {
        /* The old version's upstreams are gone. */
        usual_set(rollout, target->version);
    }
}

static int
hash_compare(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left < right ? -1 : left > right;
}

void
rollout_set_upstreams(rollout_t *rollout, const rollout_upstream_t *upstreams,
                      uint32_t count, int64_t now_us)
{
    usual_find(rollout, upstreams, count, now_us);
    rollout->candidate_count = 0;
    for (uint32_t i = 0;
         i < count && rollout->candidate_count < ROLLOUT_CANDIDATES_MAX; i++) {
        if (order_is_open(rollout) &&
            strcmp(upstreams[i].version, rollout->order.target) == 0) {
            rollout->candidates[rollout->candidate_count++] =
                upstreams[i].id_hash;
        }
    }
    qsort(rollout->candidates, rollout->candidate_count,
          sizeof(*rollout->candidates), hash_compare);
    if (rollout->candidate_count == 0) {
        rollout->candidates_since_us = 0;
    }
    else if (rollout->candidates_since_us == 0) {
        rollout->candidates_since_us = now_us;
    }
}

bool
rollout_set_order(rollout_t *rollout, const rollout_order_t *order, bool fresh,
                  int64_t now_us)
{
    if (order == NULL) {
        bool had = rollout->has_order;
        rollout->has_order = false;
        rollout->candidate_count = 0;
        counts_release(rollout);
        return had;
    }
    if (rollout->has_order && rollout->order.id == order->id &&
        strcmp(rollout->order.target, order->target) == 0) {
        return false;
    }
    counts_release(rollout);
    rollout->order = *order;
    rollout->has_order = true;
    rollout->has_slack = fresh;
    rollout->ordered_us = now_us - rollout->settings.seen_delay_us;
    rollout->candidate_count = 0;
    rollout->candidates_since_us = 0;
    rollout->sent[ROLLOUT_OLD] = rollout->sent[ROLLOUT_NEW] = 0;
    rollout->credit = 0;
    rollout->stopped = false;
    rollout->deciding_us = 0;
    rollout->reported_slice = 0;
    return true;
}

int64_t
rollout_elapsed_us(const rollout_t *rollout, int64_t now_us)
{
    return now_us > rollout->ordered_us ? now_us - rollout->ordered_us : 0;
}

void
rollout_set_elapsed(rollout_t *rollout, int64_t elapsed_us, int64_t now_us)
{
    rollout->ordered_us = now_us - (elapsed_us > 0 ? elapsed_us : 0);
}

/* Time by which slices are numbered: daemons' slices begin together. The
   numbers are positive. */
int64_t
rollout_slice_time_us(const rollout_t *rollout, int64_t now_us)
{
    return rollout_elapsed_us(rollout, now_us) + ROLLOUT_LONG_SLICE_US;
}

bool
rollout_set_status(rollout_t *rollout, const rollout_status_t *status,
                   int64_t now_us)
{
    rollout_status_t *known = &rollout->status;
    rollout->heard_us = now_us;
    bool same_order = known->state != ROLLOUT_ABSENT &&
                      known->order == status->order &&
                      strcmp(known->target, status->target) == 0;
    if (same_order && state_is_final(known->state)) {
        return false;
    }
    if (same_order && known->state == status->state &&
        known->share >= status->share) {
        return false; /* an older one: the share only rises */
    }
    bool raised = same_order && status->share > known->share;
    *known = *status;
    if (raised || !same_order) {
        rollout->step_us = now_us;
    }
    if (rollout_status_is_current(rollout) && state_is_final(known->state)) {
        rollout->candidate_count = 0;
        counts_release(rollout);
    }
    if (known->state == ROLLOUT_COMPLETE) {
        usual_set(rollout, known->target);
    }
    return true;
}

void
rollout_note_heard(rollout_t *rollout, int64_t now_us)
{
    rollout->heard_us = now_us;
}

bool
rollout_is_open(const rollout_t *rollout)
{
    return order_is_open(rollout);
}

void
rollout_set_senders(rollout_t *rollout, uint32_t senders)
{
    rollout->senders = senders > 0 ? senders : 1;
}

bool
rollout_is_active(const rollout_t *rollout)
{
    return rollout_status_is_current(rollout) &&
           rollout->status.state == ROLLOUT_ACTIVE &&
           !rollout_is_usual(rollout, rollout->order.target);
}

/* A number in 0..1 that differs among daemons and orders, by which daemons
   with less than one token take turns. */
static double
turn_fraction(const rollout_t *rollout)
{
    uint64_t hash = (rollout->seed ^
                     (rollout->order.id + 1) * UINT64_C(0x9e3779b97f4a7c15)) *
                    UINT64_C(0xbf58476d1ce4e5b9);
    hash ^= hash >> 31;
    hash *= UINT64_C(0x94d049bb133111eb);
    return (double)(hash >> 11) * 0x1p-53;
}

bool
rollout_may_send(rollout_t *rollout, int64_t now_us)
{
    if (!rollout_is_active(rollout) || rollout->stopped ||
        rollout->candidate_count == 0 ||
        now_us - rollout->heard_us > ROLLOUT_SILENCE_US) {
        return false;
    }
    double share = rollout->status.share;
    if (share >= 1) {
        return true;
    }
    double all =
        (double)(rollout->sent[ROLLOUT_OLD] + rollout->sent[ROLLOUT_NEW] + 1);
    double slack =
        rollout->has_slack
            ? SLACK_USED * rollout->settings.canary_slack / rollout->senders
            : 0;
    /* Not share * all: a raised share must not act on past requests. */
    double allowed = rollout->credit + share + slack;
    double most = SHARE_MAX_AT_START * all;
    if (share < SHARE_MAX_AT_START && allowed > most) {
        allowed = most;
    }
    return (double)(rollout->sent[ROLLOUT_NEW] + 1) <=
           allowed + turn_fraction(rollout);
}

bool
rollout_allows(const rollout_t *rollout, bool to_new, const char *version,
               uint64_t id_hash, int64_t now_us)
{
    if (!to_new) {
        return rollout_is_usual(rollout, version);
    }
    uint32_t count = rollout->candidate_count;
    if (count == 0 || !rollout_is_active(rollout) ||
        strcmp(version, rollout->order.target) != 0) {
        return false;
    }
    uint32_t width = (uint32_t)ceil(rollout->status.share * count);
    /* During the ramp the same upstreams keep the load of old ones. */
    bool ramping = rollout->status.share > rollout->settings.canary_share;
    uint32_t turn = ramping
                        ? 0
                        : (uint32_t)(rollout_slice_time_us(rollout, now_us) /
                                     ROLLOUT_SLICE_US % count);
    for (uint32_t i = 0; i < count; i++) {
        if (rollout->candidates[i] == id_hash) {
            return (i + count - turn) % count < (width > 0 ? width : 1);
        }
    }
    return false;
}

void
rollout_note_sent(rollout_t *rollout, bool to_new)
{
    rollout->sent[to_new ? ROLLOUT_NEW : ROLLOUT_OLD]++;
    if (rollout_is_active(rollout)) {
        rollout->credit += rollout->status.share;
    }
}

void
rollout_note_answer(rollout_t *rollout, const rollout_answer_t *answer,
                    int64_t now_us)
{
    if (!rollout_is_active(rollout)) {
        return;
    }
    if (rollout->own == NULL) {
        rollout->own = calloc(1, sizeof(*rollout->own));
    }
    if (rollout->report == NULL) {
        rollout->report = calloc(1, sizeof(*rollout->report));
    }
    if (rollout->own != NULL && rollout->report != NULL) {
        rollout_record_note(rollout->own, answer,
                            rollout_slice_time_us(rollout, now_us));
        rollout_report_note(rollout->report, answer);
    }
}

bool
rollout_watch_own(rollout_t *rollout, rollout_finding_t *finding,
                  int64_t now_us)
{
    if (rollout->stopped || rollout->own == NULL ||
        !rollout_is_active(rollout) ||
        now_us - rollout->judged_us < ROLLOUT_SLICE_US / 2) {
        return false;
    }
    rollout->judged_us = now_us;
    *finding = rollout_record_judge(rollout->own, ROLLOUT_ALPHA, true,
                                    rollout_slice_time_us(rollout, now_us));
    rollout->stopped = finding->reason != ROLLOUT_REASON_NONE;
    if (rollout->report != NULL) {
        rollout->report->stopped = rollout->stopped;
    }
    return rollout->stopped;
}

const rollout_report_t *
rollout_own_report(const rollout_t *rollout)
{
    static const rollout_report_t empty;
    return rollout->report != NULL ? rollout->report : &empty;
}

bool
rollout_report_is_due(rollout_t *rollout, int64_t now_us)
{
    int64_t slice = rollout_slice_time_us(rollout, now_us) / ROLLOUT_REPORT_US;
    /* Also before there is a status: the decider writes the first one. */
    if (!order_is_open(rollout) || slice == rollout->reported_slice) {
        return false;
    }
    rollout->reported_slice = slice;
    return true;
}

const rollout_status_t *
rollout_status(const rollout_t *rollout)
{
    return &rollout->status;
}

const rollout_order_t *
rollout_order(const rollout_t *rollout)
{
    return rollout->has_order ? &rollout->order : NULL;
}

bool
rollout_has_stopped(const rollout_t *rollout)
{
    return rollout->stopped;
}

const char *
rollout_usual(const rollout_t *rollout)
{
    return rollout->has_usual ? rollout->usual : NULL;
}

uint64_t
rollout_sent(const rollout_t *rollout, rollout_side_t side)
{
    return rollout->sent[side];
}
