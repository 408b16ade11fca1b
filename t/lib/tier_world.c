#include "t/lib/tier_world_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Between the seeds of two worlds' daemons. A change of it changes the figures
   of every replay. */
enum { SEED_STRIDE = 32 };

uint64_t
world_random_bits(tier_world_t *world)
{
    uint64_t x = world->random;
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    world->random = x;
    return x;
}

double
tier_world_random(tier_world_t *world)
{
    return (double)(world_random_bits(world) >> 11) / (double)(1ULL << 53);
}

static bool
event_before(const sim_event_t *left, const sim_event_t *right)
{
    return left->at_us != right->at_us ? left->at_us < right->at_us
                                       : left->order < right->order;
}

void
world_schedule(tier_world_t *world, int64_t at_us, sim_event_kind_t kind,
               void *item, reply_kind_t reply)
{
    if (world->event_count == world->event_capacity) {
        world->event_capacity =
            world->event_capacity == 0 ? 256 : world->event_capacity * 2;
        world->events = realloc(world->events, world->event_capacity *
                                                   sizeof(*world->events));
    }
    size_t place = world->event_count++;
    sim_event_t added = {
        .at_us = at_us,
        .order = world->order++,
        .kind = kind,
        .item = item,
        .reply = reply,
    };
    while (place > 0 &&
           event_before(&added, &world->events[(place - 1) / 2])) {
        world->events[place] = world->events[(place - 1) / 2];
        place = (place - 1) / 2;
    }
    world->events[place] = added;
}

static sim_event_t
world_next_event(tier_world_t *world)
{
    sim_event_t first = world->events[0];
    sim_event_t last = world->events[--world->event_count];
    size_t place = 0;
    for (;;) {
        size_t child = 2 * place + 1;
        if (child >= world->event_count) {
            break;
        }
        if (child + 1 < world->event_count &&
            event_before(&world->events[child + 1], &world->events[child])) {
            child++;
        }
        if (!event_before(&world->events[child], &last)) {
            break;
        }
        world->events[place] = world->events[child];
        place = child;
    }
    if (world->event_count > 0) {
        world->events[place] = last;
    }
    return first;
}

/* --- ports --- */

static bool
port_send(void *owner, attempt_t *attempt, int64_t now_us)
{
    daemon_t *daemon = owner;
    tier_world_t *world = daemon->world;
    job_t *job = calloc(1, sizeof(*job));
    uint32_t number = 0;
    while (strcmp(world->upstreams[number].behaviour.id,
                  attempt->instance->entry.id) != 0) {
        number++;
    }
    job->world = world;
    job->attempt = attempt;
    job->daemon = daemon->number;
    job->upstream = number;
    job->call = attempt->call->owner;
    job->work_us = job->call->work_us;
    job->hop_us = TIER_HOP_US;
    daemon->sends++;
    if (daemon->zone != NULL &&
        strcmp(daemon->zone, attempt->instance->entry.zone) != 0) {
        job->hop_us += world->settings.zone_hop_us;
        daemon->crossings++;
    }
    job->all_next = world->jobs;
    world->jobs = job;
    attempt->link = job;
    instance_connected(attempt->instance, 2 * job->hop_us);
    world_schedule(world, now_us + job->hop_us, EVENT_ARRIVE, job,
                   REPLY_ANSWER);
    return true;
}

static void
port_abandon(void *owner, attempt_t *attempt, int64_t until_us)
{
    daemon_t *daemon = owner;
    world_schedule(daemon->world, until_us, EVENT_ABANDON_END, attempt->link,
                   REPLY_UNFINISHED);
}

static void
port_cancel(void *owner, attempt_t *attempt)
{
    (void)owner;
    job_cancel(attempt->link);
}

static void
port_answer(void *owner, void *call_owner, const answer_t *answer)
{
    daemon_t *daemon = owner;
    tier_call_t *call = call_owner;
    call->done = true;
    call->done_us = daemon->world->now_us;
    call->status = answer->status;
    call->kind = answer->kind;
    call->missing = answer->missing_shards;
    call->retry_after_us = answer->retry_after_us;
    call->reason = answer->reason != NULL ? answer->reason : "";
    call->request = NULL;
    call->wake_us = 0;
    if (daemon->world->answered != NULL) {
        daemon->world->answered(daemon->world->answered_owner, call);
    }
}

static void
port_wake_at(void *owner, void *call_owner, int64_t at_us)
{
    daemon_t *daemon = owner;
    tier_call_t *call = call_owner;
    call->wake_us = at_us;
    world_schedule(daemon->world, at_us, EVENT_WAKE, call, REPLY_ANSWER);
}

static void
port_suspect(void *owner, uint64_t fingerprint)
{
    daemon_t *daemon = owner;
    (void)fingerprint;
    daemon->world->suspects++;
}

static const engine_ports_t world_ports = {
    .send = port_send,
    .abandon = port_abandon,
    .cancel = port_cancel,
    .answer = port_answer,
    .wake_at = port_wake_at,
    .suspect = port_suspect,
};

/* --- the world --- */

tier_world_t *
tier_world_new(const tier_settings_t *settings)
{
    tier_world_t *world = calloc(1, sizeof(*world));
    world->settings = *settings;
    world->now_us = 1000000;
    world->random = settings->seed * 2654435761U + 88172645463325252ULL;
    for (uint32_t i = 0; i < settings->daemons; i++) {
        daemon_t *daemon = &world->daemons[i];
        daemon->world = world;
        daemon->number = i;
        engine_settings_t engine = settings->engine;
        engine.seed = settings->seed * SEED_STRIDE + i;
        if (settings->zones != NULL) {
            daemon->zone = settings->zones[i % settings->zone_count];
            snprintf(engine.zone, sizeof(engine.zone), "%s", daemon->zone);
        }
        daemon->engine = engine_new(&engine, &world_ports, daemon);
        engine_set_fleet_size(daemon->engine, settings->daemons,
                              world->now_us);
        uint64_t ids[TIER_DAEMONS_MAX];
        for (uint32_t j = 0; j < settings->daemons; j++) {
            ids[j] = j + 1;
        }
        engine_set_sharers(daemon->engine, i + 1, ids, settings->daemons,
                           world->now_us);
        world_schedule(world, world->now_us, EVENT_TICK, daemon, REPLY_ANSWER);
    }
    return world;
}

void
tier_world_free(tier_world_t *world)
{
    for (size_t i = 0; i < world->call_count; i++) {
        tier_call_t *call = world->calls[i];
        if (call->request != NULL) {
            engine_cancel(world->daemons[call->daemon].engine, call->request,
                          world->now_us);
        }
    }
    for (uint32_t i = 0; i < world->settings.daemons; i++) {
        engine_free(world->daemons[i].engine);
    }
    for (size_t i = 0; i < world->call_count; i++) {
        free(world->calls[i]);
    }
    for (job_t *job = world->jobs, *next; job != NULL; job = next) {
        next = job->all_next;
        free(job);
    }
    for (uint32_t i = 0; i < world->upstream_count; i++) {
        free(world->upstreams[i].arrived);
    }
    free(world->calls);
    free(world->events);
    free(world);
}

void
tier_world_configure(tier_world_t *world, route_table_t *table)
{
    for (uint32_t i = 0; i < world->settings.daemons; i++) {
        engine_configure(world->daemons[i].engine, table, world->now_us);
    }
    route_table_release(table);
}

static void
world_list(tier_world_t *world, uint32_t number, bool draining)
{
    const tier_world_upstream_t *up = &world->upstreams[number].behaviour;
    instance_entry_t entry = {.slots = up->slots, .draining = draining};
    snprintf(entry.id, sizeof(entry.id), "%s", up->id);
    snprintf(entry.service, sizeof(entry.service), "%s", up->service);
    snprintf(entry.zone, sizeof(entry.zone), "%s",
             up->zone != NULL ? up->zone : "a");
    for (uint32_t i = 0; i < world->settings.daemons; i++) {
        registry_put(engine_registry(world->daemons[i].engine), &entry,
                     world->order++, world->now_us);
    }
}

uint32_t
tier_world_upstream(tier_world_t *world, const tier_world_upstream_t *up)
{
    uint32_t number = world->upstream_count++;
    world->upstreams[number].behaviour = *up;
    world_list(world, number, false);
    return number;
}

tier_world_upstream_t *
tier_world_upstream_at(tier_world_t *world, uint32_t number)
{
    return &world->upstreams[number].behaviour;
}

void
tier_world_drain(tier_world_t *world, uint32_t number)
{
    world_list(world, number, true);
}

engine_t *
tier_world_engine(tier_world_t *world, uint32_t daemon)
{
    return world->daemons[daemon].engine;
}

int64_t
tier_world_now_us(const tier_world_t *world)
{
    return world->now_us;
}

tier_call_t *
tier_world_call(tier_world_t *world, int64_t at_us, uint32_t daemon,
                const char *path, int64_t work_us, int64_t timeout_us)
{
    tier_call_t *call = calloc(1, sizeof(*call));
    world->calls =
        realloc(world->calls, (world->call_count + 1) * sizeof(*world->calls));
    world->calls[world->call_count++] = call;
    snprintf(call->id, sizeof(call->id), "call-%zu", world->call_count);
    call->path = path;
    call->daemon = daemon;
    call->at_us = at_us;
    call->work_us = work_us;
    call->timeout_us = timeout_us;
    call->method = "GET";
    world_schedule(world, at_us, EVENT_CALL, call, REPLY_ANSWER);
    return call;
}

void
tier_world_on_answer(tier_world_t *world, tier_answered_fn_t answered,
                     void *owner)
{
    world->answered = answered;
    world->answered_owner = owner;
}

void
tier_world_cancel(tier_world_t *world, tier_call_t *call, int64_t at_us)
{
    world_schedule(world, at_us, EVENT_CANCEL_CALL, call, REPLY_ANSWER);
}

static call_t
call_to_engine(const tier_call_t *call)
{
    return (call_t){
        .owner = (void *)call,
        .id = call->id,
        .host = "h.example",
        .method = call->method,
        .target = call->path,
        .timeout_us = call->timeout_us,
        .tenant = call->tenant,
        .tenant_id = call->tenant_id,
    };
}

uint64_t
tier_world_fingerprint(const tier_call_t *call)
{
    call_t engine_call = call_to_engine(call);
    return call_fingerprint(&engine_call);
}

static void
call_begin(tier_world_t *world, tier_call_t *call)
{
    call_t engine_call = call_to_engine(call);
    request_t *request = engine_begin(world->daemons[call->daemon].engine,
                                      &engine_call, world->now_us);
    if (!call->done) {
        call->request = request;
    }
}

static void
call_wake(tier_world_t *world, tier_call_t *call)
{
    /* A later wake-up replaces an earlier one, whose event is ignored. */
    if (call->request != NULL && call->wake_us == world->now_us) {
        call->wake_us = 0;
        engine_wake(world->daemons[call->daemon].engine, call->request,
                    world->now_us);
    }
}

static void
call_cancel(tier_world_t *world, tier_call_t *call)
{
    if (call->request != NULL) {
        engine_cancel(world->daemons[call->daemon].engine, call->request,
                      world->now_us);
        call->request = NULL;
        call->cancelled = true;
    }
}

static void
job_end_abandoned(job_t *job)
{
    attempt_t *attempt = job->attempt;
    if (attempt == NULL) {
        return;
    }
    job_cancel(job);
    reply_t reply = {.kind = REPLY_UNFINISHED};
    engine_reply(job->world->daemons[job->daemon].engine, attempt, &reply,
                 job->world->now_us);
}

void
tier_world_run(tier_world_t *world, int64_t until_us)
{
    while (world->event_count > 0 && world->events[0].at_us <= until_us) {
        sim_event_t event = world_next_event(world);
        world->now_us = event.at_us;
        switch (event.kind) {
        case EVENT_CALL:
            call_begin(world, event.item);
            break;
        case EVENT_WAKE:
            call_wake(world, event.item);
            break;
        case EVENT_CANCEL_CALL:
            call_cancel(world, event.item);
            break;
        case EVENT_ARRIVE:
            job_arrive(event.item);
            break;
        case EVENT_DONE:
            job_done(event.item);
            break;
        case EVENT_REPLY:
            job_reply(event.item, event.reply);
            break;
        case EVENT_ABANDON_END:
            job_end_abandoned(event.item);
            break;
        case EVENT_TICK:
            engine_dispatch_queued(((daemon_t *)event.item)->engine,
                                   world->now_us);
            world_schedule(world, world->now_us + POOL_DISPATCH_US, EVENT_TICK,
                           event.item, REPLY_ANSWER);
            break;
        }
    }
    world->now_us = until_us;
}

uint32_t
tier_world_suspects(const tier_world_t *world)
{
    return world->suspects;
}

uint32_t
tier_world_sends(const tier_world_t *world, uint32_t daemon)
{
    return world->daemons[daemon].sends;
}

uint32_t
tier_world_crossings(const tier_world_t *world, uint32_t daemon)
{
    return world->daemons[daemon].crossings;
}

route_table_t *
tier_world_table(uint64_t version, uint32_t shards, int64_t goal_us,
                 double min_share)
{
    route_table_t *table = route_table_new(version);
    route_t *all = route_table_add(table, "all", "h.example", "/all/");
    all->kind = ROUTE_SHARDS;
    all->idempotent = true;
    all->goal_us = goal_us;
    all->timeout_us = 6 * goal_us;
    all->attempts = 2;
    all->priority = 1;
    all->top_k = 20;
    all->min_share = min_share;
    for (uint32_t i = 0; i < shards; i++) {
        char name[16];
        snprintf(name, sizeof(name), "s%u", i);
        route_add_target(all, name, 1);
    }
    static const struct {
        const char *name;
        const char *prefix;
        bool idempotent;
    } plain[] = {
        {"one", "/one/", true},
        {"once", "/once/", false},
    };
    for (size_t i = 0; i < sizeof(plain) / sizeof(plain[0]); i++) {
        route_t *route = route_table_add(table, plain[i].name, "h.example",
                                         plain[i].prefix);
        route->kind = ROUTE_ONE;
        route->idempotent = plain[i].idempotent;
        route->goal_us = goal_us;
        route->timeout_us = 6 * goal_us;
        route->attempts = 2;
        route->priority = 2;
        route_add_target(route, "s0", 1);
    }
    route_table_seal(table);
    return table;
}
