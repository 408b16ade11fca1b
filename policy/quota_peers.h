/*
 * The daemons that have parts of the tenants' limits, as this daemon knows
 * them, and which of them have parts of one tenant's limit.
 *
 * A tenant's limit has only as many parts as leave some tokens to each. The
 * daemons with the greatest hashes of their id and the tenant's key have one:
 * all daemons that know the same peers find the same ones. A daemon that is no
 * longer listed still counts for QUOTA_KEPT_US, since it may be serving.
 *
 *     quota_peers_set(&peers, list, count, now_us);
 *     bool owns = quota_peers_owners(&peers, self, key, parts, owners,
 * &count); uint64_t id = peers.lenders[owners[0]].peer.id;
 *     quota_peers_avoid(&peers, id, until_us);
 *     quota_peers_release(&peers);
 */
#ifndef POLICY_QUOTA_PEERS_H
#define POLICY_QUOTA_PEERS_H

#include <stdbool.h>
#include <stdint.h>

enum {
    QUOTA_PARTS_MAX = 16, /* of one tenant's limit */
    QUOTA_KEPT_US = 20000000
};

/* A serving daemon other than this one. */
typedef struct {
    uint64_t id;
    bool is_local; /* in the zone of this daemon */
} quota_peer_t;

typedef struct {
    quota_peer_t peer;
    int64_t listed_us; /* when it was last listed */
    bool is_listed;
    int64_t avoid_until_us;
} quota_lender_t;

/* Zeroed: empty. */
typedef struct {
    quota_lender_t *lenders;
    uint64_t *hashes; /* for quota_peers_owners */
    uint32_t count;
    uint32_t version; /* of the list of lenders; grows with each change */
} quota_peers_t;

/* Replace the list of peers. Out of memory, the present one is kept. Returns
   whether the lenders have changed. */
bool quota_peers_set(quota_peers_t *peers, const quota_peer_t *list,
                     uint32_t count, int64_t now_us);
void quota_peers_release(quota_peers_t *peers);

/* Ask the peer nothing until until_us. */
void quota_peers_avoid(quota_peers_t *peers, uint64_t id, int64_t until_us);

/* Whether the lender can be asked. */
bool quota_peers_is_usable(const quota_peers_t *peers, uint32_t index,
                           int64_t now_us);

/*
 * Find who has the parts of a tenant's limit, at most QUOTA_PARTS_MAX. self:
 * the id of this daemon; 0: it does not serve. Writes the indices of the
 * lenders among them and their number; returns whether this daemon has a part.
 */
bool quota_peers_owners(const quota_peers_t *peers, uint64_t self,
                        uint64_t key, uint32_t parts, uint16_t *owners,
                        uint32_t *owner_count);

#endif
