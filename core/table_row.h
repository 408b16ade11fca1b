/*
 * The columns of the operators' table with their names, bounds and defaults,
 * and the checks of a row. The JSON and YAML parsers and the JSON writer share
 * them.
 */
#ifndef CORE_TABLE_ROW_H
#define CORE_TABLE_ROW_H

#include "core/table.h"

/* A numeric column, stored in a uint32_t member of table_row_t. */
typedef struct {
    const char *name;
    size_t offset; /* of the member in table_row_t */
    uint32_t min;
    uint32_t max;
    bool required;
    uint32_t default_value; /* for a row without the column */
} table_column_t;

enum {
    TABLE_COLUMN_COUNT = 10,
    ZONE_LIMIT_SLOTS_MAX = 1000000 /* slots in one zone_limits entry */
};

extern const table_column_t table_columns[TABLE_COLUMN_COUNT];

/* Returns the numeric column of that name, or NULL if there is none. */
const table_column_t *table_column_find(const char *name);

uint32_t table_row_number(const table_row_t *row,
                          const table_column_t *column);
void table_row_set_number(table_row_t *row, const table_column_t *column,
                          uint32_t value);

/*
 * Sets the numeric columns that the operator left out to their defaults. Bit i
 * of given is set if the row holds table_columns[i]. held_connections defaults
 * to at most upstream_connections, tenant_slots to service_slots.
 */
void table_row_set_defaults(table_row_t *row, uint32_t given);

/*
 * Checks a row. On STATUS_INVALID, *fault (unless NULL) holds the first
 * invalid column and number, the row's position from 1.
 */
status_t table_row_check(const table_row_t *row, size_t number,
                         table_fault_t *fault);

/* Returns STATUS_INVALID and fills *fault if two rows name one service. */
status_t table_rows_check_duplicates(const table_row_t *rows, size_t count,
                                     table_fault_t *fault);

/*
 * Fills fault (unless NULL), with unprintable characters replaced. Always
 * returns STATUS_INVALID.
 */
status_t table_fault_set(table_fault_t *fault, size_t row, const char *column,
                         const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/*
 * Fills err from fault, with a peer such as "row 3, column weight". Returns
 * STATUS_INVALID.
 */
status_t table_fault_to_error(const table_fault_t *fault, const char *step,
                              error_t *err);

#endif
