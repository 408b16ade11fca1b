/*
 * What was removed of late, so that another can be told of it: names with the
 * store's revisions of their removals. Bounded; what was removed before its
 * floor is not known.
 *
 *     gone_log_add(&log, name, revision);
 *     if (gone_log_covers(&log, since)) {
 *         for (uint32_t at = 0; (gone = gone_log_next(&log, since, &at));) ...
 *     }
 */
#ifndef TIER_GONE_LOG_H
#define TIER_GONE_LOG_H

#include <stdbool.h>
#include <stdint.h>

enum { GONE_LOG_MAX = 256, GONE_NAME_SIZE = 64 };

typedef struct {
    char name[GONE_NAME_SIZE];
    uint64_t revision;
} gone_t;

/* Zeroed: nothing was removed, from the first revision on. */
typedef struct {
    gone_t rows[GONE_LOG_MAX];
    uint32_t count;
    uint32_t next; /* the place of the next row */
    uint64_t floor;
} gone_log_t;

void gone_log_add(gone_log_t *log, const char *name, uint64_t revision);

/* Begin anew: what was removed up to that revision is not known. */
void gone_log_begin(gone_log_t *log, uint64_t floor);

/* Whether all that was removed after a revision is known; not for 0. */
bool gone_log_covers(const gone_log_t *log, uint64_t since);

/* The next that was removed after it, *at 0 for the first; NULL: no more. */
const gone_t *gone_log_next(const gone_log_t *log, uint64_t since,
                            uint32_t *at);

#endif
