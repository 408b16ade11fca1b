/*
 * Tests the operators' API over HTTP: authorization, limits, invalid requests,
 * the status and body for each outcome of a change, and its report.
 */
#include "edge/config_change.h"
#include "edge/operator.h"
#include "t/lib/fake_store.h"
#include "t/lib/raw_server.h"
#include "t/lib/suite.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#define TOKEN "0123456789abcdef"
#define BEARER "Bearer " TOKEN
#define ROW(service)                                                          \
    "{\"service\":\"" service "\",\"class\":\"desk\",\"deadline_ms\":300,"    \
    "\"upstream_slots\":4,\"upstream_connections\":35,\"zone_slots\":60,"     \
    "\"service_slots\":120}"
#define TABLE(based_on, rows)                                                 \
    "{\"based_on\":" based_on ",\"by\":\"carol\",\"rows\":[" rows "]}"
#define OUT "{\"state\":\"out\",\"by\":\"carol\"}"

enum { BODY_MAX_BYTES = 4096 };

/* Fake of the daemon behind the API; the lock guards all members. */
typedef struct {
    pthread_mutex_t lock;
    fake_store_t *store;
    config_t *config;
    char reported[ERROR_TEXT_MAX];
    unsigned int reports;
    bool can_hold; /* it can hold a zone out of service */
    bool held;
} fake_daemon_t;

static config_t *
daemon_current(void *user)
{
    fake_daemon_t *daemon = user;
    pthread_mutex_lock(&daemon->lock);
    config_t *config =
        daemon->config != NULL ? config_get(daemon->config) : NULL;
    pthread_mutex_unlock(&daemon->lock);
    return config;
}

static void
daemon_confirmations(void *user, uint64_t version, operator_names_t *confirmed,
                     operator_names_t *waiting)
{
    fake_daemon_t *daemon = user;
    pthread_mutex_lock(&daemon->lock);
    bool has = daemon->config != NULL && daemon->config->version >= version;
    pthread_mutex_unlock(&daemon->lock);
    operator_names_t *list = has ? confirmed : waiting;
    memcpy(list->names[list->count++], "a1", 3);
    memcpy(waiting->names[waiting->count++], "a2", 3);
}

static change_t *
daemon_run_change(void *user, const change_edit_t *edit, error_t *err)
{
    fake_daemon_t *daemon = user;
    pthread_mutex_lock(&daemon->lock);
    store_client_t store = fake_store_client(daemon->store);
    change_settings_t settings = CHANGE_SETTINGS_DEFAULT;
    settings.timeout_us = 200000;
    change_t *change =
        config_change_run(&store, &settings, edit, daemon->config, err);
    if (change != NULL && change_outcome(change)->status == STATUS_OK) {
        config_put(daemon->config);
        daemon->config = config_get(change_outcome(change)->config);
    }
    pthread_mutex_unlock(&daemon->lock);
    return change;
}

static bool
daemon_hold(void *user, const change_edit_t *edit)
{
    fake_daemon_t *daemon = user;
    pthread_mutex_lock(&daemon->lock);
    daemon->held = daemon->can_hold && edit->out;
    pthread_mutex_unlock(&daemon->lock);
    return daemon->can_hold;
}

static bool
daemon_is_held(void *user, const change_edit_t *edit)
{
    (void)edit;
    fake_daemon_t *daemon = user;
    pthread_mutex_lock(&daemon->lock);
    bool held = daemon->held;
    pthread_mutex_unlock(&daemon->lock);
    return held;
}

static bool
daemon_is_known(void *user, change_kind_t kind, const char *name)
{
    (void)user;
    return kind == CHANGE_VM || strcmp(name, "south-1") == 0;
}

static void
daemon_report(void *user, operator_result_t result, error_t *err)
{
    fake_daemon_t *daemon = user;
    pthread_mutex_lock(&daemon->lock);
    snprintf(daemon->reported, sizeof(daemon->reported), "%s: %s",
             operator_result_name(result), error_text(err));
    daemon->reports++;
    pthread_mutex_unlock(&daemon->lock);
}

static const operator_ops_t daemon_ops = {
    .current = daemon_current,
    .confirmations = daemon_confirmations,
    .run_change = daemon_run_change,
    .hold = daemon_hold,
    .is_held = daemon_is_held,
    .is_known = daemon_is_known,
    .report = daemon_report,
};

typedef struct {
    const char *name;
    const char *method;
    const char *path;
    const char *header; /* value of Authorization; NULL: no header */
    const char *body;
    unsigned int stored_version; /* before the request; 0: no configuration */
    fake_fault_t script[4];
    long code;
    const char *expected; /* substring of the response */
    const char *report;   /* prefix of the report; NULL: none */
} request_case_t;

static const request_case_t cases[] = {
    {"no token",
     "PUT",
     "/v1/table",
     NULL,
     "garbage",
     1,
     {0},
     401,
     "token",
     "denied: /v1/table: 127.0.0.1: 401"},
    {"wrong token",
     "POST",
     "/v1/zones/z",
     BEARER "0",
     OUT,
     1,
     {0},
     401,
     "token",
     "denied"},
    {"token cut short",
     "GET",
     "/v1/vms",
     "Bearer 0123456789abcde",
     "",
     1,
     {0},
     401,
     "token",
     "denied"},
    {"other scheme",
     "GET",
     "/v1/table",
     "Basic " TOKEN,
     "",
     1,
     {0},
     401,
     "token",
     "denied"},
    {"table without a configuration",
     "GET",
     "/v1/table",
     BEARER,
     "",
     0,
     {0},
     503,
     "no configuration",
     "refused"},
    {"table",
     "GET",
     "/v1/table",
     BEARER,
     "",
     3,
     {0},
     200,
     "\"version\":3",
     NULL},
    {"first table",
     "PUT",
     "/v1/table",
     BEARER,
     TABLE("0", ROW("s")),
     0,
     {0},
     200,
     "\"version\":1,",
     "accepted"},
    {"next table",
     "PUT",
     "/v1/table",
     BEARER,
     TABLE("3", ROW("s")),
     3,
     {0},
     200,
     "\"confirmed\":[\"a1\"],\"waiting\":[\"a2\"]",
     "accepted"},
    {"table of an old version",
     "PUT",
     "/v1/table",
     BEARER,
     TABLE("2", ROW("s")),
     3,
     {0},
     409,
     "\"version\":3,\"change\":\"seed\",\"by\":\"alice\",\"rows\":[",
     "conflict"},
    {"bad row",
     "PUT",
     "/v1/table",
     BEARER,
     TABLE("3", ROW("s") ",{}"),
     3,
     {0},
     422,
     "\"row\":2,\"column\":\"service\"",
     "bad_request"},
    {"duplicate service",
     "PUT",
     "/v1/table",
     BEARER,
     TABLE("3", ROW("s") "," ROW("s")),
     3,
     {0},
     422,
     "already in row 1",
     "bad_request"},
    {"no rows",
     "PUT",
     "/v1/table",
     BEARER,
     TABLE("3", ""),
     3,
     {0},
     422,
     "found no rows",
     "bad_request"},
    {"future version",
     "PUT",
     "/v1/table",
     BEARER,
     TABLE("9", ROW("s")),
     3,
     {0},
     422,
     "based_on",
     "bad_request"},
    {"no JSON",
     "PUT",
     "/v1/table",
     BEARER,
     "rows:",
     3,
     {0},
     400,
     "body",
     "bad_request"},
    {"no body",
     "PUT",
     "/v1/table",
     BEARER,
     "",
     3,
     {0},
     400,
     "body",
     "bad_request"},
    {"duplicate key",
     "POST",
     "/v1/zones/z",
     BEARER,
     "{\"by\":\"a\",\"by\":\"b\"}",
     3,
     {0},
     400,
     "duplicate",
     "bad_request"},
    {"unknown key",
     "POST",
     "/v1/zones/z",
     BEARER,
     "{\"state\":\"out\",\"rows\":[]}",
     3,
     {0},
     400,
     "rows: unknown key",
     "bad_request"},
    {"no author",
     "POST",
     "/v1/zones/z",
     BEARER,
     "{\"state\":\"out\"}",
     3,
     {0},
     400,
     "by: expected",
     "bad_request"},
    {"bad state",
     "POST",
     "/v1/zones/z",
     BEARER,
     "{\"state\":\"up\",\"by\":\"a\"}",
     3,
     {0},
     400,
     "state: expected",
     "bad_request"},
    {"bad id",
     "POST",
     "/v1/zones/z",
     BEARER,
     "{\"state\":\"in\",\"by\":\"a\",\"change\":\"A\"}",
     3,
     {0},
     400,
     "change: expected",
     "bad_request"},
    {"bad name",
     "POST",
     "/v1/zones/Z",
     BEARER,
     OUT,
     3,
     {0},
     400,
     "name",
     "bad_request"},
    {"long name",
     "POST",
     "/v1/vms/0123456789012345678901234567890123",
     BEARER,
     OUT,
     3,
     {0},
     400,
     "too long",
     "bad_request"},
    {"zone out",
     "POST",
     "/v1/zones/south-1",
     BEARER,
     OUT,
     3,
     {0},
     200,
     "\"version\":4,",
     "accepted"},
    {"unknown zone",
     "POST",
     "/v1/zones/suoth-1",
     BEARER,
     OUT,
     3,
     {0},
     200,
     "\"warning\":",
     "accepted"},
    {"VM out",
     "POST",
     "/v1/vms/vm-1",
     BEARER,
     OUT,
     3,
     {0},
     200,
     "\"version\":4,",
     "accepted"},
    {"lost reply",
     "POST",
     "/v1/vms/vm-1",
     BEARER,
     OUT,
     3,
     {FAKE_OK, FAKE_LOST_REPLY},
     200,
     "\"version\":4,",
     "accepted"},
    {"zones",
     "GET",
     "/v1/zones",
     BEARER,
     "",
     3,
     {0},
     200,
     "\"zones\":{},\"confirmed\":[\"a1\"]",
     NULL},
};

typedef struct {
    fake_daemon_t daemon;
    operator_api_t *api;
    struct _u_instance http;
    char url[64];
} fixture_t;

static void
fixture_init(fixture_t *fixture, unsigned int stored_version)
{
    *fixture = (fixture_t){.daemon.store = fake_store_new()};
    pthread_mutex_init(&fixture->daemon.lock, NULL);
    if (stored_version > 0) {
        fixture->daemon.config = config_new();
        for (unsigned int i = 0; i < stored_version; i++) {
            config_advance(fixture->daemon.config, CHANGE_ROWS, "seed",
                           "alice");
        }
        char *text = config_format_json(fixture->daemon.config);
        fake_store_write(fixture->daemon.store, STORE_KEY_CONFIG, text);
        free(text);
    }
    operator_settings_t settings = {
        .token = TOKEN,
        .token_size = sizeof(TOKEN) - 1,
        .incarnation = 7,
        .body_max_bytes = BODY_MAX_BYTES,
        .confirm_ms_max = 0,
    };
    fixture->api = operator_api_new(&settings, &daemon_ops, &fixture->daemon);
    int started = U_ERROR;
    for (int i = 0; i < 10 && started != U_OK; i++) {
        uint16_t port = raw_server_free_port();
        ck_assert_int_eq(
            ulfius_init_instance(&fixture->http, port, NULL, NULL), U_OK);
        fixture->http.max_post_body_size = BODY_MAX_BYTES;
        ck_assert(operator_api_register(fixture->api, &fixture->http));
        started = ulfius_start_framework(&fixture->http);
        if (started != U_OK) {
            ulfius_clean_instance(&fixture->http);
        }
        snprintf(fixture->url, sizeof(fixture->url), "http://127.0.0.1:%u",
                 (unsigned int)port);
    }
    ck_assert_int_eq(started, U_OK);
}

static void
fixture_release(fixture_t *fixture)
{
    ulfius_stop_framework(&fixture->http);
    ulfius_clean_instance(&fixture->http);
    operator_api_free(fixture->api);
    config_put(fixture->daemon.config);
    fake_store_free(fixture->daemon.store);
    pthread_mutex_destroy(&fixture->daemon.lock);
}

/* Sends a request; the caller frees the response's text. */
static long
fixture_send(const fixture_t *fixture, const request_case_t *c, char **text)
{
    struct _u_request request;
    struct _u_response response;
    char url[256];
    snprintf(url, sizeof(url), "%s%s", fixture->url, c->path);
    ulfius_init_request(&request);
    ulfius_init_response(&response);
    ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, c->method,
                                  U_OPT_HTTP_URL, url, U_OPT_STRING_BODY,
                                  c->body, U_OPT_NONE);
    if (c->header != NULL) {
        u_map_put(request.map_header, "Authorization", c->header);
    }
    int sent = ulfius_send_http_request(&request, &response);
    long code = sent == U_OK ? response.status : 0;
    *text = strndup(response.binary_body != NULL ? response.binary_body : "",
                    response.binary_body_length);
    ulfius_clean_request(&request);
    ulfius_clean_response(&response);
    return code;
}

START_TEST(test_requests)
{
    const request_case_t *c = &cases[_i];
    fixture_t fixture;
    fixture_init(&fixture, c->stored_version);
    fake_store_script(fixture.daemon.store, c->script, 4);
    char *text;
    long code = fixture_send(&fixture, c, &text);
    ck_assert_msg(code == c->code, "%s: %ld %s", c->name, code, text);
    ck_assert_msg(strstr(text, c->expected) != NULL, "%s: %s", c->name, text);
    pthread_mutex_lock(&fixture.daemon.lock);
    ck_assert_msg(fixture.daemon.reports == (c->report != NULL), "%s",
                  c->name);
    ck_assert_msg(c->report == NULL ||
                      strncmp(fixture.daemon.reported, c->report,
                              strlen(c->report)) == 0,
                  "%s: %s", c->name, fixture.daemon.reported);
    bool changed = fake_store_calls(fixture.daemon.store, STORE_CALL_PUT) > 0;
    ck_assert_msg(changed == (code == 200 && c->report != NULL), "%s",
                  c->name);
    pthread_mutex_unlock(&fixture.daemon.lock);
    free(text);
    fixture_release(&fixture);
}
END_TEST

START_TEST(test_store_unreachable)
{
    static const fake_fault_t down[64] = {
        FAKE_REFUSED, FAKE_REFUSED, FAKE_REFUSED, FAKE_REFUSED, FAKE_REFUSED,
        FAKE_REFUSED, FAKE_REFUSED, FAKE_REFUSED, FAKE_REFUSED, FAKE_REFUSED,
        FAKE_REFUSED, FAKE_REFUSED, FAKE_REFUSED, FAKE_REFUSED, FAKE_REFUSED};
    static const fake_fault_t lost[64] = {
        FAKE_OK,   FAKE_DOWN, FAKE_DOWN, FAKE_DOWN, FAKE_DOWN,
        FAKE_DOWN, FAKE_DOWN, FAKE_DOWN, FAKE_DOWN, FAKE_DOWN,
        FAKE_DOWN, FAKE_DOWN, FAKE_DOWN, FAKE_DOWN, FAKE_DOWN};
    request_case_t request = {.method = "POST",
                              .path = "/v1/zones/south-1",
                              .header = BEARER,
                              .body = OUT};
    fixture_t fixture;
    fixture_init(&fixture, 3);
    char *text;
    fake_store_script(fixture.daemon.store, down, 15);
    ck_assert_int_eq(fixture_send(&fixture, &request, &text), 503);
    free(text);
    fake_store_script(fixture.daemon.store, lost, 15);
    ck_assert_int_eq(fixture_send(&fixture, &request, &text), 504);
    ck_assert_ptr_nonnull(strstr(text, "may be in force"));
    ck_assert_ptr_nonnull(strstr(text, "\"change\":\"0000000000000007-1\""));
    free(text);
    ck_assert_uint_eq(operator_api_count(fixture.api, OPERATOR_REFUSED), 1);
    ck_assert_uint_eq(operator_api_count(fixture.api, OPERATOR_UNKNOWN), 1);
    /* The status is 202 only if the daemons hold the zone out of service. */
    fixture.daemon.can_hold = true;
    fake_store_script(fixture.daemon.store, down, 15);
    ck_assert_int_eq(fixture_send(&fixture, &request, &text), 202);
    ck_assert_ptr_nonnull(strstr(text, "\"held\":true"));
    free(text);
    request.body = "{\"state\":\"in\",\"by\":\"carol\"}";
    fake_store_script(fixture.daemon.store, down, 15);
    ck_assert_int_eq(fixture_send(&fixture, &request, &text), 503);
    free(text);
    fixture_release(&fixture);
}
END_TEST

/* A body of the maximum size is accepted, a larger one is refused. */
START_TEST(test_body_limit)
{
    char body[BODY_MAX_BYTES + 2];
    request_case_t request = {.method = "POST",
                              .path = "/v1/zones/south-1",
                              .header = BEARER,
                              .body = body};
    fixture_t fixture;
    fixture_init(&fixture, 3);
    for (int excess = 0; excess < 2; excess++) {
        size_t size = BODY_MAX_BYTES + (size_t)excess;
        memset(body, ' ', size);
        memcpy(body, OUT, sizeof(OUT) - 1);
        body[size] = '\0';
        char *text;
        ck_assert_int_eq(fixture_send(&fixture, &request, &text),
                         excess ? 413 : 200);
        free(text);
    }
    fixture_release(&fixture);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("operator");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_requests, 0,
                        sizeof(cases) / sizeof(cases[0]));
    tcase_add_test(tests, test_store_unreachable);
    tcase_add_test(tests, test_body_limit);
    return suite_run("operator", tests);
}
