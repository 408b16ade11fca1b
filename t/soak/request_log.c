#include "t/soak/request_log.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    REQUESTS_MAX = 20000,
    WINDOW_STEP_US = 500000 /* between the starts of two checked windows */
};

struct request_log {
    request_log_entry_t *entries;
    uint32_t count;
    uint32_t violation_count;
    bool quiet;
};

request_log_t *
request_log_new(bool quiet)
{
    request_log_t *log = calloc(1, sizeof(*log));
    log->entries = calloc(REQUESTS_MAX, sizeof(*log->entries));
    log->quiet = quiet;
    return log;
}

void
request_log_free(request_log_t *log)
{
    free(log->entries);
    free(log);
}

void
request_log_add_violation(request_log_t *log, const char *rule,
                          const char *format, ...)
{
    log->violation_count++;
    if (!log->quiet) {
        va_list arguments;
        va_start(arguments, format);
        printf("BROKEN %s: ", rule);
        vprintf(format, arguments);
        printf("\n");
        va_end(arguments);
    }
}

uint32_t
request_log_add_request(request_log_t *log, const request_log_entry_t *entry)
{
    if (log->count == REQUESTS_MAX) {
        abort();
    }
    log->entries[log->count] = *entry;
    return ++log->count;
}

const request_log_entry_t *
request_log_add_arrival(request_log_t *log, const char *id,
                        const request_arrival_t *arrival)
{
    char *end = NULL;
    unsigned long number =
        strncmp(id, "r-", 2) == 0 ? strtoul(id + 2, &end, 10) : 0;
    if (number == 0 || number > log->count || *end != '\0') {
        request_log_add_violation(log, "UNASKED",
                                  "unknown request id %s arrived", id);
        return NULL;
    }
    request_log_entry_t *entry = &log->entries[number - 1];
    if (entry->arrival_count == ARRIVALS_MAX) {
        request_log_add_violation(log, "BUDGET",
                                  "%s arrived too often to be recorded", id);
        return entry;
    }
    entry->arrivals[entry->arrival_count++] = *arrival;
    uint32_t run_count = 0;
    for (uint32_t i = 0; i < entry->arrival_count; i++) {
        run_count += entry->arrivals[i].rejected ? 0 : 1;
    }
    if (entry->kind == KIND_NON_IDEMPOTENT && run_count > 1) {
        request_log_add_violation(log, "TWICE",
                                  "non-idempotent request %s ran %u times", id,
                                  run_count);
    }
    return entry;
}

void
request_log_set_result(request_log_t *log, uint32_t number, uint32_t status,
                       int64_t now_us)
{
    request_log_entry_t *entry = &log->entries[number - 1];
    if (entry->ended_us != 0) {
        request_log_add_violation(log, "MIXED",
                                  "r-%u has more than one result", number);
        return;
    }
    entry->ended_us = now_us;
    entry->status = status;
}

const request_log_entry_t *
request_log_entry(const request_log_t *log, uint32_t number)
{
    return &log->entries[number - 1];
}

uint32_t
request_log_count(const request_log_t *log)
{
    return log->count;
}

static void
check_refusals(request_log_t *log)
{
    for (uint32_t i = 0; i < log->count; i++) {
        const request_log_entry_t *entry = &log->entries[i];
        bool refused = entry->status == 503 || entry->status == 429 ||
                       entry->status == 408 || entry->status == 421;
        for (uint32_t j = 0; j < entry->arrival_count && refused; j++) {
            if (entry->kind == KIND_NON_IDEMPOTENT &&
                !entry->arrivals[j].rejected) {
                request_log_add_violation(
                    log, "REFUSED", "r-%u was refused with status %u, but ran",
                    i + 1, entry->status);
            }
        }
    }
}

/*
 * Check the retry budget of a service in one window: arrivals beyond the first
 * of each request count as repeats.
 */
static void
check_retry_budget(request_log_t *log, const request_log_bounds_t *bounds,
                   uint32_t service, int64_t from_us)
{
    int64_t to_us = from_us + bounds->window_us;
    uint32_t requests = 0;
    uint32_t repeats = 0;
    for (uint32_t i = 0; i < log->count; i++) {
        const request_log_entry_t *entry = &log->entries[i];
        bool targets_service =
            entry->kind == KIND_GATHER || entry->service == service;
        requests += targets_service && entry->sent_us >= from_us &&
                            entry->sent_us < to_us
                        ? 1
                        : 0;
        bool first = true;
        for (uint32_t j = 0; j < entry->arrival_count; j++) {
            const request_arrival_t *arrival = &entry->arrivals[j];
            if (arrival->service != service) {
                continue;
            }
            repeats += !first && arrival->arrived_us >= from_us &&
                       arrival->arrived_us < to_us;
            first = false;
        }
    }
    if (repeats > bounds->retry_ratio * requests + bounds->retry_slack) {
        request_log_add_violation(
            log, "BUDGET", "service %u: %u repeated arrivals for %u requests",
            service, repeats, requests);
    }
}

void
request_log_check(request_log_t *log, const request_log_bounds_t *bounds)
{
    check_refusals(log);
    if (log->count == 0) {
        return;
    }
    int64_t last_us = log->entries[log->count - 1].sent_us;
    for (uint32_t service = 0; service < bounds->services; service++) {
        for (int64_t from_us = log->entries[0].sent_us; from_us < last_us;
             from_us += WINDOW_STEP_US) {
            check_retry_budget(log, bounds, service, from_us);
        }
    }
}

double
request_log_success_ratio(const request_log_t *log, int64_t from_us,
                          int64_t to_us)
{
    uint32_t sent = 0;
    uint32_t served = 0;
    for (uint32_t i = 0; i < log->count; i++) {
        const request_log_entry_t *entry = &log->entries[i];
        if (!entry->may_be_refused && entry->sent_us >= from_us &&
            entry->sent_us < to_us) {
            sent++;
            served += entry->status == 200 ? 1 : 0;
        }
    }
    return sent > 0 ? (double)served / sent : 0;
}

uint32_t
request_log_violation_count(const request_log_t *log)
{
    return log->violation_count;
}
