/*
 * Explains why a request ended as it did, from the log lines of the daemons.
 *
 * The lines of several daemons may be added in any order and mixed with other
 * lines. docs/OPERATIONS.md describes how to do the same by hand.
 *
 *     explain_log_t log = {0};
 *     while (...) { explain_log_add(&log, line, id); }
 *     if (!explain_log_print(&log, id, out)) { ... no line shows the end ... }
 *     explain_log_release(&log);
 */
#ifndef CLI_EXPLAIN_LOG_H
#define CLI_EXPLAIN_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

typedef struct {
    char *text;
    double time_s; /* since the epoch, by the wall clock of the daemon */
} explain_line_t;

typedef struct {
    explain_line_t *lines;
    size_t count;
    size_t capacity;
} explain_log_t;

/*
 * Copies the line if it can be relevant to the request with that id. Returns
 * false if out of memory.
 */
bool explain_log_add(explain_log_t *log, const char *line, const char *id);

/*
 * Sorts the lines by time and prints the request's outcome, its cause and the
 * lines that explain it. Prints nothing and returns false if no line shows how
 * the request ended.
 */
bool explain_log_print(explain_log_t *log, const char *id, FILE *out);

void explain_log_release(explain_log_t *log);

#endif
