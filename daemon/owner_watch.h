/*
 * Detects owners that do not answer the parts sent to them.
 *
 * An owner is silent if it has answered nothing for 100 ms since parts were
 * sent to it. Each coordinator detects this on its own, sooner than by missing
 * heartbeats. Replicas of a silent owner are tried last, and parts that wait
 * for it may be hedged at once; nothing else depends on it. No I/O: the time
 * is an argument.
 *
 *     owner_watch_t watch = {.count = 0};
 *     owner_watch_set_members(&watch, view->members, view->member_count);
 *     owner_watch_record_send(&watch, incarnation, now);
 *     owner_watch_record_reply(&watch, incarnation);
 *     if (owner_watch_tick(&watch, self, now)) ... some owner changed ...
 *     if (owner_watch_is_silent(&watch, member)) ...
 */
#ifndef DAEMON_OWNER_WATCH_H
#define DAEMON_OWNER_WATCH_H

#include "fleet/roster_doc.h"

typedef struct {
    uint64_t incarnation;
    int64_t waiting_since_us; /* first send since the last reply; 0: none */
    bool silent;
} watched_owner_t;

typedef struct {
    watched_owner_t owners[ROSTER_MEMBERS_MAX]; /* in the members' order */
    size_t count;
} owner_watch_t;

/* Replace the members; those that stay keep their state. */
void owner_watch_set_members(owner_watch_t *watch,
                             const roster_member_t *members, size_t count);

/* Record that parts were sent to the owner; ignored if it is no member. */
void owner_watch_record_send(owner_watch_t *watch, uint64_t incarnation,
                             int64_t now_us);

/* Record any reply from the owner. */
void owner_watch_record_reply(owner_watch_t *watch, uint64_t incarnation);

/*
 * Update which owners are silent, and return whether any changed. The daemon
 * itself, `self`, is never silent.
 */
bool owner_watch_tick(owner_watch_t *watch, uint64_t self, int64_t now_us);

/* Whether the member with this index was silent at the last tick. */
bool owner_watch_is_silent(const owner_watch_t *watch, int member);

#endif
