/* The upstreams of the simulation: slots, queues, faults and limits. */
#include "t/lib/tier_world_state.h"

#include <stdlib.h>
#include <string.h>

static bool
upstream_faults_active(const upstream_state_t *state, int64_t now_us)
{
    const tier_world_upstream_t *behaviour = &state->behaviour;
    return now_us >= behaviour->since_us &&
           (behaviour->until_us == 0 || now_us < behaviour->until_us);
}

static int64_t
upstream_run_time_us(const upstream_state_t *state, int64_t work_us,
                     int64_t now_us)
{
    const tier_world_upstream_t *behaviour = &state->behaviour;
    double slowdown =
        upstream_faults_active(state, now_us) && behaviour->slowdown > 0
            ? behaviour->slowdown
            : 1;
    if (behaviour->slow_every_us > 0 &&
        (now_us + behaviour->slow_phase_us) % behaviour->slow_every_us >=
            behaviour->slow_every_us - behaviour->slow_us) {
        slowdown *= behaviour->slow_factor;
    }
    int64_t took_us = (int64_t)((double)work_us * slowdown);
    if (behaviour->pause_every_us > 0) {
        int64_t place_us = now_us % behaviour->pause_every_us;
        int64_t pause_at_us = behaviour->pause_every_us - behaviour->pause_us;
        if (place_us + took_us > pause_at_us) {
            took_us += place_us > pause_at_us
                           ? behaviour->pause_every_us - place_us
                           : behaviour->pause_us;
        }
    }
    return took_us;
}

static void
job_start(job_t *job)
{
    tier_world_t *world = job->world;
    upstream_state_t *state = &world->upstreams[job->upstream];
    job->queued = false;
    job->running = true;
    state->running++;
    state->runs++;
    job->call->runs++;
    world_schedule(world,
                   world->now_us + upstream_run_time_us(state, job->work_us,
                                                        world->now_us),
                   EVENT_DONE, job, REPLY_ANSWER);
}

static void
upstream_dispatch(upstream_state_t *state)
{
    while (state->first != NULL && state->running < state->behaviour.slots) {
        job_t *job = state->first;
        state->first = job->queue_next;
        if (state->first == NULL) {
            state->last = NULL;
        }
        state->waiting--;
        if (job->attempt != NULL) {
            job_start(job);
        }
    }
}

static void
upstream_note_arrival(upstream_state_t *state, uint32_t daemon, int64_t now_us)
{
    if (state->arrivals == state->arrived_capacity) {
        state->arrived_capacity = state->arrived_capacity * 2 + 64;
        state->arrived = realloc(state->arrived, state->arrived_capacity *
                                                     sizeof(*state->arrived));
    }
    state->arrived[state->arrivals++] = (arrival_t){now_us, daemon};
}

void
job_arrive(job_t *job)
{
    tier_world_t *world = job->world;
    upstream_state_t *state = &world->upstreams[job->upstream];
    const tier_world_upstream_t *behaviour = &state->behaviour;
    bool faulty = upstream_faults_active(state, world->now_us);
    if (job->attempt == NULL) {
        return;
    }
    int64_t back_us = world->now_us + job->hop_us;
    if (faulty && behaviour->unreachable) {
        world_schedule(world, back_us, EVENT_REPLY, job, REPLY_NOT_SENT);
        return;
    }
    upstream_note_arrival(state, job->daemon, world->now_us);
    job->call->arrivals++;
    job->call->last_arrival_us = world->now_us;
    if (faulty && behaviour->silent) {
        return;
    }
    if (faulty && behaviour->misdirected) {
        world_schedule(world, back_us, EVENT_REPLY, job, REPLY_MISDIRECTED);
        return;
    }
    if ((faulty && tier_world_random(world) < behaviour->refuse_share) ||
        state->waiting >= behaviour->queue_max + 1) {
        world_schedule(world, back_us, EVENT_REPLY, job, REPLY_NOT_RUN);
        return;
    }
    job->queued = true;
    job->queue_next = NULL;
    if (state->last != NULL) {
        state->last->queue_next = job;
    }
    else {
        state->first = job;
    }
    state->last = job;
    state->waiting++;
    upstream_dispatch(state);
}

void
job_done(job_t *job)
{
    tier_world_t *world = job->world;
    upstream_state_t *state = &world->upstreams[job->upstream];
    if (!job->running) {
        return; /* cancelled; job_cancel has released the slot */
    }
    job->running = false;
    state->running--;
    bool lost = upstream_faults_active(state, world->now_us) &&
                tier_world_random(world) < state->behaviour.lose_share;
    world_schedule(world, world->now_us + job->hop_us, EVENT_REPLY, job,
                   lost ? REPLY_LOST : REPLY_ANSWER);
    upstream_dispatch(state);
}

void
job_cancel(job_t *job)
{
    upstream_state_t *state = &job->world->upstreams[job->upstream];
    job->attempt = NULL;
    if (job->running) {
        job->running = false;
        state->running--;
        upstream_dispatch(state);
    }
}

void
job_reply(job_t *job, reply_kind_t kind)
{
    tier_world_t *world = job->world;
    attempt_t *attempt = job->attempt;
    if (attempt == NULL) {
        return;
    }
    job->attempt = NULL;
    upstream_state_t *state = &world->upstreams[job->upstream];
    uint8_t record[16];
    memset(record, (int)(world_random_bits(world) & 255), sizeof(record));
    http_message_t message = {
        .status = upstream_faults_active(state, world->now_us) &&
                          state->behaviour.fail_status != 0
                      ? state->behaviour.fail_status
                      : 200,
        .body = {.bytes = record, .end = sizeof(record), .capacity = 16},
    };
    reply_t reply = {.kind = kind};
    if (kind == REPLY_ANSWER) {
        reply.message = &message;
        reply.signature = "signed";
    }
    if (kind == REPLY_ANSWER || kind == REPLY_NOT_RUN) {
        bool limited = upstream_faults_active(state, world->now_us) &&
                       state->behaviour.limited;
        reply.rate = limited ? RATE_LIMITED : RATE_UNLIMITED;
        reply.rate_per_s = state->behaviour.limit_per_s;
        if (limited && state->told_us[job->daemon] == 0) {
            state->told_us[job->daemon] = world->now_us;
        }
    }
    engine_reply(world->daemons[job->daemon].engine, attempt, &reply,
                 world->now_us);
}

uint32_t
tier_world_arrivals(const tier_world_t *world, uint32_t number)
{
    return world->upstreams[number].arrivals;
}

uint32_t
tier_world_runs(const tier_world_t *world, uint32_t number)
{
    return world->upstreams[number].runs;
}

/* An arrival counts if the daemon was told of the limit before it. */
static uint32_t
arrival_counts(const upstream_state_t *state, const arrival_t *arrival,
               int64_t from_us, int64_t until_us, int64_t told_us)
{
    int64_t since_us = state->told_us[arrival->daemon];
    return arrival->at_us >= from_us && arrival->at_us < until_us &&
                   since_us > 0 && arrival->at_us - since_us >= told_us
               ? 1
               : 0;
}

uint32_t
tier_world_told_arrivals(const tier_world_t *world, uint32_t number,
                         int64_t from_us, int64_t until_us, int64_t window_us,
                         int64_t told_us)
{
    const upstream_state_t *state = &world->upstreams[number];
    const arrival_t *arrived = state->arrived;
    uint32_t most = 0;
    uint32_t count = 0;
    uint32_t first = 0;
    for (uint32_t i = 0; i < state->arrivals; i++) {
        count +=
            arrival_counts(state, &arrived[i], from_us, until_us, told_us);
        while (arrived[first].at_us + window_us <= arrived[i].at_us) {
            count -= arrival_counts(state, &arrived[first++], from_us,
                                    until_us, told_us);
        }
        most = count > most ? count : most;
    }
    return most;
}
