#include "t/scenario/sim.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { NODE_ZONES = 3, STALLED_STEPS_MAX = 200000, PERMILLE = 1000 };

void *
sim_alloc(size_t size)
{
    void *memory = calloc(1, size);
    if (memory == NULL) {
        abort();
    }
    return memory;
}

uint64_t
sim_random(sim_t *sim, uint64_t bound)
{
    uint64_t count = sim->draws++;
    return XXH64(&count, sizeof(count), sim->script->seed) % bound;
}

bool
sim_chance(sim_t *sim, int64_t permille)
{
    return permille > 0 && (int64_t)sim_random(sim, PERMILLE) < permille;
}

void
sim_log(sim_t *sim, const char *format, ...)
{
    /* Keep the events that led to the first failure; limit later ones. */
    if (sim->failure_count > 0 && sim->lines_left == 0) {
        return;
    }
    sim->lines_left -= sim->failure_count > 0 ? 1 : 0;
    char *line = sim->timeline[sim->timeline_count++ % SIM_TIMELINE_LINES];
    double at_ms = (double)(sim->now_us - SIM_START_US) / (double)SIM_MS;
    int used = snprintf(line, SIM_LINE_SIZE, "%10.2f ms  ", at_ms);
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(line + used, SIM_LINE_SIZE - (size_t)used, format, arguments);
    va_end(arguments);
}

void
sim_fail(sim_t *sim, const char *format, ...)
{
    char text[ERROR_MESSAGE_MAX];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    sim_log(sim, "FAILED %s", text);
    if (sim->failure_count < SIM_FAILURES_MAX) {
        snprintf(sim->failures[sim->failure_count], ERROR_TEXT_MAX,
                 "at %.2f ms: %s",
                 (double)(sim->now_us - SIM_START_US) / (double)SIM_MS, text);
    }
    sim->failure_count++;
}

void
sim_print(const sim_t *sim, FILE *out)
{
    fprintf(out, "%s, seed %" PRIu64 ": %zu checks failed\n",
            sim->script->name, sim->script->seed, sim->failure_count);
    for (size_t i = 0; i < sim->failure_count && i < SIM_FAILURES_MAX; i++) {
        fprintf(out, "  %s\n", sim->failures[i]);
    }
    fprintf(out, "last events:\n");
    size_t first = sim->timeline_count > SIM_TIMELINE_LINES
                       ? sim->timeline_count - SIM_TIMELINE_LINES
                       : 0;
    for (size_t i = first; i < sim->timeline_count; i++) {
        fprintf(out, "%s\n", sim->timeline[i % SIM_TIMELINE_LINES]);
    }
}

sim_service_t *
sim_find_service(sim_t *sim, const char *name)
{
    for (size_t i = 0; i < sim->service_count; i++) {
        if (strcmp(sim->services[i].name, name) == 0) {
            return &sim->services[i];
        }
    }
    return NULL;
}

static bool
event_before(const sim_event_t *a, const sim_event_t *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
heap_put(sim_t *sim, sim_event_t *event)
{
    if (sim->event_count == sim->event_capacity) {
        sim->event_capacity = sim->event_capacity * 2 + 64;
        sim->events =
            realloc(sim->events, sim->event_capacity * sizeof(sim_event_t *));
        if (sim->events == NULL) {
            abort();
        }
    }
    size_t at = sim->event_count++;
    while (at > 0 && event_before(event, sim->events[(at - 1) / 2])) {
        sim->events[at] = sim->events[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    sim->events[at] = event;
}

static sim_event_t *
heap_take(sim_t *sim)
{
    sim_event_t *first = sim->events[0];
    sim_event_t *last = sim->events[--sim->event_count];
    size_t at = 0;
    for (;;) {
        size_t child = at * 2 + 1;
        if (child >= sim->event_count) {
            break;
        }
        if (child + 1 < sim->event_count &&
            event_before(sim->events[child + 1], sim->events[child])) {
            child++;
        }
        if (!event_before(sim->events[child], last)) {
            break;
        }
        sim->events[at] = sim->events[child];
        at = child;
    }
    sim->events[at] = last;
    return first;
}

sim_event_t *
sim_push(sim_t *sim, sim_event_kind_t kind, int64_t at_us, size_t node)
{
    sim_event_t *event = sim_alloc(sizeof(*event));
    event->kind = kind;
    event->at_us = at_us > sim->now_us ? at_us : sim->now_us;
    event->order = sim->order++;
    event->node = node;
    if (node < SIM_NODES_MAX) {
        event->incarnation = sim->nodes[node].incarnation;
    }
    heap_put(sim, event);
    return event;
}

sim_t *
sim_new(const script_t *script)
{
    sim_t *sim = sim_alloc(sizeof(*sim));
    sim->script = script;
    sim->now_us = SIM_START_US - 2 * SIM_LEASE_US;
    sim->end_us = SIM_START_US + script->run_us;
    sim->node_count = (size_t)script->daemons;
    sim->link_delay_us = 500;
    sim->lines_left = SIM_TIMELINE_LINES / 4;
    sim->kv = kv_new();
    sim_set_up_services(sim);
    sim_config_init(sim);
    for (size_t i = 0; i < sim->node_count; i++) {
        sim_node_t *node = &sim->nodes[i];
        snprintf(node->name, NAME_SIZE, "d%zu", i + 1);
        snprintf(node->zone, NAME_SIZE, "z%zu", i % NODE_ZONES + 1);
        sim_node_start(sim, i);
    }
    sim_push(sim, EVENT_TICK, sim->now_us, SIM_NODES_MAX);
    for (size_t i = 0; i < script->count; i++) {
        if (script->steps[i].at_us >= 0) {
            sim_push(sim, EVENT_STEP, SIM_START_US + script->steps[i].at_us,
                     SIM_NODES_MAX)
                ->index = i;
        }
    }
    return sim;
}

static void
event_free(sim_event_t *event)
{
    if (event->kind == EVENT_TOPOLOGY) {
        topology_put(event->item);
    }
    if (event->kind == EVENT_STORE || event->kind == EVENT_STORE_DONE) {
        sim_store_call_free(event->item);
    }
    free(event);
}

/* Reschedule an event for a paused daemon to the end of the pause. */
static bool
event_defer_if_paused(sim_t *sim, sim_event_t *event)
{
    if (event->node >= SIM_NODES_MAX || event->kind == EVENT_RESUME) {
        return false;
    }
    const sim_node_t *node = &sim->nodes[event->node];
    if (!node->alive || node->paused_until_us <= sim->now_us) {
        return false;
    }
    event->at_us = node->paused_until_us;
    heap_put(sim, event);
    return true;
}

static void
event_handle(sim_t *sim, sim_event_t *event)
{
    switch (event->kind) {
    case EVENT_STEP:
        sim_apply_step(sim, event->index);
        break;
    case EVENT_TICK:
        sim_nodes_tick(sim);
        sim_push(sim, EVENT_TICK, sim->now_us + SIM_TICK_US, SIM_NODES_MAX);
        break;
    case EVENT_RUN_END:
        sim_upstream_run_end(sim, event);
        break;
    case EVENT_RESULT:
        sim_upstream_deliver_result(sim, event);
        break;
    case EVENT_CALL:
        caller_submit(sim, event);
        break;
    case EVENT_STORE:
        sim_store_execute(sim, event);
        break;
    case EVENT_STORE_DONE:
        sim_store_complete(sim, event);
        break;
    case EVENT_WAKE:
        break;
    default:
        sim_node_handle_event(sim, event);
        break;
    }
    if (event->node < SIM_NODES_MAX) {
        sim->nodes[event->node].wakeup_us = 0;
    }
}

static int64_t
next_time(const sim_t *sim)
{
    int64_t next = sim->event_count > 0 ? sim->events[0]->at_us : sim->end_us;
    for (size_t i = 0; i < sim->node_count; i++) {
        if (sim_node_runs(sim, i) && sim->nodes[i].wakeup_us < next) {
            next = sim->nodes[i].wakeup_us;
        }
    }
    return next > sim->now_us ? next : sim->now_us;
}

static void
handle_due(sim_t *sim)
{
    while (sim->event_count > 0 && sim->events[0]->at_us <= sim->now_us) {
        sim_event_t *event = heap_take(sim);
        if (!event_defer_if_paused(sim, event)) {
            event_handle(sim, event);
            event_free(event);
        }
    }
}

void
sim_run(sim_t *sim)
{
    int64_t last_us = 0;
    size_t stalled_steps = 0;
    while (sim->now_us < sim->end_us) {
        sim->now_us = next_time(sim);
        stalled_steps = sim->now_us == last_us ? stalled_steps + 1 : 0;
        last_us = sim->now_us;
        if (stalled_steps > STALLED_STEPS_MAX) {
            sim_fail(sim, "virtual time does not advance: too many steps at "
                          "one instant");
            return;
        }
        handle_due(sim);
        sim_changes_step(sim);
        for (size_t i = 0; i < sim->node_count; i++) {
            if (sim_node_runs(sim, i) &&
                sim->nodes[i].wakeup_us <= sim->now_us) {
                sim_node_step(sim, i);
            }
        }
    }
    check_end(sim);
}

void
sim_free(sim_t *sim)
{
    for (size_t i = 0; i < sim->event_count; i++) {
        event_free(sim->events[i]);
    }
    free(sim->events);
    for (size_t i = 0; i < sim->node_count; i++) {
        sim_node_release(&sim->nodes[i]);
    }
    for (size_t i = 0; i < sim->change_count; i++) {
        config_put((config_t *)sim->changes[i].edit.rows);
        change_free(sim->changes[i].change);
    }
    sim_upstreams_release(sim);
    caller_release(sim);
    for (size_t i = 0; i < sim->service_count; i++) {
        free(sim->partitions[i].shards);
    }
    topology_put(sim->topology);
    config_put(sim->first_config);
    kv_free(sim->kv);
    free(sim);
}
