/*
 * Parts of one query on their way to their owners, gathered so that each
 * owner gets one message.
 *
 *     part_batch_add(&batch, owner, &request);
 *     for (size_t start = 0, end; start < batch.count; start = end) {
 *         end = part_batch_group(&batch, start);
 *         send(batch.owners[start], batch.requests + start, end - start);
 *     }
 *     batch.count = 0;
 *     part_batch_release(&batch);
 */
#ifndef DAEMON_PART_BATCH_H
#define DAEMON_PART_BATCH_H

#include "core/part.h"

typedef struct {
    part_request_t *requests;
    uint64_t *owners; /* incarnation of each request's owner */
    size_t count;
    size_t capacity;
} part_batch_t;

/* False: no memory, and the batch is unchanged. */
bool part_batch_add(part_batch_t *batch, uint64_t owner,
                    const part_request_t *request);

/* Move what has start's owner next to it; returns the end of that run. */
size_t part_batch_group(part_batch_t *batch, size_t start);

void part_batch_release(part_batch_t *batch);

#endif
