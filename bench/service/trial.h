/*
 * One trial: a deployment at today's sizes under open-loop load, in virtual
 * time.
 *
 * The daemons are the real coordinator_t and admission_t; around them are
 * links with the deployment's delays, upstreams with slots, a queue, capped
 * connections, cold starts and stragglers, and callers who send queries by a
 * Poisson process whatever comes back. A service time is a function of seed,
 * query, range and upstream, so that policies compared meet the same ones and
 * the ideal answer of each query can be computed.
 *
 *     trial_result_t *result = trial_run(&settings);
 *     ... result->services[0].latency ...
 *     free(result);
 */
#ifndef BENCH_SERVICE_TRIAL_H
#define BENCH_SERVICE_TRIAL_H

#include "core/hist.h"
#include "core/query.h"
#include "standin/lib/plan.h"

enum { TRIAL_BUCKET_US = 100000, TRIAL_BUCKETS_MAX = 200 };

/* A way to run the tier: ours, or a baseline. */
typedef struct {
    const char *name;
    query_policy_t policy;
    bool even_split; /* each daemon has its share of every upstream */
    bool unlimited;  /* the table sets no limit */
} variant_t;

typedef struct {
    const deployment_t *deployment;
    const variant_t *variant;
    double load[PLAN_SERVICES]; /* of the upstreams' capacity */
    int64_t warmup_us;          /* before anything is measured */
    int64_t measure_us;
    bool faults;              /* upstreams turn cold and are lost */
    int64_t zone_out_us;      /* after the start of measuring; 0: never */
    int64_t zone_back_us;     /* same */
    uint32_t straggle_one_in; /* replies; 0: none straggles */
    uint64_t seed;
} trial_settings_t;

/* Queries sent in one step of the timeline. */
typedef struct {
    hist_t latency;
    uint64_t asked_keys;
    uint64_t covered_keys;
} trial_bucket_t;

/* What was measured of one service. */
typedef struct {
    hist_t latency;  /* at the caller, of answers with any coverage */
    hist_t ideal;    /* of the same queries, if all had gone ideally */
    hist_t complete; /* ours, of whole answers to full-range queries */
    uint64_t sent;
    uint64_t outcomes[OUTCOME_COUNT];
    uint64_t refused; /* not run for a limit */
    uint64_t asked_keys;
    uint64_t covered_keys;
    uint64_t goodput_keys; /* of answers in time, for goodput */
    uint64_t first_attempts;
    uint64_t hedges;
    uint64_t retries;
    double capacity_qps;
} trial_service_t;

typedef struct {
    trial_service_t services[PLAN_SERVICES];
    trial_bucket_t *buckets; /* of all services but batch */
    size_t bucket_count;
    uint64_t part_starts; /* of parts at upstreams */
    uint64_t shed_parts;  /* by upstreams */
    uint64_t connects;
    uint64_t
        overload_crashes;   /* cold upstreams that got more than they bear */
    uint64_t wrong_answers; /* answers that are not those of their range */
    uint64_t duplicates;  /* second answers, and second runs of what is once */
    uint64_t incomplete;  /* accepted, then not answered whole */
    uint64_t late_starts; /* at a zone that was out for two seconds */
    uint64_t events;
    double cpu_s;
} trial_result_t;

/* Exits on lack of memory. Freed by trial_free. */
trial_result_t *trial_run(const trial_settings_t *settings);
void trial_free(trial_result_t *result);

/* Class of a service in the table that trials run with. */
class_t trial_class(const char *service);

#endif
