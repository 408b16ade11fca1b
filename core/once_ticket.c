#include "core/once_ticket.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum {
    MAC_BYTES = 32,           /* of HMAC-SHA256 */
    MAC_TRUNCATED_BYTES = 16, /* of the MAC that a ticket carries */
    MAC_HEX_DIGITS = MAC_TRUNCATED_BYTES * 2,
    HEX_DIGITS_MAX = 16, /* of a 64-bit field */
    BODY_MAX = TICKET_TEXT_MAX - MAC_HEX_DIGITS - 1
};

/* Writes the MAC of the body, the text before the last dot, in hexadecimal. */
static status_t
ticket_mac(const char *body, size_t size, const ticket_key_t *key,
           char text[MAC_HEX_DIGITS + 1], error_t *err)
{
    uint8_t mac[MAC_BYTES];
    if (key->size < TICKET_KEY_MIN) {
        return error_set(err, STATUS_INVALID, "check ticket key", "-",
                         "the key has %zu bytes, but must have at least %d",
                         key->size, TICKET_KEY_MIN);
    }
    int code = gnutls_hmac_fast(GNUTLS_MAC_SHA256, key->bytes, key->size, body,
                                size, mac);
    if (code < 0) {
        return error_set(err, STATUS_INTERNAL, "compute ticket MAC", "-", "%s",
                         gnutls_strerror(code));
    }
    for (int i = 0; i < MAC_TRUNCATED_BYTES; i++) {
        snprintf(text + (ptrdiff_t)i * 2, 3, "%02x", mac[i]);
    }
    return STATUS_OK;
}

status_t
ticket_format(const ticket_t *ticket, const ticket_key_t *key,
              char text[TICKET_TEXT_MAX], error_t *err)
{
    int size = snprintf(text, BODY_MAX, "%s.%" PRIx64 ".%" PRIx64 ".%" PRIx64,
                        ticket->daemon, ticket->incarnation, ticket->sequence,
                        (uint64_t)ticket->expires_us);
    char mac[MAC_HEX_DIGITS + 1];
    status_t status = ticket_mac(text, (size_t)size, key, mac, err);
    if (status != STATUS_OK) {
        return status;
    }
    text[size] = '.';
    memcpy(text + size + 1, mac, sizeof(mac));
    return STATUS_OK;
}

/*
 * Parses the hexadecimal field that ends at *end and moves *end to the dot
 * before it.
 */
static bool
parse_last_field(const char *text, size_t *end, uint64_t *value)
{
    size_t start = *end;
    *value = 0;
    while (start > 0 && text[start - 1] != '.') {
        start--;
    }
    size_t digits = *end - start;
    if (start == 0 || digits == 0 || digits > HEX_DIGITS_MAX) {
        return false;
    }
    for (size_t i = start; i < *end; i++) {
        const char *hex = "0123456789abcdef";
        const char *digit = strchr(hex, text[i]);
        if (digit == NULL || text[i] == '\0') {
            return false;
        }
        *value = *value << 4 | (uint64_t)(digit - hex);
    }
    *end = start - 1;
    return true;
}

static bool
parse_body(const char *text, size_t size, ticket_t *ticket)
{
    uint64_t expires = 0;
    size_t end = size;
    memset(ticket, 0, sizeof(*ticket));
    if (!parse_last_field(text, &end, &expires) ||
        !parse_last_field(text, &end, &ticket->sequence) ||
        !parse_last_field(text, &end, &ticket->incarnation)) {
        return false;
    }
    if (end == 0 || end >= NAME_SIZE || expires > INT64_MAX) {
        return false;
    }
    memcpy(ticket->daemon, text, end);
    ticket->expires_us = (int64_t)expires;
    return true;
}

status_t
ticket_parse(const char *text, const ticket_key_t *key, ticket_t *ticket,
             error_t *err)
{
    size_t size = strnlen(text, TICKET_TEXT_MAX);
    if (size == TICKET_TEXT_MAX || size <= MAC_HEX_DIGITS + 1 ||
        text[size - MAC_HEX_DIGITS - 1] != '.') {
        return error_set(err, STATUS_INVALID, "read ticket", "caller",
                         "the ticket is too long or does not end in a MAC");
    }
    size_t body = size - MAC_HEX_DIGITS - 1;
    char mac[MAC_HEX_DIGITS + 1];
    status_t status = ticket_mac(text, body, key, mac, err);
    if (status != STATUS_OK) {
        return status;
    }
    if (gnutls_memcmp(mac, text + body + 1, MAC_HEX_DIGITS) != 0) {
        return error_set(err, STATUS_DENIED, "read ticket", "caller",
                         "the ticket's MAC does not match the fleet's key");
    }
    if (!parse_body(text, body, ticket)) {
        return error_set(err, STATUS_INVALID, "read ticket", "caller",
                         "the ticket is not of the form "
                         "DAEMON.INCARNATION.SEQUENCE.EXPIRY.MAC");
    }
    return STATUS_OK;
}
