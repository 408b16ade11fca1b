#include "core/partition.h"

#include "core/name.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static const char parse_step[] = "parse partition";

enum {
    PARTITION_TEXT_MAX = 1000000, /* bytes */
    GROUP_MAX = 65535
};

status_t
partition_check(const partition_t *partition, error_t *err)
{
    const char *service = partition->service;
    if (!name_valid(service)) {
        return error_set(err, STATUS_INVALID, "check partition", "service",
                         "the service must be " NAME_ALLOWED);
    }
    if (partition->shard_count == 0 || partition->shard_count > SHARDS_MAX) {
        return error_set(err, STATUS_INVALID, "check partition", service,
                         "found %zu shards, expected 1 to %d",
                         partition->shard_count, SHARDS_MAX);
    }
    uint64_t next = 0;
    for (size_t i = 0; i < partition->shard_count; i++) {
        key_range_t range = partition->shards[i].range;
        if (range.lo != next || range.hi <= range.lo || range.hi > KEY_END) {
            return error_set(err, STATUS_INVALID, "check partition", service,
                             "shard %zu: found [%" PRIu64 ", %" PRIu64
                             "), expected a non-empty range from %" PRIu64
                             " to at most %" PRIu64,
                             i + 1, range.lo, range.hi, next, KEY_END);
        }
        next = range.hi;
    }
    if (next != KEY_END) {
        return error_set(err, STATUS_INVALID, "check partition", service,
                         "the last shard ends at %" PRIu64
                         ", expected %" PRIu64,
                         next, KEY_END);
    }
    return STATUS_OK;
}

static bool
number_read(const json_t *object, const char *key, uint64_t max, uint64_t *out)
{
    const json_t *value = json_object_get(object, key);
    json_int_t found = json_integer_value(value);
    if (!json_is_integer(value) || found < 0 || (uint64_t)found > max) {
        return false;
    }
    *out = (uint64_t)found;
    return true;
}

static int
shard_compare(const void *left, const void *right)
{
    const shard_t *a = left;
    const shard_t *b = right;
    return (a->range.lo > b->range.lo) - (a->range.lo < b->range.lo);
}

static status_t
shards_read(const char *service, const json_t *shards, partition_t *partition,
            error_t *err)
{
    size_t count = json_array_size(shards);
    if (count == 0 || count > SHARDS_MAX) {
        return error_set(err, STATUS_INVALID, parse_step, service,
                         "found %zu shards, expected 1 to %d", count,
                         SHARDS_MAX);
    }
    partition->shards = calloc(count, sizeof(*partition->shards));
    if (partition->shards == NULL) {
        return error_set(err, STATUS_NO_MEMORY, parse_step, service,
                         "out of memory");
    }
    partition->shard_count = count;
    for (size_t i = 0; i < count; i++) {
        const json_t *item = json_array_get(shards, i);
        shard_t *shard = &partition->shards[i];
        uint64_t group = 0;
        if (!number_read(item, "lo", KEY_END, &shard->range.lo) ||
            !number_read(item, "hi", KEY_END, &shard->range.hi) ||
            !number_read(item, "group", GROUP_MAX, &group)) {
            return error_set(err, STATUS_INVALID, parse_step, service,
                             "shard %zu: lo and hi must be keys up to "
                             "%" PRIu64 ", group 0 to %d",
                             i + 1, KEY_END, GROUP_MAX);
        }
        shard->group = (uint16_t)group;
    }
    qsort(partition->shards, count, sizeof(*partition->shards), shard_compare);
    return partition_check(partition, err);
}

static status_t
document_read(const char *service, const json_t *document,
              partition_t *partition, error_t *err)
{
    if (!number_read(document, "generation", INT64_MAX,
                     &partition->generation) ||
        partition->generation == 0) {
        return error_set(err, STATUS_INVALID, parse_step, service,
                         "generation must be a whole number from 1");
    }
    return shards_read(service, json_object_get(document, "shards"), partition,
                       err);
}

status_t
partition_parse(const char *service, const char *text, size_t size,
                partition_t *partition, error_t *err)
{
    *partition = (partition_t){0};
    if (!name_valid(service)) {
        return error_set(err, STATUS_INVALID, parse_step, "service",
                         "the service must be " NAME_ALLOWED);
    }
    if (size > PARTITION_TEXT_MAX) {
        return error_set(err, STATUS_TOO_LARGE, parse_step, service,
                         "found %zu bytes, the maximum is %d", size,
                         PARTITION_TEXT_MAX);
    }
    json_error_t problem;
    json_t *document =
        json_loadb(text, size, JSON_REJECT_DUPLICATES, &problem);
    if (document == NULL) {
        return error_set(err, STATUS_INVALID, parse_step, service,
                         "line %d: invalid JSON or a duplicate key",
                         problem.line);
    }
    memcpy(partition->service, service, strlen(service) + 1);
    status_t status = document_read(service, document, partition, err);
    json_decref(document);
    if (status != STATUS_OK) {
        free(partition->shards);
        *partition = (partition_t){0};
    }
    return status;
}
