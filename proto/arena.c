#include "proto/arena.h"

#include <stdalign.h>
#include <stdint.h>
#include <stdlib.h>

enum { ARENA_CHUNK_BYTES = 4096 };

typedef struct chunk {
    struct chunk *next;
    size_t size;
    size_t used;
    alignas(max_align_t) unsigned char bytes[];
} chunk_t;

struct arena {
    chunk_t *chunks;
    size_t remaining; /* bytes that may still be allocated */
};

arena_t *
arena_new(size_t limit_bytes)
{
    arena_t *arena = calloc(1, sizeof(*arena));
    if (arena != NULL) {
        arena->remaining = limit_bytes;
    }
    return arena;
}

void
arena_free(arena_t *arena)
{
    if (arena == NULL) {
        return;
    }
    while (arena->chunks != NULL) {
        chunk_t *next = arena->chunks->next;
        free(arena->chunks);
        arena->chunks = next;
    }
    free(arena);
}

static chunk_t *
arena_grow(arena_t *arena, size_t bytes)
{
    size_t size = bytes > ARENA_CHUNK_BYTES ? bytes : ARENA_CHUNK_BYTES;
    chunk_t *chunk = calloc(1, sizeof(*chunk) + size);
    if (chunk == NULL) {
        return NULL;
    }
    chunk->size = size;
    chunk->next = arena->chunks;
    arena->chunks = chunk;
    return chunk;
}

void *
arena_alloc(arena_t *arena, size_t bytes)
{
    const size_t align = alignof(max_align_t);
    if (bytes > arena->remaining || arena->remaining - bytes < align) {
        return NULL;
    }
    size_t rounded = (bytes + align - 1) / align * align;
    if (rounded == 0) {
        rounded = align;
    }
    chunk_t *chunk = arena->chunks;
    if (chunk == NULL || chunk->size - chunk->used < rounded) {
        chunk = arena_grow(arena, rounded);
        if (chunk == NULL) {
            return NULL;
        }
    }
    void *memory = chunk->bytes + chunk->used;
    chunk->used += rounded;
    arena->remaining -= rounded;
    return memory;
}

void *
arena_array(arena_t *arena, size_t count, size_t element_bytes)
{
    if (element_bytes != 0 && count > SIZE_MAX / element_bytes) {
        return NULL;
    }
    return arena_alloc(arena, count * element_bytes);
}

static void *
arena_protobuf_alloc(void *data, size_t size)
{
    return arena_alloc(data, size);
}

static void
arena_protobuf_free(void *data, void *pointer)
{
    (void)data;
    (void)pointer;
}

ProtobufCAllocator
arena_allocator(arena_t *arena)
{
    return (ProtobufCAllocator){
        .alloc = arena_protobuf_alloc,
        .free = arena_protobuf_free,
        .allocator_data = arena,
    };
}
