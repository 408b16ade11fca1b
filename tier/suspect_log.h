/*
 * A bounded log of the requests that other daemons suspect of crashing
 * upstreams, as read from the store, for the daemons that poll this one.
 *
 *     if (suspect_log_add(&log, &report)) {
 *         ... the report is new ...
 *     }
 *     uint32_t cursor = 0;
 *     while ((report = suspect_log_next(&log, since, &cursor)) != NULL) ...
 */
#ifndef TIER_SUSPECT_LOG_H
#define TIER_SUSPECT_LOG_H

#include "tier/members.h"

#include <stdbool.h>
#include <stdint.h>

enum { SUSPECT_LOG_MAX = 256, SUSPECT_KEY_SIZE = MEMBER_NAME_SIZE + 16 };

typedef struct {
    char key[SUSPECT_KEY_SIZE]; /* DAEMON/SLOT, of the daemon that suspects */
    uint64_t fingerprint;
    uint64_t revision; /* store revision of the report */
} suspect_report_t;

/* Zeroed: empty. */
typedef struct {
    suspect_report_t rows[SUSPECT_LOG_MAX];
    uint32_t count;
    uint32_t next_row; /* to write; the oldest row once the log is full */
    uint64_t revision; /* of the newest report */
} suspect_log_t;

/*
 * Add a report; when the log is full the oldest one is dropped. Returns false
 * if the log has it, since each report must count only once: it is received
 * again when its prefix is listed again, and is written again, under a
 * revision of the new era, when the store was restored.
 */
bool suspect_log_add(suspect_log_t *log, const suspect_report_t *report);

/* Iterate over the reports after the revision `since`: set *cursor to 0 before
   the first call. Returns NULL at the end. */
const suspect_report_t *suspect_log_next(const suspect_log_t *log,
                                         uint64_t since, uint32_t *cursor);

#endif
