/*
 * Operators on several threads change the configuration at the same time, over
 * HTTP and with real compare-and-swap. Guards against a change that is lost or
 * applied twice, also if the reply of each write is lost.
 */
#include "edge/config_change.h"
#include "t/lib/standin_store.h"
#include "t/lib/suite.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    OPERATORS = 4,
    CHANGES = 6, /* per operator; all of them must fit in the history */
    STORE_TIMEOUT_MS = 20000
};

typedef struct {
    const char *name;
    kv_fault_t fault;
} race_case_t;

static const race_case_t cases[] = {
    {"store without faults", KV_FAULT_OK},
    {"every reply of a write is lost", KV_FAULT_LOST_REPLY},
};

typedef struct {
    const char *url;
    int number;
    unsigned int accepted;
} operator_run_t;

static void
operator_change(const operator_run_t *run, const store_client_t *store,
                int number, unsigned int *accepted)
{
    change_settings_t settings = CHANGE_SETTINGS_DEFAULT;
    settings.timeout_us = INT64_C(120000000);
    settings.retry_us = 1000;
    settings.seed = (uint64_t)run->number * CHANGES + (uint64_t)number;
    change_edit_t edit = {.kind = CHANGE_ZONE, .out = true};
    snprintf(edit.id, sizeof(edit.id), "%d-%d", run->number, number);
    snprintf(edit.by, sizeof(edit.by), "operator-%d", run->number);
    snprintf(edit.name, sizeof(edit.name), "zone-%d-%d", run->number, number);
    change_t *change = config_change_run(store, &settings, &edit, NULL, NULL);
    *accepted += change_outcome(change)->status == STATUS_OK;
    change_free(change);
}

static void *
operator_run(void *user)
{
    operator_run_t *run = user;
    store_client_t store;
    store_http_init(&store, run->url, STORE_TIMEOUT_MS, NULL, NULL);
    for (int i = 0; i < CHANGES; i++) {
        operator_change(run, &store, i, &run->accepted);
    }
    store_release(&store);
    return NULL;
}

static config_t *
config_read(const char *url)
{
    store_client_t store;
    store_value_t value;
    config_t *config;
    error_t err = ERROR_INIT;
    store_http_init(&store, url, STORE_TIMEOUT_MS, NULL, NULL);
    ck_assert_int_eq(store_get(&store, STORE_KEY_CONFIG, &value, &err),
                     STATUS_OK);
    ck_assert_int_eq(config_parse_json(value.text, value.size, &config, &err),
                     STATUS_OK);
    store_value_release(&value);
    store_release(&store);
    return config;
}

START_TEST(test_race)
{
    char url[STANDIN_URL_SIZE];
    store_t *standin = standin_store_new(url);
    ck_assert_ptr_nonnull(standin);
    store_set_fault(standin, cases[_i].fault, 0, "");
    operator_run_t runs[OPERATORS] = {0};
    pthread_t threads[OPERATORS];
    for (int i = 0; i < OPERATORS; i++) {
        runs[i].url = url;
        runs[i].number = i;
        pthread_create(&threads[i], NULL, operator_run, &runs[i]);
    }
    for (int i = 0; i < OPERATORS; i++) {
        pthread_join(threads[i], NULL);
        ck_assert_msg(runs[i].accepted == CHANGES, "%s: operator %d: %u",
                      cases[_i].name, i, runs[i].accepted);
    }
    store_set_fault(standin, KV_FAULT_OK, 0, "");
    config_t *config = config_read(url);
    ck_assert_uint_eq(config->version, OPERATORS * CHANGES);
    ck_assert_uint_eq(config->zone_out_count, OPERATORS * CHANGES);
    ck_assert_uint_eq(config->history_count, OPERATORS * CHANGES);
    for (size_t i = 0; i < config->history_count; i++) {
        const char *id = config->history[i].change_id;
        ck_assert_ptr_eq(config_find_change(config, id), &config->history[i]);
    }
    config_put(config);
    store_free(standin);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("operators race");
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, test_race, 0, sizeof(cases) / sizeof(cases[0]));
    return suite_run("operators race", tests);
}
