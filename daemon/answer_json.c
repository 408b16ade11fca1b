#include "daemon/answer_json.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum {
    HTTP_OK = 200,
    HTTP_BAD_REQUEST = 400,
    HTTP_BAD_GATEWAY = 502,
    HTTP_UNAVAILABLE = 503,
    US_PER_MS = 1000,
    SUM_TEXT_SIZE = 24
};

void
query_name_format(uint64_t incarnation, uint64_t sequence,
                  char name[QUERY_NAME_SIZE])
{
    snprintf(name, QUERY_NAME_SIZE, "%016" PRIx64 "-%" PRIx64, incarnation,
             sequence);
}

bool
query_name_parse(const char *name, uint64_t *incarnation, uint64_t *sequence)
{
    char *end;
    *incarnation = strtoull(name, &end, 16);
    if (end == name || *end != '-') {
        return false;
    }
    const char *second = end + 1;
    *sequence = strtoull(second, &end, 16);
    return end != second && *end == '\0';
}

static json_t *
missing_json(const query_answer_t *answer)
{
    json_t *missing = json_array();
    for (size_t i = 0; i < answer->missing_count; i++) {
        json_t *range = json_pack("[I, I]", (json_int_t)answer->missing[i].lo,
                                  (json_int_t)answer->missing[i].hi);
        json_array_append_new(missing, range);
    }
    return missing;
}

json_t *
answer_json(const query_answer_t *answer, uint64_t incarnation,
            uint64_t sequence, int64_t took_us)
{
    char name[QUERY_NAME_SIZE];
    char sum[SUM_TEXT_SIZE];
    query_name_format(incarnation, sequence, name);
    snprintf(sum, sizeof(sum), "%" PRIu64, answer->sum);
    double coverage = answer->asked == 0
                          ? 0.0
                          : (double)answer->covered / (double)answer->asked;
    return json_pack(
        "{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:f, s:I, s:s, s:o, s:i, s:i, "
        "s:i, s:I, s:I}",
        "query", name, "outcome", outcome_name(answer->outcome), "reason",
        reason_name(answer->reason), "version", (json_int_t)answer->version,
        "generation", (json_int_t)answer->generation, "asked",
        (json_int_t)answer->asked, "covered", (json_int_t)answer->covered,
        "coverage", coverage, "count", (json_int_t)answer->count, "sum", sum,
        "missing", missing_json(answer), "parts", (int)answer->pieces,
        "attempts", (int)answer->attempts, "hedges", (int)answer->hedges,
        "retry_after_ms", (json_int_t)(answer->retry_after_us / US_PER_MS),
        "took_us", (json_int_t)took_us);
}

unsigned
answer_http_status(const query_answer_t *answer)
{
    switch (answer->outcome) {
    case OUTCOME_NOT_RUN:
        return answer->reason == REASON_BAD_REQUEST ? HTTP_BAD_REQUEST
                                                    : HTTP_UNAVAILABLE;
    case OUTCOME_UNKNOWN:
        return HTTP_BAD_GATEWAY;
    default:
        return HTTP_OK;
    }
}

void
answer_refuse(query_answer_t *answer, reason_t reason, int64_t retry_after_us)
{
    *answer = (query_answer_t){
        .outcome = OUTCOME_NOT_RUN,
        .reason = reason,
        .retry_after_us = retry_after_us,
    };
}
