#include "core/once.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define NO_ENTRY UINT32_MAX

enum { SWEEP_ENTRIES = 4 /* entries checked for expiry by each new entry */ };

typedef enum { ENTRY_FREE, ENTRY_RUNNING, ENTRY_FINISHED } entry_state_t;

typedef struct {
    entry_state_t state;
    once_key_t key;
    uint64_t content; /* hash of the request's content */
    int64_t keep_until_us;
    uint32_t next; /* in the hash chain or free list; or NO_ENTRY */
    once_outcome_t outcome;
} once_entry_t;

struct once {
    once_settings_t settings;
    uint64_t next_sequence;
    once_entry_t *entries;
    uint32_t *buckets;     /* first entry of each hash chain */
    uint32_t bucket_count; /* a power of two */
    uint32_t first_free;   /* head of the free list */
    uint32_t sweep_index;  /* entry that the last sweep ended at */
};

once_t *
once_new(const once_settings_t *settings)
{
    once_t *once = calloc(1, sizeof(*once));
    if (once == NULL) {
        return NULL;
    }
    once->settings = *settings;
    once->bucket_count = 16;
    while (once->bucket_count < settings->capacity) {
        once->bucket_count *= 2;
    }
    once->entries = calloc(settings->capacity + 1, sizeof(*once->entries));
    once->buckets = malloc(once->bucket_count * sizeof(*once->buckets));
    if (once->entries == NULL || once->buckets == NULL) {
        once_free(once);
        return NULL;
    }
    memset(once->buckets, 0xff, once->bucket_count * sizeof(*once->buckets));
    once->first_free = NO_ENTRY;
    for (uint32_t i = settings->capacity; i > 0; i--) {
        once->entries[i - 1].next = once->first_free;
        once->first_free = i - 1;
    }
    return once;
}

void
once_free(once_t *once)
{
    if (once != NULL) {
        free(once->entries);
        free(once->buckets);
        free(once);
    }
}

ticket_t
once_issue_ticket(once_t *once, int64_t now_us)
{
    ticket_t ticket = {.incarnation = once->settings.incarnation,
                       .sequence = once->next_sequence++,
                       .expires_us = now_us + once->settings.lifetime_us};
    memcpy(ticket.daemon, once->settings.daemon, sizeof(ticket.daemon));
    return ticket;
}

static uint32_t *
entry_bucket(const once_t *once, once_key_t key)
{
    uint64_t hash = XXH64(&key.value, sizeof(key.value), key.by_id ? 1 : 0);
    return &once->buckets[hash & (once->bucket_count - 1)];
}

static uint32_t
entry_find(const once_t *once, once_key_t key)
{
    uint32_t i = *entry_bucket(once, key);
    while (i != NO_ENTRY && (once->entries[i].key.value != key.value ||
                             once->entries[i].key.by_id != key.by_id)) {
        i = once->entries[i].next;
    }
    return i;
}

static void
entry_release(once_t *once, uint32_t index)
{
    uint32_t *link = entry_bucket(once, once->entries[index].key);
    while (*link != index) {
        link = &once->entries[*link].next;
    }
    *link = once->entries[index].next;
    once->entries[index].state = ENTRY_FREE;
    once->entries[index].next = once->first_free;
    once->first_free = index;
}

/* Checks the next count entries and releases the expired ones. */
static void
once_sweep(once_t *once, uint32_t count, int64_t now_us)
{
    for (uint32_t i = 0; i < count; i++) {
        once->sweep_index = (once->sweep_index + 1) % once->settings.capacity;
        const once_entry_t *entry = &once->entries[once->sweep_index];
        if (entry->state == ENTRY_FINISHED && entry->keep_until_us <= now_us) {
            entry_release(once, once->sweep_index);
        }
    }
}

static bool
entry_add(once_t *once, once_key_t key, uint64_t content,
          int64_t keep_until_us, int64_t now_us)
{
    once_sweep(once, SWEEP_ENTRIES, now_us);
    if (once->first_free == NO_ENTRY) {
        once_sweep(once, once->settings.capacity, now_us);
    }
    if (once->first_free == NO_ENTRY) {
        return false;
    }
    uint32_t index = once->first_free;
    once_entry_t *entry = &once->entries[index];
    once->first_free = entry->next;
    uint32_t *bucket = entry_bucket(once, key);
    *entry = (once_entry_t){.state = ENTRY_RUNNING,
                            .key = key,
                            .content = content,
                            .keep_until_us = keep_until_us,
                            .next = *bucket};
    *bucket = index;
    return true;
}

static once_result_t
entry_result(const once_entry_t *entry, uint64_t content,
             once_outcome_t *outcome)
{
    if (entry->content != content) {
        return ONCE_MISMATCH;
    }
    if (entry->state == ENTRY_RUNNING) {
        return ONCE_RUNNING;
    }
    *outcome = entry->outcome;
    return ONCE_FINISHED;
}

once_result_t
once_begin_ticket(once_t *once, const ticket_t *ticket, uint64_t content,
                  int64_t now_us, once_key_t *key, once_outcome_t *outcome)
{
    const once_settings_t *settings = &once->settings;
    if (strcmp(ticket->daemon, settings->daemon) != 0) {
        return ONCE_OTHER_DAEMON;
    }
    if (ticket->incarnation != settings->incarnation) {
        return ONCE_DEAD_INCARNATION;
    }
    once_key_t entry_key = {.by_id = false, .value = ticket->sequence};
    uint32_t index = entry_find(once, entry_key);
    if (index != NO_ENTRY) {
        return entry_result(&once->entries[index], content, outcome);
    }
    int64_t keep_until_us = ticket->expires_us + settings->grace_us;
    if (now_us >= keep_until_us) {
        return ONCE_NO_RECORD;
    }
    if (now_us >= ticket->expires_us) {
        return ONCE_EXPIRED;
    }
    if (!entry_add(once, entry_key, content, keep_until_us, now_us)) {
        return ONCE_FULL;
    }
    *key = entry_key;
    return ONCE_RUN;
}

once_result_t
once_begin_id(once_t *once, uint64_t hash, uint64_t content, int64_t now_us,
              once_key_t *key, once_outcome_t *outcome)
{
    once_key_t entry_key = {.by_id = true, .value = hash};
    uint32_t index = entry_find(once, entry_key);
    if (index != NO_ENTRY) {
        return entry_result(&once->entries[index], content, outcome);
    }
    int64_t keep_until_us =
        now_us + once->settings.lifetime_us + once->settings.grace_us;
    if (!entry_add(once, entry_key, content, keep_until_us, now_us)) {
        return ONCE_FULL;
    }
    *key = entry_key;
    return ONCE_RUN;
}

void
once_end(once_t *once, once_key_t key, const once_outcome_t *outcome,
         int64_t now_us)
{
    uint32_t index = entry_find(once, key);
    if (index == NO_ENTRY || once->entries[index].state != ENTRY_RUNNING) {
        return;
    }
    if (outcome->outcome == OUTCOME_NOT_RUN) {
        entry_release(once, index);
        return;
    }
    once_entry_t *entry = &once->entries[index];
    int64_t grace_end_us = now_us + once->settings.grace_us;
    entry->state = ENTRY_FINISHED;
    entry->outcome = *outcome;
    if (entry->keep_until_us < grace_end_us) {
        entry->keep_until_us = grace_end_us;
    }
}

uint64_t
once_hash_id(const char *service, const char *tenant, const char *id)
{
    uint64_t hash = XXH64(service, strlen(service) + 1, 0);
    hash = XXH64(tenant, strlen(tenant) + 1, hash);
    return XXH64(id, strlen(id), hash);
}
