/* Tickets and the table of requests that may run at most once. */
#include "core/once.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum { LIFE_US = 1000, GRACE_US = 500, CAPACITY = 8 };

static const uint8_t key_bytes[] = "0123456789abcdef0123456789abcdef";
static const ticket_key_t fleet_key = {key_bytes, 32};
static const ticket_key_t other_key = {key_bytes + 1, 31};
static const ticket_key_t short_key = {key_bytes, TICKET_KEY_MIN - 1};

static const ticket_t sample = {.daemon = "b.2-x",
                                .incarnation = 0xfeedfacecafebeef,
                                .sequence = 17,
                                .expires_us = 123456789};

static once_t *
new_once(uint64_t incarnation)
{
    once_settings_t settings = {.daemon = "a1",
                                .incarnation = incarnation,
                                .lifetime_us = LIFE_US,
                                .grace_us = GRACE_US,
                                .capacity = CAPACITY};
    return once_new(&settings);
}

START_TEST(test_ticket_round_trip)
{
    char text[TICKET_TEXT_MAX];
    ticket_t read;
    error_t err = ERROR_INIT;
    ck_assert_int_eq(ticket_format(&sample, &fleet_key, text, &err),
                     STATUS_OK);
    ck_assert_int_eq(ticket_parse(text, &fleet_key, &read, &err), STATUS_OK);
    ck_assert_str_eq(read.daemon, sample.daemon);
    ck_assert(read.incarnation == sample.incarnation);
    ck_assert(read.sequence == sample.sequence);
    ck_assert(read.expires_us == sample.expires_us);
    ck_assert_int_eq(ticket_parse(text, &other_key, &read, &err),
                     STATUS_DENIED);
    ck_assert_int_eq(ticket_parse(text, &short_key, &read, &err),
                     STATUS_INVALID);
}
END_TEST

/* A ticket with one character changed or removed must not be accepted. */
START_TEST(test_ticket_forged)
{
    char text[TICKET_TEXT_MAX];
    char forged[TICKET_TEXT_MAX + 1];
    ticket_t read;
    ck_assert_int_eq(ticket_format(&sample, &fleet_key, text, NULL),
                     STATUS_OK);
    size_t size = strlen(text);
    for (size_t i = 0; i < size; i++) {
        memcpy(forged, text, size + 1);
        forged[i] = forged[i] == '0' ? '1' : '0';
        ck_assert_int_ne(ticket_parse(forged, &fleet_key, &read, NULL),
                         STATUS_OK);
        memmove(forged + i, text + i + 1, size - i);
        ck_assert_int_ne(ticket_parse(forged, &fleet_key, &read, NULL),
                         STATUS_OK);
    }
}
END_TEST

static const char *const not_tickets[] = {
    "",
    ".",
    "a1",
    "................................................................",
    "a1.1.1.1.0123456789abcdef0123456789abcdef",
};

START_TEST(test_not_a_ticket)
{
    ticket_t read;
    ck_assert_int_ne(ticket_parse(not_tickets[_i], &fleet_key, &read, NULL),
                     STATUS_OK);
}
END_TEST

START_TEST(test_ticket_too_long)
{
    char text[TICKET_TEXT_MAX * 2];
    ticket_t read;
    memset(text, '.', sizeof(text));
    text[sizeof(text) - 1] = '\0';
    ck_assert_int_eq(ticket_parse(text, &fleet_key, &read, NULL),
                     STATUS_INVALID);
}
END_TEST

typedef enum { BEGIN, END_WHOLE, END_UNKNOWN, END_NOT_RUN } once_op_t;

typedef struct {
    once_op_t op;
    int64_t now_us;
    uint64_t content;
    once_result_t result;
} once_step_t;

typedef struct {
    const char *name;
    const char *daemon;
    uint64_t incarnation; /* of the ticket; that of the table is 7 */
    once_step_t steps[6];
    int count;
} once_case_t;

static const once_case_t once_cases[] = {
    {"runs once; a resend gets the recorded outcome",
     "a1",
     7,
     {{BEGIN, 0, 1, ONCE_RUN},
      {BEGIN, 1, 1, ONCE_RUNNING},
      {END_WHOLE, 2, 0, 0},
      {BEGIN, 3, 1, ONCE_FINISHED},
      {BEGIN, LIFE_US + GRACE_US - 1, 1, ONCE_FINISHED}},
     5},
    {"an unknown outcome does not permit another run",
     "a1",
     7,
     {{BEGIN, 0, 1, ONCE_RUN},
      {END_UNKNOWN, 2, 0, 0},
      {BEGIN, 3, 1, ONCE_FINISHED}},
     3},
    {"proven not run: may be sent again",
     "a1",
     7,
     {{BEGIN, 0, 1, ONCE_RUN},
      {END_NOT_RUN, 2, 0, 0},
      {BEGIN, 3, 1, ONCE_RUN}},
     3},
    {"a ticket is refused for another request",
     "a1",
     7,
     {{BEGIN, 0, 1, ONCE_RUN},
      {BEGIN, 1, 2, ONCE_MISMATCH},
      {END_WHOLE, 2, 0, 0},
      {BEGIN, 3, 2, ONCE_MISMATCH}},
     4},
    {"expired without an entry: not run; after the grace period: not known",
     "a1",
     7,
     {{BEGIN, LIFE_US, 1, ONCE_EXPIRED},
      {BEGIN, LIFE_US + GRACE_US, 1, ONCE_NO_RECORD}},
     2},
    {"a running request keeps its entry",
     "a1",
     7,
     {{BEGIN, 0, 1, ONCE_RUN},
      {BEGIN, LIFE_US + GRACE_US + 9, 1, ONCE_RUNNING}},
     2},
    {"ticket of another daemon",
     "b2",
     7,
     {{BEGIN, 0, 1, ONCE_OTHER_DAEMON}},
     1},
    {"ticket of a dead incarnation",
     "a1",
     6,
     {{BEGIN, 0, 1, ONCE_DEAD_INCARNATION}},
     1},
};

START_TEST(test_once)
{
    const once_case_t *c = &once_cases[_i];
    static const outcome_t outcomes[] = {[END_WHOLE] = OUTCOME_WHOLE,
                                         [END_UNKNOWN] = OUTCOME_UNKNOWN,
                                         [END_NOT_RUN] = OUTCOME_NOT_RUN};
    once_t *once = new_once(7);
    ticket_t ticket = once_issue_ticket(once, 0);
    once_key_t key = {.value = 0};
    snprintf(ticket.daemon, sizeof(ticket.daemon), "%s", c->daemon);
    ticket.incarnation = c->incarnation;
    for (int i = 0; i < c->count; i++) {
        const once_step_t *step = &c->steps[i];
        once_outcome_t recorded = {.count = 0};
        if (step->op != BEGIN) {
            once_outcome_t outcome = {.outcome = outcomes[step->op],
                                      .count = 42};
            once_end(once, key, &outcome, step->now_us);
            continue;
        }
        once_result_t result = once_begin_ticket(
            once, &ticket, step->content, step->now_us, &key, &recorded);
        ck_assert_msg(result == step->result, "%s: step %d: %d", c->name, i,
                      result);
        ck_assert(result != ONCE_FINISHED || recorded.count == 42);
    }
    once_free(once);
}
END_TEST

START_TEST(test_full)
{
    once_t *once = new_once(7);
    once_outcome_t whole = {.outcome = OUTCOME_WHOLE};
    once_outcome_t recorded;
    once_key_t keys[CAPACITY];
    once_key_t key;
    for (uint64_t i = 0; i < CAPACITY; i++) {
        ck_assert_int_eq(once_begin_id(once, i, 1, 0, &keys[i], &recorded),
                         ONCE_RUN);
    }
    ck_assert_int_eq(once_begin_id(once, 99, 1, 0, &key, &recorded),
                     ONCE_FULL);
    once_end(once, keys[0], &whole, 0);
    ck_assert_int_eq(once_begin_id(once, 99, 1, 1, &key, &recorded),
                     ONCE_FULL);
    ck_assert_int_eq(
        once_begin_id(once, 99, 1, LIFE_US + GRACE_US, &key, &recorded),
        ONCE_RUN);
    once_free(once);
}
END_TEST

/* A ticket's sequence and an id's hash of the same value are two requests. */
START_TEST(test_ticket_and_id_are_distinct)
{
    once_t *once = new_once(7);
    once_outcome_t recorded;
    once_key_t key;
    ticket_t ticket = once_issue_ticket(once, 0);
    ck_assert_int_eq(once_begin_ticket(once, &ticket, 1, 0, &key, &recorded),
                     ONCE_RUN);
    ck_assert_int_eq(
        once_begin_id(once, ticket.sequence, 1, 0, &key, &recorded), ONCE_RUN);
    ck_assert(once_hash_id("s", "t", "x") != once_hash_id("s", "tx", ""));
    once_free(once);
}
END_TEST

enum { TICKETS = 40, ROUNDS = 20000 };

/*
 * Random resends of many tickets. No ticket may run again while it is running
 * or after it ran, and none may be reported as not run then.
 */
START_TEST(test_random)
{
    once_t *once = new_once(7);
    ticket_t tickets[TICKETS];
    once_key_t keys[TICKETS];
    bool running[TICKETS] = {false};
    bool ran[TICKETS] = {false};
    int runs = 0;
    int64_t now_us = 0;
    for (int i = 0; i < TICKETS; i++) {
        tickets[i] = once_issue_ticket(once, now_us);
    }
    for (uint64_t round = 0; round < ROUNDS; round++) {
        uint64_t hash = XXH64(&round, sizeof(round), (uint64_t)_i);
        size_t i = hash % TICKETS;
        now_us += (int64_t)(hash >> 20 & 3);
        if (ran[i] && !running[i] && (hash >> 30 & 15) == 0) {
            tickets[i] = once_issue_ticket(once, now_us);
            ran[i] = false;
        }
        once_outcome_t outcome = {.outcome = hash >> 40 & 1 ? OUTCOME_WHOLE
                                                            : OUTCOME_NOT_RUN};
        if (running[i] && (hash >> 50 & 1)) {
            once_end(once, keys[i], &outcome, now_us);
            ran[i] = outcome.outcome == OUTCOME_WHOLE;
            running[i] = false;
            continue;
        }
        once_result_t result = once_begin_ticket(once, &tickets[i], i, now_us,
                                                 &keys[i], &outcome);
        if (result == ONCE_RUN) {
            ck_assert(!running[i]);
            ck_assert(!ran[i]);
            running[i] = true;
            runs++;
        }
        ck_assert(result != ONCE_EXPIRED || (!ran[i] && !running[i]));
    }
    ck_assert_int_gt(runs, 100);
    once_free(once);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("once");
    tcase_add_test(tests, test_ticket_round_trip);
    tcase_add_test(tests, test_ticket_forged);
    tcase_add_loop_test(tests, test_not_a_ticket, 0,
                        sizeof(not_tickets) / sizeof(not_tickets[0]));
    tcase_add_test(tests, test_ticket_too_long);
    tcase_add_loop_test(tests, test_once, 0,
                        sizeof(once_cases) / sizeof(once_cases[0]));
    tcase_add_test(tests, test_full);
    tcase_add_test(tests, test_ticket_and_id_are_distinct);
    tcase_add_loop_test(tests, test_random, 0, 10);
    return suite_run("once", tests);
}
