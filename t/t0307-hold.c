/* Holds: precedence, expiry, and equal sets on both sides after merging. */
#include "fleet/hold.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    const char *name;
    hold_t here;
    hold_t there;
    bool out; /* expected on both sides after merging */
} merge_case_t;

#define SOUTH(s, o)                                                           \
    {                                                                         \
        .kind = HOLD_ZONE, .name = "south-1", .by = "ops", .version = 3,      \
        .serial = (s), .out = (o)                                             \
    }

static const merge_case_t merge_cases[] = {
    {"higher serial wins, in service", SOUTH(1, true), SOUTH(2, false), false},
    {"higher serial wins, out of service", SOUTH(3, true), SOUTH(2, false),
     true},
    {"out wins with equal serials", SOUTH(2, true), SOUTH(2, false), true},
    {"both out", SOUTH(1, true), SOUTH(1, true), true},
};

START_TEST(test_merge)
{
    const merge_case_t *c = &merge_cases[_i];
    hold_set_t here = {.count = 1, .holds = {c->here}};
    hold_set_t there = {.count = 1, .holds = {c->there}};
    hold_set_t before = here;
    hold_set_merge(&here, &there);
    hold_set_merge(&there, &before);
    ck_assert(hold_set_is_out(&here, HOLD_ZONE, "south-1") == c->out);
    ck_assert(hold_set_is_out(&there, HOLD_ZONE, "south-1") == c->out);
    ck_assert(!hold_set_is_out(&here, HOLD_VM, "south-1"));
    ck_assert_uint_eq(hold_set_digest(&here), hold_set_digest(&there));
    ck_assert(!hold_set_merge(&here, &there));
}
END_TEST

START_TEST(test_expires_with_its_version)
{
    hold_set_t set = {0};
    ck_assert_uint_eq(hold_set_digest(&set), 0);
    hold_set_change(&set, HOLD_ZONE, "south-1", true, "ops", 3);
    hold_set_change(&set, HOLD_VM, "ledger-desk-g0-r1", true, "ops", 3);
    hold_set_drop(&set, 3);
    ck_assert(hold_set_is_out(&set, HOLD_VM, "ledger-desk-g0-r1"));
    hold_set_change(&set, HOLD_ZONE, "south-1", false, "ops", 3);
    ck_assert(!hold_set_is_out(&set, HOLD_ZONE, "south-1"));
    hold_set_drop(&set, 4);
    ck_assert_uint_eq(set.count, 0);
}
END_TEST

START_TEST(test_text_and_bounds)
{
    hold_set_t set = {0};
    for (unsigned i = 0; i < HOLDS_MAX; i++) {
        char name[NAME_SIZE];
        snprintf(name, sizeof(name), "ledger-desk-refund-g%04u-r%03u", i, i);
        ck_assert_int_eq(
            hold_set_change(&set, HOLD_VM, name, true, "ops", INT64_MAX),
            STATUS_OK);
    }
    ck_assert_int_eq(hold_set_change(&set, HOLD_VM, "more", true, "ops", 1),
                     STATUS_TOO_LARGE);
    char *text = hold_set_format(&set);
    ck_assert_ptr_nonnull(text);
    hold_set_t back;
    ck_assert_int_eq(hold_set_parse(text, strlen(text), &back, NULL),
                     STATUS_OK);
    free(text);
    ck_assert_uint_eq(hold_set_digest(&set), hold_set_digest(&back));
}
END_TEST

static const char *const refused[] = {
    "",
    "{}",
    "[1]",
    "[{\"zone\":true,\"name\":\"\",\"by\":\"o\",\"version\":1,\"serial\":1,"
    "\"out\":true}]",
    "[{\"zone\":true,\"name\":\"z\",\"by\":\"o\",\"version\":1,\"serial\":0,"
    "\"out\":true}]",
    "[{\"zone\":true,\"name\":\"z\",\"by\":\"o\",\"version\":-1,\"serial\":1,"
    "\"out\":true}]",
};

START_TEST(test_refused)
{
    hold_set_t set;
    ck_assert_int_eq(
        hold_set_parse(refused[_i], strlen(refused[_i]), &set, NULL),
        STATUS_INVALID);
    ck_assert_uint_eq(set.count, 0);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("hold");
    tcase_add_loop_test(tests, test_merge, 0,
                        sizeof(merge_cases) / sizeof(merge_cases[0]));
    tcase_add_test(tests, test_expires_with_its_version);
    tcase_add_test(tests, test_text_and_bounds);
    tcase_add_loop_test(tests, test_refused, 0,
                        sizeof(refused) / sizeof(refused[0]));
    return suite_run("hold", tests);
}
