/*
 * Asking another daemon for what it knows: when the store cannot be reached,
 * and in a large fleet instead of the store.
 *
 *     peer_link_t *link = peer_link_new(loop, told, owner);
 *     if (peer_link_is_idle(link)) {
 *         peer_link_request(link, &address, PEER_STATE_PATH, now_us);
 *     }
 *     peer_link_tick(link, now_us);      // often
 */
#ifndef TIER_PEER_LINK_H
#define TIER_PEER_LINK_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Where a daemon answers with its state, on its control address. */
#define PEER_STATE_PATH "/fleet/state"

typedef struct peer_link peer_link_t;

/* What a peer has answered; the bytes are valid during the call. NULL: there
   is no answer, or none that is good. */
typedef void (*peer_reply_fn_t)(void *owner, const char *text, size_t size,
                                int64_t now_us);

/* NULL: no memory. */
peer_link_t *peer_link_new(struct ev_loop *loop, peer_reply_fn_t on_reply,
                           void *owner);
void peer_link_free(peer_link_t *link);

/* Whether no answer is awaited. */
bool peer_link_is_idle(const peer_link_t *link);

/* Ask. A connection is kept for the next question to the same address. */
void peer_link_request(peer_link_t *link, const struct sockaddr_in *address,
                       const char *path, int64_t now_us);

/* Give up an answer that does not come. */
void peer_link_tick(peer_link_t *link, int64_t now_us);

#endif
