/*
 * Single-use tickets for requests that may run at most once.
 *
 * A ticket holds the daemon incarnation that issued it, and its request runs
 * nowhere else. Once that incarnation is dead, the ticket can therefore never
 * run again. A ticket is authenticated with the fleet's shared key. It expires
 * by the issuer's monotonic clock, which no other daemon needs to read.
 *
 *     char text[TICKET_TEXT_MAX];
 *     ticket_format(&ticket, &key, text, &err);
 *     ticket_parse(text, &key, &ticket, &err);   // STATUS_DENIED: forged
 *
 * The text is DAEMON.INCARNATION.SEQUENCE.EXPIRY.MAC; all fields but DAEMON
 * are lower-case hexadecimal.
 */
#ifndef CORE_ONCE_TICKET_H
#define CORE_ONCE_TICKET_H

#include "core/part.h"
#include "core/status.h"

enum {
    TICKET_TEXT_MAX = 128, /* bytes of the text, its NUL included */
    TICKET_KEY_MIN = 16    /* least bytes of the shared key */
};

typedef struct {
    char daemon[NAME_SIZE];
    uint64_t incarnation;
    uint64_t sequence;
    int64_t expires_us; /* by the issuer's monotonic clock */
} ticket_t;

/* The fleet's shared key; the bytes belong to the caller. */
typedef struct {
    const uint8_t *bytes;
    size_t size;
} ticket_key_t;

/* STATUS_INVALID: the key is too short; STATUS_INTERNAL: the MAC failed. */
status_t ticket_format(const ticket_t *ticket, const ticket_key_t *key,
                       char text[TICKET_TEXT_MAX], error_t *err);

/*
 * STATUS_INVALID: malformed, or the key is too short; STATUS_DENIED: not
 * authenticated by this fleet's key.
 */
status_t ticket_parse(const char *text, const ticket_key_t *key,
                      ticket_t *ticket, error_t *err);

#endif
