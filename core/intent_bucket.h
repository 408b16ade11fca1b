/*
 * One bucket of intents, as stored in the platform's store.
 *
 * An intent says that only one daemon incarnation, its writer, may run the
 * request with this id. Intents age by generations of the bucket. A writer
 * begins the next generation only after it has itself seen the current one for
 * a generation's full length, so that the clocks of two machines are never
 * compared. An intent is removed when it is more than retention generations
 * old. A bucket that is full before that takes no new intents, because no
 * intent may be removed early.
 *
 * The stored value is binary, little-endian, and sorted by hash, with 12 bytes
 * per intent.
 */
#ifndef CORE_INTENT_BUCKET_H
#define CORE_INTENT_BUCKET_H

#include "core/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    INTENT_BUCKETS = 64,       /* over which the ids are spread */
    BUCKET_BYTES_MAX = 900000, /* the store's limit is one megabyte */
    BUCKET_WRITERS_MAX = 4096  /* incarnations with intents in a bucket */
};

typedef struct {
    uint64_t hash;       /* of the caller's id */
    uint32_t writer;     /* index in the bucket's writers */
    uint32_t generation; /* in which the intent was added */
} intent_t;

typedef struct {
    uint32_t generation; /* current */
    uint64_t *writers;   /* incarnations */
    uint32_t writer_count;
    intent_t *intents; /* sorted by hash */
    uint32_t count;
} bucket_t;

/* The bucket that an id's hash belongs to, below INTENT_BUCKETS. */
uint32_t bucket_index(uint64_t hash);

/* Make an empty bucket. */
void bucket_init(bucket_t *bucket);

/* Free the contents; the bucket is then empty. */
void bucket_release(bucket_t *bucket);

/*
 * Decode a stored value into *bucket, which the caller releases. An empty
 * value is an empty bucket. STATUS_INVALID: malformed; *bucket is then empty.
 */
status_t bucket_decode(bucket_t *bucket, const uint8_t *bytes, size_t size,
                       error_t *err);

/*
 * Encode into *bytes, which the caller frees. STATUS_TOO_LARGE: more than
 * BUCKET_BYTES_MAX bytes.
 */
status_t bucket_encode(const bucket_t *bucket, uint8_t **bytes, size_t *size,
                       error_t *err);

/* The incarnation that may run the id; 0 when the id has no intent. */
uint64_t bucket_writer(const bucket_t *bucket, uint64_t hash);

/* A change of a bucket by one writer. */
typedef struct {
    uint64_t incarnation;  /* the writer */
    const uint64_t *added; /* hashes, in any order */
    size_t added_count;
    const uint64_t *removed; /* hashes of the writer's intents to remove */
    size_t removed_count;
    bool advance;       /* begin the next generation */
    uint32_t retention; /* generations for which an intent is kept */
} bucket_change_t;

/*
 * Apply the change to a copy of *from, into *to, which the caller releases.
 * Hashes that are already in the bucket are not added again. On failure *to is
 * empty; STATUS_TOO_LARGE: more than BUCKET_WRITERS_MAX writers.
 */
status_t bucket_apply(const bucket_t *from, const bucket_change_t *change,
                      bucket_t *to, error_t *err);

#endif
