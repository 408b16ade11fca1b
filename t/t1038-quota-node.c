/*
 * Quotas at daemons on loopback sockets: loans, peers that lend nothing, and
 * what a refused caller gets.
 */
#include "edge/event.h"
#include "t/lib/suite.h"
#include "t/lib/tier_address.h"
#include "t/lib/tier_fixture.h"
#include "tier/members.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    CALLS = 110,
    SETTLED_MS = 3300, /* by then a daemon is sure of the members */
    /* T = 0.1 x (1 x 5 + 10) + 200; each of two daemons starts with
       0.8 x T / 2 / 2 tokens and refills 0.25 to 0.5 a second. */
    START_TOKENS = 40,
    REFILL_TOKENS = 6 /* at most, in the time of a test */
};

#define NOT_RUN                                                               \
    "HTTP/1.1 503 Full\r\nX-Yuccarun-Not-Run: 1\r\n"                          \
    "Content-Length: 0\r\n\r\n"

typedef enum { PEER_LENDS, PEER_ANSWERS_404, PEER_GONE, PEER_NONE } peer_t;

typedef struct {
    const char *name;
    peer_t peer;
    const char *upstream; /* its response; NULL: a good one */
    uint32_t rate_per_s;  /* 0: no limit */
    uint32_t least;       /* requests that get 200 */
    uint32_t most;
    uint32_t others; /* status of the rest */
} quota_node_case_t;

static const quota_node_case_t cases[] = {
    {"a peer lends", PEER_LENDS, NULL, 1, 2 * START_TOKENS - 6,
     2 * START_TOKENS + 2 * REFILL_TOKENS, 429},
    {"an older peer", PEER_ANSWERS_404, NULL, 1, START_TOKENS,
     START_TOKENS + REFILL_TOKENS, 429},
    {"a peer that is gone", PEER_GONE, NULL, 1, START_TOKENS,
     START_TOKENS + REFILL_TOKENS, 429},
    {"no peer", PEER_NONE, NULL, 1, 2 * START_TOKENS,
     2 * START_TOKENS + 2 * REFILL_TOKENS, 429},
    {"requests that do not run", PEER_NONE, NOT_RUN, 1, 0, 0, 503},
    {"no limit", PEER_NONE, NULL, 0, CALLS, CALLS, 429},
};

typedef struct {
    fixture_t f; /* with the first daemon */
    node_t *second;
    tier_upstream_server_t *older; /* answers 404 */
} quota_fixture_t;

static void
put_tenants(fixture_t *f, uint32_t rate_per_s)
{
    char text[1024];
    snprintf(text, sizeof(text),
             "{\"version\":2,\"routes\":["
             "{\"name\":\"one\",\"host\":\"h\",\"prefix\":\"/one/\",\"type\":"
             "\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":300,"
             "\"service\":\"s0\"}],\"services\":[],\"limits\":{"
             "\"idle_timeout_ms\":9000,\"max_body_bytes\":100},"
             "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"secret-1\"],"
             "\"rate_per_s\":%u,\"burst\":10}]}",
             rate_per_s);
    tier_store_put(f->store, "op/config", text);
}

static void
put_member(fixture_t *f, const char *name, const struct sockaddr_in *control)
{
    char key[128];
    char record[256];
    char text[64];
    snprintf(key, sizeof(key), "yuccarun/fleet/members/%s", name);
    member_record_write(record, sizeof(record), "127.0.0.1:2",
                        address_text(control, text, sizeof(text)), "a", 1000);
    tier_store_put(f->store, key, record);
}

static void
set_bounds(boot_t *boot)
{
    boot->quota_window_us = 5000000;
    boot->quota_excess = 0.1;
    boot->quota_slack = 200;
}

static void
second_start(quota_fixture_t *q)
{
    char why[128];
    boot_t boot = q->f.boot;
    snprintf(boot.daemon_name, sizeof(boot.daemon_name), "front-a-2");
    boot.callers_address = unique_loopback_address();
    boot.readiness_address = unique_loopback_address();
    boot.directory_address = unique_loopback_address();
    boot.control_address = unique_loopback_address();
    address_text(&boot.control_address, boot.control_address_text,
                 sizeof(boot.control_address_text));
    q->second = node_start(q->f.loop, &boot, why, sizeof(why));
    ck_assert_msg(q->second != NULL, "%s", why);
}

static void
quota_fixture_init(quota_fixture_t *q, const quota_node_case_t *c)
{
    static const tier_script_t not_found = {
        .bytes = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"};
    struct sockaddr_in address = unique_loopback_address();
    *q = (quota_fixture_t){0};
    fixture_init(&q->f);
    set_bounds(&q->f.boot);
    node_reload(q->f.node, &q->f.boot);
    put_tenants(&q->f, c->rate_per_s);
    if (c->peer == PEER_LENDS) {
        second_start(q);
    }
    else if (c->peer != PEER_NONE) {
        put_member(&q->f, "front-a-2", &address);
    }
    if (c->peer == PEER_ANSWERS_404) {
        q->older = tier_upstream_new(q->f.loop, &address, &not_found);
    }
    if (c->upstream != NULL) {
        tier_upstream_set(q->f.upstreams[0],
                          &(tier_script_t){.bytes = c->upstream});
    }
    run_ms(&q->f, SETTLED_MS);
}

static void
quota_fixture_release(quota_fixture_t *q)
{
    if (q->second != NULL) {
        node_free(q->second);
    }
    if (q->older != NULL) {
        tier_upstream_free(q->older);
    }
    fixture_release(&q->f);
}

/* Send a request to the first daemon; returns the status. */
static uint32_t
call(quota_fixture_t *q, uint32_t number, caller_t *caller)
{
    char text[256];
    snprintf(
        text, sizeof(text),
        "GET /one/x HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r-%u\r\n"
        "X-Yuccarun-Deadline-Ms: 600\r\n"
        "X-Yuccarun-Credential: secret-1\r\n\r\n",
        number);
    caller_exchange(&q->f, caller, &q->f.boot.callers_address, text, 900);
    conn_close(&caller->conn);
    return status_of(caller);
}

/* Guards against lending that fails or invents tokens, against peers that stop
   a daemon from using its own part, and against tokens that are lost. */
START_TEST(test_quota)
{
    const quota_node_case_t *c = &cases[_i];
    quota_fixture_t q;
    caller_t caller;
    uint32_t admitted = 0;
    quota_fixture_init(&q, c);
    uint64_t lines = event_count(EVENT_TENANT_AT_LIMIT);
    for (uint32_t i = 0; i < CALLS; i++) {
        uint32_t status = call(&q, i, &caller);
        admitted += status == 200 ? 1 : 0;
        ck_assert_msg(status == 200 || status == c->others, "%s: %s", c->name,
                      caller.text);
        const char *retry = strstr(caller.text, "Retry-After: ");
        ck_assert_msg((retry != NULL) == (status != 200), "%s: %s", c->name,
                      caller.text);
        ck_assert_msg(status != 429 ||
                          (atof(retry + 13) >= 0.15 && atof(retry + 13) <= 10),
                      "%s: %s", c->name, caller.text);
    }
    lines = event_count(EVENT_TENANT_AT_LIMIT) - lines;
    ck_assert_msg(admitted >= c->least && admitted <= c->most, "%s: %u",
                  c->name, admitted);
    ck_assert_msg(c->upstream != NULL ||
                      tier_upstream_requests(q.f.upstreams[0]) == admitted,
                  "%s: %u requests of %u", c->name,
                  tier_upstream_requests(q.f.upstreams[0]), admitted);
    /* The run takes some seconds, with a line in each at most. */
    ck_assert_msg((lines >= 1 && lines <= 8) ==
                      (c->others == 429 && admitted < CALLS),
                  "%s: %u lines", c->name, (uint32_t)lines);
    if (q.older != NULL) {
        const char *seen = tier_upstream_last(q.older);
        ck_assert_uint_ge(tier_upstream_requests(q.older), 1);
        ck_assert_uint_le(tier_upstream_requests(q.older), 3);
        ck_assert_ptr_nonnull(strstr(seen, "POST /fleet/quota HTTP/1.1\r\n"));
        ck_assert_ptr_nonnull(strstr(seen, "\"t1\":"));
        ck_assert_ptr_null(strstr(seen, "secret"));
        ck_assert_ptr_null(strstr(seen, "Relay-Version"));
    }
    quota_fixture_release(&q);
}
END_TEST

/* What the control address answers to a message. */
typedef struct {
    const char *name;
    const char *body;
    uint32_t status;
    const char *part; /* of the answer */
} message_case_t;

static const message_case_t message_cases[] = {
    {"a want", "{\"want\":{\"t1\":2},\"new\":[1]}", 200,
     "\"granted\":{\"t1\":2.0}"},
    {"a request waits", "{\"waiting\":{\"t1\":1.5}}", 200,
     "\"granted\":{\"t1\":1.5}"},
    {"an unknown tenant", "{\"want\":{\"t9\":2}}", 200, "\"granted\":{}"},
    {"not a number", "{\"want\":{\"t1\":\"2\"}}", 200, "\"granted\":{}"},
    {"less than nothing", "{\"want\":{\"t1\":-5}}", 200, "\"granted\":{}"},
    {"no lists", "{\"want\":3,\"serving\":-1}", 200, "\"granted\":{}"},
    {"not JSON", "hello", 400, ""},
    {"empty", "", 400, ""},
};

/* Guards against messages that break the lender. */
START_TEST(test_messages)
{
    quota_fixture_t q;
    caller_t caller;
    char text[512];
    quota_fixture_init(&q, &cases[3]);
    for (size_t i = 0; i < sizeof(message_cases) / sizeof(message_cases[0]);
         i++) {
        const message_case_t *c = &message_cases[i];
        snprintf(text, sizeof(text),
                 "POST /fleet/quota HTTP/1.1\r\nHost: daemon\r\n"
                 "Content-Length: %zu\r\n\r\n%s",
                 strlen(c->body), c->body);
        caller_exchange(&q.f, &caller, &q.f.boot.control_address, text, 900);
        run_ms(&q.f, 20);
        ck_assert_msg(status_of(&caller) == c->status &&
                          strstr(caller.text, c->part) != NULL,
                      "%s: %s", c->name, caller.text);
        conn_close(&caller.conn);
    }
    quota_fixture_release(&q);
}
END_TEST

int
main(void)
{
    TCase *t = tcase_create("quota-node");
    tcase_set_timeout(t, 60);
    tcase_add_loop_test(t, test_quota, 0, sizeof(cases) / sizeof(cases[0]));
    tcase_add_test(t, test_messages);
    return suite_run("quota-node", t);
}
