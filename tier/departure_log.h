/*
 * A bounded log of upstreams that were removed from the registry, to recognize
 * them when they are listed again: a store that was restored from a backup
 * lists upstreams that left after the backup was made.
 *
 *     departure_log_add(&log, &(departure_t){...});
 *     const departure_t *row = departure_log_find(&log, id);
 */
#ifndef TIER_DEPARTURE_LOG_H
#define TIER_DEPARTURE_LOG_H

#include "policy/instance.h"

#include <stdbool.h>
#include <stdint.h>

enum { DEPARTURE_LOG_MAX = 512 };

typedef struct {
    char id[INSTANCE_NAME_SIZE];
    int64_t started_ms; /* Unix time of its start; 0: unknown */
    uint64_t revision;  /* store revision up to which it was removed */
    bool leaving;       /* it had said that it was shutting down */
} departure_t;

/* Zeroed: empty. */
typedef struct {
    departure_t rows[DEPARTURE_LOG_MAX];
    uint32_t count;
    uint32_t next_row; /* to write; the oldest row once the log is full */
} departure_log_t;

/* Add a departure; when the log is full the oldest one is dropped. */
void departure_log_add(departure_log_t *log, const departure_t *departure);

/* The latest departure of an upstream; NULL: none is known. */
const departure_t *departure_log_find(const departure_log_t *log,
                                      const char *id);

#endif
