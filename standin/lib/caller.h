/*
 * A load generator that plays many callers of the tier in one thread. It sends
 * the queries of a mix, at a rate (open loop) or from a number of callers
 * (closed loop), handles their retries and tallies the outcomes.
 *
 * A query that must not run twice keeps its id or ticket, and a poisoned query
 * its body. Both are sent again, to another address, if the connection was
 * lost or the outcome is unknown. Each send of any other query has a new body.
 * A query whose refusal asks for a retry within 2 s is sent again up to
 * `retries` times; a ticket is then replaced, since the query has not run.
 *
 *     json_t *result = caller_run(&options);
 */
#ifndef STANDIN_LIB_CALLER_H
#define STANDIN_LIB_CALLER_H

#include "standin/lib/mix.h"

#include <jansson.h>

enum { CALLER_URLS_MAX = 16 };

typedef struct {
    const char *urls[CALLER_URLS_MAX]; /* daemons to read the entries from */
    size_t url_count;
    const char *zone;      /* of the callers; NULL: none */
    const char *audit_url; /* upstreams' control port; NULL: no audit */
    mix_t mix;
    uint64_t seed;
    double rate;              /* queries per second; 0: closed loop */
    unsigned callers;         /* limit of queries at a time */
    uint64_t count;           /* queries to send; 0: no limit */
    double seconds;           /* duration of sending; 0: no limit */
    int64_t deadline_ms;      /* of every query; 0: as in the mix */
    unsigned retries;         /* limit for each refused query */
    unsigned abort_per_mille; /* share of connections to close on purpose */
    uint64_t poison_every;    /* poisons every Nth query; 0: none */
} caller_options_t;

/*
 * Sends the queries and waits until all have ended. Returns NULL if no entry
 * could be read, else the result of tally_json, which the caller releases,
 * with "sent_again", "aborted", "false_not_run" (queries refused as not run
 * that an upstream started), "not_run_after_doubt" (the same for queries of
 * which an earlier send may have run) and "examples" (replies that were wrong
 * or not whole, by error or reason). A count of -1 means that the audit
 * failed.
 */
json_t *caller_run(const caller_options_t *options);

#endif
