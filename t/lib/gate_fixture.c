#include "t/lib/gate_fixture.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { START_US = 100000000 };

static const gate_settings_t default_settings = {.queue_max = 4,
                                                 .ramp_step_us = 10 * MS,
                                                 .ramp_successes = 2,
                                                 .crash_limit = 2,
                                                 .quarantine_us = 1000 * MS};

static const table_row_t rows[] = {
    {.service = "desk",
     .class = CLASS_DESK,
     .weight = 10,
     .upstream_slots = 4,
     .upstream_connections = 20,
     .held_connections = 4,
     .cold_slots = 1,
     .zone_slots = 6,
     .service_slots = 10},
    {.service = "night",
     .class = CLASS_BATCH,
     .weight = 1,
     .upstream_slots = 2,
     .upstream_connections = 10,
     .held_connections = 1,
     .cold_slots = 1,
     .zone_slots = 10,
     .service_slots = 10},
};

static upstream_info_t upstreams[FIXTURE_UPSTREAMS] = {
    {.name = "desk-0", .service = "desk", .zone = "a", .group = 0},
    {.name = "desk-1", .service = "desk", .zone = "b", .group = 0},
    {.name = "desk-2", .service = "desk", .zone = "a", .group = 1},
    {.name = "desk-3", .service = "desk", .zone = "b", .group = 1},
    {.name = "night-0", .service = "night", .zone = "a", .group = 0},
};

void
fixture_init(fixture_t *fixture, const gate_settings_t *settings)
{
    error_t err = ERROR_INIT;
    *fixture = (fixture_t){.owned_count = FIXTURE_UPSTREAMS};
    fixture->gate = gate_new(settings != NULL ? settings : &default_settings);
    fixture->config = config_new();
    fixture->config->row_count = 2;
    fixture->config->rows = malloc(sizeof(rows));
    memcpy(fixture->config->rows, rows, sizeof(rows));
    ck_assert_msg(topology_new(upstreams, FIXTURE_UPSTREAMS, NULL, 0,
                               &fixture->topology, &err) == STATUS_OK,
                  "%s", error_text(&err));
    for (uint32_t i = 0; i < FIXTURE_UPSTREAMS; i++) {
        fixture->owned[i] = i;
    }
    fixture_configure(fixture, 0);
}

void
fixture_release(fixture_t *fixture)
{
    gate_free(fixture->gate);
    config_put(fixture->config);
    topology_put(fixture->topology);
}

void
fixture_configure(fixture_t *fixture, int64_t now_us)
{
    gate_configure(fixture->gate, fixture->config, fixture->topology,
                   fixture->owned, fixture->owned_count, now_us);
}

part_request_t
fixture_request(uint32_t part, const char *upstream, class_t class,
                int64_t deadline_us)
{
    part_request_t request = {.id = {.incarnation = 1, .sequence = part},
                              .class = class,
                              .fingerprint = 1000 + part,
                              .deadline_us = deadline_us};
    snprintf(request.upstream, sizeof(request.upstream), "%s", upstream);
    return request;
}

static int64_t
step_us(const gate_step_t *step)
{
    return START_US + step->at_ms * MS;
}

static gate_upstream_t
fixture_report(fixture_t *fixture, const char *upstream)
{
    gate_upstream_t reports[FIXTURE_UPSTREAMS];
    size_t count = gate_report(fixture->gate, reports, FIXTURE_UPSTREAMS);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(reports[i].name, upstream) == 0) {
            return reports[i];
        }
    }
    return (gate_upstream_t){.slots = 0};
}

/* Ramps an upstream up with good replies, before the time of any step. */
static void
fixture_warm(fixture_t *fixture, const gate_step_t *step)
{
    gate_result_t good = {.status = PART_OK, .service_us = MS, .boot = 7};
    int64_t now_us = fixture->warmed_us;
    part_reply_t refusal;
    for (uint32_t i = 0;
         i < 40 || fixture_report(fixture, step->upstream).cold; i++) {
        ck_assert_uint_lt(i, 1000);
        now_us += 10 * MS;
        part_request_t request = fixture_request(
            1000000 + i, step->upstream, CLASS_DESK, now_us + 100 * MS);
        ck_assert_int_eq(
            gate_submit(fixture->gate, &request, now_us, &refusal), GATE_SEND);
        gate_finish(fixture->gate, request.id, &good, now_us + MS);
    }
    fixture->warmed_us = now_us + MS;
}

static void
step_submit(fixture_t *fixture, const gate_step_t *step, const char *where)
{
    int64_t now_us = step_us(step);
    part_request_t request =
        fixture_request(step->part, step->upstream, step->class,
                        now_us + step->deadline_ms * MS);
    if (step->fingerprint != 0) {
        request.fingerprint = step->fingerprint;
    }
    request.hedge = step->hedge;
    part_reply_t refusal;
    gate_decision_t decision =
        gate_submit(fixture->gate, &request, now_us, &refusal);
    ck_assert_msg(decision == step->decision, "%s: decision %d", where,
                  decision);
    if (decision == GATE_REFUSE) {
        ck_assert_msg(refusal.status == step->status, "%s: %s", where,
                      part_status_name(refusal.status));
        ck_assert_msg(refusal.not_run, "%s", where);
        ck_assert_msg(attempt_id_equal(refusal.id, request.id), "%s", where);
    }
}

static void
step_next(fixture_t *fixture, const gate_step_t *step, const char *where)
{
    attempt_id_t id = {.sequence = 0};
    part_reply_t refusal = {.status = PART_OK};
    gate_decision_t decision =
        gate_next(fixture->gate, step_us(step), &id, &refusal);
    ck_assert_msg(decision == step->decision, "%s: decision %d", where,
                  decision);
    if (decision != GATE_IDLE) {
        ck_assert_msg(id.sequence == step->part, "%s: part %d", where,
                      (int)id.sequence);
    }
    if (decision == GATE_REFUSE) {
        ck_assert_msg(refusal.status == step->status, "%s: %s", where,
                      part_status_name(refusal.status));
        ck_assert_msg(refusal.not_run, "%s", where);
    }
}

static void
step_zone(fixture_t *fixture, const gate_step_t *step)
{
    config_t *config = config_copy(fixture->config);
    config_put(fixture->config);
    fixture->config = config;
    ck_assert_int_eq(
        config_set_zone_out(config, step->upstream, step->result.cold, NULL),
        STATUS_OK);
    fixture_configure(fixture, step_us(step));
}

static void
step_run(fixture_t *fixture, const gate_step_t *step, const char *where)
{
    attempt_id_t id = {.incarnation = 1, .sequence = step->part};
    int64_t now_us = step_us(step);
    switch (step->op) {
    case OP_WARM:
        fixture_warm(fixture, step);
        break;
    case OP_SUBMIT:
        step_submit(fixture, step, where);
        break;
    case OP_FINISH:
        gate_finish(fixture->gate, id, &step->result, now_us);
        break;
    case OP_NEXT:
        step_next(fixture, step, where);
        break;
    case OP_CANCEL:
        ck_assert_msg(gate_cancel(fixture->gate, id) == step->result.reset,
                      "%s", where);
        break;
    case OP_HEALTH:
        gate_record_health(fixture->gate, step->upstream, step->result.cold,
                           step->result.reset, now_us);
        break;
    case OP_ZONE:
        step_zone(fixture, step);
        break;
    case OP_DISOWN:
        fixture->owned_count = 0;
        fixture_configure(fixture, now_us);
        break;
    case OP_OWN:
        fixture->owned_count = FIXTURE_UPSTREAMS;
        fixture_configure(fixture, now_us);
        break;
    case OP_SLOTS:
        ck_assert_msg(fixture_report(fixture, step->upstream).slots ==
                          step->slots,
                      "%s: %u slots", where,
                      fixture_report(fixture, step->upstream).slots);
        break;
    case OP_WAKEUP:
        ck_assert_msg(gate_wakeup(fixture->gate, now_us) ==
                          now_us + step->deadline_ms * MS,
                      "%s: %ld", where,
                      (long)(gate_wakeup(fixture->gate, now_us) - now_us));
        break;
    default:
        break;
    }
}

void
fixture_run(const gate_case_t *gate_case)
{
    fixture_t fixture;
    fixture_init(&fixture, NULL);
    for (int i = 0; gate_case->steps[i].op != OP_END; i++) {
        char where[100];
        snprintf(where, sizeof(where), "%s: step %d", gate_case->name, i);
        step_run(&fixture, &gate_case->steps[i], where);
    }
    fixture_release(&fixture);
}
