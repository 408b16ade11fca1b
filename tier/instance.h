/*
 * One running upstream: what its entry says, and what this daemon has seen.
 *
 * The entry comes from the registry and may be seconds old; what is seen is
 * this daemon's own and is forgotten over seconds, so that an upstream that
 * was avoided is tried again.
 *
 *     instance_sent(instance, now_us);
 *     instance_answered(instance, took_us, expected_us, now_us);
 *     double cost = instance_cost(instance, &view, now_us);
 */
#ifndef TIER_INSTANCE_H
#define TIER_INSTANCE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    INSTANCE_NAME_SIZE = 64,
    /* Bad signs and slowness halve in this time without new ones. */
    INSTANCE_HALF_LIFE_US = 3000000,
    /* Sends without any answer after which an upstream counts as silent:
       this, or twice the expected time where that is more. */
    INSTANCE_SILENT_US = 60000
};

/* What the registry says. */
typedef struct {
    char id[INSTANCE_NAME_SIZE];
    char service[INSTANCE_NAME_SIZE];
    char zone[INSTANCE_NAME_SIZE];
    struct sockaddr_in address;
    uint32_t slots;
    bool draining;
    int64_t started_ms;   /* Unix time of its start; 0: not said */
    int64_t cold_left_us; /* when the entry was written */
} instance_entry_t;

typedef struct {
    instance_entry_t entry;
    uint32_t in_flight;  /* sent from here and not ended */
    uint32_t ref_count;  /* attempts that point to it */
    uint32_t pool_index; /* place in its pool; see pool.h */
    bool listed;         /* the registry has it */
    bool misaddressed;   /* another upstream answers at its address */
    int64_t misaddressed_us;
    int64_t cold_until_us;
    int64_t cold_next_us;     /* when one more request may go while cold */
    int64_t silent_since_us;  /* since when no answer has come, if in flight */
    double slowness;          /* moving mean of taken to expected time */
    double failure_rate;      /* 0 sound .. 1 each request fails */
    int64_t stats_us;         /* when slowness and badness were brought up */
    int64_t answered_us;      /* last good answer */
    int64_t backoff_until_us; /* no new connection before */
    uint32_t connect_failures;
    void *links; /* its connections; see upstream_link.h */
} instance_t;

/* What cost depends on besides the upstream itself. */
typedef struct {
    const char *zone;    /* of this daemon */
    int64_t expected_us; /* typical time of the request at hand */
} cost_context_t;

void instance_init(instance_t *instance, const instance_entry_t *entry,
                   int64_t now_us);

/* A newer entry of the same upstream, or of its next start under its id. */
void instance_update(instance_t *instance, const instance_entry_t *entry,
                     int64_t now_us);

void instance_sent(instance_t *instance, int64_t now_us);

/* It ran a request; its own failure counts as an answer that is bad. */
void instance_answered(instance_t *instance, int64_t took_us,
                       int64_t expected_us, bool good, int64_t now_us);

/* It refused without running. */
void instance_refused(instance_t *instance, int64_t now_us);

/* A request was lost there: cut, garbled, or no answer. */
void instance_lost(instance_t *instance, int64_t now_us);

/* It had not answered when its answer was not waited for any longer. */
void instance_unfinished(instance_t *instance, int64_t waited_us,
                         int64_t expected_us, int64_t now_us);

/* A send ended here without a verdict on the upstream. */
void instance_dropped(instance_t *instance, int64_t now_us);

/* How long it has kept requests from here without any answer. */
int64_t instance_silent_us(const instance_t *instance, int64_t now_us);

bool instance_is_silent(const instance_t *instance, int64_t expected_us,
                        int64_t now_us);

/* Whether it may take new work at all. */
bool instance_is_usable(const instance_t *instance, int64_t now_us);

/* Taken to expected time, as remembered now; 1: as expected. */
double instance_slowness(const instance_t *instance, int64_t now_us);

/* Relative cost of sending one more request there; smaller is better. */
double instance_cost(const instance_t *instance, const cost_context_t *view,
                     int64_t now_us);

#endif
