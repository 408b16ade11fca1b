/*
 * HTTP requests to another daemon for its view of the fleet: when the store
 * is unreachable, and in a large fleet instead of polling the store.
 *
 *     peer_link_t *link = peer_link_new(loop, on_response, owner);
 *     if (peer_link_is_idle(link)) {
 *         peer_link_request(link, &address, PEER_STATE_PATH, now_us);
 *     }
 *     peer_link_tick(link, now_us);      // periodically, for timeouts
 */
#ifndef TIER_PEER_LINK_H
#define TIER_PEER_LINK_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Path on a daemon's control address that returns its state. */
#define PEER_STATE_PATH "/fleet/state"

typedef struct peer_link peer_link_t;

/* Called once for each request, with the body of the response; `text` is valid
   during the call only. NULL: the request failed, timed out or was answered
   with another status than 200. */
typedef void (*peer_response_fn_t)(void *owner, const char *text, size_t size,
                                   int64_t now_us);

/* NULL: out of memory. */
peer_link_t *peer_link_new(struct ev_loop *loop,
                           peer_response_fn_t on_response, void *owner);
void peer_link_free(peer_link_t *link);

/* Whether no request is pending. */
bool peer_link_is_idle(const peer_link_t *link);

/* Send a request; none may be pending. The connection is kept open and reused
   for the same address. on_response may be called before this returns. */
void peer_link_request(peer_link_t *link, const struct sockaddr_in *address,
                       const char *path, int64_t now_us);

/* Fail the pending request if it has timed out. */
void peer_link_tick(peer_link_t *link, int64_t now_us);

#endif
