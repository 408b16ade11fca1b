#include "cli/print.h"

#include <ctype.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>

enum { COLUMNS_MAX = 32, CELL_SIZE = 96, INDENT = 2 };

typedef struct {
    const char *names[COLUMNS_MAX];
    int widths[COLUMNS_MAX];
    size_t count;
} columns_t;

static bool
is_scalar(const json_t *value)
{
    return !json_is_object(value) && !json_is_array(value);
}

static bool
is_array_of_objects(const json_t *value)
{
    return json_is_array(value) && json_is_object(json_array_get(value, 0));
}

/* Keeps control characters in a daemon's reply from reaching the terminal. */
static void
replace_control_characters(char *text)
{
    for (; *text != '\0'; text++) {
        if (iscntrl((unsigned char)*text)) {
            *text = '?';
        }
    }
}

static void
format_scalar(char out[CELL_SIZE], const json_t *value)
{
    switch (json_typeof(value)) {
    case JSON_STRING:
        snprintf(out, CELL_SIZE, "%s", json_string_value(value));
        break;
    case JSON_INTEGER:
        snprintf(out, CELL_SIZE, "%" JSON_INTEGER_FORMAT,
                 json_integer_value(value));
        break;
    case JSON_REAL:
        snprintf(out, CELL_SIZE, "%.4g", json_real_value(value));
        break;
    case JSON_TRUE:
        snprintf(out, CELL_SIZE, "yes");
        break;
    case JSON_FALSE:
        snprintf(out, CELL_SIZE, "no");
        break;
    default:
        snprintf(out, CELL_SIZE, "-");
    }
    replace_control_characters(out);
}

/* Appends the text to a list with ", " between items, truncated to a cell. */
static void
append_item(char out[CELL_SIZE], const char *text)
{
    size_t used = strlen(out);
    snprintf(out + used, CELL_SIZE - used, "%s%s", used > 0 ? ", " : "", text);
}

static void
format_cell(char out[CELL_SIZE], const json_t *value)
{
    char cell[CELL_SIZE];
    out[0] = '\0';
    if (value == NULL) {
        snprintf(out, CELL_SIZE, "-");
        return;
    }
    if (is_scalar(value)) {
        format_scalar(out, value);
        return;
    }
    if (is_array_of_objects(value)) {
        snprintf(out, CELL_SIZE, "%zu below", json_array_size(value));
        return;
    }
    for (size_t i = 0; i < json_array_size(value); i++) {
        format_cell(cell, json_array_get(value, i));
        append_item(out, cell);
    }
    const char *key;
    const json_t *member;
    json_object_foreach((json_t *)value, key, member)
    {
        char pair[CELL_SIZE * 2];
        format_cell(cell, member);
        snprintf(pair, sizeof(pair), "%s=%s", key, cell);
        replace_control_characters(pair);
        append_item(out, pair);
    }
}

/* Formats a member of a row; "at_us", a wall-clock time, is printed as UTC. */
static void
format_member(char out[CELL_SIZE], const char *key, const json_t *value)
{
    struct tm utc;
    time_t at_s = (time_t)(json_integer_value(value) / 1000000);
    bool is_time = strcmp(key, "at_us") == 0 && json_is_integer(value);
    if (!is_time || gmtime_r(&at_s, &utc) == NULL ||
        strftime(out, CELL_SIZE, "%Y-%m-%dT%H:%M:%SZ", &utc) == 0) {
        format_cell(out, value);
    }
}

static size_t
column_find(const columns_t *columns, const char *name)
{
    size_t i = 0;
    while (i < columns->count && strcmp(columns->names[i], name) != 0) {
        i++;
    }
    return i;
}

static void
columns_add_row(columns_t *columns, const json_t *row)
{
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)row, key, value)
    {
        char cell[CELL_SIZE];
        size_t index = column_find(columns, key);
        if (index == COLUMNS_MAX) {
            continue;
        }
        if (index == columns->count) {
            columns->names[index] = key;
            columns->widths[index] = (int)strlen(key);
            columns->count++;
        }
        format_member(cell, key, value);
        if ((int)strlen(cell) > columns->widths[index]) {
            columns->widths[index] = (int)strlen(cell);
        }
    }
}

static void
print_row(FILE *out, const columns_t *columns, const json_t *row, int indent)
{
    for (size_t i = 0; i < columns->count; i++) {
        char cell[CELL_SIZE];
        if (row == NULL) {
            snprintf(cell, sizeof(cell), "%s", columns->names[i]);
            replace_control_characters(cell);
        }
        else {
            format_member(cell, columns->names[i],
                          json_object_get(row, columns->names[i]));
        }
        bool last = i + 1 == columns->count;
        fprintf(out, "%*s%-*s", i == 0 ? indent : 2, "",
                last ? 0 : columns->widths[i], cell);
    }
    fprintf(out, "\n");
}

static void print_table_at(FILE *out, const json_t *rows, int indent);

/* Prints the tables inside a row, each headed by the row's first value. */
static void
print_nested_tables(FILE *out, const json_t *row, int indent)
{
    char name[CELL_SIZE];
    const char *key;
    json_t *value;
    void *first = json_object_iter((json_t *)row);
    format_cell(name, json_object_iter_value(first));
    json_object_foreach((json_t *)row, key, value)
    {
        if (is_array_of_objects(value)) {
            fprintf(out, "%*s%s %s:\n", indent, "", name, key);
            print_table_at(out, value, indent + INDENT);
        }
    }
}

static void
print_table_at(FILE *out, const json_t *rows, int indent)
{
    columns_t columns = {0};
    for (size_t i = 0; i < json_array_size(rows); i++) {
        columns_add_row(&columns, json_array_get(rows, i));
    }
    if (columns.count == 0) {
        fprintf(out, "%*s(none)\n", indent, "");
        return;
    }
    print_row(out, &columns, NULL, indent);
    for (size_t i = 0; i < json_array_size(rows); i++) {
        print_row(out, &columns, json_array_get(rows, i), indent);
    }
    for (size_t i = 0; i < json_array_size(rows); i++) {
        print_nested_tables(out, json_array_get(rows, i), indent);
    }
}

void
print_table(FILE *out, const json_t *rows)
{
    print_table_at(out, rows, 0);
}

/* Returns an object of objects as rows whose first column is the key. */
static json_t *
rows_from_object(const json_t *object)
{
    json_t *rows = json_array();
    const char *key;
    json_t *member;
    json_object_foreach((json_t *)object, key, member)
    {
        json_t *row = json_pack("{s:s}", "name", key);
        json_object_update_missing(row, member);
        json_array_append_new(rows, row);
    }
    return rows;
}

static bool
is_object_of_objects(const json_t *object)
{
    void *first = json_object_iter((json_t *)object);
    return first != NULL && json_is_object(json_object_iter_value(first));
}

static void
print_member(FILE *out, const char *key, const json_t *value, int indent)
{
    char cell[CELL_SIZE];
    snprintf(cell, sizeof(cell), "%s", key);
    replace_control_characters(cell);
    fprintf(out, "%*s%s:", indent, "", cell);
    if (is_array_of_objects(value)) {
        fprintf(out, "\n");
        print_table_at(out, value, indent + INDENT);
    }
    else if (json_is_object(value) && is_object_of_objects(value)) {
        json_t *rows = rows_from_object(value);
        fprintf(out, "\n");
        print_table_at(out, rows, indent + INDENT);
        json_decref(rows);
    }
    else {
        format_cell(cell, value);
        fprintf(out, " %s\n", cell[0] == '\0' ? "none" : cell);
    }
}

void
print_object(FILE *out, const json_t *object)
{
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)object, key, value)
    {
        print_member(out, key, value, 0);
    }
}

void
print_json(FILE *out, const json_t *value)
{
    json_dumpf(value, out, JSON_INDENT(2));
    fprintf(out, "\n");
}

void
print_names(FILE *out, const json_t *names)
{
    if (json_array_size(names) == 0) {
        fprintf(out, "none");
    }
    for (size_t i = 0; i < json_array_size(names); i++) {
        char cell[CELL_SIZE];
        format_cell(cell, json_array_get(names, i));
        fprintf(out, "%s%s", i == 0 ? "" : ", ", cell);
    }
}
