/*
 * Planning of a query: the pieces of its range, the index version to pin and
 * the replica for each piece. Pure functions of the topology and of what the
 * coordinator knows of the replicas; core/query.h keeps a query's progress.
 */
#ifndef CORE_PLAN_H
#define CORE_PLAN_H

#include "core/replica.h"
#include "core/table.h"

#define PLAN_NO_UPSTREAM UINT32_MAX

typedef enum {
    PIECE_WAITING,
    PIECE_RUNNING,
    PIECE_DONE,
    PIECE_FAILED
} piece_state_t;

/* The part of the requested range that lies in one shard, and its progress. */
typedef struct {
    key_range_t range;
    uint16_t group;
    piece_state_t state;
    uint16_t open;   /* attempts in flight */
    uint16_t rounds; /* times that all eligible replicas were tried */
    uint16_t budget_waits;
    uint64_t tried; /* replicas tried this round, see plan_position_bit */
    int64_t not_before_us;
    int64_t hedge_at_us;
    uint32_t primary_attempt; /* the latest attempt that is not a hedge */
    bool hedged;
    bool may_have_run; /* an earlier attempt may have run */
    bool counted;      /* its first send is counted in the budget */
    int reason;        /* reason_t: why it waits or failed */
} piece_t;

/*
 * Split the range along the partition's shards into *pieces, which the caller
 * frees. Returns their number; 0 when memory ran out (*pieces is then NULL)
 * or the partition covers none of the range.
 */
size_t plan_split(const partition_t *partition, key_range_t range,
                  piece_t **pieces);

/*
 * The index version with which the most pieces can be answered, the newest
 * one on a tie; 0 when no replica has reported a version.
 */
uint64_t plan_select_version(const replica_table_t *replicas,
                             const char *service, const piece_t *pieces,
                             size_t piece_count);

/* Whether the configuration and the VM list allow new work on the upstream. */
bool plan_upstream_usable(const config_t *config,
                          const upstream_info_t *upstream);

/* Criteria for selecting a replica. */
typedef struct {
    const config_t *config;
    const replica_table_t *replicas;
    const char *service;
    const bool *owner_silent; /* per upstream; NULL: no owner is silent */
    uint64_t version;         /* exclude replicas known not to hold it */
    uint64_t seed;            /* spreads load over similar replicas */
    bool hedge;  /* exclude replicas that shed, are cold or failed */
    bool random; /* any eligible replica, whatever its cost */
} plan_criteria_t;

/*
 * The eligible replica of least cost that is not in piece->tried, as an index
 * in the replicas' topology, with its position within the group in *position.
 * PLAN_NO_UPSTREAM, with *position unchanged, when there is none.
 */
uint32_t plan_select_replica(const plan_criteria_t *criteria,
                             const piece_t *piece, size_t *position,
                             int64_t now_us);

/* Whether any eligible replica of the piece's group may hold the version. */
bool plan_version_available(const plan_criteria_t *criteria,
                            const piece_t *piece, int64_t now_us);

/* The bit in piece->tried that stands for a position in the group. */
uint64_t plan_position_bit(size_t position);

#endif
