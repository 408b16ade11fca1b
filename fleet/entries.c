#include "fleet/entries.h"

#include <string.h>
#include <xxhash.h>

/*
 * Lower is better. Daemons with a grade above GRADE_OTHER_ZONE are unusable,
 * and listed only if no daemon is usable.
 */
typedef enum {
    GRADE_SAME_ZONE,
    GRADE_OTHER_ZONE,
    GRADE_SUSPECT,
    GRADE_LEAVING,
    GRADE_OUT,
    GRADE_DEAD
} grade_t;

static grade_t
entry_grade(const entry_candidate_t *candidate, const char *zone)
{
    if (candidate->state == MEMBER_DEAD) {
        return GRADE_DEAD;
    }
    if (candidate->out) {
        return GRADE_OUT;
    }
    if (candidate->leaving) {
        return GRADE_LEAVING;
    }
    if (candidate->state != MEMBER_ALIVE) {
        return GRADE_SUSPECT;
    }
    bool same_zone = zone[0] == '\0' || strcmp(candidate->zone, zone) == 0;
    return same_zone ? GRADE_SAME_ZONE : GRADE_OTHER_ZONE;
}

static uint64_t
entry_hash(const entry_candidate_t *candidate, uint64_t seed)
{
    return XXH64(candidate->name, strlen(candidate->name), seed);
}

typedef struct {
    grade_t grade;
    uint64_t hash;
    size_t index;
} entry_t;

static bool
entry_precedes(const entry_t *a, const entry_t *b)
{
    if (a->grade != b->grade) {
        return a->grade < b->grade;
    }
    return a->hash < b->hash;
}

/*
 * Insert into the best entries so far, at most `max` of them. Returns their
 * new number.
 */
static size_t
entry_insert(entry_t *best, size_t count, size_t max, entry_t entry)
{
    size_t at = count < max ? count++ : max;
    for (; at > 0 && entry_precedes(&entry, &best[at - 1]); at--) {
        if (at < max) {
            best[at] = best[at - 1];
        }
    }
    if (at < max) {
        best[at] = entry;
    }
    return count;
}

/* Drop the unusable entries at the end if the first entry is usable. */
static size_t
entries_drop_unusable(const entry_t *best, size_t count)
{
    if (count == 0 || best[0].grade > GRADE_OTHER_ZONE) {
        return count;
    }
    while (best[count - 1].grade > GRADE_OTHER_ZONE) {
        count--;
    }
    return count;
}

size_t
entries_pick(const entry_candidate_t *candidates, size_t count,
             const char *zone, uint64_t seed, size_t *picked, size_t max,
             uint32_t *keep_ms)
{
    entry_t best[ENTRIES_MAX] = {0};
    size_t limit = max < ENTRIES_MAX ? max : ENTRIES_MAX;
    size_t found = 0;
    for (size_t i = 0; i < count; i++) {
        entry_t entry = {
            .grade = entry_grade(&candidates[i], zone),
            .hash = entry_hash(&candidates[i], seed),
            .index = i,
        };
        found = entry_insert(best, found, limit, entry);
    }
    found = entries_drop_unusable(best, found);
    for (size_t i = 0; i < found; i++) {
        picked[i] = best[i].index;
    }
    bool any_usable = found > 0 && best[0].grade <= GRADE_OTHER_ZONE;
    uint64_t spread = XXH64(&seed, sizeof(seed), 0) % ENTRIES_KEEP_JITTER_MS;
    *keep_ms = any_usable ? ENTRIES_KEEP_MS - (uint32_t)spread
                          : ENTRIES_KEEP_UNUSABLE_MS;
    return found;
}
