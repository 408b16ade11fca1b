/*
 * The closed list of what a caller can be told about its query.
 *
 * An outcome says what happened to the query; a reason says why it was not
 * simply whole. Both go to callers by name, so an entry is never renamed.
 */
#ifndef CORE_OUTCOME_H
#define CORE_OUTCOME_H

typedef enum {
    OUTCOME_WHOLE,   /* every key of the asked range, from one snapshot */
    OUTCOME_PARTIAL, /* some keys, from one snapshot; coverage is exact */
    OUTCOME_NOT_RUN, /* proven: no upstream started it, none will */
    OUTCOME_UNKNOWN, /* it may have run; no result can be given */
    OUTCOME_COUNT
} outcome_t;

typedef enum {
    REASON_NONE,
    REASON_DEADLINE,    /* the deadline passed or cannot be met */
    REASON_OVERLOAD,    /* a limit of the table left no room */
    REASON_NO_UPSTREAM, /* no usable replica for some range */
    REASON_NO_SNAPSHOT, /* no version covers the whole range */
    REASON_LOST,        /* connection lost after sending */
    REASON_QUARANTINED, /* its fingerprint crashes upstreams */
    REASON_CANCELLED,   /* the caller went away or asked to stop */
    REASON_NO_CONFIG,   /* no configuration in force here */
    REASON_LEAVING,     /* this daemon is shutting down */
    REASON_BAD_REQUEST, /* the request breaks a rule */
    REASON_TICKET,      /* ticket expired, foreign or of a dead daemon */
    REASON_RUNNING,     /* the same request is running already */
    REASON_STORE,       /* the platform's store is needed and is down */
    REASON_COUNT
} reason_t;

/* Name as callers see it: "whole", "not_run". */
const char *outcome_name(outcome_t outcome);

/* Name as callers see it: "none", "overload". */
const char *reason_name(reason_t reason);

#endif
