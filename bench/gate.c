/*
 * Decisions per second of the gate on one core, as the number of upstreams,
 * rows and queued parts grows. A decision is one call that submits a part,
 * finishes a part or returns the next one to send; each part takes two or
 * three.
 *
 *     build/plain/bench-gate
 */
#include "core/gate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

enum { ROUNDS = 300000, ZONES = 4, SLOTS = 4, SERVICE_US = 2000 };

typedef struct {
    uint32_t upstreams;
    uint32_t rows;
    uint32_t queue; /* parts that wait in the queue */
} bench_case_t;

static const bench_case_t cases[] = {
    {16, 1, 0},     {16, 1, 64},      {128, 4, 0},        {128, 4, 512},
    {128, 4, 4096}, {1024, 16, 0},    {1024, 16, 4096},   {1024, 256, 4096},
    {8192, 256, 0}, {8192, 256, 512}, {8192, 256, 32768},
};

typedef struct {
    gate_t *gate;
    config_t *config;
    topology_t *topology;
    uint32_t *owned;
    attempt_id_t *running;
    size_t running_count;
    uint64_t sequence;
    uint64_t draws;
    int64_t now_us;
    uint64_t sent;
    uint64_t refused;
    uint64_t calls; /* of the gate; each is one decision */
} bench_t;

static uint64_t
draw(bench_t *bench, uint64_t below)
{
    uint64_t counter = bench->draws++;
    return XXH64(&counter, sizeof(counter), 1) % below;
}

static int64_t
clock_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static void
bench_configure(bench_t *bench, const bench_case_t *c)
{
    upstream_info_t *infos = calloc(c->upstreams, sizeof(*infos));
    bench->config = config_new();
    bench->config->rows = calloc(c->rows, sizeof(*bench->config->rows));
    bench->config->row_count = c->rows;
    for (uint32_t i = 0; i < c->rows; i++) {
        table_row_t *row = &bench->config->rows[i];
        *row = (table_row_t){.class = (class_t)(i % CLASS_COUNT),
                             .weight = 1 + i % 10,
                             .upstream_slots = SLOTS,
                             .upstream_connections = 35,
                             .held_connections = 4,
                             .cold_slots = SLOTS,
                             .zone_slots = 1000000,
                             .service_slots = 1000000};
        snprintf(row->service, sizeof(row->service), "service-%04u", i);
    }
    for (uint32_t i = 0; i < c->upstreams; i++) {
        snprintf(infos[i].name, NAME_SIZE, "upstream-%05u", i);
        snprintf(infos[i].service, NAME_SIZE, "service-%04u", i % c->rows);
        snprintf(infos[i].zone, NAME_SIZE, "zone-%u", i / c->rows % ZONES);
        infos[i].group = (uint16_t)(i / c->rows / 3);
        bench->owned[i] = i;
    }
    error_t err = ERROR_INIT;
    if (topology_new(infos, c->upstreams, NULL, 0, &bench->topology, &err) !=
        STATUS_OK) {
        fprintf(stderr, "%s\n", error_text(&err));
        exit(1);
    }
    free(infos);
    gate_configure(bench->gate, bench->config, bench->topology, bench->owned,
                   c->upstreams, bench->now_us);
}

static void
bench_init(bench_t *bench, const bench_case_t *c)
{
    gate_settings_t settings = {.queue_max = c->queue + 1,
                                .ramp_step_us = 1,
                                .ramp_successes = 1,
                                .crash_limit = 3,
                                .quarantine_us = 1000000};
    memset(bench, 0, sizeof(*bench));
    bench->now_us = 1000000;
    bench->gate = gate_new(&settings);
    bench->owned = calloc(c->upstreams, sizeof(*bench->owned));
    bench->running =
        calloc((size_t)c->upstreams * SLOTS, sizeof(*bench->running));
    bench_configure(bench, c);
}

static void
bench_release(bench_t *bench)
{
    gate_free(bench->gate);
    config_put(bench->config);
    topology_put(bench->topology);
    free(bench->owned);
    free(bench->running);
}

static void
bench_submit(bench_t *bench, const bench_case_t *c)
{
    uint32_t upstream = (uint32_t)draw(bench, c->upstreams);
    part_request_t request = {
        .id = {.incarnation = 1, .sequence = ++bench->sequence},
        .class = (class_t)draw(bench, CLASS_COUNT),
        .fingerprint = bench->sequence,
        .deadline_us = bench->now_us + 1000000 + (int64_t)draw(bench, 1000)};
    memcpy(request.upstream, bench->topology->upstreams[upstream].name,
           NAME_SIZE);
    part_reply_t refusal;
    bench->calls++;
    switch (gate_submit(bench->gate, &request, bench->now_us, &refusal)) {
    case GATE_SEND:
        bench->running[bench->running_count++] = request.id;
        bench->sent++;
        break;
    case GATE_REFUSE:
        bench->refused++;
        break;
    default:
        break;
    }
}

static void
bench_next(bench_t *bench)
{
    attempt_id_t id;
    part_reply_t refusal;
    gate_decision_t decision;
    while ((decision = gate_next(bench->gate, bench->now_us, &id, &refusal)) !=
           GATE_IDLE) {
        bench->calls++;
        if (decision == GATE_SEND) {
            bench->running[bench->running_count++] = id;
            bench->sent++;
        }
        else {
            bench->refused++;
        }
    }
}

static void
bench_finish(bench_t *bench)
{
    static const gate_result_t success = {
        .status = PART_OK, .service_us = SERVICE_US, .boot = 1};
    if (bench->running_count == 0) {
        return;
    }
    size_t at = draw(bench, bench->running_count);
    attempt_id_t id = bench->running[at];
    bench->running[at] = bench->running[--bench->running_count];
    bench->calls++;
    gate_finish(bench->gate, id, &success, bench->now_us);
}

/*
 * Submits a part and finishes another to keep the queue's length about the
 * same. Without a queue, none is finished until more parts run than there are
 * upstreams.
 */
static void
bench_round(bench_t *bench, const bench_case_t *c)
{
    bench->now_us++;
    bench_submit(bench, c);
    if (c->queue > 0 || bench->running_count > c->upstreams) {
        bench_finish(bench);
        bench_next(bench);
    }
}

static void
bench_fill(bench_t *bench, const bench_case_t *c)
{
    uint64_t slots = (uint64_t)c->upstreams * SLOTS;
    uint64_t parts = c->queue > 0 ? slots * 2 + c->queue : c->upstreams;
    for (uint64_t i = 0; i < parts; i++) {
        bench_submit(bench, c);
        bench_next(bench);
    }
}

int
main(void)
{
    printf("%9s %5s %6s %10s %14s %11s %8s\n", "upstreams", "rows", "queue",
           "ns a part", "ns a decision", "decisions/s", "refused");
    double worst_ns = 0;
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        bench_t bench;
        bench_init(&bench, &cases[i]);
        bench_fill(&bench, &cases[i]);
        bench.sent = bench.refused = bench.calls = 0;
        int64_t start_ns = clock_ns();
        for (int round = 0; round < ROUNDS; round++) {
            bench_round(&bench, &cases[i]);
        }
        double took_ns = (double)(clock_ns() - start_ns);
        double call_ns = took_ns / (double)bench.calls;
        worst_ns = call_ns > worst_ns ? call_ns : worst_ns;
        printf("%9u %5u %6u %10.0f %14.0f %11.0f %7.1f%%\n",
               cases[i].upstreams, cases[i].rows, cases[i].queue,
               took_ns / ROUNDS, call_ns, 1e9 / call_ns,
               100.0 * (double)bench.refused / ROUNDS);
        bench_release(&bench);
    }
    printf("{\"bench\":\"gate\",\"worst_decision_ns\":%.0f}\n", worst_ns);
    return 0;
}
