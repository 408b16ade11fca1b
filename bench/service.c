/*
 * Query path of one deployment in virtual time: latency of the default policy
 * and of one without hedging, each as measured/ideal, with coverage, hedges,
 * retries and refusals. The last line of each policy sums over all services:
 * doubled counts trial_result_t.duplicates and cut counts incomplete.
 *
 *     build/plain/bench-service [DEPLOYMENT]
 */
#include "bench/service/trial.h"

#include <stdio.h>

int
main(int argc, char **argv)
{
    (void)argc;
    static const variant_t variants[] = {
        {.name = "default"},
        {.name = "no hedging", .policy = {.hedge = QUERY_HEDGE_NONE}},
    };
    const char *name = argv[1] != NULL ? argv[1] : "sonar";
    for (int v = 0; v < 2; v++) {
        trial_settings_t settings = {.deployment = plan_deployment(name),
                                     .variant = &variants[v],
                                     .load = {0.6, 0.6, 0.6, 0.6},
                                     .warmup_us = 1000000,
                                     .measure_us = 2000000,
                                     .straggle_one_in = 100,
                                     .seed = 1};
        trial_result_t *result = trial_run(&settings);
        for (int i = 0; i < PLAN_SERVICES; i++) {
            const trial_service_t *s = &result->services[i];
            printf(
                "%-12s %-14s q %6lu p50 %6ld/%6ld p99 %6ld/%6ld p999 "
                "%6ld/%6ld cov %.4f hedge %.2f%% retry %.2f%% refused %lu\n",
                variants[v].name, settings.deployment->services[i].name,
                s->sent, hist_quantile(&s->latency, 0.5),
                hist_quantile(&s->ideal, 0.5),
                hist_quantile(&s->latency, 0.99),
                hist_quantile(&s->ideal, 0.99),
                hist_quantile(&s->latency, 0.999),
                hist_quantile(&s->ideal, 0.999),
                (double)s->covered_keys / (double)s->asked_keys,
                100.0 * (double)s->hedges / (double)s->first_attempts,
                100.0 * (double)s->retries / (double)s->first_attempts,
                s->refused);
        }
        printf("wrong %lu doubled %lu cut %lu starts %lu sheds %lu "
               "overload_crashes %lu "
               "events %lu took %.1f s\n",
               result->wrong_answers, result->duplicates, result->incomplete,
               result->part_starts, result->shed_parts,
               result->overload_crashes, result->events, result->cpu_s);
        trial_free(result);
    }
    return 0;
}
