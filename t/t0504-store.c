/* Tests the stand-in key-value service over HTTP: its interface and faults. */
#include "standin/lib/store.h"
#include "t/lib/probe.h"
#include "t/lib/suite.h"

#include <curl/curl.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

enum { STEPS_MAX = 6 };

typedef struct {
    const char *method;
    const char *path;
    const char *body;
    long status;
    const char *reply; /* expected part of the reply; NULL: any reply */
} step_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
    size_t count;
} store_case_t;

/* In Base64, "dmFs" is "val" and "dHdv" is "two". */
static const store_case_t store_cases[] = {
    {"missing", {{"GET", "/v1/kv/a", NULL, 404, NULL}}, 1},
    {"put and get",
     {{"PUT", "/v1/kv/a/b", "val", 200, "true"},
      {"GET", "/v1/kv/a/b", NULL, 200, "\"Value\":\"dmFs\""},
      {"GET", "/v1/kv/a/b", NULL, 200, "\"ModifyIndex\":2"}},
     3},
    {"compare and swap",
     {{"PUT", "/v1/kv/a?cas=0", "val", 200, "true"},
      {"PUT", "/v1/kv/a?cas=0", "two", 200, "false"},
      {"PUT", "/v1/kv/a?cas=2", "two", 200, "true"},
      {"GET", "/v1/kv/a", NULL, 200, "dHdv"}},
     4},
    {"an empty value",
     {{"PUT", "/v1/kv/a", "", 200, "true"},
      {"GET", "/v1/kv/a", NULL, 200, "\"Value\":\"\""}},
     2},
    {"down",
     {{"PUT", "/v1/kv/a", "val", 200, "true"},
      {"POST", "/fault", "{\"mode\":\"down\"}", 204, NULL},
      {"GET", "/v1/kv/a", NULL, 500, NULL},
      {"PUT", "/v1/kv/a?cas=2", "two", 500, NULL},
      {"POST", "/fault", "{\"mode\":\"ok\"}", 204, NULL},
      {"GET", "/v1/kv/a", NULL, 200, "dmFs"}},
     6},
    {"down for a prefix",
     {{"POST", "/fault", "{\"mode\":\"down\",\"key_prefix\":\"x/\"}", 204,
       NULL},
      {"PUT", "/v1/kv/x/a", "val", 500, NULL},
      {"PUT", "/v1/kv/y/a", "val", 200, "true"}},
     3},
    {"a write whose reply is lost",
     {{"POST", "/fault", "{\"mode\":\"lost_reply\"}", 204, NULL},
      {"PUT", "/v1/kv/a?cas=0", "val", 500, NULL},
      {"PUT", "/v1/kv/a?cas=0", "two", 500, NULL},
      {"GET", "/v1/kv/a", NULL, 200, "dmFs"}},
     4},
    {"stale",
     {{"PUT", "/v1/kv/a", "val", 200, "true"},
      {"PUT", "/v1/kv/a", "two", 200, "true"},
      {"POST", "/fault", "{\"mode\":\"stale\"}", 204, NULL},
      {"GET", "/v1/kv/a", NULL, 200, "\"ModifyIndex\":2"},
      {"PUT", "/v1/kv/a?cas=2", "val", 200, "false"}},
     5},
    {"unknown fault", {{"POST", "/fault", "{\"mode\":\"x\"}", 400, NULL}}, 1},
    {"sessions",
     {{"PUT", "/v1/session/create", "{\"TTL\":\"60s\"}", 200, "000000000001"},
      {"PUT", "/v1/kv/a?acquire=00000000-0000-4000-8000-000000000001", "val",
       200, "true"},
      {"PUT", "/v1/kv/a?acquire=no-session", "two", 200, "false"},
      {"PUT", "/v1/session/renew/00000000-0000-4000-8000-000000000001", "",
       200, NULL},
      {"PUT", "/v1/session/renew/no-session", "", 404, NULL}},
     5},
    {"counts",
     {{"GET", "/v1/kv/a", NULL, 404, NULL},
      {"GET", "/v1/kv/a?index=0&wait=1ms", NULL, 404, NULL},
      {"PUT", "/v1/kv/a?cas=1", "val", 200, "false"},
      {"GET", "/count", NULL, 200,
       "{\"get\":1,\"watch\":1,\"put\":0,\"cas\":1"},
      {"GET", "/count", NULL, 200, "\"total\":3"}},
     5},
};

/*
 * Starts a store on the first free port of a range that depends on the process
 * id, so that other test runs seldom use the same ports.
 */
static store_t *
store_start(void)
{
    store_t *store = NULL;
    unsigned first = (unsigned)getpid() % 4000;
    for (unsigned i = 0; i < 1000 && store == NULL; i++) {
        store = store_new((uint16_t)(23000 + first + i));
    }
    return store;
}

START_TEST(test_store)
{
    const store_case_t *c = &store_cases[_i];
    store_t *store = store_start();
    ck_assert(store != NULL);
    for (size_t i = 0; i < c->count; i++) {
        const step_t *step = &c->steps[i];
        probe_t probe = {.port = store_port(store),
                         .method = step->method,
                         .path = step->path,
                         .body = step->body};
        probe_send(&probe);
        ck_assert_msg(probe.status == step->status, "%s, step %zu: %ld",
                      c->name, i, probe.status);
        ck_assert_msg(step->reply == NULL ||
                          strstr(probe.text, step->reply) != NULL,
                      "%s, step %zu: %s", c->name, i, probe.text);
    }
    store_free(store);
}
END_TEST

static void *
watch(void *user)
{
    probe_send(user);
    return NULL;
}

typedef struct {
    const char *name;
    const char *path; /* of the watch */
    step_t event;
    long status;
    const char *reply;
} watch_case_t;

static const watch_case_t watch_cases[] = {
    {"a change wakes the watch",
     "/v1/kv/a?index=2&wait=600s",
     {"PUT", "/v1/kv/a", "two", 200, NULL},
     200,
     "dHdv"},
    {"the creation of the key wakes the watch",
     "/v1/kv/b?index=2&wait=600s",
     {"PUT", "/v1/kv/b", "two", 200, NULL},
     200,
     "dHdv"},
    {"an outage ends the watch",
     "/v1/kv/a?index=2&wait=600s",
     {"POST", "/fault", "{\"mode\":\"down\"}", 204, NULL},
     500,
     ""},
    {"an outdated index returns at once",
     "/v1/kv/a?index=1&wait=600s",
     {"GET", "/count", NULL, 200, NULL},
     200,
     "dmFs"},
};

START_TEST(test_watch)
{
    const watch_case_t *c = &watch_cases[_i];
    store_t *store = store_start();
    ck_assert(store != NULL);
    uint16_t port = store_port(store);
    probe_t put = {.port = port, .method = "PUT", .path = "/v1/kv/a"};
    put.body = "val";
    probe_send(&put);
    probe_t watcher = {.port = port, .method = "GET", .path = c->path};
    pthread_t thread;
    pthread_create(&thread, NULL, watch, &watcher);
    probe_t event = {.port = port,
                     .method = c->event.method,
                     .path = c->event.path,
                     .body = c->event.body};
    probe_send(&event);
    ck_assert_int_eq(event.status, c->event.status);
    pthread_join(thread, NULL);
    ck_assert_msg(watcher.status == c->status, "%s: %ld", c->name,
                  watcher.status);
    ck_assert_msg(strstr(watcher.text, c->reply) != NULL, "%s: %s", c->name,
                  watcher.text);
    store_free(store);
}
END_TEST

int
main(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    TCase *tests = tcase_create("store");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_store, 0,
                        sizeof(store_cases) / sizeof(store_cases[0]));
    tcase_add_loop_test(tests, test_watch, 0,
                        sizeof(watch_cases) / sizeof(watch_cases[0]));
    int failed = suite_run("store", tests);
    curl_global_cleanup();
    return failed;
}
