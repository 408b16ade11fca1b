#include "fleet/confsync.h"

#include "fleet/owner.h"

#include <stdlib.h>
#include <string.h>

void
confsync_init(confsync_t *sync, const confsync_settings_t *settings)
{
    *sync = (confsync_t){.settings = *settings};
}

static confsync_peer_t *
confsync_find(confsync_t *sync, const char *name, uint64_t incarnation)
{
    for (size_t i = 0; i < sync->count; i++) {
        confsync_peer_t *peer = &sync->peers[i];
        if (peer->incarnation == incarnation &&
            strcmp(peer->name, name) == 0) {
            return peer;
        }
    }
    return NULL;
}

void
confsync_set_members(confsync_t *sync, const roster_doc_t *doc,
                     const char *self)
{
    confsync_t old = *sync;
    sync->count = doc->count;
    for (size_t i = 0; i < doc->count; i++) {
        const roster_member_t *member = &doc->members[i];
        const confsync_peer_t *known =
            confsync_find(&old, member->name, member->incarnation);
        if (known != NULL) {
            sync->peers[i] = *known;
            continue;
        }
        sync->peers[i] = (confsync_peer_t){
            .incarnation = member->incarnation,
            .self = strcmp(member->name, self) == 0,
        };
        memcpy(sync->peers[i].name, member->name, NAME_SIZE);
    }
}

bool
confsync_is_newer(const confsync_t *sync, uint64_t version)
{
    return version > sync->version;
}

bool
confsync_adopt(confsync_t *sync, uint64_t version, uint64_t holds_digest)
{
    if (version < sync->version) {
        return false;
    }
    sync->version = version;
    sync->holds_digest = holds_digest;
    return true;
}

bool
confsync_store_answered(confsync_t *sync, uint64_t version, int64_t sent_us)
{
    if (version < sync->version) {
        sync->stale_answers++;
        return false;
    }
    int64_t until_us = sent_us + sync->settings.trust_us;
    if (version == sync->version && until_us > sync->store_trust_until_us) {
        sync->store_trust_until_us = until_us;
    }
    return true;
}

void
confsync_report_make(const confsync_t *sync, int64_t now_us,
                     confsync_report_t *report)
{
    int64_t left_us = confsync_trust_until(sync) - now_us;
    *report = (confsync_report_t){
        .version = sync->version,
        .holds_digest = sync->holds_digest,
        .trust_us = left_us > 0 ? left_us : 0,
    };
}

void
confsync_report_receive(confsync_t *sync, const char *name,
                        uint64_t incarnation, const confsync_report_t *report,
                        int64_t echo_us, int64_t grant_until_us,
                        int64_t now_us)
{
    confsync_peer_t *peer = confsync_find(sync, name, incarnation);
    if (peer == NULL || report->version < peer->version) {
        return;
    }
    if (report->version != peer->version ||
        report->holds_digest != peer->holds_digest) {
        peer->trust_until_us = 0;
    }
    peer->version = report->version;
    peer->holds_digest = report->holds_digest;
    peer->grant_until_us = grant_until_us;
    if (echo_us <= 0 || echo_us > now_us || report->trust_us <= 0) {
        return;
    }
    int64_t trust_us = report->trust_us < sync->settings.trust_us
                           ? report->trust_us
                           : sync->settings.trust_us;
    if (echo_us + trust_us > peer->trust_until_us) {
        peer->trust_until_us = echo_us + trust_us;
    }
}

/* Whether the peer has no newer version and no hold unknown here. */
static bool
peer_has_nothing_newer(const confsync_t *sync, const confsync_peer_t *peer)
{
    bool holds =
        peer->holds_digest == 0 || peer->holds_digest == sync->holds_digest;
    return peer->version != 0 && peer->version <= sync->version && holds;
}

static int
compare_descending(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left < right) - (left > right);
}

/* Until when grants of more than half of the members support the version. */
static int64_t
confsync_granted_until(const confsync_t *sync)
{
    int64_t until[ROSTER_MEMBERS_MAX] = {0};
    bool is_member = false;
    for (size_t i = 0; i < sync->count; i++) {
        const confsync_peer_t *peer = &sync->peers[i];
        is_member = is_member || peer->self;
        if (peer->self) {
            until[i] = INT64_MAX;
        }
        else if (peer_has_nothing_newer(sync, peer)) {
            until[i] = peer->grant_until_us;
        }
    }
    if (!is_member || sync->count < 2) {
        return 0;
    }
    qsort(until, sync->count, sizeof(until[0]), compare_descending);
    return until[sync->count / 2];
}

int64_t
confsync_trust_until(const confsync_t *sync)
{
    if (sync->version == 0) {
        return 0;
    }
    int64_t until_us = confsync_granted_until(sync);
    if (sync->store_trust_until_us > until_us) {
        until_us = sync->store_trust_until_us;
    }
    for (size_t i = 0; i < sync->count; i++) {
        const confsync_peer_t *peer = &sync->peers[i];
        if (!peer->self && peer_has_nothing_newer(sync, peer) &&
            peer->trust_until_us > until_us) {
            until_us = peer->trust_until_us;
        }
    }
    return until_us;
}

bool
confsync_may_admit(const confsync_t *sync, int64_t now_us)
{
    return now_us < confsync_trust_until(sync);
}

bool
confsync_is_watcher(const roster_doc_t *doc, const member_table_t *table,
                    const char *self)
{
    int own = roster_doc_find(doc, self);
    if (own < 0) {
        return false;
    }
    const char *zone = doc->members[own].zone;
    owner_key_t watch = owner_key("config", zone);
    uint64_t own_rank = owner_rank(watch, owner_key(self, zone));
    size_t ranked_higher = 0;
    for (size_t i = 0; i < doc->count; i++) {
        const roster_member_t *member = &doc->members[i];
        bool candidate = (int)i != own && !member->leaving &&
                         strcmp(member->zone, zone) == 0 &&
                         member_state(table, member->name) == MEMBER_ALIVE;
        if (candidate &&
            owner_rank(watch, owner_key(member->name, zone)) > own_rank) {
            ranked_higher++;
        }
    }
    return ranked_higher < CONFSYNC_WATCHERS;
}

bool
confsync_read_due(confsync_t *sync, int64_t now_us)
{
    const confsync_settings_t *s = &sync->settings;
    bool too_soon =
        sync->last_read_us != 0 && now_us - sync->last_read_us < s->retry_us;
    int64_t left_us = confsync_trust_until(sync) - now_us;
    if (too_soon || left_us > s->trust_us / 2) {
        return false;
    }
    sync->last_read_us = now_us;
    return true;
}

int
confsync_newest_peer(const confsync_t *sync)
{
    int best = -1;
    uint64_t version = sync->version;
    for (size_t i = 0; i < sync->count; i++) {
        if (!sync->peers[i].self && sync->peers[i].version > version) {
            version = sync->peers[i].version;
            best = (int)i;
        }
    }
    return best;
}

size_t
confsync_confirmed(const confsync_t *sync, uint64_t version,
                   bool confirmed[ROSTER_MEMBERS_MAX])
{
    size_t count = 0;
    for (size_t i = 0; i < sync->count; i++) {
        uint64_t has =
            sync->peers[i].self ? sync->version : sync->peers[i].version;
        confirmed[i] = has >= version;
        count += confirmed[i] ? 1 : 0;
    }
    return count;
}

bool
confsync_holds_confirmed(const confsync_t *sync)
{
    size_t count = 0;
    for (size_t i = 0; i < sync->count; i++) {
        const confsync_peer_t *peer = &sync->peers[i];
        bool same = peer->version >= sync->version &&
                    peer->holds_digest == sync->holds_digest;
        count += peer->self || same ? 1 : 0;
    }
    return count > sync->count / 2;
}
