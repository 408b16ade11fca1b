#include "tier/wait_queue.h"

#include <stdlib.h>
#include <string.h>

enum {
    INTERVAL_WEIGHT_DIVISOR =
        8 /* weight of the newest interval: one of so many */
};

bool
wait_queue_push(wait_queue_t *waiting, void *item, int64_t now_us)
{
    if (waiting->count == waiting->capacity) {
        uint32_t capacity = waiting->capacity == 0 ? 8 : waiting->capacity * 2;
        void **grown =
            realloc(waiting->items, capacity * sizeof(*waiting->items));
        if (grown == NULL) {
            return false;
        }
        waiting->items = grown;
        waiting->capacity = capacity;
    }
    if (waiting->count == 0) {
        waiting->moved_us = now_us;
    }
    waiting->items[waiting->count++] = item;
    return true;
}

void
wait_queue_note_dequeued(wait_queue_t *waiting, int64_t now_us)
{
    int64_t interval_us = now_us - waiting->moved_us;
    waiting->moved_us = now_us;
    waiting->interval_us +=
        (interval_us - waiting->interval_us) / INTERVAL_WEIGHT_DIVISOR;
}

int64_t
wait_queue_estimate_us(const wait_queue_t *waiting, int64_t now_us)
{
    if (waiting->count == 0) {
        return 0;
    }
    int64_t interval_us = now_us - waiting->moved_us;
    if (interval_us < waiting->interval_us) {
        interval_us = waiting->interval_us;
    }
    return interval_us * waiting->count;
}

static void
wait_queue_remove_at(wait_queue_t *waiting, uint32_t place)
{
    waiting->count--;
    memmove(&waiting->items[place], &waiting->items[place + 1],
            (waiting->count - place) * sizeof(*waiting->items));
}

void *
wait_queue_pop(wait_queue_t *waiting, wait_queue_rank_fn_t rank,
               int64_t now_us)
{
    if (waiting->count == 0) {
        return NULL;
    }
    uint32_t first = 0;
    int64_t least = rank(waiting->items[0], now_us);
    for (uint32_t i = 1; i < waiting->count; i++) {
        int64_t value = rank(waiting->items[i], now_us);
        if (value < least) {
            least = value;
            first = i;
        }
    }
    void *item = waiting->items[first];
    wait_queue_remove_at(waiting, first);
    return item;
}

bool
wait_queue_remove(wait_queue_t *waiting, const void *item)
{
    for (uint32_t i = 0; i < waiting->count; i++) {
        if (waiting->items[i] == item) {
            wait_queue_remove_at(waiting, i);
            return true;
        }
    }
    return false;
}

void
wait_queue_release(wait_queue_t *waiting)
{
    free(waiting->items);
    *waiting = (wait_queue_t){0};
}
