#include "daemon/explain.h"
#include "daemon/answer_json.h"

#include <stdlib.h>

bool
explain_ring_init(explain_ring_t *ring)
{
    ring->records = calloc(EXPLAIN_RECORDS_MAX, sizeof(*ring->records));
    ring->next = 0;
    return ring->records != NULL;
}

void
explain_ring_release(explain_ring_t *ring)
{
    free(ring->records);
    ring->records = NULL;
}

explain_record_t *
explain_ring_next(explain_ring_t *ring)
{
    explain_record_t *record = &ring->records[ring->next];
    ring->next = (ring->next + 1) % EXPLAIN_RECORDS_MAX;
    *record = (explain_record_t){.sequence = 0};
    return record;
}

const explain_record_t *
explain_ring_find(const explain_ring_t *ring, uint64_t sequence)
{
    for (size_t i = 0; i < EXPLAIN_RECORDS_MAX; i++) {
        if (ring->records[i].sequence == sequence && sequence != 0) {
            return &ring->records[i];
        }
    }
    return NULL;
}

static json_t *
attempt_json(const explain_attempt_t *entry, int64_t started_us)
{
    const attempt_t *attempt = &entry->attempt;
    bool ended = attempt->ended_us != 0;
    return json_pack(
        "{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:s, s:b, s:b}", "upstream",
        entry->upstream, "owner", entry->owner, "lo",
        (json_int_t)attempt->range.lo, "hi", (json_int_t)attempt->range.hi,
        "version", (json_int_t)attempt->version, "sent_us",
        (json_int_t)(attempt->sent_us - started_us), "took_us",
        (json_int_t)(ended ? attempt->ended_us - attempt->sent_us : -1),
        "status", ended ? part_status_name(attempt->status) : "given_up",
        "hedge", attempt->hedge, "not_run", ended && attempt->not_run);
}

json_t *
explain_json(const explain_record_t *record, uint64_t incarnation)
{
    json_t *root = answer_json(&record->answer, incarnation, record->sequence,
                               record->ended_us - record->started_us);
    json_t *attempts = json_array();
    for (size_t i = 0; i < record->attempt_count; i++) {
        json_array_append_new(
            attempts, attempt_json(&record->attempts[i], record->started_us));
    }
    json_t *details = json_pack(
        "{s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:o}", "service", record->service,
        "tenant", record->tenant, "once", record->once, "config_version",
        (json_int_t)record->config_version, "roster_version",
        (json_int_t)record->roster_version, "retries",
        (json_int_t)record->answer.retries, "restarts",
        (json_int_t)record->answer.restarts, "trace", attempts);
    if (root == NULL || details == NULL ||
        json_object_update(root, details) != 0) {
        json_decref(root);
        root = NULL;
    }
    json_decref(details);
    return root;
}
