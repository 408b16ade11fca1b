#include "policy/reach.h"

static void
reach_enter(reach_t *reach, reach_state_t state, int64_t now_us)
{
    reach->state = state;
    reach->since_us = now_us;
}

/* Forget what raised the suspicion. */
static void
reach_clear(reach_t *reach, int64_t now_us)
{
    reach->unanswered = 0;
    reach->failed_count = 0;
    reach->cleared_us = now_us;
    reach_enter(reach, REACH_OK, now_us);
}

void
reach_note_sent(reach_t *reach, int64_t overdue_us, int64_t now_us)
{
    if (now_us - reach->sent_us > REACH_IDLE_US) {
        reach->unanswered = 0;
    }
    if (reach->unanswered++ == 0 || overdue_us < reach->overdue_us) {
        reach->overdue_us = overdue_us;
    }
    reach->sent_us = now_us;
}

void
reach_note_response(reach_t *reach, int64_t now_us)
{
    reach->unanswered = 0;
    if (reach->state == REACH_CHECKING &&
        reach->cause == REACH_CAUSE_SILENCE) {
        reach_clear(reach, now_us);
    }
}

void
reach_note_connect(reach_t *reach, uint64_t key, bool connected,
                   int64_t now_us)
{
    if (connected) {
        reach->failed_count = 0;
        return;
    }
    for (uint32_t i = 0; i < reach->failed_count; i++) {
        if (reach->failed[i] == key) {
            return;
        }
    }
    if (reach->failed_count == 0) {
        reach->failing_since_us = now_us;
    }
    if (reach->failed_count < REACH_CONNECTS_MIN) {
        reach->failed[reach->failed_count++] = key;
    }
}

static reach_cause_t
reach_suspicion(const reach_t *reach, int64_t now_us)
{
    if (reach->cleared_us > 0 &&
        now_us - reach->cleared_us < REACH_CLEARED_US) {
        return REACH_CAUSE_NONE;
    }
    if (reach->unanswered >= REACH_SENDS_MIN && now_us >= reach->overdue_us &&
        now_us - reach->sent_us <= REACH_IDLE_US) {
        return REACH_CAUSE_SILENCE;
    }
    if (reach->failed_count >= REACH_CONNECTS_MIN &&
        now_us - reach->failing_since_us >= REACH_CONNECT_FAILING_US) {
        return REACH_CAUSE_CONNECTS;
    }
    return REACH_CAUSE_NONE;
}

uint32_t
reach_probes_due(reach_t *reach, int64_t now_us)
{
    if (reach->state == REACH_OK) {
        reach_cause_t cause = reach_suspicion(reach, now_us);
        if (cause == REACH_CAUSE_NONE) {
            return 0;
        }
        reach->cause = cause;
        reach_enter(reach, REACH_CHECKING, now_us);
        reach->probes_out = REACH_PROBES;
        return REACH_PROBES;
    }
    if (reach->state == REACH_CUT && now_us >= reach->probe_us) {
        reach->probe_us = now_us + REACH_PROBE_INTERVAL_US;
        reach->probes_out++;
        return 1;
    }
    return 0;
}

void
reach_note_probe(reach_t *reach, bool connected, int64_t now_us)
{
    if (reach->probes_out > 0) {
        reach->probes_out--;
    }
    if (reach->state == REACH_OK) {
        return; /* a probe that ends after the suspicion */
    }
    if (connected) {
        reach_clear(reach, now_us);
    }
    else if (reach->state == REACH_CHECKING && reach->probes_out == 0) {
        reach_enter(reach, REACH_CUT, now_us);
        reach->probe_us = now_us + REACH_PROBE_INTERVAL_US;
    }
}

bool
reach_is_cut_off(const reach_t *reach)
{
    return reach->state == REACH_CUT || (reach->state == REACH_CHECKING &&
                                         reach->cause == REACH_CAUSE_SILENCE);
}
