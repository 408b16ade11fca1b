/*
 * Half-open key ranges and sets of them.
 *
 * Keys are 32-bit; hi of a range [lo, hi) can be KEY_END, so both ends are
 * 64-bit fields. A range_set_t keeps sorted, disjoint ranges and merges those
 * that touch. Coverage is computed from it, because adding a range a second
 * time changes nothing.
 *
 *     range_set_t set;
 *     range_set_init(&set);
 *     range_set_add(&set, (key_range_t){ .lo = 0, .hi = 10 });
 *     range_set_release(&set);
 */
#ifndef CORE_RANGE_H
#define CORE_RANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KEY_END (UINT64_C(1) << 32)

typedef struct {
    uint64_t lo; /* first key */
    uint64_t hi; /* one past the last key, at most KEY_END */
} key_range_t;

typedef struct {
    key_range_t *ranges;
    size_t count;
    size_t capacity;
} range_set_t;

/* Number of keys in the range. */
uint64_t key_range_size(key_range_t range);

/* Intersection of two ranges; an empty one has lo == hi. */
key_range_t key_range_intersect(key_range_t a, key_range_t b);

void range_set_init(range_set_t *set);

/* Free the ranges; the set is then empty and can be used again. */
void range_set_release(range_set_t *set);

/* Add a range. False when memory ran out; the set is then unchanged. */
bool range_set_add(range_set_t *set, key_range_t range);

/* Whether any key of range is in the set. */
bool range_set_overlaps(const range_set_t *set, key_range_t range);

/* Number of keys in the set. */
uint64_t range_set_size(const range_set_t *set);

/*
 * Write the gaps, the sub-ranges of range that are not in the set, to out in
 * ascending order, at most max of them. Returns the number of all gaps, which
 * may be more than max.
 */
size_t range_set_missing(const range_set_t *set, key_range_t range,
                         key_range_t *out, size_t max);

#endif
