/*
 * A whole daemon: workers, fleet, transport to peers and the HTTP edge.
 *
 *     node_t *node = node_start(&settings, &err);
 *     node_drain(node);         // graceful: returns when all has ended
 *     node_stop(node);
 *
 * node_end_drain, from another thread, ends a graceful shutdown early: what
 * still runs is cancelled and answered truthfully.
 */
#ifndef DAEMON_NODE_H
#define DAEMON_NODE_H

#include "edge/settings.h"

typedef struct node node_t;

/* NULL with *err set when a part cannot start. */
node_t *node_start(const settings_t *settings, error_t *err);

/* Shut down without cutting a request; true when nothing was cut. */
bool node_drain(node_t *node);

/* End node_drain early; may be called from any thread. */
void node_end_drain(node_t *node);

/* End everything at once and free. */
void node_stop(node_t *node);

#endif
