/* Tests which tables are accepted and how errors in a table are located. */
#include "core/table_row.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROW                                                                   \
    "rows:\n- service: ledger-desk\n  class: desk\n  deadline_ms: 300\n"      \
    "  upstream_slots: 4\n  upstream_connections: 35\n  zone_slots: 60\n"     \
    "  service_slots: 120\n"

typedef struct {
    const char *name;
    const char *text;
    size_t row;
    const char *column;
    const char *message; /* a substring of the message */
} fault_case_t;

static const fault_case_t yaml_faults[] = {
    {"unknown column", ROW "  wieght: 3\n", 1, "wieght", "unknown column"},
    {"duplicate column", ROW "  class: batch\n", 1, "class",
     "line 9: duplicate key class, first used on line 3"},
    {"zero weight", ROW "  weight: 0\n", 1, "weight", "found 0, expected"},
    {"weight too large", ROW "  weight: 1001\n", 1, "weight", "1 to 1000"},
    {"negative", ROW "  weight: -1\n", 1, "weight", "found -1"},
    {"beyond 32 bits", ROW "  weight: 4294967297\n", 1, "weight",
     "found 4294967297"},
    {"beyond 64 bits", ROW "  weight: 99999999999999999999\n", 1, "weight",
     "1 to 1000"},
    {"octal notation", ROW "  weight: 010\n", 1, "weight", "found \"010\""},
    {"quoted number", ROW "  weight: \"10\"\n", 1, "weight", "found \"10\""},
    {"fraction", ROW "  weight: 1.5\n", 1, "weight", "found \"1.5\""},
    {"list in a cell", ROW "  weight: [1]\n", 1, "weight", "line 9"},
    {"second row", ROW "- service: x\n  class: desks\n", 2, "class",
     "found \"desks\", expected desk, online or batch"},
    {"missing column", "rows:\n- service: x\n  class: desk\n", 1,
     "deadline_ms", "required"},
    {"missing service", "rows:\n- class: desk\n", 1, "service", "required"},
    {"invalid name", "rows:\n- service: Desk\n", 1, "service",
     "found \"Desk\""},
    {"long name", "rows:\n- service: abcdefghijklmnopqrstuvwxyz0123456\n", 1,
     "service", "1 to 31"},
    {"held_connections too large", ROW "  held_connections: 36\n", 1,
     "held_connections", "at most upstream_connections, 35"},
    {"cold_slots too large", ROW "  cold_slots: 5\n", 1, "cold_slots",
     "at most upstream_slots, 4"},
    {"added_load_percent too large", ROW "  added_load_percent: 101\n", 1,
     "added_load_percent", "0 to 100"},
    {"zone limit not a number", ROW "  zone_limits: {south-1: many}\n", 1,
     "zone_limits", "found \"many\""},
    {"duplicate zone limit", ROW "  zone_limits: {a: 1, a: 2}\n", 1,
     "zone_limits", "duplicate key a, first used on line 9"},
    {"invalid zone name", ROW "  zone_limits: {A: 1}\n", 1, "zone_limits",
     "found zone 'A'"},
    {"zone limits not a mapping", ROW "  zone_limits: 3\n", 1, "zone_limits",
     "found 3"},
    {"nested too deep", ROW "  zone_limits: {a: {b: 1}}\n", 1, "zone_limits",
     "line 9"},
    {"unknown top key", "colour: red\n" ROW, 0, "colour", "line 1: unknown"},
    {"duplicate top key", ROW "rows: []\n", 0, "rows", "duplicate key rows"},
    {"no rows", "rows: []\n", 0, "rows", "found 0 rows, expected 1 to 256"},
    {"rows not a list", "rows: 3\n", 0, "rows",
     "rows is missing or not a list"},
    {"row not a mapping", "rows:\n- 3\n", 1, "rows", "line 2"},
    {"document not a mapping", "- 3\n", 0, "rows", "line 1"},
    {"empty", "", 0, "rows", "found no document"},
    {"syntax", "rows: [\n", 0, "rows", "table:2"},
    {"two documents", ROW "---\n" ROW, 0, "rows", "second document"},
    {"alias to itself", "rows: &a\n- *a\n", 1, "rows",
     "the row is not a mapping"},
};

START_TEST(test_yaml_faults)
{
    const fault_case_t *c = &yaml_faults[_i];
    config_t *config;
    table_fault_t fault;
    error_t err = ERROR_INIT;
    status_t status =
        table_parse_yaml(c->text, strlen(c->text), &config, &fault, &err);
    ck_assert_msg(status == STATUS_INVALID, "%s", c->name);
    ck_assert_ptr_null(config);
    ck_assert_msg(fault.row == c->row, "%s: row %zu", c->name, fault.row);
    ck_assert_msg(strcmp(fault.column, c->column) == 0, "%s: column %s",
                  c->name, fault.column);
    ck_assert_msg(strstr(fault.message, c->message) != NULL, "%s: %s", c->name,
                  fault.message);
    ck_assert_msg(strstr(error_text(&err), c->column) != NULL, "%s: %s",
                  c->name, error_text(&err));
}
END_TEST

START_TEST(test_yaml_duplicate_service)
{
    char text[2048];
    snprintf(text, sizeof(text), "%s%s", ROW, strchr(ROW, '-'));
    config_t *config;
    table_fault_t fault;
    error_t err = ERROR_INIT;
    ck_assert_int_eq(
        table_parse_yaml(text, strlen(text), &config, &fault, &err),
        STATUS_INVALID);
    ck_assert_uint_eq(fault.row, 2);
    ck_assert_str_eq(fault.column, "service");
    ck_assert_ptr_nonnull(strstr(fault.message, "already in row 1"));
}
END_TEST

START_TEST(test_defaults_and_round_trip)
{
    static const char text[] = ROW "  zone_limits: {south-1: 0, b: 7}\n";
    config_t *config;
    error_t err = ERROR_INIT;
    ck_assert_int_eq(table_parse_yaml(text, strlen(text), &config, NULL, &err),
                     STATUS_OK);
    const table_row_t *row = config_row(config, "ledger-desk");
    ck_assert_ptr_nonnull(row);
    ck_assert_uint_eq(row->weight, 10);
    ck_assert_uint_eq(row->tenant_slots, 120);
    ck_assert_uint_eq(table_row_zone_slots(row, "south-1"), 0);
    ck_assert_uint_eq(table_row_zone_slots(row, "south-2"), 60);
    ck_assert_int_eq(config_set_zone_out(config, "south-1", true, &err),
                     STATUS_OK);
    ck_assert_int_eq(config_set_vm_out(config, "vm-1", true, &err), STATUS_OK);
    for (int i = 0; i < CONFIG_HISTORY_MAX + 1; i++) {
        config_advance(config, CHANGE_VM, "x-1", "carol");
    }
    ck_assert(config_history_covers(config, 2));
    ck_assert(!config_history_covers(config, 1));
    char *first = config_format_json(config);
    config_t *copy = config_copy(config);
    config_put(config);
    config_t *back;
    ck_assert_int_eq(config_parse_json(first, strlen(first), &back, &err),
                     STATUS_OK);
    char *second = config_format_json(back);
    char *third = config_format_json(copy);
    ck_assert_str_eq(first, second);
    ck_assert_str_eq(first, third);
    ck_assert(config_zone_is_out(back, "south-1"));
    ck_assert(config_vm_is_out(back, "vm-1"));
    ck_assert(!config_zone_is_out(back, "vm-1"));
    config_put(back);
    config_put(copy);
    free(first);
    free(second);
    free(third);
}
END_TEST

typedef struct {
    const char *name;
    const char *text;
    const char *message; /* a substring of the error's text */
} json_case_t;

static const json_case_t json_faults[] = {
    {"not JSON", "{", "line 1"},
    {"not an object", "[]", "the document is not an object"},
    {"duplicate key", "{\"version\":1,\"version\":2}", "duplicate"},
    {"unknown key", "{\"version\":1,\"rows\":[],\"x\":1}", "x: unknown key"},
    {"no version", "{\"rows\":[]}", "version"},
    {"negative version", "{\"version\":-1,\"rows\":[]}", "version"},
    {"no rows", "{\"version\":1}", "rows"},
    {"row not an object", "{\"version\":1,\"rows\":[7]}",
     "row 1, column rows"},
    {"invalid state", "{\"version\":1,\"rows\":[],\"zones\":{\"a\":\"of\"}}",
     "invalid state for a"},
    {"invalid VM name", "{\"version\":1,\"rows\":[],\"vms\":{\"A!\":\"out\"}}",
     "found name 'A!'"},
    {"invalid change id", "{\"version\":1,\"rows\":[],\"change\":\"A B\"}",
     "change"},
    {"history with a gap",
     "{\"version\":3,\"rows\":[],\"history\":[{\"version\":1,\"kind\":\"vm\"},"
     "{\"version\":3,\"kind\":\"vm\"}]}",
     "increase by one"},
    {"history of unknown kind",
     "{\"version\":1,\"rows\":[],\"history\":[{\"version\":1}]}",
     "unknown kind"},
    {"history not a list", "{\"version\":1,\"rows\":[],\"history\":{}}",
     "at most 32"},
    {"unprintable key", "{\"version\":1,\"rows\":[{\"\\u0001\":1}]}",
     "column ?"},
};

START_TEST(test_json_faults)
{
    const json_case_t *c = &json_faults[_i];
    config_t *config;
    error_t err = ERROR_INIT;
    ck_assert_msg(config_parse_json(c->text, strlen(c->text), &config, &err) ==
                      STATUS_INVALID,
                  "%s", c->name);
    ck_assert_ptr_null(config);
    ck_assert_msg(strstr(error_text(&err), c->message) != NULL, "%s: %s",
                  c->name, error_text(&err));
}
END_TEST

/* docs/OPERATING.md has a valid example table and lists every column. */
START_TEST(test_operating_page)
{
    static char page[65536];
    FILE *stream = fopen("docs/OPERATING.md", "re");
    ck_assert_ptr_nonnull(stream);
    page[fread(page, 1, sizeof(page) - 1, stream)] = '\0';
    fclose(stream);
    char *start = strstr(page, "rows:\n  - service");
    ck_assert_ptr_nonnull(start);
    config_t *config;
    error_t err = ERROR_INIT;
    size_t size = (size_t)(strstr(start, "```") - start);
    ck_assert_msg(table_parse_yaml(start, size, &config, NULL, &err) ==
                      STATUS_OK,
                  "%s", error_text(&err));
    for (size_t i = 0; i < TABLE_COLUMN_COUNT; i++) {
        char row[64];
        snprintf(row, sizeof(row), "| `%s` | ", table_columns[i].name);
        ck_assert_msg(strstr(page, row) != NULL, "%s", row);
    }
    config_put(config);
}
END_TEST

START_TEST(test_zones_out)
{
    config_t *config = config_new();
    error_t err = ERROR_INIT;
    char name[NAME_SIZE];
    for (int i = 0; i < CONFIG_ZONES_OUT_MAX; i++) {
        snprintf(name, sizeof(name), "z%d", (i * 37) % CONFIG_ZONES_OUT_MAX);
        ck_assert_int_eq(config_set_zone_out(config, name, true, &err),
                         STATUS_OK);
        ck_assert_int_eq(config_set_zone_out(config, name, true, &err),
                         STATUS_OK);
    }
    ck_assert_uint_eq(config->zone_out_count, CONFIG_ZONES_OUT_MAX);
    ck_assert_int_eq(config_set_zone_out(config, "more", true, &err),
                     STATUS_TOO_LARGE);
    ck_assert_int_eq(config_set_zone_out(config, "Z", true, &err),
                     STATUS_INVALID);
    ck_assert_int_eq(config_set_zone_out(config, "z17", false, &err),
                     STATUS_OK);
    ck_assert(!config_zone_is_out(config, "z17"));
    ck_assert(config_zone_is_out(config, "z18"));
    ck_assert_uint_eq(config->zone_out_count, CONFIG_ZONES_OUT_MAX - 1);
    config_put(config);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("table");
    tcase_add_loop_test(tests, test_yaml_faults, 0,
                        sizeof(yaml_faults) / sizeof(yaml_faults[0]));
    tcase_add_loop_test(tests, test_json_faults, 0,
                        sizeof(json_faults) / sizeof(json_faults[0]));
    tcase_add_test(tests, test_yaml_duplicate_service);
    tcase_add_test(tests, test_defaults_and_round_trip);
    tcase_add_test(tests, test_zones_out);
    tcase_add_test(tests, test_operating_page);
    return suite_run("table", tests);
}
