#include "fleet/partition_poll.h"

bool
partition_poll_wanted(uint64_t turn, size_t service, bool known, bool watcher)
{
    bool own_turn =
        turn % PARTITION_POLL_TURNS == service % PARTITION_POLL_TURNS;
    return !known || watcher || own_turn;
}
