/*
 * How much one upstream bears now: cold start, shedding and ramp.
 *
 * An upstream starts cold. Good replies raise its bound by one slot at a
 * time; a reply that shows it cold drops the bound to the cold slots at once,
 * a shed reply halves it and holds new work back for a while, and so do
 * requests that are lost one after another. The health
 * endpoint lags and misleads, so its word only lowers the bound and only for
 * a while, unless replies agree with it.
 *
 *     cold_t cold;
 *     cold_init(&cold, &limits, now_us);
 *     cold_record_reply(&cold, &limits, &reply, now_us);
 *     if (in_progress < cold_bound(&cold, &limits, now_us)) ...
 */
#ifndef CORE_COLD_H
#define CORE_COLD_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint32_t full;      /* slots of a warm upstream */
    uint32_t cold;      /* slots of a cold one */
    uint32_t successes; /* good replies needed for a raise */
    int64_t step_us;    /* least time between two raises */
} cold_limits_t;

typedef struct {
    bool cold;    /* judged cold and not yet ramped to full */
    bool ramping; /* bound is in force; else the full slots are */
    uint32_t bound;
    uint32_t good_replies; /* replies since the last raise */
    int64_t raised_us;
    int64_t backoff_until_us; /* nothing new goes before, after a shed */
    int64_t backoff_us;       /* the next hold without advice */
    bool health_cold;
    int64_t health_cold_since_us; /* since when */
    bool health_draining;
    int64_t health_draining_since_us;
    int64_t mean_us; /* moving mean of replies */
    uint32_t samples;
    uint32_t slow_in_row; /* slow replies in a row */
    uint32_t lost_in_row; /* requests without any reply in a row */
} cold_t;

typedef enum {
    COLD_REPLY_GOOD,  /* ran and answered */
    COLD_REPLY_SHED,  /* refused before running */
    COLD_REPLY_LOST,  /* connection lost or no answer in time */
    COLD_REPLY_OTHER, /* answered without doing the work */
    COLD_REPLY_COUNT
} cold_reply_kind_t;

typedef struct {
    cold_reply_kind_t kind;
    bool cold;      /* the upstream says so itself */
    bool restarted; /* its boot id changed */
    int64_t service_us;
    int64_t retry_after_us; /* of a shed; 0: no advice */
} cold_reply_t;

void cold_init(cold_t *cold, const cold_limits_t *limits, int64_t now_us);

/* Learn from one reply. */
void cold_record_reply(cold_t *cold, const cold_limits_t *limits,
                       const cold_reply_t *reply, int64_t now_us);

/*
 * Learn what the health endpoint said last. One that begins to drain gets
 * nothing new for a while; if it is still there then, it starts cold.
 */
void cold_record_health(cold_t *cold, const cold_limits_t *limits,
                        bool is_cold, bool draining, int64_t now_us);

/* Slots in force; 0 while new work is held back. */
uint32_t cold_bound(const cold_t *cold, const cold_limits_t *limits,
                    int64_t now_us);

/* When new work may go again, by the clock alone; now_us or earlier: now. */
int64_t cold_blocked_until(const cold_t *cold);

/* Whether it is said to drain, not long enough for that to be doubted. */
bool cold_is_draining(const cold_t *cold, int64_t now_us);

/* Whether hedges must stay away. */
bool cold_refuses_hedges(const cold_t *cold, int64_t now_us);

#endif
