/*
 * Who reads which published partition from the store, and when.
 *
 * The watchers of each zone (confsync_is_watcher) read every partition each
 * turn and tell the others of changes. Those read only what they do not know
 * yet, and the rest once in PARTITION_POLL_ROUNDS turns, in case they were not
 * told; a few services each turn, so that the calls are spread.
 */
#ifndef FLEET_PARTITION_POLL_H
#define FLEET_PARTITION_POLL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { PARTITION_POLL_ROUNDS = 15 };

/* Whether to read the service of that index in the turn of that number. */
bool partition_poll_due(uint64_t round, size_t service, bool known,
                        bool watcher);

#endif
