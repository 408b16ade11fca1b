#include "core/name.h"
#include "core/table_json.h"
#include "core/table_row.h"

#include <stdlib.h>
#include <string.h>

static const char parse_step[] = "parse configuration";
static const char parse_peer[] = "configuration";

typedef status_t (*set_out_fn_t)(config_t *config, const char *name, bool out,
                                 error_t *err);

/* Parses the states of zones or VMs, {"name":"out",...}. */
static status_t
states_read(const json_t *names, const char *key, set_out_fn_t set,
            config_t *config, error_t *err)
{
    if (names == NULL) {
        return STATUS_OK;
    }
    if (!json_is_object(names)) {
        return error_set(err, STATUS_INVALID, parse_step, key,
                         "not an object, expected pairs of name and state");
    }
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)names, name, value)
    {
        const char *state = json_string_value(value);
        bool out = state != NULL && strcmp(state, "out") == 0;
        if (!out && (state == NULL || strcmp(state, "in") != 0)) {
            char shown[NAME_SIZE];
            printable_copy(shown, sizeof(shown), name);
            return error_set(err, STATUS_INVALID, parse_step, key,
                             "invalid state for %s, expected out or in",
                             shown);
        }
        status_t status = set(config, name, out, err);
        if (status != STATUS_OK) {
            return status;
        }
    }
    return STATUS_OK;
}

/*
 * Parses an optional string, which may be empty, may have only the characters
 * of names, and must fit in size bytes with its NUL.
 */
static status_t
label_read(const json_t *document, const char *key, char *out, size_t size,
           error_t *err)
{
    const json_t *value = json_object_get(document, key);
    if (value == NULL) {
        return STATUS_OK;
    }
    const char *text = json_string_value(value);
    if (text == NULL || !label_valid(text, size)) {
        return error_set(err, STATUS_INVALID, parse_step, key,
                         "expected at most %zu " LABEL_ALLOWED, size - 1);
    }
    memcpy(out, text, strlen(text) + 1);
    return STATUS_OK;
}

static status_t
keys_check(const json_t *document, error_t *err)
{
    static const char *const known[] = {"version", "change", "by", "history",
                                        "rows",    "zones",  "vms"};
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)document, key, value)
    {
        size_t i = 0;
        while (i < sizeof(known) / sizeof(known[0]) &&
               strcmp(known[i], key) != 0) {
            i++;
        }
        if (i == sizeof(known) / sizeof(known[0])) {
            char shown[NAME_SIZE];
            printable_copy(shown, sizeof(shown), key);
            return error_set(err, STATUS_INVALID, parse_step, shown,
                             "unknown key, expected version, change, by, "
                             "history, rows, zones or vms");
        }
    }
    return STATUS_OK;
}

static status_t
version_read(const json_t *document, config_t *config, error_t *err)
{
    const json_t *version = json_object_get(document, "version");
    if (!json_is_integer(version) || json_integer_value(version) < 0) {
        return error_set(err, STATUS_INVALID, parse_step, "version",
                         "expected a whole number from 0");
    }
    config->version = (uint64_t)json_integer_value(version);
    return STATUS_OK;
}

static status_t
record_read(const json_t *object, change_record_t *record, error_t *err)
{
    const json_t *version = json_object_get(object, "version");
    const char *kind = json_string_value(json_object_get(object, "kind"));
    if (!json_is_integer(version) || json_integer_value(version) < 1) {
        return error_set(err, STATUS_INVALID, parse_step, "history",
                         "a version is not a whole number from 1");
    }
    record->version = (uint64_t)json_integer_value(version);
    record->kind = CHANGE_ROWS;
    while (kind != NULL && record->kind < CHANGE_KIND_COUNT &&
           strcmp(kind, change_kind_name(record->kind)) != 0) {
        record->kind++;
    }
    if (kind == NULL || record->kind == CHANGE_KIND_COUNT) {
        return error_set(err, STATUS_INVALID, parse_step, "history",
                         "unknown kind, expected rows, zone or vm");
    }
    status_t status = label_read(object, "change", record->change_id,
                                 sizeof(record->change_id), err);
    if (status != STATUS_OK) {
        return status;
    }
    return label_read(object, "by", record->by, sizeof(record->by), err);
}

/* Parses the history; its last change produced the document's version. */
static status_t
history_read(const json_t *document, config_t *config, error_t *err)
{
    const json_t *history = json_object_get(document, "history");
    size_t count = json_array_size(history);
    if (history == NULL) {
        return STATUS_OK;
    }
    if (!json_is_array(history) || count > CONFIG_HISTORY_MAX) {
        return error_set(err, STATUS_INVALID, parse_step, "history",
                         "expected a list of at most %d changes",
                         CONFIG_HISTORY_MAX);
    }
    for (size_t i = 0; i < count; i++) {
        change_record_t *record = &config->history[i];
        status_t status = record_read(json_array_get(history, i), record, err);
        if (status != STATUS_OK) {
            return status;
        }
        if (record->version + (count - 1 - i) != config->version) {
            return error_set(err, STATUS_INVALID, parse_step, "history",
                             "versions must increase by one up to the "
                             "document's version");
        }
    }
    config->history_count = count;
    return STATUS_OK;
}

static status_t
rows_read(const json_t *document, config_t *config, error_t *err)
{
    table_fault_t fault = {0};
    status_t status =
        table_rows_read(json_object_get(document, "rows"), config, &fault);
    if (status == STATUS_INVALID) {
        return table_fault_to_error(&fault, parse_step, err);
    }
    if (status != STATUS_OK) {
        return error_set(err, status, parse_step, parse_peer, "out of memory");
    }
    return STATUS_OK;
}

static status_t
document_read(const json_t *document, config_t *config, error_t *err)
{
    status_t status = keys_check(document, err);
    if (status == STATUS_OK) {
        status = version_read(document, config, err);
    }
    if (status == STATUS_OK) {
        status = label_read(document, "change", config->change_id,
                            sizeof(config->change_id), err);
    }
    if (status == STATUS_OK) {
        status =
            label_read(document, "by", config->by, sizeof(config->by), err);
    }
    if (status == STATUS_OK) {
        status = history_read(document, config, err);
    }
    if (status == STATUS_OK) {
        status = rows_read(document, config, err);
    }
    if (status == STATUS_OK) {
        status = states_read(json_object_get(document, "zones"), "zones",
                             config_set_zone_out, config, err);
    }
    if (status == STATUS_OK) {
        status = states_read(json_object_get(document, "vms"), "vms",
                             config_set_vm_out, config, err);
    }
    return status;
}

status_t
config_parse_json(const char *text, size_t size, config_t **config,
                  error_t *err)
{
    *config = NULL;
    if (size > CONFIG_TEXT_MAX) {
        return error_set(err, STATUS_TOO_LARGE, parse_step, parse_peer,
                         "found %zu bytes, the maximum is %d", size,
                         CONFIG_TEXT_MAX);
    }
    json_error_t problem;
    json_t *document =
        json_loadb(text, size, JSON_REJECT_DUPLICATES, &problem);
    if (!json_is_object(document)) {
        json_decref(document);
        char shown[sizeof(problem.text)];
        printable_copy(shown, sizeof(shown),
                       document == NULL ? problem.text
                                        : "the document is not an object");
        return error_set(err, STATUS_INVALID, parse_step, parse_peer,
                         "line %d, column %d: %s", problem.line,
                         problem.column, shown);
    }
    config_t *read = config_new();
    status_t status = read != NULL
                          ? document_read(document, read, err)
                          : error_set(err, STATUS_NO_MEMORY, parse_step,
                                      parse_peer, "out of memory");
    json_decref(document);
    if (status != STATUS_OK) {
        config_put(read);
        return status;
    }
    *config = read;
    return STATUS_OK;
}

static json_t *
states_write(const name_entry_t *names, size_t count)
{
    json_t *object = json_object();
    for (size_t i = 0; i < count; i++) {
        if (json_object_set_new(object, names[i].name, json_string("out")) !=
            0) {
            json_decref(object);
            return NULL;
        }
    }
    return object;
}

static json_t *
history_write(const config_t *config)
{
    json_t *list = json_array();
    for (size_t i = 0; i < config->history_count; i++) {
        const change_record_t *record = &config->history[i];
        json_t *object = json_pack("{s:I, s:s, s:s, s:s}", "version",
                                   (json_int_t)record->version, "kind",
                                   change_kind_name(record->kind), "change",
                                   record->change_id, "by", record->by);
        if (json_array_append_new(list, object) != 0) {
            json_decref(list);
            return NULL;
        }
    }
    return list;
}

char *
config_format_json(const config_t *config)
{
    json_t *document =
        json_pack("{s:I, s:s, s:s, s:o, s:o, s:o, s:o}", "version",
                  (json_int_t)config->version, "change", config->change_id,
                  "by", config->by, "history", history_write(config), "rows",
                  table_rows_write(config), "zones",
                  states_write(config->zones_out, config->zone_out_count),
                  "vms", states_write(config->vms_out, config->vm_out_count));
    if (document == NULL) {
        return NULL;
    }
    char *text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    return text;
}
