/*
 * Pairing heap of handles into a table. The heap allocates no memory: each
 * element of the table has one heap_link_t for each heap it can be in.
 *
 *     heap_t queue = HEAP_INIT;
 *     heap_push(&queue, &by_deadline, gate, handle);
 *     uint32_t first = queue.root;   // HEAP_NONE when empty
 *     heap_remove(&queue, &by_deadline, gate, handle);
 */
#ifndef CORE_GATE_HEAP_H
#define CORE_GATE_HEAP_H

#include <stdbool.h>
#include <stdint.h>

#define HEAP_NONE UINT32_MAX
#define HEAP_INIT                                                             \
    {                                                                         \
        .root = HEAP_NONE                                                     \
    }

typedef struct {
    uint32_t child;
    uint32_t next;
    uint32_t prev; /* of a first child its parent, else the sibling before */
} heap_link_t;

typedef struct {
    uint32_t root; /* the first element; HEAP_NONE: empty */
} heap_t;

/* The order of a heap: the links it uses, and whether a comes before b. */
typedef struct {
    heap_link_t *(*link)(void *table, uint32_t element);
    bool (*before)(const void *table, uint32_t a, uint32_t b);
} heap_order_t;

/* Adds an element, which must not be in the heap. */
void heap_push(heap_t *heap, const heap_order_t *order, void *table,
               uint32_t element);

/* Removes an element, which must be in the heap. */
void heap_remove(heap_t *heap, const heap_order_t *order, void *table,
                 uint32_t element);

#endif
