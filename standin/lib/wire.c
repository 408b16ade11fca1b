#include "standin/lib/wire.h"

#include "standin/lib/answer.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

enum { TEXT_SIZE = 24, SHED_RETRY_MS = 5, US_PER_MS = 1000 };

static bool
parse_part(const json_t *json, int64_t now_us, run_part_t *part)
{
    const char *id = NULL;
    const char *body = "";
    json_int_t lo = 0;
    json_int_t hi = 0;
    json_int_t version = 0;
    json_int_t generation = 0;
    double deadline_ms = 0;
    int once = 0;
    if (json_unpack((json_t *)json, "{s:s, s:I, s:I, s?I, s?I, s:F, s?b, s?s}",
                    "id", &id, "lo", &lo, "hi", &hi, "version", &version,
                    "generation", &generation, "deadline_ms", &deadline_ms,
                    "once", &once, "body", &body) != 0) {
        return false;
    }
    *part = (run_part_t){.range = {.lo = (uint64_t)lo, .hi = (uint64_t)hi},
                         .version = (uint64_t)version,
                         .generation = (uint64_t)generation,
                         .deadline_us =
                             now_us + (int64_t)(deadline_ms * US_PER_MS),
                         .once = once != 0,
                         .body = body};
    (void)snprintf(part->id, sizeof(part->id), "%s", id);
    return lo >= 0 && lo < hi && part->range.hi <= KEY_END;
}

bool
wire_parse_parts(const json_t *body, const char *upstream, int64_t now_us,
                 run_part_t *parts, size_t *count)
{
    const char *name = json_string_value(json_object_get(body, "upstream"));
    const json_t *list = json_object_get(body, "parts");
    *count = json_array_size(list);
    if (name == NULL || strcmp(name, upstream) != 0 || *count == 0 ||
        *count > REPLICA_PARTS_MAX) {
        return false;
    }
    for (size_t i = 0; i < *count; i++) {
        if (!parse_part(json_array_get(list, i), now_us, &parts[i])) {
            return false;
        }
    }
    return true;
}

static json_t *
format_held(const replica_state_t *state)
{
    json_t *held = json_array();
    for (uint64_t i = 0; i < state->held && i < state->version; i++) {
        json_array_append_new(held,
                              json_integer((json_int_t)(state->version - i)));
    }
    return held;
}

static json_t *
format_shard(shard_t shard)
{
    return json_pack("{s:I, s:I, s:i}", "lo", (json_int_t)shard.range.lo, "hi",
                     (json_int_t)shard.range.hi, "group", (int)shard.group);
}

/* Returns an array of all shards of a generation. */
static json_t *
format_shards(const service_plan_t *service, uint64_t generation)
{
    json_t *list = json_array();
    size_t count = plan_shard_count(service, generation);
    for (size_t i = 0; i < count; i++) {
        shard_t shard = plan_shard(service, generation, i);
        json_array_append_new(list, format_shard(shard));
    }
    return list;
}

static void
format_answer(const replica_t *replica, const run_part_t *part, json_t *json)
{
    char sum[TEXT_SIZE];
    (void)snprintf(sum, sizeof(sum), "%" PRIu64,
                   answer_sum(part->range, part->version));
    json_t *fields = json_pack(
        "{s:I, s:I, s:I, s:I, s:o, s:I, s:s}", "lo",
        (json_int_t)part->range.lo, "hi", (json_int_t)part->range.hi,
        "version", (json_int_t)part->version, "generation",
        (json_int_t)replica->state.generation, "held",
        format_held(&replica->state), "count",
        (json_int_t)answer_count(part->range, part->version), "sum", sum);
    json_object_update_new(json, fields);
}

static void
format_moved(const replica_t *replica, json_t *json)
{
    uint64_t generation = replica->state.generation;
    json_object_set_new(json, "generation",
                        json_integer((json_int_t)generation));
    json_object_set_new(json, "shards",
                        format_shards(replica->plan->service, generation));
}

/*
 * Adds the part's id. With the wrong_id fault the id is changed, as if the
 * reply belonged to another part.
 */
static void
format_id(const replica_t *replica, const run_part_t *part, json_t *json)
{
    char id[REPLICA_PART_ID_SIZE];
    (void)snprintf(id, sizeof(id), "%s", part->id);
    if (replica->state.wrong_id && id[0] != '\0') {
        id[0] = id[0] == '0' ? '1' : '0';
    }
    json_object_set_new(json, "id", json_string(id));
}

static json_t *
format_part(const replica_t *replica, const run_part_t *part)
{
    json_t *json = json_pack("{s:s}", "status", run_status_name(part->status));
    format_id(replica, part, json);
    if (part->status == RUN_OK) {
        format_answer(replica, part, json);
    }
    if (part->status == RUN_MOVED) {
        format_moved(replica, json);
    }
    if (part->status == RUN_NO_VERSION) {
        json_object_set_new(json, "held", format_held(&replica->state));
    }
    return json;
}

static json_t *
format_boot(const replica_t *replica)
{
    char boot[TEXT_SIZE];
    (void)snprintf(boot, sizeof(boot), "%016" PRIx64, replica->boot);
    return json_string(boot);
}

json_t *
wire_format_reply(const replica_t *replica, const run_part_t *parts,
                  size_t count)
{
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(list, format_part(replica, &parts[i]));
    }
    return json_pack("{s:s, s:o, s:b, s:o}", "upstream", replica->plan->name,
                     "boot", format_boot(replica), "cold",
                     (int)replica->state.cold, "parts", list);
}

json_t *
wire_format_shed(const replica_t *replica)
{
    return json_pack("{s:o, s:b, s:b, s:i}", "boot", format_boot(replica),
                     "shed", 1, "cold", (int)replica->state.cold,
                     "retry_after_ms", SHED_RETRY_MS);
}

json_t *
wire_format_health(const replica_t *replica)
{
    const char *state = replica->state.drain  ? "draining"
                        : replica->state.cold ? "cold"
                                              : "ok";
    double load =
        (double)replica->running / (double)replica->plan->service->slots;
    return json_pack("{s:s, s:s, s:f, s:o}", "upstream", replica->plan->name,
                     "state", state, "load", load, "boot",
                     format_boot(replica));
}

typedef enum { FIELD_BOOL, FIELD_INTEGER, FIELD_REAL } field_type_t;

typedef struct {
    const char *name;
    field_type_t type;
    size_t offset;
} field_t;

#define STATE_FIELD(kind, field)                                              \
    {                                                                         \
        .name = #field, .type = (kind),                                       \
        .offset = offsetof(replica_state_t, field)                            \
    }

static const field_t fields[] = {
    STATE_FIELD(FIELD_BOOL, down),
    STATE_FIELD(FIELD_BOOL, hang),
    STATE_FIELD(FIELD_BOOL, cold),
    STATE_FIELD(FIELD_BOOL, drain),
    STATE_FIELD(FIELD_BOOL, gone),
    STATE_FIELD(FIELD_BOOL, shed),
    STATE_FIELD(FIELD_BOOL, truncate),
    STATE_FIELD(FIELD_BOOL, wrong_id),
    STATE_FIELD(FIELD_BOOL, close_after_run),
    STATE_FIELD(FIELD_REAL, slow),
    STATE_FIELD(FIELD_INTEGER, version),
    STATE_FIELD(FIELD_INTEGER, held),
    STATE_FIELD(FIELD_INTEGER, generation),
};

static void
apply_field(const field_t *field, const json_t *value, replica_state_t *state)
{
    void *target = (char *)state + field->offset;
    if (field->type == FIELD_BOOL) {
        *(bool *)target = json_is_true(value);
    }
    else if (field->type == FIELD_INTEGER) {
        *(uint64_t *)target = (uint64_t)json_integer_value(value);
    }
    else {
        *(double *)target = json_number_value(value);
    }
}

void
wire_apply_state(const json_t *set, replica_state_t *state)
{
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        const json_t *value = json_object_get(set, fields[i].name);
        if (value != NULL) {
            apply_field(&fields[i], value, state);
        }
    }
}

json_t *
wire_format_partition(const service_plan_t *service, uint64_t generation)
{
    return json_pack("{s:I, s:o}", "generation", (json_int_t)generation,
                     "shards", format_shards(service, generation));
}

json_t *
wire_format_vm(const replica_t *replica)
{
    const upstream_plan_t *plan = replica->plan;
    return json_pack(
        "{s:s, s:s, s:s, s:i, s:s, s:s, s:i, s:s}", "name", plan->name, "role",
        "upstream", "service", plan->service->name, "group", (int)plan->group,
        "zone", plan->zone, "address", "127.0.0.1", "port", (int)plan->port,
        "state", replica->state.drain ? "leaving" : "live");
}
