#include "proto/frame.h"

static const char *const frame_result_names[] = {
    [FRAME_READY] = "frame ready",
    [FRAME_INCOMPLETE] = "frame incomplete",
    [FRAME_TOO_SHORT] = "frame too short",
    [FRAME_TOO_LARGE] = "frame too large",
};

const char *
frame_result_name(frame_result_t result)
{
    return frame_result_names[result];
}

void
wire_put_u32(uint8_t *out, uint32_t value)
{
    for (int i = 0; i < 4; i++) {
        out[i] = (uint8_t)(value >> (24 - 8 * i));
    }
}

void
wire_put_u64(uint8_t *out, uint64_t value)
{
    wire_put_u32(out, (uint32_t)(value >> 32));
    wire_put_u32(out + 4, (uint32_t)value);
}

uint32_t
wire_get_u32(const uint8_t *bytes)
{
    return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
           (uint32_t)bytes[2] << 8 | (uint32_t)bytes[3];
}

uint64_t
wire_get_u64(const uint8_t *bytes)
{
    return (uint64_t)wire_get_u32(bytes) << 32 | wire_get_u32(bytes + 4);
}

size_t
frame_size(size_t payload_size, size_t mac_bytes)
{
    return FRAME_HEADER_BYTES + payload_size + mac_bytes;
}

frame_result_t
frame_parse(const uint8_t *bytes, size_t size, size_t mac_bytes,
            size_t payload_max, frame_t *frame)
{
    if (size < FRAME_LENGTH_BYTES) {
        return FRAME_INCOMPLETE;
    }
    uint64_t total_size = (uint64_t)FRAME_LENGTH_BYTES + wire_get_u32(bytes);
    if (total_size < frame_size(0, mac_bytes)) {
        return FRAME_TOO_SHORT;
    }
    if (total_size > frame_size(payload_max, mac_bytes)) {
        return FRAME_TOO_LARGE;
    }
    if (size < total_size) {
        return FRAME_INCOMPLETE;
    }
    size_t payload_size = (size_t)total_size - frame_size(0, mac_bytes);
    *frame = (frame_t){
        .type = bytes[FRAME_LENGTH_BYTES],
        .incarnation = wire_get_u64(bytes + FRAME_LENGTH_BYTES + 1),
        .payload = bytes + FRAME_HEADER_BYTES,
        .payload_size = payload_size,
        .mac =
            mac_bytes == 0 ? NULL : bytes + FRAME_HEADER_BYTES + payload_size,
        .size = (size_t)total_size,
    };
    return FRAME_READY;
}

void
frame_write_header(uint8_t out[FRAME_HEADER_BYTES], uint8_t type,
                   uint64_t incarnation, size_t payload_size, size_t mac_bytes)
{
    size_t length = frame_size(payload_size, mac_bytes) - FRAME_LENGTH_BYTES;
    wire_put_u32(out, (uint32_t)length);
    out[FRAME_LENGTH_BYTES] = type;
    wire_put_u64(out + FRAME_LENGTH_BYTES + 1, incarnation);
}
