/*
 * HTTP API for operators: the table, zones and VMs.
 *
 *     operator_api_t *api = operator_api_new(&settings, &ops, daemon);
 *     if (!operator_api_register(api, &http)) ...    before http is started
 *     ... ulfius_stop_framework(&http) ...
 *     operator_api_free(api);
 *
 * Each request must carry the operators' bearer token, which is checked before
 * anything else in the request. The functions of operator_ops_t are called
 * from the HTTP server's threads, several at a time.
 */
#ifndef EDGE_OPERATOR_H
#define EDGE_OPERATOR_H

#include "fleet/change.h"

enum {
    OPERATOR_NAMES_MAX = 256, /* daemons in an operator_names_t */
    OPERATOR_CHANGES_MAX = 8, /* changes in progress at a time */
    OPERATOR_TOKEN_MAX_BYTES = 256,
    OPERATOR_CONFIRM_POLL_MS = 50 /* interval of calls to confirmations */
};

struct _u_instance;

/* Names of daemons. */
typedef struct {
    char names[OPERATOR_NAMES_MAX][NAME_SIZE];
    size_t count;
} operator_names_t;

/* Result of a request; requests are counted by result. */
typedef enum {
    OPERATOR_READ,        /* read without a change */
    OPERATOR_DENIED,      /* token missing or invalid */
    OPERATOR_BAD_REQUEST, /* the request or the table is invalid */
    OPERATOR_ACCEPTED,    /* the change is in force */
    OPERATOR_HELD,        /* held out of service, not yet in the store */
    OPERATOR_CONFLICT,    /* rows were changed by another change */
    OPERATOR_REFUSED,     /* not done and will not be: store unreachable, too
                             many changes at a time or no configuration */
    OPERATOR_UNKNOWN,     /* the change may be in force */
    OPERATOR_RESULT_COUNT
} operator_result_t;

typedef struct {
    /* Returns a new reference to the configuration in force; NULL: none. */
    config_t *(*current)(void *daemon);

    /*
     * Lists the live daemons that have this version or a later one, and those
     * that don't.
     */
    void (*confirmations)(void *daemon, uint64_t version,
                          operator_names_t *confirmed,
                          operator_names_t *waiting);

    /*
     * Runs a change until its outcome is final and, if it was accepted, puts
     * it into force on this daemon. The caller frees the result with
     * change_free. Returns NULL and sets *err if the edit is invalid.
     */
    change_t *(*run_change)(void *daemon, const change_edit_t *edit,
                            error_t *err);

    /*
     * Holds the zone or VM of an edit out of service on all daemons, or ends
     * the hold, without the store. Returns whether this succeeded.
     */
    bool (*hold)(void *daemon, const change_edit_t *edit);

    /* Returns whether the zone or VM of an edit is held out of service. */
    bool (*is_held)(void *daemon, const change_edit_t *edit);

    /* Returns whether the daemon knows a zone or VM of this name. */
    bool (*is_known)(void *daemon, change_kind_t kind, const char *name);

    /*
     * Reports the result of a request, except OPERATOR_READ. err has the path
     * as step, the client's address as peer, and the HTTP status and the
     * reason as message.
     */
    void (*report)(void *daemon, operator_result_t result, error_t *err);
} operator_ops_t;

typedef struct {
    char token[OPERATOR_TOKEN_MAX_BYTES];
    size_t token_size;
    uint64_t incarnation;    /* of this daemon, part of the ids of changes */
    size_t body_max_bytes;   /* limit on a request's body */
    uint32_t confirm_ms_max; /* longest wait for confirmations of a change */
} operator_settings_t;

typedef struct operator_api operator_api_t;

/*
 * Creates the API with a copy of the settings; ops and daemon must outlive it.
 * Returns NULL if out of memory.
 */
operator_api_t *operator_api_new(const operator_settings_t *settings,
                                 const operator_ops_t *ops, void *daemon);

/* Erases the token and frees the API; NULL ok. */
void operator_api_free(operator_api_t *api);

/* Adds the endpoints to the instance; returns false if ulfius fails. */
bool operator_api_register(operator_api_t *api, struct _u_instance *http);

/* Returns the number of requests with this result since the start. */
uint64_t operator_api_count(const operator_api_t *api,
                            operator_result_t result);

/* Returns the name of a result in metrics and events: "denied". */
const char *operator_result_name(operator_result_t result);

#endif
