#include "tier/gone_log.h"

#include "core/text.h"

#include <stddef.h>

void
gone_log_add(gone_log_t *log, const char *name, uint64_t revision)
{
    gone_t *row = &log->rows[log->next];
    if (log->count == GONE_LOG_MAX) {
        log->floor = row->revision > log->floor ? row->revision : log->floor;
    }
    else {
        log->count++;
    }
    log->next = (log->next + 1) % GONE_LOG_MAX;
    row->revision = revision;
    if (!text_copy(row->name, sizeof(row->name), name)) {
        /* A name too long to be told of: nothing up to it is. */
        gone_log_begin(log, revision);
    }
}

void
gone_log_begin(gone_log_t *log, uint64_t floor)
{
    log->count = 0;
    log->next = 0;
    log->floor = floor;
}

bool
gone_log_covers(const gone_log_t *log, uint64_t since)
{
    return since > 0 && since >= log->floor;
}

const gone_t *
gone_log_next(const gone_log_t *log, uint64_t since, uint32_t *at)
{
    while (*at < log->count) {
        const gone_t *row = &log->rows[(*at)++];
        if (row->revision > since) {
            return row;
        }
    }
    return NULL;
}
