/*
 * Runs every script of t/scenarios and checks that errors in scripts are
 * reported. SCENARIO=PATTERN in the environment runs only the matching
 * scripts; SCENARIO_TRACE prints the timeline of those that pass, too.
 */
#include "t/lib/suite.h"
#include "t/scenario/sim.h"

#include <glob.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    const char *text;
    const char *location; /* file and line in the error */
    const char *expected; /* text in the error message */
} fault_case_t;

static const fault_case_t fault_cases[] = {
    {"steps:\n- at: 0\n  quary: {name: a}\n", "x.yaml:3", "found 'quary'"},
    {"steps:\n- at: 0\n  query: {nam: a}\n", "x.yaml:3", "found 'nam'"},
    {"steps:\n- at: 0\n  query:\n    count: many\n", "x.yaml:4",
     "found 'many', expected an integer"},
    {"steps:\n- query: {name: a}\n", "x.yaml:2", "without a time"},
    {"steps:\n- at: soon\n  query: {name: a}\n", "x.yaml:2", "found 'at'"},
    {"steps:\n- at: 0\n  query: {count: 1, count: 2}\n", "x.yaml:3",
     "each field at most once"},
    {"daemons: 9\n", "x.yaml:1", "1 to 3"},
    {"stops: []\n", "x.yaml:1", "found 'stops'"},
    {"steps: {}\n", "x.yaml:1", "a list"},
    {"steps: [\n", "x.yaml", ""},
};

START_TEST(test_fault)
{
    const fault_case_t *c = &fault_cases[_i];
    script_t script;
    error_t err = ERROR_INIT;
    status_t status =
        script_parse(c->text, strlen(c->text), "x.yaml", &script, &err);
    ck_assert_msg(status == STATUS_INVALID, "case %d", _i);
    ck_assert_msg(strstr(err.peer, c->location) != NULL, "%s",
                  error_text(&err));
    ck_assert_msg(strstr(err.message, c->expected) != NULL, "%s",
                  error_text(&err));
}
END_TEST

static size_t
run_script(const char *path)
{
    script_t script;
    error_t err = ERROR_INIT;
    if (script_load(path, &script, &err) != STATUS_OK) {
        printf("%s\n", error_text(&err));
        return 1;
    }
    sim_t *sim = sim_new(&script);
    sim_run(sim);
    size_t failures = sim->failure_count;
    if (failures > 0 || getenv("SCENARIO_TRACE") != NULL) {
        sim_print(sim, stdout);
    }
    sim_free(sim);
    script_release(&script);
    return failures;
}

START_TEST(test_scripts)
{
    glob_t found;
    const char *pattern = getenv("SCENARIO");
    size_t failed = 0;
    ck_assert_int_eq(glob(pattern != NULL ? pattern : "t/scenarios/*.yaml", 0,
                          NULL, &found),
                     0);
    for (size_t i = 0; i < found.gl_pathc; i++) {
        if (run_script(found.gl_pathv[i]) > 0) {
            printf("scenario failed: %s\n", found.gl_pathv[i]);
            failed++;
        }
    }
    globfree(&found);
    ck_assert_uint_eq(failed, 0);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("scenarios");
    tcase_set_timeout(tests, 0);
    tcase_add_loop_test(tests, test_fault, 0,
                        sizeof(fault_cases) / sizeof(fault_cases[0]));
    tcase_add_test(tests, test_scripts);
    return suite_run("scenarios", tests);
}
