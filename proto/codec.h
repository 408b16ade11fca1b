/*
 * What the message codecs share; private to proto/.
 *
 * A codec turns one message type into its protobuf form, whose pieces lie in
 * an arena, and back. message.c finds the codec by type.
 */
#ifndef PROTO_CODEC_H
#define PROTO_CODEC_H

#include "proto/inner.pb-c.h"
#include "proto/message.h"

typedef struct {
    const ProtobufCMessageDescriptor *descriptor;

    /* The protobuf form, in the arena; NULL with *err set. */
    const ProtobufCMessage *(*pack)(const message_t *message, int64_t now_us,
                                    arena_t *arena, error_t *err);

    /* Check and convert; message->memory is where arrays go. */
    status_t (*unpack)(const ProtobufCMessage *packed, int64_t now_us,
                       message_t *message, error_t *err);
} codec_t;

extern const codec_t challenge_codec;
extern const codec_t hello_codec;
extern const codec_t parts_codec;
extern const codec_t replies_codec;
extern const codec_t cancel_codec;
extern const codec_t heartbeat_codec;
extern const codec_t config_request_codec;
extern const codec_t config_push_codec;
extern const codec_t ask_codec;
extern const codec_t answer_codec;

/* Set err to a broken rule of the message; returns STATUS_INVALID. */
status_t codec_invalid(error_t *err, const char *rule);

/* Set err to STATUS_NO_MEMORY and return it. */
status_t codec_no_memory(error_t *err);

/* Whether text is 1 to 31 characters of [a-z0-9.-], or empty if allowed. */
bool codec_name_valid(const char *text, bool may_be_empty);

/* Copy a name from the wire, NULL being empty; false: not a name. */
bool codec_name_copy(char out[NAME_SIZE], const char *text, bool may_be_empty);

/* Bytes for protobuf-c, which takes no const. */
ProtobufCBinaryData codec_bytes(const void *data, size_t size);

#endif
