/*
 * Framing of the inner protocol.
 *
 * A frame is a header, a payload and, once the connection is authenticated,
 * a MAC:
 *
 *     length       4 bytes, big-endian: number of bytes after the length
 *     type         1 byte: message_type_t
 *     incarnation  8 bytes, big-endian: of the sending daemon; 0 in a
 *                  challenge
 *     payload      the message, protobuf
 *     mac          FRAME_MAC_BYTES, absent during the handshake
 *
 * frame_parse parses the bytes received so far and never reads past them:
 *
 *     switch (frame_parse(bytes, size, mac_bytes, payload_max, &frame)) {
 *     case FRAME_INCOMPLETE: wait for more bytes; break;
 *     case FRAME_READY: use frame, then consume frame.size bytes; break;
 *     default: protocol error; close the connection
 *     }
 */
#ifndef PROTO_FRAME_H
#define PROTO_FRAME_H

#include <stddef.h>
#include <stdint.h>

enum {
    FRAME_LENGTH_BYTES = 4,
    FRAME_HEADER_BYTES = 13, /* length, type and incarnation */
    FRAME_MAC_BYTES = 16,
    FRAME_PAYLOAD_MAX_BYTES = 1 << 20,
    FRAME_HANDSHAKE_MAX_BYTES = 512 /* largest payload before authentication */
};

typedef enum {
    FRAME_READY,
    FRAME_INCOMPLETE, /* more bytes must arrive */
    FRAME_TOO_SHORT,  /* the length is too small for header and MAC */
    FRAME_TOO_LARGE   /* the payload is larger than payload_max */
} frame_result_t;

/* A parsed frame; its pointers point into the bytes parsed. */
typedef struct {
    uint8_t type;
    uint64_t incarnation;
    const uint8_t *payload;
    size_t payload_size;
    const uint8_t *mac; /* NULL when mac_bytes was 0 */
    size_t size;        /* of the whole frame */
} frame_t;

/* Parses the frame at the start of bytes; sets *frame on FRAME_READY. */
frame_result_t frame_parse(const uint8_t *bytes, size_t size, size_t mac_bytes,
                           size_t payload_max, frame_t *frame);

/* Writes the header of a frame with these sizes of payload and MAC. */
void frame_write_header(uint8_t out[FRAME_HEADER_BYTES], uint8_t type,
                        uint64_t incarnation, size_t payload_size,
                        size_t mac_bytes);

/* Returns the size of a frame: header, payload and MAC. */
size_t frame_size(size_t payload_size, size_t mac_bytes);

/* Returns a name for logs, for example "frame too large". */
const char *frame_result_name(frame_result_t result);

/* Write and read big-endian numbers. */
void wire_put_u32(uint8_t *out, uint32_t value);
void wire_put_u64(uint8_t *out, uint64_t value);
uint32_t wire_get_u32(const uint8_t *bytes);
uint64_t wire_get_u64(const uint8_t *bytes);

#endif
