/*
 * Printing JSON for people: aligned keys, and tables of objects.
 */
#ifndef CLI_PRINT_H
#define CLI_PRINT_H

#include <jansson.h>
#include <stdio.h>

/*
 * An array of objects as a table; columns are the keys in the order they
 * first appear. Tables inside a row follow below, under the row's first value.
 * Prints "(none)" for an empty one.
 */
void print_table(FILE *out, const json_t *rows);

/* An object: scalars as "key: value", arrays of objects as tables. */
void print_object(FILE *out, const json_t *object);

/* The daemon's JSON as it came, on lines of its own. */
void print_json(FILE *out, const json_t *value);

/* The strings of an array, "a1, b2", or "none". */
void print_names(FILE *out, const json_t *names);

#endif
