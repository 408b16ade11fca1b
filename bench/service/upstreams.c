#include "bench/service/sim.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum {
    STRAGGLE_FACTOR = 10,
    COLD_SLOTS = 1,
    WARMUP_PARTS = 20,
    RESTART_US = 1000000, /* from a crash to the restart, with cold caches */
    FAULT_INTERVAL_US = 125000,
    SHED_RETRY_US = 20000
};

enum { DRAW_SPREAD, DRAW_STRAGGLE };

enum { FAULT_NEXT, FAULT_RESTART };

typedef enum { PART_QUEUED, PART_RUNNING, PART_ENDED } part_state_t;

typedef struct {
    attempt_id_t id;
    uint64_t query_number;
    key_range_t range;
    uint64_t version;
    uint64_t generation;
    int64_t deadline_us;
    part_state_t state;
    part_status_t status;
    bool not_run;
} call_part_t;

/* A request to one upstream over one connection, of one or more parts. */
struct call {
    sim_daemon_t *daemon;
    uint32_t upstream;
    /*
     * One for the link and one per event, of which EVENT_CALL and EVENT_RESULT
     * are counted from the start.
     */
    uint32_t references;
    uint32_t count;
    uint32_t parts_left; /* parts that have not ended */
    bool once;
    bool connected; /* sent over a connection that was open before */
    bool reset;     /* the upstream's crash closed the connection */
    bool cold;      /* the upstream was cold when it answered */
    uint64_t boot;  /* of the upstream when it answered */
    int64_t sent_us;
    call_part_t parts[UPSTREAM_CALL_PARTS_MAX];
    call_t *prev;
    call_t *next;
};

/* A daemon's pending calls and idle connections to one upstream. */
typedef struct {
    call_t *calls;
    uint32_t idle; /* open connections without a call */
    uint64_t boot; /* boot of the upstream when the idle connections opened */
} link_t;

struct upstream_client {
    sim_daemon_t *daemon;
    upstream_callbacks_t callbacks;
    link_t *links;  /* by upstream */
    call_t **ready; /* answered, to be delivered by client_run */
    size_t ready_count;
    size_t ready_capacity;
    upstream_totals_t totals;
};

/* The daemon for which sim_upstream_ops.new makes a client. */
static _Thread_local sim_daemon_t *bound_daemon;

void
upstreams_bind_daemon(sim_daemon_t *daemon)
{
    bound_daemon = daemon;
}

int64_t
upstream_service_time_us(const sim_t *sim, uint32_t upstream,
                         uint64_t query_number, uint64_t lo)
{
    uint64_t seed = sim->settings->seed;
    uint32_t one_in = sim->settings->straggle_one_in;
    double spread =
        sim_hash(seed, query_number, lo, (uint64_t)upstream * 2 + DRAW_SPREAD);
    double straggle = sim_hash(seed, query_number, lo,
                               (uint64_t)upstream * 2 + DRAW_STRAGGLE);
    double us = (double)sim->upstreams[upstream].plan->service->service_us *
                (0.7 + 0.6 * spread);
    bool slow = one_in > 0 && straggle * one_in < 1;
    return (int64_t)(slow ? us * STRAGGLE_FACTOR : us);
}

double
upstream_mean_service_us(const trial_settings_t *settings,
                         const service_plan_t *service)
{
    double mean = (double)service->service_us;
    if (settings->straggle_one_in > 0) {
        mean *= 1 + (STRAGGLE_FACTOR - 1.0) / settings->straggle_one_in;
    }
    return mean;
}

static upstream_client_t *
client_new(const upstream_callbacks_t *callbacks, error_t *err)
{
    (void)err;
    upstream_client_t *client = sim_alloc(1, sizeof(*client));
    client->daemon = bound_daemon;
    client->callbacks = *callbacks;
    client->links =
        sim_alloc(bound_daemon->sim->upstream_count, sizeof(link_t));
    bound_daemon->client = client;
    return client;
}

static void
call_release(call_t *call)
{
    if (--call->references == 0) {
        free(call);
    }
}

static void
client_free(upstream_client_t *client)
{
    for (size_t i = 0; i < client->daemon->sim->upstream_count; i++) {
        call_t *call = NULL;
        call_t *next = NULL;
        DL_FOREACH_SAFE(client->links[i].calls, call, next)
        {
            free(call);
        }
    }
    free(client->links);
    free(client->ready);
    free(client);
}

static int64_t
call_delay_us(const sim_t *sim, const call_t *call)
{
    return sim_link_delay_us(sim, call->daemon->zone,
                             sim->upstreams[call->upstream].plan->zone);
}

static void
call_send_result(sim_t *sim, call_t *call)
{
    const sim_upstream_t *upstream = &sim->upstreams[call->upstream];
    call->cold = upstream->cold;
    call->boot = upstream->boot;
    sim_push(sim, EVENT_RESULT, sim->now_us + call_delay_us(sim, call),
             call->daemon->index)
        ->item = call;
}

static void
part_end(sim_t *sim, call_t *call, uint32_t part, part_status_t status,
         bool not_run)
{
    call->parts[part].state = PART_ENDED;
    call->parts[part].status = status;
    call->parts[part].not_run = not_run;
    if (--call->parts_left == 0) {
        call_send_result(sim, call);
    }
}

/* Returns the link, without the connections that a crash has closed. */
static link_t *
link_current(const sim_t *sim, upstream_client_t *client, uint32_t upstream)
{
    link_t *link = &client->links[upstream];
    if (link->boot != sim->upstreams[upstream].boot) {
        link->boot = sim->upstreams[upstream].boot;
        link->idle = 0;
    }
    return link;
}

static void
client_send(upstream_client_t *client, const upstream_info_t *target,
            const part_request_t *requests, size_t count, int64_t now_us)
{
    sim_t *sim = client->daemon->sim;
    int index = topology_upstream_index(sim->topology, target->name);
    call_t *call = sim_alloc(1, sizeof(*call));
    *call = (call_t){.daemon = client->daemon,
                     .upstream = (uint32_t)index,
                     .references = 3,
                     .count = (uint32_t)count,
                     .parts_left = (uint32_t)count,
                     .once = requests[0].once,
                     .sent_us = now_us};
    for (size_t i = 0; i < count; i++) {
        call->parts[i] = (call_part_t){.id = requests[i].id,
                                       .query_number = requests[i].fingerprint,
                                       .range = requests[i].range,
                                       .version = requests[i].version,
                                       .generation = requests[i].generation,
                                       .deadline_us = requests[i].deadline_us};
    }
    link_t *link = link_current(sim, client, call->upstream);
    DL_APPEND(link->calls, call);
    client->totals.calls++;
    client->totals.parts += count;
    int64_t connect_us = 0;
    if (link->idle > 0 && !call->once) {
        link->idle--;
        call->connected = true;
    }
    else {
        connect_us = sim->upstreams[index].plan->service->connect_us;
        client->totals.connects++;
        sim->result->connects++;
    }
    sim_push(sim, EVENT_CALL, now_us + connect_us + call_delay_us(sim, call),
             call->upstream)
        ->item = call;
}

static void
client_cancel(upstream_client_t *client, const upstream_info_t *target,
              attempt_id_t id)
{
    sim_t *sim = client->daemon->sim;
    int index = topology_upstream_index(sim->topology, target->name);
    call_t *call = NULL;
    DL_FOREACH(client->links[index].calls, call)
    {
        for (uint32_t i = 0; i < call->count; i++) {
            if (!attempt_id_equal(call->parts[i].id, id)) {
                continue;
            }
            call->references++;
            event_t *event = sim_push(sim, EVENT_ABORT,
                                      sim->now_us + call_delay_us(sim, call),
                                      call->upstream);
            event->item = call;
            event->count = i;
            return;
        }
    }
}

static void
client_wait(upstream_client_t *client, int timeout_ms)
{
    (void)client;
    (void)timeout_ms;
}

static void
call_deliver(upstream_client_t *client, const call_t *call, uint32_t index)
{
    const call_part_t *part = &call->parts[index];
    bool lost = part->status == PART_LOST;
    int64_t service_us = client->daemon->sim->now_us - call->sent_us;
    part_reply_t reply = {
        .id = part->id,
        .status = part->status,
        .not_run = part->not_run,
        .version = part->version != 0 ? part->version : SIM_VERSION,
        .generation = part->generation,
        .range = part->range,
        .count = key_range_size(part->range),
        .sum =
            part->range.hi * part->range.hi - part->range.lo * part->range.lo,
        .held = {SIM_VERSION},
        .service_us = service_us,
        .retry_after_us = part->status == PART_SHED ? SHED_RETRY_US : 0,
    };
    gate_result_t result = {
        .status = part->status,
        .service_us = service_us,
        .boot = lost ? 0 : call->boot,
        .cold = !lost && call->cold,
        .reset = call->reset,
        .not_run = part->not_run,
        .retry_after_us = reply.retry_after_us,
    };
    client->callbacks.result(client->callbacks.context, &reply, &result);
}

static void
call_finish(upstream_client_t *client, call_t *call)
{
    sim_t *sim = client->daemon->sim;
    link_t *link = link_current(sim, client, call->upstream);
    if (!call->once && !call->reset && call->boot == link->boot) {
        link->idle++;
    }
    for (uint32_t i = 0; i < call->count; i++) {
        call_deliver(client, call, i);
    }
    DL_DELETE(link->calls, call);
    call_release(call);
}

static void
client_run(upstream_client_t *client)
{
    size_t count = client->ready_count;
    for (size_t i = 0; i < count; i++) {
        call_finish(client, client->ready[i]);
    }
    client->ready_count = 0;
}

static void
client_wake(upstream_client_t *client)
{
    (void)client;
}

static upstream_totals_t
client_totals(const upstream_client_t *client)
{
    return client->totals;
}

const upstream_ops_t sim_upstream_ops = {
    .new = client_new,
    .free = client_free,
    .send = client_send,
    .cancel = client_cancel,
    .wait = client_wait,
    .run = client_run,
    .wake = client_wake,
    .totals = client_totals,
};

void
upstreams_handle_result(sim_t *sim, event_t *event)
{
    call_t *call = event->item;
    upstream_client_t *client = call->daemon->client;
    (void)sim;
    if (client->ready_count == client->ready_capacity) {
        client->ready_capacity = client->ready_capacity * 2 + 16;
        call_t **grown = realloc(client->ready, client->ready_capacity *
                                                    sizeof(*client->ready));
        if (grown == NULL) {
            exit(1);
        }
        client->ready = grown;
    }
    client->ready[client->ready_count++] = call;
    call_release(call);
}

static bool
upstream_is_out(const sim_t *sim, const sim_upstream_t *upstream)
{
    return sim->zone_out && strcmp(upstream->plan->zone,
                                   sim->settings->deployment->zones[0]) == 0;
}

static void
part_start(sim_t *sim, sim_upstream_t *upstream, call_t *call, uint32_t index)
{
    call_part_t *part = &call->parts[index];
    part->state = PART_RUNNING;
    upstream->running[upstream->running_count++] =
        (part_ref_t){.call = call, .part = index};
    sim->result->part_starts++;
    if (upstream_is_out(sim, upstream) &&
        sim->now_us > sim->zone_out_us + 2000000) {
        sim->result->late_starts++;
    }
    callers_record_start(sim, part->query_number, &part->range);
    int64_t end_us = sim->now_us + upstream_service_time_us(
                                       sim, upstream->index,
                                       part->query_number, part->range.lo);
    if (end_us > part->deadline_us) {
        end_us = part->deadline_us;
    }
    call->references++;
    event_t *event = sim_push(sim, EVENT_PART_END, end_us, upstream->index);
    event->item = call;
    event->count = index;
}

static void
upstream_start_next(sim_t *sim, sim_upstream_t *upstream)
{
    uint32_t slots =
        upstream->cold ? COLD_SLOTS : upstream->plan->service->slots;
    while (upstream->running_count < slots && upstream->queue_count > 0) {
        part_ref_t ref = upstream->queue[upstream->queue_first];
        upstream->queue_first =
            (upstream->queue_first + 1) % upstream->queue_capacity;
        upstream->queue_count--;
        call_part_t *part = &ref.call->parts[ref.part];
        if (part->deadline_us <= sim->now_us) {
            part_end(sim, ref.call, ref.part, PART_EXPIRED, true);
            continue;
        }
        part_start(sim, upstream, ref.call, ref.part);
    }
}

/* The process crashes: its parts are lost and its connections are reset. */
static void
upstream_crash(sim_t *sim, sim_upstream_t *upstream)
{
    upstream->boot++;
    upstream->down = true;
    upstream->cold = true;
    upstream->cold_parts = WARMUP_PARTS;
    event_t *back =
        sim_push(sim, EVENT_FAULT, sim->now_us + RESTART_US, upstream->index);
    back->count = FAULT_RESTART;
    for (uint32_t i = 0; i < upstream->running_count; i++) {
        part_ref_t ref = upstream->running[i];
        ref.call->reset = true;
        part_end(sim, ref.call, ref.part, PART_LOST, false);
    }
    upstream->running_count = 0;
    while (upstream->queue_count > 0) {
        part_ref_t ref = upstream->queue[upstream->queue_first];
        upstream->queue_first =
            (upstream->queue_first + 1) % upstream->queue_capacity;
        upstream->queue_count--;
        ref.call->reset = true;
        part_end(sim, ref.call, ref.part, PART_LOST, false);
    }
}

static void
upstream_accept_part(sim_t *sim, sim_upstream_t *upstream, call_t *call,
                     uint32_t index)
{
    uint32_t load = upstream->running_count + upstream->queue_count;
    if (call->parts[index].state == PART_ENDED) {
        return; /* cancelled in flight */
    }
    if (upstream->down) {
        call->reset = true;
        part_end(sim, call, index, PART_LOST, !call->connected);
        return;
    }
    if (load >= upstream->plan->service->connections) {
        sim->result->shed_parts++;
        part_end(sim, call, index, PART_SHED, true);
        return;
    }
    uint32_t at = (upstream->queue_first + upstream->queue_count) %
                  upstream->queue_capacity;
    upstream->queue[at] = (part_ref_t){.call = call, .part = index};
    upstream->queue_count++;
    if (upstream->cold && load >= upstream->plan->service->slots) {
        sim->result->overload_crashes++;
        upstream_crash(sim, upstream);
    }
}

static void
upstream_accept_call(sim_t *sim, sim_upstream_t *upstream, call_t *call)
{
    for (uint32_t i = 0; i < call->count; i++) {
        upstream_accept_part(sim, upstream, call, i);
    }
    upstream_start_next(sim, upstream);
}

static void
running_remove(sim_upstream_t *upstream, const call_t *call, uint32_t part)
{
    for (uint32_t i = 0; i < upstream->running_count; i++) {
        if (upstream->running[i].call == call &&
            upstream->running[i].part == part) {
            upstream->running[i] =
                upstream->running[--upstream->running_count];
            return;
        }
    }
}

static void
queue_remove(sim_upstream_t *upstream, const call_t *call, uint32_t part)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < upstream->queue_count; i++) {
        part_ref_t ref = upstream->queue[(upstream->queue_first + i) %
                                         upstream->queue_capacity];
        if (ref.call == call && ref.part == part) {
            continue;
        }
        upstream->queue[(upstream->queue_first + kept++) %
                        upstream->queue_capacity] = ref;
    }
    upstream->queue_count = kept;
}

static void
handle_part_end(sim_t *sim, sim_upstream_t *upstream, call_t *call,
                uint32_t index)
{
    const call_part_t *part = &call->parts[index];
    if (part->state != PART_RUNNING) {
        return;
    }
    running_remove(upstream, call, index);
    bool in_time = sim->now_us < part->deadline_us;
    part_end(sim, call, index, in_time ? PART_OK : PART_FAILED, false);
    if (upstream->cold && --upstream->cold_parts == 0) {
        upstream->cold = false;
    }
    upstream_start_next(sim, upstream);
}

static void
handle_abort(sim_t *sim, sim_upstream_t *upstream, call_t *call,
             uint32_t index)
{
    part_state_t state = call->parts[index].state;
    if (state == PART_ENDED) {
        return;
    }
    if (state == PART_RUNNING) {
        running_remove(upstream, call, index);
    }
    else {
        queue_remove(upstream, call, index);
    }
    part_end(sim, call, index, PART_CANCELLED, state == PART_QUEUED);
    upstream_start_next(sim, upstream);
}

static void
handle_fault(sim_t *sim, const event_t *event)
{
    sim_upstream_t *upstream = &sim->upstreams[event->index];
    if (event->count == FAULT_RESTART) {
        upstream->down = false;
        return;
    }
    if (sim->now_us >= sim->end_us) {
        return;
    }
    if (!upstream->down && sim_draw(sim) < 0.5) {
        upstream->cold = true;
        upstream->cold_parts = WARMUP_PARTS;
    }
    else if (!upstream->down) {
        upstream_crash(sim, upstream);
    }
    uint32_t next = (uint32_t)(sim_draw(sim) * (double)sim->upstream_count);
    sim_push(sim, EVENT_FAULT, sim->now_us + FAULT_INTERVAL_US, next);
}

void
upstreams_handle_event(sim_t *sim, event_t *event)
{
    sim_upstream_t *upstream = &sim->upstreams[event->index];
    call_t *call = event->item;
    switch (event->kind) {
    case EVENT_CALL:
        upstream_accept_call(sim, upstream, call);
        call_release(call);
        break;
    case EVENT_ABORT:
        handle_abort(sim, upstream, call, event->count);
        call_release(call);
        break;
    case EVENT_PART_END:
        handle_part_end(sim, upstream, call, event->count);
        call_release(call);
        break;
    default:
        handle_fault(sim, event);
        break;
    }
}

void
upstreams_start(sim_t *sim)
{
    for (uint32_t i = 0; i < sim->upstream_count; i++) {
        sim_upstream_t *upstream = &sim->upstreams[i];
        const char *name = sim->topology->upstreams[i].name;
        upstream->index = i;
        upstream->boot = 1;
        for (size_t p = 0; p < sim->upstream_count; p++) {
            if (strcmp(sim->plans[p].name, name) == 0) {
                upstream->plan = &sim->plans[p];
            }
        }
        upstream->queue_capacity = upstream->plan->service->connections + 1;
        upstream->queue =
            sim_alloc(upstream->queue_capacity, sizeof(part_ref_t));
        upstream->running =
            sim_alloc(upstream->plan->service->slots, sizeof(part_ref_t));
    }
    if (sim->settings->faults) {
        sim_push(sim, EVENT_FAULT, SIM_START_US + sim->settings->warmup_us, 0);
    }
}

void
upstreams_stop(sim_t *sim)
{
    for (size_t i = 0; i < sim->upstream_count; i++) {
        free(sim->upstreams[i].queue);
        free(sim->upstreams[i].running);
    }
}
