/*
 * Bounded synchronous HTTP calls to the platform, over libcurl.
 *
 *     http_client_t *client = http_client_new();
 *     http_reply_t reply;
 *     http_call_t call = {.url = url, .timeout_ms = 1000, .body_max = 4096};
 *     if (http_client_get(client, &call, &reply, &err) == STATUS_OK) ...
 *     http_reply_release(&reply);
 *     http_client_free(client);
 *
 * A GET uses a kept connection. A PUT is sent at most once: on a connection
 * of its own, without redirects, without Expect, over HTTP/1.1, so that no
 * layer sends it again. One client per thread.
 *
 * Any status code of the server is STATUS_OK here. Otherwise:
 * STATUS_UNAVAILABLE: proven that a PUT was not sent, or a GET failed;
 * STATUS_TIMEOUT, STATUS_UNKNOWN: a PUT was sent, there is no whole answer;
 * STATUS_TOO_LARGE: the answer passes body_max (the call may have had its
 * effect).
 */
#ifndef EDGE_HTTP_CLIENT_H
#define EDGE_HTTP_CLIENT_H

#include "core/status.h"

#include <stddef.h>
#include <stdint.h>

typedef struct http_client http_client_t;

typedef struct {
    const char *step; /* of errors: "store get" */
    const char *peer;
    const char *url;
    uint32_t timeout_ms; /* of the whole call */
    size_t body_max;     /* bytes of the answer's body */
    const char *body;    /* of a PUT */
    size_t body_size;
} http_call_t;

typedef struct {
    long code;
    char *body; /* NUL added; never NULL after STATUS_OK */
    size_t body_size;
    uint64_t index;     /* of X-Consul-Index; 0: none */
    uint64_t bytes_out; /* as far as libcurl tells, headers included */
    uint64_t bytes_in;
} http_reply_t;

http_client_t *http_client_new(void); /* NULL: no memory */
void http_client_free(http_client_t *client);

/* reply is filled in every case and released by the caller. */
status_t http_client_get(http_client_t *client, const http_call_t *call,
                         http_reply_t *reply, error_t *err);
status_t http_client_put(http_client_t *client, const http_call_t *call,
                         http_reply_t *reply, error_t *err);

void http_reply_release(http_reply_t *reply);

#endif
