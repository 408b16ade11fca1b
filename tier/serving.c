#include "tier/serving.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

typedef struct {
    const member_record_t *record;
    uint64_t tie_break; /* hash of the name, orders VMs of equal weight */
    uint32_t index;
} candidate_t;

/* Order by zone, then by descending weight. */
static int
candidate_compare(const void *left, const void *right)
{
    const candidate_t *a = left;
    const candidate_t *b = right;
    int zone = strcmp(a->record->zone, b->record->zone);
    if (zone != 0) {
        return zone;
    }
    if (a->record->weight != b->record->weight) {
        return a->record->weight > b->record->weight ? -1 : 1;
    }
    return a->tie_break < b->tie_break   ? -1
           : a->tie_break > b->tie_break ? 1
                                         : 0;
}

/* Number of candidates, sorted by zone, in the first candidate's zone. */
static uint32_t
zone_size(const candidate_t *candidates, uint32_t count)
{
    uint32_t size = 1;
    while (size < count && strcmp(candidates[size].record->zone,
                                  candidates[0].record->zone) == 0) {
        size++;
    }
    return size;
}

/* Minimum number of store readers in each zone, whatever its size. */
static uint32_t
zone_readers_min(const candidate_t *candidates, uint32_t count)
{
    uint32_t zones = 1;
    for (uint32_t i = zone_size(candidates, count); i < count;
         i += zone_size(&candidates[i], count - i)) {
        zones++;
    }
    return zones >= SERVING_READERS_MIN
               ? 1
               : (SERVING_READERS_MIN + zones - 1) / zones;
}

static int
weight_compare(const void *left, const void *right)
{
    uint32_t a = *(const uint32_t *)left;
    uint32_t b = *(const uint32_t *)right;
    return a > b ? -1 : a < b ? 1 : 0;
}

/* It is half the least weight of the strongest VMs that have
   SERVING_WEIGHT_PERCENT of the fleet's weight together. */
uint32_t
serving_weight_min(const members_t *members)
{
    uint32_t *weights = malloc((members->count + 1) * sizeof(*weights));
    if (weights == NULL) {
        return 0;
    }
    uint64_t total = 0;
    for (uint32_t i = 0; i < members->count; i++) {
        weights[i] = members->records[i].weight;
        total += weights[i];
    }
    qsort(weights, members->count, sizeof(*weights), weight_compare);
    uint64_t sum = 0;
    uint32_t least = 0;
    for (uint32_t i = 0;
         i < members->count && sum * 100 < total * SERVING_WEIGHT_PERCENT;
         i++) {
        least = weights[i];
        sum += least;
    }
    free(weights);
    return least / 2;
}

/* How many of a zone's candidates, sorted by weight, have at least that
   weight. */
static uint32_t
zone_count_strong(const candidate_t *candidates, uint32_t size,
                  uint32_t weight_min)
{
    uint32_t count = 0;
    while (count < size && candidates[count].record->weight >= weight_min) {
        count++;
    }
    return count;
}

/* Number of zones that have a VM of at least that weight. */
static uint32_t
zones_with_strong(const candidate_t *candidates, uint32_t count,
                  uint32_t weight_min)
{
    uint32_t zones = 0;
    for (uint32_t i = 0; i < count;
         i += zone_size(&candidates[i], count - i)) {
        zones += candidates[i].record->weight >= weight_min ? 1 : 0;
    }
    return zones;
}

uint32_t
serving_assign_roles(const members_t *members, member_role_t *roles)
{
    uint32_t count = members->count;
    candidate_t *candidates = malloc((count + 1) * sizeof(*candidates));
    if (count <= SERVING_ALL_MAX || candidates == NULL) {
        for (uint32_t i = 0; i < count; i++) {
            roles[i] = MEMBER_STORE_READER;
        }
        free(candidates);
        return count;
    }
    for (uint32_t i = 0; i < count; i++) {
        const member_record_t *record = &members->records[i];
        candidates[i] = (candidate_t){
            .record = record,
            .tie_break = XXH64(record->name, strlen(record->name), 0),
            .index = i,
        };
    }
    qsort(candidates, count, sizeof(*candidates), candidate_compare);
    uint32_t total = 0;
    uint32_t wanted = count / SERVING_DIVISOR > SERVING_ALL_MAX
                          ? count / SERVING_DIVISOR
                          : SERVING_ALL_MAX;
    uint32_t weight_min = serving_weight_min(members);
    uint32_t zone_min = zones_with_strong(candidates, count, weight_min) <
                                SERVING_STRONG_ZONES_MIN
                            ? SERVING_ZONE_MIN
                            : 0;
    uint32_t readers_min = zone_readers_min(candidates, count);
    for (uint32_t i = 0; i < count;) {
        uint32_t size = zone_size(&candidates[i], count - i);
        uint32_t readers = (size + SERVING_DAEMONS_PER_READER - 1) /
                           SERVING_DAEMONS_PER_READER;
        readers = readers < readers_min ? readers_min : readers;
        uint32_t zone_serving = (wanted * size + count - 1) / count;
        zone_serving =
            zone_serving < SERVING_ZONE_MIN ? SERVING_ZONE_MIN : zone_serving;
        zone_serving = zone_serving < readers ? readers : zone_serving;
        uint32_t strong = zone_count_strong(&candidates[i], size, weight_min);
        zone_serving = strong < zone_serving ? strong : zone_serving;
        zone_serving = zone_serving < zone_min ? zone_min : zone_serving;
        for (uint32_t j = 0; j < size; j++) {
            roles[candidates[i + j].index] = j >= zone_serving ? MEMBER_STANDBY
                                             : j < readers
                                                 ? MEMBER_STORE_READER
                                                 : MEMBER_SERVING;
        }
        total += size < zone_serving ? size : zone_serving;
        i += size;
    }
    free(candidates);
    return total;
}
