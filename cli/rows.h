/*
 * Rows of the table as JSON: reading the operator's file, comparing two
 * tables, and writing one as YAML.
 */
#ifndef CLI_ROWS_H
#define CLI_ROWS_H

#include "cli/cli.h"

/* A table file. */
typedef struct {
    json_t *rows;        /* an array; the caller drops it */
    json_int_t based_on; /* version that the file says it was taken from; -1 */
} rows_file_t;

/* Read and check a YAML table; faults are printed with row and column. */
cli_exit_t rows_read(const cli_t *cli, const char *path, rows_file_t *file);

/*
 * Print what is in after and not in before and the reverse, a line for each
 * row and column; returns the number of differences.
 */
size_t rows_diff(FILE *out, const json_t *before, const json_t *after);

/* Write rows as a table file that says which version it was taken from. */
void rows_write_yaml(FILE *out, const json_t *rows, json_int_t version);

#endif
