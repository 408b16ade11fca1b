/*
 * Work that waits for room at a service.
 *
 * The load it answers: a service that bears less than is asked of it for some
 * seconds. What is taken out first is judged when there is room, not when the
 * work came: meanwhile some of it may have become late, or all the more
 * needed. The judge is a function of the item and the time; the least value
 * goes first, and what came first among equals.
 *
 *     waiting_add(&waiting, item, now_us);
 *     void *item = waiting_take(&waiting, rank, now_us);
 */
#ifndef TIER_WAITING_H
#define TIER_WAITING_H

#include <stdbool.h>
#include <stdint.h>

typedef int64_t (*waiting_rank_fn_t)(const void *item, int64_t now_us);

/* Zeroed: empty. */
typedef struct {
    void **items; /* in the order they came */
    uint32_t count;
    uint32_t capacity;
    int64_t moved_us;    /* last time one went, or the first came */
    int64_t interval_us; /* moving mean between two that went; 0: unknown */
} waiting_t;

/* False: no memory. */
bool waiting_add(waiting_t *waiting, void *item, int64_t now_us);

/* One that was taken has gone; the pace is learned from that. */
void waiting_went(waiting_t *waiting, int64_t now_us);

/* How long one that came now would wait, behind all the others. */
int64_t waiting_estimate_us(const waiting_t *waiting, int64_t now_us);

/* The first by rank, taken out; NULL: empty. */
void *waiting_take(waiting_t *waiting, waiting_rank_fn_t rank, int64_t now_us);

/* Take an item out of the middle; false: it is not there. */
bool waiting_remove(waiting_t *waiting, const void *item);

void waiting_release(waiting_t *waiting);

#endif
