/* Budget of hedges and retries over a sliding window. */
#include "core/budget.h"
#include "t/lib/suite.h"

#include <xxhash.h>

typedef struct {
    const char *name;
    uint32_t first;
    uint32_t percent;
    int64_t wait_us; /* from the first sends to the added sends */
    uint32_t taken;
} budget_case_t;

static const budget_case_t budget_cases[] = {
    {"five percent and the floor", 1000, 5, 0, 50 + BUDGET_FLOOR},
    {"the floor alone", 0, 5, 0, BUDGET_FLOOR},
    {"none at zero percent", 1000, 0, 0, 0},
    {"first sends still in the window", 1000, 5, 9LL * BUDGET_STEP_US,
     50 + BUDGET_FLOOR},
    {"first sends out of the window", 1000, 5, 10LL * BUDGET_STEP_US,
     BUDGET_FLOOR},
    {"idle for many windows", 1000, 5, 1000LL * BUDGET_STEP_US, BUDGET_FLOOR},
};

START_TEST(test_budget)
{
    const budget_case_t *c = &budget_cases[_i];
    budget_t budget;
    budget_init(&budget);
    int64_t now_us = 500;
    for (uint32_t i = 0; i < c->first; i++) {
        budget_count_first(&budget, now_us);
    }
    now_us += c->wait_us;
    uint32_t taken = 0;
    while (budget_take(&budget, c->percent, now_us)) {
        taken++;
    }
    ck_assert_msg(taken == c->taken, "%s: %u", c->name, taken);
    if (taken > 0) {
        budget_return(&budget, now_us);
        ck_assert(budget_take(&budget, c->percent, now_us));
        ck_assert(!budget_take(&budget, c->percent, now_us));
    }
}
END_TEST

enum { TICKS = 6000, TICK_US = 10000, WINDOW_TICKS = 900 };

/*
 * Under random traffic the added sends of any nine seconds stay within their
 * percentage of the first sends of the last ten, plus the floor.
 */
START_TEST(test_any_window)
{
    static uint32_t first[TICKS];
    static uint32_t added[TICKS];
    budget_t budget;
    budget_init(&budget);
    uint64_t total = 0;
    for (uint32_t i = 0; i < TICKS; i++) {
        uint64_t hash = XXH64(&i, sizeof(i), (uint64_t)_i);
        int64_t now_us = (int64_t)i * TICK_US;
        first[i] = (i / 1000) % 2 == 0 ? (uint32_t)(hash % 20) : 0;
        for (uint32_t n = 0; n < first[i]; n++) {
            budget_count_first(&budget, now_us);
        }
        added[i] = 0;
        for (uint32_t n = 0; n < hash % 7; n++) {
            added[i] += budget_take(&budget, 10, now_us) ? 1 : 0;
        }
        total += added[i];
    }
    ck_assert_uint_gt(total, 100);
    uint64_t window_first = 0;
    uint64_t window_added = 0;
    for (uint32_t i = 0; i < TICKS; i++) {
        window_added += added[i];
        window_added -= i >= WINDOW_TICKS ? added[i - WINDOW_TICKS] : 0;
        window_first += first[i];
        window_first -=
            i >= WINDOW_TICKS + 100 ? first[i - WINDOW_TICKS - 100] : 0;
        ck_assert_uint_le(window_added, window_first / 10 + BUDGET_FLOOR);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("budget");
    tcase_add_loop_test(tests, test_budget, 0,
                        sizeof(budget_cases) / sizeof(budget_cases[0]));
    tcase_add_loop_test(tests, test_any_window, 0, 5);
    return suite_run("budget", tests);
}
