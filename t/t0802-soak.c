/*
 * Runs random mixes of faults and checks the invariants of check.c in each.
 * SOAK_SEEDS="FIRST COUNT" in the environment replaces the fixed seeds.
 */
#include "t/lib/suite.h"
#include "t/scenario/mix.h"
#include "t/scenario/sim.h"

#include <inttypes.h>
#include <stdlib.h>

enum { SEEDS_FIXED = 40, FAILED_PRINTED_MAX = 9 };

static size_t
run_seed(uint64_t seed, bool print, uint64_t *checks)
{
    script_t script;
    mix_generate(seed, &script);
    sim_t *sim = sim_new(&script);
    sim_run(sim);
    size_t failures = sim->failure_count;
    *checks += sim->checks;
    if (failures > 0 && print) {
        mix_print(&script);
        sim_print(sim, stdout);
    }
    sim_free(sim);
    script_release(&script);
    return failures;
}

START_TEST(test_mixes)
{
    uint64_t first = 1;
    uint64_t count = SEEDS_FIXED;
    uint64_t checks = 0;
    size_t failed = 0;
    const char *seeds = getenv("SOAK_SEEDS");
    if (seeds != NULL) {
        ck_assert_int_eq(sscanf(seeds, "%" SCNu64 " %" SCNu64, &first, &count),
                         2);
    }
    for (uint64_t seed = first; seed < first + count; seed++) {
        if (run_seed(seed, failed < FAILED_PRINTED_MAX, &checks) > 0) {
            printf("failed seed: %" PRIu64 "\n", seed);
            failed++;
        }
    }
    printf("%" PRIu64 " seeds from %" PRIu64 ", %" PRIu64
           " checks, %zu seeds failed\n",
           count, first, checks, failed);
    ck_assert_uint_eq(failed, 0);
    ck_assert_uint_gt(checks, count);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("soak");
    tcase_set_timeout(tests, 0);
    tcase_add_test(tests, test_mixes);
    return suite_run("soak", tests);
}
