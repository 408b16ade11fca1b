/* One query at its coordinator: merging, pins, retries, hedges, outcomes. */
#include "core/query.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <string.h>

enum {
    GROUPS = 2,
    REPLICAS = 3,
    DEADLINE_US = 100000,
    VERSION = 7,
    GENERATION = 3,
    HALF_COUNT = 10
};

#define HALF (KEY_END / 2)

typedef struct {
    config_t *config;
    topology_t *topology;
    replica_table_t replicas;
    budget_t budget;
    query_context_t context;
    query_t *query;
} fixture_t;

static topology_t *
make_topology(uint64_t generation, uint64_t split)
{
    upstream_info_t upstreams[GROUPS * REPLICAS];
    memset(upstreams, 0, sizeof(upstreams));
    for (int i = 0; i < GROUPS * REPLICAS; i++) {
        upstream_info_t *u = &upstreams[i];
        snprintf(u->name, NAME_SIZE, "desk-g%d-r%d", i / REPLICAS,
                 i % REPLICAS);
        snprintf(u->service, NAME_SIZE, "desk");
        snprintf(u->zone, NAME_SIZE, "z%d", i % REPLICAS);
        snprintf(u->address, ADDRESS_SIZE, "127.0.0.1");
        u->port = (uint16_t)(1000 + i);
        u->group = (uint16_t)(i / REPLICAS);
    }
    shard_t shards[GROUPS] = {
        {.range = {0, split}, .group = 0},
        {.range = {split, KEY_END}, .group = 1},
    };
    partition_t partition = {
        .service = "desk",
        .generation = generation,
        .shards = shards,
        .shard_count = GROUPS,
    };
    topology_t *topology;
    error_t err = ERROR_INIT;
    ck_assert_int_eq(topology_new(upstreams, GROUPS * REPLICAS, &partition, 1,
                                  &topology, &err),
                     STATUS_OK);
    return topology;
}

static const char table_text[] =
    "rows:\n"
    "  - {service: desk, class: desk, weight: 10, deadline_ms: 100,\n"
    "     upstream_slots: 4, upstream_connections: 8, held_connections: 2,\n"
    "     cold_slots: 1, zone_slots: 20, service_slots: 40,\n"
    "     tenant_slots: 10, added_load_percent: 100}\n";

static void
fixture_init(fixture_t *f, bool once)
{
    error_t err = ERROR_INIT;
    table_fault_t fault;
    memset(f, 0, sizeof(*f));
    ck_assert_msg(table_parse_yaml(table_text, strlen(table_text), &f->config,
                                   &fault, &err) == STATUS_OK,
                  "%s: %s", fault.column, fault.message);
    f->topology = make_topology(GENERATION, HALF);
    replica_table_init(&f->replicas);
    ck_assert(replica_table_set_topology(&f->replicas, f->topology));
    for (size_t i = 0; i < f->topology->upstream_count; i++) {
        f->replicas.replicas[i].held[0] = VERSION;
    }
    budget_init(&f->budget);
    f->context = (query_context_t){
        .config = f->config,
        .replicas = &f->replicas,
        .budget = &f->budget,
        .added_percent = 100,
        .seed = 1,
    };
    query_request_t request = {
        .service = "desk",
        .tenant = "t",
        .range = {0, KEY_END},
        .deadline_us = DEADLINE_US,
        .once = once,
        .body = "",
    };
    attempt_id_t id = {.incarnation = 5, .sequence = 9};
    f->query = query_new(&request, &f->context, id, 0);
    ck_assert_ptr_nonnull(f->query);
}

static void
fixture_release(fixture_t *f)
{
    query_free(f->query);
    replica_table_release(&f->replicas);
    topology_put(f->topology);
    config_put(f->config);
}

static part_reply_t
reply_to(const query_action_t *action, part_status_t status, bool not_run)
{
    return (part_reply_t){
        .id = action->request.id,
        .status = status,
        .not_run = not_run,
        .version = VERSION,
        .generation = GENERATION,
        .range = action->request.range,
        .count = HALF_COUNT,
        .sum = action->request.range.lo == 0 ? 100 : 200,
        .held = {VERSION},
    };
}

/* Takes all due actions and stores the sends; returns their number. */
static size_t
take_sends(fixture_t *f, int64_t now_us, query_action_t *sends, size_t max)
{
    size_t count = 0;
    query_action_t action;
    query_step_t step;
    while ((step = query_next(f->query, &f->context, now_us, &action)) ==
               QUERY_SEND ||
           step == QUERY_CANCEL) {
        if (step == QUERY_SEND) {
            ck_assert_uint_lt(count, max);
            sends[count++] = action;
        }
    }
    return count;
}

static void
answer(fixture_t *f, const query_action_t *action, part_status_t status,
       bool not_run, int64_t now_us)
{
    part_reply_t reply = reply_to(action, status, not_run);
    query_reply(f->query, &f->context, &reply, now_us);
}

static query_answer_t
final_answer(fixture_t *f, int64_t now_us)
{
    query_action_t action;
    query_answer_t result;
    query_step_t step;
    while ((step = query_next(f->query, &f->context, now_us, &action)) ==
           QUERY_CANCEL) {
    }
    ck_assert_int_eq(step, QUERY_DONE);
    query_answer(f->query, &result);
    return result;
}

START_TEST(test_whole)
{
    fixture_t f;
    query_action_t sends[8];
    fixture_init(&f, false);
    ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 2);
    answer(&f, &sends[1], PART_OK, false, 10);
    answer(&f, &sends[0], PART_OK, false, 20);
    query_answer_t result = final_answer(&f, 30);
    ck_assert_int_eq(result.outcome, OUTCOME_WHOLE);
    ck_assert_uint_eq(result.sum, 300);
    ck_assert_uint_eq(result.count, 2 * HALF_COUNT);
    ck_assert_uint_eq(result.version, VERSION);
    fixture_release(&f);
}
END_TEST

/*
 * A reply that does not match its attempt, or that no attempt waits for, must
 * not be merged. Merged, it would make the answer wrong or count keys twice.
 */
typedef struct {
    const char *name;
    uint64_t lo_shift;
    uint64_t version;
    uint64_t generation;
    uint32_t attempt_shift;
    uint64_t incarnation;
    bool twice;       /* a valid reply has come before */
    uint32_t dropped; /* expected number of dropped replies */
} stray_case_t;

static const stray_case_t stray_cases[] = {
    {"other range", 1, VERSION, GENERATION, 0, 5, false, 0},
    {"other version", 0, VERSION + 1, GENERATION, 0, 5, false, 0},
    {"no version", 0, 0, GENERATION, 0, 5, false, 0},
    {"other generation", 0, VERSION, GENERATION + 1, 0, 5, false, 0},
    {"attempt never made", 0, VERSION, GENERATION, 50, 5, false, 1},
    {"other incarnation", 0, VERSION, GENERATION, 0, 6, false, 1},
    {"duplicate", 0, VERSION, GENERATION, 0, 5, true, 1},
};

START_TEST(test_stray_reply)
{
    const stray_case_t *c = &stray_cases[_i];
    fixture_t f;
    query_action_t sends[8];
    fixture_init(&f, false);
    ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 2);
    part_reply_t reply = reply_to(&sends[0], PART_OK, false);
    if (c->twice) {
        query_reply(f.query, &f.context, &reply, 5);
    }
    reply.range.lo += c->lo_shift;
    reply.version = c->version;
    reply.generation = c->generation;
    reply.id.attempt += c->attempt_shift;
    reply.id.incarnation = c->incarnation;
    query_reply(f.query, &f.context, &reply, 10);
    query_answer_t result;
    query_answer(f.query, &result);
    ck_assert_msg(result.covered == (c->twice ? HALF : 0), "%s", c->name);
    ck_assert_msg(result.count == (c->twice ? HALF_COUNT : 0), "%s", c->name);
    ck_assert_msg(result.dropped == c->dropped, "%s", c->name);
    fixture_release(&f);
}
END_TEST

/* How the first attempt of each piece ends, and the outcome that follows. */
typedef struct {
    const char *name;
    bool once;
    part_status_t status;
    bool not_run;
    size_t sent_again;
    outcome_t outcome; /* when no later attempt is answered */
} failure_case_t;

static const failure_case_t failure_cases[] = {
    {"lost: retried", false, PART_LOST, false, 1, OUTCOME_UNKNOWN},
    {"once, lost: not retried", true, PART_LOST, false, 0, OUTCOME_UNKNOWN},
    {"once, failed: not retried", true, PART_FAILED, false, 0,
     OUTCOME_UNKNOWN},
    {"once, bad reply: not retried", true, PART_BAD_REPLY, false, 0,
     OUTCOME_UNKNOWN},
    {"once, not run: sent again", true, PART_SHED, true, 2, OUTCOME_UNKNOWN},
    {"expired", false, PART_EXPIRED, true, 0, OUTCOME_NOT_RUN},
    {"once, expired", true, PART_EXPIRED, true, 0, OUTCOME_NOT_RUN},
    {"quarantined", false, PART_QUARANTINED, true, 0, OUTCOME_NOT_RUN},
};

START_TEST(test_attempt_failure)
{
    const failure_case_t *c = &failure_cases[_i];
    fixture_t f;
    query_action_t sends[8];
    fixture_init(&f, c->once);
    ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 2);
    answer(&f, &sends[0], c->status, c->not_run, 10);
    answer(&f, &sends[1], c->status, c->not_run, 10);
    ck_assert_msg(take_sends(&f, 20, sends, 8) == c->sent_again, "%s",
                  c->name);
    query_answer_t result = final_answer(&f, DEADLINE_US);
    ck_assert_msg(result.outcome == c->outcome, "%s: %s", c->name,
                  outcome_name(result.outcome));
    fixture_release(&f);
}
END_TEST

START_TEST(test_not_run_needs_proof)
{
    /* All attempts refused: not run. One of them unanswered: unknown. */
    for (int silent = 0; silent < 2; silent++) {
        fixture_t f;
        query_action_t sends[8];
        fixture_init(&f, false);
        int64_t now_us = 0;
        size_t count;
        while ((count = take_sends(&f, now_us, sends, 8)) > 0 ||
               now_us < DEADLINE_US) {
            for (size_t i = 0; i < count; i++) {
                if (!(silent == 1 && sends[i].request.id.attempt == 0)) {
                    answer(&f, &sends[i], PART_SHED, true, now_us);
                }
            }
            now_us += 1000;
        }
        query_answer_t result = final_answer(&f, DEADLINE_US);
        ck_assert_int_eq(result.outcome,
                         silent ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
        fixture_release(&f);
    }
}
END_TEST

/*
 * When all attempts are lost, the query itself may be crashing its upstreams.
 * It must then retry one piece at a time and give up after two lost retries,
 * so that it does not crash further replicas. An answered retry clears the
 * suspicion, and the other pieces are retried.
 */
START_TEST(test_lost_attempts_are_retried_one_by_one)
{
    for (int retry_answered = 0; retry_answered < 2; retry_answered++) {
        fixture_t f;
        query_action_t sends[8];
        fixture_init(&f, false);
        ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 2);
        answer(&f, &sends[0], PART_LOST, false, 10);
        answer(&f, &sends[1], PART_LOST, false, 10);
        ck_assert_uint_eq(take_sends(&f, 20, sends, 8), 1);
        if (retry_answered) {
            answer(&f, &sends[0], PART_OK, false, 30);
            ck_assert_uint_eq(take_sends(&f, 40, sends, 8), 1);
            answer(&f, &sends[0], PART_OK, false, 50);
            ck_assert_int_eq(final_answer(&f, 60).outcome, OUTCOME_WHOLE);
        }
        else {
            answer(&f, &sends[0], PART_LOST, false, 30);
            ck_assert_uint_eq(take_sends(&f, 30000, sends, 8), 1);
            answer(&f, &sends[0], PART_LOST, false, 30010);
            query_answer_t result = final_answer(&f, 30020);
            ck_assert_int_eq(result.outcome, OUTCOME_UNKNOWN);
            ck_assert_uint_eq(result.attempts, 4);
            ck_assert(result.suspect);
        }
        fixture_release(&f);
    }
}
END_TEST

START_TEST(test_partial_lists_what_is_missing)
{
    fixture_t f;
    query_action_t sends[8];
    fixture_init(&f, false);
    take_sends(&f, 0, sends, 8);
    size_t low = sends[0].request.range.lo == 0 ? 0 : 1;
    answer(&f, &sends[low], PART_OK, false, 10);
    query_answer_t result = final_answer(&f, DEADLINE_US);
    ck_assert_int_eq(result.outcome, OUTCOME_PARTIAL);
    ck_assert_int_eq(result.reason, REASON_DEADLINE);
    ck_assert_uint_eq(result.covered, HALF);
    ck_assert_uint_eq(result.missing_count, 1);
    ck_assert_uint_eq(result.missing[0].lo, HALF);
    ck_assert_uint_eq(result.missing[0].hi, KEY_END);
    fixture_release(&f);
}
END_TEST

START_TEST(test_hedge)
{
    /* A slow attempt is hedged, unless it may run only once. */
    for (int once = 0; once < 2; once++) {
        fixture_t f;
        query_action_t sends[8];
        query_action_t hedges[8];
        fixture_init(&f, once == 1);
        ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 2);
        answer(&f, &sends[1], PART_OK, false, 10);
        size_t hedged = take_sends(&f, DEADLINE_US / 2, hedges, 8);
        ck_assert_uint_eq(hedged, once ? 0 : 1);
        if (!once) {
            ck_assert(hedges[0].request.hedge);
            ck_assert_str_ne(hedges[0].request.upstream,
                             sends[0].request.upstream);
            answer(&f, &hedges[0], PART_OK, false, DEADLINE_US / 2 + 10);
            query_answer_t result = final_answer(&f, DEADLINE_US / 2 + 20);
            ck_assert_int_eq(result.outcome, OUTCOME_WHOLE);
            ck_assert_uint_eq(result.sum, 300);
        }
        fixture_release(&f);
    }
}
END_TEST

/* When an unanswered piece is hedged under each policy. */
typedef struct {
    const char *name;
    query_policy_t policy;
    int64_t hedged_us; /* 0: never */
} policy_case_t;

static const policy_case_t policy_cases[] = {
    {"by histogram, nothing known", {.hedge_delay_us = 700}, DEADLINE_US / 4},
    {"fixed", {QUERY_HEDGE_FIXED, 700, false}, 700},
    {"none", {QUERY_HEDGE_NONE, 700, false}, 0},
};

START_TEST(test_policy)
{
    const policy_case_t *c = &policy_cases[_i];
    fixture_t f;
    query_action_t sends[8];
    fixture_init(&f, false);
    f.context.policy = &c->policy;
    ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 2);
    int64_t last_us = c->hedged_us > 0 ? c->hedged_us : DEADLINE_US;
    ck_assert_msg(take_sends(&f, last_us - 1, sends, 8) == 0, "%s", c->name);
    size_t expected = c->hedged_us > 0 ? 2 : 0;
    ck_assert_msg(take_sends(&f, last_us, sends, 8) == expected, "%s",
                  c->name);
    fixture_release(&f);
}
END_TEST

START_TEST(test_hedge_delay_from_service)
{
    /* Without replies of its own, a replica has its service's hedge delay. */
    fixture_t f;
    fixture_init(&f, false);
    ck_assert_int_eq(replica_hedge_delay_us(&f.replicas, 0, 77000), 77000);
    part_reply_t reply = {.status = PART_OK, .held = {VERSION}};
    for (int i = 0; i < 20; i++) {
        replica_table_record_reply(&f.replicas, 1, &reply, 5000, 0);
    }
    ck_assert_int_lt(replica_hedge_delay_us(&f.replicas, 0, 77000), 5500);
    for (int i = 0; i < 20; i++) {
        replica_table_record_reply(&f.replicas, 0, &reply, 9000, 0);
    }
    ck_assert_int_gt(replica_hedge_delay_us(&f.replicas, 0, 77000), 8500);
    fixture_release(&f);
}
END_TEST

START_TEST(test_random_replica)
{
    /* By cost a busy replica is never selected, at random it sometimes is. */
    for (int random = 0; random < 2; random++) {
        query_policy_t policy = {.random_replica = random == 1};
        size_t costly = 0;
        for (uint64_t seed = 0; seed < 64; seed++) {
            fixture_t f;
            query_action_t sends[8];
            fixture_init(&f, false);
            f.context.policy = &policy;
            f.context.seed = seed;
            f.replicas.replicas[0].in_progress = 100;
            ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 2);
            for (size_t i = 0; i < 2; i++) {
                costly += sends[i].upstream == 0 ? 1 : 0;
            }
            fixture_release(&f);
        }
        ck_assert(random == 1 ? costly > 5 : costly == 0);
    }
}
END_TEST

START_TEST(test_hedge_needs_budget)
{
    fixture_t f;
    query_action_t sends[8];
    fixture_init(&f, false);
    f.context.added_percent = 0;
    ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 2);
    ck_assert_uint_eq(take_sends(&f, DEADLINE_US / 2, sends, 8), 0);
    fixture_release(&f);
}
END_TEST

START_TEST(test_version_changes)
{
    /* No replica of a group holds the pinned version: pin a newer one. */
    fixture_t f;
    query_action_t sends[8];
    fixture_init(&f, false);
    ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 2);
    size_t low = sends[0].request.range.lo == 0 ? 0 : 1;
    answer(&f, &sends[low], PART_OK, false, 10);
    query_action_t next = sends[1 - low];
    for (int i = 0; i < REPLICAS; i++) {
        part_reply_t reply = reply_to(&next, PART_NO_VERSION, true);
        reply.held[0] = VERSION + 1;
        query_reply(f.query, &f.context, &reply, 20);
        for (size_t r = 0; r < REPLICAS; r++) {
            f.replicas.replicas[r].held[0] = VERSION + 1;
            f.replicas.replicas[r].held[1] = VERSION;
        }
        size_t count = take_sends(&f, 30, sends, 8);
        ck_assert_uint_eq(count, i + 1 < REPLICAS ? 1 : 2);
        next = sends[0];
    }
    for (int i = 0; i < 2; i++) {
        ck_assert_uint_eq(sends[i].request.version, VERSION + 1);
        part_reply_t reply = reply_to(&sends[i], PART_OK, false);
        reply.version = VERSION + 1;
        query_reply(f.query, &f.context, &reply, 40);
    }
    query_answer_t result = final_answer(&f, 50);
    ck_assert_int_eq(result.outcome, OUTCOME_WHOLE);
    ck_assert_uint_eq(result.version, VERSION + 1);
    ck_assert_uint_eq(result.restarts, 1);
    ck_assert_uint_eq(result.sum, 300);
    fixture_release(&f);
}
END_TEST

/*
 * The replicas of group 1 last reported their versions before a new version
 * appeared. An old report must not rule out the new version; only a recent
 * report may.
 */
START_TEST(test_stale_versions_are_asked_again)
{
    fixture_t f;
    query_action_t sends[8];
    fixture_init(&f, false);
    query_free(f.query);
    part_reply_t reply = {.status = PART_OK, .held = {VERSION}};
    for (uint32_t i = 0; i < GROUPS * REPLICAS; i++) {
        replica_table_record_reply(&f.replicas, i, &reply, 5000, 0);
    }
    reply.held[0] = VERSION + 1;
    replica_table_record_reply(&f.replicas, 0, &reply, 5000, 0);
    const replica_t *stale = &f.replicas.replicas[REPLICAS];
    ck_assert(replica_may_hold_version_now(stale, VERSION, 0));
    ck_assert(!replica_may_hold_version_now(stale, VERSION + 1, 50000));
    ck_assert(!replica_may_hold_version_now(stale, VERSION - 1, 500000));
    ck_assert(replica_may_hold_version_now(stale, VERSION + 1, 500000));
    for (uint32_t i = 0; i < REPLICAS; i++) {
        replica_table_record_reply(&f.replicas, i, &reply, 5000, 0);
    }
    query_request_t request = {.service = "desk",
                               .range = {0, KEY_END},
                               .deadline_us = 500000 + DEADLINE_US};
    attempt_id_t id = {.incarnation = 5, .sequence = 9};
    f.query = query_new(&request, &f.context, id, 500000);
    size_t count = take_sends(&f, 500000, sends, 8);
    ck_assert_uint_eq(count, 2);
    for (size_t i = 0; i < count; i++) {
        ck_assert_uint_eq(sends[i].request.version, VERSION + 1);
    }
    fixture_release(&f);
}
END_TEST

/*
 * A piece that waits for a silent owner is hedged at once, and replicas of
 * silent owners are selected last.
 */
START_TEST(test_silent_owner)
{
    fixture_t f;
    query_action_t sends[8];
    bool owner_silent[GROUPS * REPLICAS] = {false};
    fixture_init(&f, false);
    f.context.owner_silent = owner_silent;
    ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 2);
    ck_assert_uint_eq(take_sends(&f, 100, sends + 2, 6), 0);
    owner_silent[sends[0].upstream] = true;
    ck_assert_uint_eq(take_sends(&f, 200, sends + 2, 6), 1);
    ck_assert(sends[2].request.hedge);
    ck_assert_uint_eq(sends[2].request.range.lo, sends[0].request.range.lo);
    ck_assert(!owner_silent[sends[2].upstream]);
    ck_assert_uint_eq(take_sends(&f, 300, sends + 3, 5), 0);
    fixture_release(&f);
}
END_TEST

START_TEST(test_partition_changes)
{
    /* A replica has moved to a newer partition: the query restarts with it. */
    fixture_t f;
    query_action_t sends[8];
    fixture_init(&f, false);
    ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 2);
    answer(&f, &sends[0], PART_OK, false, 10);
    part_reply_t moved = reply_to(&sends[1], PART_MOVED, true);
    moved.generation = GENERATION + 1;
    query_reply(f.query, &f.context, &moved, 10);
    topology_t *after = make_topology(GENERATION + 1, HALF / 2);
    query_set_topology(f.query, f.topology, after);
    ck_assert(replica_table_set_topology(&f.replicas, after));
    topology_put(f.topology);
    f.topology = after;
    ck_assert_uint_eq(take_sends(&f, 20, sends, 8), 2);
    for (int i = 0; i < 2; i++) {
        ck_assert_uint_eq(sends[i].request.generation, GENERATION + 1);
        part_reply_t reply = reply_to(&sends[i], PART_OK, false);
        reply.generation = GENERATION + 1;
        query_reply(f.query, &f.context, &reply, 30);
    }
    query_answer_t result = final_answer(&f, 40);
    ck_assert_int_eq(result.outcome, OUTCOME_WHOLE);
    ck_assert_uint_eq(result.generation, GENERATION + 1);
    ck_assert_uint_eq(result.sum, 300);
    fixture_release(&f);
}
END_TEST

START_TEST(test_zone_out)
{
    fixture_t f;
    query_action_t sends[8];
    error_t err = ERROR_INIT;
    fixture_init(&f, false);
    ck_assert_int_eq(config_set_zone_out(f.config, "z1", true, &err),
                     STATUS_OK);
    for (int round = 0; round < 20; round++) {
        size_t count = take_sends(&f, round * 1000, sends, 8);
        for (size_t i = 0; i < count; i++) {
            ck_assert_ptr_null(strstr(sends[i].request.upstream, "-r1"));
            answer(&f, &sends[i], PART_SHED, true, round * 1000 + 1);
        }
    }
    fixture_release(&f);
}
END_TEST

START_TEST(test_first_version_is_probed)
{
    /* No version known: one piece is sent first, and its version is pinned. */
    fixture_t f;
    query_action_t sends[8];
    fixture_init(&f, false);
    query_free(f.query);
    for (size_t i = 0; i < f.topology->upstream_count; i++) {
        f.replicas.replicas[i].held[0] = 0;
    }
    query_request_t request = {
        .service = "desk", .range = {0, KEY_END}, .deadline_us = DEADLINE_US};
    attempt_id_t id = {.incarnation = 5, .sequence = 9};
    f.query = query_new(&request, &f.context, id, 0);
    ck_assert_uint_eq(take_sends(&f, 0, sends, 8), 1);
    ck_assert_uint_eq(sends[0].request.version, 0);
    answer(&f, &sends[0], PART_OK, false, 10);
    ck_assert_uint_eq(take_sends(&f, 20, sends, 8), 1);
    ck_assert_uint_eq(sends[0].request.version, VERSION);
    fixture_release(&f);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("query");
    tcase_add_test(tests, test_whole);
    tcase_add_loop_test(tests, test_stray_reply, 0,
                        sizeof(stray_cases) / sizeof(stray_cases[0]));
    tcase_add_loop_test(tests, test_attempt_failure, 0,
                        sizeof(failure_cases) / sizeof(failure_cases[0]));
    tcase_add_test(tests, test_not_run_needs_proof);
    tcase_add_test(tests, test_partial_lists_what_is_missing);
    tcase_add_test(tests, test_lost_attempts_are_retried_one_by_one);
    tcase_add_test(tests, test_hedge);
    tcase_add_test(tests, test_hedge_delay_from_service);
    tcase_add_test(tests, test_hedge_needs_budget);
    tcase_add_loop_test(tests, test_policy, 0,
                        sizeof(policy_cases) / sizeof(policy_cases[0]));
    tcase_add_test(tests, test_random_replica);
    tcase_add_test(tests, test_version_changes);
    tcase_add_test(tests, test_stale_versions_are_asked_again);
    tcase_add_test(tests, test_silent_owner);
    tcase_add_test(tests, test_partition_changes);
    tcase_add_test(tests, test_zone_out);
    tcase_add_test(tests, test_first_version_is_probed);
    return suite_run("query", tests);
}
