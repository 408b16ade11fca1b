/* What is believed of upstreams and daemons, and how it is followed. */
#include "t/lib/suite.h"
#include "tier/follow.h"
#include "tier/lease.h"
#include "tier/members.h"
#include "tier/pace.h"
#include "tier/registry.h"
#include "tier/serving.h"

#include <stdio.h>
#include <string.h>

enum { T0 = 100000000, SECOND = 1000000 };

static instance_entry_t
entry_of(const char *id)
{
    instance_entry_t entry = {.slots = 4};
    snprintf(entry.id, sizeof(entry.id), "%s", id);
    snprintf(entry.service, sizeof(entry.service), "s");
    snprintf(entry.zone, sizeof(entry.zone), "a");
    return entry;
}

/* When an entry that vanishes is gone. */
typedef struct {
    const char *name;
    bool outage;       /* the store was away until T0 */
    int64_t vanish_us; /* after T0 */
    int64_t return_us; /* 0: it does not come back */
    int64_t looked_us;
    bool there;
} lapse_case_t;

static const lapse_case_t lapse_cases[] = {
    {"no outage: gone at once", false, 0, 0, 0, false},
    {"vanished at the return, still in its time", true, 0, 0, 1900000, true},
    {"vanished at the return, its time over", true, 0, 0, 2100000, false},
    {"came back in time", true, 0, 1500000, 9 * SECOND, true},
    {"vanished within that time", true, 1500000, 0, 1900000, true},
    {"vanished within that time, and it is over", true, 1500000, 0, 2100000,
     false},
    {"vanished long after", true, 5 * SECOND, 0, 5 * SECOND, false},
};

START_TEST(test_lapse)
{
    const lapse_case_t *c = &lapse_cases[_i];
    registry_t registry;
    registry_init(&registry);
    instance_entry_t entry = entry_of("i-1");
    registry_put(&registry, &entry, 5, T0 - 9 * SECOND);
    if (c->outage) {
        registry_store_lost(&registry);
        registry_store_back(&registry, T0);
    }
    registry_remove(&registry, "i-1", 6, T0 + c->vanish_us);
    if (c->return_us > 0) {
        registry_put(&registry, &entry, 7, T0 + c->return_us);
    }
    for (int64_t at = 0; at <= c->looked_us; at += 50000) {
        registry_expire(&registry, T0 + at);
    }
    ck_assert_msg((registry_count(&registry) == 1) == c->there, "%s", c->name);
    pool_t *pool = registry_pool(&registry, "s");
    ck_assert_uint_eq(pool->count, c->there ? 1 : 0);
    registry_release(&registry);
}
END_TEST

START_TEST(test_list_and_order)
{
    registry_t registry;
    registry_init(&registry);
    instance_entry_t one = entry_of("i-1");
    instance_entry_t two = entry_of("i-2");
    ck_assert_int_eq(registry_put(&registry, &one, 5, T0), REGISTRY_ADDED);
    registry_put(&registry, &two, 6, T0);
    /* What is older than what is known changes nothing. */
    one.draining = true;
    ck_assert_int_eq(registry_put(&registry, &one, 4, T0), REGISTRY_SAME);
    ck_assert_int_eq(registry_remove(&registry, "i-1", 3, T0), REGISTRY_SAME);
    ck_assert_int_eq(registry_put(&registry, &one, 8, T0), REGISTRY_CHANGED);
    ck_assert_int_eq(registry_put(&registry, &one, 9, T0), REGISTRY_SAME);
    /* A list that does not name it ends it. */
    registry_list_begin(&registry);
    registry_put(&registry, &one, 9, T0);
    registry_list_end(&registry, T0);
    ck_assert_uint_eq(registry_count(&registry), 1);
    /* The same id at another service is another upstream. */
    snprintf(one.service, sizeof(one.service), "t");
    ck_assert_int_eq(registry_put(&registry, &one, 12, T0), REGISTRY_ADDED);
    ck_assert_uint_eq(registry_pool(&registry, "s")->count, 0);
    ck_assert_uint_eq(registry_pool(&registry, "t")->count, 1);
    registry_release(&registry);
}
END_TEST

START_TEST(test_new_start_under_an_id)
{
    registry_t registry;
    registry_init(&registry);
    instance_entry_t entry = entry_of("i-1");
    entry.started_ms = 1000;
    registry_put(&registry, &entry, 5, T0);
    instance_t *instance = registry_pool(&registry, "s")->instances[0];
    for (int i = 0; i < 9; i++) {
        instance_sent(instance, T0);
        instance_lost(instance, T0);
    }
    ck_assert(instance->badness > 0.9);
    registry_put(&registry, &entry, 6, T0);
    ck_assert(instance->badness > 0.9);
    entry.started_ms = 2000;
    registry_put(&registry, &entry, 7, T0);
    ck_assert(instance->badness == 0);
    registry_release(&registry);
}
END_TEST

START_TEST(test_zones)
{
    registry_t registry;
    registry_init(&registry);
    ck_assert(registry_close_zone(&registry, "a", true));
    ck_assert(registry_close_zone(&registry, "b", true));
    ck_assert(registry_close_zone(&registry, "a", true));
    ck_assert_uint_eq(registry.closed_count, 2);
    ck_assert(registry_close_zone(&registry, "a", false));
    ck_assert(registry_close_zone(&registry, "c", false));
    ck_assert(!registry_zone_is_closed(&registry, "a"));
    ck_assert(registry_zone_is_closed(&registry, "b"));
    ck_assert_str_eq(registry.closed_names[0], "b");
    registry_release(&registry);
}
END_TEST

static kv_response_t
answer_of(uint64_t revision, kv_item_t *items, size_t count, bool more)
{
    return (kv_response_t){
        .items = items,
        .count = count,
        .revision = revision,
        .has_more = more,
    };
}

START_TEST(test_follow)
{
    static const follow_settings_t settings = {
        .prefix = "servers/",
        .pause_us = SECOND,
    };
    kv_item_t item = {.key = "servers/i-5"};
    kv_call_t call;
    follow_t follow;
    follow_init(&follow, &settings);
    ck_assert(follow_next(&follow, &call, T0));
    ck_assert_str_eq(call.target, "/-/kv-range?prefix=servers/");
    ck_assert(!follow_next(&follow, &call, T0)); /* one at a time */
    kv_response_t page = answer_of(40, &item, 1, true);
    ck_assert_int_eq(follow_answered(&follow, &page, T0), FOLLOW_LIST_FIRST);
    ck_assert(follow_next(&follow, &call, T0));
    ck_assert_str_eq(call.target,
                     "/-/kv-range?prefix=servers/&after=servers/i-5");
    /* A page that fails is asked for again. */
    follow_failed(&follow, false, T0);
    ck_assert(!follow_next(&follow, &call, T0));
    ck_assert(follow_next(&follow, &call, T0 + FOLLOW_RETRY_US));
    ck_assert_str_eq(call.target,
                     "/-/kv-range?prefix=servers/&after=servers/i-5");
    page = answer_of(45, &item, 1, false);
    ck_assert_int_eq(follow_answered(&follow, &page, T0), FOLLOW_LIST_LAST);
    /* The pages are no snapshot: changes since the first are asked for. */
    ck_assert(follow_next(&follow, &call, T0 + SECOND));
    ck_assert_str_eq(call.target,
                     "/-/kv-watch?prefix=servers/&after=40&wait_ms=0");
    page = answer_of(50, &item, 1, false);
    ck_assert_int_eq(follow_answered(&follow, &page, T0), FOLLOW_CHANGES);
    ck_assert(!follow_next(&follow, &call, T0 + SECOND / 2));
    ck_assert(follow_next(&follow, &call, T0 + SECOND));
    ck_assert_str_eq(call.target,
                     "/-/kv-watch?prefix=servers/&after=50&wait_ms=0");
    /* History that is gone: all is read again, at once. */
    follow_failed(&follow, true, T0 + SECOND);
    ck_assert(follow_next(&follow, &call, T0 + SECOND));
    ck_assert_str_eq(call.target, "/-/kv-range?prefix=servers/");
}
END_TEST

typedef struct {
    const char *name;
    uint32_t status; /* of the answer to the renewal; 0: none comes */
    bool missing;    /* the record is seen to be gone */
    lease_do_t next;
} lease_case_t;

static const lease_case_t lease_cases[] = {
    {"renewed", 200, false, LEASE_KEEP},
    {"the lease has ended", 404, false, LEASE_GRANT},
    {"refused for now", 503, false, LEASE_KEEP},
    {"no answer", 0, false, LEASE_KEEP},
    {"renewed, and yet the record is gone", 200, true, LEASE_WRITE},
};

START_TEST(test_lease)
{
    const lease_case_t *c = &lease_cases[_i];
    lease_t lease;
    kv_call_t call;
    kv_response_t granted = {.lease = 7, .ttl_us = 3 * SECOND};
    kv_response_t empty = {0};
    lease_init(&lease, "own/a", 3 * SECOND);
    ck_assert(lease_next(&lease, "x", 1, &call, T0));
    ck_assert_str_eq(call.target, "/-/kv-lease");
    kv_call_release(&call);
    lease_answered(&lease, 200, &granted, T0);
    ck_assert(lease_next(&lease, "x", 1, &call, T0));
    ck_assert_str_eq(call.target, "/-/kv-txn");
    kv_call_release(&call);
    lease_answered(&lease, 200, &empty, T0);
    ck_assert(!lease_next(&lease, "x", 1, &call, T0 + SECOND / 2));
    ck_assert(lease_next(&lease, "x", 1, &call, T0 + SECOND));
    ck_assert_str_eq(call.target, "/-/kv-keep/7");
    kv_call_release(&call);
    if (c->status == 0) {
        lease_failed(&lease, T0 + SECOND);
    }
    else {
        lease_answered(&lease, c->status, &empty, T0 + SECOND);
    }
    if (c->missing) {
        lease_missing(&lease, T0 + SECOND);
    }
    ck_assert_msg(lease.next == c->next, "%s: %d", c->name, lease.next);
    ck_assert_msg(lease_next(&lease, "x", 1, &call, T0 + 2 * SECOND), "%s",
                  c->name);
    kv_call_release(&call);
}
END_TEST

START_TEST(test_lease_leave)
{
    lease_t lease;
    kv_call_t call;
    kv_response_t granted = {.lease = 7, .ttl_us = 3 * SECOND};
    kv_response_t empty = {0};
    lease_init(&lease, "own/a", 3 * SECOND);
    lease_next(&lease, "x", 1, &call, T0);
    kv_call_release(&call);
    lease_answered(&lease, 200, &granted, T0);
    lease_next(&lease, "x", 1, &call, T0);
    kv_call_release(&call);
    /* The answer to the write comes after the wish to leave. */
    lease_leave(&lease, T0);
    lease_answered(&lease, 200, &empty, T0);
    ck_assert(!lease.ended);
    ck_assert(lease_next(&lease, "x", 1, &call, T0));
    ck_assert_str_eq(call.target, "/-/kv-lease-end/7");
    kv_call_release(&call);
    lease_answered(&lease, 200, &empty, T0);
    ck_assert(lease.ended);
    ck_assert(!lease_next(&lease, "x", 1, &call, T0 + 9 * SECOND));
}
END_TEST

static void
put_member(members_t *members, const char *name, int64_t now_us)
{
    char text[128];
    char address[32];
    snprintf(address, sizeof(address), "10.0.0.%s:80", name);
    size_t size = member_record_write(text, sizeof(text), address, "", "a", 1);
    ck_assert_uint_gt(size, 0);
    members_put(members, name, text, size, 1, now_us);
}

START_TEST(test_members)
{
    members_t members;
    char text[256];
    members_init(&members, T0);
    /* Nobody is known yet: shares are taken for a fleet of some size. */
    ck_assert_uint_eq(members_fleet(&members, T0), MEMBERS_UNSURE);
    ck_assert_uint_eq(members_addresses(&members, NULL, text, sizeof(text)),
                      0);
    put_member(&members, "1", T0);
    put_member(&members, "2", T0);
    put_member(&members, "3", T0);
    ck_assert(!members_put(&members, "4", "{}", 2, 1, T0));
    ck_assert(!members_put(&members, "4", "\x01", 1, 1, T0));
    ck_assert_uint_eq(members_fleet(&members, T0 + 4 * SECOND), 3);
    ck_assert_uint_eq(members_choose(&members), 3);
    members_addresses(&members, "2", text, sizeof(text));
    ck_assert_str_eq(text, "[\"10.0.0.1:80\",\"10.0.0.3:80\"]");
    /* One that goes may still send for a while. */
    ck_assert(members_remove(&members, "2", 2, T0 + 5 * SECOND));
    ck_assert_uint_eq(members_fleet(&members, T0 + 6 * SECOND), 3);
    ck_assert_uint_eq(members_fleet(&members, T0 + 22 * SECOND), 3);
    ck_assert_uint_eq(members_fleet(&members, T0 + 50 * SECOND), 2);
    /* Around an outage a record has time to come back. */
    members_store_lost(&members);
    members_store_back(&members, T0 + 60 * SECOND);
    ck_assert(!members_remove(&members, "3", 3, T0 + 60 * SECOND));
    ck_assert(!members_has(&members, "3"));
    members_addresses(&members, NULL, text, sizeof(text));
    ck_assert_str_eq(text, "[\"10.0.0.1:80\",\"10.0.0.3:80\"]");
    ck_assert(!members_expire(&members, T0 + 61 * SECOND));
    ck_assert(members_expire(&members, T0 + 63 * SECOND));
    members_addresses(&members, NULL, text, sizeof(text));
    ck_assert_str_eq(text, "[\"10.0.0.1:80\"]");
    members_release(&members);
}
END_TEST

typedef struct {
    const char *name;
    uint32_t zones[3]; /* daemons in each */
    uint32_t serving[3];
} serving_case_t;

static const serving_case_t serving_cases[] = {
    {"a small fleet: all", {6, 6, 4}, {6, 6, 4}},
    {"a larger one: a part of each zone", {30, 20, 10}, {8, 6, 3}},
    {"a zone of one", {40, 29, 1}, {10, 7, 1}},
    {"a large one: one in five", {100, 100, 100}, {20, 20, 20}},
};

START_TEST(test_serving)
{
    const serving_case_t *c = &serving_cases[_i];
    static const char *const zones[] = {"a", "b", "c"};
    members_t members;
    members_init(&members, T0);
    for (uint32_t z = 0; z < 3; z++) {
        for (uint32_t i = 0; i < c->zones[z]; i++) {
            char name[32];
            char text[128];
            snprintf(name, sizeof(name), "%s-%u", zones[z], i);
            size_t size =
                member_record_write(text, sizeof(text), "10.0.0.1:1",
                                    "10.0.0.1:2", zones[z], 100 + i % 7);
            members_put(&members, name, text, size, 1, T0);
        }
    }
    uint32_t total = members_choose(&members);
    uint32_t serving[3] = {0};
    uint32_t weakest[3] = {1000, 1000, 1000};
    uint32_t strongest[3] = {0};
    uint32_t readers[3] = {0};
    for (uint32_t i = 0; i < members.count; i++) {
        const member_record_t *record = &members.records[i];
        uint32_t z = (uint32_t)(record->zone[0] - 'a');
        readers[z] += record->role == MEMBER_READS ? 1 : 0;
        if (record->role != MEMBER_STANDS_BY) {
            serving[z]++;
            weakest[z] =
                record->weight < weakest[z] ? record->weight : weakest[z];
        }
        else if (record->weight > strongest[z]) {
            strongest[z] = record->weight;
        }
    }
    /* Somebody of each zone can be asked, and nobody asks itself. */
    for (uint32_t turn = 0; turn < 4 && total < members.count; turn++) {
        ck_assert_ptr_nonnull(members_to_ask(&members, "a", "a-0", turn));
        ck_assert_ptr_nonnull(members_to_ask(&members, "none", "a-0", turn));
    }
    for (uint32_t z = 0; z < 3; z++) {
        ck_assert_msg(serving[z] == c->serving[z], "%s: %u in %s", c->name,
                      serving[z], zones[z]);
        ck_assert_msg(weakest[z] >= strongest[z], "%s", c->name);
        ck_assert_msg(readers[z] * SERVING_ASKERS >= c->zones[z], "%s",
                      c->name);
        total -= serving[z];
    }
    ck_assert_uint_eq(total, 0);
    /* When one goes, only its place is taken by another. */
    bool before[300];
    uint32_t gone = 0;
    while (members.records[gone].role == MEMBER_STANDS_BY) {
        gone++;
    }
    char name[MEMBER_NAME_SIZE];
    memcpy(name, members.records[gone].name, sizeof(name));
    static char kept[300][MEMBER_NAME_SIZE];
    uint32_t kept_count = 0;
    for (uint32_t i = 0; i < members.count; i++) {
        before[i] = members.records[i].role != MEMBER_STANDS_BY;
        if (before[i] && i != gone) {
            memcpy(kept[kept_count++], members.records[i].name,
                   MEMBER_NAME_SIZE);
        }
    }
    members_remove(&members, name, 2, T0);
    members_choose(&members);
    uint32_t lost = 0;
    for (uint32_t i = 0; i < kept_count; i++) {
        lost += members_role(&members, kept[i]) == MEMBER_STANDS_BY ? 1 : 0;
    }
    ck_assert_msg(lost <= 1, "%s: %u lost their places", c->name, lost);
    members_release(&members);
}
END_TEST

/* Times of the bounds in which it must be known everywhere. */
typedef struct {
    const char *name;
    int64_t drain_us;
    int64_t converge_us;
    bool large;
    int64_t read_us;
} pace_case_t;

static const pace_case_t pace_cases[] = {
    {"a small fleet", 3 * SECOND, 3 * SECOND, false, 1500000},
    {"a small fleet that has time", 5 * SECOND, 5 * SECOND, false, 1500000},
    {"a small fleet in a hurry", 2 * SECOND, 3 * SECOND, false, 1000000},
    {"a large fleet", 5 * SECOND, 5 * SECOND, true, 2000000},
    {"a large fleet, a short drain", 3 * SECOND, 5 * SECOND, true, 1200000},
    {"a large fleet, quick changes", 5 * SECOND, 3 * SECOND, true, 1200000},
    {"nothing is said", 0, 0, true, 2000000},
    {"one is said", 0, 3 * SECOND, true, 1200000},
};

START_TEST(test_pace)
{
    const pace_case_t *c = &pace_cases[_i];
    pace_t pace;
    pace_set(&pace, c->drain_us, c->converge_us, c->large);
    ck_assert_msg(pace.read_us == c->read_us, "%s: %lld", c->name,
                  (long long)pace.read_us);
    int64_t bound_us = c->drain_us > 0 ? c->drain_us : 5 * SECOND;
    if (c->converge_us > 0 && c->converge_us < bound_us) {
        bound_us = c->converge_us;
    }
    /* Both steps, and a tenth of the bound for calls. */
    ck_assert_msg(pace.fresh_us + pace.ask_us + bound_us / 10 <= bound_us ||
                      !c->large,
                  "%s", c->name);
    ck_assert_msg(pace.fresh_us + pace.alone_us <= bound_us || !c->large, "%s",
                  c->name);
    ck_assert_msg(pace.read_us + bound_us / 10 <= bound_us, "%s", c->name);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("beliefs");
    tcase_add_loop_test(tests, test_lapse, 0,
                        sizeof(lapse_cases) / sizeof(lapse_cases[0]));
    tcase_add_test(tests, test_list_and_order);
    tcase_add_test(tests, test_new_start_under_an_id);
    tcase_add_test(tests, test_zones);
    tcase_add_test(tests, test_follow);
    tcase_add_loop_test(tests, test_lease, 0,
                        sizeof(lease_cases) / sizeof(lease_cases[0]));
    tcase_add_test(tests, test_lease_leave);
    tcase_add_test(tests, test_members);
    tcase_add_loop_test(tests, test_serving, 0,
                        sizeof(serving_cases) / sizeof(serving_cases[0]));
    tcase_add_loop_test(tests, test_pace, 0,
                        sizeof(pace_cases) / sizeof(pace_cases[0]));
    return suite_run("beliefs", tests);
}
