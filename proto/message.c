#include "core/name.h"
#include "proto/codec.h"
#include "proto/frame.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limit of the memory for encoding or decoding one message. */
enum { MESSAGE_MEMORY_MAX_BYTES = 8 << 20 };

typedef struct {
    const char *name;
    const codec_t *codec;
    bool data;
} message_kind_t;

static const message_kind_t message_kinds[MESSAGE_TYPE_COUNT] = {
    [MESSAGE_NONE] = {.name = "unknown"},
    [MESSAGE_CHALLENGE] = {.name = "challenge", .codec = &challenge_codec},
    [MESSAGE_HELLO] = {.name = "hello", .codec = &hello_codec},
    [MESSAGE_PARTS] = {.name = "parts", .codec = &parts_codec, .data = true},
    [MESSAGE_REPLIES] = {.name = "replies",
                         .codec = &replies_codec,
                         .data = true},
    [MESSAGE_CANCEL] = {.name = "cancel",
                        .codec = &cancel_codec,
                        .data = true},
    [MESSAGE_HEARTBEAT] = {.name = "heartbeat", .codec = &heartbeat_codec},
    [MESSAGE_CONFIG_REQUEST] = {.name = "config_request",
                                .codec = &config_request_codec},
    [MESSAGE_CONFIG_PUSH] = {.name = "config_push",
                             .codec = &config_push_codec},
    [MESSAGE_ASK] = {.name = "ask", .codec = &ask_codec},
    [MESSAGE_ANSWER] = {.name = "answer", .codec = &answer_codec},
};

static const message_kind_t *
message_kind(uint8_t type)
{
    return &message_kinds[type < MESSAGE_TYPE_COUNT ? type : MESSAGE_NONE];
}

const char *
message_type_name(uint8_t type)
{
    return message_kind(type)->name;
}

bool
message_type_is_data(uint8_t type)
{
    return message_kind(type)->data;
}

status_t
codec_invalid(error_t *err, const char *rule)
{
    return error_set(err, STATUS_INVALID, "inner message", "", "%s", rule);
}

status_t
codec_no_memory(error_t *err)
{
    return error_set(err, STATUS_NO_MEMORY, "inner message", "",
                     "out of memory or over the memory limit of a message");
}

bool
codec_name_valid(const char *text, bool may_be_empty)
{
    size_t size = strnlen(text, NAME_SIZE);
    if (size == 0) {
        return may_be_empty;
    }
    return size < NAME_SIZE && name_valid(text);
}

bool
codec_name_copy(char out[NAME_SIZE], const char *text, bool may_be_empty)
{
    const char *name = text == NULL ? "" : text;
    if (!codec_name_valid(name, may_be_empty)) {
        return false;
    }
    snprintf(out, NAME_SIZE, "%s", name);
    return true;
}

ProtobufCBinaryData
codec_bytes(const void *data, size_t size)
{
    union {
        const void *in;
        uint8_t *out;
    } pointer = {.in = data};
    return (ProtobufCBinaryData){.data = pointer.out, .len = size};
}

static status_t
message_pack(const message_t *message, int64_t now_us, arena_t *arena,
             uint8_t **bytes, size_t *size, error_t *err)
{
    const codec_t *codec = message_kind((uint8_t)message->type)->codec;
    if (codec == NULL) {
        return codec_invalid(err, "unknown message type");
    }
    error_t pack_err = ERROR_INIT;
    const ProtobufCMessage *packed =
        codec->pack(message, now_us, arena, &pack_err);
    if (packed == NULL) {
        status_t status = pack_err.status;
        if (status == STATUS_OK) {
            return codec_no_memory(err);
        }
        return error_set(err, status, pack_err.step, pack_err.peer, "%s",
                         pack_err.message);
    }
    size_t packed_size = protobuf_c_message_get_packed_size(packed);
    if (packed_size > FRAME_PAYLOAD_MAX_BYTES) {
        return error_set(err, STATUS_TOO_LARGE, "inner message", "",
                         "the message has %zu bytes, at most %d are allowed",
                         packed_size, FRAME_PAYLOAD_MAX_BYTES);
    }
    uint8_t *out = malloc(packed_size == 0 ? 1 : packed_size);
    if (out == NULL) {
        return codec_no_memory(err);
    }
    *size = protobuf_c_message_pack(packed, out);
    *bytes = out;
    return STATUS_OK;
}

status_t
message_encode(const message_t *message, int64_t now_us, uint8_t **bytes,
               size_t *size, error_t *err)
{
    arena_t *arena = arena_new(MESSAGE_MEMORY_MAX_BYTES);
    if (arena == NULL) {
        return codec_no_memory(err);
    }
    status_t status = message_pack(message, now_us, arena, bytes, size, err);
    arena_free(arena);
    return status;
}

static status_t
message_unpack(const codec_t *codec, const uint8_t *bytes, size_t size,
               int64_t now_us, message_t *message, error_t *err)
{
    ProtobufCAllocator allocator = arena_allocator(message->memory);
    const ProtobufCMessage *packed =
        protobuf_c_message_unpack(codec->descriptor, &allocator, size, bytes);
    if (packed == NULL) {
        return codec_invalid(
            err, "not a valid protobuf message, or over the memory limit");
    }
    return codec->unpack(packed, now_us, message, err);
}

status_t
message_decode(uint8_t type, const uint8_t *bytes, size_t size, int64_t now_us,
               message_t *message, error_t *err)
{
    *message = (message_t){.type = MESSAGE_NONE};
    const codec_t *codec = message_kind(type)->codec;
    if (codec == NULL) {
        return error_set(err, STATUS_NOT_FOUND, "inner message", "",
                         "unknown message type %u", type);
    }
    if (size > FRAME_PAYLOAD_MAX_BYTES) {
        return codec_invalid(err,
                             "the payload is larger than a frame can carry");
    }
    message->memory = arena_new(MESSAGE_MEMORY_MAX_BYTES);
    if (message->memory == NULL) {
        return codec_no_memory(err);
    }
    message->type = type;
    status_t status = message_unpack(codec, bytes, size, now_us, message, err);
    if (status != STATUS_OK) {
        message_release(message);
    }
    return status;
}

void
message_release(message_t *message)
{
    arena_free(message->memory);
    *message = (message_t){.type = MESSAGE_NONE};
}
