#include "tier/metrics_text.h"

#include "edge/event.h"
#include "tier/node_state.h"

#include <inttypes.h>
#include <stdio.h>

static void
print_events(FILE *out)
{
    fprintf(out, "# TYPE yuccarun_events_total counter\n");
    for (int event = 0; event < EVENT_COUNT; event++) {
        uint64_t count = event_count((event_t)event);
        if (count > 0) {
            fprintf(out, "yuccarun_events_total{event=\"%s\"} %" PRIu64 "\n",
                    event_name((event_t)event), count);
        }
    }
}

static void
print_answers(FILE *out, const front_t *front)
{
    fprintf(out, "# TYPE yuccarun_answers_total counter\n");
    for (int i = 1; i < 6; i++) {
        fprintf(out, "yuccarun_answers_total{status=\"%dxx\"} %" PRIu64 "\n",
                i, front->answers[i]);
    }
}

static void
print_store_calls(FILE *out, const store_link_stats_t *store)
{
    static const char *const kinds[STORE_CALL_KINDS] = {
        [STORE_CALL_LIST] = "list",
        [STORE_CALL_WATCH] = "watch",
        [STORE_CALL_LEASE] = "lease",
        [STORE_CALL_WRITE] = "write",
    };
    fprintf(out, "# TYPE yuccarun_store_calls_total counter\n");
    for (int i = 0; i < STORE_CALL_KINDS; i++) {
        fprintf(out, "yuccarun_store_calls_total{call=\"%s\"} %" PRIu64 "\n",
                kinds[i], store->calls[i]);
    }
}

static void
print_zone_traffic(FILE *out, const zone_traffic_t *traffic)
{
    fprintf(out, "# TYPE yuccarun_zone_sends_total counter\n"
                 "# TYPE yuccarun_zone_bytes_total counter\n");
    for (int i = 0; i < LEAVE_REASONS; i++) {
        const char *reason = leave_reason_name((leave_reason_t)i);
        fprintf(out, "yuccarun_zone_sends_total{left=\"%s\"} %" PRIu64 "\n",
                reason, traffic->sends[i]);
        fprintf(out, "yuccarun_zone_bytes_total{left=\"%s\"} %" PRIu64 "\n",
                reason, traffic->bytes[i]);
    }
}

/* Upper bounds of the latency histogram's buckets in milliseconds: around the
   latency goals of the deployments' classes, and fractions of these goals. */
static const int64_t bucket_ms[] = {5,   10,  20,  30,  40,  60,   80,  100,
                                    150, 200, 400, 600, 800, 1200, 5000};

static void
print_route(void *owner, const char *route, const hist_t *latency)
{
    FILE *out = owner;
    if (latency->count == 0) {
        return;
    }
    for (size_t i = 0; i < sizeof(bucket_ms) / sizeof(bucket_ms[0]); i++) {
        fprintf(out,
                "yuccarun_answer_seconds_bucket{route=\"%s\",le=\"%g\"} "
                "%" PRIu64 "\n",
                route, (double)bucket_ms[i] / 1000,
                hist_count_below(latency, bucket_ms[i] * 1000));
    }
    fprintf(out,
            "yuccarun_answer_seconds_bucket{route=\"%s\",le=\"+Inf\"} "
            "%" PRIu64 "\nyuccarun_answer_seconds_count{route=\"%s\"} "
            "%" PRIu64 "\nyuccarun_answer_seconds_sum{route=\"%s\"} %.3f\n",
            route, latency->count, route, latency->count, route,
            (double)latency->sum_us / 1e6);
}

typedef struct {
    FILE *out;
    const node_t *node;
} tenant_printer_t;

static void
print_tenant(void *owner, tenant_id_t tenant, const fair_counts_t *counts)
{
    const tenant_printer_t *printer = owner;
    const char *name =
        tenant_names_text(engine_tenant_names(printer->node->engine), tenant);
    const char *label = name != NULL ? name : "";
    /* The series without a name is that of all other tenants. */
    fprintf(printer->out,
            "yuccarun_tenant_requests_total{tenant=\"%s\"} %" PRIu64 "\n"
            "yuccarun_tenant_served_total{tenant=\"%s\"} %" PRIu64 "\n"
            "yuccarun_tenant_refused_total{tenant=\"%s\"} %" PRIu64 "\n"
            "yuccarun_tenant_slot_seconds_total{tenant=\"%s\"} %.3f\n",
            label, counts->requests, label, counts->served, label,
            counts->refused, label, counts->cost_ms / 1000);
}

/* The busiest tenants and the sum of the others; nothing if no request had a
   tenant. */
static void
print_tenants(FILE *out, const node_t *node)
{
    const fair_share_t *shares = engine_shares(node->engine);
    tenant_printer_t printer = {.out = out, .node = node};
    if (shares->count > 0 || shares->others.requests > 0) {
        fair_share_each(shares, print_tenant, &printer);
    }
}

static void
print_quotas(FILE *out, const quota_stats_t *quotas)
{
    fprintf(out,
            "yuccarun_quota_borrowed_tokens_total %.1f\n"
            "yuccarun_quota_lent_tokens_total %.1f\n"
            "yuccarun_quota_messages_total %" PRIu64 "\n"
            "yuccarun_quota_refused_total %" PRIu64 "\n",
            quotas->borrowed, quotas->lent, quotas->asks, quotas->refused);
}

char *
metrics_text(const node_t *node, size_t *size)
{
    char *text = NULL;
    FILE *out = open_memstream(&text, size);
    if (out == NULL) {
        return NULL;
    }
    const upstream_links_stats_t *links = upstream_links_stats(node->links);
    const store_link_stats_t *store = store_link_stats(node->store);
    const http_server_stats_t *callers =
        http_server_stats(node->caller_server);
    print_events(out);
    print_answers(out, &node->front);
    fprintf(out, "# TYPE yuccarun_answer_seconds histogram\n");
    engine_each_route(node->engine, print_route, out);
    fprintf(out, "yuccarun_requests %u\n", engine_request_count(node->engine));
    fprintf(out, "yuccarun_caller_connections %u\n", callers->open);
    fprintf(out, "yuccarun_caller_requests_shed_total %" PRIu64 "\n",
            callers->shed);
    fprintf(out, "yuccarun_upstream_connections %u\n", links->open);
    fprintf(out, "yuccarun_upstream_connects_total %" PRIu64 "\n",
            links->opened);
    fprintf(out, "yuccarun_upstream_reuses_total %" PRIu64 "\n",
            links->reused);
    print_store_calls(out, store);
    fprintf(out, "yuccarun_store_failures_total %" PRIu64 "\n",
            store->failures);
    fprintf(out, "yuccarun_store_reachable %d\n", store->reachable);
    fprintf(out, "yuccarun_store_era %" PRIu64 "\n", store->era);
    fprintf(out, "yuccarun_fleet %u\n", node->fleet_size);
    fprintf(out, "yuccarun_unresponsive_services %u\n",
            registry_unresponsive_count(engine_registry(node->engine),
                                        loop_now_us()));
    fprintf(out, "yuccarun_relayed_total %" PRIu64 "\n", node->front.relayed);
    fprintf(out, "yuccarun_reaches_upstreams %d\n", node->cut_us == 0);
    fprintf(out, "yuccarun_limited_upstreams %u\n",
            registry_limited_count(engine_registry(node->engine)));
    fprintf(out, "yuccarun_limited_sends_total %" PRIu64 "\n",
            engine_limited_sends(node->engine));
    print_tenants(out, node);
    print_quotas(out, node_quota_stats(node));
    node_rollout_print(node, out);
    print_zone_traffic(out, engine_zone_traffic(node->engine));
    if (fclose(out) != 0) {
        return NULL;
    }
    return text;
}
