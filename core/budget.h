/*
 * Budget for hedges and retries of one service: over a sliding window they
 * stay within a percentage of the first sends, plus a small floor so that a
 * service with few requests can use any.
 *
 *     budget_t budget;
 *     budget_init(&budget);
 *     budget_count_first(&budget, now_us);                 // each first send
 *     if (budget_take(&budget, row->added_load_percent, now_us)) hedge();
 *     budget_return(&budget, now_us);                // it was not sent
 */
#ifndef CORE_BUDGET_H
#define CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum {
    BUDGET_STEPS = 10,
    BUDGET_STEP_US = 1000000, /* the window is BUDGET_STEPS of these */
    BUDGET_FLOOR = 2          /* added sends a window allows in any case */
};

typedef struct {
    int64_t step; /* index of the newest step in time */
    uint32_t first[BUDGET_STEPS];
    uint32_t added[BUDGET_STEPS];
    uint64_t first_sum;
    uint64_t added_sum;
} budget_t;

void budget_init(budget_t *budget);

/* Count a first send. now_us must not go back by more than the window. */
void budget_count_first(budget_t *budget, int64_t now_us);

/* Whether one more added send fits; if so it is counted. At 0 none does. */
bool budget_take(budget_t *budget, uint32_t percent, int64_t now_us);

/* As budget_take, with a floor of its own in place of BUDGET_FLOOR. */
bool budget_take_with_floor(budget_t *budget, uint32_t percent, uint32_t floor,
                            int64_t now_us);

/* A send that was counted did not take place. */
void budget_return(budget_t *budget, int64_t now_us);

#endif
