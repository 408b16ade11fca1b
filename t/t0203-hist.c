/* Latency histogram: accuracy, clamping, decay and merging. */
#include "core/hist.h"
#include "t/lib/suite.h"

typedef struct {
    const char *name;
    int64_t value_us;
    int64_t expected_us;
} hist_case_t;

static const hist_case_t hist_cases[] = {
    {"below the minimum", -5, 1},
    {"minimum", 1, 1},
    {"last value below 32", 31, 31},
    {"first wide bucket", 64, 64},
    {"a millisecond", 1000, 1000},
    {"not round", 123457, 123457},
    {"ten seconds", 10000000, 10000000},
    {"maximum", HIST_MAX_US, HIST_MAX_US},
    {"above the maximum", INT64_MAX, HIST_MAX_US},
};

START_TEST(test_one_value)
{
    const hist_case_t *c = &hist_cases[_i];
    hist_t hist;
    hist_init(&hist);
    ck_assert_int_eq(hist_quantile(&hist, 0.5), 0);
    hist_add(&hist, c->value_us);
    int64_t got_us = hist_quantile(&hist, 0.5);
    ck_assert_msg(got_us >= c->expected_us, "%s: %ld", c->name, (long)got_us);
    ck_assert_msg(got_us * 100 <= c->expected_us * 104, "%s: %ld", c->name,
                  (long)got_us);
    ck_assert_uint_eq(hist_count_below(&hist, c->expected_us), 1);
}
END_TEST

START_TEST(test_quantiles)
{
    hist_t hist;
    hist_init(&hist);
    for (int64_t i = 1; i <= 10000; i++) {
        hist_add(&hist, i * 10);
    }
    static const double quantiles[] = {0.01, 0.5, 0.9, 0.99, 0.999, 1.0};
    for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        double got_us = (double)hist_quantile(&hist, quantiles[i]);
        double exact_us = quantiles[i] * 100000;
        ck_assert_double_ge(got_us, exact_us * 0.99);
        ck_assert_double_le(got_us, exact_us * 1.04);
    }
    ck_assert_int_eq(hist_mean(&hist), 50005);
}
END_TEST

START_TEST(test_decay_and_merge)
{
    hist_t old;
    hist_t recent;
    hist_init(&old);
    hist_init(&recent);
    for (int i = 0; i < 1000; i++) {
        hist_add(&old, 100);
        hist_add(&recent, 100000);
    }
    hist_decay(&old);
    ck_assert_uint_eq(old.count, 500);
    ck_assert_int_eq(hist_mean(&old), 100);
    hist_merge(&recent, &old);
    ck_assert_uint_eq(recent.count, 1500);
    ck_assert_int_le(hist_quantile(&recent, 0.3), 104);
    ck_assert_int_ge(hist_quantile(&recent, 0.4), 100000);
    ck_assert_uint_eq(hist_count_below(&recent, 200), 500);
}
END_TEST

START_TEST(test_full_bucket)
{
    hist_t hist;
    hist_init(&hist);
    hist_add(&hist, 1);
    hist.buckets[1] = UINT32_MAX;
    hist.count = UINT32_MAX;
    hist_add(&hist, 1);
    ck_assert_uint_eq(hist.buckets[1], UINT32_MAX / 2 + 1);
    ck_assert_uint_eq(hist.count, hist.buckets[1]);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("hist");
    tcase_add_loop_test(tests, test_one_value, 0,
                        sizeof(hist_cases) / sizeof(hist_cases[0]));
    tcase_add_test(tests, test_quantiles);
    tcase_add_test(tests, test_decay_and_merge);
    tcase_add_test(tests, test_full_bucket);
    return suite_run("hist", tests);
}
