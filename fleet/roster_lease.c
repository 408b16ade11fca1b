#include "fleet/roster_state.h"

#include <stdlib.h>
#include <string.h>

/* Whether the member was replaced so long ago that its grants have ended. */
static bool
peer_is_replaced(const roster_t *roster, const roster_peer_t *peer,
                 int64_t now_us)
{
    const roster_settings_t *s = &roster->settings;
    return peer->replaced_us != 0 &&
           now_us - peer->replaced_us > s->grant_us + s->drain_us;
}

/*
 * Whether the member has not renewed for longer than any member may act by
 * grants alone. Measured up to the last read, since later renewals are not
 * known here.
 */
static bool
peer_is_abandoned(const roster_t *roster, const roster_peer_t *peer)
{
    return roster->last_read_us - peer->renewals_changed_us >
           roster->settings.abandon_us;
}

static uint64_t
roster_peer_acked(const roster_t *roster, size_t i)
{
    return (int)i == roster->self_index ? roster->acked_version
                                        : roster->peers[i].acked_version;
}

bool
roster_is_confirmed(const roster_t *roster, int64_t now_us)
{
    size_t count = 0;
    for (size_t i = 0; i < roster->doc.count; i++) {
        const roster_peer_t *peer = &roster->peers[i];
        if (roster_peer_acked(roster, i) >= roster->doc.version ||
            peer_is_replaced(roster, peer, now_us) ||
            peer_is_abandoned(roster, peer)) {
            count++;
        }
    }
    return count >= roster_doc_majority(&roster->doc);
}

bool
roster_has_issued_grants(const roster_t *roster, uint64_t version,
                         int64_t now_us)
{
    for (size_t i = 0; i < roster->doc.count; i++) {
        const roster_peer_t *peer = &roster->peers[i];
        if (now_us < peer->issued_grant_until_us && peer->version < version) {
            return true;
        }
    }
    return now_us < roster->removed_grants_until_us;
}

void
roster_update_acked(roster_t *roster, int64_t now_us)
{
    if (roster->released_version > roster->acked_version &&
        !roster_has_issued_grants(roster, roster->released_version, now_us)) {
        roster->acked_version = roster->released_version;
    }
}

void
roster_release(roster_t *roster, uint64_t version, int64_t now_us)
{
    if (version <= roster->doc.version && version > roster->released_version) {
        roster->released_version = version;
    }
    roster_update_acked(roster, now_us);
}

bool
roster_urgent(roster_t *roster, int64_t now_us)
{
    roster_update_acked(roster, now_us);
    bool urgent = roster->announced_acked != roster->acked_version ||
                  roster->announced_version != roster->doc.version;
    roster->announced_acked = roster->acked_version;
    roster->announced_version = roster->doc.version;
    return urgent;
}

/* Index of the member with this name and incarnation; -1: none. */
static int
roster_find(const roster_t *roster, const char *name, uint64_t incarnation)
{
    int i = roster_doc_find(&roster->doc, name);
    if (i < 0 || roster->doc.members[i].incarnation != incarnation) {
        return -1;
    }
    return i;
}

/*
 * Whether this daemon's renewal is late: the store is down, slow or
 * unreachable.
 */
static bool
roster_renewal_is_late(const roster_t *roster, int64_t now_us)
{
    return roster->self_index >= 0 && roster->renewed &&
           now_us - roster->renewed_us > roster->settings.lease_us / 2;
}

/*
 * Grants are issued only to a member that requests them and acts by the same
 * version. While the store is healthy there are none, and changes of the
 * roster need not wait for the end of a grant.
 */
static bool
roster_may_grant(const roster_t *roster, const roster_peer_t *peer,
                 int64_t now_us)
{
    const roster_settings_t *s = &roster->settings;
    if (roster->self_index < 0 || !roster->renewed ||
        peer->grant_requested_us == 0) {
        return false;
    }
    return now_us - peer->grant_requested_us < s->grant_us &&
           now_us - roster->renewed_us < s->grant_max_us &&
           peer->version == roster->doc.version;
}

static void
roster_fill_heartbeat(roster_t *roster, int receiver, int64_t now_us,
                      roster_heartbeat_t *heartbeat)
{
    roster_update_acked(roster, now_us);
    *heartbeat = (roster_heartbeat_t){
        .incarnation = roster->self.incarnation,
        .version = roster->doc.version,
        .acked_version = roster->acked_version,
        .sent_us = now_us,
        .requests_grant = roster_renewal_is_late(roster, now_us),
        .holds_lease = roster_may_act(roster, now_us),
    };
    memcpy(heartbeat->name, roster->self.name, NAME_SIZE);
    if (receiver < 0 || receiver == roster->self_index) {
        return;
    }
    roster_peer_t *peer = &roster->peers[receiver];
    if (roster_may_grant(roster, peer, now_us)) {
        heartbeat->grants = true;
        peer->issued_grant_until_us =
            now_us + roster->settings.grant_us + roster->settings.drain_us;
    }
}

void
roster_heartbeat_make(roster_t *roster, size_t member, int64_t now_us,
                      roster_heartbeat_t *heartbeat)
{
    roster_fill_heartbeat(roster, (int)member, now_us, heartbeat);
    heartbeat->echo_us = roster->peers[member].echo_us;
}

void
roster_heartbeat_answer(roster_t *roster, const roster_heartbeat_t *received,
                        int64_t now_us, roster_heartbeat_t *heartbeat)
{
    int receiver = roster_find(roster, received->name, received->incarnation);
    roster_fill_heartbeat(roster, receiver, now_us, heartbeat);
    heartbeat->echo_us = received->sent_us;
}

static bool
roster_echo_is_fresh(const roster_t *roster,
                     const roster_heartbeat_t *heartbeat, int64_t now_us)
{
    return heartbeat->echo_us != 0 && heartbeat->echo_us <= now_us &&
           now_us - heartbeat->echo_us < roster->settings.grant_us;
}

static void
roster_take_grant(roster_t *roster, roster_peer_t *peer,
                  const roster_heartbeat_t *heartbeat, int64_t now_us)
{
    if (!heartbeat->grants || heartbeat->version != roster->doc.version ||
        !roster_echo_is_fresh(roster, heartbeat, now_us)) {
        return;
    }
    int64_t until_us = heartbeat->echo_us + roster->settings.grant_us;
    if (until_us > peer->received_grant_until_us) {
        peer->received_grant_until_us = until_us;
    }
}

/*
 * A newer version exists: schedule a read, at least a quarter of retry_us
 * after the last one.
 */
static void
roster_schedule_read(roster_t *roster, int64_t now_us)
{
    if (roster->newer_exists) {
        return;
    }
    roster->newer_exists = true;
    int64_t next_us = roster->last_read_us + roster->settings.retry_us / 4;
    if (next_us < now_us) {
        next_us = now_us;
    }
    if (next_us < roster->next_call_us) {
        roster->next_call_us = next_us;
    }
}

/*
 * Another member has acknowledged the current version. If a join or leave of
 * this daemon waits for a majority that is now reached, schedule it.
 */
static void
roster_schedule_change(roster_t *roster, int64_t now_us)
{
    bool pending = roster->self_index < 0 || roster->leaving;
    if (!pending || !roster_is_confirmed(roster, now_us)) {
        return;
    }
    int64_t next_us =
        now_us + roster_jitter(roster, roster->settings.retry_us, 100);
    if (next_us < roster->next_call_us) {
        roster->next_call_us = next_us;
    }
}

void
roster_heartbeat_receive(roster_t *roster, const roster_heartbeat_t *heartbeat,
                         int64_t now_us)
{
    if (heartbeat->version > roster->doc.version) {
        roster_schedule_read(roster, now_us);
    }
    int i = roster_find(roster, heartbeat->name, heartbeat->incarnation);
    if (i < 0) {
        return;
    }
    roster_peer_t *peer = &roster->peers[i];
    if (heartbeat->sent_us > peer->echo_us) {
        peer->echo_us = heartbeat->sent_us;
    }
    if (heartbeat->acked_version > peer->acked_version) {
        peer->acked_version = heartbeat->acked_version;
        roster_schedule_change(roster, now_us);
    }
    if (heartbeat->version > peer->version) {
        peer->version = heartbeat->version;
    }
    if (heartbeat->holds_lease) {
        peer->lease_reported_us = now_us;
    }
    peer->grant_requested_us = heartbeat->requests_grant ? now_us : 0;
    roster_take_grant(roster, peer, heartbeat, now_us);
}

int64_t
roster_grant_until(const roster_t *roster, const char *name)
{
    int i = roster_doc_find(&roster->doc, name);
    return i < 0 ? 0 : roster->peers[i].received_grant_until_us;
}

void
roster_leave(roster_t *roster)
{
    roster->leaving = true;
    roster->next_call_us = 0;
}

bool
roster_left(const roster_t *roster)
{
    return roster->leaving && roster->self_index < 0;
}

static int
compare_descending(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left < right) - (left > right);
}

/*
 * End of the time for which more than half of the members, including this
 * daemon, permit it to act. A single member has no peer that could tell it of
 * its replacement, so grants never permit it to act.
 */
static int64_t
roster_granted_until(const roster_t *roster)
{
    if (roster->doc.count < 2) {
        return 0;
    }
    int64_t until[ROSTER_MEMBERS_MAX] = {0};
    for (size_t i = 0; i < roster->doc.count; i++) {
        until[i] = (int)i == roster->self_index
                       ? INT64_MAX
                       : roster->peers[i].received_grant_until_us;
    }
    qsort(until, roster->doc.count, sizeof(until[0]), compare_descending);
    int64_t granted_us = until[roster_doc_majority(&roster->doc) - 1];
    int64_t limit_us = roster->renewed_us + roster->settings.grant_max_us;
    return granted_us < limit_us ? granted_us : limit_us;
}

int64_t
roster_act_until(const roster_t *roster, int64_t now_us)
{
    if (roster->self_index < 0 || !roster->renewed || roster->leaving) {
        return 0;
    }
    const roster_member_t *self = &roster->doc.members[roster->self_index];
    if (self->leaving || self->replaced) {
        return 0;
    }
    int64_t lease_until_us = roster->renewed_us + roster->settings.lease_us;
    if (now_us < lease_until_us) {
        return lease_until_us;
    }
    return roster_granted_until(roster);
}

bool
roster_may_act(const roster_t *roster, int64_t now_us)
{
    return now_us < roster_act_until(roster, now_us);
}

uint64_t
roster_version(const roster_t *roster)
{
    return roster->doc.version;
}

const roster_doc_t *
roster_members(const roster_t *roster)
{
    return &roster->doc;
}

/* Set the ranks of all members; returns the owner's index, -1: none. */
static int
roster_rank(const roster_t *roster, owner_key_t upstream,
            uint64_t ranks[ROSTER_MEMBERS_MAX])
{
    int best = -1;
    for (size_t i = 0; i < roster->doc.count; i++) {
        ranks[i] = owner_rank(upstream, roster->peers[i].key);
        if (!roster->doc.members[i].leaving &&
            (best < 0 || ranks[i] > ranks[best])) {
            best = (int)i;
        }
    }
    return best;
}

/*
 * Whether member k may still own the upstream by an earlier version. It can't
 * if some other member ranks higher and was a member in every version that k
 * can be acting by.
 */
static bool
roster_may_still_own(const roster_t *roster, const uint64_t *ranks, size_t k)
{
    uint64_t acked = roster_peer_acked(roster, k);
    if (acked >= roster->doc.version) {
        return false;
    }
    for (size_t i = 0; i < roster->doc.count; i++) {
        const roster_member_t *member = &roster->doc.members[i];
        if (i != k && !member->leaving && member->joined <= acked &&
            ranks[i] > ranks[k]) {
            return false;
        }
    }
    return true;
}

/*
 * Whether the member that the current version removed, if any, may still own
 * the upstream.
 */
static bool
roster_removed_may_still_own(const roster_t *roster, owner_key_t upstream,
                             uint64_t own_rank, int64_t now_us)
{
    const roster_doc_t *doc = &roster->doc;
    if (doc->removed_name[0] == '\0') {
        return false;
    }
    owner_key_t removed = owner_key(doc->removed_name, doc->removed_zone);
    return owner_rank(upstream, removed) >= own_rank &&
           !roster_is_confirmed(roster, now_us);
}

roster_owner_t
roster_owner(const roster_t *roster, owner_key_t upstream, int64_t now_us,
             int *member)
{
    uint64_t ranks[ROSTER_MEMBERS_MAX];
    *member = roster_rank(roster, upstream, ranks);
    if (*member < 0) {
        return ROSTER_NONE;
    }
    if (*member != roster->self_index) {
        return ROSTER_OTHER;
    }
    if (!roster_may_act(roster, now_us)) {
        return ROSTER_PAUSED;
    }
    for (size_t k = 0; k < roster->doc.count; k++) {
        if ((int)k != *member && roster_may_still_own(roster, ranks, k)) {
            return ROSTER_WAITING;
        }
    }
    if (roster_removed_may_still_own(roster, upstream, ranks[*member],
                                     now_us)) {
        return ROSTER_WAITING;
    }
    return ROSTER_ACTIVE;
}

void
roster_stats(const roster_t *roster, int64_t now_us, roster_stats_t *stats)
{
    *stats = roster->stats;
    stats->member = roster->self_index >= 0;
    stats->renewed_us = roster->renewed ? roster->renewed_us : 0;
    stats->on_grants =
        roster_may_act(roster, now_us) &&
        now_us >= roster->renewed_us + roster->settings.lease_us;
}
