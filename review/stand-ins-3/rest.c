/*
 * An upstream turns a request away with 503 and Retry-After. While the store
 * is down, the entries of all upstreams expire; the upstreams write them again
 * 1.9 s after its return.
 */
#include "review/stand-ins-3/world.h"

#include <stdio.h>
#include <stdlib.h>

enum {
    CALLERS = 12,
    REST_S = 60,
    /* Requests that the rule allows at a resting upstream. */
    ARRIVALS_MAX = 2
};

static const double overload_s = 6; /* i-1 turns requests away from here on */
static const double down_s = 10;
static const double expire_s = 13.7; /* three heartbeats of 1.2 s later */
static const double up_s = 15;
static const double return_s = 1.9;
static const double end_s = 30;
static const double batch_s = 0.25; /* between the callers' requests */

typedef struct {
    world_t *world;
    caller_t *callers[CALLERS];
    double next_batch_s;
    uint32_t phase;
    double rest_from_s; /* first 503 with Retry-After; 0: none yet */
    uint32_t arrivals;  /* at the resting upstream, later than 0.5 s */
    uint32_t served, refused, other;
} case_t;

static void
serve(void *owner, upstream_t *upstream, exchange_t *exchange)
{
    (void)owner;
    upstream_respond(upstream, exchange, 200, "", 0.005);
}

/* Turn requests away, as an overloaded server does, until the rest that it has
   asked for ends. */
static void
overload(void *owner, upstream_t *upstream, exchange_t *exchange)
{
    case_t *the = owner;
    double now_s = world_now_s(the->world);
    const char *id =
        http_header_find(exchange_request(exchange), "X-Yuccarun-Request-Id");
    char headers[128];
    if (now_s < overload_s) {
        upstream_respond(upstream, exchange, 200, "", 0.005);
        return;
    }
    if (the->rest_from_s == 0) {
        the->rest_from_s = now_s;
    }
    double left_s = the->rest_from_s + REST_S - now_s;
    bool counts = now_s > the->rest_from_s + 0.5;
    the->arrivals += counts ? 1 : 0;
    world_record(the->world,
                 "%s turns %s away, Retry-After: %.1f; %.1f s after the first "
                 "one%s",
                 upstream_id(upstream), id, left_s, now_s - the->rest_from_s,
                 counts ? ", COUNTS" : "");
    snprintf(headers, sizeof(headers),
             "X-Yuccarun-Not-Run: 1\r\nRetry-After: %.1f\r\n", left_s);
    upstream_respond(upstream, exchange, 503, headers, 0.005);
}

static void
done(void *owner, caller_t *caller, uint32_t status)
{
    case_t *the = owner;
    the->served += status == 200 ? 1 : 0;
    the->refused += status == 503 ? 1 : 0;
    the->other += status != 200 && status != 503 ? 1 : 0;
    (void)caller;
}

static bool
step(void *owner, double now_s)
{
    case_t *the = owner;
    static const double times_s[] = {down_s, expire_s, up_s, end_s};
    bool trouble = world_has_trouble(the->world);
    if (now_s >= the->next_batch_s && now_s > 4) {
        the->next_batch_s = now_s + batch_s;
        for (uint32_t i = 0; i < CALLERS; i++) {
            (void)caller_send(the->callers[i], "GET", "/shelf/1", 5000, 0);
        }
    }
    if (now_s < times_s[the->phase]) {
        return true;
    }
    uint32_t phase = the->phase++;
    if (trouble && phase == 0) {
        world_set_store_down(the->world, true, 0);
    }
    else if (trouble && phase == 1) {
        world_expire_entries(the->world);
    }
    else if (trouble && phase == 2) {
        world_set_store_down(the->world, false, return_s);
    }
    return phase < 3;
}

int
main(int argc, char **argv)
{
    case_t the = {.world = world_new(argc, argv, 1)};
    world_add_upstream(the.world, "i-1", "shelf", overload, &the);
    world_add_upstream(the.world, "i-2", "shelf", serve, &the);
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
    for (uint32_t i = 0; i < CALLERS; i++) {
        the.callers[i] = world_add_caller(the.world, 0, done, &the);
    }
    world_start_daemon(the.world, 0);
    world_run(the.world, step, &the);
    world_record(the.world,
                 "arrivals at the resting server=%u allowed=%u served=%u "
                 "refused=%u other=%u",
                 the.arrivals, ARRIVALS_MAX, the.served, the.refused,
                 the.other);
    bool ran = the.rest_from_s > 0 && the.served > 100;
    return world_end(the.world, !ran                          ? CASE_NOT_RUN
                                : the.arrivals > ARRIVALS_MAX ? CASE_BROKEN
                                                              : CASE_HELD);
}
