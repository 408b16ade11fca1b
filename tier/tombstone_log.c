#include "tier/tombstone_log.h"

#include "core/text.h"

#include <stddef.h>

void
tombstone_log_add(tombstone_log_t *log, const char *name, uint64_t revision)
{
    tombstone_t *row = &log->rows[log->next_row];
    if (log->count == TOMBSTONE_LOG_MAX) {
        log->floor_revision = row->revision > log->floor_revision
                                  ? row->revision
                                  : log->floor_revision;
    }
    else {
        log->count++;
    }
    log->next_row = (log->next_row + 1) % TOMBSTONE_LOG_MAX;
    row->revision = revision;
    if (!text_copy(row->name, sizeof(row->name), name)) {
        /* The name is too long to be stored: the removals up to this one
           can't be sent to other daemons. */
        tombstone_log_reset(log, revision);
    }
}

void
tombstone_log_reset(tombstone_log_t *log, uint64_t floor_revision)
{
    log->count = 0;
    log->next_row = 0;
    log->floor_revision = floor_revision;
}

bool
tombstone_log_covers(const tombstone_log_t *log, uint64_t since)
{
    return since > 0 && since >= log->floor_revision;
}

const tombstone_t *
tombstone_log_next(const tombstone_log_t *log, uint64_t since,
                   uint32_t *cursor)
{
    while (*cursor < log->count) {
        const tombstone_t *row = &log->rows[(*cursor)++];
        if (row->revision > since) {
            return row;
        }
    }
    return NULL;
}
