/* A daemon on loopback sockets with stand-ins for the store and upstreams. */
#include "daemon/clock.h"
#include "edge/event.h"
#include "http/conn.h"
#include "t/lib/suite.h"
#include "t/lib/tier_address.h"
#include "t/lib/tier_fixture.h"
#include "t/lib/tier_store.h"
#include "t/lib/tier_upstream.h"
#include "tier/engine.h"
#include "tier/members.h"
#include "tier/node.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The answer that a caller gets for each behaviour of the upstream of s0. */
typedef struct {
    const char *name;
    const char *path;
    tier_script_t script;
    uint32_t status;
    uint32_t requests_max; /* most requests at the upstream */
} answer_case_t;

static const answer_case_t answer_cases[] = {
    {"good", "/one/", {.bytes = GOOD_RESPONSE}, 200, 1},
    {"good, non-idempotent", "/once/", {.bytes = GOOD_RESPONSE}, 200, 1},
    {"chunked",
     "/one/",
     {.bytes = "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS
               "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n"
               "0\r\n\r\n"},
     200,
     1},
    {"no length, closed",
     "/one/",
     {.bytes = "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS "\r\n0123456789abcdef",
      .end = SCRIPT_CLOSE},
     200,
     1},
    {"no length, reset",
     "/once/",
     {.bytes = "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS "\r\n01234",
      .end = SCRIPT_RESET},
     502,
     1},
    {"truncated body",
     "/once/",
     {.bytes = "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS
               "Content-Length: 16\r\n\r\n0123",
      .end = SCRIPT_CLOSE},
     502,
     1},
    {"closed without a response", "/once/", {.end = SCRIPT_CLOSE}, 502, 1},
    {"idempotent, closed without a response",
     "/one/",
     {.end = SCRIPT_CLOSE},
     502,
     2},
    {"no response", "/once/", {0}, 504, 1},
    {"not HTTP", "/once/", {.bytes = "hello\r\n\r\n"}, 502, 1},
    {"unsigned",
     "/once/",
     {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
     502,
     1},
    {"content encoding",
     "/once/",
     {.bytes = "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS
               "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab"},
     502,
     1},
    {"the response to another request, then this one's",
     "/once/",
     {.bytes = "HTTP/1.1 200 OK\r\nX-Yuccarun-Answer-Stamp: s\r\n"
               "X-Yuccarun-Request-Id: other\r\nContent-Length: "
               "2\r\n\r\nno" GOOD_RESPONSE},
     200,
     1},
    {"the response to another request only",
     "/once/",
     {.bytes = "HTTP/1.1 200 OK\r\nX-Yuccarun-Answer-Stamp: s\r\n"
               "X-Yuccarun-Request-Id: other\r\nContent-Length: 2\r\n\r\nno"},
     504,
     1},
    {"an interim response first",
     "/once/",
     {.bytes = "HTTP/1.1 102 Processing\r\n\r\n" GOOD_RESPONSE},
     200,
     1},
    {"extra bytes after the response",
     "/once/",
     {.bytes = GOOD_RESPONSE "more"},
     200,
     1},
    {"upstream responds 500",
     "/once/",
     {.bytes =
          "HTTP/1.1 500 Oops\r\n" SIGNED_HEADERS "Content-Length: 1\r\n\r\nx"},
     500,
     1},
    {"upstream responds 409",
     "/once/",
     {.bytes = "HTTP/1.1 409 Conflict\r\n" SIGNED_HEADERS
               "Content-Length: 0\r\n\r\n"},
     409,
     1},
    {"not run, and no other upstream",
     "/once/",
     {.bytes = "HTTP/1.1 503 Full\r\nX-Yuccarun-Not-Run: 1\r\n"
               "Content-Length: 0\r\n\r\n"},
     503,
     6},
    {"another upstream has the address",
     "/once/",
     {.bytes = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"},
     503,
     1},
};

START_TEST(test_answer)
{
    const answer_case_t *c = &answer_cases[_i];
    fixture_t f;
    caller_t caller;
    char request[256];
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0], &c->script);
    snprintf(request, sizeof(request),
             "GET %sx?y HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r-1\r\n"
             "X-Yuccarun-Deadline-Ms: %d\r\nX-More: kept\r\n\r\n",
             c->path, CALLER_DEADLINE_MS);
    caller_exchange(&f, &caller, &f.boot.callers_address, request,
                    CALLER_DEADLINE_MS + 200);
    ck_assert_msg(status_of(&caller) == c->status, "%s: %s", c->name,
                  caller.text);
    uint32_t requests = tier_upstream_requests(f.upstreams[0]);
    ck_assert_msg(requests >= 1 && requests <= c->requests_max, "%s: %u",
                  c->name, requests);
    const char *seen = tier_upstream_last(f.upstreams[0]);
    ck_assert_ptr_nonnull(strstr(seen, "x?y HTTP/1.1\r\n"));
    ck_assert_ptr_nonnull(strstr(seen, "X-More: kept\r\n"));
    ck_assert_ptr_nonnull(strstr(seen, "X-Yuccarun-Request-Id: r-1\r\n"));
    ck_assert_ptr_nonnull(strstr(seen, "X-Yuccarun-Expect-Instance: i-0\r\n"));
    bool relayed = c->status != 502 && c->status != 503 && c->status != 504;
    ck_assert_msg((strstr(caller.text, "Answer-Stamp: sig") != NULL) ==
                      relayed,
                  "%s: %s", c->name, caller.text);
    ck_assert_msg((strstr(caller.text, "Retry-After:") != NULL) ==
                      (c->status == 503),
                  "%s: %s", c->name, caller.text);
    ck_assert_msg(c->status != 200 ||
                      strstr(caller.text, "\r\n\r\n0123456789abcdef") != NULL,
                  "%s: %s", c->name, caller.text);
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

/* Invalid requests of callers. */
typedef struct {
    const char *name;
    const char *bytes;
    uint32_t status; /* 0: no answer */
} invalid_case_t;

static const invalid_case_t invalid_cases[] = {
    {"not HTTP", "hello\r\n\r\n", 400},
    {"no request id", "GET /one/ HTTP/1.1\r\nHost: h\r\n\r\n", 400},
    {"no host header",
     "GET /one/ HTTP/1.1\r\nX-Yuccarun-Request-Id: a\r\n\r\n", 400},
    {"two host headers",
     "GET /one/ HTTP/1.1\r\nHost: h\r\nHost: g\r\n"
     "X-Yuccarun-Request-Id: a\r\n\r\n",
     400},
    {"content length and chunked",
     "POST /one/ HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: a\r\n"
     "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     400},
    {"no route", REQUEST("/none/", "a"), 404},
    {"body too long",
     "POST /one/ HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: a\r\n"
     "Content-Length: 1001\r\n\r\n",
     413},
    {"incomplete head", "GET /one/ HTTP/1.1\r\nHos", 408},
};

START_TEST(test_bad_request)
{
    const invalid_case_t *c = &invalid_cases[_i];
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    caller_exchange(&f, &caller, &f.boot.callers_address, c->bytes, 1500);
    ck_assert_msg(status_of(&caller) == c->status, "%s: %s", c->name,
                  caller.text);
    ck_assert_uint_eq(tier_upstream_requests(f.upstreams[0]), 0);
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

/* A merged answer has the top records of all shards and their signatures. */
START_TEST(test_merged_answer)
{
    static const char *const records[] = {
        "aaaaaaaaaaaaaaaa", "cccccccccccccccc", "bbbbbbbbbbbbbbbb"};
    static char bytes[UPSTREAMS][512];
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    for (int i = 0; i < UPSTREAMS; i++) {
        snprintf(bytes[i], sizeof(bytes[i]),
                 "HTTP/1.1 200 OK\r\nX-Yuccarun-Answer-Stamp: sig%d\r\n"
                 "X-Yuccarun-Request-Id: %%I\r\nContent-Length: 18\r\n\r\n"
                 "%sxx",
                 i, records[i]);
        tier_upstream_set(f.upstreams[i], &(tier_script_t){.bytes = bytes[i]});
    }
    caller_exchange(&f, &caller, &f.boot.callers_address,
                    REQUEST("/all/", "r-1"), 900);
    ck_assert_uint_eq(status_of(&caller), 200);
    ck_assert_ptr_nonnull(
        strstr(caller.text, "X-Yuccarun-Missing-Parts: 0\r\n"));
    for (int i = 0; i < UPSTREAMS; i++) {
        char name[16];
        snprintf(name, sizeof(name), "sig%d", i);
        ck_assert_ptr_nonnull(strstr(caller.text, name));
    }
    ck_assert_ptr_nonnull(
        strstr(caller.text, "\r\n\r\nccccccccccccccccbbbbbbbbbbbbbbbb"));
    conn_close(&caller.conn);
    /* With one shard silent, the answer has the others, within the goal. */
    tier_upstream_set(f.upstreams[1], &(tier_script_t){0});
    int64_t begun_us = clock_now_us();
    caller_exchange(&f, &caller, &f.boot.callers_address,
                    REQUEST("/all/", "r-2"), 900);
    ck_assert_int_lt(clock_now_us() - begun_us, 400000);
    ck_assert_uint_eq(status_of(&caller), 200);
    ck_assert_ptr_nonnull(
        strstr(caller.text, "X-Yuccarun-Missing-Parts: 1\r\n"));
    ck_assert_ptr_null(strstr(caller.text, "sig1"));
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

/* Pipelined requests are answered in order. */
START_TEST(test_pipelined_requests)
{
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    caller_open(&f, &caller, &f.boot.callers_address);
    caller_send(&caller, REQUEST("/one/", "r-1") REQUEST("/none/", "r-2")
                             REQUEST("/one/", "r-3"));
    run_ms(&f, 200);
    const char *first = strstr(caller.text, "Request-Id: r-1");
    const char *second = strstr(caller.text, "HTTP/1.1 404");
    const char *third = strstr(caller.text, "Request-Id: r-3");
    ck_assert(first != NULL && second != NULL && third != NULL);
    ck_assert(first < second && second < third);
    ck_assert_uint_eq(tier_upstream_requests(f.upstreams[0]), 2);
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

/* When a caller disconnects, its request to the upstream is cancelled. */
START_TEST(test_caller_disconnects)
{
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0], &(tier_script_t){.bytes = GOOD_RESPONSE,
                                                       .delay_us = 400000});
    caller_open(&f, &caller, &f.boot.callers_address);
    caller_send(&caller,
                _i == 0 ? REQUEST("/one/", "r-1") : REQUEST("/once/", "r-1"));
    run_ms(&f, 100);
    ck_assert_uint_eq(tier_upstream_requests(f.upstreams[0]), 1);
    conn_close(&caller.conn);
    run_ms(&f, 100);
    ck_assert_uint_eq(tier_upstream_disconnects(f.upstreams[0]), 1);
    fixture_release(&f);
}
END_TEST

/*
 * A second response on an idle upstream connection must not be taken for the
 * response to the next request on that connection.
 */
START_TEST(test_late_extra_answer)
{
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0],
                      &(tier_script_t){.bytes = GOOD_RESPONSE,
                                       .later =
                                           "HTTP/1.1 200 OK\r\n"
                                           "X-Yuccarun-Answer-Stamp: s\r\n"
                                           "X-Yuccarun-Request-Id: %I\r\n"
                                           "Content-Length: 5\r\n\r\nextra"});
    for (int i = 0; i < 5; i++) {
        char request[256];
        snprintf(request, sizeof(request),
                 "GET /one/ HTTP/1.1\r\nHost: h\r\n"
                 "X-Yuccarun-Request-Id: r-%d\r\n\r\n",
                 i);
        caller_exchange(&f, &caller, &f.boot.callers_address, request, 500);
        ck_assert_uint_eq(status_of(&caller), 200);
        ck_assert_ptr_null(strstr(caller.text, "extra"));
        conn_close(&caller.conn);
        run_ms(&f, i * 8); /* vary when the extra response arrives */
    }
    fixture_release(&f);
}
END_TEST

/* An unsigned response with trailer fields to the second request of a
   connection. */
typedef struct {
    const char *name;
    const char *path;
    const char *response;
    uint32_t status;
    uint32_t requests;
} unsigned_case_t;

/* The unsigned response has as many headers as this one before the signature.
 */
#define SIGNED_LAST_RESPONSE                                                  \
    "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 06:00:00 GMT\r\n"              \
    "Content-Type: text/plain\r\nX-Yuccarun-Request-Id: %I\r\n"               \
    "Content-Length: 4\r\nX-Yuccarun-Answer-Stamp: sig\r\n\r\ngood"
#define UNSIGNED_RESPONSE(trailer)                                            \
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"                         \
    "X-Yuccarun-Request-Id: %I\r\nTransfer-Encoding: chunked\r\n"             \
    "Connection: keep-alive\r\n\r\n3\r\nbad\r\n0\r\n" trailer "\r\n"

static const unsigned_case_t unsigned_cases[] = {
    {"a trailer field, not idempotent", "/once/",
     UNSIGNED_RESPONSE("T: 1\r\n"), 502, 2},
    {"a trailer field", "/one/", UNSIGNED_RESPONSE("T: 1\r\n"), 502, 3},
    {"several trailer fields", "/once/",
     UNSIGNED_RESPONSE("T: 1\r\nU: 2\r\nV: 3\r\nW: 4\r\n"), 502, 2},
    {"the signature as a trailer field", "/once/",
     UNSIGNED_RESPONSE("X-Yuccarun-Answer-Stamp: sig\r\nT: 1\r\n"), 502, 2},
};

/* Guards against MIXED: an unsigned response passed as a success with the
   signature of the response before it. */
START_TEST(test_unsigned_after_signed)
{
    const unsigned_case_t *c = &unsigned_cases[_i];
    const tier_script_t unsigned_script = {.bytes = c->response};
    fixture_t f;
    caller_t caller;
    char request[256];
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0],
                      &(tier_script_t){.bytes = SIGNED_LAST_RESPONSE});
    for (int i = 1; i <= 2; i++) {
        snprintf(request, sizeof(request),
                 "GET %s HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r-%d"
                 "\r\nX-Yuccarun-Deadline-Ms: 600\r\n\r\n",
                 c->path, i);
        caller_exchange(&f, &caller, &f.boot.callers_address, request,
                        CALLER_DEADLINE_MS + 200);
        conn_close(&caller.conn);
        ck_assert_msg(status_of(&caller) == (i == 1 ? 200 : c->status),
                      "%s: %s", c->name, caller.text);
        tier_upstream_set(f.upstreams[0], &unsigned_script);
    }
    ck_assert_msg(strstr(caller.text, "Answer-Stamp") == NULL &&
                      strstr(caller.text, "bad") == NULL,
                  "%s: %s", c->name, caller.text);
    ck_assert_uint_eq(tier_upstream_requests(f.upstreams[0]), c->requests);
    fixture_release(&f);
}
END_TEST

/* Guards against UNASKED: a trailer field of a request made a header of the
   caller's request before be passed on. */
START_TEST(test_request_with_trailer_field)
{
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    caller_open(&f, &caller, &f.boot.callers_address);
    caller_send(&caller, "GET /one/ HTTP/1.1\r\nHost: h\r\n"
                         "X-Yuccarun-Request-Id: r-1\r\nX-Long: "
                         "0123456789012345678901234567890123456789\r\n"
                         "X-Secret: first\r\n\r\n");
    run_ms(&f, 100);
    caller_send(&caller, "POST /one/ HTTP/1.1\r\nHost: h\r\n"
                         "X-Yuccarun-Request-Id: r-2\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"
                         "2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n");
    run_ms(&f, 100);
    const char *seen = tier_upstream_last(f.upstreams[0]);
    ck_assert_msg(strstr(seen, "Request-Id: r-2\r\n") != NULL &&
                      strstr(seen, "Content-Length: 2\r\n") != NULL &&
                      strstr(seen, "\r\n\r\nok") != NULL,
                  "%s", seen);
    ck_assert_msg(strstr(seen, "X-Sum") == NULL &&
                      strstr(seen, "first") == NULL &&
                      strstr(seen, "X-Long") == NULL,
                  "%s", seen);
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

/* Guards against LOST: one request with the most headers and a trailer field
   ended the daemon, with the requests of all other callers. */
START_TEST(test_request_with_most_headers)
{
    enum { OTHERS = 3, HEADERS = HTTP_HEADERS_MAX - 3 };
    fixture_t f;
    caller_t caller;
    caller_t others[OTHERS];
    char request[2048];
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0], &(tier_script_t){.bytes = GOOD_RESPONSE,
                                                       .delay_us = 200000});
    for (int i = 0; i < OTHERS; i++) {
        snprintf(request, sizeof(request),
                 "GET /once/ HTTP/1.1\r\nHost: h\r\n"
                 "X-Yuccarun-Request-Id: r-%d\r\n\r\n",
                 i);
        caller_open(&f, &others[i], &f.boot.callers_address);
        caller_send(&others[i], request);
    }
    run_ms(&f, 50);
    int size = snprintf(request, sizeof(request),
                        "POST /none/ HTTP/1.1\r\nHost: h\r\n"
                        "X-Yuccarun-Request-Id: odd\r\n"
                        "Transfer-Encoding: chunked\r\n");
    for (int i = 0; i < HEADERS; i++) {
        size += snprintf(request + size, sizeof(request) - (size_t)size,
                         "X-%d: a\r\n", i);
    }
    snprintf(request + size, sizeof(request) - (size_t)size,
             "\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n");
    caller_exchange(&f, &caller, &f.boot.callers_address, request, 600);
    /* It has no route: the stand-in upstream does not read so many headers. */
    ck_assert_msg(status_of(&caller) == 404, "%s", caller.text);
    conn_close(&caller.conn);
    run_ms(&f, 300);
    for (int i = 0; i < OTHERS; i++) {
        ck_assert_msg(status_of(&others[i]) == 200, "%d: %s", i,
                      others[i].text);
        conn_close(&others[i].conn);
    }
    fixture_release(&f);
}
END_TEST

/* A daemon is ready with the store, and serves the directory and requests
   during an outage. */
START_TEST(test_readiness_and_directory)
{
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    caller_exchange(&f, &caller, &f.boot.readiness_address,
                    "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n", 500);
    ck_assert_uint_eq(status_of(&caller), 200);
    conn_close(&caller.conn);
    tier_store_set_mode(f.store,
                        _i == 0 ? TIER_STORE_UNAVAILABLE : TIER_STORE_SILENT);
    run_ms(&f, 2500);
    caller_exchange(
        &f, &caller, &f.boot.directory_address,
        "GET /-/resolve?name=h&region=r&zone=a HTTP/1.1\r\nHost: h\r\n"
        "\r\n",
        500);
    ck_assert_uint_eq(status_of(&caller), 200);
    ck_assert_ptr_nonnull(strstr(caller.text, "{\"addrs\":[\"127.0.0.1:1\"]"));
    conn_close(&caller.conn);
    caller_exchange(&f, &caller, &f.boot.callers_address,
                    REQUEST("/one/", "r-1"), 900);
    ck_assert_uint_eq(status_of(&caller), 200);
    conn_close(&caller.conn);
    /* After the outage the daemon's record is in the store again. */
    put_config(&f, 2);
    tier_store_set_mode(f.store, TIER_STORE_NORMAL);
    tier_store_remove(f.store, "servers/i-0");
    run_ms(&f, 2000);
    ck_assert_ptr_nonnull(
        tier_store_get(f.store, "yuccarun/fleet/members/front-a-1"));
    fixture_release(&f);
}
END_TEST

/* A daemon lists a prefix again if the store has lost its history. */
START_TEST(test_compacted_history)
{
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    tier_store_set_mode(f.store, TIER_STORE_COMPACTED);
    tier_store_remove(f.store, "servers/i-0");
    run_ms(&f, 1800);
    caller_exchange(&f, &caller, &f.boot.callers_address,
                    REQUEST("/one/", "r-1"), 900);
    ck_assert_uint_eq(status_of(&caller), 503);
    ck_assert_uint_eq(tier_upstream_requests(f.upstreams[0]), 0);
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

/* Start another daemon with the same store; its seed is the first one. */
static node_t *
start_second(fixture_t *f, boot_t *boot, const char *name)
{
    char why[128];
    *boot = f->boot;
    snprintf(boot->daemon_name, sizeof(boot->daemon_name), "%s", name);
    boot->callers_address = unique_loopback_address();
    boot->readiness_address = unique_loopback_address();
    boot->directory_address = unique_loopback_address();
    boot->control_address = unique_loopback_address();
    boot->seeds[0] = f->boot.control_address;
    boot->seed_count = 1;
    boot->serves_metrics = false;
    node_t *second = node_start(f->loop, boot, why, sizeof(why));
    ck_assert_msg(second != NULL, "%s", why);
    return second;
}

/* A daemon starts if its metrics port is taken, but not its caller port. */
START_TEST(test_metrics_port_taken)
{
    fixture_t f;
    boot_t boot;
    char why[128];
    fixture_init(&f);
    boot = f.boot;
    boot.callers_address = unique_loopback_address();
    boot.readiness_address = unique_loopback_address();
    boot.directory_address = unique_loopback_address();
    boot.control_address = unique_loopback_address();
    boot.serves_metrics = true;
    struct sockaddr_in taken = boot.callers_address;
    taken.sin_port = htons(9464);
    int fd = listener_open(&taken);
    ck_assert_int_ge(fd, 0);
    node_t *second = node_start(f.loop, &boot, why, sizeof(why));
    ck_assert_msg(second != NULL, "%s", why);
    node_free(second);
    close(fd);
    /* Without the port for callers the start fails. */
    fd = listener_open(&boot.callers_address);
    ck_assert_int_ge(fd, 0);
    ck_assert_ptr_null(node_start(f.loop, &boot, why, sizeof(why)));
    ck_assert_ptr_nonnull(strstr(why, "callers"));
    close(fd);
    fixture_release(&f);
}
END_TEST

/* A daemon that starts while the store is unreachable learns from a peer. */
START_TEST(test_start_without_store)
{
    fixture_t f;
    boot_t boot;
    caller_t caller;
    fixture_init(&f);
    tier_store_set_mode(f.store,
                        _i == 0 ? TIER_STORE_SILENT : TIER_STORE_UNAVAILABLE);
    node_t *second = start_second(&f, &boot, "front-b-1");
    caller_exchange(&f, &caller, &boot.callers_address,
                    REQUEST("/one/", "r-1"), 200);
    ck_assert_uint_eq(status_of(&caller), 503); /* no configuration yet */
    conn_close(&caller.conn);
    run_ms(&f, 1500);
    caller_exchange(&f, &caller, &boot.callers_address,
                    REQUEST("/one/", "r-2"), 900);
    ck_assert_uint_eq(status_of(&caller), 200);
    conn_close(&caller.conn);
    caller_exchange(&f, &caller, &boot.directory_address,
                    "GET /-/resolve?name=h HTTP/1.1\r\nHost: h\r\n\r\n", 500);
    ck_assert_ptr_nonnull(strstr(caller.text, "\"127.0.0.1:1\""));
    conn_close(&caller.conn);
    node_free(second);
    fixture_release(&f);
}
END_TEST

/* Each prefix is listed only once at a start. */
START_TEST(test_reads_at_start)
{
    fixture_t f;
    fixture_start(&f, _i == 1);
    /* At the fleet's first start, lists wait until all daemons are there. */
    run_ms(&f, _i == 1 ? 600 : 0);
    ck_assert_uint_eq(tier_store_list_calls(f.store, "op/"), 1);
    ck_assert_uint_eq(tier_store_list_calls(f.store, "servers/"), 1);
    ck_assert_uint_eq(tier_store_list_calls(f.store, "yuccarun/fleet/"), 1);
    /* The registry's copy does not exist before the fleet's first start. */
    ck_assert_uint_eq(tier_store_list_calls(f.store, "yuccarun/registry/"),
                      _i == 0 ? 1 : 0);
    fixture_release(&f);
}
END_TEST

/* Whether a daemon's state has that version of the configuration. */
static bool
has_config_version(fixture_t *f, const struct sockaddr_in *control,
                   const char *version)
{
    caller_t caller;
    char field[32];
    snprintf(field, sizeof(field), "\"version\\\":%s,", version);
    caller_exchange(f, &caller, control,
                    "GET /fleet/state HTTP/1.1\r\nHost: h\r\n\r\n", 500);
    bool has = strstr(caller.text, field) != NULL;
    conn_close(&caller.conn);
    return has;
}

/* Start a second daemon that is the strongest member, and so reads the store
   while the first one is a standby. */
static node_t *
start_reader(fixture_t *f, boot_t *boot)
{
    list_other_members(f);
    *boot = f->boot;
    snprintf(boot->daemon_name, sizeof(boot->daemon_name), "front-b-1");
    boot->cpu_share = boot->cores = 1; /* the highest weight */
    boot->callers_address = unique_loopback_address();
    boot->readiness_address = unique_loopback_address();
    boot->directory_address = unique_loopback_address();
    boot->control_address = unique_loopback_address();
    address_text(&boot->control_address, boot->control_address_text,
                 sizeof(boot->control_address_text));
    char why[128];
    node_t *reader = node_start(f->loop, boot, why, sizeof(why));
    ck_assert_msg(reader != NULL, "%s", why);
    return reader;
}

/*
 * A standby learns changes from the daemon that reads the store and does not
 * call the store itself; without that daemon it reads the store again.
 */
START_TEST(test_standby_follows_reader)
{
    fixture_t f;
    boot_t boot;
    caller_t caller;
    fixture_init(&f);
    node_t *reader = start_reader(&f, &boot);
    run_ms(&f, 4500);
    uint32_t operator_reads = tier_store_watch_calls(f.store, "op/");
    uint32_t upstream_reads = tier_store_watch_calls(f.store, "servers/");
    put_config(&f, 2);
    tier_store_put(f.store, "op/evacuate/b", "{}");
    tier_store_remove(f.store, "servers/i-0");
    run_ms(&f, 3900);
    /* Only the reader's calls: two for the version and the zone, and one every
       2 s for the upstreams. */
    ck_assert_uint_le(tier_store_watch_calls(f.store, "op/") - operator_reads,
                      2);
    ck_assert_uint_le(
        tier_store_watch_calls(f.store, "servers/") - upstream_reads, 2);
    caller_exchange(&f, &caller, &f.boot.callers_address,
                    REQUEST("/one/", "r-1"), 900);
    ck_assert_uint_eq(status_of(&caller), 503);
    conn_close(&caller.conn);
    ck_assert(has_config_version(&f, &f.boot.control_address, "2"));
    caller_exchange(&f, &caller, &f.boot.control_address,
                    "GET /fleet/state HTTP/1.1\r\nHost: h\r\n\r\n", 500);
    ck_assert_ptr_nonnull(strstr(caller.text, "\"zones\":[\"b\"]"));
    conn_close(&caller.conn);
    /* Without the reader the standby reads the store itself. */
    node_free(reader);
    put_config(&f, 3);
    run_ms(&f, 4500);
    ck_assert(has_config_version(&f, &f.boot.control_address, "3"));
    fixture_release(&f);
}
END_TEST

/* A daemon that starts in a large fleet lists only the members in the store,
   and gets everything else from a store reader. */
START_TEST(test_start_beside_reader)
{
    fixture_t f;
    boot_t boot;
    boot_t reader_boot;
    caller_t caller;
    char why[128];
    fixture_init(&f);
    node_t *reader = start_reader(&f, &reader_boot);
    run_ms(&f, 1000);
    uint32_t operator_lists = tier_store_list_calls(f.store, "op/");
    uint32_t upstream_lists = tier_store_list_calls(f.store, "servers/");
    node_t *second = start_second(&f, &boot, "front-c-1");
    run_ms(&f, 500);
    ck_assert_uint_eq(tier_store_list_calls(f.store, "op/"), operator_lists);
    ck_assert_uint_eq(tier_store_list_calls(f.store, "servers/"),
                      upstream_lists);
    caller_exchange(&f, &caller, &boot.callers_address,
                    REQUEST("/one/", "r-1"), 900);
    ck_assert_uint_eq(status_of(&caller), 200);
    conn_close(&caller.conn);
    node_free(second);
    /* Without a reader it lists them itself. */
    node_free(reader);
    second = node_start(f.loop, &boot, why, sizeof(why));
    ck_assert_msg(second != NULL, "%s", why);
    run_ms(&f, 1500);
    ck_assert_uint_gt(tier_store_list_calls(f.store, "op/"), operator_lists);
    caller_exchange(&f, &caller, &boot.callers_address,
                    REQUEST("/one/", "r-2"), 900);
    ck_assert_uint_eq(status_of(&caller), 200);
    conn_close(&caller.conn);
    node_free(second);
    fixture_release(&f);
}
END_TEST

enum {
    READERS = 3, /* of a fleet in one zone */
    FILLERS_MAX = 2 * READERS
};

static int fillers[FILLERS_MAX];
static int filler_count;

/* List strong members that are not reached: their queues of new connections
   are full, so that the packets of further ones are dropped. */
static void
list_silent_readers(fixture_t *f, int *listeners, int count)
{
    for (int i = 0; i < count; i++) {
        struct sockaddr_in address = unique_loopback_address();
        char name[32];
        char control[MEMBER_NAME_SIZE];
        listeners[i] = socket(AF_INET, SOCK_STREAM, 0);
        ck_assert_int_eq(
            bind(listeners[i], (struct sockaddr *)&address, sizeof(address)),
            0);
        ck_assert_int_eq(listen(listeners[i], 0), 0);
        for (int n = 0; n < 2; n++) {
            int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            (void)connect(filler, (struct sockaddr *)&address,
                          sizeof(address));
            fillers[filler_count++] = filler;
        }
        snprintf(name, sizeof(name), "front-a-%d", i);
        address_text(&address, control, sizeof(control));
        list_member(f, name, control, 1001); /* the other ones have 1000 */
    }
}

static void
close_all(const int *listeners, int count)
{
    for (int i = 0; i < count; i++) {
        close(listeners[i]);
    }
    while (filler_count > 0) {
        close(fillers[--filler_count]);
    }
}

/*
 * All daemons were restarted: the readers are listed, but do not respond yet.
 * A daemon that serves reads the store itself, for its callers are there.
 */
START_TEST(test_serving_start_without_reader)
{
    fixture_t f;
    boot_t boot;
    caller_t caller;
    char why[128];
    fixture_init(&f);
    list_other_members(&f);
    boot = f.boot;
    snprintf(boot.daemon_name, sizeof(boot.daemon_name), "front-c-1");
    boot.cpu_share = boot.cores = 1;
    boot.callers_address = unique_loopback_address();
    boot.readiness_address = unique_loopback_address();
    boot.directory_address = unique_loopback_address();
    boot.control_address = unique_loopback_address();
    int listeners[READERS];
    list_silent_readers(&f, listeners, READERS);
    node_t *node = node_start(f.loop, &boot, why, sizeof(why));
    ck_assert_msg(node != NULL, "%s", why);
    run_ms(&f, 300);
    caller_exchange(&f, &caller, &boot.callers_address,
                    REQUEST("/one/", "r-1"), 200);
    ck_assert_uint_eq(status_of(&caller), 200);
    conn_close(&caller.conn);
    node_free(node);
    close_all(listeners, READERS);
    fixture_release(&f);
}
END_TEST

/* The same for a daemon on standby: it finds a reader that responds before it
   calls the store itself. */
START_TEST(test_standby_start_beside_silent_reader)
{
    fixture_t f;
    boot_t boot;
    boot_t reader_boot;
    caller_t caller;
    fixture_init(&f);
    node_t *reader = start_reader(&f, &reader_boot);
    run_ms(&f, 1000);
    int listeners[READERS];
    list_silent_readers(&f, listeners, 1);
    run_ms(&f, 2500);
    uint32_t lists = tier_store_list_calls(f.store, "op/");
    node_t *second = start_second(&f, &boot, "front-c-1");
    run_ms(&f, 900);
    ck_assert_uint_eq(tier_store_list_calls(f.store, "op/"), lists);
    caller_exchange(&f, &caller, &boot.callers_address,
                    REQUEST("/one/", "r-1"), 900);
    ck_assert_uint_eq(status_of(&caller), 200);
    conn_close(&caller.conn);
    node_free(second);
    node_free(reader);
    close_all(listeners, 1);
    fixture_release(&f);
}
END_TEST

/* A weak VM of a large fleet has a longer lease than one that serves, until
   the strong ones are gone. */
START_TEST(test_lease_by_role)
{
    static const char key[] = "yuccarun/fleet/members/front-c-1";
    fixture_t f;
    boot_t boot;
    boot_t reader_boot;
    fixture_init(&f);
    node_t *reader = start_reader(&f, &reader_boot);
    run_ms(&f, 1000);
    ck_assert_int_eq(
        tier_store_lease_ttl_ms(f.store, "yuccarun/fleet/members/front-b-1"),
        4000);
    node_t *weak = start_second(&f, &boot, "front-c-1");
    run_ms(&f, 500);
    ck_assert_int_eq(tier_store_lease_ttl_ms(f.store, key), 12000);
    /* The others leave: the fleet is small, and all its daemons serve. */
    for (int i = 0; i < 20; i++) {
        char name[64];
        snprintf(name, sizeof(name), "yuccarun/fleet/members/front-x-%d", i);
        tier_store_remove(f.store, name);
    }
    run_ms(&f, 4000);
    ck_assert_int_eq(tier_store_lease_ttl_ms(f.store, key), 4000);
    run_ms(&f, 4500);
    ck_assert_ptr_nonnull(tier_store_get(f.store, key));
    node_free(weak);
    node_free(reader);
    fixture_release(&f);
}
END_TEST

/* A standby hears of suspected requests from the store reader, and counts each
   report once. */
START_TEST(test_suspects_from_reader)
{
    static const call_t suspected = {
        .host = "h", .method = "GET", .target = "/one/", .body = ""};
    fixture_t f;
    boot_t boot;
    caller_t caller;
    char fingerprint[32];
    fixture_init(&f);
    node_t *reader = start_reader(&f, &boot);
    snprintf(fingerprint, sizeof(fingerprint), "%llx",
             (unsigned long long)call_fingerprint(&suspected));
    tier_store_put(f.store, "yuccarun/fleet/suspects/front-x-1/0",
                   fingerprint);
    run_ms(&f, 4500);
    /* The prefix is listed again. */
    tier_store_set_mode(f.store, TIER_STORE_COMPACTED);
    run_ms(&f, 3000);
    tier_store_set_mode(f.store, TIER_STORE_NORMAL);
    run_ms(&f, 2500);
    caller_exchange(&f, &caller, &f.boot.callers_address,
                    REQUEST("/one/", "r-1"), 900);
    ck_assert_uint_eq(status_of(&caller), 200);
    conn_close(&caller.conn);
    /* The success has cleared the suspicion: two more reports. */
    tier_store_put(f.store, "yuccarun/fleet/suspects/front-x-2/0",
                   fingerprint);
    tier_store_put(f.store, "yuccarun/fleet/suspects/front-x-3/0",
                   fingerprint);
    run_ms(&f, 4500);
    caller_exchange(&f, &caller, &f.boot.callers_address,
                    REQUEST("/one/", "r-2"), 900);
    ck_assert_uint_eq(status_of(&caller), 503);
    conn_close(&caller.conn);
    node_free(reader);
    fixture_release(&f);
}
END_TEST

/*
 * After an outage a standby must reach the store by itself even if the peer
 * that it polls never does: two standbys may each take the other for the
 * daemon that reads the store.
 */
START_TEST(test_standby_without_reader)
{
    fixture_t f;
    char control[64];
    static const tier_script_t nothing = {
        .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"
                 "{\"age_us\":0}",
    };
    struct sockaddr_in address = unique_loopback_address();
    fixture_init(&f);
    tier_upstream_server_t *peer =
        tier_upstream_new(f.loop, &address, &nothing);
    list_other_members(&f);
    list_member(&f, "front-r",
                address_text(&address, control, sizeof(control)), 999);
    run_ms(&f, 4000);
    ck_assert_uint_gt(tier_upstream_requests(peer), 0);
    tier_store_set_mode(f.store, TIER_STORE_UNAVAILABLE);
    run_ms(&f, 4500);
    tier_store_set_mode(f.store, TIER_STORE_NORMAL);
    put_config(&f, 2);
    run_ms(&f, 3000);
    ck_assert(has_config_version(&f, &f.boot.control_address, "2"));
    tier_upstream_free(peer);
    fixture_release(&f);
}
END_TEST

/* A version is in force in time although the watch for it gets no response. In
   a small fleet there is no such watch. */
START_TEST(test_lost_watch_answers)
{
    fixture_t f;
    boot_t boot;
    bool large_fleet = _i == 1;
    fixture_init(&f);
    node_t *reader = large_fleet ? start_reader(&f, &boot) : NULL;
    run_ms(&f, 4500);
    ck_assert((tier_store_watch_calls(f.store, "op/") > 0) == large_fleet);
    tier_store_set_mode(f.store, TIER_STORE_WATCHES_LOST);
    put_config(&f, 2);
    run_ms(&f, 2500);
    ck_assert(has_config_version(
        &f, large_fleet ? &boot.control_address : &f.boot.control_address,
        "2"));
    if (large_fleet) {
        node_free(reader);
    }
    fixture_release(&f);
}
END_TEST

/*
 * In a small fleet one poll reads the changes of all prefixes. If the store
 * has lost its history, all prefixes are listed again: the changes that were
 * missed may be the operator's or a member's.
 */
START_TEST(test_compacted_configuration)
{
    fixture_t f;
    fixture_init(&f);
    run_ms(&f, 3500);
    tier_store_set_mode(f.store, TIER_STORE_COMPACTED);
    put_config(&f, 2);
    run_ms(&f, 1800);
    tier_store_set_mode(f.store, TIER_STORE_NORMAL);
    ck_assert(has_config_version(&f, &f.boot.control_address, "2"));
    ck_assert_uint_eq(tier_store_watch_calls(f.store, "op/"), 0);
    fixture_release(&f);
}
END_TEST

#define JSON_ANSWER(length, text)                                             \
    "HTTP/1.1 200 OK\r\nContent-Length: " length "\r\n\r\n" text

/*
 * If a peer's changes do not lead to the peer's state (their digests differ),
 * the full state is requested at once.
 */
START_TEST(test_full_state_request)
{
    /* Revisions 1000 and 1001 of era 1, as kv_revision has them. */
    static const tier_script_t whole = {
        .bytes = JSON_ANSWER("105", "{\"age_us\":0,"
                                    "\"upstreams_revision\":17592186045416,"
                                    "\"upstreams\":{\"rows\":[],\"gone\":[],"
                                    "\"since\":0,\"digest\":\"0\"}}")};
    static const tier_script_t changes = {
        .bytes =
            JSON_ANSWER("118", "{\"age_us\":0,"
                               "\"upstreams_revision\":17592186045417,"
                               "\"upstreams\":{\"rows\":[],\"gone\":[],"
                               "\"since\":17592186045416,\"digest\":\"1\"}}")};
    fixture_t f;
    char control[64];
    struct sockaddr_in address = unique_loopback_address();
    fixture_init(&f);
    tier_upstream_server_t *peer = tier_upstream_new(f.loop, &address, &whole);
    list_other_members(&f);
    list_member(&f, "front-r",
                address_text(&address, control, sizeof(control)), 999);
    run_ms(&f, 4000);
    uint32_t asked = tier_upstream_requests(peer);
    ck_assert_uint_gt(asked, 0);
    ck_assert_ptr_nonnull(
        strstr(tier_upstream_last(peer), "upstreams_since=1000000003e8&"));
    tier_upstream_set(peer, &changes);
    while (tier_upstream_requests(peer) == asked) {
        run_ms(&f, 10);
    }
    run_ms(&f, 300);
    ck_assert_uint_eq(tier_upstream_requests(peer), asked + 2);
    ck_assert_ptr_nonnull(
        strstr(tier_upstream_last(peer), "upstreams_since=0&"));
    /* That is no restoration of the store. */
    ck_assert_uint_eq(event_count(EVENT_STORE_RESTORED), 0);
    tier_upstream_free(peer);
    fixture_release(&f);
}
END_TEST

/*
 * An upstream whose entry expired before a daemon started is used for two
 * seconds after the start, because the registry's copy has it.
 */
START_TEST(test_start_with_expired_entries)
{
    fixture_t f;
    boot_t boot;
    caller_t caller;
    fixture_init(&f);
    run_ms(&f, 600);
    ck_assert_ptr_nonnull(
        tier_store_get(f.store, "yuccarun/registry/upstreams"));
    tier_store_remove(f.store, "servers/i-0");
    node_t *second = start_second(&f, &boot, "front-b-1");
    run_ms(&f, 300);
    caller_exchange(&f, &caller, &boot.callers_address,
                    REQUEST("/one/", "r-1"), 900);
    ck_assert_uint_eq(status_of(&caller), 200);
    conn_close(&caller.conn);
    run_ms(&f, 2500);
    caller_exchange(&f, &caller, &boot.callers_address,
                    REQUEST("/one/", "r-2"), 900);
    ck_assert_uint_eq(status_of(&caller), 503);
    conn_close(&caller.conn);
    node_free(second);
    fixture_release(&f);
}
END_TEST

/* A shutdown answers the requests in flight and removes the record. */
START_TEST(test_shutdown)
{
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0], &(tier_script_t){.bytes = GOOD_RESPONSE,
                                                       .delay_us = 300000});
    caller_open(&f, &caller, &f.boot.callers_address);
    caller_send(&caller, REQUEST("/one/", "r-1"));
    run_ms(&f, 100);
    ck_assert_ptr_nonnull(
        tier_store_get(f.store, "yuccarun/fleet/members/front-a-1"));
    node_shutdown(f.node);
    caller_t probe;
    caller_exchange(&f, &probe, &f.boot.readiness_address,
                    "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n", 500);
    ck_assert_uint_eq(status_of(&probe), 503);
    conn_close(&probe.conn);
    run_ms(&f, 400);
    ck_assert_uint_eq(status_of(&caller), 200);
    ck_assert_ptr_nonnull(strstr(caller.text, "Connection: close\r\n"));
    ck_assert(caller.ended);
    ck_assert_ptr_null(
        tier_store_get(f.store, "yuccarun/fleet/members/front-a-1"));
    fixture_release(&f);
}
END_TEST

/* A request that is not done when the grace period ends gets an error. */
START_TEST(test_shutdown_unfinished)
{
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0], &(tier_script_t){0});
    node_shutdown(f.node);
    run_ms(&f, 1000);
    caller_exchange(
        &f, &caller, &f.boot.callers_address,
        "GET /once/ HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r\r\n"
        "\r\n",
        1200);
    ck_assert_msg(status_of(&caller) == 504, "%s", caller.text);
    ck_assert_ptr_nonnull(strstr(caller.text, "Connection: close\r\n"));
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

/* A slow body is accepted as long as it makes progress; a slow head is not
   (see invalid_cases). */
START_TEST(test_slow_body)
{
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    caller_open(&f, &caller, &f.boot.callers_address);
    caller_send(&caller, "POST /one/ HTTP/1.1\r\nHost: h\r\n"
                         "X-Yuccarun-Request-Id: r\r\n"
                         "Content-Length: 4\r\n\r\n");
    for (int i = 0; i < 4; i++) {
        run_ms(&f, 200);
        caller_send(&caller, "x");
    }
    run_ms(&f, 100);
    ck_assert_msg(status_of(&caller) == 200, "%s", caller.text);
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

#define LIMITED_RESPONSE(limit)                                               \
    "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS limit                                \
    "Content-Length: 16\r\n\r\n0123456789abcdef"

/* What the only upstream of s0 says of its limit in its first response, and
   whether it gets a second request right after it. */
typedef struct {
    const char *name;
    const char *response;
    uint32_t status; /* of the second request */
    uint32_t requests;
} limit_header_case_t;

static const limit_header_case_t limit_header_cases[] = {
    {"no limit", LIMITED_RESPONSE(""), 200, 2},
    {"none accepted", LIMITED_RESPONSE("Server-Limit: 0\r\n"), 503, 1},
    {"one in ten seconds", LIMITED_RESPONSE("Server-Limit: 0.1\r\n"), 503, 1},
    {"one in ages", LIMITED_RESPONSE("Server-Limit: 1e-300\r\n"), 503, 1},
    {"plenty", LIMITED_RESPONSE("Server-Limit: 100000.5\r\n"), 200, 2},
    {"not a number", LIMITED_RESPONSE("Server-Limit: few\r\n"), 200, 2},
};

START_TEST(test_limit_header)
{
    const limit_header_case_t *c = &limit_header_cases[_i];
    tier_script_t script = {.bytes = c->response};
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0], &script);
    caller_exchange(&f, &caller, &f.boot.callers_address,
                    REQUEST("/one/", "r-1"), CALLER_DEADLINE_MS);
    ck_assert_uint_eq(status_of(&caller), 200);
    conn_close(&caller.conn);
    run_ms(&f, 20);
    int64_t start_us = clock_now_us();
    caller_exchange(&f, &caller, &f.boot.callers_address,
                    REQUEST("/one/", "r-2"), CALLER_DEADLINE_MS);
    int64_t took_us = clock_now_us() - start_us;
    ck_assert_msg(status_of(&caller) == c->status, "%s: %u", c->name,
                  status_of(&caller));
    ck_assert_msg(c->status == 200 || took_us < CALLER_DEADLINE_MS * 500,
                  "%s: refused after %lld us", c->name, (long long)took_us);
    ck_assert_msg(tier_upstream_requests(f.upstreams[0]) == c->requests,
                  "%s: %u requests", c->name,
                  tier_upstream_requests(f.upstreams[0]));
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("node");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_answer, 0,
                        sizeof(answer_cases) / sizeof(answer_cases[0]));
    tcase_add_loop_test(tests, test_bad_request, 0,
                        sizeof(invalid_cases) / sizeof(invalid_cases[0]));
    tcase_add_test(tests, test_merged_answer);
    tcase_add_test(tests, test_pipelined_requests);
    tcase_add_loop_test(tests, test_caller_disconnects, 0, 2);
    tcase_add_test(tests, test_late_extra_answer);
    tcase_add_loop_test(tests, test_unsigned_after_signed, 0,
                        sizeof(unsigned_cases) / sizeof(unsigned_cases[0]));
    tcase_add_test(tests, test_request_with_trailer_field);
    tcase_add_test(tests, test_request_with_most_headers);
    tcase_add_loop_test(tests, test_readiness_and_directory, 0, 2);
    tcase_add_test(tests, test_compacted_history);
    tcase_add_test(tests, test_metrics_port_taken);
    tcase_add_loop_test(tests, test_start_without_store, 0, 2);
    tcase_add_loop_test(tests, test_reads_at_start, 0, 2);
    tcase_add_test(tests, test_standby_follows_reader);
    tcase_add_test(tests, test_start_beside_reader);
    tcase_add_test(tests, test_serving_start_without_reader);
    tcase_add_test(tests, test_standby_start_beside_silent_reader);
    tcase_add_test(tests, test_lease_by_role);
    tcase_add_test(tests, test_suspects_from_reader);
    tcase_add_test(tests, test_standby_without_reader);
    tcase_add_test(tests, test_full_state_request);
    tcase_add_loop_test(tests, test_lost_watch_answers, 0, 2);
    tcase_add_test(tests, test_compacted_configuration);
    tcase_add_test(tests, test_start_with_expired_entries);
    tcase_add_test(tests, test_shutdown);
    tcase_add_test(tests, test_shutdown_unfinished);
    tcase_add_test(tests, test_slow_body);
    tcase_add_loop_test(tests, test_limit_header, 0,
                        sizeof(limit_header_cases) /
                            sizeof(limit_header_cases[0]));
    return suite_run("node", tests);
}
