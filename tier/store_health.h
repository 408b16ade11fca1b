/*
 * Whether the store answers this daemon's reads.
 *
 * The store may cut a watch that waits, or lose a single response, while it
 * serves on. A failed read therefore only raises a doubt; the next read is to
 * be sent at once. The doubt ends with any answer, and becomes an outage when
 * a read that was sent after it arose fails too.
 *
 *     store_health_t health = {0};
 *     if (store_health_failed(&health, &failure, now_us)) {
 *         ... an outage has begun ...
 *     }
 *     if (store_health_answered(&health, &away_us, now_us)) {
 *         ... an outage has ended; it lasted for away_us at most ...
 *     }
 */
#ifndef TIER_STORE_HEALTH_H
#define TIER_STORE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* The length of an outage that began before the first answer. */
#define STORE_AWAY_UNKNOWN_US INT64_MAX

typedef struct {
    bool reachable; /* false before the first answer, and in an outage */
    bool doubtful;  /* a read has failed since the last answer */
    int64_t doubtful_since_us;
    int64_t alive_us; /* the store's last sign of life; 0: none */
} store_health_t;

/* A failed read. */
typedef struct {
    int64_t sent_us;
    /* The store has refused this daemon because of its rate of calls: it
       serves the others, so that nothing expires there. */
    bool rate_limited;
} store_failure_t;

/* A read has failed. Returns true if an outage begins. */
bool store_health_failed(store_health_t *health,
                         const store_failure_t *failure, int64_t now_us);

/* A read was answered. Returns true if an outage, or the time before the first
   answer, ends; *away_us is then set to the longest time for which the store
   may have been unavailable, in microseconds. */
bool store_health_answered(store_health_t *health, int64_t *away_us,
                           int64_t now_us);

#endif
