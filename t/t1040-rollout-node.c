/*
 * Rollouts by daemons on loopback sockets: orders and statuses in the store,
 * reports between daemons, and what the upstreams of both versions receive.
 */
#include "daemon/clock.h"
#include "t/lib/suite.h"
#include "t/lib/tier_address.h"
#include "t/lib/tier_fixture.h"
#include "tier/fleet_state.h"
#include "tier/node.h"
#include "tier/rollout_message.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    DAEMONS = 2,
    NEW = 2,          /* upstreams of the new version */
    INTERVAL_MS = 10, /* between two requests, in turn to each daemon */
    OVER_S = 6,
    SLACK = 20
};

#define STATUS_KEY "status/rollout/s0"
#define ORDER_KEY "op/rollout/s0"
#define FAILING_RESPONSE                                                      \
    "HTTP/1.1 500 Oops\r\n" SIGNED_HEADERS "Content-Length: 1\r\n\r\nx"

/* What happens during a rollout, at a time in milliseconds after the order. */
typedef enum {
    NOTHING,
    KILL_DECIDER, /* the first daemon */
    STORE_AWAY,   /* from then on, */
    STORE_BACK,   /* until then */
    RESTART_ALL,
    REMOVE_ORDER,
    BAD_NOW /* the new version fails from then on */
} happening_t;

typedef struct {
    int at_ms;
    happening_t what;
} event_t;

typedef struct {
    const char *name;
    const char *state; /* at the end; NULL: none is written */
    const char *path;  /* of the requests */
    event_t events[3];
    bool old_order;   /* it is written before the daemons start */
    bool off;         /* the first daemon has no bounds for rollouts, as an
                         older build */
    int runs_ms;      /* 0: OVER_S and a second */
    uint32_t new_max; /* requests at the new version; 0: as the bounds say */
} rollout_case_t;

static const rollout_case_t rollout_cases[] = {
    {.name = "good", .state = "complete", .path = "/one/"},
    {.name = "bad",
     .state = "reverted",
     .path = "/once/",
     .events = {{0, BAD_NOW}}},
    {.name = "bad, retried",
     .state = "reverted",
     .path = "/one/",
     .events = {{0, BAD_NOW}}},
    {.name = "bad later",
     .state = "reverted",
     .path = "/once/",
     .events = {{2500, BAD_NOW}}},
    {.name = "bad, the decider is lost",
     .state = "reverted",
     .path = "/once/",
     .events = {{1000, KILL_DECIDER}, {1500, BAD_NOW}}},
    {.name = "good, the decider is lost",
     .state = "complete",
     .path = "/one/",
     .events = {{2000, KILL_DECIDER}},
     .runs_ms = 9000},
    {.name = "bad, the store is away",
     .state = "reverted",
     .path = "/once/",
     .events = {{1500, STORE_AWAY}, {1600, BAD_NOW}, {5000, STORE_BACK}},
     .runs_ms = 9000},
    {.name = "bad, all daemons restart",
     .state = "reverted",
     .path = "/once/",
     .events = {{1500, RESTART_ALL}, {1600, BAD_NOW}},
     .runs_ms = 9000},
    /* Nothing is sent to the new version without word of the status. */
    {.name = "cut off from the store and from the other daemon",
     .state = "active",
     .path = "/one/",
     .events = {{1500, KILL_DECIDER}, {1500, STORE_AWAY}}},
    {.name = "ordered while the store is away",
     .state = "complete",
     .path = "/one/",
     .events = {{0, STORE_AWAY}, {2500, STORE_BACK}},
     .runs_ms = 11000},
    {.name = "withdrawn",
     .state = "reverted",
     .path = "/one/",
     .events = {{2000, REMOVE_ORDER}}},
    {.name = "ordered before the daemons start",
     .state = "complete",
     .path = "/one/",
     .old_order = true},
    {.name = "the first daemon is of an older build",
     .state = "reverted",
     .path = "/once/",
     .events = {{0, BAD_NOW}},
     .off = true,
     /* It knows of no versions. */
     .new_max = 1000},
};

typedef struct {
    fixture_t f; /* its node is the first daemon */
    boot_t boots[DAEMONS];
    node_t *nodes[DAEMONS];
    tier_upstream_server_t *fresh[NEW];
    uint32_t sent;
    uint32_t unanswered;
} world_t;

static void
put_version(world_t *w, const char *id, const struct sockaddr_in *address,
            const char *version, int born)
{
    char key[64];
    char text[256];
    char host[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &address->sin_addr, host, sizeof(host));
    snprintf(key, sizeof(key), "servers/%s", id);
    snprintf(text, sizeof(text),
             "{\"service\":\"s0\",\"addr\":\"%s:%u\",\"zone\":\"a\","
             "\"version\":\"%s\",\"slots\":8,\"state\":\"ready\",\"born\":%d,"
             "\"cold_left_ms\":0,\"seq\":1}",
             host, ntohs(address->sin_port), version, born);
    tier_store_put(w->f.store, key, text);
}

static void
node_begin(world_t *w, int number)
{
    char why[128];
    w->nodes[number] =
        node_start(w->f.loop, &w->boots[number], why, sizeof(why));
    ck_assert_msg(w->nodes[number] != NULL, "%s", why);
}

static void
put_order(world_t *w)
{
    char text[128];
    snprintf(text, sizeof(text),
             "{\"service\":\"s0\",\"target_version\":\"v2\",\"over_s\":%d}",
             OVER_S);
    tier_store_put(w->f.store, ORDER_KEY, text);
}

static void
world_init(world_t *w, const rollout_case_t *c)
{
    static const tier_script_t good = {.bytes = GOOD_RESPONSE};
    memset(w, 0, sizeof(*w));
    fixture_init(&w->f);
    node_free(w->f.node);
    w->f.node = NULL;
    put_version(w, "i-0", tier_upstream_address(w->f.upstreams[0]), "v1", 10);
    for (int i = 0; i < NEW; i++) {
        char id[16];
        struct sockaddr_in address = unique_loopback_address();
        snprintf(id, sizeof(id), "n-%d", i);
        w->fresh[i] = tier_upstream_new(w->f.loop, &address, &good);
        put_version(w, id, &address, "v2", 20);
    }
    if (c->old_order) {
        put_order(w);
    }
    for (int i = 0; i < DAEMONS; i++) {
        boot_t *boot = &w->boots[i];
        *boot = w->f.boot;
        snprintf(boot->daemon_name, sizeof(boot->daemon_name), "front-%d", i);
        if (i > 0) {
            boot->callers_address = unique_loopback_address();
            boot->readiness_address = unique_loopback_address();
            boot->directory_address = unique_loopback_address();
            boot->control_address = unique_loopback_address();
        }
        snprintf(boot->callers_address_text,
                 sizeof(boot->callers_address_text), "127.0.0.1:%u",
                 ntohs(boot->callers_address.sin_port));
        inet_ntop(AF_INET, &boot->control_address.sin_addr,
                  boot->control_address_text, INET_ADDRSTRLEN);
        snprintf(boot->control_address_text +
                     strlen(boot->control_address_text),
                 8, ":%u", ntohs(boot->control_address.sin_port));
        boot->canary_share = c->off && i == 0 ? 0 : 0.1;
        boot->canary_slack = SLACK;
        boot->rollback_us = 5000000;
        node_begin(w, i);
    }
    run_ms(&w->f, 2500);
}

static void
world_release(world_t *w)
{
    for (int i = 0; i < DAEMONS; i++) {
        node_free(w->nodes[i]);
    }
    for (int i = 0; i < NEW; i++) {
        tier_upstream_free(w->fresh[i]);
    }
    fixture_release(&w->f);
}

static void
world_happen(world_t *w, happening_t what)
{
    static const tier_script_t failing = {.bytes = FAILING_RESPONSE};
    switch (what) {
    case KILL_DECIDER:
        node_free(w->nodes[0]);
        w->nodes[0] = NULL;
        break;
    case STORE_AWAY:
    case STORE_BACK:
        tier_store_set_mode(w->f.store, what == STORE_AWAY
                                            ? TIER_STORE_UNAVAILABLE
                                            : TIER_STORE_NORMAL);
        break;
    case RESTART_ALL:
        for (int i = 0; i < DAEMONS; i++) {
            node_free(w->nodes[i]);
            node_begin(w, i);
        }
        break;
    case REMOVE_ORDER:
        tier_store_remove(w->f.store, ORDER_KEY);
        break;
    case BAD_NOW:
        for (int i = 0; i < NEW; i++) {
            tier_upstream_set(w->fresh[i], &failing);
        }
        break;
    default:
        break;
    }
}

static uint32_t
new_requests(const world_t *w)
{
    uint32_t requests = 0;
    for (int i = 0; i < NEW; i++) {
        requests += tier_upstream_requests(w->fresh[i]);
    }
    return requests;
}

/* Send requests in turn to the daemons for some time, each on a connection of
   its own. */
static void
world_traffic(world_t *w, const rollout_case_t *c, int ms)
{
    static caller_t callers[64];
    size_t used = 0;
    int64_t start_us = clock_now_us();
    for (int n = 0; n * INTERVAL_MS < ms; n++) {
        for (int i = 0; i < 3; i++) {
            int at_ms = c->events[i].at_ms;
            if (c->events[i].what != NOTHING && at_ms >= n * INTERVAL_MS &&
                at_ms < (n + 1) * INTERVAL_MS) {
                world_happen(w, c->events[i].what);
            }
        }
        int daemon = n % DAEMONS;
        if (w->nodes[daemon] != NULL) {
            char request[256];
            caller_t *caller = &callers[used++ % 64];
            if (used > 64) {
                w->unanswered += caller->size == 0;
                conn_close(&caller->conn);
            }
            snprintf(request, sizeof(request),
                     "GET %sx HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: "
                     "r-%u\r\nX-Yuccarun-Deadline-Ms: 600\r\n\r\n",
                     c->path, w->sent++);
            caller_open(&w->f, caller, &w->boots[daemon].callers_address);
            caller_send(caller, request);
        }
        int64_t left_ms =
            (n + 1) * INTERVAL_MS - (clock_now_us() - start_us) / 1000;
        run_ms(&w->f, left_ms > 1 ? left_ms : 1);
    }
    run_ms(&w->f, 200);
    for (size_t i = 0; i < 64 && i < used; i++) {
        conn_close(&callers[i].conn);
    }
}

START_TEST(test_rollout)
{
    const rollout_case_t *c = &rollout_cases[_i];
    static world_t w;
    world_init(&w, c);
    /* Upstreams of a version that no order names get nothing. */
    if (!c->old_order && !c->off) {
        world_traffic(&w, &(rollout_case_t){.path = c->path}, 300);
        ck_assert_msg(new_requests(&w) == 0, "%s: %u before the order",
                      c->name, new_requests(&w));
        put_order(&w);
    }
    else if (c->off) {
        put_order(&w);
    }
    uint32_t before = w.sent;
    world_traffic(&w, c, c->runs_ms > 0 ? c->runs_ms : OVER_S * 1000 + 1000);
    const char *status = tier_store_get(w.f.store, STATUS_KEY);
    ck_assert_msg(status != NULL && strstr(status, c->state) != NULL,
                  "%s: status %s, new %u of %u", c->name,
                  status != NULL ? status : "-", new_requests(&w),
                  w.sent - before);
    uint32_t requests = new_requests(&w);
    uint32_t most =
        c->new_max > 0 ? c->new_max : (w.sent - before) / 10 + SLACK;
    if (strcmp(c->state, "reverted") == 0) {
        ck_assert_msg(requests > 0 && requests <= most, "%s: %u of %u",
                      c->name, requests, w.sent - before);
    }
    /* After the verdict only one version gets requests. */
    uint32_t old = tier_upstream_requests(w.f.upstreams[0]);
    world_traffic(&w, &(rollout_case_t){.path = c->path}, 300);
    bool complete = strcmp(c->state, "complete") == 0;
    ck_assert_msg(
        c->off || (complete ? tier_upstream_requests(w.f.upstreams[0]) == old
                            : new_requests(&w) == requests),
        "%s: old %u new %u after the verdict", c->name,
        tier_upstream_requests(w.f.upstreams[0]) - old,
        new_requests(&w) - requests);
    ck_assert_msg(w.unanswered == 0, "%s: %u unanswered", c->name,
                  w.unanswered);
    world_release(&w);
}
END_TEST

/* Without the bounds nothing is followed, held back or written. */
START_TEST(test_off)
{
    static world_t w;
    const rollout_case_t c = {.name = "off", .path = "/one/"};
    world_init(&w, &(rollout_case_t){.off = true});
    node_free(w.nodes[1]);
    w.nodes[1] = NULL;
    put_order(&w);
    world_traffic(&w, &c, 2000);
    for (int i = 0; i < NEW; i++) {
        ck_assert_uint_gt(tier_upstream_requests(w.fresh[i]), 0);
    }
    ck_assert_ptr_null(tier_store_get(w.f.store, STATUS_KEY));
    world_release(&w);
}
END_TEST

/* Reports of other builds and broken ones: what is not known is left out. */
typedef struct {
    const char *text;
    bool valid;
    uint32_t keys;
    uint32_t answers; /* of the new version in the first cell */
} report_case_t;

static const report_case_t report_cases[] = {
    {"{\"cells\":[[5,6,1,9,2,3,7]]}", true, 1, 9},
    {"{\"cells\":[[5,6,1,9,2,3,7],[5,6,0,1,0]],\"more\":1}", true, 1, 9},
    {"{\"cells\":[[5,6,1,9,2,99,7,3]]}", true, 1, 9},
    {"{\"cells\":[[5,6,2,9,2]]}", true, 0, 0},
    {"{\"cells\":[[0,6,1,9,2]]}", true, 0, 0},
    {"{\"cells\":[[5,6,1]]}", true, 0, 0},
    {"{\"cells\":[[5,6,1,-9,2]]}", true, 1, 0},
    {"{\"cells\":[7,\"x\",null]}", true, 0, 0},
    {"{\"cells\":7}", false, 0, 0},
    {"[]", false, 0, 0},
};

START_TEST(test_report)
{
    const report_case_t *c = &report_cases[_i];
    static rollout_report_t report;
    static rollout_report_t again;
    json_t *row = json_loads(c->text, 0, NULL);
    ck_assert_msg(rollout_report_parse(&report, row) == c->valid, "%s",
                  c->text);
    json_decref(row);
    ck_assert_msg(report.key_count == c->keys &&
                      report.cells[0][ROLLOUT_NEW].answers == c->answers,
                  "%s", c->text);
    row = rollout_report_json("s", 7, &report);
    ck_assert(rollout_report_parse(&again, row));
    json_t *row_again = rollout_report_json("s", 7, &again);
    ck_assert_msg(json_equal(row, row_again), "%s", c->text);
    json_decref(row_again);
    json_decref(row);
}
END_TEST

/* Daemons that do not read the store get orders and statuses with the state,
   unless they have the same; the request of a daemon without rollouts is the
   one of older builds. */
START_TEST(test_state)
{
    registry_t registry;
    members_t members;
    registry_init(&registry);
    members_init(&members, 0);
    char target[512];
    for (uint64_t known = 0; known < 3; known++) {
        fleet_digest_t digest = {.rollouts = known};
        fleet_digest_t have;
        ck_assert_uint_gt(
            fleet_query_write(target, sizeof(target), "/x", &digest), 0);
        ck_assert_msg((strstr(target, "rollouts") != NULL) == (known > 0),
                      "%s", target);
        fleet_query_parse(&have, target);
        fleet_state_t sent = {.rollouts = json_pack("[i]", 4),
                              .rollouts_digest = 2};
        size_t size;
        char *text =
            fleet_state_write(&sent, &have, &registry, &members, 0, &size);
        json_decref(sent.rollouts);
        fleet_state_t state;
        ck_assert(fleet_state_parse(&state, text, size));
        ck_assert((fleet_state_rollouts(&state) != NULL) == (known != 2));
        fleet_state_release(&state);
        free(text);
    }
    members_release(&members);
    registry_release(&registry);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("rollout-node");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_rollout, 0,
                        sizeof(rollout_cases) / sizeof(rollout_cases[0]));
    tcase_add_test(tests, test_off);
    tcase_add_loop_test(tests, test_report, 0,
                        sizeof(report_cases) / sizeof(report_cases[0]));
    tcase_add_test(tests, test_state);
    return suite_run("rollout-node", tests);
}
