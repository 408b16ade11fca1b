#include "standin/lib/verdict.h"

#include "standin/lib/answer.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COVERAGE_TOLERANCE 1e-6

typedef struct {
    const char *outcome;
    const char *reason;
    const char *sum;
    json_int_t version;
    json_int_t asked;
    json_int_t covered;
    json_int_t count;
    json_int_t parts;
    json_int_t attempts;
    json_int_t hedges;
    json_int_t retry_after_ms;
    double coverage;
    json_t *missing;
} reply_t;

static bool
reply_read(json_t *json, reply_t *reply)
{
    *reply = (reply_t){.sum = "0", .reason = "none"};
    return json_unpack(
               json,
               "{s:s, s?s, s?s, s?I, s?I, s?I, s?I, s?I, s?I, s?I, s?I, s?F,"
               " s?o}",
               "outcome", &reply->outcome, "reason", &reply->reason, "sum",
               &reply->sum, "version", &reply->version, "asked", &reply->asked,
               "covered", &reply->covered, "count", &reply->count, "parts",
               &reply->parts, "attempts", &reply->attempts, "hedges",
               &reply->hedges, "retry_after_ms", &reply->retry_after_ms,
               "coverage", &reply->coverage, "missing", &reply->missing) == 0;
}

static outcome_t
outcome_parse(const char *name)
{
    for (int outcome = 0; outcome < OUTCOME_COUNT; outcome++) {
        if (strcmp(name, outcome_name((outcome_t)outcome)) == 0) {
            return (outcome_t)outcome;
        }
    }
    return OUTCOME_COUNT;
}

static void
verdict_set_wrong(verdict_t *verdict, const char *error)
{
    if (!verdict->wrong) {
        verdict->wrong = true;
        (void)snprintf(verdict->error, sizeof(verdict->error), "%s", error);
    }
}

typedef struct {
    uint64_t keys;
    uint64_t count;
    uint64_t sum;
} expected_t;

static void
expected_subtract(expected_t *expected, key_range_t range, uint64_t version)
{
    expected->keys -= key_range_size(range);
    expected->count -= answer_count(range, version);
    expected->sum -= answer_sum(range, version);
}

/*
 * Computes keys, count and sum of the ranges that the reply claims to cover.
 * Returns false if its missing ranges are malformed, not in ascending order or
 * outside the query's range.
 */
static bool
expected_read(const reply_t *reply, key_range_t asked, expected_t *expected)
{
    uint64_t version = (uint64_t)reply->version;
    uint64_t next_lo = asked.lo;
    *expected = (expected_t){.keys = key_range_size(asked),
                             .count = answer_count(asked, version),
                             .sum = answer_sum(asked, version)};
    for (size_t i = 0; i < json_array_size(reply->missing); i++) {
        json_int_t lo = 0;
        json_int_t hi = 0;
        if (json_unpack(json_array_get(reply->missing, i), "[I, I]", &lo,
                        &hi) != 0) {
            return false;
        }
        key_range_t gap = {.lo = (uint64_t)lo, .hi = (uint64_t)hi};
        if (gap.lo < next_lo || gap.lo >= gap.hi || gap.hi > asked.hi) {
            return false;
        }
        expected_subtract(expected, gap, version);
        next_lo = gap.hi;
    }
    return true;
}

static void
check_data(const reply_t *reply, const expected_t *expected,
           verdict_t *verdict)
{
    if (expected->keys != verdict->covered) {
        verdict_set_wrong(verdict, "covered is not asked minus missing");
    }
    if (reply->version <= 0) {
        verdict_set_wrong(verdict, "version must be positive");
    }
    if ((uint64_t)reply->count != expected->count) {
        verdict_set_wrong(verdict, "count does not match the covered ranges");
    }
    if (strtoull(reply->sum, NULL, 10) != expected->sum) {
        verdict_set_wrong(verdict, "sum does not match the covered ranges");
    }
}

static void
check_answer(const reply_t *reply, key_range_t asked, verdict_t *verdict)
{
    uint64_t size = key_range_size(asked);
    double coverage = (double)verdict->covered / (double)size;
    double difference = coverage - reply->coverage;
    if ((uint64_t)reply->asked != size) {
        verdict_set_wrong(verdict, "asked does not match the query's range");
    }
    if (difference > COVERAGE_TOLERANCE || difference < -COVERAGE_TOLERANCE) {
        verdict_set_wrong(verdict, "coverage is not covered divided by asked");
    }
    if ((verdict->outcome == OUTCOME_WHOLE) != (verdict->covered == size)) {
        verdict_set_wrong(verdict, "outcome does not match covered");
    }
    /* A full list may be truncated, so it does not tell which keys were
       covered. */
    if (json_array_size(reply->missing) >= VERDICT_MISSING_MAX ||
        verdict->covered == 0) {
        return;
    }
    expected_t expected;
    if (expected_read(reply, asked, &expected)) {
        check_data(reply, &expected, verdict);
    }
    else {
        verdict_set_wrong(verdict, "missing has an invalid range");
    }
}

static void
check_status(long http_status, const reply_t *reply, verdict_t *verdict)
{
    static const long statuses[OUTCOME_COUNT] = {
        [OUTCOME_WHOLE] = 200,
        [OUTCOME_PARTIAL] = 200,
        [OUTCOME_NOT_RUN] = 503,
        [OUTCOME_UNKNOWN] = 502,
    };
    long expected_status = statuses[verdict->outcome];
    if (verdict->outcome == OUTCOME_NOT_RUN &&
        strcmp(reply->reason, reason_name(REASON_BAD_REQUEST)) == 0) {
        expected_status = 400;
    }
    if (http_status != expected_status) {
        verdict_set_wrong(verdict, "HTTP status does not match the outcome");
    }
}

verdict_t
verdict_check(long http_status, const char *text, size_t size,
              key_range_t asked)
{
    verdict_t verdict = {.outcome = OUTCOME_COUNT};
    json_t *json = json_loadb(text, size, 0, NULL);
    reply_t reply;
    if (reply_read(json, &reply)) {
        verdict.outcome = outcome_parse(reply.outcome);
    }
    if (verdict.outcome != OUTCOME_COUNT) {
        (void)snprintf(verdict.reason, sizeof(verdict.reason), "%s",
                       reply.reason);
        verdict.covered = (uint64_t)reply.covered;
        verdict.parts = (uint64_t)reply.parts;
        verdict.attempts = (uint64_t)reply.attempts;
        verdict.hedges = (uint64_t)reply.hedges;
        verdict.retry_after_ms = reply.retry_after_ms;
        check_status(http_status, &reply, &verdict);
        if (verdict.outcome <= OUTCOME_PARTIAL) {
            check_answer(&reply, asked, &verdict);
        }
    }
    json_decref(json);
    return verdict;
}
