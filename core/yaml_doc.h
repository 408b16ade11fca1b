/*
 * Loads a YAML document with libyaml and reads its nodes.
 *
 *     yaml_document_t doc;
 *     if (yaml_doc_load(text, size, "table.yaml", &doc, &err) != STATUS_OK) ..
 *     yaml_node_t *root = yaml_document_get_root_node(&doc);
 *     yaml_document_delete(&doc);
 *
 * An alias resolves to the node of its anchor, so that a document can contain
 * itself. A caller that descends into nodes must limit the depth.
 */
#ifndef CORE_YAML_DOC_H
#define CORE_YAML_DOC_H

#include "core/status.h"

#include <stdbool.h>
#include <stdint.h>
#include <yaml.h>

/*
 * Loads the only document of text; on STATUS_OK the caller deletes doc. peer
 * names the source in error messages, which also give the line. Errors:
 * STATUS_INVALID for a syntax error, no document or several documents, and
 * STATUS_NO_MEMORY.
 */
status_t yaml_doc_load(const char *text, size_t size, const char *peer,
                       yaml_document_t *doc, error_t *err);

/*
 * Returns the text of a scalar, valid as long as the document; NULL for NULL,
 * another kind of node or a scalar that contains a NUL.
 */
const char *yaml_node_text(const yaml_node_t *node);

/*
 * Parses a plain (unquoted) decimal whole number of at most 18 digits, without
 * a leading zero or '+'. Returns false for any other node.
 */
bool yaml_node_integer(const yaml_node_t *node, int64_t *value);

/* Returns the line of a node, from 1. */
size_t yaml_node_line(const yaml_node_t *node);

/*
 * Returns the first pair of a mapping that repeats the key of an earlier pair,
 * and that earlier pair in *first, or NULL if all keys differ. Takes quadratic
 * time. Keys without text (see yaml_node_text) are ignored.
 */
const yaml_node_pair_t *
yaml_mapping_find_duplicate(yaml_document_t *doc, const yaml_node_t *mapping,
                            const yaml_node_pair_t **first);

#endif
