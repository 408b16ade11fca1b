/*
 * Records the work that the stand-in upstreams were given: event counts for
 * each service and zone, and for each body the key ranges that were started,
 * from which repeated and doubled work is derived. ledger_add, ledger_start,
 * ledger_end, ledger_body_started and ledger_json may be called from any
 * thread.
 *
 * A part is repeated if some of its keys were started before under the same
 * body. A body is doubled if such a repeated part must not run twice (once).
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

/* Events, each with what is counted. */
typedef enum {
    EVENT_STARTED, /* parts */
    EVENT_OK,      /* parts */
    EVENT_FAILED,  /* parts started, then cancelled or past their deadline */
    EVENT_SHED,    /* requests refused */
    EVENT_SLOT_VIOLATION,  /* requests above the slot limit */
    EVENT_COLD_EXCESS,     /* requests above the cold limit, cold not or just
                              reported */
    EVENT_COLD_VIOLATION,  /* requests above the cold limit, cold reported */
    EVENT_DRAIN_VIOLATION, /* parts started after the drain's grace period */
    EVENT_NO_VERSION,      /* parts */
    EVENT_MOVED,           /* parts */
    EVENT_EXPIRED,         /* parts */
    EVENT_CANCELLED,       /* cancellations that found their part */
    EVENT_CRASH,           /* restarts of an upstream */
    EVENT_CONNECTION,      /* connections opened */
    EVENT_CONNECTION_REFUSED, /* connections above the limit or while down */
    EVENT_COUNT
} event_t;

typedef struct ledger ledger_t;
typedef struct ledger_counters ledger_counters_t;

/* Returns NULL if memory is out; the caller frees it with ledger_free. */
ledger_t *ledger_new(void);
void ledger_free(ledger_t *ledger);

/*
 * Counters of a service in a zone, created on the first call and owned by the
 * ledger. Returns NULL if memory is out. The function takes no lock.
 */
ledger_counters_t *ledger_counters_get(ledger_t *ledger, const char *service,
                                       const char *zone);

/* Adds count to the counter of an event. */
void ledger_add(ledger_t *ledger, ledger_counters_t *counters, event_t event,
                uint64_t count);

/* Records that a part of a body starts at now_us. */
void ledger_start(ledger_t *ledger, ledger_counters_t *counters,
                  const char *body, bool once, key_range_t range,
                  int64_t now_us);

/* Records that count parts are no longer running, for whatever reason. */
void ledger_end(ledger_t *ledger, ledger_counters_t *counters, uint64_t count);

/* Whether any part with this body has started. */
bool ledger_body_started(ledger_t *ledger, const char *body);

/*
 * Reply of GET /count, which the caller releases:
 * {"services":{SERVICE:{ZONE:{...}}},"zones":{ZONE:{"last_ms"}},
 *  "totals":{...,"repeated","doubled","bodies"},"now_ms"}
 * last_ms is the last start of a part, on the clock of now_ms.
 */
json_t *ledger_json(ledger_t *ledger, int64_t now_us);

#endif
