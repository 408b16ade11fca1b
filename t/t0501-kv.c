/*
 * Tests the state of the stand-in key-value service: conditional writes,
 * sessions that hold keys and expire, and stale reads.
 */
#include "standin/lib/kv.h"
#include "t/lib/suite.h"

#include <string.h>

enum { STEPS_MAX = 8, SESSIONS = 2 };

#define TTL_US 1000

typedef enum {
    ACTION_PUT,
    ACTION_CAS,
    ACTION_ACQUIRE,
    ACTION_RELEASE,
    ACTION_DELETE,
    ACTION_RENEW,
    ACTION_DESTROY,
    ACTION_READ,
    ACTION_READ_STALE,
    ACTION_READ_HOLDER
} kv_action_t;

/* All steps use the key "k". Sessions 0 and 1 are both created at time 0. */
typedef struct {
    kv_action_t action;
    const char *value; /* to write, or expected; NULL: no such key */
    uint64_t index;    /* compared by ACTION_CAS and ACTION_DELETE */
    int session;
    int64_t now_us;
    bool refused; /* the step is expected to fail */
} step_t;

typedef struct {
    const char *name;
    step_t steps[STEPS_MAX];
    size_t count;
} kv_case_t;

static const kv_case_t kv_cases[] = {
    {"a missing key",
     {{ACTION_READ, .value = NULL}, {ACTION_READ_STALE, .value = NULL}},
     2},
    {"create only once",
     {{ACTION_CAS, .value = "a", .index = 0},
      {ACTION_CAS, .value = "b", .index = 0, .refused = true},
      {ACTION_READ, .value = "a"}},
     3},
    {"a write with an outdated index is refused",
     {{ACTION_PUT, .value = "a"},
      {ACTION_CAS, .value = "b", .index = 2},
      {ACTION_CAS, .value = "c", .index = 2, .refused = true},
      {ACTION_CAS, .value = "d", .index = 3},
      {ACTION_READ, .value = "d"}},
     5},
    {"a future index is refused",
     {{ACTION_PUT, .value = "a"},
      {ACTION_CAS, .value = "b", .index = 9, .refused = true}},
     2},
    {"delete compares the index too",
     {{ACTION_PUT, .value = "a"},
      {ACTION_DELETE, .index = 1, .refused = true},
      {ACTION_DELETE, .index = 2},
      {ACTION_READ, .value = NULL}},
     4},
    {"an index from before a delete is refused",
     {{ACTION_PUT, .value = "a"},
      {ACTION_DELETE, .index = 2},
      {ACTION_PUT, .value = "b"},
      {ACTION_CAS, .value = "c", .index = 2, .refused = true}},
     4},
    {"a stale read returns the previous value",
     {{ACTION_PUT, .value = "a"},
      {ACTION_READ_STALE, .value = "a"},
      {ACTION_PUT, .value = "b"},
      {ACTION_READ_STALE, .value = "a"},
      {ACTION_READ, .value = "b"}},
     5},
    {"one session holds a key",
     {{ACTION_ACQUIRE, .value = "a", .session = 0},
      {ACTION_ACQUIRE, .value = "b", .session = 1, .refused = true},
      {ACTION_ACQUIRE, .value = "c", .session = 0},
      {ACTION_READ_HOLDER, .value = "c", .session = 0}},
     4},
    {"only the holder releases",
     {{ACTION_ACQUIRE, .value = "a", .session = 0},
      {ACTION_RELEASE, .value = "b", .session = 1, .refused = true},
      {ACTION_RELEASE, .value = "c", .session = 0},
      {ACTION_ACQUIRE, .value = "d", .session = 1}},
     4},
    {"an expired session releases its key",
     {{ACTION_ACQUIRE, .value = "a", .session = 0},
      {ACTION_RENEW, .session = 1, .now_us = TTL_US - 1},
      {ACTION_ACQUIRE, .value = "b", .session = 1, .now_us = TTL_US},
      {ACTION_RENEW, .session = 0, .now_us = TTL_US, .refused = true}},
     4},
    {"an expired session cannot acquire a key",
     {{ACTION_ACQUIRE, .value = "a", .session = 0, .now_us = TTL_US,
       .refused = true}},
     1},
    {"the expiry of a session changes the index",
     {{ACTION_ACQUIRE, .value = "a", .session = 0},
      {ACTION_CAS, .value = "b", .index = 2, .now_us = TTL_US,
       .refused = true},
      {ACTION_CAS, .value = "b", .index = 3, .now_us = TTL_US}},
     3},
    {"a destroyed session releases its key",
     {{ACTION_ACQUIRE, .value = "a", .session = 0},
      {ACTION_DESTROY, .session = 0},
      {ACTION_RENEW, .session = 0, .refused = true},
      {ACTION_ACQUIRE, .value = "b", .session = 1}},
     4},
};

typedef char sessions_t[SESSIONS][KV_SESSION_SIZE];

static bool
step_write(kv_t *kv, const step_t *step, const char *session)
{
    kv_write_t write = {
        .cas = step->action == ACTION_CAS || step->action == ACTION_DELETE,
        .cas_index = step->index,
        .acquire = step->action == ACTION_ACQUIRE ? session : NULL,
        .release = step->action == ACTION_RELEASE ? session : NULL};
    if (step->action == ACTION_DELETE) {
        return kv_delete(kv, "k", &write);
    }
    return kv_put(kv, "k", step->value, strlen(step->value), &write);
}

static bool
step_read(kv_t *kv, const step_t *step, const char *session)
{
    kv_entry_t entry;
    bool found = kv_read(kv, "k", step->action == ACTION_READ_STALE, &entry);
    if (!found || step->value == NULL) {
        return found == (step->value != NULL);
    }
    bool holder_matches = step->action != ACTION_READ_HOLDER ||
                          strcmp(entry.session, session) == 0;
    return holder_matches && strcmp(entry.value, step->value) == 0;
}

static bool
step_run(kv_t *kv, const step_t *step, const char *session)
{
    bool changed = false;
    (void)kv_expire(kv, step->now_us, &changed);
    switch (step->action) {
    case ACTION_RENEW:
        return kv_session_renew(kv, session, step->now_us);
    case ACTION_DESTROY:
        kv_session_destroy(kv, session);
        return true;
    case ACTION_READ:
    case ACTION_READ_STALE:
    case ACTION_READ_HOLDER:
        return step_read(kv, step, session);
    default:
        return step_write(kv, step, session);
    }
}

START_TEST(test_kv)
{
    const kv_case_t *c = &kv_cases[_i];
    sessions_t sessions;
    kv_t *kv = kv_new();
    for (int i = 0; i < SESSIONS; i++) {
        kv_session_create(kv, TTL_US, 0, sessions[i]);
    }
    for (size_t i = 0; i < c->count; i++) {
        const step_t *step = &c->steps[i];
        bool done = step_run(kv, step, sessions[step->session]);
        ck_assert_msg(done != step->refused, "%s, step %zu", c->name, i);
    }
    kv_free(kv);
}
END_TEST

START_TEST(test_next_expiry)
{
    sessions_t sessions;
    bool changed = false;
    kv_t *kv = kv_new();
    ck_assert(kv_expire(kv, 0, &changed) == INT64_MAX);
    kv_session_create(kv, TTL_US, 0, sessions[0]);
    kv_session_create(kv, TTL_US, 100, sessions[1]);
    ck_assert(kv_expire(kv, 0, &changed) == TTL_US);
    ck_assert(kv_expire(kv, TTL_US, &changed) == TTL_US + 100);
    ck_assert_msg(!changed, "key released although none was held");
    kv_free(kv);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("kv");
    tcase_add_loop_test(tests, test_kv, 0,
                        sizeof(kv_cases) / sizeof(kv_cases[0]));
    tcase_add_test(tests, test_next_expiry);
    return suite_run("kv", tests);
}
