/*
 * The two messages of the inner data path.
 *
 * A query is cut into parts, one per shard it touches. The daemon the caller
 * asked (the coordinator) sends each part to the daemon that owns the chosen
 * upstream's connections (the owner), which admits it against the table's
 * limits, sends it on and answers with exactly one reply per request. The
 * same structs are used when coordinator and owner are one daemon; the inner
 * protocol encodes them otherwise.
 *
 * Times: deadlines are absolute in the receiver's monotonic clock, in
 * microseconds; the wire carries what is left.
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
 * Names one attempt in the whole fleet for all time: the daemon's
 * incarnation never comes twice, sequence counts the daemon's parts, attempt
 * counts retries and hedges of that part.
 */
typedef struct {
    uint64_t incarnation;
    uint64_t sequence;
    uint32_t attempt;
} attempt_id_t;

/* Priority classes; a lower value goes first when there is no room. */
typedef enum {
    CLASS_DESK,   /* a person waits: scenario desk, tills, help line */
    CLASS_ONLINE, /* interactive without a person on the phone */
    CLASS_BATCH,  /* nightly and report work; may wait */
    CLASS_COUNT
} class_t;

typedef struct {
    attempt_id_t id;
    char service[NAME_SIZE];
    char upstream[NAME_SIZE];
    char tenant[NAME_SIZE];
    class_t class;
    bool once;            /* may run at most once: never repeated */
    bool hedge;           /* counted as added load */
    uint64_t query;       /* id of the query, for explanations */
    uint64_t fingerprint; /* of the query's content, for crash detection */
    uint64_t version;     /* index version to answer from; 0: the newest */
    uint64_t generation;  /* partition generation of range; 0: any */
    key_range_t range;
    int64_t deadline_us;
    const char *body; /* the query's payload, not NUL-terminated */
    size_t body_size;
} part_request_t;

typedef enum {
    PART_OK,          /* merged fields are valid */
    PART_SHED,        /* upstream refused before running it */
    PART_LIMITED,     /* owner found no room before the deadline */
    PART_EXPIRED,     /* deadline passed before it was sent */
    PART_COLD,        /* upstream is cold and its bound is used up */
    PART_GONE,        /* upstream unknown, leaving or its zone is out */
    PART_NOT_OWNER,   /* this daemon may not admit for the upstream */
    PART_QUARANTINED, /* fingerprint crashes upstreams */
    PART_NO_VERSION,  /* upstream does not hold the version; held says which */
    PART_MOVED,       /* generation is not the upstream's */
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
    key_range_t range;            /* what count and sum are of */
    uint64_t count;               /* rows matched */
    uint64_t sum;                 /* wrapping sum over the rows */
    uint64_t held[PART_HELD_MAX]; /* versions the replica holds, 0: none */
    int64_t service_us;           /* from sending upstream to its reply */
    int64_t queue_us;             /* waited at the owner for room */
    int64_t retry_after_us;       /* 0: no advice */
} part_reply_t;

/* Name for logs and explanations: "ok", "not_owner". */
const char *part_status_name(part_status_t status);

/* Name for settings and logs: "desk". */
const char *class_name(class_t class);

/* Class of a name; CLASS_COUNT when there is none such. */
class_t class_parse(const char *name);

/* Whether two ids name the same attempt. */
bool attempt_id_equal(attempt_id_t a, attempt_id_t b);

#endif
