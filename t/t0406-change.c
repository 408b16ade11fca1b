/* Changes of the configuration under store faults and races. */
#include "fleet/change.h"
#include "t/lib/fake_store.h"
#include "t/lib/suite.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CALLS_16(fault)                                                       \
    fault, fault, fault, fault, fault, fault, fault, fault, fault, fault,     \
        fault, fault, fault, fault, fault, fault
#define CALLS_61(fault)                                                       \
    CALLS_16(fault), CALLS_16(fault), CALLS_16(fault), fault, fault, fault,   \
        fault, fault, fault, fault, fault, fault, fault, fault, fault, fault

enum { SCRIPT_MAX = 64 };

/* What happens in the store between two steps of the change under test. */
typedef enum {
    OTHER_NOTHING,
    OTHER_ZONE,
    OTHER_ROWS,
    OTHER_MANY, /* more zone changes than the history holds */
    OTHER_LATE  /* an earlier write without answer takes effect */
} other_t;

typedef struct {
    const char *name;
    uint64_t based_on; /* for CHANGE_ROWS */
    uint64_t stored;   /* version in the store; 0: no key */
    uint64_t known;    /* version in force on the daemon; 0: none */
    uint64_t version;  /* expected version of the change */
    change_kind_t kind;
    other_t before_write;  /* before the first write */
    other_t after_write;   /* after the first write */
    other_t before_second; /* before the second write */
    status_t expect;
    unsigned int writes;
    fake_fault_t script[SCRIPT_MAX];
} change_case_t;

static const change_case_t cases[] = {
    {.name = "first document", .kind = CHANGE_ZONE, .version = 1, .writes = 1},
    {.name = "plain",
     .kind = CHANGE_VM,
     .stored = 4,
     .version = 5,
     .writes = 1},
    {.name = "rows",
     .kind = CHANGE_ROWS,
     .based_on = 4,
     .stored = 4,
     .version = 5,
     .writes = 1},
    {.name = "two zone changes race",
     .kind = CHANGE_ZONE,
     .stored = 4,
     .before_write = OTHER_ZONE,
     .version = 6,
     .writes = 2},
    {.name = "two changes of rows race",
     .kind = CHANGE_ROWS,
     .based_on = 4,
     .stored = 4,
     .before_write = OTHER_ROWS,
     .expect = STATUS_CONFLICT,
     .writes = 1},
    {.name = "changes of rows and of a zone race",
     .kind = CHANGE_ROWS,
     .based_on = 4,
     .stored = 4,
     .before_write = OTHER_ZONE,
     .version = 6,
     .writes = 2},
    {.name = "rows based on an old version",
     .kind = CHANGE_ROWS,
     .based_on = 3,
     .stored = 4,
     .expect = STATUS_CONFLICT},
    {.name = "rows based on a future version",
     .kind = CHANGE_ROWS,
     .based_on = 9,
     .stored = 4,
     .expect = STATUS_INVALID},
    {.name = "lost reply, write took effect",
     .kind = CHANGE_ROWS,
     .based_on = 4,
     .stored = 4,
     .script = {FAKE_OK, FAKE_LOST_REPLY},
     .version = 5,
     .writes = 1},
    {.name = "lost reply, write had no effect",
     .kind = CHANGE_ROWS,
     .based_on = 4,
     .stored = 4,
     .script = {FAKE_OK, FAKE_DOWN},
     .version = 5,
     .writes = 2},
    {.name = "lost reply, then overwritten",
     .kind = CHANGE_ROWS,
     .based_on = 4,
     .stored = 4,
     .script = {FAKE_OK, FAKE_LOST_REPLY},
     .after_write = OTHER_ROWS,
     .version = 5,
     .writes = 1},
    {.name = "lost reply, overwritten too often",
     .kind = CHANGE_ZONE,
     .stored = 4,
     .script = {FAKE_OK, FAKE_LOST_REPLY},
     .after_write = OTHER_MANY,
     .expect = STATUS_UNKNOWN,
     .writes = 1},
    {.name = "no effect, and a change of rows raced",
     .kind = CHANGE_ROWS,
     .based_on = 4,
     .stored = 4,
     .script = {FAKE_OK, FAKE_DOWN},
     .after_write = OTHER_ROWS,
     .expect = STATUS_CONFLICT,
     .writes = 1},
    {.name = "no effect, and a zone change raced",
     .kind = CHANGE_ZONE,
     .stored = 4,
     .script = {FAKE_OK, FAKE_DOWN},
     .after_write = OTHER_ZONE,
     .version = 6,
     .writes = 2},
    {.name = "write takes effect after the read back",
     .kind = CHANGE_ROWS,
     .based_on = 4,
     .stored = 4,
     .script = {FAKE_OK, FAKE_TIMEOUT},
     .before_second = OTHER_LATE,
     .version = 5,
     .writes = 2},
    {.name = "lost reply and a stale read back",
     .kind = CHANGE_ROWS,
     .based_on = 4,
     .stored = 4,
     .script = {FAKE_OK, FAKE_LOST_REPLY, FAKE_STALE},
     .version = 5,
     .writes = 2},
    {.name = "stale first read",
     .kind = CHANGE_ROWS,
     .based_on = 4,
     .stored = 4,
     .known = 4,
     .script = {FAKE_STALE},
     .version = 5,
     .writes = 2},
    {.name = "stale first read, nothing known",
     .kind = CHANGE_ROWS,
     .based_on = 4,
     .stored = 4,
     .script = {FAKE_STALE},
     .version = 5,
     .writes = 1},
    {.name = "store lost versions",
     .kind = CHANGE_ZONE,
     .stored = 2,
     .known = 7,
     .version = 8,
     .writes = 1},
    {.name = "store lost the document",
     .kind = CHANGE_ZONE,
     .known = 7,
     .version = 8,
     .writes = 1},
    {.name = "down",
     .kind = CHANGE_ZONE,
     .stored = 4,
     .script = {FAKE_DOWN, FAKE_DOWN, CALLS_61(FAKE_DOWN)},
     .expect = STATUS_UNAVAILABLE},
    {.name = "down after sending",
     .kind = CHANGE_ZONE,
     .stored = 4,
     .script = {FAKE_OK, FAKE_DOWN, CALLS_61(FAKE_DOWN)},
     .expect = STATUS_UNKNOWN,
     .writes = 1},
    {.name = "slow",
     .kind = CHANGE_ZONE,
     .stored = 4,
     .script = {FAKE_TIMEOUT, FAKE_TIMEOUT, CALLS_61(FAKE_TIMEOUT)},
     .expect = STATUS_UNAVAILABLE},
    {.name = "slow, an older value read back, then refused",
     .kind = CHANGE_ZONE,
     .stored = 4,
     .script = {FAKE_OK, FAKE_TIMEOUT, FAKE_STALE, CALLS_61(FAKE_REFUSED)},
     .expect = STATUS_UNKNOWN,
     .writes = 1},
    {.name = "connection refused once",
     .kind = CHANGE_ZONE,
     .stored = 4,
     .script = {FAKE_REFUSED, FAKE_OK, FAKE_REFUSED},
     .version = 5,
     .writes = 2},
};

/* A document of this version, whose history has changes of rows only. */
static config_t *
config_make(uint64_t version)
{
    config_t *config = config_new();
    while (config->version < version) {
        char id[CHANGE_ID_SIZE];
        snprintf(id, sizeof(id), "seed-%" PRIu64, config->version + 1);
        config_advance(config, CHANGE_ROWS, id, "alice");
    }
    return config;
}

static void
config_store(fake_store_t *fake, const config_t *config)
{
    char *text = config_format_json(config);
    fake_store_write(fake, STORE_KEY_CONFIG, text);
    free(text);
}

static config_t *
config_stored(const fake_store_t *fake)
{
    const char *text = fake_store_text(fake, STORE_KEY_CONFIG);
    config_t *config = NULL;
    error_t err = ERROR_INIT;
    if (text != NULL) {
        ck_assert_msg(config_parse_json(text, strlen(text), &config, &err) ==
                          STATUS_OK,
                      "%s", error_text(&err));
    }
    return config;
}

static void
other_act(fake_store_t *fake, other_t other, const char *late)
{
    if (other == OTHER_NOTHING) {
        return;
    }
    if (other == OTHER_LATE) {
        fake_store_write(fake, STORE_KEY_CONFIG, late);
        return;
    }
    config_t *config = config_stored(fake);
    int count = other == OTHER_MANY ? CONFIG_HISTORY_MAX + 1 : 1;
    for (int i = 0; i < count; i++) {
        config_set_zone_out(config, "other", other != OTHER_ROWS, NULL);
        config_advance(config, other == OTHER_ROWS ? CHANGE_ROWS : CHANGE_ZONE,
                       "others", "bob");
    }
    config_store(fake, config);
    config_put(config);
}

static change_edit_t
edit_make(const change_case_t *c, const config_t *rows)
{
    return (change_edit_t){
        .kind = c->kind,
        .id = "own",
        .by = "carol",
        .based_on = c->based_on,
        .rows = rows,
        .name = "south-1",
        .out = true,
    };
}

/* Run the change to its end in virtual time, with the events of the case. */
static void
change_drive(change_t *change, const change_case_t *c, fake_store_t *fake)
{
    store_client_t store = fake_store_client(fake);
    int64_t now_us = 0;
    unsigned int writes = 0;
    char *late = NULL;
    change_request_t request;
    for (int step = 0; step < 200; step++) {
        store_value_t value;
        switch (change_next(change, now_us, &request)) {
        case CHANGE_READ: {
            status_t status =
                store_get(&store, STORE_KEY_CONFIG, &value, NULL);
            change_read_result(change, status, value.modify_index, value.text,
                               value.size, now_us);
            store_value_release(&value);
            break;
        }
        case CHANGE_WRITE: {
            writes++;
            other_act(fake, writes == 1 ? c->before_write : OTHER_NOTHING,
                      late);
            other_act(fake, writes == 2 ? c->before_second : OTHER_NOTHING,
                      late);
            free(late);
            late = strdup(request.text);
            status_t status =
                store_cas_put(&store, STORE_KEY_CONFIG, request.text,
                              request.size, request.index, NULL);
            other_act(fake, writes == 1 ? c->after_write : OTHER_NOTHING,
                      late);
            change_write_result(change, status, now_us);
            break;
        }
        case CHANGE_WAIT:
            ck_assert_int_gt(change_wakeup(change), now_us);
            now_us = change_wakeup(change);
            break;
        default:
            step = 200;
            break;
        }
    }
    free(late);
    ck_assert_int_eq(change_next(change, now_us, &request), CHANGE_DONE);
    ck_assert_int_le(now_us, 8000000);
}

/* Number of entries for this change in the stored document's history. */
static unsigned int
history_count(const fake_store_t *fake, const char *id)
{
    config_t *config = config_stored(fake);
    unsigned int count = 0;
    for (size_t i = 0; config != NULL && i < config->history_count; i++) {
        count += strcmp(config->history[i].change_id, id) == 0;
    }
    config_put(config);
    return count;
}

static void
case_check(const change_case_t *c, const change_outcome_t *outcome,
           const fake_store_t *fake)
{
    ck_assert_msg(outcome->status == c->expect, "%s: %s", c->name,
                  status_name(outcome->status));
    ck_assert_msg(outcome->writes == c->writes, "%s: %u writes", c->name,
                  outcome->writes);
    if (c->expect == STATUS_OK) {
        ck_assert_msg(outcome->version == c->version, "%s: version %" PRIu64,
                      c->name, outcome->version);
        ck_assert_msg(history_count(fake, "own") == 1, "%s", c->name);
        ck_assert(c->kind != CHANGE_ZONE ||
                  config_zone_is_out(outcome->config, "south-1"));
    }
    else if (c->expect != STATUS_UNKNOWN) {
        ck_assert_msg(history_count(fake, "own") == 0, "%s", c->name);
        ck_assert_int_eq(outcome->err.status, c->expect);
    }
    if (c->expect == STATUS_CONFLICT) {
        bool raced = c->before_write + c->after_write != OTHER_NOTHING;
        ck_assert_str_eq(outcome->conflicting.by, raced ? "bob" : "alice");
        ck_assert_uint_eq(outcome->conflicting.version, raced ? 5 : 4);
        ck_assert_ptr_nonnull(outcome->config);
    }
}

START_TEST(test_cases)
{
    const change_case_t *c = &cases[_i];
    fake_store_t *fake = fake_store_new();
    config_t *rows = config_new();
    for (uint64_t v = c->stored > 1 ? c->stored - 1 : 1; v <= c->stored; v++) {
        config_t *config = config_make(v);
        config_store(fake, config);
        config_put(config);
    }
    config_t *known = c->known > 0 ? config_make(c->known) : NULL;
    fake_store_script(fake, c->script, SCRIPT_MAX);
    change_settings_t settings = CHANGE_SETTINGS_DEFAULT;
    change_edit_t edit = edit_make(c, rows);
    error_t err = ERROR_INIT;
    change_t *change = change_new(&settings, &edit, known, 0, &err);
    ck_assert_msg(change != NULL, "%s", error_text(&err));
    config_put(known);
    config_put(rows);
    change_drive(change, c, fake);
    case_check(c, change_outcome(change), fake);
    change_free(change);

    /* Repeated with the same id, the change is not applied again. */
    if (c->expect == STATUS_OK) {
        unsigned int puts = fake_store_calls(fake, STORE_CALL_PUT);
        rows = config_new();
        edit = edit_make(c, rows);
        change = change_new(&settings, &edit, NULL, 0, &err);
        config_put(rows);
        fake_store_script(fake, c->script, 0);
        change_drive(change, c, fake);
        ck_assert_int_eq(change_outcome(change)->status, STATUS_OK);
        ck_assert_uint_eq(fake_store_calls(fake, STORE_CALL_PUT), puts);
        change_free(change);
    }
    fake_store_free(fake);
}
END_TEST

START_TEST(test_bad_input)
{
    change_settings_t settings = CHANGE_SETTINGS_DEFAULT;
    error_t err = ERROR_INIT;
    change_edit_t edit = {.kind = CHANGE_ZONE, .id = "own", .by = "carol"};
    ck_assert_ptr_null(change_new(&settings, &edit, NULL, 0, &err));
    edit.name[0] = 'z';
    edit.id[0] = 'A';
    ck_assert_ptr_null(change_new(&settings, &edit, NULL, 0, &err));
    edit.id[0] = 'o';
    change_t *change = change_new(&settings, &edit, NULL, 0, &err);
    change_request_t request;
    ck_assert_int_eq(change_next(change, 0, &request), CHANGE_READ);
    change_read_result(change, STATUS_OK, 3, "{}", 2, 0);
    ck_assert_int_eq(change_next(change, 0, &request), CHANGE_DONE);
    ck_assert_int_eq(change_outcome(change)->status, STATUS_INVALID);
    change_free(change);
}
END_TEST

enum { OPERATORS = 3, LATE_MAX = 64, VERSIONS_MAX = 64, SEEDS = 300 };

/* Concurrent operators on one store, with random faults from the seed. */
typedef struct {
    uint64_t seed;
    uint64_t draws;
    fake_store_t *fake;
    store_client_t store;
    change_t *changes[OPERATORS];
    char ids[OPERATORS][CHANGE_ID_SIZE];
    /* Writes that timed out and may still take effect. */
    struct {
        char *text;
        uint64_t index;
    } late[LATE_MAX];
    size_t late_count;
    char accepted_ids[VERSIONS_MAX][CHANGE_ID_SIZE]; /* id of the change that
                                                        made each version */
    uint64_t version;
} race_t;

static uint64_t
race_draw(race_t *race, uint64_t below)
{
    race->draws++;
    return XXH64(&race->draws, sizeof(race->draws), race->seed) % below;
}

/* Check that the stored version is unchanged or rose by one. */
static void
race_observe(race_t *race)
{
    config_t *config = config_stored(race->fake);
    uint64_t version = config != NULL ? config->version : 0;
    ck_assert_msg(version == race->version || version == race->version + 1,
                  "seed %" PRIu64 ": version %" PRIu64 " after %" PRIu64,
                  race->seed, version, race->version);
    if (version > race->version) {
        ck_assert_uint_lt(version, VERSIONS_MAX);
        memcpy(race->accepted_ids[version], config->change_id, CHANGE_ID_SIZE);
        race->version = version;
    }
    config_put(config);
}

static void
race_apply_late(race_t *race)
{
    if (race->late_count == 0) {
        return;
    }
    race->late_count--;
    fake_store_script(race->fake, NULL, 0);
    store_cas_put(&race->store, STORE_KEY_CONFIG,
                  race->late[race->late_count].text,
                  strlen(race->late[race->late_count].text),
                  race->late[race->late_count].index, NULL);
    free(race->late[race->late_count].text);
    race_observe(race);
}

static void
race_fault(race_t *race, fake_fault_t *fault)
{
    static const fake_fault_t faults[] = {
        FAKE_REFUSED,         FAKE_DOWN,       FAKE_TIMEOUT,
        FAKE_TIMEOUT_APPLIED, FAKE_LOST_REPLY, FAKE_STALE};
    *fault = race_draw(race, 2) == 0 ? FAKE_OK : faults[race_draw(race, 6)];
    fake_store_script(race->fake, fault, 1);
}

static void
race_write(race_t *race, change_t *change, const change_request_t *request,
           int64_t now_us)
{
    fake_fault_t fault;
    race_fault(race, &fault);
    if (fault == FAKE_TIMEOUT && race->late_count < LATE_MAX) {
        race->late[race->late_count].text = strdup(request->text);
        race->late[race->late_count].index = request->index;
        race->late_count++;
    }
    status_t status =
        store_cas_put(&race->store, STORE_KEY_CONFIG, request->text,
                      request->size, request->index, NULL);
    race_observe(race);
    change_write_result(change, status, now_us);
}

static bool
race_step(race_t *race, change_t *change, int64_t now_us)
{
    change_request_t request;
    fake_fault_t fault;
    store_value_t value;
    switch (change_next(change, now_us, &request)) {
    case CHANGE_READ:
        race_fault(race, &fault);
        status_t status =
            store_get(&race->store, STORE_KEY_CONFIG, &value, NULL);
        change_read_result(change, status, value.modify_index, value.text,
                           value.size, now_us);
        store_value_release(&value);
        return true;
    case CHANGE_WRITE:
        race_write(race, change, &request, now_us);
        return true;
    case CHANGE_WAIT:
        return true;
    default:
        return false;
    }
}

static void
race_init(race_t *race, uint64_t seed)
{
    *race = (race_t){.seed = seed, .fake = fake_store_new()};
    race->store = fake_store_client(race->fake);
    config_t *rows = config_new();
    for (int i = 0; i < OPERATORS; i++) {
        change_settings_t settings = CHANGE_SETTINGS_DEFAULT;
        settings.seed = seed * OPERATORS + (uint64_t)i;
        settings.timeout_us = 500000;
        change_edit_t edit = {
            .kind = i == 0 ? CHANGE_ZONE : CHANGE_ROWS,
            .by = "carol",
            .rows = rows,
            .name = "south-1",
            .out = true,
        };
        snprintf(race->ids[i], CHANGE_ID_SIZE, "operator-%d", i);
        memcpy(edit.id, race->ids[i], CHANGE_ID_SIZE);
        race->changes[i] = change_new(&settings, &edit, NULL, 0, NULL);
    }
    config_put(rows);
}

START_TEST(test_races)
{
    race_t race;
    race_init(&race, (uint64_t)_i);
    int64_t now_us = 0;
    int running = OPERATORS;
    while (running > 0) {
        running = 0;
        now_us += 1000;
        for (int i = 0; i < OPERATORS; i++) {
            running += race_step(&race, race.changes[i], now_us);
        }
        if (race_draw(&race, 30) == 0) {
            race_apply_late(&race);
        }
    }
    while (race.late_count > 0) {
        race_apply_late(&race);
    }
    for (int i = 0; i < OPERATORS; i++) {
        status_t status = change_outcome(race.changes[i])->status;
        int made = 0;
        for (uint64_t v = 1; v <= race.version; v++) {
            made += strcmp(race.accepted_ids[v], race.ids[i]) == 0;
        }
        ck_assert_msg(made == (status == STATUS_OK) ||
                          (status == STATUS_UNKNOWN && made <= 1),
                      "seed %d, operator %d: %s, made %d times", _i, i,
                      status_name(status), made);
        change_free(race.changes[i]);
    }
    fake_store_free(race.fake);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("change");
    tcase_add_loop_test(tests, test_cases, 0,
                        sizeof(cases) / sizeof(cases[0]));
    tcase_add_loop_test(tests, test_races, 1, SEEDS + 1);
    tcase_add_test(tests, test_bad_input);
    return suite_run("change", tests);
}
