/*
 * Many callers of the tier in one thread: sends the queries of a mix at a
 * rate or from a number of callers, follows each one to its end and adds it
 * up.
 *
 * A query that may not be repeated keeps its id or ticket for life and is
 * sent again, to another address, when its connection was lost or its outcome
 * is unknown; any other query is sent again under a new body. A refusal that
 * says when to come back is followed up to `retries` times.
 *
 *     json_t *result = caller_run(&options);
 */
#ifndef STANDIN_LIB_CALLER_H
#define STANDIN_LIB_CALLER_H

#include "standin/lib/mix.h"

#include <jansson.h>

enum { CALLER_URLS_MAX = 16 };

typedef struct {
    const char *urls[CALLER_URLS_MAX]; /* asked for the entries */
    size_t url_count;
    const char *zone;      /* of the callers; NULL: none */
    const char *audit_url; /* upstreams' control port; NULL: no audit */
    mix_t mix;
    uint64_t seed;
    double rate;              /* queries a second; 0: closed loop */
    unsigned callers;         /* at most this many queries at one time */
    uint64_t count;           /* queries to send; 0: no bound */
    double seconds;           /* time to send for; 0: no bound */
    int64_t deadline_ms;      /* of every query; 0: the mix says */
    unsigned retries;         /* of refused queries */
    unsigned abort_per_mille; /* connections closed on purpose */
    uint64_t poison_every;    /* every how many queries one is poisoned */
} caller_options_t;

/*
 * Run to the end; the result of tally_json with "sent_again", "aborted",
 * "false_not_run" (refused as not run, yet started upstream),
 * "not_run_after_doubt" (the same, of queries whose earlier send may have
 * run) and "examples" of replies that were wrong or not whole, by fault or
 * reason. NULL when no entry was to be had.
 */
json_t *caller_run(const caller_options_t *options);

#endif
