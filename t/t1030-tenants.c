/* Tenants by key and by name, and handles across versions. */
#include "daemon/clock.h"
#include "platform/documents.h"
#include "policy/tenant.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <string.h>

enum { SEED = 7 };

/* Two tenants hold "both"; "k1" is listed twice by the same tenant. */
static void
table_fill(tenant_table_t *table)
{
    static const char *const keys[][4] = {{"k1", "k1", "both", "long-key-1"},
                                          {"k2", "both", "k3", "k4"}};
    static const tenant_key_result_t results[][4] = {
        {TENANT_KEY_ADDED, TENANT_KEY_ADDED, TENANT_KEY_ADDED,
         TENANT_KEY_ADDED},
        {TENANT_KEY_ADDED, TENANT_KEY_SHARED, TENANT_KEY_ADDED,
         TENANT_KEY_ADDED}};
    static const char *const names[] = {"t1", "t2"};
    tenant_table_init(table, SEED);
    for (uint32_t i = 0; i < 2; i++) {
        const tenant_t *tenant = tenant_table_add(table, names[i]);
        ck_assert_ptr_nonnull(tenant);
        ck_assert_uint_eq(tenant->index, i);
        for (int j = 0; j < 4; j++) {
            ck_assert_int_eq(tenant_table_add_key(table, i, keys[i][j]),
                             results[i][j]);
        }
    }
    tenant_table_seal(table);
}

typedef struct {
    const char *key;
    uint32_t tenant;
} key_case_t;

static const key_case_t key_cases[] = {
    {"k1", 0},
    {"long-key-1", 0},
    {"k2", 1},
    {"k3", 1},
    {"both", TENANT_NONE}, /* held by two tenants, so valid for neither */
    {"k", TENANT_NONE},    /* the start of a key */
    {"k11", TENANT_NONE},  /* a key and more */
    {"long-key-2", TENANT_NONE},
    {"", TENANT_NONE},
    {"t1", TENANT_NONE}, /* a name is no key */
};

/* A key finds its own tenant and no other. */
START_TEST(test_find_key)
{
    const key_case_t *c = &key_cases[_i];
    tenant_table_t table;
    table_fill(&table);
    ck_assert_msg(tenant_table_find_key(&table, c->key, strlen(c->key)) ==
                      c->tenant,
                  "%s", c->key);
    tenant_table_release(&table);
    ck_assert_uint_eq(tenant_table_find_key(&table, "k1", 2), TENANT_NONE);
}
END_TEST

/* Names are unique, and a sealed table takes nothing. */
START_TEST(test_names_and_seal)
{
    tenant_table_t table;
    tenant_table_init(&table, SEED);
    ck_assert_ptr_nonnull(tenant_table_add(&table, "t1"));
    ck_assert_ptr_null(tenant_table_add(&table, "t1"));
    tenant_table_seal(&table);
    ck_assert_ptr_null(tenant_table_add(&table, "t2"));
    ck_assert_int_eq(tenant_table_add_key(&table, 0, "k"), TENANT_KEY_FAILED);
    ck_assert_uint_eq(tenant_table_find_name(&table, "t1"), 0);
    ck_assert_uint_eq(tenant_table_find_name(&table, "t2"), TENANT_NONE);
    tenant_table_release(&table);
}
END_TEST

/* A key that a third tenant lists stays invalid for all of them. */
START_TEST(test_key_of_three)
{
    tenant_table_t table;
    tenant_table_init(&table, SEED);
    for (uint32_t i = 0; i < 3; i++) {
        char name[8];
        snprintf(name, sizeof(name), "t%u", i);
        ck_assert_ptr_nonnull(tenant_table_add(&table, name));
        ck_assert_int_eq(tenant_table_add_key(&table, i, "k"),
                         i == 0 ? TENANT_KEY_ADDED : TENANT_KEY_SHARED);
        ck_assert_uint_eq(tenant_table_find_key(&table, "k", 1),
                          i == 0 ? 0 : TENANT_NONE);
    }
    tenant_table_release(&table);
}
END_TEST

/* Handles stay the same when other names come. */
START_TEST(test_handles)
{
    tenant_names_t names = {0};
    char name[16];
    for (uint32_t i = 0; i < 1000; i++) {
        snprintf(name, sizeof(name), "t%u", i);
        ck_assert_uint_eq(tenant_names_find(&names, name), TENANT_NONE);
        ck_assert_uint_eq(tenant_names_intern(&names, name), i);
    }
    ck_assert_uint_eq(tenant_names_intern(&names, "t17"), 17);
    ck_assert_str_eq(tenant_names_text(&names, 17), "t17");
    ck_assert_ptr_null(tenant_names_text(&names, 1000));
    ck_assert_ptr_null(tenant_names_text(&names, TENANT_NONE));
    tenant_names_release(&names);
}
END_TEST

/* All of 100,000 keys are found, and the cost of a lookup grows by the misses
   of the processor's cache only, not with the number of keys. */
START_TEST(test_many_keys)
{
    static const uint32_t counts[] = {100, 100000};
    double ns[2];
    for (int at = 0; at < 2; at++) {
        tenant_table_t table;
        char key[32];
        tenant_table_init(&table, SEED);
        ck_assert_ptr_nonnull(tenant_table_add(&table, "t"));
        for (uint32_t i = 0; i < counts[at]; i++) {
            snprintf(key, sizeof(key), "key-%08x-%08x", i * 2654435761U, i);
            ck_assert_int_eq(tenant_table_add_key(&table, 0, key),
                             TENANT_KEY_ADDED);
        }
        uint32_t found = 0;
        int64_t lookups_us = 0;
        for (uint32_t n = 0; n < 400000; n += 1000) {
            char batch[1000][32];
            for (uint32_t j = 0; j < 1000; j++) {
                /* Every second key is unknown. */
                uint32_t i = ((n + j) * 7919U) % counts[at];
                snprintf(batch[j], sizeof(batch[j]), "key-%08x-%08x",
                         i * 2654435761U, j % 2 == 0 ? i : i + 1);
            }
            int64_t begun_us = clock_now_us();
            for (uint32_t j = 0; j < 1000; j++) {
                found += tenant_table_find_key(&table, batch[j],
                                               strlen(batch[j])) == 0;
            }
            lookups_us += clock_now_us() - begun_us;
        }
        ck_assert_uint_eq(found, 200000);
        ns[at] = (double)lookups_us * 1000 / 400000;
        printf("# a lookup in %u keys: %.0f ns\n", counts[at], ns[at]);
        tenant_table_release(&table);
    }
    /* A search through the list would cost a thousand times as much. */
    ck_assert_double_lt(ns[1], 50 * ns[0] + 2000);
}
END_TEST

typedef struct {
    const char *name;
    const char *members;  /* of the document, after the routes */
    const char *reported; /* the places of the errors */
    bool needs_keys;
    uint32_t tenants;
    uint32_t k1; /* the tenant that holds the key "k1" */
} document_case_t;

#define T1 "{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"]"

static const document_case_t document_cases[] = {
    {"no tenants", "", "", false, 0, TENANT_NONE},
    {"an empty list", ",\"tenants\":[]", "", true, 0, TENANT_NONE},
    {"not a list", ",\"tenants\":{}", "tenants[0] ", true, 0, TENANT_NONE},
    {"null", ",\"tenants\":null", "tenants[0] ", true, 0, TENANT_NONE},
    {"all members",
     ",\"tenants\":[" T1
     ",\"priority\":0,\"rate_per_s\":49,\"burst\":50.5,\"later\":1}]",
     "", true, 1, 0},
    {"members that are null",
     ",\"tenants\":[" T1
     ",\"priority\":null,\"rate_per_s\":null,\"burst\":null}]",
     "", true, 1, 0},
    {"a tenant without keys", ",\"tenants\":[{\"name\":\"t0\"}," T1 "}]", "",
     true, 2, 1},
    {"the same name twice",
     ",\"tenants\":[" T1 "},{\"name\":\"t1\",\"api_keys\":[\"k1\"]}]",
     "tenants[1] ", true, 1, 0},
    {"the same key twice",
     ",\"tenants\":[" T1 "},{\"name\":\"t2\",\"api_keys\":[\"k1\"]}]",
     "tenants[1].api_keys[0] ", true, 2, TENANT_NONE},
    {"the same key twice in one row",
     ",\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k1\"]}]", "", true,
     1, 0},
    {"keys that fit no header, and one that does",
     ",\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"\",5,\" k\",\"a\\nb\","
     "\"k1\"]}]",
     "tenants[0].api_keys[0] tenants[0].api_keys[1] tenants[0].api_keys[2] "
     "tenants[0].api_keys[3] ",
     true, 1, 0},
    {"rows that are left out",
     ",\"tenants\":[1,{\"api_keys\":[\"k1\"]},{\"name\":\"\"},"
     "{\"name\":\"a\\r\\nb\"},{\"name\":\"p\",\"priority\":-1},"
     "{\"name\":\"q\",\"priority\":0.5},{\"name\":\"r\",\"rate_per_s\":-1},"
     "{\"name\":\"s\",\"burst\":\"9\"},{\"name\":\"u\",\"api_keys\":\"k1\"}"
     "," T1 "}]",
     "tenants[0] tenants[1] tenants[2] tenants[3] tenants[4] tenants[5] "
     "tenants[6] tenants[7] tenants[8] ",
     true, 1, 0},
};

static void
note_place(void *owner, const char *place, const char *error)
{
    char *places = owner;
    size_t length = strlen(places);
    /* No key of the cases is a word of an error. */
    ck_assert_ptr_null(strstr(error, "k1"));
    snprintf(places + length, 512 - length, "%s ", place);
}

START_TEST(test_document)
{
    const document_case_t *c = &document_cases[_i];
    char text[1024];
    char places[512] = "";
    const document_error_handler_t handler = {.on_error = note_place,
                                              .owner = places};
    snprintf(text, sizeof(text), "{\"version\":1,\"routes\":[]%s}",
             c->members);
    route_table_t *table = document_parse_routes(text, strlen(text), &handler);
    ck_assert_ptr_nonnull(table);
    ck_assert_msg(strcmp(places, c->reported) == 0, "%s: %s", c->name, places);
    ck_assert_msg(table->needs_keys == c->needs_keys, "%s", c->name);
    ck_assert_msg(table->tenants.count == c->tenants, "%s", c->name);
    ck_assert_msg(tenant_table_find_key(&table->tenants, "k1", 2) == c->k1,
                  "%s", c->name);
    if (strcmp(c->name, "all members") == 0) {
        const tenant_t *tenant = table->tenants.tenants[0];
        ck_assert(tenant->has_priority && tenant->priority == 0);
        ck_assert(tenant->rate_per_s == 49 && tenant->burst == 50.5);
    }
    else if (c->tenants > 0) {
        ck_assert_msg(!table->tenants.tenants[0]->has_priority, "%s", c->name);
    }
    route_table_release(table);
}
END_TEST

/* A route is public only if it says so in the right type. */
START_TEST(test_public)
{
    static const char *const values[] = {"true", "false", "null", "1"};
    static const uint32_t routes[] = {1, 1, 1, 0};
    for (int i = 0; i < 4; i++) {
        char text[256];
        snprintf(text, sizeof(text),
                 "{\"version\":1,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
                 "\"prefix\":\"/\",\"type\":\"idempotent\",\"service\":"
                 "\"s\",\"public\":%s}]}",
                 values[i]);
        route_table_t *table = document_parse_routes(text, strlen(text), NULL);
        ck_assert_uint_eq(table->route_count, routes[i]);
        ck_assert(i == 3 || table->routes[0].is_public == (i == 0));
        route_table_release(table);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("tenants");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_find_key, 0,
                        sizeof(key_cases) / sizeof(key_cases[0]));
    tcase_add_test(tests, test_names_and_seal);
    tcase_add_test(tests, test_key_of_three);
    tcase_add_test(tests, test_handles);
    tcase_add_test(tests, test_many_keys);
    tcase_add_loop_test(tests, test_document, 0,
                        sizeof(document_cases) / sizeof(document_cases[0]));
    tcase_add_test(tests, test_public);
    return suite_run("tenants", tests);
}
