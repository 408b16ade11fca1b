/* The state that daemons exchange: complete, incremental, stale and
   malformed. */
#include "t/lib/suite.h"
#include "tier/fleet_state.h"
#include "tier/registry_copy.h"
#include "tier/store_health.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { T0 = 100000000, SECOND = 1000000 };

static instance_entry_t
entry_of(const char *id, bool draining)
{
    instance_entry_t entry = {
        .slots = 4,
        .draining = draining,
        .started_ms = 1712000000000,
        .cold_left_us = 500000,
        .address = {.sin_family = AF_INET, .sin_port = htons(8080)},
    };
    snprintf(entry.id, sizeof(entry.id), "%s", id);
    snprintf(entry.service, sizeof(entry.service), "s");
    snprintf(entry.zone, sizeof(entry.zone), "a");
    inet_pton(AF_INET, "10.0.0.9", &entry.address.sin_addr);
    return entry;
}

/* Rows of a responder that knows i-1 and i-2, at revisions 10 and 20. */
static json_t *
served_rows(void)
{
    registry_t registry;
    registry_init(&registry);
    instance_entry_t one = entry_of("i-1", false);
    instance_entry_t two = entry_of("i-2", true);
    registry_put(&registry, &one, 10, T0);
    registry_put(&registry, &two, 20, T0);
    json_t *rows = registry_copy_rows(&registry, 0, T0);
    registry_release(&registry);
    return rows;
}

/* The same as the text of a registry copy. */
static char *
served_copy(size_t *size)
{
    registry_t registry;
    registry_init(&registry);
    instance_entry_t one = entry_of("i-1", false);
    instance_entry_t two = entry_of("i-2", true);
    registry_put(&registry, &one, 10, T0);
    registry_put(&registry, &two, 20, T0);
    char *text = registry_copy_write(&registry, T0, size);
    registry_release(&registry);
    return text;
}

static const instance_t *
find_instance(const registry_t *registry, const char *id)
{
    uint64_t revision;
    const instance_t *instance;
    for (void *at = NULL;
         (instance = registry_next(registry, &at, &revision)) != NULL;) {
        if (strcmp(instance->entry.id, id) == 0) {
            return instance;
        }
    }
    return NULL;
}

/* A list from a peer must not overwrite or remove entries that the requester
   knows at a newer revision. */
typedef struct {
    const char *name;
    const char *id;
    uint64_t known_at; /* revision at the requester; 0: unknown */
    bool known_draining;
    uint64_t list_revision; /* revision of the received list */
    bool present;
    bool draining;
} apply_list_case_t;

static const apply_list_case_t apply_list_cases[] = {
    {"unknown to the requester", "i-1", 0, false, 30, true, false},
    {"known at an older revision", "i-2", 15, false, 30, true, true},
    {"known at a newer revision", "i-2", 25, false, 30, true, false},
    {"not listed, the list is newer", "i-3", 15, false, 30, false, false},
    {"not listed, the list is older", "i-3", 35, false, 30, true, false},
};

START_TEST(test_apply_list)
{
    const apply_list_case_t *c = &apply_list_cases[_i];
    json_t *rows = served_rows();
    registry_t registry;
    registry_init(&registry);
    if (c->known_at > 0) {
        instance_entry_t known = entry_of(c->id, c->known_draining);
        registry_put(&registry, &known, c->known_at, T0);
    }
    ck_assert(registry_copy_apply_list(&registry, rows, c->list_revision,
                                       T0 + SECOND));
    const instance_t *found = find_instance(&registry, c->id);
    ck_assert_msg((found != NULL) == c->present, "%s", c->name);
    if (found != NULL) {
        ck_assert_msg(found->entry.draining == c->draining, "%s", c->name);
        ck_assert_uint_eq(found->entry.slots, 4);
        ck_assert_uint_eq(ntohs(found->entry.address.sin_port), 8080);
    }
    registry_release(&registry);
    json_decref(rows);
}
END_TEST

/* Upstreams from a copy are kept for the grace period only; draining ones are
   not added. */
START_TEST(test_copy)
{
    size_t size;
    char *text = served_copy(&size);
    registry_t registry;
    registry_init(&registry);
    /* The registry is empty: this is a start, not the end of an outage. */
    registry_store_reachable(&registry, STORE_AWAY_UNKNOWN_US, T0);
    ck_assert_uint_eq(registry_copy_load(&registry, text, size, T0), 1);
    ck_assert_ptr_null(find_instance(&registry, "i-2"));
    registry_expire(&registry, T0 + REGISTRY_GRACE_US - 1);
    ck_assert_ptr_nonnull(find_instance(&registry, "i-1"));
    registry_expire(&registry, T0 + REGISTRY_GRACE_US);
    ck_assert_ptr_null(find_instance(&registry, "i-1"));
    registry_release(&registry);
    /* They are kept while the store is unreachable, and for two seconds after
       that. */
    registry_init(&registry);
    ck_assert_uint_eq(registry_copy_load(&registry, text, size, T0), 1);
    registry_expire(&registry, T0 + 60 * SECOND);
    ck_assert_ptr_nonnull(find_instance(&registry, "i-1"));
    registry_store_reachable(&registry, STORE_AWAY_UNKNOWN_US,
                             T0 + 60 * SECOND);
    registry_list_begin(&registry);
    registry_list_end(&registry, T0 + 60 * SECOND);
    ck_assert_ptr_nonnull(find_instance(&registry, "i-1"));
    registry_expire(&registry, T0 + 62 * SECOND);
    ck_assert_ptr_null(find_instance(&registry, "i-1"));
    registry_release(&registry);
    free(text);
}
END_TEST

/* What one daemon knows of the fleet. */
typedef struct {
    registry_t registry;
    members_t members;
    fleet_revisions_t revisions;
} daemon_view_t;

static void
view_init(daemon_view_t *view)
{
    registry_init(&view->registry);
    members_init(&view->members, T0);
    view->revisions = (fleet_revisions_t){0};
}

static void
view_release(daemon_view_t *view)
{
    registry_release(&view->registry);
    members_release(&view->members);
}

static void
view_add_member(daemon_view_t *view, const char *name)
{
    char record[MEMBER_RECORD_SIZE];
    size_t size = member_record_write(record, sizeof(record), "10.0.0.1:80",
                                      "10.0.0.1:81", "a", 250);
    members_put(&view->members, name, record, size, 10, T0);
}

/* Upstream i-1, member front-a-1 and closed zone b, known up to a revision. */
static void
view_fill(daemon_view_t *view, uint64_t revision)
{
    instance_entry_t one = entry_of("i-1", false);
    view_init(view);
    registry_put(&view->registry, &one, 10, T0);
    registry_set_zone_closed(&view->registry, "b", true);
    view_add_member(view, "front-a-1");
    view->revisions = (fleet_revisions_t){
        .upstreams = revision, .members = revision, .zones = revision};
}

/* Transfer the responder's state to the requester; returns the size of the
   response. */
static size_t
fetch_state(daemon_view_t *requester, const daemon_view_t *responder,
            unsigned *updated)
{
    fleet_state_t sent = {
        .revisions = responder->revisions,
        .config = "{\"version\":7,\"routes\":[]}",
        .config_revision = 40,
        .age_us = 300000,
    };
    fleet_digest_t digest;
    fleet_digest_t have;
    char request[384];
    size_t size;
    fleet_digest_compute(&digest, 40, &requester->registry,
                         &requester->members);
    digest.revisions.upstreams = requester->revisions.upstreams;
    digest.revisions.members = requester->revisions.members;
    ck_assert_uint_gt(
        fleet_query_write(request, sizeof(request), "/fleet/state", &digest),
        0);
    fleet_query_parse(&have, request);
    ck_assert_mem_eq(&have, &digest, sizeof(have));
    char *text = fleet_state_write(&sent, &have, &responder->registry,
                                   &responder->members, T0, &size);
    fleet_state_t received;
    ck_assert(fleet_state_parse(&received, text, size));
    ck_assert_ptr_null(received.config); /* same revision at both */
    *updated =
        fleet_state_apply(&received, &requester->revisions,
                          &requester->registry, &requester->members, T0);
    fleet_state_release(&received);
    free(text);
    return size;
}

START_TEST(test_state)
{
    daemon_view_t responder;
    daemon_view_t requester;
    unsigned updated;
    view_fill(&responder, 50);
    view_init(&requester);
    size_t full_size = fetch_state(&requester, &responder, &updated);
    ck_assert_uint_eq(updated, FLEET_UPSTREAMS | FLEET_MEMBERS | FLEET_ZONES);
    ck_assert_ptr_nonnull(find_instance(&requester.registry, "i-1"));
    ck_assert(members_has(&requester.members, "front-a-1"));
    ck_assert_uint_eq(requester.members.records[0].weight, 250);
    ck_assert_str_eq(requester.members.records[0].control, "10.0.0.1:81");
    ck_assert_uint_eq(requester.revisions.upstreams, 50);
    /* With equal digests no part is sent, but the revision advances. */
    registry_set_zone_closed(&requester.registry, "b", true);
    responder.revisions.upstreams = 60;
    ck_assert_uint_lt(fetch_state(&requester, &responder, &updated),
                      full_size / 2);
    ck_assert_uint_eq(updated, 0);
    ck_assert_uint_eq(requester.revisions.upstreams, 60);
    /* Only one part has changed. */
    instance_entry_t two = entry_of("i-2", false);
    registry_put(&responder.registry, &two, 70, T0);
    responder.revisions.upstreams = 70;
    fetch_state(&requester, &responder, &updated);
    ck_assert_uint_eq(updated, FLEET_UPSTREAMS);
    ck_assert_ptr_nonnull(find_instance(&requester.registry, "i-2"));
    view_release(&responder);
    view_release(&requester);
}
END_TEST

/* A requester with recent revisions gets the changes and tombstones since
   then, not the complete parts. */
START_TEST(test_incremental_update)
{
    daemon_view_t responder;
    daemon_view_t requester;
    unsigned updated;
    char id[16];
    view_fill(&responder, 60);
    view_init(&requester);
    for (uint32_t i = 10; i < 60; i++) {
        snprintf(id, sizeof(id), "i-%u", i);
        instance_entry_t entry = entry_of(id, false);
        registry_put(&responder.registry, &entry, i, T0);
        view_add_member(&responder, id);
    }
    size_t full_size = fetch_state(&requester, &responder, &updated);
    registry_set_zone_closed(&requester.registry, "b", true);
    ck_assert_uint_eq(registry_count(&requester.registry), 51);
    instance_entry_t changed = entry_of("i-20", true);
    registry_put(&responder.registry, &changed, 70, T0);
    registry_remove(&responder.registry, "i-30", 71, T0);
    members_remove(&responder.members, "i-40", 72, T0);
    responder.revisions =
        (fleet_revisions_t){.upstreams = 72, .members = 72, .zones = 72};
    ck_assert_uint_lt(fetch_state(&requester, &responder, &updated),
                      full_size / 8);
    ck_assert_uint_eq(updated, FLEET_UPSTREAMS | FLEET_MEMBERS);
    ck_assert(find_instance(&requester.registry, "i-20")->entry.draining);
    ck_assert_ptr_null(find_instance(&requester.registry, "i-30"));
    ck_assert(!members_has(&requester.members, "i-40"));
    ck_assert_uint_eq(requester.revisions.upstreams, 72);
    ck_assert_uint_eq(requester.revisions.members, 72);
    /* The requester has lost an entry without having heard of a removal:
       changes can't repair that, the digest shows it, and the next request
       gets the complete part. */
    registry_remove(&requester.registry, "i-50", 50, T0);
    registry_put(&responder.registry, &changed, 80, T0);
    responder.revisions.upstreams = 80;
    fetch_state(&requester, &responder, &updated);
    ck_assert_uint_eq(requester.revisions.upstreams, 0);
    ck_assert_uint_gt(fetch_state(&requester, &responder, &updated),
                      full_size / 4);
    ck_assert_ptr_nonnull(find_instance(&requester.registry, "i-50"));
    ck_assert_uint_eq(requester.revisions.upstreams, 80);
    view_release(&responder);
    view_release(&requester);
}
END_TEST

/* The log covers removals after its floor revision, at most as many as it
   holds. */
typedef struct {
    const char *name;
    uint32_t removed; /* removals, at revisions 11, 12, ... */
    uint64_t floor;
    uint64_t since;
    bool covers;
    uint32_t returned; /* tombstones after `since` */
} tombstone_case_t;

static const tombstone_case_t tombstone_cases[] = {
    {"no removals", 0, 10, 10, true, 0},
    {"since before the floor", 3, 10, 9, false, 0},
    {"since the floor", 3, 10, 10, true, 3},
    {"since the second removal", 3, 10, 12, true, 1},
    {"since after the last", 3, 10, 20, true, 0},
    {"since 0", 3, 0, 0, false, 0},
    {"full log", TOMBSTONE_LOG_MAX, 10, 10, true, TOMBSTONE_LOG_MAX},
    {"one dropped, since before it", TOMBSTONE_LOG_MAX + 1, 10, 10, false, 0},
    {"one dropped, since then", TOMBSTONE_LOG_MAX + 1, 10, 11, true,
     TOMBSTONE_LOG_MAX},
};

START_TEST(test_tombstones)
{
    const tombstone_case_t *c = &tombstone_cases[_i];
    tombstone_log_t log = {0};
    tombstone_log_reset(&log, c->floor);
    for (uint32_t i = 0; i < c->removed; i++) {
        tombstone_log_add(&log, "x", 11 + i);
    }
    ck_assert_msg(tombstone_log_covers(&log, c->since) == c->covers, "%s",
                  c->name);
    uint32_t returned = 0;
    for (uint32_t at = 0;
         c->covers && tombstone_log_next(&log, c->since, &at) != NULL;) {
        returned++;
    }
    ck_assert_msg(returned == c->returned, "%s: %u", c->name, returned);
}
END_TEST

/* A peer that is behind must not restore entries whose removal another peer
   has reported. */
START_TEST(test_stale_peer)
{
    daemon_view_t behind;
    daemon_view_t ahead;
    daemon_view_t requester;
    unsigned updated;
    view_fill(&behind, 50);
    view_fill(&ahead, 50);
    registry_remove(&ahead.registry, "i-1", 60, T0);
    members_remove(&ahead.members, "front-a-1", 60, T0);
    registry_set_zone_closed(&ahead.registry, "b", false);
    ahead.revisions =
        (fleet_revisions_t){.upstreams = 60, .members = 60, .zones = 60};
    view_init(&requester);
    fetch_state(&requester, &ahead, &updated);
    fetch_state(&requester, &behind, &updated);
    ck_assert_uint_eq(updated, 0);
    ck_assert_uint_eq(registry_count(&requester.registry), 0);
    ck_assert_uint_eq(requester.members.count, 0);
    view_release(&behind);
    view_release(&ahead);
    view_release(&requester);
}
END_TEST

/*
 * After an outage a peer keeps an upstream that was removed meanwhile for its
 * grace period, and sends it with the removal's revision known. It must not be
 * taken for a new one, and when the peer drops it the requester must follow
 * although the store's revision has not changed.
 */
START_TEST(test_kept_by_peer)
{
    daemon_view_t reader;
    daemon_view_t requester;
    unsigned updated;
    bool knows_removal = _i == 0;
    view_fill(&reader, 50);
    view_init(&requester);
    fetch_state(&requester, &reader, &updated);
    ck_assert_uint_eq(registry_count(&requester.registry), 1);
    registry_store_unreachable(&reader.registry);
    registry_store_reachable(&reader.registry, STORE_AWAY_UNKNOWN_US, T0);
    ck_assert_int_eq(registry_remove(&reader.registry, "i-1", 60, T0),
                     REGISTRY_REMOVAL_DEFERRED);
    reader.revisions.upstreams = 65;
    if (knows_removal) {
        registry_remove(&requester.registry, "i-1", 60, T0);
    }
    requester.revisions.upstreams = 0;
    fetch_state(&requester, &reader, &updated);
    ck_assert_uint_eq(registry_count(&requester.registry),
                      knows_removal ? 0 : 1);
    registry_expire(&reader.registry, T0 + 3 * REGISTRY_GRACE_US);
    ck_assert_uint_eq(registry_count(&reader.registry), 0);
    fetch_state(&requester, &reader, &updated);
    fetch_state(&requester, &reader, &updated);
    ck_assert_uint_eq(registry_count(&requester.registry), 0);
    view_release(&reader);
    view_release(&requester);
}
END_TEST

/* A daemon that has just started, without the store, takes over a peer's
   complete state. */
START_TEST(test_bootstrap)
{
    daemon_view_t responder;
    daemon_view_t starting;
    fleet_state_t received;
    size_t size;
    char zones[4][INSTANCE_NAME_SIZE];
    view_fill(&responder, 0);
    fleet_state_t sent = {.config = "{}", .config_revision = 40};
    fleet_digest_t nothing = {0};
    char *text = fleet_state_write(&sent, &nothing, &responder.registry,
                                   &responder.members, T0, &size);
    ck_assert(fleet_state_parse(&received, text, size));
    ck_assert_str_eq(received.config, "{}");
    ck_assert_uint_eq(received.config_size, 2);
    ck_assert_uint_eq(received.config_revision, 40);
    view_init(&starting);
    fleet_state_bootstrap(&received, &starting.registry, &starting.members,
                          T0);
    ck_assert_ptr_nonnull(find_instance(&starting.registry, "i-1"));
    ck_assert(members_has(&starting.members, "front-a-1"));
    ck_assert_uint_eq(fleet_state_zones(&received, zones, 4), 1);
    ck_assert_str_eq(zones[0], "b");
    fleet_state_release(&received);
    free(text);
    view_release(&responder);
    view_release(&starting);
}
END_TEST

static const char bad_rows[] =
    "{\"age_us\":1,\"upstreams_revision\":9,\"members_revision\":9,"
    "\"zones_revision\":9,\"upstreams\":{\"rows\":[1,{},{\"id\":\"i\","
    "\"port\":99999,\"revision\":3}],\"gone\":[1,[],[2],[\"i\"]]},"
    "\"members\":{\"rows\":[1,{\"name\":3},{\"name\":\"m\"}],\"gone\":{}},"
    "\"zones\":[1,null]}";
static const char bad_changes[] =
    "{\"age_us\":1,\"upstreams_revision\":9,\"members_revision\":9,"
    "\"upstreams\":{\"rows\":[{}],\"gone\":[1,[],[2],[\"i\",-4]],\"since\":0,"
    "\"digest\":7},\"members\":{\"rows\":3,\"since\":0}}";

static const char *const malformed[] = {
    "",
    "{",
    "[]",
    "{\"age_us\":\"1\"}",
    "{\"age_us\":1,\"upstreams_revision\":9,\"upstreams\":3}",
    "{\"age_us\":1,\"members_revision\":9,\"members\":{\"name\":1}}",
    bad_rows,
    bad_changes,
};

START_TEST(test_malformed)
{
    const char *text = malformed[_i];
    daemon_view_t view;
    view_init(&view);
    fleet_state_t state;
    if (fleet_state_parse(&state, text, strlen(text))) {
        char zones[4][INSTANCE_NAME_SIZE];
        fleet_state_bootstrap(&state, &view.registry, &view.members, T0);
        (void)fleet_state_apply(&state, &view.revisions, &view.registry,
                                &view.members, T0);
        ck_assert_uint_eq(fleet_state_zones(&state, zones, 4), 0);
        fleet_state_release(&state);
    }
    ck_assert_uint_eq(registry_count(&view.registry), 0);
    ck_assert_uint_eq(view.members.count, 0);
    view_release(&view);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("peers");
    tcase_add_loop_test(tests, test_apply_list, 0,
                        sizeof(apply_list_cases) /
                            sizeof(apply_list_cases[0]));
    tcase_add_test(tests, test_copy);
    tcase_add_test(tests, test_state);
    tcase_add_test(tests, test_incremental_update);
    tcase_add_loop_test(tests, test_tombstones, 0,
                        sizeof(tombstone_cases) / sizeof(tombstone_cases[0]));
    tcase_add_test(tests, test_stale_peer);
    tcase_add_loop_test(tests, test_kept_by_peer, 0, 2);
    tcase_add_test(tests, test_bootstrap);
    tcase_add_loop_test(tests, test_malformed, 0,
                        sizeof(malformed) / sizeof(malformed[0]));
    return suite_run("peers", tests);
}
