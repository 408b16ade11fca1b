/*
 * What a coordinator has learnt of each upstream from its own parts.
 *
 * A replica_table_t runs parallel to a topology_t: entry i describes upstream
 * i. One table serves one thread. Everything in it is evidence from replies;
 * nothing is taken from health or load endpoints.
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
    latency_t latency;            /* from send to reply, queue included */
    uint32_t median_us;           /* of latency; 0: too few replies */
    uint32_t tail_us;             /* high quantile of latency, as median_us */
    uint64_t held[PART_HELD_MAX]; /* index versions, newest first; 0: none */
    int64_t avoid_until_us;       /* shedding, cold or lost: others go first */
    uint32_t in_progress;         /* attempts of this thread now open */
    uint32_t held_at_ms; /* when held was told; only differences count */
} replica_t;

enum { REPLICA_SERVICES_MAX = 256 /* rows of the table */ };

/* Latency over all replicas of one service, while one alone says little. */
typedef struct {
    char service[NAME_SIZE];
    hist_t latency;
} replica_service_t;

typedef struct {
    topology_t *topology;
    replica_t *replicas;
    replica_service_t *services; /* REPLICA_SERVICES_MAX */
    size_t service_count;
} replica_table_t;

void replica_table_init(replica_table_t *table);
void replica_table_release(replica_table_t *table);

/*
 * Move to a new topology, keeping what is known of upstreams that stay by
 * name. False: no memory, and the table stays as it was.
 */
bool replica_table_set_topology(replica_table_t *table, topology_t *topology);

/* Take the evidence of one reply; latency_us from send to reply. */
void replica_table_record_reply(replica_table_t *table, uint32_t upstream,
                                const part_reply_t *reply, int64_t latency_us,
                                int64_t now_us);

/* Whether the upstream is known to hold the version; unknown counts as yes. */
bool replica_may_hold_version(const replica_t *replica, uint64_t version);

/*
 * Whether it may hold the version by now: it does as far as known, or what is
 * known is of a while ago and the version newer than any it held then.
 */
bool replica_may_hold_version_now(const replica_t *replica, uint64_t version,
                                  int64_t now_us);

/*
 * How long to wait for a reply before asking another replica, in
 * microseconds: from the replica's own latency, from that of its service
 * while too few replies are known, fallback_us without either.
 */
int64_t replica_hedge_delay_us(const replica_table_t *table, uint32_t upstream,
                               int64_t fallback_us);

/*
 * Order of preference between replicas of one group: lower is better. seed
 * spreads equals.
 */
uint64_t replica_cost(const replica_t *replica, uint64_t seed, int64_t now_us);

#endif
