#include "t/soak/world.h"

#include "daemon/clock.h"
#include "t/lib/tier_address.h"
#include "t/soak/world_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    TICK_MS = 10, /* and one request a tick */
    UP_US = 1500000,
    CALM_RUN_US = 17000000,
    RECOVERED_US = 3000000, /* the end of the run, by which all is well */
    FLUSH_US = 1800000,     /* for the last answers */
    WORK_US = 8000,
    RETRY_SLACK = 10,
    WINDOW_US = 10000000
};

#define RETRY_RATIO 0.2

uint32_t
world_random(world_t *world, uint32_t below)
{
    world->random ^= world->random << 13;
    world->random ^= world->random >> 7;
    world->random ^= world->random << 17;
    return (uint32_t)((world->random >> 20) % below);
}

void
world_put_config(world_t *world, int64_t now_us)
{
    char text[1024];
    world->version++;
    world->version_us = now_us;
    snprintf(
        text, sizeof(text),
        "{\"version\":%u,\"routes\":["
        "{\"name\":\"one\",\"host\":\"h\",\"prefix\":\"/one/\",\"type\":"
        "\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":200,\"service\":"
        "\"s%u\",\"attempts\":2},"
        "{\"name\":\"once\",\"host\":\"h\",\"prefix\":\"/once/\",\"type\":"
        "\"non_idempotent\",\"timeout_ms\":2000,\"goal_ms\":200,"
        "\"service\":\"s3\",\"attempts\":2},"
        "{\"name\":\"all\",\"host\":\"h\",\"prefix\":\"/all/\",\"type\":"
        "\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":200,\"gather\":"
        "[\"s0\",\"s1\",\"s2\"],\"attempts\":2,\"top_k\":2,"
        "\"min_version\":0.6}],\"services\":[],"
        "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":1000,"
        "\"header_timeout_ms\":2000,\"idle_timeout_ms\":20000}}",
        world->version, world->one_goes_to);
    tier_store_put(world->store, "op/config", text);
}

static void
upstreams_init(world_t *world)
{
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        upstream_t *upstream = &world->upstreams[i];
        *upstream = (upstream_t){
            .world = world,
            .number = i,
            .service = i / UPSTREAMS_EACH,
            .zone = i % UPSTREAMS_EACH == 0 ? "a" : "b",
            .address = unique_loopback_address(),
            .listed = unique_loopback_address(),
            .work_us = WORK_US,
        };
        snprintf(upstream->id, sizeof(upstream->id), "i-%u", i);
        upstream_start(upstream);
        upstream_list(upstream);
    }
}

static void
daemons_init(world_t *world, const char *program, const char *directory,
             const struct sockaddr_in *store)
{
    for (uint32_t i = 0; i < world->daemon_count; i++) {
        daemon_t *daemon = &world->daemons[i];
        char name[sizeof(daemon->name)];
        snprintf(name, sizeof(name), "front-%u", i);
        memcpy(daemon->name, name, sizeof(name));
        daemon->settings = (daemon_settings_t){
            .name = daemon->name,
            .zone = i % 2 == 0 ? "a" : "b",
            .callers = unique_loopback_address(),
            .readiness = unique_loopback_address(),
            .directory = unique_loopback_address(),
            .control = unique_loopback_address(),
            .store = unique_loopback_address(),
            .grace_s = GRACE_S,
            .retry_ratio = RETRY_RATIO,
            .retry_slack = RETRY_SLACK,
        };
        daemon->settings.seed = world->daemons[0].settings.control;
        daemon->store_proxy =
            proxy_new(world->loop, &daemon->settings.store, store);
        snprintf(daemon->process.program, PATH_SIZE, "%s", program);
        snprintf(daemon->process.settings, PATH_SIZE, "%.200s/%s.conf",
                 directory, name);
        snprintf(daemon->process.log, PATH_SIZE, "%.200s/%s.log", directory,
                 name);
        fleet_write_settings(daemon->process.settings, &daemon->settings);
        daemon->harmed_us = world->start_us;
        fleet_start(&daemon->process);
    }
}

static void
world_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    world_t *world = timer->data;
    int64_t now_us = clock_now_us();
    int64_t since_us = now_us - world->start_us;
    (void)events;
    if (since_us > world->run_us + FLUSH_US) {
        ev_break(loop, EVBREAK_ALL);
        return;
    }
    faults_tick(world, now_us);
    callers_check(world, now_us);
    if (since_us > UP_US && since_us < world->run_us) {
        callers_send(world, now_us);
    }
}

static void
world_release(world_t *world, const char *directory, bool keeps_logs)
{
    for (uint32_t i = 0; i < world->daemon_count; i++) {
        daemon_t *daemon = &world->daemons[i];
        fleet_end(&daemon->process);
        proxy_free(daemon->store_proxy);
        if (!keeps_logs) {
            unlink(daemon->process.settings);
            unlink(daemon->process.log);
        }
    }
    if (!keeps_logs) {
        rmdir(directory);
    }
    for (uint32_t i = 0; i < CALLERS_MAX; i++) {
        conn_close(&world->callers[i].conn);
        http_reader_release(&world->callers[i].reader);
    }
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        http_server_free(world->upstreams[i].server);
        proxy_free(world->upstreams[i].proxy);
    }
    tier_store_free(world->store);
    ledger_free(world->ledger);
    ev_loop_destroy(world->loop);
    free(world);
}

soak_result_t
soak_run(const soak_settings_t *settings)
{
    char directory[] = "/tmp/yuccarun-soak-XXXXXX";
    world_t *world = calloc(1, sizeof(*world));
    if (world == NULL || mkdtemp(directory) == NULL) {
        perror("soak");
        abort();
    }
    printf("seed %llu%s\n", (unsigned long long)settings->seed,
           settings->large ? ", a large fleet" : "");
    world->random = settings->seed * 0x9e3779b97f4a7c15ULL + 1;
    world->daemon_count = settings->large ? DAEMONS_MAX : DAEMONS_SMALL;
    world->loop = ev_loop_new(EVBACKEND_EPOLL);
    world->ledger = ledger_new(false);
    world->start_us = clock_now_us();
    struct sockaddr_in store = unique_loopback_address();
    world->store = tier_store_new(world->loop, &store);
    for (uint32_t i = 0; i < CALLERS_MAX; i++) {
        static const http_limits_t limits = {0};
        world->callers[i].conn.fd = -1;
        http_reader_init(&world->callers[i].reader, HTTP_RESPONSES, &limits);
    }
    upstreams_init(world);
    world_put_config(world, world->start_us);
    daemons_init(world, settings->program, directory, &store);
    world->run_us = CALM_RUN_US;
    if (!settings->calm) {
        /* The end of the last fault is in force everywhere. */
        int64_t well_us = faults_plan(world) + EVACUATE_US;
        world->run_us = well_us > world->run_us ? well_us : world->run_us;
    }
    world->run_us += RECOVERED_US;
    ev_timer tick;
    ev_timer_init(&tick, world_tick, 0, TICK_MS / 1e3);
    tick.data = world;
    ev_timer_start(world->loop, &tick);
    ev_run(world->loop, 0);
    ev_timer_stop(world->loop, &tick);
    ledger_judge(world->ledger, &(ledger_bounds_t){.retry_ratio = RETRY_RATIO,
                                                   .retry_slack = RETRY_SLACK,
                                                   .window_us = WINDOW_US,
                                                   .services = SERVICES});
    int64_t end_us = world->start_us + world->run_us;
    soak_result_t result = {
        .requests = ledger_count(world->ledger),
        .broken = ledger_broken(world->ledger),
        .served = ledger_served(world->ledger, 0, end_us),
        .recovered =
            ledger_served(world->ledger, end_us - RECOVERED_US, end_us),
    };
    bool keeps = result.broken > 0;
    printf("%u requests, served %.3f, at the end %.3f, broken %u%s%s\n",
           result.requests, result.served, result.recovered, result.broken,
           keeps ? ", logs in " : "", keeps ? directory : "");
    world_release(world, directory, keeps);
    return result;
}
