#include "core/table_row.h"

#include "core/name.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define COLUMN(field, low, high, need, value)                                 \
    {                                                                         \
        .name = #field, .offset = offsetof(table_row_t, field), .min = (low), \
        .max = (high), .required = (need), .default_value = (value)           \
    }

/* Indexes in table_columns. */
enum { COLUMN_HELD_CONNECTIONS = 4, COLUMN_TENANT_SLOTS = 8 };

const table_column_t table_columns[TABLE_COLUMN_COUNT] = {
    COLUMN(weight, 1, 1000, false, 10),
    COLUMN(deadline_ms, 1, 600000, true, 0),
    COLUMN(upstream_slots, 1, 10000, true, 0),
    COLUMN(upstream_connections, 1, 10000, true, 0),
    [COLUMN_HELD_CONNECTIONS] = COLUMN(held_connections, 0, 10000, false, 2),
    COLUMN(cold_slots, 1, 10000, false, 1),
    COLUMN(zone_slots, 1, 1000000, true, 0),
    COLUMN(service_slots, 1, 1000000, true, 0),
    [COLUMN_TENANT_SLOTS] = COLUMN(tenant_slots, 1, 1000000, false, 0),
    COLUMN(added_load_percent, 0, 100, false, 5),
};

const table_column_t *
table_column_find(const char *name)
{
    for (size_t i = 0; i < TABLE_COLUMN_COUNT; i++) {
        if (strcmp(table_columns[i].name, name) == 0) {
            return &table_columns[i];
        }
    }
    return NULL;
}

uint32_t
table_row_number(const table_row_t *row, const table_column_t *column)
{
    uint32_t value;
    memcpy(&value, (const char *)row + column->offset, sizeof(value));
    return value;
}

void
table_row_set_number(table_row_t *row, const table_column_t *column,
                     uint32_t value)
{
    memcpy((char *)row + column->offset, &value, sizeof(value));
}

void
table_row_set_defaults(table_row_t *row, uint32_t given)
{
    for (size_t i = 0; i < TABLE_COLUMN_COUNT; i++) {
        if ((given & (UINT32_C(1) << i)) == 0) {
            table_row_set_number(row, &table_columns[i],
                                 table_columns[i].default_value);
        }
    }
    if ((given & (UINT32_C(1) << COLUMN_HELD_CONNECTIONS)) == 0 &&
        row->held_connections > row->upstream_connections) {
        row->held_connections = row->upstream_connections;
    }
    if ((given & (UINT32_C(1) << COLUMN_TENANT_SLOTS)) == 0) {
        row->tenant_slots = row->service_slots;
    }
}

static status_t
row_check_numbers(const table_row_t *row, size_t number, table_fault_t *fault)
{
    for (size_t i = 0; i < TABLE_COLUMN_COUNT; i++) {
        const table_column_t *column = &table_columns[i];
        uint32_t value = table_row_number(row, column);
        if (value < column->min || value > column->max) {
            return table_fault_set(fault, number, column->name,
                                   "found %" PRIu32
                                   ", expected a whole number from %" PRIu32
                                   " to %" PRIu32,
                                   value, column->min, column->max);
        }
    }
    if (row->held_connections > row->upstream_connections) {
        return table_fault_set(fault, number, "held_connections",
                               "found %" PRIu32 ", expected at most "
                               "upstream_connections, %" PRIu32,
                               row->held_connections,
                               row->upstream_connections);
    }
    if (row->cold_slots > row->upstream_slots) {
        return table_fault_set(fault, number, "cold_slots",
                               "found %" PRIu32 ", expected at most "
                               "upstream_slots, %" PRIu32,
                               row->cold_slots, row->upstream_slots);
    }
    return STATUS_OK;
}

static status_t
row_check_zone_limits(const table_row_t *row, size_t number,
                      table_fault_t *fault)
{
    if (row->zone_limit_count > TABLE_ZONE_LIMITS_MAX) {
        return table_fault_set(fault, number, "zone_limits",
                               "found %zu zones, the maximum is %d",
                               row->zone_limit_count, TABLE_ZONE_LIMITS_MAX);
    }
    for (size_t i = 0; i < row->zone_limit_count; i++) {
        const zone_limit_t *limit = &row->zone_limits[i];
        if (!name_valid(limit->zone)) {
            return table_fault_set(fault, number, "zone_limits",
                                   "found zone '%s', expected " NAME_ALLOWED,
                                   limit->zone);
        }
        if (limit->slots > ZONE_LIMIT_SLOTS_MAX) {
            return table_fault_set(
                fault, number, "zone_limits",
                "found %" PRIu32 " for zone %s, expected a whole number "
                "from 0 to %d",
                limit->slots, limit->zone, ZONE_LIMIT_SLOTS_MAX);
        }
        for (size_t j = 0; j < i; j++) {
            if (strcmp(row->zone_limits[j].zone, limit->zone) == 0) {
                return table_fault_set(fault, number, "zone_limits",
                                       "zone %s has more than one entry",
                                       limit->zone);
            }
        }
    }
    return STATUS_OK;
}

status_t
table_row_check(const table_row_t *row, size_t number, table_fault_t *fault)
{
    if (!name_valid(row->service)) {
        return table_fault_set(fault, number, "service",
                               "found '%s', expected " NAME_ALLOWED,
                               row->service);
    }
    if (row->class >= CLASS_COUNT) {
        return table_fault_set(fault, number, "class",
                               "found number %d, expected desk, online or "
                               "batch",
                               (int)row->class);
    }
    status_t status = row_check_numbers(row, number, fault);
    if (status != STATUS_OK) {
        return status;
    }
    return row_check_zone_limits(row, number, fault);
}

status_t
table_rows_check_duplicates(const table_row_t *rows, size_t count,
                            table_fault_t *fault)
{
    for (size_t i = 1; i < count; i++) {
        for (size_t j = 0; j < i; j++) {
            if (strcmp(rows[i].service, rows[j].service) == 0) {
                return table_fault_set(fault, i + 1, "service",
                                       "service %s is already in row %zu, "
                                       "expected one row per service",
                                       rows[i].service, j + 1);
            }
        }
    }
    return STATUS_OK;
}

status_t
table_fault_set(table_fault_t *fault, size_t row, const char *column,
                const char *format, ...)
{
    if (fault == NULL) {
        return STATUS_INVALID;
    }
    char message[ERROR_MESSAGE_MAX];
    va_list args;
    va_start(args, format);
    vsnprintf(message, sizeof(message), format, args);
    va_end(args);
    fault->row = row;
    printable_copy(fault->column, sizeof(fault->column), column);
    printable_copy(fault->message, sizeof(fault->message), message);
    return STATUS_INVALID;
}

status_t
table_fault_to_error(const table_fault_t *fault, const char *step,
                     error_t *err)
{
    char where[ERROR_PEER_MAX];
    if (fault->row == 0) {
        snprintf(where, sizeof(where), "%s", fault->column);
    }
    else {
        snprintf(where, sizeof(where), "row %u, column %s",
                 (unsigned int)fault->row, fault->column);
    }
    return error_set(err, STATUS_INVALID, step, where, "%s", fault->message);
}
