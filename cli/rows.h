/*
 * Rows of the table as JSON: reads the operator's file, compares two tables
 * and writes a table as YAML.
 */
#ifndef CLI_ROWS_H
#define CLI_ROWS_H

#include "cli/cli.h"

/* A table file. */
typedef struct {
    json_t *rows;        /* an array, owned by the caller */
    json_int_t based_on; /* version the file was written from; -1: not given */
} rows_file_t;

/*
 * Reads and checks a table in YAML. On failure prints the error, with row and
 * column if known, and returns CLI_INVALID.
 */
cli_exit_t rows_read(const cli_t *cli, const char *path, rows_file_t *file);

/*
 * Prints a line for each difference and returns their number:
 *     - SERVICE                 the row is only in before
 *     + SERVICE                 the row is only in after
 *     ~ SERVICE COLUMN: A -> B  the column has changed from A to B
 */
size_t rows_diff(FILE *out, const json_t *before, const json_t *after);

/* Writes rows as a table file that states the version it was written from. */
void rows_write_yaml(FILE *out, const json_t *rows, json_int_t version);

#endif
