/*
 * Membership of one group of daemons, and which member may admit work for
 * which upstream.
 *
 * A daemon has one roster_t for each group; the caller holds its lock during
 * every call. A roster_t does no I/O: roster_next returns the next call to
 * make to the store, the caller passes the result back, and heartbeats are
 * made and received through the functions below. docs/FLEET.md shows why at
 * most one member is active for an upstream at any time.
 *
 *     roster_t *roster = roster_new(&settings, &self);
 *     at each time that roster_wakeup returns:
 *         switch (roster_next(roster, now, &request)) {
 *         case ROSTER_READ:  get the key;  roster_read_result(...);
 *         case ROSTER_WRITE: put request.text with cas=request.index;
 *                            roster_write_result(...); }
 *     every heartbeat_us, and at once if roster_urgent is true, for each
 *     other member:
 *         roster_heartbeat_make(roster, i, now, &heartbeat);
 *     for each heartbeat received, from members and non-members:
 *         roster_heartbeat_receive(roster, &heartbeat, now);
 *         if the sender is no member here: send roster_heartbeat_answer
 *         if heartbeat.version < roster_version: send roster_text, which the
 *         sender passes to roster_adopt
 *     after each change of roster_version: stop admitting for upstreams that
 *     are no longer ROSTER_ACTIVE, and when none of their parts is in flight
 *     any more: roster_release(roster, version, now)
 *     before each send to an upstream: check roster_may_act(roster, now), and
 *     that the part's deadline is not after
 *     roster_act_until(roster, now) + drain_us
 *
 * Leaving: after roster_leave this member owns nothing. The process may exit
 * once its work has ended and roster_left is true, or at a deadline of the
 * caller.
 *
 * Times are microseconds of this process's monotonic clock.
 */
#ifndef FLEET_ROSTER_H
#define FLEET_ROSTER_H

#include "fleet/owner.h"
#include "fleet/roster_doc.h"

typedef struct roster roster_t;

typedef struct {
    int64_t renew_us; /* interval between renewals in the store */
    int64_t lease_us; /* length of a lease, from the sending of its renewal */
    /* A member that has not renewed for longer than this is removed. */
    int64_t expire_us;
    /* Length of a peer's grant, from the sending of the echoed heartbeat. */
    int64_t grant_us;
    /* Longest time since a renewal for which grants alone permit acting. */
    int64_t grant_max_us;
    /*
     * A member that has not renewed for longer than this counts as having
     * acknowledged every version.
     */
    int64_t abandon_us;
    int64_t drain_us;     /* time that a part may run past the lease */
    int64_t heartbeat_us; /* interval between heartbeats to a member */
    int64_t retry_us;     /* pause after a failed or lost call to the store */
    uint64_t seed;        /* of the jitter; differs between daemons */
} roster_settings_t;

/* Defaults, for groups of at most 32 daemons. */
#define ROSTER_SETTINGS_DEFAULT                                               \
    {                                                                         \
        .renew_us = 1200000, .lease_us = 4000000, .expire_us = 6500000,       \
        .grant_us = 2500000, .grant_max_us = INT64_C(21600000000),            \
        .abandon_us = INT64_C(25200000000), .drain_us = 1000000,              \
        .heartbeat_us = 500000, .retry_us = 300000, .seed = 1                 \
    }

typedef enum {
    ROSTER_IDLE, /* nothing to do before roster_wakeup */
    ROSTER_READ, /* read the document from the store */
    ROSTER_WRITE /* write request.text to the store */
} roster_step_t;

typedef struct {
    uint64_t index; /* ROSTER_WRITE: the value of cas= */
    char *text;     /* ROSTER_WRITE: the caller frees it */
} roster_request_t;

/*
 * A heartbeat from one daemon to another: about 60 bytes with name and
 * incarnation; the fields after incarnation take 33 bytes on the wire.
 */
typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    uint64_t version;       /* roster version that the sender acts by */
    uint64_t acked_version; /* see roster_release */
    int64_t sent_us;        /* sender's clock; meaningless to the receiver */
    int64_t echo_us; /* newest sent_us received from the receiver; 0: none */
    bool requests_grant; /* the sender's renewal is late */
    bool grants;         /* permits the receiver to act by this version */
    bool holds_lease;    /* the sender may act now, by its lease or grants */
} roster_heartbeat_t;

typedef enum {
    ROSTER_ACTIVE,  /* this daemon is the owner and may admit work */
    ROSTER_WAITING, /* this daemon is the owner; another may still act */
    ROSTER_PAUSED,  /* this daemon is the owner, without lease or grants */
    ROSTER_OTHER,   /* another member owns it */
    ROSTER_NONE     /* no member can own it */
} roster_owner_t;

/*
 * Create the roster of a daemon that is not a member yet. Of `self` the name,
 * incarnation, zone, address and ports are used. Returns NULL when out of
 * memory.
 */
roster_t *roster_new(const roster_settings_t *settings,
                     const roster_member_t *self);
void roster_free(roster_t *roster); /* NULL ok */

/*
 * Returns the call to make to the store now. After ROSTER_READ or ROSTER_WRITE
 * it returns ROSTER_IDLE until the result has been passed in, be it a success
 * or a failure.
 */
roster_step_t roster_next(roster_t *roster, int64_t now_us,
                          roster_request_t *request);

/* When to call roster_next again; INT64_MAX while a call is in progress. */
int64_t roster_wakeup(const roster_t *roster, int64_t now_us);

/*
 * Pass in the result of a ROSTER_READ: STATUS_OK with the value and its index,
 * STATUS_NOT_FOUND, or a failure. A document that does not parse is treated as
 * a failure. roster_watch_result takes values from a watch on the key, which
 * roster_next did not request.
 */
void roster_read_result(roster_t *roster, status_t status, uint64_t index,
                        const char *text, size_t size, int64_t now_us);
void roster_watch_result(roster_t *roster, uint64_t index, const char *text,
                         size_t size, int64_t now_us);

/*
 * Pass in the result of a ROSTER_WRITE: STATUS_OK, STATUS_CONFLICT, or any
 * other status when the write may or may not have taken effect.
 */
void roster_write_result(roster_t *roster, status_t status, int64_t now_us);

/* Adopt a roster document sent by a peer, if it is newer. */
void roster_adopt(roster_t *roster, const char *text, size_t size,
                  int64_t now_us);

/*
 * The current document as text, to be sent to peers. The caller frees it; NULL
 * when out of memory.
 */
char *roster_text(const roster_t *roster);

/* Make the heartbeat to the member with this index in roster_members. */
void roster_heartbeat_make(roster_t *roster, size_t member, int64_t now_us,
                           roster_heartbeat_t *heartbeat);

/* Make the reply to a heartbeat; its sender need not be a member. */
void roster_heartbeat_answer(roster_t *roster,
                             const roster_heartbeat_t *received,
                             int64_t now_us, roster_heartbeat_t *heartbeat);

/* Record a heartbeat; grants in it take effect if the sender is a member. */
void roster_heartbeat_receive(roster_t *roster,
                              const roster_heartbeat_t *heartbeat,
                              int64_t now_us);

/* End of the member's last grant to this daemon; 0: none. */
int64_t roster_grant_until(const roster_t *roster, const char *name);

/*
 * Whether the current or the acknowledged version has changed since the last
 * call. Other members wait for that, so heartbeats should be sent to all of
 * them now.
 */
bool roster_urgent(roster_t *roster, int64_t now_us);

/*
 * Report that all work for upstreams that this daemon lost by the change to
 * `version` has ended. Heartbeats acknowledge the version as soon as no grant
 * issued for an earlier version is in force.
 */
void roster_release(roster_t *roster, uint64_t version, int64_t now_us);

/*
 * Give up ownership for good: this daemon stops acting at once, and is taken
 * out of the roster as soon as possible.
 */
void roster_leave(roster_t *roster);

/* After roster_leave: whether the roster no longer names this daemon. */
bool roster_left(const roster_t *roster);

/* Whether a lease or grants permit this daemon to admit and send work. */
bool roster_may_act(const roster_t *roster, int64_t now_us);

/*
 * Until when roster_may_act will be true if nothing more is received; a time
 * in the past, at least 0, when it is false now.
 */
int64_t roster_act_until(const roster_t *roster, int64_t now_us);

/* The current version; 0: no roster was read yet. */
uint64_t roster_version(const roster_t *roster);

/*
 * The current document, its members sorted by name. Valid until the next call
 * that takes a non-const roster.
 */
const roster_doc_t *roster_members(const roster_t *roster);

/*
 * Returns whether this daemon owns the upstream and may admit work for it now.
 * *member is set to the owner's index in roster_members, -1 with ROSTER_NONE.
 */
roster_owner_t roster_owner(const roster_t *roster, owner_key_t upstream,
                            int64_t now_us, int *member);

/* Counters for status and metrics. */
typedef struct {
    uint64_t reads;
    uint64_t writes;
    uint64_t conflicts;
    uint64_t failures;        /* calls to the store that failed or were lost */
    uint64_t removals;        /* members that this daemon removed */
    uint64_t version_changes; /* versions adopted */
    bool member;              /* the roster names this daemon */
    bool on_grants;           /* the lease has ended; grants permit acting */
    int64_t renewed_us;       /* last successful renewal; 0: none */
} roster_stats_t;

/* Fill in *stats: the counters since roster_new and the state at now_us. */
void roster_stats(const roster_t *roster, int64_t now_us,
                  roster_stats_t *stats);

#endif
