/* Contract tests of the VM list client, run on the fake and over HTTP. */
#include "edge/vmlist.h"
#include "t/lib/fake_vmlist.h"
#include "t/lib/raw_server.h"
#include "t/lib/suite.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEAD(status) "HTTP/1.1 " status " x\r\nConnection: close\r\n\r\n"
#define VM(state)                                                             \
    "{\"name\":\"u\",\"role\":\"upstream\",\"service\":\"s\",\"zone\":\"z\"," \
    "\"address\":\"127.0.0.1\",\"port\":7001,\"group\":1,\"state\":\"" state  \
    "\"}"

typedef struct {
    const char *name;
    const char *head; /* of the HTTP response; NULL: close without one */
    const char *text; /* of the list; NULL: the fake fails */
    size_t count;
    status_t expect;
    bool leaving;
} vmlist_case_t;

static const vmlist_case_t cases[] = {
    {"live", HEAD("200"), "{\"vms\":[" VM("live") "]}", 1, STATUS_OK, false},
    {"leaving", HEAD("200"), "{\"vms\":[" VM("leaving") "]}", 1, STATUS_OK,
     true},
    {"empty", HEAD("200"), "{\"vms\":[]}", 0, STATUS_OK, false},
    {"truncated", HEAD("200"), "{\"vms\":[", 0, STATUS_INVALID, false},
    {"no response", NULL, NULL, 0, STATUS_UNAVAILABLE, false},
    {"down", HEAD("500"), NULL, 0, STATUS_UNAVAILABLE, false},
    {"denied", HEAD("403"), NULL, 0, STATUS_DENIED, false},
};

static void
contract_check(const vmlist_case_t *c, const vmlist_client_t *vmlist)
{
    upstream_info_t *upstreams;
    size_t count;
    error_t err = ERROR_INIT;
    status_t status = vmlist_fetch(vmlist, &upstreams, &count, &err);
    ck_assert_msg(status == c->expect, "%s: %s", c->name, error_text(&err));
    ck_assert_msg(status == STATUS_OK || err.status == status, "%s", c->name);
    ck_assert_uint_eq(count, c->count);
    ck_assert_msg((upstreams != NULL) == (status == STATUS_OK), "%s", c->name);
    bool leaving = upstreams != NULL && count > 0 && upstreams[0].leaving;
    ck_assert_msg(leaving == c->leaving, "%s", c->name);
    free(upstreams);
}

START_TEST(test_contract)
{
    const vmlist_case_t *c = &cases[_i];
    fake_vmlist_t fake = {.text = c->text, .status = c->expect};
    vmlist_client_t vmlist = fake_vmlist_client(&fake);
    contract_check(c, &vmlist);

    char reply[1024];
    snprintf(reply, sizeof(reply), "%s%s", c->head != NULL ? c->head : "",
             c->text != NULL ? c->text : "");
    raw_server_t *server =
        raw_server_new(c->head != NULL ? reply : NULL, false);
    vmlist_counters_t counters = {0};
    error_t err = ERROR_INIT;
    ck_assert_int_eq(vmlist_http_init(&vmlist, raw_server_url(server), 20000,
                                      &counters, &err),
                     STATUS_OK);
    contract_check(c, &vmlist);
    ck_assert_uint_eq(counters.calls, 1);
    ck_assert_uint_eq(counters.failed, c->expect != STATUS_OK);
    ck_assert_uint_gt(counters.bytes_out, 0);
    vmlist_release(&vmlist);
    raw_server_free(server);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("vmlist");
    tcase_add_loop_test(tests, test_contract, 0,
                        sizeof(cases) / sizeof(cases[0]));
    return suite_run("vmlist", tests);
}
