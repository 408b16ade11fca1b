/*
 * Fair sharing among tenants: levels for patterns of load, without a network,
 * and the memory and time that many tenants take.
 */
#include "policy/fair_share.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <time.h>

enum { SECOND = 1000000, COST_US = 20000 };

/* Tenants of one kind. They do `usual` requests a second until surge_s and
   `surged` from then on, for cost_us each; surged 0: the tenant stops. */
typedef struct {
    uint32_t count;
    double usual;
    double surged;
    int64_t cost_us;
    uint32_t least; /* bounds of the level at the end */
    uint32_t most;
} tenant_kind_t;

typedef struct {
    const char *name;
    int64_t surge_s;
    int64_t end_s;
    tenant_kind_t kinds[3];
} share_case_t;

/* Run the case; capacity is short from the surge on. */
static void
run_case(const share_case_t *c, fair_share_t *shares)
{
    enum { STEP_US = 10000, TENANTS_MAX = 64 };
    double due[TENANTS_MAX] = {0};
    for (int64_t now_us = SECOND; now_us < c->end_s * SECOND;
         now_us += STEP_US) {
        bool surge = now_us >= c->surge_s * SECOND;
        if (surge) {
            fair_share_note_shortage(shares, now_us);
        }
        tenant_id_t tenant = 0;
        for (uint32_t kind = 0; kind < 3; kind++) {
            const tenant_kind_t *k = &c->kinds[kind];
            for (uint32_t i = 0; i < k->count; i++, tenant++) {
                due[tenant] +=
                    (surge ? k->surged : k->usual) * STEP_US / SECOND;
                while (due[tenant] >= 1) {
                    due[tenant] -= 1;
                    fair_share_note_request(shares, tenant, now_us);
                    fair_share_add_cost(shares, tenant, k->cost_us, now_us);
                }
            }
        }
    }
}

static const share_case_t share_cases[] = {
    {"one tenant", 10, 30, {{1, 20, 120, COST_US, 0, 0}}},
    {"one of twenty at six times",
     60,
     70,
     {{19, 5, 5, COST_US, 0, 0}, {1, 5, 30, COST_US, 1, 3}}},
    {"five of twenty at six times",
     60,
     70,
     {{15, 5, 5, COST_US, 0, 0}, {5, 5, 30, COST_US, 1, 2}}},
    {"a surge of four minutes does not become usual",
     60,
     300,
     {{19, 5, 5, COST_US, 0, 0}, {1, 5, 30, COST_US, 1, 3}}},
    {"a small tenant at six times beside a large one",
     60,
     70,
     {{18, 5, 5, COST_US, 0, 0},
      {1, 40, 40, COST_US, 0, 0},
      {1, 5, 30, COST_US, 1, 3}}},
    {"costs per request of one to twenty",
     60,
     70,
     {{10, 20, 20, COST_US / 20, 0, 0}, {10, 20, 20, COST_US, 0, 0}}},
    {"as many requests as others, for twenty times the cost each",
     1,
     20,
     {{10, 20, 20, COST_US / 20, 0, 0}, {1, 20, 20, COST_US, 1, 4}}},
    {"one starts within a shortage at eight times the others",
     10,
     20,
     {{9, 5, 5, COST_US, 0, 0}, {1, 0, 40, COST_US, 1, 3}}},
    {"one stops; the others at their usual load are not above their part",
     20,
     60,
     {{3, 5, 5, COST_US, 0, 0}, {1, 50, 0, COST_US, 0, 0}}},
};

/* Each tenant's level is as the table says: neither a surge that is not held
   back nor a tenant in its usual load that is. */
START_TEST(test_levels)
{
    const share_case_t *c = &share_cases[_i];
    fair_share_t shares = {0};
    run_case(c, &shares);
    tenant_id_t tenant = 0;
    for (uint32_t kind = 0; kind < 3; kind++) {
        const tenant_kind_t *k = &c->kinds[kind];
        for (uint32_t i = 0; i < k->count; i++, tenant++) {
            uint32_t level = fair_share_level(&shares, tenant);
            ck_assert_msg(level >= k->least && level <= k->most,
                          "%s: tenant %u has level %u", c->name, tenant,
                          level);
        }
    }
    fair_share_release(&shares);
}
END_TEST

/* Usage halves in a half-life, and a tenant that stops is dropped with all it
   used. */
START_TEST(test_stopped_tenant)
{
    fair_share_t shares = {0};
    fair_share_note_request(&shares, 1, SECOND);
    fair_share_add_cost(&shares, 1, 64000, SECOND);
    double half = fair_share_usage_ms(&shares, 1, SECOND + FAIR_HALF_LIFE_US);
    ck_assert_double_eq_tol(half, 32, 0.01);
    fair_share_note_request(&shares, 2, SECOND + FAIR_KEEP_US / 2);
    ck_assert_uint_eq(shares.active_count, 1);
    ck_assert_uint_eq(shares.count, 2);
    fair_share_note_request(&shares, 2, SECOND + FAIR_KEEP_US + 1);
    ck_assert_uint_eq(shares.count, 1);
    ck_assert_double_eq(shares.usage_total, 0);
    ck_assert_uint_eq(fair_share_level(&shares, 1), 0);
    fair_share_release(&shares);
}
END_TEST

static int64_t
cpu_us(void)
{
    struct timespec t;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

/* 10,000 tenants with one request each leave one at its usual load, and each
   other, at level 0; what they take is bounded and is given back. */
START_TEST(test_many_tenants)
{
    enum { TENANTS = 10000, LIMIT = 40000, USUAL = 1000000 };
    fair_share_t shares = {0};
    for (int64_t now_us = SECOND; now_us < 30 * SECOND; now_us += 200000) {
        fair_share_note_request(&shares, USUAL, now_us);
        fair_share_add_cost(&shares, USUAL, COST_US, now_us);
    }
    int64_t start_us = cpu_us();
    for (uint32_t i = 0; i < TENANTS; i++) {
        int64_t now_us = 30 * SECOND + (int64_t)i * 1000;
        fair_share_note_request(&shares, i, now_us);
        fair_share_note_request(&shares, USUAL, now_us);
        fair_share_note_shortage(&shares, now_us);
        /* The level that orders a request is the one before its own cost. */
        ck_assert_uint_eq(fair_share_level(&shares, i), 0);
        ck_assert_uint_eq(fair_share_level(&shares, USUAL), 0);
        fair_share_add_cost(&shares, i, COST_US, now_us);
        ck_assert_uint_le(fair_share_level(&shares, i), 1);
    }
    int64_t took_us = cpu_us() - start_us;
    size_t bytes = fair_share_bytes(&shares);
    printf("10,000 tenants: %.0f ns of processor time a request, %zu KB\n",
           (double)took_us * 1000 / TENANTS, bytes / 1024);
    ck_assert_uint_eq(shares.count, TENANTS + 1);
    ck_assert_uint_le(bytes, 2 << 20);
    ck_assert_int_le(took_us, 10 * TENANTS);
    for (uint32_t i = 0; i < LIMIT; i++) {
        fair_share_note_request(&shares, TENANTS + i, 41 * (int64_t)SECOND);
    }
    ck_assert_uint_lt(shares.count, FAIR_TENANTS_MAX);
    ck_assert_uint_eq(fair_share_bytes(&shares), bytes);
    fair_share_note_request(&shares, 1,
                            41 * (int64_t)SECOND + FAIR_KEEP_US + 1);
    ck_assert_uint_eq(shares.count, 1);
    ck_assert_uint_eq(shares.active_count, 1);
    fair_share_release(&shares);
}
END_TEST

typedef struct {
    uint32_t series;
    uint64_t requests;
    bool seen[64];
} series_t;

static void
count_series(void *owner, tenant_id_t tenant, const fair_counts_t *counts)
{
    series_t *series = owner;
    series->series++;
    series->requests += counts->requests;
    if (tenant < 64) {
        series->seen[tenant] = true;
    }
}

/* The busiest tenants get series of their own, also those that become busy
   later, and the sum over all series stays the number of requests. */
START_TEST(test_series)
{
    fair_share_t shares = {0};
    uint64_t requests = 0;
    for (int64_t now_us = SECOND; now_us < 40 * SECOND; now_us += 100000) {
        for (tenant_id_t tenant = 0; tenant < 40; tenant++) {
            int64_t cost_us = tenant >= 38 ? 10 * COST_US : COST_US;
            fair_share_note_request(&shares, tenant, now_us);
            fair_share_add_cost(&shares, tenant, cost_us, now_us);
            requests++;
        }
    }
    series_t series = {0};
    fair_share_each(&shares, count_series, &series);
    ck_assert_uint_eq(series.series, FAIR_NAMED_MAX + 1);
    ck_assert(series.seen[38] && series.seen[39]);
    ck_assert_uint_le(series.requests, requests);
    /* At most what two tenants had counted when their series ended. */
    ck_assert_uint_ge(series.requests + 60, requests);
    fair_share_release(&shares);
}
END_TEST

/* A tenant above its part is reported once a second, and only in a shortage.
 */
START_TEST(test_reports)
{
    fair_share_t shares = {0};
    uint32_t reports[2] = {0};
    for (int64_t now_us = SECOND; now_us < 21 * SECOND; now_us += 50000) {
        if (now_us >= 11 * SECOND) {
            fair_share_note_shortage(&shares, now_us);
        }
        for (tenant_id_t tenant = 0; tenant < 10; tenant++) {
            bool surge = tenant == 0 && now_us >= 11 * SECOND;
            fair_share_note_request(&shares, tenant, now_us);
            fair_share_add_cost(&shares, tenant, surge ? 8 * COST_US : COST_US,
                                now_us);
            reports[tenant == 0 ? 0 : 1] +=
                fair_share_report_due(&shares, tenant, now_us) ? 1 : 0;
        }
    }
    ck_assert_uint_ge(reports[0], 7);
    ck_assert_uint_le(reports[0], 10);
    ck_assert_uint_eq(reports[1], 0);
    fair_share_release(&shares);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("fair_share");
    tcase_add_loop_test(tests, test_levels, 0,
                        sizeof(share_cases) / sizeof(share_cases[0]));
    tcase_add_test(tests, test_stopped_tenant);
    tcase_add_test(tests, test_many_tenants);
    tcase_add_test(tests, test_series);
    tcase_add_test(tests, test_reports);
    return suite_run("fair_share", tests);
}
