/*
 * Prints JSON for people to read: objects as lines, arrays of objects as
 * tables with aligned columns.
 */
#ifndef CLI_PRINT_H
#define CLI_PRINT_H

#include <jansson.h>
#include <stdio.h>

/*
 * Prints an array of objects as a table. The columns are the keys in the order
 * of their first appearance. Tables inside a row are printed below the table,
 * each headed by the first value of its row. Prints "(none)" if there are no
 * columns.
 */
void print_table(FILE *out, const json_t *rows);

/*
 * Prints an object: scalars as "key: value", arrays of objects and objects of
 * objects as tables.
 */
void print_object(FILE *out, const json_t *object);

/* Prints the value as indented JSON and a newline. */
void print_json(FILE *out, const json_t *value);

/* Prints the values of an array as "a1, b2", or "none" if it is empty. */
void print_names(FILE *out, const json_t *names);

#endif
