/*
 * One change of the configuration, stored by compare-and-swap.
 *
 * A change_t does no I/O: the caller makes the calls to the store that
 * change_next returns and passes the results back.
 *
 *     change_t *change = change_new(&settings, &edit, known, now, &err);
 *     for (;;) switch (change_next(change, now, &request)) {
 *         case CHANGE_READ:  get yuccarun/config; change_read_result(...);
 *         case CHANGE_WRITE: put request.text with cas=request.index;
 *                            change_write_result(...);
 *         case CHANGE_WAIT:  sleep until change_wakeup(change);
 *         case CHANGE_DONE:  change_outcome(change) is final }
 *     change_free(change);
 *
 * Invariants, whatever the store does:
 * - A change is accepted only if the store confirmed the write, or if a
 *   document has the change's id in its history. It has then been applied
 *   exactly once.
 * - A change is refused only if none of its writes has taken or can take
 *   effect: none was sent, or the key's index is higher than the cas= of each.
 * - Otherwise the outcome is STATUS_UNKNOWN.
 * - Each change raises the version by one. It is applied to the newer of the
 *   document read and the document in force on this daemon, so that neither a
 *   stale read nor a store that lost changes ever lowers the version.
 * - A change of rows is refused with a conflict if rows were changed after
 *   version based_on. Changes of zones and VMs apply to any version, since
 *   their order does not matter.
 */
#ifndef FLEET_CHANGE_H
#define FLEET_CHANGE_H

#include "core/table.h"

typedef struct {
    change_kind_t kind;
    char id[CHANGE_ID_SIZE]; /* makes the change idempotent */
    char by[NAME_SIZE];      /* the operator */
    uint64_t based_on;       /* CHANGE_ROWS: version that the operator saw */
    const config_t *rows;    /* CHANGE_ROWS: configuration with the new rows */
    char name[NAME_SIZE];    /* of the zone or VM */
    bool out;                /* whether it is to be out of service */
} change_edit_t;

typedef struct {
    int64_t timeout_us; /* deadline of the change, from change_new */
    int64_t retry_us;   /* first pause after a failure; backoff with jitter */
    unsigned int rereads; /* limit on retries of reads older than based_on */
    uint64_t seed;        /* of the jitter; differs between changes */
} change_settings_t;

#define CHANGE_SETTINGS_DEFAULT                                               \
    {                                                                         \
        .timeout_us = 8000000, .retry_us = 20000, .rereads = 3, .seed = 1     \
    }

typedef enum {
    CHANGE_READ,  /* read the document from the store */
    CHANGE_WRITE, /* write request.text to the store */
    CHANGE_WAIT,  /* nothing to do before change_wakeup */
    CHANGE_DONE   /* change_outcome is final */
} change_step_t;

typedef struct {
    uint64_t index;   /* CHANGE_WRITE: the value of cas= */
    const char *text; /* CHANGE_WRITE: valid until change_write_result */
    size_t size;
} change_request_t;

typedef struct {
    /*
     * STATUS_OK: the change is in force, config is the document with it.
     * STATUS_CONFLICT: rows were changed by another change, `conflicting`;
     * config is the document in force. STATUS_UNKNOWN: the change may be in
     * force, now or later. Other statuses, such as INVALID, TOO_LARGE, DENIED
     * and UNAVAILABLE: the change is not in force and will not be.
     */
    status_t status;
    config_t *config;            /* valid if OK or CONFLICT */
    uint64_t version;            /* OK: version that the change made */
    change_record_t conflicting; /* CONFLICT: see above */
    unsigned int reads;
    unsigned int writes;
    error_t err; /* unless OK */
} change_outcome_t;

typedef struct change change_t;

/*
 * Create a change. known: the configuration in force on this daemon, or NULL.
 * The change takes its own references to it and to edit->rows. Returns NULL
 * and sets *err if the edit is invalid, or when out of memory.
 */
change_t *change_new(const change_settings_t *settings,
                     const change_edit_t *edit, config_t *known,
                     int64_t now_us, error_t *err);
void change_free(change_t *change); /* NULL ok */

/*
 * Returns the next step. After CHANGE_READ or CHANGE_WRITE it returns
 * CHANGE_WAIT until the result has been passed in.
 */
change_step_t change_next(change_t *change, int64_t now_us,
                          change_request_t *request);

/* When to call change_next again. */
int64_t change_wakeup(const change_t *change);

/*
 * Pass in the result of a CHANGE_READ: STATUS_OK with the value and its index,
 * STATUS_NOT_FOUND, or a failure.
 */
void change_read_result(change_t *change, status_t status, uint64_t index,
                        const char *text, size_t size, int64_t now_us);

/* Pass in the result of a CHANGE_WRITE, as store_cas_put returns it. */
void change_write_result(change_t *change, status_t status, int64_t now_us);

/* Final after CHANGE_DONE; valid until change_free. */
const change_outcome_t *change_outcome(const change_t *change);

#endif
