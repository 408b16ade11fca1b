/*
 * Intents in the store: the stored format, the states of the log, and a
 * simulation of daemons that compete for ids, restart and lose replies of the
 * store.
 */
#include "core/intent.h"
#include "t/lib/suite.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { COMMIT_INTERVAL_US = 100, GENERATION_US = 100000, RETENTION = 2 };

static const intent_settings_t settings = {.incarnation = 7,
                                           .commit_interval_us =
                                               COMMIT_INTERVAL_US,
                                           .generation_us = GENERATION_US,
                                           .retention = RETENTION};

static bucket_t
bucket_with(uint64_t incarnation, const uint64_t *hashes, size_t count)
{
    bucket_t empty;
    bucket_t next;
    bucket_init(&empty);
    bucket_change_t change = {.incarnation = incarnation,
                              .added = hashes,
                              .added_count = count,
                              .retention = RETENTION};
    ck_assert_int_eq(bucket_apply(&empty, &change, &next, NULL), STATUS_OK);
    return next;
}

START_TEST(test_bucket_round_trip)
{
    static const uint64_t hashes[] = {30, 10, 20, 10};
    bucket_t bucket = bucket_with(7, hashes, 4);
    uint8_t *bytes;
    size_t size;
    bucket_t read;
    ck_assert_uint_eq(bucket.count, 3);
    ck_assert_int_eq(bucket_encode(&bucket, &bytes, &size, NULL), STATUS_OK);
    ck_assert_int_eq(bucket_decode(&read, bytes, size, NULL), STATUS_OK);
    for (size_t i = 0; i < 4; i++) {
        ck_assert_uint_eq(bucket_writer(&read, hashes[i]), 7);
    }
    ck_assert_uint_eq(bucket_writer(&read, 11), 0);
    bucket_release(&read);
    for (size_t cut = 1; cut < size; cut++) {
        if ((size - cut) % 12 != 0) {
            ck_assert_int_ne(bucket_decode(&read, bytes, cut, NULL),
                             STATUS_OK);
        }
    }
    bytes[12 + 8 + 8] = 9;
    ck_assert_int_eq(bucket_decode(&read, bytes, size, NULL), STATUS_INVALID);
    free(bytes);
    bucket_release(&bucket);
}
END_TEST

START_TEST(test_bucket_ages_and_removes)
{
    static const uint64_t hashes[] = {1, 2, 3};
    static const uint64_t removed[] = {2};
    bucket_t bucket = bucket_with(7, hashes, 3);
    bucket_change_t change = {.incarnation = 8,
                              .removed = removed,
                              .removed_count = 1,
                              .advance = true,
                              .retention = RETENTION};
    for (int i = 0; i <= RETENTION; i++) {
        bucket_t next;
        ck_assert_uint_eq(bucket_writer(&bucket, 2), 7);
        ck_assert_int_eq(bucket_apply(&bucket, &change, &next, NULL),
                         STATUS_OK);
        bucket_release(&bucket);
        bucket = next;
    }
    ck_assert_uint_eq(bucket.count, 0);
    ck_assert_uint_eq(bucket.writer_count, 0);
    bucket_release(&bucket);
}
END_TEST

START_TEST(test_bucket_too_large)
{
    enum { TOO_MANY = BUCKET_BYTES_MAX / 12 + 1 };
    uint64_t *hashes = calloc(TOO_MANY, sizeof(*hashes));
    for (uint64_t i = 0; i < TOO_MANY; i++) {
        hashes[i] = i;
    }
    bucket_t bucket = bucket_with(7, hashes, TOO_MANY);
    uint8_t *bytes;
    size_t size;
    ck_assert_int_eq(bucket_encode(&bucket, &bytes, &size, NULL),
                     STATUS_TOO_LARGE);
    bucket_release(&bucket);
    free(hashes);
}
END_TEST

/* How the store answers one write of id 5, and the resulting status. */
typedef struct {
    const char *name;
    status_t write_status;
    bool applied;          /* the write takes effect */
    uint64_t other_writer; /* incarnation that wrote id 5 first; 0: none */
    status_t read_status;  /* of the value read back */
    intent_status_t status;
} write_case_t;

static const write_case_t write_cases[] = {
    {"confirmed", STATUS_OK, true, 0, STATUS_OK, INTENT_RUN},
    {"applied, reply lost", STATUS_UNKNOWN, true, 0, STATUS_OK, INTENT_RUN},
    {"applied, then resent by a lower layer", STATUS_CONFLICT, true, 0,
     STATUS_OK, INTENT_RUN},
    {"applied, reply late", STATUS_TIMEOUT, true, 0, STATUS_OK, INTENT_RUN},
    {"another writer was first", STATUS_CONFLICT, false, 9, STATUS_OK,
     INTENT_TAKEN},
    {"store down", STATUS_UNAVAILABLE, false, 0, STATUS_OK,
     INTENT_UNCONFIRMED},
    {"reply lost, then store down", STATUS_UNKNOWN, true, 0,
     STATUS_UNAVAILABLE, INTENT_UNCONFIRMED},
};

START_TEST(test_write)
{
    const write_case_t *c = &write_cases[_i];
    intent_log_t *log = intent_log_new(&settings, 3);
    intent_action_t action;
    intent_result_t result;
    uint64_t id = 5;
    ck_assert_int_eq(intent_submit(log, id).status, INTENT_WAIT);
    ck_assert_int_eq(intent_next_action(log, 0, &action), INTENT_ACTION_READ);
    ck_assert_uint_eq(action.bucket, 3);
    ck_assert_int_eq(intent_next_action(log, 0, &action), INTENT_ACTION_NONE);
    intent_read_done(log, STATUS_NOT_FOUND, NULL, 0, 0, 0);
    ck_assert_int_eq(intent_next_action(log, 0, &action), INTENT_ACTION_WRITE);
    ck_assert_uint_eq(action.index, 0);
    ck_assert(!intent_next_result(log, &result));
    uint8_t *stored = NULL;
    size_t size = action.size;
    if (c->applied) {
        stored = malloc(size);
        memcpy(stored, action.value, size);
    }
    else if (c->other_writer != 0) {
        bucket_t bucket = bucket_with(c->other_writer, &id, 1);
        bucket_encode(&bucket, &stored, &size, NULL);
        bucket_release(&bucket);
    }
    intent_write_done(log, c->write_status,
                      c->write_status == STATUS_OK ? 1 : 0, 1);
    if (intent_next_action(log, 2, &action) == INTENT_ACTION_READ) {
        ck_assert(!intent_next_result(log, &result));
        intent_read_done(log, c->read_status, stored, size, 1, 2);
        intent_next_action(log, 3, &action);
    }
    ck_assert(intent_next_result(log, &result));
    ck_assert_msg(result.status == c->status, "%s: %d", c->name,
                  result.status);
    ck_assert_uint_eq(result.hash, id);
    ck_assert(result.status != INTENT_TAKEN ||
              result.writer == c->other_writer);
    ck_assert(!intent_next_result(log, &result));
    free(stored);
    intent_log_free(log);
}
END_TEST

/* Several submissions of one id get one result, also after a lost write. */
START_TEST(test_same_id_joins)
{
    intent_log_t *log = intent_log_new(&settings, 0);
    intent_action_t action;
    intent_result_t result;
    uint64_t id = 5;
    ck_assert_int_eq(intent_submit(log, id).status, INTENT_WAIT);
    ck_assert_int_eq(intent_submit(log, id).status, INTENT_WAIT);
    intent_next_action(log, 0, &action);
    intent_read_done(log, STATUS_NOT_FOUND, NULL, 0, 0, 0);
    ck_assert_int_eq(intent_next_action(log, 0, &action), INTENT_ACTION_WRITE);
    ck_assert_int_eq(intent_submit(log, id).status, INTENT_WAIT);
    intent_write_done(log, STATUS_UNKNOWN, 0, 1);
    ck_assert_int_eq(intent_next_action(log, 1, &action), INTENT_ACTION_READ);
    intent_read_done(log, STATUS_NOT_FOUND, NULL, 0, 0, 1);
    ck_assert_int_eq(intent_submit(log, id).status, INTENT_WAIT);
    ck_assert_int_eq(intent_next_action(log, COMMIT_INTERVAL_US, &action),
                     INTENT_ACTION_WRITE);
    intent_write_done(log, STATUS_OK, 1, COMMIT_INTERVAL_US);
    ck_assert(intent_next_result(log, &result));
    ck_assert_int_eq(result.status, INTENT_RUN);
    ck_assert(!intent_next_result(log, &result));
    intent_log_free(log);
}
END_TEST

enum {
    DAEMONS = 3,
    IDS = 60,
    DELAYED_MAX = 8,
    VALUE_MAX = 4096,
    STEP_US = 200
};

/* A write that the store may apply later. */
typedef struct {
    uint64_t index;
    size_t size; /* 0: no write */
    uint8_t value[VALUE_MAX];
} delayed_write_t;

typedef struct {
    intent_log_t *log;
    uint64_t incarnation;
    bool waiting[IDS];
    bool ran[IDS]; /* ids that this incarnation knows to have run */
} daemon_t;

typedef struct {
    uint64_t seed;
    uint64_t draws;
    int64_t now_us;
    uint64_t index;
    size_t size;
    uint8_t value[VALUE_MAX];
    delayed_write_t delayed[DELAYED_MAX];
    daemon_t daemons[DAEMONS];
    uint64_t incarnations;
    int runs[IDS];
    int counts[INTENT_UNCONFIRMED + 1];
} store_t;

static uint64_t
draw(store_t *store, uint64_t below)
{
    uint64_t counter = store->draws++;
    return XXH64(&counter, sizeof(counter), store->seed) % below;
}

static void
daemon_start(store_t *store, daemon_t *daemon)
{
    intent_settings_t own = settings;
    intent_log_free(daemon->log);
    memset(daemon, 0, sizeof(*daemon));
    own.incarnation = daemon->incarnation = ++store->incarnations;
    daemon->log = intent_log_new(&own, 0);
}

static bool
store_apply(store_t *store, uint64_t index, const uint8_t *value, size_t size)
{
    if (index != store->index) {
        return false;
    }
    ck_assert_uint_le(size, VALUE_MAX);
    memcpy(store->value, value, size);
    store->size = size;
    store->index += 3;
    return true;
}

static void
store_delay(store_t *store, const intent_action_t *action)
{
    delayed_write_t *delayed = &store->delayed[draw(store, DELAYED_MAX)];
    delayed->index = action->index;
    delayed->size = action->size;
    memcpy(delayed->value, action->value, action->size);
}

static void
store_apply_delayed(store_t *store)
{
    delayed_write_t *delayed = &store->delayed[draw(store, DELAYED_MAX)];
    if (delayed->size > 0) {
        store_apply(store, delayed->index, delayed->value, delayed->size);
        delayed->size = 0;
    }
}

static void
store_write(store_t *store, daemon_t *daemon, const intent_action_t *action)
{
    bool slow = store->seed % 2 == 1; /* many writes are applied late */
    uint64_t kind = slow && draw(store, 2) == 0 ? 8 : draw(store, 10);
    status_t status = STATUS_UNAVAILABLE;
    uint64_t index = 0;
    if (kind < 6) {
        bool applied =
            store_apply(store, action->index, action->value, action->size);
        status = applied ? STATUS_OK : STATUS_CONFLICT;
        index = applied && kind < 3 ? store->index : 0;
    }
    else if (kind < 8) {
        store_apply(store, action->index, action->value, action->size);
        status = kind == 6 ? STATUS_UNKNOWN : STATUS_CONFLICT;
    }
    else if (kind == 8) {
        store_delay(store, action);
        status = STATUS_TIMEOUT;
    }
    intent_write_done(daemon->log, status, index, store->now_us);
}

static void
store_read(store_t *store, daemon_t *daemon)
{
    status_t status = store->index == 0 ? STATUS_NOT_FOUND : STATUS_OK;
    if (draw(store, 10) == 0) {
        status = STATUS_UNAVAILABLE;
    }
    intent_read_done(daemon->log, status, store->value, store->size,
                     store->index, store->now_us);
}

static void
daemon_take_result(store_t *store, daemon_t *daemon, intent_result_t result)
{
    uint64_t id = result.hash;
    daemon->waiting[id] = false;
    store->counts[result.status]++;
    if (result.status != INTENT_RUN) {
        return;
    }
    if (draw(store, 3) == 0) {
        intent_withdraw(daemon->log, id);
        return;
    }
    store->runs[id]++;
    daemon->ran[id] = draw(store, 4) != 0;
    ck_assert_msg(store->runs[id] <= 1, "seed %d: id %d ran twice",
                  (int)store->seed, (int)id);
}

static void
daemon_step(store_t *store, daemon_t *daemon)
{
    uint64_t id = draw(store, IDS);
    if (!daemon->waiting[id] && !daemon->ran[id] && draw(store, 2) == 0) {
        intent_result_t result = intent_submit(daemon->log, id);
        daemon->waiting[id] = result.status == INTENT_WAIT;
        if (!daemon->waiting[id]) {
            daemon_take_result(store, daemon, result);
        }
    }
    intent_action_t action;
    switch (intent_next_action(daemon->log, store->now_us, &action)) {
    case INTENT_ACTION_READ:
        store_read(store, daemon);
        break;
    case INTENT_ACTION_WRITE:
        store_write(store, daemon, &action);
        break;
    default:
        break;
    }
    intent_result_t result;
    while (intent_next_result(daemon->log, &result)) {
        daemon_take_result(store, daemon, result);
    }
}

START_TEST(test_at_most_once)
{
    static store_t store;
    memset(&store, 0, sizeof(store));
    store.seed = (uint64_t)_i;
    for (int i = 0; i < DAEMONS; i++) {
        daemon_start(&store, &store.daemons[i]);
    }
    /* Not longer than the retention, so that no intent is removed by age. */
    while (store.now_us < (int64_t)RETENTION * GENERATION_US) {
        daemon_t *daemon = &store.daemons[draw(&store, DAEMONS)];
        store.now_us += (int64_t)draw(&store, STEP_US);
        daemon_step(&store, daemon);
        if (draw(&store, 20) == 0) {
            store_apply_delayed(&store);
        }
        if (draw(&store, 300) == 0) {
            daemon_start(&store, daemon);
        }
    }
    int ran = 0;
    for (int i = 0; i < IDS; i++) {
        ran += store.runs[i];
    }
    ck_assert_int_gt(ran, IDS / 4);
    ck_assert_int_gt(store.counts[INTENT_TAKEN], IDS);
    ck_assert_int_gt(store.counts[INTENT_UNCONFIRMED], 5);
    for (int i = 0; i < DAEMONS; i++) {
        intent_log_free(store.daemons[i].log);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("intent");
    tcase_add_test(tests, test_bucket_round_trip);
    tcase_add_test(tests, test_bucket_ages_and_removes);
    tcase_add_test(tests, test_bucket_too_large);
    tcase_add_loop_test(tests, test_write, 0,
                        sizeof(write_cases) / sizeof(write_cases[0]));
    tcase_add_test(tests, test_same_id_joins);
    tcase_add_loop_test(tests, test_at_most_once, 0, 200);
    return suite_run("intent", tests);
}
