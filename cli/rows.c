#include "cli/rows.h"

#include "core/table.h"
#include "core/table_json.h"

#include <stdlib.h>
#include <string.h>

/* Start of the first line of a file written by `table show --yaml`. */
#define BASED_ON_LINE "# based on version "

static json_int_t
parse_based_on(const char *text)
{
    if (strncmp(text, BASED_ON_LINE, strlen(BASED_ON_LINE)) != 0) {
        return -1;
    }
    char *end;
    long long version = strtoll(text + strlen(BASED_ON_LINE), &end, 10);
    return *end == '\n' && version >= 0 ? (json_int_t)version : -1;
}

cli_exit_t
rows_read(const cli_t *cli, const char *path, rows_file_t *file)
{
    char *text;
    size_t size;
    *file = (rows_file_t){.based_on = -1};
    cli_exit_t code = cli_read_file(cli, path, CONFIG_TEXT_MAX, &text, &size);
    if (code != CLI_OK || text == NULL) {
        return code;
    }
    config_t *config = NULL;
    table_fault_t fault = {0};
    error_t err = ERROR_INIT;
    status_t status = table_parse_yaml(text, size, &config, &fault, &err);
    file->based_on = parse_based_on(text);
    free(text);
    if (status == STATUS_OK) {
        file->rows = table_rows_write(config);
        config_put(config);
        return file->rows == NULL ? cli_fail(cli, CLI_INVALID, "out of memory")
                                  : CLI_OK;
    }
    if (fault.row > 0) {
        return cli_fail(cli, CLI_INVALID, "%s: row %zu, column %s: %s", path,
                        fault.row, fault.column, fault.message);
    }
    return cli_fail(cli, CLI_INVALID, "%s: %s", path,
                    fault.message[0] != '\0' ? fault.message : err.message);
}

static json_t *
rows_find(const json_t *rows, const char *service)
{
    for (size_t i = 0; i < json_array_size(rows); i++) {
        json_t *row = json_array_get(rows, i);
        const char *name = json_string_value(json_object_get(row, "service"));
        if (name != NULL && strcmp(name, service) == 0) {
            return row;
        }
    }
    return NULL;
}

static void
print_value(FILE *out, const json_t *value)
{
    if (value == NULL) {
        fprintf(out, "-");
    }
    else {
        json_dumpf(value, out,
                   JSON_ENCODE_ANY | JSON_COMPACT | JSON_SORT_KEYS);
    }
}

static size_t
row_diff(FILE *out, const char *service, const json_t *before,
         const json_t *after)
{
    size_t differences = 0;
    const char *column;
    json_t *value;
    json_t *merged = json_copy((json_t *)before);
    json_object_update_missing(merged, (json_t *)after);
    json_object_foreach(merged, column, value)
    {
        const json_t *old = json_object_get(before, column);
        const json_t *new = json_object_get(after, column);
        if (json_equal(old, new)) {
            continue;
        }
        fprintf(out, "~ %s %s: ", service, column);
        print_value(out, old);
        fprintf(out, " -> ");
        print_value(out, new);
        fprintf(out, "\n");
        differences++;
    }
    json_decref(merged);
    return differences;
}

static const char *
row_service(const json_t *row)
{
    const char *name = json_string_value(json_object_get(row, "service"));
    return name == NULL ? "?" : name;
}

size_t
rows_diff(FILE *out, const json_t *before, const json_t *after)
{
    size_t differences = 0;
    for (size_t i = 0; i < json_array_size(before); i++) {
        const json_t *row = json_array_get(before, i);
        const json_t *other = rows_find(after, row_service(row));
        if (other == NULL) {
            fprintf(out, "- %s\n", row_service(row));
            differences++;
        }
        else {
            differences += row_diff(out, row_service(row), row, other);
        }
    }
    for (size_t i = 0; i < json_array_size(after); i++) {
        const json_t *row = json_array_get(after, i);
        if (rows_find(before, row_service(row)) == NULL) {
            fprintf(out, "+ %s\n", row_service(row));
            differences++;
        }
    }
    return differences;
}

static void
write_column(FILE *out, const char *column, const json_t *value)
{
    if (json_is_object(value)) {
        const char *key;
        json_t *member;
        fprintf(out, "%s:\n", column);
        json_object_foreach((json_t *)value, key, member)
        {
            fprintf(out, "      %s: %" JSON_INTEGER_FORMAT "\n", key,
                    json_integer_value(member));
        }
    }
    else if (json_is_string(value)) {
        fprintf(out, "%s: %s\n", column, json_string_value(value));
    }
    else {
        fprintf(out, "%s: %" JSON_INTEGER_FORMAT "\n", column,
                json_integer_value(value));
    }
}

void
rows_write_yaml(FILE *out, const json_t *rows, json_int_t version)
{
    fprintf(out, BASED_ON_LINE "%" JSON_INTEGER_FORMAT "\nrows:\n", version);
    for (size_t i = 0; i < json_array_size(rows); i++) {
        const char *column;
        json_t *value;
        const char *start = "  - ";
        json_object_foreach(json_array_get(rows, i), column, value)
        {
            if (json_is_object(value) && json_object_size(value) == 0) {
                continue;
            }
            fprintf(out, "%s", start);
            write_column(out, column, value);
            start = "    ";
        }
    }
}
