/* The fault soak's own checks: each must notice what it is there for. */
#include "t/lib/suite.h"
#include "t/soak/request_log.h"

#include <stdio.h>

enum { SECOND_US = 1000000 };

/* One request, what ran of it, and how it ended. */
typedef struct {
    const char *name;
    request_kind_t kind;
    uint32_t runs;
    uint32_t rejected;
    uint32_t status;
    const char *unknown_id; /* an id that arrives besides; NULL: none */
    uint32_t results;
    uint32_t violations;
} request_case_t;

static const request_case_t cases[] = {
    {"served", KIND_IDEMPOTENT, 1, 0, 200, NULL, 1, 0},
    {"repeated", KIND_IDEMPOTENT, 3, 0, 200, NULL, 1, 0},
    {"once", KIND_NON_IDEMPOTENT, 1, 0, 200, NULL, 1, 0},
    {"once, and turned away before", KIND_NON_IDEMPOTENT, 1, 2, 200, NULL, 1,
     0},
    {"once, and ran twice", KIND_NON_IDEMPOTENT, 2, 0, 200, NULL, 1, 1},
    {"once, not served, and did not run", KIND_NON_IDEMPOTENT, 0, 1, 503, NULL,
     1, 0},
    {"once, refused, and ran", KIND_NON_IDEMPOTENT, 1, 0, 503, NULL, 1, 1},
    {"once, refused with 429, and ran", KIND_NON_IDEMPOTENT, 1, 0, 429, NULL,
     1, 1},
    {"once, given up, and ran", KIND_NON_IDEMPOTENT, 1, 0, 504, NULL, 1, 0},
    {"may be repeated, refused, and ran", KIND_IDEMPOTENT, 1, 0, 503, NULL, 1,
     0},
    {"an id that nobody sent", KIND_IDEMPOTENT, 1, 0, 200, "r-9", 1, 1},
    {"no id", KIND_IDEMPOTENT, 1, 0, 200, "x", 1, 1},
    {"an id with more", KIND_IDEMPOTENT, 1, 0, 200, "r-1x", 1, 1},
    {"answered twice", KIND_IDEMPOTENT, 1, 0, 200, NULL, 2, 1},
};

START_TEST(test_request)
{
    const request_case_t *c = &cases[_i];
    request_log_t *log = request_log_new(true);
    request_arrival_t arrival = {.arrived_us = 1};
    request_log_entry_t entry = {.kind = c->kind, .sent_us = SECOND_US};
    uint32_t number = request_log_add_request(log, &entry);
    for (uint32_t i = 0; i < c->rejected; i++) {
        arrival.rejected = true;
        ck_assert_ptr_nonnull(request_log_add_arrival(log, "r-1", &arrival));
    }
    for (uint32_t i = 0; i < c->runs; i++) {
        arrival.rejected = false;
        ck_assert_ptr_nonnull(request_log_add_arrival(log, "r-1", &arrival));
    }
    if (c->unknown_id != NULL) {
        ck_assert_ptr_null(
            request_log_add_arrival(log, c->unknown_id, &arrival));
    }
    for (uint32_t i = 0; i < c->results; i++) {
        request_log_set_result(log, number, c->status, 2 * SECOND_US);
    }
    request_log_check(log, &(request_log_bounds_t){.retry_slack = 10,
                                                   .window_us = 10 * SECOND_US,
                                                   .services = 1});
    ck_assert_msg(request_log_violation_count(log) == c->violations, "%s: %u",
                  c->name, request_log_violation_count(log));
    ck_assert_double_eq(request_log_success_ratio(log, 0, 2 * SECOND_US),
                        c->status == 200 ? 1 : 0);
    request_log_free(log);
}
END_TEST

/* Twenty requests with so many arrivals beyond the first of each. */
typedef struct {
    const char *name;
    uint32_t repeats;
    int64_t interval_us; /* between two of them */
    bool exceeds_budget; /* 0.2 of a window's requests and 4 are allowed */
} repeats_case_t;

static const repeats_case_t repeats_cases[] = {
    {"as many as are allowed", 8, 1000, false},
    {"one more", 9, 1000, true},
    {"more, and far apart", 16, 2 * SECOND_US, false},
};

START_TEST(test_repeats)
{
    const repeats_case_t *c = &repeats_cases[_i];
    request_log_t *log = request_log_new(true);
    for (uint32_t i = 0; i < 20; i++) {
        request_log_entry_t entry = {.sent_us =
                                         SECOND_US + i * c->interval_us};
        request_arrival_t arrival = {.arrived_us = entry.sent_us};
        char id[16];
        snprintf(id, sizeof(id), "r-%u", request_log_add_request(log, &entry));
        request_log_add_arrival(log, id, &arrival);
        if (i < c->repeats) {
            request_log_add_arrival(log, id, &arrival);
        }
    }
    request_log_check(log, &(request_log_bounds_t){.retry_ratio = 0.2,
                                                   .retry_slack = 4,
                                                   .window_us = 10 * SECOND_US,
                                                   .services = 1});
    ck_assert_msg((request_log_violation_count(log) > 0) == c->exceeds_budget,
                  "%s", c->name);
    request_log_free(log);
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
