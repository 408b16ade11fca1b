#include "tier/departure_log.h"

#include <stddef.h>
#include <string.h>

void
departure_log_add(departure_log_t *log, const departure_t *departure)
{
    log->rows[log->next_row] = *departure;
    log->next_row = (log->next_row + 1) % DEPARTURE_LOG_MAX;
    if (log->count < DEPARTURE_LOG_MAX) {
        log->count++;
    }
}

const departure_t *
departure_log_find(const departure_log_t *log, const char *id)
{
    for (uint32_t i = 1; i <= log->count; i++) {
        const departure_t *row =
            &log->rows[(log->next_row + DEPARTURE_LOG_MAX - i) %
                       DEPARTURE_LOG_MAX];
        if (strcmp(row->id, id) == 0) {
            return row;
        }
    }
    return NULL;
}
