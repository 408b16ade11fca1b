/*
 * Which of the daemons' addresses a caller is told to use, in which order,
 * and for how long it may keep them.
 *
 *     size_t count = entries_pick(candidates, n, "south-1", seed, picked,
 *                                 ENTRIES_MAX, &keep_ms);
 *
 * Usable daemons of the caller's zone come first, then usable ones elsewhere;
 * within each part the order depends on the seed, so that callers spread.
 * Daemons that are suspect, dead, leaving or out are named only when there is
 * no usable one at all, those likely to answer first.
 */
#ifndef FLEET_ENTRIES_H
#define FLEET_ENTRIES_H

#include "fleet/member.h"

enum {
    ENTRIES_MAX = 4,
    ENTRIES_KEEP_MS = 5000,          /* longest a caller keeps an answer */
    ENTRIES_KEEP_UNUSABLE_MS = 1000, /* when no daemon is usable */
    ENTRIES_KEEP_JITTER_MS = 1000
};

typedef struct {
    const char *name;
    const char *zone;
    member_state_t state;
    bool leaving;
    bool out; /* its zone or its VM is out */
} entry_candidate_t;

/*
 * Write the indexes of at most max candidates to picked, best first, and
 * return how many. seed differs between callers and calls; an empty zone is
 * near to all.
 */
size_t entries_pick(const entry_candidate_t *candidates, size_t count,
                    const char *zone, uint64_t seed, size_t *picked,
                    size_t max, uint32_t *keep_ms);

#endif
