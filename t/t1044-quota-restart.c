/*
 * Quotas after all daemons restarted at once, in virtual time. Guards against
 * requests within the limit that are refused in the seconds after that: the
 * record of what was spent is lost, and the daemons know few others yet.
 */
#include "t/lib/suite.h"
#include "t/lib/tier_quota_world.h"

static void
restart_all(quota_world_t *world, int64_t now_us)
{
    for (uint32_t i = 0; now_us == EVENT_US && i < world->c->daemons; i++) {
        world->daemons[i].down_us = now_us;
        world->daemons[i].back_us = now_us + 200 * MS + i * 10 * MS;
    }
}

static const quota_case_t cases[] = {
    {"0.62 of 5/s at all of 8, all restart", .daemons = 8, .tenants = 200,
     .limit = {.rate_per_s = 5, .burst = 5}, .load = 0.62, .loss_max = 0.005,
     .seconds = 50, .event = restart_all},
    {"0.62 of 5/s at all of 28, all restart", .daemons = 28, .tenants = 200,
     .limit = {.rate_per_s = 5, .burst = 5}, .load = 0.62, .loss_max = 0.005,
     .seconds = 50, .event = restart_all},
};

START_TEST(test_restart)
{
    for (uint64_t seed = 1; seed <= 3; seed++) {
        quota_world_t *world = quota_world_new(&cases[_i], MODE_WHOLE, seed);
        quota_world_run(world);
        const char *fault = quota_world_fault(world);
        ck_assert_msg(fault == NULL, "%s, seed %d: %s, %.4f", cases[_i].name,
                      (int)seed, fault, quota_world_lost(world));
        quota_world_free(world);
    }
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("restart");
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, test_restart, 0,
                        sizeof(cases) / sizeof(cases[0]));
    return suite_run("t1044-quota-restart", tests);
}
