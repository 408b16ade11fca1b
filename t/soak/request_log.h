/*
 * What callers sent and got and what upstreams ran, and which promises that
 * breaks. Times are monotonic microseconds; ids are r-1, r-2, ...
 *
 *     uint32_t number = request_log_add_request(log, &sent);
 *     request_log_add_arrival(log, "r-7", &run);
 *     request_log_set_result(log, number, status, now_us);
 *     request_log_check(log, &bounds);
 *     request_log_violation_count(log)
 */
#ifndef T_SOAK_REQUEST_LOG_H
#define T_SOAK_REQUEST_LOG_H

#include <stdbool.h>
#include <stdint.h>

enum { ARRIVALS_MAX = 24 };

typedef enum {
    KIND_IDEMPOTENT,     /* one upstream, may be repeated */
    KIND_NON_IDEMPOTENT, /* must not run twice */
    KIND_GATHER,         /* all shards */
    KIND_COUNT
} request_kind_t;

typedef struct {
    uint32_t service;
    uint32_t upstream;
    int64_t arrived_us;
    bool rejected; /* it arrived, and did not run */
} request_arrival_t;

typedef struct {
    request_kind_t kind;
    uint32_t daemon;
    uint32_t service; /* of the route; the first shard's for KIND_GATHER */
    int64_t sent_us;
    int64_t ended_us; /* 0: not yet */
    uint32_t status;  /* 0: the connection ended, or nothing came */
    uint32_t arrival_count;
    request_arrival_t arrivals[ARRIVALS_MAX];
} request_log_entry_t;

typedef struct {
    double retry_ratio;
    uint32_t retry_slack;
    int64_t window_us;
    uint32_t services;
} request_log_bounds_t;

typedef struct request_log request_log_t;

/* quiet: what is broken is counted and not printed. */
request_log_t *request_log_new(bool quiet);
void request_log_free(request_log_t *log);

/* The number of a request that is sent now. */
uint32_t request_log_add_request(request_log_t *log,
                                 const request_log_entry_t *entry);

/* A request arrived at an upstream: NULL: nobody sent that id. */
const request_log_entry_t *
request_log_add_arrival(request_log_t *log, const char *id,
                        const request_arrival_t *arrival);

/* The caller has its final answer, or will not have one (status 0). */
void request_log_set_result(request_log_t *log, uint32_t number,
                            uint32_t status, int64_t now_us);

const request_log_entry_t *request_log_entry(const request_log_t *log,
                                             uint32_t number);
uint32_t request_log_count(const request_log_t *log);

/* Something else that breaks a promise. */
void request_log_add_violation(request_log_t *log, const char *rule,
                               const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* What can be said at the end only: runs after a refusal, repeats. */
void request_log_check(request_log_t *log, const request_log_bounds_t *bounds);

/* The share served of the requests sent in a span of time. */
double request_log_success_ratio(const request_log_t *log, int64_t from_us,
                                 int64_t to_us);

uint32_t request_log_violation_count(const request_log_t *log);

#endif
