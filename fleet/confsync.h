/*
 * Which version of the configuration is in force here, whether this daemon
 * may still go by it, and who else has it.
 *
 * Versions only rise. A daemon goes on with its version only until a time
 * before which it knows that no newer one can have been in force for long:
 *
 * - the store answered a read or watch, sent at t, with this version:
 *   until t + trust_us;
 * - a peer that may go on itself, and has no newer version and no hold that
 *   is unknown here, said so: as long as the peer, counted from the sending
 *   of what the peer had last heard from here;
 * - while the store is out: more than half of the group's members, this
 *   one included, permit each other to act (roster.h) and have no newer
 *   version and no unknown hold: as long as those grants.
 *
 * After that it admits no new work (REASON_NO_CONFIG). It does no I/O:
 *
 *     confsync_init(&sync, &settings);
 *     confsync_set_members(&sync, roster_members(roster), self_name);
 *     if (confsync_is_newer(&sync, version) && parsed well)
 *         confsync_adopt(&sync, version, hold_set_digest(&holds));
 *     if (!confsync_store_answered(&sync, version, sent_us))
 *         write the document in force back
 *     confsync_report_make(&sync, now, &word);               in each heartbeat
 *     confsync_report_receive(&sync, name, incarnation, &word, echo_us,
 *                    roster_grant_until(roster, name), now);
 *     if (confsync_may_admit(&sync, now)) ...
 *
 * Who reads the store: confsync_is_watcher names two members a zone, which
 * watch with a wait of at most watch_us; any daemon for which
 * confsync_read_due is true reads as well. A confsync_t owns nothing.
 */
#ifndef FLEET_CONFSYNC_H
#define FLEET_CONFSYNC_H

#include "fleet/member.h"

enum {
    CONFSYNC_WATCHERS = 2 /* a zone */
};

typedef struct {
    int64_t trust_us; /* going on after the store's word */
    int64_t watch_us; /* longest wait of a watch */
    int64_t retry_us; /* between two reads by a daemon that needs word */
} confsync_settings_t;

#define CONFSYNC_SETTINGS_DEFAULT                                             \
    {                                                                         \
        .trust_us = 5000000, .watch_us = 1000000, .retry_us = 1000000         \
    }

/* What each heartbeat says of the sender's configuration. */
typedef struct {
    uint64_t version;
    uint64_t holds_digest; /* hold_set_digest */
    int64_t trust_us;      /* the sender may go on for so long; 0: not */
} confsync_report_t;

typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    bool self;
    uint64_t version;
    uint64_t holds_digest;
    int64_t trust_until_us;
    int64_t grant_until_us;
} confsync_peer_t;

typedef struct {
    confsync_settings_t settings;
    uint64_t version; /* in force; 0: none */
    uint64_t holds_digest;
    int64_t store_until_us;
    int64_t last_read_us;   /* last call to the store, for confsync_read_due */
    uint64_t stale_answers; /* lower versions that the store answered with */
    size_t count;
    confsync_peer_t peers[ROSTER_MEMBERS_MAX]; /* in the roster's order */
} confsync_t;

void confsync_init(confsync_t *sync, const confsync_settings_t *settings);

/* Take the group's members from the roster. */
void confsync_set_members(confsync_t *sync, const roster_doc_t *doc,
                          const char *self);

bool confsync_is_newer(const confsync_t *sync, uint64_t version);

/*
 * Put a checked version in force and take the digest of the holds left;
 * false, and nothing changed, when it is lower than the one in force. With
 * the same version it only takes the digest.
 */
bool confsync_adopt(confsync_t *sync, uint64_t version, uint64_t holds);

/*
 * The store answered a call sent at sent_us with this version, which was
 * adopted when it was newer. False when it is lower than the one in force: the
 * answer is late, or the store has lost a change. The caller then writes the
 * document in force with cas= the index of that answer, which can succeed
 * only in the second case.
 */
bool confsync_store_answered(confsync_t *sync, uint64_t version,
                             int64_t sent_us);

void confsync_report_make(const confsync_t *sync, int64_t now_us,
                          confsync_report_t *report);

/*
 * A peer's word. echo_us: the sending time of the newest heartbeat of ours
 * that it had, 0 for none; grant_until_us: its grant in force, 0 for none.
 */
void confsync_report_receive(confsync_t *sync, const char *name,
                             uint64_t incarnation,
                             const confsync_report_t *report, int64_t echo_us,
                             int64_t grant_until_us, int64_t now_us);

/* Until when the version in force may be gone by; 0: there is none. */
int64_t confsync_trust_until(const confsync_t *sync);
bool confsync_may_admit(const confsync_t *sync, int64_t now_us);

/* Whether this daemon is one of those that watch the store for its zone. */
bool confsync_is_watcher(const roster_doc_t *doc, const member_table_t *table,
                         const char *self);

/*
 * Whether to read the store now though others watch: nothing is in force, or
 * less than half of trust_us is left. Counts as the call being made.
 */
bool confsync_read_due(confsync_t *sync, int64_t now_us);

/* A peer with a newer version, to ask for it; -1 when there is none. */
int confsync_newest_peer(const confsync_t *sync);

/* Mark who has the version or a newer one; returns how many. */
size_t confsync_confirmed(const confsync_t *sync, uint64_t version,
                          bool confirmed[ROSTER_MEMBERS_MAX]);

/*
 * Whether more than half of the members have the same holds as this daemon:
 * from then on no majority can go on without them.
 */
bool confsync_holds_confirmed(const confsync_t *sync);

#endif
