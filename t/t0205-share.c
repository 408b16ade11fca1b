/* Shares of a limit's slots add up to it, and each group gets a slot. */
#include "core/gate_share.h"
#include "t/lib/suite.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum { UPSTREAMS = 60, GROUPS = 20, ZONES = 3, SEEDS = 20 };

static topology_t *
random_topology(uint64_t seed)
{
    static upstream_info_t infos[UPSTREAMS];
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        uint64_t hash = XXH64(&i, sizeof(i), seed);
        infos[i] = (upstream_info_t){.group = (uint16_t)(i % GROUPS)};
        snprintf(infos[i].name, NAME_SIZE, "u-%08x", (unsigned)hash);
        snprintf(infos[i].service, NAME_SIZE, "s%d", hash % 8 == 0);
        snprintf(infos[i].zone, NAME_SIZE, "z%d", (int)(hash / 8 % ZONES));
    }
    topology_t *topology = NULL;
    ck_assert_int_eq(topology_new(infos, UPSTREAMS, NULL, 0, &topology, NULL),
                     STATUS_OK);
    return topology;
}

/* Sum of the shares of a limit over a service, or over one of its zones. */
static uint32_t
share_sum(const topology_t *topology, const char *service, const char *zone,
          uint32_t limit, uint32_t *count)
{
    uint32_t sum = 0;
    *count = 0;
    for (size_t i = 0; i < topology->upstream_count; i++) {
        const upstream_info_t *info = &topology->upstreams[i];
        if (strcmp(info->service, service) != 0 ||
            (zone != NULL && strcmp(info->zone, zone) != 0)) {
            continue;
        }
        share_rank_t rank = share_rank(topology, i);
        sum += zone == NULL
                   ? share_slots(limit, rank.service_rank, rank.service_count)
                   : share_slots(limit, rank.zone_rank, rank.zone_count);
        (*count)++;
    }
    return sum;
}

START_TEST(test_shares_add_up)
{
    topology_t *topology = random_topology((uint64_t)_i);
    static const uint32_t limits[] = {0, 1, 7, 20, 59, 60, 61, 1000};
    uint32_t count;
    for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
        uint32_t limit = limits[i];
        ck_assert_uint_eq(share_sum(topology, "s0", NULL, limit, &count),
                          limit);
        ck_assert_uint_gt(count, 0);
        for (int zone = 0; zone < ZONES; zone++) {
            char name[NAME_SIZE];
            snprintf(name, sizeof(name), "z%d", zone);
            uint32_t sum = share_sum(topology, "s0", name, limit, &count);
            ck_assert_uint_eq(sum, count > 0 ? limit : 0);
        }
    }
    topology_put(topology);
}
END_TEST

/* A limit of one slot per group gives each group exactly one slot. */
START_TEST(test_slot_for_each_group)
{
    topology_t *topology = random_topology((uint64_t)_i);
    uint32_t groups = 0;
    uint32_t slots[GROUPS] = {0};
    bool present[GROUPS] = {false};
    for (size_t i = 0; i < topology->upstream_count; i++) {
        const upstream_info_t *info = &topology->upstreams[i];
        if (strcmp(info->service, "s0") == 0 && !present[info->group]) {
            present[info->group] = true;
            groups++;
        }
    }
    for (size_t i = 0; i < topology->upstream_count; i++) {
        const upstream_info_t *info = &topology->upstreams[i];
        if (strcmp(info->service, "s0") != 0) {
            continue;
        }
        share_rank_t rank = share_rank(topology, i);
        slots[info->group] +=
            share_slots(groups, rank.service_rank, rank.service_count);
    }
    for (int i = 0; i < GROUPS; i++) {
        ck_assert_uint_eq(slots[i], present[i] ? 1 : 0);
    }
    topology_put(topology);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("share");
    tcase_add_loop_test(tests, test_shares_add_up, 0, SEEDS);
    tcase_add_loop_test(tests, test_slot_for_each_group, 0, SEEDS);
    return suite_run("share", tests);
}
