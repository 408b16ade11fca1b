/*
 * Runs a test case of the check library as a test program.
 *
 *     int main(void) { TCase *t = tcase_create("x"); ...;
 *                      return suite_run("x", t); }
 */
#ifndef T_LIB_SUITE_H
#define T_LIB_SUITE_H

#include <check.h>

/*
 * Runs the test case in this process, without fork. Returns 0 if every test
 * passed, else 1: the exit status for main().
 */
int suite_run(const char *name, TCase *tests);

#endif
