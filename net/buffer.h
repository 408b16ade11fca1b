/*
 * A growable queue of bytes: written at its end, taken from its start.
 *
 *     buffer_t b = {0};
 *     uint8_t *room = buffer_reserve(&b, n);
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
    size_t start; /* of what is not yet taken */
    size_t end;
    size_t capacity;
} buffer_t;

/* Room for size more bytes at the end; NULL: no memory. */
uint8_t *buffer_reserve(buffer_t *buffer, size_t size);

/* Bytes were written to the room reserved. */
void buffer_commit(buffer_t *buffer, size_t size);

/* What is in it. */
const uint8_t *buffer_data(const buffer_t *buffer);
size_t buffer_size(const buffer_t *buffer);

/* Drop bytes from the start; an emptied large buffer gives its memory back. */
void buffer_consume(buffer_t *buffer, size_t size);

void buffer_release(buffer_t *buffer);

#endif
