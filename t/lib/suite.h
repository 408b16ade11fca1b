/*
 * Runs one check test case as a program of its own.
 *
 *     int main(void) { TCase *t = tcase_create("x"); ...;
 *                      return suite_run("x", t); }
 */
#ifndef T_LIB_SUITE_H
#define T_LIB_SUITE_H

#include <check.h>

/* Run the case in this process; 0 when every test passed, else 1. */
int suite_run(const char *name, TCase *tests);

#endif
