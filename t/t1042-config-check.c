/* The check of a configuration: what is found, what is not, and differences.
 */
#include "t/lib/suite.h"
#include "tier/config_check.h"

#include <stdlib.h>
#include <string.h>

#define CONFIG(version, routes, services, more)                               \
    "{\"version\":" version ",\"routes\":[" routes                            \
    "],\"services\":[" services "]" more "}"
#define ROUTE(name, prefix, more)                                             \
    "{\"name\":\"" name "\",\"host\":\"h\",\"prefix\":\"" prefix              \
    "\",\"type\":\"idempotent\"," more "}"
#define ONE ROUTE("one", "/one/", "\"service\":\"s0\"")
#define S0 "{\"name\":\"s0\",\"max_conns\":4}"
#define TENANTS(rows) ",\"tenants\":[" rows "]"
#define T1 "{\"name\":\"t1\",\"api_keys\":[\"secret1\"]}"
#define CLEAN CONFIG("2", ONE, S0, "")

typedef struct {
    const char *name;
    const char *text;
    const char *against;
    config_status_t status;
    uint32_t findings;
    uint32_t differences;
    const char *said; /* part of the report; NULL: any */
} check_case_t;

static const check_case_t cases[] = {
    {"clean", CLEAN, NULL, CONFIG_CLEAN, 0, 0, NULL},
    {"not JSON", "{", NULL, CONFIG_UNREADABLE, 0, 0, "not JSON"},
    {"no version", "{\"routes\":[]}", NULL, CONFIG_UNREADABLE, 0, 0, NULL},
    {"the other is not JSON", CLEAN, "{", CONFIG_UNREADABLE, 0, 0, NULL},
    {"an empty prefix",
     CONFIG("2",
            ONE "," ROUTE("b", "",
                          ""
                          "\"service\":\"s0\""),
            S0, ""),
     NULL, CONFIG_FINDINGS, 1, 0, "routes[1]: name or host"},
    {"the same prefix twice",
     CONFIG("2", ONE "," ROUTE("b", "/one/", "\"service\":\"s0\""), S0, ""),
     NULL, CONFIG_FINDINGS, 1, 0, "same host and prefix"},
    {"a goal above the timeout",
     CONFIG("2",
            ROUTE("a", "/a/",
                  "\"service\":\"s0\",\"timeout_ms\":10,\"goal_ms\":20"),
            S0, ""),
     NULL, CONFIG_FINDINGS, 1, 0, "goal 20 ms, timeout 10 ms"},
    {"no attempts",
     CONFIG("2", ROUTE("a", "/a/", "\"service\":\"s0\",\"attempts\":0"), S0,
            ""),
     NULL, CONFIG_FINDINGS, 1, 0, "attempts is below 1"},
    {"a number that is none",
     CONFIG("2", ROUTE("a", "/a/", "\"service\":\"s0\",\"goal_ms\":\"x\""), S0,
            ""),
     NULL, CONFIG_FINDINGS, 1, 0, "goal_ms is not"},
    {"weights of 0",
     CONFIG("2",
            ROUTE("a", "/a/", "\"split\":[{\"service\":\"s0\",\"weight\":0}]"),
            S0, ""),
     NULL, CONFIG_FINDINGS, 1, 0, "weights"},
    {"more than all shards",
     CONFIG("2", ROUTE("a", "/a/", "\"gather\":[\"s0\"],\"min_version\":1.5"),
            S0, ""),
     NULL, CONFIG_FINDINGS, 1, 0, "more than all shards"},
    {"every shard with one attempt",
     CONFIG(
         "2",
         ROUTE("a", "/a/", "\"gather\":[\"s0\",\"s0\"],\"min_version\":0.9"),
         S0, ""),
     NULL, CONFIG_FINDINGS, 1, 0, "needs every shard"},
    {"every shard with two attempts",
     CONFIG("2",
            ROUTE("a", "/a/", "\"gather\":[\"s0\",\"s0\"],\"attempts\":2"), S0,
            ""),
     NULL, CONFIG_CLEAN, 0, 0, NULL},
    {"a shard may be missing",
     CONFIG(
         "2",
         ROUTE("a", "/a/", "\"gather\":[\"s0\",\"s0\"],\"min_version\":0.5"),
         S0, ""),
     NULL, CONFIG_CLEAN, 0, 0, NULL},
    {"a service that nothing names",
     CONFIG("2", ONE, S0 ",{\"name\":\"s1\"}", ""), NULL, CONFIG_FINDINGS, 1,
     0, "service s1: no route"},
    {"a service without an entry", CONFIG("2", ONE, "", ""), NULL,
     CONFIG_FINDINGS, 1, 0, "service s0: the service has no entry"},
    {"a tenant without keys",
     CONFIG("2", ONE, S0, TENANTS("{\"name\":\"t1\"}")), NULL, CONFIG_FINDINGS,
     1, 0, "tenant t1"},
    {"a key of two tenants",
     CONFIG(
         "2", ONE, S0,
         TENANTS(T1
                 ",{\"name\":\"t2\",\"api_keys\":[\"secret1\",\"secret2\"]}")),
     NULL, CONFIG_FINDINGS, 2, 0, "tenants[1].api_keys[0]"},
    {"keys in the wrong place",
     CONFIG("2", ONE, S0,
            TENANTS("{\"name\":\"t1\",\"api_keys\":\"secret1\"}")),
     NULL, CONFIG_FINDINGS, 1, 0, "api_keys is not a list"},
    {"a burst without a rate",
     CONFIG(
         "2", ONE, S0,
         TENANTS("{\"name\":\"t1\",\"api_keys\":[\"secret1\"],\"burst\":3}")),
     NULL, CONFIG_FINDINGS, 1, 0, "burst 3"},
    {"a rate without a burst",
     CONFIG(
         "2", ONE, S0,
         TENANTS(
             "{\"name\":\"t1\",\"api_keys\":[\"secret1\"],\"rate_per_s\":3}")),
     NULL, CONFIG_FINDINGS, 1, 0, "rate 3, burst 0"},
    {"the same version", CLEAN, CLEAN, CONFIG_FINDINGS, 1, 0, "not newer"},
    {"only the version", CONFIG("3", ONE, S0, ""), CLEAN, CONFIG_CLEAN, 0, 1,
     "version 2 -> 3"},
    {"a key is exchanged",
     CONFIG(
         "3", ONE, S0,
         TENANTS("{\"name\":\"t1\",\"api_keys\":[\"secret2\",\"secret3\"]}")),
     CONFIG("2", ONE, S0, TENANTS(T1)), CONFIG_CLEAN, 0, 2,
     "2 keys added, 1 removed"},
    {"a tenant is added", CONFIG("3", ONE, S0, TENANTS(T1)), CLEAN,
     CONFIG_CLEAN, 0, 3, "tenant t1: added (1 keys added)"},
    {"a route, a service and a limit",
     CONFIG("3", ROUTE("one", "/one/", "\"service\":\"s1\""),
            "{\"name\":\"s1\"}", ",\"limits\":{\"idle_timeout_ms\":9}"),
     CLEAN, CONFIG_CLEAN, 0, 5, "to s0 -> to s1"},
};

/* Each rule is found, and nothing else is; no report contains a key. */
START_TEST(test_check)
{
    const check_case_t *c = &cases[_i];
    for (int as_json = 0; as_json < 2; as_json++) {
        config_report_t report = {0};
        char *text = NULL;
        size_t size = 0;
        config_check(&report, c->text, strlen(c->text), c->against,
                     c->against != NULL ? strlen(c->against) : 0);
        FILE *file = open_memstream(&text, &size);
        config_report_write(&report, file, as_json == 1);
        (void)fclose(file);
        ck_assert_msg(config_report_status(&report) == c->status, "%s: %s",
                      c->name, text);
        ck_assert_msg(report.findings.count == c->findings &&
                          report.differences.count == c->differences,
                      "%s: %s", c->name, text);
        ck_assert_msg(as_json == 1 || c->said == NULL ||
                          strstr(text, c->said) != NULL,
                      "%s: %s", c->name, text);
        ck_assert_msg(strstr(text, "secret") == NULL, "%s: %s", c->name, text);
        free(text);
        config_report_release(&report);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("configuration check");
    tcase_add_loop_test(tests, test_check, 0,
                        sizeof(cases) / sizeof(cases[0]));
    return suite_run("configuration check", tests);
}
