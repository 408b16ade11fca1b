/* A heartbeat that is encoded and decoded again is unchanged. */
#include "daemon/heartbeat.h"
#include "t/lib/suite.h"

#include <stdlib.h>

static const roster_heartbeat_t leases[] = {
    {.version = 0},
    {.version = 7,
     .acked_version = 6,
     .sent_us = 123456789,
     .echo_us = 987654321},
    {.version = UINT64_MAX,
     .acked_version = 1,
     .sent_us = INT64_MAX,
     .echo_us = -1},
    {.version = 7, .grants = true},
    {.version = 7, .holds_lease = true},
    {.version = 7, .requests_grant = true},
};

static const confsync_report_t reports[] = {
    {.version = 0},
    {.version = 12, .holds_digest = 0, .trust_us = 4999999},
    {.version = UINT64_MAX, .holds_digest = UINT64_MAX, .trust_us = 1},
};

/* Encode a message and decode it again. */
static void
encode_and_decode(const message_t *sent, message_t *received)
{
    uint8_t *bytes;
    size_t size;
    error_t err = ERROR_INIT;
    ck_assert_int_eq(message_encode(sent, 0, &bytes, &size, &err), STATUS_OK);
    ck_assert_int_eq(
        message_decode(MESSAGE_HEARTBEAT, bytes, size, 0, received, &err),
        STATUS_OK);
    free(bytes);
}

START_TEST(test_lease)
{
    const roster_heartbeat_t *lease = &leases[_i];
    heartbeat_buffer_t buffer;
    message_t sent;
    message_t received;
    roster_heartbeat_t read;
    heartbeat_make_message(lease, &reports[1], true, &buffer, &sent);
    encode_and_decode(&sent, &received);
    ck_assert(heartbeat_parse_lease("b2", 42, &received.heartbeat, &read));
    ck_assert_str_eq(read.name, "b2");
    ck_assert_uint_eq(read.incarnation, 42);
    ck_assert_uint_eq(read.version, lease->version);
    ck_assert_uint_eq(read.acked_version, lease->acked_version);
    ck_assert_int_eq(read.sent_us, lease->sent_us);
    ck_assert_int_eq(read.echo_us, lease->echo_us);
    ck_assert_int_eq(read.grants, lease->grants);
    ck_assert_int_eq(read.holds_lease, lease->holds_lease);
    ck_assert_int_eq(read.requests_grant, lease->requests_grant);
    ck_assert(received.heartbeat.store_failing);
    message_release(&received);
}
END_TEST

START_TEST(test_report)
{
    heartbeat_buffer_t buffer;
    message_t sent;
    message_t received;
    confsync_report_t read;
    heartbeat_make_message(&leases[1], &reports[_i], false, &buffer, &sent);
    encode_and_decode(&sent, &received);
    ck_assert(heartbeat_parse_report(&received.heartbeat, &read));
    ck_assert_uint_eq(read.version, reports[_i].version);
    ck_assert_uint_eq(read.holds_digest, reports[_i].holds_digest);
    ck_assert_int_eq(read.trust_us, reports[_i].trust_us);
    message_release(&received);
}
END_TEST

/* Pairs that are missing or have a wrong size are not decoded. */
START_TEST(test_missing_pairs)
{
    heartbeat_buffer_t buffer;
    message_t sent;
    roster_heartbeat_t lease;
    confsync_report_t report;
    heartbeat_make_message(&leases[1], &reports[1], false, &buffer, &sent);
    buffer.pairs[0].size--;
    buffer.pairs[1].size++;
    ck_assert(!heartbeat_parse_lease("b2", 42, &sent.heartbeat, &lease));
    ck_assert(!heartbeat_parse_report(&sent.heartbeat, &report));
    sent.heartbeat.pair_count = 0;
    ck_assert(!heartbeat_parse_lease("b2", 42, &sent.heartbeat, &lease));
    ck_assert(!heartbeat_parse_report(&sent.heartbeat, &report));
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("heartbeat");
    tcase_add_loop_test(tests, test_lease, 0,
                        sizeof(leases) / sizeof(leases[0]));
    tcase_add_loop_test(tests, test_report, 0,
                        sizeof(reports) / sizeof(reports[0]));
    tcase_add_test(tests, test_missing_pairs);
    return suite_run("heartbeat", tests);
}
