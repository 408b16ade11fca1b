/* The fault soak's own checks: each must notice what it is there for. */
#include "t/lib/suite.h"
#include "t/soak/ledger.h"

#include <stdio.h>

enum { SECOND = 1000000 };

/* One request, what ran of it, and how it ended. */
typedef struct {
    const char *name;
    ledger_kind_t kind;
    uint32_t runs;
    uint32_t rejected;
    uint32_t status;
    const char *stranger; /* an id that arrives besides; NULL: none */
    uint32_t answers;
    uint32_t broken;
} ledger_case_t;

static const ledger_case_t cases[] = {
    {"served", KIND_ONE, 1, 0, 200, NULL, 1, 0},
    {"repeated", KIND_ONE, 3, 0, 200, NULL, 1, 0},
    {"once", KIND_ONCE, 1, 0, 200, NULL, 1, 0},
    {"once, and turned away before", KIND_ONCE, 1, 2, 200, NULL, 1, 0},
    {"once, and ran twice", KIND_ONCE, 2, 0, 200, NULL, 1, 1},
    {"once, not served, and did not run", KIND_ONCE, 0, 1, 503, NULL, 1, 0},
    {"once, refused, and ran", KIND_ONCE, 1, 0, 503, NULL, 1, 1},
    {"once, refused with 429, and ran", KIND_ONCE, 1, 0, 429, NULL, 1, 1},
    {"once, given up, and ran", KIND_ONCE, 1, 0, 504, NULL, 1, 0},
    {"may be repeated, refused, and ran", KIND_ONE, 1, 0, 503, NULL, 1, 0},
    {"an id that nobody sent", KIND_ONE, 1, 0, 200, "r-9", 1, 1},
    {"no id", KIND_ONE, 1, 0, 200, "x", 1, 1},
    {"an id with more", KIND_ONE, 1, 0, 200, "r-1x", 1, 1},
    {"answered twice", KIND_ONE, 1, 0, 200, NULL, 2, 1},
};

START_TEST(test_request)
{
    const ledger_case_t *c = &cases[_i];
    ledger_t *ledger = ledger_new(true);
    ledger_run_t run = {.at_us = 1};
    ledger_entry_t entry = {.kind = c->kind, .sent_us = SECOND};
    uint32_t number = ledger_sent(ledger, &entry);
    for (uint32_t i = 0; i < c->rejected; i++) {
        run.rejected = true;
        ck_assert_ptr_nonnull(ledger_ran(ledger, "r-1", &run));
    }
    for (uint32_t i = 0; i < c->runs; i++) {
        run.rejected = false;
        ck_assert_ptr_nonnull(ledger_ran(ledger, "r-1", &run));
    }
    if (c->stranger != NULL) {
        ck_assert_ptr_null(ledger_ran(ledger, c->stranger, &run));
    }
    for (uint32_t i = 0; i < c->answers; i++) {
        ledger_ended(ledger, number, c->status, 2 * SECOND);
    }
    ledger_judge(ledger, &(ledger_bounds_t){.retry_slack = 10,
                                            .window_us = 10 * SECOND,
                                            .services = 1});
    ck_assert_msg(ledger_broken(ledger) == c->broken, "%s: %u", c->name,
                  ledger_broken(ledger));
    ck_assert_double_eq(ledger_served(ledger, 0, 2 * SECOND),
                        c->status == 200 ? 1 : 0);
    ledger_free(ledger);
}
END_TEST

/* Twenty requests with so many arrivals beyond the first of each. */
typedef struct {
    const char *name;
    uint32_t repeats;
    int64_t apart_us; /* between two of them */
    bool broken;      /* 0.2 of a window's requests and 4 are allowed */
} repeats_case_t;

static const repeats_case_t repeats_cases[] = {
    {"as many as are allowed", 8, 1000, false},
    {"one more", 9, 1000, true},
    {"more, and far apart", 16, 2 * SECOND, false},
};

START_TEST(test_repeats)
{
    const repeats_case_t *c = &repeats_cases[_i];
    ledger_t *ledger = ledger_new(true);
    for (uint32_t i = 0; i < 20; i++) {
        ledger_entry_t entry = {.sent_us = SECOND + i * c->apart_us};
        ledger_run_t run = {.at_us = entry.sent_us};
        char id[16];
        snprintf(id, sizeof(id), "r-%u", ledger_sent(ledger, &entry));
        ledger_ran(ledger, id, &run);
        if (i < c->repeats) {
            ledger_ran(ledger, id, &run);
        }
    }
    ledger_judge(ledger, &(ledger_bounds_t){.retry_ratio = 0.2,
                                            .retry_slack = 4,
                                            .window_us = 10 * SECOND,
                                            .services = 1});
    ck_assert_msg((ledger_broken(ledger) > 0) == c->broken, "%s", c->name);
    ledger_free(ledger);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("ledger");
    tcase_add_loop_test(tests, test_request, 0,
                        sizeof(cases) / sizeof(cases[0]));
    tcase_add_loop_test(tests, test_repeats, 0,
                        sizeof(repeats_cases) / sizeof(repeats_cases[0]));
    return suite_run("ledger", tests);
}
