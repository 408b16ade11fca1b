/*
 * A growable FIFO of bytes, appended to at its end and consumed from its
 * start.
 *
 *     buffer_t b = {0};
 *     uint8_t *end = buffer_reserve(&b, n);
 *     buffer_commit(&b, written);
 *     buffer_consume(&b, used);
 *     buffer_release(&b);
 */
#ifndef NET_BUFFER_H
#define NET_BUFFER_H

#include <stddef.h>
#include <stdint.h>

typedef struct {
    uint8_t *bytes;
    size_t start; /* offset of the first unconsumed byte */
    size_t end;   /* offset behind the last byte */
    size_t capacity;
} buffer_t;

/*
 * Returns space for size more bytes at the end of the buffer, or NULL if out
 * of memory. The pointer is valid until the next call that changes the buffer.
 */
uint8_t *buffer_reserve(buffer_t *buffer, size_t size);

/* Appends size bytes that were written to the space reserved. */
void buffer_commit(buffer_t *buffer, size_t size);

/* Returns the unconsumed bytes, which the buffer owns. */
const uint8_t *buffer_data(const buffer_t *buffer);
size_t buffer_size(const buffer_t *buffer);

/*
 * Drops size bytes from the start. If no bytes are left, frees the memory if
 * its capacity is over BUFFER_RETAIN_MAX_BYTES.
 */
void buffer_consume(buffer_t *buffer, size_t size);

/* Drops all bytes, and frees the memory if its capacity is over retain_max. */
void buffer_clear(buffer_t *buffer, size_t retain_max);

/* Frees the memory; the buffer is empty and may be used again. */
void buffer_release(buffer_t *buffer);

#endif
