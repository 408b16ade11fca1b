#include "fleet/roster_state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    JITTER_PERCENT = 20,
    /*
     * A gap between successful reads of more than this many renewal intervals
     * restarts the expiry of members.
     */
    READ_GAP_RENEWALS = 3
};

int64_t
roster_jitter(roster_t *roster, int64_t base_us, int percent)
{
    uint64_t counter = roster->jitter_count++;
    uint64_t hash = XXH64(&counter, sizeof(counter), roster->settings.seed);
    int64_t range = base_us * percent / 100;
    return range == 0 ? base_us : base_us - (int64_t)(hash % (uint64_t)range);
}

roster_t *
roster_new(const roster_settings_t *settings, const roster_member_t *self)
{
    roster_t *roster = calloc(1, sizeof(*roster));
    if (roster == NULL) {
        return NULL;
    }
    roster->settings = *settings;
    roster->self = *self;
    roster->self_index = -1;
    return roster;
}

void
roster_free(roster_t *roster)
{
    free(roster);
}

static int
doc_find_self(const roster_t *roster, const roster_doc_t *doc)
{
    int i = roster_doc_find(doc, roster->self.name);
    if (i < 0 || doc->members[i].incarnation != roster->self.incarnation) {
        return -1;
    }
    return i;
}

/*
 * Set up the peers for a new document. The state of a member that stays with
 * the same incarnation is kept, except for its grant, which was for the
 * previous version.
 */
static void
roster_rebuild_peers(roster_t *roster, const roster_doc_t *doc, int64_t now_us)
{
    roster_peer_t peers[ROSTER_MEMBERS_MAX] = {0};
    for (size_t i = 0; i < doc->count; i++) {
        const roster_member_t *member = &doc->members[i];
        peers[i] = (roster_peer_t){
            .key = owner_key(member->name, member->zone),
            .renewals_changed_us = now_us,
        };
        int old = roster_doc_find(&roster->doc, member->name);
        if (old >= 0 &&
            roster->doc.members[old].incarnation == member->incarnation) {
            peers[i] = roster->peers[old];
            peers[i].received_grant_until_us = 0;
            if (roster->doc.members[old].renewals != member->renewals) {
                peers[i].renewals_changed_us = now_us;
            }
        }
    }
    memcpy(roster->peers, peers, sizeof(peers));
}

/* Record the latest end of the grants issued to members that doc lacks. */
static void
roster_note_removed_grants(roster_t *roster, const roster_doc_t *doc)
{
    for (size_t i = 0; i < roster->doc.count; i++) {
        const roster_member_t *old = &roster->doc.members[i];
        int kept = roster_doc_find(doc, old->name);
        bool dropped =
            kept < 0 || doc->members[kept].incarnation != old->incarnation;
        if (dropped && roster->peers[i].issued_grant_until_us >
                           roster->removed_grants_until_us) {
            roster->removed_grants_until_us =
                roster->peers[i].issued_grant_until_us;
        }
    }
}

static void
roster_apply_version(roster_t *roster, const roster_doc_t *doc, int64_t now_us)
{
    roster_note_removed_grants(roster, doc);
    roster_rebuild_peers(roster, doc, now_us);
    roster->doc = *doc;
    roster->self_index = doc_find_self(roster, doc);
    if (roster->self_index < 0) {
        roster->renewed = false;
    }
    roster->stats.version_changes++;
}

/*
 * Whether two documents of one version have the same members. False only if
 * one was edited by hand.
 */
static bool
doc_same_members(const roster_doc_t *a, const roster_doc_t *b)
{
    if (a->count != b->count) {
        return false;
    }
    for (size_t i = 0; i < a->count; i++) {
        if (a->members[i].incarnation != b->members[i].incarnation ||
            a->members[i].leaving != b->members[i].leaving ||
            strcmp(a->members[i].name, b->members[i].name) != 0) {
            return false;
        }
    }
    return true;
}

static void
peer_raise_acked(roster_peer_t *peer, uint64_t version)
{
    if (version > peer->acked_version) {
        peer->acked_version = version;
    }
}

/*
 * Adopt a document unless its version is lower than the current one. Renewals
 * are ignored here: expiry is measured only on documents read from the store,
 * see roster_observe_renewals.
 */
static bool
roster_apply_doc(roster_t *roster, const roster_doc_t *doc, int64_t now_us)
{
    if (doc->version < roster->doc.version) {
        return false;
    }
    if (doc->version == roster->doc.version &&
        !doc_same_members(doc, &roster->doc)) {
        return false;
    }
    if (doc->version > roster->doc.version) {
        roster_apply_version(roster, doc, now_us);
    }
    for (size_t i = 0; i < doc->count; i++) {
        peer_raise_acked(&roster->peers[i], doc->members[i].acked_version);
    }
    return true;
}

static void
roster_observe_renewals(roster_t *roster, const roster_doc_t *doc,
                        int64_t now_us)
{
    for (size_t i = 0; i < doc->count; i++) {
        roster_member_t *known = &roster->doc.members[i];
        if (known->renewals != doc->members[i].renewals) {
            roster->peers[i].renewals_changed_us = now_us;
        }
        if (doc->members[i].replaced && roster->peers[i].replaced_us == 0) {
            roster->peers[i].replaced_us = now_us;
        }
        *known = doc->members[i];
    }
}

/*
 * Find out when the renewal that the current document shows for this daemon
 * was sent, and extend the lease from there.
 */
static void
roster_confirm_renewal(roster_t *roster)
{
    if (roster->self_index < 0) {
        return;
    }
    uint64_t found = roster->doc.members[roster->self_index].renewals;
    const roster_attempt_t *attempt =
        &roster->attempts[found % ROSTER_ATTEMPTS_KEPT];
    if (attempt->renewals != found || found == 0) {
        return;
    }
    if (!roster->renewed || attempt->sent_us > roster->renewed_us) {
        roster->renewed_us = attempt->sent_us;
        roster->renewed = true;
        roster->renewal_due_us =
            attempt->sent_us +
            roster_jitter(roster, roster->settings.renew_us, JITTER_PERCENT);
    }
}

static void
roster_apply_read(roster_t *roster, uint64_t index, const roster_doc_t *doc,
                  int64_t now_us)
{
    if (index < roster->index || !roster_apply_doc(roster, doc, now_us)) {
        return;
    }
    int64_t max_gap_us = READ_GAP_RENEWALS * roster->settings.renew_us;
    if (roster->reads_since_us == 0 ||
        now_us - roster->last_read_us > max_gap_us) {
        roster->reads_since_us = now_us;
    }
    roster->index = index;
    roster->last_read_us = now_us;
    roster->fresh = true;
    roster->newer_exists = false;
    roster_observe_renewals(roster, doc, now_us);
    roster_confirm_renewal(roster);
}

static void
roster_call_failed(roster_t *roster, int64_t now_us)
{
    roster->stats.failures++;
    roster->next_call_us =
        now_us +
        roster_jitter(roster, roster->settings.retry_us, JITTER_PERCENT);
}

void
roster_read_result(roster_t *roster, status_t status, uint64_t index,
                   const char *text, size_t size, int64_t now_us)
{
    roster->pending_call = CALL_NONE;
    roster_doc_t doc = {0};
    if (status == STATUS_NOT_FOUND) {
        index = 0;
    }
    else if (status != STATUS_OK ||
             roster_doc_parse(text, size, &doc, NULL) != STATUS_OK) {
        roster_call_failed(roster, now_us);
        return;
    }
    roster_apply_read(roster, index, &doc, now_us);
    if (!roster->fresh) {
        roster_call_failed(roster, now_us);
        return;
    }
    roster->next_call_us = now_us;
}

void
roster_watch_result(roster_t *roster, uint64_t index, const char *text,
                    size_t size, int64_t now_us)
{
    roster_doc_t doc;
    if (roster->pending_call == CALL_WRITE ||
        roster_doc_parse(text, size, &doc, NULL) != STATUS_OK) {
        return;
    }
    roster_apply_read(roster, index, &doc, now_us);
}

void
roster_adopt(roster_t *roster, const char *text, size_t size, int64_t now_us)
{
    roster_doc_t doc;
    if (roster_doc_parse(text, size, &doc, NULL) != STATUS_OK) {
        return;
    }
    if (doc.version > roster->doc.version) {
        roster->fresh = false;
    }
    roster_apply_doc(roster, &doc, now_us);
}

char *
roster_text(const roster_t *roster)
{
    return roster_doc_format(&roster->doc);
}

/*
 * Whether member i has not renewed for expire_us, has not reported a lease in
 * its heartbeats for lease_us, and is not this daemon. Time before the current
 * run of reads does not count, since renewals were not observed then.
 */
static bool
roster_peer_is_expired(const roster_t *roster, size_t i, int64_t now_us)
{
    const roster_peer_t *peer = &roster->peers[i];
    if ((int)i == roster->self_index) {
        return false;
    }
    int64_t since_us = peer->renewals_changed_us > roster->reads_since_us
                           ? peer->renewals_changed_us
                           : roster->reads_since_us;
    if (now_us - since_us <= roster->settings.expire_us) {
        return false;
    }
    return peer->lease_reported_us == 0 ||
           now_us - peer->lease_reported_us > roster->settings.lease_us;
}

/* Index of an expired member; -1 when there is none. */
static int
roster_find_expired(const roster_t *roster, int64_t now_us)
{
    for (size_t i = 0; i < roster->doc.count; i++) {
        if (roster_peer_is_expired(roster, i, now_us)) {
            return (int)i;
        }
    }
    return -1;
}

/* Start the next version, without a removed member. */
static void
doc_new_version(roster_doc_t *doc)
{
    doc->version++;
    doc->removed_name[0] = '\0';
    doc->removed_zone[0] = '\0';
}

static void
roster_propose_removal(roster_t *roster, int expired)
{
    roster_doc_t *doc = &roster->proposed;
    doc_new_version(doc);
    memcpy(doc->removed_name, doc->members[expired].name, NAME_SIZE);
    memcpy(doc->removed_zone, doc->members[expired].zone, NAME_SIZE);
    roster_doc_remove(doc, (size_t)expired);
}

static void
roster_propose_join(roster_t *roster)
{
    roster_doc_t *doc = &roster->proposed;
    doc_new_version(doc);
    roster_member_t self = roster->self;
    self.renewals = 0;
    self.joined = doc->version;
    self.acked_version = doc->version;
    self.leaving = false;
    roster_doc_add(doc, &self);
}

/*
 * Whether the member is an earlier process with this daemon's name and
 * address. This process listens there now, so the earlier one is cut off.
 */
static bool
member_is_predecessor(const roster_t *roster, const roster_member_t *member)
{
    const roster_member_t *self = &roster->self;
    return member->incarnation != self->incarnation &&
           member->peer_port == self->peer_port &&
           strcmp(member->name, self->name) == 0 &&
           strcmp(member->address, self->address) == 0;
}

/*
 * Mark the earlier process with this daemon's name and address as replaced.
 * Being cut off, it can neither issue nor receive grants.
 */
static bool
roster_propose_replaced(roster_t *roster)
{
    int old = roster_doc_find(&roster->proposed, roster->self.name);
    if (old < 0 || roster->proposed.members[old].replaced ||
        !member_is_predecessor(roster, &roster->proposed.members[old])) {
        return false;
    }
    roster->proposed.members[old].replaced = true;
    return true;
}

/*
 * Put at most one change of membership into the proposed document. Returns
 * whether there is one.
 */
static bool
roster_propose_change(roster_t *roster, int64_t now_us)
{
    if (!roster_is_confirmed(roster, now_us)) {
        return false;
    }
    int self = roster->self_index;
    if (self >= 0 && roster->leaving) {
        if (roster->acked_version < roster->doc.version) {
            return false;
        }
        doc_new_version(&roster->proposed);
        if (roster->proposed.members[self].leaving) {
            roster_doc_remove(&roster->proposed, (size_t)self);
        }
        else {
            roster->proposed.members[self].leaving = true;
        }
        return true;
    }
    int expired = roster_find_expired(roster, now_us);
    if (expired >= 0) {
        roster_propose_removal(roster, expired);
        return true;
    }
    bool can_add = roster->doc.count < ROSTER_MEMBERS_MAX &&
                   roster_doc_find(&roster->doc, roster->self.name) < 0;
    if (self < 0 && !roster->leaving && can_add &&
        !roster_has_issued_grants(roster, UINT64_MAX, now_us)) {
        roster_propose_join(roster);
        return true;
    }
    return false;
}

static void
roster_propose_renewal(roster_t *roster, int64_t now_us)
{
    int self = doc_find_self(roster, &roster->proposed);
    if (self < 0) {
        return;
    }
    roster->last_attempt++;
    roster->attempts[roster->last_attempt % ROSTER_ATTEMPTS_KEPT] =
        (roster_attempt_t){
            .renewals = roster->last_attempt,
            .sent_us = now_us,
        };
    roster_member_t *member = &roster->proposed.members[self];
    member->renewals = roster->last_attempt;
    if (roster->acked_version > member->acked_version) {
        member->acked_version = roster->acked_version;
    }
}

static bool
roster_renewal_is_due(const roster_t *roster, int64_t now_us)
{
    return roster->self_index >= 0 &&
           (!roster->renewed || now_us >= roster->renewal_due_us);
}

/* Schedule the next read when there is nothing to write. */
static void
roster_schedule_next(roster_t *roster, int64_t now_us)
{
    bool pending = roster->self_index < 0 || roster->leaving ||
                   roster_find_expired(roster, now_us) >= 0;
    int64_t retry_us =
        roster_jitter(roster, roster->settings.retry_us, JITTER_PERCENT);
    roster->fresh = false;
    roster->next_call_us =
        pending ? now_us + retry_us : roster->renewal_due_us;
}

static roster_step_t
roster_start_write(roster_t *roster, int64_t now_us, roster_request_t *request)
{
    roster_propose_renewal(roster, now_us);
    request->text = roster_doc_format(&roster->proposed);
    if (request->text == NULL) {
        return ROSTER_IDLE;
    }
    request->index = roster->index;
    roster->pending_call = CALL_WRITE;
    roster->fresh = false;
    roster->stats.writes++;
    return ROSTER_WRITE;
}

roster_step_t
roster_next(roster_t *roster, int64_t now_us, roster_request_t *request)
{
    *request = (roster_request_t){0};
    if (roster->pending_call != CALL_NONE || now_us < roster->next_call_us) {
        return ROSTER_IDLE;
    }
    roster_update_acked(roster, now_us);
    if (!roster->fresh || roster->newer_exists) {
        roster->pending_call = CALL_READ;
        roster->fresh = false;
        roster->stats.reads++;
        return ROSTER_READ;
    }
    roster->proposed = roster->doc;
    bool change = roster_propose_replaced(roster) ||
                  roster_propose_change(roster, now_us);
    if (!change && !roster_renewal_is_due(roster, now_us)) {
        roster_schedule_next(roster, now_us);
        return ROSTER_IDLE;
    }
    return roster_start_write(roster, now_us, request);
}

int64_t
roster_wakeup(const roster_t *roster, int64_t now_us)
{
    if (roster->pending_call != CALL_NONE) {
        return INT64_MAX;
    }
    return roster->next_call_us > now_us ? roster->next_call_us : now_us;
}

static void
roster_write_applied(roster_t *roster, int64_t now_us)
{
    const roster_doc_t *applied = &roster->proposed;
    if (applied->version < roster->doc.version) {
        return;
    }
    if (applied->version > roster->doc.version &&
        applied->removed_name[0] != '\0') {
        roster->stats.removals++;
    }
    bool joins = roster->self_index < 0;
    roster_apply_doc(roster, applied, now_us);
    roster_observe_renewals(roster, applied, now_us);
    if (joins && roster->self_index >= 0) {
        roster->released_version = applied->version;
        roster->acked_version = applied->version;
    }
    roster_confirm_renewal(roster);
}

void
roster_write_result(roster_t *roster, status_t status, int64_t now_us)
{
    roster->pending_call = CALL_NONE;
    switch (status) {
    case STATUS_OK:
        roster_write_applied(roster, now_us);
        roster->next_call_us =
            roster->leaving ? now_us : roster->renewal_due_us;
        break;
    case STATUS_CONFLICT:
        roster->stats.conflicts++;
        roster->next_call_us = now_us;
        break;
    default:
        roster_call_failed(roster, now_us);
        break;
    }
}
