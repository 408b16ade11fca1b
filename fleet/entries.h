/*
 * Entry points: the daemons that a caller should connect to, in order of
 * preference, and for how long it may cache the list.
 *
 *     size_t count = entries_pick(candidates, n, "south-1", seed, picked,
 *                                 ENTRIES_MAX, &keep_ms);
 *
 * Usable daemons of the caller's zone come first, then usable daemons of other
 * zones. Among equals the order depends on the seed, which spreads the
 * callers. Daemons that are suspect, dead, leaving or out are listed only if
 * no daemon is usable, the most likely to answer first.
 */
#ifndef FLEET_ENTRIES_H
#define FLEET_ENTRIES_H

#include "fleet/member.h"

enum {
    ENTRIES_MAX = 4,
    ENTRIES_KEEP_MS = 5000, /* longest time that a caller caches a list */
    ENTRIES_KEEP_UNUSABLE_MS = 1000, /* the same when no daemon is usable */
    ENTRIES_KEEP_JITTER_MS = 1000    /* upper bound of the random reduction */
};

typedef struct {
    const char *name;
    const char *zone;
    member_state_t state;
    bool leaving;
    bool out; /* its zone or its VM is out of service */
} entry_candidate_t;

/*
 * Write the indexes of at most `max` candidates to `picked`, best first, and
 * return their number. zone: the caller's; if empty, every daemon counts as
 * local. seed: differs between callers and calls. *keep_ms is set to the
 * time in ms for which the caller may cache the list.
 */
size_t entries_pick(const entry_candidate_t *candidates, size_t count,
                    const char *zone, uint64_t seed, size_t *picked,
                    size_t max, uint32_t *keep_ms);

#endif
