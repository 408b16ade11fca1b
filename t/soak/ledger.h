/*
 * What callers sent and got and what upstreams ran, and which promises that
 * breaks. Times are monotonic microseconds; ids are r-1, r-2, ...
 *
 *     uint32_t number = ledger_sent(ledger, &sent);
 *     ledger_ran(ledger, "r-7", &run);
 *     ledger_ended(ledger, number, status, now_us);
 *     ledger_judge(ledger, &bounds);
 *     ledger_broken(ledger)
 */
#ifndef T_SOAK_LEDGER_H
#define T_SOAK_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

enum { LEDGER_RUNS_MAX = 24 };

typedef enum {
    KIND_ONE,  /* one upstream, may be repeated */
    KIND_ONCE, /* must not run twice */
    KIND_ALL,  /* all shards */
    KINDS
} ledger_kind_t;

typedef struct {
    uint32_t service;
    uint32_t upstream;
    int64_t at_us;
    bool rejected; /* it arrived, and did not run */
} ledger_run_t;

typedef struct {
    ledger_kind_t kind;
    uint32_t daemon;
    uint32_t service; /* of the route; the first shard's for KIND_ALL */
    int64_t sent_us;
    int64_t ended_us; /* 0: not yet */
    uint32_t status;  /* 0: the connection ended, or nothing came */
    uint32_t run_count;
    ledger_run_t runs[LEDGER_RUNS_MAX];
} ledger_entry_t;

typedef struct {
    double retry_ratio;
    uint32_t retry_slack;
    int64_t window_us;
    uint32_t services;
} ledger_bounds_t;

typedef struct ledger ledger_t;

/* quiet: what is broken is counted and not printed. */
ledger_t *ledger_new(bool quiet);
void ledger_free(ledger_t *ledger);

/* The number of a request that is sent now. */
uint32_t ledger_sent(ledger_t *ledger, const ledger_entry_t *entry);

/* A request arrived at an upstream: NULL: nobody sent that id. */
const ledger_entry_t *ledger_ran(ledger_t *ledger, const char *id,
                                 const ledger_run_t *run);

/* The caller has its final answer, or will not have one (status 0). */
void ledger_ended(ledger_t *ledger, uint32_t number, uint32_t status,
                  int64_t now_us);

const ledger_entry_t *ledger_entry(const ledger_t *ledger, uint32_t number);
uint32_t ledger_count(const ledger_t *ledger);

/* Something else that breaks a promise. */
void ledger_break(ledger_t *ledger, const char *rule, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* What can be said at the end only: runs after a refusal, repeats. */
void ledger_judge(ledger_t *ledger, const ledger_bounds_t *bounds);

/* The share served of the requests sent in a span of time. */
double ledger_served(const ledger_t *ledger, int64_t from_us, int64_t to_us);

uint32_t ledger_broken(const ledger_t *ledger);

#endif
