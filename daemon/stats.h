/*
 * Counters and histograms of one worker, by service and by tenant.
 *
 * The worker's lock protects them. stats_merge adds up those of several
 * workers for the metrics page.
 */
#ifndef DAEMON_STATS_H
#define DAEMON_STATS_H

#include "core/hist.h"
#include "core/outcome.h"
#include "core/part.h"

#include <stdbool.h>

enum {
    /* The last entry, named "other", counts all further names. */
    STATS_SERVICES_MAX = 64,
    STATS_TENANTS_MAX = 64
};

/* Counters of one service or tenant. */
typedef struct {
    char name[NAME_SIZE];
    uint64_t outcomes[OUTCOME_COUNT];
    uint64_t reasons[REASON_COUNT];
    uint64_t asked_keys;
    uint64_t covered_keys;
    uint64_t parts; /* sent for the first time */
    uint64_t hedges;
    uint64_t retries;
    uint64_t restarts;
    uint64_t dropped_replies; /* late, duplicate or overlapping */
    hist_t latency;
} stats_entry_t;

typedef struct {
    stats_entry_t services[STATS_SERVICES_MAX];
    size_t service_count;
    stats_entry_t tenants[STATS_TENANTS_MAX];
    size_t tenant_count;
    /* Results of parts, as coordinator and as owner. */
    uint64_t coordinator_part_statuses[PART_STATUS_COUNT];
    uint64_t owner_part_statuses[PART_STATUS_COUNT];
    uint64_t admitted_parts; /* sent to upstreams */
    uint64_t refused_parts;  /* ended without being sent */
    uint64_t stray_replies;  /* to queries that have ended */
} stats_t;

/* Set all counters to 0. */
void stats_init(stats_t *stats);

/* The entry of a service or tenant, added if missing. */
stats_entry_t *stats_service(stats_t *stats, const char *name);
stats_entry_t *stats_tenant(stats_t *stats, const char *name);

/* Add the counters of `from` to stats. */
void stats_merge(stats_t *stats, const stats_t *from);

#endif
