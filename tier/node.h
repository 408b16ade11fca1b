/*
 * One daemon of the query tier on the platform: everything wired together.
 *
 *     node_t *node = node_start(loop, &boot, why, sizeof(why));
 *     ev_run(loop, 0);      // until node_leave has run its course
 *     node_free(node);
 */
#ifndef TIER_NODE_H
#define TIER_NODE_H

#include "platform/boot.h"

#include <ev.h>
#include <stddef.h>

typedef struct node node_t;

/* NULL: why says which step failed. */
node_t *node_start(struct ev_loop *loop, const boot_t *boot, char *why,
                   size_t why_size);
void node_free(node_t *node);

/* Take over settings that have changed. */
void node_reload(node_t *node, const boot_t *boot);

/* Finish what is there and end the loop. */
void node_shutdown(node_t *node);

#endif
