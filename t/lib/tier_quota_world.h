/*
 * Quotas of several daemons in virtual time: messages with a delay and losses,
 * daemons that restart, stand by or see the fleet at different times, and
 * callers. A case says what the callers do and what is expected.
 *
 *     quota_world_t *world = quota_world_new(&quota_case, MODE_WHOLE, seed);
 *     quota_world_run(world);
 *     const char *fault = quota_world_fault(world);
 *     quota_world_free(world);
 */
#ifndef T_LIB_TIER_QUOTA_WORLD_H
#define T_LIB_TIER_QUOTA_WORLD_H

#include "policy/quota.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    MS = 1000,
    SECOND = 1000000,
    DAEMONS_MAX = 60,
    TENANTS_MAX = 200,
    MESSAGES_MAX = 8192,
    WAITERS_MAX = 4096,
    BIN_US = 10000, /* of the counts of admitted requests */
    BINS_MAX = 8000,
    WINDOW_US = 5 * SECOND,
    WARM_US = 15 * SECOND, /* before that, no loss is counted */
    EVENT_US = 25 * SECOND,
    TIMEOUT_US = 200 * MS,
    GOAL_US = 300 * MS,
    HOUSEKEEPING_US = 250 * MS,
    LISTED_US = 500 * MS,   /* after its start a daemon has read the members */
    SETTLED_US = 3 * SECOND /* and is sure of them */
};

/* What is switched off to see which cases notice. */
typedef enum {
    MODE_WHOLE,
    MODE_NO_LENDING, /* equal shares only */
    MODE_NO_SHARES,  /* each daemon admits the whole limit */
    MODES
} quota_mode_t;

typedef struct {
    quota_t quota;
    double weight;   /* its part of the calls */
    int64_t lag_us;  /* by which it sees changes of members and limits */
    int64_t down_us; /* it is down from then until back_us */
    int64_t back_us;
    bool stands_by;
    bool is_up;
    bool side; /* of a partition */
} quota_daemon_t;

typedef struct {
    int64_t at_us;
    uint32_t from;
    uint32_t to;
    bool is_reply;
    bool is_lost;
    quota_ask_t ask;
    double granted[QUOTA_WANTS_MAX];
} quota_message_t;

typedef struct {
    int64_t until_us;
    uint32_t daemon;
    uint32_t tenant;
    bool owed;
} quota_waiter_t;

typedef struct {
    double ideal; /* tokens of one bucket for all daemons */
    int64_t ideal_us;
    int64_t next_us; /* the next call */
    uint16_t admitted[BINS_MAX];
} quota_tenant_t;

typedef struct quota_world quota_world_t;

typedef struct {
    const char *name;
    uint32_t daemons;
    uint32_t standby; /* of these, the last ones */
    uint32_t tenants;
    quota_limit_t limit;
    double load;    /* calls, as a multiple of the rate */
    int64_t calm_s; /* until then it is calm_load */
    double calm_load;
    uint32_t busy;     /* daemons that get busy_share of the calls */
    double busy_share; /* 0: all get the same */
    bool pairs; /* each tenant's calls come to two daemons, others for each */
    int64_t goal_us; /* of the calls; 0: GOAL_US */
    double loss_max; /* refused within the limit; 0: not counted */
    double least;    /* admitted at least, of what is owed; 0: not counted */
    int64_t seconds;
    void (*event)(quota_world_t *world, int64_t now_us); /* each millisecond */
    bool lowers;       /* the limit falls to a tenth for 15 s */
    bool fails[MODES]; /* the case notices what is switched off */
} quota_case_t;

struct quota_world {
    const quota_case_t *c;
    quota_mode_t mode;
    uint64_t random;
    quota_daemon_t daemons[DAEMONS_MAX];
    quota_tenant_t tenants[TENANTS_MAX];
    quota_message_t messages[MESSAGES_MAX];
    uint32_t message_count;
    quota_waiter_t waiters[WAITERS_MAX];
    uint32_t waiter_count;
    bool is_partitioned;
    uint64_t calls;
    uint64_t owed;
    uint64_t lost;
    uint64_t admitted;
    uint64_t asks;
    double worst; /* most admitted in a window, of its bound */
};

/* The bounds in force. */
extern const quota_bounds_t quota_world_bounds;

quota_world_t *quota_world_new(const quota_case_t *c, quota_mode_t mode,
                               uint64_t seed);
void quota_world_run(quota_world_t *world);
void quota_world_free(quota_world_t *world);

/* Why the run breaks the case; NULL: it keeps it. */
const char *quota_world_fault(const quota_world_t *world);

/* The share refused of what one bucket for all daemons would have admitted. */
double quota_world_lost(const quota_world_t *world);

#endif
