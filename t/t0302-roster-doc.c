/* The roster document: round trip, limits and invalid documents. */
#include "fleet/roster_doc.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
fill(char *text, size_t size, char with)
{
    memset(text, with, size - 1);
    text[size - 1] = '\0';
}

static roster_member_t
longest_member(size_t i)
{
    roster_member_t member = {
        .incarnation = UINT64_MAX - i,
        .http_port = UINT16_MAX,
        .peer_port = UINT16_MAX,
        .renewals = INT64_MAX,
        .acked_version = INT64_MAX,
        .joined = INT64_MAX,
        .leaving = true,
        .replaced = true,
    };
    fill(member.name, sizeof(member.name), 'a');
    member.name[0] = (char)('A' + i);
    fill(member.zone, sizeof(member.zone), 'z');
    fill(member.address, sizeof(member.address), 'f');
    return member;
}

START_TEST(test_largest_round_trip)
{
    roster_doc_t doc = {.version = INT64_MAX};
    for (size_t i = ROSTER_MEMBERS_MAX; i-- > 0;) {
        roster_member_t member = longest_member(i);
        ck_assert(roster_doc_add(&doc, &member));
    }
    roster_member_t extra = longest_member(ROSTER_MEMBERS_MAX);
    ck_assert(!roster_doc_add(&doc, &extra));
    fill(doc.removed_name, sizeof(doc.removed_name), 'r');
    fill(doc.removed_zone, sizeof(doc.removed_zone), 'z');
    char *text = roster_doc_format(&doc);
    ck_assert_ptr_nonnull(text);
    roster_doc_t back;
    ck_assert_int_eq(roster_doc_parse(text, strlen(text), &back, NULL),
                     STATUS_OK);
    char *again = roster_doc_format(&back);
    ck_assert_str_eq(text, again);
    free(text);
    free(again);
    ck_assert_uint_eq(back.members[31].incarnation, UINT64_MAX - 31);
    ck_assert_uint_eq(back.members[31].renewals, INT64_MAX);
    ck_assert(back.members[31].leaving && back.members[31].replaced);
    ck_assert_str_eq(back.removed_name, doc.removed_name);
    roster_doc_remove(&back, 3);
    ck_assert_uint_eq(back.count, ROSTER_MEMBERS_MAX - 1);
    ck_assert_int_eq(roster_doc_find(&back, doc.members[3].name), -1);
    ck_assert_int_eq(roster_doc_find(&back, doc.members[4].name), 3);
}
END_TEST

#define MEMBER(name, http, joined)                                            \
    "{\"name\":\"" name "\",\"incarnation\":\"0a\",\"zone\":\"z\","           \
    "\"address\":\"10.0.0.1\",\"http_port\":" http ",\"peer_port\":2,"        \
    "\"renewals\":1,\"seen\":1,\"joined\":" joined ",\"leaving\":false}"

static const char *const refused[] = {
    "",
    "[]",
    "{\"version\":1}",
    "{\"version\":-1,\"members\":[]}",
    "{\"version\":1,\"members\":{}}",
    "{\"version\":1,\"version\":2,\"members\":[]}",
    "{\"version\":1,\"members\":[{}]}",
    "{\"version\":1,\"members\":[" MEMBER("", "1", "1") "]}",
    "{\"version\":1,\"members\":[" MEMBER("a", "65536", "1") "]}",
    "{\"version\":1,\"members\":[" MEMBER("a", "1", "2") "]}",
    "{\"version\":1,\"members\":[" MEMBER("a", "1", "1") "," MEMBER("a", "1",
                                                                    "1") "]}",
    "{\"version\":1,\"members\":[" MEMBER("a2345678901234567890123456789012",
                                          "1", "1") "]}",
    "{\"version\":1,\"members\":[],\"removed\":{\"name\":\"a\"}}",
};

START_TEST(test_refused)
{
    roster_doc_t doc;
    error_t err = ERROR_INIT;
    ck_assert_int_eq(
        roster_doc_parse(refused[_i], strlen(refused[_i]), &doc, &err),
        STATUS_INVALID);
    ck_assert_uint_eq(doc.count, 0);
    ck_assert_int_eq(err.status, STATUS_INVALID);
}
END_TEST

START_TEST(test_accepted_and_too_large)
{
    const char *good =
        "{\"version\":1,\"members\":[" MEMBER("a", "65535", "1") "]}";
    roster_doc_t doc;
    ck_assert_int_eq(roster_doc_parse(good, strlen(good), &doc, NULL),
                     STATUS_OK);
    ck_assert_uint_eq(doc.members[0].incarnation, 10);
    ck_assert_int_eq(roster_doc_parse(good, ROSTER_TEXT_MAX + 1, &doc, NULL),
                     STATUS_TOO_LARGE);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("roster document");
    tcase_add_test(tests, test_largest_round_trip);
    tcase_add_loop_test(tests, test_refused, 0,
                        sizeof(refused) / sizeof(refused[0]));
    tcase_add_test(tests, test_accepted_and_too_large);
    return suite_run("roster document", tests);
}
