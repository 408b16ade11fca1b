/*
 * Which daemons read which published partition from the store, and when.
 *
 * The watchers of each zone (confsync_is_watcher) read every partition in each
 * poll round and notify the other daemons of changes. The other daemons read
 * partitions that they do not know yet, and each known one once every
 * PARTITION_POLL_ROUNDS rounds in case a notification was lost. They read a
 * few services per round to spread the calls.
 */
#ifndef FLEET_PARTITION_POLL_H
#define FLEET_PARTITION_POLL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { PARTITION_POLL_ROUNDS = 15 };

/*
 * Whether to read the partition of the service with index `service` in poll
 * round `round`. known: this daemon has the service's partition.
 */
bool partition_poll_due(uint64_t round, size_t service, bool known,
                        bool watcher);

#endif
