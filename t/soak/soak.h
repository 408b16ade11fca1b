/*
 * Runs a fleet of real daemons under faults, on loopback addresses. The store,
 * the upstreams and the callers are part of this process; each daemon is a
 * process of its own. The seed determines the faults and their times; the
 * request log checks the guarantees of the query tier.
 *
 *     soak_result_t result = soak_run(&(soak_settings_t){.seed = 7});
 */
#ifndef T_SOAK_SOAK_H
#define T_SOAK_SOAK_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t seed;
    const char *program; /* path of the daemon's executable */
    bool no_faults;      /* run without faults */
    bool large_fleet;    /* enough daemons that some are standby */
} soak_settings_t;

typedef struct {
    uint32_t requests;
    uint32_t violations;
    double served_ratio;    /* share of all requests */
    double recovered_ratio; /* share of those sent at the end of the run,
                                  when the last fault has ended */
} soak_result_t;

/*
 * Run the fleet, which takes 22 to 31 s, and print the seed, the faults, the
 * violations and a summary. After a violation, the daemons' settings and logs
 * are kept in the directory that the summary names.
 */
soak_result_t soak_run(const soak_settings_t *settings);

#endif
