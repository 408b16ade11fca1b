/*
 * Configuration versions: which version is in force on this daemon, until when
 * the daemon may trust it, and which members have it.
 *
 * Versions only rise. A daemon trusts its version only for as long as it knows
 * that no newer one can have been in force for long. Trust comes from any of:
 *
 * - The store answered a read or watch, sent at time t, with this version:
 *   until t + trust_us.
 * - A peer that trusts its own version reported no newer version and no hold
 *   that is unknown here: for the remaining trust that the peer reports,
 *   at most trust_us, from the sending of this daemon's heartbeat that it
 *   echoes.
 * - More than half of the group's members, counting this daemon, have granted
 *   it permission to act (roster.h) and reported no newer version and no
 *   unknown hold: as long as these grants last. This carries the group through
 *   an outage of the store.
 *
 * Without trust a daemon admits no new work (REASON_NO_CONFIG). A confsync_t
 * does no I/O and owns no memory:
 *
 *     confsync_init(&sync, &settings);
 *     confsync_set_members(&sync, roster_members(roster), self_name);
 *     if (confsync_is_newer(&sync, version) && it is valid)
 *         confsync_adopt(&sync, version, hold_set_digest(&holds));
 *     if (!confsync_store_answered(&sync, version, sent_us))
 *         write the document in force back to the store
 *     confsync_report_make(&sync, now, &report);    for each heartbeat
 *     confsync_report_receive(&sync, name, incarnation, &report, echo_us,
 *                             roster_grant_until(roster, name), now);
 *     if (confsync_may_admit(&sync, now)) ...
 *
 * At most two members of each zone, chosen by confsync_is_watcher, watch the
 * key in the store with a wait of at most watch_us. Any daemon for which
 * confsync_read_due is true reads it too.
 */
#ifndef FLEET_CONFSYNC_H
#define FLEET_CONFSYNC_H

#include "fleet/member.h"

enum {
    CONFSYNC_WATCHERS = 2 /* per zone */
};

typedef struct {
    int64_t trust_us; /* length of the trust, from the sending of a call */
    int64_t watch_us; /* longest wait of a watch */
    int64_t retry_us; /* least interval between reads, see confsync_read_due */
} confsync_settings_t;

#define CONFSYNC_SETTINGS_DEFAULT                                             \
    {                                                                         \
        .trust_us = 5000000, .watch_us = 1000000, .retry_us = 1000000         \
    }

/* What a heartbeat reports about the sender's configuration. */
typedef struct {
    uint64_t version;
    uint64_t holds_digest; /* see hold_set_digest */
    int64_t trust_us;      /* remaining trust of the sender; 0: none */
} confsync_report_t;

typedef struct {
    char name[NAME_SIZE];
    uint64_t incarnation;
    bool self;
    uint64_t version;
    uint64_t holds_digest;
    int64_t trust_until_us; /* end of its reported trust, local clock */
    int64_t grant_until_us; /* end of its grant to this daemon; 0: none */
} confsync_peer_t;

typedef struct {
    confsync_settings_t settings;
    uint64_t version; /* in force; 0: none */
    uint64_t holds_digest;
    int64_t store_trust_until_us; /* end of the trust from store answers */
    int64_t last_read_us;         /* when confsync_read_due was last true */
    uint64_t stale_answers; /* answers of the store with a lower version */
    size_t count;
    confsync_peer_t peers[ROSTER_MEMBERS_MAX]; /* sorted by name */
} confsync_t;

/* Start without members and with no version in force. */
void confsync_init(confsync_t *sync, const confsync_settings_t *settings);

/*
 * Set the members to those of the roster, `self` being this daemon's name. The
 * state of a member that stays with the same incarnation is kept.
 */
void confsync_set_members(confsync_t *sync, const roster_doc_t *doc,
                          const char *self);

/* Whether the version is newer than the one in force. */
bool confsync_is_newer(const confsync_t *sync, uint64_t version);

/*
 * Put a validated version in force, with the digest of the remaining holds.
 * For the version in force this only sets the digest. Returns false, and
 * changes nothing, if the version is lower than the one in force.
 */
bool confsync_adopt(confsync_t *sync, uint64_t version, uint64_t holds_digest);

/*
 * Record that the store answered a call sent at sent_us with this version; the
 * caller has adopted it if it was newer. Returns false if it is lower than the
 * version in force: the answer is stale, or the store has lost a change. The
 * caller then writes the document in force with cas= the index of that answer,
 * which succeeds only in the second case.
 */
bool confsync_store_answered(confsync_t *sync, uint64_t version,
                             int64_t sent_us);

/* Make the report for the next heartbeats. */
void confsync_report_make(const confsync_t *sync, int64_t now_us,
                          confsync_report_t *report);

/*
 * Record a peer's report. echo_us: the sending time of the newest heartbeat
 * from this daemon that the peer had received, 0 for none. grant_until_us: end
 * of its grant to this daemon, 0 for none.
 */
void confsync_report_receive(confsync_t *sync, const char *name,
                             uint64_t incarnation,
                             const confsync_report_t *report, int64_t echo_us,
                             int64_t grant_until_us, int64_t now_us);

/* Until when the version in force is trusted; 0 when there is none. */
int64_t confsync_trust_until(const confsync_t *sync);

/* Whether the version in force is trusted, so that work may be admitted. */
bool confsync_may_admit(const confsync_t *sync, int64_t now_us);

/* Whether the daemon `self` watches the store for its zone. */
bool confsync_is_watcher(const roster_doc_t *doc, const member_table_t *table,
                         const char *self);

/*
 * Whether to read the store now, even if this daemon is no watcher: nothing is
 * in force, or at most half of trust_us is left. True at most once in
 * retry_us; the caller must then make the call.
 */
bool confsync_read_due(confsync_t *sync, int64_t now_us);

/*
 * Index of the peer with the newest version, if that is newer than the one in
 * force; -1 otherwise.
 */
int confsync_newest_peer(const confsync_t *sync);

/*
 * Set confirmed[i] if member i has the version or a newer one. Returns the
 * number of such members.
 */
size_t confsync_confirmed(const confsync_t *sync, uint64_t version,
                          bool confirmed[ROSTER_MEMBERS_MAX]);

/*
 * Whether more than half of the members have the same holds as this daemon.
 * From then on no majority can trust the configuration without these holds.
 */
bool confsync_holds_confirmed(const confsync_t *sync);

#endif
