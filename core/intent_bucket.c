#include "core/intent_bucket.h"

#include <stdlib.h>
#include <string.h>

enum {
    MAGIC = 0x31425549,  /* "IUB1" */
    HEADER_BYTES = 12,   /* magic, generation and number of writers */
    WRITER_BYTES = 8,    /* incarnation */
    INTENT_BYTES = 12,   /* hash, index of the writer, age in generations */
    AGE_MAX = UINT16_MAX /* the age is stored in two bytes */
};

uint32_t
bucket_index(uint64_t hash)
{
    return (uint32_t)(hash >> 32) % INTENT_BUCKETS;
}

void
bucket_init(bucket_t *bucket)
{
    memset(bucket, 0, sizeof(*bucket));
}

void
bucket_release(bucket_t *bucket)
{
    free(bucket->writers);
    free(bucket->intents);
    bucket_init(bucket);
}

static uint64_t
get_le(const uint8_t *bytes, int size)
{
    uint64_t value = 0;
    for (int i = size; i > 0; i--) {
        value = value << 8 | bytes[i - 1];
    }
    return value;
}

static uint8_t *
put_le(uint8_t *bytes, uint64_t value, int size)
{
    for (int i = 0; i < size; i++) {
        bytes[i] = (uint8_t)(value >> (8 * i));
    }
    return bytes + size;
}

static status_t
bucket_reserve(bucket_t *bucket, size_t writers, size_t intents, error_t *err)
{
    bucket_init(bucket);
    bucket->writers = calloc(writers + 1, sizeof(*bucket->writers));
    bucket->intents = calloc(intents + 1, sizeof(*bucket->intents));
    if (bucket->writers == NULL || bucket->intents == NULL) {
        bucket_release(bucket);
        return error_set(err, STATUS_NO_MEMORY, "intents", "-",
                         "out of memory for %zu intents", intents);
    }
    return STATUS_OK;
}

static status_t
bucket_malformed(bucket_t *bucket, error_t *err, const char *message)
{
    bucket_release(bucket);
    return error_set(err, STATUS_INVALID, "read intents", "store", "%s",
                     message);
}

static status_t
decode_intents(bucket_t *bucket, const uint8_t *bytes, uint32_t count,
               error_t *err)
{
    for (uint32_t i = 0; i < count; i++) {
        intent_t *intent = &bucket->intents[i];
        uint32_t age = (uint32_t)get_le(bytes + 10, 2);
        intent->hash = get_le(bytes, 8);
        intent->writer = (uint32_t)get_le(bytes + 8, 2);
        intent->generation = bucket->generation - age;
        if (intent->writer >= bucket->writer_count) {
            return bucket_malformed(bucket, err,
                                    "an intent's writer is not in the list of "
                                    "writers");
        }
        if (age > bucket->generation) {
            return bucket_malformed(bucket, err,
                                    "an intent is older than the first "
                                    "generation");
        }
        if (i > 0 && intent->hash <= intent[-1].hash) {
            return bucket_malformed(bucket, err,
                                    "the intents are not sorted by hash");
        }
        bytes += INTENT_BYTES;
    }
    bucket->count = count;
    return STATUS_OK;
}

status_t
bucket_decode(bucket_t *bucket, const uint8_t *bytes, size_t size,
              error_t *err)
{
    bucket_init(bucket);
    if (size == 0) {
        return STATUS_OK;
    }
    if (size < HEADER_BYTES || size > BUCKET_BYTES_MAX ||
        get_le(bytes, 4) != MAGIC) {
        return bucket_malformed(bucket, err,
                                "the value is not a bucket of intents");
    }
    uint32_t writers = (uint32_t)get_le(bytes + 8, 4);
    size_t rest = size - HEADER_BYTES;
    if (writers > BUCKET_WRITERS_MAX ||
        rest < (size_t)writers * WRITER_BYTES ||
        (rest - (size_t)writers * WRITER_BYTES) % INTENT_BYTES != 0) {
        return bucket_malformed(bucket, err,
                                "the value is truncated or has too many "
                                "writers");
    }
    size_t count = (rest - (size_t)writers * WRITER_BYTES) / INTENT_BYTES;
    status_t status = bucket_reserve(bucket, writers, count, err);
    if (status != STATUS_OK) {
        return status;
    }
    bucket->generation = (uint32_t)get_le(bytes + 4, 4);
    bucket->writer_count = writers;
    bytes += HEADER_BYTES;
    for (uint32_t i = 0; i < writers; i++) {
        bucket->writers[i] = get_le(bytes, WRITER_BYTES);
        bytes += WRITER_BYTES;
    }
    return decode_intents(bucket, bytes, (uint32_t)count, err);
}

status_t
bucket_encode(const bucket_t *bucket, uint8_t **bytes, size_t *size,
              error_t *err)
{
    *size = HEADER_BYTES + (size_t)bucket->writer_count * WRITER_BYTES +
            (size_t)bucket->count * INTENT_BYTES;
    if (*size > BUCKET_BYTES_MAX) {
        return error_set(err, STATUS_TOO_LARGE, "write intents", "store",
                         "the bucket has %zu bytes, at most %d are allowed",
                         *size, BUCKET_BYTES_MAX);
    }
    uint8_t *at = malloc(*size);
    *bytes = at;
    if (at == NULL) {
        return error_set(err, STATUS_NO_MEMORY, "write intents", "-",
                         "out of memory for %zu bytes", *size);
    }
    at = put_le(at, MAGIC, 4);
    at = put_le(at, bucket->generation, 4);
    at = put_le(at, bucket->writer_count, 4);
    for (uint32_t i = 0; i < bucket->writer_count; i++) {
        at = put_le(at, bucket->writers[i], WRITER_BYTES);
    }
    for (uint32_t i = 0; i < bucket->count; i++) {
        const intent_t *intent = &bucket->intents[i];
        uint32_t age = bucket->generation - intent->generation;
        at = put_le(at, intent->hash, 8);
        at = put_le(at, intent->writer, 2);
        at = put_le(at, age < AGE_MAX ? age : AGE_MAX, 2);
    }
    return STATUS_OK;
}

static const intent_t *
bucket_find(const bucket_t *bucket, uint64_t hash)
{
    uint32_t low = 0;
    uint32_t high = bucket->count;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        if (bucket->intents[middle].hash < hash) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    bool found = low < bucket->count && bucket->intents[low].hash == hash;
    return found ? &bucket->intents[low] : NULL;
}

uint64_t
bucket_writer(const bucket_t *bucket, uint64_t hash)
{
    const intent_t *intent = bucket_find(bucket, hash);
    return intent == NULL ? 0 : bucket->writers[intent->writer];
}

static int
hash_compare(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;
    return left < right ? -1 : left > right;
}

/*
 * Merges the intents of a bucket with those of a change. Only writers that
 * still have intents are kept, so that writers get new indexes.
 */
typedef struct {
    const bucket_t *from;
    const bucket_change_t *change;
    bucket_t *to;
    uint32_t *writer_map; /* new index by old index; UINT32_MAX: none yet */
    uint32_t own_writer;  /* new index of the change's writer, likewise */
} merge_t;

static uint32_t
merge_writer(merge_t *merge, uint32_t *index, uint64_t incarnation)
{
    if (incarnation == merge->change->incarnation) {
        index = &merge->own_writer;
    }
    if (*index == UINT32_MAX) {
        *index = merge->to->writer_count;
        merge->to->writers[merge->to->writer_count++] = incarnation;
    }
    return *index;
}

static void
merge_append(merge_t *merge, uint64_t hash, uint32_t writer,
             uint32_t generation)
{
    merge->to->intents[merge->to->count++] =
        (intent_t){.hash = hash, .writer = writer, .generation = generation};
}

static bool
merge_is_removed(const merge_t *merge, uint64_t hash)
{
    const bucket_change_t *change = merge->change;
    for (size_t i = 0; i < change->removed_count; i++) {
        if (change->removed[i] == hash) {
            return true;
        }
    }
    return false;
}

static void
merge_existing(merge_t *merge, const intent_t *intent)
{
    uint64_t writer = merge->from->writers[intent->writer];
    uint32_t age = merge->to->generation - intent->generation;
    bool own = writer == merge->change->incarnation;
    if (age > merge->change->retention ||
        (own && merge_is_removed(merge, intent->hash))) {
        return;
    }
    uint32_t index =
        merge_writer(merge, &merge->writer_map[intent->writer], writer);
    merge_append(merge, intent->hash, index, intent->generation);
}

static void
merge_added(merge_t *merge, uint64_t hash)
{
    const bucket_t *to = merge->to;
    if (to->count > 0 && to->intents[to->count - 1].hash == hash) {
        return;
    }
    uint32_t writer =
        merge_writer(merge, &merge->own_writer, merge->change->incarnation);
    merge_append(merge, hash, writer, merge->to->generation);
}

static void
merge_all(merge_t *merge, const uint64_t *added)
{
    const bucket_t *from = merge->from;
    size_t i = 0;
    size_t j = 0;
    while (i < from->count || j < merge->change->added_count) {
        bool old = j == merge->change->added_count ||
                   (i < from->count && from->intents[i].hash <= added[j]);
        if (!old) {
            merge_added(merge, added[j]);
            j++;
            continue;
        }
        uint32_t count_before = merge->to->count;
        merge_existing(merge, &from->intents[i]);
        bool kept = merge->to->count > count_before;
        if (kept && j < merge->change->added_count &&
            added[j] == from->intents[i].hash) {
            j++;
        }
        i++;
    }
}

static status_t
merge_and_check(merge_t *merge, const uint64_t *added, error_t *err)
{
    merge->own_writer = UINT32_MAX;
    memset(merge->writer_map, 0xff,
           (merge->from->writer_count + 1) * sizeof(*merge->writer_map));
    merge->to->generation =
        merge->from->generation + (merge->change->advance ? 1 : 0);
    merge_all(merge, added);
    if (merge->to->writer_count <= BUCKET_WRITERS_MAX) {
        return STATUS_OK;
    }
    bucket_release(merge->to);
    return error_set(err, STATUS_TOO_LARGE, "write intents", "store",
                     "the bucket has more than %d writers",
                     BUCKET_WRITERS_MAX);
}

status_t
bucket_apply(const bucket_t *from, const bucket_change_t *change, bucket_t *to,
             error_t *err)
{
    status_t status = bucket_reserve(to, from->writer_count + 1,
                                     from->count + change->added_count, err);
    if (status != STATUS_OK) {
        return status;
    }
    size_t added_bytes = change->added_count * sizeof(*change->added);
    uint64_t *added = malloc(added_bytes + 1);
    merge_t merge = {.from = from, .change = change, .to = to};
    merge.writer_map =
        malloc((from->writer_count + 1) * sizeof(*merge.writer_map));
    if (added == NULL || merge.writer_map == NULL) {
        bucket_release(to);
        status = error_set(err, STATUS_NO_MEMORY, "intents", "-",
                           "out of memory for merging intents");
    }
    else {
        if (added_bytes > 0) {
            memcpy(added, change->added, added_bytes);
        }
        qsort(added, change->added_count, sizeof(*added), hash_compare);
        status = merge_and_check(&merge, added, err);
    }
    free(added);
    free(merge.writer_map);
    return status;
}
