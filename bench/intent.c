/*
 * Cost of a group commit of intents at several bucket sizes: time to merge 50
 * ids into the bucket and encode it (commit), and to decode it, which a write
 * conflict makes necessary (decode).
 *
 *     build/plain/bench-intent
 */
#include "core/intent_bucket.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <xxhash.h>

enum { ROUNDS = 50, IDS_ADDED = 50, WRITERS = 20 };

static const uint32_t sizes[] = {100, 1000, 10000, 70000};

static int64_t
clock_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static uint64_t
hash_at(uint64_t counter)
{
    return XXH64(&counter, sizeof(counter), 1);
}

/* Returns a copy of bucket with count ids added; the caller releases both. */
static bucket_t
bucket_add(bucket_t *bucket, uint64_t incarnation, uint64_t first,
           uint32_t count)
{
    bucket_t next;
    uint64_t *hashes = calloc(count, sizeof(*hashes));
    for (uint32_t i = 0; i < count; i++) {
        hashes[i] = hash_at(first + i);
    }
    bucket_change_t change = {.incarnation = incarnation,
                              .added = hashes,
                              .added_count = count,
                              .retention = 1};
    if (bucket_apply(bucket, &change, &next, NULL) != STATUS_OK) {
        exit(1);
    }
    free(hashes);
    return next;
}

static bucket_t
bucket_of_size(uint32_t count)
{
    bucket_t bucket;
    bucket_init(&bucket);
    for (uint32_t i = 0; i < WRITERS; i++) {
        bucket_t next = bucket_add(
            &bucket, i + 1, (uint64_t)i * count / WRITERS, count / WRITERS);
        bucket_release(&bucket);
        bucket = next;
    }
    return bucket;
}

int
main(void)
{
    printf("%8s %8s %10s %10s\n", "intents", "bytes", "commit us",
           "decode us");
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        bucket_t bucket = bucket_of_size(sizes[i]);
        int64_t commit_ns = 0;
        int64_t decode_ns = 0;
        size_t size = 0;
        for (uint64_t round = 0; round < ROUNDS; round++) {
            uint8_t *bytes;
            bucket_t read;
            int64_t start_ns = clock_ns();
            bucket_t next =
                bucket_add(&bucket, 1, 1000000 + round * IDS_ADDED, IDS_ADDED);
            if (bucket_encode(&next, &bytes, &size, NULL) != STATUS_OK) {
                return 1;
            }
            int64_t encoded_ns = clock_ns();
            if (bucket_decode(&read, bytes, size, NULL) != STATUS_OK) {
                return 1;
            }
            commit_ns += encoded_ns - start_ns;
            decode_ns += clock_ns() - encoded_ns;
            bucket_release(&next);
            bucket_release(&read);
            free(bytes);
        }
        printf("%8u %8zu %10.1f %10.1f\n", sizes[i], size,
               (double)commit_ns / ROUNDS / 1000,
               (double)decode_ns / ROUNDS / 1000);
        bucket_release(&bucket);
    }
    return 0;
}
