/*
 * Budget for the hedges and retries (added sends) of one service: over a
 * sliding window they stay within a percentage of the first sends. A small
 * floor is added, so that a service with few requests can hedge or retry too.
 *
 *     budget_t budget;
 *     budget_init(&budget);
 *     budget_count_first(&budget, now_us); // for each first send
 *     if (budget_take(&budget, row->added_load_percent, now_us)) hedge();
 *     budget_return(&budget, now_us);      // if the hedge was not sent
 */
#ifndef CORE_BUDGET_H
#define CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum {
    BUDGET_STEPS = 10,
    BUDGET_STEP_US = 1000000, /* the window has BUDGET_STEPS steps */
    BUDGET_FLOOR = 2          /* added sends allowed in any window */
};

typedef struct {
    int64_t step;                 /* newest step: its time / BUDGET_STEP_US */
    uint32_t first[BUDGET_STEPS]; /* first sends, by step % BUDGET_STEPS */
    uint32_t added[BUDGET_STEPS]; /* added sends, likewise */
    uint64_t first_sum;
    uint64_t added_sum;
} budget_t;

void budget_init(budget_t *budget);

/* Counts a first send. now_us must not go back by more than the window. */
void budget_count_first(budget_t *budget, int64_t now_us);

/*
 * Counts an added send if the budget allows one more; returns whether it did.
 * At 0 percent no added send is allowed, not even the floor.
 */
bool budget_take(budget_t *budget, uint32_t percent, int64_t now_us);

/* Like budget_take, with the given floor in place of BUDGET_FLOOR. */
bool budget_take_with_floor(budget_t *budget, uint32_t percent, uint32_t floor,
                            int64_t now_us);

/* Takes back an added send that was counted but not sent. */
void budget_return(budget_t *budget, int64_t now_us);

#endif
