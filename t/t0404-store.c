/*
 * Tests that the fake store and the HTTP client keep the same contract, and
 * how the HTTP client maps the store's responses and connection errors to a
 * status. It guards against a write that is sent twice and against a status
 * that says "not written" after a write that may have taken effect.
 */
#include "edge/store.h"
#include "t/lib/fake_store.h"
#include "t/lib/raw_server.h"
#include "t/lib/standin_store.h"
#include "t/lib/suite.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    LONG_TIMEOUT_MS = 20000,
    SHORT_TIMEOUT_MS = 300,
    SLOW_MS = 1500,
    STEPS_MAX = 8
};

typedef enum {
    DO_END,
    DO_GET,     /* read; text is expected */
    DO_WATCH,   /* watch from index 0; text is expected at once */
    DO_PUT,     /* write with the index of the last read */
    DO_PUT_OLD, /* write with the index of the read before the last */
    DO_CREATE,  /* write with index 0 */
    DO_FAULT    /* set the fault for the following steps */
} action_t;

typedef struct {
    action_t action;
    const char *text;
    status_t expect;
    fake_fault_t fault;
} step_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
} contract_case_t;

#define STEP(what, with, status)                                              \
    {                                                                         \
        .action = (what), .text = (with), .expect = (status)                  \
    }
#define FAULT(kind)                                                           \
    {                                                                         \
        .action = DO_FAULT, .fault = (kind)                                   \
    }

static const contract_case_t contract_cases[] = {
    {"missing key", {STEP(DO_GET, NULL, STATUS_NOT_FOUND)}},
    {"create and read",
     {STEP(DO_CREATE, "a", STATUS_OK), STEP(DO_GET, "a", STATUS_OK),
      STEP(DO_WATCH, "a", STATUS_OK)}},
    {"empty value",
     {STEP(DO_CREATE, "", STATUS_OK), STEP(DO_GET, "", STATUS_OK)}},
    {"create only once",
     {STEP(DO_CREATE, "a", STATUS_OK), STEP(DO_CREATE, "b", STATUS_CONFLICT),
      STEP(DO_GET, "a", STATUS_OK)}},
    {"write what was read",
     {STEP(DO_CREATE, "a", STATUS_OK), STEP(DO_GET, "a", STATUS_OK),
      STEP(DO_PUT, "b", STATUS_OK), STEP(DO_GET, "b", STATUS_OK)}},
    {"lose against another write",
     {STEP(DO_CREATE, "a", STATUS_OK), STEP(DO_GET, "a", STATUS_OK),
      STEP(DO_PUT, "b", STATUS_OK), STEP(DO_PUT, "c", STATUS_CONFLICT),
      STEP(DO_GET, "b", STATUS_OK)}},
    {"down",
     {STEP(DO_CREATE, "a", STATUS_OK), STEP(DO_GET, "a", STATUS_OK),
      FAULT(FAKE_DOWN), STEP(DO_GET, NULL, STATUS_UNAVAILABLE),
      STEP(DO_PUT, "b", STATUS_UNKNOWN), FAULT(FAKE_OK),
      STEP(DO_GET, "a", STATUS_OK)}},
    {"slow",
     {STEP(DO_CREATE, "a", STATUS_OK), STEP(DO_GET, "a", STATUS_OK),
      FAULT(FAKE_TIMEOUT_APPLIED), STEP(DO_GET, NULL, STATUS_TIMEOUT),
      STEP(DO_PUT, "b", STATUS_TIMEOUT)}},
    {"lost reply after the effect",
     {STEP(DO_CREATE, "a", STATUS_OK), STEP(DO_GET, "a", STATUS_OK),
      FAULT(FAKE_LOST_REPLY), STEP(DO_PUT, "b", STATUS_UNKNOWN),
      FAULT(FAKE_OK), STEP(DO_PUT, "c", STATUS_CONFLICT),
      STEP(DO_GET, "b", STATUS_OK)}},
    {"stale read",
     {STEP(DO_CREATE, "a", STATUS_OK), STEP(DO_GET, "a", STATUS_OK),
      STEP(DO_PUT, "b", STATUS_OK), STEP(DO_GET, "b", STATUS_OK),
      FAULT(FAKE_STALE), STEP(DO_GET, "a", STATUS_OK),
      STEP(DO_PUT, "c", STATUS_CONFLICT), STEP(DO_WATCH, "a", STATUS_OK)}},
    {"write with an older index",
     {STEP(DO_CREATE, "a", STATUS_OK), STEP(DO_GET, "a", STATUS_OK),
      STEP(DO_PUT, "b", STATUS_OK), STEP(DO_GET, "b", STATUS_OK),
      STEP(DO_PUT_OLD, "c", STATUS_CONFLICT), STEP(DO_GET, "b", STATUS_OK)}},
};

enum { CONTRACT_COUNT = sizeof(contract_cases) / sizeof(contract_cases[0]) };

/* A store under test: the fake or, over HTTP, the stand-in. */
typedef struct {
    store_client_t store;
    store_client_t short_timeout; /* for FAKE_TIMEOUT_APPLIED */
    fake_store_t *fake;
    store_t *standin;
    fake_fault_t fault;
} fixture_t;

static const kv_fault_t standin_faults[] = {
    [FAKE_OK] = KV_FAULT_OK,
    [FAKE_DOWN] = KV_FAULT_DOWN,
    [FAKE_TIMEOUT_APPLIED] = KV_FAULT_SLOW,
    [FAKE_LOST_REPLY] = KV_FAULT_LOST_REPLY,
    [FAKE_STALE] = KV_FAULT_STALE,
};

static void
fixture_init(fixture_t *fixture, bool over_http)
{
    *fixture = (fixture_t){.fault = FAKE_OK};
    if (!over_http) {
        fixture->fake = fake_store_new();
        fixture->store = fake_store_client(fixture->fake);
        fixture->short_timeout = fixture->store;
        return;
    }
    char url[STANDIN_URL_SIZE];
    fixture->standin = standin_store_new(url);
    ck_assert_ptr_nonnull(fixture->standin);
    error_t err = ERROR_INIT;
    ck_assert_int_eq(
        store_http_init(&fixture->store, url, LONG_TIMEOUT_MS, NULL, &err),
        STATUS_OK);
    ck_assert_int_eq(store_http_init(&fixture->short_timeout, url,
                                     SHORT_TIMEOUT_MS, NULL, &err),
                     STATUS_OK);
}

static void
fixture_release(fixture_t *fixture)
{
    if (fixture->fake != NULL) {
        fake_store_free(fixture->fake);
        return;
    }
    store_release(&fixture->store);
    store_release(&fixture->short_timeout);
    store_free(fixture->standin);
}

static void
fixture_set_fault(fixture_t *fixture, fake_fault_t fault)
{
    fixture->fault = fault;
    if (fixture->standin != NULL) {
        store_set_fault(fixture->standin, standin_faults[fault],
                        fault == FAKE_TIMEOUT_APPLIED ? SLOW_MS : 0, "");
        return;
    }
    fake_fault_t script[STEPS_MAX];
    for (size_t i = 0; i < STEPS_MAX; i++) {
        script[i] = fault;
    }
    fake_store_script(fixture->fake, script, STEPS_MAX);
}

static void
fixture_run_step(fixture_t *fixture, const char *name, const step_t *step,
                 uint64_t index[2])
{
    const store_client_t *store = fixture->fault == FAKE_TIMEOUT_APPLIED
                                      ? &fixture->short_timeout
                                      : &fixture->store;
    store_value_t value = {0};
    error_t err = ERROR_INIT;
    status_t status = step->expect;
    switch (step->action) {
    case DO_GET:
        status = store_get(store, "a/key", &value, &err);
        index[1] = index[0];
        index[0] = value.modify_index;
        break;
    case DO_WATCH:
        status = store_watch(store, "a/key", 0, 1000, &value, &err);
        break;
    case DO_PUT:
    case DO_PUT_OLD:
    case DO_CREATE:
        status = store_cas_put(store, "a/key", step->text, strlen(step->text),
                               step->action == DO_CREATE ? 0
                               : step->action == DO_PUT  ? index[0]
                                                         : index[1],
                               &err);
        break;
    default:
        fixture_set_fault(fixture, step->fault);
        break;
    }
    bool read = step->action == DO_GET || step->action == DO_WATCH;
    ck_assert_msg(status == step->expect, "%s: %s", name, error_text(&err));
    ck_assert_msg(status == STATUS_OK || err.status == status, "%s", name);
    ck_assert_msg((value.text != NULL) == (read && status == STATUS_OK), "%s",
                  name);
    if (value.text != NULL) {
        ck_assert_msg(strcmp(value.text, step->text) == 0, "%s: %s", name,
                      value.text);
        ck_assert_uint_eq(value.size, strlen(step->text));
        ck_assert_uint_ge(value.watch_index, value.modify_index);
    }
    store_value_release(&value);
}

START_TEST(test_contract)
{
    const contract_case_t *c = &contract_cases[_i % CONTRACT_COUNT];
    fixture_t fixture;
    fixture_init(&fixture, _i >= CONTRACT_COUNT);
    uint64_t index[2] = {0, 0};
    for (size_t i = 0; i < STEPS_MAX && c->steps[i].action != DO_END; i++) {
        fixture_run_step(&fixture, c->name, &c->steps[i], index);
    }
    fixture_release(&fixture);
}
END_TEST

#define HEAD(code, size)                                                      \
    "HTTP/1.1 " code " x\r\nX-Consul-Index: 7\r\nContent-Length: " size       \
    "\r\n\r\n"
#define OPEN_HEAD "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n"
#define ENTRY(key, value, index)                                              \
    "[{\"Key\":\"" key "\",\"Value\":" value ",\"ModifyIndex\":" index "}]"
/* 1,280 lines of 60 bytes, more than HTTP_HEAD_MAX_BYTES. */
#define LINE "X-More: 0123456789abcdef0123456789abcdef0123456789abcdef01\r\n"
#define LINES_4 LINE LINE LINE LINE
#define LINES_16 LINES_4 LINES_4 LINES_4 LINES_4
#define LINES_64 LINES_16 LINES_16 LINES_16 LINES_16
#define LINES_256 LINES_64 LINES_64 LINES_64 LINES_64
#define LINES_1280 LINES_256 LINES_256 LINES_256 LINES_256 LINES_256
#define LONG_LINE "0123456789abcdef0123456789abcdef0123456789abcdef01234567"

typedef struct {
    const char *name;
    const char *reply; /* NULL: the server closes the connection */
    status_t get;      /* expected of store_get */
    status_t put;      /* expected of store_cas_put */
} reply_case_t;

static const reply_case_t reply_cases[] = {
    {"closed after reading", NULL, STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"half a head", "HTTP/1.1 200 OK\r\nConte", STATUS_UNAVAILABLE,
     STATUS_UNKNOWN},
    {"half a head, not found", "HTTP/1.1 404 x\r\nConte", STATUS_UNAVAILABLE,
     STATUS_UNKNOWN},
    {"half a head, denied", "HTTP/1.1 403 x\r\n", STATUS_UNAVAILABLE,
     STATUS_UNKNOWN},
    {"half a head after an interim one",
     "HTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 404 x\r\nConte",
     STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"trailer fields",
     "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntrue\r\n"
     "0\r\nHTTP-Sum: 1\r\nT: u\r\n\r\n",
     STATUS_INVALID, STATUS_OK},
    {"status 000", HEAD("000", "4") "true", STATUS_UNAVAILABLE,
     STATUS_UNKNOWN},
    {"status 999", HEAD("999", "4") "true", STATUS_UNAVAILABLE,
     STATUS_UNKNOWN},
    {"a name with a blank", "HTTP/1.1 200 x\r\nX Y: z\r\n\r\ntrue",
     STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"a name with a control byte",
     "HTTP/1.1 404 x\r\nX\x01Y: z\r\nContent-Length: 0\r\n\r\n",
     STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"a hidden length", "HTTP/1.1 200 x\r\nContent-Length : 5\r\n\r\ntrue",
     STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"a malformed interim response",
     "HTTP/1.1 103 x\r\nX Y: z\r\n\r\n" HEAD("404", "0"), STATUS_UNAVAILABLE,
     STATUS_UNKNOWN},
    {"a malformed trailer field",
     "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntrue\r\n"
     "0\r\nX Y: z\r\n\r\n",
     STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"a head over the limit",
     "HTTP/1.1 200 x\r\n" LINES_1280 "Content-Length: 4\r\n\r\ntrue",
     STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"trailer fields over the limit",
     "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntrue\r\n"
     "0\r\n" LINES_1280 "\r\n",
     STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"half a body", HEAD("200", "9") "true", STATUS_UNAVAILABLE,
     STATUS_UNKNOWN},
    {"no HTTP", "hello\r\n\r\n", STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"true", HEAD("200", "5") "true\n", STATUS_INVALID, STATUS_OK},
    {"false", HEAD("200", "5") "false", STATUS_INVALID, STATUS_CONFLICT},
    {"neither", HEAD("200", "5") "maybe", STATUS_INVALID, STATUS_UNKNOWN},
    {"empty", HEAD("200", "0"), STATUS_INVALID, STATUS_UNKNOWN},
    {"endless", HEAD("200", "99999999999") LONG_LINE, STATUS_UNAVAILABLE,
     STATUS_UNKNOWN},
    {"redirect",
     "HTTP/1.1 307 x\r\nLocation: /v1/kv/a\r\nContent-Length: 0\r\n\r\n",
     STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"expectation failed", HEAD("417", "0"), STATUS_UNAVAILABLE,
     STATUS_UNAVAILABLE},
    {"denied", HEAD("403", "0"), STATUS_DENIED, STATUS_DENIED},
    {"asks for a password",
     "HTTP/1.1 401 x\r\nWWW-Authenticate: Basic realm=\"a\"\r\n"
     "Content-Length: 0\r\n\r\n",
     STATUS_DENIED, STATUS_DENIED},
    {"too many calls", HEAD("429", "0"), STATUS_UNAVAILABLE,
     STATUS_UNAVAILABLE},
    {"no leader", HEAD("500", "0"), STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"gateway", HEAD("504", "0"), STATUS_UNAVAILABLE, STATUS_UNKNOWN},
    {"other key", OPEN_HEAD ENTRY("b", "\"YQ==\"", "3"), STATUS_INVALID,
     STATUS_UNKNOWN},
    {"bad base64", OPEN_HEAD ENTRY("a", "\"!!!!!!\"", "3"), STATUS_INVALID,
     STATUS_UNKNOWN},
    {"index 0", OPEN_HEAD ENTRY("a", "\"YQ==\"", "0"), STATUS_INVALID,
     STATUS_UNKNOWN},
    {"value no string", OPEN_HEAD ENTRY("a", "1", "3"), STATUS_INVALID,
     STATUS_UNKNOWN},
    {"null value", OPEN_HEAD ENTRY("a", "null", "3"), STATUS_OK,
     STATUS_UNKNOWN},
};

START_TEST(test_replies)
{
    const reply_case_t *c = &reply_cases[_i];
    raw_server_t *server = raw_server_new(c->reply, false);
    store_client_t store;
    store_counters_t counters = {0};
    error_t err = ERROR_INIT;
    store_http_init(&store, raw_server_url(server), LONG_TIMEOUT_MS, &counters,
                    &err);
    status_t status = store_cas_put(&store, "a", "{}", 2, 3, &err);
    ck_assert_msg(status == c->put, "%s: put: %s", c->name, error_text(&err));
    ck_assert_msg(raw_server_requests(server) == 1, "%s: sent again", c->name);
    store_value_t value;
    status = store_get(&store, "a", &value, &err);
    ck_assert_msg(status == c->get, "%s: get: %s", c->name, error_text(&err));
    ck_assert_uint_eq(counters.calls[STORE_CALL_PUT], 1);
    ck_assert_uint_eq(counters.calls[STORE_CALL_GET], 1);
    ck_assert_uint_ge(counters.bytes_out[STORE_CALL_PUT], 2);
    ck_assert_uint_eq(counters.failed[STORE_CALL_PUT],
                      c->put != STATUS_OK && c->put != STATUS_CONFLICT);
    store_value_release(&value);
    store_release(&store);
    raw_server_free(server);
}
END_TEST

/*
 * The server keeps the connection alive after the first response, reads the
 * next request on it and closes it without a response. libcurl then resends a
 * read by itself, which shows that it reused the connection; it must not
 * resend a write.
 */
START_TEST(test_keep_alive_connection)
{
    raw_server_t *server = raw_server_new(HEAD("200", "4") "true", true);
    store_client_t store;
    store_value_t value;
    error_t err = ERROR_INIT;
    store_http_init(&store, raw_server_url(server), LONG_TIMEOUT_MS, NULL,
                    &err);
    for (unsigned int i = 1; i <= 3; i++) {
        ck_assert_int_eq(store_cas_put(&store, "a", "{}", 2, 3, &err),
                         STATUS_OK);
        ck_assert_uint_eq(raw_server_requests(server), i);
        ck_assert(
            raw_server_last_contains(server, "PUT /v1/kv/a?cas=3 HTTP/1.1"));
        ck_assert(!raw_server_last_contains(server, "Expect:"));
    }
    store_get(&store, "a", &value, &err);
    ck_assert_uint_eq(raw_server_requests(server), 4);
    store_get(&store, "a", &value, &err);
    ck_assert_uint_eq(raw_server_requests(server), 6);
    store_release(&store);
    raw_server_free(server);
}
END_TEST

START_TEST(test_connection_refused)
{
    char url[64];
    snprintf(url, sizeof(url), "http://127.0.0.1:%u",
             (unsigned int)raw_server_free_port());
    store_client_t store;
    store_value_t value;
    error_t err = ERROR_INIT;
    store_http_init(&store, url, LONG_TIMEOUT_MS, NULL, &err);
    ck_assert_int_eq(store_get(&store, "a", &value, &err), STATUS_UNAVAILABLE);
    ck_assert_int_eq(store_cas_put(&store, "a", "", 0, 0, &err),
                     STATUS_UNAVAILABLE);
    ck_assert_str_eq(err.step, "store put");
    ck_assert_str_eq(err.peer, url);
    ck_assert_int_eq(store_get(&store, "a?raw", &value, &err), STATUS_INVALID);
    ck_assert_int_eq(store_cas_put(&store, "a", "", 1000001, 0, &err),
                     STATUS_TOO_LARGE);
    store_release(&store);
}
END_TEST

static void *
watch_run(void *user)
{
    const store_client_t *store = user;
    store_value_t value;
    uint64_t index = 1;
    char *seen = NULL;
    while (seen == NULL) {
        store_watch(store, "a/key", index, 5000, &value, NULL);
        index = value.watch_index;
        if (value.text != NULL && strcmp(value.text, "new") == 0) {
            seen = strdup(value.text);
        }
        store_value_release(&value);
    }
    return seen;
}

START_TEST(test_watch_returns_new_value)
{
    fixture_t fixture;
    fixture_init(&fixture, true);
    pthread_t thread;
    pthread_create(&thread, NULL, watch_run, &fixture.short_timeout);
    error_t err = ERROR_INIT;
    store_value_t value;
    ck_assert_int_eq(store_cas_put(&fixture.store, "a/key", "old", 3, 0, &err),
                     STATUS_OK);
    ck_assert_int_eq(store_get(&fixture.store, "a/key", &value, &err),
                     STATUS_OK);
    ck_assert_int_eq(store_cas_put(&fixture.store, "a/key", "new", 3,
                                   value.modify_index, &err),
                     STATUS_OK);
    store_value_release(&value);
    void *seen;
    pthread_join(thread, &seen);
    ck_assert_str_eq(seen, "new");
    free(seen);
    fixture_release(&fixture);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("store");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_contract, 0, 2 * CONTRACT_COUNT);
    tcase_add_loop_test(tests, test_replies, 0,
                        sizeof(reply_cases) / sizeof(reply_cases[0]));
    tcase_add_test(tests, test_keep_alive_connection);
    tcase_add_test(tests, test_connection_refused);
    tcase_add_test(tests, test_watch_returns_new_value);
    return suite_run("store", tests);
}
