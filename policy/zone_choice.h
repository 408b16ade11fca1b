/*
 * Whether a request to a service leaves the daemon's zone.
 *
 * The caller estimates when the request would complete at the best upstream of
 * the own zone and at the best one elsewhere, transit included. The request
 * leaves if it gains more than the price of leaving: the time that a caller
 * may lose for an answer from its own zone, since traffic between zones is
 * billed.
 *
 * A zone that fails, or whose upstreams have too many of this daemon's
 * requests in flight, is left at once: both are known at the time of the
 * choice, and the latter ends by itself. What is known only from earlier
 * responses is damped: the share of the requests that leave for it moves
 * towards its target by a bounded step in the time of a typical response, and
 * returns more slowly than it left. Daemons that see the same slow upstream
 * thus don't all leave at once, and a zone that is well again isn't flooded.
 *
 *     zone_question_t question = {.own = ..., .away = ..., .price_us = ...};
 *     if (zone_choice_leaves(&choice, &question, now_us)) ...
 *     zone_choice_note_sent(&choice, left, now_us);
 *     switch (zone_choice_change(&choice)) ...
 *
 * Times are microseconds; now_us is of the monotonic clock.
 */
#ifndef POLICY_ZONE_CHOICE_H
#define POLICY_ZONE_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/* A price at which no request leaves while its zone has upstreams. */
#define ZONE_PRICE_NEVER ((int64_t)1 << 50)

/* Why a request left the zone. */
typedef enum {
    LEAVE_NOT,         /* it did not */
    LEAVE_NO_UPSTREAM, /* the zone has no upstream of the service */
    LEAVE_CAPACITY,    /* those of the zone have too much work in flight, rest
                          or have reached their rate limits */
    LEAVE_SPEED,       /* those of the zone respond slowly */
    LEAVE_FAILURE,     /* those of the zone fail, are silent, or were tried */
    LEAVE_REASONS
} leave_reason_t;

/* One service. Zeroed: no request yet. */
typedef struct {
    double share;       /* probability of leaving, 0 .. 1 */
    int64_t updated_us; /* last change of share */
    double sent_share;  /* moving mean over sends: 1 if it left, else 0 */
    int64_t sent_us;    /* last send */
    bool mostly_leaves; /* sent_share last crossed a half upwards */
} zone_choice_t;

/* Expected completion of one request at an upstream. */
typedef struct {
    double total_us;
    double wait_us; /* of that, due to requests in flight */
    double failure; /* cost of failures and silence, in queued requests; it is
                       not part of total_us */
} completion_t;

typedef struct {
    completion_t own;   /* at the best upstream of the daemon's zone */
    completion_t away;  /* at the best upstream elsewhere */
    int64_t price_us;   /* see zone_price_us; 0: a multiple of typical_us */
    int64_t typical_us; /* typical response time of the route */
    uint64_t random;
} zone_question_t;

/* The price of leaving for a route with this goal. override_us: the price of
   the command line; 0: none. */
int64_t zone_price_us(int64_t goal_us, int64_t override_us);

/* Whether the request leaves the zone, which has an upstream for it; and why,
   or LEAVE_NOT. */
leave_reason_t zone_choice_decide(zone_choice_t *choice,
                                  const zone_question_t *question,
                                  int64_t now_us);

/* A request was sent, within the zone or out of it for whatever reason. */
void zone_choice_note_sent(zone_choice_t *choice, bool left, int64_t now_us);

/* Whether the share of the requests that left has crossed a half: 1 upwards,
   -1 downwards since the last call of zone_choice_report; 0: it has not. */
int zone_choice_change(const zone_choice_t *choice);

/* The change has been reported. */
void zone_choice_report(zone_choice_t *choice);

/* Name of a reason, for metrics and logs. */
const char *leave_reason_name(leave_reason_t reason);

#endif
