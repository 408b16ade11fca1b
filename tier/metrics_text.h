/*
 * The daemon's counters and histograms in the Prometheus text format.
 */
#ifndef TIER_METRICS_TEXT_H
#define TIER_METRICS_TEXT_H

#include "tier/node.h"

#include <stddef.h>

/* Write the metrics page; the caller frees it. *size: its length in bytes.
   NULL: out of memory. */
char *metrics_text(const node_t *node, size_t *size);

#endif
