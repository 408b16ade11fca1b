#include "fleet/partition_poll.h"

bool
partition_poll_due(uint64_t round, size_t service, bool known, bool watcher)
{
    bool round_due =
        round % PARTITION_POLL_ROUNDS == service % PARTITION_POLL_ROUNDS;
    return !known || watcher || round_due;
}
