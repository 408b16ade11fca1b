#include "t/lib/tier_quota_world.h"

#include "t/lib/suite.h"

#include <math.h>
#include <stdlib.h>

static double
unit(quota_world_t *world)
{
    world->random ^= world->random << 13;
    world->random ^= world->random >> 7;
    world->random ^= world->random << 17;
    return (double)(world->random >> 11) / (double)(1ULL << 53);
}

const quota_bounds_t quota_world_bounds = {
    .window_us = WINDOW_US,
    .excess = 0.1,
    .slack = 20,
};

/* --- what a daemon knows ------------------------------------------------ */

static bool
daemon_is_up(const quota_daemon_t *daemon, int64_t now_us)
{
    return now_us < daemon->down_us || now_us >= daemon->back_us;
}

static void
daemon_see_fleet(quota_world_t *world, uint32_t self, int64_t now_us)
{
    quota_daemon_t *daemon = &world->daemons[self];
    quota_peer_t peers[DAEMONS_MAX];
    bool serves = !daemon->stands_by;
    int64_t seen_us = now_us - daemon->lag_us;
    quota_fleet_t fleet = {.peers = peers, .serves = serves};
    bool is_listed =
        now_us < daemon->down_us || now_us - daemon->back_us >= LISTED_US;
    fleet.self = self + 1;
    fleet.is_settled =
        now_us < daemon->down_us || now_us - daemon->back_us >= SETTLED_US;
    fleet.serving = serves ? 1 : 0;
    for (uint32_t i = 0; i < world->c->daemons && is_listed; i++) {
        const quota_daemon_t *peer = &world->daemons[i];
        if (i != self && !peer->stands_by && daemon_is_up(peer, seen_us)) {
            peers[fleet.peer_count++] =
                (quota_peer_t){.id = i + 1, .is_local = i % 4 == self % 4};
            fleet.serving++;
        }
    }
    if (world->mode == MODE_NO_SHARES) {
        fleet.serving = 1;
        fleet.is_settled = true;
        fleet.peer_count = 0;
    }
    quota_set_fleet(&daemon->quota, &fleet, now_us);
}

/* The limit at a time, as the operator has confirmed it. */
static quota_limit_t
limit_at(const quota_case_t *c, int64_t at_us)
{
    quota_limit_t limit = c->limit;
    if (c->lowers && at_us >= EVENT_US && at_us < EVENT_US + 15 * SECOND) {
        limit.rate_per_s /= 10;
        limit.burst /= 10;
    }
    return limit;
}

static quota_limit_t
daemon_limit(const quota_world_t *world, uint32_t i, uint32_t tenant,
             int64_t now_us)
{
    quota_limit_t limit =
        limit_at(world->c, now_us - world->daemons[i].lag_us);
    limit.key = tenant + 1;
    return limit;
}

/* --- messages ----------------------------------------------------------- */

static bool
is_cut(const quota_world_t *world, uint32_t from, uint32_t to)
{
    return world->is_partitioned &&
           world->daemons[from].side != world->daemons[to].side;
}

static quota_message_t *
message_add(quota_world_t *world, uint32_t from, uint32_t to, int64_t now_us)
{
    ck_assert_uint_lt(world->message_count, MESSAGES_MAX);
    quota_message_t *message = &world->messages[world->message_count++];
    message->from = from;
    message->to = to;
    message->is_reply = false;
    /* One in a hundred is lost; from a daemon that is gone, none comes. */
    message->is_lost = unit(world) < 0.01 || is_cut(world, from, to);
    message->at_us =
        now_us +
        (message->is_lost ? TIMEOUT_US : (int64_t)(300 + 2700 * unit(world)));
    return message;
}

static void
daemon_ask(quota_world_t *world, uint32_t i, int64_t now_us)
{
    quota_ask_t ask;
    quota_t *quota = &world->daemons[i].quota;
    if (world->mode != MODE_WHOLE || !quota_ask(quota, &ask, now_us)) {
        return;
    }
    world->asks++;
    quota_message_t *message =
        message_add(world, i, (uint32_t)ask.peer - 1, now_us);
    message->ask = ask;
}

static void
message_arrive(quota_world_t *world, quota_message_t *message, int64_t now_us)
{
    quota_daemon_t *from = &world->daemons[message->from];
    quota_daemon_t *to = &world->daemons[message->to];
    if (message->is_reply) {
        if (from->is_up) {
            quota_answered(&from->quota, &message->ask, message->granted,
                           now_us);
        }
        return;
    }
    if (message->is_lost || !to->is_up) {
        if (from->is_up) {
            quota_failed(&from->quota, &message->ask, SECOND, now_us);
        }
        return;
    }
    quota_message_t *reply =
        message_add(world, message->from, message->to, now_us);
    reply->ask = message->ask;
    reply->is_reply = !reply->is_lost;
    quota_note_serving(&to->quota, from->quota.counted, now_us);
    for (uint32_t i = 0; i < message->ask.count; i++) {
        quota_limit_t limit =
            daemon_limit(world, message->to, message->ask.tenants[i], now_us);
        reply->granted[i] =
            quota_lend(&to->quota, message->ask.tenants[i], &limit,
                       message->ask.wanted[i], message->ask.waits[i], now_us);
    }
}

static void
messages_deliver(quota_world_t *world, int64_t now_us)
{
    for (uint32_t i = 0; i < world->message_count;) {
        if (world->messages[i].at_us > now_us) {
            i++;
            continue;
        }
        quota_message_t message = world->messages[i];
        world->messages[i] = world->messages[--world->message_count];
        message_arrive(world, &message, now_us);
    }
}

/* --- calls -------------------------------------------------------------- */

static void
call_end(quota_world_t *world, uint32_t tenant, bool admitted, bool owed,
         int64_t now_us)
{
    if (admitted) {
        world->tenants[tenant].admitted[now_us / BIN_US]++;
    }
    if (now_us >= WARM_US) {
        world->calls++;
        world->owed += owed ? 1 : 0;
        world->admitted += admitted ? 1 : 0;
        world->lost += owed && !admitted ? 1 : 0;
    }
}

static bool
ideal_admits(quota_world_t *world, uint32_t tenant, int64_t now_us)
{
    quota_tenant_t *state = &world->tenants[tenant];
    quota_limit_t limit = limit_at(world->c, now_us);
    state->ideal +=
        limit.rate_per_s * (double)(now_us - state->ideal_us) / 1e6;
    state->ideal_us = now_us;
    if (state->ideal > limit.burst) {
        state->ideal = limit.burst;
    }
    if (state->ideal < 1) {
        return false;
    }
    state->ideal -= 1;
    return true;
}

/* A daemon that is up, by weight. */
static uint32_t
call_choose_daemon(quota_world_t *world, uint32_t tenant)
{
    uint32_t n = world->c->daemons;
    if (world->c->pairs && n > 1) {
        uint32_t other = tenant / n % (n - 1) + 1;
        return (tenant + (unit(world) < 0.5 ? 0 : other)) % n;
    }
    double total = 0;
    for (uint32_t i = 0; i < world->c->daemons; i++) {
        total += world->daemons[i].is_up ? world->daemons[i].weight : 0;
    }
    double at = unit(world) * total;
    for (uint32_t i = 0; i < world->c->daemons; i++) {
        at -= world->daemons[i].is_up ? world->daemons[i].weight : 0;
        if (at < 0) {
            return i;
        }
    }
    return UINT32_MAX;
}

static void
call_arrive(quota_world_t *world, uint32_t tenant, int64_t now_us)
{
    uint32_t i = call_choose_daemon(world, tenant);
    bool owed = ideal_admits(world, tenant, now_us);
    if (i == UINT32_MAX) {
        return;
    }
    quota_limit_t limit = daemon_limit(world, i, tenant, now_us);
    quota_decision_t decision = quota_take(
        &world->daemons[i].quota, tenant, &limit,
        world->c->goal_us > 0 ? world->c->goal_us : GOAL_US, now_us);
    if (decision.verdict != QUOTA_WAITS) {
        call_end(world, tenant, decision.verdict == QUOTA_ADMITTED, owed,
                 now_us);
        return;
    }
    ck_assert_uint_lt(world->waiter_count, WAITERS_MAX);
    world->waiters[world->waiter_count++] = (quota_waiter_t){
        .until_us = decision.until_us,
        .daemon = i,
        .tenant = tenant,
        .owed = owed,
    };
}

static void
waiters_try(quota_world_t *world, int64_t now_us)
{
    uint32_t left = 0;
    for (uint32_t i = 0; i < world->waiter_count; i++) {
        quota_waiter_t waiter = world->waiters[i];
        quota_daemon_t *daemon = &world->daemons[waiter.daemon];
        quota_limit_t limit =
            daemon_limit(world, waiter.daemon, waiter.tenant, now_us);
        quota_decision_t decision = {.verdict = QUOTA_REFUSED};
        if (daemon->is_up) {
            decision = quota_take_again(&daemon->quota, waiter.tenant, &limit,
                                        waiter.until_us, now_us);
        }
        if (decision.verdict == QUOTA_WAITS) {
            world->waiters[left++] = waiter;
            continue;
        }
        call_end(world, waiter.tenant, decision.verdict == QUOTA_ADMITTED,
                 waiter.owed, now_us);
    }
    world->waiter_count = left;
}

static void
calls_arrive(quota_world_t *world, int64_t now_us)
{
    const quota_case_t *c = world->c;
    double load = now_us < c->calm_s * SECOND ? c->calm_load : c->load;
    double per_us = load * c->limit.rate_per_s / 1e6;
    for (uint32_t t = 0; t < world->c->tenants; t++) {
        quota_tenant_t *state = &world->tenants[t];
        while (state->next_us <= now_us) {
            call_arrive(world, t, now_us);
            state->next_us += (int64_t)(-log(1 - unit(world)) / per_us) + 1;
        }
    }
}

/* --- the run ------------------------------------------------------------ */

static void
daemon_begin(quota_world_t *world, uint32_t i, int64_t now_us)
{
    quota_init(&world->daemons[i].quota, &quota_world_bounds, i + 1, now_us);
    daemon_see_fleet(world, i, now_us);
}

quota_world_t *
quota_world_new(const quota_case_t *c, quota_mode_t mode, uint64_t seed)
{
    quota_world_t *world = malloc(sizeof(*world));
    ck_assert_ptr_nonnull(world);
    *world =
        (quota_world_t){.c = c, .mode = mode, .random = seed * 2654435761 + 1};
    for (uint32_t i = 0; i < c->daemons; i++) {
        quota_daemon_t *daemon = &world->daemons[i];
        *daemon = (quota_daemon_t){
            .weight = 1.0 / c->daemons,
            .lag_us = (int64_t)(2 * SECOND * unit(world)),
            .down_us = INT64_MAX,
            .back_us = 0,
            .is_up = true,
            .stands_by = i >= c->daemons - c->standby,
            .side = i % 2 == 1,
        };
        if (c->busy > 0) {
            daemon->weight =
                i < c->busy ? c->busy_share / c->busy
                            : (1 - c->busy_share) / (c->daemons - c->busy);
        }
        else if (c->standby > 0) {
            daemon->weight = daemon->stands_by ? 0 : 1;
        }
    }
    for (uint32_t i = 0; i < c->daemons; i++) {
        daemon_begin(world, i, 0);
    }
    for (uint32_t t = 0; t < c->tenants; t++) {
        world->tenants[t].ideal = c->limit.burst;
    }
    return world;
}

static void
daemon_step(quota_world_t *world, uint32_t i, int64_t now_us)
{
    quota_daemon_t *daemon = &world->daemons[i];
    bool up = daemon_is_up(daemon, now_us);
    if (up != daemon->is_up) {
        daemon->is_up = up;
        quota_release(&daemon->quota);
        daemon_begin(world, i, now_us);
    }
    if (!up) {
        return;
    }
    if ((now_us + (int64_t)i * 7 * MS) % HOUSEKEEPING_US == 0) {
        daemon_see_fleet(world, i, now_us);
        quota_expire(&daemon->quota, now_us);
    }
    daemon_ask(world, i, now_us);
}

/* The most that a window beginning then may admit. */
static double
window_bound(const quota_case_t *c, int64_t begin_us)
{
    /* A lower limit is binding when all daemons have it; one that ends within
       the window no longer is. */
    quota_limit_t limit = limit_at(c, begin_us - 2 * SECOND);
    if (limit.rate_per_s < c->limit.rate_per_s) {
        limit = limit_at(c, begin_us + WINDOW_US);
    }
    double owed = limit.rate_per_s * (double)WINDOW_US / 1e6 + limit.burst;
    return owed * (1 + quota_world_bounds.excess) + quota_world_bounds.slack;
}

static void
windows_check(quota_world_t *world)
{
    int64_t bins = world->c->seconds * SECOND / BIN_US;
    int64_t length = WINDOW_US / BIN_US;
    for (uint32_t t = 0; t < world->c->tenants; t++) {
        const uint16_t *admitted = world->tenants[t].admitted;
        uint64_t sum = 0;
        for (int64_t i = 0; i < bins; i++) {
            sum += admitted[i];
            sum -= i >= length ? admitted[i - length] : 0;
            int64_t begin_us = (i - length + 1) * BIN_US;
            double used = (double)sum /
                          window_bound(world->c, begin_us > 0 ? begin_us : 0);
            world->worst = used > world->worst ? used : world->worst;
        }
    }
}

void
quota_world_run(quota_world_t *world)
{
    for (int64_t now_us = 0; now_us < world->c->seconds * SECOND;
         now_us += MS) {
        if (world->c->event != NULL) {
            world->c->event(world, now_us);
        }
        messages_deliver(world, now_us);
        waiters_try(world, now_us);
        calls_arrive(world, now_us);
        for (uint32_t i = 0; i < world->c->daemons; i++) {
            daemon_step(world, i, now_us);
        }
    }
    windows_check(world);
}

void
quota_world_free(quota_world_t *world)
{
    for (uint32_t i = 0; i < world->c->daemons; i++) {
        quota_release(&world->daemons[i].quota);
    }
    free(world);
}

double
quota_world_lost(const quota_world_t *world)
{
    return (double)world->lost / (double)world->owed;
}

const char *
quota_world_fault(const quota_world_t *world)
{
    const quota_case_t *c = world->c;
    double lost = quota_world_lost(world);
    if (world->worst > 1) {
        return "too many admitted";
    }
    if (c->loss_max > 0 && lost > c->loss_max) {
        return "refused within the limit";
    }
    return (double)world->admitted < c->least * (double)world->owed
               ? "too few admitted"
               : NULL;
}
