#include "standin/lib/tally.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { LATENCIES_INITIAL = 1024, PER_CENT = 100, US_PER_MS = 1000 };

void
tally_init(tally_t *tally)
{
    *tally = (tally_t){.reasons = json_object()};
}

void
tally_release(tally_t *tally)
{
    for (size_t i = 0; i < tally->row_count; i++) {
        free(tally->rows[i].latencies_us);
    }
    free(tally->all.latencies_us);
    json_decref(tally->reasons);
}

static tally_row_t *
tally_row(tally_t *tally, const char *service)
{
    for (size_t i = 0; i < tally->row_count; i++) {
        if (strcmp(tally->rows[i].service, service) == 0) {
            return &tally->rows[i];
        }
    }
    if (tally->row_count == TALLY_SERVICES_MAX) {
        return NULL;
    }
    tally_row_t *row = &tally->rows[tally->row_count++];
    (void)snprintf(row->service, sizeof(row->service), "%s", service);
    return row;
}

static void
row_add_latency(tally_row_t *row, int64_t latency_us)
{
    if (row->latency_count == row->latency_capacity) {
        size_t capacity = row->latency_capacity > 0 ? row->latency_capacity * 2
                                                    : LATENCIES_INITIAL;
        int64_t *grown = realloc(row->latencies_us, capacity * sizeof(*grown));
        if (grown == NULL) {
            return;
        }
        row->latencies_us = grown;
        row->latency_capacity = capacity;
    }
    row->latencies_us[row->latency_count++] = latency_us;
}

static void
row_add(tally_row_t *row, const tally_entry_t *entry)
{
    const verdict_t *verdict = &entry->verdict;
    row->queries++;
    row->outcomes[verdict->outcome]++;
    row->wrong += verdict->wrong;
    row->parts += verdict->parts;
    row->attempts += verdict->attempts;
    row->hedges += verdict->hedges;
    if (verdict->outcome > OUTCOME_PARTIAL) {
        return;
    }
    row->coverage += (double)verdict->covered / (double)entry->asked_keys;
    row->late += entry->latency_us > entry->deadline_us;
    row_add_latency(row, entry->latency_us);
}

static void
count_second(tally_t *tally, const tally_entry_t *entry)
{
    size_t second = (size_t)(entry->offset_us / (US_PER_MS * US_PER_MS));
    if (second >= TALLY_SECONDS_MAX) {
        return;
    }
    if (second >= tally->seconds) {
        tally->seconds = second + 1;
    }
    tally->not_whole[second] += entry->verdict.outcome != OUTCOME_WHOLE;
}

void
tally_add(tally_t *tally, const tally_entry_t *entry)
{
    tally_row_t *row = tally_row(tally, entry->service);
    if (row != NULL) {
        row_add(row, entry);
    }
    row_add(&tally->all, entry);
    count_second(tally, entry);
    const char *reason = entry->verdict.reason;
    if (entry->verdict.outcome != OUTCOME_WHOLE && reason[0] != '\0') {
        json_int_t before =
            json_integer_value(json_object_get(tally->reasons, reason));
        json_object_set_new(tally->reasons, reason, json_integer(before + 1));
    }
}

static int
latency_order(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

static double
row_percentile_ms(const tally_row_t *row, unsigned per_cent)
{
    if (row->latency_count == 0) {
        return 0;
    }
    size_t rank = (row->latency_count * per_cent + PER_CENT - 1) / PER_CENT;
    size_t index = rank > 0 ? rank - 1 : 0;
    return (double)row->latencies_us[index] / US_PER_MS;
}

static json_t *
row_json(tally_row_t *row)
{
    if (row->latency_count > 0) {
        qsort(row->latencies_us, row->latency_count,
              sizeof(*row->latencies_us), latency_order);
    }
    double coverage =
        row->queries > 0 ? row->coverage / (double)row->queries : 0;
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, "
        "s:f, s:f}",
        "queries", (json_int_t)row->queries, "whole",
        (json_int_t)row->outcomes[OUTCOME_WHOLE], "partial",
        (json_int_t)row->outcomes[OUTCOME_PARTIAL], "refused",
        (json_int_t)row->outcomes[OUTCOME_NOT_RUN], "unknown",
        (json_int_t)row->outcomes[OUTCOME_UNKNOWN], "lost",
        (json_int_t)row->outcomes[OUTCOME_COUNT], "wrong",
        (json_int_t)row->wrong, "late", (json_int_t)row->late, "parts",
        (json_int_t)row->parts, "attempts", (json_int_t)row->attempts,
        "hedges", (json_int_t)row->hedges, "coverage", coverage, "p50_ms",
        row_percentile_ms(row, 50), "p99_ms", row_percentile_ms(row, 99),
        "max_ms", row_percentile_ms(row, PER_CENT));
}

json_t *
tally_json(tally_t *tally)
{
    json_t *result = row_json(&tally->all);
    json_t *services = json_object();
    for (size_t i = 0; i < tally->row_count; i++) {
        tally_row_t *row = &tally->rows[i];
        json_object_set_new(services, row->service, row_json(row));
    }
    json_t *seconds = json_array();
    for (size_t i = 0; i < tally->seconds; i++) {
        json_array_append_new(seconds,
                              json_integer((json_int_t)tally->not_whole[i]));
    }
    json_object_set_new(result, "not_whole_by_second", seconds);
    json_object_set(result, "reasons", tally->reasons);
    json_object_set_new(result, "services", services);
    return result;
}
