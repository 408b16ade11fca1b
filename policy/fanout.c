#include "policy/fanout.h"

/* Whether the part would be in time if its shard had no queue, and is not. */
static bool
part_is_held_up(const fanout_part_t *part, int64_t goal_left_us)
{
    return part->service_us <= goal_left_us &&
           part->wait_us + part->service_us > goal_left_us;
}

fanout_plan_t
fanout_plan(fanout_part_t *parts, uint32_t count, uint32_t min_parts,
            int64_t goal_left_us)
{
    fanout_plan_t plan = {0};
    uint32_t silent = 0;
    for (uint32_t i = 0; i < count; i++) {
        silent += parts[i].is_silent ? 1 : 0;
        parts[i].left_out =
            !parts[i].is_silent && part_is_held_up(&parts[i], goal_left_us);
        plan.left_out += parts[i].left_out ? 1 : 0;
    }
    uint32_t expected = count - silent;
    /* If too few respond in any case, the query is a probe; see
       request_is_hopeless. */
    plan.admitted =
        expected < min_parts || expected - plan.left_out >= min_parts;
    return plan;
}
