#include "daemon/answer_json.h"
#include "daemon/clock.h"
#include "daemon/metrics.h"
#include "daemon/node_state.h"
#include "edge/event.h"
#include "fleet/entries.h"

#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    HTTP_OK = 200,
    HTTP_NOT_FOUND = 404,
    STATUS_TIMEOUT_US = 800000,
    EXPLAIN_TIMEOUT_US = 800000,
    EVENTS_SHOWN_MAX = 20,
    UPSTREAMS_SHOWN_MAX = 64,
    REPORT_UPSTREAMS_MAX = 4096
};

json_t *
node_request_peer(node_t *node, uint64_t incarnation, ask_kind_t kind,
                  const char *json, int64_t timeout_us, unsigned *status)
{
    uint64_t id = pending_requests_begin(&node->pending_requests, incarnation);
    message_t message = {
        .type = MESSAGE_ASK,
        .ask =
            {
                .id = id,
                .kind = kind,
                .json = json,
                .size = strlen(json),
            },
    };
    bool sent = id != 0 && node_send(node, incarnation, &message);
    pending_reply_t reply;
    if (!pending_requests_wait(&node->pending_requests, id,
                               sent ? timeout_us : 0, &reply)) {
        *status = sent ? NODE_REQUEST_NO_ANSWER : NODE_REQUEST_NOT_SENT;
        return NULL;
    }
    *status = reply.status;
    json_t *answer =
        json_loadb(reply.json, reply.size, JSON_REJECT_DUPLICATES, NULL);
    free(reply.json);
    return answer;
}

static json_t *
entry_json(const roster_member_t *member)
{
    return json_pack("{s:s, s:s, s:i, s:s}", "name", member->name, "address",
                     member->address, "port", (int)member->http_port, "zone",
                     member->zone);
}

static json_t *
entries_json(node_t *node, const fleet_view_t *view, const char *zone,
             uint32_t *keep_ms)
{
    member_state_t states[ROSTER_MEMBERS_MAX];
    entry_candidate_t candidates[ROSTER_MEMBERS_MAX];
    size_t picked[ENTRIES_MAX];
    json_t *entries = json_array();
    fleet_member_states(node->fleet, view, states);
    for (size_t i = 0; i < view->member_count; i++) {
        const roster_member_t *member = &view->members[i];
        candidates[i] = (entry_candidate_t){
            .name = member->name,
            .zone = member->zone,
            .state = states[i],
            .leaving = member->leaving ||
                       ((int)i == view->self && atomic_load(&node->leaving)),
            .out = view->config != NULL &&
                   (config_zone_is_out(view->config, member->zone) ||
                    config_vm_is_out(view->config, member->name)),
        };
    }
    uint64_t seed = atomic_fetch_add(&node->next_worker, 1);
    size_t count =
        entries_pick(candidates, view->member_count, zone,
                     node->incarnation ^ seed, picked, ENTRIES_MAX, keep_ms);
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(entries, entry_json(&view->members[picked[i]]));
    }
    return entries;
}

json_t *
node_entries(void *context, const char *zone, unsigned *status)
{
    node_t *node = context;
    fleet_view_t *view = fleet_current_view(node->fleet);
    uint32_t keep_ms = ENTRIES_KEEP_UNUSABLE_MS;
    *status = HTTP_OK;
    json_t *entries =
        view == NULL ? json_array() : entries_json(node, view, zone, &keep_ms);
    fleet_view_put(view);
    if (keep_ms > node->settings.drain_keep_ms) {
        keep_ms = node->settings.drain_keep_ms;
    }
    return json_pack("{s:o, s:i}", "entries", entries, "keep_ms",
                     (int)keep_ms);
}

json_t *
node_local_explain(node_t *node, uint64_t sequence)
{
    unsigned worker = coordinator_worker_of(sequence);
    if (worker >= node->worker_count) {
        return NULL;
    }
    json_t *json = worker_explain(node->workers[worker], sequence);
    if (json != NULL) {
        json_object_set_new(json, "daemon", json_string(node->settings.name));
    }
    return json;
}

json_t *
node_explain(void *context, const char *query, unsigned *status)
{
    node_t *node = context;
    uint64_t incarnation;
    uint64_t sequence;
    json_t *json = NULL;
    *status = HTTP_OK;
    if (query != NULL && query_name_parse(query, &incarnation, &sequence)) {
        char text[QUERY_NAME_SIZE];
        snprintf(text, sizeof(text), "%" PRIx64, sequence);
        json = incarnation == node->incarnation
                   ? node_local_explain(node, sequence)
                   : node_request_peer(node, incarnation, ASK_EXPLAIN, text,
                                       EXPLAIN_TIMEOUT_US, status);
    }
    if (json != NULL) {
        return json;
    }
    *status = HTTP_NOT_FOUND;
    return json_pack("{s:s}", "error",
                     "no record of this query: it did not run, its record "
                     "was overwritten, or its daemon cannot be reached");
}

static json_t *
events_json(void)
{
    event_record_t records[EVENTS_SHOWN_MAX];
    size_t count = event_recent(records, EVENTS_SHOWN_MAX);
    json_t *events = json_array();
    for (size_t i = 0; i < count; i++) {
        json_t *event = json_pack("{s:i, s:s, s:I, s:s%}", "number",
                                  event_number(records[i].event), "name",
                                  event_name(records[i].event), "at_us",
                                  (json_int_t)records[i].at_us, "text",
                                  records[i].text, strlen(records[i].text));
        json_array_append_new(events, event);
    }
    return events;
}

/* Lists upstreams that are cold or shedding, at most UPSTREAMS_SHOWN_MAX. */
static json_t *
limited_upstreams_json(node_t *node)
{
    gate_upstream_t *report = calloc(REPORT_UPSTREAMS_MAX, sizeof(*report));
    json_t *limited = json_array();
    for (unsigned s = 0; report != NULL && s < node->worker_count; s++) {
        size_t count = worker_list_upstreams(node->workers[s], report,
                                             REPORT_UPSTREAMS_MAX);
        for (size_t i = 0; i < count && i < REPORT_UPSTREAMS_MAX &&
                           json_array_size(limited) < UPSTREAMS_SHOWN_MAX;
             i++) {
            if (!report[i].cold && !report[i].shedding) {
                continue;
            }
            json_array_append_new(
                limited,
                json_pack("{s:s, s:b, s:b, s:i, s:i}", "upstream",
                          report[i].name, "cold", report[i].cold, "shedding",
                          report[i].shedding, "slots", (int)report[i].slots,
                          "in_progress", (int)report[i].in_progress));
        }
    }
    free(report);
    return limited;
}

json_t *
node_local_status(node_t *node)
{
    fleet_status_t fleet_status;
    size_t queries = 0;
    size_t parts = 0;
    fleet_get_status(node->fleet, &fleet_status);
    for (unsigned i = 0; i < node->worker_count; i++) {
        worker_load_t load = worker_load(node->workers[i]);
        queries += load.queries;
        parts += load.parts;
    }
    char incarnation[QUERY_NAME_SIZE];
    snprintf(incarnation, sizeof(incarnation), "%016" PRIx64,
             node->incarnation);
    return json_pack(
        "{s:s, s:s, s:s, s:I, s:I, s:b, s:b, s:b, s:b, s:b, s:b, s:i, s:i, "
        "s:i, s:i, s:o, s:o}",
        "daemon", node->settings.name, "zone", node->settings.zone,
        "incarnation", incarnation, "config_version",
        (json_int_t)fleet_status.config_version, "roster_version",
        (json_int_t)fleet_status.roster_version, "lease", fleet_status.may_act,
        "on_grants", fleet_status.on_grants, "store_up", fleet_status.store_up,
        "vm_list_up", fleet_status.vmlist_up, "trusted", fleet_status.trusted,
        "leaving", atomic_load(&node->leaving), "upstreams",
        (int)fleet_status.upstreams, "owned", (int)fleet_status.owned,
        "queries", (int)queries, "parts", (int)parts, "limited",
        limited_upstreams_json(node), "events", events_json());
}

/* A status request in flight to one member. */
typedef struct {
    uint64_t id;
    char name[NAME_SIZE];
} status_request_t;

/*
 * Sends a status request to each other member. A request that cannot be sent
 * ends at once without a reply. Returns the number of requests.
 */
static size_t
request_all_statuses(node_t *node, const fleet_view_t *view,
                     status_request_t *requests)
{
    size_t count = 0;
    for (size_t i = 0; i < view->member_count; i++) {
        if ((int)i == view->self) {
            continue;
        }
        uint64_t incarnation = view->members[i].incarnation;
        message_t message = {
            .type = MESSAGE_ASK,
            .ask =
                {
                    .id = pending_requests_begin(&node->pending_requests,
                                                 incarnation),
                    .kind = ASK_STATUS,
                    .json = "{}",
                    .size = 2,
                },
        };
        requests[count].id = message.ask.id;
        memcpy(requests[count].name, view->members[i].name, NAME_SIZE);
        count++;
        if (!node_send(node, incarnation, &message)) {
            pending_requests_fail_peer(&node->pending_requests, incarnation);
        }
    }
    return count;
}

json_t *
node_fleet_status(void *context, unsigned *status)
{
    node_t *node = context;
    status_request_t requests[ROSTER_MEMBERS_MAX];
    json_t *daemons = json_array();
    json_t *silent = json_array();
    fleet_view_t *view = fleet_current_view(node->fleet);
    size_t count =
        view == NULL ? 0 : request_all_statuses(node, view, requests);
    fleet_view_put(view);
    json_array_append_new(daemons, node_local_status(node));
    int64_t until_us = clock_now_us() + STATUS_TIMEOUT_US;
    for (size_t i = 0; i < count; i++) {
        pending_reply_t reply;
        int64_t left_us = until_us - clock_now_us();
        bool answered =
            pending_requests_wait(&node->pending_requests, requests[i].id,
                                  left_us > 0 ? left_us : 0, &reply);
        json_t *json = answered ? json_loads(reply.json, 0, NULL) : NULL;
        if (json != NULL) {
            json_array_append_new(daemons, json);
        }
        else {
            json_array_append_new(silent, json_string(requests[i].name));
        }
        free(reply.json);
    }
    *status = HTTP_OK;
    return json_pack("{s:o, s:o}", "daemons", daemons, "silent", silent);
}

/* Returns true if each service in the table has a partition. */
static bool
has_all_partitions(const fleet_view_t *view)
{
    for (size_t i = 0; i < view->config->row_count; i++) {
        if (topology_partition(view->topology,
                               view->config->rows[i].service) == NULL) {
            return false;
        }
    }
    return true;
}

bool
node_ready(void *context)
{
    node_t *node = context;
    fleet_view_t *view = fleet_current_view(node->fleet);
    bool ready = view != NULL && view->config != NULL && view->trusted &&
                 !view->leaving && !atomic_load(&node->leaving) &&
                 has_all_partitions(view);
    fleet_view_put(view);
    return ready;
}

static void
peer_metrics(metrics_t *metrics, const peer_counters_t *counters)
{
    char labels[96];
    metrics_type(metrics, "yuccarun_peer_bytes_total", "counter",
                 "Bytes between daemons by message type");
    for (int type = 1; type < MESSAGE_TYPE_COUNT; type++) {
        uint8_t i = (uint8_t)type;
        const char *kind = message_type_is_data(i) ? "data" : "control";
        snprintf(labels, sizeof(labels),
                 "direction=\"sent\",type=\"%s\",kind=\"%s\"",
                 message_type_name(i), kind);
        metrics_u64(metrics, "yuccarun_peer_bytes_total", labels,
                    counters->sent[i].bytes);
        metrics_u64(metrics, "yuccarun_peer_messages_total", labels,
                    counters->sent[i].messages);
        snprintf(labels, sizeof(labels),
                 "direction=\"received\",type=\"%s\",kind=\"%s\"",
                 message_type_name(i), kind);
        metrics_u64(metrics, "yuccarun_peer_bytes_total", labels,
                    counters->received[i].bytes);
        metrics_u64(metrics, "yuccarun_peer_messages_total", labels,
                    counters->received[i].messages);
    }
    metrics_u64(metrics, "yuccarun_peer_strangers_total", "",
                counters->denied);
    metrics_u64(metrics, "yuccarun_peer_cpu_us_total", "",
                (uint64_t)counters->cpu_us);
}

static void
store_metrics(metrics_t *metrics, store_counters_t *counters)
{
    static const char *const calls[STORE_CALL_COUNT] = {
        [STORE_CALL_GET] = "call=\"get\"",
        [STORE_CALL_WATCH] = "call=\"watch\"",
        [STORE_CALL_PUT] = "call=\"put\"",
    };
    metrics_type(metrics, "yuccarun_store_calls_total", "counter",
                 "Calls to the platform's key-value service");
    for (int i = 0; i < STORE_CALL_COUNT; i++) {
        metrics_u64(metrics, "yuccarun_store_calls_total", calls[i],
                    atomic_load(&counters->calls[i]));
        metrics_u64(metrics, "yuccarun_store_calls_failed_total", calls[i],
                    atomic_load(&counters->failed[i]));
        metrics_u64(metrics, "yuccarun_store_bytes_total", calls[i],
                    atomic_load(&counters->bytes_in[i]) +
                        atomic_load(&counters->bytes_out[i]));
    }
}

static void
event_metrics(metrics_t *metrics)
{
    char labels[96];
    metrics_type(metrics, "yuccarun_events_total", "counter",
                 "Logged events by number");
    for (int i = 0; i < EVENT_COUNT; i++) {
        snprintf(labels, sizeof(labels), "number=\"%d\",name=\"%s\"",
                 event_number((event_t)i), event_name((event_t)i));
        metrics_u64(metrics, "yuccarun_events_total", labels,
                    event_count((event_t)i));
    }
}

static void
fleet_metrics(metrics_t *metrics, const fleet_status_t *fleet_status)
{
    metrics_u64(metrics, "yuccarun_config_version", "",
                fleet_status->config_version);
    metrics_u64(metrics, "yuccarun_roster_version", "",
                fleet_status->roster_version);
    metrics_u64(metrics, "yuccarun_lease_held", "",
                fleet_status->may_act ? 1 : 0);
    metrics_u64(metrics, "yuccarun_store_up", "",
                fleet_status->store_up ? 1 : 0);
    metrics_u64(metrics, "yuccarun_upstreams", "", fleet_status->upstreams);
    metrics_u64(metrics, "yuccarun_upstreams_owned", "", fleet_status->owned);
    metrics_u64(metrics, "yuccarun_roster_conflicts_total", "",
                fleet_status->roster.conflicts);
    metrics_u64(metrics, "yuccarun_roster_removals_total", "",
                fleet_status->roster.removals);
}

static void
resource_metrics(metrics_t *metrics, const fleet_status_t *fleet_status)
{
    static const char *const threads[FLEET_THREAD_COUNT] = {
        [FLEET_THREAD_FLEET] = "thread=\"fleet\"",
        [FLEET_THREAD_ROSTER] = "thread=\"roster\"",
        [FLEET_THREAD_CONFIG] = "thread=\"config\"",
        [FLEET_THREAD_PLATFORM] = "thread=\"platform\"",
    };
    metrics_type(metrics, "yuccarun_thread_cpu_us_total", "counter",
                 "Processor time of control by thread");
    for (int i = 0; i < FLEET_THREAD_COUNT; i++) {
        metrics_u64(metrics, "yuccarun_thread_cpu_us_total", threads[i],
                    (uint64_t)fleet_status->cpu_us[i]);
    }
    struct mallinfo2 heap = mallinfo2();
    metrics_u64(metrics, "yuccarun_cpu_us_total", "",
                (uint64_t)clock_process_cpu_us());
    metrics_u64(metrics, "yuccarun_heap_bytes", "",
                heap.uordblks + heap.hblkhd);
}

static void
worker_metrics(metrics_t *metrics, node_t *node)
{
    uint64_t connects = 0;
    uint64_t calls = 0;
    uint64_t parts = 0;
    uint64_t queries = 0;
    for (unsigned i = 0; i < node->worker_count; i++) {
        worker_load_t load = worker_load(node->workers[i]);
        connects += load.totals.connects;
        calls += load.totals.calls;
        parts += load.totals.parts;
        queries += load.queries;
    }
    metrics_u64(metrics, "yuccarun_upstream_calls_total", "", calls);
    metrics_u64(metrics, "yuccarun_upstream_parts_total", "", parts);
    metrics_u64(metrics, "yuccarun_upstream_connects_total", "", connects);
    metrics_u64(metrics, "yuccarun_queries_running", "", queries);
}

char *
node_metrics(void *context)
{
    node_t *node = context;
    stats_t *stats = malloc(sizeof(*stats));
    if (stats == NULL) {
        return NULL;
    }
    metrics_t metrics;
    fleet_status_t fleet_status;
    stats_init(stats);
    metrics_init(&metrics);
    for (unsigned i = 0; i < node->worker_count; i++) {
        worker_add_stats(node->workers[i], stats);
    }
    metrics_stats(&metrics, stats);
    free(stats);
    worker_metrics(&metrics, node);
    fleet_get_status(node->fleet, &fleet_status);
    fleet_metrics(&metrics, &fleet_status);
    resource_metrics(&metrics, &fleet_status);
    peer_counters_t peers = peer_net_counters(node->net);
    peer_metrics(&metrics, &peers);
    store_metrics(&metrics, fleet_store_counters(node->fleet));
    event_metrics(&metrics);
    return metrics_detach(&metrics);
}
