/*
 * Many stand-in upstreams in one process, each on a port of its own, served
 * by a few threads. Calls may come from any thread.
 *
 *     host_t *host = host_new(&(host_options_t){.plans = plans, ...});
 *     host_set(host, &(host_select_t){.zone = "south-1"}, set);
 *     host_free(host);
 */
#ifndef STANDIN_LIB_HOST_H
#define STANDIN_LIB_HOST_H

#include "standin/lib/ledger.h"
#include "standin/lib/replica.h"

typedef struct host host_t;

typedef struct {
    const upstream_plan_t *plans; /* live as long as the host */
    size_t plan_count;
    ledger_t *ledger;
    uint64_t seed;
    uint64_t version;
    uint64_t generation;
    bool cold; /* every upstream starts cold */
    unsigned threads;
} host_options_t;

/* Which upstreams; NULL and -1 stand for all. */
typedef struct {
    const char *upstream;
    const char *service;
    const char *zone;
    int group;
} host_select_t;

/* Serve; NULL when a port cannot be listened on. */
host_t *host_new(const host_options_t *options);

void host_free(host_t *host);

/* Port of the upstream at an index of the plans, which may leave it at 0. */
uint16_t host_port(const host_t *host, size_t index);

/*
 * Change the state of the selected upstreams by fields named as in
 * replica_state_t; "crash":true restarts them as well. Returns how many were
 * selected.
 */
size_t host_set(host_t *host, const host_select_t *selector,
                const json_t *set);

/* The "vms" entries of the upstreams that are not gone. */
json_t *host_vms(host_t *host);

#endif
