/* Inner messages: round trips, malformed input, other protocol versions. */
#include "proto/frame.h"
#include "proto/inner.pb-c.h"
#include "proto/message.h"
#include "t/lib/suite.h"

#include <stdlib.h>
#include <string.h>

#define CASES(table) (sizeof(table) / sizeof((table)[0]))

#define NOW_US INT64_C(1000000)

static message_t
encode_and_decode(const message_t *message, int64_t now_us)
{
    uint8_t *bytes;
    size_t size;
    error_t err = ERROR_INIT;
    message_t out;
    ck_assert_msg(message_encode(message, NOW_US, &bytes, &size, &err) ==
                      STATUS_OK,
                  "%s", error_text(&err));
    ck_assert_msg(message_decode((uint8_t)message->type, bytes, size, now_us,
                                 &out, &err) == STATUS_OK,
                  "%s", error_text(&err));
    free(bytes);
    return out;
}

static part_request_t
sample_request(uint64_t sequence)
{
    return (part_request_t){
        .id = {.incarnation = 0xfedcba9876543210, .sequence = sequence},
        .service = "ledger-desk",
        .upstream = "ledger-desk-g0-r1",
        .tenant = "kiosk-7",
        .class = CLASS_ONLINE,
        .query = 77,
        .fingerprint = UINT64_MAX,
        .version = 17,
        .generation = 3,
        .range = {.lo = 10, .hi = KEY_END},
        .deadline_us = NOW_US + 500,
        .body = "balance",
        .body_size = 7,
    };
}

START_TEST(test_parts)
{
    part_request_t sent[4];
    for (size_t i = 0; i < 4; i++) {
        sent[i] = sample_request(i);
    }
    /*
     * Fields that change back to zero or empty must not keep the value of the
     * previous part.
     */
    sent[1].once = true;
    sent[2].tenant[0] = '\0';
    sent[2].body_size = 0;
    sent[2].query = 0;
    sent[3].deadline_us = 0;
    message_t m = {.type = MESSAGE_PARTS,
                   .parts = {.requests = sent, .count = 4}};
    message_t got = encode_and_decode(&m, 9 * NOW_US);
    ck_assert_uint_eq(got.parts.count, 4);
    for (size_t i = 0; i < 4; i++) {
        const part_request_t *in = &got.parts.requests[i];
        ck_assert(attempt_id_equal(in->id, sent[i].id));
        ck_assert_str_eq(in->upstream, sent[i].upstream);
        ck_assert_str_eq(in->tenant, sent[i].tenant);
        ck_assert_int_eq(in->class, sent[i].class);
        ck_assert_int_eq(in->once, sent[i].once);
        ck_assert_uint_eq(in->query, sent[i].query);
        ck_assert_uint_eq(in->fingerprint, sent[i].fingerprint);
        ck_assert_uint_eq(in->range.hi, KEY_END);
        ck_assert_uint_eq(in->body_size, sent[i].body_size);
        ck_assert(in->body_size == 0 ||
                  memcmp(in->body, "balance", in->body_size) == 0);
        ck_assert_int_eq(in->deadline_us, 9 * NOW_US + (i == 3 ? 0 : 500));
    }
    message_release(&got);
}
END_TEST

START_TEST(test_replies)
{
    part_reply_t sent[PART_STATUS_COUNT];
    for (uint32_t i = 0; i < PART_STATUS_COUNT; i++) {
        sent[i] = (part_reply_t){
            .id = {.incarnation = 1, .sequence = i, .attempt = i},
            .status = i,
            .not_run = i % 2 == 0,
            .version = i,
            .range = {.lo = i, .hi = i + i},
            .count = i,
            .sum = UINT64_MAX - i,
            .held = {i, i + i},
            .service_us = i + 3,
            .queue_us = i + 4,
            .retry_after_us = i + 5,
        };
    }
    message_t m = {.type = MESSAGE_REPLIES,
                   .replies = {.replies = sent, .count = PART_STATUS_COUNT}};
    message_t got = encode_and_decode(&m, 0);
    ck_assert_uint_eq(got.replies.count, PART_STATUS_COUNT);
    for (size_t i = 0; i < PART_STATUS_COUNT; i++) {
        ck_assert(memcmp(&got.replies.replies[i].held, &sent[i].held,
                         sizeof(sent[i].held)) == 0);
        ck_assert(attempt_id_equal(got.replies.replies[i].id, sent[i].id));
        ck_assert_int_eq(got.replies.replies[i].status, sent[i].status);
        ck_assert_int_eq(got.replies.replies[i].not_run, sent[i].not_run);
        ck_assert_uint_eq(got.replies.replies[i].sum, sent[i].sum);
        ck_assert_uint_eq(got.replies.replies[i].range.hi, sent[i].range.hi);
        ck_assert_int_eq(got.replies.replies[i].retry_after_us,
                         sent[i].retry_after_us);
    }
    message_release(&got);
}
END_TEST

START_TEST(test_control)
{
    const uint64_t fingerprints[] = {1, UINT64_MAX};
    const heartbeat_pair_t pair = {
        .key = "zone-load", .value = (const uint8_t *)"x\0y", .size = 3};
    message_t m = {
        .type = MESSAGE_HEARTBEAT,
        .heartbeat = {.roster_version = 9,
                      .config_version = 12,
                      .store_failing = true,
                      .load_permille = 345,
                      .leaving = true,
                      .quarantined = fingerprints,
                      .quarantined_count = 2,
                      .heard = (const uint8_t *)"\x05\xff",
                      .heard_size = 2,
                      .pairs = &pair,
                      .pair_count = 1},
    };
    message_t got = encode_and_decode(&m, 0);
    ck_assert_uint_eq(got.heartbeat.roster_version, 9);
    ck_assert_uint_eq(got.heartbeat.config_version, 12);
    ck_assert(got.heartbeat.store_failing && got.heartbeat.leaving);
    ck_assert_uint_eq(got.heartbeat.quarantined[1], UINT64_MAX);
    ck_assert_uint_eq(got.heartbeat.heard[1], 0xff);
    ck_assert_uint_eq(got.heartbeat.pairs[0].size, 3);
    ck_assert(memcmp(got.heartbeat.pairs[0].value, "x\0y", 3) == 0);
    message_release(&got);

    m = (message_t){.type = MESSAGE_ASK,
                    .ask = {.id = 5, .kind = 99, .json = "{}", .size = 2}};
    got = encode_and_decode(&m, 0);
    ck_assert_uint_eq(got.ask.kind, 99);
    ck_assert(got.ask.size == 2 && memcmp(got.ask.json, "{}", 2) == 0);
    message_release(&got);

    const attempt_id_t id = {.incarnation = 3, .sequence = 4, .attempt = 5};
    m = (message_t){.type = MESSAGE_CANCEL,
                    .cancel = {.ids = &id, .count = 1}};
    got = encode_and_decode(&m, 0);
    ck_assert(attempt_id_equal(got.cancel.ids[0], id));
    message_release(&got);
}
END_TEST

/* An older daemon sends fewer fields; absent fields are read as zero. */
START_TEST(test_older_peer)
{
    static const uint8_t only_config[] = {0x10, 0x0c};
    message_t got;
    ck_assert_int_eq(message_decode(MESSAGE_HEARTBEAT, only_config,
                                    sizeof(only_config), 0, &got, NULL),
                     STATUS_OK);
    ck_assert_uint_eq(got.heartbeat.config_version, 12);
    ck_assert_uint_eq(got.heartbeat.roster_version, 0);
    ck_assert(!got.heartbeat.leaving);
    ck_assert_uint_eq(got.heartbeat.heard_size, 0);
    message_release(&got);
}
END_TEST

/*
 * A newer daemon sends more fields and statuses. Field 100 is ignored, and an
 * unknown status is read as PART_BAD_REPLY.
 */
START_TEST(test_newer_peer)
{
    static const uint8_t more[] = {0x10, 0x0c, 0xa2, 0x06, 0x02, 'h', 'i'};
    message_t got;
    ck_assert_int_eq(
        message_decode(MESSAGE_HEARTBEAT, more, sizeof(more), 0, &got, NULL),
        STATUS_OK);
    ck_assert_uint_eq(got.heartbeat.config_version, 12);
    message_release(&got);
    static const uint8_t new_status[] = {0x0a, 0x04, 0x0a, 0, 0x10, 99};
    ck_assert_int_eq(message_decode(MESSAGE_REPLIES, new_status,
                                    sizeof(new_status), 0, &got, NULL),
                     STATUS_OK);
    ck_assert_int_eq(got.replies.replies[0].status, PART_BAD_REPLY);
    ck_assert(!got.replies.replies[0].not_run);
    message_release(&got);
}
END_TEST

typedef struct {
    const char *name;
    const char *bytes;
    size_t size;
    status_t status;
    uint8_t type;
} invalid_case_t;

#define BAD(type, bytes, status) bytes, sizeof(bytes) - 1, status, type
static const invalid_case_t invalid_cases[] = {
    {"type 0", BAD(0, "", STATUS_NOT_FOUND)},
    {"type of a later version", BAD(200, "", STATUS_NOT_FOUND)},
    {"truncated varint", BAD(MESSAGE_HEARTBEAT, "\x10\xff", STATUS_INVALID)},
    {"length past the end", BAD(MESSAGE_ASK, "\x1a\x7fhi", STATUS_INVALID)},
    {"length near 2^64",
     BAD(MESSAGE_ASK, "\x1a\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
         STATUS_INVALID)},
    {"not protobuf", BAD(MESSAGE_PARTS, "GET / HTTP/1.1", STATUS_INVALID)},
    {"part without names", BAD(MESSAGE_PARTS, "\x0a\x00", STATUS_INVALID)},
    {"reply without id", BAD(MESSAGE_REPLIES, "\x0a\x00", STATUS_INVALID)},
    {"reply past the last key",
     BAD(MESSAGE_REPLIES, "\x0a\x0a\x0a\0\x30\xff\xff\xff\xff\xff\x01\x10\0",
         STATUS_INVALID)},
    {"reply with an inverted range",
     BAD(MESSAGE_REPLIES, "\x0a\x06\x0a\0\x28\x02\x30\x01", STATUS_INVALID)},
    {"reply with five versions",
     BAD(MESSAGE_REPLIES, "\x0a\x09\x0a\0\x52\x05\1\2\3\4\5", STATUS_INVALID)},
    {"hello without a name", BAD(MESSAGE_HELLO, "\x08\x01", STATUS_INVALID)},
    {"hello with a name in capitals",
     BAD(MESSAGE_HELLO, "\x1a\x02Ha", STATUS_INVALID)},
    {"hello with a short nonce",
     BAD(MESSAGE_HELLO, "\x1a\x01h\x32\x01n", STATUS_INVALID)},
    {"challenge without a nonce",
     BAD(MESSAGE_CHALLENGE, "\x08\x01", STATUS_INVALID)},
    {"pair without a key", BAD(MESSAGE_HEARTBEAT, "\x42\0", STATUS_INVALID)},
};

START_TEST(test_invalid)
{
    const invalid_case_t *c = &invalid_cases[_i];
    message_t got;
    error_t err = ERROR_INIT;
    status_t status = message_decode(c->type, (const uint8_t *)c->bytes,
                                     c->size, 0, &got, &err);
    ck_assert_msg(status == c->status, "%s: %s", c->name, error_text(&err));
    ck_assert(got.memory == NULL && err.message[0] != '\0');
}
END_TEST

/*
 * A truncated message, or a message with a flipped bit, either decodes to
 * valid fields or is rejected as a whole.
 */
START_TEST(test_truncated_and_corrupted)
{
    part_request_t sent[2] = {sample_request(1), sample_request(2)};
    message_t m = {.type = MESSAGE_PARTS,
                   .parts = {.requests = sent, .count = 2}};
    uint8_t *bytes;
    size_t size;
    ck_assert_int_eq(message_encode(&m, NOW_US, &bytes, &size, NULL),
                     STATUS_OK);
    message_t got;
    size_t refused = 0;
    for (size_t cut = 0; cut < size; cut++) {
        if (message_decode(MESSAGE_PARTS, bytes, cut, 0, &got, NULL) ==
            STATUS_OK) {
            ck_assert_uint_lt(got.parts.count, 2);
            message_release(&got);
        }
        else {
            refused++;
        }
    }
    ck_assert_uint_eq(refused,
                      size - 2); /* prefixes with 0 parts and 1 part decode */
    for (size_t bit = 0; bit < size * 8; bit++) {
        bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
        if (message_decode(MESSAGE_PARTS, bytes, size, 0, &got, NULL) ==
            STATUS_OK) {
            for (size_t i = 0; i < got.parts.count; i++) {
                ck_assert_uint_le(got.parts.requests[i].range.hi, KEY_END);
            }
            message_release(&got);
        }
        bytes[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
    free(bytes);
}
END_TEST

/*
 * An empty part takes only two bytes on the wire; decoding many must not
 * allocate unbounded memory.
 */
START_TEST(test_amplification)
{
    size_t size = FRAME_PAYLOAD_MAX_BYTES;
    uint8_t *bytes = calloc(1, size);
    for (size_t i = 0; i < size; i += 2) {
        bytes[i] = 0x0a;
    }
    message_t got;
    ck_assert_int_eq(message_decode(MESSAGE_PARTS, bytes, size, 0, &got, NULL),
                     STATUS_INVALID);
    ck_assert_int_eq(
        message_decode(MESSAGE_PARTS, bytes, size + 2, 0, &got, NULL),
        STATUS_INVALID);
    free(bytes);
}
END_TEST

static status_t
encode_only(const message_t *m)
{
    uint8_t *bytes = NULL;
    size_t size;
    status_t status = message_encode(m, NOW_US, &bytes, &size, NULL);
    free(bytes);
    return status;
}

/* Encoding refuses a message that the peer would reject. */
START_TEST(test_encode_refuses)
{
    part_request_t request = sample_request(1);
    message_t m = {.type = MESSAGE_PARTS,
                   .parts = {.requests = &request, .count = 1}};
    ck_assert_int_eq(encode_only(&m), STATUS_OK);
    request.range.lo = request.range.hi;
    ck_assert_int_eq(encode_only(&m), STATUS_INVALID);
    request = sample_request(1);
    request.body_size = PART_BODY_MAX + 1;
    ck_assert_int_eq(encode_only(&m), STATUS_INVALID);
    request = sample_request(1);
    memset(request.upstream, 'x', NAME_SIZE);
    ck_assert_int_eq(encode_only(&m), STATUS_INVALID);
    m.parts.count = MESSAGE_PARTS_MAX + 1;
    ck_assert_int_eq(encode_only(&m), STATUS_INVALID);
    m = (message_t){
        .type = MESSAGE_CONFIG_PUSH,
        .config_push = {.json = "", .size = MESSAGE_JSON_MAX_BYTES + 1}};
    ck_assert_int_eq(encode_only(&m), STATUS_INVALID);
    m = (message_t){.type = MESSAGE_TYPE_COUNT};
    ck_assert_int_eq(encode_only(&m), STATUS_INVALID);
}
END_TEST

/* Many different bodies do not fit in a frame. */
START_TEST(test_encode_too_large)
{
    static char bodies[300][PART_BODY_MAX];
    static part_request_t requests[300];
    for (size_t i = 0; i < CASES(requests); i++) {
        memset(bodies[i], (int)(i % 2) + 'a', PART_BODY_MAX);
        requests[i] = sample_request(i);
        requests[i].body = bodies[i];
        requests[i].body_size = PART_BODY_MAX;
    }
    message_t m = {.type = MESSAGE_PARTS,
                   .parts = {.requests = requests, .count = CASES(requests)}};
    ck_assert_int_eq(encode_only(&m), STATUS_TOO_LARGE);
}
END_TEST

typedef struct {
    const char *name;
    const char *bytes;
    size_t size;
    size_t mac_bytes;
    frame_result_t result;
} frame_case_t;

#define FRAME(bytes) bytes, sizeof(bytes) - 1

static const frame_case_t frame_cases[] = {
    {"nothing", FRAME(""), 0, FRAME_INCOMPLETE},
    {"part of a length", FRAME("\0\0\0"), 0, FRAME_INCOMPLETE},
    {"no room for a header", FRAME("\0\0\0\x08"), 0, FRAME_TOO_SHORT},
    {"no room for a MAC", FRAME("\0\0\0\x09"), 16, FRAME_TOO_SHORT},
    {"no payload", FRAME("\0\0\0\x09\x03\0\0\0\0\0\0\0\x07"), 0, FRAME_READY},
    {"one byte short", FRAME("\0\0\0\x0a\x03\0\0\0\0\0\0\0\x07"), 0,
     FRAME_INCOMPLETE},
    {"largest payload", FRAME("\0\0\0\x6d"), 0, FRAME_INCOMPLETE},
    {"too large", FRAME("\0\0\0\x6e"), 0, FRAME_TOO_LARGE},
    {"largest length", FRAME("\xff\xff\xff\xff"), 16, FRAME_TOO_LARGE},
    {"a text protocol", FRAME("GET / HTTP/1.1\r\n"), 0, FRAME_TOO_LARGE},
};

START_TEST(test_frame)
{
    const frame_case_t *c = &frame_cases[_i];
    frame_t frame = {0};
    frame_result_t result = frame_parse((const uint8_t *)c->bytes, c->size,
                                        c->mac_bytes, 100, &frame);
    ck_assert_msg(result == c->result, "%s: %s", c->name,
                  frame_result_name(result));
    if (result == FRAME_READY) {
        ck_assert_uint_eq(frame.type, 3);
        ck_assert_uint_eq(frame.incarnation, 7);
        ck_assert_uint_eq(frame.size, c->size);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("message");
    tcase_add_test(tests, test_parts);
    tcase_add_test(tests, test_replies);
    tcase_add_test(tests, test_control);
    tcase_add_test(tests, test_older_peer);
    tcase_add_test(tests, test_newer_peer);
    tcase_add_loop_test(tests, test_invalid, 0, CASES(invalid_cases));
    tcase_add_test(tests, test_truncated_and_corrupted);
    tcase_add_test(tests, test_amplification);
    tcase_add_test(tests, test_encode_refuses);
    tcase_add_test(tests, test_encode_too_large);
    tcase_add_loop_test(tests, test_frame, 0, CASES(frame_cases));
    return suite_run("message", tests);
}
