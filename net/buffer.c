#include "net/buffer.h"

#include <stdlib.h>
#include <string.h>

enum {
    BUFFER_INITIAL_BYTES = 4096,
    /* Largest capacity that an empty buffer keeps. */
    BUFFER_RETAIN_MAX_BYTES = 256 << 10
};

/* Moves the unconsumed bytes to the start of the memory. */
static void
buffer_compact(buffer_t *buffer)
{
    if (buffer->start == 0 || buffer->bytes == NULL) {
        return;
    }
    memmove(buffer->bytes, buffer->bytes + buffer->start, buffer_size(buffer));
    buffer->end -= buffer->start;
    buffer->start = 0;
}

uint8_t *
buffer_reserve(buffer_t *buffer, size_t size)
{
    if (buffer->capacity - buffer->end >= size && buffer->bytes != NULL) {
        return buffer->bytes + buffer->end;
    }
    buffer_compact(buffer);
    if (buffer->capacity - buffer->end < size || buffer->bytes == NULL) {
        size_t capacity =
            buffer->capacity == 0 ? BUFFER_INITIAL_BYTES : buffer->capacity;
        while (capacity - buffer->end < size) {
            capacity *= 2;
        }
        uint8_t *grown = realloc(buffer->bytes, capacity);
        if (grown == NULL) {
            return NULL;
        }
        buffer->bytes = grown;
        buffer->capacity = capacity;
    }
    return buffer->bytes + buffer->end;
}

void
buffer_commit(buffer_t *buffer, size_t size)
{
    buffer->end += size;
}

const uint8_t *
buffer_data(const buffer_t *buffer)
{
    return buffer->bytes == NULL ? NULL : buffer->bytes + buffer->start;
}

size_t
buffer_size(const buffer_t *buffer)
{
    return buffer->end - buffer->start;
}

void
buffer_consume(buffer_t *buffer, size_t size)
{
    buffer->start += size;
    if (buffer->start < buffer->end) {
        return;
    }
    buffer_clear(buffer, BUFFER_RETAIN_MAX_BYTES);
}

void
buffer_clear(buffer_t *buffer, size_t retain_max)
{
    buffer->start = 0;
    buffer->end = 0;
    if (buffer->capacity > retain_max) {
        buffer_release(buffer);
    }
}

void
buffer_release(buffer_t *buffer)
{
    free(buffer->bytes);
    *buffer = (buffer_t){0};
}
