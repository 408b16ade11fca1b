/*
 * One running upstream: its registry entry and its observed state.
 *
 * The entry comes from the registry and may be seconds old. The observed state
 * is this daemon's own and decays over seconds, so that an upstream that was
 * avoided is tried again.
 *
 *     instance_sent(instance, now_us);
 *     instance_answered(instance, took_us, expected_us, good, now_us);
 *     request_cost_t cost = instance_cost(instance, &cost_context, now_us);
 *     completion_t at = instance_completion(instance, &cost_context, now_us);
 *
 * Each instance_sent is matched by one call of instance_answered, _refused,
 * _lost, _unfinished or _dropped. Times are microseconds of the monotonic
 * clock.
 */
#ifndef POLICY_INSTANCE_H
#define POLICY_INSTANCE_H

#include "policy/rate_limit.h"
#include "policy/zone_choice.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    INSTANCE_NAME_SIZE = 64,
    /* Half-life of the failure rate and of the excess slowness. */
    INSTANCE_HALF_LIFE_US = 3000000,
    /* Half-life of the speed and of the evidence for it: upstreams differ by a
       third either way, for as long as they run. */
    INSTANCE_SPEED_HALF_LIFE_US = 60000000,
    /* An upstream counts as silent when it has requests in flight and has sent
       no response for this time, or for twice the expected time if that is
       longer. */
    INSTANCE_SILENT_US = 60000
};

/* The upstream's entry in the registry. */
typedef struct {
    char id[INSTANCE_NAME_SIZE];
    char service[INSTANCE_NAME_SIZE];
    char zone[INSTANCE_NAME_SIZE];
    struct sockaddr_in address;
    uint32_t slots;
    bool draining;
    int64_t started_ms;   /* Unix time of its start; 0: unknown */
    int64_t cold_left_us; /* remaining cold time when the entry was written */
    char version[INSTANCE_NAME_SIZE]; /* of its build; "": not stated */
} instance_entry_t;

typedef struct {
    instance_entry_t entry;
    uint32_t in_flight;  /* requests of this daemon that have not ended */
    uint32_t ref_count;  /* attempts that point to the instance */
    uint32_t pool_index; /* index in pool_t.instances */
    bool listed;         /* the registry has its entry */
    bool misaddressed;   /* another upstream answers at its address */
    int64_t misaddressed_us;
    int64_t cold_until_us;
    int64_t cold_next_us;     /* when it may get one more request while cold */
    int64_t silent_since_us;  /* last response, or first send after idling */
    double slowness;          /* moving mean of actual to expected time */
    double speed;             /* the same over a longer time */
    double evidence;          /* responses that count in speed */
    int64_t transit_us;       /* shortest round trip; 0: unknown */
    double failure_rate;      /* moving mean, 0 (none fails) .. 1 (all fail) */
    double refusal_rate;      /* the same for requests refused unrun */
    uint32_t losses_in_row;   /* requests lost since the last response */
    int64_t stats_us;         /* last update of slowness and failure_rate */
    int64_t answered_us;      /* last successful response */
    int64_t backoff_until_us; /* end of the backoff after failed connects */
    int64_t rest_until_us;    /* it has asked for no requests before this */
    bool leaving;             /* it has said that it is shutting down */
    int64_t held_until_us;    /* see REGISTRY_REVIVAL_HEARTBEATS */
    rate_limit_t rate_limit;  /* that its responses state */
    uint32_t connect_failures;
    void *links; /* its connections; see upstream_link.h */
} instance_t;

/* What the cost depends on besides the upstream itself. */
typedef struct {
    const char *zone;    /* zone of this daemon */
    int64_t expected_us; /* typical response time of the request's route */
    int64_t price_us;    /* of leaving the zone; see zone_question_t */
} cost_context_t;

void instance_init(instance_t *instance, const instance_entry_t *entry,
                   int64_t now_us);

/* Take over a newer entry. If the upstream was restarted or its address
   changed, the observed state is reset. */
void instance_update(instance_t *instance, const instance_entry_t *entry,
                     int64_t now_us);

/* A request was sent. */
void instance_sent(instance_t *instance, int64_t now_us);

/* The upstream ran a request and responded; good: not with a server error. */
void instance_answered(instance_t *instance, int64_t took_us,
                       int64_t expected_us, bool good, int64_t now_us);

/* The upstream refused a request without running it. */
void instance_refused(instance_t *instance, int64_t now_us);

/* A request could not be sent, its connection was cut, or its response was
   invalid. */
void instance_lost(instance_t *instance, int64_t now_us);

/* An abandoned request was cancelled after waited_us without a response. */
void instance_unfinished(instance_t *instance, int64_t waited_us,
                         int64_t expected_us, int64_t now_us);

/* A request was cancelled; that says nothing about the upstream. */
void instance_dropped(instance_t *instance, int64_t now_us);

/* The upstream has refused a request and asked for no more during rest_us. */
void instance_rest(instance_t *instance, int64_t rest_us, int64_t now_us);

/* How long the upstream has had requests in flight without any response. */
int64_t instance_silent_us(const instance_t *instance, int64_t now_us);

bool instance_is_silent(const instance_t *instance, int64_t expected_us,
                        int64_t now_us);

/* Whether the upstream may get requests: listed, not draining, leaving, held
   or misaddressed. It may be resting; see instance_t.rest_until_us. */
bool instance_is_usable(const instance_t *instance, int64_t now_us);

/* Whether the last requests were all lost, however long ago. */
bool instance_is_failing(const instance_t *instance);

/* Ratio of actual to expected response time, after decay; 1: as expected. */
double instance_slowness(const instance_t *instance, int64_t now_us);

/* A connection to the upstream was opened, which takes one round trip. */
void instance_connected(instance_t *instance, int64_t took_us);

/* When one more request is expected to complete, from now, by the upstream's
   response times, this daemon's requests in flight there, its slots and
   transit. */
completion_t instance_completion(const instance_t *instance,
                                 const cost_context_t *cost_context,
                                 int64_t now_us);

/* Cost of sending the upstream one more request, in queued requests. The range
   follows from the spread of response times and the number of responses that
   the upstream's speed is estimated from. */
typedef struct {
    double expected;
    double least;
    double most;
} request_cost_t;

request_cost_t instance_cost(const instance_t *instance,
                             const cost_context_t *cost_context,
                             int64_t now_us);

/* The part of the cost that is due to refusals. A refusal takes one round trip
   and leaves the request free to be sent elsewhere. */
double instance_refusal_cost(const instance_t *instance, int64_t now_us);

#endif
