#include "tier/waiting.h"

#include <stdlib.h>

static bool
entry_before(const waiting_entry_t *left, const waiting_entry_t *right)
{
    if (left->priority != right->priority) {
        return left->priority < right->priority;
    }
    return left->deadline_us < right->deadline_us;
}

static void
entry_swap(waiting_entry_t *left, waiting_entry_t *right)
{
    waiting_entry_t kept = *left;
    *left = *right;
    *right = kept;
}

static void
heap_up(waiting_t *waiting, uint32_t place)
{
    while (place > 0) {
        uint32_t parent = (place - 1) / 2;
        if (!entry_before(&waiting->entries[place],
                          &waiting->entries[parent])) {
            return;
        }
        entry_swap(&waiting->entries[place], &waiting->entries[parent]);
        place = parent;
    }
}

static void
heap_down(waiting_t *waiting, uint32_t place)
{
    for (;;) {
        uint32_t first = place;
        for (uint32_t child = 2 * place + 1;
             child <= 2 * place + 2 && child < waiting->count; child++) {
            if (entry_before(&waiting->entries[child],
                             &waiting->entries[first])) {
                first = child;
            }
        }
        if (first == place) {
            return;
        }
        entry_swap(&waiting->entries[place], &waiting->entries[first]);
        place = first;
    }
}

bool
waiting_add(waiting_t *waiting, void *item, uint32_t priority,
            int64_t deadline_us)
{
    if (waiting->count == waiting->capacity) {
        uint32_t capacity = waiting->capacity == 0 ? 8 : waiting->capacity * 2;
        waiting_entry_t *grown =
            realloc(waiting->entries, capacity * sizeof(*waiting->entries));
        if (grown == NULL) {
            return false;
        }
        waiting->entries = grown;
        waiting->capacity = capacity;
    }
    waiting->entries[waiting->count] = (waiting_entry_t){
        .item = item,
        .priority = priority,
        .deadline_us = deadline_us,
    };
    heap_up(waiting, waiting->count++);
    return true;
}

static void
heap_remove(waiting_t *waiting, uint32_t place)
{
    waiting->entries[place] = waiting->entries[--waiting->count];
    if (place < waiting->count) {
        heap_down(waiting, place);
        heap_up(waiting, place);
    }
}

void *
waiting_take(waiting_t *waiting)
{
    if (waiting->count == 0) {
        return NULL;
    }
    void *item = waiting->entries[0].item;
    heap_remove(waiting, 0);
    return item;
}

bool
waiting_remove(waiting_t *waiting, const void *item)
{
    for (uint32_t i = 0; i < waiting->count; i++) {
        if (waiting->entries[i].item == item) {
            heap_remove(waiting, i);
            return true;
        }
    }
    return false;
}

uint32_t
waiting_ahead(const waiting_t *waiting, uint32_t priority)
{
    uint32_t ahead = 0;
    for (uint32_t i = 0; i < waiting->count; i++) {
        if (waiting->entries[i].priority <= priority) {
            ahead++;
        }
    }
    return ahead;
}

void
waiting_release(waiting_t *waiting)
{
    free(waiting->entries);
    *waiting = (waiting_t){0};
}
