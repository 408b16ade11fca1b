/*
 * Daemons that are cut off from all upstreams: how they notice, and what
 * their callers get.
 */
#include "t/lib/suite.h"
#include "tier/reach.h"

#include <stdio.h>

enum { T0 = 100000000, MS = 1000 };

/* What happens at a daemon, at a time in milliseconds. */
typedef enum {
    END,
    SEND,     /* a request that is overdue after 300 ms */
    RESPONSE, /* from any upstream */
    CONNECTED,
    REFUSED, /* a connect to upstream `upstream` has failed */
    PROBE_OK,
    PROBE_FAILED
} happening_t;

typedef struct {
    happening_t what;
    int64_t at_ms;
    uint64_t upstream;
} step_t;

typedef struct {
    const char *name;
    step_t steps[12];
    int64_t checked_ms;
    reach_state_t state;
    bool lost;
    uint32_t probes; /* started until then */
} reach_case_t;

static const reach_case_t reach_cases[] = {
    {"no traffic", {{END, 0, 0}}, 5000, REACH_OK, false, 0},
    {"two requests only",
     {{SEND, 0, 0}, {SEND, 10, 0}},
     400,
     REACH_OK,
     false,
     0},
    {"three requests, not overdue",
     {{SEND, 0, 0}, {SEND, 10, 0}, {SEND, 20, 0}},
     290,
     REACH_OK,
     false,
     0},
    {"three requests are overdue",
     {{SEND, 0, 0}, {SEND, 10, 0}, {SEND, 20, 0}},
     310,
     REACH_CHECKING,
     true,
     3},
    {"a response meanwhile",
     {{SEND, 0, 0}, {SEND, 10, 0}, {SEND, 20, 0}, {RESPONSE, 200, 0}},
     400,
     REACH_OK,
     false,
     0},
    {"no probe gets through",
     {{SEND, 0, 0},
      {SEND, 10, 0},
      {SEND, 20, 0},
      {PROBE_FAILED, 400, 0},
      {PROBE_FAILED, 410, 0},
      {PROBE_FAILED, 420, 0}},
     500,
     REACH_CUT,
     true,
     3},
    {"one probe gets through: the upstreams are slow",
     {{SEND, 0, 0},
      {SEND, 10, 0},
      {SEND, 20, 0},
      {PROBE_FAILED, 400, 0},
      {PROBE_OK, 410, 0},
      {PROBE_FAILED, 420, 0}},
     500,
     REACH_OK,
     false,
     3},
    {"a late response while it checks",
     {{SEND, 0, 0}, {SEND, 10, 0}, {SEND, 20, 0}, {RESPONSE, 350, 0}},
     500,
     REACH_OK,
     false,
     3},
    {"cut off, then probed until an upstream accepts",
     {{SEND, 0, 0},
      {SEND, 10, 0},
      {SEND, 20, 0},
      {PROBE_FAILED, 400, 0},
      {PROBE_FAILED, 400, 0},
      {PROBE_FAILED, 400, 0},
      {PROBE_FAILED, 610, 0},
      {PROBE_OK, 810, 0}},
     900,
     REACH_OK,
     false,
     5},
    {"one upstream refuses connects",
     {{REFUSED, 0, 1},
      {REFUSED, 200, 1},
      {REFUSED, 400, 1},
      {REFUSED, 500, 1}},
     600,
     REACH_OK,
     false,
     0},
    {"three upstreams refuse connects: requests go on until it is checked",
     {{REFUSED, 0, 1}, {REFUSED, 10, 2}, {REFUSED, 20, 3}},
     310,
     REACH_CHECKING,
     false,
     3},
    {"three refuse, a fourth accepts",
     {{REFUSED, 0, 1},
      {REFUSED, 10, 2},
      {REFUSED, 20, 3},
      {CONNECTED, 100, 4}},
     400,
     REACH_OK,
     false,
     0},
    {"three refuse, and all probes: responses on old connections go on",
     {{REFUSED, 0, 1},
      {REFUSED, 10, 2},
      {REFUSED, 20, 3},
      {RESPONSE, 305, 0},
      {PROBE_FAILED, 310, 0},
      {PROBE_FAILED, 310, 0},
      {PROBE_FAILED, 310, 0}},
     400,
     REACH_CUT,
     true,
     3},
    {"old requests show nothing",
     {{SEND, 0, 0}, {SEND, 10, 0}, {SEND, 1500, 0}},
     1700,
     REACH_OK,
     false,
     0},
};

static void
take_step(reach_t *reach, const step_t *step, int64_t now_us)
{
    switch (step->what) {
    case SEND:
        reach_note_sent(reach, now_us + 300 * MS, now_us);
        break;
    case RESPONSE:
        reach_note_response(reach, now_us);
        break;
    case CONNECTED:
    case REFUSED:
        reach_note_connect(reach, step->upstream, step->what == CONNECTED,
                           now_us);
        break;
    case PROBE_OK:
    case PROBE_FAILED:
        reach_note_probe(reach, step->what == PROBE_OK, now_us);
        break;
    case END:
        break;
    }
}

START_TEST(test_reach)
{
    const reach_case_t *c = &reach_cases[_i];
    reach_t reach = {0};
    uint32_t probes = 0;
    const step_t *next = c->steps;
    for (int64_t ms = 0; ms <= c->checked_ms; ms += 5) {
        while (next->what != END && next->at_ms <= ms) {
            take_step(&reach, next++, T0 + ms * MS);
        }
        probes += reach_probes_due(&reach, T0 + ms * MS);
    }
    ck_assert_msg(reach.state == c->state, "%s: %d", c->name, reach.state);
    ck_assert_msg(reach_is_lost(&reach) == c->lost, "%s", c->name);
    ck_assert_msg(probes == c->probes, "%s: %u probes", c->name, probes);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("partitioned daemon");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_reach, 0,
                        sizeof(reach_cases) / sizeof(reach_cases[0]));
    return suite_run("partitioned daemon", tests);
}
