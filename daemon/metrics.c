#include "daemon/metrics.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { LABELS_SIZE = 160, CAPACITY_START = 8192 };

static const int64_t bucket_edges_us[] = {
    1000,  2000,   5000,   10000,  20000,   50000,
    67000, 100000, 200000, 500000, 1000000, 5000000,
};

void
metrics_init(metrics_t *metrics)
{
    *metrics = (metrics_t){.size = 0};
}

char *
metrics_detach(metrics_t *metrics)
{
    char *text = metrics->text;
    if (metrics->failed) {
        free(text);
        text = NULL;
    }
    metrics_init(metrics);
    return text;
}

static bool
metrics_reserve(metrics_t *metrics, size_t more)
{
    size_t need = metrics->size + more + 1;
    if (need <= metrics->capacity) {
        return true;
    }
    size_t capacity =
        metrics->capacity == 0 ? CAPACITY_START : metrics->capacity;
    while (capacity < need) {
        capacity *= 2;
    }
    char *grown = realloc(metrics->text, capacity);
    if (grown == NULL) {
        metrics->failed = true;
        return false;
    }
    metrics->text = grown;
    metrics->capacity = capacity;
    return true;
}

static void metrics_add(metrics_t *metrics, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
metrics_add(metrics_t *metrics, const char *format, ...)
{
    char line[512];
    va_list args;
    va_start(args, format);
    int size = vsnprintf(line, sizeof(line), format, args);
    va_end(args);
    if (size < 0 || (size_t)size >= sizeof(line) ||
        !metrics_reserve(metrics, (size_t)size)) {
        metrics->failed = true;
        return;
    }
    memcpy(metrics->text + metrics->size, line, (size_t)size + 1);
    metrics->size += (size_t)size;
}

void
metrics_type(metrics_t *metrics, const char *name, const char *type,
             const char *help)
{
    metrics_add(metrics, "# HELP %s %s\n# TYPE %s %s\n", name, help, name,
                type);
}

void
metrics_u64(metrics_t *metrics, const char *name, const char *labels,
            uint64_t value)
{
    bool unlabelled = labels[0] == '\0';
    metrics_add(metrics, "%s%s%s%s %" PRIu64 "\n", name, unlabelled ? "" : "{",
                labels, unlabelled ? "" : "}", value);
}

void
metrics_hist(metrics_t *metrics, const char *name, const char *labels,
             const hist_t *hist)
{
    size_t edges = sizeof(bucket_edges_us) / sizeof(bucket_edges_us[0]);
    for (size_t i = 0; i < edges; i++) {
        metrics_add(metrics, "%s_bucket{%s,le=\"%g\"} %" PRIu64 "\n", name,
                    labels, (double)bucket_edges_us[i] / 1e6,
                    hist_count_below(hist, bucket_edges_us[i]));
    }
    metrics_add(metrics, "%s_bucket{%s,le=\"+Inf\"} %" PRIu64 "\n", name,
                labels, hist->count);
    metrics_add(metrics, "%s_sum{%s} %g\n", name, labels,
                (double)hist->sum_us / 1e6);
    metrics_add(metrics, "%s_count{%s} %" PRIu64 "\n", name, labels,
                hist->count);
}

static void
entry_counters(metrics_t *metrics, const char *kind,
               const stats_entry_t *entry)
{
    char labels[LABELS_SIZE];
    for (int i = 0; i < OUTCOME_COUNT; i++) {
        snprintf(labels, sizeof(labels), "%s=\"%s\",outcome=\"%s\"", kind,
                 entry->name, outcome_name((outcome_t)i));
        metrics_u64(metrics, "yuccarun_queries_total", labels,
                    entry->outcomes[i]);
    }
    for (int i = 1; i < REASON_COUNT; i++) {
        if (entry->reasons[i] == 0) {
            continue;
        }
        snprintf(labels, sizeof(labels), "%s=\"%s\",reason=\"%s\"", kind,
                 entry->name, reason_name((reason_t)i));
        metrics_u64(metrics, "yuccarun_reasons_total", labels,
                    entry->reasons[i]);
    }
}

typedef struct {
    const char *name;
    const char *help;
    size_t offset;
} entry_metric_t;

static const entry_metric_t entry_metrics[] = {
    {"yuccarun_keys_asked_total", "Keys that queries asked for",
     offsetof(stats_entry_t, asked_keys)},
    {"yuccarun_keys_covered_total", "Keys that answers covered",
     offsetof(stats_entry_t, covered_keys)},
    {"yuccarun_parts_total", "Parts sent first",
     offsetof(stats_entry_t, parts)},
    {"yuccarun_hedges_total", "Parts sent again to hedge",
     offsetof(stats_entry_t, hedges)},
    {"yuccarun_retries_total", "Parts sent again after a loss",
     offsetof(stats_entry_t, retries)},
    {"yuccarun_restarts_total", "Queries begun again at another snapshot",
     offsetof(stats_entry_t, restarts)},
    {"yuccarun_dropped_replies_total", "Late, crossed or doubled replies",
     offsetof(stats_entry_t, dropped_replies)},
};

static void
entries_metric(metrics_t *metrics, const entry_metric_t *metric,
               const char *kind, const stats_entry_t *entries, size_t count)
{
    char labels[LABELS_SIZE];
    for (size_t i = 0; i < count; i++) {
        const char *base = (const char *)&entries[i];
        uint64_t value;
        memcpy(&value, base + metric->offset, sizeof(value));
        snprintf(labels, sizeof(labels), "%s=\"%s\"", kind, entries[i].name);
        metrics_u64(metrics, metric->name, labels, value);
    }
}

static void
entries_latency(metrics_t *metrics, const char *kind,
                const stats_entry_t *entries, size_t count)
{
    char labels[LABELS_SIZE];
    for (size_t i = 0; i < count; i++) {
        snprintf(labels, sizeof(labels), "%s=\"%s\"", kind, entries[i].name);
        metrics_hist(metrics, "yuccarun_query_seconds", labels,
                     &entries[i].latency);
    }
}

static void
part_counters(metrics_t *metrics, const stats_t *stats)
{
    char labels[LABELS_SIZE];
    metrics_type(metrics, "yuccarun_part_replies_total", "counter",
                 "Replies to parts by status, at the coordinator and owner");
    for (int i = 0; i < PART_STATUS_COUNT; i++) {
        const char *status = part_status_name((part_status_t)i);
        snprintf(labels, sizeof(labels), "at=\"coordinator\",status=\"%s\"",
                 status);
        metrics_u64(metrics, "yuccarun_part_replies_total", labels,
                    stats->coordinator_part_statuses[i]);
        snprintf(labels, sizeof(labels), "at=\"owner\",status=\"%s\"", status);
        metrics_u64(metrics, "yuccarun_part_replies_total", labels,
                    stats->owner_part_statuses[i]);
    }
    metrics_type(metrics, "yuccarun_stray_replies_total", "counter",
                 "Replies to queries that have ended");
    metrics_u64(metrics, "yuccarun_stray_replies_total", "",
                stats->stray_replies);
}

void
metrics_stats(metrics_t *metrics, const stats_t *stats)
{
    metrics_type(metrics, "yuccarun_queries_total", "counter",
                 "Queries by outcome");
    for (size_t i = 0; i < stats->service_count; i++) {
        entry_counters(metrics, "service", &stats->services[i]);
    }
    for (size_t i = 0; i < stats->tenant_count; i++) {
        entry_counters(metrics, "tenant", &stats->tenants[i]);
    }
    size_t count = sizeof(entry_metrics) / sizeof(entry_metrics[0]);
    for (size_t i = 0; i < count; i++) {
        metrics_type(metrics, entry_metrics[i].name, "counter",
                     entry_metrics[i].help);
        entries_metric(metrics, &entry_metrics[i], "service", stats->services,
                       stats->service_count);
        entries_metric(metrics, &entry_metrics[i], "tenant", stats->tenants,
                       stats->tenant_count);
    }
    metrics_type(metrics, "yuccarun_query_seconds", "histogram",
                 "Time from the request to its answer");
    entries_latency(metrics, "service", stats->services, stats->service_count);
    entries_latency(metrics, "tenant", stats->tenants, stats->tenant_count);
    part_counters(metrics, stats);
}
