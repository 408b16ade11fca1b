/*
 * What one stand-in upstream decides: whether it takes a request, how each
 * part of it ends and how long that takes. No I/O and no clock; the caller
 * serializes calls and passes the time.
 *
 *     replica_t replica;
 *     replica_init(&replica, &plan, seed, 17, 1);
 *     size_t runs = replica_check(&replica, parts, count, now_us);
 *     if (replica_admit(&replica, runs, now_us) == ADMIT_RUN) {
 *         int64_t end_us = replica_start(&replica, parts, count, now_us);
 *         ... at end_us ...
 *         replica_finish(&replica, runs);
 *     }
 */
#ifndef STANDIN_LIB_REPLICA_H
#define STANDIN_LIB_REPLICA_H

#include "standin/lib/plan.h"

enum {
    REPLICA_PARTS_MAX = 64,   /* parts of one request */
    REPLICA_PART_ID_SIZE = 64 /* bytes of a part's id, its NUL included */
};

typedef enum {
    RUN_OK,
    RUN_NO_VERSION,
    RUN_MOVED,
    RUN_EXPIRED,
    RUN_FAILED, /* started, not finished */
    RUN_STATUS_COUNT
} run_status_t;

typedef struct {
    char id[REPLICA_PART_ID_SIZE];
    key_range_t range;
    uint64_t version; /* 0: newest; after replica_check the one answered */
    uint64_t generation;
    int64_t deadline_us;
    bool once;
    const char *body;
    run_status_t status;
} run_part_t;

typedef enum {
    ADMIT_RUN,
    ADMIT_SHED,               /* no slot is free */
    ADMIT_SHED_COLD,          /* cold, in a request that could not know */
    ADMIT_SHED_COLD_REPORTED, /* cold, and the callers had been told */
    ADMIT_COUNT
} admit_t;

/* Faults and states that a test sets; see replica_set. */
typedef struct {
    bool down;  /* refuses connections, closes those it has */
    bool hang;  /* takes requests and never answers */
    bool cold;  /* bears no more than its cold slots */
    bool drain; /* says that it is leaving, still serves */
    bool gone;  /* no longer on the VM list */
    bool shed;  /* refuses every part */
    bool truncate;
    bool wrong_id;
    bool close_after_run;
    double slow; /* factor on the service time */
    uint64_t version;
    uint64_t held; /* versions held, the newest included */
    uint64_t generation;
} replica_state_t;

typedef struct {
    const upstream_plan_t *plan;
    replica_state_t state;
    uint64_t boot;
    uint32_t cold_slots;
    uint32_t cold_parts; /* parts to finish before it is warm */
    uint32_t cold_finished;
    int64_t cold_reported_us; /* when a caller learned it; 0: not yet */
    int64_t drain_us;         /* when it began to leave */
    uint32_t running;
    uint64_t seed;
    uint64_t draws;
} replica_t;

void replica_init(replica_t *replica, const upstream_plan_t *plan,
                  uint64_t seed, uint64_t version, uint64_t generation);

/* Mark parts that will not run; returns how many will. */
size_t replica_check(const replica_t *replica, run_part_t *parts, size_t count,
                     int64_t now_us);

/* Whether a request whose parts need slots is taken now. */
admit_t replica_admit(replica_t *replica, size_t slots, int64_t now_us);

/* Take the slots of the RUN_OK parts; returns when the last one ends. */
int64_t replica_start(replica_t *replica, run_part_t *parts, size_t count,
                      int64_t now_us);

/* Give the slots back. */
void replica_finish(replica_t *replica, size_t slots);

/* Parts that were running have been dropped without an end. */
void replica_drop(replica_t *replica, size_t slots);

/* Restart: a new boot id, cold, nothing running. */
void replica_crash(replica_t *replica, int64_t now_us);

/* Change the state; a replica that turns cold or leaves starts doing so. */
void replica_set(replica_t *replica, const replica_state_t *state,
                 int64_t now_us);

/* Whether a body makes the upstream that runs it crash. */
bool replica_body_crashes(const char *body);

/* Name in replies: "ok", "no_version". */
const char *run_status_name(run_status_t status);

#endif
