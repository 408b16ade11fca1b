#include "core/yaml_doc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { INTEGER_DIGITS_MAX = 18 /* always fits an int64_t */ };

static status_t
load_error(const char *peer, size_t line, const char *problem, error_t *err)
{
    char where[ERROR_PEER_MAX];
    snprintf(where, sizeof(where), "%.48s:%zu", peer, line);
    return error_set(err, STATUS_INVALID, "parse YAML", where, "%s", problem);
}

static status_t
parser_error(const yaml_parser_t *parser, const char *peer, error_t *err)
{
    if (parser->error == YAML_MEMORY_ERROR) {
        return error_set(err, STATUS_NO_MEMORY, "parse YAML", peer,
                         "out of memory");
    }
    return load_error(
        peer, parser->problem_mark.line + 1,
        parser->problem != NULL ? parser->problem : "invalid YAML", err);
}

/* Returns STATUS_INVALID if another document follows the first one. */
static status_t
load_check_single(yaml_parser_t *parser, const char *peer, error_t *err)
{
    yaml_document_t next;
    if (!yaml_parser_load(parser, &next)) {
        return parser_error(parser, peer, err);
    }
    yaml_node_t *root = yaml_document_get_root_node(&next);
    size_t line = root != NULL ? yaml_node_line(root) : 0;
    yaml_document_delete(&next);
    if (root != NULL) {
        return load_error(peer, line, "found a second document, expected one",
                          err);
    }
    return STATUS_OK;
}

status_t
yaml_doc_load(const char *text, size_t size, const char *peer,
              yaml_document_t *doc, error_t *err)
{
    yaml_parser_t parser;
    if (!yaml_parser_initialize(&parser)) {
        return error_set(err, STATUS_NO_MEMORY, "parse YAML", peer,
                         "out of memory");
    }
    yaml_parser_set_input_string(&parser, (const unsigned char *)text, size);
    status_t status;
    if (!yaml_parser_load(&parser, doc)) {
        status = parser_error(&parser, peer, err);
    }
    else {
        status = yaml_document_get_root_node(doc) != NULL
                     ? load_check_single(&parser, peer, err)
                     : load_error(peer, 1, "found no document", err);
        if (status != STATUS_OK) {
            yaml_document_delete(doc);
        }
    }
    yaml_parser_delete(&parser);
    return status;
}

const char *
yaml_node_text(const yaml_node_t *node)
{
    if (node == NULL || node->type != YAML_SCALAR_NODE) {
        return NULL;
    }
    const char *text = (const char *)node->data.scalar.value;
    return strlen(text) == node->data.scalar.length ? text : NULL;
}

bool
yaml_node_integer(const yaml_node_t *node, int64_t *value)
{
    const char *text = yaml_node_text(node);
    if (text == NULL || node->data.scalar.style != YAML_PLAIN_SCALAR_STYLE) {
        return false;
    }
    const char *digits = text[0] == '-' ? text + 1 : text;
    size_t length = strspn(digits, "0123456789");
    if (length == 0 || length > INTEGER_DIGITS_MAX || digits[length] != '\0' ||
        (digits[0] == '0' && length > 1)) {
        return false;
    }
    *value = strtoll(text, NULL, 10);
    return true;
}

size_t
yaml_node_line(const yaml_node_t *node)
{
    return node->start_mark.line + 1;
}

const yaml_node_pair_t *
yaml_mapping_find_duplicate(yaml_document_t *doc, const yaml_node_t *mapping,
                            const yaml_node_pair_t **first)
{
    const yaml_node_pair_t *start = mapping->data.mapping.pairs.start;
    const yaml_node_pair_t *top = mapping->data.mapping.pairs.top;
    for (const yaml_node_pair_t *pair = start; pair < top; pair++) {
        const char *key =
            yaml_node_text(yaml_document_get_node(doc, pair->key));
        for (*first = start; key != NULL && *first < pair; (*first)++) {
            const char *other =
                yaml_node_text(yaml_document_get_node(doc, (*first)->key));
            if (other != NULL && strcmp(key, other) == 0) {
                return pair;
            }
        }
    }
    return NULL;
}
