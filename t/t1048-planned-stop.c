/*
 * What callers get while a daemon stops as planned: requests that come late in
 * its grace period, those that are not done at its end, and answers that the
 * caller reads slowly.
 */
#include "daemon/clock.h"
#include "edge/event.h"
#include "t/lib/suite.h"
#include "t/lib/tier_fixture.h"
#include "tier/relay_link.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    /* With the fixture's grace period of 2,500 ms, requests are taken for half
       of it, and given up 900 ms before its end. */
    LATE_MS = 1100,
    REFUSED_AT_ONCE_MS = 100,
    EARLIER_REQUESTS = 5
};

/* A request LATE_MS after the daemon was told to stop. */
typedef struct {
    const char *name;
    const char *path;
    int64_t delay_us; /* of the upstreams' responses, as in earlier ones */
    uint32_t status;
} late_case_t;

static const late_case_t late_cases[] = {
    {"done in time", "/once/", 50000, 200},
    {"done in time, query", "/all/", 50000, 200},
    {"not idempotent", "/once/", 700000, 503},
    {"idempotent", "/one/", 700000, 503},
    {"query", "/all/", 700000, 503},
};

static void
write_request(char *text, size_t size, const char *path, int number)
{
    snprintf(
        text, size,
        "GET %s HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r-%d\r\n\r\n",
        path, number);
}

static void
set_scripts(fixture_t *f, const tier_script_t *script)
{
    for (int i = 0; i < UPSTREAMS; i++) {
        tier_upstream_set(f->upstreams[i], script);
    }
}

static uint32_t
count_requests(const fixture_t *f)
{
    uint32_t count = 0;
    for (int i = 0; i < UPSTREAMS; i++) {
        count += tier_upstream_requests(f->upstreams[i]);
    }
    return count;
}

/* Guards against LOST: a request that came late in the grace period was passed
   on although it could not be done, and cut at its end. */
START_TEST(test_late_request)
{
    const late_case_t *c = &late_cases[_i];
    const tier_script_t script = {.bytes = GOOD_RESPONSE,
                                  .delay_us = c->delay_us};
    fixture_t f;
    caller_t caller;
    char request[256];
    fixture_init(&f);
    set_scripts(&f, &script);
    for (int i = 0; i < EARLIER_REQUESTS; i++) {
        write_request(request, sizeof(request), c->path, i);
        caller_exchange(&f, &caller, &f.boot.callers_address, request, 1900);
        ck_assert_msg(status_of(&caller) == 200, "%s: %s", c->name,
                      caller.text);
        conn_close(&caller.conn);
    }
    node_shutdown(f.node);
    run_ms(&f, LATE_MS);
    uint32_t before = count_requests(&f);
    int64_t sent_us = clock_now_us();
    write_request(request, sizeof(request), c->path, EARLIER_REQUESTS);
    caller_exchange(&f, &caller, &f.boot.callers_address, request, 1000);
    int64_t took_us = clock_now_us() - sent_us;
    ck_assert_msg(status_of(&caller) == c->status, "%s: %s", c->name,
                  caller.text);
    ck_assert_msg(strstr(caller.text, "Connection: close\r\n") != NULL, "%s",
                  caller.text);
    if (c->status == 503) {
        ck_assert_msg(count_requests(&f) == before, "%s: passed on", c->name);
        ck_assert_msg(strstr(caller.text, "Retry-After:") != NULL, "%s",
                      caller.text);
        ck_assert_msg(took_us < REFUSED_AT_ONCE_MS * 1000,
                      "%s: refused after %lld us", c->name,
                      (long long)took_us);
    }
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

/* Guards against LOST: requests that are not done at the end of the grace
   period got no answer. */
START_TEST(test_unfinished_requests)
{
    enum { CALLERS = 24 };
    static const char *const paths[] = {"/once/", "/one/", "/all/"};
    static caller_t callers[CALLERS];
    fixture_t f;
    char request[256];
    uint64_t stops = event_count(EVENT_STOPPED);
    fixture_init(&f);
    set_scripts(&f, &(tier_script_t){0});
    node_shutdown(f.node);
    for (int i = 0; i < CALLERS; i++) {
        write_request(request, sizeof(request), paths[i % 3], i);
        caller_open(&f, &callers[i], &f.boot.callers_address);
        caller_send(&callers[i], request);
        run_ms(&f, LATE_MS / CALLERS);
    }
    for (int i = 0; i < 100 && event_count(EVENT_STOPPED) == stops; i++) {
        run_ms(&f, 20);
    }
    ck_assert_uint_gt(event_count(EVENT_STOPPED), stops);
    run_ms(&f, 50);
    for (int i = 0; i < CALLERS; i++) {
        ck_assert_msg(status_of(&callers[i]) >= 500 &&
                          strstr(callers[i].text, "\r\n\r\n") != NULL,
                      "%s: %s", paths[i % 3], callers[i].text);
        conn_close(&callers[i].conn);
    }
    fixture_release(&f);
}
END_TEST

/* A caller of the daemon, or a peer that relays a caller's request. */
typedef struct {
    const char *name;
    bool relayed;
} reader_case_t;

static const reader_case_t reader_cases[] = {
    {"a caller", false},
    {"a peer", true},
};

/* Read what has come, `size` bytes at most; returns how many. */
static size_t
read_some(int fd, char *text, size_t size)
{
    ssize_t count = recv(fd, text, size, MSG_DONTWAIT);
    return count > 0 ? (size_t)count : 0;
}

/* Guards against LOST and MIXED: a large answer was cut because the daemon
   ended while its peer still read it. */
START_TEST(test_slow_reader)
{
    enum {
        BODY_BYTES = 14 << 20,
        READ_BYTES = 1 << 20,
        /* Not done after the 3 s for which requests are taken, even if the
           kernel holds 4 MB, and done before the grace period ends. */
        READ_BYTES_PER_MS = 3000,
        GRACE_US = 6000000
    };
    const reader_case_t *c = &reader_cases[_i];
    static char block[READ_BYTES];
    fixture_t f;
    char head[256];
    char request[512];
    int small = 262144;
    uint64_t stops = event_count(EVENT_STOPPED);
    fixture_init(&f);
    boot_t boot = f.boot;
    boot.grace_us = GRACE_US;
    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nX-Yuccarun-Answer-Stamp: sig\r\n"
             "Content-Length: %d\r\n\r\n",
             BODY_BYTES);
    tier_upstream_set(
        f.upstreams[0],
        &(tier_script_t){.bytes = head, .endless = "0123456789"});
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small)), 0);
    const struct sockaddr_in *address =
        c->relayed ? &f.boot.control_address : &f.boot.callers_address;
    ck_assert_int_eq(
        connect(fd, (const struct sockaddr *)address, sizeof(*address)), 0);
    int length = snprintf(request, sizeof(request),
                          "GET /one/ HTTP/1.1\r\nHost: h\r\n"
                          "X-Yuccarun-Request-Id: r-1\r\n%s\r\n",
                          c->relayed ? HEADER_RELAY_VERSION ": 1\r\n" : "");
    ck_assert_int_eq((int)send(fd, request, (size_t)length, 0), length);
    size_t received = 0;
    for (int i = 0; i < 200 && received == 0; i++) {
        run_ms(&f, 10);
        received = read_some(fd, block, sizeof(block));
    }
    ck_assert_msg(strncmp(block, "HTTP/1.1 200", 12) == 0, "%s: %.40s",
                  c->name, block);
    node_reload(f.node, &boot);
    node_shutdown(f.node);
    int64_t start_us = clock_now_us();
    while (received < BODY_BYTES && event_count(EVENT_STOPPED) == stops) {
        run_ms(&f, 10);
        int64_t due = (clock_now_us() - start_us) / 1000 * READ_BYTES_PER_MS -
                      (int64_t)received;
        received += read_some(fd, block,
                              due < 0            ? 0
                              : due < READ_BYTES ? (size_t)due
                                                 : READ_BYTES);
    }
    node_free(f.node); /* as when the process ends */
    f.node = NULL;
    /* What the kernel holds is still sent. */
    for (ssize_t count = 1; count > 0;) {
        count = recv(fd, block, sizeof(block), 0);
        received += count > 0 ? (size_t)count : 0;
    }
    ck_assert_msg(received > BODY_BYTES, "%s: %zu of %d bytes after %lld ms",
                  c->name, received, BODY_BYTES,
                  (long long)(clock_now_us() - start_us) / 1000);
    close(fd);
    fixture_release(&f);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("planned stop");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_slow_reader, 0,
                        sizeof(reader_cases) / sizeof(reader_cases[0]));
    tcase_add_loop_test(tests, test_late_request, 0,
                        sizeof(late_cases) / sizeof(late_cases[0]));
    tcase_add_test(tests, test_unfinished_requests);
    return suite_run("planned stop", tests);
}
