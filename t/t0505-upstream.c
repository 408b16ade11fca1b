/* Tests the stand-in upstream over HTTP: its statuses, faults and counters. */
#include "standin/lib/host.h"
#include "t/lib/probe.h"
#include "t/lib/suite.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

typedef struct {
    const char *name;
    const char *set;     /* changed state before the request; NULL: none */
    const char *body;    /* of the part */
    const char *version; /* requested */
    long status;
    const char *reply;   /* expected part of the reply */
    const char *counter; /* counter that is 1 afterwards */
} part_case_t;

static const part_case_t part_cases[] = {
    {"ok", NULL, "a", "17", 200, "\"status\":\"ok\"", "ok"},
    {"held", NULL, "a", "0", 200, "\"held\":[17,16]", "ok"},
    {"no version", NULL, "a", "9", 200, "no_version", "no_version"},
    {"moved", "{\"generation\":2}", "a", "17", 200,
     "\"shards\":[{\"lo\":0,\"hi\":214748364,\"group\":0}", "moved"},
    {"shed", "{\"shed\":true}", "a", "17", 503, "\"shed\":true", "shed"},
    {"cold", "{\"cold\":true}", "a", "17", 200, "\"cold\":true", "ok"},
    {"down", "{\"down\":true}", "a", "17", 0, "", "connections_refused"},
    {"truncated", "{\"truncate\":true}", "a", "17", 0, "{\"upstream\"", "ok"},
    {"wrong part id", "{\"wrong_id\":true}", "a", "17", 200, "\"id\":\"0b-1\"",
     "ok"},
    {"closed after the run", "{\"close_after_run\":true}", "a", "17", 0, "",
     "ok"},
    {"crash", NULL, "poison:1", "17", 0, "", "crashes"},
};

/* Hosts only the first replica of group 0 of ledger-desk, on a free port. */
typedef struct {
    upstream_plan_t plan;
    ledger_t *ledger;
    host_t *host;
} fixture_t;

static void
fixture_init(fixture_t *fixture)
{
    static upstream_plan_t plans[256];
    plan_upstreams(plan_deployment("mizukumi"), 0, plans);
    fixture->plan = plans[0];
    fixture->plan.port = 0;
    fixture->ledger = ledger_new();
    fixture->host = host_new(&(host_options_t){.plans = &fixture->plan,
                                               .plan_count = 1,
                                               .ledger = fixture->ledger,
                                               .seed = 1,
                                               .version = 17,
                                               .generation = 1,
                                               .threads = 1});
    ck_assert(fixture->host != NULL);
}

static void
fixture_release(fixture_t *fixture)
{
    host_free(fixture->host);
    ledger_free(fixture->ledger);
}

static void
fixture_set(fixture_t *fixture, const char *text)
{
    json_t *set = json_loads(text, 0, NULL);
    host_select_t select = {.upstream = "ledger-desk-g0-r0", .group = -1};
    ck_assert_uint_eq(host_set(fixture->host, &select, set), 1);
    json_decref(set);
}

static json_int_t
fixture_total(fixture_t *fixture, const char *name)
{
    json_t *counts = ledger_json(fixture->ledger, 0);
    json_int_t total = json_integer_value(
        json_object_get(json_object_get(counts, "totals"), name));
    json_decref(counts);
    return total;
}

typedef struct {
    probe_t probe;
    char request[512];
} part_t;

static void
part_init(part_t *part, const fixture_t *fixture, const char *id,
          const char *body, const char *version)
{
    (void)snprintf(part->request, sizeof(part->request),
                   "{\"upstream\":\"ledger-desk-g0-r0\",\"parts\":[{"
                   "\"id\":\"%s\",\"lo\":0,\"hi\":100,\"version\":%s,"
                   "\"generation\":1,\"deadline_ms\":60000,\"once\":true,"
                   "\"body\":\"%s\"}]}",
                   id, version, body);
    part->probe = (probe_t){.port = host_port(fixture->host, 0),
                            .method = "POST",
                            .path = "/v1/parts",
                            .body = part->request};
}

START_TEST(test_part)
{
    const part_case_t *c = &part_cases[_i];
    fixture_t fixture;
    part_t part;
    fixture_init(&fixture);
    if (c->set != NULL) {
        fixture_set(&fixture, c->set);
    }
    part_init(&part, &fixture, "ab-1", c->body, c->version);
    probe_send(&part.probe);
    ck_assert_msg(part.probe.status == c->status, "%s: %ld", c->name,
                  part.probe.status);
    ck_assert_msg(strstr(part.probe.text, c->reply) != NULL, "%s: %s", c->name,
                  part.probe.text);
    ck_assert_msg(fixture_total(&fixture, c->counter) == 1, "%s", c->name);
    fixture_release(&fixture);
}
END_TEST

START_TEST(test_doubled)
{
    fixture_t fixture;
    part_t part;
    fixture_init(&fixture);
    static const char *const bodies[] = {"a", "b", "a"};
    for (size_t i = 0; i < 3; i++) {
        part_init(&part, &fixture, "ab-1", bodies[i], "17");
        probe_send(&part.probe);
        ck_assert_int_eq(part.probe.status, 200);
    }
    ck_assert_int_eq(fixture_total(&fixture, "doubled"), 1);
    fixture_release(&fixture);
}
END_TEST

static void *
send_part(void *user)
{
    part_t *part = user;
    probe_send(&part->probe);
    return NULL;
}

/* Waits until a part has started, for tests of running parts. */
static void
wait_started(fixture_t *fixture)
{
    while (fixture_total(fixture, "started") == 0) {
        struct timespec pause = {.tv_nsec = 1000000};
        (void)nanosleep(&pause, NULL);
    }
}

typedef struct {
    const char *name;
    const char *cancel; /* path to DELETE; NULL: none */
    const char *set;    /* change of the state; NULL: none */
    long status;        /* expected for the running part */
    const char *reply;
    const char *counter;
} running_case_t;

static const running_case_t running_cases[] = {
    {"cancelled", "/v1/parts/ab-1", NULL, 200, "\"status\":\"failed\"",
     "cancelled"},
    {"crash", NULL, "{\"crash\":true}", 0, "", "crashes"},
    {"down", NULL, "{\"down\":true,\"slow\":1}", 0, "", "started"},
};

START_TEST(test_running)
{
    const running_case_t *c = &running_cases[_i];
    fixture_t fixture;
    part_t part;
    pthread_t thread;
    fixture_init(&fixture);
    fixture_set(&fixture, "{\"slow\":10000}");
    part_init(&part, &fixture, "ab-1", "a", "17");
    pthread_create(&thread, NULL, send_part, &part);
    wait_started(&fixture);
    if (c->cancel != NULL) {
        probe_t cancel = {.port = part.probe.port, .method = "DELETE"};
        cancel.path = c->cancel;
        probe_send(&cancel);
        ck_assert_int_eq(cancel.status, 202);
    }
    if (c->set != NULL) {
        fixture_set(&fixture, c->set);
    }
    pthread_join(thread, NULL);
    ck_assert_msg(part.probe.status == c->status, "%s: %ld", c->name,
                  part.probe.status);
    ck_assert(strstr(part.probe.text, c->reply) != NULL);
    ck_assert_int_eq(fixture_total(&fixture, c->counter), 1);
    fixture_release(&fixture);
}
END_TEST

/* A cold upstream that runs a part refuses a second part. */
START_TEST(test_cold_bound)
{
    fixture_t fixture;
    part_t first;
    part_t second;
    pthread_t thread;
    fixture_init(&fixture);
    fixture_set(&fixture, "{\"cold\":true,\"slow\":10000}");
    part_init(&first, &fixture, "ab-1", "a", "17");
    pthread_create(&thread, NULL, send_part, &first);
    wait_started(&fixture);
    part_init(&second, &fixture, "ab-2", "b", "17");
    probe_send(&second.probe);
    ck_assert_int_eq(second.probe.status, 503);
    ck_assert(strstr(second.probe.text, "\"cold\":true") != NULL);
    ck_assert_int_eq(fixture_total(&fixture, "cold_excess"), 1);
    ck_assert_int_eq(fixture_total(&fixture, "started"), 1);
    fixture_set(&fixture, "{\"crash\":true}");
    pthread_join(thread, NULL);
    fixture_release(&fixture);
}
END_TEST

#define COUNT(cases) (int)(sizeof(cases) / sizeof((cases)[0]))

int
main(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    TCase *tests = tcase_create("upstream");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_part, 0, COUNT(part_cases));
    tcase_add_test(tests, test_doubled);
    tcase_add_loop_test(tests, test_running, 0, COUNT(running_cases));
    tcase_add_test(tests, test_cold_bound);
    int failed = suite_run("upstream", tests);
    curl_global_cleanup();
    return failed;
}
