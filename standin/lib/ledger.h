/*
 * What the stand-in upstreams were really asked to do, counted on their side:
 * totals for each service and zone, and for each body the key ranges that
 * were started, from which doubled and repeated work follows. Calls may come
 * from any thread.
 *
 * A part is repeated when some of its keys were started before under the
 * same body; a body of parts marked once is doubled when any was repeated.
 *
 *     ledger_t *ledger = ledger_new();
 *     ledger_counters_t *counters =
 *         ledger_counters_get(ledger, "ledger-desk", "south-1");
 *     ledger_add(ledger, counters, EVENT_SHED, 1);
 *     ledger_free(ledger);
 */
#ifndef STANDIN_LIB_LEDGER_H
#define STANDIN_LIB_LEDGER_H

#include "core/range.h"

#include <jansson.h>

typedef enum {
    EVENT_STARTED, /* parts */
    EVENT_OK,      /* parts */
    EVENT_FAILED,  /* parts started, then cancelled or past their deadline */
    EVENT_SHED,    /* requests */
    EVENT_SLOT_VIOLATION,
    EVENT_COLD_EXCESS,     /* above what it bears, callers not told yet */
    EVENT_COLD_VIOLATION,  /* above what it bears, callers told */
    EVENT_DRAIN_VIOLATION, /* parts started long after it began to leave */
    EVENT_NO_VERSION,
    EVENT_MOVED,
    EVENT_EXPIRED,
    EVENT_CANCELLED,
    EVENT_CRASH,
    EVENT_CONNECTION,
    EVENT_CONNECTION_REFUSED, /* above the connection cap, or down */
    EVENT_COUNT
} event_t;

typedef struct ledger ledger_t;
typedef struct ledger_counters ledger_counters_t;

ledger_t *ledger_new(void);
void ledger_free(ledger_t *ledger);

/* Counters of a service in a zone, made when new; NULL: no memory. */
ledger_counters_t *ledger_counters_get(ledger_t *ledger, const char *service,
                                       const char *zone);

void ledger_add(ledger_t *ledger, ledger_counters_t *counters, event_t event,
                uint64_t count);

/* A part starts at now_us in a counters. */
void ledger_start(ledger_t *ledger, ledger_counters_t *counters,
                  const char *body, bool once, key_range_t range,
                  int64_t now_us);

/* Parts of a counters ended, one way or another. */
void ledger_end(ledger_t *ledger, ledger_counters_t *counters, uint64_t count);

/* Whether any part with this body started. */
bool ledger_body_started(ledger_t *ledger, const char *body);

/*
 * {"services":{SERVICE:{ZONE:{...}}},"zones":{ZONE:{"last_ms"}},
 *  "totals":{...,"repeated","doubled","bodies"},"now_ms"}
 */
json_t *ledger_json(ledger_t *ledger, int64_t now_us);

#endif
