/*
 * One-use tickets for requests that may not be repeated.
 *
 * A ticket names the daemon incarnation that issued it and runs nowhere else,
 * so that once this incarnation is dead the ticket can never run again. It is
 * authenticated with the fleet's shared key; its expiry is in the issuer's
 * own monotonic clock, which no other daemon needs to read.
 *
 *     char text[TICKET_TEXT_MAX];
 *     ticket_format(&ticket, &key, text, &err);
 *     ticket_parse(text, &key, &ticket, &err);   // STATUS_DENIED: forged
 *
 * Text: DAEMON.INCARNATION.SEQUENCE.EXPIRY.MAC, all but the name in lower
 * case hexadecimal.
 */
#ifndef CORE_ONCE_TICKET_H
#define CORE_ONCE_TICKET_H

#include "core/part.h"
#include "core/status.h"

enum {
    TICKET_TEXT_MAX = 128, /* bytes of the text, its NUL included */
    TICKET_KEY_MIN = 16    /* bytes of the shared key */
};

typedef struct {
    char daemon[NAME_SIZE];
    uint64_t incarnation;
    uint64_t sequence;
    int64_t expires_us; /* issuer's monotonic clock */
} ticket_t;

typedef struct {
    const uint8_t *bytes;
    size_t size;
} ticket_key_t;

status_t ticket_format(const ticket_t *ticket, const ticket_key_t *key,
                       char text[TICKET_TEXT_MAX], error_t *err);

/* STATUS_INVALID: not a ticket; STATUS_DENIED: not of this fleet. */
status_t ticket_parse(const char *text, const ticket_key_t *key,
                      ticket_t *ticket, error_t *err);

#endif
