/* docs/EVENTS.md lists exactly the events that the code has. */
#include "edge/event.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { LINE_SIZE = 1024 };

typedef struct {
    int number;
    char name[64];
    char level[16];
} row_t;

/* Read the next row of the page's table; false: there is none. */
static bool
read_row(FILE *page, row_t *row)
{
    char line[LINE_SIZE];
    while (fgets(line, sizeof(line), page) != NULL) {
        if (sscanf(line, "| %d | %63[a-z_] | %15[a-z] |", &row->number,
                   row->name, row->level) == 3) {
            return true;
        }
    }
    return false;
}

START_TEST(test_catalogue)
{
    FILE *page = fopen("docs/EVENTS.md", "re");
    ck_assert_ptr_nonnull(page);
    row_t row;
    int event = 0;
    while (read_row(page, &row)) {
        ck_assert_msg(event < EVENT_COUNT, "row %d does not match an event",
                      row.number);
        ck_assert_int_eq(row.number, event_number((event_t)event));
        ck_assert_str_eq(row.name, event_name((event_t)event));
        event_level_t level;
        ck_assert_msg(event_level_parse(row.level, &level), "%s", row.level);
        ck_assert_int_eq(level, event_level((event_t)event));
        event++;
    }
    ck_assert_msg(event == EVENT_COUNT, "the page lacks event %d",
                  event < EVENT_COUNT ? event_number((event_t)event) : 0);
    fclose(page);
}
END_TEST

START_TEST(test_numbers_rise)
{
    for (int event = 1; event < EVENT_COUNT; event++) {
        ck_assert_int_gt(event_number((event_t)event),
                         event_number((event_t)(event - 1)));
    }
}
END_TEST

START_TEST(test_recent)
{
    event_record_t records[EVENT_RECENT_MAX];
    uint64_t before = event_count(EVENT_STORE_DOWN);
    event_log(EVENT_REQUEST_REFUSED, "not kept");
    for (int i = 0; i < EVENT_RECENT_MAX + 3; i++) {
        event_log(EVENT_STORE_DOWN, "n=%d", i);
    }
    ck_assert_uint_eq(event_count(EVENT_STORE_DOWN),
                      before + EVENT_RECENT_MAX + 3);
    ck_assert_uint_eq(event_recent(records, EVENT_RECENT_MAX),
                      EVENT_RECENT_MAX);
    ck_assert_str_eq(records[0].text, "n=66");
    ck_assert_str_eq(records[EVENT_RECENT_MAX - 1].text, "n=3");
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("events");
    tcase_add_test(tests, test_catalogue);
    tcase_add_test(tests, test_numbers_rise);
    tcase_add_test(tests, test_recent);
    return suite_run("events", tests);
}
