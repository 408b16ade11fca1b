#include "core/gate_state.h"

#include <string.h>

enum {
    /* Most connections kept open to a ramping upstream. */
    COLD_CONNECTIONS_HELD_MAX = 2,
    /* Connections allowed above the bound of a ramping upstream. */
    COLD_CONNECTIONS_SPARE = 2
};

void
gate_record_health(gate_t *gate, const char *upstream, bool cold,
                   bool draining, int64_t now_us)
{
    gate->now_us = now_us;
    uint32_t target = target_find(gate, upstream);
    if (target != HEAP_NONE) {
        target_t *health_target = &gate->targets[target];
        cold_record_health(&health_target->cold, &health_target->limits, cold,
                           draining, now_us);
        target_update(gate, target, now_us);
        target_refuse_unservable(gate, target, now_us);
    }
}

void
gate_add_quarantine(gate_t *gate, uint64_t fingerprint, int64_t now_us)
{
    quarantine_add(gate->quarantine, fingerprint, now_us);
}

int64_t
gate_quarantine_left_us(const gate_t *gate, uint64_t fingerprint,
                        int64_t now_us)
{
    return quarantine_left_us(gate->quarantine, fingerprint, now_us);
}

size_t
gate_take_new_quarantines(gate_t *gate, uint64_t *out, size_t max)
{
    return quarantine_take_new(gate->quarantine, out, max);
}

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
    return a < b ? a : b;
}

void
gate_connections(const gate_t *gate, const char *upstream, uint32_t *held,
                 uint32_t *max)
{
    *held = 0;
    *max = 0;
    uint32_t index = target_find(gate, upstream);
    if (index == HEAP_NONE || !gate->targets[index].owned ||
        gate->targets[index].unavailable) {
        return;
    }
    const target_t *target = &gate->targets[index];
    *held = target->held_connections;
    *max = target->max_connections;
    if (target->cold.ramping) {
        *held = min_u32(*held, COLD_CONNECTIONS_HELD_MAX);
        *max = min_u32(*max, target->cold.bound + COLD_CONNECTIONS_SPARE);
    }
}

size_t
gate_report(const gate_t *gate, gate_upstream_t *out, size_t max)
{
    size_t count = 0;
    for (uint32_t i = 0; i < gate->target_count; i++) {
        const target_t *target = &gate->targets[i];
        if (!target->owned) {
            continue;
        }
        if (count++ >= max) {
            continue;
        }
        gate_upstream_t *report = &out[count - 1];
        *report = (gate_upstream_t){
            .slots =
                target->unavailable
                    ? 0
                    : cold_bound(&target->cold, &target->limits, gate->now_us),
            .in_progress = target->in_progress,
            .cold = target->cold.cold,
            .shedding = gate->now_us < cold_blocked_until(&target->cold),
            .sent = target->sent,
            .refused = target->refused};
        memcpy(report->name, target->name, sizeof(report->name));
        for (class_t class = 0; class < CLASS_COUNT; class ++) {
            report->waiting += target->waiting[class];
        }
    }
    return count;
}
