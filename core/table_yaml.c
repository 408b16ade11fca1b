#include "core/name.h"
#include "core/table_json.h"
#include "core/table_row.h"
#include "core/yaml_doc.h"

#include <string.h>

static const char parse_step[] = "parse table";
static const char parse_peer[] = "table";

enum {
    /* Checked before the search for duplicate keys, which is quadratic. */
    MAPPING_PAIRS_MAX = 128
};

/* The location of a node in the table, for error messages. */
typedef struct {
    yaml_document_t *doc;
    size_t row;
    const char *column;
    table_fault_t *fault;
} location_t;

/*
 * Checks that a mapping is not too large and has no duplicate key. If
 * keys_are_columns is set, the fault names the key as the column.
 */
static status_t
mapping_check(const location_t *location, const yaml_node_t *mapping,
              bool keys_are_columns)
{
    size_t count = (size_t)(mapping->data.mapping.pairs.top -
                            mapping->data.mapping.pairs.start);
    if (count > MAPPING_PAIRS_MAX) {
        return table_fault_set(
            location->fault, location->row, location->column,
            "line %zu: found %zu pairs, the maximum is %d",
            yaml_node_line(mapping), count, MAPPING_PAIRS_MAX);
    }
    const yaml_node_pair_t *first;
    const yaml_node_pair_t *duplicate =
        yaml_mapping_find_duplicate(location->doc, mapping, &first);
    if (duplicate == NULL) {
        return STATUS_OK;
    }
    const yaml_node_t *key =
        yaml_document_get_node(location->doc, duplicate->key);
    const yaml_node_t *other =
        yaml_document_get_node(location->doc, first->key);
    return table_fault_set(
        location->fault, location->row,
        keys_are_columns ? yaml_node_text(key) : location->column,
        "line %zu: duplicate key %.31s, first used on line %zu",
        yaml_node_line(key), yaml_node_text(key), yaml_node_line(other));
}

static json_t *
scalar_value(const yaml_node_t *node)
{
    int64_t number;
    if (yaml_node_integer(node, &number)) {
        return json_integer(number);
    }
    const char *text = yaml_node_text(node);
    return text != NULL ? json_string(text) : NULL;
}

/*
 * Adds a column's or a zone's value to object. A mapping is accepted only if
 * allow_nested is set; its own values cannot be mappings.
 */
static status_t cell_convert(const location_t *location,
                             const yaml_node_t *node, const char *key,
                             bool allow_nested, json_t *object);

static status_t
mapping_convert(const location_t *location, const yaml_node_t *mapping,
                bool allow_nested, json_t *object)
{
    status_t status = mapping_check(location, mapping, allow_nested);
    if (status != STATUS_OK) {
        return status;
    }
    const yaml_node_pair_t *pair = mapping->data.mapping.pairs.start;
    for (; pair < mapping->data.mapping.pairs.top; pair++) {
        const char *key =
            yaml_node_text(yaml_document_get_node(location->doc, pair->key));
        if (key == NULL) {
            return table_fault_set(location->fault, location->row,
                                   location->column,
                                   "line %zu: a key is not a text scalar",
                                   yaml_node_line(mapping));
        }
        location_t cell = *location;
        cell.column = allow_nested ? key : location->column;
        status = cell_convert(
            &cell, yaml_document_get_node(location->doc, pair->value), key,
            allow_nested, object);
        if (status != STATUS_OK) {
            return status;
        }
    }
    return STATUS_OK;
}

static status_t
cell_convert(const location_t *location, const yaml_node_t *node,
             const char *key, bool allow_nested, json_t *object)
{
    json_t *value = NULL;
    if (node->type == YAML_SCALAR_NODE) {
        value = scalar_value(node);
    }
    else if (node->type == YAML_MAPPING_NODE && allow_nested) {
        value = json_object();
        status_t status = mapping_convert(location, node, false, value);
        if (status != STATUS_OK) {
            json_decref(value);
            return status;
        }
    }
    if (value == NULL || json_object_set_new(object, key, value) != 0) {
        return table_fault_set(location->fault, location->row,
                               location->column,
                               "line %zu: a table cannot hold a value of this "
                               "type",
                               yaml_node_line(node));
    }
    return STATUS_OK;
}

static status_t
rows_convert(const location_t *table, const yaml_node_t *list, json_t *rows)
{
    size_t count = (size_t)(list->data.sequence.items.top -
                            list->data.sequence.items.start);
    if (count == 0 || count > TABLE_ROWS_MAX) {
        return table_fault_set(table->fault, 0, "rows",
                               "line %zu: found %zu rows, expected 1 to %d",
                               yaml_node_line(list), count, TABLE_ROWS_MAX);
    }
    for (size_t i = 0; i < count; i++) {
        location_t location = *table;
        location.row = i + 1;
        const yaml_node_t *node = yaml_document_get_node(
            table->doc, list->data.sequence.items.start[i]);
        if (node->type != YAML_MAPPING_NODE) {
            return table_fault_set(table->fault, i + 1, "rows",
                                   "line %zu: the row is not a mapping, "
                                   "expected pairs of column and value",
                                   yaml_node_line(node));
        }
        json_t *row = json_object();
        json_array_append(rows, row);
        status_t status = mapping_convert(&location, node, true, row);
        json_decref(row);
        if (status != STATUS_OK) {
            return status;
        }
    }
    return STATUS_OK;
}

/* Converts the document {rows: [...]} to a JSON array. */
static status_t
table_convert(const location_t *table, json_t *rows)
{
    const yaml_node_t *root = yaml_document_get_root_node(table->doc);
    if (root->type != YAML_MAPPING_NODE) {
        return table_fault_set(table->fault, 0, "rows",
                               "line %zu: the document is not a mapping, "
                               "expected 'rows:' with a list",
                               yaml_node_line(root));
    }
    status_t status = mapping_check(table, root, true);
    if (status != STATUS_OK) {
        return status;
    }
    const yaml_node_t *list = NULL;
    const yaml_node_pair_t *pair = root->data.mapping.pairs.start;
    for (; pair < root->data.mapping.pairs.top; pair++) {
        const yaml_node_t *node =
            yaml_document_get_node(table->doc, pair->key);
        const char *key = yaml_node_text(node);
        if (key == NULL || strcmp(key, "rows") != 0) {
            return table_fault_set(table->fault, 0, key != NULL ? key : "rows",
                                   "line %zu: unknown key, expected rows",
                                   yaml_node_line(node));
        }
        list = yaml_document_get_node(table->doc, pair->value);
    }
    if (list == NULL || list->type != YAML_SEQUENCE_NODE) {
        return table_fault_set(table->fault, 0, "rows",
                               "rows is missing or not a list");
    }
    return rows_convert(table, list, rows);
}

static status_t
document_read(yaml_document_t *doc, config_t *config, table_fault_t *fault)
{
    location_t table = {.doc = doc, .column = "rows", .fault = fault};
    json_t *rows = json_array();
    status_t status = table_convert(&table, rows);
    if (status == STATUS_OK) {
        status = table_rows_read(rows, config, fault);
    }
    json_decref(rows);
    return status;
}

/*
 * Copies a YAML syntax error into fault as well as err, as some callers report
 * only the fault.
 */
static status_t
syntax_fault_set(table_fault_t *fault, const error_t *problem, error_t *err)
{
    if (problem->status != STATUS_INVALID) {
        return error_set(err, problem->status, parse_step, parse_peer, "%s",
                         problem->message);
    }
    table_fault_set(fault, 0, "rows", "%s: %s", problem->peer,
                    problem->message);
    return table_fault_to_error(fault, parse_step, err);
}

status_t
table_parse_yaml(const char *text, size_t size, config_t **config,
                 table_fault_t *fault, error_t *err)
{
    table_fault_t unused;
    if (fault == NULL) {
        fault = &unused;
    }
    *fault = (table_fault_t){0};
    *config = NULL;
    if (size > CONFIG_TEXT_MAX) {
        return error_set(err, STATUS_TOO_LARGE, parse_step, parse_peer,
                         "found %zu bytes, the maximum is %d", size,
                         CONFIG_TEXT_MAX);
    }
    yaml_document_t doc;
    error_t problem = ERROR_INIT;
    if (yaml_doc_load(text, size, parse_peer, &doc, &problem) != STATUS_OK) {
        return syntax_fault_set(fault, &problem, err);
    }
    config_t *read = config_new();
    status_t status =
        read != NULL ? document_read(&doc, read, fault) : STATUS_NO_MEMORY;
    yaml_document_delete(&doc);
    if (status == STATUS_OK) {
        *config = read;
        return STATUS_OK;
    }
    config_put(read);
    if (status == STATUS_INVALID) {
        return table_fault_to_error(fault, parse_step, err);
    }
    return error_set(err, status, parse_step, parse_peer, "out of memory");
}
