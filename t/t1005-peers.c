/* What daemons tell one another, whole, stale and malformed. */
#include "t/lib/suite.h"
#include "tier/fleet_state.h"
#include "tier/registry_copy.h"

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

/* The daemon that is asked: i-1 and i-2 at the revisions 10 and 20. */
static char *
told_copy(size_t *size)
{
    registry_t asked;
    registry_init(&asked);
    instance_entry_t one = entry_of("i-1", false);
    instance_entry_t two = entry_of("i-2", true);
    registry_put(&asked, &one, 10, T0);
    registry_put(&asked, &two, 20, T0);
    char *text = registry_copy_write(&asked, T0, size);
    registry_release(&asked);
    return text;
}

static const instance_t *
find(const registry_t *registry, const char *id)
{
    uint64_t revision;
    const instance_t *instance;
    for (void *at = NULL;
         (instance = registry_each(registry, &at, &revision)) != NULL;) {
        if (strcmp(instance->entry.id, id) == 0) {
            return instance;
        }
    }
    return NULL;
}

/* What the daemon that asks knew before, and what it knows then. */
typedef struct {
    const char *name;
    const char *id;
    uint64_t known_at; /* its revision here; 0: not known */
    bool known_draining;
    uint64_t list_revision; /* of the list that is told */
    bool there;
    bool draining;
} follow_case_t;

static const follow_case_t follow_cases[] = {
    {"new here", "i-1", 0, false, 30, true, false},
    {"known as older", "i-2", 15, false, 30, true, true},
    {"known as newer", "i-2", 25, false, 30, true, false},
    {"not told, and the list is newer", "i-3", 15, false, 30, false, false},
    {"not told, and the list is older", "i-3", 35, false, 30, true, false},
};

START_TEST(test_follow)
{
    const follow_case_t *c = &follow_cases[_i];
    size_t size;
    char *text = told_copy(&size);
    registry_t registry;
    registry_init(&registry);
    if (c->known_at > 0) {
        instance_entry_t known = entry_of(c->id, c->known_draining);
        registry_put(&registry, &known, c->known_at, T0);
    }
    ck_assert(registry_copy_follow(&registry, text, size, c->list_revision,
                                   T0 + SECOND));
    const instance_t *found = find(&registry, c->id);
    ck_assert_msg((found != NULL) == c->there, "%s", c->name);
    if (found != NULL) {
        ck_assert_msg(found->entry.draining == c->draining, "%s", c->name);
        ck_assert_uint_eq(found->entry.slots, 4);
        ck_assert_uint_eq(ntohs(found->entry.address.sin_port), 8080);
    }
    registry_release(&registry);
    free(text);
}
END_TEST

/* A copy is believed for a while only, and not what drains. */
START_TEST(test_copy)
{
    size_t size;
    char *text = told_copy(&size);
    registry_t registry;
    registry_init(&registry);
    registry_store_back(&registry, T0); /* nothing was known: no outage */
    ck_assert_uint_eq(registry_copy_read(&registry, text, size, T0), 1);
    ck_assert_ptr_null(find(&registry, "i-2"));
    registry_expire(&registry, T0 + REGISTRY_RETURN_US - 1);
    ck_assert_ptr_nonnull(find(&registry, "i-1"));
    registry_expire(&registry, T0 + REGISTRY_RETURN_US);
    ck_assert_ptr_null(find(&registry, "i-1"));
    registry_release(&registry);
    /* While the store is away it holds, until that is back and two seconds. */
    registry_init(&registry);
    ck_assert_uint_eq(registry_copy_read(&registry, text, size, T0), 1);
    registry_expire(&registry, T0 + 60 * SECOND);
    ck_assert_ptr_nonnull(find(&registry, "i-1"));
    registry_store_back(&registry, T0 + 60 * SECOND);
    registry_list_begin(&registry);
    registry_list_end(&registry, T0 + 60 * SECOND);
    ck_assert_ptr_nonnull(find(&registry, "i-1"));
    registry_expire(&registry, T0 + 62 * SECOND);
    ck_assert_ptr_null(find(&registry, "i-1"));
    registry_release(&registry);
    free(text);
}
END_TEST

START_TEST(test_state)
{
    registry_t registry;
    members_t members;
    char record[256];
    registry_init(&registry);
    members_init(&members, T0);
    instance_entry_t one = entry_of("i-1", false);
    registry_put(&registry, &one, 10, T0);
    registry_close_zone(&registry, "b", true);
    size_t record_size = member_record_write(
        record, sizeof(record), "10.0.0.1:80", "10.0.0.1:81", "a", 250);
    members_put(&members, "front-a-1", record, record_size, T0);
    fleet_state_t said = {
        .config = "{\"version\":7,\"routes\":[]}",
        .revision = 40,
        .upstreams_revision = 50,
        .age_us = 300000,
    };
    size_t size;
    char *text = fleet_state_write(&said, &registry, &members, T0, &size);
    fleet_state_t heard;
    ck_assert(fleet_state_read(&heard, text, size));
    ck_assert_str_eq(heard.config, said.config);
    ck_assert_uint_eq(heard.revision, 40);
    ck_assert_uint_eq(heard.upstreams_revision, 50);
    ck_assert_int_eq(heard.age_us, 300000);
    registry_t other;
    members_t others;
    registry_init(&other);
    members_init(&others, T0);
    fleet_state_apply(&heard, &other, &others, T0);
    ck_assert_ptr_nonnull(find(&other, "i-1"));
    ck_assert(registry_zone_is_closed(&other, "b"));
    ck_assert(members_has(&others, "front-a-1"));
    ck_assert_uint_eq(others.records[0].weight, 250);
    ck_assert_str_eq(others.records[0].control, "10.0.0.1:81");
    fleet_state_release(&heard);
    free(text);
    /* Without a configuration it has the upstreams only. */
    said.config = NULL;
    text = fleet_state_write(&said, &registry, &members, T0, &size);
    ck_assert(fleet_state_read(&heard, text, size));
    ck_assert_ptr_null(heard.config);
    fleet_state_release(&heard);
    free(text);
    registry_release(&registry);
    registry_release(&other);
    members_release(&members);
    members_release(&others);
}
END_TEST

static const char bad_rows[] =
    "{\"upstreams\":\"[1,{},{\\\"id\\\":\\\"i\\\",\\\"port\\\":99999}]\","
    "\"members\":[1,{\"name\":3},{\"name\":\"m\"}],\"closed\":[1,null]}";

static const char *const malformed[] = {
    "",
    "{",
    "[]",
    "{\"upstreams\":3}",
    "{\"upstreams\":\"[{]\",\"config\":\"x\"}",
    bad_rows,
};

START_TEST(test_malformed)
{
    const char *text = malformed[_i];
    registry_t registry;
    members_t members;
    registry_init(&registry);
    members_init(&members, T0);
    fleet_state_t state;
    if (fleet_state_read(&state, text, strlen(text))) {
        fleet_state_apply(&state, &registry, &members, T0);
        registry_copy_follow(&registry, state.upstreams,
                             strlen(state.upstreams), 9, T0);
        fleet_state_release(&state);
    }
    ck_assert_uint_eq(registry_count(&registry), 0);
    ck_assert_uint_eq(members.count, 0);
    ck_assert_uint_eq(registry.closed_count, 0);
    registry_release(&registry);
    members_release(&members);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("peers");
    tcase_add_loop_test(tests, test_follow, 0,
                        sizeof(follow_cases) / sizeof(follow_cases[0]));
    tcase_add_test(tests, test_copy);
    tcase_add_test(tests, test_state);
    tcase_add_loop_test(tests, test_malformed, 0,
                        sizeof(malformed) / sizeof(malformed[0]));
    return suite_run("peers", tests);
}
