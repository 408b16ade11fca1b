/*
 * The daemon's counters and histograms in the text format of Prometheus.
 */
#ifndef TIER_METRICS_TEXT_H
#define TIER_METRICS_TEXT_H

#include "tier/node.h"

#include <stddef.h>

/* The page, to be freed; NULL: no memory. */
char *metrics_text(const node_t *node, size_t *size);

#endif
