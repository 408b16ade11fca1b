#include "edge/wire.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    HTTP_OK = 200,
    HTTP_UNAVAILABLE = 503,
    US_PER_MS = 1000,
    RETRY_AFTER_MAX_MS = 60000
};

void
wire_id_format(attempt_id_t id, char text[WIRE_ID_SIZE])
{
    snprintf(text, WIRE_ID_SIZE, "%" PRIx64 "-%" PRIx64 "-%" PRIx32,
             id.incarnation, id.sequence, id.attempt);
}

static bool
parse_hex(const char **text, char end, uint64_t max, uint64_t *value)
{
    char *stop;
    *value = strtoull(*text, &stop, 16);
    if (stop == *text || *stop != end || *value > max) {
        return false;
    }
    *text = stop + (end == '\0' ? 0 : 1);
    return true;
}

bool
wire_id_parse(const char *text, attempt_id_t *id)
{
    uint64_t attempt;
    if (strlen(text) >= WIRE_ID_SIZE ||
        !parse_hex(&text, '-', UINT64_MAX, &id->incarnation) ||
        !parse_hex(&text, '-', UINT64_MAX, &id->sequence) ||
        !parse_hex(&text, '\0', UINT32_MAX, &attempt)) {
        return false;
    }
    id->attempt = (uint32_t)attempt;
    return true;
}

static json_t *
request_json(const part_request_t *request, int64_t now_us)
{
    char id[WIRE_ID_SIZE];
    wire_id_format(request->id, id);
    int64_t remaining_ms = (request->deadline_us - now_us) / US_PER_MS;
    return json_pack(
        "{s:s, s:I, s:I, s:I, s:I, s:I, s:b, s:s%}", "id", id, "lo",
        (json_int_t)request->range.lo, "hi", (json_int_t)request->range.hi,
        "version", (json_int_t)request->version, "generation",
        (json_int_t)request->generation, "deadline_ms",
        (json_int_t)(remaining_ms > 0 ? remaining_ms : 0), "once",
        request->once ? 1 : 0, "body",
        request->body_size > 0 ? request->body : "", (int)request->body_size);
}

char *
wire_request_format(const part_request_t *requests, size_t count,
                    int64_t now_us, size_t *size)
{
    json_t *parts = json_array();
    for (size_t i = 0; i < count; i++) {
        json_t *part = request_json(&requests[i], now_us);
        if (part == NULL || json_array_append_new(parts, part) != 0) {
            json_decref(parts);
            return NULL;
        }
    }
    json_t *root =
        json_pack("{s:s, s:s, s:o}", "upstream", requests[0].upstream,
                  "service", requests[0].service, "parts", parts);
    char *text = root == NULL ? NULL : json_dumps(root, JSON_COMPACT);
    json_decref(root);
    *size = text == NULL ? 0 : strlen(text);
    return text;
}

/* Reads an integer from 0 to max; returns false if missing or invalid. */
static bool
member_u64(json_t *object, const char *key, uint64_t max, uint64_t *value)
{
    json_t *member = json_object_get(object, key);
    if (!json_is_integer(member) || json_integer_value(member) < 0 ||
        (uint64_t)json_integer_value(member) > max) {
        return false;
    }
    *value = (uint64_t)json_integer_value(member);
    return true;
}

static bool
member_decimal(json_t *object, const char *key, uint64_t *value)
{
    const char *text = json_string_value(json_object_get(object, key));
    if (text == NULL || *text < '0' || *text > '9') {
        return false;
    }
    char *end;
    *value = strtoull(text, &end, 10);
    return *end == '\0';
}

static uint64_t
member_hex(json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text == NULL ? 0 : strtoull(text, NULL, 16);
}

static void
parse_held(json_t *part, part_reply_t *reply)
{
    json_t *held = json_object_get(part, "held");
    size_t count = json_array_size(held);
    for (size_t i = 0; i < count && i < PART_HELD_MAX; i++) {
        json_int_t version = json_integer_value(json_array_get(held, i));
        reply->held[i] = version > 0 ? (uint64_t)version : 0;
    }
}

static bool
parse_result(json_t *part, part_reply_t *reply)
{
    return member_u64(part, "lo", KEY_END, &reply->range.lo) &&
           member_u64(part, "hi", KEY_END, &reply->range.hi) &&
           member_u64(part, "version", INT64_MAX, &reply->version) &&
           member_u64(part, "generation", INT64_MAX, &reply->generation) &&
           member_u64(part, "count", INT64_MAX, &reply->count) &&
           member_decimal(part, "sum", &reply->sum);
}

typedef struct {
    const char *name;
    part_status_t status;
    bool not_run;
} wire_status_t;

static const wire_status_t wire_statuses[] = {
    {"ok", PART_OK, false},         {"no_version", PART_NO_VERSION, true},
    {"moved", PART_MOVED, true},    {"expired", PART_EXPIRED, true},
    {"shed", PART_SHED, true},      {"cancelled", PART_CANCELLED, false},
    {"failed", PART_FAILED, false},
};

static const wire_status_t *
wire_status_find(const char *name)
{
    size_t count = sizeof(wire_statuses) / sizeof(wire_statuses[0]);
    for (size_t i = 0; name != NULL && i < count; i++) {
        if (strcmp(wire_statuses[i].name, name) == 0) {
            return &wire_statuses[i];
        }
    }
    return NULL;
}

static void
parse_part(json_t *part, part_reply_t *reply)
{
    const char *name = json_string_value(json_object_get(part, "status"));
    const wire_status_t *status = wire_status_find(name);
    if (status == NULL) {
        return;
    }
    if (status->status == PART_OK && !parse_result(part, reply)) {
        return;
    }
    if (status->status == PART_MOVED) {
        member_u64(part, "generation", INT64_MAX, &reply->generation);
    }
    parse_held(part, reply);
    reply->status = status->status;
    reply->not_run = status->not_run;
}

static void
parse_new_partition(json_t *part, const char *service, partition_t *partition)
{
    json_t *shards = json_object_get(part, "shards");
    json_t *generation = json_object_get(part, "generation");
    if (partition->shard_count > 0 || json_array_size(shards) == 0) {
        return;
    }
    json_t *root =
        json_pack("{s:O, s:O}", "generation", generation, "shards", shards);
    char *text = root == NULL ? NULL : json_dumps(root, JSON_COMPACT);
    json_decref(root);
    error_t ignored = ERROR_INIT;
    if (text == NULL || partition_parse(service, text, strlen(text), partition,
                                        &ignored) != STATUS_OK) {
        *partition = (partition_t){.shard_count = 0};
    }
    free(text);
}

static void
parse_parts(json_t *root, const part_request_t *requests, size_t count,
            wire_reply_t *reply, part_reply_t *replies)
{
    json_t *parts = json_object_get(root, "parts");
    size_t index;
    json_t *part;
    json_array_foreach(parts, index, part)
    {
        attempt_id_t id;
        const char *text = json_string_value(json_object_get(part, "id"));
        if (text == NULL || !wire_id_parse(text, &id)) {
            continue;
        }
        for (size_t i = 0; i < count; i++) {
            if (attempt_id_equal(id, requests[i].id)) {
                parse_part(part, &replies[i]);
                parse_new_partition(part, requests[i].service,
                                    &reply->partition);
            }
        }
    }
}

static void
parse_call_members(json_t *root, wire_reply_t *reply)
{
    uint64_t retry_ms = 0;
    reply->boot = member_hex(root, "boot");
    reply->cold = json_is_true(json_object_get(root, "cold"));
    reply->shed = json_is_true(json_object_get(root, "shed"));
    member_u64(root, "retry_after_ms", RETRY_AFTER_MAX_MS, &retry_ms);
    reply->retry_after_us = (int64_t)retry_ms * US_PER_MS;
}

static void
replies_init(const part_request_t *requests, size_t count,
             part_reply_t *replies)
{
    for (size_t i = 0; i < count; i++) {
        replies[i] = (part_reply_t){
            .id = requests[i].id,
            .status = PART_BAD_REPLY,
        };
    }
}

static void
replies_shed(const wire_reply_t *reply, size_t count, part_reply_t *replies)
{
    for (size_t i = 0; i < count; i++) {
        replies[i].status = PART_SHED;
        replies[i].not_run = true;
        replies[i].retry_after_us = reply->retry_after_us;
    }
}

static status_t
parse_root(json_t *root, long http_status, const part_request_t *requests,
           size_t count, wire_reply_t *reply, part_reply_t *replies,
           error_t *err)
{
    parse_call_members(root, reply);
    if (http_status == HTTP_UNAVAILABLE && reply->shed) {
        replies_shed(reply, count, replies);
        return STATUS_OK;
    }
    if (http_status != HTTP_OK) {
        return error_set(err, STATUS_INVALID, "read parts reply",
                         requests[0].upstream, "unexpected HTTP status %ld",
                         http_status);
    }
    const char *name = json_string_value(json_object_get(root, "upstream"));
    if (name == NULL || strcmp(name, requests[0].upstream) != 0) {
        return error_set(
            err, STATUS_INVALID, "read parts reply", requests[0].upstream,
            "found a reply of upstream '%s'", name == NULL ? "" : name);
    }
    parse_parts(root, requests, count, reply, replies);
    return STATUS_OK;
}

status_t
wire_reply_parse(const char *text, size_t size, long http_status,
                 const part_request_t *requests, size_t count,
                 wire_reply_t *reply, part_reply_t *replies, error_t *err)
{
    *reply = (wire_reply_t){.boot = 0};
    replies_init(requests, count, replies);
    json_error_t json_error = {.text = ""};
    json_t *root =
        text == NULL
            ? NULL
            : json_loadb(text, size, JSON_REJECT_DUPLICATES, &json_error);
    if (!json_is_object(root)) {
        json_decref(root);
        return error_set(
            err, STATUS_INVALID, "read parts reply", requests[0].upstream,
            "the reply must be a JSON object: %s", json_error.text);
    }
    status_t status =
        parse_root(root, http_status, requests, count, reply, replies, err);
    json_decref(root);
    return status;
}

bool
wire_health_parse(const char *text, size_t size, bool *cold, bool *draining)
{
    json_t *root = text == NULL
                       ? NULL
                       : json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
    const char *state = json_string_value(json_object_get(root, "state"));
    bool valid = state != NULL;
    if (valid) {
        *cold = strcmp(state, "cold") == 0;
        *draining = strcmp(state, "draining") == 0;
        valid = *cold || *draining || strcmp(state, "ok") == 0;
    }
    json_decref(root);
    return valid;
}
