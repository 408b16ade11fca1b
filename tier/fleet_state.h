/*
 * The state that one daemon sends to another as a JSON document: the
 * configuration as the operator wrote it, upstreams, members and closed zones.
 * These four are the parts of the state. The suspects reported since the last
 * request come with them.
 *
 * A request carries digests of the requester's parts and the store revisions
 * they are known up to. The response has only the parts that differ, if
 * possible only their changes since those revisions. Each part has the store
 * revision up to which it is known, so that an older state never replaces a
 * newer one, in whatever order the peers are polled.
 *
 * The requester:
 *     fleet_query_write(target, sizeof(target), path, &digest);
 * The responder:
 *     fleet_query_parse(&have, target);
 *     char *text = fleet_state_write(&state, &have, &registry, &members,
 *                                    now_us, &size);
 * The requester:
 *     fleet_state_t state;
 *     if (fleet_state_parse(&state, text, size)) {
 *         unsigned updated = fleet_state_apply(&state, &known, &registry,
 *                                              &members, now_us);
 *         fleet_state_release(&state);
 *     }
 */
#ifndef TIER_FLEET_STATE_H
#define TIER_FLEET_STATE_H

#include "tier/members.h"
#include "tier/registry.h"
#include "tier/suspect_log.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Store revisions up to which each part is known; 0: not from the store, or
   incomplete. */
typedef struct {
    uint64_t upstreams;
    uint64_t members;
    uint64_t zones;
    uint64_t suspects;
} fleet_revisions_t;

/* Hash of each part, equal in daemons with the same content; 0: empty. */
typedef struct {
    uint64_t config; /* store revision of the configuration, not a hash */
    uint64_t upstreams;
    uint64_t members;
    uint64_t zones;
    uint64_t rollouts; /* of orders and statuses; set by the caller */
    /* Of the requester: changes since these revisions are enough. */
    fleet_revisions_t revisions;
} fleet_digest_t;

/* The state to be sent, or as received; `config` then belongs to the document
   and is valid until fleet_state_release. */
typedef struct {
    fleet_revisions_t revisions;
    int64_t age_us; /* since the upstreams were last read from the store */
    uint64_t config_revision; /* 0: there is none */
    const char *config;       /* NULL: none, or the requester has it */
    size_t config_size;
    const suspect_log_t *suspects; /* to be sent */
    void *rollouts; /* to be sent: a JSON array, see tier/node_rollout.h; NULL:
                       none; it stays the caller's */
    uint64_t rollouts_digest;
    void *document; /* parsed JSON of a received state */
} fleet_state_t;

/* Parts that fleet_state_apply has updated. */
typedef enum {
    FLEET_UPSTREAMS = 1,
    FLEET_MEMBERS = 2,
    FLEET_ZONES = 4
} fleet_part_t;

/* Compute the digest of this daemon's parts; its revisions are set to 0. */
void fleet_digest_compute(fleet_digest_t *digest, uint64_t config_revision,
                          const registry_t *registry,
                          const members_t *members);

/* Write the target of a request, `path` with the digest as query. Returns its
   length; 0: it does not fit. */
size_t fleet_query_write(char *text, size_t size, const char *path,
                         const fleet_digest_t *digest);

/* Read the digest from the target of a request; missing fields are 0. */
void fleet_query_parse(fleet_digest_t *digest, const char *target);

/* Format the parts that differ from `have` as JSON text of *size bytes, to be
   freed by the caller; NULL: out of memory. */
char *fleet_state_write(const fleet_state_t *state, const fleet_digest_t *have,
                        const registry_t *registry, const members_t *members,
                        int64_t now_us, size_t *size);

/* False: the text is not a state document; nothing to release then. */
bool fleet_state_parse(fleet_state_t *state, const char *text, size_t size);
void fleet_state_release(fleet_state_t *state);

/*
 * Apply the parts that are newer than `known`, and advance `known` to the
 * revisions of the state, also for parts left out because they are equal.
 * Returns the updated parts, a set of fleet_part_t. If changes do not result
 * in the digest that the peer has sent, the part's revision in `known` is
 * reset to 0, so that the next request gets the complete part. So it is if the
 * upstreams differ at the same revision.
 * Closed zones are not applied: the caller reads them by fleet_state_zones.
 */
unsigned fleet_state_apply(const fleet_state_t *state,
                           fleet_revisions_t *known, registry_t *registry,
                           members_t *members, int64_t now_us);

/*
 * Apply the state in a daemon that has just started and cannot reach the
 * store: add its members, and its upstreams as provisional; see
 * registry_add_provisional.
 */
void fleet_state_bootstrap(const fleet_state_t *state, registry_t *registry,
                           members_t *members, int64_t now_us);

/* Read the report at an index; false: there is none, or it is invalid. */
bool fleet_state_suspect(const fleet_state_t *state, size_t index,
                         suspect_report_t *report);

/* The array of orders and statuses in a received state, valid until
   fleet_state_release; NULL: there is none. */
const void *fleet_state_rollouts(const fleet_state_t *state);

/* Number of the suspects in a received state. */
size_t fleet_state_suspect_count(const fleet_state_t *state);

/* Copy the names of the closed zones, at most `max`; returns their number. */
uint32_t fleet_state_zones(const fleet_state_t *state,
                           char (*names)[INSTANCE_NAME_SIZE], uint32_t max);

#endif
