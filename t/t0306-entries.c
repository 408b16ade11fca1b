/* Entry points: order by zone, and when unusable daemons are listed. */
#include "fleet/entries.h"
#include "t/lib/suite.h"

#include <string.h>

enum { CANDIDATES = 6 };

typedef struct {
    const char *name;
    entry_candidate_t candidates[CANDIDATES]; /* ends at a NULL name */
    const char *zone;
    const char *first;   /* names allowed in first place, one letter each */
    const char *allowed; /* names allowed in any place */
    size_t count;
    bool none_usable; /* cached for ENTRIES_KEEP_UNUSABLE_MS */
} entries_case_t;

static const entries_case_t entries_cases[] = {
    {"own zone first, other zones after",
     {{"a", "z1", MEMBER_ALIVE, false, false},
      {"b", "z2", MEMBER_ALIVE, false, false},
      {"c", "z1", MEMBER_ALIVE, false, false}},
     "z1",
     "ac",
     "abc",
     3,
     false},
    {"none in the own zone",
     {{"a", "z1", MEMBER_ALIVE, false, false},
      {"b", "z2", MEMBER_ALIVE, false, false}},
     "z3",
     "ab",
     "ab",
     2,
     false},
    {"leaving, out, suspect and dead are left out",
     {{"a", "z1", MEMBER_ALIVE, true, false},
      {"b", "z1", MEMBER_ALIVE, false, true},
      {"c", "z1", MEMBER_SUSPECT, false, false},
      {"d", "z1", MEMBER_DEAD, false, false},
      {"e", "z1", MEMBER_DEAF, false, false},
      {"f", "z2", MEMBER_ALIVE, false, false}},
     "z1",
     "f",
     "f",
     1,
     false},
    {"no daemon usable, best first",
     {{"a", "z1", MEMBER_DEAD, false, false},
      {"b", "z1", MEMBER_ALIVE, false, true},
      {"c", "z1", MEMBER_ALIVE, true, false},
      {"d", "z2", MEMBER_SUSPECT, false, false}},
     "z1",
     "d",
     "abcd",
     4,
     true},
    {"only a dead daemon",
     {{"a", "z1", MEMBER_DEAD, false, false}},
     "z1",
     "a",
     "a",
     1,
     true},
    {"no zone given",
     {{"a", "z1", MEMBER_ALIVE, false, false},
      {"b", "z2", MEMBER_ALIVE, false, false}},
     "",
     "ab",
     "ab",
     2,
     false},
    {"no daemon", {{0}}, "z1", "", "", 0, true},
};

START_TEST(test_pick)
{
    const entries_case_t *c = &entries_cases[_i];
    size_t count = 0;
    while (count < CANDIDATES && c->candidates[count].name != NULL) {
        count++;
    }
    size_t firsts[CANDIDATES] = {0};
    for (uint64_t seed = 0; seed < 200; seed++) {
        size_t picked[ENTRIES_MAX];
        uint32_t keep_ms;
        size_t found = entries_pick(c->candidates, count, c->zone, seed,
                                    picked, ENTRIES_MAX, &keep_ms);
        ck_assert_msg(found == c->count, "%s: %zu", c->name, found);
        for (size_t i = 0; i < found; i++) {
            const char *name = c->candidates[picked[i]].name;
            ck_assert_msg(strstr(i == 0 ? c->first : c->allowed, name) != NULL,
                          "%s: %s at %zu", c->name, name, i);
        }
        if (found > 0) {
            firsts[picked[0]]++;
        }
        ck_assert_msg(keep_ms <= ENTRIES_KEEP_MS &&
                          (keep_ms == ENTRIES_KEEP_UNUSABLE_MS) ==
                              c->none_usable,
                      "%s: keep %u", c->name, keep_ms);
    }
    size_t fair = c->first[0] == '\0' ? 0 : 200 / strlen(c->first);
    for (size_t i = 0; i < count; i++) {
        bool first = strstr(c->first, c->candidates[i].name) != NULL;
        ck_assert_msg(!first || firsts[i] > fair / 2, "%s: %s was first %zu",
                      c->name, c->candidates[i].name, firsts[i]);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("entries");
    tcase_add_loop_test(tests, test_pick, 0,
                        sizeof(entries_cases) / sizeof(entries_cases[0]));
    return suite_run("entries", tests);
}
