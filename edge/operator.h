/*
 * The operators' HTTP endpoints: the table, zones and VMs.
 *
 *     operator_api_t *operators = operator_api_new(&settings, &ops, daemon);
 *     if (!operator_api_register(operators, &http)) ...     before http is
 * started
 *     ... ulfius_stop_framework(&http) ...
 *     operator_api_free(operators);
 *
 * Every request needs the token; without it nothing of the request is looked
 * at. The functions of operator_ops_t are called from the HTTP server's
 * threads, several at one time.
 */
#ifndef EDGE_OPERATOR_H
#define EDGE_OPERATOR_H

#include "fleet/change.h"

enum {
    OPERATOR_NAMES_MAX = 256, /* daemons listed in an answer */
    OPERATOR_CHANGES_MAX = 8, /* changes in progress at one time */
    OPERATOR_TOKEN_MAX_BYTES = 256,
    OPERATOR_CONFIRM_POLL_MS = 50
};

struct _u_instance;

/* Names of daemons. */
typedef struct {
    char names[OPERATOR_NAMES_MAX][NAME_SIZE];
    size_t count;
} operator_names_t;

/* What operators asked for and how it ended; counted and reported. */
typedef enum {
    OPERATOR_READ,        /* an answer without a change */
    OPERATOR_DENIED,      /* no token or a wrong one */
    OPERATOR_BAD_REQUEST, /* the request or the table breaks a rule */
    OPERATOR_ACCEPTED,
    OPERATOR_HELD, /* kept out by the daemons, not yet in the store */
    OPERATOR_CONFLICT,
    OPERATOR_REFUSED, /* proven not in force: store down, too many at once */
    OPERATOR_UNKNOWN, /* the store did not confirm */
    OPERATOR_RESULT_COUNT
} operator_result_t;

typedef struct {
    /* One reference to the configuration in force; NULL: none. */
    config_t *(*current)(void *daemon);

    /* Which live daemons have this version or a later one, and which not. */
    void (*confirmations)(void *daemon, uint64_t version,
                          operator_names_t *confirmed,
                          operator_names_t *waiting);

    /*
     * Run a change to its end and put what was accepted into force here; the
     * result is freed by change_free. NULL and err: the edit is bad.
     */
    change_t *(*run_change)(void *daemon, const change_edit_t *edit,
                            error_t *err);

    /*
     * Keep the zone or VM of an edit out on all daemons at once, or let it in
     * again, without the store; true when that is now so.
     */
    bool (*hold)(void *daemon, const change_edit_t *edit);

    /* Whether the zone or VM of an edit is kept out without the store. */
    bool (*is_held)(void *daemon, const change_edit_t *edit);

    /* Whether a zone or VM of this name was seen in the VM list. */
    bool (*is_known)(void *daemon, change_kind_t kind, const char *name);

    /* Told of each request but those that only read; err names the client. */
    void (*report)(void *daemon, operator_result_t result, error_t *err);
} operator_ops_t;

typedef struct {
    char token[OPERATOR_TOKEN_MAX_BYTES];
    size_t token_size;
    uint64_t incarnation;    /* of this daemon, for ids of changes */
    size_t body_max_bytes;   /* of a request */
    uint32_t confirm_ms_max; /* longest wait for all daemons to confirm */
} operator_settings_t;

typedef struct operator_api operator_api_t;

operator_api_t *operator_api_new(const operator_settings_t *settings,
                                 const operator_ops_t *ops, void *daemon);
void operator_api_free(operator_api_t *api);

/* Add the endpoints to an instance; false: no memory. */
bool operator_api_register(operator_api_t *api, struct _u_instance *http);

/* Requests that ended so, since the start. */
uint64_t operator_api_count(const operator_api_t *api,
                            operator_result_t result);

/* Name for metrics: "denied". */
const char *operator_result_name(operator_result_t result);

#endif
