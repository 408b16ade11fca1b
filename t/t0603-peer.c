/*
 * Two or more transports in one process: connects and disconnects, queues and
 * pauses.
 */
#include "net/backoff.h"
#include "t/lib/suite.h"
#include "t/lib/test_peer.h"

#include <pthread.h>
#include <string.h>
#include <time.h>

/* One peer dials; both can send over that connection, in order. */
START_TEST(test_both_ways)
{
    test_peer_t a;
    test_peer_t b;
    test_peer_start(&a, "a1", 1, 0, right_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    ck_assert_int_eq(test_peer_send(&a, &b, 1), STATUS_UNAVAILABLE);
    test_peer_dial(&a, &b, 0);
    test_peer_wait(&a, &a.ups, 1);
    test_peer_wait(&b, &b.ups, 1);
    for (uint64_t i = 1; i <= 500; i++) {
        ck_assert_int_eq(test_peer_send(&a, &b, i), STATUS_OK);
        ck_assert_int_eq(test_peer_send(&b, &a, i), STATUS_OK);
    }
    test_peer_wait(&a, &a.messages, 500);
    test_peer_wait(&b, &b.messages, 500);
    ck_assert(peer_net_drain(a.net, TEST_PEER_WAIT_MAX_S * INT64_C(1000000)));
    ck_assert_uint_eq(test_peer_read(&a, &a.out_of_order), 0);
    ck_assert_uint_eq(test_peer_read(&b, &b.out_of_order), 0);
    ck_assert_uint_eq(b.last_incarnation, 1);
    peer_counters_t counters = peer_net_counters(a.net);
    ck_assert_uint_eq(counters.sent[MESSAGE_HEARTBEAT].messages, 500);
    ck_assert_uint_eq(counters.received[MESSAGE_HEARTBEAT].messages, 500);
    ck_assert_uint_eq(counters.refused_sends, 1);
    ck_assert_uint_eq(counters.dials, 1);
    peer_info_t info[2];
    ck_assert_uint_eq(peer_net_peers(a.net, info, 2), 1);
    ck_assert_str_eq(info[0].name, "b1");
    ck_assert_str_eq(info[0].zone, "north-1");
    test_peer_stop(&a);
    test_peer_stop(&b);
}
END_TEST

/* Both dial each other; each message is sent once and arrives once. */
START_TEST(test_simultaneous)
{
    test_peer_t a;
    test_peer_t b;
    test_peer_start(&a, "a1", 1, 0, right_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    test_peer_dial(&a, &b, 0);
    test_peer_dial(&b, &a, 0);
    test_peer_wait(&a, &a.ups, 1);
    test_peer_wait(&b, &b.ups, 1);
    for (uint64_t i = 1; i <= 100; i++) {
        ck_assert_int_eq(test_peer_send(&a, &b, i), STATUS_OK);
    }
    test_peer_wait(&b, &b.messages, 100);
    ck_assert(peer_net_drain(a.net, TEST_PEER_WAIT_MAX_S * INT64_C(1000000)));
    ck_assert_uint_eq(test_peer_read(&b, &b.messages), 100);
    ck_assert_uint_eq(test_peer_read(&a, &a.unreachable), 0);
    test_peer_stop(&a);
    test_peer_stop(&b);
}
END_TEST

/* A peer stops and its VM is replaced at the same address. */
START_TEST(test_replaced)
{
    test_peer_t a;
    test_peer_t b;
    test_peer_start(&a, "a1", 1, 0, right_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    uint16_t port = peer_net_port(b.net);
    test_peer_dial(&a, &b, 0);
    test_peer_wait(&a, &a.ups, 1);
    test_peer_stop(&b);
    test_peer_wait(&a, &a.unreachable, 1);
    ck_assert_int_eq(test_peer_send(&a, &b, 1), STATUS_UNAVAILABLE);

    test_peer_t old = b;
    test_peer_start(&b, "b1", 3, port, right_key);
    test_peer_wait(&a, &a.refused, 1); /* still dials incarnation 2 */
    ck_assert_uint_eq(test_peer_read(&a, &a.ups), 1);
    test_peer_dial(&a, &b, 0);
    test_peer_wait(&a, &a.ups, 2);
    ck_assert_int_eq(test_peer_send(&a, &old, 1), STATUS_UNAVAILABLE);
    ck_assert_int_eq(test_peer_send(&a, &b, 1), STATUS_OK);
    test_peer_wait(&b, &b.messages, 1);
    test_peer_stop(&a);
    test_peer_stop(&b);
}
END_TEST

/*
 * When a peer leaves the set, its connection is closed and both sides are
 * notified.
 */
START_TEST(test_removed)
{
    test_peer_t a;
    test_peer_t b;
    test_peer_start(&a, "a1", 1, 0, right_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    test_peer_dial(&a, &b, 0);
    test_peer_wait(&a, &a.ups, 1);
    test_peer_wait(&b, &b.ups, 1);
    ck_assert_int_eq(peer_net_set_peers(a.net, NULL, 0, NULL), STATUS_OK);
    test_peer_wait(&a, &a.unreachable, 1);
    test_peer_wait(&b, &b.unreachable, 1);
    ck_assert_int_eq(test_peer_send(&b, &a, 1), STATUS_UNAVAILABLE);
    test_peer_stop(&a);
    test_peer_stop(&b);
}
END_TEST

/*
 * A peer that is in the set by address only and later by name as well keeps
 * its connection and is not dialed again.
 */
START_TEST(test_unnamed)
{
    test_peer_t a;
    test_peer_t b;
    test_peer_start(&a, "a1", 1, 0, right_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    peer_address_t seeds[] = {
        {.address = "127.0.0.1", .port = peer_net_port(b.net)},
        {.address = "127.0.0.1", .port = peer_net_port(a.net)},
    };
    ck_assert_int_eq(peer_net_set_peers(a.net, seeds, 2, NULL), STATUS_OK);
    test_peer_wait(&a, &a.ups, 1);
    ck_assert_int_eq(test_peer_send(&a, &b, 1), STATUS_OK);
    test_peer_wait(&b, &b.messages, 1);
    test_peer_dial(&a, &b, 0);
    ck_assert_int_eq(test_peer_send(&a, &b, 2), STATUS_OK);
    test_peer_wait(&b, &b.messages, 2);
    /* Longer than the delay of any first dial. */
    struct timespec first_dial = {.tv_nsec = 2 * BACKOFF_BASE_US * 1000};
    nanosleep(&first_dial, NULL);
    ck_assert_uint_eq(peer_net_counters(a.net).dials, 1);
    ck_assert_uint_eq(test_peer_read(&a, &a.downs), 0);
    test_peer_stop(&a);
    test_peer_stop(&b);
}
END_TEST

/* When a peer dials again, its earlier connection is closed. */
START_TEST(test_dials_again)
{
    test_peer_t first;
    test_peer_t again;
    test_peer_t b;
    test_peer_start(&first, "a1", 1, 0, right_key);
    test_peer_start(&again, "a1", 1, 0, right_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    test_peer_dial(&first, &b, 0);
    test_peer_wait(&b, &b.ups, 1);
    test_peer_dial(&again, &b, 0);
    test_peer_wait(&again, &again.ups, 1);
    test_peer_wait(&first, &first.unreachable, 1);
    test_peer_wait(&b, &b.downs, 1);
    ck_assert_uint_eq(test_peer_read(&b, &b.unreachable), 0);
    ck_assert_uint_eq(test_peer_read(&b, &b.ups), 1);
    ck_assert_int_eq(test_peer_send(&b, &again, 1), STATUS_OK);
    test_peer_stop(&first);
    test_peer_stop(&again);
    test_peer_stop(&b);
}
END_TEST

START_TEST(test_wrong_key)
{
    test_peer_t a;
    test_peer_t b;
    test_peer_start(&a, "a1", 1, 0, wrong_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    test_peer_dial(&a, &b, 0);
    test_peer_wait(&a, &a.refused, 3);
    test_peer_wait(&b, &b.refused, 3);
    ck_assert_uint_ge(peer_net_counters(b.net).denied, 3);
    ck_assert_uint_eq(test_peer_read(&a, &a.ups) + test_peer_read(&b, &b.ups),
                      0);
    auth_key_t short_key = {.bytes = right_key.bytes, .size = 15};
    error_t err = ERROR_INIT;
    peer_net_settings_t settings = {.address = "127.0.0.1", .key = short_key};
    ck_assert_ptr_null(peer_net_new(&settings, &test_peer_ops, &a, &err));
    ck_assert_int_eq(err.status, STATUS_INVALID);
    test_peer_stop(&a);
    test_peer_stop(&b);
}
END_TEST

/* Sends until the queue stays full; returns the number accepted. */
static unsigned
fill_queue(test_peer_t *from, const message_t *message)
{
    enum { REFUSALS = 200, MESSAGES_MAX = 100000 };
    const struct timespec pause = {.tv_nsec = 1000000};
    unsigned accepted = 0;
    unsigned refusals = 0;
    while (refusals < REFUSALS && accepted < MESSAGES_MAX) {
        status_t status = peer_net_send(from->net, "b1", 2, message, NULL);
        if (status == STATUS_OK) {
            accepted++;
            refusals = 0;
        }
        else {
            ck_assert_int_eq(status, STATUS_TOO_LARGE);
            refusals++;
            nanosleep(&pause, NULL);
        }
    }
    ck_assert_uint_lt(accepted, MESSAGES_MAX);
    return accepted;
}

/* A slow receiver fills the queue; all accepted messages arrive. */
START_TEST(test_queue_bound)
{
    test_peer_t a;
    test_peer_t b;
    test_peer_start(&a, "a1", 1, 0, right_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    test_peer_dial(&a, &b, 0);
    test_peer_wait(&a, &a.ups, 1);
    test_peer_block(&b, true);
    static char json[32 << 10];
    memset(json, ' ', sizeof(json));
    message_t m = {.type = MESSAGE_ASK,
                   .ask = {.json = json, .size = sizeof(json)}};
    unsigned accepted = fill_queue(&a, &m);
    peer_info_t info;
    ck_assert_uint_eq(peer_net_peers(a.net, &info, 1), 1);
    ck_assert_uint_gt(info.queued_bytes, 0);
    ck_assert(!peer_net_drain(a.net, 1000));
    test_peer_block(&b, false);
    test_peer_wait(&b, &b.messages, accepted);
    ck_assert_uint_eq(test_peer_read(&b, &b.downs), 0);
    test_peer_stop(&a);
    test_peer_stop(&b);
}
END_TEST

/*
 * peer_net_free delivers the queued messages, which are more than the socket
 * buffers hold.
 */
START_TEST(test_free_lingers)
{
    test_peer_t a;
    test_peer_t b;
    test_peer_start(&a, "a1", 1, 0, right_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    test_peer_dial(&a, &b, 0);
    test_peer_wait(&a, &a.ups, 1);
    test_peer_block(&b, true);
    static char json[32 << 10];
    memset(json, ' ', sizeof(json));
    message_t m = {.type = MESSAGE_ASK,
                   .ask = {.json = json, .size = sizeof(json)}};
    unsigned accepted = fill_queue(&a, &m);
    test_peer_block(&b, false);
    test_peer_stop(&a);
    test_peer_wait(&b, &b.unreachable, 1);
    ck_assert_uint_eq(test_peer_read(&b, &b.messages), accepted);
    test_peer_stop(&b);
}
END_TEST

/* A message can be sent by incarnation alone, without the peer's name. */
START_TEST(test_send_by_incarnation)
{
    test_peer_t a;
    test_peer_t b;
    test_peer_start(&a, "a1", 1, 0, right_key);
    test_peer_start(&b, "b1", 2, 0, right_key);
    test_peer_dial(&a, &b, 0);
    test_peer_wait(&a, &a.ups, 1);
    message_t m = {.type = MESSAGE_HEARTBEAT};
    ck_assert_int_eq(peer_net_send(a.net, NULL, 3, &m, NULL),
                     STATUS_UNAVAILABLE);
    ck_assert_int_eq(peer_net_send(a.net, NULL, 2, &m, NULL), STATUS_OK);
    test_peer_wait(&b, &b.messages, 1);
    test_peer_stop(&a);
    test_peer_stop(&b);
}
END_TEST

/*
 * A daemon that was paused while it handled a message drops the unread
 * messages and reconnects. The test waits longer than pause_us; a slow machine
 * only makes the pause longer.
 */
START_TEST(test_paused)
{
    const int64_t pause_us = 200000;
    test_peer_t a;
    test_peer_t b;
    test_peer_start(&a, "a1", 1, 0, right_key);
    test_peer_start_with_pause_limit(&b, "b1", 2, 0, right_key, pause_us);
    test_peer_dial(&a, &b, 0);
    test_peer_wait(&a, &a.ups, 1);
    test_peer_block(&b, true);
    for (uint64_t i = 1; i <= 3; i++) {
        (void)test_peer_send(&a, &b, i);
    }
    test_peer_wait(&b, &b.on_message_calls, 1);
    struct timespec pause = {.tv_nsec = 3 * pause_us * 1000};
    nanosleep(&pause, NULL);
    test_peer_block(&b, false); /* lets the first on_message return */
    test_peer_wait(&a, &a.unreachable, 1);
    test_peer_wait(&b, &b.unreachable, 1);
    test_peer_wait(&a, &a.ups, 2);
    ck_assert_uint_eq(test_peer_read(&b, &b.messages), 1);
    /* A message is lost again only if the machine pauses the test again. */
    for (int i = 0; i < 100 && test_peer_read(&b, &b.messages) == 1; i++) {
        (void)test_peer_send(&a, &b, 2);
        nanosleep(&pause, NULL);
    }
    ck_assert_uint_gt(test_peer_read(&b, &b.messages), 1);
    test_peer_stop(&a);
    test_peer_stop(&b);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("peer");
    tcase_set_timeout(tests, 0);
    tcase_add_test(tests, test_both_ways);
    tcase_add_test(tests, test_simultaneous);
    tcase_add_test(tests, test_replaced);
    tcase_add_test(tests, test_removed);
    tcase_add_test(tests, test_unnamed);
    tcase_add_test(tests, test_dials_again);
    tcase_add_test(tests, test_wrong_key);
    tcase_add_test(tests, test_queue_bound);
    tcase_add_test(tests, test_free_lingers);
    tcase_add_test(tests, test_send_by_incarnation);
    tcase_add_test(tests, test_paused);
    return suite_run("peer", tests);
}
