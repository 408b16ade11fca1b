/*
 * Columns of the operators' table: names, bounds and the check of one row.
 * Shared by the readers of the table's forms (JSON, YAML) and its writers.
 */
#ifndef CORE_TABLE_ROW_H
#define CORE_TABLE_ROW_H

#include "core/table.h"

/* A column that holds a whole number in a uint32_t of table_row_t. */
typedef struct {
    const char *name;
    size_t offset; /* in table_row_t */
    uint32_t min;
    uint32_t max;
    bool required;
    uint32_t default_value; /* of a row without the column */
} table_column_t;

enum {
    TABLE_COLUMN_COUNT = 10,
    ZONE_LIMIT_SLOTS_MAX = 1000000 /* slots of one zone_limits entry */
};

extern const table_column_t table_columns[TABLE_COLUMN_COUNT];

/* The column of a name; NULL when it holds no number or does not exist. */
const table_column_t *table_column_find(const char *name);

uint32_t table_row_number(const table_row_t *row,
                          const table_column_t *column);
void table_row_set_number(table_row_t *row, const table_column_t *column,
                          uint32_t value);

/* Give the columns that a row left out (their bit in given is 0) a value. */
void table_row_set_defaults(table_row_t *row, uint32_t given);

/* Check one row; number (from 1) goes into the fault. */
status_t table_row_check(const table_row_t *row, size_t number,
                         table_fault_t *fault);

/* Check that no two rows are of one service. */
status_t table_rows_check_duplicates(const table_row_t *rows, size_t count,
                                     table_fault_t *fault);

/* Fill fault (which may be NULL), unprintable text replaced. */
status_t table_fault_set(table_fault_t *fault, size_t row, const char *column,
                         const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Put a fault into err as step and "row 3, column weight". */
status_t table_fault_to_error(const table_fault_t *fault, const char *step,
                              error_t *err);

#endif
