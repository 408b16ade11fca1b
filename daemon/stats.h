/*
 * Counters and histograms of one worker, by service and by tenant.
 *
 * Written under the worker's lock; stats_merge adds those of several workers
 * for the metrics page.
 */
#ifndef DAEMON_STATS_H
#define DAEMON_STATS_H

#include "core/hist.h"
#include "core/outcome.h"
#include "core/part.h"

#include <stdbool.h>

enum {
    STATS_SERVICES_MAX = 64,
    STATS_TENANTS_MAX = 64 /* further tenants count as "other" */
};

/* What is counted for one service or one tenant. */
typedef struct {
    char name[NAME_SIZE];
    uint64_t outcomes[OUTCOME_COUNT];
    uint64_t reasons[REASON_COUNT];
    uint64_t asked_keys;
    uint64_t covered_keys;
    uint64_t parts; /* first sends */
    uint64_t hedges;
    uint64_t retries;
    uint64_t restarts;
    uint64_t dropped_replies; /* late, crossed or doubled replies */
    hist_t latency;
} stats_entry_t;

typedef struct {
    stats_entry_t services[STATS_SERVICES_MAX];
    size_t service_count;
    stats_entry_t tenants[STATS_TENANTS_MAX];
    size_t tenant_count;
    uint64_t coordinator_part_statuses[PART_STATUS_COUNT]; /* as seen by
                                                              coordinators */
    uint64_t
        owner_part_statuses[PART_STATUS_COUNT]; /* as ended at this owner */
    uint64_t admitted_parts;
    uint64_t refused_parts;
    uint64_t stray_replies; /* for queries that have ended */
} stats_t;

void stats_init(stats_t *stats);

/* The line of a service or tenant, made when new. */
stats_entry_t *stats_service(stats_t *stats, const char *name);
stats_entry_t *stats_tenant(stats_t *stats, const char *name);

void stats_merge(stats_t *stats, const stats_t *from);

#endif
