/*
 * Work that waits for room at a service.
 *
 * The load it answers: a service that bears less than is asked of it for some
 * seconds. What is taken out first is judged when there is room, not when the
 * work came: meanwhile some of it may have become late, or all the more
 * needed. The judge is a function of the item and the time; the least value
 * goes first, and what came first among equals.
 *
 *     wait_queue_push(&waiting, item, now_us);
 *     void *item = wait_queue_pop(&waiting, rank, now_us);
 */
#ifndef TIER_WAIT_QUEUE_H
#define TIER_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

typedef int64_t (*wait_queue_rank_fn_t)(const void *item, int64_t now_us);

/* Zeroed: empty. */
typedef struct {
    void **items; /* in the order they came */
    uint32_t count;
    uint32_t capacity;
    int64_t dequeued_us; /* last time one went, or the first came */
    int64_t interval_us; /* moving mean between two that went; 0: unknown */
} wait_queue_t;

/* False: no memory. */
bool wait_queue_push(wait_queue_t *queue, void *item, int64_t now_us);

/* One that was taken has gone; the pace is learned from that. */
void wait_queue_note_dequeued(wait_queue_t *queue, int64_t now_us);

/* How long one that came now would wait, behind all the others. */
int64_t wait_queue_estimate_us(const wait_queue_t *queue, int64_t now_us);

/* The first by rank, taken out; NULL: empty. */
void *wait_queue_pop(wait_queue_t *queue, wait_queue_rank_fn_t rank,
                     int64_t now_us);

/* Take an item out of the middle; false: it is not there. */
bool wait_queue_remove(wait_queue_t *queue, const void *item);

void wait_queue_release(wait_queue_t *queue);

#endif
