/*
 * Hosts many stand-in upstreams in one process, each on a port of its own,
 * served by a few threads. All functions may be called from any thread.
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
    const upstream_plan_t *plans; /* must outlive the host */
    size_t plan_count;
    ledger_t *ledger; /* must outlive the host */
    uint64_t seed;
    uint64_t version;    /* initial index version */
    uint64_t generation; /* initial partition generation */
    bool cold;           /* every upstream starts cold */
    unsigned threads;
} host_options_t;

/* Selects upstreams by all given fields; NULL or group -1 matches any. */
typedef struct {
    const char *upstream;
    const char *service;
    const char *zone;
    int group;
} host_select_t;

/*
 * Starts to serve. Returns NULL if memory is out or a port can't be bound; the
 * caller frees the host with host_free.
 */
host_t *host_new(const host_options_t *options);

/* Stops the threads, drops all requests and frees the host. */
void host_free(host_t *host);

/*
 * Port that the upstream at an index of the plans listens on. It is the
 * planned port, or a free port if the planned one is 0.
 */
uint16_t host_port(const host_t *host, size_t index);

/*
 * Changes the state of the selected upstreams. The fields of set are named as
 * in replica_state_t; "crash":true also restarts the upstreams. Returns the
 * number of selected upstreams.
 */
size_t host_set(host_t *host, const host_select_t *selector,
                const json_t *set);

/*
 * VM list entries of the upstreams that are not gone, as a JSON array that the
 * caller releases.
 */
json_t *host_vms(host_t *host);

#endif
