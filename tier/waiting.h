/*
 * Work that waits for room at a service.
 *
 * The load it answers: a service that bears less than is asked of it for some
 * seconds. What is taken out first is judged when there is room, not when the
 * work came: meanwhile some of it may have become late, or all the more
 * needed. The judge is a function of the item and the time; the least value
 * goes first, and what came first among equals.
 *
 *     waiting_add(&waiting, item);
 *     void *item = waiting_take(&waiting, rank, now_us);
 */
#ifndef TIER_WAITING_H
#define TIER_WAITING_H

#include <stdbool.h>
#include <stdint.h>

typedef int64_t (*waiting_rank_fn)(const void *item, int64_t now_us);

/* Zeroed: empty. */
typedef struct {
    void **items; /* in the order they came */
    uint32_t count;
    uint32_t capacity;
} waiting_t;

/* False: no memory. */
bool waiting_add(waiting_t *waiting, void *item);

/* The first by rank, taken out; NULL: empty. */
void *waiting_take(waiting_t *waiting, waiting_rank_fn rank, int64_t now_us);

/* Take an item out of the middle; false: it is not there. */
bool waiting_remove(waiting_t *waiting, const void *item);

void waiting_release(waiting_t *waiting);

#endif
