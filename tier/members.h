/*
 * The view of the fleet: the member records that the daemons keep in the
 * store, and the role of each daemon.
 *
 * A record that disappears right after a store outage may only have expired:
 * it is kept for a grace period in which its daemon can write it again. At
 * other times, and after an outage that is shorter than any lease, it is
 * dropped at once. The fleet size is the recent peak, since
 * a daemon that cannot reach the store still sends requests.
 *
 *     members_put(&members, name, value, size, revision, now_us);
 *     uint32_t fleet = members_fleet_size(&members, now_us);
 *     size_t length = members_addresses(&members, zone, NULL, text, size);
 */
#ifndef TIER_MEMBERS_H
#define TIER_MEMBERS_H

#include "tier/tombstone_log.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    MEMBER_NAME_SIZE = 64,
    MEMBER_RECORD_SIZE = 256, /* buffer for the text of a record */
    MEMBERS_MAX = 2048,
    /* The fleet size is the peak of the current and the previous window of
       this length. A daemon that is no longer listed may still send; the
       window covers a store outage that only part of the fleet sees, and the
       window of the retry budget. */
    MEMBERS_PEAK_WINDOW_US = 15000000,
    /* Minimum fleet size in the first MEMBERS_STARTUP_US: by then the list
       has been read, and daemons started together have written their
       records. */
    MEMBERS_STARTUP_FLEET = 8,
    MEMBERS_STARTUP_US = 3000000,
    /* A caller is sent to the daemons of its own zone if they are at least
       this many: with one, its failure would cost all of the zone's callers an
       attempt. */
    MEMBERS_LOCAL_MIN = 2
};

/* The role of a member; see serving.h. */
typedef enum {
    MEMBER_STANDBY, /* ready, but not in the directory for callers */
    MEMBER_SERVING,
    MEMBER_STORE_READER /* serves, and reads the store for other daemons */
} member_role_t;

typedef struct {
    char name[MEMBER_NAME_SIZE];
    char address[MEMBER_NAME_SIZE]; /* for callers, "IP:PORT" */
    char zone[MEMBER_NAME_SIZE];
    char control[MEMBER_NAME_SIZE]; /* for other daemons; "": none */
    uint32_t weight; /* capacity of the VM, relative to other members */
    member_role_t role;
    uint32_t list_seq; /* last list that named the record */
    uint64_t revision; /* store revision of the last write; 0: unknown */
    uint64_t removed_revision; /* of a deferred removal; 0: none */
    int64_t expires_us; /* end of the grace period; 0: the record is listed */
    int64_t avoid_until_us; /* until then it takes no relayed requests */
} member_record_t;

typedef struct {
    member_record_t *records;
    uint32_t count;
    uint32_t capacity;
    uint32_t list_seq; /* number of the list being read */
    int64_t started_us;
    int64_t store_reachable_us; /* start of the last grace period; 0: none */
    bool store_unreachable;
    uint32_t peak[2]; /* most records in this window and the previous one */
    int64_t window_start_us;
    tombstone_log_t tombstones; /* removals, for daemons that poll this one */
} members_t;

void members_init(members_t *members, int64_t now_us);
void members_release(members_t *members);

/* Format this daemon's record as JSON. Returns its length, or 0 if it does
   not fit. The strings are not escaped. */
size_t member_record_write(char *text, size_t size, const char *address,
                           const char *control, const char *zone,
                           uint32_t weight);

/*
 * Add or update a member from the text of its record. `revision` is the store
 * revision that wrote it, 0 if it is not in the store yet. Returns true if the
 * member is new, was in its grace period or has another address; false also
 * for an invalid record.
 */
bool members_put(members_t *members, const char *name, const char *value,
                 size_t size, uint64_t revision, int64_t now_us);

/* A record was removed from the store. Returns true if the member is dropped
   at once; false if it is unknown or gets a grace period. */
bool members_remove(members_t *members, const char *name, uint64_t revision,
                    int64_t now_us);

/* Begin and end reading a complete list. In between, the caller passes each
   record to members_put. members_list_end removes the members that are not in
   the list, and returns true if any of them was dropped at once. */
void members_list_begin(members_t *members);
bool members_list_end(members_t *members, int64_t now_us);

/* Clear the tombstones after a complete list was read at `revision`: removals
   before it were not observed. */
void members_reset_tombstones(members_t *members, uint64_t revision);

/* The store has become unreachable. */
void members_store_unreachable(members_t *members);

/* The store is reachable again after it was unavailable for away_us at most:
   removals now get a grace period if records can have expired in that time. */
void members_store_reachable(members_t *members, int64_t away_us,
                             int64_t now_us);

/* The store was restored from a backup: members that it lacks get a grace
   period, as after an outage. */
void members_store_restored(members_t *members, int64_t now_us);

/* Drop members whose grace period has ended. Returns true if there was one. */
bool members_expire(members_t *members, int64_t now_us);

/* Whether `name` is listed and no other member's name sorts before it. */
bool members_is_first(const members_t *members, const char *name);

/* Hash of the members' records, independent of their order; 0 if empty. */
uint64_t members_digest(const members_t *members);

/* Whether a member is listed, and not in its grace period. */
bool members_has(const members_t *members, const char *name);

/* Number of daemons that may be sending now, at least 1. */
uint32_t members_fleet_size(members_t *members, int64_t now_us);

/* Assign a role to each member. Returns the number of serving members. */
uint32_t members_assign_roles(members_t *members);

/*
 * The control address of a store reader other than `self`, from `zone` if it
 * has one; after the first failure from any zone. `failures` counts failed
 * requests and selects another reader each time. The string is valid until
 * the members change. NULL: there is no such reader.
 */
const char *members_pick_reader(const members_t *members, const char *zone,
                                const char *self, uint32_t failures);

/* A member other than `self` to relay requests to, chosen by the random
   number: a serving one, from `zone` if possible, else one on standby. Valid
   until the members change. NULL: there is none. */
const member_record_t *members_pick_relay(const members_t *members,
                                          const char *zone, const char *self,
                                          uint64_t random, int64_t now_us);

/* Relay nothing to the member until until_us. */
void members_avoid(members_t *members, const char *name, int64_t until_us);

/* Write the ids of the serving members, hashes of their names, to ids, which
   has room for members->count; returns their number. */
uint32_t members_serving_ids(const members_t *members, uint64_t *ids);

/* The id that members_serving_ids gives a member of that name. */
uint64_t member_id(const char *name);

/* The role of a member; MEMBER_STANDBY if the name is unknown. */
member_role_t members_role(const members_t *members, const char *name);

/*
 * Write the caller addresses of the serving members as a JSON array, without
 * the member `exclude` (NULL: no exception). zone: only members there, if they
 * are at least MEMBERS_LOCAL_MIN; NULL or other zones: all. Returns the length
 * of the text; 0 if there is no address or the buffer is too small.
 */
size_t members_addresses(const members_t *members, const char *zone,
                         const char *exclude, char *text, size_t size);

#endif
