/*
 * Text of the metrics page: counters, gauges and histograms in the plain
 * format that common scrapers read.
 *
 *     metrics_t metrics;
 *     metrics_init(&metrics);
 *     metrics_type(&metrics, "yuccarun_queries_total", "counter", "Queries");
 *     metrics_u64(&metrics, "yuccarun_queries_total", "service=\"a\"", 3);
 *     char *text = metrics_detach(&metrics);   // freed by the caller
 */
#ifndef DAEMON_METRICS_H
#define DAEMON_METRICS_H

#include "daemon/stats.h"

#include <stdbool.h>

typedef struct {
    char *text;
    size_t size;
    size_t capacity;
    bool failed; /* memory ran out; metrics_detach returns NULL */
} metrics_t;

void metrics_init(metrics_t *metrics);

/* The text so far; the metrics are then empty. */
char *metrics_detach(metrics_t *metrics);

/* Lines that tell the type and the meaning of the samples that follow. */
void metrics_type(metrics_t *metrics, const char *name, const char *type,
                  const char *help);

/* One sample; labels without braces, "" for none. */
void metrics_u64(metrics_t *metrics, const char *name, const char *labels,
                 uint64_t value);

/* Buckets, sum and count of a latency in seconds. */
void metrics_hist(metrics_t *metrics, const char *name, const char *labels,
                  const hist_t *hist);

/* Everything of the workers' statistics. */
void metrics_stats(metrics_t *metrics, const stats_t *stats);

#endif
