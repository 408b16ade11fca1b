#include "tier/waiting.h"

#include <stdlib.h>
#include <string.h>

enum {
    INTERVAL_PARTS = 8 /* weight of the newest interval: one of so many */
};

bool
waiting_add(waiting_t *waiting, void *item, int64_t now_us)
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
waiting_went(waiting_t *waiting, int64_t now_us)
{
    int64_t interval_us = now_us - waiting->moved_us;
    waiting->moved_us = now_us;
    waiting->interval_us +=
        (interval_us - waiting->interval_us) / INTERVAL_PARTS;
}

int64_t
waiting_estimate_us(const waiting_t *waiting, int64_t now_us)
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
waiting_cut(waiting_t *waiting, uint32_t place)
{
    waiting->count--;
    memmove(&waiting->items[place], &waiting->items[place + 1],
            (waiting->count - place) * sizeof(*waiting->items));
}

void *
waiting_take(waiting_t *waiting, waiting_rank_fn_t rank, int64_t now_us)
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
    waiting_cut(waiting, first);
    return item;
}

bool
waiting_remove(waiting_t *waiting, const void *item)
{
    for (uint32_t i = 0; i < waiting->count; i++) {
        if (waiting->items[i] == item) {
            waiting_cut(waiting, i);
            return true;
        }
    }
    return false;
}

void
waiting_release(waiting_t *waiting)
{
    free(waiting->items);
    *waiting = (waiting_t){0};
}
