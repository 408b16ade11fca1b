/*
 * The interface and the helpers of the message codecs; private to proto/.
 *
 * A codec converts one message type to its protobuf struct, which an arena
 * owns, and back. message.c looks up the codec by type.
 */
#ifndef PROTO_CODEC_H
#define PROTO_CODEC_H

#include "proto/inner.pb-c.h"
#include "proto/message.h"

typedef struct {
    const ProtobufCMessageDescriptor *descriptor;

    /*
     * Returns the protobuf struct, allocated from arena. On failure returns
     * NULL, with *err set unless the arena has no memory left.
     */
    const ProtobufCMessage *(*pack)(const message_t *message, int64_t now_us,
                                    arena_t *arena, error_t *err);

    /*
     * Checks packed and converts it to *message. Allocates arrays from
     * message->memory, which also owns packed.
     */
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

/* Sets err to the rule that a message breaks; returns STATUS_INVALID. */
status_t codec_invalid(error_t *err, const char *rule);

/* Sets err to STATUS_NO_MEMORY and returns it. */
status_t codec_no_memory(error_t *err);

/* Whether text is a valid name (core/name.h), or empty if allowed. */
bool codec_name_valid(const char *text, bool may_be_empty);

/*
 * Copies a name from the wire; NULL means an empty name. Returns false if text
 * is not a valid name.
 */
bool codec_name_copy(char out[NAME_SIZE], const char *text, bool may_be_empty);

/* Wraps bytes for protobuf-c, whose structs have no const pointers. */
ProtobufCBinaryData codec_bytes(const void *data, size_t size);

#endif
