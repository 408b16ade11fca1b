/*
 * The number of requests a second that an upstream accepts from all daemons
 * together, as it states in its responses, and this daemon's share of it.
 *
 * The daemons divide the limit without talking to each other: all of them know
 * the serving daemons, and each computes its own share, which fills a token
 * bucket. A bucket holds one token, or RATE_BURST_US of the share if that is
 * more, and all daemons may spend their tokens at the same moment. So that
 * this burst stays small against the limit, only as many daemons share a small
 * limit as RATE_SHARERS_PER_REQUEST says, others for each upstream. The rest
 * send only a rare request, in turn, which shows whether the limit still
 * holds.
 *
 *     rate_limit_state(&limit, per_s, now_us);
 *     rate_limit_divide(&limit, instance_key, &sharers, now_us);
 *     if (rate_limit_allows(&limit, now_us)) {
 *         rate_limit_take(&limit, false, now_us);
 *     }
 *     rate_limit_clear(&limit);
 */
#ifndef POLICY_RATE_LIMIT_H
#define POLICY_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* The bucket of a larger share holds the tokens of this time. */
    RATE_BURST_US = 500000,
    /* Daemons without a share take turns of this length. In each turn one of
       them may send one request, which shows whether the limit still holds. A
       turn that is not used is lost: the turns of idle daemons don't add up.
     */
    RATE_TURN_US = 3000000,
    /* A higher limit holds when nothing lower was stated for this long: an
       upstream in need gets no burst because its limit goes up and down. */
    RATE_RISE_US = 10000000
};

/* Daemons that share a limit, per request a second that it allows: all buckets
   together hold at most the tokens of one second, and one more. */
#define RATE_SHARERS_PER_REQUEST 1.0

/* The daemons that send requests to the upstreams. */
typedef struct {
    uint64_t self;       /* id of this daemon */
    const uint64_t *ids; /* of the serving daemons, this one included */
    uint32_t count;      /* 0: unknown */
    uint32_t fleet_size; /* daemons that may be sending, listed or not */
} rate_sharers_t;

/* Zeroed: the upstream states no limit. */
typedef struct {
    bool stated;
    double per_s;            /* in force, from all daemons together */
    double higher_per_s;     /* the least of the higher ones stated lately */
    int64_t higher_since_us; /* 0: none */
    double share_per_s;      /* of this daemon; 0: none */
    double tokens;           /* at tokens_us, one for each request */
    int64_t tokens_us;       /* when tokens was updated */
    int64_t turn_us;         /* without a share: start of its first turn */
    int64_t turn_every_us;   /* from the start of a turn to that of the next */
    int64_t sent_us;         /* the last request */
    int64_t stated_us;       /* the first response that stated a limit */
    int64_t logged_us;       /* the last log line about its value */
    uint64_t sent;           /* requests of this daemon since stated_us */
    uint64_t sent_again;     /* of these, retries and hedges */
} rate_limit_t;

/* A response states a limit. A lower one is in force at once, a higher one
   after RATE_RISE_US. Returns true if the limit in force has changed and is
   due to be logged. rate_limit_divide is to be called next. */
bool rate_limit_state(rate_limit_t *limit, double per_s, int64_t now_us);

/* A response states no limit any more. */
void rate_limit_clear(rate_limit_t *limit);

/* Compute this daemon's share, after the limit or the sharers have changed.
   key: identifies the upstream, the same in all daemons. */
void rate_limit_divide(rate_limit_t *limit, uint64_t key,
                       const rate_sharers_t *sharers, int64_t now_us);

/* Whether a request may be sent now. */
bool rate_limit_allows(const rate_limit_t *limit, int64_t now_us);

/* Whether it is this daemon's turn to send one request without a share. */
bool rate_limit_is_turn(const rate_limit_t *limit, int64_t now_us);

/* Whether the limit allows this daemon any request now or later. */
bool rate_limit_is_shared(const rate_limit_t *limit, int64_t now_us);

/* The tokens at at_us if no request is sent before; the limit is stated. */
double rate_limit_tokens(const rate_limit_t *limit, int64_t at_us);

/* A request is sent; again: a retry or a hedge. */
void rate_limit_take(rate_limit_t *limit, bool again, int64_t now_us);

#endif
