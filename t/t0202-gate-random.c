/*
 * Random traffic, compared with a model: the limits hold at every send, every
 * part gets exactly one decision, and no desk part is refused for lack of room
 * while a batch part waits.
 */
#include "t/lib/gate_fixture.h"
#include "t/lib/suite.h"

#include <string.h>
#include <xxhash.h>

enum {
    STEPS = 20000,
    PARTS = 256,
    SEEDS = 20,
    QUEUE_MAX = 12,
    SETTLE_US = 20000000
};

typedef enum { FREE, WAITING, SENT } model_state_t;

typedef struct {
    model_state_t state;
    attempt_id_t id;
    uint32_t upstream;
    class_t class;
} model_part_t;

typedef struct {
    fixture_t fixture;
    uint64_t seed;
    uint64_t draws;
    uint64_t sequence;
    int64_t now_us;
    model_part_t parts[PARTS];
    uint32_t in_progress[FIXTURE_UPSTREAMS];
    bool out[FIXTURE_UPSTREAMS];
    uint64_t sent;
    uint64_t refused;
    uint64_t cancelled;
    uint64_t evicted;
} model_t;

static uint64_t
random_below(model_t *model, uint64_t below)
{
    uint64_t counter = model->draws++;
    return XXH64(&counter, sizeof(counter), model->seed) % below;
}

static const char *
upstream_name(const model_t *model, uint32_t upstream)
{
    return model->fixture.topology->upstreams[upstream].name;
}

static model_part_t *
model_find(model_t *model, attempt_id_t id)
{
    for (int i = 0; i < PARTS; i++) {
        if (model->parts[i].state != FREE &&
            attempt_id_equal(model->parts[i].id, id)) {
            return &model->parts[i];
        }
    }
    ck_abort_msg("seed %d: the gate returned a part twice or an unknown part",
                 (int)model->seed);
    return NULL;
}

/* Upstreams 0, 2 and 4 are in zone a; 4 belongs to the other service. */
static void
check_limits(const model_t *model)
{
    const uint32_t *in_progress = model->in_progress;
    for (int i = 0; i < 4; i++) {
        ck_assert_uint_le(in_progress[i], 4);
    }
    ck_assert_uint_le(in_progress[4], 2);
    ck_assert_uint_le(in_progress[0] + in_progress[2], 6);
    ck_assert_uint_le(in_progress[1] + in_progress[3], 6);
    ck_assert_uint_le(
        in_progress[0] + in_progress[1] + in_progress[2] + in_progress[3], 10);
}

static void
model_sent(model_t *model, model_part_t *part)
{
    ck_assert(!model->out[part->upstream]);
    part->state = SENT;
    model->in_progress[part->upstream]++;
    model->sent++;
    check_limits(model);
}

static bool
batch_waits(const model_t *model)
{
    for (int i = 0; i < PARTS; i++) {
        if (model->parts[i].state == WAITING &&
            model->parts[i].class == CLASS_BATCH) {
            return true;
        }
    }
    return false;
}

static void
model_refused(model_t *model, model_part_t *part, const part_reply_t *refusal)
{
    ck_assert(refusal->not_run);
    bool limited = refusal->status == PART_LIMITED;
    ck_assert(!limited || part->class != CLASS_DESK || !batch_waits(model));
    model->evicted += limited && part->state == WAITING;
    model->refused++;
    part->state = FREE;
}

static void
act_submit(model_t *model)
{
    model_part_t *part = &model->parts[random_below(model, PARTS)];
    if (part->state != FREE) {
        return;
    }
    uint32_t upstream = (uint32_t)random_below(model, FIXTURE_UPSTREAMS);
    class_t class = (class_t)random_below(model, CLASS_COUNT);
    part_request_t request = fixture_request(
        (uint32_t)++model->sequence, upstream_name(model, upstream), class,
        model->now_us + 1 + (int64_t)random_below(model, 50 * MS));
    *part =
        (model_part_t){.id = request.id, .upstream = upstream, .class = class};
    part_reply_t refusal;
    switch (
        gate_submit(model->fixture.gate, &request, model->now_us, &refusal)) {
    case GATE_SEND:
        model_sent(model, part);
        break;
    case GATE_WAIT:
        part->state = WAITING;
        break;
    default:
        model_refused(model, part, &refusal);
        break;
    }
}

static gate_result_t
random_result(model_t *model, uint32_t upstream)
{
    static const part_status_t ends[] = {PART_OK, PART_SHED, PART_LOST,
                                         PART_FAILED};
    uint64_t kind = random_below(model, 20);
    return (gate_result_t){
        .status = kind < 4 ? ends[kind] : PART_OK,
        .service_us = 500 + (int64_t)random_below(model, 4 * MS),
        .boot = 1 + upstream + (random_below(model, 400) == 0 ? 100 : 0),
        .cold = random_below(model, 300) == 0,
        .reset = random_below(model, 4) == 0};
}

static void
model_finish(model_t *model, model_part_t *part)
{
    gate_result_t result = random_result(model, part->upstream);
    part->state = FREE;
    model->in_progress[part->upstream]--;
    gate_finish(model->fixture.gate, part->id, &result, model->now_us);
}

static void
act_finish(model_t *model)
{
    uint64_t start = random_below(model, PARTS);
    for (uint64_t i = 0; i < PARTS; i++) {
        model_part_t *part = &model->parts[(start + i) % PARTS];
        if (part->state == SENT) {
            model_finish(model, part);
            return;
        }
    }
}

static void
act_cancel(model_t *model)
{
    uint64_t start = random_below(model, PARTS);
    model_part_t *part = &model->parts[start];
    for (uint64_t i = 1; i < PARTS && part->state == FREE; i++) {
        part = &model->parts[(start + i) % PARTS];
    }
    if (part->state == FREE) {
        return;
    }
    bool freed = gate_cancel(model->fixture.gate, part->id);
    ck_assert(freed == (part->state == WAITING));
    if (freed) {
        part->state = FREE;
        model->cancelled++;
    }
}

/* Takes zone a out or puts it back, and owns a random set of upstreams. */
static void
act_configure(model_t *model)
{
    bool zone_out = random_below(model, 3) == 0;
    fixture_t *fixture = &model->fixture;
    config_t *config = config_copy(fixture->config);
    config_put(fixture->config);
    fixture->config = config;
    ck_assert_int_eq(config_set_zone_out(config, "a", zone_out, NULL),
                     STATUS_OK);
    fixture->owned_count = 0;
    for (uint32_t i = 0; i < FIXTURE_UPSTREAMS; i++) {
        bool owned = random_below(model, 4) != 0;
        model->out[i] = !owned || (zone_out && i % 2 == 0);
        if (owned) {
            fixture->owned[fixture->owned_count++] = i;
        }
    }
    fixture_configure(fixture, model->now_us);
}

static void
act_report_health(model_t *model)
{
    uint32_t upstream = (uint32_t)random_below(model, FIXTURE_UPSTREAMS);
    gate_record_health(model->fixture.gate, upstream_name(model, upstream),
                       random_below(model, 4) == 0,
                       random_below(model, 8) == 0, model->now_us);
}

static void
handle_decisions(model_t *model)
{
    attempt_id_t id;
    part_reply_t refusal;
    gate_decision_t decision;
    while ((decision = gate_next(model->fixture.gate, model->now_us, &id,
                                 &refusal)) != GATE_IDLE) {
        model_part_t *part = model_find(model, id);
        ck_assert_int_eq(part->state, WAITING);
        if (decision == GATE_SEND) {
            model_sent(model, part);
        }
        else {
            model_refused(model, part, &refusal);
        }
    }
    int64_t wakeup_us = gate_wakeup(model->fixture.gate, model->now_us);
    ck_assert(wakeup_us > model->now_us);
}

static void
model_step(model_t *model)
{
    uint64_t kind = random_below(model, 1000);
    model->now_us += (int64_t)random_below(model, 500);
    if (kind < 500) {
        act_submit(model);
    }
    else if (kind < 960) {
        act_finish(model);
    }
    else if (kind < 990) {
        act_cancel(model);
    }
    else if (kind < 998) {
        act_report_health(model);
    }
    else {
        act_configure(model);
    }
    if (random_below(model, 3) != 0) {
        handle_decisions(model);
    }
}

/* After all sent parts end and time passes, no part may be left waiting. */
static void
model_settle(model_t *model)
{
    for (int i = 0; i < PARTS; i++) {
        if (model->parts[i].state == SENT) {
            model_finish(model, &model->parts[i]);
        }
    }
    model->now_us += SETTLE_US;
    handle_decisions(model);
    for (int i = 0; i < PARTS; i++) {
        ck_assert_int_ne(model->parts[i].state, WAITING);
    }
}

START_TEST(test_random)
{
    static const gate_settings_t settings = {.queue_max = QUEUE_MAX,
                                             .ramp_step_us = 2 * MS,
                                             .ramp_successes = 2,
                                             .crash_limit = 2,
                                             .quarantine_us = 100 * MS};
    static model_t model;
    memset(&model, 0, sizeof(model));
    model.seed = (uint64_t)_i + 1;
    model.now_us = 1000 * MS;
    fixture_init(&model.fixture, &settings);
    for (int i = 0; i < STEPS; i++) {
        model_step(&model);
    }
    model_settle(&model);
    ck_assert_uint_gt(model.sent, STEPS / 8);
    ck_assert_uint_gt(model.refused, 100);
    ck_assert_uint_gt(model.evicted, 10);
    ck_assert_uint_gt(model.cancelled, 10);
    fixture_release(&model.fixture);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("gate-random");
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, test_random, 0, SEEDS);
    return suite_run("gate-random", tests);
}
