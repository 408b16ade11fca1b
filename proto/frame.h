/*
 * Framing of the inner protocol.
 *
 * A frame is a header, a payload and, once the connection is authenticated,
 * a MAC:
 *
 *     length       4 bytes, big-endian: bytes that follow it
 *     type         1 byte: message_type_t
 *     incarnation  8 bytes, big-endian: of the sending daemon
 *     payload      the message, protobuf
 *     mac          FRAME_MAC_BYTES, absent during the handshake
 *
 * frame_parse looks at what has arrived so far and never reads past it:
 *
 *     switch (frame_parse(bytes, size, mac_bytes, payload_max, &frame)) {
 *     case FRAME_INCOMPLETE: wait for more; break;
 *     case FRAME_READY: use frame, then drop frame.size bytes; break;
 *     default: the peer breaks the protocol; close.
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
    FRAME_HANDSHAKE_MAX_BYTES = 512 /* payload before authentication */
};

typedef enum {
    FRAME_READY,
    FRAME_INCOMPLETE, /* not all of it has arrived */
    FRAME_TOO_SHORT,  /* the length leaves no room for header and MAC */
    FRAME_TOO_LARGE   /* the payload would exceed payload_max */
} frame_result_t;

/* Points into the bytes it was parsed from. */
typedef struct {
    uint8_t type;
    uint64_t incarnation;
    const uint8_t *payload;
    size_t payload_size;
    const uint8_t *mac; /* NULL when mac_bytes was 0 */
    size_t size;        /* of the whole frame */
} frame_t;

/* Parse the frame at the start of bytes; *frame is set on FRAME_READY. */
frame_result_t frame_parse(const uint8_t *bytes, size_t size, size_t mac_bytes,
                           size_t payload_max, frame_t *frame);

/* Write the header of a frame with such a payload and MAC size. */
void frame_write_header(uint8_t out[FRAME_HEADER_BYTES], uint8_t type,
                        uint64_t incarnation, size_t payload_size,
                        size_t mac_bytes);

/* Bytes of the whole frame. */
size_t frame_size(size_t payload_size, size_t mac_bytes);

/* Name for logs: "frame too large". */
const char *frame_result_name(frame_result_t result);

/* Big-endian numbers. */
void wire_put_u32(uint8_t *out, uint32_t value);
void wire_put_u64(uint8_t *out, uint64_t value);
uint32_t wire_get_u32(const uint8_t *bytes);
uint64_t wire_get_u64(const uint8_t *bytes);

#endif
