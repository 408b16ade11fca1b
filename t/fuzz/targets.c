#include "t/fuzz/targets.h"

#include "core/intent_bucket.h"
#include "core/name.h"
#include "core/once_ticket.h"
#include "core/table.h"
#include "core/topology.h"
#include "edge/caller.h"
#include "edge/operator_request.h"
#include "edge/settings.h"
#include "edge/wire.h"
#include "fleet/roster_doc.h"
#include "proto/handshake.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

static const auth_key_t fuzz_key = {
    .bytes = (const uint8_t *)"0123456789abcdef",
    .size = 16,
};

/*
 * Bytes from an unauthenticated peer, handled as by the accepting side. They
 * must never complete the handshake.
 */
static void
run_unauthenticated_peer(const uint8_t *bytes, size_t size)
{
    static const identity_t self = {.name = "b1", .incarnation = 2};
    static const uint8_t nonce[NONCE_BYTES] = {1};
    handshake_t handshake;
    message_t in;
    message_t out;
    frame_t frame;
    handshake_accept(&handshake, &self, fuzz_key, nonce, &out);
    while (frame_parse(bytes, size, 0, FRAME_HANDSHAKE_MAX_BYTES, &frame) ==
           FRAME_READY) {
        assert(frame.size <= size);
        assert(frame.payload + frame.payload_size <= bytes + frame.size);
        if (message_decode(frame.type, frame.payload, frame.payload_size, 0,
                           &in, NULL) == STATUS_OK) {
            assert(handshake_process(&handshake, &in, &out) != HANDSHAKE_DONE);
            message_release(&in);
        }
        bytes += frame.size;
        size -= frame.size;
    }
}

static void
check_parts(const parts_t *parts)
{
    for (size_t i = 0; i < parts->count; i++) {
        const part_request_t *request = &parts->requests[i];
        assert(name_valid(request->service));
        assert(name_valid(request->upstream));
        assert(request->class < CLASS_COUNT);
        assert(request->range.lo < request->range.hi);
        assert(request->range.hi <= KEY_END);
        assert(request->body_size <= PART_BODY_MAX);
    }
}

static void
check_replies(const replies_t *replies)
{
    for (size_t i = 0; i < replies->count; i++) {
        assert(replies->replies[i].status < PART_STATUS_COUNT);
        assert(replies->replies[i].range.lo <= replies->replies[i].range.hi);
        assert(replies->replies[i].range.hi <= KEY_END);
    }
}

/*
 * The first byte is the message type. A message that decodes and encodes must
 * decode again.
 */
static void
run_message(const uint8_t *bytes, size_t size)
{
    message_t first;
    message_t second;
    uint8_t *encoded;
    size_t encoded_size;
    if (size == 0 || message_decode(bytes[0], bytes + 1, size - 1, 0, &first,
                                    NULL) != STATUS_OK) {
        return;
    }
    if (first.type == MESSAGE_PARTS) {
        check_parts(&first.parts);
    }
    if (first.type == MESSAGE_REPLIES) {
        check_replies(&first.replies);
    }
    if (message_encode(&first, 0, &encoded, &encoded_size, NULL) ==
        STATUS_OK) {
        assert(message_decode(bytes[0], encoded, encoded_size, 0, &second,
                              NULL) == STATUS_OK);
        message_release(&second);
        free(encoded);
    }
    message_release(&first);
}

/* An accepted configuration must format to text that is accepted again. */
static void
run_config(const uint8_t *bytes, size_t size)
{
    config_t *first;
    config_t *second;
    error_t err = ERROR_INIT;
    if (config_parse_json((const char *)bytes, size, &first, &err) !=
        STATUS_OK) {
        return;
    }
    char *text = config_format_json(first);
    assert(text != NULL);
    assert(config_parse_json(text, strlen(text), &second, &err) == STATUS_OK);
    assert(second->version == first->version);
    assert(second->row_count == first->row_count);
    free(text);
    config_put(first);
    config_put(second);
}

static void
run_table(const uint8_t *bytes, size_t size)
{
    config_t *config;
    table_fault_t fault = {0};
    error_t err = ERROR_INIT;
    if (table_parse_yaml((const char *)bytes, size, &config, &fault, &err) ==
        STATUS_OK) {
        assert(config_check(config, &fault) == STATUS_OK);
        config_put(config);
    }
}

static void
run_settings(const uint8_t *bytes, size_t size)
{
    static settings_t settings;
    error_t err = ERROR_INIT;
    if (settings_parse("fuzz.yaml", (const char *)bytes, size, &settings,
                       &err) == STATUS_OK) {
        assert(name_valid(settings.name) && name_valid(settings.zone));
    }
}

static void
run_vmlist(const uint8_t *bytes, size_t size)
{
    upstream_info_t *upstreams = NULL;
    size_t count = 0;
    error_t err = ERROR_INIT;
    if (vmlist_parse((const char *)bytes, size, &upstreams, &count, &err) ==
        STATUS_OK) {
        for (size_t i = 0; i < count; i++) {
            assert(name_valid(upstreams[i].name));
        }
        free(upstreams);
    }
}

static void
run_partition(const uint8_t *bytes, size_t size)
{
    partition_t partition;
    error_t err = ERROR_INIT;
    if (partition_parse("ledger-desk", (const char *)bytes, size, &partition,
                        &err) == STATUS_OK) {
        for (size_t i = 0; i < partition.shard_count; i++) {
            assert(partition.shards[i].range.hi <= KEY_END);
        }
        free(partition.shards);
    }
}

/* The body of a caller's POST /v1/query. */
static void
run_query(const uint8_t *bytes, size_t size)
{
    caller_query_t query;
    error_t err = ERROR_INIT;
    json_t *root = json_loadb((const char *)bytes, size, 0, NULL);
    if (root != NULL &&
        caller_query_parse(root, PART_BODY_MAX, &query, &err) == STATUS_OK) {
        assert(name_valid(query.service));
        assert(query.range.hi <= KEY_END);
        assert(query.body_size <= PART_BODY_MAX);
    }
    json_decref(root);
}

/* The body of an operator's request; the first byte chooses its kind. */
static void
run_operator(const uint8_t *bytes, size_t size)
{
    if (size == 0) {
        return;
    }
    change_edit_t edit = {.kind = bytes[0] % CHANGE_KIND_COUNT};
    config_t *rows = NULL;
    operator_fault_t fault = {0};
    if (operator_edit_read((const char *)bytes + 1, size - 1, &edit, &rows,
                           &fault) == STATUS_OK) {
        assert(name_valid(edit.by));
    }
    config_put(rows);
}

/* An upstream's reply to a request with two parts. */
static void
run_reply(const uint8_t *bytes, size_t size)
{
    part_request_t requests[2] = {
        {.id = {.incarnation = 1, .sequence = 2},
         .service = "ledger-desk",
         .version = 17,
         .range = {.lo = 0, .hi = 10}},
        {.id = {.incarnation = 1, .sequence = 3},
         .service = "ledger-desk",
         .range = {.lo = 10, .hi = KEY_END}},
    };
    part_reply_t replies[2];
    wire_reply_t reply = {0};
    error_t err = ERROR_INIT;
    (void)wire_reply_parse((const char *)bytes, size, 200, requests, 2, &reply,
                           replies, &err);
    for (size_t i = 0; i < 2; i++) {
        assert(attempt_id_equal(replies[i].id, requests[i].id));
        assert(replies[i].status != PART_OK ||
               (replies[i].range.lo == requests[i].range.lo &&
                replies[i].range.hi == requests[i].range.hi));
    }
    free(reply.partition.shards);
}

static void
run_roster(const uint8_t *bytes, size_t size)
{
    static roster_doc_t doc;
    error_t err = ERROR_INIT;
    if (roster_doc_parse((const char *)bytes, size, &doc, &err) != STATUS_OK) {
        return;
    }
    assert(doc.count <= ROSTER_MEMBERS_MAX);
    char *text = roster_doc_format(&doc);
    assert(text != NULL);
    assert(roster_doc_parse(text, strlen(text), &doc, &err) == STATUS_OK);
    free(text);
}

static void
run_bucket(const uint8_t *bytes, size_t size)
{
    bucket_t bucket;
    error_t err = ERROR_INIT;
    bucket_init(&bucket);
    if (bucket_decode(&bucket, bytes, size, &err) == STATUS_OK) {
        for (uint32_t i = 0; i < bucket.count; i++) {
            assert(bucket.intents[i].writer < bucket.writer_count);
        }
    }
    bucket_release(&bucket);
}

/* Input made without the fleet's key must never parse as a ticket. */
static void
run_ticket(const uint8_t *bytes, size_t size)
{
    char text[TICKET_TEXT_MAX * 2] = "";
    ticket_t ticket;
    error_t err = ERROR_INIT;
    ticket_key_t key = {.bytes = fuzz_key.bytes, .size = fuzz_key.size};
    memcpy(text, bytes, size < sizeof(text) ? size : sizeof(text) - 1);
    assert(ticket_parse(text, &key, &ticket, &err) != STATUS_OK);
}

const fuzz_target_t fuzz_targets[] = {
    {"stranger", run_unauthenticated_peer},
    {"message", run_message},
    {"config", run_config},
    {"table", run_table},
    {"settings", run_settings},
    {"vmlist", run_vmlist},
    {"partition", run_partition},
    {"query", run_query},
    {"operator", run_operator},
    {"reply", run_reply},
    {"roster", run_roster},
    {"bucket", run_bucket},
    {"ticket", run_ticket},
    {0},
};

const fuzz_target_t *
fuzz_target_find(const char *name)
{
    for (const fuzz_target_t *t = fuzz_targets; t->name != NULL; t++) {
        if (strcmp(t->name, name) == 0) {
            return t;
        }
    }
    return NULL;
}
