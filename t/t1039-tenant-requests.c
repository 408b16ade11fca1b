/*
 * Requests with keys at a daemon on loopback sockets: who is refused, and what
 * upstreams receive.
 */
#include "http/conn.h"
#include "t/lib/suite.h"
#include "t/lib/tier_fixture.h"

#include <stdio.h>
#include <string.h>

enum {
    POLLED_MS = 1800, /* by then a daemon has read a change of the store */
    SLOTS_MAX = 3     /* in flight at an upstream: 0.9 of max_conns */
};

#define TENANTS                                                               \
    ",\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"both\"],"          \
    "\"priority\":7},{\"name\":\"t2\",\"api_keys\":[\"k2\",\"both\"],"        \
    "\"priority\":3}]"

/* Write a configuration; tenants: further members of the document. */
static void
put_tenants(fixture_t *f, int version, const char *tenants)
{
    char text[1536];
    snprintf(
        text, sizeof(text),
        "{\"version\":%d,\"routes\":["
        "{\"name\":\"one\",\"host\":\"h\",\"prefix\":\"/one/\",\"type\":"
        "\"idempotent\",\"timeout_ms\":5000,\"goal_ms\":300,\"service\":"
        "\"s0\"},"
        "{\"name\":\"open\",\"host\":\"h\",\"prefix\":\"/open/\",\"type\":"
        "\"idempotent\",\"timeout_ms\":5000,\"service\":\"s0\","
        "\"public\":true},"
        "{\"name\":\"all\",\"host\":\"h\",\"prefix\":\"/all/\",\"type\":"
        "\"idempotent\",\"timeout_ms\":5000,\"goal_ms\":300,\"gather\":"
        "[\"s0\",\"s1\",\"s2\"],\"top_k\":2}],"
        "\"services\":[{\"name\":\"s0\",\"max_conns\":4}],"
        "\"limits\":{\"idle_timeout_ms\":9000}%s}",
        version, tenants);
    tier_store_put(f->store, "op/config", text);
    run_ms(f, POLLED_MS);
}

static uint32_t
count_of(const char *text, const char *part)
{
    uint32_t count = 0;
    for (const char *at = text; (at = strcasestr(at, part)) != NULL; at++) {
        count++;
    }
    return count;
}

typedef struct {
    const char *name;
    const char *path;
    const char *headers;
    bool relayed; /* sent to the control address, as a peer does */
    uint32_t status;
    const char *tenant; /* that the upstream got; NULL: no such header */
} request_case_t;

#define KEY(key) "X-Yuccarun-Credential: " key "\r\n"
#define NAMED(tenant) "X-Yuccarun-Tenant: " tenant "\r\n"
#define RELAYED(value) "Yuccarun-Relay-Version: " value "\r\n"

static const request_case_t request_cases[] = {
    {"a key", "/one/", KEY("k1"), false, 200, "t1"},
    {"another tenant's key", "/one/", KEY("k2"), false, 200, "t2"},
    {"a forged tenant", "/one/", NAMED("t2") KEY("k1") NAMED("t2"), false, 200,
     "t1"},
    {"names in lower case", "/one/",
     "x-yuccarun-credential: k1\r\nx-yuccarun-tenant: t2\r\n", false, 200,
     "t1"},
    {"both named hop-by-hop", "/one/",
     "Connection: X-Yuccarun-Credential, X-Yuccarun-Tenant\r\n" KEY("k1"),
     false, 200, "t1"},
    {"a fan-out", "/all/", KEY("k1") NAMED("t2"), false, 200, "t1"},
    {"an unknown key", "/one/", KEY("k3"), false, 401, NULL},
    {"the start of a key", "/one/", KEY("k"), false, 401, NULL},
    {"a key and more", "/one/", KEY("k1, k2"), false, 401, NULL},
    {"a tenant's name as key", "/one/", KEY("t1"), false, 401, NULL},
    {"a key of two tenants", "/one/", KEY("both"), false, 401, NULL},
    {"no key", "/one/", "", false, 401, NULL},
    {"an empty key", "/one/", KEY(""), false, 401, NULL},
    {"a tenant without a key", "/one/", NAMED("t1"), false, 401, NULL},
    {"two headers with keys", "/one/", KEY("k1") KEY("k2"), false, 401, NULL},
    {"a public route", "/open/", "", false, 200, NULL},
    {"a public route, with headers", "/open/", KEY("k3") NAMED("t1"), false,
     200, NULL},
    {"no route", "/none/", KEY("k1"), false, 404, NULL},
    {"no route and no key", "/none/", "", false, 401, NULL},
    {"a caller poses as a peer", "/one/", RELAYED("0;tenant=t2"), false, 401,
     NULL},
    {"relayed", "/one/", RELAYED("0;tenant=t2") NAMED("t2"), true, 200, "t2"},
    {"relayed, the tenant is not known here", "/one/",
     RELAYED("0;tenant=t3") NAMED("t3"), true, 401, NULL},
    {"relayed by a build without tenants", "/one/",
     RELAYED("0") KEY("k1") NAMED("t2"), true, 200, "t1"},
    {"relayed by such a build, without a key", "/one/",
     RELAYED("0") NAMED("t2"), true, 401, NULL},
};

static uint32_t
send_case(fixture_t *f, const request_case_t *c)
{
    caller_t caller;
    char request[512];
    snprintf(request, sizeof(request),
             "GET %sx HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r-1\r\n"
             "X-Yuccarun-Deadline-Ms: 900\r\nX-More: kept\r\n%s\r\n",
             c->path, c->headers);
    caller_exchange(f, &caller,
                    c->relayed ? &f->boot.control_address
                               : &f->boot.callers_address,
                    request, 1000);
    conn_close(&caller.conn);
    return status_of(&caller);
}

/* An upstream gets the name of the tenant that holds the key and nothing else,
   and refused requests do not reach it. */
START_TEST(test_requests)
{
    fixture_t f;
    fixture_init(&f);
    put_tenants(&f, 2, TENANTS);
    for (size_t i = 0; i < sizeof(request_cases) / sizeof(request_cases[0]);
         i++) {
        const request_case_t *c = &request_cases[i];
        bool all = strcmp(c->path, "/all/") == 0;
        uint32_t before = tier_upstream_requests(f.upstreams[0]);
        uint32_t status = send_case(&f, c);
        uint32_t sent = tier_upstream_requests(f.upstreams[0]) - before;
        ck_assert_msg(status == c->status, "%s: %u", c->name, status);
        ck_assert_msg((sent > 0) == (status == 200), "%s: %u", c->name, sent);
        for (int j = 0; sent > 0 && j < (all ? UPSTREAMS : 1); j++) {
            const char *seen = tier_upstream_last(f.upstreams[j]);
            char line[64] = "X-More: kept\r\n";
            if (c->tenant != NULL) {
                snprintf(line, sizeof(line), NAMED("%s"), c->tenant);
            }
            ck_assert_msg(count_of(seen, line) == 1, "%s: %s", c->name, seen);
            ck_assert_msg(count_of(seen, "X-Yuccarun-Tenant") ==
                              (c->tenant != NULL ? 1 : 0),
                          "%s: %s", c->name, seen);
            ck_assert_msg(count_of(seen, "Credential") == 0, "%s: %s", c->name,
                          seen);
        }
    }
    fixture_release(&f);
}
END_TEST

/* A configuration without tenants concerns neither header. */
START_TEST(test_without_tenants)
{
    static const request_case_t c = {"",    "/one/", KEY("k9") NAMED("t9"),
                                     false, 200,     "t9"};
    fixture_t f;
    fixture_init(&f);
    ck_assert_uint_eq(send_case(&f, &c), 200);
    const char *seen = tier_upstream_last(f.upstreams[0]);
    ck_assert_uint_eq(count_of(seen, KEY("k9")), 1);
    ck_assert_uint_eq(count_of(seen, NAMED("t9")), 1);
    /* With an empty list, nobody has a key. */
    put_tenants(&f, 2, ",\"tenants\":[]");
    ck_assert_uint_eq(send_case(&f, &c), 401);
    put_tenants(&f, 3, "");
    ck_assert_uint_eq(send_case(&f, &c), 200);
    fixture_release(&f);
}
END_TEST

#define ASK(id, key)                                                          \
    "GET /one/x HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: " id            \
    "\r\n" KEY(key) "\r\n"

/* A key is looked up for each request, not for each connection. */
START_TEST(test_removed_on_open_connection)
{
    fixture_t f;
    caller_t caller;
    fixture_init(&f);
    put_tenants(&f, 2, TENANTS);
    caller_exchange(&f, &caller, &f.boot.callers_address, ASK("r-1", "k1"),
                    900);
    ck_assert_uint_eq(status_of(&caller), 200);
    put_tenants(&f, 3,
                ",\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k2\"]}]");
    ck_assert(!caller.ended);
    caller_send(&caller, ASK("r-2", "k1") ASK("r-3", "k2"));
    run_ms(&f, 100);
    ck_assert_uint_eq(count_of(caller.text, "HTTP/1.1 200"), 2);
    ck_assert_uint_eq(count_of(caller.text, "HTTP/1.1 401"), 1);
    ck_assert_ptr_nonnull(
        strstr(tier_upstream_last(f.upstreams[0]), NAMED("t1")));
    conn_close(&caller.conn);
    fixture_release(&f);
}
END_TEST

/* What the request of key k1 gets that is queued when the change comes. */
typedef struct {
    const char *name;
    const char *before;
    const char *after;
    uint32_t status; /* 0: it stays in the queue */
} change_case_t;

static const change_case_t change_cases[] = {
    {"the key stays", TENANTS, TENANTS, 0},
    {"the key is taken away", TENANTS,
     ",\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k2\"]}]", 401},
    {"the tenant is taken away", TENANTS,
     ",\"tenants\":[{\"name\":\"t2\",\"api_keys\":[\"k2\"]}]", 401},
    {"another tenant gets the key", TENANTS,
     ",\"tenants\":[{\"name\":\"t2\",\"api_keys\":[\"k1\"]}]", 401},
    {"keys are no longer needed", TENANTS, "", 0},
    /* Its head has the key, which upstreams may not get from now on. */
    {"keys are needed from now on", "", TENANTS, 503},
};

/* Of a request that waits, nothing has been sent: it needs a key of the new
   version. Those that run are not concerned. */
START_TEST(test_removed_while_queued)
{
    enum { REQUESTS = 8 };
    const change_case_t *c = &change_cases[_i];
    fixture_t f;
    caller_t callers[REQUESTS];
    uint32_t open = 0;
    uint32_t refused = 0;
    fixture_init(&f);
    put_tenants(&f, 2, c->before);
    tier_upstream_set(f.upstreams[0], &(tier_script_t){0});
    for (int i = 0; i < REQUESTS; i++) {
        caller_open(&f, &callers[i], &f.boot.callers_address);
        caller_send(&callers[i], ASK("r-1", "k1"));
    }
    run_ms(&f, 50);
    put_tenants(&f, 3, c->after);
    for (int i = 0; i < REQUESTS; i++) {
        open += status_of(&callers[i]) == 0 ? 1 : 0;
        refused += c->status != 0 && status_of(&callers[i]) == c->status;
        conn_close(&callers[i].conn);
    }
    ck_assert_msg(open + refused == REQUESTS, "%s: %u open, %u refused",
                  c->name, open, refused);
    ck_assert_msg((refused >= REQUESTS - SLOTS_MAX) == (c->status != 0),
                  "%s: %u refused, %u sent", c->name, refused,
                  tier_upstream_requests(f.upstreams[0]));
    /* Those that have no answer run; none of the others has run. */
    ck_assert_msg(c->status == 0 ||
                      tier_upstream_requests(f.upstreams[0]) == open,
                  "%s: %u open, %u sent", c->name, open,
                  tier_upstream_requests(f.upstreams[0]));
    run_ms(&f, 50); /* the daemon ends the requests */
    fixture_release(&f);
}
END_TEST

/* The tenant's priority decides: the route's is the same. Those of t2, sent
   last, leave the queue before those of t1. */
START_TEST(test_priority)
{
    enum { REQUESTS = 12, LAST = 2 };
    fixture_t f;
    caller_t callers[REQUESTS];
    fixture_init(&f);
    put_tenants(&f, 2, TENANTS);
    tier_upstream_set(f.upstreams[0], &(tier_script_t){.bytes = GOOD_RESPONSE,
                                                       .delay_us = 200000});
    for (int i = 0; i < REQUESTS; i++) {
        caller_open(&f, &callers[i], &f.boot.callers_address);
        caller_send(&callers[i],
                    i < REQUESTS - LAST ? ASK("r-1", "k1") : ASK("r-2", "k2"));
    }
    /* Three rounds of responses, at 200, 400 and 600 ms. */
    run_ms(&f, 700);
    uint32_t answered = 0;
    for (int i = 0; i < REQUESTS; i++) {
        bool is_last = i >= REQUESTS - LAST;
        uint32_t status = status_of(&callers[i]);
        answered += status == 200 ? 1 : 0;
        ck_assert_msg(!is_last || status == 200, "request %d: %u", i, status);
        conn_close(&callers[i].conn);
    }
    ck_assert_uint_le(answered, 3 * SLOTS_MAX);
    run_ms(&f, 50);
    fixture_release(&f);
}
END_TEST

/* A daemon is freed while requests run and wait: it ends them while what they
   refer to is still there (the address sanitizer tells), and frees them. */
START_TEST(test_free_with_open_requests)
{
    enum { REQUESTS = 8 };
    static const char *const texts[] = {
        ASK("r-1", "k1"),
        "GET /all/x HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r-2\r\n" KEY(
            "k1") "\r\n",
    };
    fixture_t f;
    caller_t callers[REQUESTS];
    fixture_init(&f);
    put_tenants(&f, 2, TENANTS);
    for (int i = 0; i < UPSTREAMS; i++) {
        tier_upstream_set(f.upstreams[i], &(tier_script_t){0});
    }
    for (int i = 0; i < REQUESTS; i++) {
        caller_open(&f, &callers[i], &f.boot.callers_address);
        caller_send(&callers[i], texts[_i]);
    }
    run_ms(&f, 50);
    uint32_t sent = tier_upstream_requests(f.upstreams[0]);
    ck_assert_msg(sent > 0 && sent < REQUESTS, "%u sent", sent);
    node_free(f.node);
    f.node = NULL;
    for (int i = 0; i < REQUESTS; i++) {
        ck_assert_uint_eq(status_of(&callers[i]), 0);
        conn_close(&callers[i].conn);
    }
    fixture_release(&f);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("tenant requests");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, test_requests);
    tcase_add_test(tests, test_without_tenants);
    tcase_add_test(tests, test_removed_on_open_connection);
    tcase_add_loop_test(tests, test_removed_while_queued, 0,
                        sizeof(change_cases) / sizeof(change_cases[0]));
    tcase_add_test(tests, test_priority);
    tcase_add_loop_test(tests, test_free_with_open_requests, 0, 2);
    return suite_run("tenant requests", tests);
}
