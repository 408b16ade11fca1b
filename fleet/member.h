/*
 * Which members of the group can be reached, from direct heartbeats.
 *
 * Every daemon sends a heartbeat to each member of its group, so the cost is
 * bounded by the group's size and not by the fleet's. States only steer where
 * requests go first: a member wrongly held dead loses no permission, and one
 * wrongly held alive gains none; that is the roster's alone.
 *
 *     member_table_t table;
 *     member_table_init(&table, &settings);
 *     member_table_sync(&table, roster_members(roster), self_name, now);
 *     member_heartbeat_receive(&table, name, incarnation, echo_us, now);
 *     member_connection_failed(&table, name, now);     a connection was
 * refused or lost count = member_table_tick(&table, now, changes, max);
 *
 * A member_table_t owns nothing.
 */
#ifndef FLEET_MEMBER_H
#define FLEET_MEMBER_H

#include "fleet/roster_doc.h"

typedef struct {
    int64_t suspect_us; /* silence before a member is suspect */
    int64_t dead_us;    /* silence before it is held dead */
} member_settings_t;

/* For heartbeats every 500 ms. */
#define MEMBER_SETTINGS_DEFAULT                                               \
    {                                                                         \
        .suspect_us = 1500000, .dead_us = 5000000                             \
    }

typedef enum {
    MEMBER_ALIVE,
    MEMBER_SUSPECT, /* silent for a while, or a connection just failed */
    MEMBER_DEAF,    /* heard, but it has not heard from here for a while */
    MEMBER_DEAD,
    MEMBER_STATE_COUNT
} member_state_t;

typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    bool self;
    bool connection_failed; /* a connection failed since it was last heard */
    bool replaced;          /* its name answers as another process */
    int64_t last_heartbeat_us; /* last heartbeat from it */
    int64_t last_echo_us;      /* newest of ours that it has echoed */
    member_state_t state;
} member_t;

typedef struct {
    member_settings_t settings;
    size_t count;
    member_t members[ROSTER_MEMBERS_MAX]; /* in the roster's order */
    int64_t last_tick_us;
} member_table_t;

/* One change of state, for the event log. */
typedef struct {
    char name[NAME_SIZE];
    member_state_t from;
    member_state_t to;
} member_change_t;

/* How many members are in each state, and a hash of who is in which. */
typedef struct {
    size_t counts[MEMBER_STATE_COUNT];
    uint64_t hash;
} member_digest_t;

void member_table_init(member_table_t *table,
                       const member_settings_t *settings);

/* Take the roster's members; who is new counts as just heard. */
void member_table_sync(member_table_t *table, const roster_doc_t *doc,
                       const char *self, int64_t now_us);

/*
 * A heartbeat came. echo_us is the sending time of the newest heartbeat of
 * ours that the member has had, 0 for none. A heartbeat of another
 * incarnation under the name marks the member replaced.
 */
void member_heartbeat_receive(member_table_t *table, const char *name,
                              uint64_t incarnation, int64_t echo_us,
                              int64_t now_us);

/* A connection to the member failed: suspect until it is heard again. */
void member_connection_failed(member_table_t *table, const char *name,
                              int64_t now_us);

/*
 * Work out the states and return how many changed, the first max of them in
 * changes. After a pause of this process silence is counted anew.
 */
size_t member_table_tick(member_table_t *table, int64_t now_us,
                         member_change_t *changes, size_t max);

/* State as of the last tick; MEMBER_DEAD for a name that is no member. */
member_state_t member_state(const member_table_t *table, const char *name);

void member_digest(const member_table_t *table, member_digest_t *digest);

/* Name for status and logs: "alive". */
const char *member_state_name(member_state_t state);

#endif
