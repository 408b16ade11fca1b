#include "t/lib/suite.h"

int
suite_run(const char *name, TCase *tests)
{
    Suite *suite = suite_create(name);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? 0 : 1;
}
