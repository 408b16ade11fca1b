/*
 * Memory and processor time of one daemon's components at the target size:
 * 9,600 upstreams, 32 members, 256 rows, queries of 390 parts. Each line is
 * "key value"; bench/capacity reads them to compute docs/CAPACITY.md.
 *
 *     build/plain/bench-capacity
 */
#include "core/gate.h"
#include "core/query.h"
#include "daemon/explain.h"
#include "daemon/fleet_view.h"
#include "daemon/stats.h"
#include "edge/wire.h"
#include "fleet/confsync.h"
#include "fleet/member.h"

#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
    UPSTREAMS = 9600,
    PARTS = 390, /* per query: one for each shard, each in its own group */
    REPLICAS = 3,
    ZONES = 13,
    ROWS = 256,
    ROUNDS = 5,
    QUERIES = 200,
    WIRE_ROUNDS = 2000,
    CALL_PARTS_MAX = 16,
    LATENCY_US = 5000
};

#define SECOND_US INT64_C(1000000)

static double
process_cpu_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static size_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void
print_figure(const char *key, double value)
{
    printf("%-32s %.3f\n", key, value);
}

static void
fill_upstreams(upstream_info_t *upstreams)
{
    for (size_t i = 0; i < UPSTREAMS; i++) {
        size_t service = i / (PARTS * REPLICAS);
        size_t index = i % (PARTS * REPLICAS);
        upstream_info_t *upstream = &upstreams[i];
        *upstream = (upstream_info_t){
            .port = (uint16_t)(10000 + i),
            .group = (uint16_t)(index / REPLICAS),
        };
        snprintf(upstream->name, NAME_SIZE, "s%zu-g%zu-r%zu", service,
                 index / REPLICAS, index % REPLICAS);
        snprintf(upstream->service, NAME_SIZE, "service-%03zu", service);
        snprintf(upstream->zone, NAME_SIZE, "zone-%zu", i % ZONES);
        snprintf(upstream->address, ADDRESS_SIZE, "10.%zu.%zu.%zu", i % ZONES,
                 i / 250 % 250, i % 250);
    }
}

static char *
vmlist_format(const upstream_info_t *upstreams)
{
    json_t *vms = json_array();
    for (size_t i = 0; i < UPSTREAMS; i++) {
        const upstream_info_t *upstream = &upstreams[i];
        json_array_append_new(
            vms,
            json_pack("{s:s, s:s, s:s, s:i, s:s, s:s, s:i, s:s}", "name",
                      upstream->name, "role", "upstream", "service",
                      upstream->service, "group", (int)upstream->group, "zone",
                      upstream->zone, "address", upstream->address, "port",
                      (int)upstream->port, "state", "live"));
    }
    json_t *root = json_pack("{s:o}", "vms", vms);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static void
bench_vmlist(const upstream_info_t *upstreams)
{
    char *text = vmlist_format(upstreams);
    size_t size = strlen(text);
    error_t err = ERROR_INIT;
    double start = process_cpu_us();
    for (size_t i = 0; i < ROUNDS; i++) {
        upstream_info_t *parsed;
        size_t count;
        if (vmlist_parse(text, size, &parsed, &count, &err) != STATUS_OK) {
            printf("# VM list: %s\n", error_text(&err));
            break;
        }
        free(parsed);
    }
    size_t heap = heap_bytes();
    json_t *root = json_loadb(text, size, 0, NULL);
    print_figure("vmlist_tree_bytes", (double)(heap_bytes() - heap));
    json_decref(root);
    print_figure("vmlist_text_bytes", (double)size);
    print_figure("vmlist_parse_us", (process_cpu_us() - start) / ROUNDS);
    print_figure("vmlist_kept_bytes",
                 (double)(UPSTREAMS * sizeof(*upstreams)));
    free(text);
}

static topology_t *
bench_topology(const upstream_info_t *upstreams)
{
    static shard_t shards[PARTS];
    partition_t partition = {
        .service = "service-000",
        .generation = 1,
        .shards = shards,
        .shard_count = PARTS,
    };
    for (size_t i = 0; i < PARTS; i++) {
        shards[i] = (shard_t){
            .range = {.lo = KEY_END * i / PARTS,
                      .hi = KEY_END * (i + 1) / PARTS},
            .group = (uint16_t)i,
        };
    }
    topology_t *topology = NULL;
    error_t err = ERROR_INIT;
    size_t heap = heap_bytes();
    double start = process_cpu_us();
    for (size_t i = 0; i < ROUNDS; i++) {
        topology_put(topology);
        topology_new(upstreams, UPSTREAMS, &partition, 1, &topology, &err);
    }
    print_figure("topology_build_us", (process_cpu_us() - start) / ROUNDS);
    print_figure("topology_bytes", (double)(heap_bytes() - heap));
    return topology;
}

static char *
config_format(void)
{
    json_t *rows = json_array();
    for (size_t i = 0; i < ROWS; i++) {
        char service[NAME_SIZE];
        snprintf(service, sizeof(service), "service-%03zu", i);
        json_t *limits = json_object();
        for (size_t z = 0; z < ZONES; z++) {
            char zone[NAME_SIZE];
            snprintf(zone, sizeof(zone), "zone-%zu", z);
            json_object_set_new(limits, zone, json_integer(10000));
        }
        json_array_append_new(
            rows,
            json_pack("{s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, "
                      "s:o}",
                      "service", service, "class", "desk", "weight", 10,
                      "deadline_ms", 300, "upstream_slots", 100,
                      "upstream_connections", 35, "held_connections", 4,
                      "cold_slots", 1, "zone_slots", 100000, "service_slots",
                      1000000, "zone_limits", limits));
    }
    json_t *root =
        json_pack("{s:i, s:s, s:s, s:o, s:{}, s:{}}", "version", 1, "change",
                  "c1", "by", "bench", "rows", rows, "zones", "vms");
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static config_t *
bench_config(void)
{
    char *text = config_format();
    size_t size = strlen(text);
    config_t *config = NULL;
    error_t err = ERROR_INIT;
    size_t heap = heap_bytes();
    double start = process_cpu_us();
    for (size_t i = 0; i < ROUNDS; i++) {
        config_put(config);
        if (config_parse_json(text, size, &config, &err) != STATUS_OK) {
            printf("# configuration: %s\n", error_text(&err));
            exit(1);
        }
    }
    print_figure("config_text_bytes", (double)size);
    print_figure("config_parse_us", (process_cpu_us() - start) / ROUNDS);
    print_figure("config_bytes", (double)(heap_bytes() - heap));
    free(text);
    return config;
}

static roster_t *
full_roster(void)
{
    roster_settings_t settings = ROSTER_SETTINGS_DEFAULT;
    roster_doc_t doc = {.version = 1};
    for (size_t i = 0; i < ROSTER_MEMBERS_MAX; i++) {
        roster_member_t member = {.incarnation = i + 1, .joined = 1};
        snprintf(member.name, NAME_SIZE, "a%02zu", i);
        snprintf(member.zone, NAME_SIZE, "zone-%zu", i % ZONES);
        snprintf(member.address, ADDRESS_SIZE, "10.0.0.%zu", i + 1);
        roster_doc_add(&doc, &member);
    }
    char *text = roster_doc_format(&doc);
    roster_t *roster = roster_new(&settings, &doc.members[0]);
    roster_adopt(roster, text, strlen(text), SECOND_US);
    free(text);
    return roster;
}

static void
bench_fleet_view(config_t *config, topology_t *topology)
{
    roster_t *roster = full_roster();
    member_settings_t member_settings = MEMBER_SETTINGS_DEFAULT;
    member_table_t members;
    member_table_init(&members, &member_settings);
    member_table_sync(&members, roster_members(roster), "d0", SECOND_US);
    fleet_view_t *view = NULL;
    size_t heap = heap_bytes();
    double start = process_cpu_us();
    for (size_t i = 0; i < ROUNDS; i++) {
        fleet_view_put(view);
        view = fleet_view_new(config, topology, roster, &members, 1,
                              2 * SECOND_US);
    }
    print_figure("world_members", (double)view->member_count);
    print_figure("world_build_us", (process_cpu_us() - start) / ROUNDS);
    print_figure("world_bytes", (double)(heap_bytes() - heap));
    fleet_view_put(view);
    roster_free(roster);
}

static void
bench_gate(config_t *config, topology_t *topology, size_t owned_count)
{
    gate_settings_t settings = {
        .queue_max = 2500, /* for each worker */
        .ramp_step_us = SECOND_US,
        .ramp_successes = 4,
        .crash_limit = 3,
        .quarantine_us = SECOND_US,
    };
    uint32_t *owned = calloc(owned_count, sizeof(*owned));
    for (size_t i = 0; i < owned_count; i++) {
        owned[i] = (uint32_t)(i * UPSTREAMS / owned_count);
    }
    size_t heap = heap_bytes();
    gate_t *gate = gate_new(&settings);
    double start = process_cpu_us();
    gate_configure(gate, config, topology, owned, owned_count, SECOND_US);
    char key[48];
    snprintf(key, sizeof(key), "gate_%zu_owned_configure_us", owned_count);
    print_figure(key, process_cpu_us() - start);
    snprintf(key, sizeof(key), "gate_%zu_owned_bytes", owned_count);
    print_figure(key, (double)(heap_bytes() - heap));
    gate_free(gate);
    free(owned);
}

static part_reply_t
reply_to(const part_request_t *request)
{
    return (part_reply_t){
        .id = request->id,
        .status = PART_OK,
        .version = request->version != 0 ? request->version : 1,
        .generation = request->generation,
        .range = request->range,
        .count = 1,
        .sum = 1,
        .held = {1},
    };
}

/*
 * Runs one query of PARTS parts to its end; replies come LATENCY_US to
 * LATENCY_US + 4095 us after their requests. Returns the number of requests.
 */
static size_t
run_query(const query_context_t *context, uint64_t sequence, int64_t now_us)
{
    static part_request_t sent[4 * PARTS];
    query_request_t request = {
        .service = "service-000",
        .tenant = "default",
        .range = {.lo = 0, .hi = KEY_END},
        .deadline_us = now_us + SECOND_US,
        .fingerprint = sequence,
    };
    attempt_id_t id = {.incarnation = 1, .sequence = sequence};
    query_t *query = query_new(&request, context, id, now_us);
    query_action_t action;
    size_t parts = 0;
    for (bool done = false; !done;) {
        size_t count = 0;
        query_step_t step;
        while ((step = query_next(query, context, now_us, &action)) ==
                   QUERY_SEND &&
               count < sizeof(sent) / sizeof(sent[0])) {
            sent[count++] = action.request;
        }
        now_us += LATENCY_US + (int64_t)(sequence * 37 % 4096);
        for (size_t i = 0; i < count; i++) {
            part_reply_t reply = reply_to(&sent[i]);
            query_reply(query, context, &reply, now_us);
        }
        parts += count;
        done = step == QUERY_DONE || count == 0;
    }
    query_free(query);
    return parts;
}

/* Memory of a query while all its parts are in flight. */
static void
bench_query_bytes(const query_context_t *context)
{
    query_request_t request = {
        .service = "service-000",
        .tenant = "default",
        .range = {.lo = 0, .hi = KEY_END},
        .deadline_us = 2 * SECOND_US,
    };
    attempt_id_t id = {.incarnation = 1, .sequence = 1};
    query_action_t action;
    size_t heap = heap_bytes();
    query_t *query = query_new(&request, context, id, SECOND_US);
    while (query_next(query, context, SECOND_US, &action) == QUERY_SEND) {
    }
    print_figure("query_bytes", (double)(heap_bytes() - heap));
    query_free(query);
}

static void
bench_query(config_t *config, topology_t *topology)
{
    replica_table_t replicas;
    budget_t budget;
    size_t heap = heap_bytes();
    replica_table_init(&replicas);
    double start = process_cpu_us();
    replica_table_set_topology(&replicas, topology);
    print_figure("replica_follow_us", process_cpu_us() - start);
    print_figure("replica_bytes", sizeof(replica_t));
    print_figure("replica_table_bytes", (double)(heap_bytes() - heap));
    budget_init(&budget);
    query_context_t context = {
        .config = config,
        .replicas = &replicas,
        .budget = &budget,
        .added_percent = 5,
        .seed = 1,
    };
    bench_query_bytes(&context);
    size_t parts = 0;
    int64_t now_us = SECOND_US;
    for (uint64_t i = 1; i <= QUERIES / 4; i++, now_us += SECOND_US) {
        run_query(&context, i, now_us);
    }
    start = process_cpu_us();
    for (uint64_t i = 1; i <= QUERIES; i++, now_us += SECOND_US) {
        context.seed = i;
        parts += run_query(&context, QUERIES + i, now_us);
    }
    print_figure("query_parts", (double)parts / QUERIES);
    print_figure("query_decision_us_part",
                 (process_cpu_us() - start) / (double)parts);
    replica_table_release(&replicas);
}

static char *
wire_reply_text(const part_request_t *requests, size_t count)
{
    json_t *parts = json_array();
    for (size_t i = 0; i < count; i++) {
        char id[WIRE_ID_SIZE];
        wire_id_format(requests[i].id, id);
        json_array_append_new(
            parts,
            json_pack(
                "{s:s, s:s, s:I, s:I, s:i, s:i, s:[ii], s:i, s:s}", "id", id,
                "status", "ok", "lo", (json_int_t)requests[i].range.lo, "hi",
                (json_int_t)requests[i].range.hi, "version", 17, "generation",
                3, "held", 17, 16, "count", 390, "sum", "123456789"));
    }
    json_t *root = json_pack("{s:s, s:s, s:b, s:o}", "upstream", "s0-g0-r0",
                             "boot", "1f", "cold", 0, "parts", parts);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static void
bench_wire(size_t count)
{
    part_request_t requests[CALL_PARTS_MAX];
    part_reply_t replies[CALL_PARTS_MAX];
    for (size_t i = 0; i < count; i++) {
        requests[i] = (part_request_t){
            .id = {.incarnation = UINT64_C(1) << 60, .sequence = i + 1000},
            .service = "service-000",
            .upstream = "s0-g0-r0",
            .version = 17,
            .generation = 3,
            .range = {.lo = i * 1000000, .hi = (i + 1) * 1000000},
            .deadline_us = SECOND_US,
            .body = "balance",
            .body_size = 7,
        };
    }
    char *text = wire_reply_text(requests, count);
    size_t reply_size = strlen(text);
    size_t size = 0;
    error_t err = ERROR_INIT;
    double start = process_cpu_us();
    for (size_t i = 0; i < WIRE_ROUNDS; i++) {
        free(wire_request_format(requests, count, 0, &size));
    }
    double format_us = (process_cpu_us() - start) / WIRE_ROUNDS;
    start = process_cpu_us();
    for (size_t i = 0; i < WIRE_ROUNDS; i++) {
        wire_reply_t reply;
        wire_reply_parse(text, reply_size, 200, requests, count, &reply,
                         replies, &err);
        free(reply.partition.shards);
    }
    double parse_us = (process_cpu_us() - start) / WIRE_ROUNDS;
    char key[48];
    snprintf(key, sizeof(key), "wire_%zu_parts_us", count);
    print_figure(key, format_us + parse_us);
    snprintf(key, sizeof(key), "wire_%zu_parts_bytes", count);
    print_figure(key, (double)(size + reply_size));
    if (replies[0].status != PART_OK) {
        printf("# wire reply: the first part's status is not PART_OK\n");
    }
    free(text);
}

int
main(void)
{
    static upstream_info_t upstreams[UPSTREAMS];
    fill_upstreams(upstreams);
    bench_vmlist(upstreams);
    topology_t *topology = bench_topology(upstreams);
    config_t *config = bench_config();
    bench_fleet_view(config, topology);
    bench_gate(config, topology, UPSTREAMS / ROSTER_MEMBERS_MAX);
    bench_gate(config, topology, 8);
    bench_query(config, topology);
    bench_wire(1);
    bench_wire(CALL_PARTS_MAX);
    print_figure("stats_bytes", sizeof(stats_t));
    print_figure("explain_ring_bytes",
                 (double)(EXPLAIN_RECORDS_MAX * sizeof(explain_record_t)));
    print_figure("confsync_bytes", sizeof(confsync_t));
    print_figure("member_table_bytes", sizeof(member_table_t));
    config_put(config);
    topology_put(topology);
    return 0;
}
