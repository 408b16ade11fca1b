/*
 * Request and reply of one part, the messages between two daemons.
 *
 * A query is split into pieces, one per shard that its range touches. A part
 * is one attempt at a piece: the daemon that the caller asked (the
 * coordinator) sends it to the daemon that owns the connections to the
 * selected upstream (the owner). The owner admits the part under the
 * configured limits, forwards it to the upstream and sends exactly one reply
 * per request. The same structs are used when coordinator and owner are one
 * daemon; otherwise the inner protocol encodes them.
 *
 * Deadlines are absolute, in microseconds of the receiver's monotonic clock;
 * the wire carries the time left.
 */
#ifndef CORE_PART_H
#define CORE_PART_H

#include "core/range.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    NAME_SIZE = 32,       /* bytes of any name, its NUL included */
    PART_BODY_MAX = 4096, /* bytes of a query's payload */
    PART_HELD_MAX = 4     /* index versions a replica reports */
};

/*
 * Identifies one attempt, unique in the fleet and over time: an incarnation
 * is never reused, sequence numbers the queries of that incarnation, attempt
 * numbers the attempts of that query.
 */
typedef struct {
    uint64_t incarnation; /* of the coordinator */
    uint64_t sequence;
    uint32_t attempt;
} attempt_id_t;

/* Priority classes; under overload, lower values are served first. */
typedef enum {
    CLASS_DESK,   /* a person is waiting: scenario desk, tills, help line */
    CLASS_ONLINE, /* interactive, without a person on the phone */
    CLASS_BATCH,  /* nightly jobs and reports; can be delayed */
    CLASS_COUNT
} class_t;

typedef struct {
    attempt_id_t id;
    char service[NAME_SIZE];
    char upstream[NAME_SIZE];
    char tenant[NAME_SIZE];
    class_t class;
    bool once;            /* may run at most once: never retried or hedged */
    bool hedge;           /* counts as added load */
    uint64_t query;       /* sequence of the query, for explain records */
    uint64_t fingerprint; /* hash of the query, to detect crash inducers */
    uint64_t version;     /* index version to answer from; 0: the newest */
    uint64_t generation;  /* partition generation of range; 0: any */
    key_range_t range;
    int64_t deadline_us;
    const char *body; /* the query's payload, not NUL-terminated */
    size_t body_size;
} part_request_t;

typedef enum {
    PART_OK,          /* result fields of the reply are valid */
    PART_SHED,        /* upstream refused it before running it */
    PART_LIMITED,     /* owner's limits left no room for it */
    PART_EXPIRED,     /* deadline passed or cannot be met; not sent */
    PART_COLD,        /* upstream is cold or in backoff, cannot take it */
    PART_GONE,        /* upstream is unknown, leaving, draining or taken out */
    PART_NOT_OWNER,   /* this daemon may not admit parts for the upstream */
    PART_QUARANTINED, /* the fingerprint is known to crash upstreams */
    PART_NO_VERSION,  /* upstream does not hold the version; see held */
    PART_MOVED,       /* upstream is at another partition generation */
    PART_LOST,        /* sent, then connection lost or timed out */
    PART_BAD_REPLY,   /* reply truncated, malformed or for another part */
    PART_CANCELLED,   /* cancelled by the coordinator */
    PART_FAILED,      /* upstream ran it and reported an error */
    PART_STATUS_COUNT
} part_status_t;

typedef struct {
    attempt_id_t id;
    part_status_t status;
    bool not_run; /* proven that no upstream started it */
    uint64_t version;
    uint64_t generation;
    key_range_t range;            /* keys that count and sum cover */
    uint64_t count;               /* rows matched */
    uint64_t sum;                 /* sum over the rows, modulo 2^64 */
    uint64_t held[PART_HELD_MAX]; /* index versions of the replica; 0: none */
    int64_t service_us;           /* from sending to the upstream's reply */
    int64_t queue_us;             /* time queued at the owner */
    int64_t retry_after_us;       /* advice for the coordinator; 0: none */
} part_reply_t;

/* Static name for logs and explain records: "ok", "not_owner". */
const char *part_status_name(part_status_t status);

/* Static name for settings and logs: "desk". */
const char *class_name(class_t class);

/* Class of that name; CLASS_COUNT if no class has it. */
class_t class_parse(const char *name);

/* Whether two ids identify the same attempt. */
bool attempt_id_equal(attempt_id_t a, attempt_id_t b);

#endif
