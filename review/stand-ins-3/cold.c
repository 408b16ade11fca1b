/*
 * All servers of a service crash and are back 1.4 seconds later under
 * their ids, cold, three times. Callers go on as before.
 */
#include "review/stand-ins-3/world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    DAEMONS = 2,
    UPSTREAMS = 3,
    CALLERS = 40, /* for each daemon */
    COLD_PER_S = 20,
    COLD_SLACK = 5,
    ARRIVALS_MAX = 4096 /* of one server while it is cold */
};

static const double cold_factor = 1.5;
static const double warmup_s = 3;
static const double begin_s = 4;
static const double crashes_s[] = {10, 22, 34};
enum { CRASHES = sizeof(crashes_s) / sizeof(crashes_s[0]) };
static const double down_s = 1.4;
static const double end_s = 44;
static const double pause_s = 0.01; /* between two requests to a daemon */
static const double work_s = 0.01;
static const double cold_work_s = 0.016;

typedef struct {
    double sent_s;
    double arrived_s;
} arrival_t;

typedef struct {
    upstream_t *upstream;
    arrival_t arrivals[ARRIVALS_MAX];
    uint32_t count;
    uint32_t most; /* in one second, while it was cold */
} server_t;

typedef struct {
    world_t *world;
    server_t servers[UPSTREAMS];
    caller_t *callers[DAEMONS][CALLERS];
    double next_s;
    uint32_t turn;
    uint32_t crashes;
    uint32_t served, refused, other;
} case_t;

static double
bound(void)
{
    return COLD_PER_S * cold_factor + COLD_SLACK;
}

/* Requests that were sent and arrived in the second that ends now. */
static uint32_t
count_last_second(const server_t *server, double now_s)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < server->count; i++) {
        count += server->arrivals[i].sent_s >= now_s - 1 ? 1 : 0;
    }
    return count;
}

static void
serve(void *owner, upstream_t *upstream, exchange_t *exchange)
{
    case_t *the = owner;
    double now_s = world_now_s(the->world);
    double cold_s = upstream_cold_s(upstream);
    server_t *server = the->servers;
    while (server->upstream != upstream) {
        server++;
    }
    if (cold_s > 0 && server->count < ARRIVALS_MAX) {
        const char *id = http_header_find(exchange_request(exchange),
                                          "X-Yuccarun-Request-Id");
        server->arrivals[server->count++] = (arrival_t){
            .sent_s = world_sent_s(the->world, id),
            .arrived_s = now_s,
        };
        uint32_t count = count_last_second(server, now_s);
        if (count > server->most) {
            server->most = count;
            world_record(the->world,
                         "%s, cold for %.3f s more, begins %s: %u requests "
                         "within a second%s",
                         upstream_id(upstream), cold_s, id, count,
                         count > bound() ? ", TOO MANY" : "");
        }
    }
    upstream_respond(upstream, exchange, 200, "",
                     cold_s > 0 ? cold_work_s : work_s);
}

static void
done(void *owner, caller_t *caller, uint32_t status)
{
    case_t *the = owner;
    (void)caller;
    the->served += status == 200 ? 1 : 0;
    the->refused += status == 503 ? 1 : 0;
    the->other += status != 200 && status != 503 ? 1 : 0;
}

static bool
step(void *owner, double now_s)
{
    case_t *the = owner;
    if (now_s >= begin_s && now_s >= the->next_s) {
        the->next_s = now_s + pause_s;
        uint32_t turn = the->turn++ % CALLERS;
        for (uint32_t i = 0; i < DAEMONS; i++) {
            char path[32];
            snprintf(path, sizeof(path), "/shelf/%u-%u", i, the->turn);
            (void)caller_send(the->callers[i][turn], "GET", path, 1200, 0);
        }
    }
    if (world_has_trouble(the->world) && the->crashes < CRASHES &&
        now_s >= crashes_s[the->crashes]) {
        the->crashes++;
        for (uint32_t i = 0; i < UPSTREAMS; i++) {
            upstream_set_warmup(the->servers[i].upstream, warmup_s);
            upstream_crash(the->servers[i].upstream, down_s);
        }
    }
    return now_s < end_s;
}

int
main(int argc, char **argv)
{
    static const char *const ids[UPSTREAMS] = {"i-1", "i-2", "i-3"};
    static case_t the;
    char text[1024];
    the.world = world_new(argc, argv, DAEMONS);
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        the.servers[i].upstream =
            world_add_upstream(the.world, ids[i], "shelf", serve, &the);
    }
    snprintf(text, sizeof(text),
             "{\"version\":1,\"routes\":[{\"name\":\"r-1\","
             "\"host\":\"review.example\",\"prefix\":\"/shelf/\","
             "\"type\":\"idempotent\",\"timeout_ms\":1200,\"goal_ms\":200,"
             "\"priority\":1,\"service\":\"shelf\",\"attempts\":2}],"
             "\"services\":[{\"name\":\"shelf\",\"health_path\":\"/health\","
             "\"max_conns\":45,\"protocol\":\"h1\",\"tls\":false,"
             "\"warmup_s\":%.1f,\"cold_per_s\":%d.0}],"
             "\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
             "\"idle_timeout_ms\":15000}}",
             warmup_s, COLD_PER_S);
    world_configure(the.world, text);
    for (uint32_t i = 0; i < DAEMONS; i++) {
        for (uint32_t j = 0; j < CALLERS; j++) {
            the.callers[i][j] = world_add_caller(the.world, i, done, &the);
        }
        world_start_daemon(the.world, i);
    }
    world_run(the.world, step, &the);
    bool broken = false;
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        const server_t *server = &the.servers[i];
        broken |= server->most > bound();
        world_record(the.world,
                     "%s: %u requests while cold, %u within a second at most, "
                     "allowed %.0f",
                     ids[i], server->count, server->most, bound());
    }
    world_record(the.world, "served=%u refused=%u other=%u", the.served,
                 the.refused, the.other);
    return world_end(the.world, the.served < 500 ? CASE_NOT_RUN
                                : broken         ? CASE_BROKEN
                                                 : CASE_HELD);
}
