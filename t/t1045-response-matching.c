/*
 * Responses that arrive late, on a connection on which another request or
 * another send of the same request waits: they must not be taken for the
 * response to it, or a request that must not be repeated runs twice.
 */
#include "daemon/clock.h"
#include "t/lib/suite.h"
#include "t/lib/tier_address.h"
#include "t/lib/tier_fixture.h"
#include "tier/upstream_link.h"

#include <stdio.h>
#include <string.h>

#define REFUSAL(id)                                                           \
    "HTTP/1.1 503 Full\r\n" id                                                \
    "X-Yuccarun-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define OWN_ID "X-Yuccarun-Request-Id: %I\r\n"
#define PREVIOUS_ID "X-Yuccarun-Request-Id: %P\r\n"
#define FAILURE(id)                                                           \
    "HTTP/1.1 500 Oops\r\n" id                                                \
    "X-Yuccarun-Answer-Stamp: sig\r\nContent-Length: 0\r\n\r\n"
#define NO_ID ""

/* The only upstream of a service responds to the first send of a request, and
   once more when the request is sent again; then it responds to that send. */
typedef struct {
    const char *name;
    const char *path;
    const char *first;
    const char *copy;
} resend_case_t;

static const resend_case_t resend_cases[] = {
    {"refused, not idempotent", "/once/", REFUSAL(OWN_ID),
     REFUSAL(PREVIOUS_ID)},
    {"refused, idempotent", "/one/", REFUSAL(OWN_ID), REFUSAL(PREVIOUS_ID)},
    {"refused without an id", "/once/", REFUSAL(NO_ID), REFUSAL(NO_ID)},
    {"failed, idempotent", "/one/", FAILURE(OWN_ID), FAILURE(PREVIOUS_ID)},
};

/* Guards against TWICE: the late copy of a refusal was taken for the response
   to the next send of the same request, which ran twice. */
START_TEST(test_copy_after_resend)
{
    const resend_case_t *c = &resend_cases[_i];
    const tier_script_t first = {.bytes = c->first};
    const tier_script_t second = {
        .early = c->copy, .delay_us = 100000, .bytes = GOOD_RESPONSE};
    fixture_t f;
    caller_t caller;
    char request[256];
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0], &first);
    snprintf(request, sizeof(request),
             "POST %s HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r-1\r\n"
             "X-Yuccarun-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n",
             c->path);
    caller_open(&f, &caller, &f.boot.callers_address);
    caller_send(&caller, request);
    for (int i = 0; i < 500 && tier_upstream_requests(f.upstreams[0]) == 0;
         i++) {
        run_ms(&f, 1);
    }
    tier_upstream_set(f.upstreams[0], &second);
    run_ms(&f, 400);
    ck_assert_msg(status_of(&caller) == 200, "%s: %s", c->name, caller.text);
    ck_assert_msg(tier_upstream_requests(f.upstreams[0]) == 2, "%s: %u sends",
                  c->name, tier_upstream_requests(f.upstreams[0]));
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

#define RESPONSE_WITHOUT_ID                                                   \
    "HTTP/1.1 200 OK\r\nX-Yuccarun-Answer-Stamp: sig\r\n"                     \
    "Content-Length: 2\r\n\r\nok"

/* A response without an id arrives while the second request of a connection
   runs. The first one was answered by a response with an id, or without. */
typedef struct {
    const char *name;
    const char *path;
    const char *first;
    const char *early;
    uint32_t status;
    uint32_t sends; /* of both requests */
} unidentified_case_t;

static const unidentified_case_t unidentified_cases[] = {
    {"refusal, not idempotent", "/once/", GOOD_RESPONSE, REFUSAL(NO_ID), 502,
     2},
    {"refusal, idempotent", "/one/", GOOD_RESPONSE, REFUSAL(NO_ID), 200, 3},
    {"success, not idempotent", "/once/", GOOD_RESPONSE, RESPONSE_WITHOUT_ID,
     502, 2},
    {"success, idempotent", "/one/", GOOD_RESPONSE, RESPONSE_WITHOUT_ID, 200,
     3},
    {"refusal, upstream sends no ids", "/once/", RESPONSE_WITHOUT_ID,
     REFUSAL(NO_ID), 200, 2},
};

/* Guards against TWICE and MIXED: a response without an id was taken for the
   response to whichever request waited on the connection. */
START_TEST(test_unidentified_response)
{
    const unidentified_case_t *c = &unidentified_cases[_i];
    const tier_script_t first = {.bytes = c->first};
    const tier_script_t second = {
        .early = c->early, .delay_us = 50000, .bytes = GOOD_RESPONSE};
    fixture_t f;
    caller_t caller;
    char request[256];
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0], &first);
    for (int i = 1; i <= 2; i++) {
        snprintf(request, sizeof(request),
                 "GET %s HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r-%d"
                 "\r\nX-Yuccarun-Deadline-Ms: 1500\r\n\r\n",
                 c->path, i);
        caller_exchange(&f, &caller, &f.boot.callers_address, request, 600);
        conn_close(&caller.conn);
        ck_assert_msg(i == 2 || status_of(&caller) == 200, "%s: %s", c->name,
                      caller.text);
        tier_upstream_set(f.upstreams[0], &second);
    }
    ck_assert_msg(status_of(&caller) == c->status, "%s: %s", c->name,
                  caller.text);
    ck_assert_msg(c->status != 200 ||
                      strstr(caller.text, "0123456789abcdef") != NULL,
                  "%s: %s", c->name, caller.text);
    ck_assert_msg(tier_upstream_requests(f.upstreams[0]) == c->sends,
                  "%s: %u sends", c->name,
                  tier_upstream_requests(f.upstreams[0]));
    fixture_release(&f);
}
END_TEST

/* Connections without an engine: counts the replies. */
typedef struct {
    uint32_t replies;
    upstream_links_t *links;
    attempt_t *resent; /* sent from within the next report; NULL: none */
    uint32_t status;   /* of the latest response, read after that */
} link_owner_t;

static void
note_reply(void *owner, attempt_t *attempt, const reply_t *reply,
           int64_t now_us)
{
    link_owner_t *links_owner = owner;
    attempt_t *resent = links_owner->resent;
    (void)attempt;
    links_owner->replies++;
    links_owner->resent = NULL;
    if (resent != NULL) {
        ck_assert(upstream_links_send(links_owner->links, resent, now_us));
    }
    links_owner->status = reply->message != NULL ? reply->message->status : 0;
}

static void
ignore_connect(void *owner, const instance_t *instance, bool probe,
               bool connected, int64_t now_us)
{
    (void)owner;
    (void)instance;
    (void)probe;
    (void)connected;
    (void)now_us;
}

static const upstream_links_ops_t link_ops = {
    .replied = note_reply,
    .connect_ended = ignore_connect,
};

/* Send a request and wait for the reply; returns the connections opened so
   far. first_sent_us: of an earlier send of the same request; 0: none. */
static uint64_t
send_request(fixture_t *f, upstream_links_t *links, link_owner_t *owner,
             instance_t *instance, const char *id, int64_t first_sent_us)
{
    char head[128];
    int head_size = snprintf(head, sizeof(head),
                             "Host: h\r\nX-Yuccarun-Request-Id: %s\r\n", id);
    const call_t call = {
        .method = "GET",
        .target = "/x",
        .head = head,
        .head_size = (size_t)head_size,
    };
    attempt_t attempt = {
        .instance = instance,
        .call = &call,
        .first_sent_us = first_sent_us,
        .deadline_us = clock_now_us() + 1000000,
    };
    snprintf(attempt.id, sizeof(attempt.id), "%s", id);
    uint32_t replies = owner->replies;
    ck_assert(upstream_links_send(links, &attempt, clock_now_us()));
    for (int i = 0; i < 500 && owner->replies == replies; i++) {
        run_ms(f, 1);
    }
    ck_assert_uint_eq(owner->replies, replies + 1);
    return upstream_links_stats(links)->opened;
}

/* Guards against TWICE: however many other requests a connection has carried
   in between, a request does not go out on it again. */
START_TEST(test_connection_after_many_requests)
{
    enum { OTHERS = 100 };
    fixture_t f;
    link_owner_t owner = {0};
    char id[32];
    fixture_init(&f);
    instance_t instance = {
        .entry = {.address = *tier_upstream_address(f.upstreams[0])}};
    snprintf(instance.entry.id, sizeof(instance.entry.id), "i-0");
    instance.listed = true;
    upstream_links_t *links = upstream_links_new(f.loop, &link_ops, &owner);
    int64_t first_sent_us = clock_now_us();
    ck_assert_uint_eq(send_request(&f, links, &owner, &instance, "resent", 0),
                      1);
    for (int i = 0; i < OTHERS; i++) {
        snprintf(id, sizeof(id), "other-%d", i);
        ck_assert_uint_eq(send_request(&f, links, &owner, &instance, id, 0),
                          1);
    }
    ck_assert_uint_eq(
        send_request(&f, links, &owner, &instance, "resent", first_sent_us),
        2);
    /* A request that was first sent later is known not to be among them. */
    ck_assert_uint_eq(
        send_request(&f, links, &owner, &instance, "new", clock_now_us()), 2);
    upstream_links_free(links);
    fixture_release(&f);
}
END_TEST

/* Guards against a use after free: a request that was sent again from the
   report of its response closed the connection that holds the response. */
START_TEST(test_resend_from_report)
{
    static const call_t call = {
        .method = "GET",
        .target = "/x",
        .head = "Host: h\r\nX-Yuccarun-Request-Id: r\r\n",
        .head_size = sizeof("Host: h\r\nX-Yuccarun-Request-Id: r\r\n") - 1,
    };
    fixture_t f;
    link_owner_t owner = {0};
    fixture_init(&f);
    instance_t instance = {
        .entry = {.address = *tier_upstream_address(f.upstreams[0])}};
    snprintf(instance.entry.id, sizeof(instance.entry.id), "i-0");
    instance.listed = true;
    owner.links = upstream_links_new(f.loop, &link_ops, &owner);
    attempt_t first = {
        .instance = &instance,
        .call = &call,
        .idempotent = true,
        .deadline_us = clock_now_us() + 1000000,
        .id = "r",
    };
    attempt_t second = first;
    owner.resent = &second;
    ck_assert(upstream_links_send(owner.links, &first, clock_now_us()));
    run_ms(&f, 50);
    ck_assert_uint_eq(owner.replies, 2);
    ck_assert_uint_eq(owner.status, 200);
    ck_assert_uint_eq(upstream_links_stats(owner.links)->opened, 2);
    ck_assert_uint_eq(upstream_links_stats(owner.links)->open, 1);
    upstream_links_free(owner.links);
    fixture_release(&f);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("response matching");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_copy_after_resend, 0,
                        sizeof(resend_cases) / sizeof(resend_cases[0]));
    tcase_add_loop_test(tests, test_unidentified_response, 0,
                        sizeof(unidentified_cases) /
                            sizeof(unidentified_cases[0]));
    tcase_add_test(tests, test_connection_after_many_requests);
    tcase_add_test(tests, test_resend_from_report);
    return suite_run("response matching", tests);
}
