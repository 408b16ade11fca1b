/*
 * A batch of a query's parts that are to be sent, grouped by owner so that
 * each owner gets one message.
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

/*
 * Adds a copy of the request, but not of its body. Returns false if memory is
 * out; the batch is then unchanged.
 */
bool part_batch_add(part_batch_t *batch, uint64_t owner,
                    const part_request_t *request);

/*
 * Moves all requests at or after start that have start's owner to start.
 * Returns the index after the last of them.
 */
size_t part_batch_group(part_batch_t *batch, size_t start);

/* Frees the batch's memory; the batch is then empty and can be used again. */
void part_batch_release(part_batch_t *batch);

#endif
