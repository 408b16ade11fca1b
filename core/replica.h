/*
 * Observations of each upstream by a coordinator, from replies to its parts.
 *
 * A replica_table_t belongs to a topology_t: entry i describes upstream i. One
 * table serves one thread. All values come from replies; none comes from a
 * health or load endpoint.
 *
 *     replica_table_t table;
 *     replica_table_init(&table);
 *     replica_table_set_topology(&table, topology);
 *     replica_table_record_reply(&table, upstream, &reply, now);
 *     replica_table_release(&table);
 */
#ifndef CORE_REPLICA_H
#define CORE_REPLICA_H

#include "core/hist.h"
#include "core/latency.h"
#include "core/topology.h"

typedef struct {
    latency_t latency;            /* from send to reply, with queueing */
    uint32_t median_us;           /* of latency; 0: too few replies */
    uint32_t tail_us;             /* hedge quantile; 0: too few replies */
    uint64_t held[PART_HELD_MAX]; /* index versions, newest first; 0: none */
    int64_t avoid_until_us;       /* shed, cold or lost: prefer others */
    uint32_t in_progress;         /* attempts of this thread in flight */
    uint32_t held_at_ms; /* time of held; wraps, only differences count */
} replica_t;

enum { REPLICA_SERVICES_MAX = 256 /* one per row of the operators' table */ };

/* Latency over all replicas of a service, for replicas with few replies. */
typedef struct {
    char service[NAME_SIZE];
    hist_t latency;
} replica_service_t;

typedef struct {
    topology_t *topology;
    replica_t *replicas;
    replica_service_t *services; /* array of REPLICA_SERVICES_MAX */
    size_t service_count;
} replica_table_t;

void replica_table_init(replica_table_t *table);

/* Frees what the table owns and drops its reference to the topology. */
void replica_table_release(replica_table_t *table);

/*
 * Sets a new topology and takes a reference to it. Entries of upstreams with
 * the same name are kept. Returns false if out of memory; the table then
 * keeps its topology and entries.
 */
bool replica_table_set_topology(replica_table_t *table, topology_t *topology);

/* Records one reply of an upstream; latency_us is from send to reply. */
void replica_table_record_reply(replica_table_t *table, uint32_t upstream,
                                const part_reply_t *reply, int64_t latency_us,
                                int64_t now_us);

/*
 * Whether the upstream held the version at its last reply. True for version 0
 * and while the versions that it holds are unknown.
 */
bool replica_may_hold_version(const replica_t *replica, uint64_t version);

/*
 * Whether the upstream may hold the version now: it held it at its last reply,
 * or that reply is old and the version is newer than all it held then.
 */
bool replica_may_hold_version_now(const replica_t *replica, uint64_t version,
                                  int64_t now_us);

/*
 * How long to wait for a reply before sending a hedge to another replica, in
 * microseconds. Derived from the latency of the replica, or of its service if
 * the replica has too few replies; fallback_us if both have too few.
 */
int64_t replica_hedge_delay_us(const replica_table_t *table, uint32_t upstream,
                               int64_t fallback_us);

/*
 * Cost by which to choose between the replicas of a group; lower is better.
 * Different seeds spread requests over replicas of equal cost.
 */
uint64_t replica_cost(const replica_t *replica, uint64_t seed, int64_t now_us);

#endif
