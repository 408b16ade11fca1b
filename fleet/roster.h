/*
 * Which member of the group may admit work for which upstream, now.
 *
 * One roster_t per daemon and group; the caller holds its lock. It does no
 * I/O: roster_next says what to do with the store, the results are handed
 * back, heartbeats are made and received, and the questions are answered from
 * what is known. docs/FLEET.md argues why at most one member is active for an
 * upstream at any time.
 *
 *     roster_t *roster = roster_new(&settings, &self);
 *     each time roster_wakeup says:
 *         switch (roster_next(roster, now, &request)) {
 *         case ROSTER_READ:  get the key;  roster_read_result(...);
 *         case ROSTER_WRITE: put request.text with cas=request.index;
 *                            roster_write_result(...); }
 *     every heartbeat_us, and at once when roster_urgent says so, to each
 *     member but itself:
 *         roster_heartbeat_make(roster, i, now, &heartbeat);
 *     on each heartbeat received (from members or others):
 *         roster_heartbeat_receive(roster, &heartbeat, now);
 *         if the sender is no member here: answer roster_heartbeat_answer
 *         if heartbeat.version < roster_version: send it roster_text, which
 *         it hands to roster_adopt
 *     after each change of roster_version: stop admitting for upstreams that
 *     are no longer ROSTER_ACTIVE, and when none of their parts is in
 *     progress any more: roster_release(roster, version, now)
 *     before each send upstream:
 *         roster_may_act(roster, now), and the part's deadline must not pass
 *         roster_act_until(roster, now) + drain_us
 *
 * Leaving: roster_leave stops this member owning at once; when its work has
 * ended and roster_left is true, or the caller's patience ends, it may exit.
 *
 * Times are microseconds of this process's monotonic clock.
 */
#ifndef FLEET_ROSTER_H
#define FLEET_ROSTER_H

#include "fleet/owner.h"
#include "fleet/roster_doc.h"

typedef struct roster roster_t;

typedef struct {
    int64_t renew_us;     /* between two renewals */
    int64_t lease_us;     /* a renewal permits acting, from its sending */
    int64_t expire_us;    /* silence after which a member is removed */
    int64_t grant_us;     /* a peer's grant permits acting, from the echo */
    int64_t grant_max_us; /* longest on grants alone since a renewal */
    int64_t abandon_us;   /* silence after which a member counts for nothing */
    int64_t drain_us;     /* a part may run past the permission */
    int64_t heartbeat_us; /* between two heartbeats to one member */
    int64_t retry_us;     /* after a failed or lost call to the store */
    uint64_t seed;        /* of jitter; differs between daemons */
} roster_settings_t;

/* What today's fleet of at most 32 daemons in one group uses. */
#define ROSTER_SETTINGS_DEFAULT                                               \
    {                                                                         \
        .renew_us = 1200000, .lease_us = 4000000, .expire_us = 6500000,       \
        .grant_us = 2500000, .grant_max_us = INT64_C(21600000000),            \
        .abandon_us = INT64_C(25200000000), .drain_us = 1000000,              \
        .heartbeat_us = 500000, .retry_us = 300000, .seed = 1                 \
    }

typedef enum {
    ROSTER_IDLE, /* nothing to do before roster_wakeup */
    ROSTER_READ,
    ROSTER_WRITE
} roster_step_t;

typedef struct {
    uint64_t index; /* ROSTER_WRITE: the value of cas= */
    char *text;     /* ROSTER_WRITE: to be freed by the caller */
} roster_request_t;

/* What one daemon tells another; about 60 bytes on the wire. */
typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    uint64_t version;       /* roster the sender acts by */
    uint64_t acked_version; /* roster it has released all lost work for */
    int64_t sent_us;        /* sender's clock; only the sender reads it */
    int64_t echo_us;        /* newest sent_us from the receiver; 0: none */
    bool requests_grant;    /* the sender's renewals are late */
    bool grants;            /* permits the receiver to act by version */
    bool holds_lease;       /* the sender may act */
} roster_heartbeat_t;

typedef enum {
    ROSTER_ACTIVE,  /* this daemon owns the upstream and may admit work */
    ROSTER_WAITING, /* it owns it, and waits for another to let go */
    ROSTER_PAUSED,  /* it owns it, and its own lease is not valid now */
    ROSTER_OTHER,   /* another member owns it */
    ROSTER_NONE     /* no member can own it */
} roster_owner_t;

/* self: name, incarnation, zone, address and ports are used. NULL: no memory.
 */
roster_t *roster_new(const roster_settings_t *settings,
                     const roster_member_t *self);
void roster_free(roster_t *roster);

/*
 * What to ask of the store now. After ROSTER_READ or ROSTER_WRITE the next
 * call returns ROSTER_IDLE until the result is handed in, whatever it is.
 */
roster_step_t roster_next(roster_t *roster, int64_t now_us,
                          roster_request_t *request);
int64_t roster_wakeup(const roster_t *roster, int64_t now_us);

/*
 * STATUS_OK with the value and its index, STATUS_NOT_FOUND, or a failure. An
 * unreadable document is treated as a failure. A watch may hand in values
 * that roster_next did not ask for through roster_watch_result.
 */
void roster_read_result(roster_t *roster, status_t status, uint64_t index,
                        const char *text, size_t size, int64_t now_us);
void roster_watch_result(roster_t *roster, uint64_t index, const char *text,
                         size_t size, int64_t now_us);

/* STATUS_OK, STATUS_CONFLICT, or a failure after which it may have landed. */
void roster_write_result(roster_t *roster, status_t status, int64_t now_us);

/* A roster document passed on by a peer. */
void roster_adopt(roster_t *roster, const char *text, size_t size,
                  int64_t now_us);

/* The document acted by, for peers; freed by the caller; NULL: no memory. */
char *roster_text(const roster_t *roster);

/* Heartbeat to a member, by its index in roster_members. */
void roster_heartbeat_make(roster_t *roster, size_t member, int64_t now_us,
                           roster_heartbeat_t *heartbeat);
/* Heartbeat to whoever sent the one received, member or not. */
void roster_heartbeat_answer(roster_t *roster,
                             const roster_heartbeat_t *received,
                             int64_t now_us, roster_heartbeat_t *heartbeat);
void roster_heartbeat_receive(roster_t *roster,
                              const roster_heartbeat_t *heartbeat,
                              int64_t now_us);

/* End of the grant to this daemon that a member has in force; 0: none. */
int64_t roster_grant_until(const roster_t *roster, const char *name);

/*
 * Whether what this daemon's heartbeats say has changed since the last call
 * so that others wait for it: send to all members now.
 */
bool roster_urgent(roster_t *roster, int64_t now_us);

/* All work for upstreams lost by the change to this version has ended. */
void roster_release(roster_t *roster, uint64_t version, int64_t now_us);

/* Stop owning for good; at once here, in the roster as soon as possible. */
void roster_leave(roster_t *roster);
/* After roster_leave: whether the roster no longer names this daemon. */
bool roster_left(const roster_t *roster);

/* Whether this daemon's lease permits admitting and sending work now. */
bool roster_may_act(const roster_t *roster, int64_t now_us);
/* Until when, as far as known now; in the past (0 at least): it does not. */
int64_t roster_act_until(const roster_t *roster, int64_t now_us);

/* Version acted by; 0: no roster was read yet. */
uint64_t roster_version(const roster_t *roster);

/* The members, sorted by name, valid until the next call that changes. */
const roster_doc_t *roster_members(const roster_t *roster);

/*
 * Who owns the upstream, and whether this daemon may admit work for it now.
 * *member is the owner's index in roster_members, -1 with ROSTER_NONE.
 */
roster_owner_t roster_owner(const roster_t *roster, owner_key_t upstream,
                            int64_t now_us, int *member);

/* Counters for status and metrics. */
typedef struct {
    uint64_t reads;
    uint64_t writes;
    uint64_t conflicts;
    uint64_t failures;        /* calls failed or lost */
    uint64_t removals;        /* of others, by this daemon */
    uint64_t version_changes; /* adopted */
    bool member;              /* the roster names this daemon */
    bool on_grants;           /* acts by grants of peers, not by the store */
    int64_t renewed_us;       /* last renewal known good; 0: none */
} roster_stats_t;

void roster_stats(const roster_t *roster, int64_t now_us,
                  roster_stats_t *stats);

#endif
