/*
 * What a roster_t holds, shared by the files that implement it: roster.c talks
 * to the store, roster_lease.c to peers and answers who may act.
 */
#ifndef FLEET_ROSTER_STATE_H
#define FLEET_ROSTER_STATE_H

#include "fleet/roster.h"

enum {
    ROSTER_ATTEMPTS_KEPT = 8 /* renewals whose reply was lost */
};

/* What is known of one member of the document acted by. */
typedef struct {
    owner_key_t key;
    uint64_t acked_version;      /* highest version it reported */
    int64_t renewals_changed_us; /* when its renewals were first seen as they
                                    are */
    int64_t echo_us;             /* newest sent_us from it */
    int64_t received_grant_until_us; /* its grant by the version acted by */
    int64_t issued_grant_until_us;   /* this daemon's last grant to it ends */
    int64_t grant_requested_us;      /* last asked for one */
    uint64_t version;                /* it acts by */
    int64_t replaced_us;       /* its address answers as another; 0: not */
    int64_t lease_reported_us; /* last said that it may act */
} roster_peer_t;

/* A renewal sent, by the counter value that it carries. */
typedef struct {
    uint64_t renewals;
    int64_t sent_us;
} roster_attempt_t;

typedef enum { CALL_NONE, CALL_READ, CALL_WRITE } roster_call_t;

struct roster {
    roster_settings_t settings;
    roster_member_t self;
    roster_doc_t doc; /* acted by */
    roster_peer_t peers[ROSTER_MEMBERS_MAX];
    int self_index; /* in doc, -1: not a member */

    roster_call_t pending_call; /* in progress */
    bool fresh;           /* doc and index are as read since the last write */
    bool newer_exists;    /* a newer version exists somewhere */
    bool leaving;         /* roster_leave was called */
    uint64_t index;       /* highest index read */
    int64_t last_read_us; /* last good read */
    int64_t reads_since_us; /* start of unbroken good reads */
    int64_t next_call_us;   /* next call to the store */
    roster_doc_t proposed;  /* document of the write in progress */
    roster_attempt_t attempts[ROSTER_ATTEMPTS_KEPT];
    uint64_t last_attempt; /* last counter value used */

    int64_t renewed_us;     /* sending of the last renewal that landed */
    bool renewed;           /* there was one */
    int64_t renewal_due_us; /* next renewal */
    int64_t removed_grants_until_us; /* grants to members removed end here */
    uint64_t released_version;       /* roster_release */
    uint64_t acked_version;          /* told to others */
    uint64_t announced_acked;        /* seen at the last roster_urgent */
    uint64_t announced_version;      /* version at the last roster_urgent */
    uint64_t jitter_count;
    roster_stats_t stats;
};

/* Less than base_us by a part drawn from the seed, at most so many percent. */
int64_t roster_jitter(roster_t *roster, int64_t base_us, int percent);

/* Whether a grant given may still permit acting by a version before this. */
bool roster_has_issued_grants(const roster_t *roster, uint64_t version,
                              int64_t now_us);

/* Take over what was released once grants by earlier versions have ended. */
void roster_update_acked(roster_t *roster, int64_t now_us);

/* Whether more than half of the members have taken the version acted by. */
bool roster_is_confirmed(const roster_t *roster, int64_t now_us);

#endif
