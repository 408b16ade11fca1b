/* Which parts an owner sends to an upstream in one call. */
#include "daemon/admission.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { CALLS_MAX = 64, PARTS = 6, NOW_US = 1000000 };

struct upstream_client {
    upstream_callbacks_t callbacks;
};

/* Number of parts in each call sent. */
static size_t call_parts[CALLS_MAX];
static size_t call_count;
static part_request_t sent[CALLS_MAX];
static size_t sent_count;

static upstream_client_t *
fake_new(const upstream_callbacks_t *callbacks, error_t *err)
{
    (void)err;
    upstream_client_t *client = calloc(1, sizeof(*client));
    ck_assert_ptr_nonnull(client);
    client->callbacks = *callbacks;
    return client;
}

static void
fake_free(upstream_client_t *client)
{
    free(client);
}

static void
fake_send(upstream_client_t *client, const upstream_info_t *target,
          const part_request_t *requests, size_t count, int64_t now_us)
{
    (void)client;
    (void)target;
    (void)now_us;
    call_parts[call_count++] = count;
    for (size_t i = 0; i < count; i++) {
        sent[sent_count++] = requests[i];
    }
}

static void
fake_run(upstream_client_t *client)
{
    size_t count = sent_count;
    sent_count = 0;
    for (size_t i = 0; i < count; i++) {
        part_reply_t reply = {.id = sent[i].id, .status = PART_OK};
        gate_result_t result = {
            .status = PART_OK, .service_us = 1000, .boot = 1};
        client->callbacks.result(client->callbacks.context, &reply, &result);
    }
}

static const upstream_ops_t fake_ops = {
    .new = fake_new,
    .free = fake_free,
    .send = fake_send,
    .run = fake_run,
};

static void
ignore_replies(void *context, uint64_t incarnation,
               const part_reply_t *replies, size_t count)
{
    (void)context;
    (void)incarnation;
    (void)replies;
    (void)count;
}

static config_t *
make_config(uint32_t connections)
{
    char text[512];
    error_t err = ERROR_INIT;
    table_fault_t fault;
    config_t *config;
    snprintf(text, sizeof(text),
             "rows:\n"
             "  - {service: desk, class: desk, weight: 10, deadline_ms: 100,\n"
             "     upstream_slots: %d, upstream_connections: %u,\n"
             "     held_connections: 1, cold_slots: %d, zone_slots: 60,\n"
             "     service_slots: 60, tenant_slots: 10,\n"
             "     added_load_percent: 5}\n",
             PARTS, connections, PARTS);
    ck_assert_msg(table_parse_yaml(text, strlen(text), &config, &fault,
                                   &err) == STATUS_OK,
                  "%s: %s", fault.column, fault.message);
    return config;
}

static fleet_view_t *
make_view(uint32_t connections)
{
    error_t err = ERROR_INIT;
    upstream_info_t info = {.name = "u", .service = "desk", .zone = "z"};
    fleet_view_t *view = calloc(1, sizeof(*view));
    ck_assert_ptr_nonnull(view);
    atomic_init(&view->references, 1);
    view->config = make_config(connections);
    ck_assert(topology_new(&info, 1, NULL, 0, &view->topology, &err) ==
              STATUS_OK);
    view->owner = calloc(1, sizeof(*view->owner));
    view->active = calloc(1, sizeof(*view->active));
    view->active[0] = true;
    return view;
}

static void
submit_parts(admission_t *admission, bool once)
{
    part_request_t parts[PARTS];
    for (size_t i = 0; i < PARTS; i++) {
        parts[i] = (part_request_t){
            .id = {.incarnation = 1, .sequence = 2, .attempt = (uint32_t)i},
            .service = "desk",
            .upstream = "u",
            .once = once,
            .fingerprint = i,
            .deadline_us = NOW_US + 1000000,
            .body = "",
        };
    }
    admission_submit(admission, 1, parts, PARTS, NOW_US);
    admission_step(admission, NOW_US);
}

/*
 * Parts share a call only where connections are short: a slow part delays the
 * replies to all parts of its call.
 */
typedef struct {
    const char *name;
    uint32_t connections;
    bool once;
    size_t calls;
} sharing_case_t;

static const sharing_case_t sharing_cases[] = {
    {"a connection for each part", 6, false, PARTS},
    {"more connections than slots", 45, false, PARTS},
    {"two share a connection", 3, false, PARTS / 2},
    {"one connection", 1, false, 1},
    {"a part that may run only once has its own call", 1, true, PARTS},
};

START_TEST(test_sharing)
{
    const sharing_case_t *c = &sharing_cases[_i];
    error_t err = ERROR_INIT;
    stats_t *stats = calloc(1, sizeof(*stats));
    ck_assert_ptr_nonnull(stats);
    stats_init(stats);
    atomic_llong act_until_us = NOW_US * 10;
    admission_settings_t settings = {
        .worker_count = 1,
        .gate = {.queue_max = 100,
                 .ramp_step_us = 1,
                 .ramp_successes = 1,
                 .crash_limit = 2,
                 .quarantine_us = 1000000},
        .upstream = &fake_ops,
        .act_until_us = &act_until_us,
        .drain_us = 1000000,
        .stats = stats,
        .reply = ignore_replies,
    };
    call_count = 0;
    sent_count = 0;
    admission_t *admission = admission_new(&settings, &err);
    ck_assert_ptr_nonnull(admission);
    fleet_view_t *view = make_view(c->connections);
    admission_set_view(admission, view, NOW_US);
    submit_parts(admission, c->once);
    ck_assert_msg(sent_count == PARTS, "%s: %zu parts", c->name, sent_count);
    ck_assert_msg(call_count == c->calls, "%s: %zu calls", c->name,
                  call_count);
    admission_receive(admission, NOW_US);
    admission_step(admission, NOW_US);
    ck_assert_uint_eq(admission_pending(admission), 0);
    admission_free(admission);
    fleet_view_put(view);
    free(stats);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("admission");
    tcase_add_loop_test(tests, test_sharing, 0,
                        sizeof(sharing_cases) / sizeof(sharing_cases[0]));
    return suite_run("admission", tests);
}
