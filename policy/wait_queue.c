#include "policy/wait_queue.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* Inverse of the newest interval's weight in the moving mean. */
    INTERVAL_WEIGHT_DIVISOR = 8
};

bool
wait_queue_push(wait_queue_t *queue, void *item, int64_t now_us)
{
    if (queue->count == queue->capacity) {
        uint32_t capacity = queue->capacity == 0 ? 8 : queue->capacity * 2;
        void **grown = realloc(queue->items, capacity * sizeof(*queue->items));
        if (grown == NULL) {
            return false;
        }
        queue->items = grown;
        queue->capacity = capacity;
    }
    if (queue->count == 0) {
        queue->dequeued_us = now_us;
    }
    queue->items[queue->count++] = item;
    return true;
}

void
wait_queue_note_dequeued(wait_queue_t *queue, int64_t now_us)
{
    int64_t interval_us = now_us - queue->dequeued_us;
    queue->dequeued_us = now_us;
    queue->interval_us +=
        (interval_us - queue->interval_us) / INTERVAL_WEIGHT_DIVISOR;
}

bool
wait_queue_was_used(const wait_queue_t *queue, int64_t span_us, int64_t now_us)
{
    return queue->count > 0 ||
           (queue->dequeued_us > 0 && now_us - queue->dequeued_us < span_us);
}

/* Time between two dequeues: the mean, or longer if the present one is. */
static int64_t
wait_queue_interval_us(const wait_queue_t *queue, int64_t now_us)
{
    int64_t interval_us = now_us - queue->dequeued_us;
    return interval_us < queue->interval_us ? queue->interval_us : interval_us;
}

int64_t
wait_queue_estimate_us(const wait_queue_t *queue, int64_t now_us)
{
    return queue->count > 0
               ? wait_queue_interval_us(queue, now_us) * queue->count
               : 0;
}

int64_t
wait_queue_estimate_behind_us(const wait_queue_t *queue, int64_t rank_value,
                              wait_queue_rank_fn_t rank, int64_t now_us)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < queue->count; i++) {
        count += rank(queue->items[i], now_us) <= rank_value ? 1 : 0;
    }
    return count > 0 ? wait_queue_interval_us(queue, now_us) * count : 0;
}

static void
wait_queue_remove_at(wait_queue_t *queue, uint32_t index)
{
    queue->count--;
    memmove(&queue->items[index], &queue->items[index + 1],
            (queue->count - index) * sizeof(*queue->items));
}

void *
wait_queue_pop(wait_queue_t *queue, wait_queue_rank_fn_t rank, int64_t now_us)
{
    if (queue->count == 0) {
        return NULL;
    }
    uint32_t first = 0;
    int64_t least = rank(queue->items[0], now_us);
    for (uint32_t i = 1; i < queue->count; i++) {
        int64_t value = rank(queue->items[i], now_us);
        if (value < least) {
            least = value;
            first = i;
        }
    }
    void *item = queue->items[first];
    wait_queue_remove_at(queue, first);
    return item;
}

uint32_t
wait_queue_count_before(const wait_queue_t *queue, const void *item,
                        wait_queue_rank_fn_t rank, int64_t now_us)
{
    int64_t own = rank(item, now_us);
    uint32_t count = 0;
    for (uint32_t i = 0; i < queue->count; i++) {
        if (queue->items[i] != item && rank(queue->items[i], now_us) < own) {
            count++;
        }
    }
    return count;
}

bool
wait_queue_remove(wait_queue_t *queue, const void *item)
{
    for (uint32_t i = 0; i < queue->count; i++) {
        if (queue->items[i] == item) {
            wait_queue_remove_at(queue, i);
            return true;
        }
    }
    return false;
}

void
wait_queue_release(wait_queue_t *queue)
{
    free(queue->items);
    *queue = (wait_queue_t){0};
}
