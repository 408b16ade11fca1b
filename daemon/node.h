/*
 * A daemon: its workers, fleet membership, peer transport and HTTP server.
 *
 *     node_t *node = node_start(&settings, &err);
 *     node_drain(node);         // graceful: waits until all work has ended
 *     node_stop(node);
 *
 * node_end_drain, called from another thread, ends a graceful shutdown early:
 * queries in progress are cancelled, and each caller gets the outcome that
 * its query had reached.
 */
#ifndef DAEMON_NODE_H
#define DAEMON_NODE_H

#include "edge/settings.h"

typedef struct node node_t;

/* Returns NULL and sets *err if any component fails to start. */
node_t *node_start(const settings_t *settings, error_t *err);

/*
 * Drains the daemon: gives up its ownership, waits until callers no longer
 * use it as an entry, refuses new queries and waits for those in progress, at
 * most settings.drain_most_ms. Then cancels the rest. Returns true if nothing
 * had to be cancelled.
 */
bool node_drain(node_t *node);

/* Ends node_drain early. May be called from any thread. */
void node_end_drain(node_t *node);

/* Stops all components at once and frees the node. */
void node_stop(node_t *node);

#endif
