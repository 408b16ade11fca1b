/* explain_log finds why a request ended in the log lines of daemons. */
#include "cli/explain_log.h"
#include "t/lib/suite.h"

#include <stdlib.h>
#include <string.h>

/* Log lines of two daemons, unordered. */
static const char *const lines[] = {
    "110.712 E610 request_answered level=info daemon=d-1 id=a1 target=/x "
    "route=r "
    "v=2 own status=502 reason=no_upstream_left ms=2.2 parts=0/1 sends=1 "
    "ran=1",
    "110.711 E612 attempt_failed level=info daemon=d-1 id=a1 service=s "
    "instance=i-1 outcome=lost detail=closed ms=2.2",
    "109.000 E200 config_in_force level=info daemon=d-1 v=2 rev=9",
    "112.000 E200 config_in_force level=info daemon=d-1 v=3 rev=12",
    "108.000 E200 config_in_force level=info daemon=d-2 v=3 rev=12",
    "111.500 E314 instance_changed level=info daemon=d-1 instance=i-1 "
    "change=gone rev=11",
    "111.500 E314 instance_changed level=info daemon=d-1 instance=i-2 "
    "change=gone rev=11",
    "105.000 E300 store_down level=error daemon=d-1 cause=closed",
    "110.000 E610 request_answered level=info daemon=d-2 id=a10 own "
    "status=504 "
    "reason=deadline open=s:i-9:4970",
    "110.500 E600 request_refused level=info daemon=d-2 id=a2 status=503 "
    "reason=no_room_in_time v=2 cause=s:listed=3:room=0:waiting=0",
    "120.000 E610 request_answered level=info daemon=d-1 id=a3 relayed "
    "status=200 reason=- ms=3",
    "not a line of a daemon",
    "",
};

typedef struct {
    const char *id;
    bool known;
    const char *has[4];
    const char *lacks[4];
} explain_case_t;

static const explain_case_t cases[] = {
    {"a1",
     true,
     {"a1: 502 no_upstream_left, at d-1", "its answer was lost",
      "   -0.001 s E612", "v=2 rev=9"},
     {"v=3", "i-2", "id=a10", "E600"}},
    {"a1", true, {"E300 store_down", "   +0.788 s E314"}, {NULL}},
    {"a10", true, {"504 deadline, at d-2", "open=s:i-9:4970"}, {"id=a1 "}},
    {"a2",
     true,
     {"503 no_room_in_time", "sent nowhere", "room=0", "v=3 rev=12"},
     {"E612"}},
    {"a3", true, {"a3: 200 -, at d-1", "It was answered."}, {"E612"}},
    {"a", false, {NULL}, {NULL}},
    {"missing", false, {NULL}, {NULL}},
};

START_TEST(test_explain)
{
    const explain_case_t *c = &cases[_i];
    explain_log_t log = {0};
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);
    for (size_t i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
        ck_assert(explain_log_add(&log, lines[i], c->id));
    }
    ck_assert_msg(explain_log_print(&log, c->id, out) == c->known, "%s",
                  c->id);
    fclose(out);
    for (size_t i = 0; i < 4 && c->has[i] != NULL; i++) {
        ck_assert_msg(strstr(text, c->has[i]) != NULL, "%s lacks '%s':\n%s",
                      c->id, c->has[i], text);
    }
    for (size_t i = 0; i < 4 && c->lacks[i] != NULL; i++) {
        ck_assert_msg(strstr(text, c->lacks[i]) == NULL, "%s has '%s':\n%s",
                      c->id, c->lacks[i], text);
    }
    ck_assert(c->known || size == 0);
    explain_log_release(&log);
    free(text);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("explain");
    tcase_add_loop_test(tests, test_explain, 0,
                        sizeof(cases) / sizeof(cases[0]));
    return suite_run("explain", tests);
}
