/* Queries that crash upstreams are refused; harmless queries still run. */
#include "core/quarantine.h"
#include "t/lib/gate_fixture.h"
#include "t/lib/suite.h"

#include <string.h>
#include <xxhash.h>

#define SUBMIT(n, up, fp, ...)                                                \
    {                                                                         \
        .op = OP_SUBMIT, .part = (n), .upstream = (up), .fingerprint = (fp),  \
        .deadline_ms = 500, __VA_ARGS__                                       \
    }
#define SEND .decision = GATE_SEND
#define WAIT .decision = GATE_WAIT
#define REFUSE .decision = GATE_REFUSE, .status = PART_QUARANTINED
#define NEXT(n, ...)                                                          \
    {                                                                         \
        .op = OP_NEXT, .part = (n), __VA_ARGS__                               \
    }
#define GOOD(n, b)                                                            \
    {                                                                         \
        .op = OP_FINISH, .part = (n), .result = {                             \
            .status = PART_OK,                                                \
            .service_us = MS,                                                 \
            .boot = (b)                                                       \
        }                                                                     \
    }
#define BROKEN(n, ...)                                                        \
    {                                                                         \
        .op = OP_FINISH, .part = (n),                                         \
        .result = {.status = PART_LOST, .reset = true}, __VA_ARGS__           \
    }
#define TIMEOUT(n)                                                            \
    {                                                                         \
        .op = OP_FINISH, .part = (n), .result = {.status = PART_LOST }        \
    }
#define UNSENT(n)                                                             \
    {                                                                         \
        .op = OP_FINISH, .part = (n), .result = {                             \
            .status = PART_LOST,                                              \
            .reset = true,                                                    \
            .not_run = true                                                   \
        }                                                                     \
    }
#define WARM(up)                                                              \
    {                                                                         \
        .op = OP_WARM, .upstream = (up)                                       \
    }
#define D0 "desk-0"
#define D2 "desk-2"

/* The fixture has a crash limit of 2; OP_WARM leaves boot id 7. */
static const gate_case_t cases[] = {
    {"two crashes alone put a fingerprint in quarantine",
     {WARM(D0), SUBMIT(1, D0, 5, SEND), BROKEN(1), SUBMIT(2, D2, 5, SEND),
      BROKEN(2), SUBMIT(3, D0, 5, REFUSE), SUBMIT(4, D0, 6, SEND), GOOD(4, 8),
      SUBMIT(5, D0, 5, .at_ms = 999, REFUSE),
      SUBMIT(6, D0, 5, .at_ms = 1000, SEND), BROKEN(6, .at_ms = 1000),
      SUBMIT(7, D0, 5, .at_ms = 1001, REFUSE)}},
    {"shared crashes make suspects; a run alone clears or refuses",
     {WARM(D0), WARM(D2), SUBMIT(1, D0, 5, SEND), SUBMIT(2, D0, 6, SEND),
      BROKEN(1), BROKEN(2), SUBMIT(3, D0, 5, SEND), SUBMIT(4, D0, 9, WAIT),
      SUBMIT(5, D2, 5, WAIT), BROKEN(3), NEXT(5, REFUSE),
      NEXT(4, .at_ms = 20, SEND), SUBMIT(6, D0, 6, .at_ms = 20, WAIT),
      GOOD(4, 8), NEXT(6, .at_ms = 20, SEND), GOOD(6, 8),
      SUBMIT(7, D2, 6, SEND), SUBMIT(8, D2, 6, SEND)}},
    {"timeouts with an unchanged boot id are not counted",
     {WARM(D0), SUBMIT(1, D0, 5, SEND), TIMEOUT(1), SUBMIT(2, D0, 5, SEND),
      TIMEOUT(2), SUBMIT(3, D0, 6, SEND), GOOD(3, 7), SUBMIT(4, D0, 5, SEND),
      SUBMIT(5, D0, 5, SEND)}},
    {"timeouts are counted when the boot id turns out changed",
     {WARM(D0), SUBMIT(1, D0, 5, SEND), TIMEOUT(1), SUBMIT(2, D0, 6, SEND),
      GOOD(2, 8), SUBMIT(3, D0, 5, SEND), TIMEOUT(3), SUBMIT(4, D0, 6, SEND),
      GOOD(4, 9), SUBMIT(5, D0, 5, REFUSE)}},
    {"a crash is taken back if the boot id is unchanged",
     {WARM(D0), WARM(D2), SUBMIT(1, D0, 5, SEND), BROKEN(1),
      SUBMIT(2, D0, 6, SEND), GOOD(2, 7), SUBMIT(3, D0, 5, SEND), BROKEN(3),
      SUBMIT(4, D0, 6, SEND), GOOD(4, 7), SUBMIT(5, D0, 5, SEND),
      SUBMIT(6, D2, 5, SEND)}},
    {"the first of two parts in progress did not run alone",
     {WARM(D0), WARM(D2), SUBMIT(1, D0, 5, SEND), SUBMIT(2, D0, 6, SEND),
      SUBMIT(3, D2, 5, SEND), SUBMIT(4, D2, 6, SEND), BROKEN(1), BROKEN(2),
      BROKEN(3), BROKEN(4), SUBMIT(5, D0, 5, SEND), SUBMIT(6, D0, 6, WAIT)}},
    {"a timeout across a restart makes a suspect",
     {WARM(D0), WARM(D2), SUBMIT(1, D0, 5, SEND), SUBMIT(2, D0, 6, SEND),
      GOOD(2, 8), TIMEOUT(1), SUBMIT(3, D0, 5, SEND), SUBMIT(4, D2, 5, WAIT)}},
    {"a part that was never sent is not counted",
     {WARM(D0), SUBMIT(1, D0, 5, SEND), UNSENT(1), SUBMIT(2, D0, 5, SEND),
      UNSENT(2), SUBMIT(3, D0, 6, SEND), GOOD(3, 8), SUBMIT(4, D0, 5, SEND),
      GOOD(4, 8), SUBMIT(5, D2, 5, SEND)}},
    {"cancelling a waiting suspect releases its claim",
     {WARM(D0),
      WARM(D2),
      SUBMIT(1, D0, 5, SEND),
      BROKEN(1),
      SUBMIT(2, D0, 9, SEND),
      SUBMIT(3, D0, 5, WAIT),
      SUBMIT(4, D2, 5, WAIT),
      {.op = OP_CANCEL, .part = 3, .result.reset = true},
      NEXT(4, SEND)}},
};

START_TEST(test_quarantine)
{
    fixture_run(&cases[_i]);
}
END_TEST

START_TEST(test_quarantine_from_peer)
{
    fixture_t fixture;
    fixture_init(&fixture, NULL);
    part_request_t request = fixture_request(1, D0, CLASS_DESK, 100 * MS);
    part_reply_t refusal;
    uint64_t found[2] = {0};
    gate_add_quarantine(fixture.gate, request.fingerprint, 0);
    ck_assert_int_eq(gate_submit(fixture.gate, &request, 0, &refusal),
                     GATE_REFUSE);
    ck_assert_int_eq(refusal.status, PART_QUARANTINED);
    ck_assert_int_eq(refusal.retry_after_us, 1000 * MS);
    ck_assert_uint_eq(gate_take_new_quarantines(fixture.gate, found, 2), 0);
    for (uint32_t part = 2; part < 4; part++) {
        request = fixture_request(part, D0, CLASS_DESK, 100 * MS);
        request.fingerprint = 77;
        gate_result_t crash = {.status = PART_LOST, .reset = true};
        ck_assert_int_eq(gate_submit(fixture.gate, &request, 0, &refusal),
                         GATE_SEND);
        gate_finish(fixture.gate, request.id, &crash, 0);
    }
    ck_assert_uint_eq(gate_take_new_quarantines(fixture.gate, found, 2), 1);
    ck_assert_uint_eq(found[0], 77);
    ck_assert_uint_eq(gate_take_new_quarantines(fixture.gate, found, 2), 0);
    fixture_release(&fixture);
}
END_TEST

/* A full table replaces suspects before fingerprints in quarantine. */
START_TEST(test_full_table)
{
    quarantine_t *quarantine = quarantine_new(2, 1000 * MS, 0);
    quarantine_add(quarantine, 1, 0);
    for (uint64_t i = 2; i < 100000; i++) {
        quarantine_record_crash(quarantine, i, false, 0);
    }
    ck_assert_int_eq(quarantine_status(quarantine, 1, 0), QUARANTINE_REFUSED);
    ck_assert_int_eq(quarantine_status(quarantine, 99999, 0),
                     QUARANTINE_SUSPECT);
    ck_assert_int_eq(quarantine_status(quarantine, 3, 0), QUARANTINE_CLEAR);
    quarantine_free(quarantine);
}
END_TEST

enum {
    CRASHING_QUERY = 1,
    TICKS = 2000,
    SIM_PARTS = 64,
    RESEND_TICKS = 25,
    SUBMITS_MAX = 16384
};

typedef struct {
    attempt_id_t id;
    uint64_t fingerprint;
    uint32_t upstream;
    int ends_at; /* 0: not in progress */
} sim_part_t;

/* Upstreams that crash at the end of CRASHING_QUERY and lose all parts. */
typedef struct {
    fixture_t fixture;
    uint64_t seed;
    int tick;
    uint32_t sequence;
    uint64_t boot[FIXTURE_UPSTREAMS];
    uint64_t fingerprints[SUBMITS_MAX]; /* by sequence */
    uint32_t upstreams[SUBMITS_MAX];
    sim_part_t running[SIM_PARTS];
    int crashes;
    int harmless_quarantined;
    int harmless_done;
    int crashing_refused;
} sim_t;

static void
sim_start(sim_t *sim, uint32_t sequence)
{
    for (int i = 0; i < SIM_PARTS; i++) {
        sim_part_t *part = &sim->running[i];
        if (part->ends_at == 0) {
            part->id = (attempt_id_t){.incarnation = 1, .sequence = sequence};
            part->fingerprint = sim->fingerprints[sequence];
            part->upstream = sim->upstreams[sequence];
            part->ends_at = sim->tick + 2;
            return;
        }
    }
    ck_abort_msg("more parts in progress than the limits allow");
}

static void
sim_refused(sim_t *sim, const part_reply_t *refusal)
{
    bool crashing = sim->fingerprints[refusal->id.sequence] == CRASHING_QUERY;
    bool quarantined = refusal->status == PART_QUARANTINED;
    sim->crashing_refused += crashing && quarantined;
    sim->harmless_quarantined += !crashing && quarantined;
}

static void
sim_submit(sim_t *sim, uint32_t upstream, uint64_t fingerprint)
{
    uint32_t sequence = ++sim->sequence;
    const char *name = sim->fixture.topology->upstreams[upstream].name;
    part_request_t request =
        fixture_request(sequence, name, CLASS_DESK, (sim->tick + 100) * MS);
    part_reply_t refusal;
    request.fingerprint = fingerprint;
    sim->fingerprints[sequence] = fingerprint;
    sim->upstreams[sequence] = upstream;
    switch (
        gate_submit(sim->fixture.gate, &request, sim->tick * MS, &refusal)) {
    case GATE_SEND:
        sim_start(sim, sequence);
        break;
    case GATE_REFUSE:
        sim_refused(sim, &refusal);
        break;
    default:
        break;
    }
}

static void
sim_crash(sim_t *sim, uint32_t upstream)
{
    gate_result_t lost = {.status = PART_LOST, .reset = true};
    sim->crashes++;
    sim->boot[upstream]++;
    for (int i = 0; i < SIM_PARTS; i++) {
        sim_part_t *part = &sim->running[i];
        if (part->ends_at != 0 && part->upstream == upstream) {
            part->ends_at = 0;
            gate_finish(sim->fixture.gate, part->id, &lost, sim->tick * MS);
        }
    }
}

static void
sim_end(sim_t *sim, sim_part_t *part)
{
    if (part->fingerprint == CRASHING_QUERY) {
        sim_crash(sim, part->upstream);
        return;
    }
    gate_result_t good = {.status = PART_OK,
                          .service_us = 2 * MS,
                          .boot = sim->boot[part->upstream]};
    part->ends_at = 0;
    sim->harmless_done++;
    gate_finish(sim->fixture.gate, part->id, &good, sim->tick * MS);
}

static void
sim_tick(sim_t *sim)
{
    sim->tick++;
    for (int i = 0; i < SIM_PARTS; i++) {
        if (sim->running[i].ends_at == sim->tick) {
            sim_end(sim, &sim->running[i]);
        }
    }
    uint64_t hash = XXH64(&sim->tick, sizeof(sim->tick), sim->seed);
    for (uint32_t upstream = 0; upstream < 4; upstream++) {
        if (sim->tick >= 200 && sim->tick % RESEND_TICKS == 0) {
            sim_submit(sim, upstream, CRASHING_QUERY);
        }
        if (hash >> (upstream * 8) & 1) {
            sim_submit(sim, upstream, 100 + hash / 64 % 50);
        }
    }
    attempt_id_t id;
    part_reply_t refusal;
    gate_decision_t decision;
    while ((decision = gate_next(sim->fixture.gate, sim->tick * MS, &id,
                                 &refusal)) != GATE_IDLE) {
        if (decision == GATE_SEND) {
            sim_start(sim, (uint32_t)id.sequence);
        }
        else {
            sim_refused(sim, &refusal);
        }
    }
}

/*
 * The first fan-out of a crashing query may crash each of the four upstreams
 * once. At most two more crashes may follow, although the caller repeats the
 * query.
 */
START_TEST(test_simulation)
{
    static const gate_settings_t settings = {.queue_max = 50,
                                             .ramp_step_us = 2 * MS,
                                             .ramp_successes = 2,
                                             .crash_limit = 3,
                                             .quarantine_us = 60000 * MS};
    static sim_t sim;
    memset(&sim, 0, sizeof(sim));
    sim.seed = (uint64_t)_i;
    for (int i = 0; i < FIXTURE_UPSTREAMS; i++) {
        sim.boot[i] = 100;
    }
    fixture_init(&sim.fixture, &settings);
    for (int i = 0; i < TICKS; i++) {
        sim_tick(&sim);
    }
    ck_assert_int_ge(sim.crashes, 1);
    ck_assert_int_le(sim.crashes, 4 + 2);
    ck_assert_int_eq(sim.harmless_quarantined, 0);
    ck_assert_int_gt(sim.harmless_done, TICKS);
    ck_assert_int_gt(sim.crashing_refused, 200);
    fixture_release(&sim.fixture);
}
END_TEST

/* The loss of a zone crashes many upstreams at once; it counts once. */
START_TEST(test_burst)
{
    quarantine_t *quarantine = quarantine_new(2, 1000 * MS, 200 * MS);
    for (int64_t at_ms = 1; at_ms < 200; at_ms += 20) {
        quarantine_record_crash(quarantine, 5, true, at_ms * MS);
    }
    ck_assert_int_ne(quarantine_status(quarantine, 5, 200 * MS),
                     QUARANTINE_REFUSED);
    quarantine_record_crash(quarantine, 5, true, 201 * MS);
    ck_assert_int_eq(quarantine_status(quarantine, 5, 202 * MS),
                     QUARANTINE_REFUSED);
    quarantine_free(quarantine);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("quarantine");
    tcase_add_loop_test(tests, test_quarantine, 0,
                        sizeof(cases) / sizeof(cases[0]));
    tcase_add_test(tests, test_quarantine_from_peer);
    tcase_add_test(tests, test_full_table);
    tcase_add_test(tests, test_burst);
    tcase_add_loop_test(tests, test_simulation, 0, 20);
    return suite_run("quarantine", tests);
}
