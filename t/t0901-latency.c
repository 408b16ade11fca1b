/* Recent latencies of a replica: accuracy, bucket edges, decay and size. */
#include "core/hist.h"
#include "core/replica.h"
#include "t/lib/suite.h"

#include <stdlib.h>
#include <xxhash.h>

enum { REPLICA_MAX_BYTES = 208 };

typedef struct {
    const char *name;
    int64_t typical_us;
    int64_t straggler_us;
    unsigned straggler_percent;
    size_t samples;
} mix_case_t;

/* The first case never fills a bucket; the others decay many times. */
static const mix_case_t mixes[] = {
    {"few samples", 3000, 3000, 0, 100},
    {"no stragglers", 3000, 3000, 0, 50000},
    {"one in a hundred", 3000, 30000, 1, 50000},
    {"one in ten", 3000, 30000, 10, 50000},
    {"fast", 100, 1000, 10, 50000},
    {"slow", 200000, 2000000, 10, 50000},
};

static int64_t
mix_draw_us(const mix_case_t *c, uint64_t i)
{
    uint64_t draw = XXH64(&i, sizeof(i), 7);
    int64_t middle_us =
        draw % 100 < c->straggler_percent ? c->straggler_us : c->typical_us;
    return middle_us / 2 + (int64_t)((draw >> 16) % (uint64_t)middle_us);
}

START_TEST(test_quantiles_agree_with_histogram)
{
    const mix_case_t *c = &mixes[_i];
    static const double quantiles[] = {0.1, 0.5, 0.95};
    latency_t latency = {0};
    hist_t hist;
    hist_init(&hist);
    for (uint64_t i = 0; i < c->samples; i++) {
        int64_t value_us = mix_draw_us(c, i);
        latency_add(&latency, value_us);
        hist_add(&hist, value_us);
    }
    for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        double got_us = (double)latency_quantile(&latency, quantiles[i]);
        double want_us = (double)hist_quantile(&hist, quantiles[i]);
        ck_assert_msg(got_us > 0.8 * want_us && got_us < 1.2 * want_us,
                      "%s: quantile %.2f is %.0f us, not %.0f us", c->name,
                      quantiles[i], got_us, want_us);
    }
}
END_TEST

typedef struct {
    int64_t value_us;
    int64_t top_us;
} edge_case_t;

static const edge_case_t edges[] = {
    {-1, 63},
    {0, 63},
    {63, 63},
    {64, 71},
    {71, 71},
    {72, 79},
    {127, 127},
    {128, 143},
    {16777215, 16777215},
    {INT64_MAX, 16777215},
};

START_TEST(test_bucket_edges)
{
    latency_t latency = {0};
    ck_assert_int_eq(latency_quantile(&latency, 0.5), 0);
    latency_add(&latency, edges[_i].value_us);
    ck_assert_int_eq(latency_quantile(&latency, 0.0), edges[_i].top_us);
    ck_assert_int_eq(latency_quantile(&latency, 1.0), edges[_i].top_us);
}
END_TEST

/* The median follows a replica that became slow within 600 replies. */
START_TEST(test_old_samples_decay)
{
    latency_t latency = {0};
    for (size_t i = 0; i < 100000; i++) {
        latency_add(&latency, 1000);
    }
    for (size_t i = 0; i < 600; i++) {
        latency_add(&latency, 50000);
    }
    ck_assert_int_ge(latency_quantile(&latency, 0.5), 50000);
}
END_TEST

/* Every worker keeps a replica_t for each upstream, so its size is limited. */
START_TEST(test_replica_stays_small)
{
    ck_assert_uint_le(sizeof(replica_t), REPLICA_MAX_BYTES);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("latency");
    tcase_add_loop_test(tests, test_quantiles_agree_with_histogram, 0,
                        sizeof(mixes) / sizeof(mixes[0]));
    tcase_add_loop_test(tests, test_bucket_edges, 0,
                        sizeof(edges) / sizeof(edges[0]));
    tcase_add_test(tests, test_old_samples_decay);
    tcase_add_test(tests, test_replica_stays_small);
    return suite_run("latency", tests);
}
