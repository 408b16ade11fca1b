/*
 * Where the pieces of a query go: which shards, which index version, which
 * replica. Pure choices over a topology and what is known of its replicas;
 * the progress of a query is kept in query.h.
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

/* One shard's share of the asked range. */
typedef struct {
    key_range_t range;
    uint16_t group;
    piece_state_t state;
    uint16_t open;   /* attempts in progress */
    uint16_t rounds; /* times all replicas were gone through */
    uint16_t budget_waits;
    uint64_t tried; /* replicas asked this round, a bit a position */
    int64_t not_before_us;
    int64_t hedge_at_us;
    uint32_t primary_attempt; /* the one that is not a hedge, while running */
    bool hedged;
    bool may_have_run; /* an earlier attempt may have run */
    bool counted;      /* as a first send, in the budget */
    int reason;        /* reason_t: why it waits or failed */
} piece_t;

/*
 * Cut range along the partition into *pieces, freed by the caller; returns
 * how many, 0 when memory ran out or the partition covers none of it.
 */
size_t plan_split(const partition_t *partition, key_range_t range,
                  piece_t **pieces);

/*
 * The index version that lets the most pieces be answered, the newest of
 * equals; 0 when no replica has told one.
 */
uint64_t plan_select_version(const replica_table_t *replicas,
                             const char *service, const piece_t *pieces,
                             size_t piece_count);

/* Whether the table and the VM list let new work go to the upstream. */
bool plan_upstream_usable(const config_t *config,
                          const upstream_info_t *upstream);

typedef struct {
    const config_t *config;
    const replica_table_t *replicas;
    const char *service;
    const bool
        *owner_silent; /* per upstream: its owner is silent; NULL: none */
    uint64_t version;  /* replicas known not to hold it are left out */
    uint64_t seed;
    bool hedge;  /* leave out replicas that shed or are cold */
    bool random; /* any replica that fits, whatever its cost */
} plan_criteria_t;

/*
 * The best replica for the piece that is not in piece->tried, its position
 * within the group in *position; PLAN_NO_UPSTREAM when there is none.
 */
uint32_t plan_select_replica(const plan_criteria_t *criteria,
                             const piece_t *piece, size_t *position,
                             int64_t now_us);

/* Whether any usable replica of the piece's group may hold the version. */
bool plan_version_available(const plan_criteria_t *criteria,
                            const piece_t *piece, int64_t now_us);

/* The bit of piece->tried for a position in the group. */
uint64_t plan_position_bit(size_t position);

#endif
