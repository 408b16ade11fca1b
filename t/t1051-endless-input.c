/*
 * Bytes without end, or more than a daemon can keep, from callers, peers and
 * the store: how much memory the daemon takes. t1016 has those of upstreams.
 */
#include "daemon/clock.h"
#include "t/lib/suite.h"
#include "t/lib/tier_address.h"
#include "t/lib/tier_fixture.h"
#include "tier/relay_link.h"

#include <malloc.h>
#include <stdio.h>

enum {
    CONNECTIONS = 24,
    MS = 1000,
    RUN_MS = 1500,
    PIECE = 64 << 10,
    /* Half of the memory of the smallest VM that the tier is deployed on. */
    MEMORY_MAX = 80 << 20,
    IDLE_MEMORY_MAX = 8 << 20,
    IDLE_CONNECTIONS = 3
};

static size_t
memory_in_use(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void
note_peak(size_t *peak)
{
    size_t used = memory_in_use();
    *peak = used > *peak ? used : *peak;
}

static node_t *
start_another(fixture_t *f, boot_t *boot, const struct sockaddr_in *store)
{
    char why[128];
    *boot = f->boot;
    snprintf(boot->daemon_name, sizeof(boot->daemon_name), "front-b-1");
    boot->callers_address = unique_loopback_address();
    boot->readiness_address = unique_loopback_address();
    boot->directory_address = unique_loopback_address();
    boot->control_address = unique_loopback_address();
    boot->store_address = *store;
    node_t *node = node_start(f->loop, boot, why, sizeof(why));
    ck_assert_msg(node != NULL, "%s", why);
    return node;
}

#define POST(headers)                                                         \
    "POST /one/ HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r\r\n"          \
    "X-Yuccarun-Deadline-Ms: 600\r\n" headers "\r\n"

/* What callers begin with; then each sends the bytes of a body. */
typedef struct {
    const char *name;
    const char *head;
    const char *piece; /* sent again and again */
    bool configured;   /* with room for a body of 8 MB */
} body_case_t;

static const body_case_t body_cases[] = {
    {"a length, no configuration", POST("Content-Length: 999999999\r\n"),
     "0123456789abcdef", false},
    {"chunks, no configuration", POST("Transfer-Encoding: chunked\r\n"),
     "10\r\n0123456789abcdef\r\n", false},
    {"lengths within the limit", POST("Content-Length: 8000000\r\n"),
     "0123456789abcdef", true},
};

static void
configure_large_bodies(fixture_t *f)
{
    tier_store_put(
        f->store, "op/config",
        "{\"version\":9,\"routes\":[{\"name\":\"one\",\"host\":\"h\","
        "\"prefix\":\"/one/\",\"type\":\"idempotent\",\"timeout_ms\":2000,"
        "\"goal_ms\":300,\"service\":\"s0\",\"attempts\":2}],\"services\":[],"
        "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":8000000,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":3000}}");
    run_ms(f, 2000);
}

/* Guards against LOST: bodies of callers that took the daemon's memory,
   without a limit before it had a configuration. */
START_TEST(test_caller_bodies)
{
    const body_case_t *c = &body_cases[_i];
    static caller_t callers[CONNECTIONS];
    fixture_t f;
    boot_t boot;
    char piece[PIECE + 32];
    size_t size = 0;
    while (size < PIECE) {
        size += (size_t)snprintf(piece + size, sizeof(piece) - size, "%s",
                                 c->piece);
    }
    fixture_init(&f);
    if (c->configured) {
        configure_large_bodies(&f);
    }
    else {
        tier_store_set_mode(f.store, TIER_STORE_SILENT);
    }
    node_t *node = start_another(&f, &boot, &f.boot.store_address);
    run_ms(&f, 300);
    size_t before = memory_in_use();
    size_t peak = before;
    for (int i = 0; i < CONNECTIONS; i++) {
        caller_open(&f, &callers[i], &boot.callers_address);
        caller_send(&callers[i], c->head);
    }
    int64_t end_us = clock_now_us() + RUN_MS * MS;
    while (clock_now_us() < end_us) {
        for (int i = 0; i < CONNECTIONS; i++) {
            if (!callers[i].ended && conn_is_flushed(&callers[i].conn)) {
                (void)conn_write(&callers[i].conn, piece, size);
            }
        }
        run_ms(&f, 1);
        note_peak(&peak);
    }
    printf("%s: %zu KB\n", c->name, (peak - before) / 1024);
    ck_assert_msg(peak - before <= MEMORY_MAX, "%s: %zu KB", c->name,
                  (peak - before) / 1024);
    for (int i = 0; i < CONNECTIONS; i++) {
        uint32_t status = status_of(&callers[i]);
        ck_assert_msg(status == 0 || status == 413 || status == 503, "%s: %u",
                      c->name, status);
        conn_close(&callers[i].conn);
    }
    /* The daemon serves on. */
    run_ms(&f, 100);
    caller_exchange(&f, &callers[0], &boot.callers_address,
                    REQUEST("/one/", "r-last"), CALLER_DEADLINE_MS);
    ck_assert_uint_eq(status_of(&callers[0]), c->configured ? 200 : 503);
    conn_close(&callers[0].conn);
    node_free(node);
    fixture_release(&f);
}
END_TEST

static const tier_script_t store_scripts[] = {
    {.bytes = "hello ", .endless = "hello "},
    {.bytes = "HTTP/1.1 200 OK\r\n", .endless = "X-More: 12345678\r\n"},
    {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
     .endless = "{\"items\":[{\"key\":\""},
    {.bytes = "HTTP/1.1 200 OK\r\n\r\n", .endless = "0123456789abcdef"},
    {.bytes = "HTTP/1.1 102 x\r\n\r\n", .endless = "HTTP/1.1 102 x\r\n\r\n"},
};

/* Guards against LOST: answers of the store without end. */
START_TEST(test_store)
{
    fixture_t f;
    boot_t boot;
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0], &store_scripts[_i]);
    size_t before = memory_in_use();
    size_t peak = before;
    node_t *node =
        start_another(&f, &boot, tier_upstream_address(f.upstreams[0]));
    int64_t end_us = clock_now_us() + RUN_MS * MS;
    while (clock_now_us() < end_us) {
        run_ms(&f, 1);
        note_peak(&peak);
    }
    printf("store %d: %zu KB\n", _i, (peak - before) / 1024);
    ck_assert_msg(peak - before <= MEMORY_MAX, "%zu KB",
                  (peak - before) / 1024);
    node_free(node);
    fixture_release(&f);
}
END_TEST

static void
count_end(void *owner, relay_result_t result, const http_message_t *message,
          int64_t now_us)
{
    uint32_t *ends = owner;
    (void)message;
    (void)now_us;
    *ends += result == RELAY_LOST ? 1 : 0;
}

/* Guards against LOST: answers of peers, each within its limit, that took the
   daemon's memory together. */
START_TEST(test_relayed_answers)
{
    static const tier_script_t script = {
        .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n",
        .endless = "0123456789abcdef",
    };
    fixture_t f;
    uint32_t ends = 0;
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0], &script);
    relay_links_t *links = relay_links_new(f.loop);
    size_t before = memory_in_use();
    size_t peak = before;
    int64_t now_us = clock_now_us();
    const relay_request_t request = {
        .address = *tier_upstream_address(f.upstreams[0]),
        .method = "GET",
        .target = "/one/",
        .head = "X-Yuccarun-Request-Id: r\r\n",
        .head_size = sizeof("X-Yuccarun-Request-Id: r\r\n") - 1,
        .deadline_us = now_us + 10 * RUN_MS * MS,
    };
    for (int i = 0; i < CONNECTIONS; i++) {
        ck_assert_ptr_nonnull(
            relay_links_send(links, &request, count_end, &ends, now_us));
    }
    while (clock_now_us() - now_us < RUN_MS * MS) {
        run_ms(&f, 1);
        note_peak(&peak);
    }
    printf("relayed answers: %zu KB, %u lost\n", (peak - before) / 1024, ends);
    ck_assert_msg(peak - before <= MEMORY_MAX, "%zu KB",
                  (peak - before) / 1024);
    relay_links_free(links);
    fixture_release(&f);
}
END_TEST

/* Guards against LOST: idle connections that kept the buffers of their last
   answers. */
START_TEST(test_idle_connections)
{
    static caller_t callers[IDLE_CONNECTIONS];
    static const tier_script_t script = {
        .bytes = "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS
                 "Content-Length: 7000000\r\n\r\n",
        .filler = 7000000,
    };
    fixture_t f;
    fixture_init(&f);
    tier_upstream_set(f.upstreams[0], &script);
    run_ms(&f, 10);
    size_t before = memory_in_use();
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        caller_open(&f, &callers[i], &f.boot.callers_address);
        caller_send(&callers[i], "GET /one/ HTTP/1.1\r\nHost: h\r\n"
                                 "X-Yuccarun-Request-Id: r\r\n"
                                 "X-Yuccarun-Deadline-Ms: 1900\r\n\r\n");
    }
    run_ms(&f, RUN_MS);
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        conn_close(&callers[i].conn);
    }
    ck_assert_uint_eq(tier_upstream_requests(f.upstreams[0]),
                      IDLE_CONNECTIONS);
    run_ms(&f, 10);
    size_t kept = memory_in_use() - before;
    printf("idle connections: %zu KB\n", kept / 1024);
    ck_assert_msg(kept <= IDLE_MEMORY_MAX, "%zu KB", kept / 1024);
    fixture_release(&f);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("endless input");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_caller_bodies, 0,
                        sizeof(body_cases) / sizeof(body_cases[0]));
    tcase_add_loop_test(tests, test_store, 0,
                        sizeof(store_scripts) / sizeof(store_scripts[0]));
    tcase_add_test(tests, test_relayed_answers);
    tcase_add_test(tests, test_idle_connections);
    return suite_run("endless input", tests);
}
