/* Owners that do not answer are reported as silent, and no others. */
#include "daemon/owner_watch.h"
#include "t/lib/suite.h"

enum { MS = 1000, SELF = 1 };

typedef enum { SENT, REPLY, TICK } step_kind_t;

typedef struct {
    const char *name;
    struct {
        step_kind_t kind;
        uint64_t owner;
        int64_t at_ms;
        bool changed; /* TICK */
    } steps[6];
    size_t count;
    bool silent[3]; /* owners 1 to 3, after the last step */
} watch_case_t;

static const watch_case_t cases[] = {
    {"nothing sent", {{TICK, 0, 5000, false}}, 1, {false}},
    {"no reply for a while",
     {{SENT, 2, 1, false}, {TICK, 0, 90, false}, {TICK, 0, 150, true}},
     3,
     {false, true, false}},
    {"a reply ends the silence",
     {{SENT, 2, 1, false},
      {TICK, 0, 150, true},
      {REPLY, 2, 160, false},
      {TICK, 0, 170, true}},
     4,
     {false, false, false}},
    {"later parts do not restart the wait",
     {{SENT, 3, 1, false}, {SENT, 3, 90, false}, {TICK, 0, 120, true}},
     3,
     {false, false, true}},
    {"the daemon itself is never silent",
     {{SENT, SELF, 1, false}, {TICK, 0, 900, false}},
     2,
     {0}},
    {"an unknown owner is ignored",
     {{SENT, 9, 1, false}, {REPLY, 9, 2, false}, {TICK, 0, 900, false}},
     3,
     {false}},
};

START_TEST(test_steps)
{
    const watch_case_t *c = &cases[_i];
    roster_member_t members[3] = {
        {.incarnation = 1}, {.incarnation = 2}, {.incarnation = 3}};
    owner_watch_t watch = {.count = 0};
    owner_watch_set_members(&watch, members, 3);
    for (size_t i = 0; i < c->count; i++) {
        int64_t now_us = c->steps[i].at_ms * MS;
        if (c->steps[i].kind == SENT) {
            owner_watch_record_send(&watch, c->steps[i].owner, now_us);
        }
        else if (c->steps[i].kind == REPLY) {
            owner_watch_record_reply(&watch, c->steps[i].owner);
        }
        else {
            ck_assert_msg(owner_watch_tick(&watch, SELF, now_us) ==
                              c->steps[i].changed,
                          "%s: step %zu", c->name, i);
        }
    }
    for (int i = 0; i < 3; i++) {
        ck_assert_msg(owner_watch_is_silent(&watch, i) == c->silent[i],
                      "%s: owner %d", c->name, i + 1);
    }
    ck_assert(!owner_watch_is_silent(&watch, -1));
    ck_assert(!owner_watch_is_silent(&watch, 3));
}
END_TEST

START_TEST(test_set_members)
{
    roster_member_t before[2] = {{.incarnation = 1}, {.incarnation = 2}};
    roster_member_t after[2] = {{.incarnation = 2}, {.incarnation = 4}};
    owner_watch_t watch = {.count = 0};
    owner_watch_set_members(&watch, before, 2);
    owner_watch_record_send(&watch, 2, MS);
    ck_assert(owner_watch_tick(&watch, SELF, 500 * MS));
    owner_watch_set_members(&watch, after, 2);
    ck_assert(owner_watch_is_silent(&watch, 0));
    ck_assert(!owner_watch_is_silent(&watch, 1));
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("owner watch");
    tcase_add_loop_test(tests, test_steps, 0,
                        sizeof(cases) / sizeof(cases[0]));
    tcase_add_test(tests, test_set_members);
    return suite_run("owner watch", tests);
}
