/* Codecs of the handshake, heartbeat, configuration, Ask and Answer. */
#include "proto/codec.h"

#include <string.h>

/* Sets an optional field of the packed message. */
#define PACK(field, value)                                                    \
    do {                                                                      \
        out->has_##field = 1;                                                 \
        out->field = (value);                                                 \
    } while (0)

static char *
pack_text(const char *text)
{
    return (char *)codec_bytes(text, 0).data;
}

/*
 * Copies a field of exactly size bytes, or writes zeros to out if the field is
 * absent. Returns false if the field has another size.
 */
static bool
copy_fixed(uint8_t *out, size_t size, bool present, ProtobufCBinaryData in)
{
    memset(out, 0, size);
    if (!present) {
        return true;
    }
    if (in.len != size) {
        return false;
    }
    memcpy(out, in.data, size);
    return true;
}

static const ProtobufCMessage *
pack_challenge(const message_t *message, int64_t now_us, arena_t *arena,
               error_t *err)
{
    (void)now_us;
    (void)err;
    const challenge_t *challenge = &message->challenge;
    Inner__Challenge *out = arena_alloc(arena, sizeof(*out));
    if (out == NULL) {
        return NULL;
    }
    inner__challenge__init(out);
    PACK(version, challenge->version);
    PACK(oldest, challenge->oldest);
    PACK(nonce, codec_bytes(challenge->nonce, NONCE_BYTES));
    return &out->base;
}

static status_t
unpack_challenge(const ProtobufCMessage *packed, int64_t now_us,
                 message_t *message, error_t *err)
{
    (void)now_us;
    const Inner__Challenge *in = (const Inner__Challenge *)packed;
    challenge_t *challenge = &message->challenge;
    challenge->version = in->version;
    challenge->oldest = in->oldest;
    if (!in->has_nonce ||
        !copy_fixed(challenge->nonce, NONCE_BYTES, true, in->nonce)) {
        return codec_invalid(
            err, "the challenge's nonce is missing or has the wrong size");
    }
    return STATUS_OK;
}

const codec_t challenge_codec = {
    .descriptor = &inner__challenge__descriptor,
    .pack = pack_challenge,
    .unpack = unpack_challenge,
};

static const ProtobufCMessage *
pack_hello(const message_t *message, int64_t now_us, arena_t *arena,
           error_t *err)
{
    (void)now_us;
    const hello_t *hello = &message->hello;
    Inner__Hello *out = arena_alloc(arena, sizeof(*out));
    if (out == NULL) {
        return NULL;
    }
    if (!codec_name_valid(hello->name, false) ||
        !codec_name_valid(hello->zone, true) ||
        !codec_name_valid(hello->peer, true)) {
        codec_invalid(err,
                      "the hello's name, zone or peer is not a valid name");
        return NULL;
    }
    inner__hello__init(out);
    PACK(version, hello->version);
    PACK(oldest, hello->oldest);
    PACK(incarnation, hello->incarnation);
    PACK(nonce, codec_bytes(hello->nonce, NONCE_BYTES));
    PACK(proof, codec_bytes(hello->proof, PROOF_BYTES));
    out->name = pack_text(hello->name);
    out->zone = pack_text(hello->zone);
    out->peer = pack_text(hello->peer);
    return &out->base;
}

static status_t
unpack_hello(const ProtobufCMessage *packed, int64_t now_us,
             message_t *message, error_t *err)
{
    (void)now_us;
    const Inner__Hello *in = (const Inner__Hello *)packed;
    hello_t *hello = &message->hello;
    hello->version = in->version;
    hello->oldest = in->oldest;
    hello->incarnation = in->incarnation;
    if (!codec_name_copy(hello->name, in->name, false) ||
        !codec_name_copy(hello->zone, in->zone, true) ||
        !codec_name_copy(hello->peer, in->peer, true)) {
        return codec_invalid(
            err, "the hello's name, zone or peer is not a valid name");
    }
    if (!copy_fixed(hello->nonce, NONCE_BYTES, in->has_nonce, in->nonce) ||
        !copy_fixed(hello->proof, PROOF_BYTES, in->has_proof, in->proof)) {
        return codec_invalid(err, "the hello's nonce or proof has the wrong "
                                  "size");
    }
    return STATUS_OK;
}

const codec_t hello_codec = {
    .descriptor = &inner__hello__descriptor,
    .pack = pack_hello,
    .unpack = unpack_hello,
};

static bool
pair_valid(const char *key, size_t value_size)
{
    return key != NULL && codec_name_valid(key, false) &&
           value_size <= MESSAGE_PAIR_VALUE_MAX_BYTES;
}

static bool
heartbeat_sizes_valid(size_t quarantined, size_t heard, size_t pairs)
{
    return quarantined <= MESSAGE_QUARANTINED_MAX &&
           heard <= MESSAGE_HEARD_MAX_BYTES && pairs <= MESSAGE_PAIRS_MAX;
}

static bool
pack_pairs(Inner__Heartbeat *out, const heartbeat_t *heartbeat, arena_t *arena,
           error_t *err)
{
    size_t count = heartbeat->pair_count;
    Inner__Pair *all = arena_array(arena, count, sizeof(*all));
    Inner__Pair **list = arena_array(arena, count, sizeof(Inner__Pair *));
    if (all == NULL || list == NULL) {
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        const heartbeat_pair_t *pair = &heartbeat->pairs[i];
        if (!pair_valid(pair->key, pair->size)) {
            codec_invalid(err, "a heartbeat pair has an invalid key or a too "
                               "large value");
            return false;
        }
        inner__pair__init(&all[i]);
        all[i].key = pack_text(pair->key);
        all[i].has_value = 1;
        all[i].value = codec_bytes(pair->value, pair->size);
        list[i] = &all[i];
    }
    out->n_pairs = count;
    out->pairs = list;
    return true;
}

static const ProtobufCMessage *
pack_heartbeat(const message_t *message, int64_t now_us, arena_t *arena,
               error_t *err)
{
    (void)now_us;
    const heartbeat_t *heartbeat = &message->heartbeat;
    if (!heartbeat_sizes_valid(heartbeat->quarantined_count,
                               heartbeat->heard_size, heartbeat->pair_count)) {
        codec_invalid(err, "a list in the heartbeat is too long");
        return NULL;
    }
    Inner__Heartbeat *out = arena_alloc(arena, sizeof(*out));
    if (out == NULL) {
        return NULL;
    }
    inner__heartbeat__init(out);
    PACK(roster_version, heartbeat->roster_version);
    PACK(config_version, heartbeat->config_version);
    PACK(store_failing, heartbeat->store_failing);
    PACK(load_permille, heartbeat->load_permille);
    PACK(leaving, heartbeat->leaving);
    out->n_quarantined = heartbeat->quarantined_count;
    out->quarantined =
        (uint64_t *)(void *)codec_bytes(heartbeat->quarantined, 0).data;
    out->has_heard = heartbeat->heard_size > 0;
    out->heard = codec_bytes(heartbeat->heard, heartbeat->heard_size);
    return pack_pairs(out, heartbeat, arena, err) ? &out->base : NULL;
}

static status_t
unpack_pairs(const Inner__Heartbeat *in, message_t *message, error_t *err)
{
    heartbeat_pair_t *pairs =
        arena_array(message->memory, in->n_pairs, sizeof(*pairs));
    if (pairs == NULL) {
        return codec_no_memory(err);
    }
    for (size_t i = 0; i < in->n_pairs; i++) {
        const Inner__Pair *pair = in->pairs[i];
        if (!pair_valid(pair->key, pair->value.len)) {
            return codec_invalid(
                err, "a heartbeat pair has an invalid key or a too "
                     "large value");
        }
        pairs[i] = (heartbeat_pair_t){
            .key = pair->key,
            .value = pair->value.data,
            .size = pair->value.len,
        };
    }
    message->heartbeat.pairs = pairs;
    message->heartbeat.pair_count = in->n_pairs;
    return STATUS_OK;
}

static status_t
unpack_heartbeat(const ProtobufCMessage *packed, int64_t now_us,
                 message_t *message, error_t *err)
{
    (void)now_us;
    const Inner__Heartbeat *in = (const Inner__Heartbeat *)packed;
    if (!heartbeat_sizes_valid(in->n_quarantined, in->heard.len,
                               in->n_pairs)) {
        return codec_invalid(err, "a list in the heartbeat is too long");
    }
    message->heartbeat = (heartbeat_t){
        .roster_version = in->roster_version,
        .config_version = in->config_version,
        .store_failing = in->store_failing,
        .load_permille = in->load_permille,
        .leaving = in->leaving,
        .quarantined = in->quarantined,
        .quarantined_count = in->n_quarantined,
        .heard = in->heard.data,
        .heard_size = in->heard.len,
    };
    return unpack_pairs(in, message, err);
}

const codec_t heartbeat_codec = {
    .descriptor = &inner__heartbeat__descriptor,
    .pack = pack_heartbeat,
    .unpack = unpack_heartbeat,
};

static const ProtobufCMessage *
pack_config_request(const message_t *message, int64_t now_us, arena_t *arena,
                    error_t *err)
{
    (void)now_us;
    (void)err;
    Inner__ConfigRequest *out = arena_alloc(arena, sizeof(*out));
    if (out == NULL) {
        return NULL;
    }
    inner__config_request__init(out);
    PACK(have_version, message->config_request.have_version);
    return &out->base;
}

static status_t
unpack_config_request(const ProtobufCMessage *packed, int64_t now_us,
                      message_t *message, error_t *err)
{
    (void)now_us;
    (void)err;
    const Inner__ConfigRequest *in = (const Inner__ConfigRequest *)packed;
    message->config_request.have_version = in->have_version;
    return STATUS_OK;
}

const codec_t config_request_codec = {
    .descriptor = &inner__config_request__descriptor,
    .pack = pack_config_request,
    .unpack = unpack_config_request,
};

static bool
check_json_size(size_t size, error_t *err)
{
    if (size > MESSAGE_JSON_MAX_BYTES) {
        codec_invalid(err, "the JSON text is too large");
        return false;
    }
    return true;
}

static const ProtobufCMessage *
pack_config_push(const message_t *message, int64_t now_us, arena_t *arena,
                 error_t *err)
{
    (void)now_us;
    const config_push_t *push = &message->config_push;
    Inner__ConfigPush *out = arena_alloc(arena, sizeof(*out));
    if (out == NULL || !check_json_size(push->size, err)) {
        return NULL;
    }
    inner__config_push__init(out);
    PACK(version, push->version);
    PACK(json, codec_bytes(push->json, push->size));
    return &out->base;
}

static status_t
unpack_config_push(const ProtobufCMessage *packed, int64_t now_us,
                   message_t *message, error_t *err)
{
    (void)now_us;
    const Inner__ConfigPush *in = (const Inner__ConfigPush *)packed;
    if (!check_json_size(in->json.len, err)) {
        return STATUS_INVALID;
    }
    message->config_push = (config_push_t){
        .version = in->version,
        .json = (const char *)in->json.data,
        .size = in->json.len,
    };
    return STATUS_OK;
}

const codec_t config_push_codec = {
    .descriptor = &inner__config_push__descriptor,
    .pack = pack_config_push,
    .unpack = unpack_config_push,
};

static const ProtobufCMessage *
pack_ask(const message_t *message, int64_t now_us, arena_t *arena,
         error_t *err)
{
    (void)now_us;
    const ask_t *ask = &message->ask;
    Inner__Ask *out = arena_alloc(arena, sizeof(*out));
    if (out == NULL || !check_json_size(ask->size, err)) {
        return NULL;
    }
    inner__ask__init(out);
    PACK(id, ask->id);
    PACK(kind, ask->kind);
    PACK(json, codec_bytes(ask->json, ask->size));
    return &out->base;
}

static status_t
unpack_ask(const ProtobufCMessage *packed, int64_t now_us, message_t *message,
           error_t *err)
{
    (void)now_us;
    const Inner__Ask *in = (const Inner__Ask *)packed;
    if (!check_json_size(in->json.len, err)) {
        return STATUS_INVALID;
    }
    message->ask = (ask_t){
        .id = in->id,
        .kind = in->kind,
        .json = (const char *)in->json.data,
        .size = in->json.len,
    };
    return STATUS_OK;
}

const codec_t ask_codec = {
    .descriptor = &inner__ask__descriptor,
    .pack = pack_ask,
    .unpack = unpack_ask,
};

static const ProtobufCMessage *
pack_answer(const message_t *message, int64_t now_us, arena_t *arena,
            error_t *err)
{
    (void)now_us;
    const answer_t *answer = &message->answer;
    Inner__Answer *out = arena_alloc(arena, sizeof(*out));
    if (out == NULL || !check_json_size(answer->size, err)) {
        return NULL;
    }
    inner__answer__init(out);
    PACK(id, answer->id);
    PACK(status, answer->status);
    PACK(json, codec_bytes(answer->json, answer->size));
    return &out->base;
}

static status_t
unpack_answer(const ProtobufCMessage *packed, int64_t now_us,
              message_t *message, error_t *err)
{
    (void)now_us;
    const Inner__Answer *in = (const Inner__Answer *)packed;
    if (!check_json_size(in->json.len, err)) {
        return STATUS_INVALID;
    }
    message->answer = (answer_t){
        .id = in->id,
        .status = in->status,
        .json = (const char *)in->json.data,
        .size = in->json.len,
    };
    return STATUS_OK;
}

const codec_t answer_codec = {
    .descriptor = &inner__answer__descriptor,
    .pack = pack_answer,
    .unpack = unpack_answer,
};
