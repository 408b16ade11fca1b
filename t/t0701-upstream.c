/*
 * Tests the upstream client against a server that counts the requests it
 * reads. Guards against a request that is sent twice and against a part with
 * no result, several results or a wrong not_run.
 */
#include "edge/upstream.h"
#include "t/lib/script_server.h"
#include "t/lib/suite.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum { WAIT_MS = 20, ROUNDS_MAX = 400, DEADLINE_US = 2000000 };

#define OK_BODY                                                               \
    "{\"upstream\":\"u\",\"boot\":\"7\",\"cold\":false,\"parts\":["           \
    "{\"id\":\"%s\",\"status\":\"ok\",\"lo\":0,\"hi\":100,\"version\":3,"     \
    "\"generation\":1,\"held\":[3],\"count\":5,\"sum\":\"9\"}]}"

#define GOOD                                                                  \
    {                                                                         \
        .answer = OK_BODY, .echo_id = true                                    \
    }

typedef struct {
    unsigned results;
    unsigned health_replies;
    bool cold;
    bool draining;
    part_reply_t reply;
    gate_result_t result;
} results_t;

static void
on_result(void *context, const part_reply_t *reply,
          const gate_result_t *result)
{
    results_t *results = context;
    results->results++;
    results->reply = *reply;
    results->result = *result;
}

static void
on_partition(void *context, const partition_t *partition)
{
    (void)context;
    (void)partition;
}

static void
on_health(void *context, const char *upstream, bool cold, bool draining)
{
    results_t *results = context;
    results->health_replies++;
    results->cold = cold;
    results->draining = draining;
    ck_assert_str_eq(upstream, "u");
}

static int64_t
now_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static part_request_t
make_request(uint64_t sequence, bool once)
{
    part_request_t request = {
        .id = {.incarnation = 1, .sequence = sequence},
        .service = "desk",
        .upstream = "u",
        .once = once,
        .range = {0, 100},
        .deadline_us = now_us() + DEADLINE_US,
        .body = "refund",
        .body_size = 6,
    };
    return request;
}

/* Sends one part and waits for its result. */
static void
send_and_wait(upstream_client_t *client, const upstream_info_t *target,
              const part_request_t *request, results_t *results)
{
    unsigned before = results->results;
    upstream_http_ops.send(client, target, request, 1, now_us());
    for (int i = 0; i < ROUNDS_MAX && results->results == before; i++) {
        upstream_http_ops.wait(client, WAIT_MS);
        upstream_http_ops.run(client);
    }
    ck_assert_uint_eq(results->results, before + 1);
}

typedef struct {
    const char *name;
    script_step_t second; /* the server's action on the second request */
    part_status_t status;
    bool once;
    bool not_run;
    unsigned connections; /* 0: 1 or 2, depending on how libcurl notices the
                             close */
} resend_case_t;

static const resend_case_t resend_cases[] = {
    {"closed after reading", {.close = true}, PART_LOST, false, false, 0},
    {"closed after reading, once", {.close = true}, PART_LOST, true, false, 2},
    {"half an answer",
     {.answer = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{",
      .close = true},
     PART_LOST,
     true,
     false,
     2},
    {"redirect",
     {.answer = "HTTP/1.1 307 Temporary Redirect\r\nLocation: "
                "/v1/parts\r\nContent-Length: 0\r\n\r\n"},
     PART_BAD_REPLY,
     true,
     false,
     2},
    {"expectation failed",
     {.answer = "HTTP/1.1 417 Expectation Failed\r\nContent-Length: "
                "0\r\n\r\n"},
     PART_BAD_REPLY,
     true,
     false,
     2},
    {"asked to authenticate",
     {.answer = "HTTP/1.1 401 Unauthorized\r\nWWW-Authenticate: Basic "
                "realm=\"x\"\r\nContent-Length: 0\r\n\r\n"},
     PART_BAD_REPLY,
     true,
     false,
     2},
    {"shed",
     {.answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: "
                "25\r\n\r\n{\"boot\":\"7\",\"shed\":true} "},
     PART_SHED,
     false,
     true,
     1},
    {"not json",
     {.answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"},
     PART_BAD_REPLY,
     false,
     false,
     1},
    {"status 000",
     {.answer = "HTTP/1.1 000 OK\r\nContent-Length: 25\r\n\r\n"
                "{\"boot\":\"7\",\"shed\":true} "},
     PART_LOST,
     true,
     false,
     2},
    {"a name with a blank",
     {.answer = "HTTP/1.1 503 x\r\nX Y: z\r\nContent-Length: 25\r\n\r\n"
                "{\"boot\":\"7\",\"shed\":true} "},
     PART_BAD_REPLY,
     true,
     false,
     2},
    {"good", GOOD, PART_OK, true, false, 2},
};

/*
 * The first request leaves an open connection, which the second may reuse; on
 * a reused connection libcurl may resend a request by itself.
 */
START_TEST(test_never_sent_twice)
{
    const resend_case_t *c = &resend_cases[_i];
    script_step_t script[] = {GOOD, c->second, GOOD};
    script_server_t *server = script_server_new(script, 3);
    upstream_info_t target = {.name = "u", .address = "127.0.0.1"};
    results_t results = {.results = 0};
    upstream_callbacks_t callbacks = {&results, on_result, on_partition,
                                      on_health};
    error_t err = ERROR_INIT;
    target.port = script_server_port(server);
    upstream_client_t *client = upstream_http_ops.new(&callbacks, &err);
    part_request_t first = make_request(1, false);
    part_request_t second = make_request(2, c->once);
    send_and_wait(client, &target, &first, &results);
    ck_assert_int_eq(results.reply.status, PART_OK);
    ck_assert_uint_eq(results.reply.sum, 9);
    send_and_wait(client, &target, &second, &results);
    ck_assert_msg(results.reply.status == c->status, "%s: %s", c->name,
                  part_status_name(results.reply.status));
    ck_assert_msg(results.reply.not_run == c->not_run, "%s", c->name);
    ck_assert_msg(script_server_requests(server) == 2, "%s: read %u times",
                  c->name, script_server_requests(server) - 1);
    ck_assert(!script_server_received(server, "Expect:"));
    ck_assert_msg(c->connections == 0 ||
                      script_server_connections(server) == c->connections,
                  "%s: %u connections", c->name,
                  script_server_connections(server));
    upstream_http_ops.free(client);
    script_server_free(server);
}
END_TEST

START_TEST(test_unreachable_is_not_run)
{
    script_step_t script[] = {GOOD};
    script_server_t *server = script_server_new(script, 1);
    upstream_info_t target = {.name = "u", .address = "127.0.0.1"};
    results_t results = {.results = 0};
    upstream_callbacks_t callbacks = {&results, on_result, on_partition,
                                      on_health};
    error_t err = ERROR_INIT;
    target.port = script_server_port(server);
    script_server_free(server);
    upstream_client_t *client = upstream_http_ops.new(&callbacks, &err);
    part_request_t request = make_request(1, true);
    send_and_wait(client, &target, &request, &results);
    ck_assert_int_eq(results.reply.status, PART_LOST);
    ck_assert(results.reply.not_run);
    upstream_http_ops.free(client);
}
END_TEST

START_TEST(test_no_reply_ends_at_deadline)
{
    script_step_t script[] = {{.answer = NULL}};
    script_server_t *server = script_server_new(script, 1);
    upstream_info_t target = {.name = "u", .address = "127.0.0.1"};
    results_t results = {.results = 0};
    upstream_callbacks_t callbacks = {&results, on_result, on_partition,
                                      on_health};
    error_t err = ERROR_INIT;
    target.port = script_server_port(server);
    upstream_client_t *client = upstream_http_ops.new(&callbacks, &err);
    part_request_t request = make_request(1, true);
    request.deadline_us = now_us() + 50000;
    send_and_wait(client, &target, &request, &results);
    ck_assert_int_eq(results.reply.status, PART_LOST);
    ck_assert(!results.reply.not_run);
    ck_assert_uint_eq(script_server_requests(server), 1);
    upstream_http_ops.free(client);
    script_server_free(server);
}
END_TEST

typedef struct {
    const char *answer;
    unsigned health_replies;
    bool cold;
    bool draining;
} health_case_t;

#define HEALTH(text) "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" text

static const health_case_t health_cases[] = {
    {HEALTH("{\"upstream\":\"u\",\"state\":\"ok\",\"load\":0.4}      "), 1,
     false, false},
    {HEALTH("{\"upstream\":\"u\",\"state\":\"cold\",\"load\":0.4}    "), 1,
     true, false},
    {HEALTH("{\"upstream\":\"u\",\"state\":\"draining\",\"load\":0.4}"), 1,
     false, true},
    {HEALTH("{\"upstream\":\"u\",\"state\":\"splendid\",\"load\":0.4}"), 0,
     false, false},
    {HEALTH("{\"upstream\":\"u\",\"state\":\"ok\",\"load\":0.4       "), 0,
     false, false},
};

START_TEST(test_health)
{
    const health_case_t *c = &health_cases[_i];
    script_step_t script[] = {{.answer = c->answer, .close = true}};
    script_server_t *server = script_server_new(script, 1);
    upstream_info_t target = {.name = "u", .address = "127.0.0.1"};
    results_t results = {.results = 0};
    upstream_callbacks_t callbacks = {&results, on_result, on_partition,
                                      on_health};
    error_t err = ERROR_INIT;
    target.port = script_server_port(server);
    upstream_client_t *client = upstream_http_ops.new(&callbacks, &err);
    upstream_http_ops.check_health(client, &target);
    for (int i = 0; i < 20 && results.health_replies == 0; i++) {
        upstream_http_ops.wait(client, WAIT_MS);
        upstream_http_ops.run(client);
    }
    ck_assert_uint_eq(results.health_replies, c->health_replies);
    ck_assert_int_eq(results.cold, c->cold);
    ck_assert_int_eq(results.draining, c->draining);
    ck_assert_uint_eq(results.results, 0);
    upstream_http_ops.free(client);
    script_server_free(server);
}
END_TEST

int
main(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    TCase *tests = tcase_create("upstream");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_never_sent_twice, 0,
                        sizeof(resend_cases) / sizeof(resend_cases[0]));
    tcase_add_loop_test(tests, test_health, 0,
                        sizeof(health_cases) / sizeof(health_cases[0]));
    tcase_add_test(tests, test_unreachable_is_not_run);
    tcase_add_test(tests, test_no_reply_ends_at_deadline);
    int code = suite_run("upstream", tests);
    curl_global_cleanup();
    return code;
}
