#include "core/gate_state.h"

quarantine_action_t
part_check_quarantine(gate_t *gate, uint32_t part, int64_t now_us)
{
    gate_part_t *entry = &gate->parts[part];
    quarantine_status_t status =
        quarantine_status(gate->quarantine, entry->fingerprint, now_us);
    if (status == QUARANTINE_REFUSED) {
        return QUARANTINE_ACTION_REFUSE;
    }
    if (status == QUARANTINE_CLEAR || entry->suspect) {
        return QUARANTINE_ACTION_ADMIT;
    }
    entry->suspect = quarantine_claim(gate->quarantine, entry->fingerprint);
    return entry->suspect ? QUARANTINE_ACTION_ADMIT : QUARANTINE_ACTION_HOLD;
}

/* Checks the held parts of a fingerprint again after its claim ended. */
static void
held_recheck(gate_t *gate, uint64_t fingerprint, int64_t now_us)
{
    uint32_t part = gate->held.first;
    while (part != HEAP_NONE) {
        uint32_t next = gate->parts[part].list_next;
        if (gate->parts[part].fingerprint == fingerprint) {
            quarantine_action_t action =
                part_check_quarantine(gate, part, now_us);
            if (action == QUARANTINE_ACTION_REFUSE) {
                part_refuse(gate, part, PART_QUARANTINED, now_us);
            }
            else if (action == QUARANTINE_ACTION_ADMIT) {
                part_dequeue(gate, part, now_us);
                part_enqueue(gate, part, now_us);
            }
        }
        part = next;
    }
}

void
part_release_claim(gate_t *gate, uint32_t part, int64_t now_us)
{
    gate_part_t *entry = &gate->parts[part];
    if (!entry->suspect) {
        return;
    }
    entry->suspect = false;
    quarantine_release(gate->quarantine, entry->fingerprint);
    held_recheck(gate, entry->fingerprint, now_us);
}

static void
target_record_boot(gate_t *gate, target_t *target, uint64_t boot,
                   int64_t now_us)
{
    if (boot == 0) {
        return;
    }
    bool changed = target->boot != 0 && target->boot != boot;
    if (target->boot != 0) {
        crash_watch_resolve(&target->crash, gate->quarantine, changed, now_us);
    }
    target->boot = boot;
}

void
part_record_result(gate_t *gate, uint32_t part, const gate_result_t *result,
                   int64_t now_us)
{
    const gate_part_t *entry = &gate->parts[part];
    target_t *target = &gate->targets[entry->target];
    target_record_boot(gate, target, result->boot, now_us);
    if (result->status == PART_OK) {
        quarantine_record_success(gate->quarantine, entry->fingerprint,
                                  now_us);
    }
    else if (result->status == PART_LOST && !result->not_run) {
        bool restarted = entry->boot != 0 && entry->boot != target->boot;
        crash_loss_t loss = {.fingerprint = entry->fingerprint,
                             .alone = entry->started_alone &&
                                      entry->sent_at_start == target->sent,
                             .counted = result->reset || restarted};
        crash_watch_record_loss(&target->crash, gate->quarantine, &loss,
                                now_us);
    }
}
