/* Handshake, frame MACs, backoff and dialing, without sockets. */
#include "net/backoff.h"
#include "net/dialer.h"
#include "proto/handshake.h"
#include "t/lib/suite.h"

#include <string.h>

#define CASES(table) (sizeof(table) / sizeof((table)[0]))
#define KEY(text)                                                             \
    {                                                                         \
        .bytes = (const uint8_t *)(text), .size = sizeof(text) - 1            \
    }

static const identity_t alice = {.name = "a1", .zone = "x", .incarnation = 1};
static const identity_t bob = {.name = "b1", .zone = "y", .incarnation = 2};
static const uint8_t nonce_a[NONCE_BYTES] = {1};
static const uint8_t nonce_b[NONCE_BYTES] = {2};

typedef struct {
    const char *name;
    auth_key_t dialer_key;
    uint32_t dialer_version;
    uint32_t dialer_oldest;
    uint32_t acceptor_version;
    uint32_t acceptor_oldest;
    const char *dialed; /* name that the dialer expects */
    uint64_t dialed_incarnation;
    handshake_result_t at_acceptor;
    handshake_result_t at_dialer; /* CONTINUE: the acceptor refused first */
    uint32_t agreed;
} handshake_case_t;

#define RIGHT KEY("0123456789abcdef")

static const handshake_case_t handshake_cases[] = {
    {"same version", RIGHT, 3, 2, 3, 2, "b1", 2, HANDSHAKE_DONE,
     HANDSHAKE_DONE, 3},
    {"any incarnation", RIGHT, 3, 2, 3, 2, "b1", 0, HANDSHAKE_DONE,
     HANDSHAKE_DONE, 3},
    {"any daemon", RIGHT, 3, 2, 3, 2, "", 0, HANDSHAKE_DONE, HANDSHAKE_DONE,
     3},
    {"newer dialer", RIGHT, 4, 3, 3, 2, "b1", 2, HANDSHAKE_DONE,
     HANDSHAKE_DONE, 3},
    {"newer acceptor", RIGHT, 2, 1, 3, 2, "b1", 2, HANDSHAKE_DONE,
     HANDSHAKE_DONE, 2},
    {"too new a dialer", RIGHT, 5, 4, 3, 2, "b1", 2, HANDSHAKE_CONTINUE,
     HANDSHAKE_NO_COMMON_VERSION, 0},
    {"too old a dialer", RIGHT, 1, 1, 3, 2, "b1", 2, HANDSHAKE_CONTINUE,
     HANDSHAKE_NO_COMMON_VERSION, 0},
    {"wrong key", KEY("0123456789abcdeX"), 3, 2, 3, 2, "b1", 2,
     HANDSHAKE_WRONG_PROOF, HANDSHAKE_CONTINUE, 0},
    {"key cut short", KEY("0123456789abcde"), 3, 2, 3, 2, "b1", 2,
     HANDSHAKE_WRONG_PROOF, HANDSHAKE_CONTINUE, 0},
    {"another daemon", RIGHT, 3, 2, 3, 2, "c1", 2, HANDSHAKE_WRONG_DAEMON,
     HANDSHAKE_CONTINUE, 0},
    {"replaced on the same address", RIGHT, 3, 2, 3, 2, "b1", 9,
     HANDSHAKE_DONE, HANDSHAKE_WRONG_DAEMON, 0},
};

typedef struct {
    handshake_t dialer;
    handshake_t acceptor;
    message_t challenge;
    message_t dialer_hello;
    message_t acceptor_hello;
} handshake_pair_t;

/* Runs both sides of the handshake until one of them refuses. */
static void
run_case(const handshake_case_t *c, handshake_pair_t *p,
         handshake_result_t *at_acceptor, handshake_result_t *at_dialer)
{
    identity_t from = alice;
    identity_t to = bob;
    from.version = c->dialer_version;
    from.oldest = c->dialer_oldest;
    to.version = c->acceptor_version;
    to.oldest = c->acceptor_oldest;
    auth_key_t right = RIGHT;
    *at_acceptor = HANDSHAKE_CONTINUE;
    handshake_accept(&p->acceptor, &to, right, nonce_b, &p->challenge);
    handshake_dial(&p->dialer, &from, c->dialer_key, nonce_a, c->dialed,
                   c->dialed_incarnation);
    *at_dialer =
        handshake_process(&p->dialer, &p->challenge, &p->dialer_hello);
    if (*at_dialer == HANDSHAKE_CONTINUE) {
        *at_acceptor = handshake_process(&p->acceptor, &p->dialer_hello,
                                         &p->acceptor_hello);
    }
    if (*at_acceptor == HANDSHAKE_DONE) {
        message_t none;
        *at_dialer = handshake_process(&p->dialer, &p->acceptor_hello, &none);
        ck_assert_int_eq(none.type, MESSAGE_NONE);
    }
}

START_TEST(test_handshake)
{
    const handshake_case_t *c = &handshake_cases[_i];
    handshake_pair_t p;
    handshake_result_t at_acceptor;
    handshake_result_t at_dialer;
    run_case(c, &p, &at_acceptor, &at_dialer);
    ck_assert_msg(at_acceptor == c->at_acceptor, "%s: acceptor: %s", c->name,
                  handshake_result_name(at_acceptor));
    ck_assert_msg(at_dialer == c->at_dialer, "%s: dialer: %s", c->name,
                  handshake_result_name(at_dialer));
    if (at_dialer == HANDSHAKE_DONE) {
        ck_assert_uint_eq(p.dialer.agreed_version, c->agreed);
        ck_assert_uint_eq(p.acceptor.agreed_version, c->agreed);
        ck_assert_str_eq(handshake_peer(&p.dialer)->name, "b1");
        ck_assert_str_eq(handshake_peer(&p.acceptor)->name, "a1");
    }
    else if (at_acceptor != HANDSHAKE_DONE) {
        /* Refused before the acceptor identified itself. */
        ck_assert_int_eq(p.challenge.type, MESSAGE_CHALLENGE);
        ck_assert(at_acceptor == HANDSHAKE_CONTINUE ||
                  p.acceptor_hello.type == MESSAGE_NONE);
    }
}
END_TEST

static const handshake_case_t valid_case = {
    "valid", RIGHT, 3, 2, 3, 2, "b1", 2, HANDSHAKE_DONE, HANDSHAKE_DONE, 3};

/* A hello with any field changed, also the versions, is refused. */
START_TEST(test_tampered)
{
    handshake_pair_t p;
    handshake_result_t r;
    run_case(&valid_case, &p, &r, &r);
    size_t offsets[] = {
        offsetof(hello_t, version),     offsetof(hello_t, oldest),
        offsetof(hello_t, name),        offsetof(hello_t, zone),
        offsetof(hello_t, incarnation), offsetof(hello_t, nonce),
        offsetof(hello_t, peer),        offsetof(hello_t, proof),
    };
    for (size_t i = 0; i < CASES(offsets); i++) {
        message_t changed = p.dialer_hello;
        ((uint8_t *)&changed.hello)[offsets[i]] ^= 1;
        handshake_t acceptor;
        message_t out;
        auth_key_t right = RIGHT;
        identity_t to = bob;
        to.version = 3;
        to.oldest = 2;
        handshake_accept(&acceptor, &to, right, nonce_b, &out);
        ck_assert_int_eq(handshake_process(&acceptor, &changed, &out),
                         HANDSHAKE_WRONG_PROOF);
        ck_assert_int_eq(out.type, MESSAGE_NONE);
    }
}
END_TEST

/*
 * A recorded hello is refused as the answer to another challenge, and so is a
 * dialer's own hello that is sent back to it.
 */
START_TEST(test_replay_and_reflection)
{
    handshake_pair_t p;
    handshake_result_t r;
    run_case(&valid_case, &p, &r, &r);
    auth_key_t right = RIGHT;
    identity_t to = bob;
    to.version = 3;
    to.oldest = 2;
    handshake_t acceptor;
    message_t out;
    uint8_t other_nonce[NONCE_BYTES] = {77};
    handshake_accept(&acceptor, &to, right, other_nonce, &out);
    ck_assert_int_eq(handshake_process(&acceptor, &p.dialer_hello, &out),
                     HANDSHAKE_WRONG_PROOF);

    handshake_t dialer;
    handshake_dial(&dialer, &alice, right, nonce_a, "b1", 0);
    message_t hello;
    ck_assert_int_eq(handshake_process(&dialer, &p.challenge, &hello),
                     HANDSHAKE_NO_COMMON_VERSION);
    identity_t from = alice;
    from.version = 3;
    from.oldest = 2;
    handshake_dial(&dialer, &from, right, nonce_a, "b1", 0);
    handshake_process(&dialer, &p.challenge, &hello);
    ck_assert_int_eq(handshake_process(&dialer, &hello, &out),
                     HANDSHAKE_WRONG_PROOF);
}
END_TEST

/*
 * An acceptor refuses a dialer of its own name: its own dial of its own
 * address, or a second daemon of the same name.
 */
START_TEST(test_same_name)
{
    auth_key_t right = RIGHT;
    identity_t same_name = bob;
    same_name.incarnation = 9;
    handshake_t acceptor;
    handshake_t dialer;
    message_t out;
    message_t hello;
    handshake_accept(&acceptor, &bob, right, nonce_b, &out);
    handshake_dial(&dialer, &same_name, right, nonce_a, "b1", 0);
    ck_assert_int_eq(handshake_process(&dialer, &out, &hello),
                     HANDSHAKE_CONTINUE);
    ck_assert_int_eq(handshake_process(&acceptor, &hello, &out),
                     HANDSHAKE_WRONG_DAEMON);
    ck_assert_int_eq(out.type, MESSAGE_NONE);
}
END_TEST

START_TEST(test_order)
{
    handshake_pair_t p;
    handshake_result_t r;
    message_t out;
    run_case(&valid_case, &p, &r, &r);
    ck_assert_int_eq(handshake_process(&p.acceptor, &p.dialer_hello, &out),
                     HANDSHAKE_UNEXPECTED_MESSAGE);
    ck_assert_int_eq(handshake_process(&p.dialer, &p.challenge, &out),
                     HANDSHAKE_UNEXPECTED_MESSAGE);
    auth_key_t right = RIGHT;
    handshake_t acceptor;
    handshake_accept(&acceptor, &bob, right, nonce_b, &out);
    ck_assert_int_eq(handshake_process(&acceptor, &p.challenge, &out),
                     HANDSHAKE_UNEXPECTED_MESSAGE);
    handshake_t dialer;
    handshake_dial(&dialer, &alice, right, nonce_a, "b1", 0);
    ck_assert_int_eq(handshake_process(&dialer, &p.acceptor_hello, &out),
                     HANDSHAKE_UNEXPECTED_MESSAGE);
}
END_TEST

/* Replayed, dropped, reordered, changed or reflected frames are refused. */
START_TEST(test_stream)
{
    handshake_pair_t p;
    handshake_result_t r;
    run_case(&valid_case, &p, &r, &r);
    auth_stream_t *send_a;
    auth_stream_t *receive_a;
    auth_stream_t *send_b;
    auth_stream_t *receive_b;
    ck_assert(handshake_streams(&p.dialer, &send_a, &receive_a));
    ck_assert(handshake_streams(&p.acceptor, &send_b, &receive_b));
    uint8_t frame[3] = {1, 2, 3};
    uint8_t mac[3][FRAME_MAC_BYTES];
    for (size_t i = 0; i < 3; i++) {
        ck_assert(auth_stream_sign(send_a, frame, 3, mac[i]));
    }
    ck_assert(!auth_stream_verify(receive_a, frame, 3, mac[0]));
    ck_assert(!auth_stream_verify(receive_b, frame, 3, mac[1]));
    ck_assert(!auth_stream_verify(receive_b, frame, 2, mac[0]));
    frame[0] ^= 1;
    ck_assert(!auth_stream_verify(receive_b, frame, 3, mac[0]));
    frame[0] ^= 1;
    ck_assert(auth_stream_verify(receive_b, frame, 3, mac[0]));
    ck_assert(!auth_stream_verify(receive_b, frame, 3, mac[0]));
    ck_assert(!auth_stream_verify(receive_b, frame, 3, mac[2]));
    ck_assert(auth_stream_verify(receive_b, frame, 3, mac[1]));
    ck_assert(auth_stream_verify(receive_b, frame, 3, mac[2]));
    auth_stream_free(send_a);
    auth_stream_free(receive_a);
    auth_stream_free(send_b);
    auth_stream_free(receive_b);
}
END_TEST

START_TEST(test_backoff)
{
    int64_t top = BACKOFF_BASE_US;
    for (uint32_t failures = 0; failures < 40; failures++) {
        for (uint64_t seed = 0; seed < 50; seed++) {
            int64_t delay = backoff_delay_us(failures, seed);
            ck_assert_int_ge(delay, top / 2);
            ck_assert_int_le(delay, top);
        }
        top = 2 * top < BACKOFF_MAX_US ? 2 * top : BACKOFF_MAX_US;
    }
    ck_assert_int_ne(backoff_delay_us(9, 1), backoff_delay_us(9, 2));
    ck_assert_uint_eq(backoff_next_failures(7, BACKOFF_STABLE_US), 0);
    ck_assert_uint_eq(backoff_next_failures(7, BACKOFF_STABLE_US - 1), 8);
    ck_assert_uint_eq(backoff_next_failures(UINT32_MAX, 0), UINT32_MAX);
}
END_TEST

/*
 * A peer that never answers is dialed at increasing delays, also if the set is
 * replaced meanwhile.
 */
START_TEST(test_dialer)
{
    const peer_address_t peers[] = {
        {.name = "b1", .incarnation = 2, .address = "127.0.0.1", .port = 1},
        {.name = "c1", .incarnation = 3, .address = "127.0.0.1", .port = 2},
    };
    dialer_t dialer;
    dialer_init(&dialer, 5);
    ck_assert(dialer_set_peers(&dialer, peers, 2, 0));
    dialer_connected(&dialer, "c1", 3, NULL);
    dialer_failed(&dialer, &peers[1], 0); /* ignored: it is connected */
    unsigned dials = 0;
    for (int64_t now_us = 0; now_us < 60000000; now_us += 1000) {
        const peer_address_t *peer = dialer_next(&dialer, now_us);
        if (peer == NULL) {
            continue;
        }
        dials++;
        ck_assert_str_eq(peer->name, "b1");
        ck_assert_ptr_null(dialer_next(&dialer, now_us + BACKOFF_MAX_US));
        dialer_failed(&dialer, &peers[0], now_us);
        ck_assert(dialer_set_peers(&dialer, peers, 2, now_us));
        ck_assert_int_gt(dialer_next_due_us(&dialer), now_us);
    }
    ck_assert_uint_ge(dials, 60 / 5);
    ck_assert_uint_le(dials, 60 / 5 * 2 + 8);
    dialer_disconnected(&dialer, "c1", 3, BACKOFF_STABLE_US, 60000000);
    ck_assert_int_le(dialer_next_due_us(&dialer), 60000000 + BACKOFF_BASE_US);
    ck_assert(dialer_set_peers(&dialer, &peers[1], 1, 60000000));
    ck_assert(!dialer_has_daemon(&dialer, "b1", 2));
    ck_assert(!dialer_has_daemon(&dialer, "c1", 4));
    dialer_release(&dialer);
}
END_TEST

typedef struct {
    const char *name;
    const char *answered; /* name of the connected daemon */
    bool dialed;          /* by this daemon; false: by the peer */
    bool busy;
} wildcard_case_t;

static const wildcard_case_t wildcard_cases[] = {
    {"", "b1", true, true},     {"", "b1", false, false},
    {"b1", "b1", true, true},   {"b1", "b1", false, true},
    {"b1", "c1", false, false},
};

/*
 * An entry for any incarnation or for any daemon is busy while the daemon that
 * answered is connected.
 */
START_TEST(test_dialer_wildcard)
{
    const wildcard_case_t *c = &wildcard_cases[_i];
    peer_address_t seeds[] = {
        {.address = "::1", .port = 1},
        {.address = "::1", .port = 2},
    };
    strncpy(seeds[1].name, c->name, NAME_SIZE - 1);
    dialer_t dialer;
    dialer_init(&dialer, 5);
    ck_assert(dialer_set_peers(&dialer, &seeds[1], 1, 0));
    dialer_connected(&dialer, c->answered, 77, c->dialed ? &seeds[1] : NULL);
    ck_assert_int_eq(dialer_next(&dialer, BACKOFF_MAX_US) == NULL, c->busy);
    ck_assert_int_eq(dialer_has_daemon(&dialer, c->answered, 77), c->busy);
    dialer_disconnected(&dialer, c->answered, 77, 0, 0);
    dialer_failed(&dialer, &seeds[1], 0);
    ck_assert_ptr_nonnull(dialer_next(&dialer, BACKOFF_MAX_US));
    /* A named entry replaces an unnamed entry with the same address. */
    seeds[0].port = 2;
    ck_assert(dialer_set_peers(&dialer, seeds, 2, 0));
    ck_assert_uint_eq(dialer.count, c->name[0] == '\0' ? 2 : 1);
    dialer_release(&dialer);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("handshake");
    tcase_add_loop_test(tests, test_handshake, 0, CASES(handshake_cases));
    tcase_add_test(tests, test_tampered);
    tcase_add_test(tests, test_replay_and_reflection);
    tcase_add_test(tests, test_same_name);
    tcase_add_test(tests, test_order);
    tcase_add_test(tests, test_stream);
    tcase_add_test(tests, test_backoff);
    tcase_add_test(tests, test_dialer);
    tcase_add_loop_test(tests, test_dialer_wildcard, 0, CASES(wildcard_cases));
    return suite_run("handshake", tests);
}
