#include "core/budget.h"

#include <string.h>

void
budget_init(budget_t *budget)
{
    memset(budget, 0, sizeof(*budget));
}

static void
budget_clear_step(budget_t *budget, int64_t step)
{
    uint32_t *first = &budget->first[step % BUDGET_STEPS];
    uint32_t *added = &budget->added[step % BUDGET_STEPS];
    budget->first_sum -= *first;
    budget->added_sum -= *added;
    *first = 0;
    *added = 0;
}

/* Clears the steps that left the window; returns the index of now's step. */
static uint32_t
budget_advance(budget_t *budget, int64_t now_us)
{
    int64_t step = now_us / BUDGET_STEP_US;
    if (step - budget->step >= BUDGET_STEPS) {
        budget_init(budget);
        budget->step = step;
    }
    while (budget->step < step) {
        budget->step++;
        budget_clear_step(budget, budget->step);
    }
    return (uint32_t)(budget->step % BUDGET_STEPS);
}

void
budget_count_first(budget_t *budget, int64_t now_us)
{
    budget->first[budget_advance(budget, now_us)]++;
    budget->first_sum++;
}

bool
budget_take_with_floor(budget_t *budget, uint32_t percent, uint32_t floor,
                       int64_t now_us)
{
    uint32_t slot = budget_advance(budget, now_us);
    uint64_t allowed = budget->first_sum * percent / 100 + floor;
    if (percent == 0 || budget->added_sum >= allowed) {
        return false;
    }
    budget->added[slot]++;
    budget->added_sum++;
    return true;
}

bool
budget_take(budget_t *budget, uint32_t percent, int64_t now_us)
{
    return budget_take_with_floor(budget, percent, BUDGET_FLOOR, now_us);
}

void
budget_return(budget_t *budget, int64_t now_us)
{
    uint32_t slot = budget_advance(budget, now_us);
    if (budget->added[slot] > 0) {
        budget->added[slot]--;
        budget->added_sum--;
    }
}
