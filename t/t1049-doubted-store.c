/*
 * Single calls to the store that fail while it serves on, and outages: how
 * long an upstream whose entry is removed still gets requests.
 */
#include "daemon/clock.h"
#include "t/lib/suite.h"
#include "t/lib/tier_address.h"
#include "t/lib/tier_fixture.h"
#include "tier/store_health.h"

#include <stdio.h>

enum {
    MS = 1000,
    HEARTBEAT_US = 1200 * MS,
    T0 = 100000 * MS,
    WATCHES_OPEN_MS = 4500, /* after a start; see FIRST_WATCH_DELAY_US */
    OUTAGE_MS = 3000,
    POLL_MS = 2300,    /* a daemon reads the upstreams every 2 s at most */
    SETTLED_MS = 1000, /* half of the grace period after an outage */
    TIMEOUT_MS = 1500
};

/* Start the daemon again, as one that reads the store of a large fleet if
   `large_fleet` is set. */
static void
start(fixture_t *f, bool large_fleet)
{
    char why[128];
    fixture_init(f);
    if (large_fleet) {
        list_other_members(f);
    }
    node_free(f->node);
    f->boot.heartbeat_us = HEARTBEAT_US;
    f->boot.cpu_share = f->boot.cores = 1; /* the strongest member */
    address_text(&f->boot.control_address, f->boot.control_address_text,
                 sizeof(f->boot.control_address_text));
    f->node = node_start(f->loop, &f->boot, why, sizeof(why));
    ck_assert_msg(f->node != NULL, "%s", why);
    run_ms(f, WATCHES_OPEN_MS);
}

/* Whether the upstream i-0 still gets requests. */
static bool
is_used(fixture_t *f, int number)
{
    char request[160];
    caller_t caller;
    snprintf(request, sizeof(request),
             "GET /one/ HTTP/1.1\r\nHost: h\r\nX-Yuccarun-Request-Id: r-%d\r\n"
             "X-Yuccarun-Deadline-Ms: 600\r\n\r\n",
             number);
    caller_exchange(f, &caller, &f->boot.callers_address, request,
                    CALLER_DEADLINE_MS);
    uint32_t status = status_of(&caller);
    conn_close(&caller.conn);
    ck_assert_msg(status == 200 || status == 503, "%s", caller.text);
    return status == 200;
}

typedef struct {
    const char *name;
    tier_store_call_t call; /* of one read; TIER_STORE_CALL_CUT: of the
                               open watches */
    int64_t used_max_ms;    /* after the call has reached the store */
} single_case_t;

static const single_case_t single_cases[] = {
    {"watches are cut", TIER_STORE_CALL_CUT, SETTLED_MS},
    {"a response is lost", TIER_STORE_CALL_LOST, SETTLED_MS + TIMEOUT_MS},
    {"a call is refused", TIER_STORE_CALL_BUSY, SETTLED_MS},
    {"a call is over the rate", TIER_STORE_CALL_LIMITED, SETTLED_MS},
    {"a response cannot be read", TIER_STORE_CALL_GARBLED, SETTLED_MS},
};

/* Guards against DRAIN: a single failed call counted as an outage, which put
   off the removal of upstreams by the grace period after it. */
START_TEST(test_single_failure)
{
    const single_case_t *c = &single_cases[_i];
    fixture_t f;
    start(&f, true);
    ck_assert(is_used(&f, 0));
    tier_store_remove(f.store, "servers/i-0");
    if (c->call == TIER_STORE_CALL_CUT) {
        ck_assert_uint_gt(tier_store_cut_watches(f.store), 0);
    }
    else {
        tier_store_fail_next_poll(f.store, c->call);
        while (tier_store_poll_is_to_fail(f.store)) {
            run_ms(&f, 5);
        }
    }
    int64_t failed_us = clock_now_us();
    for (int number = 1; is_used(&f, number); number++) {
        ck_assert_msg(clock_now_us() - failed_us <=
                          c->used_max_ms * (int64_t)MS,
                      "%s: still used after %lld ms", c->name,
                      (long long)(clock_now_us() - failed_us) / MS);
        run_ms(&f, 20);
    }
    fixture_release(&f);
}
END_TEST

/* After an outage in which entries can have expired, a missing one has a grace
   period. */
START_TEST(test_outage)
{
    fixture_t f;
    start(&f, _i == 1);
    tier_store_set_mode(f.store, TIER_STORE_UNAVAILABLE);
    run_ms(&f, OUTAGE_MS);
    tier_store_remove(f.store, "servers/i-0");
    tier_store_set_mode(f.store, TIER_STORE_NORMAL);
    run_ms(&f, 1500);
    ck_assert(is_used(&f, 0));
    run_ms(&f, POLL_MS);
    ck_assert(!is_used(&f, 1));
    fixture_release(&f);
}
END_TEST

/* A sequence of reads, and the outage that they show. */
typedef struct {
    const char *name;
    struct {
        int64_t sent_ms;
        int64_t ended_ms; /* 0: the end of the sequence */
        bool answered;
        bool rate_limited;
    } reads[6];
    bool began;      /* an outage */
    int64_t away_ms; /* 0: none has ended; -1: of unknown length */
} sequence_case_t;

static const sequence_case_t sequence_cases[] = {
    {"first answer", {{0, 10, true, false}}, false, -1},
    {"one failure",
     {{0, 10, true, false}, {100, 200, false, false}, {200, 210, true, false}},
     false,
     -1},
    {"failures in turn with answers",
     {{0, 10, true, false},
      {100, 200, false, false},
      {200, 210, true, false},
      {300, 400, false, false},
      {400, 410, true, false}},
     false,
     -1},
    {"several calls in flight fail at once",
     {{0, 10, true, false},
      {100, 200, false, false},
      {110, 200, false, false},
      {200, 210, true, false}},
     false,
     -1},
    {"a second read fails",
     {{0, 10, true, false},
      {100, 200, false, false},
      {200, 300, false, false},
      {3000, 3010, true, false}},
     true,
     3000},
    {"a second read is refused for the rate",
     {{0, 10, true, false},
      {100, 200, false, true},
      {600, 610, false, true},
      {1000, 1010, true, false}},
     true,
     400},
};

START_TEST(test_sequence)
{
    const sequence_case_t *c = &sequence_cases[_i];
    store_health_t health = {0};
    bool began = false;
    int64_t away_ms = 0;
    for (size_t i = 0; c->reads[i].ended_ms > 0; i++) {
        int64_t now_us = T0 + c->reads[i].ended_ms * MS;
        int64_t away_us;
        const store_failure_t failure = {
            .sent_us = T0 + c->reads[i].sent_ms * MS,
            .rate_limited = c->reads[i].rate_limited,
        };
        if (!c->reads[i].answered) {
            began |= store_health_failed(&health, &failure, now_us);
        }
        else if (store_health_answered(&health, &away_us, now_us)) {
            away_ms = away_us == STORE_AWAY_UNKNOWN_US ? -1 : away_us / MS;
        }
    }
    ck_assert_msg(began == c->began && away_ms == c->away_ms, "%s: %lld ms",
                  c->name, (long long)away_ms);
    ck_assert(health.reachable);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("doubted store");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_single_failure, 0,
                        sizeof(single_cases) / sizeof(single_cases[0]));
    tcase_add_loop_test(tests, test_outage, 0, 2);
    tcase_add_loop_test(tests, test_sequence, 0,
                        sizeof(sequence_cases) / sizeof(sequence_cases[0]));
    return suite_run("doubted store", tests);
}
