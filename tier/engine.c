#include "tier/engine.h"

#include "edge/event.h"
#include "tier/engine_state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    /* A request is refused for CRASH_REFUSE_US as crash-inducing once
       CRASH_ATTEMPTS requests with its fingerprint, at any daemons, have lost
       their upstream connections without any response. Upstreams restart
       within seconds. */
    CRASH_ATTEMPTS = 2,
    CRASH_REFUSE_US = 60000000
};

uint64_t
engine_random(engine_t *engine)
{
    /* xorshift64 */
    uint64_t x = engine->random;
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    engine->random = x;
    return x;
}

engine_t *
engine_new(const engine_settings_t *settings, const engine_ports_t *ports,
           void *owner)
{
    engine_t *engine = calloc(1, sizeof(*engine));
    if (engine == NULL) {
        return NULL;
    }
    engine->settings = *settings;
    engine->ports = *ports;
    engine->owner = owner;
    engine->fleet_size = 1;
    engine->sharers.fleet_size = 1;
    /* xorshift64 never leaves the state 0. */
    engine->random = XXH64(&settings->seed, sizeof(settings->seed), 0) | 1;
    registry_init(&engine->registry);
    engine->quarantine = quarantine_new(CRASH_ATTEMPTS, CRASH_REFUSE_US, 0);
    if (engine->quarantine == NULL) {
        engine_free(engine);
        return NULL;
    }
    return engine;
}

static void
route_state_free(void *value)
{
    route_state_t *route_state = value;
    free(route_state->split_credit);
    free(route_state);
}

void
engine_free(engine_t *engine)
{
    if (engine == NULL) {
        return;
    }
    for (request_t *request = engine->requests, *next; request != NULL;
         request = next) {
        next = request->next;
        engine_cancel(engine, request, 0);
    }
    for (attempt_t *attempt = engine->attempts, *next; attempt != NULL;
         attempt = next) {
        next = attempt->next;
        free(attempt);
    }
    route_table_release(engine->table);
    strmap_release(&engine->route_states, route_state_free);
    tenant_names_release(&engine->tenant_names);
    registry_release(&engine->registry);
    fair_share_release(&engine->shares);
    quarantine_free(engine->quarantine);
    free(engine->sharer_ids);
    free(engine);
}

registry_t *
engine_registry(engine_t *engine)
{
    return &engine->registry;
}

reach_t *
engine_reach(engine_t *engine)
{
    return &engine->reach;
}

const route_table_t *
engine_table(const engine_t *engine)
{
    return engine->table;
}

tenant_names_t *
engine_tenant_names(engine_t *engine)
{
    return &engine->tenant_names;
}

uint32_t
engine_request_count(const engine_t *engine)
{
    return engine->request_count;
}

const fair_share_t *
engine_shares(const engine_t *engine)
{
    return &engine->shares;
}

uint64_t
engine_limited_sends(const engine_t *engine)
{
    return engine->limited_sends;
}

const zone_traffic_t *
engine_zone_traffic(const engine_t *engine)
{
    return &engine->zone_traffic;
}

void
engine_each_route(const engine_t *engine, engine_route_fn_t each, void *owner)
{
    for (const strmap_entry_t *at = strmap_first(&engine->route_states);
         at != NULL; at = strmap_next(at)) {
        const route_state_t *route_state = strmap_value(at);
        each(owner, strmap_name(at), &route_state->latency);
    }
}

void
engine_configure(engine_t *engine, route_table_t *table, int64_t now_us)
{
    route_table_release(engine->table);
    engine->table = route_table_retain(table);
    registry_apply_config(&engine->registry, table, engine->fleet_size);
    engine_recheck_tenants(engine, now_us);
    engine_dispatch_queued(engine, now_us);
}

void
engine_confirm_table(engine_t *engine, uint64_t revision)
{
    if (engine->table != NULL && revision > engine->table->revision) {
        engine->table->revision = revision;
    }
}

void
engine_set_zone_price(engine_t *engine, int64_t price_us)
{
    engine->settings.zone_price_us = price_us;
}

static void
engine_divide_limits(engine_t *engine, int64_t now_us)
{
    const strmap_t *pools = &engine->registry.pools;
    for (strmap_entry_t *at = strmap_first(pools); at != NULL;
         at = strmap_next(at)) {
        const pool_t *pool = strmap_value(at);
        for (uint32_t i = 0; i < pool->count; i++) {
            engine_divide_limit(engine, pool->instances[i], now_us);
        }
    }
}

void
engine_set_sharers(engine_t *engine, uint64_t self, const uint64_t *ids,
                   uint32_t count, int64_t now_us)
{
    if (self == engine->sharers.self && count == engine->sharers.count &&
        (count == 0 ||
         memcmp(ids, engine->sharer_ids, count * sizeof(*ids)) == 0)) {
        return;
    }
    uint64_t *copy = malloc((count + 1) * sizeof(*copy));
    if (copy == NULL) {
        return; /* the shares stay those of the sharers known before */
    }
    memcpy(copy, ids, count * sizeof(*copy));
    free(engine->sharer_ids);
    engine->sharer_ids = copy;
    engine->sharers.self = self;
    engine->sharers.ids = copy;
    engine->sharers.count = count;
    engine_divide_limits(engine, now_us);
}

void
engine_set_fleet_size(engine_t *engine, uint32_t fleet_size, int64_t now_us)
{
    engine->fleet_size = fleet_size > 0 ? fleet_size : 1;
    engine->sharers.fleet_size = engine->fleet_size;
    engine_divide_limits(engine, now_us);
    registry_apply_config(&engine->registry, engine->table,
                          engine->fleet_size);
    engine_dispatch_queued(engine, now_us);
}

void
engine_dispatch_queued(engine_t *engine, int64_t now_us)
{
    const strmap_t *pools = &engine->registry.pools;
    for (strmap_entry_t *at = strmap_first(pools); at != NULL;
         at = strmap_next(at)) {
        pool_dispatch_queued(strmap_value(at), now_us);
    }
}

void
engine_suspect(engine_t *engine, uint64_t fingerprint, int64_t now_us)
{
    quarantine_record_crash(engine->quarantine, fingerprint, true, now_us);
    if (quarantine_status(engine->quarantine, fingerprint, now_us) ==
        QUARANTINE_REFUSED) {
        event_log(EVENT_REQUEST_QUARANTINED, "fingerprint=%016llx for_s=%d",
                  (unsigned long long)fingerprint, CRASH_REFUSE_US / 1000000);
    }
}
