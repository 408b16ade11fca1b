/*
 * Synchronous HTTP calls to the platform with libcurl, with a timeout and a
 * limit on the size of the response.
 *
 *     http_client_t *client = http_client_new();
 *     http_reply_t reply;
 *     http_call_t call = {.url = url, .timeout_ms = 1000, .body_max = 4096};
 *     if (http_client_get(client, &call, &reply, &err) == STATUS_OK) ...
 *     http_reply_release(&reply);
 *     http_client_free(client);
 *
 * A GET reuses a kept-alive connection. A PUT is sent at most once: it uses a
 * new connection, no redirects, no Expect header and HTTP/1.1, so that no
 * layer resends it. A client must only be used by one thread.
 *
 * The calls return STATUS_OK for a complete response with any HTTP status.
 * Otherwise they return
 * - STATUS_UNAVAILABLE: no byte of the PUT was sent, or the GET failed;
 * - STATUS_TIMEOUT: the timeout has passed; a PUT may have taken effect;
 * - STATUS_UNKNOWN: the connection failed after the PUT was sent, which may
 *   have taken effect;
 * - STATUS_TOO_LARGE: the response's body exceeds body_max; the call may have
 *   taken effect;
 * - STATUS_NO_MEMORY: nothing was sent.
 */
#ifndef EDGE_HTTP_CLIENT_H
#define EDGE_HTTP_CLIENT_H

#include "core/status.h"

#include <stddef.h>
#include <stdint.h>

typedef struct http_client http_client_t;

typedef struct {
    const char *step; /* for error_t: "store get" */
    const char *peer; /* for error_t */
    const char *url;
    uint32_t timeout_ms; /* for the whole call */
    size_t body_max;     /* largest accepted response body, in bytes */
    const char *body;    /* body of a PUT; NULL: empty */
    size_t body_size;    /* bytes of body */
} http_call_t;

typedef struct {
    long code;  /* HTTP status */
    char *body; /* with a NUL appended; not NULL after STATUS_OK */
    size_t body_size;
    uint64_t index;     /* value of X-Consul-Index; 0: no such header */
    uint64_t bytes_out; /* bytes sent as libcurl counts them, with headers */
    uint64_t bytes_in;  /* bytes received, with headers */
} http_reply_t;

http_client_t *http_client_new(void);         /* NULL: out of memory */
void http_client_free(http_client_t *client); /* NULL ok */

/*
 * Perform a call. Both set *reply in every case; the caller releases it with
 * http_reply_release.
 */
status_t http_client_get(http_client_t *client, const http_call_t *call,
                         http_reply_t *reply, error_t *err);
status_t http_client_put(http_client_t *client, const http_call_t *call,
                         http_reply_t *reply, error_t *err);

void http_reply_release(http_reply_t *reply);

#endif
