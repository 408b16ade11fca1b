/*
 * What was removed of late, so that another can be told of it: names with the
 * store's revisions of their removals. Bounded; what was removed before its
 * floor is not known.
 *
 *     tombstone_log_add(&log, name, revision);
 *     if (tombstone_log_covers(&log, since)) {
 *         for (uint32_t at = 0; (gone = tombstone_log_next(&log, since,
 * &at));) ...
 *     }
 */
#ifndef TIER_TOMBSTONE_LOG_H
#define TIER_TOMBSTONE_LOG_H

#include <stdbool.h>
#include <stdint.h>

enum { TOMBSTONE_LOG_MAX = 256, TOMBSTONE_NAME_SIZE = 64 };

typedef struct {
    char name[TOMBSTONE_NAME_SIZE];
    uint64_t revision;
} tombstone_t;

/* Zeroed: nothing was removed, from the first revision on. */
typedef struct {
    tombstone_t rows[TOMBSTONE_LOG_MAX];
    uint32_t count;
    uint32_t next_row; /* the place of the next row */
    uint64_t floor_revision;
} tombstone_log_t;

void tombstone_log_add(tombstone_log_t *log, const char *name,
                       uint64_t revision);

/* Begin anew: what was removed up to that revision is not known. */
void tombstone_log_reset(tombstone_log_t *log, uint64_t floor_revision);

/* Whether all that was removed after a revision is known; not for 0. */
bool tombstone_log_covers(const tombstone_log_t *log, uint64_t since);

/* The next that was removed after it, *at 0 for the first; NULL: no more. */
const tombstone_t *tombstone_log_next(const tombstone_log_t *log,
                                      uint64_t since, uint32_t *cursor);

#endif
