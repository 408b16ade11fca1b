/*
 * Tests the load generator: how it checks and tallies replies, which queries
 * it sends and how it chooses an entry.
 */
#include "standin/lib/answer.h"
#include "standin/lib/directory.h"
#include "standin/lib/mix.h"
#include "standin/lib/tally.h"
#include "t/lib/suite.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static const key_range_t asked = {.lo = 1000, .hi = 101000};

/*
 * A reply that covers the requested range except [gap_lo, gap_hi). The *_off
 * members are added to the correct values to make a field wrong.
 */
typedef struct {
    const char *name;
    long status;
    const char *outcome;
    uint64_t gap_lo;
    uint64_t gap_hi;
    uint64_t sum_off;
    uint64_t count_off;
    uint64_t covered_off;
    uint64_t asked_off;
    uint64_t version; /* claimed; count and sum are those of version 17 */
    double coverage_off;
    bool wrong;
} verdict_case_t;

static const verdict_case_t verdict_cases[] = {
    {"whole", 200, "whole", .version = 17},
    {"partial", 200, "partial", 5000, 26000, .version = 17},
    {"sum of another query", 200, "whole", .sum_off = 1, .version = 17,
     .wrong = true},
    {"count of a part added twice", 200, "whole", .count_off = 7,
     .version = 17, .wrong = true},
    {"data of another version", 200, "whole", .version = 16, .wrong = true},
    {"no version", 200, "whole", .version = 0, .wrong = true},
    {"partial called whole", 200, "whole", 5000, 26000, .version = 17,
     .wrong = true},
    {"whole called partial", 200, "partial", .version = 17, .wrong = true},
    {"covered too high", 200, "partial", 5000, 26000, .covered_off = 1,
     .version = 17, .wrong = true},
    {"coverage too high", 200, "partial", 5000, 26000, .coverage_off = 0.01,
     .version = 17, .wrong = true},
    {"asked of another query", 200, "whole", .asked_off = 1, .version = 17,
     .wrong = true},
    {"gap outside the range", 200, "partial", 500, 26000, .version = 17,
     .wrong = true},
    {"refusal with 200", 200, "not_run", .version = 17, .wrong = true},
    {"refusal", 503, "not_run", .wrong = false},
    {"unknown", 502, "unknown", .wrong = false},
    {"unknown with 503", 503, "unknown", .wrong = true},
};

static size_t
format_reply(const verdict_case_t *c, char *text, size_t max)
{
    key_range_t gap = {.lo = c->gap_lo, .hi = c->gap_hi};
    uint64_t size = key_range_size(asked);
    uint64_t covered = size - key_range_size(gap) + c->covered_off;
    uint64_t sum = answer_sum(asked, 17) + c->sum_off;
    uint64_t count = answer_count(asked, 17) + c->count_off;
    char missing[64] = "";
    if (gap.hi > 0) {
        sum -= answer_sum(gap, 17);
        count -= answer_count(gap, 17);
        (void)snprintf(missing, sizeof(missing), "[%" PRIu64 ",%" PRIu64 "]",
                       gap.lo, gap.hi);
    }
    return (size_t)snprintf(
        text, max,
        "{\"outcome\":\"%s\",\"reason\":\"none\",\"version\":%" PRIu64
        ",\"asked\":%" PRIu64 ",\"covered\":%" PRIu64
        ",\"coverage\":%.9f,\"count\":%" PRIu64 ",\"sum\":\"%" PRIu64
        "\",\"missing\":[%s],\"parts\":3}",
        c->outcome, c->version, size + c->asked_off, covered,
        (double)covered / (double)size + c->coverage_off, count, sum, missing);
}

START_TEST(test_verdict)
{
    const verdict_case_t *c = &verdict_cases[_i];
    char text[512];
    size_t size = format_reply(c, text, sizeof(text));
    verdict_t verdict = verdict_check(c->status, text, size, asked);
    ck_assert_msg(verdict.wrong == c->wrong, "%s: %s", c->name, verdict.error);
    ck_assert_str_eq(outcome_name(verdict.outcome), c->outcome);
    ck_assert_uint_eq(verdict.parts, 3);
    verdict = verdict_check(c->status, text, size - 1, asked);
    ck_assert_msg(verdict.outcome == OUTCOME_COUNT, "%s, cut short", c->name);
}
END_TEST

START_TEST(test_tally)
{
    tally_t tally;
    tally_init(&tally);
    tally_entry_t entry = {
        .service = "a", .asked_keys = 100, .deadline_us = 150000};
    for (int i = 1; i <= 200; i++) {
        entry.latency_us = INT64_C(1000) * i;
        entry.verdict = (verdict_t){.outcome = OUTCOME_WHOLE, .covered = 100};
        tally_add(&tally, &entry);
    }
    entry.service = "b";
    entry.verdict = (verdict_t){.outcome = OUTCOME_NOT_RUN, .reason = "x"};
    for (int i = 0; i < 200; i++) {
        tally_add(&tally, &entry);
    }
    json_t *json = tally_json(&tally);
    double p50 = 0;
    double p99 = 0;
    double coverage = 0;
    json_int_t late = 0;
    json_int_t x = 0;
    ck_assert_int_eq(json_unpack(json, "{s:f, s:f, s:f, s:I, s:{s:I}}",
                                 "p50_ms", &p50, "p99_ms", &p99, "coverage",
                                 &coverage, "late", &late, "reasons", "x", &x),
                     0);
    ck_assert(p50 == 100 && p99 == 198 && coverage == 0.5);
    ck_assert_int_eq(late, 50);
    ck_assert_int_eq(x, 200);
    json_decref(json);
    tally_release(&tally);
}
END_TEST

START_TEST(test_mix)
{
    mix_t mix;
    ck_assert(!mix_parse("a", &mix) && !mix_parse("a=0", &mix));
    ck_assert(!mix_parse("a=1:101", &mix) && !mix_parse("", &mix));
    ck_assert(mix_parse(mix_default, &mix));
    ck_assert(mix.row_count == 8 && mix.rows[2].deadline_ms == 2000);
    ck_assert(mix_parse("a=1,b=3:50", &mix));
    int of_b = 0;
    int once = 0;
    for (uint64_t i = 0; i < 4000; i++) {
        query_plan_t query = mix_query(&mix, (uint64_t)_i, i);
        ck_assert(query.range.lo < query.range.hi);
        ck_assert(query.range.hi <= KEY_END);
        of_b += strcmp(query.row->service, "b") == 0;
        once += query.once;
        ck_assert(!query.once || strcmp(query.row->service, "b") == 0);
    }
    ck_assert_int_ge(of_b, 2850);
    ck_assert_int_le(of_b, 3150);
    ck_assert_int_ge(once, 1350);
    ck_assert_int_le(once, 1650);
}
END_TEST

START_TEST(test_directory)
{
    static const char list[] =
        "{\"entries\":[{\"address\":\"127.0.0.1\",\"port\":1},"
        "{\"address\":\"127.0.0.1\",\"port\":2}],\"keep_ms\":5000}";
    directory_t directory = {.count = 0};
    ck_assert_int_eq(directory_choose(&directory, 0, -1), -1);
    ck_assert(directory_parse(&directory, list, strlen(list), 1));
    ck_assert(!directory_parse(&directory, "{}", 2, 2));
    ck_assert_uint_eq(directory.count, 2);
    ck_assert_int_eq((int)directory.expires_us, 5000001);
    ck_assert_int_eq(directory_choose(&directory, 0, 0), 1);
    directory.entries[1].unreachable = true;
    ck_assert_int_eq(directory_choose(&directory, 0.9, 0), 0);
    directory.entries[0].unreachable = true;
    ck_assert_int_eq(directory_choose(&directory, 0.9, 0), 1);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("verdict");
    tcase_add_loop_test(tests, test_verdict, 0,
                        sizeof(verdict_cases) / sizeof(verdict_cases[0]));
    tcase_add_test(tests, test_tally);
    tcase_add_loop_test(tests, test_mix, 0, 3);
    tcase_add_test(tests, test_directory);
    return suite_run("verdict", tests);
}
