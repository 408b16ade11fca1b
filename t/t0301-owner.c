/* Rendezvous hashing: balance, zone preference, moves when a member leaves. */
#include "fleet/owner.h"
#include "t/lib/suite.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum { UPSTREAMS = 960, MEMBERS_MAX = 32 };

typedef struct {
    const char *name;
    size_t members;
    size_t zones;          /* members are assigned to them round robin */
    size_t upstream_zones; /* if more than zones, some have no member */
    double max_share; /* largest share of a member, relative to 1/members */
} balance_case_t;

static const balance_case_t balance_cases[] = {
    {"one member", 1, 1, 1, 1.01},
    {"eight in two zones", 8, 2, 2, 1.35},
    {"eight in four zones", 8, 4, 4, 1.35},
    {"one zone without members", 6, 2, 3, 1.5},
    {"full group", 32, 1, 1, 1.8},
};

static size_t
members_fill(owner_key_t *members, size_t count, size_t zones)
{
    for (size_t i = 0; i < count; i++) {
        char name[32];
        char zone[32];
        snprintf(name, sizeof(name), "a%u", (unsigned)i);
        snprintf(zone, sizeof(zone), "z%u", (unsigned)(i % zones));
        members[i] = owner_key(name, zone);
    }
    return count;
}

static owner_key_t
upstream_key(size_t i, size_t zones)
{
    char name[32];
    char zone[32];
    snprintf(name, sizeof(name), "ledger-desk-g%u-r%u", (unsigned)(i / 3),
             (unsigned)(i % 3));
    snprintf(zone, sizeof(zone), "z%u", (unsigned)(i % zones));
    return owner_key(name, zone);
}

START_TEST(test_balance_and_zones)
{
    const balance_case_t *c = &balance_cases[_i];
    owner_key_t members[MEMBERS_MAX];
    size_t count = members_fill(members, c->members, c->zones);
    size_t owned[MEMBERS_MAX] = {0};
    for (size_t i = 0; i < UPSTREAMS; i++) {
        owner_key_t upstream = upstream_key(i, c->upstream_zones);
        int owner = owner_pick(members, count, upstream);
        ck_assert_int_ge(owner, 0);
        owned[owner]++;
        bool zone_has_member = i % c->upstream_zones < c->zones;
        ck_assert_msg(!zone_has_member || members[owner].zone == upstream.zone,
                      "%s: owner of %zu is in another zone", c->name, i);
    }
    for (size_t i = 0; i < count; i++) {
        double share = (double)owned[i] * (double)count / UPSTREAMS;
        ck_assert_msg(share <= c->max_share, "%s: share %f", c->name, share);
    }
}
END_TEST

START_TEST(test_leave_moves_only_owned_upstreams)
{
    owner_key_t members[MEMBERS_MAX];
    size_t count = members_fill(members, 8, 2);
    for (size_t gone = 0; gone < count; gone++) {
        owner_key_t rest[MEMBERS_MAX];
        memcpy(rest, members, sizeof(members));
        rest[gone] = rest[count - 1];
        for (size_t i = 0; i < UPSTREAMS; i++) {
            owner_key_t upstream = upstream_key(i, 2);
            owner_key_t before = members[owner_pick(members, count, upstream)];
            owner_key_t after = rest[owner_pick(rest, count - 1, upstream)];
            ck_assert(before.name == after.name ||
                      before.name == members[gone].name);
        }
    }
}
END_TEST

START_TEST(test_no_member)
{
    ck_assert_int_eq(owner_pick(NULL, 0, upstream_key(0, 1)), -1);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("owner");
    tcase_add_loop_test(tests, test_balance_and_zones, 0,
                        sizeof(balance_cases) / sizeof(balance_cases[0]));
    tcase_add_test(tests, test_leave_moves_only_owned_upstreams);
    tcase_add_test(tests, test_no_member);
    return suite_run("owner", tests);
}
