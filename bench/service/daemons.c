#include "bench/service/sim.h"
#include "fleet/owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    QUERIES_MAX = 2000,
    QUEUE_MAX = 10000,
    RAMP_STEP_US = 50000,
    RAMP_SUCCESSES = 8,
    CRASH_LIMIT = 2,
    DRAIN_US = 1000000,
    QUARANTINE_US = 600000000
};

static uint32_t
daemon_index(uint64_t incarnation)
{
    return (uint32_t)(incarnation - 1);
}

/*
 * Queues the event of a message's arrival, after the link's delay, at the
 * daemon whose incarnation is to.
 */
static event_t *
push_message(sim_daemon_t *from, event_kind_t kind, uint64_t to)
{
    sim_t *sim = from->sim;
    uint32_t index = daemon_index(to);
    int64_t delay_us =
        index == from->index
            ? 0
            : sim_link_delay_us(sim, from->zone, sim->daemons[index].zone);
    event_t *event = sim_push(sim, kind, sim->now_us + delay_us, index);
    event->origin = from->incarnation;
    return event;
}

static bool
send_parts(void *context, uint64_t owner, const part_request_t *requests,
           size_t count)
{
    part_request_t *copies = sim_alloc(count, sizeof(*copies));
    memcpy(copies, requests, count * sizeof(*copies));
    for (size_t i = 0; i < count; i++) {
        copies[i].body = "";
        copies[i].body_size = 0;
    }
    event_t *event = push_message(context, EVENT_PARTS, owner);
    event->item = copies;
    event->count = (uint32_t)count;
    return true;
}

static void
send_cancel(void *context, uint64_t owner, attempt_id_t id)
{
    push_message(context, EVENT_CANCEL, owner)->id = id;
}

static void
send_replies(void *context, uint64_t incarnation, const part_reply_t *replies,
             size_t count)
{
    part_reply_t *copies = sim_alloc(count, sizeof(*copies));
    memcpy(copies, replies, count * sizeof(*copies));
    event_t *event = push_message(context, EVENT_REPLIES, incarnation);
    event->item = copies;
    event->count = (uint32_t)count;
}

static void
on_partition(void *context, const partition_t *partition)
{
    (void)context;
    (void)partition;
}

static int64_t
quarantine_left_us(void *context, uint64_t fingerprint, int64_t now_us)
{
    const sim_daemon_t *daemon = context;
    return admission_quarantine_left_us(daemon->admission, fingerprint,
                                        now_us);
}

static void
daemon_start(sim_t *sim, uint32_t index)
{
    sim_daemon_t *daemon = &sim->daemons[index];
    const deployment_t *deployment = sim->settings->deployment;
    size_t zones =
        deployment->four_zones ? PLAN_ZONES_MAX : PLAN_ZONES_MAX - 1;
    daemon->sim = sim;
    daemon->index = index;
    daemon->incarnation = index + 1;
    daemon->zone = deployment->zones[index % zones];
    daemon->wake_us = INT64_MAX;
    daemon->stats = sim_alloc(1, sizeof(*daemon->stats));
    stats_init(daemon->stats);
    atomic_store(&daemon->until_us, INT64_MAX / 2);
    coordinator_settings_t coordinator = {
        .incarnation = daemon->incarnation,
        .queries_max = QUERIES_MAX,
        .seed = sim->settings->seed + index,
        .policy = sim->settings->variant->policy,
        .trust_until_us = &daemon->until_us,
        .sink = {.context = daemon,
                 .send = send_parts,
                 .cancel = send_cancel,
                 .quarantine_left_us = quarantine_left_us},
        .stats = daemon->stats,
    };
    admission_settings_t admission = {
        .worker_count = 1,
        .gate = {.queue_max = QUEUE_MAX,
                 .ramp_step_us = RAMP_STEP_US,
                 .ramp_successes = RAMP_SUCCESSES,
                 .crash_limit = CRASH_LIMIT,
                 .quarantine_us = QUARANTINE_US},
        .upstream = &sim_upstream_ops,
        .act_until_us = &daemon->until_us,
        .drain_us = DRAIN_US,
        .stats = daemon->stats,
        .context = daemon,
        .reply = send_replies,
        .partition = on_partition,
    };
    error_t err = ERROR_INIT;
    upstreams_bind_daemon(daemon);
    daemon->coordinator = coordinator_new(&coordinator);
    daemon->admission = admission_new(&admission, &err);
    if (daemon->coordinator == NULL || daemon->admission == NULL) {
        fprintf(stderr, "start: %s\n", error_text(&err));
        exit(1);
    }
}

void
daemons_start(sim_t *sim, config_t *config)
{
    for (uint32_t i = 0; i < SIM_DAEMONS; i++) {
        daemon_start(sim, i);
        daemon_apply_config(sim, i, config);
    }
}

void
daemons_stop(sim_t *sim)
{
    for (uint32_t i = 0; i < SIM_DAEMONS; i++) {
        sim_daemon_t *daemon = &sim->daemons[i];
        coordinator_free(daemon->coordinator);
        admission_free(daemon->admission);
        free(daemon->stats);
    }
}

static void
view_set_owners(const sim_t *sim, const sim_daemon_t *daemon,
                fleet_view_t *view)
{
    owner_key_t keys[SIM_DAEMONS];
    for (uint32_t i = 0; i < SIM_DAEMONS; i++) {
        keys[i] = owner_key(view->members[i].name, view->members[i].zone);
    }
    for (size_t i = 0; i < sim->topology->upstream_count; i++) {
        const upstream_info_t *upstream = &sim->topology->upstreams[i];
        int owner = (int)daemon->index;
        if (!sim->settings->variant->even_split) {
            owner = owner_pick(keys, SIM_DAEMONS,
                               owner_key(upstream->name, upstream->zone));
        }
        view->owner[i] = (int16_t)owner;
        view->active[i] = owner == (int)daemon->index;
    }
}

void
daemon_apply_config(sim_t *sim, uint32_t index, config_t *config)
{
    sim_daemon_t *daemon = &sim->daemons[index];
    size_t count = sim->topology->upstream_count;
    fleet_view_t *view = sim_alloc(1, sizeof(*view));
    atomic_init(&view->references, 1);
    view->config = config_get(config);
    view->topology = topology_get(sim->topology);
    view->members = sim_alloc(SIM_DAEMONS, sizeof(*view->members));
    view->member_count = SIM_DAEMONS;
    view->self = (int)index;
    view->trusted = true;
    view->roster_version = 1;
    for (uint32_t i = 0; i < SIM_DAEMONS; i++) {
        roster_member_t *member = &view->members[i];
        member->incarnation = sim->daemons[i].incarnation;
        snprintf(member->name, NAME_SIZE, "entry-%u", i);
        const deployment_t *deployment = sim->settings->deployment;
        size_t zones =
            deployment->four_zones ? PLAN_ZONES_MAX : PLAN_ZONES_MAX - 1;
        snprintf(member->zone, NAME_SIZE, "%s", deployment->zones[i % zones]);
        member->incarnation = i + 1;
    }
    view->owner = sim_alloc(count, sizeof(*view->owner));
    view->active = sim_alloc(count, sizeof(*view->active));
    view_set_owners(sim, daemon, view);
    coordinator_set_view(daemon->coordinator, view);
    admission_set_view(daemon->admission, view, sim->now_us);
    fleet_view_put(view);
}

static void
daemon_step(sim_t *sim, sim_daemon_t *daemon)
{
    admission_receive(daemon->admission, sim->now_us);
    int64_t queries_us = coordinator_step(daemon->coordinator, sim->now_us);
    int64_t parts_us = admission_step(daemon->admission, sim->now_us);
    int64_t next_us = queries_us < parts_us ? queries_us : parts_us;
    if (next_us <= sim->now_us) {
        next_us = sim->now_us + 1;
    }
    if (next_us < daemon->wake_us) {
        daemon->wake_us = next_us;
        sim_push(sim, EVENT_WAKE, next_us, daemon->index);
    }
}

void
daemon_handle_event(sim_t *sim, event_t *event)
{
    sim_daemon_t *daemon = &sim->daemons[event->index];
    switch (event->kind) {
    case EVENT_SUBMIT:
        callers_submit(sim, event->item);
        break;
    case EVENT_PARTS:
        admission_submit(daemon->admission, event->origin, event->item,
                         event->count, sim->now_us);
        free(event->item);
        break;
    case EVENT_REPLIES:
        for (uint32_t i = 0; i < event->count; i++) {
            const part_reply_t *replies = event->item;
            coordinator_handle_reply(daemon->coordinator, &replies[i],
                                     sim->now_us);
        }
        free(event->item);
        break;
    case EVENT_CANCEL:
        admission_cancel(daemon->admission, &event->id, 1, sim->now_us);
        break;
    case EVENT_RESULT:
        upstreams_handle_result(sim, event);
        break;
    case EVENT_CONFIG:
        daemon_apply_config(sim, event->index, event->item);
        config_put(event->item);
        break;
    default:
        if (event->at_us > daemon->wake_us) {
            return;
        }
        daemon->wake_us = INT64_MAX;
        break;
    }
    daemon_step(sim, daemon);
}
