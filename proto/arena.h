/*
 * An arena allocator for the parts of one message, which are freed together.
 *
 * An arena does not grow past its limit, which bounds the memory that a short
 * malicious message can make its receiver allocate.
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

/* Returns an empty arena, or NULL if out of memory. */
arena_t *arena_new(size_t limit_bytes);

/* Frees the arena and all memory allocated from it; arena may be NULL. */
void arena_free(arena_t *arena);

/*
 * Returns zeroed memory that is aligned for any type and that the arena owns.
 * Returns NULL if the limit would be exceeded or if out of memory.
 */
void *arena_alloc(arena_t *arena, size_t bytes);

/*
 * Like arena_alloc for count elements; also returns NULL if the total size
 * overflows.
 */
void *arena_array(arena_t *arena, size_t count, size_t element_bytes);

/*
 * Returns an allocator for protobuf-c that allocates from the arena and whose
 * free does nothing.
 */
ProtobufCAllocator arena_allocator(arena_t *arena);

#endif
