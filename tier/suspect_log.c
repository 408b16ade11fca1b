#include "tier/suspect_log.h"

#include "platform/kv.h"

#include <stddef.h>
#include <string.h>

bool
suspect_log_add(suspect_log_t *log, const suspect_report_t *report)
{
    if (report->revision > log->revision) {
        log->revision = report->revision;
    }
    for (uint32_t i = 0; i < log->count; i++) {
        suspect_report_t *known = &log->rows[i];
        bool rewritten = known->fingerprint == report->fingerprint &&
                         kv_revision_era(known->revision) <
                             kv_revision_era(report->revision);
        if (strcmp(known->key, report->key) == 0 &&
            (known->revision == report->revision || rewritten)) {
            known->revision = report->revision;
            return false;
        }
    }
    log->rows[log->next_row] = *report;
    log->next_row = (log->next_row + 1) % SUSPECT_LOG_MAX;
    if (log->count < SUSPECT_LOG_MAX) {
        log->count++;
    }
    return true;
}

const suspect_report_t *
suspect_log_next(const suspect_log_t *log, uint64_t since, uint32_t *cursor)
{
    while (*cursor < log->count) {
        uint32_t oldest =
            log->next_row + SUSPECT_LOG_MAX - log->count + *cursor;
        const suspect_report_t *row = &log->rows[oldest % SUSPECT_LOG_MAX];
        (*cursor)++;
        if (row->revision > since) {
            return row;
        }
    }
    return NULL;
}
