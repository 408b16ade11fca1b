/* How often watchers and other daemons read partitions from the store. */
#include "fleet/partition_poll.h"
#include "t/lib/suite.h"

enum { SERVICES = 256, ROUNDS = 10 * PARTITION_POLL_ROUNDS };

typedef struct {
    const char *name;
    bool known;
    bool watcher;
    size_t reads;         /* of one service in ROUNDS rounds */
    size_t max_per_round; /* reads of all services */
} poll_case_t;

static const poll_case_t cases[] = {
    {"watcher", true, true, ROUNDS, SERVICES},
    {"unknown", false, false, ROUNDS, SERVICES},
    {"known, not a watcher", true, false, ROUNDS / PARTITION_POLL_ROUNDS,
     (SERVICES + PARTITION_POLL_ROUNDS - 1) / PARTITION_POLL_ROUNDS},
};

START_TEST(test_reads)
{
    const poll_case_t *c = &cases[_i];
    size_t reads[SERVICES] = {0};
    size_t max = 0;
    for (uint64_t round = 0; round < ROUNDS; round++) {
        size_t in_round = 0;
        for (size_t service = 0; service < SERVICES; service++) {
            if (partition_poll_due(round, service, c->known, c->watcher)) {
                reads[service]++;
                in_round++;
            }
        }
        max = in_round > max ? in_round : max;
    }
    for (size_t service = 0; service < SERVICES; service++) {
        ck_assert_msg(reads[service] == c->reads, "%s: %zu reads of %zu",
                      c->name, reads[service], service);
    }
    ck_assert_msg(max == c->max_per_round, "%s: %zu reads in one round",
                  c->name, max);
}
END_TEST

int
main(void)
{
    TCase *tests = tcase_create("partition poll");
    tcase_add_loop_test(tests, test_reads, 0,
                        sizeof(cases) / sizeof(cases[0]));
    return suite_run("partition poll", tests);
}
