/*
 * Parsing of valid and malformed settings, store responses and documents, and
 * building of store calls.
 */
#include "platform/boot.h"
#include "platform/documents.h"
#include "platform/header_values.h"
#include "platform/kv.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VALID_BOOT                                                            \
    "node_name=front-a-1\nzone=a\nregion=r\nzones.a=r\nzones.b=r\n"           \
    "listen.front=10.1.0.39:8226\nlisten.control=10.1.0.39:8224\n"            \
    "platform.addr=10.200.1.7:8229\nheartbeat_ms=1200\n"                      \
    "bounds.grace_s=6\nbounds.retry_ratio=0.2\nbounds.retry_slack=52\n"

typedef struct {
    const char *name;
    const char *text;
    bool valid;
    const char *error; /* part of the error text */
} boot_case_t;

static const boot_case_t boot_cases[] = {
    {"valid", VALID_BOOT, true, ""},
    {"unknown names are ignored", VALID_BOOT "later.field=x,y\n", true, ""},
    {"lines without a value are ignored", VALID_BOOT "a line\n\n", true, ""},
    {"no daemon name", "platform.addr=10.0.0.1:1\n", false,
     "node_name or platform.addr is not set"},
    {"no store address", "node_name=a\n", false,
     "node_name or platform.addr is not set"},
    {"invalid address", VALID_BOOT "listen.front=10.1.0:8226\n", false,
     "listen.front"},
    {"no port", VALID_BOOT "listen.front=10.1.0.39\n", false, "listen.front"},
    {"port too large", VALID_BOOT "listen.front=10.1.0.39:70000\n", false,
     "listen.front"},
    {"not a number", VALID_BOOT "bounds.grace_s=soon\n", false,
     "bounds.grace_s"},
    {"negative", VALID_BOOT "heartbeat_ms=-5\n", false, "heartbeat_ms"},
};

START_TEST(test_boot)
{
    const boot_case_t *c = &boot_cases[_i];
    boot_t boot;
    char error[256] = "";
    bool valid = boot_parse(&boot, c->text, error, sizeof(error));
    ck_assert_msg(valid == c->valid, "%s: %s", c->name, error);
    ck_assert_msg(strstr(error, c->error) != NULL, "%s: %s", c->name, error);
    if (valid) {
        ck_assert_str_eq(boot.daemon_name, "front-a-1");
        ck_assert_str_eq(boot.callers_address_text, "10.1.0.39:8226");
        ck_assert_uint_eq(boot.zone_count, 2);
        ck_assert_int_eq(boot.heartbeat_us, 1200000);
        ck_assert_int_eq(boot.grace_us, 6000000);
        ck_assert_uint_eq(boot.retry_slack, 52);
        ck_assert(!boot.has_directory);
        /* A setting that is left out has its default. */
        ck_assert_int_eq(boot.drain_us, 3000000);
    }
}
END_TEST

typedef struct {
    const char *name;
    const char *body;
    bool valid;
    size_t items;
    uint64_t revision;
    const char *value; /* of the first item; NULL: removed, or no item */
} response_case_t;

static const response_case_t response_cases[] = {
    {"a page",
     "{\"items\":[{\"key\":\"k\",\"value\":\"aGVsbG8=\",\"rev\":4,"
     "\"lease\":0}],\"has_more\":false,\"current_rev\":9}",
     true, 1, 9, "hello"},
    {"a removal",
     "{\"events\":[{\"key\":\"k\",\"rev\":4,\"deleted\":true}],"
     "\"current_rev\":9}",
     true, 1, 9, NULL},
    {"no events", "{\"events\":[],\"current_rev\":9}", true, 0, 9, NULL},
    {"a value of two bytes",
     "{\"items\":[{\"key\":\"k\",\"value\":\"aGU=\"}],\"current_rev\":1}",
     true, 1, 1, "he"},
    {"an empty value",
     "{\"items\":[{\"key\":\"k\",\"value\":\"\"}],\"current_rev\":1}", true, 1,
     1, ""},
    {"invalid items are left out",
     "{\"items\":[{\"key\":\"k\",\"value\":\"a?==\"},3,{\"key\":\"l\","
     "\"value\":\"aGVsbG8=\"}],\"current_rev\":2}",
     true, 1, 2, "hello"},
    {"the response to a write", "{\"rev\":412}", true, 0, 412, NULL},
    {"an array", "[]", false, 0, 0, NULL},
    {"truncated", "{\"items\":[", false, 0, 0, NULL},
    {"an empty body", "", false, 0, 0, NULL},
};

START_TEST(test_response)
{
    const response_case_t *c = &response_cases[_i];
    kv_response_t response;
    bool valid = kv_response_parse(&response, c->body, strlen(c->body));
    ck_assert_msg(valid == c->valid, "%s", c->name);
    if (valid) {
        ck_assert_msg(response.count == c->items, "%s: %zu", c->name,
                      response.count);
        ck_assert_msg(response.revision == c->revision, "%s", c->name);
        if (c->value != NULL) {
            ck_assert_str_eq(response.items[0].value, c->value);
            ck_assert_uint_eq(response.items[0].size, strlen(c->value));
        }
        else if (c->items > 0) {
            ck_assert(response.items[0].removed);
        }
        kv_response_release(&response);
    }
}
END_TEST

START_TEST(test_calls)
{
    kv_call_t call;
    ck_assert(kv_call_range(&call, "servers/", "servers/i-1"));
    ck_assert_str_eq(call.method, "GET");
    ck_assert_str_eq(call.target,
                     "/-/kv-range?prefix=servers/&after=servers/i-1");
    ck_assert(kv_call_watch(&call, "op/", 12, 2500000));
    ck_assert_str_eq(call.target,
                     "/-/kv-watch?prefix=op/&after=12&wait_ms=2500");
    ck_assert(!kv_call_range(&call, "servers/", "a b"));
    ck_assert(kv_call_range(&call, "servers/", "a%20b"));
    ck_assert_str_eq(call.target, "/-/kv-range?prefix=servers/&after=a%20b");
    ck_assert(!kv_call_watch(&call, "op/&x=1", 1, 0));
    ck_assert(kv_call_put(&call, "own/a", "hello", 5, 77));
    ck_assert_ptr_nonnull(strstr(call.body, "\"value\":\"aGVsbG8=\""));
    ck_assert_ptr_nonnull(strstr(call.body, "\"lease\":77"));
    kv_call_release(&call);
    ck_assert(kv_call_lease_renew(&call, 9));
    ck_assert_str_eq(call.target, "/-/kv-keep/9");
    kv_call_release(&call);
    ck_assert(kv_call_lease_revoke(&call, 9));
    ck_assert_str_eq(call.method, "DELETE");
    kv_call_release(&call);
}
END_TEST

/* The page that follows one with these items. */
typedef struct {
    const char *name;
    const char *items;
    bool valid;
    size_t count;
    const char *page;
} page_case_t;

#define ROW(key, value) "{\"key\":\"" key "\",\"value\":\"" value "\"}"

static const page_case_t page_cases[] = {
    {"a plain key", ROW("a", "") "," ROW("servers/i-1", ""), true, 2,
     "servers/i-1"},
    {"a key that needs escapes", ROW("a b%&?#+\\r\\n\\u00e9", ""), true, 1,
     "a%20b%25%26%3F%23%2B%0D%0A%C3%A9"},
    {"a key with a NUL", ROW("a", "") "," ROW("b\\u0000c", ""), true, 1,
     "b%00c"},
    {"an invalid last item", ROW("a", "") "," ROW("b", "?"), true, 1, "b"},
    {"no valid item", ROW("b", "?"), true, 0, "b"},
    {"no key", ROW("a", "") ",{}", false, 0, ""},
    {"no item", "", false, 0, ""},
    {"a key that is too long",
     ROW("ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff"
         "ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff"
         "ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff"
         "        ffffffffffffffffffffffffffffffffffffffffffffffffffffffff"
         "ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff"
         "ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff"
         "ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff"
         "ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff"
         "ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff"
         "ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff",
         ""),
     false, 0, ""},
};

/* Guards against a list that ends early, or never, at another writer's key. */
START_TEST(test_next_page)
{
    const page_case_t *c = &page_cases[_i];
    char body[2048];
    kv_response_t response;
    kv_call_t call;
    snprintf(body, sizeof(body),
             "{\"items\":[%s],\"has_more\":true,\"current_rev\":9}", c->items);
    bool valid = kv_response_parse(&response, body, strlen(body));
    ck_assert_msg(valid == c->valid, "%s", c->name);
    if (valid) {
        ck_assert_msg(response.count == c->count, "%s: %zu", c->name,
                      response.count);
        ck_assert_str_eq(response.next_page, c->page);
        ck_assert(kv_call_range(&call, "servers/", response.next_page));
        kv_response_release(&response);
    }
}
END_TEST

static int errors;

static void
count_error(void *owner, const char *place, const char *error)
{
    (void)owner;
    ck_assert_ptr_nonnull(place);
    ck_assert_ptr_nonnull(error);
    errors++;
}

typedef struct {
    const char *name;
    const char *text;
    bool parsed;
    uint32_t routes;
    int errors;
} routes_case_t;

#define ROUTE_A                                                               \
    "{\"name\":\"a\",\"host\":\"H.example\",\"prefix\":\"/x/\",\"type\":"     \
    "\"idempotent\",\"timeout_ms\":500,\"goal_ms\":80,\"priority\":2,"        \
    "\"gather\":[\"s\",\"t\"],\"attempts\":2,\"top_k\":5,"                    \
    "\"min_version\":0.75}"
#define ROUTE_B                                                               \
    "{\"name\":\"b\",\"host\":\"h.example\",\"prefix\":\"/x/y/\",\"type\":"   \
    "\"non_idempotent\",\"service\":\"s\"}"

static const routes_case_t routes_cases[] = {
    {"two routes", "{\"version\":7,\"routes\":[" ROUTE_A "," ROUTE_B "]}",
     true, 2, 0},
    {"a route without a host",
     "{\"version\":7,\"routes\":[{\"name\":\"c\",\"prefix\":\"/\","
     "\"type\":\"idempotent\",\"service\":\"s\"}," ROUTE_B "]}",
     true, 1, 1},
    {"a prefix without a final slash",
     "{\"version\":7,\"routes\":[{\"name\":\"c\",\"host\":\"h\",\"prefix\":"
     "\"/x\",\"type\":\"idempotent\",\"service\":\"s\"}]}",
     true, 0, 1},
    {"a route without a service",
     "{\"version\":7,\"routes\":[{\"name\":\"c\",\"host\":\"h\",\"prefix\":"
     "\"/x/\",\"type\":\"idempotent\"}]}",
     true, 0, 1},
    {"rows that are not objects", "{\"version\":7,\"routes\":[1,null,\"a\"]}",
     true, 0, 3},
    {"a service without a name",
     "{\"version\":7,\"routes\":[],\"services\":[{}]}", true, 0, 1},
    {"no version", "{\"routes\":[]}", false, 0, 0},
    {"no routes", "{\"version\":7}", false, 0, 0},
    {"not JSON", "version: 7", false, 0, 0},
};

START_TEST(test_routes)
{
    const routes_case_t *c = &routes_cases[_i];
    const document_error_handler_t handler = {.on_error = count_error};
    errors = 0;
    route_table_t *table =
        document_parse_routes(c->text, strlen(c->text), &handler);
    ck_assert_msg((table != NULL) == c->parsed, "%s", c->name);
    if (table != NULL) {
        ck_assert_msg(table->route_count == c->routes, "%s", c->name);
        ck_assert_msg(errors == c->errors, "%s: %d", c->name, errors);
        route_table_release(table);
    }
}
END_TEST

START_TEST(test_route_fields)
{
    const char *text = "{\"version\":7,\"routes\":[" ROUTE_A "," ROUTE_B
                       "],\"services\":[{\"name\":\"s\",\"max_conns\":45,"
                       "\"warmup_s\":3.0,\"cold_per_s\":12.5}],\"limits\":"
                       "{\"max_header_bytes\":16384,\"idle_timeout_ms\":150}}";
    route_table_t *table = document_parse_routes(text, strlen(text), NULL);
    const route_t *a = route_table_match(table, "h.example:80", "/x/1");
    ck_assert_str_eq(a->name, "a");
    ck_assert_int_eq(a->kind, ROUTE_SHARDS);
    ck_assert_uint_eq(a->target_count, 2);
    ck_assert_uint_eq(a->top_k, 5);
    ck_assert(a->min_share == 0.75);
    ck_assert(a->idempotent);
    ck_assert_int_eq(a->goal_us, 80000);
    const route_t *b = route_table_match(table, "H.EXAMPLE", "/x/y/1");
    ck_assert_str_eq(b->name, "b");
    ck_assert(!b->idempotent);
    ck_assert_uint_eq(b->attempts, 1);
    ck_assert_ptr_null(route_table_match(table, "h.example", "/z/"));
    ck_assert_ptr_null(route_table_match(table, "other.example", "/x/"));
    const route_service_t *s = route_table_service(table, "s");
    ck_assert_uint_eq(s->max_connections, 45);
    ck_assert(s->cold_per_s == 12.5);
    ck_assert_uint_eq(table->max_header_bytes, 16384);
    ck_assert_int_eq(table->idle_timeout_us, 150000);
    route_table_release(table);
}
END_TEST

typedef struct {
    const char *name;
    const char *text;
    bool valid;
} instance_case_t;

#define ENTRY(state, more)                                                    \
    "{\"service\":\"s\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"a\","           \
    "\"version\":\"v1\",\"slots\":6,\"state\":" state ",\"cold_left_ms\":5,"  \
    "\"seq\":4" more "}"

static const instance_case_t instance_cases[] = {
    {"valid", ENTRY("\"ready\"", ",\"born\":1712000000000"), true},
    {"draining", ENTRY("\"draining\"", ""), true},
    {"an unknown state", ENTRY("\"paused\"", ""), false},
    {"a state that is not a string", ENTRY("3", ""), false},
    {"a start time that is not an integer",
     ENTRY("\"ready\"", ",\"born\":1.5"), false},
    {"no address",
     "{\"service\":\"s\",\"zone\":\"a\",\"slots\":6,\"state\":"
     "\"ready\",\"cold_left_ms\":0,\"seq\":1}",
     false},
    {"slots given as a string",
     "{\"service\":\"s\",\"addr\":\"10.0.0.9:8080\",\"zone\":"
     "\"a\",\"slots\":\"6\",\"state\":\"ready\","
     "\"cold_left_ms\":0,\"seq\":1}",
     false},
    {"not an object", "[1]", false},
    {"binary data", "\x01\x02{", false},
    {"an empty entry", "", false},
};

START_TEST(test_instance)
{
    const instance_case_t *c = &instance_cases[_i];
    instance_entry_t entry;
    const char *error = NULL;
    bool valid = document_parse_instance(&entry, "i-1", c->text,
                                         strlen(c->text), &error);
    ck_assert_msg(valid == c->valid, "%s: %s", c->name,
                  error != NULL ? error : "");
    ck_assert_msg(valid || error != NULL, "%s", c->name);
    if (valid) {
        ck_assert_str_eq(entry.id, "i-1");
        ck_assert_uint_eq(entry.slots, 6);
        ck_assert_int_eq(entry.cold_left_us, 5000);
    }
}
END_TEST

typedef struct {
    const char *text;
    header_status_t status;
    int64_t value;
} header_case_t;

static const header_case_t era_cases[] = {
    {NULL, HEADER_ABSENT, 0},
    {"1", HEADER_VALID, 1},
    {"524287", HEADER_VALID, 524287},
    {"524288", HEADER_INVALID, 0},
    {"0", HEADER_INVALID, 0},
    {"", HEADER_INVALID, 0},
    {"-1", HEADER_INVALID, 0},
    {"1.5", HEADER_INVALID, 0},
    {"0x1f", HEADER_INVALID, 0},
    {"18446744073709551617", HEADER_INVALID, 0},
};

static const header_case_t retry_after_cases[] = {
    {NULL, HEADER_ABSENT, 0},
    {"2", HEADER_VALID, 2000000},
    {"0.25", HEADER_VALID, 250000},
    {"0", HEADER_VALID, 0},
    {"600", HEADER_VALID, 600000000},
    {"601", HEADER_CAPPED, 600000000},
    {"1e300", HEADER_CAPPED, 600000000},
    {"-1", HEADER_INVALID, 0},
    {"nan", HEADER_INVALID, 0},
    {"inf", HEADER_INVALID, 0},
    {"", HEADER_INVALID, 0},
    {"2s", HEADER_INVALID, 0},
    {"Fri, 04 Dec 2026 06:00:00 GMT", HEADER_INVALID, 0},
};

/* The value is in thousandths of a request a second. */
static const header_case_t rate_limit_cases[] = {
    {NULL, HEADER_ABSENT, 0},      {"40", HEADER_VALID, 40000},
    {"42.5", HEADER_VALID, 42500}, {"0", HEADER_VALID, 0},
    {"0.125", HEADER_VALID, 125},  {"-1", HEADER_INVALID, 0},
    {"nan", HEADER_INVALID, 0},    {"inf", HEADER_INVALID, 0},
    {"", HEADER_INVALID, 0},       {"40/s", HEADER_INVALID, 0},
};

START_TEST(test_rate_limit_header)
{
    const header_case_t *c = &rate_limit_cases[_i];
    double per_s = 7;
    ck_assert_msg(header_parse_rate_limit(c->text, &per_s) == c->status, "%s",
                  c->text != NULL ? c->text : "absent");
    ck_assert_int_eq((int64_t)(per_s * 1000), c->value);
}
END_TEST

START_TEST(test_era_header)
{
    const header_case_t *c = &era_cases[_i];
    uint64_t era = 7;
    ck_assert_msg(header_parse_store_era(c->text, &era) == c->status, "%s",
                  c->text != NULL ? c->text : "absent");
    ck_assert_uint_eq(era, (uint64_t)c->value);
}
END_TEST

START_TEST(test_retry_after_header)
{
    const header_case_t *c = &retry_after_cases[_i];
    int64_t retry_after_us = 7;
    ck_assert_msg(header_parse_retry_after(c->text, &retry_after_us) ==
                      c->status,
                  "%s", c->text != NULL ? c->text : "absent");
    ck_assert_int_eq(retry_after_us, c->value);
}
END_TEST

/* Revisions are ordered by era first, and a call has the store's own
   revision. */
START_TEST(test_revisions)
{
    kv_call_t call;
    kv_response_t response;
    static const char page[] =
        "{\"items\":[{\"key\":\"k\",\"value\":\"\",\"rev\":4}],"
        "\"current_rev\":9}";
    ck_assert(kv_revision(2, 5) > kv_revision(1, KV_REVISION_MASK));
    ck_assert_uint_eq(kv_revision_era(kv_revision(KV_ERA_MAX, 5)), KV_ERA_MAX);
    ck_assert_int_gt((int64_t)kv_revision(KV_ERA_MAX, KV_REVISION_MASK), 0);
    ck_assert(kv_response_parse(&response, page, strlen(page)));
    kv_response_set_era(&response, 3);
    ck_assert_uint_eq(response.revision, kv_revision(3, 9));
    ck_assert_uint_eq(response.items[0].revision, kv_revision(3, 4));
    ck_assert(kv_call_watch(&call, "op/", response.revision, 0));
    ck_assert_ptr_nonnull(strstr(call.target, "&after=9&"));
    kv_call_release(&call);
    kv_response_release(&response);
}
END_TEST

typedef struct {
    const char *target;
    const char *zone; /* NULL: the query names none */
} directory_query_case_t;

static const directory_query_case_t directory_query_cases[] = {
    {"/-/resolve?name=h&region=r&zone=a-1", "a-1"},
    {"/-/resolve?zone=a-1&name=h", "a-1"},
    {"/-/resolve?name=zone=b&timezone=c", NULL},
    {"/-/resolve?name=h&zone=", NULL},
    {"/-/resolve?zone=12345678", NULL}, /* does not fit */
    {"/-/resolve?", NULL},
    {"/-/resolve", NULL},
};

START_TEST(test_directory_query)
{
    const directory_query_case_t *c = &directory_query_cases[_i];
    char zone[8] = "-";
    bool found = document_parse_directory_query(c->target, zone, sizeof(zone));
    ck_assert_msg(found == (c->zone != NULL), "%s", c->target);
    ck_assert_str_eq(zone, found ? c->zone : "-");
}
END_TEST

/* Orders and statuses of rollouts; a bad document must not move traffic. */
typedef struct {
    const char *text;
    bool is_order;
    bool is_status;
} rollout_document_case_t;

static const rollout_document_case_t rollout_document_cases[] = {
    {"{\"service\":\"s\",\"target_version\":\"v2\",\"over_s\":12}", true,
     false},
    {"{\"target_version\":\"v2\",\"over_s\":0}", false, false},
    {"{\"target_version\":\"v2\"}", false, false},
    {"{\"target_version\":\"\",\"over_s\":12}", false, false},
    {"{\"target_version\":7,\"over_s\":12}", false, false},
    {"{\"state\":\"active\",\"target_version\":\"v2\"}", false, true},
    {"{\"state\":\"reverted\",\"target_version\":\"v2\",\"share\":0,"
     "\"order\":7,\"more\":[]}",
     false, true},
    {"{\"state\":\"absent\",\"target_version\":\"v2\"}", false, false},
    {"{\"state\":\"active\",\"target_version\":\"v2\",\"share\":2}", false,
     false},
    {"{\"state\":\"active\"}", false, false},
    {"not JSON", false, false},
};

START_TEST(test_rollout_documents)
{
    const rollout_document_case_t *c = &rollout_document_cases[_i];
    rollout_order_t order;
    rollout_status_t status;
    rollout_status_t again;
    int64_t ordered_ms;
    char text[512];
    ck_assert_msg(document_parse_rollout_order(&order, c->text,
                                               strlen(c->text)) == c->is_order,
                  "%s", c->text);
    ck_assert_msg(!c->is_order || (order.over_us == 12000000 &&
                                   strcmp(order.target, "v2") == 0),
                  "%s", c->text);
    ck_assert_msg(document_parse_rollout_status(&status, &ordered_ms, c->text,
                                                strlen(c->text)) ==
                      c->is_status,
                  "%s", c->text);
    if (c->is_status) {
        size_t size =
            document_format_rollout_status(text, sizeof(text), &status, 5);
        ck_assert(
            document_parse_rollout_status(&again, &ordered_ms, text, size));
        ck_assert_mem_eq(&again, &status, sizeof(status));
        ck_assert_int_eq(ordered_ms, 5);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("platform");
    tcase_add_loop_test(tests, test_directory_query, 0,
                        sizeof(directory_query_cases) /
                            sizeof(directory_query_cases[0]));
    tcase_add_loop_test(tests, test_boot, 0,
                        sizeof(boot_cases) / sizeof(boot_cases[0]));
    tcase_add_loop_test(tests, test_response, 0,
                        sizeof(response_cases) / sizeof(response_cases[0]));
    tcase_add_test(tests, test_calls);
    tcase_add_loop_test(tests, test_next_page, 0,
                        sizeof(page_cases) / sizeof(page_cases[0]));
    tcase_add_loop_test(tests, test_era_header, 0,
                        sizeof(era_cases) / sizeof(era_cases[0]));
    tcase_add_loop_test(tests, test_retry_after_header, 0,
                        sizeof(retry_after_cases) /
                            sizeof(retry_after_cases[0]));
    tcase_add_loop_test(tests, test_rate_limit_header, 0,
                        sizeof(rate_limit_cases) /
                            sizeof(rate_limit_cases[0]));
    tcase_add_test(tests, test_revisions);
    tcase_add_loop_test(tests, test_routes, 0,
                        sizeof(routes_cases) / sizeof(routes_cases[0]));
    tcase_add_test(tests, test_route_fields);
    tcase_add_loop_test(tests, test_instance, 0,
                        sizeof(instance_cases) / sizeof(instance_cases[0]));
    tcase_add_loop_test(tests, test_rollout_documents, 0,
                        sizeof(rollout_document_cases) /
                            sizeof(rollout_document_cases[0]));
    return suite_run("platform", tests);
}
