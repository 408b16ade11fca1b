/*
 * A bounded log of recent removals (tombstones): names and the store revisions
 * at which they were removed, so that other daemons can be sent incremental
 * updates. Removals up to the floor revision may be missing.
 *
 *     tombstone_log_add(&log, name, revision);
 *     if (tombstone_log_covers(&log, since)) {
 *         uint32_t cursor = 0;
 *         while ((row = tombstone_log_next(&log, since, &cursor)) != NULL) ...
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

/* Zeroed: an empty log with floor revision 0. */
typedef struct {
    tombstone_t rows[TOMBSTONE_LOG_MAX];
    uint32_t count;
    uint32_t next_row; /* to write; the oldest row once the log is full */
    uint64_t floor_revision;
} tombstone_log_t;

/* Add a removal; when the log is full the oldest one is dropped. */
void tombstone_log_add(tombstone_log_t *log, const char *name,
                       uint64_t revision);

/* Clear the log: removals up to the floor revision are unknown. */
void tombstone_log_reset(tombstone_log_t *log, uint64_t floor_revision);

/* Whether the log has all removals after the revision `since`; false for 0. */
bool tombstone_log_covers(const tombstone_log_t *log, uint64_t since);

/* Iterate over the removals after `since`: set *cursor to 0 before the first
   call. Returns NULL at the end. */
const tombstone_t *tombstone_log_next(const tombstone_log_t *log,
                                      uint64_t since, uint32_t *cursor);

#endif
