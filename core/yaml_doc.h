/*
 * Bounded reading of one YAML document, with line numbers, over libyaml.
 *
 *     yaml_document_t doc;
 *     if (yaml_doc_load(text, size, "table.yaml", &doc, &err) != STATUS_OK) ..
 *     yaml_node_t *root = yaml_document_get_root_node(&doc);
 *     yaml_document_delete(&doc);
 *
 * An alias names the same node as its anchor, so a reader must not recurse
 * without a bound of its own.
 */
#ifndef CORE_YAML_DOC_H
#define CORE_YAML_DOC_H

#include "core/status.h"

#include <stdbool.h>
#include <stdint.h>
#include <yaml.h>

/*
 * Load the only document of text; on success the caller deletes doc. Errors
 * name peer and line: STATUS_INVALID for bad syntax, no or several documents.
 */
status_t yaml_doc_load(const char *text, size_t size, const char *peer,
                       yaml_document_t *doc, error_t *err);

/* Text of a scalar; NULL for another node or one with a NUL inside. */
const char *yaml_node_text(const yaml_node_t *node);

/*
 * A plain (unquoted) decimal whole number without leading zeros or '+', of
 * at most 18 digits; false for everything else.
 */
bool yaml_node_integer(const yaml_node_t *node, int64_t *value);

/* Line of a node, from 1. */
size_t yaml_node_line(const yaml_node_t *node);

/*
 * The first pair of a mapping whose key an earlier pair has already; NULL
 * when there is none. *first gets the earlier one.
 */
const yaml_node_pair_t *
yaml_mapping_find_duplicate(yaml_document_t *doc, const yaml_node_t *mapping,
                            const yaml_node_pair_t **first);

#endif
