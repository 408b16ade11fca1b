/*
 * The checks of the fault soak's request log report each violation, and only
 * violations.
 */
#include "t/lib/suite.h"
#include "t/soak/request_log.h"

#include <stdio.h>

enum { SECOND_US = 1000000 };

/* One request, its arrivals and its results. */
typedef struct {
    const char *name;
    request_kind_t kind;
    uint32_t runs;     /* arrivals that ran */
    uint32_t rejected; /* arrivals before these that did not run */
    uint32_t status;
    const char *unknown_id; /* arrives in addition; NULL: none */
    uint32_t results;       /* how often the result is set */
    uint32_t violations;
} request_case_t;

static const request_case_t cases[] = {
    {"idempotent, runs once", KIND_IDEMPOTENT, 1, 0, 200, NULL, 1, 0},
    {"idempotent, runs three times", KIND_IDEMPOTENT, 3, 0, 200, NULL, 1, 0},
    {"non-idempotent", KIND_NON_IDEMPOTENT, 1, 0, 200, NULL, 1, 0},
    {"non-idempotent, runs after two rejections", KIND_NON_IDEMPOTENT, 1, 2,
     200, NULL, 1, 0},
    {"non-idempotent, runs twice", KIND_NON_IDEMPOTENT, 2, 0, 200, NULL, 1, 1},
    {"non-idempotent, refused, does not run", KIND_NON_IDEMPOTENT, 0, 1, 503,
     NULL, 1, 0},
    {"non-idempotent, refused with 503, runs", KIND_NON_IDEMPOTENT, 1, 0, 503,
     NULL, 1, 1},
    {"non-idempotent, refused with 429, runs", KIND_NON_IDEMPOTENT, 1, 0, 429,
     NULL, 1, 1},
    {"non-idempotent, times out with 504, runs", KIND_NON_IDEMPOTENT, 1, 0,
     504, NULL, 1, 0},
    {"idempotent, refused, runs", KIND_IDEMPOTENT, 1, 0, 503, NULL, 1, 0},
    {"unknown id", KIND_IDEMPOTENT, 1, 0, 200, "r-9", 1, 1},
    {"malformed id", KIND_IDEMPOTENT, 1, 0, 200, "x", 1, 1},
    {"id with a suffix", KIND_IDEMPOTENT, 1, 0, 200, "r-1x", 1, 1},
    {"two results", KIND_IDEMPOTENT, 1, 0, 200, NULL, 2, 1},
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

/* Twenty requests, of which the first ones arrive twice. */
typedef struct {
    const char *name;
    uint32_t repeats;    /* number of requests that arrive twice */
    int64_t interval_us; /* between two requests */
    bool exceeds_budget; /* of 0.2 repeats per request of a window, plus 4 */
} repeats_case_t;

static const repeats_case_t repeats_cases[] = {
    {"as many as the budget allows", 8, 1000, false},
    {"one more than the budget allows", 9, 1000, true},
    {"more than 8, but spread over several windows", 16, 2 * SECOND_US, false},
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
    TCase *tests = tcase_create("request-log");
    tcase_add_loop_test(tests, test_request, 0,
                        sizeof(cases) / sizeof(cases[0]));
    tcase_add_loop_test(tests, test_repeats, 0,
                        sizeof(repeats_cases) / sizeof(repeats_cases[0]));
    return suite_run("request-log", tests);
}
