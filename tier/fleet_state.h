/*
 * What a daemon knows, as one text for another that has just started: the
 * configuration as the operator wrote it, upstreams, members, closed zones.
 *
 *     char *text = fleet_state_write(&state, &registry, &members, now_us,
 *                                    &size);
 *     fleet_state_t read;
 *     if (fleet_state_read(&read, text, size)) { ...;
 *         fleet_state_release(&read); }
 */
#ifndef TIER_FLEET_STATE_H
#define TIER_FLEET_STATE_H

#include "tier/members.h"
#include "tier/registry.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What is written besides registry and members; read from another's text, the
 * strings are its own.
 */
typedef struct {
    uint64_t revision;           /* of the store, of the configuration */
    uint64_t upstreams_revision; /* up to which the upstreams are known */
    int64_t age_us;              /* since that was heard from the store */
    const char *config;
    size_t config_size;
    char *upstreams; /* as registry_copy.h has it */
    void *document;
} fleet_state_t;

/* The text, to be freed; NULL: no memory. Without a configuration it has the
   upstreams only. */
char *fleet_state_write(const fleet_state_t *state, const registry_t *registry,
                        const members_t *members, int64_t now_us,
                        size_t *size);

/* False: it is no state. */
bool fleet_state_read(fleet_state_t *state, const char *text, size_t size);
void fleet_state_release(fleet_state_t *state);

/* Members and closed zones of a text that was read are put in place. */
void fleet_state_apply(const fleet_state_t *state, registry_t *registry,
                       members_t *members, int64_t now_us);

#endif
