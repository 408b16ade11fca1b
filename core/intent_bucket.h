/*
 * One bucket of intents as it is kept in the platform's store.
 *
 * An intent says that one daemon incarnation, its writer, may run the request
 * with this id; no other may. Intents age by generation: a writer begins the
 * next one only after it has itself seen the present one for its whole
 * length, so that no clock is compared with another machine's; an intent is
 * dropped when it is more than the horizon's generations old. A bucket that
 * is full before that takes no new intents rather than to forget any.
 *
 * The value is little-endian binary, sorted by hash, 12 bytes an intent.
 */
#ifndef CORE_INTENT_BUCKET_H
#define CORE_INTENT_BUCKET_H

#include "core/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    INTENT_BUCKETS = 64,
    BUCKET_BYTES_MAX = 900000, /* the store takes a megabyte */
    BUCKET_WRITERS_MAX = 4096  /* incarnations with intents in a bucket */
};

typedef struct {
    uint64_t hash;
    uint32_t writer; /* index into writers */
    uint32_t generation;
} intent_t;

typedef struct {
    uint32_t generation;
    uint64_t *writers; /* incarnations */
    uint32_t writer_count;
    intent_t *intents; /* sorted by hash */
    uint32_t count;
} bucket_t;

/* Which bucket an id's hash belongs to. */
uint32_t bucket_index(uint64_t hash);

void bucket_init(bucket_t *bucket);
void bucket_release(bucket_t *bucket);

/* Decode a value of the store; an empty value is an empty bucket. */
status_t bucket_decode(bucket_t *bucket, const uint8_t *bytes, size_t size,
                       error_t *err);

/*
 * Encode to *bytes, which the caller frees. STATUS_TOO_LARGE: over
 * BUCKET_BYTES_MAX.
 */
status_t bucket_encode(const bucket_t *bucket, uint8_t **bytes, size_t *size,
                       error_t *err);

/* Incarnation that may run the id; 0 when there is no intent. */
uint64_t bucket_writer(const bucket_t *bucket, uint64_t hash);

/* How a bucket changes from one value to the next. */
typedef struct {
    uint64_t incarnation;
    const uint64_t *added; /* hashes */
    size_t added_count;
    const uint64_t *removed; /* hashes of own intents that did not run */
    size_t removed_count;
    bool advance;       /* begin the next generation */
    uint32_t retention; /* generations an intent is kept */
} bucket_change_t;

/*
 * The bucket that follows from *from by the change, into *to, which is empty
 * on failure.
 * Added hashes that are there already are not added again.
 */
status_t bucket_apply(const bucket_t *from, const bucket_change_t *change,
                      bucket_t *to, error_t *err);

#endif
