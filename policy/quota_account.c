#include "policy/quota_account.h"

#include <math.h>

enum {
    REPORT_INTERVAL_US = 1000000,
    /* A starting daemon owns this share of its part of T / 2, in percent: the
       record of what was spent before is lost, and all may start at once. */
    START_PERCENT = 80,
    /* It refills half of its part for this time, until the others count it:
       until then they refill the whole limit among themselves. */
    START_SETTLING_US = 2000000,
    /* A peer that gave nothing is asked again after one to two turns of this
       length, or of the time in which it refills EMPTY_TOKENS. */
    EMPTY_TURN_MIN_US = 500000,
    EMPTY_TURN_MAX_US = 2000000,
    /* A limit has at least this many parts, so that the loss of one daemon
       leaves a tenant some. */
    PARTS_MIN = 2,
    /* For how long after a request KEPT_TOKENS are kept. */
    KEPT_US = 30000000,
    /* Lent room returns with at most this time constant. With 2 s, daemons
       lose what they hold of tenants with a request in some seconds before it
       arrives: 5 % of such requests are refused instead of 0.1 %. */
    ROOM_RETURN_MAX_US = 10000000
};

/* If equal parts for all daemons hold fewer tokens than EQUAL_PART_TOKENS, the
   limit has fewer parts, of PART_TOKENS, so that one loan serves a request. */
#define EQUAL_PART_TOKENS 1.25
#define PART_TOKENS 4.0
/* Time constant of the estimates of demand and income, in seconds. */
#define ESTIMATE_S 1.0
/* The same of the usual demand. */
#define USUAL_S 20.0
/* Tokens are borrowed before a request needs them if so many requests are
   expected while lent room returns; else most of them would be lost. */
#define EXPECTED_MIN 1.0
/* A daemon with fewer tokens than this, or than its demand of DEMAND_HELD_S,
   is short. With 2, the daemons move twice as many tokens of small tenants to
   and fro. */
#define SHORT_TOKENS 1.5
#define DEMAND_HELD_S 0.5
/* What it asks for leads to this, or to its demand of DEMAND_WANTED_S. */
#define WANTED_TOKENS 2.0
#define DEMAND_WANTED_S 1.0
/* Time constant, in seconds, with which the room of a loan to a waiting
   request returns: the request spends the loan at once, so the lender's bucket
   need not stay smaller for longer. */
#define WAITING_RETURN_S 0.5
/* Longest time between such a loan and its use, in seconds. What returns in it
   is asked for on top, since the request needs a whole token. */
#define LOAN_DELAY_S 0.03
/* With less demand, three seconds after a single request, nothing is asked
   for. */
#define DEMAND_MIN_PER_S 0.05
/* A daemon with demand keeps this for its next request, unless a request waits
   at the borrower. */
#define KEPT_TOKENS 1.0
/* Less is not lent: the message costs more than it is worth. */
#define LEND_MIN 0.05
/* A peer that gave less, and was asked for more, has nothing to give. */
#define EMPTY_TOKENS 0.25
/* Relative error of a loan: messages have five digits. */
#define LOAN_ERROR 1e-3
/* The rounding of fractional loans may not cost a request. */
#define TOKEN_ERROR 1e-9

/* What is tolerated beyond the limit in one window, in requests. */
static double
tolerance(const quota_share_t *share, const quota_limit_t *limit)
{
    const quota_bounds_t *bounds = &share->bounds;
    return bounds->excess *
               (limit->rate_per_s * (double)bounds->window_us / 1e6 +
                limit->burst) +
           bounds->slack;
}

/* What the buckets of all daemons hold together. */
static double
total_size(const quota_share_t *share, const quota_limit_t *limit)
{
    return limit->burst + tolerance(share, limit) / 2;
}

static double
bucket_size(const quota_account_t *account, const quota_share_t *share)
{
    return account->owns ? total_size(share, &account->limit) / account->parts
                         : 0;
}

double
quota_account_part_per_s(const quota_account_t *account)
{
    return account->owns ? account->limit.rate_per_s / account->parts : 0;
}

/* The tokens that a bucket gets in a time, if they fit in. */
static double
refill_between(const quota_account_t *account, const quota_share_t *share,
               int64_t from_us, int64_t to_us)
{
    int64_t settled_us = share->serving_since_us + START_SETTLING_US;
    int64_t half_us = (to_us < settled_us ? to_us : settled_us) - from_us;
    double us = (double)(to_us - from_us);
    if (half_us > 0) {
        us -= (double)half_us / 2;
    }
    return quota_account_part_per_s(account) * us / 1e6;
}

/*
 * The time constant, in seconds, with which lent room returns. A daemon that
 * lends all its refill has lent refill x constant of its bucket; half of the
 * bucket is left for tokens to gather between two messages.
 */
static double
room_return_s(const quota_share_t *share, const quota_limit_t *limit)
{
    double s = total_size(share, limit) / limit->rate_per_s / 2;
    return s < ROOM_RETURN_MAX_US / 1e6 ? s : ROOM_RETURN_MAX_US / 1e6;
}

void
quota_account_clamp(quota_account_t *account, const quota_share_t *share)
{
    double most =
        bucket_size(account, share) + account->room + account->waiting_room;
    if (account->tokens > most) {
        account->tokens = most > 0 ? most : 0;
    }
}

void
quota_account_open(quota_account_t *account, tenant_id_t tenant,
                   const quota_limit_t *limit, int64_t now_us)
{
    *account = (quota_account_t){
        .tenant = tenant,
        .limit = *limit,
        .settled_us = now_us,
        .used_us = now_us,
        .reported_us = now_us - REPORT_INTERVAL_US,
        .requested_us = now_us - KEPT_US,
        .parts = 1,
    };
}

uint32_t
quota_account_parts(const quota_account_t *account, const quota_share_t *share,
                    uint32_t serving)
{
    double total = total_size(share, &account->limit);
    uint32_t most = serving < QUOTA_PARTS_MAX ? serving : QUOTA_PARTS_MAX;
    double parts = total / PART_TOKENS;
    if (total >= most * EQUAL_PART_TOKENS || parts >= most) {
        return most;
    }
    return parts > PARTS_MIN ? (uint32_t)parts : PARTS_MIN;
}

void
quota_account_set_part(quota_account_t *account, const quota_share_t *share,
                       uint32_t parts, bool owns, int64_t since_us)
{
    bool begins = owns && !account->owns;
    account->parts = (uint16_t)parts;
    account->owns = owns;
    if (begins) {
        account->tokens +=
            START_PERCENT / 100.0 * tolerance(share, &account->limit) / 2 /
                parts +
            refill_between(account, share, since_us, account->settled_us);
    }
    quota_account_clamp(account, share);
}

void
quota_account_settle(quota_account_t *account, const quota_share_t *share,
                     int64_t now_us)
{
    double s = (double)(now_us - account->settled_us) / 1e6;
    if (s <= 0) {
        return;
    }
    float decay = (float)exp(-s / ESTIMATE_S);
    account->demand_per_s *= decay;
    account->income_per_s *= decay;
    account->usual_per_s *= (float)exp(-s / USUAL_S);
    if (account->waiting_room != 0) {
        account->waiting_room *= exp(-s / WAITING_RETURN_S);
    }
    if (account->room != 0) {
        account->room *= exp(-s / room_return_s(share, &account->limit));
    }
    account->tokens +=
        refill_between(account, share, account->settled_us, now_us);
    account->settled_us = now_us;
    quota_account_clamp(account, share);
}

void
quota_account_set_limit(quota_account_t *account, const quota_share_t *share,
                        const quota_limit_t *limit)
{
    if (account->limit.rate_per_s == limit->rate_per_s &&
        account->limit.burst == limit->burst) {
        return;
    }
    double old_size = total_size(share, &account->limit);
    double size = total_size(share, limit);
    account->limit = *limit;
    if (size < old_size) {
        account->room *= size / old_size;
        account->waiting_room *= size / old_size;
    }
    quota_account_clamp(account, share);
}

bool
quota_account_take(quota_account_t *account)
{
    if (account->tokens < 1 - TOKEN_ERROR) {
        return false;
    }
    account->tokens = account->tokens > 1 ? account->tokens - 1 : 0;
    return true;
}

void
quota_account_note_demand(quota_account_t *account)
{
    account->demand_per_s += (float)(1 / ESTIMATE_S);
    account->usual_per_s += (float)(1 / USUAL_S);
    account->requested_us = account->settled_us;
}

/* Demand beyond the tenant's whole limit can never be met. */
static double
account_demand(const quota_account_t *account)
{
    return account->demand_per_s < account->limit.rate_per_s
               ? account->demand_per_s
               : account->limit.rate_per_s;
}

static double
at_least(double value, double least)
{
    return value > least ? value : least;
}

/* Whether to hold tokens for requests to come. */
static bool
account_holds_ahead(const quota_account_t *account, const quota_share_t *share)
{
    return account->usual_per_s * room_return_s(share, &account->limit) >=
           EXPECTED_MIN;
}

bool
quota_account_is_short(const quota_account_t *account,
                       const quota_share_t *share)
{
    double held = account_demand(account) * DEMAND_HELD_S;
    return account->demand_per_s > DEMAND_MIN_PER_S &&
           account_holds_ahead(account, share) &&
           account->tokens < at_least(held, SHORT_TOKENS);
}

double
quota_account_want(const quota_account_t *account, bool waits)
{
    double wanted = waits
                        ? at_least(account_demand(account) * LOAN_DELAY_S, 1) *
                              (1 + LOAN_DELAY_S / WAITING_RETURN_S)
                        : at_least(account_demand(account) * DEMAND_WANTED_S,
                                   WANTED_TOKENS);
    return wanted - account->tokens;
}

double
quota_account_lend(quota_account_t *account, double wanted, bool waits,
                   int64_t now_us)
{
    double held = account_demand(account) * DEMAND_HELD_S;
    if (!waits && now_us - account->requested_us < KEPT_US) {
        held = at_least(held, KEPT_TOKENS);
    }
    double spare = account->tokens - held;
    double lent = spare < wanted ? spare : wanted;
    if (!(lent >= LEND_MIN)) {
        return 0;
    }
    account->tokens -= lent;
    *(waits ? &account->waiting_room : &account->room) -= lent;
    account->lent += (float)lent;
    return lent;
}

void
quota_account_borrow(quota_account_t *account, const quota_share_t *share,
                     double tokens, bool waits)
{
    *(waits ? &account->waiting_room : &account->room) += tokens;
    account->tokens += tokens;
    account->income_per_s += (float)(tokens / ESTIMATE_S);
    account->borrowed += (float)tokens;
    quota_account_clamp(account, share);
}

int64_t
quota_account_retry_us(const quota_account_t *account)
{
    double per_s =
        quota_account_part_per_s(account) + (double)account->income_per_s;
    double us = per_s > 0 ? (1 - account->tokens) / per_s * 1e6
                          : (double)QUOTA_RETRY_MAX_US;
    if (us > QUOTA_RETRY_MAX_US) {
        return QUOTA_RETRY_MAX_US;
    }
    return us < QUOTA_RETRY_MIN_US ? QUOTA_RETRY_MIN_US : (int64_t)us;
}

/* Turns are counted from the start of the clock. */
static uint32_t
empty_turn(const quota_account_t *account, int64_t now_us)
{
    double refill_us =
        EMPTY_TOKENS * 1e6 * account->parts / account->limit.rate_per_s;
    int64_t turn_us = refill_us > EMPTY_TURN_MAX_US   ? EMPTY_TURN_MAX_US
                      : refill_us < EMPTY_TURN_MIN_US ? EMPTY_TURN_MIN_US
                                                      : (int64_t)refill_us;
    return (uint32_t)(now_us / turn_us);
}

uint32_t
quota_account_empty_peers(quota_account_t *account, bool waits, int64_t now_us)
{
    uint32_t turn = empty_turn(account, now_us);
    if (turn != account->empty_turn) {
        bool is_next = turn == account->empty_turn + 1;
        for (int i = 0; i < 2; i++) {
            account->empty[i][1] = is_next ? account->empty[i][0] : 0;
            account->empty[i][0] = 0;
        }
        account->empty_turn = turn;
    }
    return account->empty[waits][0] | (uint32_t)account->empty[waits][1];
}

void
quota_account_note_loan(quota_account_t *account, uint32_t position,
                        double wanted, double tokens, bool waits,
                        int64_t now_us)
{
    /* A request that lacks less than EMPTY_TOKENS asks for just that. */
    if (tokens < EMPTY_TOKENS && tokens < wanted * (1 - LOAN_ERROR)) {
        /* What gives nothing to a request that waits has nothing at all. */
        quota_account_empty_peers(account, waits, now_us);
        account->empty[0][0] |= (uint16_t)(1U << position);
        account->empty[waits][0] |= (uint16_t)(1U << position);
    }
}

bool
quota_account_report(quota_account_t *account, quota_report_t *report,
                     int64_t now_us)
{
    if (now_us - account->reported_us < REPORT_INTERVAL_US) {
        return false;
    }
    *report = (quota_report_t){
        .part_per_s = quota_account_part_per_s(account),
        .tokens = account->tokens,
        .borrowed = account->borrowed,
        .lent = account->lent,
        .refused = account->refused,
    };
    account->borrowed = 0;
    account->lent = 0;
    account->refused = 0;
    account->reported_us = now_us;
    return true;
}

bool
quota_account_is_idle(const quota_account_t *account,
                      const quota_share_t *share, int64_t now_us)
{
    return now_us - account->used_us >= QUOTA_IDLE_US && !account->is_queued &&
           account->asking == 0 && fabs(account->room) < LEND_MIN &&
           fabs(account->waiting_room) < LEND_MIN &&
           account->tokens >= bucket_size(account, share) - LEND_MIN;
}
