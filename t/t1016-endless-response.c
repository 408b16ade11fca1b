/*
 * Upstreams whose bytes are no answer and do not end until the daemon closes
 * the connection: what callers get, and how much the daemon takes.
 */
#include "daemon/clock.h"
#include "t/lib/suite.h"
#include "t/lib/tier_fixture.h"

#include <malloc.h>
#include <stdio.h>

enum {
    CALLERS = 24,       /* at the same time */
    DEADLINE_MS = 1900, /* less than the route's timeout */
    MS = 1000,
    /* After the callers' deadline: an abandoned request's connection is closed
       within half a second, the bound on work that goes on for nobody. */
    CLOSED_MS = 500,
    /* The smallest VM of the users' deployments has 160 MB; half of it is
       enough for the callers' own requests. */
    MEMORY_MAX = 80 << 20,
};

typedef struct {
    const char *name;
    const char *path; /* /once/: a single upstream, /all/: three of them */
    tier_script_t script;
    bool served; /* the response before the endless bytes is whole */
    uint64_t
        bytes_max; /* that one connection may get rid of; 0: not checked */
} endless_case_t;

/* A socket's buffers take some megabytes beside what the daemon reads. */
#define SOCKET_BYTES (8 << 20)

static const endless_case_t endless_cases[] = {
    {"header lines",
     "/once/",
     {.bytes = "HTTP/1.1 200 OK\r\n", .endless = "X-More: 12345678\r\n"},
     false,
     SOCKET_BYTES},
    {"one header value",
     "/once/",
     {.bytes = "HTTP/1.1 200 OK\r\nX-More: ", .endless = "0123456789"},
     false,
     SOCKET_BYTES},
    {"one header name",
     "/once/",
     {.bytes = "HTTP/1.1 200 OK\r\n", .endless = "XXXXXXXXXX"},
     false,
     SOCKET_BYTES},
    {"status line",
     "/once/",
     {.bytes = "HTTP/1.1 200 ", .endless = "OKOKOKOKOK"},
     false,
     SOCKET_BYTES},
    {"not HTTP",
     "/once/",
     {.bytes = "hello ", .endless = "hello "},
     false,
     SOCKET_BYTES},
    {"empty lines",
     "/once/",
     {.bytes = "\r\n", .endless = "\r\n\r\n"},
     false,
     0},
    {"a body without a length",
     "/all/",
     {.bytes = "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS "\r\n",
      .endless = "0123456789abcdef"},
     false,
     0},
    {"a body with a huge length",
     "/all/",
     {.bytes = "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS
               "Content-Length: 999999999999\r\n\r\n",
      .endless = "0123456789abcdef"},
     false,
     0},
    {"chunks",
     "/all/",
     {.bytes = "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS
               "Transfer-Encoding: chunked\r\n\r\n",
      .endless = "10\r\n0123456789abcdef\r\n"},
     false,
     0},
    {"a chunk extension",
     "/once/",
     {.bytes = "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS
               "Transfer-Encoding: chunked\r\n\r\n10;a=",
      .endless = "0123456789"},
     false,
     0},
    {"trailers",
     "/once/",
     {.bytes = "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS
               "Transfer-Encoding: chunked\r\n\r\n0\r\n",
      .endless = "X-More: 12345678\r\n"},
     false,
     0},
    {"interim responses",
     "/once/",
     {.bytes = "HTTP/1.1 102 Processing\r\n\r\n",
      .endless = "HTTP/1.1 102 Processing\r\n\r\n"},
     false,
     0},
    {"responses to another request",
     "/once/",
     {.bytes = "",
      .endless = "HTTP/1.1 200 OK\r\nX-Yuccarun-Answer-Stamp: s\r\n"
                 "X-Yuccarun-Request-Id: other\r\nContent-Length: "
                 "2\r\n\r\nno"},
     false,
     SOCKET_BYTES},
    {"bytes after a whole response",
     "/once/",
     {.bytes = GOOD_RESPONSE, .endless = "more"},
     true,
     SOCKET_BYTES},
};

static size_t
memory_in_use(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static uint32_t
endless_connections(const fixture_t *f)
{
    uint32_t count = 0;
    for (int i = 0; i < UPSTREAMS; i++) {
        count += tier_upstream_endless(f->upstreams[i]);
    }
    return count;
}

START_TEST(test_endless_response)
{
    static caller_t callers[CALLERS];
    const endless_case_t *c = &endless_cases[_i];
    fixture_t f;
    size_t most = 0;
    fixture_init(&f);
    for (int i = 0; i < UPSTREAMS; i++) {
        tier_upstream_set(f.upstreams[i], &c->script);
    }
    size_t before = memory_in_use();
    int64_t start_us = clock_now_us();
    for (int i = 0; i < CALLERS; i++) {
        char request[256];
        snprintf(request, sizeof(request),
                 "GET %sx HTTP/1.1\r\nHost: h\r\n"
                 "X-Yuccarun-Request-Id: r-%d\r\n"
                 "X-Yuccarun-Deadline-Ms: %d\r\n\r\n",
                 c->path, i, DEADLINE_MS);
        caller_open(&f, &callers[i], &f.boot.callers_address);
        caller_send(&callers[i], request);
    }
    uint32_t answered = 0;
    while (clock_now_us() - start_us <
           (int64_t)(DEADLINE_MS + CLOSED_MS) * MS) {
        run_ms(&f, 5);
        size_t used = memory_in_use();
        most = used > most ? used : most;
        answered = 0;
        for (int i = 0; i < CALLERS; i++) {
            answered += status_of(&callers[i]) != 0 ? 1 : 0;
        }
        if (answered == CALLERS && endless_connections(&f) == 0) {
            break;
        }
    }
    printf("%s: %u answered, memory %zu KB, %llu KB taken, %lld ms\n", c->name,
           answered, (most - before) / 1024,
           (unsigned long long)tier_upstream_endless_bytes(f.upstreams[0]) /
               1024,
           (long long)(clock_now_us() - start_us) / MS);
    ck_assert_uint_eq(answered, CALLERS);
    for (int i = 0; i < CALLERS; i++) {
        uint32_t status = status_of(&callers[i]);
        ck_assert_msg(c->served ? status == 200
                                : status >= 502 && status <= 504,
                      "%s: %u", c->name, status);
        conn_close(&callers[i].conn);
    }
    ck_assert_msg(endless_connections(&f) == 0, "%s: %u connections are open",
                  c->name, endless_connections(&f));
    ck_assert_msg(most - before <= MEMORY_MAX, "%s: %zu KB", c->name,
                  (most - before) / 1024);
    ck_assert_msg(c->bytes_max == 0 ||
                      tier_upstream_endless_bytes(f.upstreams[0]) <=
                          c->bytes_max *
                              (uint64_t)tier_upstream_requests(f.upstreams[0]),
                  "%s: too many bytes were taken", c->name);
    /* The daemon serves on. */
    static const tier_script_t good = {.bytes = GOOD_RESPONSE};
    for (int i = 0; i < UPSTREAMS; i++) {
        tier_upstream_set(f.upstreams[i], &good);
    }
    caller_exchange(&f, &callers[0], &f.boot.callers_address,
                    REQUEST("/one/", "r-last"), CALLER_DEADLINE_MS);
    ck_assert_uint_eq(status_of(&callers[0]), 200);
    conn_close(&callers[0].conn);
    fixture_release(&f);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("endless response");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_endless_response, 0,
                        sizeof(endless_cases) / sizeof(endless_cases[0]));
    return suite_run("endless response", tests);
}
