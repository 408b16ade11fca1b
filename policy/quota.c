#include "policy/quota.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* With a request waiting, a message without an answer for this long is
       followed by another one. Peers answer within some milliseconds. */
    ASK_AGAIN_US = 5000,
    URGENT_SAVED = 16, /* messages that may be sent at once, after a pause */
    /* Accounts examined by one call, which bounds its time. */
    ASK_SCAN_MAX = 256,
    EXPIRE_SCAN_MAX = 256,
    ACCOUNTS_MIN = 16
};

static quota_account_t *
account_find(const quota_t *quota, tenant_id_t tenant)
{
    return tenant < quota->slot_count && quota->slots[tenant] != TENANT_NONE
               ? &quota->accounts[quota->slots[tenant]]
               : NULL;
}

static bool
slots_grow(quota_t *quota, tenant_id_t tenant)
{
    if (tenant < quota->slot_count) {
        return true;
    }
    uint32_t count = tenant + tenant / 4 + ACCOUNTS_MIN;
    uint32_t *slots = realloc(quota->slots, count * sizeof(*slots));
    if (slots == NULL) {
        return false;
    }
    memset(slots + quota->slot_count, 0xff,
           (count - quota->slot_count) * sizeof(*slots));
    quota->slots = slots;
    quota->slot_count = count;
    return true;
}

static bool
accounts_grow(quota_t *quota)
{
    if (quota->account_count < quota->account_capacity) {
        return true;
    }
    uint32_t capacity =
        quota->account_capacity + quota->account_capacity / 4 + ACCOUNTS_MIN;
    tenant_id_t *queue = calloc(capacity, sizeof(*queue));
    if (queue == NULL) {
        return false;
    }
    quota_account_t *accounts =
        realloc(quota->accounts, capacity * sizeof(*accounts));
    if (accounts == NULL) {
        free(queue);
        return false;
    }
    for (uint32_t i = 0; i < quota->short_count; i++) {
        queue[i] = quota->short_queue[(quota->short_first + i) %
                                      quota->account_capacity];
    }
    free(quota->short_queue);
    quota->short_queue = queue;
    quota->short_first = 0;
    quota->accounts = accounts;
    quota->account_capacity = capacity;
    return true;
}

/*
 * Find who has parts of the limit, after a change. A new account has what it
 * would hold if it existed since the last change: only full accounts are
 * dropped.
 */
static void
account_refresh(quota_t *quota, quota_account_t *account, bool is_new,
                int64_t now_us)
{
    if (!is_new && account->version == quota->version) {
        return;
    }
    /* Daemons that start together and know few peers may each take themselves
       for an owner: more parts make each one smaller. */
    bool is_known =
        quota->is_settled || quota->peers.count + 1 >= QUOTA_STARTUP_FLEET;
    uint32_t parts =
        is_known ? quota_account_parts(account, &quota->share, quota->serving)
                 : quota->serving;
    uint32_t count;
    bool owns =
        quota_peers_owners(&quota->peers, quota->serves ? quota->self : 0,
                           account->limit.key, parts, account->owners, &count);
    account->owner_count = (uint16_t)count;
    account->asked = 0;
    memset(account->empty, 0, sizeof(account->empty));
    account->version = quota->version;
    quota_account_set_part(account, &quota->share, parts, owns,
                           is_new ? quota->share.changed_us : now_us);
}

/* Bring the account to the present. */
static void
account_settle(quota_t *quota, quota_account_t *account, int64_t now_us)
{
    quota_account_settle(account, &quota->share, now_us);
    account_refresh(quota, account, false, now_us);
}

static void
account_set_limit(quota_t *quota, quota_account_t *account,
                  const quota_limit_t *limit, int64_t now_us)
{
    account_settle(quota, account, now_us);
    if (account->limit.rate_per_s != limit->rate_per_s ||
        account->limit.burst != limit->burst) {
        quota_account_set_limit(account, &quota->share, limit);
        account->version--;
        account_refresh(quota, account, false, now_us);
    }
}

/* The tenant's account, settled, with the limit in force; NULL: out of
   memory. */
static quota_account_t *
account_get(quota_t *quota, tenant_id_t tenant, const quota_limit_t *limit,
            int64_t now_us)
{
    quota_account_t *account = account_find(quota, tenant);
    if (account != NULL) {
        account_set_limit(quota, account, limit, now_us);
        return account;
    }
    if (!slots_grow(quota, tenant) || !accounts_grow(quota)) {
        return NULL;
    }
    quota->slots[tenant] = quota->account_count;
    account = &quota->accounts[quota->account_count++];
    quota_account_open(account, tenant, limit, now_us);
    account_refresh(quota, account, true, now_us);
    return account;
}

static void
short_queue_push(quota_t *quota, quota_account_t *account)
{
    if (!account->is_queued) {
        uint32_t last = (quota->short_first + quota->short_count++) %
                        quota->account_capacity;
        quota->short_queue[last] = account->tenant;
        account->is_queued = true;
    }
}

static quota_account_t *
short_queue_pop(quota_t *quota)
{
    quota_account_t *account =
        account_find(quota, quota->short_queue[quota->short_first]);
    quota->short_first = (quota->short_first + 1) % quota->account_capacity;
    quota->short_count--;
    account->is_queued = false;
    return account;
}

static double
random_unit(quota_t *quota)
{
    quota->random ^= quota->random << 13;
    quota->random ^= quota->random >> 7;
    quota->random ^= quota->random << 17;
    return (double)(quota->random >> 11) / (double)(1ULL << 53);
}

void
quota_init(quota_t *quota, const quota_bounds_t *bounds, uint64_t seed,
           int64_t now_us)
{
    *quota = (quota_t){
        .share = {.bounds = *bounds,
                  .serving_since_us = now_us,
                  .changed_us = now_us},
        .serving = QUOTA_STARTUP_FLEET,
        .peak_us = now_us,
        .random = seed | 1,
    };
    quota->turn = (uint32_t)(random_unit(quota) * QUOTA_PARTS_MAX);
}

void
quota_release(quota_t *quota)
{
    free(quota->accounts);
    free(quota->slots);
    free(quota->short_queue);
    quota_peers_release(&quota->peers);
    *quota = (quota_t){0};
}

/* The daemons with parts have changed, or the number of parts. */
static void
quota_note_change(quota_t *quota, int64_t now_us)
{
    quota->version++;
    quota->share.changed_us = now_us;
}

void
quota_set_bounds(quota_t *quota, const quota_bounds_t *bounds, int64_t now_us)
{
    for (uint32_t i = 0; i < quota->account_count; i++) {
        account_settle(quota, &quota->accounts[i], now_us);
    }
    quota->share.bounds = *bounds;
    quota_note_change(quota, now_us);
    for (uint32_t i = 0; i < quota->account_count; i++) {
        account_settle(quota, &quota->accounts[i], now_us);
    }
}

/* The peak of the serving daemons, with a count added. */
static uint32_t
quota_peak(quota_t *quota, uint32_t count, int64_t now_us)
{
    int64_t since_us = now_us - quota->peak_us;
    if (since_us >= QUOTA_PEAK_WINDOW_US) {
        quota->peak[1] =
            since_us < 2 * QUOTA_PEAK_WINDOW_US ? quota->peak[0] : 0;
        quota->peak[0] = 0;
        quota->peak_us = now_us;
    }
    if (count > quota->peak[0]) {
        quota->peak[0] = count;
    }
    return quota->peak[0] > quota->peak[1] ? quota->peak[0] : quota->peak[1];
}

void
quota_set_fleet(quota_t *quota, const quota_fleet_t *fleet, int64_t now_us)
{
    bool changed = quota_peers_set(&quota->peers, fleet->peers,
                                   fleet->peer_count, now_us);
    quota->counted = fleet->serving > 0 ? fleet->serving : 1;
    uint32_t n = quota_peak(quota, quota->counted, now_us);
    uint32_t known = quota->peers.count + (fleet->serves ? 1 : 0);
    n = n > known ? n : known;
    if (!fleet->is_settled && n < QUOTA_STARTUP_FLEET) {
        n = QUOTA_STARTUP_FLEET;
    }
    if (fleet->serves && !quota->serves) {
        quota->share.serving_since_us = now_us;
    }
    if (changed || n != quota->serving || fleet->self != quota->self ||
        fleet->serves != quota->serves ||
        fleet->is_settled != quota->is_settled) {
        quota->serving = n;
        quota->self = fleet->self;
        quota->serves = fleet->serves;
        quota->is_settled = fleet->is_settled;
        quota_note_change(quota, now_us);
    }
}

void
quota_note_serving(quota_t *quota, uint32_t serving, int64_t now_us)
{
    uint32_t n = quota_peak(quota, serving, now_us);
    if (n > quota->serving) {
        quota->serving = n;
        quota_note_change(quota, now_us);
    }
}

/*
 * Messages are counted by clocks that each one advances by its interval. The
 * one for tenants whose requests wait lags behind the present by at most
 * URGENT_SAVED intervals: requests of small tenants arrive in bursts, at
 * daemons that hold nothing of their limits.
 */
static int64_t
urgent_ask_us(const quota_t *quota)
{
    return quota->next_urgent_us -
           (int64_t)(URGENT_SAVED - 1) * QUOTA_URGENT_INTERVAL_US;
}

static int64_t
clock_advance(int64_t clock_us, int64_t interval_us, int64_t now_us)
{
    return (clock_us > now_us ? clock_us : now_us) + interval_us;
}

/*
 * The position of the peer to ask next for the tenant: each once in a round,
 * those of this zone first. -1: none has anything to give.
 */
static int
account_choose_peer(const quota_t *quota, quota_account_t *account, bool waits,
                    int64_t now_us)
{
    uint32_t empty = quota_account_empty_peers(account, waits, now_us);
    int best = -1;
    int best_rank = -1;
    for (uint32_t i = 0; i < account->owner_count; i++) {
        uint32_t at = (i + quota->turn) % account->owner_count;
        uint32_t index = account->owners[at];
        if ((empty >> at & 1) != 0 ||
            !quota_peers_is_usable(&quota->peers, index, now_us)) {
            continue;
        }
        int rank = ((account->asked >> at & 1) == 0 ? 2 : 0) +
                   (quota->peers.lenders[index].peer.is_local ? 1 : 0);
        if (rank > best_rank) {
            best = (int)at;
            best_rank = rank;
        }
    }
    if (best_rank >= 0 && best_rank < 2) {
        account->asked = 0;
    }
    return best;
}

/* Whether a loan for the tenant can come until then. */
static bool
loan_can_come(const quota_t *quota, quota_account_t *account, int64_t until_us,
              int64_t now_us)
{
    return account->asking > 0 ||
           (urgent_ask_us(quota) <= until_us &&
            account_choose_peer(quota, account, true, now_us) >= 0);
}

static void
urgent_add(quota_t *quota, tenant_id_t tenant)
{
    for (uint32_t i = 0; i < quota->urgent_count; i++) {
        if (quota->urgent[i] == tenant) {
            return;
        }
    }
    if (quota->urgent_count < QUOTA_WANTS_MAX) {
        quota->urgent[quota->urgent_count++] = tenant;
    }
}

static quota_decision_t
account_decide(quota_t *quota, quota_account_t *account, int64_t until_us,
               int64_t now_us)
{
    account->used_us = now_us;
    if (quota_account_take(account)) {
        if (quota_account_is_short(account, &quota->share)) {
            short_queue_push(quota, account);
        }
        return (quota_decision_t){.verdict = QUOTA_ADMITTED};
    }
    short_queue_push(quota, account);
    if (now_us < until_us && loan_can_come(quota, account, until_us, now_us)) {
        if (account->asking == 0 ||
            now_us - account->asked_us >= ASK_AGAIN_US) {
            urgent_add(quota, account->tenant);
        }
        return (quota_decision_t){
            .verdict = QUOTA_WAITS,
            .until_us = until_us,
        };
    }
    account->refused++;
    quota->stats.refused++;
    double retry_us = (double)quota_account_retry_us(account);
    return (quota_decision_t){
        .verdict = QUOTA_REFUSED,
        .retry_after_us = (int64_t)(retry_us * (1 + random_unit(quota))),
    };
}

quota_decision_t
quota_take(quota_t *quota, tenant_id_t tenant, const quota_limit_t *limit,
           int64_t goal_us, int64_t now_us)
{
    if (quota->share.bounds.window_us <= 0 || limit->rate_per_s <= 0) {
        return (quota_decision_t){.verdict = QUOTA_ADMITTED};
    }
    quota_account_t *account = account_get(quota, tenant, limit, now_us);
    if (account == NULL) {
        quota->stats.refused++;
        return (quota_decision_t){
            .verdict = QUOTA_REFUSED,
            .retry_after_us = QUOTA_RETRY_MIN_US,
        };
    }
    quota_account_note_demand(account);
    int64_t wait_us = goal_us / QUOTA_WAIT_GOAL_DIVISOR;
    if (goal_us <= 0 || wait_us > QUOTA_WAIT_MAX_US) {
        wait_us = QUOTA_WAIT_MAX_US;
    }
    return account_decide(quota, account, now_us + wait_us, now_us);
}

quota_decision_t
quota_take_again(quota_t *quota, tenant_id_t tenant,
                 const quota_limit_t *limit, int64_t until_us, int64_t now_us)
{
    quota_account_t *account =
        limit->rate_per_s > 0 && quota->share.bounds.window_us > 0
            ? account_get(quota, tenant, limit, now_us)
            : NULL;
    return account != NULL ? account_decide(quota, account, until_us, now_us)
                           : (quota_decision_t){.verdict = QUOTA_ADMITTED};
}

void
quota_give_back(quota_t *quota, tenant_id_t tenant, const quota_limit_t *limit,
                int64_t now_us)
{
    quota_account_t *account = account_find(quota, tenant);
    if (account != NULL && limit->rate_per_s > 0) {
        account_set_limit(quota, account, limit, now_us);
        account->tokens += 1;
        quota_account_clamp(account, &quota->share);
    }
}

/* The position of a peer among the tenant's owners; -1: it is none. */
static int
account_find_owner(const quota_t *quota, const quota_account_t *account,
                   uint64_t id)
{
    for (uint32_t i = 0; i < account->owner_count; i++) {
        if (quota->peers.lenders[account->owners[i]].peer.id == id) {
            return (int)i;
        }
    }
    return -1;
}

/* Add what the tenant wants to the message. The first one chooses the peer. */
static void
ask_add(quota_t *quota, quota_ask_t *ask, quota_account_t *account, bool waits,
        int64_t now_us)
{
    int at;
    if (ask->count == 0) {
        at = account_choose_peer(quota, account, waits, now_us);
        if (at >= 0) {
            ask->peer = quota->peers.lenders[account->owners[at]].peer.id;
        }
    }
    else {
        at = account_find_owner(quota, account, ask->peer);
    }
    if (at < 0 || ask->count == QUOTA_WANTS_MAX ||
        (quota_account_empty_peers(account, waits, now_us) >> at & 1) != 0) {
        return;
    }
    for (uint32_t i = 0; i < ask->count; i++) {
        if (ask->tenants[i] == account->tenant) {
            return;
        }
    }
    ask->tenants[ask->count] = account->tenant;
    ask->waits[ask->count] = waits;
    ask->wanted[ask->count++] = quota_account_want(account, waits);
    account->asked |= (uint16_t)(1U << at);
    account->asking++;
    account->asked_us = now_us;
}

bool
quota_ask(quota_t *quota, quota_ask_t *ask, int64_t now_us)
{
    ask->count = 0;
    bool urgent = quota->urgent_count > 0;
    if (quota->short_count + quota->urgent_count == 0 ||
        now_us < (urgent ? urgent_ask_us(quota) : quota->next_ask_us)) {
        return false;
    }
    for (uint32_t i = 0; i < quota->urgent_count; i++) {
        quota_account_t *account = account_find(quota, quota->urgent[i]);
        if (account != NULL) {
            account_settle(quota, account, now_us);
            if (account->tokens < 1) {
                ask_add(quota, ask, account, true, now_us);
            }
        }
    }
    quota->urgent_count = 0;
    uint32_t scan =
        quota->short_count < ASK_SCAN_MAX ? quota->short_count : ASK_SCAN_MAX;
    while (scan-- > 0 && ask->count < QUOTA_WANTS_MAX) {
        quota_account_t *account = short_queue_pop(quota);
        account_settle(quota, account, now_us);
        if (quota_account_is_short(account, &quota->share)) {
            short_queue_push(quota, account);
            ask_add(quota, ask, account, false, now_us);
        }
    }
    if (ask->count == 0) {
        return false;
    }
    quota->turn++;
    if (urgent) {
        quota->next_urgent_us = clock_advance(
            quota->next_urgent_us, QUOTA_URGENT_INTERVAL_US, now_us);
    }
    else {
        quota->next_ask_us =
            clock_advance(quota->next_ask_us, QUOTA_ASK_INTERVAL_US, now_us);
    }
    quota->stats.asks++;
    return true;
}

void
quota_answered(quota_t *quota, const quota_ask_t *ask, const double *granted,
               int64_t now_us)
{
    for (uint32_t i = 0; i < ask->count; i++) {
        quota_account_t *account = account_find(quota, ask->tenants[i]);
        double tokens = granted[i] >= 0 ? granted[i] : 0; /* or not a number */
        if (tokens > ask->wanted[i]) {
            tokens = ask->wanted[i];
        }
        if (account == NULL) {
            continue;
        }
        account_settle(quota, account, now_us);
        account->asking--;
        int at = account_find_owner(quota, account, ask->peer);
        if (at >= 0) {
            quota_account_note_loan(account, (uint32_t)at, ask->wanted[i],
                                    tokens, ask->waits[i], now_us);
        }
        if (tokens > 0) {
            quota_account_borrow(account, &quota->share, tokens,
                                 ask->waits[i]);
            quota->stats.borrowed += tokens;
        }
    }
}

void
quota_failed(quota_t *quota, const quota_ask_t *ask, int64_t avoid_us,
             int64_t now_us)
{
    quota_peers_avoid(&quota->peers, ask->peer, now_us + avoid_us);
    for (uint32_t i = 0; i < ask->count; i++) {
        quota_account_t *account = account_find(quota, ask->tenants[i]);
        if (account != NULL) {
            account->asking--;
        }
    }
}

double
quota_lend(quota_t *quota, tenant_id_t tenant, const quota_limit_t *limit,
           double wanted, bool waits, int64_t now_us)
{
    if (quota->share.bounds.window_us <= 0 || limit->rate_per_s <= 0 ||
        !(wanted > 0)) {
        return 0;
    }
    quota_account_t *account = account_get(quota, tenant, limit, now_us);
    if (account == NULL) {
        return 0;
    }
    double lent = quota_account_lend(account, wanted, waits, now_us);
    account->used_us = now_us;
    quota->stats.lent += lent;
    return lent;
}

bool
quota_report(quota_t *quota, tenant_id_t tenant, quota_report_t *report,
             int64_t now_us)
{
    quota_account_t *account = account_find(quota, tenant);
    return account != NULL && quota_account_report(account, report, now_us);
}

void
quota_expire(quota_t *quota, int64_t now_us)
{
    for (uint32_t scan = EXPIRE_SCAN_MAX; scan > 0 && quota->account_count > 0;
         scan--) {
        if (quota->expire_next >= quota->account_count) {
            quota->expire_next = 0;
        }
        quota_account_t *account = &quota->accounts[quota->expire_next];
        account_settle(quota, account, now_us);
        if (!quota_account_is_idle(account, &quota->share, now_us)) {
            quota->expire_next++;
            continue;
        }
        quota->slots[account->tenant] = TENANT_NONE;
        *account = quota->accounts[--quota->account_count];
        if (account != &quota->accounts[quota->account_count]) {
            quota->slots[account->tenant] = quota->expire_next;
        }
    }
}
