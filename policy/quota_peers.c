#include "policy/quota_peers.h"

#include <stddef.h>
#include <stdlib.h>
#include <xxhash.h>

static quota_lender_t *
lender_find(const quota_peers_t *peers, uint64_t id)
{
    for (uint32_t i = 0; i < peers->count; i++) {
        if (peers->lenders[i].peer.id == id) {
            return &peers->lenders[i];
        }
    }
    return NULL;
}

/* Whether the list is that of the last call, and no lender is to be dropped;
   notes that the peers are listed. */
static bool
lenders_are_current(quota_peers_t *peers, const quota_peer_t *list,
                    uint32_t count, int64_t now_us)
{
    for (uint32_t i = 0; i < peers->count; i++) {
        quota_lender_t *lender = &peers->lenders[i];
        if (i >= count) {
            if (lender->is_listed ||
                now_us - lender->listed_us >= QUOTA_KEPT_US) {
                return false;
            }
        }
        else if (!lender->is_listed || list[i].id != lender->peer.id ||
                 list[i].is_local != lender->peer.is_local) {
            return false;
        }
        else {
            lender->listed_us = now_us;
        }
    }
    return peers->count >= count;
}

static bool
list_has(const quota_peer_t *list, uint32_t count, uint64_t id)
{
    for (uint32_t i = 0; i < count; i++) {
        if (list[i].id == id) {
            return true;
        }
    }
    return false;
}

bool
quota_peers_set(quota_peers_t *peers, const quota_peer_t *list, uint32_t count,
                int64_t now_us)
{
    if (lenders_are_current(peers, list, count, now_us)) {
        return false;
    }
    uint32_t most = count + peers->count + 1;
    quota_lender_t *lenders = calloc(most, sizeof(*lenders));
    uint64_t *hashes = calloc(most, sizeof(*hashes));
    if (lenders == NULL || hashes == NULL) {
        free(lenders);
        free(hashes);
        return false;
    }
    uint32_t used = 0;
    for (uint32_t i = 0; i < count; i++) {
        const quota_lender_t *old = lender_find(peers, list[i].id);
        lenders[used++] = (quota_lender_t){
            .peer = list[i],
            .listed_us = now_us,
            .is_listed = true,
            .avoid_until_us = old != NULL ? old->avoid_until_us : 0,
        };
    }
    for (uint32_t i = 0; i < peers->count; i++) {
        const quota_lender_t *old = &peers->lenders[i];
        if (now_us - old->listed_us < QUOTA_KEPT_US &&
            !list_has(list, count, old->peer.id)) {
            lenders[used] = *old;
            lenders[used++].is_listed = false;
        }
    }
    free(peers->lenders);
    free(peers->hashes);
    peers->lenders = lenders;
    peers->hashes = hashes;
    peers->count = used;
    peers->version++;
    return true;
}

void
quota_peers_release(quota_peers_t *peers)
{
    free(peers->lenders);
    free(peers->hashes);
    *peers = (quota_peers_t){0};
}

void
quota_peers_avoid(quota_peers_t *peers, uint64_t id, int64_t until_us)
{
    quota_lender_t *lender = lender_find(peers, id);
    if (lender != NULL) {
        lender->avoid_until_us = until_us;
    }
}

bool
quota_peers_is_usable(const quota_peers_t *peers, uint32_t index,
                      int64_t now_us)
{
    const quota_lender_t *lender = &peers->lenders[index];
    return lender->is_listed && now_us >= lender->avoid_until_us;
}

static uint64_t
owner_hash(uint64_t id, uint64_t key)
{
    return XXH64(&id, sizeof(id), key);
}

/* The least of the greatest `parts` hashes of the daemons. */
static uint64_t
least_owner_hash(const quota_peers_t *peers, uint64_t self, uint64_t key,
                 uint32_t parts)
{
    uint64_t best[QUOTA_PARTS_MAX];
    uint32_t count = 0;
    for (uint32_t i = 0; i < peers->count + (self != 0 ? 1 : 0); i++) {
        uint64_t hash =
            i < peers->count ? peers->hashes[i] : owner_hash(self, key);
        uint32_t at = count < parts ? count++ : parts;
        for (; at > 0 && best[at - 1] < hash; at--) {
            if (at < parts) {
                best[at] = best[at - 1];
            }
        }
        if (at < parts) {
            best[at] = hash;
        }
    }
    return count > 0 ? best[count - 1] : 0;
}

bool
quota_peers_owners(const quota_peers_t *peers, uint64_t self, uint64_t key,
                   uint32_t parts, uint16_t *owners, uint32_t *owner_count)
{
    if (parts > QUOTA_PARTS_MAX) {
        parts = QUOTA_PARTS_MAX;
    }
    for (uint32_t i = 0; i < peers->count; i++) {
        peers->hashes[i] = owner_hash(peers->lenders[i].peer.id, key);
    }
    uint64_t least = least_owner_hash(peers, self, key, parts);
    *owner_count = 0;
    for (uint32_t i = 0; i < peers->count && *owner_count < parts; i++) {
        if (peers->hashes[i] >= least) {
            owners[(*owner_count)++] = (uint16_t)i;
        }
    }
    return self != 0 && owner_hash(self, key) >= least;
}
