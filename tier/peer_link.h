/*
 * Asking another daemon for what it knows, when this one has just started and
 * the store cannot be reached.
 *
 * The daemons named in the settings are asked one after the other, again and
 * again, until one answers or the answer is not needed any more.
 *
 *     peer_link_t *peers = peer_link_new(loop, addresses, count, told, owner);
 *     peer_link_tick(peers, now_us);      // often, while it is needed
 */
#ifndef TIER_PEER_LINK_H
#define TIER_PEER_LINK_H

#include <ev.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

enum { PEER_SEEDS_MAX = 8 };

/* Where a daemon answers with its state, on its control address. */
#define PEER_STATE_PATH "/fleet/state"

typedef struct peer_link peer_link_t;

/* What a peer has answered; the bytes are valid during the call. */
typedef void (*peer_told_fn)(void *owner, const char *text, size_t size,
                             int64_t now_us);

/* NULL: no memory. */
peer_link_t *peer_link_new(struct ev_loop *loop,
                           const struct sockaddr_in *addresses, uint32_t count,
                           peer_told_fn told, void *owner);
void peer_link_free(peer_link_t *peers);

void peer_link_tick(peer_link_t *peers, int64_t now_us);

#endif
