/* The gate: slots, priority, deadlines, cold start, unavailable upstreams. */
#include "t/lib/gate_fixture.h"
#include "t/lib/suite.h"

#define SUBMIT(n, up, cls, ms, ...)                                           \
    {                                                                         \
        .op = OP_SUBMIT, .part = (n), .upstream = (up), .class = (cls),       \
        .deadline_ms = (ms), __VA_ARGS__                                      \
    }
#define SEND .decision = GATE_SEND
#define WAIT .decision = GATE_WAIT
#define REFUSE(s) .decision = GATE_REFUSE, .status = (s)
#define NEXT(n, ...)                                                          \
    {                                                                         \
        .op = OP_NEXT, .part = (n), __VA_ARGS__                               \
    }
#define IDLE                                                                  \
    {                                                                         \
        .op = OP_NEXT, .decision = GATE_IDLE                                  \
    }
#define GOOD .result = {.status = PART_OK, .service_us = MS, .boot = 7}
#define FINISH(n, ...)                                                        \
    {                                                                         \
        .op = OP_FINISH, .part = (n), __VA_ARGS__                             \
    }
#define LOST(n) FINISH(n, .result = {.status = PART_LOST})
#define WARM(up)                                                              \
    {                                                                         \
        .op = OP_WARM, .upstream = (up)                                       \
    }
#define SLOTS(up, n, ...)                                                     \
    {                                                                         \
        .op = OP_SLOTS, .upstream = (up), .slots = (n), __VA_ARGS__           \
    }
#define D0 "desk-0"
#define D1 "desk-1"
#define D2 "desk-2"
#define D3 "desk-3"
#define DESK CLASS_DESK
#define BATCH CLASS_BATCH

static const gate_case_t cases[] = {
    {"a cold upstream gets one part, the next one queues",
     {SUBMIT(1, D0, DESK, 99, SEND), SUBMIT(2, D0, DESK, 99, WAIT), IDLE,
      FINISH(1, GOOD), NEXT(2, SEND), IDLE}},
    {"order by class desk, online, batch, then by deadline",
     {SUBMIT(1, D0, DESK, 99, SEND), SUBMIT(2, D0, BATCH, 40, WAIT),
      SUBMIT(3, D0, CLASS_ONLINE, 60, WAIT), SUBMIT(4, D0, DESK, 90, WAIT),
      SUBMIT(5, D0, DESK, 80, WAIT), FINISH(1, GOOD), NEXT(5, SEND),
      FINISH(5, GOOD), NEXT(4, SEND), FINISH(4, GOOD), NEXT(3, SEND),
      FINISH(3, GOOD), NEXT(2, SEND)}},
    {"a full queue evicts the last part of its order",
     {SUBMIT(1, D0, DESK, 99, SEND), SUBMIT(2, D0, BATCH, 99, WAIT),
      SUBMIT(3, D0, BATCH, 80, WAIT), SUBMIT(4, D0, DESK, 99, WAIT),
      SUBMIT(5, D0, DESK, 99, WAIT), SUBMIT(6, D0, DESK, 99, WAIT),
      NEXT(2, REFUSE(PART_LIMITED)), IDLE,
      SUBMIT(7, D0, BATCH, 90, REFUSE(PART_LIMITED)), IDLE}},
    {"batch parts leave one slot of a warm upstream free",
     {WARM(D0), SUBMIT(1, D0, BATCH, 99, SEND), SUBMIT(2, D0, BATCH, 99, SEND),
      SUBMIT(3, D0, BATCH, 99, SEND), SUBMIT(4, D0, BATCH, 99, WAIT),
      SUBMIT(5, D0, DESK, 99, SEND), SUBMIT(6, D0, DESK, 99, WAIT),
      FINISH(1, GOOD), NEXT(6, SEND), IDLE}},
    {"zone slots limit the upstreams of a zone together",
     {WARM(D0), WARM(D2), SUBMIT(1, D0, DESK, 99, SEND),
      SUBMIT(2, D0, DESK, 99, SEND), SUBMIT(3, D0, DESK, 99, SEND),
      SUBMIT(4, D0, DESK, 99, SEND), SUBMIT(5, D2, DESK, 99, SEND),
      SUBMIT(6, D2, DESK, 99, SEND), SUBMIT(7, D2, DESK, 99, WAIT),
      FINISH(1, GOOD), NEXT(7, SEND), IDLE}},
    {"a broken connection counts as a restart",
     {WARM(D0), SLOTS(D0, 4), SUBMIT(1, D0, DESK, 99, SEND),
      FINISH(1, .result = {.status = PART_LOST, .reset = true}), SLOTS(D0, 1),
      SUBMIT(2, D0, DESK, 99, SEND), SUBMIT(3, D0, DESK, 99, WAIT), IDLE}},
    {"a timeout alone does not count as a restart",
     {WARM(D0), SUBMIT(1, D0, DESK, 99, SEND), LOST(1), SLOTS(D0, 4)}},
    {"a part whose deadline passes in the queue is refused",
     {SUBMIT(1, D0, DESK, 99, SEND),
      SUBMIT(2, D0, DESK, 20, WAIT),
      {.op = OP_WAKEUP, .deadline_ms = 20},
      NEXT(2, .at_ms = 19, .decision = GATE_IDLE),
      NEXT(2, .at_ms = 20, REFUSE(PART_EXPIRED)),
      IDLE}},
    {"a part that would miss its deadline is refused early",
     {WARM(D0), SUBMIT(1, D0, DESK, 99, SEND), SUBMIT(2, D0, DESK, 99, SEND),
      SUBMIT(3, D0, DESK, 99, SEND), SUBMIT(4, D0, DESK, 99, SEND),
      SUBMIT(5, D0, DESK, 1, REFUSE(PART_EXPIRED)),
      SUBMIT(6, D0, DESK, 3, WAIT)}},
    {"an idle upstream gets a part despite its estimate",
     {WARM(D0),
      {.op = OP_SUBMIT,
       .part = 1,
       .upstream = D0,
       .deadline_ms = 1,
       .decision = GATE_SEND}}},
    {"a cancelled part is never sent",
     {SUBMIT(1, D0, DESK, 99, SEND),
      SUBMIT(2, D0, DESK, 99, WAIT),
      {.op = OP_CANCEL, .part = 2, .result.reset = true},
      {.op = OP_CANCEL, .part = 1, .result.reset = false},
      {.op = OP_CANCEL, .part = 9, .result.reset = false},
      FINISH(1, GOOD),
      IDLE}},
    {"waiting and new parts for a zone taken out are refused",
     {SUBMIT(1, D0, DESK, 99, SEND),
      SUBMIT(2, D0, DESK, 99, WAIT),
      {.op = OP_ZONE, .upstream = "a", .result.cold = true},
      NEXT(2, REFUSE(PART_GONE)),
      IDLE,
      SUBMIT(3, D0, DESK, 99, REFUSE(PART_GONE)),
      SUBMIT(4, "desk-1", DESK, 99, SEND),
      FINISH(1, GOOD),
      {.op = OP_ZONE, .upstream = "a", .result.cold = false},
      SUBMIT(5, D0, DESK, 99, SEND),
      SUBMIT(6, D0, DESK, 99, WAIT)}},
    {"parts in progress stay counted after ownership ends",
     {SUBMIT(1, D0, DESK, 99, SEND),
      SUBMIT(2, D0, DESK, 99, WAIT),
      {.op = OP_DISOWN},
      NEXT(2, REFUSE(PART_NOT_OWNER)),
      SUBMIT(3, D0, DESK, 99, REFUSE(PART_NOT_OWNER)),
      SUBMIT(4, "desk-9", DESK, 99, REFUSE(PART_GONE)),
      FINISH(1, GOOD),
      IDLE}},
    {"a raise needs good replies and the time of a step",
     {SUBMIT(1, D0, DESK, 99, SEND), FINISH(1, GOOD), SLOTS(D0, 1),
      SUBMIT(2, D0, DESK, 99, SEND), FINISH(2, GOOD), SLOTS(D0, 2),
      SUBMIT(3, D0, DESK, 99, SEND), FINISH(3, GOOD, .at_ms = 10),
      SLOTS(D0, 2), SUBMIT(4, D0, DESK, 99, SEND),
      FINISH(4, GOOD, .at_ms = 10), SLOTS(D0, 3),
      SUBMIT(5, D0, DESK, 99, SEND), FINISH(5, GOOD, .at_ms = 10),
      SUBMIT(6, D0, DESK, 99, SEND), FINISH(6, GOOD, .at_ms = 19),
      SLOTS(D0, 3)}},
    {"service slots limit all zones together; any zone gets a freed slot",
     {WARM(D0), WARM(D2), WARM(D1), WARM(D3), SUBMIT(1, D0, DESK, 99, SEND),
      SUBMIT(2, D0, DESK, 99, SEND), SUBMIT(3, D0, DESK, 99, SEND),
      SUBMIT(4, D2, DESK, 99, SEND), SUBMIT(5, D2, DESK, 99, SEND),
      SUBMIT(6, D2, DESK, 99, SEND), SUBMIT(7, D1, DESK, 99, SEND),
      SUBMIT(8, D1, DESK, 99, SEND), SUBMIT(9, D3, DESK, 99, SEND),
      SUBMIT(10, D3, DESK, 99, SEND), SUBMIT(11, D3, DESK, 99, WAIT), IDLE,
      FINISH(1, GOOD), NEXT(11, SEND)}},
    {"an upstream put back or owned again starts cold",
     {WARM(D0),
      WARM(D1),
      {.op = OP_ZONE, .upstream = "a", .result.cold = true},
      {.op = OP_ZONE, .upstream = "a", .result.cold = false},
      SLOTS(D0, 1),
      SUBMIT(1, D1, DESK, 99, SEND),
      {.op = OP_DISOWN},
      {.op = OP_OWN},
      SLOTS(D1, 1)}},
    {"a reply that says cold lowers a warm upstream's bound at once",
     {WARM(D0), SLOTS(D0, 4), SUBMIT(1, D0, DESK, 99, SEND),
      SUBMIT(2, D0, DESK, 99, SEND), SUBMIT(3, D0, DESK, 99, SEND),
      FINISH(1, .result = {.status = PART_OK, .cold = true}), SLOTS(D0, 1),
      SUBMIT(4, D0, DESK, 99, WAIT), FINISH(2, GOOD), IDLE}},
    {"a restarted upstream starts cold",
     {WARM(D0), SUBMIT(1, D0, DESK, 99, SEND),
      FINISH(1, .result = {.status = PART_OK, .boot = 8, .service_us = MS}),
      SLOTS(D0, 1)}},
    {"a shed reply halves the bound and starts a backoff",
     {WARM(D0),
      SUBMIT(1, D0, DESK, 99, SEND),
      FINISH(1, .result = {.status = PART_SHED,
                           .boot = 7,
                           .retry_after_us = 30 * MS}),
      SLOTS(D0, 0),
      SUBMIT(2, D0, DESK, 20, REFUSE(PART_COLD)),
      SUBMIT(3, D0, DESK, 99, WAIT),
      {.op = OP_WAKEUP, .deadline_ms = 30},
      NEXT(0, .at_ms = 29, .decision = GATE_IDLE),
      NEXT(3, .at_ms = 30, SEND),
      SLOTS(D0, 2)}},
    {"several lost requests in a row start a backoff",
     {WARM(D0), SUBMIT(1, D0, DESK, 99, SEND), SUBMIT(2, D0, DESK, 99, SEND),
      SUBMIT(3, D0, DESK, 99, SEND), LOST(1), LOST(2), SLOTS(D0, 4), LOST(3),
      SLOTS(D0, 0), SUBMIT(4, D0, DESK, 19, REFUSE(PART_COLD)),
      SUBMIT(5, D0, DESK, 99, .at_ms = 20, SEND), SLOTS(D0, 1)}},
    {"a hedge for a cold upstream is refused",
     {SUBMIT(1, D0, DESK, 99, .hedge = true, REFUSE(PART_COLD)), WARM(D0),
      SUBMIT(2, D0, DESK, 99, .hedge = true, SEND)}},
    {"health 'cold' halves the bound for a limited time",
     {WARM(D0),
      {.op = OP_HEALTH, .upstream = D0, .result.cold = true},
      SLOTS(D0, 2),
      SUBMIT(1, D0, DESK, 99, SEND, .at_ms = 6000),
      SLOTS(D0, 4)}},
    {"a slow reply confirms health 'cold'",
     {WARM(D0),
      {.op = OP_HEALTH, .upstream = D0, .result.cold = true},
      SUBMIT(1, D0, DESK, 99, SEND),
      FINISH(1, .result = {.status = PART_OK, .service_us = 90 * MS}),
      SLOTS(D0, 1)}},
    {"a draining upstream gets no part, and starts cold if it stays",
     {WARM(D0),
      {.op = OP_HEALTH, .upstream = D0, .result.reset = true},
      SUBMIT(1, D0, DESK, 99, REFUSE(PART_GONE)),
      SUBMIT(2, D0, DESK, 99, .at_ms = 14999, REFUSE(PART_GONE)),
      SUBMIT(3, D0, DESK, 99, .at_ms = 15000, SEND),
      SLOTS(D0, 1)}},
    {"waiting parts are refused as soon as an upstream drains",
     {SUBMIT(1, D0, DESK, 99, SEND),
      SUBMIT(2, D0, DESK, 99, WAIT),
      {.op = OP_HEALTH, .upstream = D0, .result.reset = true},
      NEXT(2, REFUSE(PART_GONE)),
      IDLE,
      {.op = OP_HEALTH, .upstream = D0, .result.reset = false},
      FINISH(1, GOOD),
      SUBMIT(3, D0, DESK, 99, SEND)}},
    {"a part that would expire during a backoff is refused at once",
     {SUBMIT(1, D0, DESK, 99, SEND), SUBMIT(2, D0, DESK, 50, WAIT),
      SUBMIT(3, D0, DESK, 99, WAIT),
      FINISH(1, .result = {.status = PART_SHED, .retry_after_us = 60 * MS}),
      NEXT(2, REFUSE(PART_COLD)), IDLE, NEXT(3, .at_ms = 60, SEND)}},
    {"within a class, the service with the most parts per weight is evicted",
     {SUBMIT(1, D0, BATCH, 400, SEND), SUBMIT(2, "night-0", BATCH, 400, SEND),
      SUBMIT(3, D0, BATCH, 400, WAIT), SUBMIT(4, D0, BATCH, 390, WAIT),
      SUBMIT(5, "night-0", BATCH, 300, WAIT),
      SUBMIT(6, "night-0", BATCH, 310, WAIT), SUBMIT(7, D0, BATCH, 410, WAIT),
      NEXT(6, REFUSE(PART_LIMITED)), SUBMIT(8, "night-0", BATCH, 100, WAIT),
      NEXT(5, REFUSE(PART_LIMITED)), IDLE}},
};

START_TEST(test_gate)
{
    fixture_run(&cases[_i]);
}
END_TEST

START_TEST(test_same_id_twice)
{
    fixture_t fixture;
    fixture_init(&fixture, NULL);
    part_request_t request = fixture_request(1, D0, DESK, 99 * MS);
    part_reply_t refusal;
    ck_assert_int_eq(gate_submit(fixture.gate, &request, 0, &refusal),
                     GATE_SEND);
    ck_assert_int_eq(gate_submit(fixture.gate, &request, 0, &refusal),
                     GATE_REFUSE);
    ck_assert(!refusal.not_run);
    fixture_release(&fixture);
}
END_TEST

START_TEST(test_connections)
{
    fixture_t fixture;
    fixture_init(&fixture, NULL);
    uint32_t hold;
    uint32_t most;
    gate_connections(fixture.gate, D0, &hold, &most);
    ck_assert_uint_eq(hold, 2);
    ck_assert_uint_eq(most, 3);
    gate_connections(fixture.gate, "desk-9", &hold, &most);
    ck_assert_uint_eq(hold, 0);
    ck_assert_uint_eq(most, 0);
    fixture_release(&fixture);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("gate");
    tcase_add_loop_test(tests, test_gate, 0, sizeof(cases) / sizeof(cases[0]));
    tcase_add_test(tests, test_same_id_twice);
    tcase_add_test(tests, test_connections);
    return suite_run("gate", tests);
}
