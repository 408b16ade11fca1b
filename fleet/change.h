/*
 * One change of the configuration, carried through compare-and-swap.
 *
 * The decisions only: the caller does the store's calls that change_next asks
 * for and hands their results back.
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
 * What holds, whatever the store does:
 * - A change is accepted only when the store said so, or when a document read
 *   from it remembers the change's id. It is then in force exactly once.
 * - A change is refused only when it is proven that none of its writes took
 *   or will take effect: none was sent, or the key's index passed theirs.
 * - Otherwise the outcome is unknown, and said so.
 * - The version rises by one. The base of a change is the newer of what was
 *   read and what is in force here, so that an old value read, or a store
 *   set back, never makes the version go down.
 * - A change of rows is refused with a conflict when rows were changed after
 *   the version it is based on. Zones and VMs are changed on whatever is
 *   there, since the order of such changes does not matter.
 */
#ifndef FLEET_CHANGE_H
#define FLEET_CHANGE_H

#include "core/table.h"

typedef struct {
    change_kind_t kind;
    char id[CHANGE_ID_SIZE]; /* the same id sent again is the same change */
    char by[NAME_SIZE];
    uint64_t based_on;    /* CHANGE_ROWS: version that the operator saw */
    const config_t *rows; /* CHANGE_ROWS: whose rows are taken */
    char name[NAME_SIZE]; /* of the zone or VM */
    bool out;
} change_edit_t;

typedef struct {
    int64_t timeout_us;   /* final answer at the latest */
    int64_t retry_us;     /* first pause after a failure, jittered */
    unsigned int rereads; /* of a version older than based_on */
    uint64_t seed;        /* of jitter; differs between changes */
} change_settings_t;

#define CHANGE_SETTINGS_DEFAULT                                               \
    {                                                                         \
        .timeout_us = 8000000, .retry_us = 20000, .rereads = 3, .seed = 1     \
    }

typedef enum {
    CHANGE_READ,
    CHANGE_WRITE,
    CHANGE_WAIT, /* nothing before change_wakeup */
    CHANGE_DONE
} change_step_t;

typedef struct {
    uint64_t index;   /* CHANGE_WRITE: the value of cas= */
    const char *text; /* CHANGE_WRITE: valid until the result is handed in */
    size_t size;
} change_request_t;

typedef struct {
    /*
     * STATUS_OK: in force, config is the document that has it.
     * CONFLICT: rows were changed meanwhile; config is what is in force and
     * other names the change that came first. INVALID, TOO_LARGE, DENIED,
     * UNAVAILABLE: not in force, and it will not be. UNKNOWN: it may be.
     */
    status_t status;
    config_t *config;            /* NULL without OK and CONFLICT */
    uint64_t version;            /* OK: that the change made */
    change_record_t conflicting; /* CONFLICT */
    unsigned int reads;
    unsigned int writes;
    error_t err; /* without OK */
} change_outcome_t;

typedef struct change change_t;

/*
 * known: the configuration in force here, or NULL; a reference is taken, and
 * one of edit->rows. NULL and err when the edit itself is bad.
 */
change_t *change_new(const change_settings_t *settings,
                     const change_edit_t *edit, config_t *known,
                     int64_t now_us, error_t *err);
void change_free(change_t *change); /* NULL ok */

change_step_t change_next(change_t *change, int64_t now_us,
                          change_request_t *request);

/* When change_next may next have something to do. */
int64_t change_wakeup(const change_t *change);

/* STATUS_OK with the value and its index, STATUS_NOT_FOUND, or a failure. */
void change_read_result(change_t *change, status_t status, uint64_t index,
                        const char *text, size_t size, int64_t now_us);

/* As store_cas_put answers. */
void change_write_result(change_t *change, status_t status, int64_t now_us);

/* Valid after CHANGE_DONE, until change_free. */
const change_outcome_t *change_outcome(const change_t *change);

#endif
