#include "core/gate_heap.h"

/* Joins two detached trees, either of which may be HEAP_NONE. */
static uint32_t
heap_join(const heap_order_t *order, void *table, uint32_t a, uint32_t b)
{
    if (a == HEAP_NONE) {
        return b;
    }
    if (b == HEAP_NONE) {
        return a;
    }
    if (order->before(table, b, a)) {
        uint32_t swap = a;
        a = b;
        b = swap;
    }
    heap_link_t *parent = order->link(table, a);
    heap_link_t *joined = order->link(table, b);
    joined->next = parent->child;
    joined->prev = a;
    if (parent->child != HEAP_NONE) {
        order->link(table, parent->child)->prev = b;
    }
    parent->child = b;
    return a;
}

/* Joins a list of siblings into one tree: in pairs, then from the end. */
static uint32_t
heap_join_all(const heap_order_t *order, void *table, uint32_t first)
{
    uint32_t pairs = HEAP_NONE;
    while (first != HEAP_NONE) {
        uint32_t a = first;
        uint32_t b = order->link(table, a)->next;
        first = b == HEAP_NONE ? HEAP_NONE : order->link(table, b)->next;
        order->link(table, a)->next = HEAP_NONE;
        if (b != HEAP_NONE) {
            order->link(table, b)->next = HEAP_NONE;
        }
        uint32_t pair = heap_join(order, table, a, b);
        order->link(table, pair)->next = pairs;
        pairs = pair;
    }
    uint32_t root = HEAP_NONE;
    while (pairs != HEAP_NONE) {
        uint32_t rest = order->link(table, pairs)->next;
        order->link(table, pairs)->next = HEAP_NONE;
        root = heap_join(order, table, root, pairs);
        pairs = rest;
    }
    return root;
}

void
heap_push(heap_t *heap, const heap_order_t *order, void *table,
          uint32_t element)
{
    heap_link_t *link = order->link(table, element);
    link->child = HEAP_NONE;
    link->next = HEAP_NONE;
    link->prev = HEAP_NONE;
    heap->root = heap_join(order, table, heap->root, element);
}

static void
heap_detach(const heap_order_t *order, void *table, uint32_t element)
{
    heap_link_t *link = order->link(table, element);
    heap_link_t *prev = order->link(table, link->prev);
    if (prev->child == element) {
        prev->child = link->next;
    }
    else {
        prev->next = link->next;
    }
    if (link->next != HEAP_NONE) {
        order->link(table, link->next)->prev = link->prev;
    }
    link->next = HEAP_NONE;
}

void
heap_remove(heap_t *heap, const heap_order_t *order, void *table,
            uint32_t element)
{
    if (heap->root != element) {
        heap_detach(order, table, element);
    }
    uint32_t children = order->link(table, element)->child;
    uint32_t rest = heap_join_all(order, table, children);
    heap->root = heap->root == element
                     ? rest
                     : heap_join(order, table, heap->root, rest);
}
