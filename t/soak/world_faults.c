/* Which faults meet the fleet when: drawn from the seed, in a table of kinds.
 */
#include "daemon/clock.h"
#include "platform/names.h"
#include "t/soak/world_state.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum {
    FAULTS_MIN = 5,
    FAULTS_MORE = 7,
    FAULTS_MAX = FAULTS_MIN + FAULTS_MORE,
    FIRST_US = 2000000, /* the fleet has come up by then */
    LAST_US = 12000000,
    SHORT_US = 300000,
    LONG_US = 3000000,
    ENTRY_BACK_US = 1500000 /* an upstream's own time to register again */
};

typedef struct fault fault_t;

typedef struct {
    const char *name;
    void (*begin)(world_t *world, fault_t *fault, int64_t now_us);
    void (*end)(world_t *world, fault_t *fault, int64_t now_us);
} fault_kind_t;

struct fault {
    const fault_kind_t *kind;
    uint32_t target;
    uint32_t variant;
    int64_t at_us; /* from the start */
    int64_t for_us;
    bool began;
    bool ended;
};

static fault_t faults[FAULTS_MAX];
static uint32_t fault_count;

static daemon_t *
target_daemon(world_t *world, const fault_t *fault)
{
    return &world->daemons[fault->target % world->daemon_count];
}

static upstream_t *
target_upstream(world_t *world, const fault_t *fault)
{
    return &world->upstreams[fault->target % UPSTREAMS];
}

static void
daemon_stop(world_t *world, fault_t *fault, int64_t now_us)
{
    daemon_t *daemon = target_daemon(world, fault);
    (void)now_us;
    daemon->stopped = true;
    fleet_signal(&daemon->process, SIGSTOP);
}

static void
daemon_continue(world_t *world, fault_t *fault, int64_t now_us)
{
    daemon_t *daemon = target_daemon(world, fault);
    (void)now_us;
    daemon->stopped = false;
    fleet_signal(&daemon->process, SIGCONT);
}

static void
daemon_kill(world_t *world, fault_t *fault, int64_t now_us)
{
    daemon_t *daemon = target_daemon(world, fault);
    daemon->harmed_us = now_us;
    daemon->restarts = true;
    fleet_signal(&daemon->process, SIGKILL);
}

static void
all_kill(world_t *world, fault_t *fault, int64_t now_us)
{
    for (uint32_t i = 0; i < world->daemon_count; i++) {
        fault->target = i;
        daemon_kill(world, fault, now_us);
    }
}

static void
daemon_term(world_t *world, fault_t *fault, int64_t now_us)
{
    daemon_t *daemon = target_daemon(world, fault);
    if (daemon->term_us == 0 && !daemon->stopped) {
        daemon->term_us = now_us;
        daemon->restarts = true;
        fleet_signal(&daemon->process, SIGTERM);
    }
}

static void
daemon_hup(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    fleet_signal(&target_daemon(world, fault)->process, SIGHUP);
}

static void
proxy_harm(proxy_t *proxy, const fault_t *fault)
{
    proxy_mode_t mode = PROXY_DELAY + fault->variant % (PROXY_MODES - 1);
    proxy_set(proxy, mode, fault->for_us / 10);
}

static void
store_link_harm(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    proxy_harm(target_daemon(world, fault)->store_proxy, fault);
}

static void
store_link_mend(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    proxy_set(target_daemon(world, fault)->store_proxy, PROXY_PASS, 0);
}

static void
upstream_harm(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    proxy_harm(target_upstream(world, fault)->proxy, fault);
}

static void
upstream_mend(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    proxy_set(target_upstream(world, fault)->proxy, PROXY_PASS, 0);
}

/* The store is away, and with every other seed all entries lapse in it. */
static void
store_down(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    tier_store_set_mode(world->store, fault->variant % 2 == 0
                                          ? TIER_STORE_UNAVAILABLE
                                          : TIER_STORE_SILENT);
    for (uint32_t i = 0; i < UPSTREAMS && fault->variant % 4 < 2; i++) {
        char key[64];
        snprintf(key, sizeof(key), KEY_UPSTREAMS "%s", world->upstreams[i].id);
        tier_store_remove(world->store, key);
    }
}

static void
store_up(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)fault;
    (void)now_us;
    tier_store_set_mode(world->store, TIER_STORE_NORMAL);
}

static void
upstream_drain(world_t *world, fault_t *fault, int64_t now_us)
{
    upstream_t *upstream = target_upstream(world, fault);
    upstream->draining_us = now_us;
    upstream_list(upstream);
}

static void
upstream_undrain(world_t *world, fault_t *fault, int64_t now_us)
{
    upstream_t *upstream = target_upstream(world, fault);
    (void)now_us;
    upstream->draining_us = 0;
    upstream_list(upstream);
}

static void
upstream_slow(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    target_upstream(world, fault)->work_us *= 8;
}

static void
upstream_fast(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)now_us;
    target_upstream(world, fault)->work_us /= 8;
}

static void
config_change(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)fault;
    world->one_goes_to = world->one_goes_to == 0 ? MOVED_TO : 0;
    world_put_config(world, now_us);
}

static void
zone_evacuate(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)fault;
    world->evacuated_us = now_us;
    tier_store_put(world->store, KEY_EVACUATE "a", "{}");
}

static void
zone_return(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)fault;
    (void)now_us;
    world->evacuated_us = 0;
    tier_store_remove(world->store, KEY_EVACUATE "a");
}

static void
nothing(world_t *world, fault_t *fault, int64_t now_us)
{
    (void)world;
    (void)fault;
    (void)now_us;
}

static const fault_kind_t kinds[] = {
    {"daemon stopped", daemon_stop, daemon_continue},
    {"daemon killed", daemon_kill, nothing},
    {"daemon asked to end", daemon_term, nothing},
    {"daemon's settings signal", daemon_hup, nothing},
    {"all daemons killed", all_kill, nothing},
    {"way to the store", store_link_harm, store_link_mend},
    {"way to the store", store_link_harm, store_link_mend},
    {"way to an upstream", upstream_harm, upstream_mend},
    {"way to an upstream", upstream_harm, upstream_mend},
    {"upstream slow", upstream_slow, upstream_fast},
    {"upstream drains", upstream_drain, upstream_undrain},
    {"upstream drains", upstream_drain, upstream_undrain},
    {"store away", store_down, store_up},
    {"configuration", config_change, nothing},
    {"configuration", config_change, nothing},
    {"zone evacuated", zone_evacuate, zone_return},
};

int64_t
faults_plan(world_t *world)
{
    int64_t last_us = 0;
    enum { KINDS_COUNT = sizeof(kinds) / sizeof(kinds[0]) };
    fault_count = FAULTS_MIN + world_random(world, FAULTS_MORE);
    for (uint32_t i = 0; i < fault_count; i++) {
        const fault_kind_t *kind = &kinds[world_random(world, KINDS_COUNT)];
        faults[i] = (fault_t){
            .kind = kind,
            .target = world_random(world, 1000),
            .variant = world_random(world, 1000),
            .at_us = FIRST_US + world_random(world, LAST_US - FIRST_US),
            .for_us = SHORT_US + world_random(world, LONG_US - SHORT_US),
        };
        if (kind->begin == upstream_drain || kind->begin == zone_evacuate) {
            /* Long enough for a bound to be judged after it. */
            faults[i].for_us += DRAIN_US + CONVERGE_US;
        }
        printf("at %5.2f s for %4.2f s: %s, target %u, variant %u\n",
               (double)faults[i].at_us / 1e6, (double)faults[i].for_us / 1e6,
               kind->name, faults[i].target, faults[i].variant);
        if (faults[i].at_us + faults[i].for_us > last_us) {
            last_us = faults[i].at_us + faults[i].for_us;
        }
    }
    return last_us;
}

/* A fault may not be undone by another of its kind that ends earlier. */
static bool
is_taken(const fault_t *fault)
{
    for (uint32_t i = 0; i < fault_count; i++) {
        const fault_t *other = &faults[i];
        if (other != fault && other->began && !other->ended &&
            other->kind->end == fault->kind->end &&
            other->kind->end != nothing) {
            return true;
        }
    }
    return false;
}

static void
note_harm(world_t *world, int64_t now_us)
{
    for (uint32_t i = 0; i < fault_count; i++) {
        const fault_t *fault = &faults[i];
        if (!fault->began || fault->ended) {
            continue;
        }
        daemon_t *daemon = target_daemon(world, fault);
        if (fault->kind->begin == daemon_stop) {
            daemon->harmed_us = now_us;
        }
        else if (fault->kind->begin == store_link_harm) {
            daemon->store_harmed_us = now_us;
        }
        else if (fault->kind->begin == upstream_harm) {
            target_upstream(world, fault)->harmed_us = now_us;
        }
        else if (fault->kind->begin == store_down) {
            world->store_harmed_us = now_us;
        }
    }
    for (uint32_t i = 0; i < world->daemon_count; i++) {
        daemon_t *daemon = &world->daemons[i];
        if (world->store_harmed_us == now_us) {
            daemon->store_harmed_us = now_us;
        }
    }
}

/* Entries that lapsed are written again a while after the store's return. */
static void
lapsed_return(world_t *world, int64_t now_us)
{
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        char key[64];
        int64_t back_us =
            world->store_harmed_us + ENTRY_BACK_US * (i + 1) / UPSTREAMS;
        snprintf(key, sizeof(key), KEY_UPSTREAMS "%s", world->upstreams[i].id);
        if (world->store_harmed_us != 0 && now_us > back_us &&
            tier_store_get(world->store, key) == NULL) {
            upstream_list(&world->upstreams[i]);
        }
    }
}

static void
daemons_tick(world_t *world, int64_t now_us)
{
    for (uint32_t i = 0; i < world->daemon_count; i++) {
        daemon_t *daemon = &world->daemons[i];
        if (fleet_has_ended(&daemon->process)) {
            if (!daemon->restarts) {
                ledger_break(world->ledger, "END", "%s ended by itself",
                             daemon->name);
            }
            daemon->restarts = false;
            daemon->term_us = 0;
            daemon->stopped = false;
            daemon->harmed_us = now_us;
            fleet_start(&daemon->process);
        }
        else if (daemon->term_us != 0 &&
                 now_us > daemon->term_us + GRACE_S * 1000000LL) {
            fleet_signal(&daemon->process, SIGKILL);
            daemon->harmed_us = now_us;
        }
    }
}

void
faults_tick(world_t *world, int64_t now_us)
{
    int64_t since_us = now_us - world->start_us;
    for (uint32_t i = 0; i < fault_count; i++) {
        fault_t *fault = &faults[i];
        if (!fault->began && since_us >= fault->at_us) {
            fault->began = true;
            if (is_taken(fault)) {
                fault->ended = true;
                continue;
            }
            fault->kind->begin(world, fault, now_us);
        }
        if (fault->began && !fault->ended &&
            since_us >= fault->at_us + fault->for_us) {
            fault->kind->end(world, fault, now_us);
            fault->ended = true;
        }
    }
    note_harm(world, now_us);
    lapsed_return(world, now_us);
    daemons_tick(world, now_us);
}
