#include "core/gate_state.h"

judgement_t
part_judge(gate_t *gate, uint32_t part, int64_t now_us)
{
    gate_part_t *entry = &gate->parts[part];
    verdict_t verdict =
        quarantine_verdict(gate->quarantine, entry->fingerprint, now_us);
    if (verdict == VERDICT_REFUSE) {
        return JUDGE_REFUSE;
    }
    if (verdict == VERDICT_CLEAR || entry->suspect) {
        return JUDGE_GO;
    }
    entry->suspect = quarantine_claim(gate->quarantine, entry->fingerprint);
    return entry->suspect ? JUDGE_GO : JUDGE_HOLD;
}

/* Judge again what was held for a fingerprint whose one run has ended. */
static void
held_review(gate_t *gate, uint64_t fingerprint, int64_t now_us)
{
    uint32_t part = gate->held.first;
    while (part != HEAP_NONE) {
        uint32_t next = gate->parts[part].list_next;
        if (gate->parts[part].fingerprint == fingerprint) {
            judgement_t judgement = part_judge(gate, part, now_us);
            if (judgement == JUDGE_REFUSE) {
                part_refuse(gate, part, PART_QUARANTINED, now_us);
            }
            else if (judgement == JUDGE_GO) {
                part_unqueue(gate, part, now_us);
                part_queue(gate, part, now_us);
            }
        }
        part = next;
    }
}

void
part_release(gate_t *gate, uint32_t part, int64_t now_us)
{
    gate_part_t *entry = &gate->parts[part];
    if (!entry->suspect) {
        return;
    }
    entry->suspect = false;
    quarantine_release(gate->quarantine, entry->fingerprint);
    held_review(gate, entry->fingerprint, now_us);
}

static void
learn_boot(gate_t *gate, target_t *target, uint64_t boot, int64_t now_us)
{
    if (boot == 0) {
        return;
    }
    bool changed = target->boot != 0 && target->boot != boot;
    if (target->boot != 0) {
        crash_watch_boot(&target->crash, gate->quarantine, changed, now_us);
    }
    target->boot = boot;
}

void
part_learn(gate_t *gate, uint32_t part, const gate_result_t *result,
           int64_t now_us)
{
    const gate_part_t *entry = &gate->parts[part];
    target_t *target = &gate->targets[entry->target];
    learn_boot(gate, target, result->boot, now_us);
    if (result->status == PART_OK) {
        quarantine_pass(gate->quarantine, entry->fingerprint, now_us);
    }
    else if (result->status == PART_LOST && !result->not_run) {
        bool restarted = entry->boot != 0 && entry->boot != target->boot;
        crash_loss_t loss = {.fingerprint = entry->fingerprint,
                             .alone = entry->started_alone &&
                                      entry->sent_mark == target->sent,
                             .counted = result->reset || restarted};
        crash_watch_lost(&target->crash, gate->quarantine, &loss, now_us);
    }
}
