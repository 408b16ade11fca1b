#include "daemon/fleet_view.h"

#include <stdlib.h>
#include <string.h>

static bool
view_copy_members(fleet_view_t *view, const roster_doc_t *doc)
{
    view->members =
        calloc(doc->count > 0 ? doc->count : 1, sizeof(*view->members));
    if (view->members == NULL) {
        return false;
    }
    memcpy(view->members, doc->members, doc->count * sizeof(*doc->members));
    view->member_count = doc->count;
    return true;
}

static void
view_fill_owners(fleet_view_t *view, roster_t *roster,
                 const member_table_t *members, int64_t now_us)
{
    for (size_t i = 0; i < view->topology->upstream_count; i++) {
        const upstream_info_t *upstream = &view->topology->upstreams[i];
        owner_key_t key = owner_key(upstream->name, upstream->zone);
        int member = FLEET_VIEW_NO_MEMBER;
        roster_owner_t owner = roster_owner(roster, key, now_us, &member);
        view->owner[i] = (int16_t)member;
        /* Whether the lease is valid is checked before each send instead. */
        view->active[i] = owner == ROSTER_ACTIVE || owner == ROSTER_PAUSED;
        view->owner_silent[i] =
            owner == ROSTER_OTHER &&
            member_state(members, view->members[member].name) != MEMBER_ALIVE;
    }
}

fleet_view_t *
fleet_view_new(config_t *config, topology_t *topology, roster_t *roster,
               const member_table_t *members, uint64_t self_incarnation,
               int64_t now_us)
{
    fleet_view_t *view = calloc(1, sizeof(*view));
    if (view == NULL) {
        return NULL;
    }
    size_t count = topology->upstream_count;
    atomic_init(&view->references, 1);
    view->config = config == NULL ? NULL : config_get(config);
    view->topology = topology_get(topology);
    view->owner = calloc(count > 0 ? count : 1, sizeof(*view->owner));
    view->active = calloc(count > 0 ? count : 1, sizeof(*view->active));
    view->owner_silent =
        calloc(count > 0 ? count : 1, sizeof(*view->owner_silent));
    if (view->owner == NULL || view->active == NULL ||
        view->owner_silent == NULL ||
        !view_copy_members(view, roster_members(roster))) {
        fleet_view_put(view);
        return NULL;
    }
    view->roster_version = roster_version(roster);
    view->self = fleet_view_member(view, self_incarnation);
    view_fill_owners(view, roster, members, now_us);
    return view;
}

fleet_view_t *
fleet_view_get(fleet_view_t *view)
{
    atomic_fetch_add(&view->references, 1);
    return view;
}

void
fleet_view_put(fleet_view_t *view)
{
    if (view == NULL || atomic_fetch_sub(&view->references, 1) > 1) {
        return;
    }
    config_put(view->config);
    topology_put(view->topology);
    free(view->members);
    free(view->owner);
    free(view->active);
    free(view->owner_silent);
    free(view);
}

int
fleet_view_member(const fleet_view_t *view, uint64_t incarnation)
{
    for (size_t i = 0; i < view->member_count; i++) {
        if (view->members[i].incarnation == incarnation) {
            return (int)i;
        }
    }
    return FLEET_VIEW_NO_MEMBER;
}
