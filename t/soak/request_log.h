/*
 * A log of the requests that callers sent, their arrivals at upstreams and
 * their results. It checks them against the guarantees of the query tier and
 * counts violations. Times are monotonic microseconds; request N has the id
 * "r-N", counted from 1.
 *
 *     uint32_t number = request_log_add_request(log, &entry);
 *     request_log_add_arrival(log, "r-7", &arrival);
 *     request_log_set_result(log, number, status, now_us);
 *     request_log_check(log, &bounds);
 *     uint32_t violations = request_log_violation_count(log);
 */
#ifndef T_SOAK_REQUEST_LOG_H
#define T_SOAK_REQUEST_LOG_H

#include <stdbool.h>
#include <stdint.h>

enum { ARRIVALS_MAX = 24 };

typedef enum {
    KIND_IDEMPOTENT,     /* to one upstream, may be repeated */
    KIND_NON_IDEMPOTENT, /* to one upstream, must not run twice */
    KIND_GATHER,         /* to all shards, may be repeated */
    KIND_COUNT
} request_kind_t;

typedef struct {
    uint32_t service;
    uint32_t upstream;
    int64_t arrived_us;
    bool rejected; /* the upstream refused to run it */
} request_arrival_t;

typedef struct {
    request_kind_t kind;
    uint32_t daemon;
    uint32_t service; /* of the route; the first shard for KIND_GATHER */
    int64_t sent_us;
    int64_t ended_us;    /* 0: no result yet */
    bool may_be_refused; /* with 401; not counted in success ratios */
    uint32_t status;     /* 0: connection lost, or no response */
    uint32_t arrival_count;
    request_arrival_t arrivals[ARRIVALS_MAX];
} request_log_entry_t;

/*
 * Retry budget: in each window of window_us, a service may get at most
 * retry_ratio * requests of the window + retry_slack repeated arrivals.
 */
typedef struct {
    double retry_ratio;
    uint32_t retry_slack;
    int64_t window_us;
    uint32_t services; /* number of services */
} request_log_bounds_t;

typedef struct request_log request_log_t;

/* quiet: violations are counted, but not printed. The caller frees the log. */
request_log_t *request_log_new(bool quiet);
void request_log_free(request_log_t *log);

/*
 * Add a request that is about to be sent. Returns its number; aborts if the
 * log is full.
 */
uint32_t request_log_add_request(request_log_t *log,
                                 const request_log_entry_t *entry);

/*
 * Add an arrival of the request with that id at an upstream. Returns the
 * request, which the log owns, or NULL if no request has that id. An unknown
 * id is a violation; so are a non-idempotent request that runs twice and more
 * than ARRIVALS_MAX arrivals.
 */
const request_log_entry_t *
request_log_add_arrival(request_log_t *log, const char *id,
                        const request_arrival_t *arrival);

/*
 * Record the status of the caller's response; 0: the caller gave up or lost
 * the connection. A second result for a request is a violation.
 */
void request_log_set_result(request_log_t *log, uint32_t number,
                            uint32_t status, int64_t now_us);

/* The request of a number that request_log_add_request has returned. */
const request_log_entry_t *request_log_entry(const request_log_t *log,
                                             uint32_t number);

/* The number of requests. */
uint32_t request_log_count(const request_log_t *log);

/* Count a violation of the named rule and print "BROKEN RULE: text". */
void request_log_add_violation(request_log_t *log, const char *rule,
                               const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/*
 * Check what is known only when all requests have ended: that no refused
 * non-idempotent request ran, and that repeats stay within the retry budget.
 */
void request_log_check(request_log_t *log, const request_log_bounds_t *bounds);

/*
 * The share of requests with status 200 among those sent from from_us up to,
 * but not including, to_us; 0 if none was sent.
 */
double request_log_success_ratio(const request_log_t *log, int64_t from_us,
                                 int64_t to_us);

uint32_t request_log_violation_count(const request_log_t *log);

#endif
