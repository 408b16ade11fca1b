/*
 * One daemon of the query tier: connects the engine to the store, the
 * upstreams, its peers and its listeners.
 *
 *     node_t *node = node_start(loop, &boot, error, sizeof(error));
 *     ev_run(loop, 0);      // returns when node_shutdown has finished
 *     node_free(node);
 */
#ifndef TIER_NODE_H
#define TIER_NODE_H

#include "platform/boot.h"

#include <ev.h>
#include <stddef.h>

typedef struct node node_t;

/*
 * Start a daemon on loop, with a copy of *boot. Returns NULL on failure, and
 * `error` then names the step that failed. Free the daemon with node_free.
 */
node_t *node_start(struct ev_loop *loop, const boot_t *boot, char *error,
                   size_t error_size);
void node_free(node_t *node);

/*
 * Apply changed settings: the address of the store, the grace period, the
 * bounds of drain and convergence, and the TTL of directory answers. Other
 * settings keep their values from the start.
 */
void node_reload(node_t *node, const boot_t *boot);

/* Set the price of leaving the zone for all routes, in microseconds of a
   caller's time; 0: by each route's goal. */
void node_set_zone_price(node_t *node, int64_t price_us);

/*
 * Begin a graceful shutdown. The daemon removes its record from the store,
 * finishes the requests in flight or answers them with an error before the
 * grace period ends, and then breaks the loop. Repeated calls have no effect.
 */
void node_shutdown(node_t *node);

#endif
