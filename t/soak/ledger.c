#include "t/soak/ledger.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ENTRIES_MAX = 20000, WINDOW_STEP_US = 500000 };

struct ledger {
    ledger_entry_t *entries;
    uint32_t count;
    uint32_t broken;
    bool quiet;
};

ledger_t *
ledger_new(bool quiet)
{
    ledger_t *ledger = calloc(1, sizeof(*ledger));
    ledger->entries = calloc(ENTRIES_MAX, sizeof(*ledger->entries));
    ledger->quiet = quiet;
    return ledger;
}

void
ledger_free(ledger_t *ledger)
{
    free(ledger->entries);
    free(ledger);
}

void
ledger_break(ledger_t *ledger, const char *rule, const char *format, ...)
{
    ledger->broken++;
    if (!ledger->quiet) {
        va_list arguments;
        va_start(arguments, format);
        printf("BROKEN %s: ", rule);
        vprintf(format, arguments);
        printf("\n");
        va_end(arguments);
    }
}

uint32_t
ledger_sent(ledger_t *ledger, const ledger_entry_t *entry)
{
    if (ledger->count == ENTRIES_MAX) {
        abort();
    }
    ledger->entries[ledger->count] = *entry;
    return ++ledger->count;
}

const ledger_entry_t *
ledger_ran(ledger_t *ledger, const char *id, const ledger_run_t *run)
{
    char *end = NULL;
    unsigned long number =
        strncmp(id, "r-", 2) == 0 ? strtoul(id + 2, &end, 10) : 0;
    if (number == 0 || number > ledger->count || *end != '\0') {
        ledger_break(ledger, "UNASKED", "id %s ran", id);
        return NULL;
    }
    ledger_entry_t *entry = &ledger->entries[number - 1];
    if (entry->run_count == LEDGER_RUNS_MAX) {
        ledger_break(ledger, "BUDGET", "%s arrives without end", id);
        return entry;
    }
    entry->runs[entry->run_count++] = *run;
    uint32_t runs = 0;
    for (uint32_t i = 0; i < entry->run_count; i++) {
        runs += entry->runs[i].rejected ? 0 : 1;
    }
    if (entry->kind == KIND_ONCE && runs > 1) {
        ledger_break(ledger, "TWICE", "%s ran %u times", id, runs);
    }
    return entry;
}

void
ledger_ended(ledger_t *ledger, uint32_t number, uint32_t status,
             int64_t now_us)
{
    ledger_entry_t *entry = &ledger->entries[number - 1];
    if (entry->ended_us != 0) {
        ledger_break(ledger, "MIXED", "r-%u is answered twice", number);
        return;
    }
    entry->ended_us = now_us;
    entry->status = status;
}

const ledger_entry_t *
ledger_entry(const ledger_t *ledger, uint32_t number)
{
    return &ledger->entries[number - 1];
}

uint32_t
ledger_count(const ledger_t *ledger)
{
    return ledger->count;
}

static void
judge_refusals(ledger_t *ledger)
{
    for (uint32_t i = 0; i < ledger->count; i++) {
        const ledger_entry_t *entry = &ledger->entries[i];
        bool refused = entry->status == 503 || entry->status == 429 ||
                       entry->status == 408 || entry->status == 421;
        for (uint32_t j = 0; j < entry->run_count && refused; j++) {
            if (entry->kind == KIND_ONCE && !entry->runs[j].rejected) {
                ledger_break(ledger, "REFUSED", "r-%u got %u and ran", i + 1,
                             entry->status);
            }
        }
    }
}

/* Arrivals at a service beyond the first of each request, in a window. */
static void
judge_window(ledger_t *ledger, const ledger_bounds_t *bounds, uint32_t service,
             int64_t from_us)
{
    int64_t to_us = from_us + bounds->window_us;
    uint32_t requests = 0;
    uint32_t extra = 0;
    for (uint32_t i = 0; i < ledger->count; i++) {
        const ledger_entry_t *entry = &ledger->entries[i];
        bool asks = entry->kind == KIND_ALL || entry->service == service;
        requests += asks && entry->sent_us >= from_us && entry->sent_us < to_us
                        ? 1
                        : 0;
        bool first = true;
        for (uint32_t j = 0; j < entry->run_count; j++) {
            const ledger_run_t *run = &entry->runs[j];
            if (run->service != service) {
                continue;
            }
            extra += !first && run->at_us >= from_us && run->at_us < to_us;
            first = false;
        }
    }
    if (extra > bounds->retry_ratio * requests + bounds->retry_slack) {
        ledger_break(ledger, "BUDGET", "service %u: %u repeats of %u requests",
                     service, extra, requests);
    }
}

void
ledger_judge(ledger_t *ledger, const ledger_bounds_t *bounds)
{
    judge_refusals(ledger);
    if (ledger->count == 0) {
        return;
    }
    int64_t last_us = ledger->entries[ledger->count - 1].sent_us;
    for (uint32_t service = 0; service < bounds->services; service++) {
        for (int64_t from_us = ledger->entries[0].sent_us; from_us < last_us;
             from_us += WINDOW_STEP_US) {
            judge_window(ledger, bounds, service, from_us);
        }
    }
}

double
ledger_served(const ledger_t *ledger, int64_t from_us, int64_t to_us)
{
    uint32_t sent = 0;
    uint32_t served = 0;
    for (uint32_t i = 0; i < ledger->count; i++) {
        const ledger_entry_t *entry = &ledger->entries[i];
        if (entry->sent_us >= from_us && entry->sent_us < to_us) {
            sent++;
            served += entry->status == 200 ? 1 : 0;
        }
    }
    return sent > 0 ? (double)served / sent : 0;
}

uint32_t
ledger_broken(const ledger_t *ledger)
{
    return ledger->broken;
}
