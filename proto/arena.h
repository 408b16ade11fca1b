/*
 * Memory of one message: many small pieces, released together.
 *
 * An arena refuses to grow past its limit, which bounds what a short hostile
 * message can make its reader allocate.
 *
 *     arena_t *arena = arena_new(limit_bytes);
 *     thing_t *things = arena_array(arena, count, sizeof(*things));
 *     arena_free(arena);
 */
#ifndef PROTO_ARENA_H
#define PROTO_ARENA_H

#include <protobuf-c/protobuf-c.h>
#include <stddef.h>

typedef struct arena arena_t;

/* An empty arena; NULL: no memory. */
arena_t *arena_new(size_t limit_bytes);

/* Release everything allocated from it; NULL is allowed. */
void arena_free(arena_t *arena);

/* Zeroed memory for any type; NULL past the limit or without memory. */
void *arena_alloc(arena_t *arena, size_t bytes);

/* Like arena_alloc for count elements; NULL when the product overflows. */
void *arena_array(arena_t *arena, size_t count, size_t element_bytes);

/* An allocator for protobuf-c whose frees do nothing. */
ProtobufCAllocator arena_allocator(arena_t *arena);

#endif
