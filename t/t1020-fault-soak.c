/*
 * Runs real daemons under random faults. SOAK_SEEDS="FIRST COUNT" in the
 * environment runs COUNT seeds from FIRST instead, one after the other.
 */
#include "t/lib/suite.h"
#include "t/soak/soak.h"

#include <libgen.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Least share of requests served after all faults; the rules require only a
 * quarter.
 */
#define RECOVERED_RATIO_MIN 0.95
/* Least share of requests served in a run without faults. */
#define SERVED_RATIO_MIN 0.999

/* Every third seed runs a large fleet. */
enum { LARGE_FLEET_INTERVAL = 3 };

/*
 * Two representative seeds, and each seed that has failed. In 246, a zone is
 * evacuated while an upstream drains, which leaves a service without
 * upstreams. It failed because recovery was measured before these faults had
 * ended; recovery is measured from the end of the last fault. In 117, 20
 * daemons are killed three times within four seconds; the stand-in for the
 * store wrote past its table of leases.
 */
static const uint64_t seeds[] = {1, 3, 117, 246};

/* The daemon of the same build, which is in the directory above the test's. */
static void
find_program(char *path, size_t size)
{
    char self[256] = "";
    if (readlink("/proc/self/exe", self, sizeof(self) - 1) <= 0) {
        perror("/proc/self/exe");
        abort();
    }
    snprintf(path, size, "%s/../yuccarun-tier", dirname(self));
}

static soak_result_t
run_seed(uint64_t seed, bool no_faults)
{
    char program[300];
    find_program(program, sizeof(program));
    setvbuf(stdout, NULL, _IOLBF, 0);
    return soak_run(&(soak_settings_t){
        .seed = seed,
        .program = program,
        .no_faults = no_faults,
        .large_fleet = seed % LARGE_FLEET_INTERVAL == 0,
    });
}

START_TEST(test_no_faults)
{
    soak_result_t result = run_seed(1, true);
    ck_assert_uint_eq(result.violations, 0);
    ck_assert_msg(result.served_ratio >= SERVED_RATIO_MIN, "%f",
                  result.served_ratio);
}
END_TEST

START_TEST(test_seed)
{
    soak_result_t result = run_seed(seeds[_i], false);
    ck_assert_uint_gt(result.requests, 1000);
    ck_assert_uint_eq(result.violations, 0);
    ck_assert_msg(result.recovered_ratio >= RECOVERED_RATIO_MIN, "%f",
                  result.recovered_ratio);
}
END_TEST

/* Run "FIRST COUNT" seeds. Returns the number of failed seeds. */
static int
run_seeds(const char *requested)
{
    char *rest;
    uint64_t first = strtoull(requested, &rest, 10);
    uint64_t count = strtoull(rest, NULL, 10);
    int failed = 0;
    for (uint64_t seed = first; seed < first + count; seed++) {
        soak_result_t result = run_seed(seed, false);
        if (result.violations > 0 ||
            result.recovered_ratio < RECOVERED_RATIO_MIN) {
            printf("FAILED seed %llu\n", (unsigned long long)seed);
            failed++;
        }
    }
    return failed;
}

int
main(void)
{
    const char *requested = getenv("SOAK_SEEDS");
    if (requested != NULL) {
        return run_seeds(requested) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    TCase *tests = tcase_create("soak");
    tcase_set_timeout(tests, 180);
    tcase_add_test(tests, test_no_faults);
    tcase_add_loop_test(tests, test_seed, 0, sizeof(seeds) / sizeof(seeds[0]));
    return suite_run("soak", tests);
}
