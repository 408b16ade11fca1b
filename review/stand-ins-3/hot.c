/*
 * Many callers send the same request, which may run once at most. One of the
 * three servers of its service crashes for a moment, with some of these
 * requests at work.
 */
#include "review/stand-ins-3/world.h"

#include <stdio.h>
#include <stdlib.h>

enum {
    DAEMONS = 2,
    SERVERS = 3, /* of each of the two services */
    CALLERS = 20 /* for each daemon and route */
};

static const double begin_s = 4;
static const double add_s = 6; /* the second route is added */
static const double crash_s = 15;
static const double down_s = 4.5;
static const double steady_s = 40; /* 20 s after the server is back */
static const double end_s = 60;
static const double pause_s = 0.03; /* between two requests of a kind */
static const double work_s = 0.22;

typedef enum { FIRST, LATER, ROUTES } route_t;

static const char *const names[ROUTES] = {
    [FIRST] = "/shelf/", [LATER] = "/till/"};

/* Requests that were sent in one part of the run. */
typedef struct {
    uint32_t sent;
    uint32_t served;
} tally_t;

typedef struct {
    world_t *world;
    upstream_t *till;
    caller_t *callers[ROUTES][DAEMONS][CALLERS];
    double next_s;
    uint32_t turn;
    uint32_t phase;
    tally_t before[ROUTES];
    tally_t steady[ROUTES];
    uint32_t at_work; /* at the server that crashes */
    uint32_t lost;
} case_t;

static void
configure(case_t *the, uint32_t version, bool has_later)
{
    static const char later[] =
        ",{\"name\":\"r-2\",\"host\":\"review.example\","
        "\"prefix\":\"/till/\",\"type\":\"non_idempotent\","
        "\"timeout_ms\":5000,\"goal_ms\":800,\"priority\":1,"
        "\"service\":\"till\",\"attempts\":2}";
    char text[1536];
    snprintf(text, sizeof(text),
             "{\"version\":%u,\"routes\":[{\"name\":\"r-1\","
             "\"host\":\"review.example\",\"prefix\":\"/shelf/\","
             "\"type\":\"non_idempotent\",\"timeout_ms\":5000,"
             "\"goal_ms\":800,\"priority\":1,\"service\":\"shelf\","
             "\"attempts\":2}%s],"
             "\"services\":[{\"name\":\"shelf\",\"health_path\":\"/health\","
             "\"max_conns\":45,\"protocol\":\"h1\",\"tls\":false,"
             "\"warmup_s\":0.0,\"cold_per_s\":0.0},"
             "{\"name\":\"till\",\"health_path\":\"/health\","
             "\"max_conns\":45,\"protocol\":\"h1\",\"tls\":false,"
             "\"warmup_s\":0.0,\"cold_per_s\":0.0}],"
             "\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
             "\"idle_timeout_ms\":15000}}",
             version, has_later ? later : "");
    world_configure(the->world, text);
}

static void
serve(void *owner, upstream_t *upstream, exchange_t *exchange)
{
    (void)owner;
    upstream_respond(upstream, exchange, 200, "", work_s);
}

static void
finish(case_t *the, route_t route, caller_t *caller, uint32_t status)
{
    double now_s = world_now_s(the->world);
    double sent_s = world_sent_s(the->world, caller_request_id(caller));
    tally_t *tally = sent_s >= steady_s                  ? &the->steady[route]
                     : sent_s > add_s && now_s < crash_s ? &the->before[route]
                                                         : NULL;
    if (tally != NULL) {
        tally->sent++;
        tally->served += status == 200 ? 1 : 0;
    }
}

static void
first_done(void *owner, caller_t *caller, uint32_t status)
{
    finish(owner, FIRST, caller, status);
}

static void
later_done(void *owner, caller_t *caller, uint32_t status)
{
    finish(owner, LATER, caller, status);
}

static void
send_all(case_t *the, double now_s)
{
    uint32_t turn = the->turn++ % CALLERS;
    for (uint32_t i = 0; i < DAEMONS; i++) {
        char path[64];
        snprintf(path, sizeof(path), "/shelf/%u-%u", i, the->turn);
        (void)caller_send(the->callers[FIRST][i][turn], "POST", path, 5000,
                          40);
        if (now_s > add_s + 4) {
            (void)caller_send(the->callers[LATER][i][turn], "POST",
                              "/till/one-token", 5000, 40);
        }
    }
}

static bool
step(void *owner, double now_s)
{
    case_t *the = owner;
    static const double times_s[] = {add_s, crash_s, end_s};
    if (now_s >= begin_s && now_s >= the->next_s) {
        the->next_s = now_s + pause_s;
        send_all(the, now_s);
    }
    if (now_s < times_s[the->phase]) {
        return true;
    }
    switch (the->phase++) {
    case 0:
        configure(the, 2, true);
        return true;
    case 1:
        if (world_has_trouble(the->world)) {
            upstream_crash(the->till, down_s);
        }
        return true;
    default:
        return false;
    }
}

int
main(int argc, char **argv)
{
    static const char *const shelf[SERVERS] = {"i-1", "i-2", "i-3"};
    static const char *const till[SERVERS] = {"i-4", "i-5", "i-6"};
    static const caller_done_fn_t done[ROUTES] = {first_done, later_done};
    static case_t the;
    the.world = world_new(argc, argv, DAEMONS);
    for (uint32_t i = 0; i < SERVERS; i++) {
        world_add_upstream(the.world, shelf[i], "shelf", serve, &the);
        the.till = world_add_upstream(the.world, till[i], "till", serve, &the);
    }
    configure(&the, 1, false);
    for (uint32_t i = 0; i < DAEMONS; i++) {
        for (uint32_t j = 0; j < ROUTES * CALLERS; j++) {
            route_t route = j < CALLERS ? FIRST : LATER;
            the.callers[route][i][j % CALLERS] =
                world_add_caller(the.world, i, done[route], &the);
        }
        world_start_daemon(the.world, i);
    }
    world_run(the.world, step, &the);
    for (int i = 0; i < ROUTES; i++) {
        world_record(the.world,
                     "%s: before the crash %u served of %u; from %.0f s on "
                     "%u served of %u",
                     names[i], the.before[i].served, the.before[i].sent,
                     steady_s, the.steady[i].served, the.steady[i].sent);
    }
    const tally_t *first = &the.steady[FIRST];
    const tally_t *later = &the.steady[LATER];
    bool ran = the.before[LATER].served > 100 && first->served > 100 &&
               later->sent >= 20;
    bool broken = 4.0 * later->served * first->sent <
                  (double)first->served * later->sent;
    return world_end(the.world, !ran     ? CASE_NOT_RUN
                                : broken ? CASE_BROKEN
                                         : CASE_HELD);
}
