/*
 * The decisions of one stand-in upstream: whether it accepts a request, how
 * each part of the request ends and how long the part takes. The code does no
 * I/O and reads no clock; the caller serializes calls and passes the time, in
 * microseconds of one monotonic clock.
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
    REPLICA_PART_ID_SIZE = 64 /* bytes of a part's id, with the final NUL */
};

typedef enum {
    RUN_OK,
    RUN_NO_VERSION,
    RUN_MOVED,
    RUN_EXPIRED,
    RUN_FAILED, /* started, but cancelled or past its deadline */
    RUN_STATUS_COUNT
} run_status_t;

typedef struct {
    char id[REPLICA_PART_ID_SIZE];
    key_range_t range;
    uint64_t version; /* 0: newest; replica_check sets the resolved version */
    uint64_t generation;
    int64_t deadline_us;
    bool once;
    const char *body;
    run_status_t status;
} run_part_t;

typedef enum {
    ADMIT_RUN,
    ADMIT_SHED,      /* no slot is free, or the shed fault is set */
    ADMIT_SHED_COLD, /* above the cold limit, cold not or just reported */
    ADMIT_SHED_COLD_REPORTED, /* above the cold limit, cold was reported */
    ADMIT_COUNT
} admit_t;

/*
 * Faults and states that a test sets; see replica_set. The members are named
 * like the fields of POST /fault.
 */
typedef struct {
    bool down;            /* refuses connections and closes the open ones */
    bool hang;            /* never replies to the requests that it runs */
    bool cold;            /* runs at most cold_slots parts at a time */
    bool drain;           /* reports that it is leaving, still serves */
    bool gone;            /* no longer on the VM list */
    bool shed;            /* refuses every part */
    bool truncate;        /* cuts replies in the middle */
    bool wrong_id;        /* replies carry a wrong part id */
    bool close_after_run; /* runs parts, then closes without a reply */
    double slow;          /* factor on the service time */
    uint64_t version;     /* newest index version */
    uint64_t held;        /* number of versions held, with the newest */
    uint64_t generation;
} replica_state_t;

typedef struct {
    const upstream_plan_t *plan;
    replica_state_t state;
    uint64_t boot;            /* boot id, changes on each restart */
    uint32_t cold_slots;      /* parts at a time while cold */
    uint32_t cold_parts;      /* parts to finish before it is warm */
    uint32_t cold_finished;   /* parts finished since it became cold */
    int64_t cold_reported_us; /* first report of cold to a caller; 0: none */
    int64_t drain_us;         /* start of the drain */
    uint32_t running;         /* parts that occupy a slot */
    uint64_t seed;
    uint64_t draws; /* random numbers drawn so far */
} replica_t;

/* Initializes a warm replica without faults; plan must outlive it. */
void replica_init(replica_t *replica, const upstream_plan_t *plan,
                  uint64_t seed, uint64_t version, uint64_t generation);

/*
 * Sets the status of each part: RUN_OK if it can run, otherwise why it can't.
 * Returns the number of RUN_OK parts.
 */
size_t replica_check(const replica_t *replica, run_part_t *parts, size_t count,
                     int64_t now_us);

/*
 * Decides whether a request that needs this many slots runs now. The first
 * refusal of a cold replica counts as the report that it is cold.
 */
admit_t replica_admit(replica_t *replica, size_t slots, int64_t now_us);

/*
 * Takes a slot for each RUN_OK part. A part that would end after its deadline
 * becomes RUN_FAILED and ends at the deadline. Returns the time at which the
 * last part ends.
 */
int64_t replica_start(replica_t *replica, run_part_t *parts, size_t count,
                      int64_t now_us);

/*
 * Releases the slots of finished parts. The parts count towards warming up a
 * cold replica.
 */
void replica_finish(replica_t *replica, size_t slots);

/* Releases the slots of parts that were cut off before they finished. */
void replica_drop(replica_t *replica, size_t slots);

/* Restarts the replica: a new boot id, cold, no running parts. */
void replica_crash(replica_t *replica, int64_t now_us);

/*
 * Replaces the state. When cold is newly set the warm-up starts over; when
 * drain is newly set the drain starts at now_us.
 */
void replica_set(replica_t *replica, const replica_state_t *state,
                 int64_t now_us);

/* Whether a part with this body crashes the upstream that runs it. */
bool replica_body_crashes(const char *body);

/* Name of a status in replies, such as "ok" or "no_version". */
const char *run_status_name(run_status_t status);

#endif
