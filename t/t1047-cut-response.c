/*
 * An upstream that stops in the middle of its response and closes the
 * connection: no caller gets a success.
 */
#include "t/lib/suite.h"
#include "t/lib/tier_fixture.h"

#include <stdio.h>
#include <string.h>

#define HEAD                                                                  \
    "HTTP/1.1 200 OK\r\nX-Yuccarun-Answer-Stamp: sig\r\n"                     \
    "X-Yuccarun-Request-Id: %I\r\n"

/* What the upstream sends up to some byte. */
typedef struct {
    const char *name;
    const char *path;
    const char *bytes;
    script_end_t end;
    size_t complete; /* bytes at which the response is whole; 0: all */
} cut_case_t;

static const cut_case_t cut_cases[] = {
    {"a length", "/once/", HEAD "Content-Length: 16\r\n\r\n0123456789abcdef",
     SCRIPT_CLOSE, 0},
    {"a length, reset", "/once/",
     HEAD "Content-Length: 16\r\n\r\n0123456789abcdef", SCRIPT_RESET, 0},
    {"a length, idempotent", "/one/",
     HEAD "Content-Length: 16\r\n\r\n0123456789abcdef", SCRIPT_CLOSE, 0},
    {"a part of a merged answer", "/all/",
     HEAD "Content-Length: 16\r\n\r\n0123456789abcdef", SCRIPT_CLOSE, 0},
    {"chunks", "/once/",
     HEAD
     "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n",
     SCRIPT_CLOSE, 0},
    {"until the close", "/once/", HEAD "Connection: close\r\n\r\n",
     SCRIPT_CLOSE, sizeof(HEAD "Connection: close\r\n\r\n") - 1},
    {"until the close, reset", "/once/", HEAD "Connection: close\r\n\r\n",
     SCRIPT_RESET, SIZE_MAX},
};

/* Send a request; returns the status of the answer. */
static uint32_t
ask(fixture_t *f, caller_t *caller, const char *path, const char *id)
{
    char request[256];
    snprintf(request, sizeof(request),
             "GET %s HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: %s\r\n"
             "X-Yuccarun-Deadline-Ms: 300\r\n\r\n",
             path, id);
    caller_exchange(f, caller, &f->boot.callers_address, request, 600);
    conn_close(&caller->conn);
    return status_of(caller);
}

/* Guards against MIXED: a 200 with an empty or short body, framed as whole,
   after an upstream closed in the middle of the head. */
START_TEST(test_cut_response)
{
    enum { STEP = 7 }; /* every byte is cut by t1002 */
    const cut_case_t *c = &cut_cases[_i];
    char bytes[512];
    size_t size = strlen(c->bytes);
    size_t complete = c->complete == 0 ? size : c->complete;
    for (size_t cut = size % STEP; cut <= size; cut += STEP) {
        fixture_t f;
        caller_t caller;
        if (cut > 0 && c->bytes[cut - 1] == '%') {
            continue; /* a placeholder of the script */
        }
        fixture_init(&f);
        /* On a connection that was used before. */
        ck_assert_uint_eq(ask(&f, &caller, c->path, "first"), 200);
        snprintf(bytes, sizeof(bytes), "%.*s", (int)cut, c->bytes);
        for (int i = 0; i < UPSTREAMS; i++) {
            tier_upstream_set(f.upstreams[i],
                              &(tier_script_t){.bytes = bytes, .end = c->end});
        }
        uint32_t status = ask(&f, &caller, c->path, "second");
        ck_assert_msg(cut >= complete ? status == 200 : status >= 500,
                      "%s, cut after %zu of %zu bytes: %s", c->name, cut, size,
                      caller.text);
        fixture_release(&f);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("cut response");
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, test_cut_response, 0,
                        sizeof(cut_cases) / sizeof(cut_cases[0]));
    return suite_run("cut response", tests);
}
