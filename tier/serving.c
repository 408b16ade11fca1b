#include "tier/serving.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

typedef struct {
    const member_record_t *record;
    uint64_t lot; /* breaks ties between VMs of equal strength */
    uint32_t place;
} candidate_t;

static int
candidate_order(const void *left, const void *right)
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
    return a->lot < b->lot ? -1 : a->lot > b->lot ? 1 : 0;
}

uint32_t
serving_choose(const members_t *members, member_role_t *roles)
{
    uint32_t count = members->count;
    candidate_t *candidates = malloc((count + 1) * sizeof(*candidates));
    if (count <= SERVING_ALL || candidates == NULL) {
        for (uint32_t i = 0; i < count; i++) {
            roles[i] = MEMBER_READS;
        }
        free(candidates);
        return count;
    }
    for (uint32_t i = 0; i < count; i++) {
        const member_record_t *record = &members->records[i];
        candidates[i] = (candidate_t){
            .record = record,
            .lot = XXH64(record->name, strlen(record->name), 0),
            .place = i,
        };
    }
    qsort(candidates, count, sizeof(*candidates), candidate_order);
    uint32_t total = 0;
    uint32_t wanted = count / SERVING_PARTS > SERVING_ALL
                          ? count / SERVING_PARTS
                          : SERVING_ALL;
    for (uint32_t i = 0; i < count;) {
        uint32_t size = 1;
        while (i + size < count && strcmp(candidates[i + size].record->zone,
                                          candidates[i].record->zone) == 0) {
            size++;
        }
        uint32_t part = (wanted * size + count - 1) / count;
        part = part < SERVING_ZONE_MIN ? SERVING_ZONE_MIN : part;
        for (uint32_t j = 0; j < size; j++) {
            roles[candidates[i + j].place] = j < SERVING_READERS ? MEMBER_READS
                                             : j < part ? MEMBER_SERVES
                                                        : MEMBER_STANDS_BY;
        }
        total += size < part ? size : part;
        i += size;
    }
    free(candidates);
    return total;
}
