/* Key ranges, and range sets as used for coverage. */
#include "core/range.h"
#include "t/lib/suite.h"

typedef struct {
    const char *name;
    key_range_t added[4];
    size_t count;
    uint64_t size;
    size_t missing; /* gaps left in [0, 100) */
} range_case_t;

static const range_case_t range_cases[] = {
    {"empty", {{0, 0}}, 0, 0, 1},
    {"whole", {{0, 100}}, 1, 100, 0},
    {"a range added twice counts once", {{10, 20}, {10, 20}}, 2, 10, 2},
    {"an overlap counts once", {{0, 60}, {40, 100}}, 2, 100, 0},
    {"adjacent ranges are merged", {{0, 50}, {50, 100}}, 2, 100, 0},
    {"a range merges two others", {{0, 10}, {90, 100}, {5, 95}}, 3, 100, 0},
    {"gaps", {{10, 20}, {30, 40}, {80, 90}}, 3, 30, 4},
    {"an inverted range adds nothing", {{20, 10}}, 1, 0, 1},
};

START_TEST(test_range_set)
{
    const range_case_t *c = &range_cases[_i];
    range_set_t set;
    range_set_init(&set);
    for (size_t i = 0; i < c->count; i++) {
        ck_assert(range_set_add(&set, c->added[i]));
    }
    ck_assert_msg(range_set_size(&set) == c->size, "%s", c->name);
    key_range_t gaps[4];
    key_range_t whole = {.lo = 0, .hi = 100};
    size_t missing = range_set_missing(&set, whole, gaps, 4);
    ck_assert_msg(missing == c->missing, "%s", c->name);
    for (size_t i = 0; i < missing; i++) {
        ck_assert(!range_set_overlaps(&set, gaps[i]));
        ck_assert(range_set_add(&set, gaps[i]));
    }
    ck_assert_uint_eq(range_set_size(&set), 100);
    ck_assert_uint_eq(set.count, 1);
    range_set_release(&set);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("range");
    tcase_add_loop_test(tests, test_range_set, 0,
                        sizeof(range_cases) / sizeof(range_cases[0]));
    return suite_run("range", tests);
}
