/*
 * A version raises max_body_bytes. Callers that keep their connections send
 * bodies that only the new version allows, after it is due everywhere.
 */
#include "review/stand-ins-3/world.h"

#include <stdio.h>
#include <stdlib.h>

enum {
    CALLERS = 30,
    SMALL_BODY = 100,
    LARGE_BODY = 20000,
    OLD_LIMIT = 4096,
    NEW_LIMIT = 262144,
    /* Ends that the rule excuses, besides one in 500 requests. */
    DENIED_MAX = 5
};

/* Seconds since the start. The connections are idle for 9 s, of 12 s that the
   pages allow with an idle_timeout_ms of 15000; the version is due everywhere
   3 s after its confirmation. */
static const double first_s = 6;
static const double change_s = 8;
static const double second_s = 15;
static const double end_s = 20;

typedef struct {
    world_t *world;
    caller_t *kept[CALLERS];
    caller_t *fresh[CALLERS]; /* connect for the large body only */
    uint32_t phase;
    uint32_t served, denied, denied_fresh, other, sent;
} case_t;

static void
configure(case_t *the, uint32_t version, uint32_t max_body)
{
    char text[1024];
    snprintf(text, sizeof(text),
             "{\"version\":%u,\"routes\":[{\"name\":\"r-1\","
             "\"host\":\"review.example\",\"prefix\":\"/shelf/\","
             "\"type\":\"idempotent\",\"timeout_ms\":5000,\"goal_ms\":800,"
             "\"priority\":1,\"service\":\"shelf\",\"attempts\":2}],"
             "\"services\":[{\"name\":\"shelf\",\"health_path\":\"/health\","
             "\"max_conns\":45,\"protocol\":\"h1\",\"tls\":false,"
             "\"warmup_s\":3.0,\"cold_per_s\":0.0}],"
             "\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":%u,\"header_timeout_ms\":3000,"
             "\"idle_timeout_ms\":15000}}",
             version, max_body);
    world_configure(the->world, text);
}

static void
serve(void *owner, upstream_t *upstream, exchange_t *exchange)
{
    (void)owner;
    upstream_respond(upstream, exchange, 200, "", 0.01);
}

static void
kept_done(void *owner, caller_t *caller, uint32_t status)
{
    case_t *the = owner;
    bool denied = status >= 300 && status < 500 && status != 408 &&
                  status != 421 && status != 429;
    the->served += status == 200 ? 1 : 0;
    the->denied += denied ? 1 : 0;
    the->other += status != 200 && !denied ? 1 : 0;
    (void)caller;
}

static void
fresh_done(void *owner, caller_t *caller, uint32_t status)
{
    case_t *the = owner;
    the->served += status == 200 ? 1 : 0;
    the->denied_fresh += status >= 300 && status < 500 ? 1 : 0;
    (void)caller;
}

static void
send_all(case_t *the, caller_t *const *callers, size_t size)
{
    for (uint32_t i = 0; i < CALLERS; i++) {
        the->sent +=
            caller_send(callers[i], "POST", "/shelf/1", 5000, size) ? 1 : 0;
    }
}

static bool
step(void *owner, double now_s)
{
    case_t *the = owner;
    static const double times_s[] = {first_s, change_s, second_s, end_s};
    if (now_s < times_s[the->phase]) {
        return true;
    }
    switch (the->phase++) {
    case 0:
        send_all(the, the->kept, SMALL_BODY);
        return true;
    case 1:
        if (world_has_trouble(the->world)) {
            configure(the, 2, NEW_LIMIT);
        }
        return true;
    case 2:
        send_all(the, the->kept, LARGE_BODY);
        send_all(the, the->fresh, LARGE_BODY);
        return true;
    default:
        return false;
    }
}

int
main(int argc, char **argv)
{
    case_t the = {.world = world_new(argc, argv, 1)};
    world_add_upstream(the.world, "i-1", "shelf", serve, &the);
    world_add_upstream(the.world, "i-2", "shelf", serve, &the);
    /* Without the change the limit is the larger one from the start. */
    configure(&the, 1, world_has_trouble(the.world) ? OLD_LIMIT : NEW_LIMIT);
    for (uint32_t i = 0; i < CALLERS; i++) {
        the.kept[i] = world_add_caller(the.world, 0, kept_done, &the);
        the.fresh[i] = world_add_caller(the.world, 0, fresh_done, &the);
    }
    world_start_daemon(the.world, 0);
    world_run(the.world, step, &the);
    world_record(the.world,
                 "sent=%u served=%u denied_kept=%u denied_fresh=%u other=%u "
                 "allowed=%u",
                 the.sent, the.served, the.denied, the.denied_fresh, the.other,
                 DENIED_MAX + the.sent / 500);
    bool ran = the.sent == 3 * CALLERS && the.served >= 2 * CALLERS;
    bool broken = the.denied + the.denied_fresh > DENIED_MAX + the.sent / 500;
    return world_end(the.world, !ran     ? CASE_NOT_RUN
                                : broken ? CASE_BROKEN
                                         : CASE_HELD);
}
