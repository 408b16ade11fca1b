/*
 * What a daemon knows, as one text for another: the configuration as the
 * operator wrote it, upstreams, members, closed zones.
 *
 * The one that asks says in short what it knows, and is told only what
 * differs, or has changed since. What it is told has the store's revision up
 * to which it holds, so that nothing older replaces what is newer, whoever is
 * asked in which order.
 *
 *     fleet_query_write(path, sizeof(path), &digest);          // to ask
 *     fleet_query_parse(&have, path);                           // to answer
 *     char *text = fleet_state_write(&state, &have, &registry, &members,
 *                                    now_us, &size);
 *     fleet_state_t read;                                      // to learn
 *     if (fleet_state_parse(&read, text, size)) {
 *         taken = fleet_state_apply(&read, &known, &registry, &members,
 *                                    now_us);
 *         fleet_state_release(&read);
 *     }
 */
#ifndef TIER_FLEET_STATE_H
#define TIER_FLEET_STATE_H

#include "tier/members.h"
#include "tier/registry.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Revisions of the store up to which each is known; 0: not from the store. */
typedef struct {
    uint64_t upstreams;
    uint64_t members;
    uint64_t zones;
} fleet_revisions_t;

/* Alike for two daemons that know the same; 0: nothing. */
typedef struct {
    uint64_t config; /* its revision in the store */
    uint64_t upstreams;
    uint64_t members;
    uint64_t zones;
    fleet_revisions_t
        revisions; /* of the one that asks: what changed since will do */
} fleet_digest_t;

/* As it is said, and as another's text had it; the string is the text's. */
typedef struct {
    fleet_revisions_t revisions;
    int64_t age_us;           /* since the upstreams were read in the store */
    uint64_t config_revision; /* 0: there is none */
    const char *config;       /* NULL: the other has it */
    size_t config_size;
    void *document;
} fleet_state_t;

/* What was new in a state that was followed. */
typedef enum {
    FLEET_UPSTREAMS = 1,
    FLEET_MEMBERS = 2,
    FLEET_ZONES = 4
} fleet_part_t;

void fleet_digest_compute(fleet_digest_t *digest, uint64_t config_revision,
                          const registry_t *registry,
                          const members_t *members);

/* The path and query of a question by one who knows that; 0: no room. */
size_t fleet_query_write(char *text, size_t size, const char *path,
                         const fleet_digest_t *digest);
void fleet_query_parse(fleet_digest_t *digest, const char *target);

/* The text, to be freed, of what is not as in `have`; NULL: no memory. */
char *fleet_state_write(const fleet_state_t *state, const fleet_digest_t *have,
                        const registry_t *registry, const members_t *members,
                        int64_t now_us, size_t *size);

/* False: it is no state. */
bool fleet_state_parse(fleet_state_t *state, const char *text, size_t size);
void fleet_state_release(fleet_state_t *state);

/*
 * Take over what is newer than what is known, which then says so; a set of
 * fleet_part_t of what has changed. When changes do not lead to what the other
 * knows, known is 0 after and the whole is asked for next. Zones are left to
 * the one who calls: fleet_state_zones.
 */
unsigned fleet_state_apply(const fleet_state_t *state,
                           fleet_revisions_t *known, registry_t *registry,
                           members_t *members, int64_t now_us);

/*
 * The same for a daemon that knows nothing yet and cannot reach the store:
 * upstreams are believed until they had time to come back after an outage.
 */
void fleet_state_bootstrap(const fleet_state_t *state, registry_t *registry,
                           members_t *members, int64_t now_us);

/* The closed zones, into names; how many. */
uint32_t fleet_state_zones(const fleet_state_t *state,
                           char (*names)[INSTANCE_NAME_SIZE], uint32_t max);

#endif
