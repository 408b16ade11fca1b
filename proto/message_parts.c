/* Codecs of the data path: part requests, replies and cancellations. */
#include "proto/codec.h"

#include <string.h>

static bool
range_valid(key_range_t range)
{
    return range.lo <= range.hi && range.hi <= KEY_END;
}

/* Returns the rule that the request breaks, or NULL. */
static const char *
request_violation(const part_request_t *request)
{
    if (!codec_name_valid(request->service, false)) {
        return "the part's service is not a valid name";
    }
    if (!codec_name_valid(request->upstream, false)) {
        return "the part's upstream is not a valid name";
    }
    if (!codec_name_valid(request->tenant, true)) {
        return "the part's tenant is not a valid name";
    }
    if (request->class >= CLASS_COUNT) {
        return "the part's class is unknown";
    }
    if (!range_valid(request->range) || key_range_size(request->range) == 0) {
        return "the part's range is empty, inverted or past the last key";
    }
    if (request->body_size > PART_BODY_MAX) {
        return "the part's body is too large";
    }
    return NULL;
}

static uint64_t
remaining_us(int64_t deadline_us, int64_t now_us)
{
    if (deadline_us <= now_us) {
        return 0;
    }
    int64_t left = deadline_us - now_us;
    return (uint64_t)(left > MESSAGE_DURATION_MAX_US ? MESSAGE_DURATION_MAX_US
                                                     : left);
}

/*
 * Sets a field of the packed message only if its value differs from last: the
 * value in the previous part of a batch, or the default in a reply.
 */
#define PACK_CHANGED(field, value, last)                                      \
    (out->has_##field = (value) != (last), out->field = (value))

static void
pack_name(char **field, const char *value, const char *last)
{
    if (strcmp(value, last) != 0) {
        *field = (char *)codec_bytes(value, 0).data;
    }
}

static void
pack_body(Inner__PartRequest *out, const part_request_t *request,
          const part_request_t *last)
{
    bool same = request->body_size == last->body_size &&
                (request->body_size == 0 ||
                 memcmp(request->body, last->body, last->body_size) == 0);
    if (!same) {
        out->has_body = 1;
        out->body = codec_bytes(request->body, request->body_size);
    }
}

static void
pack_request(Inner__PartRequest *out, const part_request_t *request,
             const part_request_t *last, int64_t now_us)
{
    inner__part_request__init(out);
    PACK_CHANGED(incarnation, request->id.incarnation, last->id.incarnation);
    PACK_CHANGED(sequence, request->id.sequence, last->id.sequence);
    PACK_CHANGED(attempt, request->id.attempt, last->id.attempt);
    pack_name(&out->service, request->service, last->service);
    pack_name(&out->upstream, request->upstream, last->upstream);
    pack_name(&out->tenant, request->tenant, last->tenant);
    PACK_CHANGED(class_, request->class, last->class);
    PACK_CHANGED(once, request->once, last->once);
    PACK_CHANGED(hedge, request->hedge, last->hedge);
    PACK_CHANGED(query, request->query, last->query);
    PACK_CHANGED(fingerprint, request->fingerprint, last->fingerprint);
    PACK_CHANGED(version, request->version, last->version);
    PACK_CHANGED(generation, request->generation, last->generation);
    PACK_CHANGED(lo, request->range.lo, last->range.lo);
    PACK_CHANGED(hi, request->range.hi, last->range.hi);
    PACK_CHANGED(left_us, remaining_us(request->deadline_us, now_us),
                 remaining_us(last->deadline_us, now_us));
    pack_body(out, request, last);
}

static const ProtobufCMessage *
pack_parts(const message_t *message, int64_t now_us, arena_t *arena,
           error_t *err)
{
    const parts_t *parts = &message->parts;
    if (parts->count > MESSAGE_PARTS_MAX) {
        codec_invalid(err, "too many parts");
        return NULL;
    }
    Inner__PartBatch *batch = arena_alloc(arena, sizeof(*batch));
    Inner__PartRequest *all = arena_array(arena, parts->count, sizeof(*all));
    Inner__PartRequest **list =
        arena_array(arena, parts->count, sizeof(Inner__PartRequest *));
    if (batch == NULL || all == NULL || list == NULL) {
        return NULL;
    }
    const part_request_t none = {.deadline_us = now_us};
    const part_request_t *last = &none;
    for (size_t i = 0; i < parts->count; i++) {
        const char *violation = request_violation(&parts->requests[i]);
        if (violation != NULL) {
            codec_invalid(err, violation);
            return NULL;
        }
        pack_request(&all[i], &parts->requests[i], last, now_us);
        list[i] = &all[i];
        last = &parts->requests[i];
    }
    inner__part_batch__init(batch);
    batch->n_parts = parts->count;
    batch->parts = list;
    return &batch->base;
}

#define UNPACK_CHANGED(field, target)                                         \
    do {                                                                      \
        if (in->has_##field) {                                                \
            (target) = in->field;                                             \
        }                                                                     \
    } while (0)

static bool
unpack_name(char out[NAME_SIZE], const char *text)
{
    return text == NULL || codec_name_copy(out, text, true);
}

/*
 * On entry *request is the previous part of the batch. A field that is absent
 * from in keeps its value.
 */
static status_t
unpack_request(const Inner__PartRequest *in, int64_t now_us,
               part_request_t *request, error_t *err)
{
    UNPACK_CHANGED(incarnation, request->id.incarnation);
    UNPACK_CHANGED(sequence, request->id.sequence);
    UNPACK_CHANGED(attempt, request->id.attempt);
    UNPACK_CHANGED(class_, request->class);
    UNPACK_CHANGED(once, request->once);
    UNPACK_CHANGED(hedge, request->hedge);
    UNPACK_CHANGED(query, request->query);
    UNPACK_CHANGED(fingerprint, request->fingerprint);
    UNPACK_CHANGED(version, request->version);
    UNPACK_CHANGED(generation, request->generation);
    UNPACK_CHANGED(lo, request->range.lo);
    UNPACK_CHANGED(hi, request->range.hi);
    if (!unpack_name(request->service, in->service) ||
        !unpack_name(request->upstream, in->upstream) ||
        !unpack_name(request->tenant, in->tenant)) {
        return codec_invalid(
            err, "the part's service, upstream or tenant is not a valid name");
    }
    if (in->has_body) {
        request->body = (const char *)in->body.data;
        request->body_size = in->body.len;
    }
    if (in->has_left_us) {
        if (in->left_us > MESSAGE_DURATION_MAX_US) {
            return codec_invalid(
                err, "the part's deadline is too far in the future");
        }
        request->deadline_us = now_us + (int64_t)in->left_us;
    }
    const char *violation = request_violation(request);
    return violation == NULL ? STATUS_OK : codec_invalid(err, violation);
}

static status_t
unpack_parts(const ProtobufCMessage *packed, int64_t now_us,
             message_t *message, error_t *err)
{
    const Inner__PartBatch *batch = (const Inner__PartBatch *)packed;
    if (batch->n_parts > MESSAGE_PARTS_MAX) {
        return codec_invalid(err, "too many parts");
    }
    part_request_t *requests =
        arena_array(message->memory, batch->n_parts, sizeof(*requests));
    if (requests == NULL) {
        return codec_no_memory(err);
    }
    part_request_t last = {.deadline_us = now_us};
    for (size_t i = 0; i < batch->n_parts; i++) {
        status_t status = unpack_request(batch->parts[i], now_us, &last, err);
        if (status != STATUS_OK) {
            return status;
        }
        requests[i] = last;
    }
    message->parts = (parts_t){.requests = requests, .count = batch->n_parts};
    return STATUS_OK;
}

const codec_t parts_codec = {
    .descriptor = &inner__part_batch__descriptor,
    .pack = pack_parts,
    .unpack = unpack_parts,
};

static void
pack_id(Inner__AttemptId *out, attempt_id_t id)
{
    inner__attempt_id__init(out);
    out->has_incarnation = 1;
    out->incarnation = id.incarnation;
    out->has_sequence = 1;
    out->sequence = id.sequence;
    out->has_attempt = id.attempt != 0;
    out->attempt = id.attempt;
}

static attempt_id_t
unpack_id(const Inner__AttemptId *in)
{
    return (attempt_id_t){
        .incarnation = in->incarnation,
        .sequence = in->sequence,
        .attempt = in->attempt,
    };
}

static size_t
held_version_count(const part_reply_t *reply)
{
    size_t count = 0;
    while (count < PART_HELD_MAX && reply->held[count] != 0) {
        count++;
    }
    return count;
}

static uint64_t
duration_us(int64_t value_us)
{
    return value_us > 0 ? (uint64_t)value_us : 0;
}

static void
pack_reply(Inner__PartReply *out, Inner__AttemptId *id,
           const part_reply_t *reply)
{
    const part_request_t zero = {0};
    inner__part_reply__init(out);
    pack_id(id, reply->id);
    out->id = id;
    PACK_CHANGED(status, reply->status, PART_OK);
    PACK_CHANGED(not_run, reply->not_run, false);
    PACK_CHANGED(version, reply->version, zero.version);
    PACK_CHANGED(generation, reply->generation, zero.generation);
    PACK_CHANGED(lo, reply->range.lo, zero.range.lo);
    PACK_CHANGED(hi, reply->range.hi, zero.range.hi);
    PACK_CHANGED(count, reply->count, 0);
    PACK_CHANGED(sum, reply->sum, 0);
    PACK_CHANGED(service_us, duration_us(reply->service_us), 0);
    PACK_CHANGED(queue_us, duration_us(reply->queue_us), 0);
    PACK_CHANGED(retry_after_us, duration_us(reply->retry_after_us), 0);
    out->n_held = held_version_count(reply);
    out->held = (uint64_t *)(void *)codec_bytes(reply->held, 0).data;
}

/* Returns the rule that the reply breaks, or NULL. */
static const char *
reply_violation(const part_reply_t *reply)
{
    if (reply->status >= PART_STATUS_COUNT) {
        return "the reply's status is unknown";
    }
    if (!range_valid(reply->range)) {
        return "the reply's range is inverted or past the last key";
    }
    return NULL;
}

static const ProtobufCMessage *
pack_replies(const message_t *message, int64_t now_us, arena_t *arena,
             error_t *err)
{
    (void)now_us;
    const replies_t *replies = &message->replies;
    if (replies->count > MESSAGE_PARTS_MAX) {
        codec_invalid(err, "too many replies");
        return NULL;
    }
    Inner__PartReplies *batch = arena_alloc(arena, sizeof(*batch));
    Inner__PartReply *all = arena_array(arena, replies->count, sizeof(*all));
    Inner__AttemptId *ids = arena_array(arena, replies->count, sizeof(*ids));
    Inner__PartReply **list =
        arena_array(arena, replies->count, sizeof(Inner__PartReply *));
    if (batch == NULL || all == NULL || ids == NULL || list == NULL) {
        return NULL;
    }
    for (size_t i = 0; i < replies->count; i++) {
        const char *violation = reply_violation(&replies->replies[i]);
        if (violation != NULL) {
            codec_invalid(err, violation);
            return NULL;
        }
        pack_reply(&all[i], &ids[i], &replies->replies[i]);
        list[i] = &all[i];
    }
    inner__part_replies__init(batch);
    batch->n_replies = replies->count;
    batch->replies = list;
    return &batch->base;
}

static status_t
unpack_reply(const Inner__PartReply *in, part_reply_t *reply, error_t *err)
{
    if (in->id == NULL) {
        return codec_invalid(err, "the reply has no attempt id");
    }
    if (in->n_held > PART_HELD_MAX) {
        return codec_invalid(err, "the reply lists too many held versions");
    }
    if (in->service_us > MESSAGE_DURATION_MAX_US ||
        in->queue_us > MESSAGE_DURATION_MAX_US ||
        in->retry_after_us > MESSAGE_DURATION_MAX_US) {
        return codec_invalid(err, "a duration in the reply is too long");
    }
    bool known = in->status < PART_STATUS_COUNT;
    *reply = (part_reply_t){
        .id = unpack_id(in->id),
        .status = known ? (part_status_t)in->status : PART_BAD_REPLY,
        .not_run = in->not_run,
        .version = in->version,
        .generation = in->generation,
        .range = {.lo = in->lo, .hi = in->hi},
        .count = in->count,
        .sum = in->sum,
        .service_us = (int64_t)in->service_us,
        .queue_us = (int64_t)in->queue_us,
        .retry_after_us = (int64_t)in->retry_after_us,
    };
    for (size_t i = 0; i < in->n_held; i++) {
        reply->held[i] = in->held[i];
    }
    const char *violation = reply_violation(reply);
    return violation == NULL ? STATUS_OK : codec_invalid(err, violation);
}

static status_t
unpack_replies(const ProtobufCMessage *packed, int64_t now_us,
               message_t *message, error_t *err)
{
    (void)now_us;
    const Inner__PartReplies *batch = (const Inner__PartReplies *)packed;
    if (batch->n_replies > MESSAGE_PARTS_MAX) {
        return codec_invalid(err, "too many replies");
    }
    part_reply_t *replies =
        arena_array(message->memory, batch->n_replies, sizeof(*replies));
    if (replies == NULL) {
        return codec_no_memory(err);
    }
    for (size_t i = 0; i < batch->n_replies; i++) {
        status_t status = unpack_reply(batch->replies[i], &replies[i], err);
        if (status != STATUS_OK) {
            return status;
        }
    }
    message->replies =
        (replies_t){.replies = replies, .count = batch->n_replies};
    return STATUS_OK;
}

const codec_t replies_codec = {
    .descriptor = &inner__part_replies__descriptor,
    .pack = pack_replies,
    .unpack = unpack_replies,
};

static const ProtobufCMessage *
pack_cancel(const message_t *message, int64_t now_us, arena_t *arena,
            error_t *err)
{
    (void)now_us;
    const cancel_t *cancel = &message->cancel;
    if (cancel->count > MESSAGE_PARTS_MAX) {
        codec_invalid(err, "too many ids");
        return NULL;
    }
    Inner__PartCancel *out = arena_alloc(arena, sizeof(*out));
    Inner__AttemptId *ids = arena_array(arena, cancel->count, sizeof(*ids));
    Inner__AttemptId **list =
        arena_array(arena, cancel->count, sizeof(Inner__AttemptId *));
    if (out == NULL || ids == NULL || list == NULL) {
        return NULL;
    }
    for (size_t i = 0; i < cancel->count; i++) {
        pack_id(&ids[i], cancel->ids[i]);
        list[i] = &ids[i];
    }
    inner__part_cancel__init(out);
    out->n_ids = cancel->count;
    out->ids = list;
    return &out->base;
}

static status_t
unpack_cancel(const ProtobufCMessage *packed, int64_t now_us,
              message_t *message, error_t *err)
{
    (void)now_us;
    const Inner__PartCancel *in = (const Inner__PartCancel *)packed;
    if (in->n_ids > MESSAGE_PARTS_MAX) {
        return codec_invalid(err, "too many ids");
    }
    attempt_id_t *ids = arena_array(message->memory, in->n_ids, sizeof(*ids));
    if (ids == NULL) {
        return codec_no_memory(err);
    }
    for (size_t i = 0; i < in->n_ids; i++) {
        ids[i] = unpack_id(in->ids[i]);
    }
    message->cancel = (cancel_t){.ids = ids, .count = in->n_ids};
    return STATUS_OK;
}

const codec_t cancel_codec = {
    .descriptor = &inner__part_cancel__descriptor,
    .pack = pack_cancel,
    .unpack = unpack_cancel,
};
