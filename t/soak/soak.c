#include "t/soak/soak.h"

#include "daemon/clock.h"
#include "t/lib/tier_address.h"
#include "t/soak/soak_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    TICK_MS = 10,                /* one request is sent per tick */
    FIRST_REQUEST_US = 1500000,  /* from the start */
    SEND_SPAN_MIN_US = 17000000, /* without the recovery span */
    RECOVERY_SPAN_US = 3000000,  /* end of the run, after the recovery */
    RESPONSE_WAIT_US = 1800000,  /* for the last responses */
    PROCESSING_US = 8000,        /* of a request at an upstream */
    RETRY_SLACK = 10,
    WINDOW_US = 10000000 /* of the retry budget */
};

#define RETRY_RATIO 0.2

uint32_t
soak_random(soak_t *soak, uint32_t below)
{
    soak->random_state ^= soak->random_state << 13;
    soak->random_state ^= soak->random_state >> 7;
    soak->random_state ^= soak->random_state << 17;
    return (uint32_t)((soak->random_state >> 20) % below);
}

void
soak_put_config(soak_t *soak, int64_t now_us)
{
    soak->version++;
    soak->config_put_us = now_us;
    soak_rewrite_config(soak);
}

void
soak_rewrite_config(soak_t *soak)
{
    char text[1536];
    char tenants[384];
    keys_format_tenants(soak, tenants, sizeof(tenants));
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
        "\"header_timeout_ms\":2000,\"idle_timeout_ms\":20000}%s}",
        soak->version, soak->idempotent_service, tenants);
    tier_store_put(soak->store, "op/config", text);
}

static void
upstreams_init(soak_t *soak)
{
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        upstream_t *upstream = &soak->upstreams[i];
        *upstream = (upstream_t){
            .soak = soak,
            .number = i,
            .service = i / UPSTREAMS_PER_SERVICE,
            .zone = i % UPSTREAMS_PER_SERVICE == 0 ? "a" : "b",
            .server_address = unique_loopback_address(),
            .proxy_address = unique_loopback_address(),
            .processing_us = PROCESSING_US,
            .started_ms = 1000,
        };
        snprintf(upstream->id, sizeof(upstream->id), "i-%u", i);
        upstream_start(upstream);
        upstream_register(upstream);
    }
}

static void
daemons_init(soak_t *soak, const char *program, const char *directory,
             const struct sockaddr_in *store)
{
    for (uint32_t i = 0; i < soak->daemon_count; i++) {
        daemon_t *daemon = &soak->daemons[i];
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
        daemon->settings.seed = soak->daemons[0].settings.control;
        daemon->store_proxy =
            proxy_new(soak->loop, &daemon->settings.store, store);
        snprintf(daemon->process.program_path, PATH_SIZE, "%s", program);
        snprintf(daemon->process.settings_path, PATH_SIZE, "%.200s/%s.conf",
                 directory, name);
        snprintf(daemon->process.log_path, PATH_SIZE, "%.200s/%s.log",
                 directory, name);
        daemon_settings_write(daemon->process.settings_path,
                              &daemon->settings);
        daemon->last_fault_us = soak->start_us;
        process_start(&daemon->process);
    }
}

static void
soak_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    soak_t *soak = timer->data;
    int64_t now_us = clock_now_us();
    int64_t since_us = now_us - soak->start_us;
    (void)events;
    if (since_us > soak->send_span_us + RESPONSE_WAIT_US) {
        ev_break(loop, EVBREAK_ALL);
        return;
    }
    faults_tick(soak, now_us);
    keys_tick(soak, now_us);
    callers_expire(soak, now_us);
    if (since_us > FIRST_REQUEST_US && since_us < soak->send_span_us) {
        callers_send(soak, now_us);
    }
}

static void
soak_free(soak_t *soak, const char *directory, bool keep_logs)
{
    for (uint32_t i = 0; i < soak->daemon_count; i++) {
        daemon_t *daemon = &soak->daemons[i];
        process_kill(&daemon->process);
        proxy_free(daemon->store_proxy);
        if (!keep_logs) {
            unlink(daemon->process.settings_path);
            unlink(daemon->process.log_path);
        }
    }
    if (!keep_logs) {
        rmdir(directory);
    }
    for (uint32_t i = 0; i < CALLERS_MAX; i++) {
        conn_close(&soak->callers[i].conn);
        http_reader_release(&soak->callers[i].reader);
    }
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        http_server_free(soak->upstreams[i].server);
        proxy_free(soak->upstreams[i].proxy);
    }
    tier_store_free(soak->store);
    request_log_free(soak->request_log);
    ev_loop_destroy(soak->loop);
    free(soak);
}

soak_result_t
soak_run(const soak_settings_t *settings)
{
    char directory[] = "/tmp/yuccarun-soak-XXXXXX";
    soak_t *soak = calloc(1, sizeof(*soak));
    if (soak == NULL || mkdtemp(directory) == NULL) {
        perror("soak");
        abort();
    }
    printf("seed %llu%s\n", (unsigned long long)settings->seed,
           settings->large_fleet ? ", large fleet" : "");
    soak->random_state = settings->seed * 0x9e3779b97f4a7c15ULL + 1;
    soak->daemon_count = settings->large_fleet ? DAEMONS_MAX : DAEMONS_SMALL;
    soak->loop = ev_loop_new(EVBACKEND_EPOLL);
    soak->request_log = request_log_new(false);
    soak->start_us = clock_now_us();
    /* Within the faults; not drawn, so that seeds keep their plans. */
    soak->remove_key_at_us =
        soak->start_us + 4000000 + (int64_t)(settings->seed % 5) * 1000000;
    struct sockaddr_in store = unique_loopback_address();
    soak->store = tier_store_new(soak->loop, &store);
    for (uint32_t i = 0; i < CALLERS_MAX; i++) {
        static const http_limits_t limits = {0};
        soak->callers[i].conn.fd = -1;
        http_reader_init(&soak->callers[i].reader, HTTP_RESPONSES, &limits);
    }
    upstreams_init(soak);
    soak_put_config(soak, soak->start_us);
    daemons_init(soak, settings->program, directory, &store);
    soak->send_span_us = SEND_SPAN_MIN_US;
    if (!settings->no_faults) {
        /* By then, the end of the last fault is in force on all daemons. */
        int64_t faults_over_us = faults_plan(soak) + EVACUATE_US;
        soak->send_span_us = faults_over_us > soak->send_span_us
                                 ? faults_over_us
                                 : soak->send_span_us;
    }
    soak->send_span_us += RECOVERY_SPAN_US;
    ev_timer tick;
    ev_timer_init(&tick, soak_tick, 0, TICK_MS / 1e3);
    tick.data = soak;
    ev_timer_start(soak->loop, &tick);
    ev_run(soak->loop, 0);
    ev_timer_stop(soak->loop, &tick);
    request_log_check(soak->request_log,
                      &(request_log_bounds_t){.retry_ratio = RETRY_RATIO,
                                              .retry_slack = RETRY_SLACK,
                                              .window_us = WINDOW_US,
                                              .services = SERVICES});
    int64_t end_us = soak->start_us + soak->send_span_us;
    soak_result_t result = {
        .requests = request_log_count(soak->request_log),
        .violations = request_log_violation_count(soak->request_log),
        .served_ratio =
            request_log_success_ratio(soak->request_log, 0, end_us),
        .recovered_ratio = request_log_success_ratio(
            soak->request_log, end_us - RECOVERY_SPAN_US, end_us),
    };
    bool keep_logs = result.violations > 0;
    printf("%u requests, served %.3f, recovered %.3f, violations %u%s%s\n",
           result.requests, result.served_ratio, result.recovered_ratio,
           result.violations, keep_logs ? ", logs in " : "",
           keep_logs ? directory : "");
    soak_free(soak, directory, keep_logs);
    return result;
}
