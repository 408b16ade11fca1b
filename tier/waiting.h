/*
 * Work that waits for room at a service: a heap, the most urgent class first
 * and, within a class, the one whose time ends first.
 *
 * The load it answers: a service that bears less than is asked of it for
 * some seconds. The more urgent classes then keep their times, and what is
 * taken out has the least slack and so the least chance to wait longer.
 *
 *     waiting_add(&waiting, item, priority, deadline_us);
 *     void *item = waiting_take(&waiting);
 */
#ifndef TIER_WAITING_H
#define TIER_WAITING_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    void *item;
    uint32_t priority;
    int64_t deadline_us;
} waiting_entry_t;

/* Zeroed: empty. */
typedef struct {
    waiting_entry_t *entries;
    uint32_t count;
    uint32_t capacity;
} waiting_t;

/* False: no memory. */
bool waiting_add(waiting_t *waiting, void *item, uint32_t priority,
                 int64_t deadline_us);

/* The first item, taken out; NULL: empty. */
void *waiting_take(waiting_t *waiting);

/* Take an item out of the middle; false: it is not there. */
bool waiting_remove(waiting_t *waiting, const void *item);

/* How many are at least as urgent as that. */
uint32_t waiting_ahead(const waiting_t *waiting, uint32_t priority);

void waiting_release(waiting_t *waiting);

#endif
