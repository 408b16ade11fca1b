#include "bench/service/sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    THREE_ZONES_LINK_DELAY_US = 1000,
    THREE_ZONES_CLIENT_DELAY_US = 3000,
    FOUR_ZONES_LINK_DELAY_US = 500,
    FOUR_ZONES_CLIENT_DELAY_US = 1000
};

void *
sim_alloc(size_t count, size_t size)
{
    void *memory = calloc(count > 0 ? count : 1, size);
    if (memory == NULL) {
        fprintf(stderr, "out of memory\n");
        exit(1);
    }
    return memory;
}

double
sim_hash(uint64_t seed, uint64_t a, uint64_t b, uint64_t c)
{
    uint64_t words[3] = {a, b, c};
    return (double)(XXH64(words, sizeof(words), seed) >> 11) /
           (double)(UINT64_C(1) << 53);
}

double
sim_draw(sim_t *sim)
{
    return sim_hash(sim->settings->seed, sim->draw_count++, 1, 2);
}

int64_t
sim_link_delay_us(const sim_t *sim, const char *from, const char *to)
{
    if (strcmp(from, to) == 0) {
        return SIM_SAME_ZONE_DELAY_US;
    }
    return sim->settings->deployment->four_zones ? FOUR_ZONES_LINK_DELAY_US
                                                 : THREE_ZONES_LINK_DELAY_US;
}

int64_t
sim_client_delay_us(const sim_t *sim)
{
    return sim->settings->deployment->four_zones ? FOUR_ZONES_CLIENT_DELAY_US
                                                 : THREE_ZONES_CLIENT_DELAY_US;
}

static bool
event_before(const event_t *a, const event_t *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
events_reserve(sim_t *sim)
{
    if (sim->event_count < sim->event_capacity) {
        return;
    }
    sim->event_capacity = sim->event_capacity * 2 + 1024;
    event_t *grown =
        realloc(sim->events, sim->event_capacity * sizeof(*grown));
    if (grown == NULL) {
        exit(1);
    }
    sim->events = grown;
}

event_t *
sim_push(sim_t *sim, event_kind_t kind, int64_t at_us, uint32_t index)
{
    events_reserve(sim);
    event_t event = {.at_us = at_us > sim->now_us ? at_us : sim->now_us,
                     .order = sim->order++,
                     .kind = kind,
                     .index = index};
    size_t at = sim->event_count++;
    while (at > 0 && event_before(&event, &sim->events[(at - 1) / 2])) {
        sim->events[at] = sim->events[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    sim->events[at] = event;
    return &sim->events[at];
}

bool
sim_pop(sim_t *sim, event_t *event)
{
    if (sim->event_count == 0) {
        return false;
    }
    *event = sim->events[0];
    event_t last = sim->events[--sim->event_count];
    size_t at = 0;
    for (;;) {
        size_t child = at * 2 + 1;
        if (child >= sim->event_count) {
            break;
        }
        if (child + 1 < sim->event_count &&
            event_before(&sim->events[child + 1], &sim->events[child])) {
            child++;
        }
        if (!event_before(&sim->events[child], &last)) {
            break;
        }
        sim->events[at] = sim->events[child];
        at = child;
    }
    sim->events[at] = last;
    return true;
}
