#include "daemon/stats.h"

#include <stdio.h>
#include <string.h>

void
stats_init(stats_t *stats)
{
    memset(stats, 0, sizeof(*stats));
}

/* Entry of a name, added if missing; the last entry is for further names. */
static stats_entry_t *
find_or_add_entry(stats_entry_t *entries, size_t *count, size_t max,
                  const char *name)
{
    for (size_t i = 0; i < *count; i++) {
        if (strcmp(entries[i].name, name) == 0) {
            return &entries[i];
        }
    }
    if (*count == max) {
        return &entries[max - 1];
    }
    stats_entry_t *entry = &entries[(*count)++];
    bool last = *count == max;
    snprintf(entry->name, sizeof(entry->name), "%s", last ? "other" : name);
    return entry;
}

stats_entry_t *
stats_service(stats_t *stats, const char *name)
{
    return find_or_add_entry(stats->services, &stats->service_count,
                             STATS_SERVICES_MAX, name);
}

stats_entry_t *
stats_tenant(stats_t *stats, const char *name)
{
    return find_or_add_entry(stats->tenants, &stats->tenant_count,
                             STATS_TENANTS_MAX, name);
}

static void
counters_add(uint64_t *to, const uint64_t *from, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        to[i] += from[i];
    }
}

static void
entry_merge(stats_entry_t *entry, const stats_entry_t *from)
{
    counters_add(entry->outcomes, from->outcomes, OUTCOME_COUNT);
    counters_add(entry->reasons, from->reasons, REASON_COUNT);
    entry->asked_keys += from->asked_keys;
    entry->covered_keys += from->covered_keys;
    entry->parts += from->parts;
    entry->hedges += from->hedges;
    entry->retries += from->retries;
    entry->restarts += from->restarts;
    entry->dropped_replies += from->dropped_replies;
    hist_merge(&entry->latency, &from->latency);
}

void
stats_merge(stats_t *stats, const stats_t *from)
{
    for (size_t i = 0; i < from->service_count; i++) {
        entry_merge(stats_service(stats, from->services[i].name),
                    &from->services[i]);
    }
    for (size_t i = 0; i < from->tenant_count; i++) {
        entry_merge(stats_tenant(stats, from->tenants[i].name),
                    &from->tenants[i]);
    }
    counters_add(stats->coordinator_part_statuses,
                 from->coordinator_part_statuses, PART_STATUS_COUNT);
    counters_add(stats->owner_part_statuses, from->owner_part_statuses,
                 PART_STATUS_COUNT);
    stats->admitted_parts += from->admitted_parts;
    stats->refused_parts += from->refused_parts;
    stats->stray_replies += from->stray_replies;
}
