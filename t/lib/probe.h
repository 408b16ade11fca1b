/*
 * Sends one HTTP request to a server on loopback and keeps its reply.
 *
 *     probe_t probe = {.port = port, .method = "GET", .path = "/count"};
 *     probe_send(&probe);
 *     ck_assert_int_eq(probe.status, 200);
 */
#ifndef T_LIB_PROBE_H
#define T_LIB_PROBE_H

#include <stddef.h>
#include <stdint.h>

enum { PROBE_TEXT_SIZE = 16384 };

typedef struct {
    uint16_t port;
    const char *method;
    const char *path;
    const char *body; /* NULL: none */
    long status;      /* of the reply; 0: no complete reply arrived */
    size_t size;      /* of text */
    char text[PROBE_TEXT_SIZE]; /* body of the reply, as far as it fits */
} probe_t;

/* Sends the request and waits for the reply, up to 60 s. */
void probe_send(probe_t *probe);

#endif
