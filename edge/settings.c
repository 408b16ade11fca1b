#include "edge/settings.h"

#include "core/name.h"
#include "core/yaml_doc.h"
#include "edge/secret.h"
#include "edge/settings_text.h"

#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char read_step[] = "read settings";

enum {
    MAPPING_PAIRS_MAX = 64, /* pairs in a YAML mapping */
    FOUND_VALUE_SIZE = 48   /* bytes of an invalid value in a message */
};

typedef struct {
    const char *section; /* "": a key at the top level */
    const char *key;
    setting_kind_t kind;
    size_t offset; /* in settings_t */
    uint32_t min;  /* SETTING_NUMBER: smallest valid value */
    uint32_t max;  /* SETTING_NUMBER: largest valid value */
    bool required;
    uint32_t default_number;  /* SETTING_NUMBER */
    const char *default_text; /* other kinds; unused for SETTING_PEERS */
} setting_spec_t;

#define NUMBER(in, name, field, low, high, value)                             \
    {                                                                         \
        .section = (in), .key = (name), .kind = SETTING_NUMBER,               \
        .offset = offsetof(settings_t, field), .min = (low), .max = (high),   \
        .default_number = (value)                                             \
    }
#define REQUIRED_NUMBER(in, name, field, low, high)                           \
    {                                                                         \
        .section = (in), .key = (name), .kind = SETTING_NUMBER,               \
        .offset = offsetof(settings_t, field), .min = (low), .max = (high),   \
        .required = true                                                      \
    }
#define REQUIRED(in, name, value_kind, field)                                 \
    {                                                                         \
        .section = (in), .key = (name), .kind = (value_kind),                 \
        .offset = offsetof(settings_t, field), .required = true               \
    }
#define TEXT(in, name, value_kind, field, text)                               \
    {                                                                         \
        .section = (in), .key = (name), .kind = (value_kind),                 \
        .offset = offsetof(settings_t, field), .default_text = (text)         \
    }

static const setting_spec_t specs[] = {
    REQUIRED("", "name", SETTING_NAME, name),
    REQUIRED("", "zone", SETTING_NAME, zone),
    NUMBER("", "shards", shards, 1, 64, 4),
    NUMBER("", "group", group, 0, 0, 0),
    REQUIRED("", "key_file", SETTING_PATH, key_file),
    REQUIRED("", "token_file", SETTING_PATH, token_file),
    TEXT("", "peers", SETTING_PEERS, peers, ""),
    REQUIRED("listen", "address", SETTING_ADDRESS, listen_address),
    REQUIRED_NUMBER("listen", "http_port", listen_http_port, 1, 65535),
    REQUIRED_NUMBER("listen", "peer_port", listen_peer_port, 1, 65535),
    REQUIRED("store", "url", SETTING_URL, store_url),
    NUMBER("store", "timeout_ms", store_timeout_ms, 10, 60000, 1000),
    REQUIRED("vmlist", "url", SETTING_URL, vmlist_url),
    NUMBER("vmlist", "poll_ms", vmlist_poll_ms, 50, 60000, 1000),
    TEXT("log", "level", SETTING_LEVEL, log_level, "info"),
    TEXT("log", "target", SETTING_PATH, log_target, "stderr"),
    NUMBER("limits", "queue_max", limits_queue_max, 1, 1000000, 10000),
    NUMBER("limits", "queries_max", limits_queries_max, 1, 1000000, 2000),
    NUMBER("limits", "body_max_bytes", limits_body_max_bytes, 1024, 1000000,
           1000000),
    NUMBER("limits", "query_body_max_bytes", limits_query_body_max_bytes, 0,
           PART_BODY_MAX, PART_BODY_MAX),
    NUMBER("drain", "keep_ms", drain_keep_ms, 100, 60000, 5000),
    NUMBER("drain", "most_ms", drain_most_ms, 100, 600000, 30000),
};

enum { SPEC_COUNT = sizeof(specs) / sizeof(specs[0]) };

_Static_assert(SPEC_COUNT <= (size_t)SETTINGS_KEYS_MAX,
               "settings_t.lines is too short");

/* State of reading one file. */
typedef struct {
    yaml_document_t doc;
    settings_t *settings;
    error_t *err;
} reader_t;

/* Sets *err; section may be "", line 0 stands for the whole file. */
static status_t __attribute__((format(printf, 6, 7)))
key_error(const char *file, size_t line, const char *section, const char *key,
          error_t *err, const char *format, ...)
{
    char message[ERROR_MESSAGE_MAX];
    va_list args;
    va_start(args, format);
    vsnprintf(message, sizeof(message), format, args);
    va_end(args);
    size_t length = strlen(file);
    const char *tail = length > 48 ? file + length - 48 : file;
    char location[ERROR_PEER_MAX];
    snprintf(location, sizeof(location), "%s:%u", tail, (unsigned int)line);
    return error_set(err, STATUS_INVALID, read_step, location,
                     "key %s%s%s: %s", section, section[0] != '\0' ? "." : "",
                     key, message);
}

static status_t
value_error(const reader_t *reader, const setting_spec_t *spec,
            const yaml_node_t *node, const char *expected)
{
    char found[FOUND_VALUE_SIZE];
    const char *text = yaml_node_text(node);
    printable_copy(found, sizeof(found),
                   text != NULL ? text : "a list or mapping");
    return key_error(reader->settings->file, yaml_node_line(node),
                     spec->section, spec->key, reader->err,
                     "found '%s', expected %s", found, expected);
}

static status_t
number_read(const reader_t *reader, const setting_spec_t *spec,
            const yaml_node_t *node, void *field)
{
    int64_t value;
    if (yaml_node_integer(node, &value) && value >= spec->min &&
        value <= spec->max) {
        uint32_t number = (uint32_t)value;
        memcpy(field, &number, sizeof(number));
        return STATUS_OK;
    }
    char expected[64];
    snprintf(expected, sizeof(expected),
             "a whole number from %" PRIu32 " to %" PRIu32, spec->min,
             spec->max);
    return value_error(reader, spec, node, expected);
}

static status_t
text_read(const reader_t *reader, const setting_spec_t *spec,
          const yaml_node_t *node, char *field)
{
    const char *text = yaml_node_text(node);
    if (text == NULL || !setting_text_valid(spec->kind, text)) {
        return value_error(reader, spec, node,
                           setting_text_allowed(spec->kind));
    }
    size_t length = strlen(text);
    if (spec->kind == SETTING_URL && text[length - 1] == '/') {
        length--;
    }
    memcpy(field, text, length);
    field[length] = '\0';
    return STATUS_OK;
}

static status_t
peers_read(const reader_t *reader, const setting_spec_t *spec,
           yaml_node_t *node)
{
    settings_t *settings = reader->settings;
    yaml_document_t *doc = (yaml_document_t *)&reader->doc;
    size_t count = 0;
    if (node->type == YAML_SEQUENCE_NODE) {
        count = (size_t)(node->data.sequence.items.top -
                         node->data.sequence.items.start);
    }
    if (node->type != YAML_SEQUENCE_NODE || count > SETTINGS_PEERS_MAX) {
        return value_error(reader, spec, node,
                           "a list of at most 16 ADDRESS:PORT");
    }
    for (size_t i = 0; i < count; i++) {
        yaml_node_t *item =
            yaml_document_get_node(doc, node->data.sequence.items.start[i]);
        const char *text = yaml_node_text(item);
        if (text == NULL || !setting_peer_parse(text, &settings->peers[i])) {
            return value_error(reader, spec, item,
                               "ADDRESS:PORT with an IP address");
        }
    }
    settings->peer_count = count;
    return STATUS_OK;
}

static status_t
spec_read(const reader_t *reader, const setting_spec_t *spec,
          yaml_node_t *node)
{
    char *field = (char *)reader->settings + spec->offset;
    reader->settings->lines[spec - specs] = (uint32_t)yaml_node_line(node);
    switch (spec->kind) {
    case SETTING_NUMBER:
        return number_read(reader, spec, node, field);
    case SETTING_PEERS:
        return peers_read(reader, spec, node);
    default:
        return text_read(reader, spec, node, field);
    }
}

static const setting_spec_t *
spec_find(const char *section, const char *key)
{
    for (size_t i = 0; i < SPEC_COUNT; i++) {
        if (strcmp(specs[i].section, section) == 0 &&
            strcmp(specs[i].key, key) == 0) {
            return &specs[i];
        }
    }
    return NULL;
}

/* Returns the section name of specs that equals name; NULL: none. */
static const char *
section_find(const char *name)
{
    for (size_t i = 0; i < SPEC_COUNT; i++) {
        if (name[0] != '\0' && strcmp(specs[i].section, name) == 0) {
            return specs[i].section;
        }
    }
    return NULL;
}

static void
key_list_append(char *out, size_t size, const char *name)
{
    size_t used = strlen(out);
    snprintf(out + used, size - used, "%s%s", used > 0 ? ", " : "", name);
}

/* Lists the keys of a section; for the top level also the sections. */
static void
key_list_format(const char *section, char *out, size_t size)
{
    const char *last = "";
    out[0] = '\0';
    for (size_t i = 0; i < SPEC_COUNT; i++) {
        if (strcmp(specs[i].section, section) == 0) {
            key_list_append(out, size, specs[i].key);
        }
        else if (section[0] == '\0' && strcmp(specs[i].section, last) != 0) {
            last = specs[i].section;
            key_list_append(out, size, last);
        }
    }
}

static status_t
unknown_key_error(const reader_t *reader, const char *section, const char *key,
                  const yaml_node_t *node)
{
    char expected[ERROR_MESSAGE_MAX];
    key_list_format(section, expected, sizeof(expected));
    char printable_key[NAME_SIZE];
    printable_copy(printable_key, sizeof(printable_key),
                   key != NULL ? key : "?");
    return key_error(reader->settings->file, yaml_node_line(node), section,
                     printable_key, reader->err,
                     "unknown key, expected one of %s", expected);
}

static status_t
mapping_check(reader_t *reader, const char *section,
              const yaml_node_t *mapping)
{
    if (mapping->type != YAML_MAPPING_NODE ||
        mapping->data.mapping.pairs.top - mapping->data.mapping.pairs.start >
            MAPPING_PAIRS_MAX) {
        return key_error(reader->settings->file, yaml_node_line(mapping),
                         section, section[0] != '\0' ? "*" : "file",
                         reader->err,
                         "expected a mapping of at most %d pairs of key and "
                         "value",
                         MAPPING_PAIRS_MAX);
    }
    const yaml_node_pair_t *first;
    const yaml_node_pair_t *duplicate =
        yaml_mapping_find_duplicate(&reader->doc, mapping, &first);
    if (duplicate == NULL) {
        return STATUS_OK;
    }
    yaml_node_t *key = yaml_document_get_node(&reader->doc, duplicate->key);
    yaml_node_t *other = yaml_document_get_node(&reader->doc, first->key);
    char printable_key[NAME_SIZE];
    printable_copy(printable_key, sizeof(printable_key), yaml_node_text(key));
    return key_error(reader->settings->file, yaml_node_line(key), section,
                     printable_key, reader->err,
                     "duplicate key, first on line %zu",
                     yaml_node_line(other));
}

static status_t
section_read(reader_t *reader, const char *section, yaml_node_t *mapping)
{
    status_t status = mapping_check(reader, section, mapping);
    if (status != STATUS_OK) {
        return status;
    }
    const yaml_node_pair_t *pair = mapping->data.mapping.pairs.start;
    for (; pair < mapping->data.mapping.pairs.top; pair++) {
        yaml_node_t *key_node =
            yaml_document_get_node(&reader->doc, pair->key);
        yaml_node_t *value = yaml_document_get_node(&reader->doc, pair->value);
        const char *key = yaml_node_text(key_node);
        const setting_spec_t *spec =
            key != NULL ? spec_find(section, key) : NULL;
        const char *subsection =
            key != NULL && section[0] == '\0' ? section_find(key) : NULL;
        if (spec != NULL) {
            status = spec_read(reader, spec, value);
        }
        else if (subsection != NULL) {
            status = section_read(reader, subsection, value);
        }
        else {
            status = unknown_key_error(reader, section, key, key_node);
        }
        if (status != STATUS_OK) {
            return status;
        }
    }
    return STATUS_OK;
}

/* Sets the defaults of missing keys; a missing required key is an error. */
static status_t
settings_apply_defaults(reader_t *reader)
{
    settings_t *settings = reader->settings;
    for (size_t i = 0; i < SPEC_COUNT; i++) {
        const setting_spec_t *spec = &specs[i];
        char *field = (char *)settings + spec->offset;
        if (settings->lines[i] != 0) {
            continue;
        }
        if (spec->required) {
            return key_error(settings->file, 0, spec->section, spec->key,
                             reader->err, "required key is missing");
        }
        if (spec->kind == SETTING_NUMBER) {
            memcpy(field, &spec->default_number, sizeof(spec->default_number));
        }
        else if (spec->kind != SETTING_PEERS) {
            memcpy(field, spec->default_text, strlen(spec->default_text) + 1);
        }
    }
    return STATUS_OK;
}

status_t
settings_parse(const char *file, const char *text, size_t size,
               settings_t *settings, error_t *err)
{
    *settings = (settings_t){0};
    snprintf(settings->file, sizeof(settings->file), "%s", file);
    reader_t reader = {.settings = settings, .err = err};
    status_t status = yaml_doc_load(text, size, file, &reader.doc, err);
    if (status != STATUS_OK) {
        return status;
    }
    status =
        section_read(&reader, "", yaml_document_get_root_node(&reader.doc));
    if (status == STATUS_OK) {
        status = settings_apply_defaults(&reader);
    }
    yaml_document_delete(&reader.doc);
    return status;
}

status_t
settings_read(const char *path, settings_t *settings, error_t *err)
{
    FILE *stream = fopen(path, "re");
    if (stream == NULL) {
        return error_set(err, STATUS_NOT_FOUND, read_step, path, "%s",
                         strerror(errno));
    }
    char *text = malloc(SETTINGS_TEXT_MAX_BYTES + 1);
    size_t size =
        text != NULL ? fread(text, 1, SETTINGS_TEXT_MAX_BYTES + 1, stream) : 0;
    bool failed = ferror(stream) != 0;
    fclose(stream);
    status_t status;
    if (text == NULL || failed) {
        status = error_set(err, STATUS_UNAVAILABLE, read_step, path,
                           "cannot read the file");
    }
    else if (size > SETTINGS_TEXT_MAX_BYTES) {
        status = error_set(err, STATUS_TOO_LARGE, read_step, path,
                           "found more than %d bytes, expected at most %d",
                           SETTINGS_TEXT_MAX_BYTES, SETTINGS_TEXT_MAX_BYTES);
    }
    else {
        status = settings_parse(path, text, size, settings, err);
    }
    free(text);
    return status;
}

static status_t
check_error(const settings_t *settings, const char *section, const char *key,
            error_t *err, const char *problem)
{
    const setting_spec_t *spec = spec_find(section, key);
    return key_error(settings->file, settings->lines[spec - specs], section,
                     key, err, "%s", problem);
}

static status_t
secret_check(const settings_t *settings, const char *key, const char *path,
             size_t min, size_t max, error_t *err)
{
    char secret[SETTINGS_KEY_MAX_BYTES];
    size_t size;
    error_t problem = ERROR_INIT;
    status_t status = secret_read(path, min, max, secret, &size, &problem);
    explicit_bzero(secret, sizeof(secret));
    if (status == STATUS_OK) {
        return STATUS_OK;
    }
    return check_error(settings, "", key, err, problem.message);
}

status_t
settings_check(const settings_t *settings, error_t *err)
{
    if (settings->listen_http_port == settings->listen_peer_port) {
        return check_error(settings, "listen", "peer_port", err,
                           "found the same port as listen.http_port, expected "
                           "a different port");
    }
    if (settings->drain_most_ms < settings->drain_keep_ms) {
        return check_error(settings, "drain", "most_ms", err,
                           "found less than drain.keep_ms, expected at least "
                           "as much");
    }
    status_t status =
        secret_check(settings, "key_file", settings->key_file,
                     SETTINGS_KEY_MIN_BYTES, SETTINGS_KEY_MAX_BYTES, err);
    if (status != STATUS_OK) {
        return status;
    }
    return secret_check(settings, "token_file", settings->token_file,
                        SETTINGS_TOKEN_MIN_BYTES, SETTINGS_TOKEN_MAX_BYTES,
                        err);
}
