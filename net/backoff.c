#include "net/backoff.h"

#include <xxhash.h>

int64_t
backoff_delay_us(uint32_t failures, uint64_t seed)
{
    int64_t delay_us = BACKOFF_BASE_US;
    for (uint32_t i = 0; i < failures && delay_us < BACKOFF_MAX_US; i++) {
        delay_us *= 2;
    }
    if (delay_us > BACKOFF_MAX_US) {
        delay_us = BACKOFF_MAX_US;
    }
    uint64_t random = XXH64(&failures, sizeof(failures), seed);
    return delay_us / 2 + (int64_t)(random % (uint64_t)(delay_us / 2 + 1));
}

uint32_t
backoff_next_failures(uint32_t failures, int64_t lasted_us)
{
    if (lasted_us >= BACKOFF_STABLE_US) {
        return 0;
    }
    return failures == UINT32_MAX ? failures : failures + 1;
}
