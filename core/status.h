/*
 * Status codes and error descriptions.
 *
 * Every function that can fail for a reason outside the program returns a
 * status_t. If that is not STATUS_OK, it fills the caller's error_t with the
 * step that failed, the peer or file concerned and a message:
 *
 *     error_t err = ERROR_INIT;
 *     if (store_get(store, key, &value, &err) != STATUS_OK)
 *         event_log(EVENT_STORE_DOWN, "%s", error_text(&err));
 *
 * An error_t owns nothing and needs no release.
 */
#ifndef CORE_STATUS_H
#define CORE_STATUS_H

typedef enum {
    STATUS_OK = 0,
    STATUS_INVALID,     /* input breaks the rule that the message names */
    STATUS_NOT_FOUND,   /* the named object does not exist */
    STATUS_CONFLICT,    /* a compare-and-swap lost against another writer */
    STATUS_UNAVAILABLE, /* the peer refused or could not be reached */
    STATUS_TIMEOUT,     /* no answer in time; it may have taken effect */
    STATUS_UNKNOWN,     /* connection lost; it may have taken effect */
    STATUS_TOO_LARGE,   /* a size limit was exceeded */
    STATUS_DENIED,      /* missing or wrong credentials */
    STATUS_NO_MEMORY,
    STATUS_INTERNAL
} status_t;

/* Buffer sizes in bytes, the NUL included; longer texts are truncated. */
enum {
    ERROR_STEP_MAX = 48,
    ERROR_PEER_MAX = 64,
    ERROR_MESSAGE_MAX = 256,
    ERROR_TEXT_MAX = 400
};

/* Where and why a step failed. */
typedef struct {
    status_t status;
    char step[ERROR_STEP_MAX]; /* "store get", "read settings" */
    char peer[ERROR_PEER_MAX]; /* "10.0.0.4:7001", "file.yaml:12" */
    char message[ERROR_MESSAGE_MAX];
    char text[ERROR_TEXT_MAX]; /* buffer of error_text */
} error_t;

#define ERROR_INIT                                                            \
    {                                                                         \
        .status = STATUS_OK                                                   \
    }

/* Static lower-case name of a status: "ok", "conflict". */
const char *status_name(status_t status);

/*
 * Fill err, which may be NULL, and return status, so that a failure takes one
 * line: return error_set(err, STATUS_TIMEOUT, "store get", peer, "...").
 */
status_t error_set(error_t *err, status_t status, const char *step,
                   const char *peer, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* "step: peer: message (status)", valid until err changes. */
const char *error_text(error_t *err);

#endif
