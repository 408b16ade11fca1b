/*
 * A fleet of real daemons on loopback: store, upstreams and callers are of
 * this process, the daemons processes of their own. A seed decides which
 * faults meet them when; the ledger says which promises were broken.
 *
 *     soak_result_t result = soak_run(&(soak_settings_t){.seed = 7});
 */
#ifndef T_SOAK_SOAK_H
#define T_SOAK_SOAK_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t seed;
    const char *program; /* the daemon's */
    bool no_faults;      /* no faults */
    bool large_fleet;    /* so many daemons that some stand by */
} soak_settings_t;

typedef struct {
    uint32_t requests;
    uint32_t violations;
    double served_ratio; /* of all */
    double
        recovered_ratio; /* of those sent after the last fault and its grace */
} soak_result_t;

/* Prints the seed, the faults and what was broken; takes 22 to 31 s. */
soak_result_t soak_run(const soak_settings_t *settings);

#endif
