/*
 * Internal state of a roster_t, shared by the files that implement it:
 * roster.c exchanges documents with the store, roster_lease.c exchanges
 * heartbeats with peers and computes leases and owners.
 */
#ifndef FLEET_ROSTER_STATE_H
#define FLEET_ROSTER_STATE_H

#include "fleet/roster.h"

enum {
    /* Renewals kept, to recognise one in a read if its reply was lost. */
    ROSTER_ATTEMPTS_KEPT = 8
};

/* State of one member of the current document. */
typedef struct {
    owner_key_t key;
    /* Highest version that it has acknowledged. */
    uint64_t acked_version;
    /* When the store first showed its current renewal counter. */
    int64_t renewals_changed_us;
    /* Newest sent_us received from it, to be echoed in the next heartbeat. */
    int64_t echo_us;
    /* End of its grant to this daemon for the current version; 0: none. */
    int64_t received_grant_until_us;
    /* End of this daemon's last grant to it, including the drain time. */
    int64_t issued_grant_until_us;
    /* When it last requested a grant; 0: its last heartbeat did not. */
    int64_t grant_requested_us;
    /* Highest version that its heartbeats named as its current one. */
    uint64_t version;
    /* When the store first showed it as replaced; 0: it is not. */
    int64_t replaced_us;
    /* When it last reported that it holds a lease; 0: never. */
    int64_t lease_reported_us;
} roster_peer_t;

/* A renewal that was sent to the store. */
typedef struct {
    uint64_t renewals; /* value of the renewal counter in it */
    int64_t sent_us;
} roster_attempt_t;

typedef enum { CALL_NONE, CALL_READ, CALL_WRITE } roster_call_t;

struct roster {
    roster_settings_t settings;
    roster_member_t self;
    roster_doc_t doc; /* the current document, which this daemon acts by */
    roster_peer_t peers[ROSTER_MEMBERS_MAX]; /* same order as doc.members */
    int self_index; /* of this daemon in doc; -1: not a member */

    roster_call_t pending_call; /* call to the store in progress */
    bool fresh;           /* doc and index were read after the last write */
    bool newer_exists;    /* a peer acts by a newer version than doc */
    bool leaving;         /* roster_leave was called */
    uint64_t index;       /* highest store index read */
    int64_t last_read_us; /* last successful read */
    /* Start of the current run of successful reads without a long gap. */
    int64_t reads_since_us;
    int64_t next_call_us;  /* when to make the next call to the store */
    roster_doc_t proposed; /* document of the write in progress */
    roster_attempt_t attempts[ROSTER_ATTEMPTS_KEPT];
    uint64_t last_attempt; /* last value used for the renewal counter */

    int64_t renewed_us; /* when the last successful renewal was sent */
    bool renewed;       /* renewed_us is valid */
    int64_t renewal_due_us;
    /* Latest end of the grants issued to members removed since then. */
    int64_t removed_grants_until_us;
    uint64_t released_version;  /* see roster_release */
    uint64_t acked_version;     /* version acknowledged in heartbeats */
    uint64_t announced_acked;   /* acked_version at the last roster_urgent */
    uint64_t announced_version; /* doc.version at the last roster_urgent */
    uint64_t jitter_count;      /* random numbers drawn so far */
    roster_stats_t stats;
};

/* Returns base_us less a pseudo-random part of at most `percent` percent. */
int64_t roster_jitter(roster_t *roster, int64_t base_us, int percent);

/*
 * Whether a grant issued by this daemon may still permit a member to act by a
 * version lower than `version`. Grants to removed members always count.
 */
bool roster_has_issued_grants(const roster_t *roster, uint64_t version,
                              int64_t now_us);

/*
 * Acknowledge the released version if no grant issued for an earlier version
 * is still in force.
 */
void roster_update_acked(roster_t *roster, int64_t now_us);

/*
 * Whether more than half of the members have acknowledged the current
 * version. Replaced and abandoned members count as having done so.
 */
bool roster_is_confirmed(const roster_t *roster, int64_t now_us);

#endif
