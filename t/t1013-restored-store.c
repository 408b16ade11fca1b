/*
 * A daemon on loopback sockets whose store is restored from a backup, and
 * whose upstreams say that they leave or ask for a pause.
 */
#include "daemon/clock.h"
#include "t/lib/suite.h"
#include "t/lib/tier_fixture.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Bounds of the daemon under test, short so that it polls often. */
    DRAIN_US = 800000,
    HEARTBEAT_US = 400000,
    STORE_READ_MS = 1000,   /* a change is read from the store within this */
    ENTRY_GRACE_MS = 2500,  /* lost entries are dropped within this */
    REVIVAL_HOLD_MS = 2000, /* revived entries are used after this */
    ZONES_HOLD_MS = 5500,   /* closed zones are opened within this */
    GOAL_US = 300000,       /* of the fixture's routes */
    MEMBER_LEASE_MS = 4500  /* lapsed leases end within this */
};

#define MEMBER_KEY "yuccarun/fleet/members/front-a-1"

static void
start_node(fixture_t *f)
{
    char why[128];
    f->node = node_start(f->loop, &f->boot, why, sizeof(why));
    ck_assert_msg(f->node != NULL, "%s", why);
}

/* A daemon that polls often. */
static void
fast_fixture_init(fixture_t *f)
{
    fixture_init(f);
    node_free(f->node);
    f->boot.drain_us = DRAIN_US;
    f->boot.heartbeat_us = HEARTBEAT_US;
    start_node(f);
    run_ms(f, 300);
}

static uint32_t
request_status(fixture_t *f, const char *request)
{
    caller_t caller;
    caller_exchange(f, &caller, &f->boot.callers_address, request, 900);
    uint32_t status = status_of(&caller);
    conn_close(&caller.conn);
    return status;
}

static void
put_started(fixture_t *f, const char *state, int64_t started_ms)
{
    const struct sockaddr_in *address = tier_upstream_address(f->upstreams[0]);
    char text[256];
    snprintf(text, sizeof(text),
             "{\"service\":\"s0\",\"addr\":\"127.%u.%u.%u:%u\",\"zone\":\"a\","
             "\"version\":\"v1\",\"slots\":4,\"state\":\"%s\",\"born\":%lld,"
             "\"cold_left_ms\":0,\"seq\":1}",
             ntohl(address->sin_addr.s_addr) >> 16 & 255,
             ntohl(address->sin_addr.s_addr) >> 8 & 255,
             ntohl(address->sin_addr.s_addr) & 255, ntohs(address->sin_port),
             state, (long long)started_ms);
    tier_store_put(f->store, "servers/i-0", text);
}

/* What was written after the backup, whether it is written again after the
   restoration, and what a caller then gets. */
typedef enum {
    WRITE_DRAINING,
    WRITE_REMOVAL,
    WRITE_EVACUATION,
    WRITE_CONFIG
} lost_write_t;

typedef struct {
    const char *name;
    lost_write_t write;
    bool rewritten;
    int64_t wait_ms; /* after the restoration */
    const char *request;
    uint32_t status;
} restore_case_t;

static const restore_case_t restore_cases[] = {
    {"a drain is not undone", WRITE_DRAINING, false, STORE_READ_MS,
     REQUEST("/one/", "r-1"), 503},
    {"a drain that is written again", WRITE_DRAINING, true, STORE_READ_MS,
     REQUEST("/one/", "r-1"), 503},
    {"a removed upstream is held back", WRITE_REMOVAL, false, STORE_READ_MS,
     REQUEST("/one/", "r-1"), 503},
    {"a removed upstream that lives", WRITE_REMOVAL, false,
     STORE_READ_MS + REVIVAL_HOLD_MS, REQUEST("/one/", "r-1"), 200},
    {"an evacuation holds until it is written again", WRITE_EVACUATION, false,
     STORE_READ_MS, REQUEST("/one/", "r-1"), 503},
    {"an evacuation that is written again", WRITE_EVACUATION, true,
     STORE_READ_MS + ZONES_HOLD_MS, REQUEST("/one/", "r-1"), 503},
    {"an evacuation that is not written again", WRITE_EVACUATION, false,
     STORE_READ_MS + ZONES_HOLD_MS, REQUEST("/one/", "r-1"), 200},
    {"the configuration does not go back", WRITE_CONFIG, false, STORE_READ_MS,
     REQUEST("/new/", "r-1"), 200},
};

static void
write_once(fixture_t *f, lost_write_t write)
{
    switch (write) {
    case WRITE_DRAINING:
        put_started(f, "draining", 1000);
        break;
    case WRITE_REMOVAL:
        tier_store_remove(f->store, "servers/i-0");
        break;
    case WRITE_EVACUATION:
        tier_store_put(f->store, "op/evacuate/a", "{}");
        break;
    case WRITE_CONFIG:
        tier_store_put(f->store, "op/config",
                       "{\"version\":2,\"routes\":[{\"name\":\"new\","
                       "\"host\":\"h\",\"prefix\":\"/new/\",\"type\":"
                       "\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":300,"
                       "\"service\":\"s0\",\"attempts\":2}],\"services\":[],"
                       "\"limits\":{}}");
        break;
    }
}

START_TEST(test_lost_writes)
{
    const restore_case_t *c = &restore_cases[_i];
    fixture_t f;
    fast_fixture_init(&f);
    put_started(&f, "ready", 1000);
    run_ms(&f, STORE_READ_MS);
    tier_store_back_up(f.store);
    write_once(&f, c->write);
    run_ms(&f, STORE_READ_MS);
    tier_store_restore(f.store);
    if (c->rewritten) {
        run_ms(&f, 300);
        write_once(&f, c->write);
    }
    run_ms(&f, c->wait_ms);
    uint32_t status = request_status(&f, c->request);
    ck_assert_msg(status == c->status, "%s: %u", c->name, status);
    fixture_release(&f);
}
END_TEST

/* The daemon's record and lease are written again, also if another client was
   granted a lease with the same id since. */
START_TEST(test_record_is_written_again)
{
    fixture_t f;
    fast_fixture_init(&f);
    node_free(f.node);
    tier_store_remove(f.store, MEMBER_KEY);
    run_ms(&f, 300);
    tier_store_back_up(f.store);
    start_node(&f);
    run_ms(&f, 500);
    ck_assert_ptr_nonnull(tier_store_get(f.store, MEMBER_KEY));
    tier_store_restore(f.store);
    if (_i == 1) {
        tier_store_grant_lease(f.store, 60000);
    }
    ck_assert_ptr_null(tier_store_get(f.store, MEMBER_KEY));
    run_ms(&f, STORE_READ_MS);
    ck_assert_ptr_nonnull(tier_store_get(f.store, MEMBER_KEY));
    /* The record hangs on a lease of the daemon's own, which it renews. */
    run_ms(&f, MEMBER_LEASE_MS);
    ck_assert_ptr_nonnull(tier_store_get(f.store, MEMBER_KEY));
    node_free(f.node);
    f.node = NULL; /* the lease lapses */
    run_ms(&f, MEMBER_LEASE_MS);
    ck_assert_ptr_null(tier_store_get(f.store, MEMBER_KEY));
    fixture_release(&f);
}
END_TEST

/* An entry that was lost with the restoration is used until its owner has had
   time to write it again, and no longer. */
START_TEST(test_lost_entry)
{
    fixture_t f;
    fast_fixture_init(&f);
    tier_store_remove(f.store, "servers/i-0");
    run_ms(&f, STORE_READ_MS);
    tier_store_back_up(f.store);
    put_started(&f, "ready", 2000);
    run_ms(&f, STORE_READ_MS);
    ck_assert_uint_eq(request_status(&f, REQUEST("/one/", "r-1")), 200);
    tier_store_restore(f.store);
    run_ms(&f, 1000);
    ck_assert_uint_eq(request_status(&f, REQUEST("/one/", "r-2")), 200);
    if (_i == 1) {
        put_started(&f, "ready", 2000);
    }
    run_ms(&f, STORE_READ_MS + ENTRY_GRACE_MS);
    ck_assert_uint_eq(request_status(&f, REQUEST("/one/", "r-3")),
                      _i == 1 ? 200 : 503);
    fixture_release(&f);
}
END_TEST

/* The restoration comes with an outage, with a loss of history, or twice. */
typedef struct {
    const char *name;
    bool outage;
    bool compacted;
    bool twice;
} company_case_t;

static const company_case_t company_cases[] = {
    {"in an outage", true, false, false},
    {"with a loss of history", false, true, false},
    {"twice within a second", false, false, true},
    {"twice in an outage with a loss of history", true, true, true},
};

START_TEST(test_company)
{
    const company_case_t *c = &company_cases[_i];
    fixture_t f;
    fast_fixture_init(&f);
    put_started(&f, "ready", 1000);
    run_ms(&f, STORE_READ_MS);
    tier_store_back_up(f.store);
    put_started(&f, "draining", 1000);
    put_config(&f, 2);
    run_ms(&f, STORE_READ_MS);
    if (c->outage) {
        tier_store_set_mode(f.store, TIER_STORE_UNAVAILABLE);
        run_ms(&f, 700);
    }
    tier_store_restore(f.store);
    if (c->twice) {
        run_ms(&f, 200);
        tier_store_restore(f.store);
    }
    tier_store_set_mode(f.store, c->compacted ? TIER_STORE_COMPACTED
                                              : TIER_STORE_NORMAL);
    run_ms(&f, STORE_READ_MS);
    ck_assert_msg(request_status(&f, REQUEST("/one/", "r-1")) == 503, "%s",
                  c->name);
    ck_assert_ptr_nonnull(tier_store_get(f.store, MEMBER_KEY));
    /* A restarted upstream is used again. */
    put_started(&f, "ready", 3000);
    run_ms(&f, STORE_READ_MS);
    ck_assert_msg(request_status(&f, REQUEST("/one/", "r-2")) == 200, "%s",
                  c->name);
    fixture_release(&f);
}
END_TEST

/* Unusable eras: the daemon goes on with what it reads, or with what it
   knows. */
typedef struct {
    const char *name;
    const char *text;
    uint32_t status; /* after a drain was written under this era */
} era_case_t;

static const era_case_t era_cases[] = {
    {"missing", "", 503},
    {"not a number", "seven", 503},
    {"negative", "-4", 503},
    {"zero", "0", 503},
    {"too large", "99999999999999999999", 503},
    {"older, as of a late response", "1", 200},
};

START_TEST(test_unusable_era)
{
    const era_case_t *c = &era_cases[_i];
    fixture_t f;
    fast_fixture_init(&f);
    tier_store_back_up(f.store);
    tier_store_restore(f.store);
    run_ms(&f, STORE_READ_MS);
    tier_store_set_era_text(f.store, c->text);
    put_started(&f, "draining", 1000);
    run_ms(&f, STORE_READ_MS);
    uint32_t status = request_status(&f, REQUEST("/one/", "r-1"));
    ck_assert_msg(status == c->status, "%s: %u", c->name, status);
    tier_store_set_era_text(f.store, NULL);
    run_ms(&f, STORE_READ_MS + ENTRY_GRACE_MS);
    ck_assert_uint_eq(request_status(&f, REQUEST("/one/", "r-2")), 503);
    ck_assert_ptr_nonnull(tier_store_get(f.store, MEMBER_KEY));
    fixture_release(&f);
}
END_TEST

#define LEAVING_RESPONSE(value)                                               \
    "HTTP/1.1 200 OK\r\n" SIGNED_HEADERS "Server-Leaving: " value             \
    "\r\nContent-Length: 16\r\n\r\n0123456789abcdef"
#define RESTING_RESPONSE(value)                                               \
    "HTTP/1.1 503 Full\r\nX-Yuccarun-Not-Run: 1\r\n"                          \
    "X-Yuccarun-Request-Id: %I\r\nRetry-After: " value                        \
    "\r\nContent-Length: 0\r\n\r\n"

/* What an upstream says of itself, and whether the daemon still sends to it
   afterwards. */
typedef struct {
    const char *name;
    const char *bytes;
    bool avoided;
} upstream_state_case_t;

static const upstream_state_case_t upstream_state_cases[] = {
    {"leaving", LEAVING_RESPONSE("1"), true},
    {"leaving: 0", LEAVING_RESPONSE("0"), false},
    {"leaving: garbled", LEAVING_RESPONSE("yes"), false},
    {"resting", RESTING_RESPONSE("5"), true},
    {"resting, a fraction", RESTING_RESPONSE("2.5"), true},
    {"resting, longer than the limit", RESTING_RESPONSE("1e30"), true},
    {"resting: negative", RESTING_RESPONSE("-5"), false},
    {"resting: not a number", RESTING_RESPONSE("soon"), false},
    {"resting: not finite", RESTING_RESPONSE("nan"), false},
    {"resting: no time", RESTING_RESPONSE("0"), false},
};

START_TEST(test_upstream_state)
{
    const upstream_state_case_t *c = &upstream_state_cases[_i];
    static const tier_script_t good = {.bytes = GOOD_RESPONSE};
    fixture_t f;
    fast_fixture_init(&f);
    put_started(&f, "ready", 1000);
    run_ms(&f, STORE_READ_MS);
    tier_upstream_set(f.upstreams[0], &(tier_script_t){.bytes = c->bytes});
    (void)request_status(&f, REQUEST("/one/", "r-1"));
    tier_upstream_set(f.upstreams[0], &good);
    uint32_t requests = tier_upstream_requests(f.upstreams[0]);
    int64_t begun_us = clock_now_us();
    uint32_t status = request_status(&f, REQUEST("/one/", "r-2"));
    ck_assert_msg(status == (c->avoided ? 503 : 200), "%s: %u", c->name,
                  status);
    ck_assert_msg(tier_upstream_requests(f.upstreams[0]) - requests ==
                      (c->avoided ? 0 : 1),
                  "%s", c->name);
    /* What cannot be served is refused before the route's goal; t1010
       test_resting_shards has the exact time. */
    ck_assert_int_lt(clock_now_us() - begun_us, GOAL_US);
    /* A write of the same start changes nothing; a restart does. */
    put_started(&f, "ready", 1000);
    run_ms(&f, STORE_READ_MS);
    if (strncmp(c->name, "leaving", 7) == 0) {
        ck_assert_uint_eq(request_status(&f, REQUEST("/one/", "r-3")),
                          c->avoided ? 503 : 200);
    }
    put_started(&f, "ready", 2000);
    run_ms(&f, STORE_READ_MS);
    ck_assert_uint_eq(request_status(&f, REQUEST("/one/", "r-4")), 200);
    fixture_release(&f);
}
END_TEST

/* A leaving upstream stays out when its entry goes and comes again. */
START_TEST(test_leaving_entry_returns)
{
    fixture_t f;
    fast_fixture_init(&f);
    put_started(&f, "ready", 1000);
    run_ms(&f, STORE_READ_MS);
    tier_upstream_set(f.upstreams[0],
                      &(tier_script_t){.bytes = LEAVING_RESPONSE("1")});
    ck_assert_uint_eq(request_status(&f, REQUEST("/one/", "r-1")), 200);
    tier_store_remove(f.store, "servers/i-0");
    run_ms(&f, STORE_READ_MS);
    put_started(&f, "ready", 1000);
    run_ms(&f, STORE_READ_MS);
    ck_assert_uint_eq(request_status(&f, REQUEST("/one/", "r-2")), 503);
    fixture_release(&f);
}
END_TEST

/* The refusal says when the resting upstream takes requests again, and the
   daemon sends to it then. */
START_TEST(test_rest_ends)
{
    static const tier_script_t good = {.bytes = GOOD_RESPONSE};
    fixture_t f;
    caller_t caller;
    fast_fixture_init(&f);
    tier_upstream_set(f.upstreams[0],
                      &(tier_script_t){.bytes = RESTING_RESPONSE("1.2")});
    (void)request_status(&f, REQUEST("/once/", "r-1"));
    tier_upstream_set(f.upstreams[0], &good);
    caller_exchange(&f, &caller, &f.boot.callers_address,
                    REQUEST("/once/", "r-2"), 500);
    ck_assert_uint_eq(status_of(&caller), 503);
    const char *retry_after = strstr(caller.text, "Retry-After: ");
    ck_assert_ptr_nonnull(retry_after);
    double seconds = strtod(retry_after + strlen("Retry-After: "), NULL);
    ck_assert_msg(seconds > 0.9 && seconds < 1.5, "%f", seconds);
    conn_close(&caller.conn);
    run_ms(&f, 1300);
    ck_assert_uint_eq(request_status(&f, REQUEST("/once/", "r-3")), 200);
    fixture_release(&f);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("restored-store");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_lost_writes, 0,
                        sizeof(restore_cases) / sizeof(restore_cases[0]));
    tcase_add_loop_test(tests, test_record_is_written_again, 0, 2);
    tcase_add_loop_test(tests, test_lost_entry, 0, 2);
    tcase_add_loop_test(tests, test_company, 0,
                        sizeof(company_cases) / sizeof(company_cases[0]));
    tcase_add_loop_test(tests, test_unusable_era, 0,
                        sizeof(era_cases) / sizeof(era_cases[0]));
    tcase_add_loop_test(tests, test_upstream_state, 0,
                        sizeof(upstream_state_cases) /
                            sizeof(upstream_state_cases[0]));
    tcase_add_test(tests, test_leaving_entry_returns);
    tcase_add_test(tests, test_rest_ends);
    return suite_run("restored-store", tests);
}
