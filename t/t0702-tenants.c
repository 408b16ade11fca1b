/*
 * Limits on tenants' queries in progress: the share of a daemon, independence
 * of tenants and services, and counts that stay exact when slots are freed
 * (test_random) or threads run at the same time (test_threads).
 */
#include "daemon/tenants.h"
#include "t/lib/suite.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

enum { SHARE = 3, THREADS = 4, ROUNDS = 2000, NAMES = 600 };

START_TEST(test_share)
{
    static const struct {
        uint32_t slots;
        size_t members;
        uint32_t share;
    } cases[] = {
        {60, 3, 20}, {60, 8, 7}, {2, 8, 1}, {0, 8, 1}, {5, 0, 5},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        table_row_t row = {.tenant_slots = cases[i].slots};
        ck_assert_uint_eq(tenants_share(&row, cases[i].members),
                          cases[i].share);
    }
}
END_TEST

START_TEST(test_tenants_do_not_share)
{
    tenants_t *tenants = tenants_new();
    for (int i = 0; i < SHARE; i++) {
        ck_assert(tenants_admit(tenants, "desk", "a", SHARE));
    }
    ck_assert(!tenants_admit(tenants, "desk", "a", SHARE));
    ck_assert(tenants_admit(tenants, "desk", "b", SHARE));
    ck_assert(tenants_admit(tenants, "till", "a", SHARE));
    tenants_finish(tenants, "desk", "a");
    ck_assert(tenants_admit(tenants, "desk", "a", SHARE));
    ck_assert(!tenants_admit(tenants, "desk", "a", SHARE));
    tenants_free(tenants);
}
END_TEST

/* Compares the counts with a plain array while tenants come and go. */
START_TEST(test_random)
{
    tenants_t *tenants = tenants_new();
    static unsigned counts[NAMES];
    unsigned seed = (unsigned)_i;
    for (int round = 0; round < ROUNDS * 10; round++) {
        char name[NAME_SIZE];
        unsigned index = (unsigned)rand_r(&seed) % NAMES;
        snprintf(name, sizeof(name), "t%u", index);
        if (rand_r(&seed) % 2 == 0) {
            bool admitted = tenants_admit(tenants, "desk", name, SHARE);
            ck_assert_int_eq(admitted, counts[index] < SHARE);
            counts[index] += admitted ? 1 : 0;
        }
        else if (counts[index] > 0) {
            tenants_finish(tenants, "desk", name);
            counts[index]--;
        }
    }
    tenants_free(tenants);
    for (int i = 0; i < NAMES; i++) {
        counts[i] = 0;
    }
}
END_TEST

static void *
admit_and_finish(void *context)
{
    tenants_t *tenants = context;
    for (int i = 0; i < ROUNDS; i++) {
        if (tenants_admit(tenants, "desk", "a", SHARE)) {
            tenants_finish(tenants, "desk", "a");
        }
    }
    return NULL;
}

START_TEST(test_threads)
{
    tenants_t *tenants = tenants_new();
    pthread_t threads[THREADS];
    for (int i = 0; i < THREADS; i++) {
        pthread_create(&threads[i], NULL, admit_and_finish, tenants);
    }
    for (int i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    for (int i = 0; i < SHARE; i++) {
        ck_assert(tenants_admit(tenants, "desk", "a", SHARE));
    }
    ck_assert(!tenants_admit(tenants, "desk", "a", SHARE));
    tenants_free(tenants);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("tenants");
    tcase_add_test(tests, test_share);
    tcase_add_test(tests, test_tenants_do_not_share);
    tcase_add_loop_test(tests, test_random, 1, 6);
    tcase_add_test(tests, test_threads);
    return suite_run("tenants", tests);
}
