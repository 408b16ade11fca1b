/*
 * Converts the table's rows from and to jansson values. The YAML parser
 * converts its input to jansson values as well, so that JSON and YAML tables
 * pass the same checks.
 */
#ifndef CORE_TABLE_JSON_H
#define CORE_TABLE_JSON_H

#include "core/table.h"

#include <jansson.h>

/*
 * Parses and checks an array of rows into config, which must not have rows
 * yet, and sorts them by service. On STATUS_INVALID, *fault (never NULL)
 * locates the first invalid value, with the row's position in the array. The
 * other error is STATUS_NO_MEMORY.
 */
status_t table_rows_read(const json_t *rows, config_t *config,
                         table_fault_t *fault);

/* Returns the rows as a new array, or NULL if out of memory. */
json_t *table_rows_write(const config_t *config);

#endif
