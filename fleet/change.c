#include "fleet/change.h"

#include "core/name.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static const char step_name[] = "change configuration";

enum { RETRY_DOUBLINGS_MAX = 5 };

typedef enum {
    STATE_READ,    /* the next step is a read */
    STATE_WRITE,   /* the next step is a write */
    STATE_PENDING, /* waiting for the result of a call */
    STATE_DONE     /* the outcome is final */
} state_t;

struct change {
    change_settings_t settings;
    change_edit_t edit;
    config_t *rows;
    config_t *known;
    state_t state;
    int64_t deadline_us;
    int64_t wait_until_us;
    uint64_t jitter_count;
    unsigned int failures; /* consecutive failures */
    unsigned int rereads;
    status_t last_failure;
    /* The write to send next, or the last one sent. */
    config_t *proposed;
    char *text;
    uint64_t index;
    /* Writes without an answer that may still take effect. */
    bool uncertain;
    uint64_t uncertain_index;   /* highest index in their cas= */
    uint64_t uncertain_version; /* lowest version that they would make */
    change_outcome_t outcome;
};

static status_t
edit_check(const change_edit_t *edit, error_t *err)
{
    if (edit->id[0] == '\0' || !label_valid(edit->id, CHANGE_ID_SIZE) ||
        !name_valid(edit->by)) {
        return error_set(err, STATUS_INVALID, step_name, "edit",
                         "change and by must be one or more " LABEL_ALLOWED);
    }
    if (edit->kind != CHANGE_ROWS) {
        if (!name_valid(edit->name)) {
            return error_set(
                err, STATUS_INVALID, step_name, "edit",
                "the name of the zone or VM must be " NAME_ALLOWED);
        }
        return STATUS_OK;
    }
    table_fault_t fault;
    if (config_check(edit->rows, &fault) != STATUS_OK) {
        return error_set(err, STATUS_INVALID, step_name, "edit", "%s",
                         fault.message);
    }
    return STATUS_OK;
}

change_t *
change_new(const change_settings_t *settings, const change_edit_t *edit,
           config_t *known, int64_t now_us, error_t *err)
{
    if (edit_check(edit, err) != STATUS_OK) {
        return NULL;
    }
    change_t *change = calloc(1, sizeof(*change));
    if (change == NULL) {
        error_set(err, STATUS_NO_MEMORY, step_name, "edit", "out of memory");
        return NULL;
    }
    change->settings = *settings;
    change->edit = *edit;
    if (edit->kind == CHANGE_ROWS) {
        change->rows = config_get((config_t *)edit->rows);
    }
    if (known != NULL) {
        change->known = config_get(known);
    }
    change->deadline_us = now_us + settings->timeout_us;
    change->wait_until_us = now_us;
    change->last_failure = STATUS_UNAVAILABLE;
    return change;
}

static void
proposal_drop(change_t *change)
{
    config_put(change->proposed);
    free(change->text);
    change->proposed = NULL;
    change->text = NULL;
}

void
change_free(change_t *change)
{
    if (change == NULL) {
        return;
    }
    proposal_drop(change);
    config_put(change->outcome.config);
    config_put(change->rows);
    config_put(change->known);
    free(change);
}

const change_outcome_t *
change_outcome(const change_t *change)
{
    return &change->outcome;
}

static void
change_finish(change_t *change, status_t status)
{
    change->state = STATE_DONE;
    change->outcome.status = status;
}

/* End with acceptance: config has the change in its history, as `version`. */
static void
change_accept(change_t *change, config_t *config, uint64_t version)
{
    change->outcome.config = config_get(config);
    change->outcome.version = version;
    change_finish(change, STATUS_OK);
}

/*
 * End without acceptance. The outcome is STATUS_UNKNOWN if a write may still
 * take effect.
 */
static void
change_refuse(change_t *change, status_t status, const char *message)
{
    error_t *err = &change->outcome.err;
    if (change->uncertain) {
        status = STATUS_UNKNOWN;
        error_set(err, status, step_name, "store",
                  "the store did not confirm the change, "
                  "which may be in force: %s",
                  message);
    }
    else {
        error_set(err, status, step_name, "store", "%s", message);
    }
    change_finish(change, status);
}

/* Schedule another read, with exponential backoff and jitter. */
static void
change_retry(change_t *change, int64_t now_us)
{
    unsigned int doublings = change->failures < RETRY_DOUBLINGS_MAX
                                 ? change->failures
                                 : RETRY_DOUBLINGS_MAX;
    int64_t pause_us = change->settings.retry_us << doublings;
    uint64_t jitter =
        XXH64(&change->jitter_count, sizeof(change->jitter_count),
              change->settings.seed);
    change->jitter_count++;
    pause_us = pause_us / 2 + (int64_t)(jitter % (uint64_t)(pause_us + 1));
    change->failures++;
    change->wait_until_us = now_us + pause_us;
    change->state = STATE_READ;
}

change_step_t
change_next(change_t *change, int64_t now_us, change_request_t *request)
{
    *request = (change_request_t){0};
    if (change->state == STATE_DONE) {
        return CHANGE_DONE;
    }
    if (change->state == STATE_PENDING) {
        return CHANGE_WAIT;
    }
    if (now_us >= change->deadline_us) {
        change_refuse(
            change, change->last_failure,
            "the deadline passed before the store accepted the change");
        return CHANGE_DONE;
    }
    if (now_us < change->wait_until_us) {
        return CHANGE_WAIT;
    }
    bool write = change->state == STATE_WRITE;
    change->state = STATE_PENDING;
    if (!write) {
        change->outcome.reads++;
        return CHANGE_READ;
    }
    change->outcome.writes++;
    request->index = change->index;
    request->text = change->text;
    request->size = strlen(change->text);
    return CHANGE_WRITE;
}

int64_t
change_wakeup(const change_t *change)
{
    return change->wait_until_us < change->deadline_us ? change->wait_until_us
                                                       : change->deadline_us;
}

static status_t
config_take_rows(config_t *config, const config_t *from)
{
    config_t *copy = config_copy(from);
    if (copy == NULL) {
        return STATUS_NO_MEMORY;
    }
    table_row_t *rows = config->rows;
    size_t count = config->row_count;
    config->rows = copy->rows;
    config->row_count = copy->row_count;
    copy->rows = rows;
    copy->row_count = count;
    config_put(copy);
    return STATUS_OK;
}

static status_t
edit_apply(const change_t *change, config_t *config, error_t *err)
{
    const change_edit_t *edit = &change->edit;
    switch (edit->kind) {
    case CHANGE_ROWS:
        return config_take_rows(config, change->rows);
    case CHANGE_ZONE:
        return config_set_zone_out(config, edit->name, edit->out, err);
    default:
        return config_set_vm_out(config, edit->name, edit->out, err);
    }
}

/* Prepare the write of the next version of base at this index. */
static void
change_propose(change_t *change, const config_t *base, uint64_t index)
{
    proposal_drop(change);
    config_t *next = base != NULL ? config_copy(base) : config_new();
    error_t problem = ERROR_INIT;
    status_t status =
        next != NULL ? edit_apply(change, next, &problem) : STATUS_NO_MEMORY;
    if (status != STATUS_OK) {
        config_put(next);
        change_refuse(change, status, problem.message);
        return;
    }
    config_advance(next, change->edit.kind, change->edit.id, change->edit.by);
    change->proposed = next;
    change->text = config_format_json(next);
    change->index = index;
    if (change->text == NULL) {
        change_refuse(change, STATUS_NO_MEMORY, "out of memory");
        return;
    }
    if (strlen(change->text) > CONFIG_TEXT_MAX) {
        change_refuse(change, STATUS_TOO_LARGE,
                      "the configuration document would exceed 1000000 bytes");
        return;
    }
    change->state = STATE_WRITE;
}

/*
 * Find a change of rows after based_on; false when there is none. If the
 * history does not reach back that far, the newest change is reported.
 */
static bool
conflict_find(const change_t *change, const config_t *base,
              change_record_t *other)
{
    uint64_t based_on = change->edit.based_on;
    for (size_t i = base->history_count; i > 0; i--) {
        const change_record_t *record = &base->history[i - 1];
        if (record->version > based_on && record->kind == CHANGE_ROWS) {
            *other = *record;
            return true;
        }
    }
    if (config_history_covers(base, based_on + 1)) {
        return false;
    }
    *other = (change_record_t){.version = base->version};
    memcpy(other->change_id, base->change_id, sizeof(other->change_id));
    memcpy(other->by, base->by, sizeof(other->by));
    return true;
}

static void
change_refuse_conflict(change_t *change, config_t *base)
{
    change->outcome.config = config_get(base);
    change_refuse(change, STATUS_CONFLICT,
                  "another change has changed the rows since based_on");
}

/*
 * Whether a change of rows may be applied to base. If not, the next step has
 * been decided: a retry, or the end of the change.
 */
static bool
change_check_rows(change_t *change, config_t *base, int64_t now_us)
{
    uint64_t version = base != NULL ? base->version : 0;
    if (change->edit.based_on > version) {
        if (change->rereads++ < change->settings.rereads) {
            change_retry(change, now_us);
            return false;
        }
        change_refuse(change, STATUS_INVALID,
                      "based_on is newer than the version in the store");
        return false;
    }
    if (base == NULL ||
        !conflict_find(change, base, &change->outcome.conflicting)) {
        return true;
    }
    change_refuse_conflict(change, base);
    return false;
}

/*
 * Find out from a document read whether writes without an answer took effect.
 * Returns false if the next step has been decided: a retry, or the end of the
 * change.
 */
static bool
change_resolve_uncertain(change_t *change, const config_t *read,
                         uint64_t index, int64_t now_us)
{
    if (!change->uncertain || index == change->uncertain_index) {
        /* The next write uses the same index, so at most one succeeds. */
        return true;
    }
    if (index < change->uncertain_index) {
        change_retry(change, now_us); /* a stale read */
        return false;
    }
    if (read == NULL ||
        !config_history_covers(read, change->uncertain_version)) {
        change_refuse(change, STATUS_UNKNOWN,
                      "the history no longer reaches back to this change");
        return false;
    }
    change->uncertain = false;
    return true;
}

/* Accept if config, which may be NULL, has this change in its history. */
static bool
change_find_own(change_t *change, config_t *config)
{
    const change_record_t *own =
        config != NULL ? config_find_change(config, change->edit.id) : NULL;
    if (own == NULL) {
        return false;
    }
    change_accept(change, config, own->version);
    return true;
}

/*
 * Decide the next step from a document read, which is NULL when the store has
 * none.
 */
static void
change_decide(change_t *change, config_t *read, uint64_t index, int64_t now_us)
{
    if (change_find_own(change, read) ||
        change_find_own(change, change->known)) {
        return;
    }
    if (!change_resolve_uncertain(change, read, index, now_us)) {
        return;
    }
    config_t *base = read;
    if (change->known != NULL &&
        (read == NULL || read->version < change->known->version)) {
        base = change->known;
    }
    if (change->edit.kind == CHANGE_ROWS &&
        !change_check_rows(change, base, now_us)) {
        return;
    }
    change_propose(change, base, index);
}

void
change_read_result(change_t *change, status_t status, uint64_t index,
                   const char *text, size_t size, int64_t now_us)
{
    if (status == STATUS_NOT_FOUND) {
        change_decide(change, NULL, 0, now_us);
        return;
    }
    if (status != STATUS_OK) {
        change->last_failure =
            status == STATUS_DENIED ? STATUS_DENIED : STATUS_UNAVAILABLE;
        change_retry(change, now_us);
        return;
    }
    config_t *read;
    error_t problem = ERROR_INIT;
    status = config_parse_json(text, size, &read, &problem);
    if (status != STATUS_OK) {
        change_refuse(change, status, error_text(&problem));
        return;
    }
    change_decide(change, read, index, now_us);
    config_put(read);
}

/* Note that the last write may still take effect. */
static void
uncertain_add(change_t *change)
{
    if (!change->uncertain ||
        change->proposed->version < change->uncertain_version) {
        change->uncertain_version = change->proposed->version;
    }
    if (!change->uncertain || change->index > change->uncertain_index) {
        change->uncertain_index = change->index;
    }
    change->uncertain = true;
}

void
change_write_result(change_t *change, status_t status, int64_t now_us)
{
    switch (status) {
    case STATUS_OK:
        change_accept(change, change->proposed, change->proposed->version);
        return;
    case STATUS_CONFLICT:
        change_retry(change, now_us);
        return;
    case STATUS_TIMEOUT:
    case STATUS_UNKNOWN:
        uncertain_add(change);
        change->last_failure = STATUS_UNAVAILABLE;
        change_retry(change, now_us);
        return;
    case STATUS_UNAVAILABLE:
        change->last_failure = STATUS_UNAVAILABLE;
        change_retry(change, now_us);
        return;
    default:
        change_refuse(change, status, "the store refused the write");
        return;
    }
}
