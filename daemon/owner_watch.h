/*
 * Which owners have answered nothing for a while since they were sent to.
 *
 * Evidence of one coordinator, sooner than missing heartbeats; it orders
 * replicas and decides nothing else. Pure: the time is an argument.
 *
 *     owner_watch_t watch = {.count = 0};
 *     owner_watch_set_members(&watch, world->members, world->member_count);
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
    int64_t waiting_since_us; /* sent to, and no reply since; 0: not */
    bool silent;
} watched_owner_t;

typedef struct {
    watched_owner_t owners[ROSTER_MEMBERS_MAX]; /* in the members' order */
    size_t count;
} owner_watch_t;

/* Take the members, keeping what is known of those that stay. */
void owner_watch_set_members(owner_watch_t *watch,
                             const roster_member_t *members, size_t count);

/* Parts went to the owner of that incarnation. */
void owner_watch_record_send(owner_watch_t *watch, uint64_t incarnation,
                             int64_t now_us);

/* Any reply came from it. */
void owner_watch_record_reply(owner_watch_t *watch, uint64_t incarnation);

/* Work out who is silent, self never; whether that changed. */
bool owner_watch_tick(owner_watch_t *watch, uint64_t self, int64_t now_us);

/* As of the last tick, by index of the member. */
bool owner_watch_is_silent(const owner_watch_t *watch, int member);

#endif
