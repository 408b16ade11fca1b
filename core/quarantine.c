#include "core/quarantine.h"

#include <stdlib.h>
#include <string.h>

enum {
    SETS = 256,
    WAYS = 8,
    NEW_MAX = 64 /* new fingerprints kept for quarantine_take_new */
};

typedef struct {
    uint64_t fingerprint;    /* 0: the entry is free */
    uint32_t shared_crashes; /* crashes while other parts ran too */
    uint32_t alone_crashes;
    bool claimed;
    int64_t refused_until_us; /* 0: never refused */
    int64_t last_counted_us;  /* time of the last counted crash; 0: none */
    uint64_t last_update;     /* sequence number, for replacement */
} quarantine_entry_t;

struct quarantine {
    uint32_t limit;
    int64_t quarantine_us;
    int64_t burst_us;
    uint64_t update_count;
    size_t used;
    size_t new_count;
    uint64_t new_fingerprints[NEW_MAX];
    quarantine_entry_t entries[SETS][WAYS];
};

quarantine_t *
quarantine_new(uint32_t limit, int64_t quarantine_us, int64_t burst_us)
{
    quarantine_t *quarantine = calloc(1, sizeof(*quarantine));
    if (quarantine != NULL) {
        quarantine->limit = limit > 0 ? limit : 1;
        quarantine->quarantine_us = quarantine_us;
        quarantine->burst_us = burst_us;
    }
    return quarantine;
}

void
quarantine_free(quarantine_t *quarantine)
{
    free(quarantine);
}

static size_t
entry_set(uint64_t fingerprint)
{
    return (fingerprint ^ (fingerprint >> 32)) % SETS;
}

static const quarantine_entry_t *
entry_find(const quarantine_t *quarantine, uint64_t fingerprint)
{
    if (quarantine->used == 0 || fingerprint == 0) {
        return NULL;
    }
    const quarantine_entry_t *set =
        quarantine->entries[entry_set(fingerprint)];
    for (size_t i = 0; i < WAYS; i++) {
        if (set[i].fingerprint == fingerprint) {
            return &set[i];
        }
    }
    return NULL;
}

static quarantine_entry_t *
entry_find_mutable(quarantine_t *quarantine, uint64_t fingerprint)
{
    return (quarantine_entry_t *)entry_find(quarantine, fingerprint);
}

/* Whether a is to be replaced rather than b. */
static bool
entry_evicts_before(const quarantine_entry_t *a, const quarantine_entry_t *b)
{
    if ((a->refused_until_us != 0) != (b->refused_until_us != 0)) {
        return a->refused_until_us == 0;
    }
    if (a->alone_crashes != b->alone_crashes) {
        return a->alone_crashes < b->alone_crashes;
    }
    return a->last_update < b->last_update;
}

static void
entry_drop(quarantine_t *quarantine, quarantine_entry_t *entry)
{
    memset(entry, 0, sizeof(*entry));
    quarantine->used--;
}

static quarantine_entry_t *
entry_find_or_add(quarantine_t *quarantine, uint64_t fingerprint)
{
    quarantine_entry_t *found = entry_find_mutable(quarantine, fingerprint);
    if (found != NULL) {
        return found;
    }
    quarantine_entry_t *set = quarantine->entries[entry_set(fingerprint)];
    quarantine_entry_t *least = &set[0];
    for (size_t i = 0; i < WAYS; i++) {
        if (set[i].fingerprint == 0) {
            least = &set[i];
            break;
        }
        if (entry_evicts_before(&set[i], least)) {
            least = &set[i];
        }
    }
    if (least->fingerprint != 0) {
        entry_drop(quarantine, least);
    }
    least->fingerprint = fingerprint;
    quarantine->used++;
    return least;
}

quarantine_status_t
quarantine_status(const quarantine_t *quarantine, uint64_t fingerprint,
                  int64_t now_us)
{
    const quarantine_entry_t *entry = entry_find(quarantine, fingerprint);
    if (entry == NULL) {
        return QUARANTINE_CLEAR;
    }
    return now_us < entry->refused_until_us ? QUARANTINE_REFUSED
                                            : QUARANTINE_SUSPECT;
}

int64_t
quarantine_left_us(const quarantine_t *quarantine, uint64_t fingerprint,
                   int64_t now_us)
{
    const quarantine_entry_t *entry = entry_find(quarantine, fingerprint);
    if (entry == NULL || now_us >= entry->refused_until_us) {
        return 0;
    }
    return entry->refused_until_us - now_us;
}

static uint32_t
entry_crashes(const quarantine_t *quarantine, const quarantine_entry_t *entry)
{
    uint32_t most = quarantine->limit - 1;
    uint32_t shared =
        entry->shared_crashes < most ? entry->shared_crashes : most;
    return shared + entry->alone_crashes;
}

/*
 * Refuses the fingerprint. When the refusal ends, one more crash alone is
 * enough to refuse it again.
 */
static void
entry_refuse(const quarantine_t *quarantine, quarantine_entry_t *entry,
             int64_t now_us)
{
    entry->refused_until_us = now_us + quarantine->quarantine_us;
    if (entry->alone_crashes + 1 < quarantine->limit) {
        entry->alone_crashes = quarantine->limit - 1;
    }
}

void
quarantine_record_crash(quarantine_t *quarantine, uint64_t fingerprint,
                        bool alone, int64_t now_us)
{
    if (fingerprint == 0) {
        return;
    }
    quarantine_entry_t *entry = entry_find_or_add(quarantine, fingerprint);
    entry->last_update = ++quarantine->update_count;
    if (entry->last_counted_us != 0 &&
        now_us - entry->last_counted_us < quarantine->burst_us) {
        return;
    }
    entry->last_counted_us = now_us;
    if (!alone) {
        entry->shared_crashes++;
    }
    else if (entry->alone_crashes < quarantine->limit) {
        entry->alone_crashes++;
    }
    bool refused = now_us < entry->refused_until_us;
    if (refused || entry_crashes(quarantine, entry) < quarantine->limit) {
        return;
    }
    entry_refuse(quarantine, entry, now_us);
    if (quarantine->new_count < NEW_MAX) {
        quarantine->new_fingerprints[quarantine->new_count++] = fingerprint;
    }
}

void
quarantine_undo_crash(quarantine_t *quarantine, uint64_t fingerprint,
                      bool alone)
{
    quarantine_entry_t *entry = entry_find_mutable(quarantine, fingerprint);
    if (entry == NULL) {
        return;
    }
    uint32_t *count = alone ? &entry->alone_crashes : &entry->shared_crashes;
    *count -= *count > 0 ? 1 : 0;
    if (entry->alone_crashes == 0 && entry->shared_crashes == 0 &&
        !entry->claimed && entry->refused_until_us == 0) {
        entry_drop(quarantine, entry);
    }
}

void
quarantine_record_success(quarantine_t *quarantine, uint64_t fingerprint,
                          int64_t now_us)
{
    quarantine_entry_t *entry = entry_find_mutable(quarantine, fingerprint);
    if (entry == NULL || now_us < entry->refused_until_us) {
        return;
    }
    entry->shared_crashes = 0;
    entry->alone_crashes -= entry->alone_crashes > 0 ? 1 : 0;
    if (entry->alone_crashes == 0) {
        entry_drop(quarantine, entry);
    }
}

bool
quarantine_claim(quarantine_t *quarantine, uint64_t fingerprint)
{
    quarantine_entry_t *entry = entry_find_mutable(quarantine, fingerprint);
    if (entry == NULL) {
        return true;
    }
    if (entry->claimed) {
        return false;
    }
    entry->claimed = true;
    return true;
}

void
quarantine_release(quarantine_t *quarantine, uint64_t fingerprint)
{
    quarantine_entry_t *entry = entry_find_mutable(quarantine, fingerprint);
    if (entry != NULL) {
        entry->claimed = false;
    }
}

void
quarantine_add(quarantine_t *quarantine, uint64_t fingerprint, int64_t now_us)
{
    if (fingerprint == 0) {
        return;
    }
    quarantine_entry_t *entry = entry_find_or_add(quarantine, fingerprint);
    entry->last_update = ++quarantine->update_count;
    entry_refuse(quarantine, entry, now_us);
}

size_t
quarantine_take_new(quarantine_t *quarantine, uint64_t *out, size_t max)
{
    size_t count = quarantine->new_count < max ? quarantine->new_count : max;
    memcpy(out, quarantine->new_fingerprints, count * sizeof(*out));
    quarantine->new_count -= count;
    memmove(quarantine->new_fingerprints, quarantine->new_fingerprints + count,
            quarantine->new_count * sizeof(*out));
    return count;
}

void
crash_watch_record_loss(crash_watch_t *watch, quarantine_t *quarantine,
                        const crash_loss_t *loss, int64_t now_us)
{
    if (loss->counted) {
        quarantine_record_crash(quarantine, loss->fingerprint, loss->alone,
                                now_us);
    }
    if (watch->count < CRASH_WATCH_MAX) {
        watch->losses[watch->count++] = *loss;
    }
}

void
crash_watch_resolve(crash_watch_t *watch, quarantine_t *quarantine,
                    bool changed, int64_t now_us)
{
    for (uint32_t i = 0; i < watch->count; i++) {
        const crash_loss_t *loss = &watch->losses[i];
        if (changed && !loss->counted) {
            quarantine_record_crash(quarantine, loss->fingerprint, loss->alone,
                                    now_us);
        }
        else if (!changed && loss->counted) {
            quarantine_undo_crash(quarantine, loss->fingerprint, loss->alone);
        }
    }
    watch->count = 0;
}
