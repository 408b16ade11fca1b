/*
 * Bodies of the operators' requests and answers.
 */
#ifndef EDGE_OPERATOR_REQUEST_H
#define EDGE_OPERATOR_REQUEST_H

#include "fleet/change.h"

#include <jansson.h>

/* What is wrong with a request; outside the table only message is used. */
typedef struct {
    bool in_table;
    table_fault_t table;
} operator_fault_t;

/*
 * Fill edit, whose kind and name are set, from a body. With CHANGE_ROWS
 * *rows gets one reference, which edit->rows shares. STATUS_INVALID fills
 * fault; NO_MEMORY leaves its message empty.
 */
status_t operator_edit_read(const char *text, size_t size, change_edit_t *edit,
                            config_t **rows, operator_fault_t *fault);

/* New values, NULL: no memory. */
json_t *operator_rows_body(const config_t *config);
json_t *operator_table_body(const config_t *config);
json_t *operator_zones_body(const config_t *config);
json_t *operator_vms_body(const config_t *config);

#endif
