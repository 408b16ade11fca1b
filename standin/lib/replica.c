#include "standin/lib/replica.h"

#include <string.h>
#include <xxhash.h>

enum {
    COLD_SLOTS = 1,
    COLD_PARTS = 20,
    HELD_VERSIONS = 2,
    STRAGGLER_ONE_IN = 100, /* one part in this many is a straggler */
    STRAGGLER_FACTOR = 10,  /* of a straggler's service time */
    /* Requests above the cold limit are not violations for this long after
       cold was first reported, since they may have been in flight. */
    COLD_REPORT_GRACE_US = 20000
};

static const char *const run_status_names[RUN_STATUS_COUNT] = {
    [RUN_OK] = "ok",         [RUN_NO_VERSION] = "no_version",
    [RUN_MOVED] = "moved",   [RUN_EXPIRED] = "expired",
    [RUN_FAILED] = "failed",
};

const char *
run_status_name(run_status_t status)
{
    return run_status_names[status];
}

/* Returns a pseudo-random number in [0, 1). */
static double
replica_draw(replica_t *replica)
{
    uint64_t bits =
        XXH64(&replica->draws, sizeof(replica->draws), replica->seed);
    replica->draws++;
    return (double)(bits >> 11) / (double)(UINT64_C(1) << 53);
}

static uint64_t
next_boot_id(const replica_t *replica)
{
    return XXH64(&replica->boot, sizeof(replica->boot), replica->seed) | 1;
}

void
replica_init(replica_t *replica, const upstream_plan_t *plan, uint64_t seed,
             uint64_t version, uint64_t generation)
{
    *replica = (replica_t){
        .plan = plan,
        .state = {.slow = 1.0,
                  .version = version,
                  .held = HELD_VERSIONS,
                  .generation = generation},
        .cold_slots = COLD_SLOTS,
        .cold_parts = COLD_PARTS,
        .seed = XXH64(plan->name, strlen(plan->name), seed),
    };
    replica->boot = next_boot_id(replica);
}

static bool
version_is_held(const replica_t *replica, uint64_t version)
{
    const replica_state_t *state = &replica->state;
    return version <= state->version && version + state->held > state->version;
}

static run_status_t
part_check(const replica_t *replica, const run_part_t *part, int64_t now_us)
{
    const replica_state_t *state = &replica->state;
    if (part->deadline_us <= now_us) {
        return RUN_EXPIRED;
    }
    if (part->generation != 0 && part->generation != state->generation) {
        return RUN_MOVED;
    }
    if (!plan_serves(replica->plan->service, state->generation,
                     replica->plan->group, part->range)) {
        return RUN_MOVED;
    }
    return version_is_held(replica, part->version) ? RUN_OK : RUN_NO_VERSION;
}

size_t
replica_check(const replica_t *replica, run_part_t *parts, size_t count,
              int64_t now_us)
{
    size_t runs = 0;
    for (size_t i = 0; i < count; i++) {
        if (parts[i].version == 0) {
            parts[i].version = replica->state.version;
        }
        parts[i].status = part_check(replica, &parts[i], now_us);
        runs += parts[i].status == RUN_OK;
    }
    return runs;
}

admit_t
replica_admit(replica_t *replica, size_t slots, int64_t now_us)
{
    const replica_state_t *state = &replica->state;
    if (state->shed && slots > 0) {
        return ADMIT_SHED;
    }
    if (state->cold && replica->running + slots > replica->cold_slots) {
        int64_t reported_us = replica->cold_reported_us;
        if (reported_us == 0) {
            replica->cold_reported_us = now_us;
        }
        bool reported =
            reported_us != 0 && now_us > reported_us + COLD_REPORT_GRACE_US;
        return reported ? ADMIT_SHED_COLD_REPORTED : ADMIT_SHED_COLD;
    }
    if (replica->running + slots > replica->plan->service->slots) {
        return ADMIT_SHED;
    }
    return ADMIT_RUN;
}

static int64_t
service_us(replica_t *replica)
{
    double base = (double)replica->plan->service->service_us;
    double spread = 0.7 + 0.6 * replica_draw(replica);
    bool straggler = replica_draw(replica) < 1.0 / STRAGGLER_ONE_IN;
    double factor = straggler ? STRAGGLER_FACTOR : 1;
    return (int64_t)(base * spread * factor * replica->state.slow);
}

int64_t
replica_start(replica_t *replica, run_part_t *parts, size_t count,
              int64_t now_us)
{
    int64_t last_us = now_us;
    for (size_t i = 0; i < count; i++) {
        if (parts[i].status != RUN_OK) {
            continue;
        }
        replica->running++;
        int64_t end_us = now_us + service_us(replica);
        if (end_us > parts[i].deadline_us) {
            end_us = parts[i].deadline_us;
            parts[i].status = RUN_FAILED;
        }
        last_us = end_us > last_us ? end_us : last_us;
    }
    return last_us;
}

void
replica_finish(replica_t *replica, size_t slots)
{
    replica->running -= (uint32_t)slots;
    if (!replica->state.cold) {
        return;
    }
    replica->cold_finished += (uint32_t)slots;
    if (replica->cold_finished >= replica->cold_parts) {
        replica->state.cold = false;
    }
}

void
replica_drop(replica_t *replica, size_t slots)
{
    uint32_t dropped = (uint32_t)slots;
    replica->running -=
        dropped < replica->running ? dropped : replica->running;
}

static void
replica_make_cold(replica_t *replica)
{
    replica->state.cold = true;
    replica->cold_finished = 0;
    replica->cold_reported_us = 0;
}

void
replica_crash(replica_t *replica, int64_t now_us)
{
    replica->boot = next_boot_id(replica);
    replica->running = 0;
    replica_make_cold(replica);
    /* The closed connections tell every caller of the restart, so cold counts
       as reported. */
    replica->cold_reported_us = now_us;
}

void
replica_set(replica_t *replica, const replica_state_t *state, int64_t now_us)
{
    bool turns_cold = state->cold && !replica->state.cold;
    bool leaves = state->drain && !replica->state.drain;
    replica->state = *state;
    if (turns_cold) {
        replica_make_cold(replica);
    }
    if (leaves) {
        replica->drain_us = now_us;
    }
}

bool
replica_body_crashes(const char *body)
{
    static const char marker[] = "poison:";
    return strncmp(body, marker, sizeof(marker) - 1) == 0;
}
