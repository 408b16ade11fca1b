#include "standin/lib/answer.h"
#include "t/scenario/sim.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum {
    CLIENT_PENDING_MAX = 4096,
    UPSTREAM_LINK_US = 200,
    SHED_RETRY_AFTER_US = 20000,
    COLD_PART_COUNT = 20,
    LATENCY_SPREAD_DIVISOR = 4
};

/* A part sent to an upstream; kept until the end of the simulation. */
struct run {
    struct run *next;
    sim_upstream_t *upstream;
    size_t node;
    uint64_t incarnation;
    part_request_t request;
    uint64_t version;
    int64_t started_us;
    bool timed_out;
    bool cancelled;
    bool ended;
};

typedef struct {
    part_reply_t reply;
    gate_result_t result;
    bool duplicated;
} pending_t;

struct upstream_client {
    sim_t *sim;
    size_t node;
    upstream_callbacks_t callbacks;
    pending_t pending[CLIENT_PENDING_MAX];
    size_t pending_count;
    upstream_totals_t totals;
};

/*
 * Simulation and daemon of the client that the next call of
 * sim_upstream_ops.new creates; the call has no argument for them.
 */
static sim_t *bound_sim;
static size_t bound_node;

void
sim_upstream_bind_client(sim_t *sim, size_t node)
{
    bound_sim = sim;
    bound_node = node;
}

static upstream_client_t *
client_new(const upstream_callbacks_t *callbacks, error_t *err)
{
    (void)err;
    upstream_client_t *client = sim_alloc(sizeof(*client));
    client->sim = bound_sim;
    client->node = bound_node;
    client->callbacks = *callbacks;
    bound_sim->nodes[bound_node].client = client;
    return client;
}

static void
client_free(upstream_client_t *client)
{
    free(client);
}

static sim_upstream_t *
find_upstream(sim_t *sim, const char *name)
{
    for (size_t i = 0; i < sim->upstream_count; i++) {
        if (strcmp(sim->upstreams[i].info.name, name) == 0) {
            return &sim->upstreams[i];
        }
    }
    return NULL;
}

static void
fill_held_versions(const sim_upstream_t *upstream,
                   uint64_t held[PART_HELD_MAX])
{
    for (uint32_t i = 0; i < PART_HELD_MAX; i++) {
        held[i] = i < upstream->held_versions && upstream->version > i
                      ? upstream->version - i
                      : 0;
    }
}

/* Schedule the delivery of a result to the client that sent the part. */
static sim_event_t *
push_result(sim_t *sim, const run_t *run, part_status_t status, bool not_run)
{
    const sim_upstream_t *upstream = run->upstream;
    sim_event_t *event =
        sim_push(sim, EVENT_RESULT, sim->now_us + UPSTREAM_LINK_US, run->node);
    int64_t service_us = sim->now_us + UPSTREAM_LINK_US - run->started_us;
    event->incarnation = run->incarnation;
    event->index = (size_t)(upstream - sim->upstreams);
    event->reply = (part_reply_t){.id = run->request.id,
                                  .status = status,
                                  .not_run = not_run,
                                  .service_us = service_us,
                                  .range = run->request.range};
    event->result =
        (gate_result_t){.status = status, .service_us = service_us};
    bool answered = status != PART_LOST && status != PART_CANCELLED;
    if (answered) {
        event->result.boot = upstream->boot;
        event->result.cold = upstream->cold;
        event->reply.generation = upstream->generation;
        fill_held_versions(upstream, event->reply.held);
    }
    return event;
}

static void
push_shed(sim_t *sim, const run_t *run)
{
    sim_event_t *event = push_result(sim, run, PART_SHED, true);
    event->result.retry_after_us = SHED_RETRY_AFTER_US;
    event->reply.retry_after_us = SHED_RETRY_AFTER_US;
}

static bool
holds_version(const sim_upstream_t *upstream, uint64_t version)
{
    return version == 0 ||
           (version <= upstream->version &&
            version + upstream->held_versions > upstream->version);
}

/* Return the status with which a part is refused, or PART_OK to run it. */
static part_status_t
part_refusal(const sim_t *sim, const sim_upstream_t *upstream,
             const part_request_t *request)
{
    uint32_t slots = upstream->cold ? upstream->cold_slots : upstream->slots;
    if (upstream->down) {
        return PART_LOST;
    }
    if (request->deadline_us <= sim->now_us) {
        return PART_EXPIRED;
    }
    if (request->generation != 0 &&
        request->generation != upstream->generation) {
        return PART_MOVED;
    }
    if (!holds_version(upstream, request->version)) {
        return PART_NO_VERSION;
    }
    return upstream->shed || upstream->running >= slots ? PART_SHED : PART_OK;
}

static int64_t
draw_latency(sim_t *sim, const sim_upstream_t *upstream)
{
    int64_t latency_us = upstream->latency_us;
    latency_us += (int64_t)sim_random(
        sim, (uint64_t)latency_us / LATENCY_SPREAD_DIVISOR + 1);
    if (sim_chance(sim, upstream->straggle_permille)) {
        latency_us *= upstream->straggle_factor;
    }
    return upstream->cold ? latency_us * 2 : latency_us;
}

static void
start_run(sim_t *sim, run_t *run)
{
    sim_upstream_t *upstream = run->upstream;
    upstream->running++;
    upstream->starts++;
    run->version =
        run->request.version != 0 ? run->request.version : upstream->version;
    int64_t end_us = sim->now_us + draw_latency(sim, upstream);
    if (end_us > run->request.deadline_us) {
        end_us = run->request.deadline_us;
        run->timed_out = true;
    }
    sim_push(sim, EVENT_RUN_END, end_us, SIM_NODES_MAX)->item = run;
}

static void
send_part(upstream_client_t *client, sim_upstream_t *upstream,
          const part_request_t *request)
{
    sim_t *sim = client->sim;
    run_t *run = sim_alloc(sizeof(*run));
    *run = (run_t){.next = sim->runs,
                   .upstream = upstream,
                   .node = client->node,
                   .incarnation = sim->nodes[client->node].incarnation,
                   .request = *request,
                   .started_us = sim->now_us};
    run->request.body = NULL;
    sim->runs = run;
    part_status_t status = part_refusal(sim, upstream, request);
    check_part_start(sim, upstream, request, client->node, status == PART_OK);
    if (status == PART_OK) {
        start_run(sim, run);
        call_t *call = call_find(sim, request->id);
        if (call != NULL && strcmp(call->body, "poison") == 0) {
            sim_push(sim, EVENT_RUN_END, sim->now_us + 1, SIM_NODES_MAX)
                ->item = run;
        }
        return;
    }
    run->ended = true;
    if (status == PART_SHED) {
        push_shed(sim, run);
        return;
    }
    sim_event_t *event = push_result(sim, run, status, true);
    event->result.reset = status == PART_LOST;
    event->result.not_run = status == PART_LOST;
}

static void
client_send(upstream_client_t *client, const upstream_info_t *target,
            const part_request_t *requests, size_t count, int64_t now_us)
{
    (void)now_us;
    sim_upstream_t *upstream = find_upstream(client->sim, target->name);
    client->totals.calls++;
    for (size_t i = 0; i < count; i++) {
        client->totals.parts++;
        send_part(client, upstream, &requests[i]);
    }
}

static void
client_cancel(upstream_client_t *client, const upstream_info_t *target,
              attempt_id_t id)
{
    (void)target;
    for (run_t *run = client->sim->runs; run != NULL; run = run->next) {
        if (!run->ended && attempt_id_equal(run->request.id, id)) {
            run->cancelled = true;
            sim_push(client->sim, EVENT_RUN_END,
                     client->sim->now_us + UPSTREAM_LINK_US, SIM_NODES_MAX)
                ->item = run;
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
client_run(upstream_client_t *client)
{
    size_t count = client->pending_count;
    client->pending_count = 0;
    for (size_t i = 0; i < count; i++) {
        pending_t result = client->pending[i];
        client->callbacks.result(client->callbacks.context, &result.reply,
                                 &result.result);
        if (result.duplicated) {
            client->callbacks.result(client->callbacks.context, &result.reply,
                                     &result.result);
        }
    }
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
sim_upstream_deliver_result(sim_t *sim, const sim_event_t *event)
{
    sim_node_t *node = &sim->nodes[event->node];
    sim_upstream_t *upstream = &sim->upstreams[event->index];
    if (!node->alive || node->incarnation != event->incarnation) {
        return;
    }
    bool reports_cold =
        event->result.boot == upstream->boot && event->result.cold;
    if (upstream->cold && (reports_cold || event->result.reset) &&
        upstream->cold_reported_us == 0) {
        upstream->cold_reported_us = sim->now_us;
    }
    upstream_client_t *client = node->client;
    if (client->pending_count == CLIENT_PENDING_MAX) {
        abort();
    }
    client->pending[client->pending_count++] = (pending_t){
        .reply = event->reply,
        .result = event->result,
        .duplicated = event->duplicated,
    };
}

/* Make a reply differ from the request in range, version or generation. */
static void
corrupt_reply(sim_t *sim, part_reply_t *reply)
{
    switch (sim_random(sim, 3)) {
    case 0:
        reply->range.hi = reply->range.lo + key_range_size(reply->range) / 2;
        break;
    case 1:
        reply->version++;
        break;
    default:
        reply->generation++;
        break;
    }
    reply->count = answer_count(reply->range, reply->version);
    reply->sum =
        answer_sum(reply->range, reply->version + reply->generation * 1000);
}

static void
push_answer(sim_t *sim, const run_t *run)
{
    const sim_upstream_t *upstream = run->upstream;
    if (sim_chance(sim, upstream->lose_permille)) {
        push_result(sim, run, PART_LOST, false)->result.reset = true;
        return;
    }
    if (sim_chance(sim, upstream->truncate_permille)) {
        push_result(sim, run, PART_BAD_REPLY, false);
        return;
    }
    sim_event_t *event = push_result(sim, run, PART_OK, false);
    part_reply_t *reply = &event->reply;
    reply->version = run->version;
    reply->generation = run->request.generation != 0 ? run->request.generation
                                                     : upstream->generation;
    reply->count = answer_count(reply->range, reply->version);
    reply->sum =
        answer_sum(reply->range, reply->version + reply->generation * 1000);
    if (sim_chance(sim, upstream->mismatch_permille)) {
        corrupt_reply(sim, reply);
    }
    event->duplicated = sim_chance(sim, upstream->duplicate_permille);
}

static void
warm_up(sim_upstream_t *upstream)
{
    if (upstream->cold && --upstream->cold_parts_left == 0) {
        upstream->cold = false;
        upstream->cold_reported_us = 0;
    }
}

static void
end_run(sim_t *sim, run_t *run)
{
    sim_upstream_t *upstream = run->upstream;
    run->ended = true;
    upstream->running--;
    if (run->cancelled) {
        push_result(sim, run, PART_CANCELLED, false);
    }
    else if (run->timed_out) {
        push_result(sim, run, PART_LOST, false);
    }
    else {
        push_answer(sim, run);
        warm_up(upstream);
    }
}

void
sim_upstream_run_end(sim_t *sim, const sim_event_t *event)
{
    run_t *run = event->item;
    if (run->ended) {
        return;
    }
    call_t *call = call_find(sim, run->request.id);
    check_run_end(sim, call);
    if (call != NULL && strcmp(call->body, "poison") == 0) {
        sim_upstream_crash(sim, run->upstream);
        return;
    }
    end_run(sim, run);
}

void
sim_upstream_crash(sim_t *sim, sim_upstream_t *upstream)
{
    sim_log(sim, "%s crashes with %u parts in progress", upstream->info.name,
            upstream->running);
    for (run_t *run = sim->runs; run != NULL; run = run->next) {
        if (run->upstream == upstream && !run->ended) {
            run->ended = true;
            push_result(sim, run, PART_LOST, false)->result.reset = true;
        }
    }
    upstream->running = 0;
    upstream->crashes++;
    upstream->boot++;
    sim_upstream_set_cold(upstream);
}

void
sim_upstream_set_cold(sim_upstream_t *upstream)
{
    upstream->cold = true;
    upstream->cold_reported_us = 0;
    upstream->cold_parts_left = COLD_PART_COUNT;
}

void
sim_upstreams_release(sim_t *sim)
{
    while (sim->runs != NULL) {
        run_t *next = sim->runs->next;
        free(sim->runs);
        sim->runs = next;
    }
}
