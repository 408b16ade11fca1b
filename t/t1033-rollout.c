/*
 * Rollouts of good and bad versions in a fleet of daemons in virtual time:
 * what a bad version gets, whether it is reverted, whether a good one is
 * completed in time, also under faults that hit both versions.
 */
#include "policy/rollout.h"
#include "t/lib/suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    DAEMONS_MAX = 300,
    UPSTREAMS = 3, /* of each version */
    ROUTES = 3,
    ZONES = 2,
    STEP_MS = 1,
    TICK_MS = 50,
    DELAY_MAX_MS = 4096, /* ring of answers to come */
    SLACK = 50,
    ROLLBACK_MS = 5000,
    REPORT_DELAY_MS = 5,
    ORDER_MS = 400, /* the daemons see the order up to this late */
    START_MS = 5000 /* traffic before the order */
};

#define SHARE 0.1
/* Rounds over the twelve shapes of each rate, each run with a seed of its own:
   60 seeds, and fewer where a run takes five times as long. */
#ifdef __SANITIZE_ADDRESS__
#define ROUNDS 1
#define CASE_STEP 12
#else
#define ROUNDS 5
#define CASE_STEP 4
#endif

typedef enum {
    GOOD,
    FAILS,           /* three in ten responses */
    SLOW,            /* four times slower */
    FAILS_LATER,     /* after half of the time */
    SLOW_LATER,      /* the same */
    FAILS_WHEN_BUSY, /* only at the load of an old upstream */
    FAILS_ON_ROUTE,  /* half of the responses of one route of three */
} kind_t;

/* Faults that hit both versions. */
typedef enum {
    CALM,
    SLOW_ZONE,   /* three times slower, for a quarter of the time */
    COLD,        /* all upstreams are cold at first: twice as slow */
    NO_CAPACITY, /* responses take much longer, for a third of the time */
    LOST,        /* three responses in a hundred are lost */
    DISTURBED    /* one upstream in seven, for moments: 2.5 times slower */
} fault_t;

typedef struct {
    const char *name;
    kind_t kind;
    fault_t fault;
} case_t;

static const case_t cases[] = {
    {"good", GOOD, CALM},
    {"good, slow zone", GOOD, SLOW_ZONE},
    {"good, cold upstreams", GOOD, COLD},
    {"good, no capacity", GOOD, NO_CAPACITY},
    {"good, lost responses", GOOD, LOST},
    {"good, disturbed upstreams", GOOD, DISTURBED},
    {"fails", FAILS, CALM},
    {"fails, lost responses", FAILS, LOST},
    {"slow", SLOW, CALM},
    {"slow, slow zone", SLOW, SLOW_ZONE},
    {"fails later", FAILS_LATER, CALM},
    {"slow later", SLOW_LATER, CALM},
    {"fails when busy", FAILS_WHEN_BUSY, CALM},
    {"fails on one route", FAILS_ON_ROUTE, CALM},
};

typedef struct {
    uint32_t daemons;
    uint32_t per_s;
    uint32_t over_s;
} shape_t;

typedef struct answer_event answer_event_t;
struct answer_event {
    answer_event_t *next;
    uint32_t daemon;
    bool bad; /* by the version's fault */
    rollout_answer_t answer;
};

typedef struct {
    const case_t *test;
    shape_t shape;
    uint64_t random;
    rollout_t *daemons[DAEMONS_MAX];
    answer_event_t *due[DELAY_MAX_MS];
    int64_t reported_ms[DAEMONS_MAX]; /* a report arrives then; 0: none */
    bool ordered[DAEMONS_MAX];
    double load[UPSTREAMS]; /* of the new ones, requests a second */
    int64_t now_ms;
    rollout_finding_t finding;
    /* results */
    uint32_t requests; /* between the order and its time */
    uint32_t sent_new;
    uint32_t bad_answers;
    int64_t fiftieth_ms;
    int64_t last_new_ms;
    int64_t ended_ms; /* since the order; 0: not */
    rollout_state_t state;
    uint32_t old_after_complete;
} world_t;

static uint64_t
next_random(world_t *w)
{
    w->random ^= w->random << 13;
    w->random ^= w->random >> 7;
    w->random ^= w->random << 17;
    return w->random * UINT64_C(0x2545f4914f6cdd1d);
}

static double
uniform(world_t *w)
{
    return ((double)(next_random(w) >> 11) + 0.5) * 0x1p-53;
}

static int64_t
now_us(const world_t *w)
{
    return w->now_ms * 1000;
}

static double
progress(const world_t *w)
{
    return (double)(w->now_ms - START_MS) / 1000 / w->shape.over_s;
}

/* How much slower an upstream is by the fault. */
static double
fault_factor(world_t *w, uint32_t upstream, uint32_t zone)
{
    double at = progress(w);
    switch (w->test->fault) {
    case SLOW_ZONE:
        return zone == 0 && at > 0.3 && at < 0.55 ? 3 : 1;
    case COLD:
        return at < 0.3 ? 2 : 1;
    case NO_CAPACITY:
        return at > 0.3 && at < 0.6 ? 1 + 6 * uniform(w) : 1;
    case DISTURBED: {
        /* For 700 ms each; upstreams of both versions take turns. */
        uint64_t moment = (uint64_t)w->now_ms / 700 * 7919 + upstream * 104729;
        moment ^= moment >> 5;
        return moment * UINT64_C(0x9e3779b97f4a7c15) >> 32 & 0x7 ? 1 : 2.5;
    }
    default:
        return 1;
    }
}

static bool
version_is_bad(const world_t *w, uint32_t upstream, uint32_t route)
{
    switch (w->test->kind) {
    case FAILS:
    case SLOW:
        return true;
    case FAILS_LATER:
    case SLOW_LATER:
        return progress(w) > 0.5;
    case FAILS_WHEN_BUSY:
        return w->load[upstream] > 0.6 * w->shape.per_s / UPSTREAMS;
    case FAILS_ON_ROUTE:
        return route == 1;
    default:
        return false;
    }
}

/* Send one request to the old or the new version. */
static void
world_send(world_t *w, uint32_t daemon)
{
    static const double typical_ms[ROUTES] = {12, 30, 90};
    rollout_t *rollout = w->daemons[daemon];
    uint32_t route = (uint32_t)(next_random(w) % ROUTES);
    uint32_t start = (uint32_t)(next_random(w) % UPSTREAMS);
    bool to_new = rollout_may_send(rollout, now_us(w));
    const char *version = to_new ? "v2" : rollout_usual(rollout);
    bool is_new = strcmp(version, "v2") == 0;
    uint32_t upstream = UPSTREAMS;
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        uint32_t n = (start + i) % UPSTREAMS;
        if (rollout_allows(rollout, to_new, version, 1 + n, now_us(w))) {
            upstream = n;
            break;
        }
    }
    ck_assert_uint_lt(upstream, UPSTREAMS);
    rollout_note_sent(rollout, to_new);
    bool within = progress(w) >= 0 && progress(w) < 1;
    w->requests += within ? 1 : 0;
    bool bad = is_new && version_is_bad(w, upstream, route);
    bool slows = w->test->kind == SLOW || w->test->kind == SLOW_LATER;
    double part = w->test->kind == FAILS_ON_ROUTE ? 0.5 : 0.3;
    bad = bad && (slows || uniform(w) < part);
    if (is_new) {
        w->sent_new++;
        w->last_new_ms = w->now_ms;
        w->load[upstream] += 1 / 0.3;
    }
    else if (w->state == ROLLOUT_COMPLETE) {
        w->old_after_complete++;
    }
    double normal = sqrt(-2 * log(uniform(w))) * cos(6.2831853 * uniform(w));
    double took_ms =
        typical_ms[route] * exp(0.35 * normal) *
        fault_factor(w, upstream + (is_new ? 3 : 0), upstream % ZONES) *
        (bad && slows ? 4 : 1);
    bool lost = w->test->fault == LOST && uniform(w) < 0.03;
    bool failed = lost || (bad && !slows);
    answer_event_t *event = calloc(1, sizeof(*event));
    *event = (answer_event_t){
        .daemon = daemon,
        .bad = bad,
        .answer =
            {
                .side = is_new ? ROLLOUT_NEW : ROLLOUT_OLD,
                .key = {.route = route + 1, .zone = upstream % ZONES},
                .took_us =
                    failed || (w->test->fault == COLD && progress(w) < 0.3)
                        ? -1
                        : (int64_t)(took_ms * 1000),
                .failed = failed,
            },
    };
    int64_t delay_ms = took_ms < 1              ? 1
                       : took_ms < DELAY_MAX_MS ? (int64_t)took_ms
                                                : DELAY_MAX_MS - 1;
    answer_event_t **at = &w->due[(w->now_ms + delay_ms) % DELAY_MAX_MS];
    event->next = *at;
    *at = event;
}

static void
world_answers(world_t *w)
{
    answer_event_t *event = w->due[w->now_ms % DELAY_MAX_MS];
    w->due[w->now_ms % DELAY_MAX_MS] = NULL;
    while (event != NULL) {
        answer_event_t *next = event->next;
        rollout_note_answer(w->daemons[event->daemon], &event->answer,
                            now_us(w));
        w->bad_answers += event->bad ? 1 : 0;
        if (event->bad && w->bad_answers == 50) {
            w->fiftieth_ms = w->now_ms;
        }
        free(event);
        event = next;
    }
}

/* The decider is the first daemon. The others get the status with the response
   to their report, or from the store within half a second. */
static void
world_report(world_t *w, uint32_t daemon)
{
    rollout_t *decider = w->daemons[0];
    rollout_t *rollout = w->daemons[daemon];
    const rollout_reporter_t reporter = {.name_hash = daemon, .run = 1};
    rollout_note_report(decider, &reporter, rollout_own_report(rollout),
                        now_us(w));
    if (daemon != 0) {
        rollout_set_status(rollout, rollout_status(decider), now_us(w));
        rollout_set_elapsed(rollout, rollout_elapsed_us(decider, now_us(w)),
                            now_us(w));
    }
}

static void
world_upstreams(world_t *w, uint32_t daemon)
{
    rollout_upstream_t list[2 * UPSTREAMS];
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        list[i] = (rollout_upstream_t){"v1", 1 + i, 1000};
        list[i + UPSTREAMS] = (rollout_upstream_t){"v2", 1 + i, 2000};
    }
    rollout_set_upstreams(
        w->daemons[daemon], list,
        w->state == ROLLOUT_REVERTED ? UPSTREAMS : 2 * UPSTREAMS, now_us(w));
}

static void
world_tick_daemon(world_t *w, uint32_t daemon)
{
    rollout_t *rollout = w->daemons[daemon];
    int64_t seen_ms = START_MS + (int64_t)daemon * 37 % ORDER_MS;
    if (!w->ordered[daemon] && w->now_ms >= seen_ms) {
        rollout_order_t order = {
            .id = 77, .target = "v2", .over_us = w->shape.over_s * 1000000LL};
        rollout_set_order(rollout, &order, true, now_us(w));
        w->ordered[daemon] = true;
    }
    world_upstreams(w, daemon);
    rollout_finding_t finding;
    rollout_watch_own(rollout, &finding, now_us(w));
    if (rollout_report_is_due(rollout, now_us(w))) {
        w->reported_ms[daemon] = w->now_ms + REPORT_DELAY_MS;
    }
    /* The followed status, without reports. */
    if (daemon != 0 && (w->now_ms + daemon * 13) % 500 < TICK_MS &&
        rollout_status(w->daemons[0])->state != ROLLOUT_ABSENT) {
        rollout_set_status(rollout, rollout_status(w->daemons[0]), now_us(w));
    }
}

static void
world_tick(world_t *w)
{
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        w->load[i] *= exp(-TICK_MS / 300.0); /* a mean over 300 ms */
    }
    for (uint32_t i = 0; i < w->shape.daemons; i++) {
        world_tick_daemon(w, i);
    }
    rollout_status_t status;
    if (w->ordered[0]) {
        rollout_note_heard(w->daemons[0], now_us(w));
        if (rollout_decide(w->daemons[0], &status, &w->finding, now_us(w))) {
            rollout_set_status(w->daemons[0], &status, now_us(w));
            w->state = status.state;
            if (status.state != ROLLOUT_ACTIVE) {
                w->ended_ms = w->now_ms - START_MS;
            }
        }
    }
}

static void
world_run(world_t *w, const case_t *test, const shape_t *shape, uint64_t seed)
{
    static const rollout_settings_t settings = {SHARE, SLACK, 300000};
    *w = (world_t){.test = test,
                   .shape = *shape,
                   .random = seed * UINT64_C(0x9e3779b97f4a7c15) + 1,
                   .state = ROLLOUT_ABSENT};
    for (int i = 0; i < 10; i++) {
        next_random(w);
    }
    for (uint32_t i = 0; i < shape->daemons; i++) {
        w->daemons[i] = rollout_new(&settings, next_random(w), 0);
        rollout_set_senders(w->daemons[i], shape->daemons);
        world_upstreams(w, i);
    }
    int64_t end_ms = START_MS + shape->over_s * 1000 + 1000;
    double next_ms = 0;
    for (w->now_ms = 1; w->now_ms < end_ms; w->now_ms += STEP_MS) {
        world_answers(w);
        for (uint32_t i = 0; i < shape->daemons; i++) {
            if (w->reported_ms[i] == w->now_ms) {
                world_report(w, i);
            }
        }
        if (w->now_ms % TICK_MS == 0) {
            world_tick(w);
        }
        while (next_ms <= (double)w->now_ms) {
            world_send(w, (uint32_t)(next_random(w) % shape->daemons));
            next_ms += -log(uniform(w)) * 1000 / shape->per_s;
        }
    }
    for (int i = 0; i < DELAY_MAX_MS; i++) {
        while (w->due[i] != NULL) {
            answer_event_t *event = w->due[i];
            w->due[i] = event->next;
            free(event);
        }
    }
    for (uint32_t i = 0; i < shape->daemons; i++) {
        rollout_free(w->daemons[i]);
    }
}

static const uint32_t daemon_counts[] = {2, 8, 60, 300};
static const uint32_t rates[] = {200, 20, 2};
static const uint32_t budgets_s[] = {8, 12, 30};

/* Least part of bad versions that are reverted, and greatest part of good ones
   that are, by rate. Two requests a second are 16 in 8 s: some faults cannot
   be told from chance then, and cannot use up the slack either. */
static const struct {
    double reverted_min;
    double reverted_max;
} bounds[] = {{0.9, 0.05}, {0.5, 0.05}, {0, 0.05}};

START_TEST(test_fleet)
{
    const case_t *c = &cases[_i];
    const char *text = getenv("ROLLOUT_SEEDS");
    if (text == NULL && _i % CASE_STEP != 0) {
        return; /* all cases take minutes: they run with ROLLOUT_SEEDS=5 */
    }
    uint32_t seeds = text != NULL ? (uint32_t)atoi(text) : ROUNDS;
    static world_t w;
    for (int r = 0; r < 3; r++) {
        uint32_t runs = 0;
        uint32_t reverted = 0;
        for (uint32_t n = 0; n < 4 * 3 * seeds; n++) {
            shape_t shape = {daemon_counts[n % 4], rates[r],
                             budgets_s[n / 4 % 3]};
            world_run(&w, c, &shape, 1 + n);
            runs++;
            reverted += w.state == ROLLOUT_REVERTED ? 1 : 0;
            char at[128];
            snprintf(at, sizeof(at), "%s: %u daemons %u/s %u s seed %u",
                     c->name, shape.daemons, shape.per_s, shape.over_s, 1 + n);
            if (text != NULL &&
                ((c->kind == GOOD) == (w.state == ROLLOUT_REVERTED))) {
                printf("%s: state %s at %lld new %u of %u, %s chance %g bad "
                       "%u/%u\n",
                       at, rollout_state_name(w.state), (long long)w.ended_ms,
                       w.sent_new, w.requests,
                       rollout_reason_name(w.finding.reason), w.finding.chance,
                       w.finding.bad, w.finding.answers);
            }
            if (c->kind == GOOD) {
                ck_assert_msg(w.state != ROLLOUT_ACTIVE &&
                                  w.ended_ms <= shape.over_s * 1000,
                              "%s: not ended", at);
                ck_assert_msg(w.old_after_complete == 0, "%s: old %u", at,
                              w.old_after_complete);
                continue;
            }
            /* A bad version that is completed unnoticed is counted above. */
            bool exposed = w.state != ROLLOUT_COMPLETE &&
                           w.sent_new > SHARE * w.requests + SLACK;
            bool late = w.state != ROLLOUT_COMPLETE && w.fiftieth_ms > 0 &&
                        w.last_new_ms > w.fiftieth_ms + ROLLBACK_MS;
            ck_assert_msg(!exposed && !late, "%s: new %u of %u, late %d", at,
                          w.sent_new, w.requests, late);
        }
        printf("%-28s %3u/s: %u of %u reverted\n", c->name, rates[r], reverted,
               runs);
        /* Bad in the last 1.5 s only: at 20 requests a second some nine go to
           the new version until the last step, of which three fail. */
        double least = c->kind == FAILS_WHEN_BUSY && rates[r] < 200
                           ? bounds[r].reverted_min / 4
                           : bounds[r].reverted_min;
        ck_assert_msg(c->kind == GOOD
                          ? reverted <= bounds[r].reverted_max * runs
                          : reverted >= least * runs,
                      "%s at %u/s: %u of %u reverted", c->name, rates[r],
                      reverted, runs);
    }
}
END_TEST

/* What a sequence of events allows, for one daemon. */
typedef enum {
    END,
    LIST,      /* the upstreams: letters of versions, the oldest first */
    ORDER,     /* for a version; "": withdrawn */
    OLD_ORDER, /* one that is older than the daemon */
    ACTIVE,    /* status for the order in force, with the share in percent */
    COMPLETE,
    REVERTED,
    STALE,   /* an active status for the order before, heard now */
    WAIT,    /* milliseconds pass */
    ALLOWS,  /* requests may go to exactly these versions */
    DECIDES, /* the decider writes this state; "": nothing */
    REQUESTS /* this many are sent; at most `most` of them to the new one */
} step_kind_t;

typedef struct {
    step_kind_t kind;
    const char *text;
    int number;
    int most;
} step_t;

typedef struct {
    const char *name;
    step_t steps[12];
} sequence_t;

static const sequence_t sequences[] = {
    {"an unordered version gets nothing",
     {{LIST, "aab", 0, 0},
      {ALLOWS, "a", 0, 0},
      {WAIT, "", 9000, 0},
      {ALLOWS, "a", 0, 0}}},
    {"nor if it is listed first and the daemon has just started",
     {{LIST, "b", 0, 0},
      {WAIT, "", 100, 0},
      {LIST, "ab", 0, 0},
      {ALLOWS, "a", 0, 0}}},
    {"it gets all when no other version is left",
     {{LIST, "aab", 0, 0},
      {WAIT, "", 9000, 0},
      {LIST, "b", 0, 0},
      {ALLOWS, "b", 0, 0}}},
    {"an order without a status moves nothing",
     {{LIST, "ab", 0, 0},
      {ORDER, "b", 0, 0},
      {ALLOWS, "a", 0, 0},
      {DECIDES, "active", 0, 0}}},
    {"an active status does",
     {{LIST, "ab", 0, 0},
      {ORDER, "b", 0, 0},
      {ACTIVE, "", 8, 0},
      {LIST, "ab", 0, 0},
      {REQUESTS, "", 100, 40},
      {ALLOWS, "ab", 0, 0}}},
    {"not without word of it for 2 s",
     {{LIST, "ab", 0, 0},
      {ORDER, "b", 0, 0},
      {ACTIVE, "", 8, 0},
      {LIST, "ab", 0, 0},
      {WAIT, "", 2100, 0},
      {REQUESTS, "", 100, 0}}},
    {"an order before the start gives no slack",
     {{LIST, "ab", 0, 0},
      {OLD_ORDER, "b", 0, 0},
      {ACTIVE, "", 8, 0},
      {LIST, "ab", 0, 0},
      {REQUESTS, "", 100, 9}}},
    {"complete moves all",
     {{LIST, "ab", 0, 0},
      {ORDER, "b", 0, 0},
      {ACTIVE, "", 8, 0},
      {COMPLETE, "", 0, 0},
      {LIST, "ab", 0, 0},
      {ALLOWS, "b", 0, 0},
      {DECIDES, "", 0, 0}}},
    {"reverted bars the version, also when it is left alone",
     {{LIST, "ab", 0, 0},
      {WAIT, "", 9000, 0},
      {ORDER, "b", 0, 0},
      {REVERTED, "", 0, 0},
      {LIST, "ab", 0, 0},
      {ALLOWS, "a", 0, 0},
      {LIST, "b", 0, 0},
      {ALLOWS, "a", 0, 0},
      {DECIDES, "", 0, 0}}},
    {"a newer order names it again",
     {{LIST, "ab", 0, 0},
      {ORDER, "b", 0, 0},
      {REVERTED, "", 0, 0},
      {ORDER, "b", 0, 0},
      {DECIDES, "active", 0, 0},
      {ACTIVE, "", 8, 0},
      {LIST, "ab", 0, 0},
      {REQUESTS, "", 100, 40}}},
    {"a second order replaces the first",
     {{LIST, "abc", 0, 0},
      {ORDER, "b", 0, 0},
      {ACTIVE, "", 8, 0},
      {ORDER, "c", 0, 0},
      {LIST, "abc", 0, 0},
      {ALLOWS, "a", 0, 0},
      {DECIDES, "active", 0, 0},
      {ACTIVE, "", 8, 0},
      {LIST, "abc", 0, 0},
      {REQUESTS, "", 100, 40},
      {ALLOWS, "ac", 0, 0}}},
    {"the status of the first does not act on the second",
     {{LIST, "abc", 0, 0},
      {ORDER, "b", 0, 0},
      {ACTIVE, "", 8, 0},
      {ORDER, "c", 0, 0},
      {STALE, "", 0, 0},
      {LIST, "abc", 0, 0},
      {REQUESTS, "", 100, 0},
      {DECIDES, "active", 0, 0}}},
    {"an active status after the verdict is ignored",
     {{LIST, "ab", 0, 0},
      {ORDER, "b", 0, 0},
      {ACTIVE, "", 8, 0},
      {REVERTED, "", 0, 0},
      {ACTIVE, "", 30, 0},
      {LIST, "ab", 0, 0},
      {REQUESTS, "", 100, 0},
      {ALLOWS, "a", 0, 0}}},
    {"a withdrawn order is reverted",
     {{LIST, "ab", 0, 0},
      {ORDER, "b", 0, 0},
      {ACTIVE, "", 8, 0},
      {ORDER, "", 0, 0},
      {LIST, "ab", 0, 0},
      {REQUESTS, "", 100, 0},
      {DECIDES, "reverted", 0, 0}}},
    {"an order for the usual version is complete",
     {{LIST, "ab", 0, 0},
      {ORDER, "a", 0, 0},
      {DECIDES, "active", 0, 0},
      {ACTIVE, "", 8, 0},
      {DECIDES, "complete", 0, 0}}},
    {"a version without upstreams stays active",
     {{LIST, "aa", 0, 0},
      {ORDER, "b", 0, 0},
      {ACTIVE, "", 8, 0},
      {WAIT, "", 60000, 0},
      {DECIDES, "", 0, 0},
      {ALLOWS, "a", 0, 0}}},
};

static void
list_set(rollout_t *rollout, const char *letters, int64_t at_us)
{
    char versions[8][2] = {0};
    rollout_upstream_t list[8];
    uint32_t count = 0;
    for (; letters[count] != '\0'; count++) {
        versions[count][0] = letters[count];
        list[count] = (rollout_upstream_t){
            .version = versions[count],
            .id_hash = count,
            /* "b" alone is younger than "a", too. */
            .started_ms = 1000 + letters[count],
        };
    }
    rollout_set_upstreams(rollout, list, count, at_us);
}

static void
check_allows(const sequence_t *s, const rollout_t *rollout,
             const char *expected, int64_t at_us)
{
    for (const char *letter = "abc"; *letter != '\0'; letter++) {
        const char version[2] = {*letter, '\0'};
        bool allowed = rollout_allows(rollout, false, version, 0, at_us);
        for (uint64_t id = 0; id < 8; id++) {
            allowed |= rollout_allows(rollout, true, version, id, at_us);
        }
        ck_assert_msg(allowed == (strchr(expected, *letter) != NULL),
                      "%s: %s allowed: %d", s->name, version, allowed);
    }
}

static void
step_run(const sequence_t *s, const step_t *step, rollout_t *rollout,
         uint64_t *order_id, int64_t *at_us)
{
    rollout_order_t order = {.id = *order_id, .over_us = 8000000};
    rollout_status_t status = {.order = *order_id,
                               .share = step->number / 100.0};
    rollout_finding_t finding;
    const rollout_order_t *known = rollout_order(rollout);
    snprintf(status.target, sizeof(status.target), "%s",
             known != NULL ? known->target : "");
    switch (step->kind) {
    case LIST:
        list_set(rollout, step->text, *at_us);
        break;
    case ORDER:
    case OLD_ORDER:
        order.id = ++*order_id;
        snprintf(order.target, sizeof(order.target), "%s", step->text);
        rollout_set_order(rollout, step->text[0] != '\0' ? &order : NULL,
                          step->kind == ORDER, *at_us);
        break;
    case STALE:
        status.order--;
        status.state = ROLLOUT_ACTIVE;
        snprintf(status.target, sizeof(status.target), "b");
        rollout_set_status(rollout, &status, *at_us);
        break;
    case ACTIVE:
    case COMPLETE:
    case REVERTED:
        status.state = step->kind == ACTIVE     ? ROLLOUT_ACTIVE
                       : step->kind == COMPLETE ? ROLLOUT_COMPLETE
                                                : ROLLOUT_REVERTED;
        rollout_set_status(rollout, &status, *at_us);
        break;
    case WAIT:
        *at_us += step->number * 1000LL;
        break;
    case ALLOWS:
        check_allows(s, rollout, step->text, *at_us);
        break;
    case DECIDES: {
        bool writes = rollout_decide(rollout, &status, &finding, *at_us);
        ck_assert_msg(writes == (step->text[0] != '\0') &&
                          (!writes || strcmp(rollout_state_name(status.state),
                                             step->text) == 0),
                      "%s: decides %d %s", s->name, writes,
                      rollout_state_name(status.state));
        break;
    }
    default: {
        int sent = 0;
        for (int i = 0; i < step->number; i++) {
            bool to_new = rollout_may_send(rollout, *at_us);
            rollout_note_sent(rollout, to_new);
            sent += to_new;
        }
        ck_assert_msg(sent <= step->most && (sent > 0) == (step->most > 0),
                      "%s: %d sent", s->name, sent);
    }
    }
}

START_TEST(test_sequence)
{
    static const rollout_settings_t settings = {SHARE, SLACK, 0};
    const sequence_t *s = &sequences[_i];
    int64_t at_us = 1000000;
    uint64_t order_id = 10;
    rollout_t *rollout = rollout_new(&settings, 1, at_us);
    for (const step_t *step = s->steps; step->kind != END; step++) {
        step_run(s, step, rollout, &order_id, &at_us);
    }
    rollout_free(rollout);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("rollout");
    tcase_set_timeout(tests, 600);
    tcase_add_loop_test(tests, test_fleet, 0,
                        sizeof(cases) / sizeof(cases[0]));
    tcase_add_loop_test(tests, test_sequence, 0,
                        sizeof(sequences) / sizeof(sequences[0]));
    return suite_run("rollout", tests);
}
