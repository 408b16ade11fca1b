/*
 * Queue of work that waits for capacity at a service, for overloads that last
 * some seconds.
 *
 * Items are ranked when capacity becomes available, not when they are added:
 * meanwhile their goal may have passed, or they may have become required. The
 * rank is a function of the item and the time. The item with the least rank is
 * dequeued first; among equal ranks, the oldest.
 *
 *     wait_queue_push(&queue, item, now_us);
 *     void *item = wait_queue_pop(&queue, rank, now_us);
 */
#ifndef POLICY_WAIT_QUEUE_H
#define POLICY_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

typedef int64_t (*wait_queue_rank_fn_t)(const void *item, int64_t now_us);

/* Zeroed: empty. */
typedef struct {
    void **items; /* oldest first; owned by the caller */
    uint32_t count;
    uint32_t capacity;
    int64_t dequeued_us; /* last dequeue, or push to the empty queue */
    int64_t interval_us; /* moving mean between dequeues; 0: unknown */
} wait_queue_t;

/* Append an item; false: out of memory. */
bool wait_queue_push(wait_queue_t *queue, void *item, int64_t now_us);

/* Note that a popped item left the queue for good, for the mean interval. Not
   called when the item is pushed again at once. */
void wait_queue_note_dequeued(wait_queue_t *queue, int64_t now_us);

/* Whether items are queued, or the last one left within the last span_us. */
bool wait_queue_was_used(const wait_queue_t *queue, int64_t span_us,
                         int64_t now_us);

/* Estimated wait in microseconds of an item pushed now; 0: queue is empty. */
int64_t wait_queue_estimate_us(const wait_queue_t *queue, int64_t now_us);

/* Estimated wait in microseconds of an item pushed now that goes behind all
   items with no greater rank than its own, `rank_value`. */
int64_t wait_queue_estimate_behind_us(const wait_queue_t *queue,
                                      int64_t rank_value,
                                      wait_queue_rank_fn_t rank,
                                      int64_t now_us);

/* Remove and return the item with the least rank; NULL: empty. */
void *wait_queue_pop(wait_queue_t *queue, wait_queue_rank_fn_t rank,
                     int64_t now_us);

/* Number of items with a lesser rank, and of `item` itself none. */
uint32_t wait_queue_count_before(const wait_queue_t *queue, const void *item,
                                 wait_queue_rank_fn_t rank, int64_t now_us);

/* Remove an item; false: it is not in the queue. */
bool wait_queue_remove(wait_queue_t *queue, const void *item);

/* Free the queue's memory, but not the items. */
void wait_queue_release(wait_queue_t *queue);

#endif
