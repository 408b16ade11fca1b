/*
 * Quotas: each tenant has one token bucket that is distributed over all
 * daemons. A request takes one token.
 *
 * The limit has k parts, each owned by one serving daemon: its bucket refills
 * at rate / k and holds (burst + T / 2) / k tokens, where T is the tolerance,
 * excess x (rate x window + burst) + slack. k is the number of serving
 * daemons, or as many as leave PART_TOKENS to each. Daemons that are short of
 * a tenant's tokens borrow from the owners that have more than they need. A
 * loan moves the tokens and as much room in the buckets from the lender to the
 * borrower; the room returns exponentially with the same time constant at both
 * ends. So all buckets together never hold more than burst + T / 2, whatever
 * was lent. A lost message can only lose tokens.
 *
 * In a large fleet a daemon seldom gets requests of a given tenant and holds
 * none of its tokens, so that most requests wait for a loan. The room of such
 * a loan returns sooner than that of tokens borrowed ahead, since the request
 * spends the loan at once (t1031, 200 tenants at all of 28 daemons).
 *
 *     quota_init(&quota, &bounds, seed, now_us);
 *     quota_set_fleet(&quota, &fleet, now_us);          // also periodically
 *     d = quota_take(&quota, tenant, &limit, goal_us, now_us);
 *     if (d.verdict == QUOTA_WAITS) ...
 *         quota_take_again(...) until d.until_us
 *     if (quota_ask(&quota, &ask, now_us)) ... send it to peer ask.peer
 *     quota_answered(&quota, &ask, granted, now_us);    // or quota_failed
 *     granted = quota_lend(&quota, tenant, &limit, wanted, waits, now_us);
 *     quota_expire(&quota, now_us);                     // periodically
 *     quota_release(&quota);
 *
 * Times are monotonic microseconds. Tokens are fractional numbers.
 */
#ifndef POLICY_QUOTA_H
#define POLICY_QUOTA_H

#include "policy/quota_account.h"
#include "policy/quota_peers.h"

#include <stdbool.h>
#include <stdint.h>

enum {
    QUOTA_WANTS_MAX = 32, /* tenants in one message */
    /* Between messages of a daemon, on average: those that borrow ahead, and
       those for which a request waits. */
    QUOTA_ASK_INTERVAL_US = 50000,
    QUOTA_URGENT_INTERVAL_US = 4000,
    QUOTA_WAIT_MAX_US = 30000,      /* that a request waits for a loan, */
    QUOTA_WAIT_GOAL_DIVISOR = 4,    /* and at most this part of its goal */
    QUOTA_PEAK_WINDOW_US = 15000000 /* n is the peak of one to two windows */
};

typedef struct {
    uint32_t serving; /* serving daemons, this one included if it serves */
    bool serves;      /* this daemon serves; else it only borrows */
    uint64_t self;    /* id of this daemon, not 0 */
    bool is_settled;  /* the members were read, some seconds ago; else each
                         limit has at least QUOTA_STARTUP_FLEET parts, unless
                         as many daemons are known */
    const quota_peer_t *peers;
    uint32_t peer_count;
} quota_fleet_t;

enum { QUOTA_STARTUP_FLEET = 8 };

typedef enum { QUOTA_ADMITTED, QUOTA_WAITS, QUOTA_REFUSED } quota_verdict_t;

typedef struct {
    quota_verdict_t verdict;
    int64_t until_us;       /* QUOTA_WAITS: when waiting ends */
    int64_t retry_after_us; /* QUOTA_REFUSED */
} quota_decision_t;

/* A message to a peer: what this daemon wants to borrow. */
typedef struct {
    uint64_t peer;
    uint32_t count;
    tenant_id_t tenants[QUOTA_WANTS_MAX];
    double wanted[QUOTA_WANTS_MAX];
    bool waits[QUOTA_WANTS_MAX]; /* a request waits for it */
} quota_ask_t;

typedef struct {
    double borrowed;
    double lent;
    uint64_t refused;
    uint64_t asks; /* messages */
} quota_stats_t;

/* Private. */
typedef struct {
    quota_share_t share;
    quota_account_t *accounts;
    uint32_t account_count;
    uint32_t account_capacity;
    uint32_t *slots; /* index in accounts by tenant; TENANT_NONE: none */
    uint32_t slot_count;
    tenant_id_t *short_queue; /* ring of account_capacity tenants */
    uint32_t short_first;
    uint32_t short_count;
    tenant_id_t urgent[QUOTA_WANTS_MAX]; /* tenants whose requests wait */
    uint32_t urgent_count;
    quota_peers_t peers;
    uint32_t turn; /* messages sent; rotates the peer that is asked first */
    uint32_t expire_next;
    uint32_t counted; /* serving daemons that this one knows of */
    uint32_t peak[2]; /* serving daemons in this window and the last one */
    int64_t peak_us;  /* start of this window */
    uint32_t version; /* grows when the daemons with parts change */
    uint32_t serving; /* n */
    uint64_t self;
    bool serves;
    bool is_settled;
    /* Clocks that messages advance; see quota.c. */
    int64_t next_ask_us;
    int64_t next_urgent_us;
    uint64_t random;
    quota_stats_t stats;
} quota_t;

void quota_init(quota_t *quota, const quota_bounds_t *bounds, uint64_t seed,
                int64_t now_us);
void quota_release(quota_t *quota);

/* The bounds have changed; tokens above the new buckets are dropped. */
void quota_set_bounds(quota_t *quota, const quota_bounds_t *bounds,
                      int64_t now_us);

/* The serving daemons, after a change and at least once a second. */
void quota_set_fleet(quota_t *quota, const quota_fleet_t *fleet,
                     int64_t now_us);

/* A peer counts that many serving daemons (its quota_t.counted), which may be
   more than this daemon knows of yet. */
void quota_note_serving(quota_t *quota, uint32_t serving, int64_t now_us);

/* A request arrives: take a token, or decide whether it waits for a loan or is
   refused. goal_us: the latency goal of its route; 0: none. */
quota_decision_t quota_take(quota_t *quota, tenant_id_t tenant,
                            const quota_limit_t *limit, int64_t goal_us,
                            int64_t now_us);

/* The same for a request that waits until until_us. It is refused when that
   has come, or when no loan can come any more. */
quota_decision_t quota_take_again(quota_t *quota, tenant_id_t tenant,
                                  const quota_limit_t *limit, int64_t until_us,
                                  int64_t now_us);

/* Return the token of a request that has not run and never will. */
void quota_give_back(quota_t *quota, tenant_id_t tenant,
                     const quota_limit_t *limit, int64_t now_us);

/* Compose the message that is due. False: none is. One of quota_answered and
   quota_failed is to be called for each message. */
bool quota_ask(quota_t *quota, quota_ask_t *ask, int64_t now_us);

/* The peer's response: granted[i] tokens of ask->tenants[i]. */
void quota_answered(quota_t *quota, const quota_ask_t *ask,
                    const double *granted, int64_t now_us);

/* There was no response that can be read. The peer is not asked for
   avoid_us. */
void quota_failed(quota_t *quota, const quota_ask_t *ask, int64_t avoid_us,
                  int64_t now_us);

/* A peer wants tokens: deduct and return what it gets, 0 to wanted. waits: a
   request waits there. */
double quota_lend(quota_t *quota, tenant_id_t tenant,
                  const quota_limit_t *limit, double wanted, bool waits,
                  int64_t now_us);

/* Whether a line about the tenant is due, at most one a second; fills report
   and resets its counts. */
bool quota_report(quota_t *quota, tenant_id_t tenant, quota_report_t *report,
                  int64_t now_us);

/* Drop some of the accounts that are idle and full. */
void quota_expire(quota_t *quota, int64_t now_us);

#endif
