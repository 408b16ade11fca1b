/*
 * Daemons that are cut off from all upstreams: how they notice, and what
 * their callers get.
 */
#include "daemon/clock.h"
#include "platform/names.h"
#include "policy/reach.h"
#include "t/lib/suite.h"
#include "t/lib/tier_address.h"
#include "t/lib/tier_fixture.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    T0 = 100000000,
    MS = 1000,
    /* A daemon must serve its callers again this long after it was cut off, as
       the shortest bound of the users' deployments says. */
    STABLE_MS = 4000,
    POLLED_MS = 2600 /* by then a daemon has read a change of the upstreams */
};

/* What happens at a daemon, at a time in milliseconds. */
typedef enum {
    END,
    SEND,     /* a request that is overdue after 300 ms */
    RESPONSE, /* from any upstream */
    CONNECTED,
    REFUSED, /* a connect to upstream `upstream` has failed */
    PROBE_OK,
    PROBE_FAILED
} happening_t;

typedef struct {
    happening_t what;
    int64_t at_ms;
    uint64_t upstream;
} step_t;

typedef struct {
    const char *name;
    step_t steps[12];
    int64_t checked_ms;
    reach_state_t state;
    bool cut_off;
    uint32_t probes; /* started until then */
} reach_case_t;

static const reach_case_t reach_cases[] = {
    {"no traffic", {{END, 0, 0}}, 5000, REACH_OK, false, 0},
    {"two requests only",
     {{SEND, 0, 0}, {SEND, 10, 0}},
     400,
     REACH_OK,
     false,
     0},
    {"three requests, not overdue",
     {{SEND, 0, 0}, {SEND, 10, 0}, {SEND, 20, 0}},
     290,
     REACH_OK,
     false,
     0},
    {"three requests are overdue",
     {{SEND, 0, 0}, {SEND, 10, 0}, {SEND, 20, 0}},
     310,
     REACH_CHECKING,
     true,
     3},
    {"a response meanwhile",
     {{SEND, 0, 0}, {SEND, 10, 0}, {SEND, 20, 0}, {RESPONSE, 200, 0}},
     400,
     REACH_OK,
     false,
     0},
    {"no probe gets through",
     {{SEND, 0, 0},
      {SEND, 10, 0},
      {SEND, 20, 0},
      {PROBE_FAILED, 400, 0},
      {PROBE_FAILED, 410, 0},
      {PROBE_FAILED, 420, 0}},
     500,
     REACH_CUT,
     true,
     3},
    {"one probe gets through: the upstreams are slow",
     {{SEND, 0, 0},
      {SEND, 10, 0},
      {SEND, 20, 0},
      {PROBE_FAILED, 400, 0},
      {PROBE_OK, 410, 0},
      {PROBE_FAILED, 420, 0}},
     500,
     REACH_OK,
     false,
     3},
    {"a late response while it checks",
     {{SEND, 0, 0}, {SEND, 10, 0}, {SEND, 20, 0}, {RESPONSE, 350, 0}},
     500,
     REACH_OK,
     false,
     3},
    {"cut off, then probed until an upstream accepts",
     {{SEND, 0, 0},
      {SEND, 10, 0},
      {SEND, 20, 0},
      {PROBE_FAILED, 400, 0},
      {PROBE_FAILED, 400, 0},
      {PROBE_FAILED, 400, 0},
      {PROBE_FAILED, 610, 0},
      {PROBE_OK, 810, 0}},
     900,
     REACH_OK,
     false,
     5},
    {"one upstream refuses connects",
     {{REFUSED, 0, 1},
      {REFUSED, 200, 1},
      {REFUSED, 400, 1},
      {REFUSED, 500, 1}},
     600,
     REACH_OK,
     false,
     0},
    {"three upstreams refuse connects: requests go on until it is checked",
     {{REFUSED, 0, 1}, {REFUSED, 10, 2}, {REFUSED, 20, 3}},
     310,
     REACH_CHECKING,
     false,
     3},
    {"three refuse, a fourth accepts",
     {{REFUSED, 0, 1},
      {REFUSED, 10, 2},
      {REFUSED, 20, 3},
      {CONNECTED, 100, 4}},
     400,
     REACH_OK,
     false,
     0},
    {"three refuse, and all probes: responses on old connections go on",
     {{REFUSED, 0, 1},
      {REFUSED, 10, 2},
      {REFUSED, 20, 3},
      {RESPONSE, 305, 0},
      {PROBE_FAILED, 310, 0},
      {PROBE_FAILED, 310, 0},
      {PROBE_FAILED, 310, 0}},
     400,
     REACH_CUT,
     true,
     3},
    {"old requests show nothing",
     {{SEND, 0, 0}, {SEND, 10, 0}, {SEND, 1500, 0}},
     1700,
     REACH_OK,
     false,
     0},
};

static void
take_step(reach_t *reach, const step_t *step, int64_t now_us)
{
    switch (step->what) {
    case SEND:
        reach_note_sent(reach, now_us + 300 * MS, now_us);
        break;
    case RESPONSE:
        reach_note_response(reach, now_us);
        break;
    case CONNECTED:
    case REFUSED:
        reach_note_connect(reach, step->upstream, step->what == CONNECTED,
                           now_us);
        break;
    case PROBE_OK:
    case PROBE_FAILED:
        reach_note_probe(reach, step->what == PROBE_OK, now_us);
        break;
    case END:
        break;
    }
}

START_TEST(test_reach)
{
    const reach_case_t *c = &reach_cases[_i];
    reach_t reach = {0};
    uint32_t probes = 0;
    const step_t *next = c->steps;
    for (int64_t ms = 0; ms <= c->checked_ms; ms += 5) {
        while (next->what != END && next->at_ms <= ms) {
            take_step(&reach, next++, T0 + ms * MS);
        }
        probes += reach_probes_due(&reach, T0 + ms * MS);
    }
    ck_assert_msg(reach.state == c->state, "%s: %d", c->name, reach.state);
    ck_assert_msg(reach_is_cut_off(&reach) == c->cut_off, "%s", c->name);
    ck_assert_msg(probes == c->probes, "%s: %u probes", c->name, probes);
}
END_TEST

/* Two daemons with a store each, so that they can know the upstreams by
   different addresses. Each store lists both daemons. */
typedef struct {
    fixture_t f; /* with the first daemon */
    tier_store_t *store;
    boot_t boot; /* of the second daemon */
    node_t *second;
    struct sockaddr_in hole;
    int hole_fds[8]; /* -1: none */
} pair_t;

static void
put_member(tier_store_t *store, const boot_t *boot)
{
    char key[128];
    char record[256];
    snprintf(key, sizeof(key), "yuccarun/fleet/members/%s", boot->daemon_name);
    snprintf(record, sizeof(record),
             "{\"address\":\"%s\",\"control\":\"%s\",\"zone\":\"%s\","
             "\"weight\":1000}",
             boot->callers_address_text, boot->control_address_text,
             boot->zone);
    tier_store_put(store, key, record);
}

static void
set_address_texts(boot_t *boot)
{
    address_text(&boot->callers_address, boot->callers_address_text,
                 sizeof(boot->callers_address_text));
    address_text(&boot->control_address, boot->control_address_text,
                 sizeof(boot->control_address_text));
}

static void
pair_init(pair_t *p)
{
    char why[128];
    memset(p, 0, sizeof(*p));
    memset(p->hole_fds, -1, sizeof(p->hole_fds));
    fixture_init(&p->f);
    set_address_texts(&p->f.boot);
    p->boot = p->f.boot;
    snprintf(p->boot.daemon_name, sizeof(p->boot.daemon_name), "front-a-2");
    p->boot.callers_address = unique_loopback_address();
    p->boot.readiness_address = unique_loopback_address();
    p->boot.directory_address = unique_loopback_address();
    p->boot.control_address = unique_loopback_address();
    p->boot.store_address = unique_loopback_address();
    set_address_texts(&p->boot);
    p->store = tier_store_new(p->f.loop, &p->boot.store_address);
    tier_store_t *first_store = p->f.store;
    p->f.store = p->store; /* put_config and put_upstream write to it */
    put_config(&p->f, 1);
    static const char *const services[] = {"s0", "s1", "s2"};
    for (int i = 0; i < UPSTREAMS; i++) {
        put_upstream(&p->f, i, tier_upstream_address(p->f.upstreams[i]),
                     services[i], "ready");
    }
    p->f.store = first_store;
    put_member(p->store, &p->f.boot);
    put_member(p->f.store, &p->boot);
    p->second = node_start(p->f.loop, &p->boot, why, sizeof(why));
    ck_assert_msg(p->second != NULL, "%s", why);
    run_ms(&p->f, 1500);
}

static void
pair_release(pair_t *p)
{
    if (p->second != NULL) {
        node_free(p->second);
    }
    for (size_t i = 0; i < sizeof(p->hole_fds) / sizeof(p->hole_fds[0]); i++) {
        if (p->hole_fds[i] >= 0) {
            close(p->hole_fds[i]);
        }
    }
    tier_store_free(p->store);
    fixture_release(&p->f);
}

/* Open an address at which connects hang: a listener whose queue is full. */
static void
open_hole(pair_t *p)
{
    p->hole = unique_loopback_address();
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(
        bind(fd, (const struct sockaddr *)&p->hole, sizeof(p->hole)), 0);
    ck_assert_int_eq(listen(fd, 0), 0);
    p->hole_fds[0] = fd;
    for (size_t i = 1; i < sizeof(p->hole_fds) / sizeof(p->hole_fds[0]); i++) {
        p->hole_fds[i] =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        (void)connect(p->hole_fds[i], (const struct sockaddr *)&p->hole,
                      sizeof(p->hole));
    }
}

/* In one daemon's store, list the upstreams at addresses that hang or refuse
   connections, or at their own. */
static void
list_upstreams(pair_t *p, tier_store_t *store, bool cut, bool hang)
{
    static const char *const services[] = {"s0", "s1", "s2"};
    tier_store_t *first_store = p->f.store;
    if (cut && hang) {
        open_hole(p);
    }
    p->f.store = store;
    for (int i = 0; i < UPSTREAMS; i++) {
        struct sockaddr_in refusing = unique_loopback_address();
        put_upstream(&p->f, i,
                     !cut   ? tier_upstream_address(p->f.upstreams[i])
                     : hang ? &p->hole
                            : &refusing,
                     services[i], "ready");
    }
    p->f.store = first_store;
}

/* Send a request to the first daemon; returns the status, 0 for none. */
static uint32_t
ask(pair_t *p, const char *path, int number, caller_t *caller)
{
    char request[256];
    snprintf(request, sizeof(request),
             "GET %sx HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r-%d\r\n"
             "X-Yuccarun-Deadline-Ms: %d\r\n\r\n",
             path, number, CALLER_DEADLINE_MS);
    caller_exchange(&p->f, caller, &p->f.boot.callers_address, request,
                    CALLER_DEADLINE_MS + 100);
    conn_close(&caller->conn);
    return status_of(caller);
}

/* Requests while the first daemon is cut off, until the bound holds. */
static void
ask_until_stable(pair_t *p)
{
    caller_t caller;
    int64_t until_us = clock_now_us() + STABLE_MS * MS;
    for (int i = 0; clock_now_us() < until_us; i++) {
        (void)ask(p, i % 2 == 0 ? "/all/" : "/one/", i, &caller);
        run_ms(&p->f, 20);
    }
}

typedef struct {
    const char *name;
    const char *path;
    bool hang; /* connects to upstreams; else they are refused */
} partition_case_t;

static const partition_case_t partition_cases[] = {
    {"refused, idempotent", "/one/", false},
    {"refused, not idempotent", "/once/", false},
    {"refused, shards", "/all/", false},
    {"hanging, idempotent", "/one/", true},
    {"hanging, not idempotent", "/once/", true},
    {"hanging, shards", "/all/", true},
};

/* Callers of a daemon that is cut off from all upstreams are served as those
   of a daemon that reaches them. */
START_TEST(test_partitioned_daemon)
{
    enum { REQUESTS = 10 };
    const partition_case_t *c = &partition_cases[_i];
    pair_t p;
    caller_t caller;
    pair_init(&p);
    list_upstreams(&p, p.f.store, true, c->hang);
    run_ms(&p.f, POLLED_MS);
    ask_until_stable(&p);
    uint32_t before = tier_upstream_requests(p.f.upstreams[0]);
    for (int i = 0; i < REQUESTS; i++) {
        uint32_t status = ask(&p, c->path, 1000 + i, &caller);
        ck_assert_msg(status == 200, "%s: request %d: %u", c->name, i, status);
    }
    ck_assert_uint_eq(tier_upstream_requests(p.f.upstreams[0]) - before,
                      REQUESTS);
    ck_assert_ptr_nonnull(strstr(tier_upstream_last(p.f.upstreams[0]),
                                 "X-Yuccarun-Request-Id: r-1009\r\n"));
    /* Back: the daemon serves without the other one. */
    list_upstreams(&p, p.f.store, false, false);
    run_ms(&p.f, POLLED_MS);
    node_free(p.second);
    p.second = NULL;
    ck_assert_uint_eq(ask(&p, c->path, 2000, &caller), 200);
    pair_release(&p);
}
END_TEST

/* A relayed request has the tenant of its key at the upstream, and the key
   stays at the daemon that the caller is connected to. */
START_TEST(test_relayed_tenant)
{
    static const char config[] =
        "{\"version\":2,\"routes\":[{\"name\":\"one\",\"host\":\"h\","
        "\"prefix\":\"/one/\",\"type\":\"idempotent\",\"timeout_ms\":2000,"
        "\"goal_ms\":300,\"service\":\"s0\",\"attempts\":2}],\"tenants\":"
        "[{\"name\":\"t1\",\"api_keys\":[\"k1\"]}]}";
    static const char *const keys[] = {"k1", "k2"};
    static const uint32_t statuses[] = {200, 401};
    pair_t p;
    caller_t caller;
    pair_init(&p);
    list_upstreams(&p, p.f.store, true, false);
    run_ms(&p.f, POLLED_MS);
    ask_until_stable(&p);
    tier_store_put(p.f.store, "op/config", config);
    tier_store_put(p.store, "op/config", config);
    run_ms(&p.f, POLLED_MS);
    uint32_t before = tier_upstream_requests(p.f.upstreams[0]);
    for (int i = 0; i < 2; i++) {
        char request[256];
        snprintf(request, sizeof(request),
                 "GET /one/x HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: "
                 "r-%d\r\n" HEADER_CREDENTIAL ": %s\r\n" HEADER_TENANT
                 ": t9\r\n\r\n",
                 i, keys[i]);
        caller_exchange(&p.f, &caller, &p.f.boot.callers_address, request,
                        CALLER_DEADLINE_MS);
        ck_assert_msg(status_of(&caller) == statuses[i], "%s", caller.text);
        conn_close(&caller.conn);
    }
    const char *seen = tier_upstream_last(p.f.upstreams[0]);
    ck_assert_uint_eq(tier_upstream_requests(p.f.upstreams[0]), before + 1);
    ck_assert_ptr_nonnull(strstr(seen, HEADER_TENANT ": t1\r\n"));
    ck_assert_ptr_null(strstr(seen, "t9"));
    ck_assert_ptr_null(strstr(seen, HEADER_CREDENTIAL));
    ck_assert_ptr_null(strstr(seen, "k1"));
    pair_release(&p);
}
END_TEST

/* A daemon that is cut off refuses relayed requests at once, so that another
   peer can be asked, and does not try its upstreams for them. */
START_TEST(test_cut_off_peer_refuses)
{
    pair_t p;
    caller_t caller;
    pair_init(&p);
    list_upstreams(&p, p.f.store, true, true);
    run_ms(&p.f, POLLED_MS);
    ask_until_stable(&p);
    caller_exchange(&p.f, &caller, &p.f.boot.control_address,
                    "GET /one/x HTTP/1.1\r\nHost: h\r\n"
                    "X-Yuccarun-Request-Id: r-relayed\r\n"
                    "X-Yuccarun-Deadline-Ms: 600\r\n"
                    "Yuccarun-Relay-Version: 0\r\n\r\n",
                    100);
    ck_assert_msg(status_of(&caller) == 503, "%s", caller.text);
    ck_assert_ptr_nonnull(strstr(
        caller.text, "Yuccarun-Relay-Refused: upstreams_unreachable\r\n"));
    conn_close(&caller.conn);
    pair_release(&p);
}
END_TEST

/* Two peers lose the connection when they get a relayed request, or lose their
   upstreams while they handle it. One that must not repeat is not relayed
   again, since the first peer may have run it, and none is said not to have
   run. */
typedef struct {
    const char *name;
    const char *path;
    tier_script_t script; /* of both peers */
    uint32_t relays;
} lost_case_t;

#define LOST_UPSTREAMS                                                        \
    "HTTP/1.1 502 Lost\r\nYuccarun-Relay-Refused: upstreams_unreachable\r\n"  \
    "Content-Length: 0\r\n\r\n"

static const lost_case_t lost_cases[] = {
    {"idempotent", "/one/", {.end = SCRIPT_CLOSE}, 2},
    {"not idempotent", "/once/", {.end = SCRIPT_CLOSE}, 1},
    {"lost upstreams", "/one/", {.bytes = LOST_UPSTREAMS}, 2},
};

START_TEST(test_peer_lost)
{
    enum { PEERS = 2, AVOIDED_MS = 1200 };
    static const tier_script_t refusing = {
        .bytes = "HTTP/1.1 503 Cut\r\n"
                 "Yuccarun-Relay-Refused: upstreams_unreachable\r\n"
                 "Content-Length: 0\r\n\r\n"};
    const lost_case_t *c = &lost_cases[_i];
    tier_upstream_server_t *peers[PEERS];
    uint32_t before = 0;
    uint32_t after = 0;
    pair_t p;
    caller_t caller;
    pair_init(&p);
    tier_store_remove(p.f.store, "yuccarun/fleet/members/front-a-2");
    for (int i = 0; i < PEERS; i++) {
        boot_t boot = p.boot;
        boot.control_address = unique_loopback_address();
        snprintf(boot.daemon_name, sizeof(boot.daemon_name), "front-a-%d",
                 7 + i);
        set_address_texts(&boot);
        peers[i] =
            tier_upstream_new(p.f.loop, &boot.control_address, &refusing);
        put_member(p.f.store, &boot);
    }
    list_upstreams(&p, p.f.store, true, false);
    run_ms(&p.f, POLLED_MS);
    ask_until_stable(&p);
    run_ms(&p.f, AVOIDED_MS);
    for (int i = 0; i < PEERS; i++) {
        before += tier_upstream_requests(peers[i]);
        tier_upstream_set(peers[i], &c->script);
    }
    uint32_t status = ask(&p, c->path, 3000, &caller);
    for (int i = 0; i < PEERS; i++) {
        after += tier_upstream_requests(peers[i]);
    }
    ck_assert_msg(status == 502, "%s: %u", c->name, status);
    ck_assert_msg(after - before == c->relays, "%s: relayed %u times", c->name,
                  after - before);
    for (int i = 0; i < PEERS; i++) {
        tier_upstream_free(peers[i]);
    }
    pair_release(&p);
}
END_TEST

/* A daemon that is asked to stop answers the requests that it has relayed. */
START_TEST(test_shutdown_while_relaying)
{
    static const tier_script_t hanging = {0};
    pair_t p;
    caller_t caller;
    pair_init(&p);
    list_upstreams(&p, p.f.store, true, false);
    run_ms(&p.f, POLLED_MS);
    ask_until_stable(&p);
    for (int i = 0; i < UPSTREAMS; i++) {
        tier_upstream_set(p.f.upstreams[i], &hanging);
    }
    uint32_t before = tier_upstream_requests(p.f.upstreams[0]);
    caller_open(&p.f, &caller, &p.f.boot.callers_address);
    caller_send(&caller, "GET /once/x HTTP/1.1\r\nHost: h\r\n"
                         "X-Yuccarun-Request-Id: r-last\r\n"
                         "X-Yuccarun-Deadline-Ms: 9000\r\n\r\n");
    run_ms(&p.f, 100);
    ck_assert_uint_eq(tier_upstream_requests(p.f.upstreams[0]) - before, 1);
    node_shutdown(p.f.node);
    run_ms(&p.f, p.f.boot.grace_us / 1000);
    ck_assert_msg(status_of(&caller) == 504 || status_of(&caller) == 502, "%u",
                  status_of(&caller));
    conn_close(&caller.conn);
    pair_release(&p);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("partitioned daemon");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_reach, 0,
                        sizeof(reach_cases) / sizeof(reach_cases[0]));
    tcase_add_loop_test(tests, test_partitioned_daemon, 0,
                        sizeof(partition_cases) / sizeof(partition_cases[0]));
    tcase_add_loop_test(tests, test_peer_lost, 0,
                        sizeof(lost_cases) / sizeof(lost_cases[0]));
    tcase_add_test(tests, test_relayed_tenant);
    tcase_add_test(tests, test_cut_off_peer_refuses);
    tcase_add_test(tests, test_shutdown_while_relaying);
    return suite_run("partitioned daemon", tests);
}
