/*
 * The observed state of a daemon: upstreams, members and their roles, the
 * watch of a prefix in the store, the lease of its own record, and the polling
 * intervals.
 */
#include "platform/kv.h"
#include "t/lib/suite.h"
#include "tier/follow.h"
#include "tier/lease.h"
#include "tier/members.h"
#include "tier/poll_intervals.h"
#include "tier/registry.h"
#include "tier/serving.h"
#include "tier/store_health.h"
#include "tier/suspect_log.h"

#include <stdio.h>
#include <string.h>

enum { T0 = 100000000, SECOND = 1000000 };

/* As kv_revision, for tables. */
#define KV_REVISION(era, revision)                                            \
    (UINT64_C(era) << KV_REVISION_BITS | (revision))

static instance_entry_t
entry_of(const char *id)
{
    instance_entry_t entry = {.slots = 4};
    snprintf(entry.id, sizeof(entry.id), "%s", id);
    snprintf(entry.service, sizeof(entry.service), "s");
    snprintf(entry.zone, sizeof(entry.zone), "a");
    return entry;
}

/* An entry that disappears right after a store outage is kept for the grace
   period; at any other time it is removed at once. */
typedef struct {
    const char *name;
    bool outage;        /* the store was unreachable until T0 */
    int64_t removed_us; /* after T0 */
    int64_t readded_us; /* after T0; 0: not written again */
    int64_t checked_us; /* after T0 */
    bool present;
} expiry_case_t;

static const expiry_case_t expiry_cases[] = {
    {"no outage: removed at once", false, 0, 0, 0, false},
    {"removed after outage, in grace period", true, 0, 0, 1900000, true},
    {"removed after outage, grace period over", true, 0, 0, 2100000, false},
    {"written again in the grace period", true, 0, 1500000, 9 * SECOND, true},
    {"removed in the grace period", true, 1500000, 0, 1900000, true},
    {"removed in the grace period, now over", true, 1500000, 0, 2100000,
     false},
    {"removed long after", true, 5 * SECOND, 0, 5 * SECOND, false},
};

START_TEST(test_expiry)
{
    const expiry_case_t *c = &expiry_cases[_i];
    registry_t registry;
    registry_init(&registry);
    instance_entry_t entry = entry_of("i-1");
    registry_put(&registry, &entry, 5, T0 - 9 * SECOND);
    if (c->outage) {
        registry_store_unreachable(&registry);
        registry_store_reachable(&registry, STORE_AWAY_UNKNOWN_US, T0);
    }
    registry_remove(&registry, "i-1", 6, T0 + c->removed_us);
    if (c->readded_us > 0) {
        registry_put(&registry, &entry, 7, T0 + c->readded_us);
    }
    for (int64_t at = 0; at <= c->checked_us; at += 50000) {
        registry_expire(&registry, T0 + at);
    }
    ck_assert_msg((registry_count(&registry) == 1) == c->present, "%s",
                  c->name);
    pool_t *pool = registry_pool(&registry, "s");
    ck_assert_uint_eq(pool->count, c->present ? 1 : 0);
    registry_release(&registry);
}
END_TEST

typedef struct {
    const char *name;
    int64_t heartbeat_us; /* 0: unknown */
    int64_t away_us;
    bool deferred;
} outage_case_t;

static const outage_case_t outage_cases[] = {
    {"shorter than an entry lasts", 1200000, 1700000, false},
    {"longer than an entry may last", 1200000, 1900000, true},
    {"no known heartbeat", 0, 100000, true},
    {"of unknown length", 1200000, STORE_AWAY_UNKNOWN_US, true},
};

/* Guards against DRAIN: removals put off after an outage that was too short
   for any entry to expire. */
START_TEST(test_outage_length)
{
    const outage_case_t *c = &outage_cases[_i];
    registry_t registry;
    registry_init(&registry);
    registry.heartbeat_us = c->heartbeat_us;
    instance_entry_t entry = entry_of("i-1");
    registry_put(&registry, &entry, 5, T0 - 9 * SECOND);
    registry_store_unreachable(&registry);
    registry_store_reachable(&registry, c->away_us, T0);
    ck_assert_msg((registry_remove(&registry, "i-1", 6, T0) ==
                   REGISTRY_REMOVAL_DEFERRED) == c->deferred,
                  "%s", c->name);
    registry_release(&registry);
}
END_TEST

START_TEST(test_stale_writes)
{
    registry_t registry;
    registry_init(&registry);
    instance_entry_t one = entry_of("i-1");
    instance_entry_t two = entry_of("i-2");
    ck_assert_int_eq(registry_put(&registry, &one, 5, T0), REGISTRY_ADDED);
    registry_put(&registry, &two, 6, T0);
    /* A write or removal older than the known revision is ignored. */
    one.draining = true;
    ck_assert_int_eq(registry_put(&registry, &one, 4, T0), REGISTRY_UNCHANGED);
    ck_assert_int_eq(registry_remove(&registry, "i-1", 3, T0),
                     REGISTRY_UNCHANGED);
    ck_assert_int_eq(registry_put(&registry, &one, 8, T0), REGISTRY_CHANGED);
    ck_assert_int_eq(registry_put(&registry, &one, 9, T0), REGISTRY_UNCHANGED);
    /* An entry that is not in a complete list is removed. */
    registry_list_begin(&registry);
    registry_put(&registry, &one, 9, T0);
    registry_list_end(&registry, T0);
    ck_assert_uint_eq(registry_count(&registry), 1);
    /* The same id in another service is a new upstream. */
    snprintf(one.service, sizeof(one.service), "t");
    ck_assert_int_eq(registry_put(&registry, &one, 12, T0), REGISTRY_ADDED);
    ck_assert_uint_eq(registry_pool(&registry, "s")->count, 0);
    ck_assert_uint_eq(registry_pool(&registry, "t")->count, 1);
    registry_release(&registry);
}
END_TEST

START_TEST(test_restart_under_same_id)
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
    ck_assert(instance->failure_rate > 0.9);
    registry_put(&registry, &entry, 6, T0);
    ck_assert(instance->failure_rate > 0.9);
    entry.started_ms = 2000;
    registry_put(&registry, &entry, 7, T0);
    ck_assert(instance->failure_rate == 0);
    registry_release(&registry);
}
END_TEST

/* What a restored store lists of an upstream that was known before. */
typedef struct {
    const char *name;
    bool draining;       /* known before */
    bool removed;        /* after the backup */
    int64_t started_ms;  /* known before */
    int64_t restored_ms; /* start in the restored entry */
    int64_t checked_us;  /* after the restoration */
    bool usable;
} restored_case_t;

static const restored_case_t restored_cases[] = {
    {"as before", false, false, 1000, 1000, 0, true},
    {"has drained since", true, false, 1000, 1000, 0, false},
    {"has drained since, start unknown", true, false, 0, 0, 0, false},
    {"was restarted since", false, false, 2000, 1000, 0, true},
    {"was restarted since, then drained", true, false, 2000, 1000, 0, false},
    {"is restarted", true, false, 1000, 2000, 0, true},
    {"was removed", false, true, 1000, 1000, 3 * SECOND, false},
    {"was removed, but is renewed", false, true, 1000, 1000, 5 * SECOND, true},
    {"was removed after a restart", false, true, 2000, 1000, 3 * SECOND,
     false},
    {"was removed, and is restarted", false, true, 1000, 2000, 0, true},
};

START_TEST(test_restored_entries)
{
    const restored_case_t *c = &restored_cases[_i];
    registry_t registry;
    registry_init(&registry);
    registry.heartbeat_us = SECOND;
    instance_entry_t entry = entry_of("i-1");
    entry.started_ms = c->started_ms;
    entry.draining = c->draining;
    registry_put(&registry, &entry, kv_revision(1, 500), T0);
    if (c->removed) {
        registry_remove(&registry, "i-1", kv_revision(1, 501), T0);
    }
    registry_store_restored(&registry, T0);
    registry_list_begin(&registry);
    entry.started_ms = c->restored_ms;
    entry.draining = false;
    /* Given out again, so lower than before. */
    registry_put(&registry, &entry, kv_revision(2, 90), T0);
    registry_list_end(&registry, T0);
    registry_expire(&registry, T0 + 9 * SECOND);
    pool_t *pool = registry_pool(&registry, "s");
    ck_assert_uint_eq(pool->count, 1);
    ck_assert_msg(instance_is_usable(pool->instances[0], T0 + c->checked_us) ==
                      c->usable,
                  "%s", c->name);
    /* A write of the era before, or of before the restoration, is late. */
    entry.draining = true;
    entry.started_ms = 3000;
    ck_assert_int_eq(registry_put(&registry, &entry, kv_revision(1, 900), T0),
                     REGISTRY_UNCHANGED);
    ck_assert_int_eq(
        registry_remove(&registry, "i-1", kv_revision(1, 901), T0),
        REGISTRY_UNCHANGED);
    registry_release(&registry);
}
END_TEST

START_TEST(test_zones)
{
    registry_t registry;
    registry_init(&registry);
    ck_assert(registry_set_zone_closed(&registry, "a", true));
    ck_assert(registry_set_zone_closed(&registry, "b", true));
    ck_assert(registry_set_zone_closed(&registry, "a", true));
    ck_assert_uint_eq(registry.closed_zone_count, 2);
    ck_assert(registry_set_zone_closed(&registry, "a", false));
    ck_assert(registry_set_zone_closed(&registry, "c", false));
    ck_assert(!registry_zone_is_closed(&registry, "a"));
    ck_assert(registry_zone_is_closed(&registry, "b"));
    ck_assert_str_eq(registry.closed_zone_names[0], "b");
    registry_release(&registry);
}
END_TEST

static kv_response_t
answer_of(uint64_t revision, kv_item_t *items, size_t count, bool more)
{
    kv_response_t response = {
        .items = items,
        .count = count,
        .revision = revision,
    };
    snprintf(response.next_page, sizeof(response.next_page), "%s",
             more ? items[count - 1].key : "");
    return response;
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
    ck_assert(follow_next_call(&follow, &call, T0));
    ck_assert_str_eq(call.target, "/-/kv-range?prefix=servers/");
    ck_assert(!follow_next_call(&follow, &call,
                                T0)); /* one call in flight at a time */
    kv_response_t page = answer_of(40, &item, 1, true);
    ck_assert_int_eq(follow_response(&follow, &page, T0), FOLLOW_LIST_FIRST);
    ck_assert(follow_next_call(&follow, &call, T0));
    ck_assert_str_eq(call.target,
                     "/-/kv-range?prefix=servers/&after=servers/i-5");
    /* A failed page is requested again. */
    follow_failed(&follow, false, T0);
    ck_assert(!follow_next_call(&follow, &call, T0));
    ck_assert(follow_next_call(&follow, &call, T0 + FOLLOW_RETRY_US));
    ck_assert_str_eq(call.target,
                     "/-/kv-range?prefix=servers/&after=servers/i-5");
    page = answer_of(45, &item, 1, false);
    ck_assert_int_eq(follow_response(&follow, &page, T0), FOLLOW_LIST_LAST);
    /* The pages are not one snapshot: watch from the first page's revision. */
    ck_assert(follow_next_call(&follow, &call, T0 + SECOND));
    ck_assert_str_eq(call.target,
                     "/-/kv-watch?prefix=servers/&after=40&wait_ms=0");
    page = answer_of(50, &item, 1, false);
    ck_assert_int_eq(follow_response(&follow, &page, T0), FOLLOW_CHANGES);
    ck_assert(!follow_next_call(&follow, &call, T0 + SECOND / 2));
    ck_assert(follow_next_call(&follow, &call, T0 + SECOND));
    ck_assert_str_eq(call.target,
                     "/-/kv-watch?prefix=servers/&after=50&wait_ms=0");
    /* The history was compacted: list again at once. */
    follow_failed(&follow, true, T0 + SECOND);
    ck_assert(follow_next_call(&follow, &call, T0 + SECOND));
    ck_assert_str_eq(call.target, "/-/kv-range?prefix=servers/");
}
END_TEST

typedef struct {
    const char *name;
    uint64_t listed;     /* revision of the list */
    uint64_t covered_at; /* first revision of the changes delivered for it */
    bool watches;        /* it watches by itself */
} covered_case_t;

static const covered_case_t covered_cases[] = {
    {"the changes continue its list", 40, 40, false},
    {"the changes begin before its list", 40, 30, false},
    {"changes between its list and the first of them", 40, 50, true},
};

/* A covered prefix makes no call for its changes, unless some precede those
   that are delivered for it. */
START_TEST(test_follow_covered)
{
    const covered_case_t *c = &covered_cases[_i];
    static const follow_settings_t settings = {
        .prefix = "op/",
        .pause_us = SECOND,
        .covered = true,
    };
    kv_call_t call;
    follow_t follow;
    follow_init(&follow, &settings);
    ck_assert(follow_next_call(&follow, &call, T0));
    kv_call_release(&call);
    kv_response_t page = answer_of(c->listed, NULL, 0, false);
    ck_assert_int_eq(follow_response(&follow, &page, T0), FOLLOW_LIST_WHOLE);
    follow_advance(&follow, c->covered_at, 60);
    ck_assert_msg(follow_next_call(&follow, &call, T0 + SECOND) == c->watches,
                  "%s", c->name);
    if (c->watches) {
        ck_assert_str_eq(call.target,
                         "/-/kv-watch?prefix=op/&after=40&wait_ms=0");
        kv_call_release(&call);
        page = answer_of(60, NULL, 0, false);
        ck_assert_int_eq(follow_response(&follow, &page, T0 + SECOND),
                         FOLLOW_CHANGES);
        follow_advance(&follow, 60, 70);
    }
    ck_assert_uint_eq(follow.revision, c->watches ? 70 : 60);
    ck_assert(!follow_next_call(&follow, &call, T0 + 9 * SECOND));
    /* A new list may miss changes again. */
    follow_restart(&follow, T0 + 9 * SECOND);
    ck_assert(follow_next_call(&follow, &call, T0 + 9 * SECOND));
    ck_assert_str_eq(call.target, "/-/kv-range?prefix=op/");
    kv_call_release(&call);
}
END_TEST

typedef struct {
    const char *name;
    uint32_t status;     /* of the response to the renewal; 0: no response */
    bool record_missing; /* the record is found to be missing */
    lease_step_t next;
} lease_case_t;

static const lease_case_t lease_cases[] = {
    {"renewed", 200, false, LEASE_RENEW},
    {"the lease has expired", 404, false, LEASE_GRANT},
    {"temporary failure", 503, false, LEASE_RENEW},
    {"no response", 0, false, LEASE_RENEW},
    {"renewed, but the record is missing", 200, true, LEASE_WRITE},
};

START_TEST(test_lease)
{
    const lease_case_t *c = &lease_cases[_i];
    lease_t lease;
    kv_call_t call;
    kv_response_t granted = {.lease = 7, .ttl_us = 3 * SECOND};
    kv_response_t empty = {0};
    lease_init(&lease, "own/a", 3 * SECOND);
    ck_assert(lease_next_call(&lease, "x", 1, &call, T0));
    ck_assert_str_eq(call.target, "/-/kv-lease");
    kv_call_release(&call);
    lease_response(&lease, 200, &granted, T0);
    ck_assert(lease_next_call(&lease, "x", 1, &call, T0));
    ck_assert_str_eq(call.target, "/-/kv-txn");
    kv_call_release(&call);
    lease_response(&lease, 200, &empty, T0);
    ck_assert(!lease_next_call(&lease, "x", 1, &call, T0 + SECOND / 2));
    ck_assert(lease_next_call(&lease, "x", 1, &call, T0 + SECOND));
    ck_assert_str_eq(call.target, "/-/kv-keep/7");
    kv_call_release(&call);
    if (c->status == 0) {
        lease_failed(&lease, T0 + SECOND);
    }
    else {
        lease_response(&lease, c->status, &empty, T0 + SECOND);
    }
    if (c->record_missing) {
        lease_record_missing(&lease, T0 + SECOND);
    }
    ck_assert_msg(lease.next == c->next, "%s: %d", c->name, lease.next);
    ck_assert_msg(lease_next_call(&lease, "x", 1, &call, T0 + 2 * SECOND),
                  "%s", c->name);
    kv_call_release(&call);
}
END_TEST

/* Guards against a store in trouble being called by each daemon several times
   a second, and against entries that are written again after their grace
   period of two seconds. */
START_TEST(test_lease_retries)
{
    static const int64_t delays_ms[] = {300, 600, 1200, 1200};
    lease_t lease;
    kv_call_t call;
    kv_response_t granted = {.lease = 5, .ttl_us = 9 * SECOND};
    int64_t now_us = T0;
    lease_init(&lease, "k", 9 * SECOND);
    for (int round = 0; round < 2; round++) {
        for (size_t i = 0; i < sizeof(delays_ms) / sizeof(delays_ms[0]); i++) {
            ck_assert(lease_next_call(&lease, "r", 1, &call, now_us));
            kv_call_release(&call);
            if (i % 2 == 0) {
                lease_failed(&lease, now_us);
            }
            else {
                lease_response(&lease, 503, &granted, now_us);
            }
            ck_assert(!lease_next_call(&lease, "r", 1, &call,
                                       now_us + delays_ms[i] * 1000 - 1));
            now_us += delays_ms[i] * 1000;
        }
        /* A response that is good begins anew. */
        ck_assert(lease_next_call(&lease, "r", 1, &call, now_us));
        kv_call_release(&call);
        lease_response(&lease, 200, &granted, now_us);
    }
}
END_TEST

START_TEST(test_lease_revoke)
{
    lease_t lease;
    kv_call_t call;
    kv_response_t granted = {.lease = 7, .ttl_us = 3 * SECOND};
    kv_response_t empty = {0};
    lease_init(&lease, "own/a", 3 * SECOND);
    lease_next_call(&lease, "x", 1, &call, T0);
    kv_call_release(&call);
    lease_response(&lease, 200, &granted, T0);
    lease_next_call(&lease, "x", 1, &call, T0);
    kv_call_release(&call);
    /* The response to the write arrives after lease_revoke was called. */
    lease_revoke(&lease, T0);
    lease_response(&lease, 200, &empty, T0);
    ck_assert(!lease.ended);
    ck_assert(lease_next_call(&lease, "x", 1, &call, T0));
    ck_assert_str_eq(call.target, "/-/kv-lease-end/7");
    kv_call_release(&call);
    lease_response(&lease, 200, &empty, T0);
    ck_assert(lease.ended);
    ck_assert(!lease_next_call(&lease, "x", 1, &call, T0 + 9 * SECOND));
}
END_TEST

static void
put_member_in(members_t *members, const char *name, const char *zone,
              int64_t now_us)
{
    char text[128];
    char address[32];
    snprintf(address, sizeof(address), "10.0.0.%s:80", name);
    size_t size =
        member_record_write(text, sizeof(text), address, "", zone, 1);
    ck_assert_uint_gt(size, 0);
    members_put(members, name, text, size, 1, now_us);
}

static void
put_member(members_t *members, const char *name, int64_t now_us)
{
    put_member_in(members, name, "a", now_us);
}

START_TEST(test_members)
{
    members_t members;
    char text[256];
    members_init(&members, T0);
    /* No member is known yet: a minimum fleet size is assumed. */
    ck_assert_uint_eq(members_fleet_size(&members, T0), MEMBERS_STARTUP_FLEET);
    ck_assert_uint_eq(
        members_addresses(&members, NULL, NULL, text, sizeof(text)), 0);
    put_member(&members, "1", T0);
    put_member(&members, "2", T0);
    put_member(&members, "3", T0);
    ck_assert(!members_put(&members, "4", "{}", 2, 1, T0));
    ck_assert(!members_put(&members, "4", "\x01", 1, 1, T0));
    ck_assert_uint_eq(members_fleet_size(&members, T0 + 4 * SECOND), 3);
    ck_assert_uint_eq(members_assign_roles(&members), 3);
    members_addresses(&members, NULL, "2", text, sizeof(text));
    ck_assert_str_eq(text, "[\"10.0.0.1:80\",\"10.0.0.3:80\"]");
    /* A removed member still counts for a while: it may still be sending. */
    ck_assert(members_remove(&members, "2", 2, T0 + 5 * SECOND));
    ck_assert_uint_eq(members_fleet_size(&members, T0 + 6 * SECOND), 3);
    ck_assert_uint_eq(members_fleet_size(&members, T0 + 22 * SECOND), 3);
    ck_assert_uint_eq(members_fleet_size(&members, T0 + 50 * SECOND), 2);
    /* After a store outage a missing record has a grace period. */
    members_store_unreachable(&members);
    members_store_reachable(&members, STORE_AWAY_UNKNOWN_US, T0 + 60 * SECOND);
    ck_assert(!members_remove(&members, "3", 3, T0 + 60 * SECOND));
    ck_assert(!members_has(&members, "3"));
    members_addresses(&members, NULL, NULL, text, sizeof(text));
    ck_assert_str_eq(text, "[\"10.0.0.1:80\",\"10.0.0.3:80\"]");
    ck_assert(!members_expire(&members, T0 + 61 * SECOND));
    ck_assert(members_expire(&members, T0 + 63 * SECOND));
    members_addresses(&members, NULL, NULL, text, sizeof(text));
    ck_assert_str_eq(text, "[\"10.0.0.1:80\"]");
    members_release(&members);
}
END_TEST

typedef struct {
    const char *name;
    const char *caller_zone; /* NULL: unknown, or of another zone's daemon */
    const char *exclude;
    const char *expected;
} addresses_case_t;

/* Members 1 and 2 are in zone a, 3 in zone b. */
static const addresses_case_t addresses_cases[] = {
    {"the zone has two daemons", "a", NULL,
     "[\"10.0.0.1:80\",\"10.0.0.2:80\"]"},
    {"the zone has one daemon", "b", NULL,
     "[\"10.0.0.1:80\",\"10.0.0.2:80\",\"10.0.0.3:80\"]"},
    {"the zone has no daemon", "c", NULL,
     "[\"10.0.0.1:80\",\"10.0.0.2:80\",\"10.0.0.3:80\"]"},
    {"no zone", NULL, NULL,
     "[\"10.0.0.1:80\",\"10.0.0.2:80\",\"10.0.0.3:80\"]"},
    {"one of the zone's two daemons shuts down", "a", "1",
     "[\"10.0.0.2:80\",\"10.0.0.3:80\"]"},
};

/* Requests from another zone arrive later, by twice the time between zones,
   and by four times on a new connection. So callers are sent to the daemons of
   their own zone, unless a single failure there would reach all of them. */
START_TEST(test_addresses_by_zone)
{
    const addresses_case_t *c = &addresses_cases[_i];
    static const char *const zones[] = {"a", "a", "b"};
    members_t members;
    char text[256];
    members_init(&members, T0);
    for (uint32_t i = 0; i < 3; i++) {
        char name[2] = {(char)('1' + i), '\0'};
        put_member_in(&members, name, zones[i], T0);
    }
    ck_assert_uint_eq(members_assign_roles(&members), 3);
    members_addresses(&members, c->caller_zone, c->exclude, text,
                      sizeof(text));
    ck_assert_msg(strcmp(text, c->expected) == 0, "%s: %s", c->name, text);
    members_release(&members);
}
END_TEST

typedef struct {
    const char *name;
    uint32_t zones[3];   /* daemons in each zone */
    uint32_t serving[3]; /* of these, how many serve */
} serving_case_t;

static const serving_case_t serving_cases[] = {
    {"small fleet: all daemons serve", {6, 6, 4}, {6, 6, 4}},
    {"larger fleet: a share of each zone", {30, 20, 10}, {8, 6, 3}},
    {"zone with one daemon", {40, 29, 1}, {10, 7, 1}},
    {"large fleet: one in five", {100, 100, 100}, {20, 20, 20}},
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
    uint32_t total = members_assign_roles(&members);
    uint32_t serving[3] = {0};
    uint32_t weakest[3] = {1000, 1000, 1000};
    uint32_t strongest[3] = {0};
    uint32_t readers[3] = {0};
    for (uint32_t i = 0; i < members.count; i++) {
        const member_record_t *record = &members.records[i];
        uint32_t z = (uint32_t)(record->zone[0] - 'a');
        readers[z] += record->role == MEMBER_STORE_READER ? 1 : 0;
        if (record->role != MEMBER_STANDBY) {
            serving[z]++;
            weakest[z] =
                record->weight < weakest[z] ? record->weight : weakest[z];
        }
        else if (record->weight > strongest[z]) {
            strongest[z] = record->weight;
        }
    }
    /* A store reader is found for any zone, also for one without daemons. */
    for (uint32_t failures = 0; failures < 4 && total < members.count;
         failures++) {
        ck_assert_ptr_nonnull(
            members_pick_reader(&members, "a", "a-0", failures));
        ck_assert_ptr_nonnull(
            members_pick_reader(&members, "none", "a-0", failures));
    }
    for (uint32_t z = 0; z < 3; z++) {
        ck_assert_msg(serving[z] == c->serving[z], "%s: %u in %s", c->name,
                      serving[z], zones[z]);
        ck_assert_msg(weakest[z] >= strongest[z], "%s", c->name);
        ck_assert_msg(readers[z] * SERVING_DAEMONS_PER_READER >= c->zones[z],
                      "%s", c->name);
        total -= serving[z];
    }
    ck_assert_uint_eq(total, 0);
    /* When a serving daemon leaves, at most one other serving daemon may
       become standby. */
    bool before[300];
    uint32_t removed = 0;
    while (members.records[removed].role == MEMBER_STANDBY) {
        removed++;
    }
    char name[MEMBER_NAME_SIZE];
    memcpy(name, members.records[removed].name, sizeof(name));
    static char kept[300][MEMBER_NAME_SIZE];
    uint32_t kept_count = 0;
    for (uint32_t i = 0; i < members.count; i++) {
        before[i] = members.records[i].role != MEMBER_STANDBY;
        if (before[i] && i != removed) {
            memcpy(kept[kept_count++], members.records[i].name,
                   MEMBER_NAME_SIZE);
        }
    }
    members_remove(&members, name, 2, T0);
    members_assign_roles(&members);
    uint32_t displaced = 0;
    for (uint32_t i = 0; i < kept_count; i++) {
        displaced += members_role(&members, kept[i]) == MEMBER_STANDBY ? 1 : 0;
    }
    ck_assert_msg(displaced <= 1, "%s: %u members became standby", c->name,
                  displaced);
    members_release(&members);
}
END_TEST

/* The polling intervals keep changes within the bounds of the settings. */
/*
 * In a zone with a few strong VMs and many weak ones, a query over many shards
 * takes a weak VM longer than its goal: weak VMs serve only if the strong ones
 * are gone.
 */
typedef struct {
    const char *name;
    uint32_t strong; /* of weight 500, in each of three zones */
    uint32_t weak;   /* of weight 24 */
    uint32_t serving_strong;
    uint32_t serving_weak;
} unequal_case_t;

static const unequal_case_t unequal_cases[] = {
    {"strong VMs are enough", 3, 51, 3, 0},
    {"one of them is lost", 2, 51, 2, 0},
    {"two of them are lost", 1, 51, 1, 0},
    {"all of them are lost: one in five", 0, 51, 0, 10},
    {"fewer weak VMs", 2, 17, 2, 0},
    {"strong VMs only: one in five", 40, 0, 8, 0},
};

static void
put_weighted(members_t *members, uint32_t number, const char *zone,
             uint32_t weight)
{
    char name[32];
    char text[128];
    snprintf(name, sizeof(name), "d-%u", number);
    size_t size = member_record_write(text, sizeof(text), "10.0.0.1:1",
                                      "10.0.0.1:2", zone, weight);
    members_put(members, name, text, size, 1, T0);
}

/*
 * The store turns the strong VMs of a zone away, and their leases end: weak
 * VMs must not take their share of the callers. If strong VMs are left in one
 * zone only, each zone has daemons that serve.
 */
typedef struct {
    const char *name;
    uint32_t strong[3];
    uint32_t serving[3];
} zone_strong_case_t;

static const zone_strong_case_t zone_strong_cases[] = {
    {"all zones", {3, 3, 3}, {3, 3, 3}},
    {"none in one zone", {3, 0, 3}, {3, 0, 3}},
    {"in one zone only", {3, 0, 0}, {3, 2, 2}},
};

START_TEST(test_serving_zone_without_strong)
{
    const zone_strong_case_t *c = &zone_strong_cases[_i];
    static const char *const zones[] = {"a", "b", "c"};
    members_t members;
    uint32_t serving[3] = {0};
    members_init(&members, T0);
    for (uint32_t i = 0; i < 60; i++) {
        put_weighted(&members, i, zones[i % 3],
                     i / 3 < c->strong[i % 3] ? 500 : 24);
    }
    members_assign_roles(&members);
    for (uint32_t i = 0; i < members.count; i++) {
        const member_record_t *record = &members.records[i];
        serving[record->zone[0] - 'a'] += record->role != MEMBER_STANDBY;
    }
    for (uint32_t z = 0; z < 3; z++) {
        ck_assert_msg(serving[z] == c->serving[z], "%s: %u in %s", c->name,
                      serving[z], zones[z]);
    }
    ck_assert_ptr_nonnull(members_pick_reader(&members, "b", "d-59", 0));
    members_release(&members);
}
END_TEST

START_TEST(test_serving_unequal)
{
    const unequal_case_t *c = &unequal_cases[_i];
    static const char *const zones[] = {"a", "b", "c"};
    members_t members;
    members_init(&members, T0);
    for (uint32_t i = 0; i < 3 * (c->strong + c->weak); i++) {
        put_weighted(&members, i, zones[i % 3], i / 3 < c->strong ? 500 : 24);
    }
    members_assign_roles(&members);
    uint32_t strong = 0;
    uint32_t weak = 0;
    for (uint32_t i = 0; i < members.count; i++) {
        const member_record_t *record = &members.records[i];
        strong += record->role != MEMBER_STANDBY && record->weight == 500;
        weak += record->role != MEMBER_STANDBY && record->weight == 24;
    }
    ck_assert_msg(strong == 3 * c->serving_strong, "%s: %u strong", c->name,
                  strong);
    ck_assert_msg(weak == 3 * c->serving_weak, "%s: %u weak", c->name, weak);
    members_release(&members);
}
END_TEST

/* Whether a report counts after "d/1" with fingerprint 7 at revision 50 of era
   1 was received. */
typedef struct {
    const char *name;
    suspect_report_t report;
    bool counts;
} suspect_case_t;

static const suspect_case_t suspect_cases[] = {
    {"listed again", {"d/1", 7, KV_REVISION(1, 50)}, false},
    {"written again after a restoration",
     {"d/1", 7, KV_REVISION(2, 9)},
     false},
    {"suspected again, all slots were used",
     {"d/1", 7, KV_REVISION(1, 90)},
     true},
    {"suspected again", {"d/2", 7, KV_REVISION(1, 51)}, true},
    {"another daemon, listed later", {"c/1", 7, KV_REVISION(1, 49)}, true},
    {"another request after a restoration",
     {"d/1", 8, KV_REVISION(2, 9)},
     true},
};

START_TEST(test_suspect_log)
{
    const suspect_case_t *c = &suspect_cases[_i];
    static const suspect_report_t first = {"d/1", 7, KV_REVISION(1, 50)};
    static suspect_log_t log;
    uint32_t cursor = 0;
    memset(&log, 0, sizeof(log));
    ck_assert(suspect_log_add(&log, &first));
    ck_assert_msg(suspect_log_add(&log, &c->report) == c->counts, "%s",
                  c->name);
    ck_assert(!suspect_log_add(&log, &c->report));
    ck_assert_uint_eq(log.count, c->counts ? 2 : 1);
    ck_assert_ptr_nonnull(
        suspect_log_next(&log, c->report.revision - 1, &cursor));
}
END_TEST

typedef struct {
    const char *name;
    int64_t drain_us;
    int64_t converge_us;
    bool large;
    int64_t store_poll_us;
} poll_case_t;

static const poll_case_t poll_cases[] = {
    {"small fleet", 3 * SECOND, 3 * SECOND, false, 1500000},
    {"small fleet, loose bounds", 5 * SECOND, 5 * SECOND, false, 1500000},
    {"small fleet, tight bounds", 2 * SECOND, 3 * SECOND, false, 1000000},
    {"large fleet", 5 * SECOND, 5 * SECOND, true, 2000000},
    {"large fleet, short drain bound", 3 * SECOND, 5 * SECOND, true, 1200000},
    {"large fleet, short config bound", 5 * SECOND, 3 * SECOND, true, 1200000},
    {"no bound set", 0, 0, true, 2000000},
    {"one bound set", 0, 3 * SECOND, true, 1200000},
};

START_TEST(test_poll_intervals)
{
    const poll_case_t *c = &poll_cases[_i];
    poll_intervals_t intervals;
    poll_intervals_set(&intervals, c->drain_us, c->converge_us, c->large);
    ck_assert_msg(intervals.store_poll_us == c->store_poll_us, "%s: %lld",
                  c->name, (long long)intervals.store_poll_us);
    int64_t bound_us = c->drain_us > 0 ? c->drain_us : 5 * SECOND;
    if (c->converge_us > 0 && c->converge_us < bound_us) {
        bound_us = c->converge_us;
    }
    /* Both steps, and a tenth of the bound for the calls themselves. */
    ck_assert_msg(intervals.peer_max_age_us + intervals.peer_poll_us +
                              bound_us / 10 <=
                          bound_us ||
                      !c->large,
                  "%s", c->name);
    ck_assert_msg(intervals.peer_max_age_us + intervals.store_fallback_us <=
                          bound_us ||
                      !c->large,
                  "%s", c->name);
    ck_assert_msg(intervals.store_poll_us + bound_us / 10 <= bound_us, "%s",
                  c->name);
}
END_TEST

/* Whom a daemon of zone a relays requests to, when these members are avoided.
 */
typedef struct {
    const char *name;
    const char *avoided; /* names, each after a space */
    const char *picked;  /* prefix of the names that may be picked; "": none */
} relay_case_t;

static const relay_case_t relay_cases[] = {
    {"one of its own zone", "", "a-serves"},
    {"another zone", " a-serves-2", "b-serves"},
    {"one on standby", " a-serves-2 b-serves-1 b-serves-2", "b-standby"},
    {"nobody", " a-serves-2 b-serves-1 b-serves-2 b-standby-1", ""},
};

START_TEST(test_relay_peer)
{
    static const struct {
        const char *name;
        const char *zone;
        member_role_t role;
    } rows[] = {
        {"a-serves-1", "a", MEMBER_SERVING},
        {"a-serves-2", "a", MEMBER_SERVING},
        {"b-serves-1", "b", MEMBER_SERVING},
        {"b-serves-2", "b", MEMBER_STORE_READER},
        {"b-standby-1", "b", MEMBER_STANDBY},
    };
    enum { ROWS = sizeof(rows) / sizeof(rows[0]) };
    const relay_case_t *c = &relay_cases[_i];
    members_t members;
    members_init(&members, T0);
    for (int i = 0; i < ROWS; i++) {
        char record[MEMBER_RECORD_SIZE];
        size_t size = member_record_write(record, sizeof(record), "1.1.1.1:1",
                                          "1.1.1.1:2", rows[i].zone, 100);
        members_put(&members, rows[i].name, record, size, 1, T0);
    }
    for (int i = 0; i < ROWS; i++) {
        char word[MEMBER_NAME_SIZE];
        members.records[i].role = rows[i].role;
        snprintf(word, sizeof(word), " %s", rows[i].name);
        if (strstr(c->avoided, word) != NULL) {
            members_avoid(&members, rows[i].name, T0 + SECOND);
        }
    }
    for (uint64_t random = 0; random < 10; random++) {
        const member_record_t *peer = members_pick_relay(
            &members, "a", "a-serves-1", random, T0 + SECOND / 2);
        ck_assert_msg((peer == NULL) == (c->picked[0] == '\0'), "%s", c->name);
        ck_assert_msg(peer == NULL || strncmp(peer->name, c->picked,
                                              strlen(c->picked)) == 0,
                      "%s: %s", c->name, peer != NULL ? peer->name : "");
        /* Later they are asked again. */
        ck_assert_ptr_nonnull(members_pick_relay(&members, "a", "a-serves-1",
                                                 random, T0 + SECOND));
    }
    members_release(&members);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("observed-state");
    tcase_add_loop_test(tests, test_outage_length, 0,
                        sizeof(outage_cases) / sizeof(outage_cases[0]));
    tcase_add_loop_test(tests, test_expiry, 0,
                        sizeof(expiry_cases) / sizeof(expiry_cases[0]));
    tcase_add_test(tests, test_stale_writes);
    tcase_add_test(tests, test_restart_under_same_id);
    tcase_add_loop_test(tests, test_restored_entries, 0,
                        sizeof(restored_cases) / sizeof(restored_cases[0]));
    tcase_add_test(tests, test_zones);
    tcase_add_test(tests, test_follow);
    tcase_add_loop_test(tests, test_follow_covered, 0,
                        sizeof(covered_cases) / sizeof(covered_cases[0]));
    tcase_add_loop_test(tests, test_lease, 0,
                        sizeof(lease_cases) / sizeof(lease_cases[0]));
    tcase_add_test(tests, test_lease_retries);
    tcase_add_test(tests, test_lease_revoke);
    tcase_add_test(tests, test_members);
    tcase_add_loop_test(tests, test_addresses_by_zone, 0,
                        sizeof(addresses_cases) / sizeof(addresses_cases[0]));
    tcase_add_loop_test(tests, test_serving, 0,
                        sizeof(serving_cases) / sizeof(serving_cases[0]));
    tcase_add_loop_test(tests, test_serving_zone_without_strong, 0,
                        sizeof(zone_strong_cases) /
                            sizeof(zone_strong_cases[0]));
    tcase_add_loop_test(tests, test_serving_unequal, 0,
                        sizeof(unequal_cases) / sizeof(unequal_cases[0]));
    tcase_add_loop_test(tests, test_suspect_log, 0,
                        sizeof(suspect_cases) / sizeof(suspect_cases[0]));
    tcase_add_loop_test(tests, test_poll_intervals, 0,
                        sizeof(poll_cases) / sizeof(poll_cases[0]));
    tcase_add_loop_test(tests, test_relay_peer, 0,
                        sizeof(relay_cases) / sizeof(relay_cases[0]));
    return suite_run("observed-state", tests);
}
