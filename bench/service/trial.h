/*
 * One trial: a deployment at its present size under open-loop load, in
 * virtual time.
 *
 * The daemons run the production coordinator_t and admission_t. The simulator
 * provides links with the deployment's delays; upstreams with slots, a queue,
 * limited connections, cold starts and stragglers; and callers that send
 * queries by a Poisson process, independent of the answers. A service time is
 * a function of seed, query, range and upstream: every policy meets the same
 * service times, and the ideal latency of each query can be computed.
 *
 *     trial_result_t *result = trial_run(&settings);
 *     ... result->services[0].latency ...
 *     trial_free(result);
 */
#ifndef BENCH_SERVICE_TRIAL_H
#define BENCH_SERVICE_TRIAL_H

#include "core/hist.h"
#include "core/query.h"
#include "standin/lib/plan.h"

enum { TRIAL_BUCKET_US = 100000, TRIAL_BUCKETS_MAX = 200 };

/* A configuration of the tier: the default, or a baseline to compare with. */
typedef struct {
    const char *name;
    query_policy_t policy;
    bool even_split; /* each daemon has a share of every upstream's slots */
    bool unlimited;  /* the service table limits no upstream */
} variant_t;

typedef struct {
    const deployment_t *deployment;
    const variant_t *variant;
    double load[PLAN_SERVICES]; /* share of the upstreams' capacity */
    int64_t warmup_us;          /* span before the measured period */
    int64_t measure_us;
    bool faults;              /* upstreams turn cold and crash */
    int64_t zone_out_us;      /* after the measured period's start; 0: never */
    int64_t zone_back_us;     /* after the measured period's start */
    uint32_t straggle_one_in; /* one part in this many straggles; 0: none */
    uint64_t seed;
} trial_settings_t;

/* Queries sent in one interval (TRIAL_BUCKET_US) of the timeline. */
typedef struct {
    hist_t latency;
    uint64_t asked_keys;
    uint64_t covered_keys;
} trial_bucket_t;

/* Measurements of one service. */
typedef struct {
    hist_t latency;  /* at the caller, of answers with any coverage */
    hist_t ideal;    /* of all queries, see trial_run */
    hist_t complete; /* as latency, of whole answers only */
    uint64_t sent;
    uint64_t outcomes[OUTCOME_COUNT];
    uint64_t refused; /* not run, and not cancelled */
    uint64_t asked_keys;
    uint64_t covered_keys;
    uint64_t goodput_keys; /* keys covered by whole answers */
    uint64_t first_attempts;
    uint64_t hedges;
    uint64_t retries;
    double capacity_qps;
} trial_service_t;

typedef struct {
    trial_service_t services[PLAN_SERVICES];
    trial_bucket_t *buckets; /* of all services but those of CLASS_BATCH */
    size_t bucket_count;
    uint64_t part_starts; /* parts that upstreams started */
    uint64_t shed_parts;  /* parts that upstreams shed */
    uint64_t connects;
    uint64_t overload_crashes; /* crashes of overloaded cold upstreams */
    uint64_t wrong_answers;    /* with an incorrect count or sum */
    /* Second answers to a query, and second runs of a part of a once query. */
    uint64_t duplicates;
    uint64_t incomplete; /* neither whole nor refused */
    /* Parts started in a zone more than 2 s after it went out of service. */
    uint64_t late_starts;
    uint64_t events; /* simulated */
    double cpu_s;    /* of the thread that ran the trial */
} trial_result_t;

/*
 * Runs one trial; the caller frees the result with trial_free. Exits when out
 * of memory. The ideal latency of a query is its latency if every part were
 * sent at once to its fastest replica and started without a queue.
 */
trial_result_t *trial_run(const trial_settings_t *settings);
void trial_free(trial_result_t *result);

/* Class of a service in the service table of the trials. */
class_t trial_class(const char *service);

#endif
