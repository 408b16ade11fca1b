/*
 * The number of requests a second that an upstream accepts from all daemons
 * together, as it states in its responses.
 *
 *     rate_limit_state(&limit, per_s, now_us);
 *     rate_limit_note_sent(&limit, false);
 *     rate_limit_clear(&limit);
 */
#ifndef TIER_RATE_LIMIT_H
#define TIER_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Zeroed: the upstream states no limit. */
typedef struct {
    bool stated;
    double per_s;        /* from all daemons together */
    int64_t stated_us;   /* the first response that stated a limit */
    int64_t logged_us;   /* the last log line about its value */
    uint64_t sent;       /* requests of this daemon since stated_us */
    uint64_t sent_again; /* of these, retries and hedges */
} rate_limit_t;

/* A response states a limit. Returns true if it is the first, or differs from
   the last and is due to be logged. */
bool rate_limit_state(rate_limit_t *limit, double per_s, int64_t now_us);

/* A response states no limit any more. */
void rate_limit_clear(rate_limit_t *limit);

/* A request is sent to the upstream; again: a retry or a hedge. */
void rate_limit_note_sent(rate_limit_t *limit, bool again);

#endif
