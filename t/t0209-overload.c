/*
 * Offered load far above the capacity of an upstream: the parts done in time
 * stay at the capacity, desk parts are served, and few parts finish late.
 */
#include "t/lib/gate_fixture.h"
#include "t/lib/suite.h"

#include <string.h>
#include <xxhash.h>

enum {
    TICK_US = 250,
    TICKS = 40000, /* 10 s */
    SLOTS = 2,
    SERVICE_MIN_US = 3000,
    SERVICE_SPREAD_US = 4000, /* mean 5 ms: 400 parts/s on 2 slots */
    CAPACITY = 4000,          /* parts that can run in all ticks */
    DEADLINE_US = 40000,
    PARTS_MAX = 100000
};

typedef struct {
    uint64_t sequence;
    int64_t ends_us;
    int64_t service_us;
} slot_t;

typedef struct {
    fixture_t fixture;
    uint64_t seed;
    uint64_t draws;
    int64_t now_us;
    uint64_t sequence;
    int64_t deadlines_us[PARTS_MAX];
    bool desk[PARTS_MAX];
    slot_t slots[SLOTS];
    int desk_offered;
    int desk_done;
    int done;
    int late;
    int refused_late; /* refused after the deadline */
} load_t;

static uint64_t
random_below(load_t *load, uint64_t below)
{
    uint64_t counter = load->draws++;
    return XXH64(&counter, sizeof(counter), load->seed) % below;
}

static void
load_start(load_t *load, uint64_t sequence)
{
    for (int i = 0; i < SLOTS; i++) {
        slot_t *slot = &load->slots[i];
        if (slot->ends_us == 0) {
            slot->sequence = sequence;
            slot->service_us = SERVICE_MIN_US +
                               (int64_t)random_below(load, SERVICE_SPREAD_US);
            slot->ends_us = load->now_us + slot->service_us;
            return;
        }
    }
    ck_abort_msg("more parts in progress than slots");
}

static void
load_submit(load_t *load, bool desk)
{
    uint32_t sequence = (uint32_t)++load->sequence;
    part_request_t request =
        fixture_request(sequence, "night-0", desk ? CLASS_DESK : CLASS_BATCH,
                        load->now_us + DEADLINE_US);
    part_reply_t refusal;
    load->deadlines_us[sequence] = request.deadline_us;
    load->desk[sequence] = desk;
    load->desk_offered += desk;
    if (gate_submit(load->fixture.gate, &request, load->now_us, &refusal) ==
        GATE_SEND) {
        load_start(load, sequence);
    }
}

static void
load_finish(load_t *load, slot_t *slot)
{
    gate_result_t good = {
        .status = PART_OK, .service_us = slot->service_us, .boot = 7};
    bool in_time = load->now_us <= load->deadlines_us[slot->sequence];
    load->done += in_time;
    load->late += !in_time;
    load->desk_done += in_time && load->desk[slot->sequence];
    slot->ends_us = 0;
    attempt_id_t id = {.incarnation = 1, .sequence = slot->sequence};
    gate_finish(load->fixture.gate, id, &good, load->now_us);
}

static void
load_next(load_t *load)
{
    attempt_id_t id;
    part_reply_t refusal;
    gate_decision_t decision;
    while ((decision = gate_next(load->fixture.gate, load->now_us, &id,
                                 &refusal)) != GATE_IDLE) {
        if (decision == GATE_SEND) {
            load_start(load, id.sequence);
        }
        else {
            load->refused_late +=
                load->now_us > load->deadlines_us[id.sequence];
        }
    }
}

/*
 * Offers batch parts at factor times the capacity and desk parts at half of
 * the capacity.
 */
static void
load_run(load_t *load, uint64_t factor)
{
    for (int tick = 0; tick < TICKS; tick++) {
        load->now_us += TICK_US;
        for (int i = 0; i < SLOTS; i++) {
            if (load->slots[i].ends_us != 0 &&
                load->slots[i].ends_us <= load->now_us) {
                load_finish(load, &load->slots[i]);
            }
        }
        load_next(load);
        if (random_below(load, TICKS) < CAPACITY / 2) {
            load_submit(load, true);
        }
        for (uint64_t i = 0; i < factor; i++) {
            if (random_below(load, TICKS) < CAPACITY) {
                load_submit(load, false);
            }
        }
    }
}

static const uint64_t offered[] = {1, 2, 4, 10};

START_TEST(test_goodput)
{
    static load_t load;
    static const gate_settings_t settings = {.queue_max = 64,
                                             .ramp_step_us = 10 * MS,
                                             .ramp_successes = 2,
                                             .crash_limit = 2,
                                             .quarantine_us = 1000 * MS};
    memset(&load, 0, sizeof(load));
    load.seed = (uint64_t)_i;
    load.now_us = 1000 * MS;
    fixture_init(&load.fixture, &settings);
    load_run(&load, offered[_i]);
    ck_assert_int_ge(load.done, CAPACITY * 92 / 100);
    ck_assert_int_ge(load.desk_done, load.desk_offered * 99 / 100);
    ck_assert_int_le(load.late, CAPACITY / 100);
    ck_assert_int_eq(load.refused_late, 0);
    fixture_release(&load.fixture);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("overload");
    tcase_add_loop_test(tests, test_goodput, 0,
                        sizeof(offered) / sizeof(offered[0]));
    return suite_run("overload", tests);
}
