/*
 * The bound on the requests in progress at one upstream: cold start, ramp and
 * backoff.
 *
 * An upstream starts cold. Good replies raise its bound by one slot at a
 * time. A reply that shows that the upstream is cold lowers the bound to the
 * cold slots at once. A shed reply halves the bound and starts a backoff, in
 * which no new request is sent. Several lost requests in a row lower the bound
 * to the cold slots and start a backoff.
 *
 * The health endpoint lags and can be wrong, so what it reports only lowers
 * the bound, and only for a limited time unless replies confirm it.
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
    uint32_t cold;      /* slots of a cold upstream */
    uint32_t successes; /* good replies needed for a raise */
    int64_t step_us;    /* least time between two raises */
} cold_limits_t;

typedef struct {
    bool cold;    /* found cold and not yet ramped up to the full slots */
    bool ramping; /* bound applies; otherwise the full slots do */
    uint32_t bound;
    uint32_t good_replies; /* good replies counted toward the next raise */
    int64_t raised_us;     /* time of the last raise or restart of the ramp */
    int64_t backoff_until_us;
    int64_t backoff_us; /* doubles with each backoff, reset by a good reply */
    bool health_cold;   /* the health endpoint says cold */
    int64_t health_cold_since_us;
    bool health_draining; /* the health endpoint says draining */
    int64_t health_draining_since_us;
    int64_t mean_us; /* moving mean of the service times */
    uint32_t samples;
    uint32_t slow_in_row; /* consecutive slow replies */
    uint32_t lost_in_row; /* consecutive requests without a reply */
} cold_t;

typedef enum {
    COLD_REPLY_GOOD,  /* ran and replied */
    COLD_REPLY_SHED,  /* refused before running */
    COLD_REPLY_LOST,  /* connection lost or no reply in time */
    COLD_REPLY_OTHER, /* replied without doing the work */
    COLD_REPLY_COUNT
} cold_reply_kind_t;

typedef struct {
    cold_reply_kind_t kind;
    bool cold;      /* the reply says that the upstream is cold */
    bool restarted; /* the upstream's boot id changed */
    int64_t service_us;
    int64_t retry_after_us; /* of a shed reply; 0: not given */
} cold_reply_t;

/* All times are in microseconds of one monotonic clock. */
void cold_init(cold_t *cold, const cold_limits_t *limits, int64_t now_us);

/* Updates the bound and the backoff from one reply or lost request. */
void cold_record_reply(cold_t *cold, const cold_limits_t *limits,
                       const cold_reply_t *reply, int64_t now_us);

/*
 * Records the last reply of the health endpoint. An upstream that begins to
 * drain gets no new requests for a limited time; if it is still listed
 * afterwards, it starts cold.
 */
void cold_record_health(cold_t *cold, const cold_limits_t *limits,
                        bool is_cold, bool draining, int64_t now_us);

/* Slots in force; 0 during a backoff or drain. */
uint32_t cold_bound(const cold_t *cold, const cold_limits_t *limits,
                    int64_t now_us);

/* The end of the backoff or drain; a time in the past if there is none. */
int64_t cold_blocked_until(const cold_t *cold);

/*
 * Whether the health endpoint reports a drain that began recently. A report
 * that lasts longer is ignored, since the VM list would show the upstream as
 * leaving by then.
 */
bool cold_is_draining(const cold_t *cold, int64_t now_us);

/*
 * Whether hedges must not be sent: the upstream is or is reported cold, in
 * backoff or draining.
 */
bool cold_refuses_hedges(const cold_t *cold, int64_t now_us);

#endif
