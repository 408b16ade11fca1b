#include "daemon/owner_watch.h"

#include <string.h>

enum { SILENT_AFTER_US = 100000 };

static watched_owner_t *
find_owner(owner_watch_t *watch, uint64_t incarnation)
{
    for (size_t i = 0; i < watch->count; i++) {
        if (watch->owners[i].incarnation == incarnation) {
            return &watch->owners[i];
        }
    }
    return NULL;
}

void
owner_watch_set_members(owner_watch_t *watch, const roster_member_t *members,
                        size_t count)
{
    owner_watch_t next = {.count = count};
    for (size_t i = 0; i < count; i++) {
        const watched_owner_t *known =
            find_owner(watch, members[i].incarnation);
        next.owners[i].incarnation = members[i].incarnation;
        if (known != NULL) {
            next.owners[i] = *known;
        }
    }
    *watch = next;
}

void
owner_watch_record_send(owner_watch_t *watch, uint64_t incarnation,
                        int64_t now_us)
{
    watched_owner_t *owner = find_owner(watch, incarnation);
    if (owner != NULL && owner->waiting_since_us == 0) {
        owner->waiting_since_us = now_us;
    }
}

void
owner_watch_record_reply(owner_watch_t *watch, uint64_t incarnation)
{
    watched_owner_t *owner = find_owner(watch, incarnation);
    if (owner != NULL) {
        owner->waiting_since_us = 0;
    }
}

bool
owner_watch_tick(owner_watch_t *watch, uint64_t self, int64_t now_us)
{
    bool changed = false;
    for (size_t i = 0; i < watch->count; i++) {
        watched_owner_t *owner = &watch->owners[i];
        bool silent = owner->incarnation != self &&
                      owner->waiting_since_us != 0 &&
                      now_us - owner->waiting_since_us > SILENT_AFTER_US;
        changed = changed || silent != owner->silent;
        owner->silent = silent;
    }
    return changed;
}

bool
owner_watch_is_silent(const owner_watch_t *watch, int member)
{
    return member >= 0 && (size_t)member < watch->count &&
           watch->owners[member].silent;
}
