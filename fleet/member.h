/*
 * Failure detection: which members of the group are reachable, according to
 * direct heartbeats.
 *
 * Every daemon sends heartbeats to each member of its group only, so the cost
 * is bounded by the size of the group, not of the fleet. The states only
 * decide where requests are sent first. They grant no permission to act, and a
 * wrong state revokes none: leases (roster.h) alone do that.
 *
 *     member_table_t table;
 *     member_table_init(&table, &settings);
 *     member_table_sync(&table, roster_members(roster), self_name, now);
 *     member_heartbeat_receive(&table, name, incarnation, echo_us, now);
 *     member_connection_failed(&table, name, now);
 *     count = member_table_tick(&table, now, changes, max);
 *
 * A member_table_t owns no memory.
 */
#ifndef FLEET_MEMBER_H
#define FLEET_MEMBER_H

#include "fleet/roster_doc.h"

typedef struct {
    int64_t suspect_us; /* time without heartbeat until suspect */
    int64_t dead_us;    /* time without heartbeat until dead */
} member_settings_t;

/* For heartbeats every 500 ms. */
#define MEMBER_SETTINGS_DEFAULT                                               \
    {                                                                         \
        .suspect_us = 1500000, .dead_us = 5000000                             \
    }

typedef enum {
    MEMBER_ALIVE,
    MEMBER_SUSPECT, /* no heartbeat lately, or a connection failed */
    MEMBER_DEAF,    /* sends heartbeats but does not receive ours */
    MEMBER_DEAD,    /* no heartbeat for long, or replaced */
    MEMBER_STATE_COUNT
} member_state_t;

typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    bool self;
    bool connection_failed;    /* since the last heartbeat from it */
    bool replaced;             /* another incarnation uses its name */
    int64_t last_heartbeat_us; /* when the last heartbeat from it came */
    int64_t last_echo_us;      /* newest of our sending times that it echoed */
    member_state_t state;
} member_t;

typedef struct {
    member_settings_t settings;
    size_t count;
    member_t members[ROSTER_MEMBERS_MAX]; /* sorted by name */
    int64_t last_tick_us;
} member_table_t;

/* One change of state, for the event log. */
typedef struct {
    char name[NAME_SIZE];
    member_state_t from;
    member_state_t to;
} member_change_t;

/*
 * Number of members in each state, and a hash over names, incarnations and
 * states that changes when a state does.
 */
typedef struct {
    size_t counts[MEMBER_STATE_COUNT];
    uint64_t hash;
} member_digest_t;

/* Start with no members. */
void member_table_init(member_table_t *table,
                       const member_settings_t *settings);

/*
 * Set the members to those of the roster, `self` being this daemon's name. A
 * new member or incarnation counts as if a heartbeat had just come from it.
 */
void member_table_sync(member_table_t *table, const roster_doc_t *doc,
                       const char *self, int64_t now_us);

/*
 * Record a heartbeat. echo_us is the sending time of the newest heartbeat from
 * this daemon that the member had received, 0 for none. A heartbeat with
 * another incarnation marks the member as replaced.
 */
void member_heartbeat_receive(member_table_t *table, const char *name,
                              uint64_t incarnation, int64_t echo_us,
                              int64_t now_us);

/*
 * Record that a connection to the member was refused or lost. The member is
 * suspect until its next heartbeat.
 */
void member_connection_failed(member_table_t *table, const char *name,
                              int64_t now_us);

/*
 * Update the states and return how many changed, the first max of them in
 * changes. Time during which this process was paused does not count as time
 * without heartbeats.
 */
size_t member_table_tick(member_table_t *table, int64_t now_us,
                         member_change_t *changes, size_t max);

/* State as of the last tick; MEMBER_DEAD if the name is not a member. */
member_state_t member_state(const member_table_t *table, const char *name);

/* Compute the digest of the states as of the last tick. */
void member_digest(const member_table_t *table, member_digest_t *digest);

/* Name of the state in status and logs, such as "alive". */
const char *member_state_name(member_state_t state);

#endif
