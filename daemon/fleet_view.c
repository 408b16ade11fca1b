#include "daemon/fleet_view.h"

#include <stdlib.h>
#include <string.h>

static bool
view_copy_members(fleet_view_t *world, const roster_doc_t *doc)
{
    world->members =
        calloc(doc->count > 0 ? doc->count : 1, sizeof(*world->members));
    if (world->members == NULL) {
        return false;
    }
    memcpy(world->members, doc->members, doc->count * sizeof(*doc->members));
    world->member_count = doc->count;
    return true;
}

static void
view_fill_owners(fleet_view_t *world, roster_t *roster,
                 const member_table_t *members, int64_t now_us)
{
    for (size_t i = 0; i < world->topology->upstream_count; i++) {
        const upstream_info_t *upstream = &world->topology->upstreams[i];
        owner_key_t key = owner_key(upstream->name, upstream->zone);
        int member = FLEET_VIEW_NO_MEMBER;
        roster_owner_t owner = roster_owner(roster, key, now_us, &member);
        world->owner[i] = (int16_t)member;
        /* A lease that pauses is checked with each send, not here. */
        world->active[i] = owner == ROSTER_ACTIVE || owner == ROSTER_PAUSED;
        world->doubtful[i] =
            owner == ROSTER_OTHER &&
            member_state(members, world->members[member].name) != MEMBER_ALIVE;
    }
}

fleet_view_t *
fleet_view_new(config_t *config, topology_t *topology, roster_t *roster,
               const member_table_t *members, uint64_t self_incarnation,
               int64_t now_us)
{
    fleet_view_t *world = calloc(1, sizeof(*world));
    if (world == NULL) {
        return NULL;
    }
    size_t count = topology->upstream_count;
    atomic_init(&world->references, 1);
    world->config = config == NULL ? NULL : config_get(config);
    world->topology = topology_get(topology);
    world->owner = calloc(count > 0 ? count : 1, sizeof(*world->owner));
    world->active = calloc(count > 0 ? count : 1, sizeof(*world->active));
    world->doubtful = calloc(count > 0 ? count : 1, sizeof(*world->doubtful));
    if (world->owner == NULL || world->active == NULL ||
        world->doubtful == NULL ||
        !view_copy_members(world, roster_members(roster))) {
        fleet_view_put(world);
        return NULL;
    }
    world->roster_version = roster_version(roster);
    world->self = fleet_view_member(world, self_incarnation);
    view_fill_owners(world, roster, members, now_us);
    return world;
}

fleet_view_t *
fleet_view_get(fleet_view_t *world)
{
    atomic_fetch_add(&world->references, 1);
    return world;
}

void
fleet_view_put(fleet_view_t *world)
{
    if (world == NULL || atomic_fetch_sub(&world->references, 1) > 1) {
        return;
    }
    config_put(world->config);
    topology_put(world->topology);
    free(world->members);
    free(world->owner);
    free(world->active);
    free(world->doubtful);
    free(world);
}

int
fleet_view_member(const fleet_view_t *world, uint64_t incarnation)
{
    for (size_t i = 0; i < world->member_count; i++) {
        if (world->members[i].incarnation == incarnation) {
            return (int)i;
        }
    }
    return FLEET_VIEW_NO_MEMBER;
}
