/*
 * Outcomes of a query and the reasons for them, as reported to callers.
 *
 * An outcome says what happened to the query; a reason says why the outcome is
 * not OUTCOME_WHOLE. Both lists are complete. Callers see the names, so a name
 * never changes.
 */
#ifndef CORE_OUTCOME_H
#define CORE_OUTCOME_H

typedef enum {
    OUTCOME_WHOLE,   /* all keys of the requested range, from one snapshot */
    OUTCOME_PARTIAL, /* some keys, from one snapshot; coverage is exact */
    OUTCOME_NOT_RUN, /* proven: no upstream started it or will start it */
    OUTCOME_UNKNOWN, /* it may have run; there is no result */
    OUTCOME_COUNT
} outcome_t;

typedef enum {
    REASON_NONE,
    REASON_DEADLINE,    /* the deadline passed or cannot be met */
    REASON_OVERLOAD,    /* a limit left no room, or upstreams shed load */
    REASON_NO_UPSTREAM, /* no usable replica for some range */
    REASON_NO_SNAPSHOT, /* no version covers the whole range */
    REASON_LOST,        /* sent, but the reply was lost or unusable */
    REASON_QUARANTINED, /* its fingerprint is known to crash upstreams */
    REASON_CANCELLED,   /* the caller disconnected or cancelled it */
    REASON_NO_CONFIG,   /* this daemon has no configuration in force */
    REASON_LEAVING,     /* this daemon is shutting down */
    REASON_BAD_REQUEST, /* the request is not valid */
    REASON_TICKET,      /* ticket expired, or its issuer is dead or silent */
    REASON_RUNNING,     /* the same request is already running */
    REASON_STORE,       /* the platform's store is needed but unavailable */
    REASON_COUNT
} reason_t;

/* Static name, as callers see it: "whole", "not_run". */
const char *outcome_name(outcome_t outcome);

/* Static name, as callers see it: "none", "overload". */
const char *reason_name(reason_t reason);

#endif
