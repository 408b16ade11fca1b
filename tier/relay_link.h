/*
 * Requests that this daemon passes on to another one.
 *
 * A daemon that reaches no upstream relays its callers' requests to a peer,
 * over HTTP at the peer's control address. The peer handles them as requests
 * of its own callers, but does not relay them again.
 *
 *     relay_links_t *links = relay_links_new(loop);
 *     relay_call_t *call = relay_links_send(links, &request, done, owner,
 *                                           now_us);
 *     relay_links_sweep(links, now_us);   // periodically, for timeouts
 *
 * `done` is called once for each call that is not cancelled, never within
 * relay_links_send.
 */
#ifndef TIER_RELAY_LINK_H
#define TIER_RELAY_LINK_H

#include "http/message.h"

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* In a relayed request: the least version of the configuration that the peer
   must have in force. */
#define HEADER_RELAY_VERSION "Yuccarun-Relay-Version"
/* In the response: the version in force at the peer. */
#define HEADER_RELAY_IN_FORCE "Yuccarun-Relay-In-Force"
/* In the response, with the reason: the peer has not handled the request, and
   another one may be asked. */
#define HEADER_RELAY_REFUSED "Yuccarun-Relay-Refused"

typedef struct relay_links relay_links_t;
typedef struct relay_call relay_call_t;

typedef enum {
    RELAY_ANSWERED,
    RELAY_NOT_SENT, /* no connection: the peer has not got the request */
    RELAY_LOST,     /* connection cut or response invalid: may have run */
    RELAY_TIMED_OUT /* no response by the deadline: may have run */
} relay_result_t;

/* A request to relay; the strings are copied. */
typedef struct {
    struct sockaddr_in address; /* of the peer */
    const char *method;
    const char *target;
    const char *head; /* header lines, each ended by CRLF, with Host */
    size_t head_size;
    const void *body;
    size_t body_size;
    uint64_t min_version;
    int64_t deadline_us;
    bool is_plain;   /* a daemon's own message: without the relay's headers */
    bool idempotent; /* else sent only on a new or lately used connection */
} relay_request_t;

/* message: of RELAY_ANSWERED, valid during the call. */
typedef void (*relay_done_fn_t)(void *owner, relay_result_t result,
                                const http_message_t *message, int64_t now_us);

/* NULL: out of memory. */
relay_links_t *relay_links_new(struct ev_loop *loop);

/* Close all connections, without calls of `done`. */
void relay_links_free(relay_links_t *links);

/* NULL: no connection can be opened, or out of memory. */
relay_call_t *relay_links_send(relay_links_t *links,
                               const relay_request_t *request,
                               relay_done_fn_t done, void *owner,
                               int64_t now_us);

/* Close the call's connection; `done` is not called. */
void relay_links_cancel(relay_call_t *call);

/* End all calls as timed out, since the daemon stops. */
void relay_links_fail_all(relay_links_t *links, int64_t now_us);

/* End the calls that have timed out and close idle connections. */
void relay_links_sweep(relay_links_t *links, int64_t now_us);

#endif
