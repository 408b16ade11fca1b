#include "policy/gather.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

uint32_t
gather_min_shards(const gather_t *gather)
{
    /* The tolerance keeps rounding errors from requiring one more shard. */
    double min_shards = ceil(gather->min_share * gather->shards - 1e-9);
    return min_shards < 1 ? 1 : (uint32_t)min_shards;
}

uint32_t
gather_expected_shards(const gather_t *gather)
{
    /* A shard that failed may still count as unresponsive. */
    uint32_t missing = gather->failed + gather->unresponsive;
    return gather->shards > missing ? gather->shards - missing : 0;
}

gather_verdict_t
gather_evaluate(const gather_t *gather, int64_t now_us)
{
    uint32_t min_shards = gather_min_shards(gather);
    uint32_t pending = gather->shards - gather->answered - gather->failed;
    if (gather->answered + pending < min_shards) {
        return GATHER_IMPOSSIBLE;
    }
    if (pending == 0) {
        return GATHER_ANSWER;
    }
    bool may_answer = gather->answered >= min_shards;
    return may_answer && (now_us >= gather->goal_us ||
                          pending <= gather->unresponsive)
               ? GATHER_ANSWER
               : GATHER_WAIT;
}

bool
records_add(records_t *records, const void *body, size_t size)
{
    size -= size % RECORD_BYTES;
    if (size == 0) {
        return true;
    }
    uint8_t *end = buffer_reserve(&records->bytes, size);
    if (end == NULL) {
        return false;
    }
    memcpy(end, body, size);
    buffer_commit(&records->bytes, size);
    return true;
}

static int
record_compare(const void *left, const void *right)
{
    return memcmp(right, left, RECORD_BYTES);
}

size_t
records_top(records_t *records, uint32_t top)
{
    size_t count = buffer_size(&records->bytes) / RECORD_BYTES;
    if (count > 1) {
        qsort((void *)buffer_data(&records->bytes), count, RECORD_BYTES,
              record_compare);
    }
    return (count < top ? count : top) * (size_t)RECORD_BYTES;
}
