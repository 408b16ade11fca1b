#include "fleet/owner.h"

#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

#define NAME_SEED UINT64_C(0x6f776e65726e616d)
#define ZONE_SEED UINT64_C(0x6f776e65727a6f6e)
#define SAME_ZONE_BIT (UINT64_C(1) << 63)

owner_key_t
owner_key(const char *name, const char *zone)
{
    return (owner_key_t){
        .name = XXH64(name, strlen(name), NAME_SEED),
        .zone = XXH64(zone, strlen(zone), ZONE_SEED),
    };
}

uint64_t
owner_rank(owner_key_t upstream, owner_key_t member)
{
    bool same_zone = upstream.zone == member.zone;
    uint64_t hash =
        XXH64(&member.name, sizeof(member.name), upstream.name) >> 1;
    return same_zone ? hash | SAME_ZONE_BIT : hash;
}

int
owner_pick(const owner_key_t *members, size_t count, owner_key_t upstream)
{
    int best = -1;
    uint64_t best_rank = 0;
    for (size_t i = 0; i < count; i++) {
        uint64_t rank = owner_rank(upstream, members[i]);
        if (best < 0 || rank > best_rank) {
            best = (int)i;
            best_rank = rank;
        }
    }
    return best;
}
