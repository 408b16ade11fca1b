#include "daemon/part_batch.h"

#include <stdlib.h>

enum { INITIAL_CAPACITY = 64 };

static bool
part_batch_reserve(part_batch_t *batch)
{
    if (batch->count < batch->capacity) {
        return true;
    }
    size_t capacity =
        batch->capacity == 0 ? INITIAL_CAPACITY : batch->capacity * 2;
    part_request_t *requests =
        realloc(batch->requests, capacity * sizeof(*requests));
    if (requests == NULL) {
        return false;
    }
    batch->requests = requests;
    uint64_t *owners = realloc(batch->owners, capacity * sizeof(*owners));
    if (owners == NULL) {
        return false;
    }
    batch->owners = owners;
    batch->capacity = capacity;
    return true;
}

bool
part_batch_add(part_batch_t *batch, uint64_t owner,
               const part_request_t *request)
{
    if (!part_batch_reserve(batch)) {
        return false;
    }
    batch->requests[batch->count] = *request;
    batch->owners[batch->count] = owner;
    batch->count++;
    return true;
}

static void
part_batch_swap(part_batch_t *batch, size_t a, size_t b)
{
    part_request_t request = batch->requests[a];
    uint64_t owner = batch->owners[a];
    batch->requests[a] = batch->requests[b];
    batch->owners[a] = batch->owners[b];
    batch->requests[b] = request;
    batch->owners[b] = owner;
}

size_t
part_batch_group(part_batch_t *batch, size_t start)
{
    size_t end = start + 1;
    for (size_t i = end; i < batch->count; i++) {
        if (batch->owners[i] == batch->owners[start]) {
            part_batch_swap(batch, i, end++);
        }
    }
    return end;
}

void
part_batch_release(part_batch_t *batch)
{
    free(batch->requests);
    free(batch->owners);
    *batch = (part_batch_t){.count = 0};
}
