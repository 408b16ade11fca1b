#include "edge/operator_request.h"

#include "core/name.h"
#include "core/table_json.h"
#include "core/table_row.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
    const char *key;
    bool rows;  /* valid in a change of rows */
    bool state; /* valid in a change of a zone or VM */
} request_key_t;

static const request_key_t request_keys[] = {
    {"by", true, true},        {"change", true, true}, {"rows", true, false},
    {"based_on", true, false}, {"state", false, true},
};

static status_t
request_error(operator_fault_t *fault, const char *key, const char *problem)
{
    return table_fault_set(&fault->table, 0, key, "%s: %s", key, problem);
}

static status_t
keys_check(const json_t *body, change_kind_t kind, operator_fault_t *fault)
{
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)body, key, value)
    {
        bool allowed = false;
        for (size_t i = 0; i < sizeof(request_keys) / sizeof(request_keys[0]);
             i++) {
            allowed =
                allowed || (strcmp(request_keys[i].key, key) == 0 &&
                            (kind == CHANGE_ROWS ? request_keys[i].rows
                                                 : request_keys[i].state));
        }
        if (!allowed) {
            char printable_key[NAME_SIZE];
            printable_copy(printable_key, sizeof(printable_key), key);
            return request_error(
                fault, printable_key,
                kind == CHANGE_ROWS
                    ? "unknown key, expected based_on, rows, by or change"
                    : "unknown key, expected state, by or change");
        }
    }
    return STATUS_OK;
}

/* Reads the operator's name and the optional id of the change. */
static status_t
author_read(const json_t *body, change_edit_t *edit, operator_fault_t *fault)
{
    const char *by = json_string_value(json_object_get(body, "by"));
    if (by == NULL || !name_valid(by)) {
        return request_error(fault, "by", "expected " NAME_ALLOWED);
    }
    memcpy(edit->by, by, strlen(by) + 1);
    const json_t *change = json_object_get(body, "change");
    const char *id = json_string_value(change);
    if (change == NULL) {
        return STATUS_OK;
    }
    if (id == NULL || id[0] == '\0' || !label_valid(id, sizeof(edit->id))) {
        return request_error(fault, "change",
                             "expected 1 to 63 " LABEL_ALLOWED);
    }
    memcpy(edit->id, id, strlen(id) + 1);
    return STATUS_OK;
}

static status_t
rows_read(const json_t *body, change_edit_t *edit, config_t **rows,
          operator_fault_t *fault)
{
    const json_t *based_on = json_object_get(body, "based_on");
    if (!json_is_integer(based_on) || json_integer_value(based_on) < 0) {
        return request_error(fault, "based_on",
                             "expected the version that the change is based "
                             "on");
    }
    edit->based_on = (uint64_t)json_integer_value(based_on);
    *rows = config_new();
    if (*rows == NULL) {
        return STATUS_NO_MEMORY;
    }
    edit->rows = *rows;
    fault->in_table = true;
    const json_t *list = json_object_get(body, "rows");
    if (json_array_size(list) == 0) {
        return table_fault_set(&fault->table, 0, "rows",
                               "found no rows, expected a list of 1 to %d",
                               TABLE_ROWS_MAX);
    }
    return table_rows_read(list, *rows, &fault->table);
}

static status_t
state_read(const json_t *body, change_edit_t *edit, operator_fault_t *fault)
{
    const char *state = json_string_value(json_object_get(body, "state"));
    edit->out = state != NULL && strcmp(state, "out") == 0;
    if (!edit->out && (state == NULL || strcmp(state, "in") != 0)) {
        return request_error(fault, "state", "expected out or in");
    }
    return STATUS_OK;
}

static status_t
body_read(const json_t *body, change_edit_t *edit, config_t **rows,
          operator_fault_t *fault)
{
    status_t status = keys_check(body, edit->kind, fault);
    if (status == STATUS_OK) {
        status = author_read(body, edit, fault);
    }
    if (status != STATUS_OK) {
        return status;
    }
    return edit->kind == CHANGE_ROWS ? rows_read(body, edit, rows, fault)
                                     : state_read(body, edit, fault);
}

status_t
operator_edit_read(const char *text, size_t size, change_edit_t *edit,
                   config_t **rows, operator_fault_t *fault)
{
    *rows = NULL;
    json_error_t json_error = {.text = "expected a JSON object"};
    json_t *body =
        size > 0 ? json_loadb(text, size, JSON_REJECT_DUPLICATES, &json_error)
                 : NULL;
    status_t status = json_is_object(body)
                          ? body_read(body, edit, rows, fault)
                          : request_error(fault, "body", json_error.text);
    json_decref(body);
    if (status != STATUS_OK) {
        config_put(*rows);
        *rows = NULL;
        edit->rows = NULL;
    }
    return status;
}

json_t *
operator_rows_body(const config_t *config)
{
    return table_rows_write(config);
}

json_t *
operator_table_body(const config_t *config)
{
    char *text = config_format_json(config);
    json_t *body = text != NULL ? json_loads(text, 0, NULL) : NULL;
    free(text);
    return body;
}

static json_t *
states_body(const config_t *config, const char *key, const name_entry_t *names,
            size_t count)
{
    json_t *states = json_object();
    for (size_t i = 0; i < count; i++) {
        json_object_set_new(states, names[i].name, json_string("out"));
    }
    return json_pack("{s:I, s:o}", "version", (json_int_t)config->version, key,
                     states);
}

json_t *
operator_zones_body(const config_t *config)
{
    return states_body(config, "zones", config->zones_out,
                       config->zone_out_count);
}

json_t *
operator_vms_body(const config_t *config)
{
    return states_body(config, "vms", config->vms_out, config->vm_out_count);
}
