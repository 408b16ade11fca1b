/*
 * Compares admission by an owner with splitting an upstream's concurrency
 * limit evenly over the daemons.
 *
 * One upstream with a concurrency limit serves parts that arrive at random
 * daemons. With an owner, one queue serves the whole limit. With a split, each
 * daemon has a queue for its share of the limit. A share is rounded down; if
 * it is then zero, split-up gives one slot to every daemon; split-down gives
 * one slot to as many daemons as the limit allows, and the others forward all
 * their parts to these. A part that can't start within QUEUE_TIMEOUT_US is
 * refused.
 *
 * wasted: share of parts refused while fewer than the limit were in flight.
 * overshoot: peak number of parts in flight, divided by the limit.
 *
 *     build/plain/bench-split
 */
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

enum {
    PARTS = 200000,
    DAEMONS_MAX = 1300,
    SLOTS_MAX = 8,
    SERVICE_US = 5000,
    QUEUE_TIMEOUT_US = 20000
};

typedef enum { BY_OWNER, SPLIT_DOWN, SPLIT_UP, POLICY_COUNT } policy_t;

static const char *const policy_names[POLICY_COUNT] = {
    [BY_OWNER] = "owner",
    [SPLIT_DOWN] = "split-down",
    [SPLIT_UP] = "split-up",
};

typedef struct {
    size_t slots;
    double free_us[SLOTS_MAX]; /* time at which each slot becomes free */
} queue_t;

typedef struct {
    double at_us;
    int change; /* of the number of parts in flight; 0: a part is refused */
} event_t;

typedef struct {
    policy_t policy;
    size_t limit;
    size_t daemons;
    double load; /* arrival rate, as a share of the limit's capacity */
} split_case_t;

typedef struct {
    uint64_t draws;
    size_t queue_count;
    queue_t queues[DAEMONS_MAX];
    size_t event_count;
    event_t events[2 * PARTS];
    size_t refused;
    double waited_us;
} split_t;

static double
draw(split_t *split)
{
    uint64_t counter = split->draws++;
    uint64_t hash = XXH64(&counter, sizeof(counter), 1);
    return ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
}

static void
split_start(split_t *split, const split_case_t *c)
{
    *split = (split_t){.queue_count = 1};
    split->queues[0].slots = c->limit;
    if (c->policy == BY_OWNER) {
        return;
    }
    size_t share = c->limit / c->daemons;
    split->queue_count = c->daemons;
    if (c->policy == SPLIT_DOWN && share == 0) {
        split->queue_count = c->limit;
    }
    for (size_t i = 0; i < split->queue_count; i++) {
        split->queues[i].slots = share == 0 ? 1 : share;
    }
}

static void
split_record(split_t *split, double at_us, int change)
{
    split->events[split->event_count++] =
        (event_t){.at_us = at_us, .change = change};
}

static void
split_handle_part(split_t *split, queue_t *queue, double at_us)
{
    size_t first = 0;
    for (size_t i = 1; i < queue->slots; i++) {
        if (queue->free_us[i] < queue->free_us[first]) {
            first = i;
        }
    }
    double start_us =
        queue->free_us[first] > at_us ? queue->free_us[first] : at_us;
    double service_us = -log(draw(split)) * SERVICE_US;
    if (start_us - at_us > QUEUE_TIMEOUT_US) {
        split->refused++;
        split_record(split, at_us, 0);
        return;
    }
    split->waited_us += start_us - at_us;
    queue->free_us[first] = start_us + service_us;
    split_record(split, start_us, 1);
    split_record(split, start_us + service_us, -1);
}

static int
compare_events(const void *a, const void *b)
{
    const event_t *left = a;
    const event_t *right = b;
    if (left->at_us != right->at_us) {
        return left->at_us < right->at_us ? -1 : 1;
    }
    return left->change - right->change;
}

static void
split_report(split_t *split, const split_case_t *c)
{
    qsort(split->events, split->event_count, sizeof(split->events[0]),
          compare_events);
    int running = 0;
    int peak = 0;
    size_t wasted = 0;
    for (size_t i = 0; i < split->event_count; i++) {
        running += split->events[i].change;
        peak = running > peak ? running : peak;
        bool refused = split->events[i].change == 0;
        wasted += refused && running < (int)c->limit ? 1 : 0;
    }
    printf("%-10s limit=%zu daemons=%-4zu load=%.1f refused=%5.2f%% "
           "wasted=%5.2f%% overshoot=%.2f wait_ms=%.2f\n",
           policy_names[c->policy], c->limit, c->daemons, c->load,
           100.0 * (double)split->refused / PARTS,
           100.0 * (double)wasted / PARTS, (double)peak / (double)c->limit,
           split->waited_us / 1000 / (double)(PARTS - split->refused));
}

static void
split_run(split_t *split, const split_case_t *c)
{
    split_start(split, c);
    double gap_us = SERVICE_US / (c->load * (double)c->limit);
    double at_us = 0;
    for (size_t i = 0; i < PARTS; i++) {
        at_us += -log(draw(split)) * gap_us;
        size_t daemon = (size_t)(draw(split) * (double)c->daemons);
        split_handle_part(split, &split->queues[daemon % split->queue_count],
                          at_us);
    }
    split_report(split, c);
}

int
main(void)
{
    static split_t split;
    static const size_t daemons[] = {8, 100, 1300};
    static const double loads[] = {0.7, 0.9, 1.5};
    for (size_t d = 0; d < 3; d++) {
        for (size_t l = 0; l < 3; l++) {
            for (policy_t policy = BY_OWNER; policy < POLICY_COUNT; policy++) {
                split_case_t c = {
                    .policy = policy,
                    .limit = 4,
                    .daemons = daemons[d],
                    .load = loads[l],
                };
                split_run(&split, &c);
            }
        }
    }
    return 0;
}
