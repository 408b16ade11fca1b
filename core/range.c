#include "core/range.h"

#include <stdlib.h>
#include <string.h>

uint64_t
key_range_size(key_range_t range)
{
    return range.hi > range.lo ? range.hi - range.lo : 0;
}

key_range_t
key_range_intersect(key_range_t a, key_range_t b)
{
    key_range_t common = {
        .lo = a.lo > b.lo ? a.lo : b.lo,
        .hi = a.hi < b.hi ? a.hi : b.hi,
    };
    if (common.hi < common.lo) {
        common.hi = common.lo;
    }
    return common;
}

void
range_set_init(range_set_t *set)
{
    *set = (range_set_t){0};
}

void
range_set_release(range_set_t *set)
{
    free(set->ranges);
    range_set_init(set);
}

static bool
range_set_reserve(range_set_t *set, size_t count)
{
    if (count <= set->capacity) {
        return true;
    }
    size_t capacity = set->capacity == 0 ? 8 : set->capacity * 2;
    key_range_t *grown = realloc(set->ranges, capacity * sizeof(*set->ranges));
    if (grown == NULL) {
        return false;
    }
    set->ranges = grown;
    set->capacity = capacity;
    return true;
}

bool
range_set_add(range_set_t *set, key_range_t range)
{
    if (key_range_size(range) == 0) {
        return true;
    }
    if (!range_set_reserve(set, set->count + 1)) {
        return false;
    }
    size_t first = 0;
    while (first < set->count && set->ranges[first].hi < range.lo) {
        first++;
    }
    size_t last = first;
    while (last < set->count && set->ranges[last].lo <= range.hi) {
        if (set->ranges[last].lo < range.lo) {
            range.lo = set->ranges[last].lo;
        }
        if (set->ranges[last].hi > range.hi) {
            range.hi = set->ranges[last].hi;
        }
        last++;
    }
    memmove(&set->ranges[first + 1], &set->ranges[last],
            (set->count - last) * sizeof(*set->ranges));
    set->ranges[first] = range;
    set->count = set->count - (last - first) + 1;
    return true;
}

bool
range_set_overlaps(const range_set_t *set, key_range_t range)
{
    for (size_t i = 0; i < set->count; i++) {
        if (key_range_size(key_range_intersect(set->ranges[i], range)) > 0) {
            return true;
        }
    }
    return false;
}

uint64_t
range_set_size(const range_set_t *set)
{
    uint64_t size = 0;
    for (size_t i = 0; i < set->count; i++) {
        size += key_range_size(set->ranges[i]);
    }
    return size;
}

size_t
range_set_missing(const range_set_t *set, key_range_t range, key_range_t *out,
                  size_t max)
{
    size_t found = 0;
    uint64_t next = range.lo;
    for (size_t i = 0; i < set->count && next < range.hi; i++) {
        key_range_t have = key_range_intersect(set->ranges[i], range);
        if (key_range_size(have) == 0) {
            continue;
        }
        if (have.lo > next) {
            if (found < max) {
                out[found] = (key_range_t){.lo = next, .hi = have.lo};
            }
            found++;
        }
        next = have.hi;
    }
    if (next < range.hi) {
        if (found < max) {
            out[found] = (key_range_t){.lo = next, .hi = range.hi};
        }
        found++;
    }
    return found;
}
