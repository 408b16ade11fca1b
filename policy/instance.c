#include "policy/instance.h"

#include <math.h>
#include <string.h>

/* Weight of the newest sample in the moving mean of slowness. */
#define SLOWNESS_WEIGHT 0.2
/* Greatest ratio of response times that counts as a difference in speed, which
   lasts; more is trouble, which passes. */
#define SPEED_MAX 1.5
/* Standard deviation of a response time, as a part of the expected one. */
#define RESPONSE_SPREAD 0.45
/* An upstream without responses counts as if it had sent this many that took
   the expected time. */
#define PRIOR_EVIDENCE 1.0
/* Bounds each sample, so that the effect of one stuck request decays in
   seconds. */
#define SLOWNESS_MAX 20.0
/* Weight of the newest request in the failure rate. */
#define FAILURE_WEIGHT 0.35
/* Cost of a failure rate of 1. All costs are in queued requests. */
#define FAILURE_COST 30.0
/* Cost of a silent upstream, and of one in connect backoff. */
#define SILENT_COST 20.0
/* Least slowness assumed of a cold upstream. */
#define COLD_FACTOR 2.0
/* Requests in flight at an upstream for each one of this daemon. The others'
   are not known, but where this daemon's pile up, theirs do too. With 1 and 3,
   fewer callers were answered in time in the replays of t1034. */
#define QUEUE_FACTOR 6.0
/* How long an upstream gets no requests after its address turned out to belong
   to another upstream; a new address or restart in its entry ends this. */
enum {
    MISADDRESSED_US = 5000000,
    FAILING_LOSSES = 2 /* in a row, of an upstream that counts as failing */
};

void
instance_init(instance_t *instance, const instance_entry_t *entry,
              int64_t now_us)
{
    *instance = (instance_t){
        .entry = *entry,
        .slowness = 1.0,
        .speed = 1.0,
        .stats_us = now_us,
        .cold_until_us = now_us + entry->cold_left_us,
        .listed = true,
    };
}

void
instance_update(instance_t *instance, const instance_entry_t *entry,
                int64_t now_us)
{
    bool restarted = entry->started_ms != instance->entry.started_ms;
    bool moved = memcmp(&entry->address, &instance->entry.address,
                        sizeof(entry->address)) != 0;
    instance->entry = *entry;
    instance->cold_until_us = now_us + entry->cold_left_us;
    instance->listed = true;
    if (restarted || moved) {
        instance->slowness = 1.0;
        instance->speed = 1.0;
        instance->evidence = 0;
        instance->transit_us = 0;
        instance->failure_rate = 0;
        instance->refusal_rate = 0;
        instance->losses_in_row = 0;
        instance->stats_us = now_us;
        instance->backoff_until_us = 0;
        instance->connect_failures = 0;
        instance->misaddressed = false;
        instance->rest_until_us = 0;
        rate_limit_clear(&instance->rate_limit);
        instance->leaving = false;
        instance->held_until_us = 0;
    }
}

/* What a half-life leaves of the statistics of stats_us. */
static double
instance_kept(const instance_t *instance, int64_t half_life_us, int64_t now_us)
{
    double age_us = (double)(now_us - instance->stats_us);
    return age_us <= 0 ? 1.0 : exp2(-age_us / (double)half_life_us);
}

double
instance_slowness(const instance_t *instance, int64_t now_us)
{
    return instance->slowness == 1.0
               ? 1.0
               : 1.0 + (instance->slowness - 1.0) *
                           instance_kept(instance, INSTANCE_HALF_LIFE_US,
                                         now_us);
}

/* The same over a longer time, of an upstream that is not much slower than
   expected now. */
static double
instance_speed(const instance_t *instance, int64_t now_us)
{
    double slowness = instance_slowness(instance, now_us);
    return slowness > SPEED_MAX || instance->speed == 1.0
               ? slowness
               : 1.0 + (instance->speed - 1.0) *
                           instance_kept(instance, INSTANCE_SPEED_HALF_LIFE_US,
                                         now_us);
}

/* What is known of an upstream that was slow is forgotten sooner, so that it
   is tried again. */
static double
instance_evidence(const instance_t *instance, int64_t now_us)
{
    if (instance->evidence <= 0) {
        return 0;
    }
    int64_t half_life_us = instance->slowness > SPEED_MAX
                               ? INSTANCE_HALF_LIFE_US
                               : INSTANCE_SPEED_HALF_LIFE_US;
    return instance->evidence * instance_kept(instance, half_life_us, now_us);
}

static void
instance_decay(instance_t *instance, int64_t now_us)
{
    double kept = instance_kept(instance, INSTANCE_HALF_LIFE_US, now_us);
    instance->evidence = instance_evidence(instance, now_us);
    instance->slowness = instance_slowness(instance, now_us);
    instance->speed =
        1.0 + (instance->speed - 1.0) *
                  instance_kept(instance, INSTANCE_SPEED_HALF_LIFE_US, now_us);
    instance->failure_rate *= kept;
    instance->refusal_rate *= kept;
    instance->stats_us = now_us;
}

void
instance_sent(instance_t *instance, int64_t now_us)
{
    if (instance->in_flight++ == 0) {
        instance->silent_since_us = now_us;
    }
}

static void
instance_request_ended(instance_t *instance)
{
    if (instance->in_flight > 0) {
        instance->in_flight--;
    }
}

static void
instance_add_slowness(instance_t *instance, int64_t took_us,
                      int64_t expected_us)
{
    double ratio = expected_us > 0 ? (double)took_us / (double)expected_us : 1;
    if (ratio > SLOWNESS_MAX) {
        ratio = SLOWNESS_MAX;
    }
    instance->slowness += (ratio - instance->slowness) * SLOWNESS_WEIGHT;
    instance->speed +=
        ((ratio < SPEED_MAX ? ratio : SPEED_MAX) - instance->speed) *
        SLOWNESS_WEIGHT;
    instance->evidence += 1 - instance->evidence * SLOWNESS_WEIGHT;
}

void
instance_answered(instance_t *instance, int64_t took_us, int64_t expected_us,
                  bool good, int64_t now_us)
{
    instance_request_ended(instance);
    instance_decay(instance, now_us);
    instance->silent_since_us = now_us;
    instance->losses_in_row = 0;
    if (!good) {
        instance->failure_rate +=
            (1 - instance->failure_rate) * FAILURE_WEIGHT;
        return;
    }
    /* A response may take less time than the connect did; transit is at most
       half of it then. */
    int64_t transit_us = instance->transit_us < took_us / 2
                             ? instance->transit_us
                             : took_us / 2;
    instance_add_slowness(instance, took_us - transit_us, expected_us);
    instance->failure_rate *= 1 - FAILURE_WEIGHT;
    instance->refusal_rate *= 1 - FAILURE_WEIGHT;
    instance->answered_us = now_us;
}

void
instance_refused(instance_t *instance, int64_t now_us)
{
    instance_request_ended(instance);
    instance_decay(instance, now_us);
    instance->silent_since_us = now_us;
    instance->refusal_rate += (1 - instance->refusal_rate) * FAILURE_WEIGHT;
}

void
instance_lost(instance_t *instance, int64_t now_us)
{
    instance_request_ended(instance);
    instance->losses_in_row++;
    instance_decay(instance, now_us);
    instance->failure_rate += (1 - instance->failure_rate) * FAILURE_WEIGHT;
}

void
instance_unfinished(instance_t *instance, int64_t waited_us,
                    int64_t expected_us, int64_t now_us)
{
    bool silent = instance_is_silent(instance, expected_us, now_us);
    instance_request_ended(instance);
    instance_decay(instance, now_us);
    instance_add_slowness(instance, waited_us, expected_us);
    if (silent) {
        instance->failure_rate +=
            (1 - instance->failure_rate) * FAILURE_WEIGHT;
    }
}

void
instance_dropped(instance_t *instance, int64_t now_us)
{
    (void)now_us;
    instance_request_ended(instance);
}

void
instance_rest(instance_t *instance, int64_t rest_us, int64_t now_us)
{
    /* Responses may arrive in any order: the longest rest counts. */
    if (now_us + rest_us > instance->rest_until_us) {
        instance->rest_until_us = now_us + rest_us;
    }
}

int64_t
instance_silent_us(const instance_t *instance, int64_t now_us)
{
    return instance->in_flight > 0 ? now_us - instance->silent_since_us : 0;
}

bool
instance_is_silent(const instance_t *instance, int64_t expected_us,
                   int64_t now_us)
{
    int64_t bound = 2 * expected_us > INSTANCE_SILENT_US ? 2 * expected_us
                                                         : INSTANCE_SILENT_US;
    return instance_silent_us(instance, now_us) > bound;
}

bool
instance_is_usable(const instance_t *instance, int64_t now_us)
{
    if (!instance->listed || instance->entry.draining || instance->leaving ||
        now_us < instance->held_until_us) {
        return false;
    }
    return !instance->misaddressed ||
           now_us - instance->misaddressed_us > MISADDRESSED_US;
}

bool
instance_is_failing(const instance_t *instance)
{
    return instance->losses_in_row >= FAILING_LOSSES;
}

double
instance_refusal_cost(const instance_t *instance, int64_t now_us)
{
    return instance->refusal_rate <= 0
               ? 0
               : FAILURE_COST * instance->refusal_rate *
                     instance_kept(instance, INSTANCE_HALF_LIFE_US, now_us);
}

void
instance_connected(instance_t *instance, int64_t took_us)
{
    if (took_us > 0 &&
        (instance->transit_us == 0 || took_us < instance->transit_us)) {
        instance->transit_us = took_us;
    }
}

/* The slowness to assume of the next request: more than was seen of an
   upstream that is cold. */
static double
instance_assumed_slowness(const instance_t *instance, double slowness,
                          int64_t now_us)
{
    return now_us < instance->cold_until_us && slowness < COLD_FACTOR
               ? COLD_FACTOR
               : slowness;
}

/* Cost of failures, refusals and silence, in queued requests. */
static double
instance_failure_cost(const instance_t *instance,
                      const cost_context_t *cost_context, int64_t now_us)
{
    double cost = instance_refusal_cost(instance, now_us);
    if (instance->failure_rate > 0) {
        cost += FAILURE_COST * instance->failure_rate *
                instance_kept(instance, INSTANCE_HALF_LIFE_US, now_us);
    }
    if (instance_is_silent(instance, cost_context->expected_us, now_us)) {
        cost += SILENT_COST;
    }
    if (now_us < instance->backoff_until_us) {
        cost += SILENT_COST;
    }
    return cost;
}

completion_t
instance_completion(const instance_t *instance,
                    const cost_context_t *cost_context, int64_t now_us)
{
    double slots = instance->entry.slots > 0 ? instance->entry.slots : 1;
    double response_us =
        (double)cost_context->expected_us *
        instance_assumed_slowness(instance,
                                  instance_slowness(instance, now_us), now_us);
    completion_t completion = {
        .wait_us = response_us * QUEUE_FACTOR * instance->in_flight / slots,
        .failure = instance_failure_cost(instance, cost_context, now_us),
    };
    completion.total_us =
        response_us + completion.wait_us + (double)instance->transit_us;
    return completion;
}

request_cost_t
instance_cost(const instance_t *instance, const cost_context_t *cost_context,
              int64_t now_us)
{
    double speed = instance_assumed_slowness(
        instance, instance_speed(instance, now_us), now_us);
    double expected = speed * (instance->in_flight + 1.0) +
                      instance_failure_cost(instance, cost_context, now_us);
    double error = speed * RESPONSE_SPREAD /
                   sqrt(PRIOR_EVIDENCE + instance_evidence(instance, now_us));
    return (request_cost_t){
        .expected = expected,
        .least = expected - error,
        .most = expected + error,
    };
}
