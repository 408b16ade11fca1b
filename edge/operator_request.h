/*
 * JSON bodies of the operators' requests and responses.
 */
#ifndef EDGE_OPERATOR_REQUEST_H
#define EDGE_OPERATOR_REQUEST_H

#include "fleet/change.h"

#include <jansson.h>

/* The error in a request. */
typedef struct {
    bool in_table;       /* the error is in the rows: table gives the place */
    table_fault_t table; /* unless in_table, only message is meaningful */
} operator_fault_t;

/*
 * Parses the body of a request that changes the configuration. The caller sets
 * edit->kind and edit->name; the rest of *edit is set here. For CHANGE_ROWS
 * *rows is a new reference, which the caller releases with config_put after
 * the last use of edit->rows; otherwise and on failure it is NULL. Returns
 * STATUS_INVALID and sets *fault if the body is invalid. STATUS_NO_MEMORY
 * leaves fault's message empty.
 */
status_t operator_edit_read(const char *text, size_t size, change_edit_t *edit,
                            config_t **rows, operator_fault_t *fault);

/*
 * Return the body of a response as a new JSON value, which the caller
 * releases; NULL: out of memory. They show the rows, the whole configuration,
 * the zones out of service and the VMs out of service.
 */
json_t *operator_rows_body(const config_t *config);
json_t *operator_table_body(const config_t *config);
json_t *operator_zones_body(const config_t *config);
json_t *operator_vms_body(const config_t *config);

#endif
