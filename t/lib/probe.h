/*
 * One HTTP call to a server on loopback, as a test sees it.
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
    long status;      /* 0: no whole reply came */
    size_t size;
    char text[PROBE_TEXT_SIZE];
} probe_t;

void probe_send(probe_t *probe);

#endif
