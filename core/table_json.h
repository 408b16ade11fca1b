/*
 * The table's rows as jansson values; both text forms are read through it.
 */
#ifndef CORE_TABLE_JSON_H
#define CORE_TABLE_JSON_H

#include "core/table.h"

#include <jansson.h>

/*
 * Read, check and sort an array of rows into config, which has none yet.
 * STATUS_INVALID fills fault (not NULL) with the row's place in the array.
 */
status_t table_rows_read(const json_t *rows, config_t *config,
                         table_fault_t *fault);

/* The rows as a new array; NULL: no memory. */
json_t *table_rows_write(const config_t *config);

#endif
