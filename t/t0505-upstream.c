/* The upstream stand-in over HTTP: statuses, faults and what it counts. */
#include "standin/lib/host.h"
#include "t/lib/probe.h"
#include "t/lib/suite.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

typedef struct {
    const char *name;
    const char *set;     /* state before; NULL: none */
    const char *body;    /* of the part */
    const char *version; /* asked for */
    long status;
    const char *reply;   /* part of it */
    const char *counter; /* that is 1 afterwards; NULL: none */
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
    {"crossed", "{\"wrong_id\":true}", "a", "17", 200, "\"id\":\"0b-1\"",
     "ok"},
    {"closed after it ran", "{\"close_after_run\":true}", "a", "17", 0, "",
     "ok"},
    {"crash", NULL, "poison:1", "17", 0, "", "crashes"},
};

/* ledger-desk, group 0: its first replica only, on any free port. */
typedef struct {
    upstream_plan_t plan;
    ledger_t *ledger;
    host_t *host;
} site_t;

static void
site_init(site_t *site)
{
    static upstream_plan_t plans[256];
    plan_upstreams(plan_deployment("mizukumi"), 0, plans);
    site->plan = plans[0];
    site->plan.port = 0;
    site->ledger = ledger_new();
    site->host = host_new(&(host_options_t){.plans = &site->plan,
                                            .plan_count = 1,
                                            .ledger = site->ledger,
                                            .seed = 1,
                                            .version = 17,
                                            .generation = 1,
                                            .threads = 1});
    ck_assert(site->host != NULL);
}

static void
site_release(site_t *site)
{
    host_free(site->host);
    ledger_free(site->ledger);
}

static void
site_set(site_t *site, const char *text)
{
    json_t *set = json_loads(text, 0, NULL);
    host_select_t select = {.upstream = "ledger-desk-g0-r0", .group = -1};
    ck_assert_uint_eq(host_set(site->host, &select, set), 1);
    json_decref(set);
}

static json_int_t
site_total(site_t *site, const char *name)
{
    json_t *counts = ledger_json(site->ledger, 0);
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
part_init(part_t *part, const site_t *site, const char *id, const char *body,
          const char *version)
{
    (void)snprintf(part->request, sizeof(part->request),
                   "{\"upstream\":\"ledger-desk-g0-r0\",\"parts\":[{"
                   "\"id\":\"%s\",\"lo\":0,\"hi\":100,\"version\":%s,"
                   "\"generation\":1,\"deadline_ms\":60000,\"once\":true,"
                   "\"body\":\"%s\"}]}",
                   id, version, body);
    part->probe = (probe_t){.port = host_port(site->host, 0),
                            .method = "POST",
                            .path = "/v1/parts",
                            .body = part->request};
}

START_TEST(test_part)
{
    const part_case_t *c = &part_cases[_i];
    site_t site;
    part_t part;
    site_init(&site);
    if (c->set != NULL) {
        site_set(&site, c->set);
    }
    part_init(&part, &site, "ab-1", c->body, c->version);
    probe_send(&part.probe);
    ck_assert_msg(part.probe.status == c->status, "%s: %ld", c->name,
                  part.probe.status);
    ck_assert_msg(strstr(part.probe.text, c->reply) != NULL, "%s: %s", c->name,
                  part.probe.text);
    ck_assert_msg(site_total(&site, c->counter) == 1, "%s", c->name);
    site_release(&site);
}
END_TEST

START_TEST(test_doubled)
{
    site_t site;
    part_t part;
    site_init(&site);
    static const char *const bodies[] = {"a", "b", "a"};
    for (size_t i = 0; i < 3; i++) {
        part_init(&part, &site, "ab-1", bodies[i], "17");
        probe_send(&part.probe);
        ck_assert_int_eq(part.probe.status, 200);
    }
    ck_assert_int_eq(site_total(&site, "doubled"), 1);
    site_release(&site);
}
END_TEST

static void *
send_part(void *user)
{
    part_t *part = user;
    probe_send(&part->probe);
    return NULL;
}

/* Wait until a part has started: what follows is about a running part. */
static void
wait_started(site_t *site)
{
    while (site_total(site, "started") == 0) {
        struct timespec pause = {.tv_nsec = 1000000};
        (void)nanosleep(&pause, NULL);
    }
}

typedef struct {
    const char *name;
    const char *cancel; /* DELETE this path; NULL: none */
    const char *set;    /* change the state; NULL: none */
    long status;        /* of the part that was running */
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
    site_t site;
    part_t part;
    pthread_t thread;
    site_init(&site);
    site_set(&site, "{\"slow\":10000}");
    part_init(&part, &site, "ab-1", "a", "17");
    pthread_create(&thread, NULL, send_part, &part);
    wait_started(&site);
    if (c->cancel != NULL) {
        probe_t cancel = {.port = part.probe.port, .method = "DELETE"};
        cancel.path = c->cancel;
        probe_send(&cancel);
        ck_assert_int_eq(cancel.status, 202);
    }
    if (c->set != NULL) {
        site_set(&site, c->set);
    }
    pthread_join(thread, NULL);
    ck_assert_msg(part.probe.status == c->status, "%s: %ld", c->name,
                  part.probe.status);
    ck_assert(strstr(part.probe.text, c->reply) != NULL);
    ck_assert_int_eq(site_total(&site, c->counter), 1);
    site_release(&site);
}
END_TEST

/* A cold upstream with one part running takes no second one. */
START_TEST(test_cold_bound)
{
    site_t site;
    part_t first;
    part_t second;
    pthread_t thread;
    site_init(&site);
    site_set(&site, "{\"cold\":true,\"slow\":10000}");
    part_init(&first, &site, "ab-1", "a", "17");
    pthread_create(&thread, NULL, send_part, &first);
    wait_started(&site);
    part_init(&second, &site, "ab-2", "b", "17");
    probe_send(&second.probe);
    ck_assert_int_eq(second.probe.status, 503);
    ck_assert(strstr(second.probe.text, "\"cold\":true") != NULL);
    ck_assert_int_eq(site_total(&site, "cold_excess"), 1);
    ck_assert_int_eq(site_total(&site, "started"), 1);
    site_set(&site, "{\"crash\":true}");
    pthread_join(thread, NULL);
    site_release(&site);
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
