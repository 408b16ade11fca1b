/*
 * Why a request ended as it did, from the log lines of the daemons.
 *
 * Lines of several daemons may come in any order and with others between
 * them; docs/OPERATIONS.md shows the same by hand.
 *
 *     explain_log_t log = {0};
 *     while (...) { explain_log_add(&log, line, id); }
 *     if (!explain_log_print(&log, id, out)) { ... nobody logged that id ... }
 *     explain_log_release(&log);
 */
#ifndef CLI_EXPLAIN_LOG_H
#define CLI_EXPLAIN_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

typedef struct {
    char *text;
    double time_s; /* of the day, as the daemon's clock had it */
} explain_line_t;

typedef struct {
    explain_line_t *lines;
    size_t count;
    size_t capacity;
} explain_log_t;

/* Keep a line if it can matter for that id; false: no memory. */
bool explain_log_add(explain_log_t *log, const char *line, const char *id);

/* Print what is known of the request, cause first; false: nothing is. */
bool explain_log_print(explain_log_t *log, const char *id, FILE *out);

void explain_log_release(explain_log_t *log);

#endif
