#include "tier/tombstone_log.h"

#include "core/text.h"

#include <stddef.h>

void
tombstone_log_add(tombstone_log_t *log, const char *name, uint64_t revision)
{
    tombstone_t *row = &log->rows[log->next];
    if (log->count == TOMBSTONE_LOG_MAX) {
        log->floor = row->revision > log->floor ? row->revision : log->floor;
    }
    else {
        log->count++;
    }
    log->next = (log->next + 1) % TOMBSTONE_LOG_MAX;
    row->revision = revision;
    if (!text_copy(row->name, sizeof(row->name), name)) {
        /* A name too long to be told of: nothing up to it is. */
        tombstone_log_reset(log, revision);
    }
}

void
tombstone_log_reset(tombstone_log_t *log, uint64_t floor)
{
    log->count = 0;
    log->next = 0;
    log->floor = floor;
}

bool
tombstone_log_covers(const tombstone_log_t *log, uint64_t since)
{
    return since > 0 && since >= log->floor;
}

const tombstone_t *
tombstone_log_next(const tombstone_log_t *log, uint64_t since, uint32_t *at)
{
    while (*at < log->count) {
        const tombstone_t *row = &log->rows[(*at)++];
        if (row->revision > since) {
            return row;
        }
    }
    return NULL;
}
