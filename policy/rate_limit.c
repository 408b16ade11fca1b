#include "policy/rate_limit.h"

#include <xxhash.h>

enum {
    /* Shortest interval between two log lines about one upstream's limit,
       which may change with each response. */
    LOG_INTERVAL_US = 1000000
};

/* The limit that is in force after a response has stated per_s. */
static double
rate_in_force(rate_limit_t *limit, double per_s, int64_t now_us)
{
    if (!limit->stated || per_s <= limit->per_s) {
        limit->higher_since_us = 0;
        return per_s;
    }
    if (limit->higher_since_us == 0) {
        limit->higher_since_us = now_us;
        limit->higher_per_s = per_s;
    }
    else if (per_s < limit->higher_per_s) {
        limit->higher_per_s = per_s;
    }
    if (now_us - limit->higher_since_us < RATE_RISE_US) {
        return limit->per_s;
    }
    limit->higher_since_us = 0;
    return limit->higher_per_s;
}

bool
rate_limit_state(rate_limit_t *limit, double per_s, int64_t now_us)
{
    per_s = rate_in_force(limit, per_s, now_us);
    bool changed = !limit->stated || limit->per_s != per_s;
    if (!limit->stated) {
        *limit = (rate_limit_t){
            .stated = true,
            .stated_us = now_us,
            .tokens_us = now_us,
            .logged_us = now_us - LOG_INTERVAL_US,
        };
    }
    limit->per_s = per_s;
    if (!changed || now_us - limit->logged_us < LOG_INTERVAL_US) {
        return false;
    }
    limit->logged_us = now_us;
    return true;
}

void
rate_limit_clear(rate_limit_t *limit)
{
    *limit = (rate_limit_t){0};
}

/* The daemons with the least hashes get the shares of a limit. */
static uint64_t
sharer_hash(uint64_t id, uint64_t key)
{
    return XXH64(&id, sizeof(id), key);
}

/* This daemon's place among the sharers, from 0; count if it is not listed. */
static uint32_t
sharers_place(const rate_sharers_t *sharers, uint64_t key)
{
    uint64_t own = sharer_hash(sharers->self, key);
    uint32_t before = 0;
    bool listed = false;
    for (uint32_t i = 0; i < sharers->count; i++) {
        listed = listed || sharers->ids[i] == sharers->self;
        before += sharer_hash(sharers->ids[i], key) < own ? 1 : 0;
    }
    return listed ? before : sharers->count;
}

void
rate_limit_divide(rate_limit_t *limit, uint64_t key,
                  const rate_sharers_t *sharers, int64_t now_us)
{
    if (!limit->stated) {
        return;
    }
    limit->tokens = rate_limit_tokens(limit, now_us);
    limit->tokens_us = now_us;
    uint32_t size = sharers->fleet_size > 0 ? sharers->fleet_size : 1;
    uint32_t place = sharers_place(sharers, key);
    double wanted = RATE_SHARERS_PER_REQUEST * limit->per_s + 1;
    if (wanted >= size || sharers->count == 0) {
        limit->share_per_s = limit->per_s / size;
    }
    else if (place < (uint32_t)wanted) {
        limit->share_per_s = limit->per_s / (uint32_t)wanted;
    }
    else {
        limit->share_per_s = 0;
    }
    int64_t every_us = (int64_t)RATE_TURN_US * size;
    if (every_us != limit->turn_every_us) {
        limit->turn_every_us = every_us;
        limit->turn_us = now_us + (int64_t)RATE_TURN_US * (place % size + 1);
    }
}

bool
rate_limit_is_turn(const rate_limit_t *limit, int64_t now_us)
{
    if (!limit->stated || limit->share_per_s > 0 || now_us < limit->turn_us) {
        return false;
    }
    int64_t into_us = (now_us - limit->turn_us) % limit->turn_every_us;
    return into_us < RATE_TURN_US && limit->sent_us < now_us - into_us;
}

double
rate_limit_tokens(const rate_limit_t *limit, int64_t at_us)
{
    double most = limit->share_per_s * RATE_BURST_US / 1e6;
    if (most < 1) {
        most = 1;
    }
    double tokens = limit->tokens + limit->share_per_s *
                                        (double)(at_us - limit->tokens_us) /
                                        1e6;
    return tokens < most ? tokens : most;
}

bool
rate_limit_is_shared(const rate_limit_t *limit, int64_t now_us)
{
    return !limit->stated || limit->share_per_s > 0 ||
           rate_limit_is_turn(limit, now_us);
}

bool
rate_limit_allows(const rate_limit_t *limit, int64_t now_us)
{
    return !limit->stated ||
           (limit->share_per_s > 0 ? rate_limit_tokens(limit, now_us) >= 1
                                   : rate_limit_is_turn(limit, now_us));
}

void
rate_limit_take(rate_limit_t *limit, bool again, int64_t now_us)
{
    if (!limit->stated) {
        return;
    }
    limit->tokens = rate_limit_tokens(limit, now_us) - 1;
    limit->tokens_us = now_us;
    if (limit->tokens < 0) {
        limit->tokens = 0;
    }
    limit->sent_us = now_us;
    limit->sent++;
    limit->sent_again += again ? 1 : 0;
}
