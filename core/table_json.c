#include "core/table_json.h"

#include "core/name.h"
#include "core/table_row.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum {
    VALUE_TEXT_SIZE = 64 /* bytes of a value's text in a message */
};

static void
value_format(const json_t *value, char found[VALUE_TEXT_SIZE])
{
    char *text =
        json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII | JSON_COMPACT);
    printable_copy(found, VALUE_TEXT_SIZE, text != NULL ? text : "?");
    free(text);
}

static status_t
number_read(const json_t *value, size_t number, const char *column,
            uint32_t min, uint32_t max, uint32_t *out, table_fault_t *fault)
{
    json_int_t found = json_integer_value(value);
    if (json_is_integer(value) && found >= min && found <= max) {
        *out = (uint32_t)found;
        return STATUS_OK;
    }
    char shown[VALUE_TEXT_SIZE];
    value_format(value, shown);
    return table_fault_set(fault, number, column,
                           "found %s, expected a whole number from %" PRIu32
                           " to %" PRIu32,
                           shown, min, max);
}

static status_t
name_read(const json_t *value, size_t number, const char *column,
          char out[NAME_SIZE], table_fault_t *fault)
{
    const char *text = json_string_value(value);
    if (text != NULL && name_valid(text)) {
        memcpy(out, text, strlen(text) + 1);
        return STATUS_OK;
    }
    char shown[VALUE_TEXT_SIZE];
    value_format(value, shown);
    return table_fault_set(fault, number, column,
                           "found %s, expected " NAME_ALLOWED, shown);
}

static status_t
class_read(const json_t *value, size_t number, class_t *out,
           table_fault_t *fault)
{
    const char *text = json_string_value(value);
    *out = text != NULL ? class_parse(text) : CLASS_COUNT;
    if (*out != CLASS_COUNT) {
        return STATUS_OK;
    }
    char shown[VALUE_TEXT_SIZE];
    value_format(value, shown);
    return table_fault_set(fault, number, "class",
                           "found %s, expected desk, online or batch", shown);
}

static status_t
zone_limits_read(const json_t *value, size_t number, table_row_t *row,
                 table_fault_t *fault)
{
    size_t count = json_object_size(value);
    if (!json_is_object(value) || count > TABLE_ZONE_LIMITS_MAX) {
        char shown[VALUE_TEXT_SIZE];
        value_format(value, shown);
        return table_fault_set(fault, number, "zone_limits",
                               "found %s, expected at most %d pairs of "
                               "zone and slots",
                               shown, TABLE_ZONE_LIMITS_MAX);
    }
    if (count == 0) {
        return STATUS_OK;
    }
    row->zone_limits = calloc(count, sizeof(*row->zone_limits));
    if (row->zone_limits == NULL) {
        return STATUS_NO_MEMORY;
    }
    const char *zone;
    json_t *slots;
    json_object_foreach((json_t *)value, zone, slots)
    {
        zone_limit_t *limit = &row->zone_limits[row->zone_limit_count++];
        if (!name_valid(zone)) {
            return table_fault_set(fault, number, "zone_limits",
                                   "found zone '%s', expected " NAME_ALLOWED,
                                   zone);
        }
        memcpy(limit->zone, zone, strlen(zone) + 1);
        status_t status =
            number_read(slots, number, "zone_limits", 0, ZONE_LIMIT_SLOTS_MAX,
                        &limit->slots, fault);
        if (status != STATUS_OK) {
            return status;
        }
    }
    return STATUS_OK;
}

/*
 * Parses the value of one column into row. Sets bit i of *given if the column
 * is table_columns[i].
 */
static status_t
cell_read(const char *name, const json_t *value, size_t number,
          table_row_t *row, uint32_t *given, table_fault_t *fault)
{
    if (strcmp(name, "service") == 0) {
        return name_read(value, number, name, row->service, fault);
    }
    if (strcmp(name, "class") == 0) {
        return class_read(value, number, &row->class, fault);
    }
    if (strcmp(name, "zone_limits") == 0) {
        return zone_limits_read(value, number, row, fault);
    }
    const table_column_t *column = table_column_find(name);
    if (column == NULL) {
        return table_fault_set(fault, number, name,
                               "unknown column, docs/OPERATING.md lists the "
                               "columns");
    }
    *given |= UINT32_C(1) << (column - table_columns);
    uint32_t cell = 0;
    status_t status = number_read(value, number, name, column->min,
                                  column->max, &cell, fault);
    table_row_set_number(row, column, cell);
    return status;
}

static status_t
row_check_required(const json_t *object, size_t number, uint32_t given,
                   table_fault_t *fault)
{
    static const char *const texts[] = {"service", "class"};
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        if (json_object_get(object, texts[i]) == NULL) {
            return table_fault_set(fault, number, texts[i],
                                   "no value, the column is required");
        }
    }
    for (size_t i = 0; i < TABLE_COLUMN_COUNT; i++) {
        const table_column_t *column = &table_columns[i];
        if (column->required && (given & (UINT32_C(1) << i)) == 0) {
            return table_fault_set(fault, number, column->name,
                                   "no value, the column is required "
                                   "(%" PRIu32 " to %" PRIu32 ")",
                                   column->min, column->max);
        }
    }
    return STATUS_OK;
}

static status_t
row_read(const json_t *object, size_t number, table_row_t *row,
         table_fault_t *fault)
{
    if (!json_is_object(object)) {
        char shown[VALUE_TEXT_SIZE];
        value_format(object, shown);
        return table_fault_set(fault, number, "rows",
                               "found %s, expected pairs of column and "
                               "value",
                               shown);
    }
    uint32_t given = 0;
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)object, name, value)
    {
        status_t status = cell_read(name, value, number, row, &given, fault);
        if (status != STATUS_OK) {
            return status;
        }
    }
    status_t status = row_check_required(object, number, given, fault);
    if (status != STATUS_OK) {
        return status;
    }
    table_row_set_defaults(row, given);
    return table_row_check(row, number, fault);
}

static int
rows_compare(const void *a, const void *b)
{
    return strcmp(((const table_row_t *)a)->service,
                  ((const table_row_t *)b)->service);
}

status_t
table_rows_read(const json_t *rows, config_t *config, table_fault_t *fault)
{
    size_t count = json_array_size(rows);
    if (!json_is_array(rows) || count > TABLE_ROWS_MAX) {
        return table_fault_set(fault, 0, "rows",
                               "found %s (%zu items), expected a list of at "
                               "most %d rows",
                               json_is_array(rows) ? "a list" : "no list",
                               count, TABLE_ROWS_MAX);
    }
    if (count == 0) {
        return STATUS_OK;
    }
    config->rows = calloc(count, sizeof(*config->rows));
    if (config->rows == NULL) {
        return STATUS_NO_MEMORY;
    }
    for (size_t i = 0; i < count; i++) {
        config->row_count = i + 1;
        status_t status =
            row_read(json_array_get(rows, i), i + 1, &config->rows[i], fault);
        if (status != STATUS_OK) {
            return status;
        }
    }
    status_t status = table_rows_check_duplicates(config->rows, count, fault);
    qsort(config->rows, count, sizeof(*config->rows), rows_compare);
    return status;
}

static json_t *
row_write(const table_row_t *row)
{
    json_t *object = json_object();
    json_t *limits = json_object();
    int failed =
        json_object_set_new(object, "service", json_string(row->service));
    failed |= json_object_set_new(object, "class",
                                  json_string(class_name(row->class)));
    for (size_t i = 0; i < TABLE_COLUMN_COUNT; i++) {
        uint32_t value = table_row_number(row, &table_columns[i]);
        failed |= json_object_set_new(object, table_columns[i].name,
                                      json_integer(value));
    }
    for (size_t i = 0; i < row->zone_limit_count; i++) {
        failed |= json_object_set_new(limits, row->zone_limits[i].zone,
                                      json_integer(row->zone_limits[i].slots));
    }
    failed |= json_object_set_new(object, "zone_limits", limits);
    if (failed != 0) {
        json_decref(object);
        return NULL;
    }
    return object;
}

json_t *
table_rows_write(const config_t *config)
{
    json_t *rows = json_array();
    for (size_t i = 0; i < config->row_count; i++) {
        if (json_array_append_new(rows, row_write(&config->rows[i])) != 0) {
            json_decref(rows);
            return NULL;
        }
    }
    return rows;
}
