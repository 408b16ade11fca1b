/* Fault injection: a table of kinds, and a random plan made from the seed. */
#include "daemon/clock.h"
#include "platform/names.h"
#include "t/soak/soak_state.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum {
    FAULTS_MIN = 5,
    FAULTS_SPREAD = 7,       /* up to 6 more */
    FAULTS_EXTRA_SPREAD = 3, /* up to 2 of extra_kinds besides */
    FAULTS_LATER_SPREAD = 3, /* up to 2 of later_kinds besides */
    FAULTS_MAX =
        FAULTS_MIN + FAULTS_SPREAD + FAULTS_EXTRA_SPREAD + FAULTS_LATER_SPREAD,
    FIRST_FAULT_US = 2000000, /* the fleet is in service by then */
    LAST_FAULT_US = 12000000,
    FAULT_MIN_US = 300000,
    FAULT_MAX_US = 3000000,
    REREGISTER_US = 1500000, /* until all expired entries are written again */
    OPERATOR_REWRITE_US = 300000 /* until the operator has written again */
};

typedef struct fault fault_t;

typedef struct {
    const char *name;
    void (*begin)(soak_t *soak, fault_t *fault, int64_t now_us);
    void (*end)(soak_t *soak, fault_t *fault, int64_t now_us);
} fault_kind_t;

struct fault {
    const fault_kind_t *kind;
    uint32_t target;
    uint32_t variant;
    int64_t begin_us; /* from the start of the run */
    int64_t duration_us;
    bool began;
    bool ended;
};

static fault_t faults[FAULTS_MAX];
static uint32_t fault_count;

static daemon_t *
target_daemon(soak_t *soak, const fault_t *fault)
{
    return &soak->daemons[fault->target % soak->daemon_count];
}

static upstream_t *
target_upstream(soak_t *soak, const fault_t *fault)
{
    return &soak->upstreams[fault->target % UPSTREAMS];
}

static void
daemon_stop(soak_t *soak, fault_t *fault, int64_t now_us)
{
    daemon_t *daemon = target_daemon(soak, fault);
    (void)now_us;
    daemon->stopped = true;
    process_signal(&daemon->process, SIGSTOP);
}

static void
daemon_continue(soak_t *soak, fault_t *fault, int64_t now_us)
{
    daemon_t *daemon = target_daemon(soak, fault);
    (void)now_us;
    daemon->stopped = false;
    process_signal(&daemon->process, SIGCONT);
}

static void
daemon_kill(soak_t *soak, fault_t *fault, int64_t now_us)
{
    daemon_t *daemon = target_daemon(soak, fault);
    daemon->last_fault_us = now_us;
    daemon->exit_expected = true;
    process_signal(&daemon->process, SIGKILL);
}

static void
daemons_kill_all(soak_t *soak, fault_t *fault, int64_t now_us)
{
    for (uint32_t i = 0; i < soak->daemon_count; i++) {
        fault->target = i;
        daemon_kill(soak, fault, now_us);
    }
}

static void
daemon_sigterm(soak_t *soak, fault_t *fault, int64_t now_us)
{
    daemon_t *daemon = target_daemon(soak, fault);
    if (daemon->sigterm_us == 0 && !daemon->stopped) {
        daemon->sigterm_us = now_us;
        daemon->exit_expected = true;
        process_signal(&daemon->process, SIGTERM);
    }
}

static void
daemon_sighup(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    process_signal(&target_daemon(soak, fault)->process, SIGHUP);
}

static void
proxy_disrupt(proxy_t *proxy, const fault_t *fault)
{
    proxy_mode_t mode = PROXY_DELAY + fault->variant % (PROXY_MODE_COUNT - 1);
    proxy_set_mode(proxy, mode, fault->duration_us / 10);
}

static void
store_link_disrupt(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    proxy_disrupt(target_daemon(soak, fault)->store_proxy, fault);
}

static void
store_link_restore(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    proxy_set_mode(target_daemon(soak, fault)->store_proxy, PROXY_PASS, 0);
}

static void
upstream_link_disrupt(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    proxy_disrupt(target_upstream(soak, fault)->proxy, fault);
}

static void
upstream_link_restore(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    proxy_set_mode(target_upstream(soak, fault)->proxy, PROXY_PASS, 0);
}

/*
 * The store fails or does not answer; with half of the variants, the entries
 * of all upstreams expire as well.
 */
static void
store_down(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    tier_store_set_mode(soak->store, fault->variant % 2 == 0
                                         ? TIER_STORE_UNAVAILABLE
                                         : TIER_STORE_SILENT);
    for (uint32_t i = 0; i < UPSTREAMS && fault->variant % 4 < 2; i++) {
        char key[64];
        snprintf(key, sizeof(key), KEY_UPSTREAMS "%s", soak->upstreams[i].id);
        tier_store_remove(soak->store, key);
    }
}

static void
store_up(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)fault;
    (void)now_us;
    tier_store_set_mode(soak->store, TIER_STORE_NORMAL);
}

static void
upstream_drain(soak_t *soak, fault_t *fault, int64_t now_us)
{
    upstream_t *upstream = target_upstream(soak, fault);
    upstream->draining_since_us = now_us;
    upstream_register(upstream);
}

static void
upstream_undrain(soak_t *soak, fault_t *fault, int64_t now_us)
{
    upstream_t *upstream = target_upstream(soak, fault);
    (void)now_us;
    upstream->draining_since_us = 0;
    upstream->started_ms += 1000; /* it was restarted */
    upstream_register(upstream);
}

/*
 * The store goes back to the state it had when the fault began. The operator
 * and the upstreams write again what they had written since; bounds run from
 * then.
 */
static void
store_back_up(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)fault;
    soak->backed_up_us = now_us;
    tier_store_back_up(soak->store);
}

static void
store_restore(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)fault;
    tier_store_restore(soak->store);
    soak->restored_us = now_us;
    soak->rewritten = 0;
    if (soak->config_put_us >= soak->backed_up_us) {
        soak->config_put_us = now_us + OPERATOR_REWRITE_US;
    }
    if (soak->evacuated_since_us >= soak->backed_up_us) {
        soak->evacuated_since_us = now_us + OPERATOR_REWRITE_US;
    }
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        upstream_t *upstream = &soak->upstreams[i];
        if (upstream->draining_since_us >= soak->backed_up_us) {
            upstream->draining_since_us = now_us + REREGISTER_US;
        }
    }
}

static void
upstream_leave(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    target_upstream(soak, fault)->leaving = true;
}

static void
upstream_restart(soak_t *soak, fault_t *fault, int64_t now_us)
{
    upstream_t *upstream = target_upstream(soak, fault);
    (void)now_us;
    upstream->leaving = false;
    upstream->started_ms += 1000;
    memset(upstream->notices, 0, sizeof(upstream->notices));
    upstream_register(upstream);
}

static void
upstream_rest(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    target_upstream(soak, fault)->resting = true;
}

static void
upstream_end_rest(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    target_upstream(soak, fault)->resting = false;
}

static void
upstream_limit(soak_t *soak, fault_t *fault, int64_t now_us)
{
    upstream_t *upstream = target_upstream(soak, fault);
    for (uint32_t i = 0; i < DAEMONS_MAX; i++) {
        upstream->notices[i].limit_us = 0;
    }
    upstream->limit_arrival_count = 0;
    upstream->limited_since_us = now_us;
}

static void
upstream_end_limit(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    target_upstream(soak, fault)->limited_since_us = 0;
}

static void
all_links_disrupt(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        proxy_disrupt(soak->upstreams[i].proxy, fault);
    }
}

static void
all_links_restore(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)fault;
    (void)now_us;
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        proxy_set_mode(soak->upstreams[i].proxy, PROXY_PASS, 0);
    }
}

static void
upstream_slow_down(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    target_upstream(soak, fault)->processing_us *= 8;
}

static void
upstream_speed_up(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    target_upstream(soak, fault)->processing_us /= 8;
}

static void
config_change(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)fault;
    soak->idempotent_service =
        soak->idempotent_service == 0 ? ALTERNATE_SERVICE : 0;
    soak_put_config(soak, now_us);
}

static void
zone_evacuate(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)fault;
    soak->evacuated_since_us = now_us;
    tier_store_put(soak->store, KEY_EVACUATE "a", "{}");
}

static void
zone_reopen(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)fault;
    (void)now_us;
    soak->evacuated_since_us = 0;
    tier_store_remove(soak->store, KEY_EVACUATE "a");
}

static void
fault_no_end(soak_t *soak, fault_t *fault, int64_t now_us)
{
    (void)soak;
    (void)fault;
    (void)now_us;
}

/* A kind that is listed twice is chosen twice as often. */
static const fault_kind_t kinds[] = {
    {"SIGSTOP to daemon", daemon_stop, daemon_continue},
    {"SIGKILL to daemon", daemon_kill, fault_no_end},
    {"SIGTERM to daemon", daemon_sigterm, fault_no_end},
    {"SIGHUP to daemon", daemon_sighup, fault_no_end},
    {"SIGKILL to all daemons", daemons_kill_all, fault_no_end},
    {"connection to the store", store_link_disrupt, store_link_restore},
    {"connection to the store", store_link_disrupt, store_link_restore},
    {"connections to an upstream", upstream_link_disrupt,
     upstream_link_restore},
    {"connections to an upstream", upstream_link_disrupt,
     upstream_link_restore},
    {"upstream slow", upstream_slow_down, upstream_speed_up},
    {"upstream drains", upstream_drain, upstream_undrain},
    {"upstream drains", upstream_drain, upstream_undrain},
    {"store unreachable", store_down, store_up},
    {"configuration change", config_change, fault_no_end},
    {"configuration change", config_change, fault_no_end},
    {"zone evacuated", zone_evacuate, zone_reopen},
};

/* Drawn apart from the others, so that the plans of seeds that failed before
   these kinds were added stay as they were. */
static const fault_kind_t extra_kinds[] = {
    {"store restored from a backup", store_back_up, store_restore},
    {"store restored from a backup", store_back_up, store_restore},
    {"upstream leaves", upstream_leave, upstream_restart},
    {"upstream rests", upstream_rest, upstream_end_rest},
};

/* Added later still, and so drawn apart from those. */
static const fault_kind_t later_kinds[] = {
    {"upstream limited", upstream_limit, upstream_end_limit},
    {"upstream limited", upstream_limit, upstream_end_limit},
    {"connections to all upstreams", all_links_disrupt, all_links_restore},
};

static void
fault_draw(soak_t *soak, fault_t *fault, const fault_kind_t *from,
           uint32_t from_count)
{
    const fault_kind_t *kind = &from[soak_random(soak, from_count)];
    *fault = (fault_t){
        .kind = kind,
        .target = soak_random(soak, 1000),
        .variant = soak_random(soak, 1000),
        .begin_us =
            FIRST_FAULT_US + soak_random(soak, LAST_FAULT_US - FIRST_FAULT_US),
        .duration_us =
            FAULT_MIN_US + soak_random(soak, FAULT_MAX_US - FAULT_MIN_US),
    };
    if (kind->begin == upstream_drain || kind->begin == zone_evacuate ||
        kind->begin == upstream_leave) {
        /* Outlast the drain or evacuation bound, so that it is checked. */
        fault->duration_us += DRAIN_US + CONVERGE_US;
    }
    else if (kind->begin == upstream_limit) {
        fault->duration_us += STABLE_US + LIMIT_WINDOW_US;
    }
}

/* Draw up to spread - 1 faults of some kinds, without effect on what is drawn
   next. skip: random numbers to leave out, so that two calls draw others. */
static void
extra_faults_draw(soak_t *soak, const fault_kind_t *from, uint32_t from_count,
                  uint32_t spread, uint32_t skip)
{
    uint64_t random_state = soak->random_state;
    while (skip-- > 0) {
        (void)soak_random(soak, 2);
    }
    uint32_t count = soak_random(soak, spread);
    for (uint32_t i = 0; i < count; i++) {
        fault_draw(soak, &faults[fault_count++], from, from_count);
    }
    soak->random_state = random_state;
}

int64_t
faults_plan(soak_t *soak)
{
    int64_t last_us = 0;
    fault_count = FAULTS_MIN + soak_random(soak, FAULTS_SPREAD);
    for (uint32_t i = 0; i < fault_count; i++) {
        fault_draw(soak, &faults[i], kinds, sizeof(kinds) / sizeof(kinds[0]));
    }
    extra_faults_draw(soak, extra_kinds,
                      sizeof(extra_kinds) / sizeof(extra_kinds[0]),
                      FAULTS_EXTRA_SPREAD, 0);
    extra_faults_draw(soak, later_kinds,
                      sizeof(later_kinds) / sizeof(later_kinds[0]),
                      FAULTS_LATER_SPREAD, 1);
    for (uint32_t i = 0; i < fault_count; i++) {
        const fault_kind_t *kind = faults[i].kind;
        printf("at %5.2f s for %4.2f s: %s, target %u, variant %u\n",
               (double)faults[i].begin_us / 1e6,
               (double)faults[i].duration_us / 1e6, kind->name,
               faults[i].target, faults[i].variant);
        if (faults[i].begin_us + faults[i].duration_us > last_us) {
            last_us = faults[i].begin_us + faults[i].duration_us;
        }
    }
    return last_us;
}

/*
 * Whether another fault with the same end action is active. The new fault is
 * skipped then, so that the one that ends earlier does not undo the other.
 */
static bool
is_kind_active(const fault_t *fault)
{
    for (uint32_t i = 0; i < fault_count; i++) {
        const fault_t *other = &faults[i];
        if (other != fault && other->began && !other->ended &&
            other->kind->end == fault->kind->end &&
            other->kind->end != fault_no_end) {
            return true;
        }
    }
    return false;
}

static void
record_fault_times(soak_t *soak, int64_t now_us)
{
    for (uint32_t i = 0; i < fault_count; i++) {
        const fault_t *fault = &faults[i];
        if (!fault->began || fault->ended) {
            continue;
        }
        daemon_t *daemon = target_daemon(soak, fault);
        if (fault->kind->begin == daemon_stop) {
            daemon->last_fault_us = now_us;
        }
        else if (fault->kind->begin == store_link_disrupt) {
            daemon->last_store_fault_us = now_us;
        }
        else if (fault->kind->begin == upstream_link_disrupt) {
            target_upstream(soak, fault)->last_fault_us = now_us;
        }
        else if (fault->kind->begin == all_links_disrupt) {
            for (uint32_t j = 0; j < UPSTREAMS; j++) {
                soak->upstreams[j].last_fault_us = now_us;
            }
        }
        else if (fault->kind->begin == store_down) {
            soak->last_store_fault_us = now_us;
        }
    }
    for (uint32_t i = 0; i < soak->daemon_count; i++) {
        daemon_t *daemon = &soak->daemons[i];
        if (soak->last_store_fault_us == now_us) {
            daemon->last_store_fault_us = now_us;
        }
    }
}

/*
 * Write expired entries of upstreams again, one after the other, within
 * REREGISTER_US after the store recovered.
 */
static void
reregister_expired(soak_t *soak, int64_t now_us)
{
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        char key[64];
        int64_t reregister_us =
            soak->last_store_fault_us + REREGISTER_US * (i + 1) / UPSTREAMS;
        snprintf(key, sizeof(key), KEY_UPSTREAMS "%s", soak->upstreams[i].id);
        if (soak->last_store_fault_us != 0 && now_us > reregister_us &&
            tier_store_get(soak->store, key) == NULL) {
            upstream_register(&soak->upstreams[i]);
        }
    }
}

/* After the store was restored, write the configuration, the evacuation and
   the upstreams' entries again. */
static void
rewrite_restored(soak_t *soak, int64_t now_us)
{
    if (soak->restored_us == 0) {
        return;
    }
    if (soak->rewritten == 0 &&
        now_us > soak->restored_us + OPERATOR_REWRITE_US) {
        soak_rewrite_config(soak);
        if (soak->evacuated_since_us != 0) {
            tier_store_put(soak->store, KEY_EVACUATE "a", "{}");
        }
        else {
            tier_store_remove(soak->store, KEY_EVACUATE "a");
        }
        soak->rewritten++;
    }
    while (soak->rewritten > 0 && soak->rewritten <= UPSTREAMS &&
           now_us > soak->restored_us +
                        REREGISTER_US * soak->rewritten / UPSTREAMS) {
        upstream_register(&soak->upstreams[soak->rewritten - 1]);
        soak->rewritten++;
    }
}

static void
daemons_tick(soak_t *soak, int64_t now_us)
{
    for (uint32_t i = 0; i < soak->daemon_count; i++) {
        daemon_t *daemon = &soak->daemons[i];
        if (process_reap(&daemon->process)) {
            if (!daemon->exit_expected) {
                request_log_add_violation(soak->request_log, "END",
                                          "%s exited unexpectedly",
                                          daemon->name);
            }
            daemon->exit_expected = false;
            daemon->sigterm_us = 0;
            daemon->stopped = false;
            daemon->last_fault_us = now_us;
            process_start(&daemon->process);
        }
        else if (daemon->sigterm_us != 0 &&
                 now_us > daemon->sigterm_us + GRACE_S * 1000000LL) {
            process_signal(&daemon->process, SIGKILL);
            daemon->last_fault_us = now_us;
        }
    }
}

void
faults_tick(soak_t *soak, int64_t now_us)
{
    int64_t since_us = now_us - soak->start_us;
    for (uint32_t i = 0; i < fault_count; i++) {
        fault_t *fault = &faults[i];
        if (!fault->began && since_us >= fault->begin_us) {
            fault->began = true;
            if (is_kind_active(fault)) {
                fault->ended = true;
                continue;
            }
            fault->kind->begin(soak, fault, now_us);
        }
        if (fault->began && !fault->ended &&
            since_us >= fault->begin_us + fault->duration_us) {
            fault->kind->end(soak, fault, now_us);
            fault->ended = true;
        }
    }
    record_fault_times(soak, now_us);
    reregister_expired(soak, now_us);
    rewrite_restored(soak, now_us);
    daemons_tick(soak, now_us);
}
