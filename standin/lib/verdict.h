/*
 * Checks a reply of POST /v1/query against its query: whether the claimed
 * coverage is consistent, and whether count and sum are those of the claimed
 * ranges in the claimed index version.
 *
 *     verdict_t v = verdict_check(status, text, size, asked);
 */
#ifndef STANDIN_LIB_VERDICT_H
#define STANDIN_LIB_VERDICT_H

#include "core/outcome.h"
#include "core/range.h"

enum {
    VERDICT_REASON_SIZE = 24,
    VERDICT_ERROR_SIZE = 96,
    VERDICT_MISSING_MAX = 64 /* ranges that a reply lists as missing */
};

typedef struct {
    outcome_t outcome; /* OUTCOME_COUNT: the reply could not be parsed */
    char reason[VERDICT_REASON_SIZE];
    bool wrong;                     /* contradicts itself or the data */
    char error[VERDICT_ERROR_SIZE]; /* if wrong: the first error found */
    uint64_t covered;               /* number of keys */
    uint64_t parts;
    uint64_t attempts;
    uint64_t hedges;
    int64_t retry_after_ms;
} verdict_t;

/* Parses and checks the reply to a query for the range asked. */
verdict_t verdict_check(long http_status, const char *text, size_t size,
                        key_range_t asked);

#endif
