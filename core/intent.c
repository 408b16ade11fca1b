#include "core/intent.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
    uint64_t hashes[INTENT_PENDING_MAX];
    size_t count;
} hash_list_t;

struct intent_log {
    intent_settings_t settings;
    uint32_t bucket;
    bucket_t known; /* a value that the store has held */
    uint64_t index; /* of the key when it held that value */
    bool loaded;    /* known and index are from the last read or write */
    uint32_t generation;
    int64_t generation_seen_us;       /* when generation was first seen */
    int64_t written_us;               /* when the last write began */
    intent_action_kind_t action_kind; /* of the action in flight */
    hash_list_t pending;              /* ids for the next write */
    hash_list_t in_flight;            /* ids of a write not yet confirmed */
    uint64_t in_flight_index;         /* index that the write compared with */
    hash_list_t withdrawn;            /* ids to remove with the next write */
    size_t in_flight_withdrawn;       /* withdrawn ids in the write */
    bucket_t next;                    /* value of the write */
    uint8_t *value;                   /* next, encoded */
    intent_result_t results[2 * INTENT_PENDING_MAX]; /* a ring buffer */
    size_t result_first;
    size_t result_count;
};

intent_log_t *
intent_log_new(const intent_settings_t *settings, uint32_t bucket)
{
    intent_log_t *log = calloc(1, sizeof(*log));
    if (log != NULL) {
        log->settings = *settings;
        log->bucket = bucket;
        log->written_us = -settings->commit_interval_us;
    }
    return log;
}

static void
log_release_next(intent_log_t *log)
{
    bucket_release(&log->next);
    free(log->value);
    log->value = NULL;
}

void
intent_log_free(intent_log_t *log)
{
    if (log != NULL) {
        log_release_next(log);
        bucket_release(&log->known);
        free(log);
    }
}

static void
list_remove_at(hash_list_t *list, size_t at)
{
    list->count--;
    memmove(&list->hashes[at], &list->hashes[at + 1],
            (list->count - at) * sizeof(list->hashes[0]));
}

/* Index of the hash in the list; the list's count if it is not there. */
static size_t
list_find(const hash_list_t *list, uint64_t hash)
{
    size_t at = 0;
    while (at < list->count && list->hashes[at] != hash) {
        at++;
    }
    return at;
}

static bool
list_has(const hash_list_t *list, uint64_t hash)
{
    return list_find(list, hash) < list->count;
}

static void
list_remove_hash(hash_list_t *list, uint64_t hash)
{
    size_t at = list_find(list, hash);
    if (at < list->count) {
        list_remove_at(list, at);
    }
}

static void
log_add_result(intent_log_t *log, uint64_t hash, intent_status_t status,
               uint64_t writer)
{
    size_t capacity = sizeof(log->results) / sizeof(log->results[0]);
    size_t at = (log->result_first + log->result_count) % capacity;
    log->results[at] =
        (intent_result_t){.hash = hash, .status = status, .writer = writer};
    log->result_count++;
}

static void
log_finish_ids(intent_log_t *log, hash_list_t *list, intent_status_t status)
{
    for (size_t i = 0; i < list->count; i++) {
        log_add_result(log, list->hashes[i], status, 0);
    }
    list->count = 0;
}

/*
 * Fails all waiting ids because the store is unusable. A write in flight may
 * still take effect, so its ids are withdrawn.
 */
static void
log_fail_all(intent_log_t *log)
{
    for (size_t i = 0; i < log->in_flight.count; i++) {
        intent_withdraw(log, log->in_flight.hashes[i]);
    }
    log_finish_ids(log, &log->in_flight, INTENT_UNCONFIRMED);
    log_finish_ids(log, &log->pending, INTENT_UNCONFIRMED);
    log->loaded = false;
}

intent_result_t
intent_submit(intent_log_t *log, uint64_t hash)
{
    intent_result_t result = {.hash = hash, .status = INTENT_WAIT};
    uint64_t writer = bucket_writer(&log->known, hash);
    size_t waiting =
        log->pending.count + log->in_flight.count + log->result_count;
    if (writer != 0 && writer != log->settings.incarnation) {
        result.status = INTENT_TAKEN;
        result.writer = writer;
        return result;
    }
    if (list_has(&log->pending, hash) || list_has(&log->in_flight, hash)) {
        return result;
    }
    if (waiting >= INTENT_PENDING_MAX) {
        result.status = INTENT_FULL;
        return result;
    }
    log->pending.hashes[log->pending.count++] = hash;
    return result;
}

void
intent_withdraw(intent_log_t *log, uint64_t hash)
{
    if (log->withdrawn.count < INTENT_PENDING_MAX &&
        !list_has(&log->withdrawn, hash)) {
        log->withdrawn.hashes[log->withdrawn.count++] = hash;
    }
}

/*
 * Whether an id must not be added: another incarnation has its intent, or this
 * incarnation has it and has not withdrawn it, so the id may have run.
 */
static bool
log_is_taken(const intent_log_t *log, uint64_t hash, uint64_t *writer)
{
    *writer = bucket_writer(&log->known, hash);
    if (*writer == 0) {
        return false;
    }
    return *writer != log->settings.incarnation ||
           !list_has(&log->withdrawn, hash);
}

/* Moves the pending ids that are taken to the results. */
static void
log_reject_taken(intent_log_t *log)
{
    size_t kept = 0;
    for (size_t i = 0; i < log->pending.count; i++) {
        uint64_t hash = log->pending.hashes[i];
        uint64_t writer;
        if (log_is_taken(log, hash, &writer)) {
            log_add_result(log, hash, INTENT_TAKEN, writer);
        }
        else {
            log->pending.hashes[kept++] = hash;
        }
    }
    log->pending.count = kept;
}

static status_t
log_prepare_write(intent_log_t *log, int64_t now_us, size_t *size)
{
    int64_t generation_age_us = now_us - log->generation_seen_us;
    bucket_change_t change = {.incarnation = log->settings.incarnation,
                              .added = log->pending.hashes,
                              .added_count = log->pending.count,
                              .removed = log->withdrawn.hashes,
                              .removed_count = log->withdrawn.count,
                              .advance = generation_age_us >=
                                         log->settings.generation_us,
                              .retention = log->settings.retention};
    status_t status = bucket_apply(&log->known, &change, &log->next, NULL);
    if (status == STATUS_OK) {
        status = bucket_encode(&log->next, &log->value, size, NULL);
    }
    if (status != STATUS_OK) {
        log_release_next(log);
    }
    return status;
}

static intent_action_kind_t
log_start_write(intent_log_t *log, int64_t now_us, intent_action_t *action)
{
    size_t size = 0;
    if (log_prepare_write(log, now_us, &size) != STATUS_OK) {
        log_finish_ids(log, &log->pending, INTENT_FULL);
        return INTENT_ACTION_NONE;
    }
    log->in_flight = log->pending;
    log->pending.count = 0;
    log->in_flight_index = log->index;
    log->in_flight_withdrawn = log->withdrawn.count;
    log->written_us = now_us;
    log->action_kind = INTENT_ACTION_WRITE;
    action->index = log->index;
    action->value = log->value;
    action->size = size;
    return INTENT_ACTION_WRITE;
}

intent_action_kind_t
intent_next_action(intent_log_t *log, int64_t now_us, intent_action_t *action)
{
    *action =
        (intent_action_t){.kind = INTENT_ACTION_NONE, .bucket = log->bucket};
    if (log->action_kind != INTENT_ACTION_NONE ||
        log->pending.count + log->in_flight.count == 0) {
        return INTENT_ACTION_NONE;
    }
    if (!log->loaded) {
        log->action_kind = INTENT_ACTION_READ;
        action->kind = INTENT_ACTION_READ;
        return INTENT_ACTION_READ;
    }
    log_reject_taken(log);
    if (log->pending.count > 0 &&
        now_us - log->written_us >= log->settings.commit_interval_us) {
        action->kind = log_start_write(log, now_us, action);
    }
    return action->kind;
}

int64_t
intent_wakeup(const intent_log_t *log, int64_t now_us)
{
    if (log->action_kind != INTENT_ACTION_NONE ||
        log->pending.count + log->in_flight.count == 0) {
        return INT64_MAX;
    }
    int64_t write_us = log->written_us + log->settings.commit_interval_us;
    return log->loaded && write_us > now_us ? write_us : now_us;
}

static void
log_update_generation(intent_log_t *log, int64_t now_us)
{
    if (log->known.generation != log->generation ||
        log->generation_seen_us == 0) {
        log->generation = log->known.generation;
        log->generation_seen_us = now_us;
    }
}

/*
 * Decides on the ids of an unconfirmed write after the value was read back.
 * If the index has changed, neither that write nor an older one can still take
 * effect, so an intent of this incarnation found in the value stays there and
 * counts as confirmed. All other ids go into the next write.
 */
static void
log_resolve_in_flight(intent_log_t *log)
{
    for (size_t i = 0; i < log->in_flight.count; i++) {
        uint64_t hash = log->in_flight.hashes[i];
        bool confirmed =
            log->index != log->in_flight_index &&
            bucket_writer(&log->known, hash) == log->settings.incarnation;
        if (confirmed) {
            list_remove_hash(&log->withdrawn, hash);
            log_add_result(log, hash, INTENT_RUN, 0);
        }
        else {
            log->pending.hashes[log->pending.count++] = hash;
        }
    }
    log->in_flight.count = 0;
}

void
intent_read_done(intent_log_t *log, status_t status, const uint8_t *value,
                 size_t size, uint64_t index, int64_t now_us)
{
    bucket_t read;
    bucket_init(&read);
    log->action_kind = INTENT_ACTION_NONE;
    bool missing = status == STATUS_NOT_FOUND;
    if (status == STATUS_OK) {
        status = bucket_decode(&read, value, size, NULL);
    }
    if (status != STATUS_OK && !missing) {
        log_fail_all(log);
        return;
    }
    bucket_release(&log->known);
    log->known = read;
    log->index = missing ? 0 : index;
    log->loaded = true;
    log_update_generation(log, now_us);
    log_resolve_in_flight(log);
}

static void
log_confirm_write(intent_log_t *log, uint64_t index, int64_t now_us)
{
    bucket_release(&log->known);
    log->known = log->next;
    bucket_init(&log->next);
    log->index = index;
    log->loaded = index != 0;
    log_update_generation(log, now_us);
    log_finish_ids(log, &log->in_flight, INTENT_RUN);
    while (log->in_flight_withdrawn > 0) {
        list_remove_at(&log->withdrawn, --log->in_flight_withdrawn);
    }
}

void
intent_write_done(intent_log_t *log, status_t status, uint64_t index,
                  int64_t now_us)
{
    log->action_kind = INTENT_ACTION_NONE;
    if (status == STATUS_OK) {
        log_confirm_write(log, index, now_us);
    }
    log_release_next(log);
    log->in_flight_withdrawn = 0;
    bool outcome_unknown = status == STATUS_CONFLICT ||
                           status == STATUS_TIMEOUT ||
                           status == STATUS_UNKNOWN;
    if (outcome_unknown) {
        log->loaded = false;
    }
    else if (status != STATUS_OK) {
        log_fail_all(log);
    }
}

bool
intent_next_result(intent_log_t *log, intent_result_t *result)
{
    size_t capacity = sizeof(log->results) / sizeof(log->results[0]);
    if (log->result_count == 0) {
        return false;
    }
    *result = log->results[log->result_first];
    log->result_first = (log->result_first + 1) % capacity;
    log->result_count--;
    return true;
}
