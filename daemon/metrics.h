/*
 * Writes the text of the metrics page: counters, gauges and histograms in the
 * text format that common scrapers read.
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
    bool failed; /* out of memory, or a line was too long */
} metrics_t;

/* Start an empty page. */
void metrics_init(metrics_t *metrics);

/*
 * Return the text and start an empty page. The caller frees the text; NULL if
 * a line was lost or nothing was written.
 */
char *metrics_detach(metrics_t *metrics);

/* Write the type and help of a metric, before its samples. */
void metrics_type(metrics_t *metrics, const char *name, const char *type,
                  const char *help);

/* Write one sample; labels without braces, "" for none. */
void metrics_u64(metrics_t *metrics, const char *name, const char *labels,
                 uint64_t value);

/*
 * Write a latency's buckets, sum and count, in seconds; labels must not be
 * empty.
 */
void metrics_hist(metrics_t *metrics, const char *name, const char *labels,
                  const hist_t *hist);

/* Write all metrics of the workers' statistics. */
void metrics_stats(metrics_t *metrics, const stats_t *stats);

#endif
