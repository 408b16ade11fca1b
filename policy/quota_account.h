/*
 * The token bucket of one tenant at one daemon: its part of the tenant's
 * limit, and what it has borrowed from and lent to other daemons. See quota.h.
 *
 * An account is settled before it is read or changed: that brings its tokens,
 * its room and its estimates to the present.
 *
 *     quota_account_open(&account, tenant, &limit, now_us);
 *     quota_account_set_part(&account, &share, parts, owns, since_us);
 *     quota_account_settle(&account, &share, now_us);
 *     quota_account_set_limit(&account, &share, &limit);
 *     if (quota_account_take(&account)) ...
 *     lent = quota_account_lend(&account, wanted, waits, now_us);
 *     quota_account_borrow(&account, &share, lent, waits);
 */
#ifndef POLICY_QUOTA_ACCOUNT_H
#define POLICY_QUOTA_ACCOUNT_H

#include "policy/quota_peers.h"
#include "policy/tenant.h"

#include <stdbool.h>
#include <stdint.h>

/* Window 0: no quota is enforced. */
typedef struct {
    int64_t window_us;
    double excess; /* tolerated beyond the limit, as a share of it */
    double slack;  /* tolerated on top of that, in requests */
} quota_bounds_t;

/* A tenant's limit for all daemons together; rate 0: none. */
typedef struct {
    uint64_t key; /* identifies the tenant, the same at all daemons */
    double rate_per_s;
    double burst;
} quota_limit_t;

/* What is the same for all tenants at this daemon. */
typedef struct {
    quota_bounds_t bounds;
    int64_t serving_since_us; /* when it began to serve */
    /* When the daemons with parts last changed: an account that is opened
       later may have had its part only since then. */
    int64_t changed_us;
} quota_share_t;

/* For the log, about one tenant; the counts are those since the last one. */
typedef struct {
    double part_per_s; /* refill of this daemon's bucket */
    double tokens;
    double borrowed;
    double lent;
    uint32_t refused;
} quota_report_t;

/* Private, except to quota.c. */
typedef struct {
    int64_t settled_us;   /* the time of tokens, room, demand and income */
    int64_t used_us;      /* last request or loan */
    int64_t requested_us; /* last request */
    int64_t reported_us;
    int64_t asked_us; /* last message to a peer */
    double tokens;
    double room;         /* borrowed (+) or lent (-) part of the bucket */
    double waiting_room; /* the same, by loans for which a request waits */
    quota_limit_t limit;
    /* Who has parts; set by quota.c. Peers are indices of quota_peers_t, and
       sets of them are masks of positions in owners. */
    uint16_t owners[QUOTA_PARTS_MAX];
    uint16_t owner_count;
    uint16_t parts; /* of the limit */
    uint16_t asked; /* peers asked in this round */
    uint16_t empty[2]
                  [2]; /* peers that gave nothing: to a request that waits
                          [1] or not [0], in this turn [0] or the last [1] */
    uint32_t version;  /* of the peers, to which this refers */
    uint32_t empty_turn;
    tenant_id_t tenant;
    uint32_t refused;
    float demand_per_s;
    float usual_per_s;  /* the same over a longer time */
    float income_per_s; /* loans received */
    float borrowed;     /* since the last report, as lent and refused */
    float lent;
    uint16_t asking; /* messages in flight */
    bool is_queued;  /* in quota_t.short_queue */
    bool owns;       /* this daemon has a part */
} quota_account_t;

/* Open an account, without a part. */
void quota_account_open(quota_account_t *account, tenant_id_t tenant,
                        const quota_limit_t *limit, int64_t now_us);

void quota_account_settle(quota_account_t *account, const quota_share_t *share,
                          int64_t now_us);

/* Drop the tokens above the bucket, after share has changed. */
void quota_account_clamp(quota_account_t *account, const quota_share_t *share);

/* The limit in force; a lower one drops tokens, a higher one adds none. */
void quota_account_set_limit(quota_account_t *account,
                             const quota_share_t *share,
                             const quota_limit_t *limit);

/* The number of parts that the limit is divided into by that many serving
   daemons. */
uint32_t quota_account_parts(const quota_account_t *account,
                             const quota_share_t *share, uint32_t serving);

/* This daemon has one of so many parts from now on, or none. A part that
   begins has the tokens that a bucket starts with; with since_us less than
   now_us also those that it would have got since. */
void quota_account_set_part(quota_account_t *account,
                            const quota_share_t *share, uint32_t parts,
                            bool owns, int64_t since_us);

/* The refill of the bucket. */
double quota_account_part_per_s(const quota_account_t *account);

/* Take a token; false: there is none. */
bool quota_account_take(quota_account_t *account);

/* Note a request for the estimate of demand. */
void quota_account_note_demand(quota_account_t *account);

/* Whether tokens are to be borrowed ahead of requests. */
bool quota_account_is_short(const quota_account_t *account,
                            const quota_share_t *share);

/* How many tokens to ask for. waits: a request waits for them. */
double quota_account_want(const quota_account_t *account, bool waits);

/* Deduct and return what a peer gets that wants so much. waits: a request
   waits there. */
double quota_account_lend(quota_account_t *account, double wanted, bool waits,
                          int64_t now_us);

/* Add a loan. waits: it was asked for a request that waits. */
void quota_account_borrow(quota_account_t *account, const quota_share_t *share,
                          double tokens, bool waits);

/* The time in microseconds until a token is here, from refill and from loans
   at their recent rate; QUOTA_RETRY_MIN_US to QUOTA_RETRY_MAX_US. */
int64_t quota_account_retry_us(const quota_account_t *account);

/* The peers that gave nothing lately. */
uint32_t quota_account_empty_peers(quota_account_t *account, bool waits,
                                   int64_t now_us);

/* A peer, at that position in owners, was asked for so much and gave a loan of
   that size. */
void quota_account_note_loan(quota_account_t *account, uint32_t position,
                             double wanted, double tokens, bool waits,
                             int64_t now_us);

/* Whether a line about the tenant is due, at most one a second; fills report
   and resets its counts. */
bool quota_account_report(quota_account_t *account, quota_report_t *report,
                          int64_t now_us);

/* Whether the account, opened again, would be the same. */
bool quota_account_is_idle(const quota_account_t *account,
                           const quota_share_t *share, int64_t now_us);

enum {
    QUOTA_RETRY_MIN_US = 150000, /* of Retry-After, without its jitter */
    QUOTA_RETRY_MAX_US = 5000000,
    QUOTA_IDLE_US = 30000000 /* after which a full account is dropped */
};

#endif
