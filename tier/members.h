/*
 * The daemons of the fleet, as the store lists them.
 *
 * A record that vanishes around an outage of the store is kept until its
 * owner had time to write it again; at other times its daemon is gone. How
 * many share the upstreams is the most that were seen lately: a daemon that
 * cannot reach the store still sends.
 *
 *     members_put(&members, name, value, size, revision, now_us);
 *     uint32_t fleet = members_fleet_size(&members, now_us);
 *     size_t size = members_addresses(&members, NULL, text, sizeof(text));
 */
#ifndef TIER_MEMBERS_H
#define TIER_MEMBERS_H

#include "tier/tombstone_log.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    MEMBER_NAME_SIZE = 64,
    MEMBER_RECORD_SIZE = 256, /* of the text of a record */
    MEMBERS_MAX = 2048,
    /* A daemon that is listed no more may still send for so long: the time
       of an outage that is met for a share of the daemons, and of the window
       in which repeats are counted. */
    MEMBERS_PEAK_WINDOW_US = 15000000,
    /* Daemons assumed until the list has been read and others had time to
       write their records after a common start. */
    MEMBERS_STARTUP_FLEET = 8,
    MEMBERS_STARTUP_US = 3000000
};

/* What a member does; see serving.h. */
typedef enum {
    MEMBER_STANDBY, /* ready, and not named to callers */
    MEMBER_SERVING,
    MEMBER_STORE_READER /* serves, and asks the store for the upstreams */
} member_role_t;

typedef struct {
    char name[MEMBER_NAME_SIZE];
    char address[MEMBER_NAME_SIZE]; /* for callers, "IP:PORT" */
    char zone[MEMBER_NAME_SIZE];
    char control[MEMBER_NAME_SIZE]; /* for other daemons; "": none */
    uint32_t weight; /* of the VM: how much it can carry beside the others */
    member_role_t role;
    uint32_t list_seq;
    uint64_t revision; /* of the store, when it was written; 0: not known */
    uint64_t removed_revision; /* the same of its removal, while it is kept */
    int64_t
        expires_us; /* when it is gone unless it comes back; 0: it is there */
} member_record_t;

typedef struct {
    member_record_t *records;
    uint32_t count;
    uint32_t capacity;
    uint32_t list_seq;
    int64_t started_us;
    int64_t store_recovered_us;
    bool store_down;
    uint32_t peak[2]; /* members seen, in this half of the memory and before */
    int64_t window_start_us;    /* when this half began */
    tombstone_log_t tombstones; /* for those who ask this daemon */
} members_t;

void members_init(members_t *members, int64_t now_us);
void members_release(members_t *members);

/* The text of this daemon's own record; how long it is, 0: no room. */
size_t member_record_write(char *text, size_t size, const char *address,
                           const char *control, const char *zone,
                           uint32_t weight);

/* A record as it was written at a revision of the store, 0: not there yet.
   True: something changed. False too for a record that is no good. */
bool members_put(members_t *members, const char *name, const char *value,
                 size_t size, uint64_t revision, int64_t now_us);
bool members_remove(members_t *members, const char *name, uint64_t revision,
                    int64_t now_us);

void members_list_begin(members_t *members);
bool members_list_end(members_t *members, int64_t now_us);

/* A whole list was read at that revision: what went before is not known. */
void members_reset_tombstones(members_t *members, uint64_t revision);

void members_store_down(members_t *members);
void members_store_recovered(members_t *members, int64_t now_us);

/* Drop what has not come back in time; true: something was dropped. */
bool members_expire(members_t *members, int64_t now_us);

/* Whether nobody listed comes before that name. */
bool members_is_first(const members_t *members, const char *name);

/* Alike for two who list the same; 0: nobody is listed. */
uint64_t members_digest(const members_t *members);

bool members_has(const members_t *members, const char *name);

/* Daemons that may be sending now; 1 at least. */
uint32_t members_fleet_size(members_t *members, int64_t now_us);

/* Choose who serves; how many do. */
uint32_t members_assign_roles(members_t *members);

/*
 * The address at which a member that reads can be asked: one of that zone if
 * there is one, and once that was in vain any. in_vain counts and spreads
 * questions. NULL: there is none.
 */
const char *members_pick_reader(const members_t *members, const char *zone,
                                const char *self, uint32_t failures);

/* The role of a member; one that is not listed stands by. */
member_role_t members_role(const members_t *members, const char *name);

/*
 * The addresses callers may use, as a JSON array, of those who serve;
 * `without` is left out (NULL: nobody). How long the text is.
 */
size_t members_addresses(const members_t *members, const char *exclude,
                         char *text, size_t size);

#endif
