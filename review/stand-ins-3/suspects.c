/*
 * One request crashes each server that begins to run it, and its caller sends
 * it again and again. Meanwhile the daemons are stopped with SIGTERM and
 * started in turn, twice.
 */
#include "review/stand-ins-3/world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    DAEMONS = 3,
    UPSTREAMS = 4,
    CALLERS = 4, /* of harmless requests, for each daemon */
    /* Retries that the rule allows. */
    RETRIES_MAX = 3
};

static const double stable_s = 4;
static const double begin_s = 6;
static const double again_s = 5; /* the caller comes again after this time */
static const double harmless_s = 0.2;
static const double server_down_s = 2;
static const double end_s = 84;
/* When daemon 1, 2, 3 get SIGTERM. */
static const double rolls_s[] = {27, 32, 37, 57, 62, 67};
enum { ROLLS = sizeof(rolls_s) / sizeof(rolls_s[0]) };

typedef struct {
    world_t *world;
    caller_t *harmless[DAEMONS][CALLERS];
    caller_t *crashing[DAEMONS];
    uint32_t turn; /* the daemon that gets the request next */
    double next_s;
    double next_harmless_s;
    uint32_t rolled;
    uint32_t crashes;
    double third_crash_s; /* 0: not yet */
    char last_id[32];     /* of the last attempt that reached a server */
    uint32_t retries;     /* that count */
    uint32_t served, failed, attempts;
} case_t;

/* Count the attempt if it is a new one, and the rule counts it. */
static void
note_arrival(case_t *the, const upstream_t *upstream, const char *id)
{
    double now_s = world_now_s(the->world);
    if (strcmp(id, the->last_id) == 0) {
        world_record(the->world, "%s begins %s too", upstream_id(upstream),
                     id);
        return;
    }
    snprintf(the->last_id, sizeof(the->last_id), "%s", id);
    double since_s = 0;
    for (uint32_t i = 0; i < DAEMONS; i++) {
        if (strcmp(caller_request_id(the->crashing[i]), id) == 0) {
            since_s = world_daemon_since_s(the->world, i);
        }
    }
    bool in_touch = since_s >= 0 && now_s - since_s > stable_s;
    bool counts = in_touch && the->third_crash_s > 0 &&
                  now_s - the->third_crash_s > stable_s;
    the->retries += counts ? 1 : 0;
    world_record(the->world, "%s begins %s, sent by a daemon %s touch%s",
                 upstream_id(upstream), id, in_touch ? "in" : "out of",
                 counts ? ", COUNTS" : "");
}

static void
serve(void *owner, upstream_t *upstream, exchange_t *exchange)
{
    case_t *the = owner;
    const http_message_t *message = exchange_request(exchange);
    if (strcmp(http_target(message), "/shelf/crash") != 0) {
        upstream_respond(upstream, exchange, 200, "", 0.01);
        return;
    }
    note_arrival(the, upstream,
                 http_header_find(message, "X-Yuccarun-Request-Id"));
    if (++the->crashes == 3) {
        the->third_crash_s = world_now_s(the->world);
        world_record(the->world, "the third server crashes");
    }
    upstream_crash(upstream, server_down_s);
}

static void
harmless_done(void *owner, caller_t *caller, uint32_t status)
{
    case_t *the = owner;
    (void)caller;
    the->served += status == 200 ? 1 : 0;
    the->failed += status != 200 ? 1 : 0;
}

static void
crashing_done(void *owner, caller_t *caller, uint32_t status)
{
    (void)owner;
    (void)status;
    caller_hang_up(caller);
}

static void
send_crashing(case_t *the)
{
    uint32_t daemon = the->turn++ % DAEMONS;
    caller_t *caller = the->crashing[daemon];
    the->attempts +=
        caller_send(caller, "GET", "/shelf/crash", 2000, 0) ? 1 : 0;
}

static bool
step(void *owner, double now_s)
{
    case_t *the = owner;
    if (now_s >= begin_s && now_s >= the->next_s) {
        the->next_s = now_s + again_s;
        send_crashing(the);
    }
    if (now_s >= 4 && now_s >= the->next_harmless_s) {
        the->next_harmless_s = now_s + harmless_s;
        for (uint32_t i = 0; i < DAEMONS; i++) {
            for (uint32_t j = 0;
                 j < CALLERS && world_daemon_since_s(the->world, i) >= 0;
                 j++) {
                (void)caller_send(the->harmless[i][j], "GET", "/shelf/1", 2000,
                                  0);
            }
        }
    }
    if (world_has_trouble(the->world) && the->rolled < ROLLS &&
        now_s >= rolls_s[the->rolled]) {
        world_restart_daemon(the->world, the->rolled++ % DAEMONS);
    }
    return now_s < end_s;
}

int
main(int argc, char **argv)
{
    static const char *const ids[UPSTREAMS] = {"i-1", "i-2", "i-3", "i-4"};
    case_t the = {.world = world_new(argc, argv, DAEMONS)};
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        world_add_upstream(the.world, ids[i], "shelf", serve, &the);
    }
    world_configure(
        the.world,
        "{\"version\":1,\"routes\":[{\"name\":\"r-1\","
        "\"host\":\"review.example\",\"prefix\":\"/shelf/\","
        "\"type\":\"idempotent\",\"timeout_ms\":5000,\"goal_ms\":800,"
        "\"priority\":1,\"service\":\"shelf\",\"attempts\":2}],"
        "\"services\":[{\"name\":\"shelf\",\"health_path\":\"/health\","
        "\"max_conns\":45,\"protocol\":\"h1\",\"tls\":false,"
        "\"warmup_s\":3.0,\"cold_per_s\":0.0}],"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    for (uint32_t i = 0; i < DAEMONS; i++) {
        the.crashing[i] = world_add_caller(the.world, i, crashing_done, &the);
        for (uint32_t j = 0; j < CALLERS; j++) {
            the.harmless[i][j] =
                world_add_caller(the.world, i, harmless_done, &the);
        }
        world_start_daemon(the.world, i);
    }
    world_run(the.world, step, &the);
    world_record(the.world,
                 "attempts=%u crashes=%u retries that count=%u allowed=%u "
                 "harmless: served=%u not=%u",
                 the.attempts, the.crashes, the.retries, RETRIES_MAX,
                 the.served, the.failed);
    bool ran = the.crashes >= 3 && the.served > 100;
    return world_end(the.world, !ran                        ? CASE_NOT_RUN
                                : the.retries > RETRIES_MAX ? CASE_BROKEN
                                                            : CASE_HELD);
}
