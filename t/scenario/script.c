#include "t/scenario/script.h"
#include "core/yaml_doc.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { SCRIPT_BYTES_MAX = 65536, US_PER_MS = 1000, KEYS_MAX = 20 };

typedef struct {
    const char *name;
    const char *integers[KEYS_MAX];
    const char *texts[KEYS_MAX];
} step_rule_t;

static const step_rule_t rules[STEP_KIND_COUNT] = {
    [STEP_SERVICE] = {"service",
                      {"groups", "replicas", "shards", "deadline_ms",
                       "upstream_slots", "cold_slots", "zone_slots",
                       "service_slots", "added_load_percent", "latency_us",
                       "zones"},
                      {"name", "class"}},
    [STEP_QUERY] = {"query",
                    {"lo", "hi", "deadline_ms", "count", "every_us", "once",
                     "resends", "resend_ms", "daemon", "resend_daemon"},
                    {"name", "service", "tenant", "body", "ticket", "id"}},
    [STEP_UPSTREAM] = {"upstream",
                       {"group", "latency_us", "straggle_permille",
                        "straggle_factor", "shed", "cold", "crash", "down",
                        "version", "held", "generation", "lose_permille",
                        "truncate_permille", "mismatch_permille",
                        "double_permille", "count"},
                       {"name", "service", "zone"}},
    [STEP_SPLIT] = {"split", {"shards", "lag_ms"}, {"service"}},
    [STEP_ZONE] = {"zone", {"daemon"}, {"name", "state"}},
    [STEP_VM] = {"vm", {"daemon", "lag_ms"}, {"name", "state"}},
    [STEP_ROWS] = {"rows",
                   {"daemon", "value", "based_on"},
                   {"service", "column"}},
    [STEP_STORE] = {"store", {"daemon"}, {"state"}},
    [STEP_LINK] = {"link",
                   {"daemon", "delay_us", "double_permille", "late_us", "cut"},
                   {NULL}},
    [STEP_DAEMON] = {"daemon", {"daemon", "for_ms"}, {"state"}},
    [STEP_EXPECT] = {"expect",
                     {"min", "max", "version", "daemon"},
                     {"query", "outcome", "reason", "service", "count",
                      "zone"}},
};

const char *
step_kind_name(step_kind_t kind)
{
    return rules[kind].name;
}

static const step_field_t *
find_field(const step_t *step, const char *name)
{
    for (size_t i = 0; i < step->field_count; i++) {
        if (strcmp(step->fields[i].name, name) == 0) {
            return &step->fields[i];
        }
    }
    return NULL;
}

bool
step_has_field(const step_t *step, const char *name)
{
    return find_field(step, name) != NULL;
}

int64_t
step_int(const step_t *step, const char *name, int64_t fallback)
{
    const step_field_t *field = find_field(step, name);
    return field == NULL ? fallback : field->integer;
}

const char *
step_text(const step_t *step, const char *name, const char *fallback)
{
    const step_field_t *field = find_field(step, name);
    return field == NULL ? fallback : field->text;
}

step_t *
script_add_step(script_t *script, step_kind_t kind, int64_t at_us)
{
    step_t *grown =
        realloc(script->steps, (script->count + 1) * sizeof(*grown));
    if (grown == NULL) {
        abort();
    }
    script->steps = grown;
    step_t *step = &grown[script->count++];
    *step = (step_t){.kind = kind, .at_us = at_us};
    return step;
}

void
step_set_text(step_t *step, const char *name, const char *text)
{
    step_field_t *field = &step->fields[step->field_count++];
    *field = (step_field_t){.integer = 0};
    snprintf(field->name, sizeof(field->name), "%s", name);
    snprintf(field->text, sizeof(field->text), "%s", text);
}

void
step_set_int(step_t *step, const char *name, int64_t value)
{
    char text[FIELD_TEXT_SIZE];
    snprintf(text, sizeof(text), "%" PRId64, value);
    step_set_text(step, name, text);
    step->fields[step->field_count - 1].integer = value;
    step->fields[step->field_count - 1].is_integer = true;
}

/* State of reading one script. */
typedef struct {
    yaml_document_t doc;
    const char *name;
    error_t *err;
} reader_t;

static status_t
report_fault(const reader_t *reader, const yaml_node_t *node,
             const char *found, const char *expected)
{
    char peer[ERROR_PEER_MAX];
    snprintf(peer, sizeof(peer), "%.48s:%zu", reader->name,
             yaml_node_line(node));
    return error_set(reader->err, STATUS_INVALID, "read scenario", peer,
                     "found '%s', expected %s", found, expected);
}

static bool
is_listed(const char *const *list, const char *name)
{
    for (size_t i = 0; i < KEYS_MAX && list[i] != NULL; i++) {
        if (strcmp(list[i], name) == 0) {
            return true;
        }
    }
    return false;
}

static void
format_keys(const step_rule_t *rule, char *out, size_t size)
{
    size_t used = 0;
    out[0] = '\0';
    for (size_t i = 0; i < (size_t)KEYS_MAX * 2; i++) {
        const char *key =
            i < KEYS_MAX ? rule->integers[i] : rule->texts[i - KEYS_MAX];
        if (key != NULL && used < size) {
            used += (size_t)snprintf(out + used, size - used, "%s%s",
                                     used == 0 ? "" : ", ", key);
        }
    }
}

static status_t
read_field(const reader_t *reader, step_t *step, const yaml_node_t *key,
           const yaml_node_t *value)
{
    const step_rule_t *rule = &rules[step->kind];
    const char *name = yaml_node_text(key);
    const char *text = yaml_node_text(value);
    char keys[ERROR_MESSAGE_MAX];
    bool integer = name != NULL && is_listed(rule->integers, name);
    if (name == NULL || (!integer && !is_listed(rule->texts, name))) {
        format_keys(rule, keys, sizeof(keys));
        return report_fault(
            reader, key, name == NULL ? "a key that is not text" : name, keys);
    }
    int64_t number = 0;
    if (text == NULL || strlen(text) >= FIELD_TEXT_SIZE) {
        return report_fault(reader, value, name,
                            "a text of at most 63 bytes or an integer");
    }
    if (integer && !yaml_node_integer(value, &number)) {
        return report_fault(reader, value, text, "an integer");
    }
    if (step_has_field(step, name)) {
        return report_fault(reader, key, name, "each field at most once");
    }
    if (step->field_count == STEP_FIELDS_MAX) {
        return report_fault(reader, key, name, "at most 14 fields in a step");
    }
    step_set_text(step, name, text);
    step->fields[step->field_count - 1].integer = number;
    step->fields[step->field_count - 1].is_integer = integer;
    return STATUS_OK;
}

static step_kind_t
step_kind_parse(const char *name)
{
    int kind = 0;
    while (kind < STEP_KIND_COUNT && strcmp(rules[kind].name, name) != 0) {
        kind++;
    }
    return (step_kind_t)kind;
}

static status_t
read_step_entry(reader_t *reader, step_t *step, const yaml_node_t *key,
                yaml_node_t *value, bool *has_kind)
{
    const char *name = yaml_node_text(key);
    int64_t at_ms;
    if (name != NULL && strcmp(name, "at") == 0) {
        if (!yaml_node_integer(value, &at_ms)) {
            return report_fault(reader, value, "at",
                                "an integer, in milliseconds");
        }
        step->at_us = at_ms * US_PER_MS;
        return STATUS_OK;
    }
    step_kind_t kind = name == NULL ? STEP_KIND_COUNT : step_kind_parse(name);
    if (kind == STEP_KIND_COUNT || *has_kind) {
        return report_fault(
            reader, key, name == NULL ? "a key that is not text" : name,
            "at and one of service, query, upstream, split, zone, "
            "vm, rows, store, link, daemon, expect");
    }
    if (value->type != YAML_MAPPING_NODE) {
        return report_fault(reader, value, name, "a mapping");
    }
    step->kind = kind;
    *has_kind = true;
    status_t status = STATUS_OK;
    for (yaml_node_pair_t *pair = value->data.mapping.pairs.start;
         pair < value->data.mapping.pairs.top && status == STATUS_OK; pair++) {
        status = read_field(reader, step,
                            yaml_document_get_node(&reader->doc, pair->key),
                            yaml_document_get_node(&reader->doc, pair->value));
    }
    return status;
}

static status_t
read_step(reader_t *reader, script_t *script, const yaml_node_t *node)
{
    if (node->type != YAML_MAPPING_NODE) {
        return report_fault(reader, node, "a node that is not a mapping",
                            "a step");
    }
    step_t *step = script_add_step(script, STEP_KIND_COUNT, -1);
    step->line = yaml_node_line(node);
    bool has_kind = false;
    for (const yaml_node_pair_t *pair = node->data.mapping.pairs.start;
         pair < node->data.mapping.pairs.top; pair++) {
        status_t status = read_step_entry(
            reader, step, yaml_document_get_node(&reader->doc, pair->key),
            yaml_document_get_node(&reader->doc, pair->value), &has_kind);
        if (status != STATUS_OK) {
            return status;
        }
    }
    bool time_optional =
        step->kind == STEP_SERVICE || step->kind == STEP_EXPECT;
    if (!has_kind || (step->at_us < 0 && !time_optional)) {
        return report_fault(reader, node, "a step without a time or an event",
                            "at and one event");
    }
    return STATUS_OK;
}

static status_t
read_steps(reader_t *reader, script_t *script, const yaml_node_t *node)
{
    if (node->type != YAML_SEQUENCE_NODE) {
        return report_fault(reader, node, "steps", "a list");
    }
    for (const yaml_node_item_t *item = node->data.sequence.items.start;
         item < node->data.sequence.items.top; item++) {
        status_t status = read_step(
            reader, script, yaml_document_get_node(&reader->doc, *item));
        if (status != STATUS_OK) {
            return status;
        }
    }
    return STATUS_OK;
}

static status_t
read_top_level(reader_t *reader, script_t *script, const yaml_node_t *key,
               const yaml_node_t *value)
{
    const char *name = yaml_node_text(key);
    int64_t number = 0;
    if (name != NULL && strcmp(name, "steps") == 0) {
        return read_steps(reader, script, value);
    }
    if (name != NULL && strcmp(name, "about") == 0) {
        return STATUS_OK;
    }
    bool known = name != NULL &&
                 (strcmp(name, "seed") == 0 || strcmp(name, "daemons") == 0 ||
                  strcmp(name, "run_ms") == 0);
    if (!known) {
        return report_fault(reader, key,
                            name == NULL ? "a key that is not text" : name,
                            "about, seed, daemons, run_ms, steps");
    }
    if (!yaml_node_integer(value, &number) || number < 1) {
        return report_fault(reader, value, name, "an integer of at least 1");
    }
    if (name[0] == 's') {
        script->seed = (uint64_t)number;
    }
    else if (name[0] == 'd') {
        script->daemons = number;
    }
    else {
        script->run_us = number * US_PER_MS;
    }
    return number > 3 && name[0] == 'd'
               ? report_fault(reader, value, "more than 3 daemons", "1 to 3")
               : STATUS_OK;
}

status_t
script_parse(const char *text, size_t size, const char *name, script_t *script,
             error_t *err)
{
    reader_t reader = {.name = name, .err = err};
    *script = (script_t){.seed = 1, .daemons = 3, .run_us = 10000000};
    snprintf(script->name, sizeof(script->name), "%s", name);
    status_t status = yaml_doc_load(text, size, name, &reader.doc, err);
    if (status != STATUS_OK) {
        return status;
    }
    const yaml_node_t *root = yaml_document_get_root_node(&reader.doc);
    if (root->type != YAML_MAPPING_NODE) {
        status = report_fault(&reader, root, "a node that is not a mapping",
                              "a mapping with steps");
    }
    for (const yaml_node_pair_t *pair = root->data.mapping.pairs.start;
         status == STATUS_OK && pair < root->data.mapping.pairs.top; pair++) {
        status = read_top_level(
            &reader, script, yaml_document_get_node(&reader.doc, pair->key),
            yaml_document_get_node(&reader.doc, pair->value));
    }
    yaml_document_delete(&reader.doc);
    if (status != STATUS_OK) {
        script_release(script);
    }
    return status;
}

status_t
script_load(const char *path, script_t *script, error_t *err)
{
    char text[SCRIPT_BYTES_MAX];
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        return error_set(err, STATUS_NOT_FOUND, "read scenario", path,
                         "the file cannot be opened");
    }
    size_t size = fread(text, 1, sizeof(text), file);
    fclose(file);
    return script_parse(text, size, path, script, err);
}

void
script_release(script_t *script)
{
    free(script->steps);
    script->steps = NULL;
    script->count = 0;
}
